//! Clients' messages: startup, cancel requests, queries, and unsupported messages.

use crate::pg::{code, write, Frame, Statement};
use crate::reducer::context::Context;
use crate::reducer::ids::{ClientId, Requester};
use crate::reducer::response::{
    ClientError, FinalResponse, FEATURE_NOT_SUPPORTED, QUERY_CANCELED, SYNTAX_ERROR,
};
use crate::reducer::state::client::QueuedFrame;
use crate::reducer::state::clients::OpenedRequest;
use crate::reducer::state::Gateway;
use crate::reducer::steps::client_connections::RESPONSES_WAIT;

impl Gateway {
    /// Handles a client's complete message.
    pub(super) fn handle_client_frame(&mut self, cx: &mut Context<'_>, id: ClientId, frame: Frame) {
        let Some(received) = self.clients.receive_frame(cx.now, id) else {
            return;
        };
        if !received.is_started {
            return self.handle_startup(cx, id, &frame);
        }
        let queued = QueuedFrame {
            received_at: received.received_at,
            frame,
        };
        self.clients.enqueue_frame(cx, id, queued);
        self.dispatch_queued_frames(cx, id);
    }

    /// Returns whether a client's next message may be rejected for lack of capacity.
    pub(crate) fn may_reject_frame(&self, id: ClientId) -> bool {
        self.clients.is_idle(id)
    }

    /// Handles a client's complete message that was not accepted in time: a statement is rejected, any other message is handled.
    pub(super) fn handle_overdue_frame(
        &mut self,
        cx: &mut Context<'_>,
        id: ClientId,
        frame: Frame,
    ) {
        if frame.kind != b'Q' || Statement::is_empty(&frame) || self.clients.is_skipping(id) {
            return self.handle_client_frame(cx, id, frame);
        }
        if self.clients.receive_frame(cx.now, id).is_none() {
            return;
        }
        cx.counters.taken += 1;
        cx.counters.rejected_early += 1;
        self.clients.mark_request_sent(id);
        let rejection = self.capacity_rejection("too many bytes of statements are open");
        self.write_to_client(cx, id, rejection.into_messages(), false);
        self.clients.refresh_idle(cx.now, id);
    }

    /// Dispatches a client's queued messages that may run now.
    pub(super) fn dispatch_queued_frames(&mut self, cx: &mut Context<'_>, id: ClientId) {
        while let Some(queued) = self.clients.dequeue_runnable(cx, id, &self.requests) {
            self.dispatch_frame(cx, id, queued);
        }
        self.clients.refresh_idle(cx.now, id);
    }

    fn dispatch_frame(&mut self, cx: &mut Context<'_>, id: ClientId, queued: QueuedFrame) {
        let is_skipping = self.clients.is_skipping(id);
        match queued.frame.kind {
            b'Q' | b'P' | b'B' | b'D' | b'E' | b'C' | b'H' if is_skipping => {}
            b'Q' if Statement::is_empty(&queued.frame) => self.handle_empty_query(cx, id),
            b'Q' => self.handle_query(cx, id, queued),
            b'X' => self.close_client(cx, id),
            b'S' => self.handle_sync(cx, id),
            kind @ (b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F') => {
                self.reject_extended_protocol(cx, id, kind)
            }
            _ => self.handle_client_protocol_error(cx, id),
        }
    }

    /// Handles a Sync, the end of a message sequence of the extended protocol.
    fn handle_sync(&mut self, cx: &mut Context<'_>, id: ClientId) {
        self.clients.set_skipping(id, false);
        let mut reply = Vec::new();
        write::ready(&mut reply);
        self.write_to_client(cx, id, reply, false);
    }

    /// Rejects a message of the extended protocol or a function call; neither is supported. The rest of a message sequence is
    /// skipped up to its Sync. A function call has no Sync.
    fn reject_extended_protocol(&mut self, cx: &mut Context<'_>, id: ClientId, kind: u8) {
        let is_function_call = kind == b'F';
        self.clients.set_skipping(id, !is_function_call);
        let text = "only simple queries are spoken here";
        let mut reply = Vec::new();
        write::error(&mut reply, false, FEATURE_NOT_SUPPORTED, text, None);
        if is_function_call {
            write::ready(&mut reply);
        }
        self.write_to_client(cx, id, reply, false);
    }

    /// Handles an empty query, which is answered once the gateway is ready.
    fn handle_empty_query(&mut self, cx: &mut Context<'_>, id: ClientId) {
        let is_ready = self.is_ready(cx);
        // Clients that wait for the endpoint list may reach the client limit; further clients are rejected rather than kept
        // waiting.
        if !is_ready && self.reject_over_capacity(cx, id) {
            cx.counters.clients_rejected += 1;
            return;
        }
        self.clients.mark_request_sent(id);
        if is_ready {
            return self.write_empty_reply(cx, id);
        }
        self.clients.await_ready(id);
        self.clients.refresh_idle(cx.now, id);
    }

