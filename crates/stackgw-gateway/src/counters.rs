//! What the gateway took in, sent and answered, and what it held at most. Plain numbers; printed on request and at
//! the end.

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
    /// Statements taken from clients.
    taken,
    /// Statements answered with an error because of their form, class or group.
    malformed,
    /// Requests answered with a member's row.
    answered_served,
    /// Requests answered with a refusal.
    answered_refused,
    /// Requests answered with a failure.
    answered_failed,
    /// Requests whose client left first.
    answered_gone,
    /// Requests turned away unseen: too many were open or connected, or no list was known yet.
    turned_away,
    /// Served requests whose answer is a stream.
    streams_begun,
    /// Streams that ended before they were whole.
    streams_broken,
    /// Connections that came up too late for whom they were opened, and were kept for the next.
    members_late,
    /// Attempts asked for by the router.
    attempts,
    /// Attempts whose last byte was written to a member.
    written,
    /// Attempts that ended with a row.
    ended_served,
    /// Attempts that ended with a member's error.
    ended_error,
    /// Attempts that a member sent away.
    ended_shed,
    /// Attempts that met the wrong role or a replica too far behind.
    ended_miss,
    /// Attempts given up for time.
    ended_timed_out,
    /// Attempts without a connection.
    ended_no_connection,
    /// Attempts whose connection broke.
    ended_reset,
    /// Attempts whose answer was spoilt.
    ended_spoilt,
    /// Attempts called off.
    ended_cancelled,
    /// Attempts never sent.
    ended_unsent,
    /// Probes sent.
    probes,
    /// Probes that brought no report.
    probes_failed,
    /// Client connections taken.
    clients_opened,
    /// Client connections open.
    clients_open,
    /// Most client connections open together.
    clients_peak,
    /// Client connections closed because others waited.
    clients_evicted,
    /// Client connections closed for bytes that are no protocol.
    clients_bad,
    /// Client connections closed because they stood still inside a message or an answer.
    clients_stalled,
    /// Client connections closed because they asked nothing in time.
    clients_silent,
    /// Client connections refused while no list was known, as all places were taken by those that wait for it.
    clients_refused,
    /// Client connections closed for sending much ahead, or leaving much unread, while there was no room.
    clients_greedy,
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
    /// Connections closed for bytes that are no protocol.
    members_bad,
    /// Idle connections closed because something was on them that nobody had asked for.
    members_unasked,
    /// Positions that cannot be, and were not believed.
    members_disbelieved,
    /// Attempts moved to a new connection because the idle one had closed.
    members_reopened,
    /// Members that lists have named and that are still kept.
    members_known,
    /// Members dropped, gone for a while.
    members_forgotten,
    /// Lists taken, whole or changes.
    lists,
    /// Times that the configuration was to be read anew.
    reloads,
    /// Of these, the ones whose file could not be used.
    reloads_failed,
    /// Watches opened.
    watches,
    /// Watches that ended, broke or fell silent.
    watches_lost,
    /// Datagrams sent.
    words_sent,
    /// Datagrams taken.
    words_heard,
    /// Datagrams dropped: not from a gateway of the tier, or no words.
    words_dropped,
    /// Bytes that clients have sent and that are not taken yet.
    ahead_bytes,
    /// Bytes of statements held.
    held_bytes,
    /// Most bytes of statements held together.
    held_peak,
}

impl Counters {
    /// Raises a peak to what is open.
    pub fn peaks(&mut self) {
        self.clients_peak = self.clients_peak.max(self.clients_open);
        self.members_peak = self.members_peak.max(self.members_open);
        self.held_peak = self.held_peak.max(self.held_bytes);
    }
}
