//! The members' clock against this process's, which is read once at the start and may have been wrong then.
//!
//! Members state positions as Unix times, and a primary's position is the present. So the position in a primary's answer, and any
//! position in the future, shows how far this process's clock is behind.

use stackgw_router::api::{Span, Time, SECOND};
use std::collections::VecDeque;

/// Number of samples that are kept; a wrong one has no effect after as many further answers of primaries.
const SAMPLES: usize = 8;
/// A larger difference is no clock that was stepped but a wrong number.
const MAX_OFFSET: Span = 25 * 60 * 60 * SECOND;

/// The offset of the members' clock, estimated from the latest samples.
#[derive(Debug, Default)]
pub(crate) struct MemberClock {
    /// By how much the positions were ahead of this process's clock when they arrived.
    samples: VecDeque<Span>,
}

impl MemberClock {
    /// Adds a member's position as a sample if it says something about the clock: it is a primary's, or further in the future than
    /// clocks may differ.
    pub(crate) fn observe(
        &mut self,
        now: Time,
        position: Time,
        is_primary: bool,
        max_clock_skew: Span,
    ) {
        let ahead = position.saturating_sub(now);
        if ahead > MAX_OFFSET || !(is_primary || ahead > max_clock_skew) {
            return;
        }
        self.samples.push_back(ahead);
        if self.samples.len() > SAMPLES {
            self.samples.pop_front();
        }
    }

    /// At least how far the members' clock is ahead, or negative if it is behind; `None` until a sample shows it. Differences
    /// within the allowed clock skew count as none.
    pub(crate) fn offset(&self, max_clock_skew: Span) -> Option<Span> {
        let largest = *self.samples.iter().max()?;
        Some(if largest.abs() <= max_clock_skew {
            0
        } else {
            largest
        })
    }

    /// Whether a position is not in the future: by this process's clock, or by that of the members if at least two samples agree on
    /// it. A single wrong number must not make its member the freshest.
    pub(crate) fn is_plausible(&self, now: Time, position: Time, max_clock_skew: Span) -> bool {
        let ahead = position.saturating_sub(now);
        let confirms = |sample: &&Span| **sample >= ahead - max_clock_skew;
        ahead <= max_clock_skew
            || (ahead <= MAX_OFFSET && self.samples.iter().filter(confirms).count() >= 2)
    }
}
