//! When this instance may poll the list service, so that the whole fleet stays within the service's capacity.
//!
//! Every pause is jittered. The window over which polls are spread follows from how many instances may poll and how many
//! requests a second the service can serve; there is no fixed pause by which instances could fall into step. An instance has
//! its own part of each window (by its number in the fleet), and jitter moves it within that part: a fleet that starts in the
//! same millisecond polls evenly, and not just evenly on average.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stackgw_router::api::{Span, Time, SECOND};

/// The part of the service's capacity that gateways use; the rest is for its other clients.
const CAPACITY_USE: f64 = 0.8;
/// A smaller capacity of the service is read as this, in requests a second.
const MIN_SERVICE_CAPACITY: f64 = 0.01;
/// A Retry-After of the service postpones a poll by no more than this.
///
/// Danger: a change has to be known 6 s after the service had it and could be reached, whatever the service demanded before.
/// A poll that fails late (3 s), this, and the longest pause stay within that wherever the service can serve one poll a second
/// of each instance.
const MAX_RETRY_AFTER: Span = 2 * SECOND;
/// An instance's part of the window moves by the golden section from poll to poll, so that no two windows put it into the same
/// place.
const GOLDEN_SECTION: f64 = 0.618_033_988_749_895;
/// The backoff doubles so often at most.
const MAX_DOUBLINGS: u32 = 16;

/// What the pace of polls follows from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PollRate {
    /// This instance's number in the fleet, from 0 on.
    pub instance_number: u32,
    /// The number of instances.
    pub fleet_size: u32,
    /// Requests a second that the service can serve.
    pub service_capacity: f64,
    /// The shortest pause between polls, on average.
    pub min_pause: Span,
}

/// The polls of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct PollSchedule {
    rate: PollRate,
    rng: Pcg64Mcg,
    /// Polls in a row that brought nothing.
    failures: u32,
    polls: u32,
    /// The service has asked not to be polled before this.
    retry_after: Time,
}

impl PollSchedule {
    /// The schedule of an instance that has not polled yet.
    pub fn new(rate: PollRate, seed: u64) -> Self {
        PollSchedule {
            rate,
            rng: Pcg64Mcg::seed_from_u64(seed),
            failures: 0,
            polls: 0,
            retry_after: 0,
        }
    }

    /// The window within which so many instances can poll once.
    pub fn window(&self, pollers: u32) -> Span {
        let capacity = self.rate.service_capacity.max(MIN_SERVICE_CAPACITY) * CAPACITY_USE;
        let seconds = f64::from(pollers.max(1)) / capacity;
        (seconds * SECOND as f64) as Span
    }

    /// This instance's place in a window that so many share, from 0 up to 1: at random, or, where the whole fleet polls, at
    /// random within its own part.
    fn place_in_window(&mut self, pollers: u32) -> f64 {
        if pollers < self.rate.fleet_size {
            return self.rng.random();
        }
        let fleet_size = f64::from(self.rate.fleet_size.max(1));
        let part = (f64::from(self.rate.instance_number) + self.rng.random::<f64>()) / fleet_size;
        (part + f64::from(self.polls) * GOLDEN_SECTION).fract()
    }

    /// When to poll for the first time, as one of so many pollers.
    pub fn first_poll_at(&mut self, now: Time, pollers: u32) -> Time {
        // Danger: all instances that were given the same Retry-After would otherwise come back within a few pollers' window.
        let is_postponed = self.retry_after > now;
        let window = self.window(if is_postponed {
            self.rate.fleet_size
        } else {
            pollers
        });
        let place = self.place_in_window(pollers);
        now.max(self.retry_after) + (window as f64 * place) as Span
    }

    /// A poll has begun.
    pub fn record_poll(&mut self) {
        self.polls = self.polls.wrapping_add(1);
    }

    /// A poll has failed, or the watch that it opened has ended: when to poll again. The backoff doubles up to a window of the
    /// whole fleet.
    pub fn retry_at(&mut self, now: Time, pollers: u32) -> Time {
        let fleet_window = self.window(self.rate.fleet_size) as f64;
        let own_window = self.window(pollers) as f64;
        let doublings = self.failures.min(MAX_DOUBLINGS) as i32;
        let backoff = (own_window * 2f64.powi(doublings)).min(fleet_window.max(own_window));
        self.failures += 1;
        let place = self.place_in_window(pollers);
        // A pause is anything up to twice the backoff: the backoff on average, which keeps the fleet within the capacity.
        let pause = (2.0 * backoff.max(self.rate.min_pause as f64) * place) as Span;
        if self.retry_after > now {
            self.retry_after + pause.max((fleet_window * place) as Span)
        } else {
            now + pause
        }
    }

    /// A poll has brought a list.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// The service is overloaded and asks not to be polled for this long; it said so here or to a peer.
    pub fn postpone(&mut self, now: Time, retry_after: Span) {
        self.retry_after = self
            .retry_after
            .max(now + retry_after.clamp(0, MAX_RETRY_AFTER));
    }

    /// For how long the service still asks not to be polled.
    pub fn remaining_retry_after(&self, now: Time) -> Span {
        (self.retry_after - now).max(0)
    }
}
