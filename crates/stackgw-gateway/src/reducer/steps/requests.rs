//! Requests from their acceptance to their final response.

use crate::pg::{Frame, Statement};
use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::ids::{CallId, ClientId, Requester};
use crate::reducer::response::FinalResponse;
use crate::reducer::state::Gateway;
use stackgw_router::api::{
    Consistency, Event, GroupId, Outcome, Request, RequestId, SessionId, Span, Time, MS,
};

pub(super) const SHUTTING_DOWN: &str = "the gateway ends";

impl Gateway {
    /// A request of another frontend, as a query message.
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

    /// Nobody waits for another frontend's request any more. The stream of a read is cancelled; a write runs to completion.
    pub(super) fn handle_call_cancelled(&mut self, cx: &mut Context<'_>, call: CallId) {
        let Some(request) = self.requests.take_call(call) else {
            return;
        };
        match self.streaming_connection(request) {
            Some(connection) => self.handle_stream_ended(cx, connection, Outcome::Cancelled),
            None => self.abandon(cx, request),
        }
    }

    /// Accepts a request of any frontend and reports it to the router, or says why it is not accepted.
    pub(super) fn submit(
        &mut self,
        cx: &mut Context<'_>,
        received_at: Time,
        requester: Requester,
        statement: Statement,
    ) -> Result<RequestId, FinalResponse> {
        if matches!(requester, Requester::Call(_)) {
            check_bytes(cx, &statement)?;
        }
        let class = self.check_statement(cx, &statement)?;
        let consistency = self.classes[class].consistency;
        self.check_capacity(cx, consistency)?;
        let wait = (statement.wait_ms as Span * MS).min(cx.limits.max_request_wait);
        let deadline = received_at + wait;
        let has_session = matches!(
            consistency,
            Consistency::Write | Consistency::ReadYourWrites
        );
        let group = GroupId(statement.cluster);
        let session = has_session.then(|| SessionId(statement.key.as_str().into()));
        let last_write = statement.after_ms.map(|ms| ms * MS);
        let is_retry = statement.repeat;
        let id = self.requests.insert(cx, requester, statement, deadline);
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

    /// The index of a statement's class, if the statement is valid and endpoints are known.
    fn check_statement(
        &mut self,
        cx: &mut Context<'_>,
        statement: &Statement,
    ) -> Result<usize, FinalResponse> {
        if self.shutdown.is_rejecting() {
            return Err(reject_unseen(cx, FinalResponse::Unavailable(SHUTTING_DOWN)));
        }
        let mut classes = self.names.classes.iter();
        let class = classes
            .position(|name| *name == statement.class)
            .ok_or(FinalResponse::Malformed("the class is unknown"))?;
        if self.members.is_empty() {
            let response = self.no_endpoints_response(cx.now);
            return Err(reject_unseen(cx, response));
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
            // Danger: members take two requests with one id for the same, and the first would get the other's response.
            cx.counters.ids_taken += 1;
            cx.log_rarely(
                cx.counters.ids_taken,
                "statements under the id of an open request:",
            );
            return Err(FinalResponse::Malformed("a request with this id is open"));
        }
        Ok(class)
    }

    /// Rejects what exceeds the limit of open requests, and writes whose responses could not be confirmed.
    fn check_capacity(
        &self,
        cx: &mut Context<'_>,
        consistency: Consistency,
    ) -> Result<(), FinalResponse> {
        if self.requests.len() >= cx.limits.requests {
            let response = FinalResponse::Rejected("too many requests are open", None);
            return Err(reject_unseen(cx, response));
        }
        let is_write = consistency == Consistency::Write;
        match self.write_obstacle().filter(|_| is_write) {
            Some(text) => Err(reject_unseen(cx, FinalResponse::Rejected(text, None))),
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

    /// Gives a request its final response; whether somebody still waited for it.
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

    /// Puts a response into its place in the client's pipeline, and writes every response that has nothing open before it.
    pub(super) fn deliver_response(
        &mut self,
        cx: &mut Context<'_>,
        client: ClientId,
        request: RequestId,
        reply: Vec<u8>,
    ) {
        if !self.clients.fill_slot(client, request, reply) {
            return;
        }
        while let Some(slot) = self.clients.pop_completed(client) {
            self.send_to_client(cx, client, slot.reply, slot.is_last);
        }
        self.dispatch_queued_frames(cx, client);
    }

    /// Nobody waits for a request's response any more.
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

/// Rejects a call whose statement does not fit beside those that are buffered; one as small as a client's reserve always does.
/// Clients' own messages are held back before they come here.
fn check_bytes(cx: &mut Context<'_>, statement: &Statement) -> Result<(), FinalResponse> {
    let is_full = cx.counters.buffered_bytes >= cx.limits.shared_client_bytes() as u64;
    if is_full && statement.size_bytes() > cx.limits.reserved_client_bytes() {
        let response = FinalResponse::Rejected("too many bytes of statements are open", None);
        return Err(reject_unseen(cx, response));
    }
    Ok(())
}

/// Counts a request that is rejected before the router has seen it.
fn reject_unseen(cx: &mut Context<'_>, response: FinalResponse) -> FinalResponse {
    cx.counters.rejected_early += 1;
    response
}
