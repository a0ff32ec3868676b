//! Asking in turns: when this instance may ask the list service, so that all of them together stay within what it bears.
//!
//! Every pause has chance in it. The spans follow from how many may ask and how many asks a second the service bears; there is
//! no fixed pause to fall into step by. An instance has its own part of each span (its number in the fleet), and chance moves it
//! within that part: a fleet that starts to the same millisecond asks evenly, and not just evenly on average.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stackgw_router::api::{Span, Time, SECOND};

/// Part of what the service bears that gateways use; the rest is for whoever else asks it.
const CAPACITY_USE: f64 = 0.8;
/// No word of the service puts an ask off for longer.
///
/// Danger: a change counts as told 6 s after the service had it and could be reached, whatever it said before. An ask that
/// fails late (3 s), this, and the longest pause stay within that wherever the service bears one ask a second of each instance.
const MAX_RETRY_AFTER: Span = 2 * SECOND;
/// Parts of a golden section apart, no two spans put an instance into the same place.
const GOLDEN_SECTION: f64 = 0.618_033_988_749_895;

/// What turns go by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PollRate {
    /// This instance's number.
    pub instance_number: u32,
    /// How many there are.
    pub fleet_size: u32,
    /// Asks a second that the service bears.
    pub service_capacity: f64,
    /// No pause is shorter than this on average.
    pub min_pause: Span,
}

/// The turns of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct PollSchedule {
    rate: PollRate,
    rng: Pcg64Mcg,
    /// Asks in a row that brought nothing.
    failures: u32,
    polls: u32,
    /// The service has asked to be left alone until then.
    retry_after: Time,
}

impl PollSchedule {
    /// PollSchedule of an instance that has not asked yet.
    pub fn new(rate: PollRate, seed: u64) -> Self {
        PollSchedule {
            rate,
            rng: Pcg64Mcg::seed_from_u64(seed),
            failures: 0,
            polls: 0,
            retry_after: 0,
        }
    }

    /// The span within which so many can ask once.
    pub fn window(&self, pollers: u32) -> Span {
        let seconds =
            f64::from(pollers.max(1)) / (self.rate.service_capacity.max(0.01) * CAPACITY_USE);
        (seconds * SECOND as f64) as Span
    }

    /// A share below one: this instance's place in a span that so many share, by chance; where the whole fleet does, moved
    /// by chance within its own part of it.
    fn place_in_window(&mut self, pollers: u32) -> f64 {
        if pollers < self.rate.fleet_size {
            return self.rng.random();
        }
        let fleet = f64::from(self.rate.fleet_size.max(1));
        let part = (f64::from(self.rate.instance_number) + self.rng.random::<f64>()) / fleet;
        (part + f64::from(self.polls) * GOLDEN_SECTION).fract()
    }

    /// When to ask for the first time, one of so many that may.
    pub fn first_poll_at(&mut self, now: Time, pollers: u32) -> Time {
        // Danger: all that were told the same time to come back would come back in it.
        let put_off = self.retry_after > now;
        let span = self.window(if put_off {
            self.rate.fleet_size
        } else {
            pollers
        });
        let place = self.place_in_window(pollers);
        now.max(self.retry_after) + (span as f64 * place) as Span
    }

    /// It asks now.
    pub fn record_poll(&mut self) {
        self.polls = self.polls.wrapping_add(1);
    }

    /// An ask brought nothing, or what it brought has ended: when to ask again. Pauses grow by doubling up to a span of the
    /// whole fleet.
    pub fn retry_at(&mut self, now: Time, pollers: u32) -> Time {
        let (fleet, mine) = (
            self.window(self.rate.fleet_size) as f64,
            self.window(pollers) as f64,
        );
        let least = self.rate.min_pause as f64;
        // A pause is anything up to twice the span: the span on average, which keeps all of them within what is borne.
        let span = (mine * 2f64.powi(self.failures.min(16) as i32))
            .min(fleet.max(mine))
            .max(least);
        self.failures += 1;
        let place = self.place_in_window(pollers);
        let pause = (2.0 * span * place) as Span;
        let put_off = self.retry_after.max(now);
        let spread = if put_off > now {
            pause.max((fleet * place) as Span)
        } else {
            pause
        };
        put_off + spread
    }

    /// An ask brought a list.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// The service is overloaded and wants to be left alone for this long: its own word, or a peer's.
    pub fn postpone(&mut self, now: Time, wait: Span) {
        self.retry_after = self.retry_after.max(now + wait.clamp(0, MAX_RETRY_AFTER));
    }

    /// For how long the service still wants to be left alone.
    pub fn remaining_retry_after(&self, now: Time) -> Span {
        (self.retry_after - now).max(0)
    }
}
