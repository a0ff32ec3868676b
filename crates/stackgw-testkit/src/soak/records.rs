//! The record of a soak. All times are relative to its start.

use crate::list_revisions::ListedPhase;
use std::time::Duration;

/// The kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A write, which must not run twice.
    Write,
    /// A read that must show its session's last write.
    SessionRead,
    /// A read with a bound on staleness.
    BoundedRead,
}

/// The outcome of a request, as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served with this value; `None`: no value was written yet.
    Served(Option<u64>),
    /// The request did not run.
    Rejected,
    /// The request may have run.
    Failed,
    /// The connection closed without an answer.
    Disconnected,
    /// No answer arrived, although the client waited far beyond its timeout.
    Unanswered,
    /// More than one answer arrived.
    AnsweredTwice,
    /// The client disconnected without waiting for the answer.
    Left,
}

/// A request, as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// The request's id.
    pub id: String,
    /// The request's kind.
    pub kind: RequestKind,
    /// The gateway to which the request was sent.
    pub gateway: usize,
    /// When the request's last byte had been written.
    pub sent_at: Duration,
    /// The request's timeout.
    pub timeout: Duration,
    /// When the client had received the answer, or had disconnected.
    pub ended_at: Duration,
    /// The request's outcome.
    pub end: RequestEnd,
    /// The last value for which a write on the same connection was served before this request was sent.
    pub last_own_write: Option<u64>,
}

/// The arrival of a request at a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The request's id.
    pub id: String,
    /// The member's index.
    pub member: usize,
    /// When the request's last byte arrived.
    pub at: Duration,
    /// The timeout that the gateway sent with the request.
    pub timeout: Duration,
    /// Whether the request is a write to which the member answers that it is not the primary: it does not run there.
    pub is_misrouted_write: bool,
    /// The age of the member's data.
    pub staleness: Duration,
    /// Whether the member was the primary.
    pub is_primary: bool,
}

/// A span of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Interval {
    /// The start of the span.
    pub from: Duration,
    /// The end of the span.
    pub to: Duration,
}

/// A change of a member's phase in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// The member's index.
    pub member: usize,
    /// The member's new phase.
    pub phase: ListedPhase,
    /// When the list service had the change.
    pub at: Duration,
}

/// The start of a member's time as the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promotion {
    /// The member's index.
    pub member: usize,
    /// When it became the primary.
    pub at: Duration,
}

/// A client that stopped inside a message and kept its connection open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalledClient {
    /// The gateway's index.
    pub gateway: usize,
    /// When the client had sent its last byte.
    pub stopped_at: Duration,
    /// When the gateway sent an error or closed the connection; `None`: it did neither.
    pub ended_at: Option<Duration>,
}

/// A start of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayStart {
    /// The gateway's index.
    pub gateway: usize,
    /// When the gateway listened.
    pub at: Duration,
    /// When the gateway answered that it was ready; `None`: it did not.
    pub ready_at: Option<Duration>,
}

/// The resources of a gateway after its clients have disconnected.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayResources {
    /// The gateway's index.
    pub gateway: usize,
    /// The counters of open and buffered resources that are not 0, as `name=value`.
    pub unreleased: Vec<String>,
    /// The gateway's peak memory, in MiB.
    pub peak_memory_mib: f64,
    /// The number of open descriptors.
    pub descriptors: usize,
}

/// The complete record of a soak.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SoakRecord {
    /// Requests, as their clients saw them.
    pub requests: Vec<RequestRecord>,
    /// Arrivals of requests at members.
    pub arrivals: Vec<Arrival>,
    /// The ids of writes, in execution order.
    pub write_order: Vec<String>,
    /// Changes of members' phases in the list.
    pub announcements: Vec<Announcement>,
    /// The members that have been the primary.
    pub promotions: Vec<Promotion>,
    /// The times in which the list service was unreachable or did not serve.
    pub list_outages: Vec<Interval>,
    /// Clients that stopped inside a message.
    pub stalled_clients: Vec<StalledClient>,
    /// Starts of gateways.
    pub starts: Vec<GatewayStart>,
    /// The resources of each gateway after its clients have disconnected.
    pub gateway_resources: Vec<GatewayResources>,
}
