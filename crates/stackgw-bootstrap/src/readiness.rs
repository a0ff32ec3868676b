//! Decides when an instance is ready to route by its list, and when it has run long enough to draw conclusions about its peers.

use crate::update_source::Origin;
use stackgw_router::api::{Span, Time, SECOND};

/// Nothing is concluded from the silence of peers until this time after the start, as they may be starting as well.
pub const SETTLING_TIME: Span = SECOND;

/// Decides readiness by the time since an instance started, or since its list service was replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Readiness {
    started_at: Time,
    cached_list_wait: Span,
}

impl Readiness {
    /// Creates the state of an instance that starts now and waits for `cached_list_wait` for a better list than a cached one.
    pub fn new(now: Time, cached_list_wait: Span) -> Self {
        Readiness {
            started_at: now,
            cached_list_wait,
        }
    }

    /// Restarts the time measurement because the list service was replaced.
    pub fn restart(&mut self, now: Time) {
        self.started_at = now;
    }

    /// Returns when the instance started, or its list service was last replaced.
    pub fn started_at(&self) -> Time {
        self.started_at
    }

    /// Returns whether the instance has run long enough to draw conclusions about its peers.
    pub fn has_settled(&self, now: Time) -> bool {
        now - self.started_at >= SETTLING_TIME
    }

    /// Returns whether a list of this origin may be used for routing. `None`: there is no list.
    pub fn is_ready(&self, now: Time, origin: Option<Origin>) -> bool {
        match origin {
            None => false,
            Some(Origin::Cached) => now >= self.cached_list_ready_at(),
            Some(Origin::Peer | Origin::Service) => true,
        }
    }

    /// Returns the time from which a cached list may be used for routing.
    pub fn cached_list_ready_at(&self) -> Time {
        self.started_at + self.cached_list_wait
    }

    /// Returns the next time at which [`Readiness::has_settled`] or [`Readiness::is_ready`] may change without any input.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        let changes = [self.started_at + SETTLING_TIME, self.cached_list_ready_at()];
        changes.into_iter().filter(|at| *at > now).min()
    }
}
