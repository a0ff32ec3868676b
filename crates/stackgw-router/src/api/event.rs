//! Events that a host reports to its router.

use super::endpoint::{ListScope, Member};
use super::gossip::GossipUpdate;
use super::request::{MemberId, Request, RequestId};
use super::time::{Span, Time};

/// A member's report of its own state at the time of the report.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// The member has applied every commit up to this time.
    pub position: Option<Time>,
    /// Whether it is the primary.
    pub is_primary: Option<bool>,
    /// Requests in flight at the member.
    pub in_flight: Option<f64>,
    /// Requests queued at the member.
    pub queued: Option<f64>,
    /// Share of its CPU cores that is busy.
    pub utilisation: Option<f64>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The member answered with an error; the attempt may have had an effect.
    Error,
    /// Rejected without execution by a full or draining member.
    Overloaded,
    /// Rejected without execution: a write at a replica, or a read at a replica that lags too far behind.
    Misrouted,
    /// No answer in time; the attempt may have run or may still run.
    TimedOut,
    /// No connection was established, or the request was not written completely, so the attempt never ran.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    ConnectionReset,
    /// The response was malformed: the attempt may have run, and the content of the response is ignored. Responses of
    /// all members may be damaged in transit, so this counts neither for nor against the member.
    MalformedResponse,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Returns whether an attempt with this outcome is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::Misrouted | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// Result of one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptResult {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Its number, from 0 in order of sending.
    pub attempt: u32,
    /// The member that it was sent to.
    pub member: MemberId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Span,
    /// Whether the request has its final answer.
    pub request_finished: bool,
    /// Whether the member states that it is the primary.
    pub is_primary: Option<bool>,
    /// The member's position, or the commit time of a write.
    pub position: Option<Time>,
    /// The load report that came with the response.
    pub load_report: LoadReport,
}

/// An event that a host reports to its router.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list, or changes of it.
    EndpointList {
        /// Which part of the list `members` holds.
        scope: ListScope,
        /// Entries of the list.
        members: Vec<Member>,
    },
    /// A request arrived and must get one final answer.
    Request(Request),
    /// An attempt's response began to stream to the client; the request needs no final answer from the router.
    StreamStarted {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The member that serves it.
        member: MemberId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// The client disconnected; the request needs no answer.
    ClientDisconnected(RequestId),
    /// A timer set by the router fired; carries its token.
    Timer(u64),
    /// A health check ended.
    HealthChecked {
        /// The member.
        member: MemberId,
        /// Whether the member responded.
        responded: bool,
        /// Time since the health check was sent.
        elapsed: Span,
        /// The member's report; ignored unless the member responded.
        load_report: LoadReport,
    },
    /// Gossip from another router.
    Gossip {
        /// When it was sent, by the routers' common clock.
        sent_at: Time,
        /// Whether this router is to relay it.
        relay: bool,
        /// The updates.
        updates: Vec<GossipUpdate>,
    },
}
