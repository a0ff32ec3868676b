//! The life of a request: accepted, dispatched or queued, retried, and given its one final answer.

use super::{outliers, Router};
use crate::api::*;
use crate::state::{Disposition, MemberState, QueueRank, RequestState, Role};

/// So many errors from different members show that the request is at fault, and it is not sent again.
const MAX_FAILED_MEMBERS: usize = 2;
/// Late answers of less than this share of the weight take capacity from answers that count in full.
const MIN_LATE_WEIGHT_SHARE: f64 = 0.5;
/// Queued until the objective less so many answer times (on arrival the 2nd, if idle the 3rd), or this share.
const QUEUE_RESERVE: f64 = 3.0;
const SEND_RESERVE: f64 = 1.0;
const SEND_RESERVE_IDLE: f64 = 0.3;
const MAX_QUEUE_RESERVE: f64 = 0.85;
/// A rejected client is asked to wait for this part of its remaining time.
const RETRIES_IN_REMAINING_TIME: Span = 3;
/// Weights below this count as this in the rotation.
const MIN_ROTATION_WEIGHT: f64 = 0.01;

impl Router {
    /// Takes a new request, which is owed one final answer.
    pub(super) fn accept(&mut self, mut request: Request) {
        let Request { id, group, .. } = request;
        request.last_write = match self.settings.session_tracking {
            // A commit time is rounded up on the wire; stay on its far side.
            SessionTracking::Client => request.last_write.map(|write| write + MS),
            SessionTracking::Router => self.session_writes.last(request.session.as_ref()),
        };
        let class = self.settings.classes[request.class].clone();
        self.requests.insert(RequestState::new(self.now, request, class));
        self.earn_health_checks();
        if self.dispatch(id) == Disposition::Queued {
            self.check_health(group);
        }
    }

    /// Dispatches a request that has no open attempt: sends it, gives it its final answer, or queues it.
    pub(super) fn dispatch(&mut self, id: RequestId) -> Disposition {
        let Some(request) = self.requests.get_unsent(id) else { return Disposition::Settled };
        let is_past = |reserve| !self.may_send(request) || self.now >= self.queue_deadline(request, reserve);
        let must_end = is_past(QUEUE_RESERVE);
        // On arrival, the reserve of the queue must not reject what a member, even an idle one, can answer.
        let was_queued = self.now > request.arrived_at && request.attempts_sent == 0;
        let is_closed = if was_queued { must_end } else { is_past(SEND_RESERVE_IDLE) };
        let may_select = !is_closed && request.failed_at.len() < MAX_FAILED_MEMBERS;
        let selected = if may_select { self.select_member(request) } else { None };
        let is_idle = |m: &MemberState| f64::from(m.in_flight + 2) <= m.concurrency_limit;
        let is_in_time = |id: &MemberId| is_idle(&self.members[*id]) || !is_past(SEND_RESERVE);
        if let Some(member) = selected.filter(is_in_time) {
            self.send(id, member);
        } else if must_end || !request.failed_at.is_empty() {
            self.reject_or_fail(id);
        } else {
            self.members.queue(request.group(), id);
            return Disposition::Queued;
        }
        Disposition::Settled
    }

    /// Dispatches what is queued: the highest weight first, then the least time, so that none starves.
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

    fn send(&mut self, id: RequestId, to: MemberId) {
        let Some((member, group)) = self.members.with_group(to) else { return };
        let Some(request) = self.requests.get_mut(id) else { return };
        let rules = &self.settings.obligations;
        let slow_start_factor = member.slow_start_factor(self.now, rules);
        group.advance_rotation(member, 1.0 / (member.weight * slow_start_factor).max(MIN_ROTATION_WEIGHT));
        member.start_attempt(self.now);
        if member.ejected {
            member.start_half_open_attempt(self.now);
        }
        if slow_start_factor < 1.0 {
            member.record_cold_send(self.now, rules.overload_window);
        }
        request.start_attempt(self.now, to);
        self.actions.push(Action::Send { request: id, member: to, timeout: None });
    }

