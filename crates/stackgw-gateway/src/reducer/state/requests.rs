//! The open requests of all frontends.

use crate::pg::{Statement, StatementTarget};
use crate::reducer::context::Context;
use crate::reducer::ids::{CallId, ConnectionId, Requester};
use crate::reducer::timers::TimerKey;
use stackgw_router::api::{Request, RequestId, Time};
use std::collections::{HashMap, HashSet};

/// An attempt that is open on a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OpenAttempt {
    pub(crate) number: u32,
    pub(crate) connection: ConnectionId,
}

/// A served write's response that waits until the owners of its session have confirmed the write.
#[derive(Debug)]
struct UnconfirmedWrite {
    row: Vec<u8>,
    timeout: Option<TimerKey>,
}

/// A request, until it has its response and its last attempt has ended.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    /// The requester that still waits for the response.
    pub(crate) requester: Option<Requester>,
    pub(crate) statement: Statement,
    pub(crate) deadline: Time,
    pub(crate) attempts_started: u32,
    pub(crate) attempts: Vec<OpenAttempt>,
    /// The outcome is decided.
    pub(crate) is_finished: bool,
    /// The request for the router, which is not submitted until the session's last write is known.
    pub(crate) awaiting_session: Option<Box<Request>>,
    /// The response may be a stream.
    pub(crate) may_stream: bool,
    unconfirmed_write: Option<UnconfirmedWrite>,
}

impl OpenRequest {
    pub(crate) fn has_unconfirmed_write(&self) -> bool {
        self.unconfirmed_write.is_some()
    }
}

/// All open requests.
///
/// Invariants: a statement's id belongs to one open request; the bytes of open statements and of unconfirmed responses are
/// counted in the `buffered_bytes` counter.
#[derive(Default)]
pub(crate) struct Requests {
    open: HashMap<RequestId, OpenRequest>,
    calls: HashMap<CallId, RequestId>,
    statement_ids: HashSet<String>,
    next_id: u64,
}

impl Requests {
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    pub(crate) fn has_statement_id(&self, id: &str) -> bool {
        self.statement_ids.contains(id)
    }

    /// Opens a request.
    pub(crate) fn insert(
        &mut self,
        cx: &mut Context<'_>,
        requester: Requester,
        statement: Statement,
        deadline: Time,
    ) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        cx.counters.buffered_bytes += statement.size_bytes() as u64;
        self.statement_ids.insert(statement.id.clone());
        let request = OpenRequest {
            requester: Some(requester),
            statement,
            deadline,
            attempts_started: 0,
            attempts: Vec::new(),
            is_finished: false,
            awaiting_session: None,
            may_stream: false,
            unconfirmed_write: None,
        };
        self.open.insert(id, request);
        id
    }

    /// Removes a request that has its response and no more open attempts.
    pub(crate) fn remove_if_done(&mut self, cx: &mut Context<'_>, id: RequestId) {
        let is_done = |request: &OpenRequest| {
            request.is_finished
                && request.attempts.is_empty()
                && request.unconfirmed_write.is_none()
        };
        if !self.get(id).is_some_and(is_done) {
            return;
        }
        if let Some(request) = self.open.remove(&id) {
            cx.counters.buffered_bytes -= request.statement.size_bytes() as u64;
            self.statement_ids.remove(&request.statement.id);
        }
    }

    /// Requests whose requester still waits, in the order of their ids.
    pub(crate) fn unanswered(&self) -> Vec<RequestId> {
        let open = self.open.iter();
        let unanswered = open.filter(|(_, request)| request.requester.is_some());
        let mut ids: Vec<_> = unanswered.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Returns whether a statement may run concurrently with this request: they concern different keys, or both only read.
    pub(crate) fn is_independent(&self, id: RequestId, target: &StatementTarget<'_>) -> bool {
        self.get(id).is_none_or(|request| {
            let other = &request.statement;
            let is_same_key = other.key_bytes() == target.key.as_bytes();
            !is_same_key || !(target.writes || other.write)
        })
    }

    // Calls of other frontends.

    pub(crate) fn register_call(&mut self, call: CallId, id: RequestId) {
        self.calls.insert(call, id);
    }

    pub(crate) fn take_call(&mut self, call: CallId) -> Option<RequestId> {
        self.calls.remove(&call)
    }

    /// Returns the calls whose response is not complete.
    pub(crate) fn open_calls(&self) -> Vec<CallId> {
        let mut calls: Vec<_> = self.calls.keys().copied().collect();
        calls.sort_unstable();
        calls
    }

    pub(crate) fn has_calls(&self) -> bool {
        !self.calls.is_empty()
    }

    // Served writes that wait for confirmation.

    /// Holds a served write's response and marks the outcome of its request as decided.
    pub(crate) fn hold_response(&mut self, cx: &mut Context<'_>, id: RequestId, row: Vec<u8>) {
        if let Some(request) = self.open.get_mut(&id) {
            cx.counters.buffered_bytes += row.len() as u64;
            request.is_finished = true;
            request.unconfirmed_write = Some(UnconfirmedWrite { row, timeout: None });
        }
    }

    pub(crate) fn set_confirmation_timeout(&mut self, id: RequestId, timeout: TimerKey) {
        let request = self.open.get_mut(&id);
        let write = request.and_then(|request| request.unconfirmed_write.as_mut());
        if let Some(write) = write {
            write.timeout = Some(timeout);
        }
    }

    /// Takes a held response and cancels its timeout.
    pub(crate) fn take_held_response(
        &mut self,
        cx: &mut Context<'_>,
        id: RequestId,
    ) -> Option<Vec<u8>> {
        let write = self.open.get_mut(&id)?.unconfirmed_write.take()?;
        cx.counters.buffered_bytes -= write.row.len() as u64;
        cx.timers.cancel(write.timeout);
        Some(write.row)
    }
}
