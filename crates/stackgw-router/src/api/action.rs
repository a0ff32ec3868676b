//! What a router asks of its host.

use super::gossip::GossipUpdate;
use super::request::{MemberId, RequestId};
use super::time::Span;

/// What a router asks of its host.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The member to send it to.
        member: MemberId,
        /// Give up after this; `None`: at the client's deadline.
        timeout: Option<Span>,
    },
    /// Cancel an open attempt. Its end is still to be reported.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final answer: rejected, and a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When to retry.
        retry_after: Option<Span>,
    },
    /// Final answer: failed, and nothing is promised of a retry.
    Fail(RequestId),
    /// Set a timer.
    SetTimer {
        /// How long from now.
        after: Span,
        /// Comes back with the event.
        token: u64,
    },
    /// Send a health check to a member.
    HealthCheck(MemberId),
    /// Close idle connections to a member.
    CloseIdleConnections(MemberId),
    /// The router has dropped all state of this member: its number will not be used again, and what the host keeps
    /// by it may be dropped. If a list names the member once more, it is to get a new number.
    ForgetMember(MemberId),
    /// Send gossip to another router, or to all of them.
    SendGossip {
        /// The other router's index; `None`: all.
        to: Option<u32>,
        /// The updates, which a single router is to pass on and all of them only to merge.
        updates: Vec<GossipUpdate>,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe(bool),
    /// Fetch the endpoint list once.
    FetchEndpointList,
    /// Write a line to the log.
    Log(String),
}
