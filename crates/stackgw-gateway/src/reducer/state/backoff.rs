//! Backoff between watches of the endpoint list. It keeps the instances of a fleet that lost the list service at the same time
//! from reconnecting at the same time.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stackgw_router::api::{Span, Time};

/// A pause with jitter is at least this fraction of the current backoff length.
const MIN_JITTER_FRACTION: f64 = 0.5;

/// This instance's position in its fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InstanceSlot {
    pub(crate) index: u32,
    pub(crate) fleet_size: u32,
    /// Seed of the random numbers; it differs between instances.
    pub(crate) seed: u64,
}

/// A backoff whose length doubles, with jitter. Once it has reached the maximum, the pauses end at the instance's own slot in
/// each interval of that length: slots are spaced evenly over the fleet, while random pauses would not be.
pub(crate) struct Backoff {
    length: Span,
    /// The slot's position in an interval, from 0 to 1.
    slot: f64,
    rng: Pcg64Mcg,
}

impl Backoff {
    pub(crate) fn new(instance: InstanceSlot) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(instance.seed);
        let has_index = instance.index < instance.fleet_size;
        let slot = if has_index {
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

    /// Restarts the backoff from the shortest pause.
    pub(crate) fn reset(&mut self) {
        self.length = 0;
    }

    /// Returns the next pause, which is positive and never longer than `max`.
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
