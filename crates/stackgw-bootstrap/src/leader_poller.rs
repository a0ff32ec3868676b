//! Polls of the watch leaders: which instances to poll and when, matching of answers to polls, and reassembly of fragments.

use crate::fragments::Reassembly;
use crate::message::{EndpointSnapshot, UNSOLICITED};
use crate::watch_leaders::{PollRound, WatchLeaders};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stackgw_router::api::{Span, Time, MS, SECOND};
use std::net::SocketAddr;

/// Makes the random numbers differ from those that the poll schedule generates from the same seed.
const SEED_SALT: u64 = 0x57a7;
/// Polls per drain grace; after two lost polls there is still time for a third.
const POLLS_PER_GRACE: Span = 4;
const MIN_POLL_INTERVAL: Span = 10 * MS;
/// The answer timeout of a poll is the drain grace divided by this.
const ANSWER_TIMEOUTS_PER_GRACE: Span = 10;
const MIN_ANSWER_TIMEOUT: Span = 5 * MS;
/// Minimum of the random factor by which each poll interval is multiplied.
const MIN_JITTER: f64 = 0.75;
/// Difference between the maximum and the minimum of that factor.
const JITTER_RANGE: f64 = 0.5;
/// Maximum number of instances polled at once while leaders are lost.
const MAX_WIDTH: usize = 64;
/// Maximum number of instances polled at once while each answer is the complete list.
const MAX_WIDTH_WITHOUT_LIST: usize = 8;
/// An unresponsive instance is polled again after this.
const UNRESPONSIVE_RETRY_INTERVAL: Span = SECOND;

/// A poll that waits for its answer; the first complete answer from any of its targets completes it. Also stands for an
/// unsolicited snapshot whose fragments are being reassembled: its only target is the sender, and its nonce [`UNSOLICITED`].
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
    /// Number of instances polled at once: 1, or doubled with each poll while a leader has unanswered polls.
    width: usize,
}

impl LeaderPoller {
    /// Creates a poller that begins now and polls often enough to learn of a drain within `drain_grace`.
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

    /// Returns the average interval between polls of the leaders.
    pub fn interval(&self) -> Span {
        self.interval
    }

    /// Returns when the poll in flight times out, or the next one is due.
    pub fn next_timeout(&self) -> Time {
        match &self.in_flight {
            Some(poll) => poll.sent_at + self.answer_timeout,
            None => self.next_poll_at,
        }
    }

    /// Returns whether a poll must be sent now.
    pub fn is_due(&self, now: Time) -> bool {
        self.in_flight.is_none() && self.next_poll_at <= now
    }

    /// Abandons a poll that was not answered in time, or an unsolicited snapshot that is still incomplete after that time, so
    /// that the next leader is polled at once. Returns whether there was one.
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

    /// Begins a poll; `None` if there is no instance to poll. `has_list`: the answer will have changes, not the complete list.
    pub fn begin_poll(
        &mut self,
        now: Time,
        leaders: &mut WatchLeaders,
        has_list: bool,
    ) -> Option<PollRequest> {
        // Every interval is jittered so that instances that started together do not poll in step.
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

    /// Handles a snapshot, or a fragment of one. Returns the snapshot once it is complete.
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

    /// The poll to which a fragment belongs. Only one snapshot is reassembled at a time. If no poll is in flight, an
    /// unsolicited fragment begins one of its own.
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
