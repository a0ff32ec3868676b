//! Requests from their acceptance to their final response.

use crate::pg::{Frame, Statement};
use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::ids::{CallId, ClientId, Requester};
use crate::reducer::response::FinalResponse;
use crate::reducer::state::Gateway;
use stackgw_router::api::{
    Consistency, Event, GroupId, Idempotency, Outcome, Request, RequestId, SessionId,
    SessionTracking, Span, Time, MS,
};

pub(super) const SHUTTING_DOWN: &str = "the gateway ends";

impl Gateway {
    /// Handles a request of another frontend, given as a PostgreSQL query message.
    pub(super) fn handle_call(
        &mut self,
        cx: &mut Context<'_>,
        call: CallId,
        frame: Frame,
        may_stream: bool,
    ) {
        if self.shutdown.listener_closed() {
            let response = FinalResponse::Unavailable(SHUTTING_DOWN);
            return cx.emit(Effect::CallCompleted(call, response));
        }
        cx.counters.taken += 1;
        let now = cx.now;
        let submitted = Statement::parse(frame)
            .map_err(|malformed| FinalResponse::Malformed(malformed.message()))
            .and_then(|statement| self.submit(cx, now, Requester::Call(call), statement));
        match submitted {
            Ok(request) => {
                if let Some(open) = self.requests.get_mut(request) {
                    open.may_stream = may_stream && !open.statement.write;
                }
                self.requests.register_call(call, request);
            }
            Err(response) => {
                let is_malformed = matches!(response, FinalResponse::Malformed(_));
                cx.counters.malformed += u64::from(is_malformed);
                cx.emit(Effect::CallCompleted(call, response));
            }
        }
    }

    /// Handles the cancellation of another frontend's request. A response stream is cancelled; a request without one is
    /// abandoned, and a write that was sent runs to completion.
    pub(super) fn handle_call_cancelled(&mut self, cx: &mut Context<'_>, call: CallId) {
        let Some(request) = self.requests.take_call(call) else {
            return;
        };
        match self.streaming_connection(request) {
            Some(connection) => self.handle_stream_ended(cx, connection, Outcome::Cancelled),
            None => self.abandon(cx, request),
        }
    }

    /// Accepts a request of any frontend, or returns the response that rejects it. An accepted request is submitted to the
    /// router; if sessions are shared, a session read is submitted once it is known what it must see.
    pub(super) fn submit(
        &mut self,
        cx: &mut Context<'_>,
        received_at: Time,
        requester: Requester,
        statement: Statement,
    ) -> Result<RequestId, FinalResponse> {
        if matches!(requester, Requester::Call(_)) {
            check_buffered_bytes(cx, &statement)?;
        }
        let class = self.check_statement(cx, &statement)?;
        let consistency = self.classes[class].consistency;
        self.check_capacity(cx, consistency)?;
        let wait = (statement.wait_ms as Span * MS).min(cx.limits.max_request_wait);
        let deadline = received_at + wait;
        // A key may be large, and the router keeps it only where it tracks sessions itself.
        let tracking = self.static_config.settings.router.session_tracking;
        let has_session = tracking == SessionTracking::Router
            && matches!(
                consistency,
                Consistency::Write | Consistency::ReadYourWrites
            );
        let group = GroupId(statement.cluster);
        let session = has_session.then(|| SessionId(statement.key().into()));
        let last_write = statement.after_ms.map(|ms| ms * MS);
        let is_retry = statement.repeat;
        let id = self.requests.insert(cx, requester, statement, deadline);
        self.shutdown.record_request(cx.now, id);
        let request = Request {
            id,
            class,
            group,
            deadline,
            session,
            last_write,
            is_retry,
            requires_strong_read: false,
        };
        if consistency == Consistency::ReadYourWrites && self.sessions.is_some() {
            self.begin_session_read(cx, request);
        } else {
            self.router.enqueue(Event::Request(request));
        }
        Ok(id)
    }

    fn class_of(&self, statement: &Statement) -> Option<usize> {
        let mut classes = self.names.classes.iter();
        classes.position(|name| *name == statement.class)
    }

    /// Returns whether a second execution of a statement does no harm; false if its class is unknown.
    pub(super) fn is_idempotent(&self, statement: &Statement) -> bool {
        self.class_of(statement)
            .is_some_and(|class| self.classes[class].idempotency == Idempotency::Idempotent)
    }

