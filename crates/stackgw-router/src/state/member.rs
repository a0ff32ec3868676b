//! State of one member as known to the router.

use super::gossip::Observation;
use crate::api::{
    ConnectionPermits, GroupId, Lifecycle, Member, MemberId, MemberSnapshot, Obligations, Span, Time,
};
use std::collections::VecDeque;

/// One member: its role and position, its load, its health, and its place in the rotation.
#[derive(Debug, Default, Clone)]
pub(crate) struct MemberState {
    pub(crate) group: GroupId,
    pub(crate) weight: f64,
    pub(crate) started_at: Option<Time>,
    pub(crate) lifecycle: Lifecycle,
    /// When this router was notified that the member is draining or removed.
    pub(crate) unavailable_since: Time,
    /// Whether it is listed as removed where that is not binding: it may still serve.
    pub(crate) removal_in_doubt: bool,
    pub(crate) listed_primary: bool,

    /// Latest reported position. Positions never go back, so it remains a valid lower bound.
    pub(crate) position: Time,
    /// Replication lag at its last report.
    pub(crate) lag: Span,
    /// Position (or time, without one) at which it last reported to be a replica.
    pub(crate) replica_as_of: Time,
    /// Whether its latest answer that states a role denied that it is the primary, or may have. Only an answer ends
    /// this: not the list, not a restart, and not what others say.
    pub(crate) denies_primary: bool,

    pub(crate) in_flight: u32,
    pub(crate) last_sent_at: Time,
    pub(crate) concurrency_limit: f64,
    /// Latency samples since the concurrency limit was last cut, or raised by samples of unserved requests.
    pub(crate) samples_since_cut: u32,
    /// Smoothed response time divided by the latency objective.
    pub(crate) latency_ratio: f64,
    /// Smoothed response time in nanoseconds.
    pub(crate) latency: f64,

    /// Send time of the most recently sent attempt that has been answered.
    pub(crate) latest_answered_send: Time,
    /// Smoothed share of attempts whose answer was lost.
    pub(crate) loss_share: f64,
    /// Since when no request in flight has been answered.
    pub(crate) unanswered_since: Time,
    /// Whether it is out of the rotation until a half-open attempt succeeds.
    pub(crate) ejected: bool,
    /// When the next half-open attempt may be sent; `half_open_wait` is the wait before the one after it.
    pub(crate) half_open_at: Time,
    pub(crate) half_open_wait: Span,
    /// Sum of the scores of failed attempts since the last one that was served or misrouted.
    pub(crate) failure_score: u32,

    pub(crate) checked_at: Time,
    pub(crate) check_pending: bool,

    /// Its place in the weighted rotation: the member with the lowest virtual time is next.
    pub(crate) virtual_time: f64,
    /// Times of sends to it in slow start within the last overload window.
    pub(crate) cold_sends: VecDeque<Time>,
    /// `None`: connections to it are not limited.
    pub(crate) connection_permits: Option<ConnectionPermits>,
}

impl MemberState {
    /// A member that has not reported or answered yet.
    pub(crate) fn unobserved(endpoint: &Member) -> Self {
        let (group, started_at) = (endpoint.group, endpoint.started_at);
        MemberState { group, started_at, lag: Span::MAX / 2, ..MemberState::default() }
    }

    /// Share of its full capacity that it is guaranteed to have at its age.
    pub(crate) fn slow_start_factor(&self, now: Time, rules: &Obligations) -> f64 {
        let age = self.started_at.map_or(rules.warm_up_time, |started_at| (now - started_at).max(0)) as f64;
        let warmed_up = (age / rules.warm_up_time.max(1) as f64).min(1.0);
        rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * warmed_up
    }

    pub(crate) fn snapshot(&self) -> MemberSnapshot {
        let MemberState { in_flight, ejected, latency_ratio, concurrency_limit, .. } = *self;
        let position = Some(self.position).filter(|position| *position > 0);
        MemberSnapshot { in_flight, ejected, latency_ratio, concurrency_limit, position }
    }

