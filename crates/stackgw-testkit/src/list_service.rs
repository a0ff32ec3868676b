//! The service that lists the members. Each change creates a new revision, and listeners on several addresses let tests treat
//! gateways differently. Without a capacity it answers every request immediately, like an agent on the gateway's own machine;
//! with one it behaves like a single service for a whole fleet, with a queue. Its states simulate the failures of such
//! services. `list_http.rs` serves its listeners by HTTP.

use crate::list_revisions::{ListAnswer, ListRevisions, ListedMember, ListedPhase};
use crate::sync::lock;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The state of the service or of one of its listeners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ServiceState {
    /// The service answers requests.
    #[default]
    Up,
    /// The service is down: connections break, and new ones are closed without being read.
    Down,
    /// The service accepts requests but never answers; watches stay open, and nothing is sent on them.
    Silent,
    /// The service sends only the first byte of an answer.
    FirstByteOnly,
    /// The service sends half of a list and then closes the connection.
    Truncated,
    /// The service lags: its answers and watches end at this revision, but watches still get empty lines.
    Stale(u64),
}

impl ServiceState {
    /// Whether connections stay open in this state with nothing sent on them.
    pub(crate) fn is_hanging(self) -> bool {
        matches!(self, ServiceState::Silent | ServiceState::FirstByteOnly)
    }
}

/// The capacity of a bounded service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceCapacity {
    /// Requests per second; further ones are queued.
    pub rate: f64,
    /// A request that would wait longer than this is immediately answered with status 503 and a Retry-After header.
    pub max_queue_wait: Duration,
}

/// The outcome of a request for the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollOutcome {
    /// Answered, as far as the listener's state allows.
    Answered,
    /// Rejected with a Retry-After header.
    Rejected,
    /// The service was down.
    Unreachable,
}

/// One request for the list, as the service saw it.
#[derive(Debug, Clone, Copy)]
pub struct PollRecord {
    /// When the request arrived, since the service's start.
    pub at: Duration,
    /// The outcome of the request.
    pub outcome: PollOutcome,
}

/// The decision on a request, and its time in the queue.
pub(crate) struct Admission {
    pub(crate) outcome: PollOutcome,
    pub(crate) queue_wait: Duration,
}

/// An open watch.
pub(crate) struct Watch {
    pub(crate) listener: usize,
    /// The revision that the client has.
    pub(crate) revision: u64,
    /// Whether nothing is sent on the watch any more, even if the listener's state changes.
    pub(crate) is_hanging: bool,
}

/// The interval between empty lines on a watch without changes.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);

struct State {
    revisions: ListRevisions,
    /// The states of the listeners.
    states: Vec<ServiceState>,
    capacity: Option<ServiceCapacity>,
    /// When all queued requests will have been served.
    idle_at: Duration,
    polls: Vec<PollRecord>,
}

/// The list service.
pub struct ListService {
    member_addresses: Vec<SocketAddr>,
    listener_addresses: Vec<SocketAddr>,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

impl ListService {
    /// Creates a service that lists members at these addresses, the first one as the primary. The caller serves the listeners.
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

    /// The address of a listener; the index wraps around after the last one.
    pub fn address(&self, listener: usize) -> SocketAddr {
        self.listener_addresses[listener % self.listener_addresses.len()]
    }

    /// The addresses of the members.
    pub fn member_addresses(&self) -> &[SocketAddr] {
        &self.member_addresses
    }

    /// Limits the service's capacity from now on.
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

    /// The time since the service's start.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Lists a member as the primary.
    pub fn announce_primary(&self, member: usize) {
        self.change(|members| {
            for (index, listed) in members.iter_mut().enumerate() {
                listed.is_primary = index == member;
            }
        });
    }

    /// Lists a member with this phase and this start time of its process in Unix milliseconds (0: long ago).
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

    /// The present state of a listener, and its answer to a client that has this revision (0: none).
    pub(crate) fn answer(&self, listener: usize, after: u64) -> (ServiceState, ListAnswer) {
        let state = lock(&self.state);
        (state.states[listener], state.answer(listener, after))
    }

    /// Waits for the next answer to send on a watch: the changes after its revision or, if none occur within
    /// `EMPTY_LINE_INTERVAL`, an answer at that same revision, for which an empty line is sent. Returns `None` once the
    /// listener is down, or if nothing may be sent on the watch and `is_closed` returns true.
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
