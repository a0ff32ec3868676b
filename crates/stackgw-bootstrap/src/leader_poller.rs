//! Polling the watch leaders: whom to poll when, which answers belong to a poll, and putting answers in fragments together.

use crate::fragments::Reassembly;
use crate::message::{EndpointSnapshot, UNSOLICITED};
use crate::watch_leaders::{PollRound, WatchLeaders};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stackgw_router::api::{Span, Time, MS, SECOND};
use std::net::SocketAddr;

/// Sets the random numbers apart from those that the poll schedule draws from the same seed.
const SEED_SALT: u64 = 0x57a7;
/// Polls within one drain grace, so that two that are lost leave time for a third.
const POLLS_PER_GRACE: Span = 4;
const MIN_POLL_INTERVAL: Span = 10 * MS;
/// A poll without an answer is given up after this part of a drain grace.
const ANSWER_TIMEOUTS_PER_GRACE: Span = 10;
const MIN_ANSWER_TIMEOUT: Span = 5 * MS;
/// Intervals are jittered from this part of themselves on ...
const MIN_JITTER: f64 = 0.75;
/// ... by up to this part more.
const JITTER_RANGE: f64 = 0.5;
/// Instances polled at once at most, while leaders are lost.
const MAX_WIDTH: usize = 64;
/// The same where the answer is the complete list.
const MAX_WIDTH_WITHOUT_LIST: usize = 8;
/// An instance that went unanswered is polled again after this.
const UNRESPONSIVE_RETRY_INTERVAL: Span = SECOND;

/// A poll that waits for its answer; the first one counts.
#[derive(Debug, Clone, PartialEq)]
struct PollInFlight {
    targets: Vec<SocketAddr>,
    nonce: u32,
    sent_at: Time,
    reassembly: Option<Reassembly>,
}

/// A poll to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollRequest {
    /// The instances to be polled.
    pub targets: Vec<SocketAddr>,
    /// Identifies the poll.
    pub nonce: u32,
}

/// The polls of one instance to the watch leaders.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaderPoller {
    rng: Pcg64Mcg,
    interval: Span,
    answer_timeout: Span,
    in_flight: Option<PollInFlight>,
    next_poll_at: Time,
    /// Selects the leader that is polled.
    rotation: u32,
    /// Instances polled at once: one, or twice as many each time while a leader goes unanswered.
    width: usize,
}

