//! Actions that a router requests from its host.

use super::gossip::GossipUpdate;
use super::request::{MemberId, RequestId};
use super::time::Span;

/// An action that a router requests from its host.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt to a member.
    Send {
        /// The request.
        request: RequestId,
        /// The member to send it to.
        member: MemberId,
        /// Time after which the attempt times out. `None`: at the client's deadline.
        timeout: Option<Span>,
    },
    /// Cancel an open attempt. The host must still report its end.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0 in order of sending.
        attempt: u32,
    },
    /// Final answer: rejected, and a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client is to wait before a retry.
        retry_after: Option<Span>,
    },
    /// Final answer: failed, without a statement on whether a retry is harmless.
    Fail(RequestId),
    /// Set a timer.
    SetTimer {
        /// Time until the timer fires.
        after: Span,
        /// Returned with the timer event.
        token: u64,
    },
    /// Send a health check to a member.
    HealthCheck(MemberId),
    /// Close idle connections to a member.
    CloseIdleConnections(MemberId),
    /// The router has dropped all state of this member and will not use its number again, so the host may drop its
    /// own state too. If the member is listed again, it must get a new number.
    ForgetMember(MemberId),
    /// Send gossip to another router, or to all of them.
    SendGossip {
        /// The receiving router's index. `None`: all routers.
        to: Option<u32>,
        /// The updates. A single receiver also relays them; if all receive them, they only merge them.
        updates: Vec<GossipUpdate>,
    },
    /// Subscribe to changes of the endpoint list, or unsubscribe.
    Subscribe(bool),
    /// Fetch the endpoint list once.
    FetchEndpointList,
    /// Write a line to the log.
    Log(String),
}
