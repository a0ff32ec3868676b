//! Request lifecycle: acceptance, dispatch or queuing, retries, and the one final answer.

use super::selection::Selected;
use super::{outliers, Router};
use crate::api::*;
use crate::state::{DispatchResult, MemberState, QueueRank, RequestState, Role};

/// Errors from this many different members show that the request itself is at fault: it is not retried.
const MAX_FAILED_MEMBERS: usize = 2;
/// Late answers below this share of the weight would take capacity from answers that count in full.
const MIN_LATE_WEIGHT_SHARE: f64 = 0.5;
/// Time reserved before the objective, in usual response times: in the queue, to send, and to send to an idle
/// member. At most MAX_QUEUE_RESERVE of the objective is reserved.
const QUEUE_RESERVE: f64 = 3.0;
const SEND_RESERVE: f64 = 1.0;
const SEND_RESERVE_IDLE: f64 = 0.3;
const MAX_QUEUE_RESERVE: f64 = 0.85;
/// The retry-after of a rejected request is its remaining time divided by this.
const RETRIES_IN_REMAINING_TIME: Span = 3;
/// Lower bound of a member's weight in the rotation.
const MIN_ROTATION_WEIGHT: f64 = 0.01;

impl Router {
    /// Accepts a new request, which must get one final answer.
    pub(super) fn accept(&mut self, mut request: Request) {
        let Request { id, group, .. } = request;
        request.last_write = match self.settings.session_tracking {
            // A commit time is rounded up on the wire, so the position must be 1 ms beyond it.
            SessionTracking::Client => request.last_write.map(|write| write + MS),
            SessionTracking::Router => self.session_writes.last(request.session.as_ref()),
        };
        let class = self.settings.classes[request.class].clone();
        self.requests.insert(RequestState::new(self.now, request, class));
        self.accrue_health_check_budget();
        if self.dispatch(id) == DispatchResult::Queued {
            self.check_health(group);
        }
    }

    /// Dispatches a request that has no open attempt: sends it, gives it its final answer, or queues it.
    pub(super) fn dispatch(&mut self, id: RequestId) -> DispatchResult {
        let Some(request) = self.requests.get_dispatchable(id) else { return DispatchResult::Settled };
        let blocked = |reserve| !self.may_send(request) || self.now >= self.queue_deadline(request, reserve);
        let must_end = blocked(QUEUE_RESERVE);
        // The queue's reserve would reject a new request that only an idle member can answer in time.
        let was_queued = self.now > request.arrived_at && request.attempts_sent == 0;
        let is_blocked = if was_queued { must_end } else { blocked(SEND_RESERVE_IDLE) };
        let may_select = !is_blocked && request.failed_by.len() < MAX_FAILED_MEMBERS;
        let selected = if may_select { self.select_member(request) } else { None };
        let is_idle = |m: &MemberState| f64::from(m.in_flight + 2) <= m.concurrency_limit;
        let is_in_time = |to: &Selected| is_idle(&self.members[to.member]) || !blocked(SEND_RESERVE);
        if let Some(selected) = selected.filter(is_in_time) {
            self.send(id, selected);
        } else if must_end || !request.failed_by.is_empty() {
            self.reject_or_fail(id);
        } else {
            self.members.queue(request.group(), id);
            return DispatchResult::Queued;
        }
        DispatchResult::Settled
    }

