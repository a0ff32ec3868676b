//! Determines when this instance may poll the list service, so that the whole fleet stays within the service's capacity.
//!
//! Every pause is jittered. The length of the window over which polls are spread follows from how many instances may poll and
//! how many requests per second the service can serve; there is no fixed pause that could synchronize instances.
//!
//! If the whole fleet polls, each instance has its own slot in each window (by its number in the fleet), and polls at a random
//! time within that slot: the polls of a fleet that starts in the same millisecond are spread evenly, and not just evenly on
//! average. If fewer instances poll, such as the leaders, each polls at a random time within the whole window.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stackgw_router::api::{Span, Time, SECOND};

/// The share of the service's capacity that gateways use; the rest is for its other clients.
const CAPACITY_USE: f64 = 0.8;
/// Lower bound of [`PollRate::service_capacity`], in requests per second.
const MIN_SERVICE_CAPACITY: f64 = 0.01;
/// A retry-after of the service postpones a poll by no more than this.
///
/// Every instance must know of a change within 6 s after the service had it and was reachable, regardless of retry-after times
/// that it received before. The next poll begins at most the longest pause, twice the fleet's window, after the later of two
/// times: the end of such a retry-after (2 s), and the time when the current poll or watch is given up (by the gateway: 3 s for
/// a poll that is connected and gets no answer, 4 s for a watch that has become silent).
///
/// If the service can serve one poll per second from each instance, the window is 1 s / [`CAPACITY_USE`] = 1.25 s. The next
/// poll then begins within 2 s + 2.5 s = 4.5 s after a retry-after, 3 s + 2.5 s = 5.5 s after a poll without an answer, and
/// 4 s + 2.5 s = 6.5 s after a silent watch. The limit of 6 s thus holds for a silent watch only if the service can serve at
/// least 1.25 polls per second from each instance (a window of 1 s).
const MAX_RETRY_AFTER: Span = 2 * SECOND;
/// If the whole fleet polls, an instance's slot moves by the golden section of the window from poll to poll, so that it is never
/// in the same place in two windows.
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
    /// Lower bound of the average pause before a poll or watch is retried.
    pub min_pause: Span,
}

/// Schedules the polls of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct PollSchedule {
    rate: PollRate,
    rng: Pcg64Mcg,
    /// Retries scheduled, after failed polls and ended watches, since the last [`PollSchedule::record_success`].
    retries: u32,
    /// Polls begun; wraps around.
    polls: u32,
    /// The service has requested not to be polled before this.
    postponed_until: Time,
}

impl PollSchedule {
    /// Creates the schedule of an instance that has not polled yet.
    pub fn new(rate: PollRate, seed: u64) -> Self {
        PollSchedule {
            rate,
            rng: Pcg64Mcg::seed_from_u64(seed),
            retries: 0,
            polls: 0,
            postponed_until: 0,
        }
    }

    /// Returns the length of the window within which this many instances can each poll once with 80% (`CAPACITY_USE`) of the
    /// service's capacity.
    pub fn window(&self, pollers: u32) -> Span {
        let capacity = self.rate.service_capacity.max(MIN_SERVICE_CAPACITY) * CAPACITY_USE;
        let seconds = f64::from(pollers.max(1)) / capacity;
        (seconds * SECOND as f64) as Span
    }

    /// Returns a random position of this instance in a window shared by this many pollers: at least 0 and below 1. If the whole
    /// fleet polls, the position is within the instance's own slot.
    fn position_in_window(&mut self, pollers: u32) -> f64 {
        if pollers < self.rate.fleet_size {
            return self.rng.random();
        }
        let fleet_size = f64::from(self.rate.fleet_size.max(1));
        let slot = (f64::from(self.rate.instance_number) + self.rng.random::<f64>()) / fleet_size;
        (slot + f64::from(self.polls) * GOLDEN_SECTION).fract()
    }

    /// Returns when to poll without a backoff, as one of this many pollers: for the first time, or after a peer has shown that
    /// the service is reachable again. The poll is not before the end of a retry-after.
    pub fn first_poll_at(&mut self, now: Time, pollers: u32) -> Time {
        // Without the fleet's window, all instances that received the same retry-after would poll again within a window that
        // is sized for a few pollers.
        let is_postponed = self.postponed_until > now;
        let window = self.window(if is_postponed {
            self.rate.fleet_size
        } else {
            pollers
        });
        let position = self.position_in_window(pollers);
        now.max(self.postponed_until) + (window as f64 * position) as Span
    }

    /// Records that a poll has begun.
    pub fn record_poll(&mut self) {
        self.polls = self.polls.wrapping_add(1);
    }

    /// Returns when to poll again after a poll has failed or the watch that it opened has ended. The backoff doubles with each
    /// retry since the last success, up to the window of the whole fleet.
    pub fn retry_at(&mut self, now: Time, pollers: u32) -> Time {
        let fleet_window = self.window(self.rate.fleet_size) as f64;
        let own_window = self.window(pollers) as f64;
        let doublings = self.retries.min(MAX_DOUBLINGS) as i32;
        let backoff = (own_window * 2f64.powi(doublings)).min(fleet_window.max(own_window));
        self.retries += 1;
        let position = self.position_in_window(pollers);
        // Pauses are spread from 0 to twice the backoff (or twice `min_pause`, if that is longer). The average is the backoff,
        // which keeps the fleet within the capacity.
        let pause = (2.0 * backoff.max(self.rate.min_pause as f64) * position) as Span;
        if self.postponed_until > now {
            self.postponed_until + pause.max((fleet_window * position) as Span)
        } else {
            now + pause
        }
    }

    /// Resets the backoff: a poll has returned a list, or a peer has shown that the service is reachable again.
    pub fn record_success(&mut self) {
        self.retries = 0;
    }

    /// Postpones polls because the service is overloaded and has requested this instance or a peer not to poll it for this long.
    /// The time is limited to 2 s (`MAX_RETRY_AFTER`), and never shortens an earlier one.
    pub fn postpone(&mut self, now: Time, retry_after: Span) {
        self.postponed_until = self
            .postponed_until
            .max(now + retry_after.clamp(0, MAX_RETRY_AFTER));
    }

    /// Returns the remaining time for which the service must not be polled, as it requested; 0 if it may be polled.
    pub fn remaining_retry_after(&self, now: Time) -> Span {
        (self.postponed_until - now).max(0)
    }
}