impl LeaderPoller {
    /// Polls that begin now, often enough that a drain is learned within `drain_grace`.
    pub fn new(now: Time, drain_grace: Span, seed: u64) -> Self {
        LeaderPoller {
            rng: Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT),
            interval: (drain_grace / POLLS_PER_GRACE).max(MIN_POLL_INTERVAL),
            answer_timeout: (drain_grace / ANSWER_TIMEOUTS_PER_GRACE).max(MIN_ANSWER_TIMEOUT),
            in_flight: None,
            next_poll_at: now,
            rotation: 0,
            width: 1,
        }
    }

    /// How often the leaders are polled.
    pub fn interval(&self) -> Span {
        self.interval
    }

    /// When the poll in flight is given up, or the next one is due.
    pub fn next_timeout(&self) -> Time {
        match &self.in_flight {
            Some(poll) => poll.sent_at + self.answer_timeout,
            None => self.next_poll_at,
        }
    }

    /// Whether a poll is to be sent now.
    pub fn is_due(&self, now: Time) -> bool {
        self.in_flight.is_none() && self.next_poll_at <= now
    }

    /// Gives up a poll that nobody has answered in time, and polls the next leader at once. Returns whether there was one.
    pub fn abandon_overdue(&mut self, now: Time) -> bool {
        let is_overdue = |poll: &PollInFlight| now - poll.sent_at >= self.answer_timeout;
        if !self.in_flight.as_ref().is_some_and(is_overdue) {
            return false;
        }
        self.in_flight = None;
        self.next_poll_at = now;
        self.rotation = self.rotation.wrapping_add(1);
        true
    }

    /// Begins a poll; `None`: there is nobody to poll. `has_list`: the answer will be changes, not the complete list.
    pub fn begin_poll(
        &mut self,
        now: Time,
        leaders: &mut WatchLeaders,
        has_list: bool,
    ) -> Option<PollRequest> {
        // Jitter in every interval: instances that started together do not stay in step.
        let jitter = MIN_JITTER + JITTER_RANGE * self.rng.random::<f64>();
        self.next_poll_at = now + (self.interval as f64 * jitter) as Span;
        self.adapt_width(leaders.has_unanswered_leader(), has_list);
        let round = PollRound {
            rotation: self.rotation,
            width: self.width,
            retry_interval: UNRESPONSIVE_RETRY_INTERVAL,
        };
        let targets = leaders.select_poll_targets(now, round);
        if targets.is_empty() {
            return None;
        }
        targets
            .iter()
            .for_each(|target| leaders.record_poll(now, *target));
        if self.width > 1 {
            self.next_poll_at = now + self.answer_timeout;
        }
        let nonce = self.rng.random::<u32>().max(UNSOLICITED + 1);
        self.in_flight = Some(PollInFlight {
            targets: targets.clone(),
            nonce,
            sent_at: now,
            reassembly: None,
        });
        Some(PollRequest { targets, nonce })
    }

    fn adapt_width(&mut self, has_unanswered_leader: bool, has_list: bool) {
        let max_width = if has_list {
            MAX_WIDTH
        } else {
            MAX_WIDTH_WITHOUT_LIST
        };
        self.width = if has_unanswered_leader {
            (2 * self.width).min(max_width)
        } else {
            1
        };
    }

    /// Polls at once, unless a poll is in flight.
    pub fn expedite(&mut self, now: Time) {
        if self.in_flight.is_none() {
            self.next_poll_at = now;
        }
    }

    /// Takes a snapshot, or a fragment of one. Returns the snapshot once it is complete.
    pub fn handle_snapshot(
        &mut self,
        now: Time,
        snapshot: EndpointSnapshot,
    ) -> Option<EndpointSnapshot> {
        if snapshot.fragment.count > 1 {
            return self.reassemble(now, snapshot);
        }
        if self.is_answer(&snapshot) {
            self.in_flight = None;
            self.rotation = self.rotation.wrapping_add(1);
        }
        Some(snapshot)
    }

    fn is_answer(&self, snapshot: &EndpointSnapshot) -> bool {
        let matches = |poll: &PollInFlight| {
            poll.nonce == snapshot.nonce && poll.targets.contains(&snapshot.sender)
        };
        self.in_flight.as_ref().is_some_and(matches)
    }

    fn reassemble(&mut self, now: Time, fragment: EndpointSnapshot) -> Option<EndpointSnapshot> {
        let poll = self.poll_of_fragment(now, &fragment)?;
        match &mut poll.reassembly {
            Some(reassembly) if reassembly.accepts(&fragment) => reassembly.add(fragment),
            reassembly => *reassembly = Some(Reassembly::new(fragment)),
        }
        let snapshot = poll.reassembly.as_ref()?.complete()?;
        self.in_flight = None;
        Some(snapshot)
    }

    /// The poll that a fragment belongs to. Fragments are put together of one instance at a time; unsolicited ones begin a poll
    /// of their own where none is in flight.
    fn poll_of_fragment(
        &mut self,
        now: Time,
        fragment: &EndpointSnapshot,
    ) -> Option<&mut PollInFlight> {
        let is_answer = self.is_answer(fragment);
        let is_unsolicited = fragment.nonce == UNSOLICITED;
        if self.in_flight.is_none() && is_unsolicited {
            let targets = vec![fragment.sender];
            self.in_flight = Some(PollInFlight {
                targets,
                nonce: UNSOLICITED,
                sent_at: now,
                reassembly: None,
            });
        }
        let poll = self.in_flight.as_mut()?;
        if is_answer {
            poll.targets = vec![fragment.sender];
        }
        let is_accepted = match &poll.reassembly {
            Some(reassembly) => reassembly.accepts(fragment),
            None => is_unsolicited,
        };
        (is_answer || is_accepted).then_some(poll)
    }
}