    /// Dispatches queued requests, highest weight first, at equal weight least time left, so none starves.
    pub(super) fn dispatch_queued(&mut self, group: GroupId) {
        let queued = self.members.take_queued(group);
        let rank = |request: &RequestState| QueueRank {
            request: request.id(),
            weight: request.class.priority_weight,
            deadline: self.queue_deadline(request, QUEUE_RESERVE),
        };
        let mut ranks: Vec<QueueRank> = self.requests.get_all(&queued).map(rank).collect();
        ranks.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.deadline.cmp(&b.deadline)));
        for rank in ranks {
            self.dispatch(rank.request);
        }
    }

    fn send(&mut self, id: RequestId, selected: Selected) {
        let Selected { member: to, reason } = selected;
        let (Some(member), Some(request)) = (self.members.get(to), self.requests.get(id)) else { return };
        let slow_start_factor = self.slow_start_factor(member);
        let write_by = self.write_by(request, member, selected);
        let Some((member, group)) = self.members.with_group(to) else { return };
        let Some(request) = self.requests.get_mut(id) else { return };
        let rules = &self.settings.obligations;
        group.advance_rotation(member, 1.0 / (member.weight * slow_start_factor).max(MIN_ROTATION_WEIGHT));
        member.start_attempt(self.now);
        if member.ejected {
            member.start_half_open_attempt(self.now);
        }
        if slow_start_factor < 1.0 {
            member.record_cold_send(self.now, rules.overload_window);
        }
        request.start_attempt(self.now, to);
        self.actions.push(Action::Send { request: id, member: to, timeout: None, write_by, reason });
    }

    pub(super) fn record_attempt(&mut self, result: &AttemptResult) {
        let Some(request) = self.requests.get_mut(result.request) else { return };
        request.end_attempt(self.now, result);
        if result.outcome == Outcome::Served {
            if request.is_write() && self.settings.session_tracking == SessionTracking::Router {
                self.session_writes.record(request, result.position.unwrap_or(self.now));
            }
            // An error counts as a member's fault only if another member then serves the same request.
            // Otherwise, requests that fail everywhere would eject all members.
            for id in &request.failed_by {
                self.members.modify(*id, |member| member.add_failures(self.now, outliers::ERROR_SCORE));
            }
        }
    }

    /// Final answer of a request that no member answers: a rejection where that is allowed, else a failure.
    fn reject_or_fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let rejection = Action::Reject { request: id, retry_after: self.retry_after(request) };
        self.actions.push(if self.may_reject(request) { rejection } else { Action::Fail(id) });
        self.finish(id);
    }

    /// A share of the remaining time; the maximum if an answer is too late to count, against retry storms.
    fn retry_after(&self, request: &RequestState) -> Option<Span> {
        let limits = &self.settings.limits;
        let remaining = (request.arrived_at + request.class.deadline - self.now).max(0);
        let is_late = self.now >= self.queue_deadline(request, QUEUE_RESERVE);
        let is_worthless = request.class.late_weight_share < MIN_LATE_WEIGHT_SHARE && is_late;
        let wait = if is_worthless { Span::MAX } else { remaining / RETRIES_IN_REMAINING_TIME };
        Some(wait.min(limits.max_retry_after)).filter(|wait| limits.retry_after && *wait > 0)
    }

    /// Fails requests half the answer slack after their deadline, as a safety net if attempts never end.
    pub(super) fn fail_overdue(&mut self) {
        for id in self.requests.due_by(self.now - self.settings.obligations.answer_slack / 2) {
            self.actions.push(Action::Fail(id));
            self.finish(id);
        }
    }

    /// Until when a request may be queued: near its deadline, half its time, or its objective less a reserve.
    fn queue_deadline(&self, request: &RequestState, reserve: f64) -> Time {
        let RequestState { class, arrived_at, .. } = request;
        let (deadline, interval) = (request.deadline(), self.timer_interval());
        if !self.may_reject(request) {
            return deadline - interval - self.settings.tick;
        }
        if class.late_weight_share >= MIN_LATE_WEIGHT_SHARE {
            let half = (deadline - arrived_at) / 2; // A rejection that arrives later has a cost.
            return arrived_at + half - (interval * 2).min(half / 4);
        }
        let role = Role::primary_if(request.is_write());
        let share = (self.latency_ratio.get(role) * reserve).min(MAX_QUEUE_RESERVE);
        deadline.min(arrived_at + class.latency_objective) - (class.latency_objective as f64 * share) as Span
    }

    /// Whether another attempt may be sent: attempts and time are left, and a second execution does no harm.
    fn may_send(&self, request: &RequestState) -> bool {
        let is_exhausted = request.attempts_sent >= self.settings.limits.max_attempts;
        if is_exhausted || request.deadline() - self.now <= self.settings.tick {
            return false;
        }
        match (request.class.idempotency, request.may_have_run_at) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::WithKey { scope: KeyScope::Zone, .. }, _) => false,
            (Idempotency::WithKey { .. }, _) => {
                self.key_valid_until(request).is_none_or(|end| self.now < end)
            }
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    /// Whether the request may be rejected, which states that a retry is harmless.
    fn may_reject(&self, request: &RequestState) -> bool {
        let never_ran = request.may_have_run_at.is_none() && request.open_attempts.is_empty();
        match request.class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey { scope, .. } => never_ran || scope == KeyScope::Global,
            Idempotency::NonIdempotent => never_ran,
        }
    }
}
