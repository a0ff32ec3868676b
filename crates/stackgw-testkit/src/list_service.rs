//! The service that lists the members: each change makes a new revision, and listeners on several addresses let tests treat
//! gateways differently. Without a capacity it answers everybody at once, as an agent on the gateway's own machine does; with
//! one it is a single service for a whole fleet, with a queue. It can fail in the ways that such services do. It knows no
//! HTTP: `list_http.rs` serves its listeners.

use crate::list_revisions::{ListAnswer, ListRevisions, ListedMember, ListedPhase};
use crate::sync::lock;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How the service, or one listener of it, behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ServiceState {
    /// It serves.
    #[default]
    Up,
    /// It is down: connections break, new ones are closed unread.
    Down,
    /// It takes requests and says nothing; watches stay open and silent.
    Silent,
    /// It sends the first byte of an answer and no more.
    FirstByteOnly,
    /// It answers with half a list, then ends the connection.
    Truncated,
    /// It has fallen behind: its answers and watches end at this revision; its empty lines go on.
    Stale(u64),
}

impl ServiceState {
    /// Whether connections stay open in this state, and nothing is sent on them.
    pub(crate) fn is_hanging(self) -> bool {
        matches!(self, ServiceState::Silent | ServiceState::FirstByteOnly)
    }
}

/// What a bounded service can do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceCapacity {
    /// Requests a second; further ones are queued.
    pub rate: f64,
    /// Whoever would wait longer than this gets a 503 at once, with a Retry-After.
    pub max_queue_wait: Duration,
}

/// What became of a request for the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollOutcome {
    /// Answered, as far as the listener's state lets it.
    Answered,
    /// Asked to come back later.
    Rejected,
    /// The service was down.
    Unreachable,
}

/// One request for the list, as the service saw it.
#[derive(Debug, Clone, Copy)]
pub struct PollRecord {
    /// When it came, since the service's start.
    pub at: Duration,
    /// What became of it.
    pub outcome: PollOutcome,
}

/// A request that has been admitted, or not, and its time in the queue.
pub(crate) struct Admission {
    pub(crate) outcome: PollOutcome,
    pub(crate) queue_wait: Duration,
}

/// A watch that stays open.
pub(crate) struct Watch {
    pub(crate) listener: usize,
    /// The revision that its client has.
    pub(crate) revision: u64,
    /// Nothing is sent on it any more, whatever becomes of the listener.
    pub(crate) is_hanging: bool,
}

/// Between the empty lines of a watch on which nothing changes.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);

struct State {
    revisions: ListRevisions,
    /// By listener.
    states: Vec<ServiceState>,
    capacity: Option<ServiceCapacity>,
    /// When the requests that are queued now will have been served.
    idle_at: Duration,
    polls: Vec<PollRecord>,
}

/// The service.
pub struct ListService {
    member_addresses: Vec<SocketAddr>,
    listener_addresses: Vec<SocketAddr>,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

impl ListService {
    /// Lists members at these addresses, the first one as the primary. Whoever makes it serves the listeners.
    pub(crate) fn new(
        member_addresses: &[SocketAddr],
        listener_addresses: Vec<SocketAddr>,
    ) -> Self {
        ListService {
            member_addresses: member_addresses.to_vec(),
            started: Instant::now(),
            state: Mutex::new(State {
                revisions: ListRevisions::new(member_addresses),
                states: vec![ServiceState::Up; listener_addresses.len()],
                capacity: None,
                idle_at: Duration::ZERO,
                polls: Vec::new(),
            }),
            changed: Condvar::new(),
            listener_addresses,
        }
    }

    /// Where a listener is; beyond the last one they begin again.
    pub fn address(&self, listener: usize) -> SocketAddr {
        self.listener_addresses[listener % self.listener_addresses.len()]
    }

    /// Where the members are.
    pub fn member_addresses(&self) -> &[SocketAddr] {
        &self.member_addresses
    }

    /// Limits what the service can do from now on.
    pub fn set_capacity(&self, capacity: ServiceCapacity) {
        lock(&self.state).capacity = Some(capacity);
    }

    /// Changes the state of all listeners.
    pub fn set_state(&self, state: ServiceState) {
        lock(&self.state).states.fill(state);
        self.changed.notify_all();
    }

