//! A model of a member's capacity: it is low after a start and grows while the member warms up, requests wait in a bounded
//! queue, handshakes and health checks cost work, and a member that is warming up collapses under overload. The model has no
//! clock: callers pass the time since the group's start.

use std::collections::VecDeque;
use std::time::Duration;

/// The parameters of a member's capacity. Work is measured in requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartModel {
    /// Requests per second that a warm member can serve.
    pub warm_rate: f64,
    /// The fraction of the warm rate that a member has right after its start. The rate grows linearly from there.
    pub cold_fraction: f64,
    /// The time from a member's start until it has its full warm rate.
    pub warm_up_time: Duration,
    /// A member that is warming up collapses if the work that arrives within `overload_window` exceeds this multiple of its
    /// present capacity.
    pub overload_multiple: f64,
    /// The window over which overload is measured.
    pub overload_window: Duration,
    /// The work of a new connection.
    pub handshake_cost: f64,
    /// The work of a health check.
    pub health_check_cost: f64,
    /// Work that would wait longer than this is rejected.
    pub max_queue_wait: Duration,
    /// A collapsed member answers nothing for this long, and then restarts cold.
    pub collapse_time: Duration,
}

impl SlowStartModel {
    /// Requests per second that a member of this age can serve; `None`: a warm member.
    pub(crate) fn rate_at(&self, age: Option<Duration>) -> f64 {
        let warm_up_progress = age.map_or(1.0, |age| {
            age.as_secs_f64() / self.warm_up_time.as_secs_f64()
        });
        self.warm_rate
            * (self.cold_fraction + (1.0 - self.cold_fraction) * warm_up_progress.min(1.0))
    }
}

/// The load on one member.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ObservedLoad {
    /// When connections to the member were opened, since the group's start.
    pub handshakes: Vec<Duration>,
    /// Health checks.
    pub health_checks: u64,
    /// Requests accepted.
    pub accepted: u64,
    /// Requests rejected, or received while the member was collapsed.
    pub rejected: u64,
    /// The peak work within the overload window while the member warmed up, relative to the work at which it collapses: above 1
    /// it does.
    pub peak_overload: f64,
    /// Collapses of the member.
    pub collapses: u64,
}

/// The state of a member under load.
#[derive(Debug, Clone)]
pub(crate) struct MemberLoad {
    model: SlowStartModel,
    /// When the member's process started; `None`: long ago.
    started_at: Option<Duration>,
    /// When all queued work will be done.
    idle_at: Duration,
    collapsed_until: Duration,
    /// The work within the overload window with its arrival times, and its sum.
    window: VecDeque<(Duration, f64)>,
    work_in_window: f64,
    observed: ObservedLoad,
}

/// The outcome of a piece of work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum WorkOutcome {
    /// The work is done after this time.
    DoneAfter(Duration),
    /// The queue is full.
    Rejected,
    /// The member has collapsed.
    Collapsed,
}

impl MemberLoad {
    /// A warm member.
    pub(crate) fn new(model: SlowStartModel) -> Self {
        MemberLoad {
            model,
            started_at: None,
            idle_at: Duration::ZERO,
            collapsed_until: Duration::ZERO,
            window: VecDeque::new(),
            work_in_window: 0.0,
            observed: ObservedLoad::default(),
        }
    }

    /// Sets the start of the member's process, which may be in the future, and drops queued work.
    pub(crate) fn start(&mut self, now: Duration) {
        self.started_at = Some(now);
        self.window.clear();
        self.work_in_window = 0.0;
        self.idle_at = now;
    }

    /// The load since the member's capacity was set.
    pub(crate) fn observed(&self) -> ObservedLoad {
        self.observed.clone()
    }

    /// Accounts for a new connection.
    pub(crate) fn handshake(&mut self, now: Duration) -> WorkOutcome {
        self.observed.handshakes.push(now);
        self.admit(now, self.model.handshake_cost)
    }

    /// Accounts for a health check.
    pub(crate) fn health_check(&mut self, now: Duration) -> WorkOutcome {
        self.observed.health_checks += 1;
        self.admit(now, self.model.health_check_cost)
    }

    /// Accounts for a request.
    pub(crate) fn request(&mut self, now: Duration) -> WorkOutcome {
        let outcome = self.admit(now, 1.0);
        match outcome {
            WorkOutcome::DoneAfter(_) => self.observed.accepted += 1,
            WorkOutcome::Rejected | WorkOutcome::Collapsed => self.observed.rejected += 1,
        }
        outcome
    }

    fn admit(&mut self, now: Duration, work: f64) -> WorkOutcome {
        if now < self.collapsed_until {
            return WorkOutcome::Collapsed;
        }
        let rate = self.model.rate_at(self.started_at.map(|at| now - at));
        self.add_to_window(now, work);
        if self.is_warming_up(now) && self.is_overloaded(rate) {
            self.collapse(now);
            return WorkOutcome::Collapsed;
        }
        let idle_at = self.idle_at.max(now);
        if idle_at - now > self.model.max_queue_wait {
            return WorkOutcome::Rejected;
        }
        self.idle_at = idle_at + Duration::from_secs_f64(work / rate);
        WorkOutcome::DoneAfter(self.idle_at - now)
    }

    fn add_to_window(&mut self, now: Duration, work: f64) {
        let window = self.model.overload_window;
        while self
            .window
            .front()
            .is_some_and(|(at, _)| *at + window <= now)
        {
            self.work_in_window -= self.window.pop_front().map_or(0.0, |(_, work)| work);
        }
        self.window.push_back((now, work));
        self.work_in_window += work;
    }

    fn is_warming_up(&self, now: Duration) -> bool {
        self.started_at
            .is_some_and(|at| now < at + self.model.warm_up_time)
    }

    /// Whether a member that is warming up collapses at this rate under the work of the window; records the peak.
    fn is_overloaded(&mut self, rate: f64) -> bool {
        let limit = self.model.overload_multiple * rate * self.model.overload_window.as_secs_f64();
        let overload = self.work_in_window / limit;
        self.observed.peak_overload = self.observed.peak_overload.max(overload);
        self.work_in_window > limit
    }

    fn collapse(&mut self, now: Duration) {
        self.observed.collapses += 1;
        self.collapsed_until = now + self.model.collapse_time;
        self.start(self.collapsed_until);
    }
}

#[cfg(test)]
#[path = "../tests/unit/slow_start_model.rs"]
mod tests;