    fn handle_query(&mut self, cx: &mut Context<'_>, id: ClientId, queued: QueuedFrame) {
        cx.counters.taken += 1;
        if let Some(rejection) = self.shutdown.rejection() {
            // Not parsed: tens of thousands of statements may have to be answered before the exit.
            let rejection = rejection.to_vec();
            cx.counters.rejected_early += 1;
            return self.write_to_client(cx, id, rejection, false);
        }
        if self.reject_over_capacity(cx, id) {
            cx.counters.rejected_early += 1;
            return;
        }
        let submitted = Statement::parse(queued.frame)
            .map_err(|malformed| FinalResponse::Malformed(malformed.message()))
            .and_then(|statement| {
                let requester = Requester::Client(id);
                let opened = self.opened_request(cx, &statement);
                self.check_reply_capacity(cx, id, &opened)?;
                let request = self.submit(cx, queued.received_at, requester, statement)?;
                Ok((request, opened))
            });
        match submitted {
            Ok((request, opened)) => {
                self.clients.mark_request_sent(id);
                self.clients.push_request(id, request, opened);
                self.clients.refresh_idle(cx.now, id);
            }
            Err(FinalResponse::Malformed(text)) => self.reject_malformed(cx, id, text),
            Err(response) => self.write_to_client(cx, id, response.into_messages(), false),
        }
    }

    fn opened_request(&self, cx: &Context<'_>, statement: &Statement) -> OpenedRequest {
        let statement_bytes = statement.size_bytes();
        let is_idempotent = self.is_idempotent(statement);
        let reply_bytes = match (is_idempotent, statement.write) {
            // Its response may be replaced by a rejection when it arrives.
            (true, _) => 1,
            // A write returns the value that it has written.
            (false, true) => statement_bytes,
            (false, false) => cx.limits.answer_bytes,
        };
        OpenedRequest {
            statement_bytes,
            reply_bytes,
            is_idempotent,
        }
    }

    /// Rejects a statement whose response would have to wait for earlier ones and could not be kept.
    fn check_reply_capacity(
        &self,
        cx: &mut Context<'_>,
        id: ClientId,
        opened: &OpenedRequest,
    ) -> Result<(), FinalResponse> {
        if self.clients.may_open_request(id, opened, cx.limits) {
            return Ok(());
        }
        cx.counters.rejected_early += 1;
        Err(self.capacity_rejection(RESPONSES_WAIT))
    }

    /// Rejects a malformed statement with an error. A client that sends too many of them in a row is closed.
    fn reject_malformed(&mut self, cx: &mut Context<'_>, id: ClientId, text: &'static str) {
        cx.counters.malformed += 1;
        let Some(consecutive) = self.clients.count_malformed(id) else {
            return;
        };
        let fatal = consecutive >= cx.limits.max_consecutive_malformed;
        let error = ClientError {
            fatal,
            code: SYNTAX_ERROR,
            text,
        };
        self.write_client_error(cx, id, error);
    }

    /// Handles the first message of a connection: a startup, an encryption request or a cancel request.
    fn handle_startup(&mut self, cx: &mut Context<'_>, id: ClientId, frame: &Frame) {
        let version = frame.code().unwrap_or_default();
        match version {
            code::SSL | code::GSS if frame.body().len() == 4 => {
                self.write_to_client(cx, id, b"N".to_vec(), false)
            }
            code::CANCEL => {
                self.handle_cancel_request(cx, frame);
                self.close_client(cx, id);
            }
            _ if frame.is_startup() && frame.has_terminated_parameters() => {
                let mut reply = Vec::new();
                if version != code::VERSION_3 {
                    write::negotiate(&mut reply);
                }
                let secret = self.clients.issue_cancel_key(id);
                write::startup_response(&mut reply, id.0 as u32, secret);
                self.write_to_client(cx, id, reply, false);
            }
            _ => {
                cx.counters.clients_bad += 1;
                let text = "this startup is not understood";
                let error = ClientError::fatal(FEATURE_NOT_SUPPORTED, text);
                self.write_client_error(cx, id, error);
            }
        }
    }

    /// Cancels the first open request of the client whose cancel key the frame carries.
    fn handle_cancel_request(&mut self, cx: &mut Context<'_>, frame: &Frame) {
        let &[_, _, _, _, a, b, c, d, e, f, g, h] = frame.body() else {
            return;
        };
        let process = u32::from_be_bytes([a, b, c, d]);
        let secret = u32::from_be_bytes([e, f, g, h]);
        let client = ClientId(process.into());
        if let Some(request) = self.clients.cancellable_request(client, secret) {
            let text = "cancelled on the client's request";
            let error = ClientError::recoverable(QUERY_CANCELED, text);
            self.deliver_response(cx, client, request, error.to_messages());
            self.abandon(cx, request);
        }
    }
}
