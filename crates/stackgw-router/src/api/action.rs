//! Actions that a router requests from its host.

use super::gossip::GossipUpdate;
use super::request::{GroupId, MemberId, RequestId};
use super::time::{Span, Time};

/// Why a member was selected for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionReason {
    /// Its known position satisfies the consistency of the read, or the read needs no position.
    FreshReplica,
    /// No replica's known position is recent enough for the read, but replicas reject reads for which they lag too far.
    LaggingReplica,
    /// It is the primary: the last member to claim the role.
    ClaimedPrimary,
    /// It is the primary according to the endpoint list alone.
    ListedPrimary,
    /// It is the ejected primary, and a half-open attempt is due.
    HalfOpenPrimary,
    /// Another member rejected the write, and this one may be the primary.
    PrimarySearch,
}

/// Why the known primary of a group changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrimaryChangeReason {
    /// A member claimed the role in an answer to this router.
    ClaimedInAnswer,
    /// A member claimed the role in a health check, or another router's gossip says so.
    ClaimedInReport,
    /// The primary denied the role in an answer to this router.
    DeniedInAnswer,
    /// The primary denied the role in a health check, or another router's gossip says so.
    DeniedInReport,
    /// The primary's process restarted.
    Restarted,
}

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
        /// Latest time at which the host may write the attempt's last byte, on the host's clock: then the member's known position
        /// becomes too old for the read, or the members forget the idempotency key of a request that may have run before. An
        /// attempt that is not written by then ends as not sent. `None`: no such time.
        write_by: Option<Time>,
        /// Why this member was selected.
        reason: SelectionReason,
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
    /// The known primary of a group has changed; for the log.
    PrimaryChanged {
        /// The group.
        group: GroupId,
        /// The primary now; `None` if none is known from what members state.
        primary: Option<MemberId>,
        /// What changed it.
        reason: PrimaryChangeReason,
    },
    /// Write a line to the log.
    Log(String),
}