    /// Changes the state of one listener.
    pub fn set_listener_state(&self, listener: usize, state: ServiceState) {
        lock(&self.state).states[listener] = state;
        self.changed.notify_all();
    }

    /// The newest revision of the list.
    pub fn revision(&self) -> u64 {
        lock(&self.state).revisions.newest()
    }

    /// Every request for the list so far.
    pub fn polls(&self) -> Vec<PollRecord> {
        lock(&self.state).polls.clone()
    }

    /// How long the service has run.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Lists another member as the primary.
    pub fn announce_primary(&self, member: usize) {
        self.change(|members| {
            for (index, listed) in members.iter_mut().enumerate() {
                listed.is_primary = index == member;
            }
        });
    }

    /// Lists a member in this phase, its process started at this time in Unix milliseconds (0: long ago).
    pub(crate) fn announce(&self, member: usize, phase: ListedPhase, started_ms: u64) {
        self.change(|members| {
            if let Some(listed) = members.get_mut(member) {
                listed.phase = phase;
                listed.started_ms = started_ms;
            }
        });
    }

    fn change(&self, change: impl FnOnce(&mut [ListedMember])) {
        lock(&self.state).revisions.add(change);
        self.changed.notify_all();
    }

    /// Admits or rejects a request by the service's capacity, and records it.
    pub(crate) fn admit(&self, listener: usize) -> Admission {
        let mut state = lock(&self.state);
        let now = self.started.elapsed();
        let admission = state.admit(listener, now);
        state.polls.push(PollRecord {
            at: now,
            outcome: admission.outcome,
        });
        admission
    }

    /// The present state of a listener, and what it answers to whoever has this revision (0: none).
    pub(crate) fn answer(&self, listener: usize, after: u64) -> (ServiceState, ListAnswer) {
        let state = lock(&self.state);
        (state.states[listener], state.answer(listener, after))
    }

    /// Waits for what a watch has to be sent next: the changes after its revision, or, where there are none for some time, an
    /// answer of that same revision, for which it gets an empty line. `None` once the listener is down, or where `is_closed`
    /// says so while nothing may be sent.
    pub(crate) fn wait_for_change(
        &self,
        watch: &Watch,
        is_closed: impl Fn() -> bool,
    ) -> Option<ListAnswer> {
        let mut state = lock(&self.state);
        loop {
            let (next, has_timed_out) = self.wait(state, EMPTY_LINE_INTERVAL);
            state = next;
            let listener_state = state.states[watch.listener];
            if listener_state == ServiceState::Down {
                return None;
            }
            let answer = state.answer(watch.listener, watch.revision);
            let is_hanging = watch.is_hanging || listener_state.is_hanging();
            if !is_hanging && (answer.revision > watch.revision || has_timed_out) {
                return Some(answer);
            }
            if has_timed_out && is_closed() {
                return None;
            }
        }
    }

    fn wait<'a>(
        &self,
        state: MutexGuard<'a, State>,
        timeout: Duration,
    ) -> (MutexGuard<'a, State>, bool) {
        let (state, timeout) = self
            .changed
            .wait_timeout(state, timeout)
            .unwrap_or_else(PoisonError::into_inner);
        (state, timeout.timed_out())
    }
}

impl State {
    fn admit(&mut self, listener: usize, now: Duration) -> Admission {
        let mut admission = Admission {
            outcome: PollOutcome::Answered,
            queue_wait: Duration::ZERO,
        };
        if self.states[listener] == ServiceState::Down {
            admission.outcome = PollOutcome::Unreachable;
        } else if let Some(capacity) = self.capacity {
            let idle_at = self.idle_at.max(now);
            if idle_at - now > capacity.max_queue_wait {
                admission.outcome = PollOutcome::Rejected;
                admission.queue_wait = idle_at - now;
            } else {
                self.idle_at = idle_at + Duration::from_secs_f64(1.0 / capacity.rate);
                admission.queue_wait = self.idle_at - now;
            }
        }
        admission
    }

    fn answer(&self, listener: usize, after: u64) -> ListAnswer {
        let newest = match self.states[listener] {
            ServiceState::Stale(revision) => revision.min(self.revisions.newest()),
            _ => self.revisions.newest(),
        };
        self.revisions.answer(newest, after)
    }
}
