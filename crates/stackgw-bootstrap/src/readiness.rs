//! When an instance is ready to route by its list, and when it has been up long enough to judge what it hears of peers.

use crate::update_source::Origin;
use stackgw_router::api::{Span, Time, SECOND};

/// A peer that is polled first thing may be starting itself: nothing is concluded from its silence before this.
pub const SETTLING_TIME: Span = SECOND;

/// Measures the time since an instance started, or since its list service was replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Readiness {
    started_at: Time,
    cached_list_wait: Span,
}

impl Readiness {
    /// An instance that starts now and waits for so long for a better list than a cached one.
    pub fn new(now: Time, cached_list_wait: Span) -> Self {
        Readiness {
            started_at: now,
            cached_list_wait,
        }
    }

    /// Begins anew, as the list service was replaced.
    pub fn restart(&mut self, now: Time) {
        self.started_at = now;
    }

    /// When the instance started.
    pub fn started_at(&self) -> Time {
        self.started_at
    }

    /// Whether the instance has been up long enough to judge what it hears of peers.
    pub fn has_settled(&self, now: Time) -> bool {
        now - self.started_at >= SETTLING_TIME
    }

    /// Whether a list of this origin (`None`: there is none) may be routed by.
    pub fn is_ready(&self, now: Time, origin: Option<Origin>) -> bool {
        match origin {
            None => false,
            Some(Origin::Cached) => now >= self.cached_list_ready_at(),
            Some(Origin::Peer | Origin::Service) => true,
        }
    }

    /// From when on a cached list may be routed by.
    pub fn cached_list_ready_at(&self) -> Time {
        self.started_at + self.cached_list_wait
    }

    /// When one of the answers above changes next by time alone.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        let changes = [self.started_at + SETTLING_TIME, self.cached_list_ready_at()];
        changes.into_iter().filter(|at| *at > now).min()
    }
}
