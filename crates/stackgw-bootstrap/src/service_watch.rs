//! This instance's own watch of the list service: whether it is scheduled or open, for whom, and whether it is live.

use crate::poll_schedule::PollSchedule;
use stackgw_router::api::{Span, Time, SECOND};

/// A watch is kept open for at least this long before it is released because a peer has a live one.
const MIN_OPEN_TIME: Span = 5 * SECOND;

/// For whom an instance watches the list service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchScope {
    /// For the fleet, as one of its leaders.
    Fleet,
    /// For itself: it can reach no leader that is in contact with the service.
    Standalone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Not wanted.
    Idle,
    /// To be opened at `at`.
    Scheduled { at: Time, scope: WatchScope },
    /// Opened at `since`.
    Open { since: Time, scope: WatchScope },
}

/// A change of the watch that the caller acts on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchChange {
    /// The watch must be opened.
    Opened(WatchScope),
    /// The watch was open and live for this instance alone, and now serves the fleet.
    Promoted,
    /// The watch must be closed because peers watch the service.
    Released,
}

/// How many instances may poll the service at the same time, this one included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pollers {
    /// When only the leaders poll it.
    pub leaders: u32,
    /// When every instance polls it for itself.
    pub fleet: u32,
}

/// This instance's own watch of the list service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceWatch {
    state: State,
    schedule: PollSchedule,
    pollers: Pollers,
    timeout: Span,
    /// The watch is open and has received a list that is up to date.
    is_live: bool,
    last_heard_at: Time,
}

impl ServiceWatch {
    /// Creates a watch that is idle. An open watch that receives nothing for `timeout` is lost.
    pub fn new(now: Time, schedule: PollSchedule, pollers: Pollers, timeout: Span) -> Self {
        ServiceWatch {
            state: State::Idle,
            schedule,
            pollers,
            timeout,
            is_live: false,
            last_heard_at: now,
        }
    }

    fn poller_count(&self, scope: WatchScope) -> u32 {
        match scope {
            WatchScope::Fleet => self.pollers.leaders,
            WatchScope::Standalone => self.pollers.fleet,
        }
    }

    /// Returns whether the watch is open and has received a list that is up to date.
    pub fn is_live(&self) -> bool {
        self.is_live
    }

    /// Returns for whom the watch is open or scheduled; the fleet if it is neither.
    pub fn scope(&self) -> WatchScope {
        match self.state {
            State::Idle => WatchScope::Fleet,
            State::Scheduled { scope, .. } | State::Open { scope, .. } => scope,
        }
    }

    /// Returns when the watch will be opened, if it is scheduled.
    pub fn scheduled_at(&self) -> Option<Time> {
        match self.state {
            State::Scheduled { at, .. } => Some(at),
            State::Idle | State::Open { .. } => None,
        }
    }

    /// Returns when the scheduled watch will be opened, or the open one is lost if it receives nothing; `None` if the watch is
    /// idle.
    pub fn next_timeout(&self) -> Option<Time> {
        match self.state {
            State::Idle => None,
            State::Scheduled { at, .. } => Some(at),
            State::Open { .. } => Some(self.last_heard_at + self.timeout),
        }
    }

    /// Returns whether the watch is open and has received nothing for the timeout.
    pub fn has_timed_out(&self, now: Time) -> bool {
        matches!(self.state, State::Open { .. }) && now - self.last_heard_at >= self.timeout
    }

    /// Schedules, opens or releases the watch. `wanted`: for whom the watch is wanted now; `has_live_peer`: a peer with a live
    /// watch of its own was recently heard. An open watch that is not wanted for the fleet stays open until a peer has a live
    /// one, and for at least [`MIN_OPEN_TIME`].
    pub fn update(
        &mut self,
        now: Time,
        wanted: Option<WatchScope>,
        has_live_peer: bool,
    ) -> Option<WatchChange> {
        match (self.state, wanted) {
            (State::Idle, Some(scope)) => {
                let at = self.schedule.first_poll_at(now, self.poller_count(scope));
                self.state = State::Scheduled { at, scope };
            }
            (State::Scheduled { .. }, None) => self.state = State::Idle,
            (State::Scheduled { at, .. }, Some(scope)) => {
                self.state = State::Scheduled { at, scope }
            }
            (State::Open { since, scope }, Some(WatchScope::Fleet)) => {
                self.state = State::Open {
                    since,
                    scope: WatchScope::Fleet,
                };
                let is_promoted = scope == WatchScope::Standalone && self.is_live;
                return is_promoted.then_some(WatchChange::Promoted);
            }
            (State::Open { since, .. }, _) if has_live_peer && now - since >= MIN_OPEN_TIME => {
                self.state = State::Idle;
                self.is_live = false;
                return Some(WatchChange::Released);
            }
            (State::Idle, None) | (State::Open { .. }, _) => {}
        }
        self.open_if_due(now)
    }

    fn open_if_due(&mut self, now: Time) -> Option<WatchChange> {
        let State::Scheduled { at, scope } = self.state else {
            return None;
        };
        if at > now {
            return None;
        }
        self.state = State::Open { since: now, scope };
        self.is_live = false;
        self.last_heard_at = now;
        self.schedule.record_poll();
        Some(WatchChange::Opened(scope))
    }

    /// Records that the watch has received something.
    pub fn record_contact(&mut self, now: Time) {
        self.last_heard_at = now;
    }

    /// Records that the service has answered with a list, even an outdated one, and resets the backoff.
    pub fn record_answer(&mut self, now: Time) {
        self.record_contact(now);
        self.schedule.record_success();
    }

    /// Marks the watch as live after it received a list that is up to date. Returns whether it was not live before.
    pub fn become_live(&mut self) -> bool {
        !std::mem::replace(&mut self.is_live, true)
    }

    /// Handles a watch that has ended or could not be opened: schedules the next attempt, after a backoff and `retry_after`.
    /// Returns whether the watch was open; if it was not, nothing changes.
    pub fn handle_lost(&mut self, now: Time, retry_after: Option<Span>) -> bool {
        let State::Open { scope, .. } = self.state else {
            return false;
        };
        if let Some(retry_after) = retry_after {
            self.schedule.postpone(now, retry_after);
        }
        self.is_live = false;
        let at = self.schedule.retry_at(now, self.poller_count(scope));
        self.state = State::Scheduled { at, scope };
        true
    }

    /// Schedules an open watch to be opened again at once. Returns whether it was open.
    pub fn restart(&mut self, now: Time) -> bool {
        let State::Open { scope, .. } = self.state else {
            return false;
        };
        self.is_live = false;
        self.state = State::Scheduled { at: now, scope };
        true
    }

    /// Brings forward a scheduled watch and resets its backoff, because a peer has shown that the service is reachable again.
    /// Changes nothing if the watch is not scheduled.
    pub fn expedite(&mut self, now: Time) {
        let State::Scheduled { at, scope } = self.state else {
            return;
        };
        self.schedule.record_success();
        let first_poll_at = self.schedule.first_poll_at(now, self.poller_count(scope));
        self.state = State::Scheduled {
            at: at.min(first_poll_at),
            scope,
        };
    }

    /// Postpones polls by a retry-after of the service that a peer passed on.
    pub fn postpone(&mut self, now: Time, retry_after: Span) {
        self.schedule.postpone(now, retry_after);
    }

    /// Returns the remaining time for which the service must not be polled, as it requested; 0 if it may be polled.
    pub fn remaining_retry_after(&self, now: Time) -> Span {
        self.schedule.remaining_retry_after(now)
    }
}
