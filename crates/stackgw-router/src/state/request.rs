//! State of requests: attempts sent, attempts still open, whether one may have run; and the sessions' last writes.

use crate::api::{
    AttemptResult, Class, Consistency, GroupId, Idempotency, MemberId, Outcome, Request, RequestId,
    SessionId, Time,
};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt whose end has not been reported.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OpenAttempt {
    /// Its number, from 0 in order of sending.
    pub(crate) number: u32,
    pub(crate) member: MemberId,
}

/// Result of dispatching a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DispatchResult {
    /// The request is in its group's queue.
    Queued,
    /// The request was sent, already had an open attempt, or has its final answer.
    Settled,
}

/// Sort key of a group's queue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueueRank {
    pub(crate) request: RequestId,
    /// The class's priority weight.
    pub(crate) weight: f64,
    /// From this time, the request is rejected or failed instead of queued.
    pub(crate) deadline: Time,
}

/// A request without a final answer.
#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) request: Request,
    pub(crate) class: Class,
    pub(crate) arrived_at: Time,
    pub(crate) attempts_sent: u32,
    pub(crate) last_sent_at: Time,
    pub(crate) open_attempts: Vec<OpenAttempt>,
    /// Earliest send time of the ended attempts that may have run. Open attempts are not included.
    pub(crate) may_have_run_at: Option<Time>,
    /// Members that rejected it without execution or could not be reached. Cleared when a health check in its group
    /// ends while it is queued.
    pub(crate) rejected_by: Vec<MemberId>,
    /// Members that answered it with an error.
    pub(crate) failed_by: Vec<MemberId>,
}

impl RequestState {
    pub(crate) fn new(now: Time, request: Request, class: Class) -> Self {
        RequestState {
            request,
            class,
            arrived_at: now,
            attempts_sent: 0,
            last_sent_at: 0,
            open_attempts: Vec::new(),
            may_have_run_at: None,
            rejected_by: Vec::new(),
            failed_by: Vec::new(),
        }
    }

    pub(crate) fn id(&self) -> RequestId {
        self.request.id
    }

    pub(crate) fn group(&self) -> GroupId {
        self.request.group
    }

    pub(crate) fn deadline(&self) -> Time {
        self.request.deadline
    }

    /// The consistency of its class, or `Strong` if the request itself requires that.
    pub(crate) fn consistency(&self) -> Consistency {
        if self.request.requires_strong_read {
            Consistency::Strong
        } else {
            self.class.consistency
        }
    }

    pub(crate) fn is_write(&self) -> bool {
        self.class.consistency == Consistency::Write
    }

    /// Whether a second execution does no harm, or an idempotency key lets members drop it.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.class.idempotency != Idempotency::NonIdempotent
    }

    /// Whether the member is excluded because it rejected the request, could not be reached, or answered with an error.
    pub(crate) fn is_excluded(&self, member: MemberId) -> bool {
        self.rejected_by.contains(&member) || self.failed_by.contains(&member)
    }

    pub(crate) fn start_attempt(&mut self, now: Time, member: MemberId) {
        self.open_attempts.push(OpenAttempt { number: self.attempts_sent, member });
        self.attempts_sent += 1;
        self.last_sent_at = now;
    }

    pub(crate) fn end_attempt(&mut self, now: Time, result: &AttemptResult) {
        self.open_attempts.retain(|attempt| attempt.number != result.attempt);
        if !result.outcome.never_ran() {
            let sent_at = now - result.elapsed;
            self.may_have_run_at = Some(self.may_have_run_at.map_or(sent_at, |first| first.min(sent_at)));
        }
        match result.outcome {
            Outcome::Misrouted | Outcome::Overloaded | Outcome::ConnectFailed => {
                self.rejected_by.push(result.member);
            }
            Outcome::Error => self.failed_by.push(result.member),
            _ => {}
        }
    }
}

/// All requests without a final answer.
#[derive(Debug, Default)]
pub(crate) struct RequestTable(BTreeMap<RequestId, RequestState>);

impl RequestTable {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn insert(&mut self, request: RequestState) {
        self.0.insert(request.id(), request);
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestState> {
        self.0.remove(&id)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.0.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.0.get_mut(&id)
    }

    /// The request, if it has no open attempt.
    pub(crate) fn get_dispatchable(&self, id: RequestId) -> Option<&RequestState> {
        self.get(id).filter(|request| request.open_attempts.is_empty())
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &RequestState> {
        self.0.values()
    }

    /// Those of these requests that have no final answer yet.
    pub(crate) fn get_all<'a>(
        &'a self,
        ids: &'a BTreeSet<RequestId>,
    ) -> impl Iterator<Item = &'a RequestState> {
        ids.iter().filter_map(|id| self.0.get(id))
    }

    /// Allows these requests to be sent again to members that rejected them or could not be reached.
    pub(crate) fn forget_rejections(&mut self, ids: &BTreeSet<RequestId>) {
        for id in ids {
            if let Some(request) = self.0.get_mut(id) {
                request.rejected_by.clear();
            }
        }
    }

    /// Requests whose client's deadline is at or before this time.
    pub(crate) fn due_by(&self, time: Time) -> Vec<RequestId> {
        self.0.values().filter(|request| time >= request.deadline()).map(RequestState::id).collect()
    }
}

/// Times of the sessions' last writes. Recorded only with `SessionTracking::Router`.
#[derive(Debug, Default)]
pub(crate) struct SessionWrites(BTreeMap<SessionId, Time>);

impl SessionWrites {
    pub(crate) fn last(&self, session: Option<&SessionId>) -> Option<Time> {
        self.0.get(session?).copied()
    }

    /// Records a write of the request's session.
    pub(crate) fn record(&mut self, request: &RequestState, committed_at: Time) {
        if let Some(session) = &request.request.session {
            let last = self.0.entry(session.clone()).or_insert(0);
            *last = committed_at.max(*last);
        }
    }

    /// Drops sessions whose last write was at or before this time.
    pub(crate) fn forget_before(&mut self, time: Time) {
        self.0.retain(|_, written_at| *written_at > time);
    }
}
