//! When this instance last heard, by way of peers, that the list service is reached.

use crate::readiness::SETTLING_TIME;
use stackgw_router::api::{Span, Time};

/// What was heard of the list service by way of peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerContact {
    watch_timeout: Span,
    /// When a list last came that the service had confirmed lately.
    last_fresh_at: Option<Time>,
    /// When such a list last came from a peer with a watch of its own.
    last_live_at: Option<Time>,
}

impl PeerContact {
    /// Nothing has been heard yet. What is older than `watch_timeout` does not count.
    pub fn new(watch_timeout: Span) -> Self {
        PeerContact {
            watch_timeout,
            last_fresh_at: None,
            last_live_at: None,
        }
    }

    /// A peer has sent a list that the service had confirmed lately; `is_live`: it has a watch of its own.
    pub fn record(&mut self, now: Time, is_live: bool) {
        self.last_fresh_at = Some(now);
        if is_live {
            self.last_live_at = Some(now);
        }
    }

    /// Whether a peer with a watch of its own has been heard lately.
    pub fn has_live_peer(&self, now: Time) -> bool {
        self.last_live_at
            .is_some_and(|at| now - at < self.watch_timeout)
    }

    /// From when on the service counts as lost to all peers, by an instance that started at `started_at`.
    pub fn lost_at(&self, started_at: Time) -> Time {
        match self.last_fresh_at {
            Some(at) => at + self.watch_timeout,
            None => started_at + SETTLING_TIME,
        }
    }
}