    /// Returns the index of a statement's class, or the response that rejects the statement: a shutdown rejects new
    /// requests, no endpoints are known, the statement is invalid, or another open request has its id.
    fn check_statement(
        &mut self,
        cx: &mut Context<'_>,
        statement: &Statement,
    ) -> Result<usize, FinalResponse> {
        if self.shutdown.is_rejecting() {
            return Err(reject_early(cx, FinalResponse::Unavailable(SHUTTING_DOWN)));
        }
        let class = self
            .class_of(statement)
            .ok_or(FinalResponse::Malformed("the class is unknown"))?;
        if self.members.is_empty() {
            let response = self.no_endpoints_response(cx.now);
            return Err(reject_early(cx, response));
        }
        if !self.members.has_group(statement.cluster) {
            return Err(FinalResponse::Malformed("the cluster is unknown"));
        }
        let is_write_class = self.classes[class].consistency == Consistency::Write;
        if is_write_class != statement.write {
            let text = "the class and the statement do not go together";
            return Err(FinalResponse::Malformed(text));
        }
        if self.requests.has_statement_id(&statement.id) {
            // Members treat two requests with the same id as one, and the first would get the other's response.
            cx.counters.ids_taken += 1;
            cx.log_rarely(
                cx.counters.ids_taken,
                "statements with the id of an open request:",
            );
            return Err(FinalResponse::Malformed("a request with this id is open"));
        }
        Ok(class)
    }

    /// Rejects requests over the limit of open requests, and writes whose responses could not be confirmed.
    fn check_capacity(
        &self,
        cx: &mut Context<'_>,
        consistency: Consistency,
    ) -> Result<(), FinalResponse> {
        if self.requests.len() >= cx.limits.requests {
            let response = FinalResponse::Rejected("too many requests are open", None);
            return Err(reject_early(cx, response));
        }
        let is_write = consistency == Consistency::Write;
        match self.write_rejection_reason().filter(|_| is_write) {
            Some(text) => Err(reject_early(cx, FinalResponse::Rejected(text, None))),
            None => Ok(()),
        }
    }

    fn no_endpoints_response(&self, now: Time) -> FinalResponse {
        let text = "no list of members is known yet";
        let hints_retry = self.static_config.settings.router.limits.retry_after;
        match self.bootstrap.as_ref().filter(|_| hints_retry) {
            Some(bootstrap) => {
                let wait = bootstrap.bootstrap().retry_after(now);
                FinalResponse::Rejected(text, Some((wait + MS - 1) / MS))
            }
            None => FinalResponse::Unavailable(text),
        }
    }

    /// Sends a request's final response. Returns whether a requester was still waiting for it.
    pub(super) fn answer(
        &mut self,
        cx: &mut Context<'_>,
        id: RequestId,
        response: FinalResponse,
    ) -> bool {
        let Some(open) = self.requests.get_mut(id) else {
            return false;
        };
        open.is_finished = true;
        let requester = open.requester.take();
        let awaited_session = open.awaiting_session.take().is_some();
        self.requests.take_held_response(cx, id);
        if awaited_session {
            self.cancel_session_ticket(id);
        }
        match requester {
            Some(Requester::Client(client)) => {
                self.deliver_response(cx, client, id, response.into_messages());
            }
            Some(Requester::Call(call)) => {
                self.requests.take_call(call);
                cx.emit(Effect::CallCompleted(call, response));
            }
            None => {}
        }
        self.requests.remove_if_done(cx, id);
        requester.is_some()
    }

    /// Puts a response into its slot in the client's pipeline, and writes all completed responses at the pipeline's front.
    pub(super) fn deliver_response(
        &mut self,
        cx: &mut Context<'_>,
        client: ClientId,
        request: RequestId,
        reply: Vec<u8>,
    ) {
        if !self.clients.fill_slot(cx.now, client, request, reply) {
            return;
        }
        while let Some(slot) = self.clients.pop_completed(client) {
            self.send_to_client(cx, client, slot.reply, slot.is_last);
        }
        self.dispatch_queued_frames(cx, client);
    }

    /// Abandons a request whose requester no longer waits for the response.
    pub(super) fn abandon(&mut self, cx: &mut Context<'_>, id: RequestId) {
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        open.requester = None;
        open.is_finished = true;
        let is_known_to_router = open.awaiting_session.take().is_none();
        cx.counters.abandoned += 1;
        self.requests.take_held_response(cx, id);
        self.cancel_session_ticket(id);
        if is_known_to_router {
            self.router.enqueue(Event::ClientDisconnected(id));
        }
        self.requests.remove_if_done(cx, id);
    }
}

/// Rejects a call whose statement does not fit into the shared buffer limit; one within a client's reserve always fits.
/// PostgreSQL clients' messages have their own check, [`Gateway::accepts_frame`], before they are delivered.
fn check_buffered_bytes(cx: &mut Context<'_>, statement: &Statement) -> Result<(), FinalResponse> {
    let is_full = cx.counters.buffered_bytes >= cx.limits.shared_client_bytes() as u64;
    if is_full && statement.size_bytes() > cx.limits.reserved_client_bytes() {
        let response = FinalResponse::Rejected("too many bytes of statements are open", None);
        return Err(reject_early(cx, response));
    }
    Ok(())
}

/// Counts a request that is rejected before it reaches the router.
fn reject_early(cx: &mut Context<'_>, response: FinalResponse) -> FinalResponse {
    cx.counters.rejected_early += 1;
    response
}