    pub(super) fn record_attempt(&mut self, result: &AttemptResult) {
        let Some(request) = self.requests.get_mut(result.request) else { return };
        request.end_attempt(self.now, result);
        if result.outcome == Outcome::Served {
            if request.is_write() && self.settings.session_tracking == SessionTracking::Router {
                self.session_writes.record(request, result.position.unwrap_or(self.now));
            }
            // Requests that fail alike everywhere would eject all members: an error is a member's fault only
            // where another one then serves the same request.
            for id in &request.failed_at {
                self.members.modify(*id, |member| member.add_failures(self.now, outliers::ERROR_SCORE));
            }
        }
    }

    /// The one final answer where no member gives it: at once, as a rejection wherever that is allowed.
    fn reject_or_fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let rejection = Action::Reject { request: id, retry_after: self.retry_after(request) };
        self.actions.push(if self.may_reject(request) { rejection } else { Action::Fail(id) });
        self.finish(id);
    }

    /// What is too late to earn much would only feed a storm of retries: its client is to stay away for long.
    fn retry_after(&self, request: &RequestState) -> Option<Span> {
        let limits = &self.settings.limits;
        let remaining = (request.arrived_at + request.class.deadline - self.now).max(0);
        let is_late = self.now >= self.queue_deadline(request, QUEUE_RESERVE);
        let is_hopeless = request.class.late_weight_share < MIN_LATE_WEIGHT_SHARE && is_late;
        let wait = if is_hopeless { Span::MAX } else { remaining / RETRIES_IN_REMAINING_TIME };
        Some(wait.min(limits.max_retry_after)).filter(|wait| limits.retry_after && *wait > 0)
    }

    /// Backstop: fails requests whose attempt should have ended, and did not.
    pub(super) fn fail_overdue(&mut self) {
        for id in self.requests.due_by(self.now - self.settings.obligations.answer_slack / 2) {
            self.actions.push(Action::Fail(id));
            self.finish(id);
        }
    }

    /// Until when a request may wait: to its end where it may not be rejected, else so that a retry has time.
    fn queue_deadline(&self, request: &RequestState, reserve: f64) -> Time {
        let RequestState { class, arrived_at, .. } = request;
        let (deadline, interval) = (request.deadline(), self.timer_interval());
        if !self.may_reject(request) {
            return deadline - interval - self.settings.tick;
        }
        if class.late_weight_share >= MIN_LATE_WEIGHT_SHARE {
            let half = (deadline - arrived_at) / 2; // A later rejection costs, travel time included.
            return arrived_at + half - (interval * 2).min(half / 4);
        }
        let role = Role::primary_if(request.is_write());
        let kept = (self.latency_ratio.get(role) * reserve).min(MAX_QUEUE_RESERVE);
        deadline.min(arrived_at + class.latency_objective) - (class.latency_objective as f64 * kept) as Span
    }

    /// Whether another attempt may be sent: not where it could do harm by running twice.
    fn may_send(&self, request: &RequestState) -> bool {
        let is_used_up = request.attempts_sent >= self.settings.limits.max_attempts;
        if is_used_up || request.deadline() - self.now <= self.settings.tick {
            return false;
        }
        let margin = self.settings.tick * 2;
        match (request.class.idempotency, request.may_have_run_at) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::WithKey { scope: KeyScope::Zone, .. }, _) => false,
            (Idempotency::WithKey { window, .. }, Some(first)) => self.now - first < window - margin,
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    /// Whether the client may be told that a retry is harmless.
    fn may_reject(&self, request: &RequestState) -> bool {
        let never_ran = request.may_have_run_at.is_none() && request.open_attempts.is_empty();
        match request.class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey { scope, .. } => never_ran || scope == KeyScope::Global,
            Idempotency::NonIdempotent => never_ran,
        }
    }
}
