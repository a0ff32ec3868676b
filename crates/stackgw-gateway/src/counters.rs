//! Counters of the gateway, logged on request and at exit. Their names are keys in the log line.

use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// The counters of the gateway.
        #[derive(Debug, Default, Clone, PartialEq, Eq)]
        pub struct Counters { $($(#[$doc])* pub $name: u64),* }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("counters")?;
                $(write!(f, " {}={}", stringify!($name), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Statements received from clients and other frontends.
    taken,
    /// Statements rejected with an error because of their form, class or group.
    malformed,
    /// Requests answered with a row or a stream from a member.
    answered_served,
    /// Requests rejected; none of them was executed.
    answered_rejected,
    /// Requests answered with a failure; they may have been executed.
    answered_failed,
    /// Requests whose client disconnected before the response.
    abandoned,
    /// Requests rejected before they reached the router: too many requests, connections or bytes of statements were open, no
    /// endpoint list was known yet, a write could not have been confirmed, or the gateway was shutting down.
    rejected_early,
    /// Responses of members replaced by rejections because they would have had to wait for earlier responses of their client and
    /// too many did.
    replies_rejected,
    /// Served requests whose response is a stream.
    streams_begun,
    /// Streams that ended before they were complete.
    streams_broken,
    /// Connections whose attempt or health check timed out during the handshake, and that were kept for a later one.
    members_late,
    /// Attempts started by the router.
    attempts,
    /// Attempts started at a replica whose known position is recent enough, or for reads that need no position.
    selected_fresh,
    /// Attempts started at a replica that rejects the read itself if it lags too far.
    selected_lagging,
    /// Attempts started at the last member to claim the primary role.
    selected_claimed,
    /// Attempts started at a primary that is known from the endpoint list alone.
    selected_listed,
    /// Half-open attempts started at an ejected primary.
    selected_half_open,
    /// Attempts of writes started at a member that may be the primary, after another one rejected them.
    selected_search,
    /// Changes of the known primary of a group.
    primary_changes,
    /// Attempts whose last byte was written to a member.
    written,
    /// Attempts that ended with a row or a complete stream.
    ended_served,
    /// Attempts that ended with a member's error.
    ended_error,
    /// Attempts that a member rejected because it was full or draining.
    ended_overloaded,
    /// Attempts that reached a member of the wrong role, or a replica that lagged too far.
    ended_misrouted,
    /// Attempts that timed out.
    ended_timed_out,
    /// Attempts that got no connection.
    ended_no_connection,
    /// Attempts whose connection broke.
    ended_reset,
    /// Attempts whose response was malformed.
    ended_malformed,
    /// Attempts that were cancelled.
    ended_cancelled,
    /// Attempts never sent.
    ended_not_sent,
    /// Health checks sent.
    health_checks,
    /// Health checks without a valid load report.
    health_checks_failed,
    /// Client connections accepted.
    clients_opened,
    /// Client connections open.
    clients_open,
    /// Most client connections open at the same time.
    clients_peak,
    /// Idle client connections closed to make room for others.
    clients_evicted,
    /// Client connections closed because of bytes that are not a message of the protocol.
    clients_bad,
    /// Client connections closed because they stalled inside a message or a response.
    clients_stalled,
    /// Client connections closed because they stalled inside a message while other clients needed their places.
    clients_stalled_at_limit,
    /// Client connections closed because they sent no request in time.
    clients_without_request,
    /// Client connections rejected while no endpoint list was known, because clients waiting for the list took all places.
    clients_rejected,
    /// Client connections closed because they sent too much ahead, or left too much unread, while memory was short.
    clients_over_buffer_limit,
    /// Statements whose id was already used by an open request.
    ids_taken,
    /// Connections to members opened.
    members_opened,
    /// Connections to members that were established.
    members_up,
    /// Connections to members open.
    members_open,
    /// Most connections to members open at the same time.
    members_peak,
    /// Idle connections that the member closed.
    members_closed,
    /// Idle connections closed by the gateway before the member's idle limit.
    members_retired,
    /// Idle connections closed to make room for others.
    members_evicted,
    /// Connections to members closed because of bytes that are not a message of the protocol.
    members_bad,
    /// Connections to members closed because a response was too large or did not end; counted in `members_bad`, too.
    members_oversized,
    /// Connections to members closed because of data that no request had asked for.
    members_unexpected_data,
    /// Positions discarded because they were in the future.
    positions_implausible,
    /// Changes of the estimated offset of the members' clock to half a second or more.
    clock_offsets,
    /// Attempts and health checks moved to another connection because theirs was closed before they were sent.
    members_reopened,
    /// Members from endpoint lists that are still known.
    members_known,
    /// Members dropped after they had been removed for a while.
    members_forgotten,
    /// Endpoint lists applied, complete lists and changes.
    lists,
    /// Reloads of the configuration.
    reloads,
    /// Reloads of the configuration that failed because a file could not be used.
    reloads_failed,
    /// Watches opened.
    watches,
    /// Watches that ended, broke or timed out.
    watches_lost,
    /// Pauses of the whole process.
    stalls,
    /// The longest pause of the whole process, in milliseconds.
    longest_stall_ms,
    /// Gossip datagrams sent.
    gossip_sent,
    /// Gossip datagrams received from other gateways of the tier.
    gossip_received,
    /// Datagrams dropped because they were not from a gateway of the tier, or not gossip, and malformed messages about the
    /// endpoint list from other instances.
    gossip_dropped,
    /// Bytes that clients have sent and that have not been passed to the reducer yet.
    read_ahead_bytes,
    /// Bytes of queued and open statements, and of responses that wait for confirmation.
    buffered_bytes,
    /// Highest value of `buffered_bytes`.
    buffered_peak,
}

impl Counters {
    /// Raises each peak to its current value if that is higher.
    pub fn raise_peaks(&mut self) {
        self.clients_peak = self.clients_peak.max(self.clients_open);
        self.members_peak = self.members_peak.max(self.members_open);
        self.buffered_peak = self.buffered_peak.max(self.buffered_bytes);
    }
}
