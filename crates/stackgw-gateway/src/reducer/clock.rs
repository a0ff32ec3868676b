//! The router's clock.

use stackgw_router::api::{Span, Time};

/// Rounds times down to ticks. The router's interface promises that events are no closer together than one tick; events
/// that are closer belong to the same tick.
///
/// Danger: after a pause of this process, the first of many late responses would otherwise alone count as late.
#[derive(Debug, Clone, Copy)]
pub struct TickClock {
    tick: Span,
    current: Option<Time>,
}

impl TickClock {
    /// A clock whose ticks are at least this far apart.
    pub fn new(tick: Span) -> Self {
        TickClock {
            tick,
            current: None,
        }
    }

    /// The tick that this time belongs to.
    pub fn tick_of(&mut self, now: Time) -> Time {
        match self.current {
            Some(current) if now - current < self.tick => current,
            _ => *self.current.insert(now),
        }
    }
}
