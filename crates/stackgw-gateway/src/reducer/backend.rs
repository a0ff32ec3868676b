//! Requests to members that speak another frontend's protocol, and the selection of those members.

use crate::config::OperatorConfig;
use crate::discovery::ListEntry;
use stackgw_router::api::{LoadReport, Time};
use std::collections::BTreeSet;

/// Size of the header of a PostgreSQL query message: type and length.
const QUERY_HEADER_BYTES: usize = 5;

/// A request to a member that speaks another frontend's protocol.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BackendRequest {
    /// The statement with its request comment, as in a PostgreSQL query.
    pub statement: String,
    /// How long the gateway waits for the response, in milliseconds.
    pub timeout_ms: u64,
    /// The statement writes: once sent, it runs to completion even if its client disconnects.
    pub is_write: bool,
    /// The response may be a stream; otherwise it is one value.
    pub may_stream: bool,
    /// Latest time at which it may be sent.
    pub write_by: Option<Time>,
}

impl BackendRequest {
    /// Returns this request with the statement of a query message.
    pub(crate) fn with_query(self, query: &[u8]) -> Self {
        let text = query
            .get(QUERY_HEADER_BYTES..)
            .and_then(|body| body.strip_suffix(b"\0"))
            .unwrap_or_default();
        BackendRequest {
            statement: String::from_utf8_lossy(text).into_owned(),
            ..self
        }
    }
}

/// The data about the member at the start of a stream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StreamHeader {
    /// Whether the member is the primary.
    pub primary: Option<bool>,
    /// The member's replication position.
    pub position: Option<Time>,
    /// The member's load report.
    pub report: LoadReport,
}

/// The groups and members that speak another frontend's protocol, from the operator's file.
#[derive(Debug, Default)]
pub(crate) struct BackendSelection {
    groups: BTreeSet<u32>,
    members: BTreeSet<String>,
}

impl BackendSelection {
    pub(crate) fn new(operator: &OperatorConfig) -> Self {
        let Some(flight) = &operator.flight else {
            return BackendSelection::default();
        };
        BackendSelection {
            groups: flight.options.groups.iter().copied().collect(),
            members: flight.options.members.iter().cloned().collect(),
        }
    }

    pub(crate) fn includes(&self, entry: &ListEntry) -> bool {
        self.groups.contains(&entry.cell) || self.members.contains(&entry.id)
    }
}
