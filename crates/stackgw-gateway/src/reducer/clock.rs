//! The router's clock.

use stackgw_router::api::{Span, Time};

/// Rounds times down to ticks. The router requires that the times of events differ by at least one tick or are equal; events
/// that are closer together get the same time.
///
/// Otherwise, after a pause of this process, only the first of many late responses would count as late.
#[derive(Debug, Clone, Copy)]
pub struct TickClock {
    tick: Span,
    current: Option<Time>,
}

impl TickClock {
    /// Creates a clock whose ticks are at least this far apart.
    pub fn new(tick: Span) -> Self {
        TickClock {
            tick,
            current: None,
        }
    }

    /// Returns the start of the tick that this time belongs to.
    pub fn tick_of(&mut self, now: Time) -> Time {
        match self.current {
            Some(current) if now - current < self.tick => current,
            _ => *self.current.insert(now),
        }
    }
}
