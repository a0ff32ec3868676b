//! Asking in turns: when this instance may ask the list service, so that all of them together stay within what it bears.
//!
//! Every pause has chance in it. The spans follow from how many may ask and how many asks a second the service bears; there is
//! no fixed pause to fall into step by. An instance has its own part of each span (its number in the fleet), and chance moves it
//! within that part: a fleet that starts to the same millisecond asks evenly, and not just evenly on average.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stackgw_router::api::{Span, Time, SECOND};

/// Part of what the service bears that gateways use; the rest is for whoever else asks it.
const USE: f64 = 0.8;
/// No word of the service puts an ask off for longer.
///
/// Danger: a change counts as told 6 s after the service had it and could be reached, whatever it said before. An ask that
/// fails late (3 s), this, and the longest pause stay within that wherever the service bears one ask a second of each instance.
const PUT_OFF_MOST: Span = 2 * SECOND;
/// Parts of a golden section apart, no two spans put an instance into the same place.
const GOLDEN: f64 = 0.618_033_988_749_895;

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
    pace: PollRate,
    rng: Pcg64Mcg,
    /// Asks in a row that brought nothing.
    failed: u32,
    asked: u32,
    /// The service has asked to be left alone until then.
    put_off: Time,
}

impl PollSchedule {
    /// PollSchedule of an instance that has not asked yet.
    pub fn new(pace: PollRate, seed: u64) -> Self {
        PollSchedule {
            pace,
            rng: Pcg64Mcg::seed_from_u64(seed),
            failed: 0,
            asked: 0,
            put_off: 0,
        }
    }

    /// The span within which so many can ask once.
    pub fn span(&self, askers: u32) -> Span {
        let seconds = f64::from(askers.max(1)) / (self.pace.service_capacity.max(0.01) * USE);
        (seconds * SECOND as f64) as Span
    }

    /// A share below one: this instance's place in a span that so many share, by chance; where the whole fleet does, moved
    /// by chance within its own part of it.
    fn place(&mut self, askers: u32) -> f64 {
        if askers < self.pace.fleet_size {
            return self.rng.random();
        }
        let fleet = f64::from(self.pace.fleet_size.max(1));
        let part = (f64::from(self.pace.instance_number) + self.rng.random::<f64>()) / fleet;
        (part + f64::from(self.asked) * GOLDEN).fract()
    }

    /// When to ask for the first time, one of so many that may.
    pub fn first(&mut self, now: Time, askers: u32) -> Time {
        // Danger: all that were told the same time to come back would come back in it.
        let put_off = self.put_off > now;
        let span = self.span(if put_off {
            self.pace.fleet_size
        } else {
            askers
        });
        let place = self.place(askers);
        now.max(self.put_off) + (span as f64 * place) as Span
    }

    /// It asks now.
    pub fn asks(&mut self) {
        self.asked = self.asked.wrapping_add(1);
    }

    /// An ask brought nothing, or what it brought has ended: when to ask again. Pauses grow by doubling up to a span of the
    /// whole fleet.
    pub fn again(&mut self, now: Time, askers: u32) -> Time {
        let (fleet, mine) = (
            self.span(self.pace.fleet_size) as f64,
            self.span(askers) as f64,
        );
        let least = self.pace.min_pause as f64;
        // A pause is anything up to twice the span: the span on average, which keeps all of them within what is borne.
        let span = (mine * 2f64.powi(self.failed.min(16) as i32))
            .min(fleet.max(mine))
            .max(least);
        self.failed += 1;
        let place = self.place(askers);
        let pause = (2.0 * span * place) as Span;
        let put_off = self.put_off.max(now);
        let spread = if put_off > now {
            pause.max((fleet * place) as Span)
        } else {
            pause
        };
        put_off + spread
    }

    /// An ask brought a list.
    pub fn served(&mut self) {
        self.failed = 0;
    }

    /// The service is overloaded and wants to be left alone for this long: its own word, or a peer's.
    pub fn put_off(&mut self, now: Time, wait: Span) {
        self.put_off = self.put_off.max(now + wait.clamp(0, PUT_OFF_MOST));
    }

    /// For how long the service still wants to be left alone.
    pub fn put_off_for(&self, now: Time) -> Span {
        (self.put_off - now).max(0)
    }
}
