//! The gateway's clock.

use stackgw_router::api::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock, anchored once to the system clock: Unix time in nanoseconds that never goes back.
#[derive(Debug, Clone, Copy)]
pub(super) struct Clock {
    anchor: Instant,
    /// Unix time of the anchor.
    anchor_unix: Time,
}

impl Clock {
    pub(super) fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            anchor: Instant::now(),
            anchor_unix: unix.as_nanos() as Time,
        }
    }

    pub(super) fn now(&self) -> Time {
        self.anchor_unix + self.anchor.elapsed().as_nanos() as Time
    }

    pub(super) fn instant(&self, at: Time) -> Instant {
        let since_anchor = at.saturating_sub(self.anchor_unix).max(0);
        self.anchor + Duration::from_nanos(since_anchor as u64)
    }
}
