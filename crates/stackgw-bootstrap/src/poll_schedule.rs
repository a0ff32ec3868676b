//! When this instance may poll the list service, so that the whole fleet stays within the service's capacity.
//!
//! Every pause is jittered. The length of the window over which polls are spread follows from how many instances may poll and
//! how many requests per second the service can serve; there is no fixed pause that could synchronize instances. Each instance
//! has its own slot in each window (by its number in the fleet), and polls at a random time within that slot: the polls of a
//! fleet that starts in the same millisecond are spread evenly, and not just evenly on average.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stackgw_router::api::{Span, Time, SECOND};

/// The share of the service's capacity that gateways use; the rest is for its other clients.
const CAPACITY_USE: f64 = 0.8;
/// Lower bound of [`PollRate::service_capacity`], in requests per second.
const MIN_SERVICE_CAPACITY: f64 = 0.01;
/// A retry-after of the service postpones a poll by no more than this.
///
/// Every instance must know of a change within 6 s after the service had it and was reachable, regardless of earlier
/// retry-after times. A poll that fails late (3 s), this, and the longest pause together stay within that limit if the service
/// can serve one poll per second from each instance.
const MAX_RETRY_AFTER: Span = 2 * SECOND;
/// An instance's slot moves by the golden section of the window from poll to poll, so that it is never in the same place in two
/// windows.
const GOLDEN_SECTION: f64 = 0.618_033_988_749_895;
/// The backoff doubles at most this many times.
const MAX_DOUBLINGS: u32 = 16;

/// Parameters from which the pace of polls is computed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PollRate {
    /// This instance's number in the fleet, starting at 0.
    pub instance_number: u32,
    /// The number of instances.
    pub fleet_size: u32,
    /// Requests per second that the service can serve.
    pub service_capacity: f64,
    /// Lower bound of the average pause between polls.
    pub min_pause: Span,
}

/// Schedules the polls of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct PollSchedule {
    rate: PollRate,
    rng: Pcg64Mcg,
    /// Consecutive failed polls.
    failures: u32,
    polls: u32,
    /// The service has requested not to be polled before this.
    retry_after: Time,
}

impl PollSchedule {
    /// Creates the schedule of an instance that has not polled yet.
    pub fn new(rate: PollRate, seed: u64) -> Self {
        PollSchedule {
            rate,
            rng: Pcg64Mcg::seed_from_u64(seed),
            failures: 0,
            polls: 0,
            retry_after: 0,
        }
    }

    /// The length of the window within which this many instances can each poll once.
    pub fn window(&self, pollers: u32) -> Span {
        let capacity = self.rate.service_capacity.max(MIN_SERVICE_CAPACITY) * CAPACITY_USE;
        let seconds = f64::from(pollers.max(1)) / capacity;
        (seconds * SECOND as f64) as Span
    }

    /// A random position of this instance in a window shared by this many pollers, from 0 up to 1. If the whole fleet polls,
    /// the position is within the instance's own slot.
    fn position_in_window(&mut self, pollers: u32) -> f64 {
        if pollers < self.rate.fleet_size {
            return self.rng.random();
        }
        let fleet_size = f64::from(self.rate.fleet_size.max(1));
        let slot = (f64::from(self.rate.instance_number) + self.rng.random::<f64>()) / fleet_size;
        (slot + f64::from(self.polls) * GOLDEN_SECTION).fract()
    }

    /// When to poll for the first time, as one of this many pollers.
    pub fn first_poll_at(&mut self, now: Time, pollers: u32) -> Time {
        // Without the fleet's window, all instances that received the same retry-after would poll again within a window that
        // is sized for a few pollers.
        let is_postponed = self.retry_after > now;
        let window = self.window(if is_postponed {
            self.rate.fleet_size
        } else {
            pollers
        });
        let position = self.position_in_window(pollers);
        now.max(self.retry_after) + (window as f64 * position) as Span
    }

    /// Records that a poll has begun.
    pub fn record_poll(&mut self) {
        self.polls = self.polls.wrapping_add(1);
    }

    /// When to poll again after a poll has failed or the watch that it opened has ended. The backoff doubles with each failure,
    /// up to the window of the whole fleet.
    pub fn retry_at(&mut self, now: Time, pollers: u32) -> Time {
        let fleet_window = self.window(self.rate.fleet_size) as f64;
        let own_window = self.window(pollers) as f64;
        let doublings = self.failures.min(MAX_DOUBLINGS) as i32;
        let backoff = (own_window * 2f64.powi(doublings)).min(fleet_window.max(own_window));
        self.failures += 1;
        let position = self.position_in_window(pollers);
        // Pauses are spread from 0 to twice the backoff. The average is the backoff, which keeps the fleet within the capacity.
        let pause = (2.0 * backoff.max(self.rate.min_pause as f64) * position) as Span;
        if self.retry_after > now {
            self.retry_after + pause.max((fleet_window * position) as Span)
        } else {
            now + pause
        }
    }

    /// Records that a poll has returned a list.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Postpones polls because the service is overloaded and has requested, here or at a peer, not to be polled for this long.
    pub fn postpone(&mut self, now: Time, retry_after: Span) {
        self.retry_after = self
            .retry_after
            .max(now + retry_after.clamp(0, MAX_RETRY_AFTER));
    }

    /// The remaining time for which the service must not be polled, as it requested.
    pub fn remaining_retry_after(&self, now: Time) -> Span {
        (self.retry_after - now).max(0)
    }
}
