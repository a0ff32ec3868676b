//! What a host reports to its router.

use super::endpoint::{ListScope, Member};
use super::gossip::GossipUpdate;
use super::request::{MemberId, Request, RequestId};
use super::time::{Span, Time};

/// What a member reports of itself, as old as the report is.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Every commit up to this moment is applied.
    pub position: Option<Time>,
    /// It is the primary.
    pub is_primary: Option<bool>,
    /// Requests that it holds.
    pub in_flight: Option<f64>,
    /// Requests that wait there.
    pub queued: Option<f64>,
    /// Busy share of its cores.
    pub utilisation: Option<f64>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The member answered with an error; it may have had an effect.
    Error,
    /// Rejected unexecuted by a full or a draining member.
    Overloaded,
    /// Rejected unexecuted: a write at a replica, or a read at a replica too far behind.
    Misrouted,
    /// No answer in time; it may have run or may still run.
    TimedOut,
    /// No connection was established, so it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionReset,
    /// The response was malformed: it may have run, and nothing that it said counts. All members' responses may be
    /// damaged on their way, so it speaks neither for nor against this one.
    MalformedResponse,
    /// Cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Outcome {
    /// The attempt is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::Misrouted | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// The end of one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptResult {
    /// Whose attempt.
    pub request: RequestId,
    /// Its number, from 0 in order of sending.
    pub attempt: u32,
    /// The member that it was sent to.
    pub member: MemberId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Span,
    /// The request has its final answer.
    pub request_finished: bool,
    /// The member states that it is the primary, or that it is not.
    pub is_primary: Option<bool>,
    /// The member's position, or the commit time of a write.
    pub position: Option<Time>,
    /// The load report that came with the response.
    pub load_report: LoadReport,
}

/// What a host reports to its router.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list, or a change of it.
    EndpointList {
        /// How much of it.
        scope: ListScope,
        /// The entries.
        members: Vec<Member>,
    },
    /// A request came in; one final answer is owed.
    Request(Request),
    /// An attempt's response began to stream; from now on nothing is owed for the request.
    StreamStarted {
        /// Whose attempt.
        request: RequestId,
        /// The member that serves it.
        member: MemberId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// The client is gone; nothing is owed any more.
    ClientDisconnected(RequestId),
    /// A timer that the router set, with its token.
    Timer(u64),
    /// A health check ended.
    HealthChecked {
        /// The member.
        member: MemberId,
        /// It responded.
        responded: bool,
        /// Time since it was sent.
        elapsed: Span,
        /// What it reported.
        load_report: LoadReport,
    },
    /// Gossip from another router.
    Gossip {
        /// When it was sent, by the common clock.
        sent_at: Time,
        /// This router is to pass it on.
        relay: bool,
        /// The updates.
        updates: Vec<GossipUpdate>,
    },
}
