//! What is written down while a soak runs. All times are since its start.

use crate::list_revisions::ListedPhase;
use std::time::Duration;

/// What a request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A write, which may not run twice.
    Write,
    /// A read that has to show its session's last write.
    SessionRead,
    /// A read with a bound on staleness.
    BoundedRead,
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// With this value; `None`: none was written yet.
    Served(Option<u64>),
    /// It did not run.
    Rejected,
    /// It may have run.
    Failed,
    /// The connection ended, and no answer came.
    Disconnected,
    /// The client waited for long after its time, and no answer came.
    Unanswered,
    /// More than one answer came.
    AnsweredTwice,
    /// The client left and did not wait for the answer.
    Left,
}

/// A request, as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// What it does.
    pub kind: RequestKind,
    /// The gateway that it was sent to.
    pub gateway: usize,
    /// When its last byte had been written.
    pub sent_at: Duration,
    /// How long its client waits.
    pub timeout: Duration,
    /// When the client had its answer, or had left.
    pub ended_at: Duration,
    /// How it ended.
    pub end: RequestEnd,
    /// The last value that was served for a write of its session on the same connection, before it was sent.
    pub last_own_write: Option<u64>,
}

/// A request's last byte has come to a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The request's id.
    pub id: String,
    /// The member.
    pub member: usize,
    /// When it came.
    pub at: Duration,
    /// The time that it was told to have.
    pub timeout: Duration,
    /// The member says that it is no primary, if the request is a write: it does not run there.
    pub is_refused_write: bool,
    /// How old the member's data was, for a bounded read of a replica.
    pub staleness: Duration,
}

/// A span of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Interval {
    /// Its begin.
    pub from: Duration,
    /// Its end.
    pub to: Duration,
}

/// The list has a member in another phase from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// The member.
    pub member: usize,
    /// Its phase.
    pub phase: ListedPhase,
    /// When the service had it.
    pub at: Duration,
}

/// A client that stopped inside a message and stayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientMisuse {
    /// The gateway.
    pub gateway: usize,
    /// When it had sent its last byte.
    pub stopped_at: Duration,
    /// When it got an error or a close; `None`: it got neither.
    pub ended_at: Option<Duration>,
}

/// A gateway was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayStart {
    /// The gateway.
    pub gateway: usize,
    /// When it listened.
    pub at: Duration,
    /// When it said that it was ready; `None`: it did not.
    pub ready_at: Option<Duration>,
}

/// What a gateway holds once its clients have gone.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayRest {
    /// The gateway.
    pub gateway: usize,
    /// Counters of what is open or buffered that are not 0, as `name=value`.
    pub not_at_rest: Vec<String>,
    /// Its peak memory in MiB.
    pub peak_memory_mib: f64,
    /// The most descriptors that it was seen with.
    pub descriptors: usize,
}

/// Everything that was written down.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SoakRecord {
    /// Requests, as their clients saw them.
    pub requests: Vec<RequestRecord>,
    /// What came to members.
    pub arrivals: Vec<Arrival>,
    /// The ids of writes, in the order in which they ran.
    pub write_order: Vec<String>,
    /// Changes of the list.
    pub announcements: Vec<Announcement>,
    /// When the list service could not be reached or did not serve.
    pub list_outages: Vec<Interval>,
    /// Clients that stopped inside a message.
    pub misuses: Vec<ClientMisuse>,
    /// Starts of gateways.
    pub starts: Vec<GatewayStart>,
    /// What gateways hold at the end.
    pub rests: Vec<GatewayRest>,
}
