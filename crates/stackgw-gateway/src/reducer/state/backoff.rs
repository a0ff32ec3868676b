//! The pauses between watches of the endpoint list, so that a fleet which loses the list service together does not come back to
//! it in step.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stackgw_router::api::{Span, Time};

/// A pause with jitter is at least this part of the longest one.
const MIN_JITTER_FRACTION: f64 = 0.5;

/// Which of a fleet's instances this one is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InstanceSlot {
    pub(crate) index: u32,
    pub(crate) fleet_size: u32,
    /// Seeds its random numbers; other instances have others.
    pub(crate) seed: u64,
}

/// A backoff whose length doubles, with jitter. Once it has grown to its longest, the pauses end in the instance's own slot of
/// each such interval: slots lie evenly apart over the fleet, which random pauses alone do not.
pub(crate) struct Backoff {
    length: Span,
    /// Where in an interval the slot lies, from 0 to 1.
    slot: f64,
    rng: Pcg64Mcg,
}

impl Backoff {
    pub(crate) fn new(instance: InstanceSlot) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(instance.seed);
        let is_numbered = instance.index < instance.fleet_size;
        let slot = if is_numbered {
            f64::from(instance.index) / f64::from(instance.fleet_size)
        } else {
            rng.random_range(0.0..1.0)
        };
        Backoff {
            length: 0,
            slot,
            rng,
        }
    }

    /// The next pause starts from the shortest again.
    pub(crate) fn reset(&mut self) {
        self.length = 0;
    }

    /// The next pause: positive, and never longer than `max`.
    pub(crate) fn next_pause(&mut self, now: Time, min: Span, max: Span) -> Span {
        self.length = (self.length * 2).clamp(min, max);
        if self.length == max {
            let slot = (self.slot * max as f64) as Span;
            return max - (now - slot).rem_euclid(max);
        }
        let fraction = self.rng.random_range(MIN_JITTER_FRACTION..=1.0);
        (self.length as f64 * fraction) as Span
    }
}
