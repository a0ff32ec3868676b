//! The reducer's timers. Timers that are due at the same time fire in the order in which they were set.

use super::ids::ConnectionId;
use stackgw_router::api::{RequestId, Time};
use std::collections::BTreeMap;

/// What a timer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Timer {
    /// A timer of the router, with its token.
    Router(u64),
    /// A connection's connect timeout, or the deadline of its attempt or health check.
    Connection(ConnectionId),
    /// The periodic check for idle and stalled connections.
    Sweep,
    /// The end of the backoff before the watch is opened again.
    WatchReconnect,
    /// The timeout of the watch: it has not connected, has not delivered its first line, or has been silent for too long.
    WatchTimeout,
    /// The time at which an idle client may be closed for another.
    Admission,
    /// The timer of session coordination.
    Sessions,
    /// The timer of cluster membership.
    Cluster,
    /// The timer of the bootstrap of the endpoint list.
    Bootstrap,
    /// The time limit for the session owners' confirmation of a served write.
    WriteConfirmation(RequestId),
    /// The end of the time after a pause of the process in which nothing is sent to members.
    StallHold,
    /// Shutdown: stop accepting connections.
    StopListening,
    /// Shutdown: close idle clients.
    DrainClients,
    /// Shutdown: reject requests that are queued.
    StopQueueing,
    /// Shutdown: answer all open requests and reject new ones.
    RejectRemaining,
    /// Shutdown: exit.
    ShutdownDeadline,
}

/// Identifies a pending timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TimerKey {
    at: Time,
    sequence: u64,
}

/// All pending timers.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    pending: BTreeMap<TimerKey, Timer>,
    last_sequence: u64,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Time, timer: Timer) -> TimerKey {
        self.last_sequence += 1;
        let key = TimerKey {
            at,
            sequence: self.last_sequence,
        };
        self.pending.insert(key, timer);
        key
    }

    /// Cancels a timer, if it is still pending.
    pub(crate) fn cancel(&mut self, key: Option<TimerKey>) {
        if let Some(key) = key {
            self.pending.remove(&key);
        }
    }

    /// Sets a timer for this time, and cancels the current one unless it is set for the same time; that one is then kept.
    pub(crate) fn reschedule(
        &mut self,
        current: Option<TimerKey>,
        at: Time,
        timer: Timer,
    ) -> TimerKey {
        if let Some(key) = current.filter(|key| key.at == at) {
            return key;
        }
        self.cancel(current);
        self.set(at, timer)
    }

    pub(crate) fn is_pending(&self, timer: Timer) -> bool {
        self.pending.values().any(|pending| *pending == timer)
    }

    pub(crate) fn next_due(&self) -> Option<Time> {
        self.pending.first_key_value().map(|(key, _)| key.at)
    }

    /// Takes the first timer that is due.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<Timer> {
        let first = self
            .pending
            .first_entry()
            .filter(|entry| entry.key().at <= now)?;
        Some(first.remove())
    }
}
