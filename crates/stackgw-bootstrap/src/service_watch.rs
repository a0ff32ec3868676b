//! This instance's own watch of the list service: whether it is wanted, scheduled or open, and whether the service is heard on
//! it.

use crate::poll_schedule::PollSchedule;
use stackgw_router::api::{Span, Time, SECOND};

/// A watch that was opened for want of a leader stays open this long at least.
const MIN_OPEN_TIME: Span = 5 * SECOND;

/// For whom an instance watches the list service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchScope {
    /// For the fleet, as one of its leaders.
    Fleet,
    /// For itself: no leader that hears the service is heard here.
    Standalone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Not wanted.
    Idle,
    /// To be opened at this moment.
    Scheduled { at: Time, scope: WatchScope },
    /// Opened at this moment.
    Open { since: Time, scope: WatchScope },
}

/// What has become of the watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchChange {
    /// It is to be opened.
    Opened(WatchScope),
    /// It was open for this instance alone, and is for the fleet now.
    Promoted,
    /// It is to be closed, as peers watch the service.
    Released,
}

/// How many instances may poll the service at the same time as this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pollers {
    /// Where the leaders poll it.
    pub leaders: u32,
    /// Where every instance polls it for itself.
    pub fleet: u32,
}

/// This instance's own watch of the list service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceWatch {
    state: State,
    schedule: PollSchedule,
    pollers: Pollers,
    timeout: Span,
    /// The watch has brought a list.
    is_live: bool,
    last_heard_at: Time,
}

impl ServiceWatch {
    /// A watch that is not wanted yet. When nothing comes on it for `timeout` it is lost.
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

    /// Whether the watch has brought a list and is open.
    pub fn is_live(&self) -> bool {
        self.is_live
    }

    /// For whom the watch is open or scheduled; the fleet, if it is neither.
    pub fn scope(&self) -> WatchScope {
        match self.state {
            State::Idle => WatchScope::Fleet,
            State::Scheduled { scope, .. } | State::Open { scope, .. } => scope,
        }
    }

    /// When the watch is to be opened, if it is scheduled.
    pub fn scheduled_at(&self) -> Option<Time> {
        match self.state {
            State::Scheduled { at, .. } => Some(at),
            State::Idle | State::Open { .. } => None,
        }
    }

    /// When the watch is to be opened, or is lost unless something comes; `None`: it is not wanted.
    pub fn next_timeout(&self) -> Option<Time> {
        match self.state {
            State::Idle => None,
            State::Scheduled { at, .. } => Some(at),
            State::Open { .. } => Some(self.last_heard_at + self.timeout),
        }
    }

    /// Whether the watch is open and nothing has come on it for too long.
    pub fn has_timed_out(&self, now: Time) -> bool {
        matches!(self.state, State::Open { .. }) && now - self.last_heard_at >= self.timeout
    }

    /// Schedules, opens or releases the watch. `wanted`: for whom it is wanted now; `has_live_peer`: a peer with a watch of its
    /// own has been heard lately.
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

    /// Something has come on the watch.
    pub fn record_contact(&mut self, now: Time) {
        self.last_heard_at = now;
    }

    /// The service has answered with a list, be it an old one.
    pub fn record_answer(&mut self, now: Time) {
        self.record_contact(now);
        self.schedule.record_success();
    }

    /// The watch has brought a list that is up to date. Returns whether it is its first.
    pub fn become_live(&mut self) -> bool {
        !std::mem::replace(&mut self.is_live, true)
    }

    /// The watch has ended: it is scheduled anew. Returns whether it was open.
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

    /// Schedules an open watch anew, for this moment. Returns whether it was open.
    pub fn restart(&mut self, now: Time) -> bool {
        let State::Open { scope, .. } = self.state else {
            return false;
        };
        self.is_live = false;
        self.state = State::Scheduled { at: now, scope };
        true
    }

    /// A peer has heard the service: a scheduled watch that was backed off since it was not reached need not wait any longer.
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

    /// The service is overloaded, as a peer has passed on.
    pub fn postpone(&mut self, now: Time, retry_after: Span) {
        self.schedule.postpone(now, retry_after);
    }

    /// For how long the service still asks not to be polled.
    pub fn remaining_retry_after(&self, now: Time) -> Span {
        self.schedule.remaining_retry_after(now)
    }
}
