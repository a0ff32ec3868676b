//! The records of requests: which attempts were sent, which are open, what may have run, and what sessions wrote.

use crate::api::{
    AttemptResult, Class, Consistency, GroupId, Idempotency, MemberId, Outcome, Request, RequestId,
    SessionId, Time,
};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt whose end is not known yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OpenAttempt {
    /// Its number, from 0 in order of sending.
    pub(crate) number: u32,
    pub(crate) member: MemberId,
}

/// What dispatching a request came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Disposition {
    /// It waits in its group's queue.
    Queued,
    /// It was sent, has its final answer, or needed nothing.
    Settled,
}

/// What the order of a group's queue goes by.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueueRank {
    pub(crate) request: RequestId,
    /// The class's priority weight.
    pub(crate) weight: f64,
    /// Until when it may be queued.
    pub(crate) deadline: Time,
}

/// One request that is owed its final answer.
#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) request: Request,
    pub(crate) class: Class,
    pub(crate) arrived_at: Time,
    pub(crate) attempts_sent: u32,
    pub(crate) last_sent_at: Time,
    pub(crate) open_attempts: Vec<OpenAttempt>,
    /// When the first attempt that may have run was sent.
    pub(crate) may_have_run_at: Option<Time>,
    /// Members that rejected it unexecuted since the last health check came back.
    pub(crate) rejected_by: Vec<MemberId>,
    /// Members that answered it with an error.
    pub(crate) failed_at: Vec<MemberId>,
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
            failed_at: Vec::new(),
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

    /// What its class needs, unless it must see every commit whatever that is.
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

    pub(crate) fn is_idempotent(&self) -> bool {
        self.class.idempotency != Idempotency::NonIdempotent
    }

    /// The member has rejected it, or answered it with an error.
    pub(crate) fn is_excluded(&self, member: MemberId) -> bool {
        self.rejected_by.contains(&member) || self.failed_at.contains(&member)
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
            Outcome::Error => self.failed_at.push(result.member),
            _ => {}
        }
    }
}

/// All requests that are owed their final answer.
#[derive(Debug, Default)]
pub(crate) struct RequestTable(BTreeMap<RequestId, RequestState>);

impl RequestTable {
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

    /// A request that has no open attempt.
    pub(crate) fn get_unsent(&self, id: RequestId) -> Option<&RequestState> {
        self.get(id).filter(|request| request.open_attempts.is_empty())
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &RequestState> {
        self.0.values()
    }

    /// Those of these requests that are not ended.
    pub(crate) fn get_all<'a>(
        &'a self,
        ids: &'a BTreeSet<RequestId>,
    ) -> impl Iterator<Item = &'a RequestState> {
        ids.iter().filter_map(|id| self.0.get(id))
    }

    /// These requests may be sent to members that rejected them before.
    pub(crate) fn forget_rejections(&mut self, ids: &BTreeSet<RequestId>) {
        for id in ids {
            if let Some(request) = self.0.get_mut(id) {
                request.rejected_by.clear();
            }
        }
    }

    /// Those whose client's deadline is this moment or earlier.
    pub(crate) fn due_by(&self, moment: Time) -> Vec<RequestId> {
        self.0.values().filter(|request| moment >= request.deadline()).map(RequestState::id).collect()
    }
}

/// When sessions last wrote, where the router keeps track of that.
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

    /// Drops what was written at this moment or before it.
    pub(crate) fn forget_before(&mut self, moment: Time) {
        self.0.retain(|_, written_at| *written_at > moment);
    }
}
