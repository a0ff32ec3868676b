//! The datagrams with which instances exchange the endpoint list, and their encoding. [`crate::fragments`] splits and
//! reassembles lists that need several datagrams.
//!
//! The order of fields and variants is the wire format: `tests/stored_and_sent.rs` fails when it changes.

use crate::endpoint::Endpoint;
use crate::observation::{Observation, MAX_OBSERVATIONS_PER_MESSAGE};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum number of fragments of one list.
pub const MAX_FRAGMENTS: u16 = 1_024;
/// The nonce of a snapshot that does not answer a poll.
pub const UNSOLICITED: u32 = 0;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the changes since the sender's version.
    Poll(Poll),
    /// What the sender knows of the list.
    Snapshot(EndpointSnapshot),
}

/// A request for the changes since a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Poll {
    /// The address to which the answer is sent.
    pub sender: SocketAddr,
    /// Identifies this poll; never [`UNSOLICITED`].
    pub nonce: u32,
    /// The service that assigned `known_revision`.
    pub service_id: u64,
    /// The sender's version; `None` if it has no list, or only a cached one.
    pub known_revision: Option<u64>,
    /// The sender's own observations of members since its previous poll.
    pub observations: Vec<Observation>,
}

/// The position of a datagram among those of one list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// Index of the datagram, starting at 0.
    pub index: u16,
    /// The number of datagrams; 0 if the entries are omitted.
    pub count: u16,
}

impl Fragment {
    /// The fragment of a snapshot that omits its entries.
    pub const WITHOUT_ENTRIES: Fragment = Fragment { index: 0, count: 0 };
    /// The fragment of a snapshot that fits into one datagram.
    pub const ONLY: Fragment = Fragment { index: 0, count: 1 };
}

/// What an instance knows of the endpoint list, in one or more datagrams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointSnapshot {
    /// The instance that sent it.
    pub sender: SocketAddr,
    /// The nonce of the poll that this answers, or [`UNSOLICITED`].
    pub nonce: u32,
    /// The service that assigned the versions in this snapshot.
    pub service_id: u64,
    /// The sender's version; `None` if it has no list.
    pub revision: Option<u64>,
    /// How long ago the service confirmed the list, in milliseconds.
    pub confirmed_ago_ms: u64,
    /// The sender has a live watch of the service, and the service's list is not older than the sender's.
    pub is_live: bool,
    /// The sender has only a cached list. The list stays a cached one when it is passed on, however recent it is.
    pub is_cached: bool,
    /// How long the service must not be polled, as it requested, in milliseconds.
    pub retry_after_ms: u64,
    /// Requests per thousand seconds that a warm member answers the sender: only an initial estimate for the receiver.
    pub warm_throughput_millis: u64,
    /// The entries are the changes since this version; `None`: they are the complete list.
    pub base: Option<u64>,
    /// The position of this datagram among those of the list.
    pub fragment: Fragment,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
    /// Observations of members; in the first fragment only.
    pub observations: Vec<Observation>,
}

impl Message {
    /// Encodes the message as a datagram's body.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a datagram's body, which may be any bytes; `None` if it is not a valid message.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (message, rest) = postcard::take_from_bytes::<Message>(bytes).ok()?;
        let is_valid = match &message {
            Message::Poll(poll) => poll.observations.len() <= MAX_OBSERVATIONS_PER_MESSAGE,
            Message::Snapshot(snapshot) => snapshot.is_valid(),
        };
        (is_valid && rest.is_empty()).then_some(message)
    }
}

impl EndpointSnapshot {
    fn is_valid(&self) -> bool {
        let Fragment { index, count } = self.fragment;
        let has_valid_fragment = index < count || (count == 0 && self.endpoints.is_empty());
        count <= MAX_FRAGMENTS
            && has_valid_fragment
            && self.endpoints.iter().all(is_valid_endpoint)
            && self.observations.len() <= MAX_OBSERVATIONS_PER_MESSAGE
    }
}

fn is_valid_endpoint(endpoint: &Endpoint) -> bool {
    endpoint.size.is_finite() && endpoint.size >= 0.0 && !endpoint.id.is_empty()
}
