//! Counters of the gateway: plain numbers, logged on request and at the exit. Their names are part of the log.

use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Everything that is counted.
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
    /// Statements answered with an error because of their form, class or group.
    malformed,
    /// Requests answered with a member's row.
    answered_served,
    /// Requests rejected: nothing has run.
    answered_rejected,
    /// Requests failed: they may have run.
    answered_failed,
    /// Requests whose client left before the response.
    abandoned,
    /// Requests rejected before the router saw them: too many were open or connected, or no list was known yet.
    rejected_early,
    /// Served requests whose answer is a stream.
    streams_begun,
    /// Streams that ended before they were complete.
    streams_broken,
    /// Connections that were established too late for their attempt and kept for the next one.
    members_late,
    /// Attempts asked for by the router.
    attempts,
    /// Attempts whose last byte was written to a member.
    written,
    /// Attempts that ended with a row.
    ended_served,
    /// Attempts that ended with a member's error.
    ended_error,
    /// Attempts that a member rejected because it was full or draining.
    ended_overloaded,
    /// Attempts that reached a member of the wrong role, or a replica too far behind.
    ended_misrouted,
    /// Attempts that timed out.
    ended_timed_out,
    /// Attempts without a connection.
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
    /// Health checks without a load report.
    health_checks_failed,
    /// Client connections accepted.
    clients_opened,
    /// Client connections open.
    clients_open,
    /// Most client connections open together.
    clients_peak,
    /// Idle client connections closed for others.
    clients_evicted,
    /// Client connections closed for bytes that are no messages of the protocol.
    clients_bad,
    /// Client connections closed because they stalled inside a message or a response.
    clients_stalled,
    /// Client connections closed because they sent no request in time.
    clients_without_request,
    /// Client connections rejected while no list was known, as those that wait for it took all places.
    clients_rejected,
    /// Client connections closed for sending too much ahead, or leaving too much unread, while memory was short.
    clients_over_buffer_limit,
    /// Statements whose id is that of an open request.
    ids_taken,
    /// Connections to members opened.
    members_opened,
    /// Connections to members that came up.
    members_up,
    /// Connections to members open.
    members_open,
    /// Most connections to members open together.
    members_peak,
    /// Idle connections that the member closed.
    members_closed,
    /// Idle connections retired ahead of the member's limit.
    members_retired,
    /// Idle connections closed to make room for others.
    members_evicted,
    /// Connections closed for bytes that are no messages of the protocol.
    members_bad,
    /// Connections closed for data that nothing had requested.
    members_unexpected_data,
    /// Positions in the future, which were discarded.
    positions_implausible,
    /// Attempts that got a second connection because the first one was closed before they were sent.
    members_reopened,
    /// Members that lists have named and that are still known.
    members_known,
    /// Members dropped, gone for a while.
    members_forgotten,
    /// Endpoint lists applied, complete or changes.
    lists,
    /// Times that the configuration was to be read anew.
    reloads,
    /// Of these, the ones whose file could not be used.
    reloads_failed,
    /// Watches opened.
    watches,
    /// Watches that ended, broke or fell silent.
    watches_lost,
    /// Gossip datagrams sent.
    gossip_sent,
    /// Gossip datagrams received from other gateways of the tier.
    gossip_received,
    /// Datagrams dropped: not from a gateway of the tier, or no gossip.
    gossip_dropped,
    /// Bytes that clients have sent and that are not delivered yet.
    read_ahead_bytes,
    /// Bytes of queued and open statements, and of responses that wait for confirmation.
    buffered_bytes,
    /// Most such bytes at a time.
    buffered_peak,
}

impl Counters {
    /// Raises a peak to what is open.
    pub fn peaks(&mut self) {
        self.clients_peak = self.clients_peak.max(self.clients_open);
        self.members_peak = self.members_peak.max(self.members_open);
        self.buffered_peak = self.buffered_peak.max(self.buffered_bytes);
    }
}
