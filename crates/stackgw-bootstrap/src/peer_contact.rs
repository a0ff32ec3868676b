//! Records when peers last showed that they are in contact with the list service.

use crate::readiness::SETTLING_TIME;
use stackgw_router::api::{Span, Time};

/// Contact with the list service, as seen in messages from peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerContact {
    watch_timeout: Span,
    /// When a peer last sent a list that the service had recently confirmed.
    last_fresh_at: Option<Time>,
    /// When a peer with a live watch of its own last sent such a list.
    last_live_at: Option<Time>,
}

impl PeerContact {
    /// Creates a record without any contact. A contact is ignored once it is `watch_timeout` old.
    pub fn new(watch_timeout: Span) -> Self {
        PeerContact {
            watch_timeout,
            last_fresh_at: None,
            last_live_at: None,
        }
    }

    /// Records that a peer sent a list that the service had recently confirmed. `is_live`: the peer has a live watch.
    pub fn record(&mut self, now: Time, is_live: bool) {
        self.last_fresh_at = Some(now);
        if is_live {
            self.last_live_at = Some(now);
        }
    }

    /// Returns whether a peer with a live watch of its own was heard within `watch_timeout`.
    pub fn has_live_peer(&self, now: Time) -> bool {
        self.last_live_at
            .is_some_and(|at| now - at < self.watch_timeout)
    }

    /// Returns the time from which an instance that started at `started_at` assumes that no peer is in contact with the service.
    pub fn lost_at(&self, started_at: Time) -> Time {
        match self.last_fresh_at {
            Some(at) => at + self.watch_timeout,
            None => started_at + SETTLING_TIME,
        }
    }
}