    /// Resets the state after a restart of the process: it is cold, and its earlier health and claims no longer apply.
    /// Its drain, its position, its denial of the role, its requests in flight and its connection permits remain, and
    /// what it was sent in slow start: a list may repeat a start with another time.
    pub(crate) fn restart(&mut self, initial: MemberState) {
        *self = MemberState {
            position: self.position,
            denies_primary: self.denies_primary,
            cold_sends: std::mem::take(&mut self.cold_sends),
            in_flight: self.in_flight,
            lifecycle: self.lifecycle,
            unavailable_since: self.unavailable_since,
            connection_permits: self.connection_permits,
            ..initial
        };
    }

    /// Updates position and lag unless a later position is known.
    pub(crate) fn advance_position(&mut self, observed: &Observation) {
        if let Some(position) = observed.position.filter(|position| *position >= self.position) {
            self.position = position;
            self.lag = observed.at - position;
        }
    }

    /// Records that a request is sent to it.
    pub(crate) fn start_attempt(&mut self, now: Time) {
        if self.in_flight == 0 {
            self.unanswered_since = now;
        }
        self.in_flight += 1;
        self.last_sent_at = now;
        self.take_connection_permit();
    }

    /// Records a send in slow start and drops those before the window.
    pub(crate) fn record_cold_send(&mut self, now: Time, window: Span) {
        self.cold_sends.retain(|sent_at| now - *sent_at < window);
        self.cold_sends.push_back(now);
    }

    /// Number of sends in slow start within the window.
    pub(crate) fn cold_sends_within(&self, now: Time, window: Span) -> usize {
        self.cold_sends.iter().filter(|sent_at| now - **sent_at < window).count()
    }

    /// Records an answer to an attempt that was sent `elapsed` ago: resets the failure score and the time without
    /// an answer.
    pub(crate) fn record_answer(&mut self, now: Time, elapsed: Span) {
        self.failure_score = 0;
        self.unanswered_since = now;
        self.latest_answered_send = self.latest_answered_send.max(now - elapsed);
    }

    pub(crate) fn start_health_check(&mut self, now: Time) {
        self.checked_at = now;
        self.check_pending = true;
        self.take_connection_permit();
    }

    /// Whether a health check is pending that was sent within this time.
    pub(crate) fn is_check_pending_within(&self, now: Time, span: Span) -> bool {
        self.check_pending && now - self.checked_at < span
    }

    /// Whether no health check is pending and none was sent within this time.
    pub(crate) fn is_unchecked_for(&self, now: Time, span: Span) -> bool {
        !self.check_pending && now - self.checked_at >= span
    }

    /// Whether it can be reached now: a connection is free or may be opened.
    pub(crate) fn has_connection_permit(&self, now: Time) -> bool {
        self.connection_permits.is_none_or(|permits| permits.free > 0 || now >= permits.may_open_from)
    }

    /// Whether connections to it are limited and none is free.
    pub(crate) fn needs_new_connection(&self) -> bool {
        self.connection_permits.is_some_and(|permits| permits.free == 0)
    }

    /// Uses one connection permit. The count is provisional until the host sets the permits again.
    fn take_connection_permit(&mut self) {
        if let Some(permits) = &mut self.connection_permits {
            if permits.free > 0 {
                permits.free -= 1;
            } else {
                permits.may_open_from = Time::MAX;
            }
        }
    }

    /// Whether it has been removed (or presumed removed and ejected) since before this time and has nothing in flight.
    pub(super) fn is_unused_since(&self, before: Time) -> bool {
        let removed = self.lifecycle == Lifecycle::Removed || self.removal_in_doubt && self.ejected;
        removed && self.in_flight == 0 && self.unavailable_since < before
    }
}

/// A member that may be selected, with its identifier.
pub(crate) type Candidate<'a> = (MemberId, &'a MemberState);

/// Mean number of requests in flight at these members.
pub(crate) fn mean_in_flight(members: &[&Candidate]) -> f64 {
    let sum = members.iter().map(|(_, member)| f64::from(member.in_flight)).sum::<f64>();
    sum / members.len().max(1) as f64
}
