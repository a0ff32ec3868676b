//! Clients' connections: read-ahead, writing, closing, and readiness.

use crate::pg::write;
use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::ids::{ClientId, Requester};
use crate::reducer::input::{ReadAhead, StallReason};
use crate::reducer::response::{
    ClientError, FinalResponse, LIMIT_EXCEEDED, PROTOCOL_VIOLATION, TOO_MANY_CONNECTIONS,
};
use crate::reducer::state::admission::{Capacity, Eviction};
use crate::reducer::state::Gateway;
use stackgw_router::api::{RequestId, Span, MS};

/// Retry-after of a request that is rejected for lack of memory.
const CAPACITY_RETRY_AFTER: Span = 50 * MS;
/// The rejection of a request whose response cannot be kept.
pub(super) const RESPONSES_WAIT: &str = "too many responses wait for earlier ones";

impl Gateway {
    /// Updates a client's read-ahead, the data that it has sent and that is not delivered yet. If the read-ahead of all clients
    /// exceeds three quarters of the client buffer limit, the idle client with the largest partial message gets an error and is
    /// closed. A client whose complete messages wait keeps its connection, as it still gets responses; its socket is just not
    /// read further.
    pub(super) fn handle_read_ahead(
        &mut self,
        cx: &mut Context<'_>,
        id: ClientId,
        read_ahead: ReadAhead,
    ) {
        if !self.clients.contains(id) {
            return;
        }
        let accepts = self.accepts_frame(id, 0, cx.counters, cx.limits);
        self.clients.set_read_ahead(cx.now, id, read_ahead, accepts);
        if self.clients.read_ahead_bytes() <= cx.limits.client_bytes / 4 * 3 {
            return;
        }
        let tolerated_bytes = cx.limits.tolerated_read_ahead_bytes();
        if let Some(largest) = self.clients.largest_partial_read_ahead(tolerated_bytes) {
            count_over_buffer_limit(cx);
            let error = ClientError::fatal(LIMIT_EXCEEDED, "too much was sent ahead");
            self.write_client_error(cx, largest, error);
        }
    }

    /// Handles the flush of everything written to a client. During a shutdown, an idle client is then closed.
    pub(super) fn handle_client_flushed(&mut self, cx: &mut Context<'_>, id: ClientId) {
        let is_connected = self.clients.finish_write(cx.now, id);
        if is_connected && self.shutdown.is_draining(cx.now) && self.clients.is_idle(id) {
            cx.emit(Effect::ClientCloseIfIdle(id));
        }
    }

    /// Handles bytes from a client that violate the protocol: the client gets an error and is closed; no other connection is
    /// affected.
    pub(super) fn handle_client_protocol_error(&mut self, cx: &mut Context<'_>, id: ClientId) {
        if !self.clients.contains(id) {
            return;
        }
        cx.counters.clients_bad += 1;
        cx.log_rarely(cx.counters.clients_bad, "protocol errors from clients:");
        self.clients.take_partial(id);
        let text = "these bytes are no message of the protocol";
        self.write_client_error(cx, id, ClientError::fatal(PROTOCOL_VIOLATION, text));
    }

    /// Checks whether a client has stopped in the middle of a message. The times of that message start anew: the gateway may be
    /// behind with reading it, and the client would otherwise be chosen again and again.
    pub(super) fn check_stalled(
        &mut self,
        cx: &mut Context<'_>,
        id: ClientId,
        reason: StallReason,
    ) {
        self.clients.restart_partial(cx.now, id);
        cx.emit(Effect::ClientCheckStalled(id, reason));
    }

    /// Ends a client that has not sent the rest of its message, with an error behind the responses that it still waits for.
    pub(super) fn handle_client_stalled(
        &mut self,
        cx: &mut Context<'_>,
        id: ClientId,
        reason: StallReason,
    ) {
        if !self.clients.take_partial(id) {
            return;
        }
        match reason {
            StallReason::Timeout => count_stalled(cx),
            StallReason::PlaceNeeded => count_place_taken(cx),
            StallReason::MemoryNeeded => count_over_buffer_limit(cx),
        }
        if !self.clients.is_idle(id) {
            // The error waits for earlier responses, and what was sent after these must not take memory until then.
            self.clients.drop_read_ahead(id);
            cx.emit(Effect::ClientDropInput(id));
        }
        self.write_client_error(cx, id, stall_error(reason));
    }

    /// Frees memory for clients that wait to send the rest of their messages: ends those that have stopped within one.
    ///
    /// Without this, half-sent messages would keep all of it until their timeouts, and complete messages would not be read.
    pub(super) fn free_read_ahead(&mut self, cx: &mut Context<'_>) {
        for client in self.clients.stalled_holders(cx.now, cx.limits) {
            self.check_stalled(cx, client, StallReason::MemoryNeeded);
        }
    }

    /// Takes a client's place.
    pub(super) fn evict(&mut self, cx: &mut Context<'_>, eviction: Eviction) {
        match eviction {
            Eviction::Idle(client) => cx.emit(Effect::ClientCloseIfIdle(client)),
            Eviction::Stalled(client) => {
                self.check_stalled(cx, client, StallReason::PlaceNeeded);
            }
            Eviction::Unresponsive(client) => {
                let was_closing = self.clients.is_closing(client);
                cx.counters.clients_stalled += u64::from(!was_closing);
                self.close_client(cx, client);
            }
        }
    }

    /// Closes a client that has sent no request in time. It gets no error: its first request may be in transit, and the client
    /// would take the error for its response.
    pub(super) fn close_unused_client(&mut self, cx: &mut Context<'_>, id: ClientId) {
        cx.counters.clients_without_request += 1;
        cx.log_rarely(
            cx.counters.clients_without_request,
            "clients that sent no request in time:",
        );
        cx.emit(Effect::ClientCloseIfIdle(id));
    }

    /// Closes a client's connection at once and abandons its requests.
    pub(super) fn close_client(&mut self, cx: &mut Context<'_>, id: ClientId) {
        cx.emit(Effect::ClientClose(id));
        self.remove_client(cx, id);
    }

    /// Removes a client whose connection has ended and abandons its requests.
    pub(super) fn remove_client(&mut self, cx: &mut Context<'_>, id: ClientId) {
        for request in self.clients.remove(cx, id).unwrap_or_default() {
            self.abandon(cx, request);
        }
    }

    /// Writes to a client after the responses that it still waits for.
    pub(super) fn write_to_client(
        &mut self,
        cx: &mut Context<'_>,
        id: ClientId,
        bytes: Vec<u8>,
        close: bool,
    ) {
        if let Some(bytes) = self.clients.prepare_write(id, bytes, close) {
            self.send_to_client(cx, id, bytes, close);
        }
    }

    /// Writes bytes that are already counted as pending and have no open response before them.
    pub(super) fn send_to_client(
        &mut self,
        cx: &mut Context<'_>,
        id: ClientId,
        bytes: Vec<u8>,
        close: bool,
    ) {
        if !self.clients.begin_write(cx.now, id, close) {
            return;
        }
        cx.emit(Effect::ClientWrite {
            client: id,
            bytes,
            close,
        });
        self.limit_pending_writes(cx, id);
    }

    /// Frees memory if the pending bytes of all clients exceed the limit: closes a client that has not read for a while,
    /// otherwise replaces responses that wait for earlier ones by rejections, otherwise closes the client with the most unread
    /// bytes.
    ///
    /// Without this, clients that request large values and do not read them could together use up all memory.
    fn limit_pending_writes(&mut self, cx: &mut Context<'_>, writing_to: ClientId) {
        let limit = cx.limits.pending_write_bytes;
        if self.clients.pending_write_bytes() <= limit {
            return;
        }
        let grace = cx.limits.unread_grace;
        if self.close_largest_unread(cx, writing_to, grace) {
            return;
        }
        let rejection = self.capacity_rejection(RESPONSES_WAIT).into_messages();
        while self.clients.pending_write_bytes() > limit
            && self.clients.replace_held_reply(&rejection)
        {
            count_rejected_reply(cx);
        }
        if self.clients.pending_write_bytes() > limit {
            self.close_largest_unread(cx, writing_to, 0);
        }
    }

    /// Closes the client with the most unread bytes of those that have not read for this long. Returns false if there is none.
    fn close_largest_unread(
        &mut self,
        cx: &mut Context<'_>,
        writing_to: ClientId,
        min_unread_time: Span,
    ) -> bool {
        let clients = &self.clients;
        let Some(largest) = clients.largest_unread(cx.now, writing_to, min_unread_time) else {
            return false;
        };
        count_over_buffer_limit(cx);
        self.close_client(cx, largest);
        true
    }

    /// Returns the final response to a served request: the row, or a rejection if the row would have to wait for earlier
    /// responses of its client, there is no memory for it, and a retry is safe.
    pub(super) fn response_within_capacity(
        &self,
        cx: &mut Context<'_>,
        id: RequestId,
        row: Vec<u8>,
    ) -> FinalResponse {
        let open = self.requests.get(id);
        let client = open.and_then(|open| match open.requester? {
            Requester::Client(client) => Some(client),
            Requester::Call(_) => None,
        });
        let is_idempotent = open.is_some_and(|open| self.is_idempotent(&open.statement));
        let may_hold = |client| {
            let clients = &self.clients;
            clients.may_hold_reply(client, id, row.len(), cx.limits)
        };
        if !is_idempotent || client.is_none_or(may_hold) {
            return FinalResponse::Served(row);
        }
        count_rejected_reply(cx);
        self.capacity_rejection(RESPONSES_WAIT)
    }

    /// Returns the rejection of a request for lack of memory, with a time to come back where the settings allow one.
    pub(super) fn capacity_rejection(&self, text: &'static str) -> FinalResponse {
        let limits = &self.static_config.settings.router.limits;
        let wait = CAPACITY_RETRY_AFTER.min(limits.max_retry_after) / MS;
        let retry_after_ms = Some(wait).filter(|wait| limits.retry_after && *wait > 0);
        FinalResponse::Rejected(text, retry_after_ms)
    }

    pub(super) fn write_client_error(
        &mut self,
        cx: &mut Context<'_>,
        id: ClientId,
        error: ClientError,
    ) {
        self.write_to_client(cx, id, error.to_messages(), error.fatal);
    }

    /// Rejects the first request of a client that connected when the client limit was reached, unless there is capacity now or
    /// a client that has sent no request, or has stopped in the middle of a message, can lose its place for it. Returns whether
    /// the client is rejected.
    pub(super) fn reject_over_capacity(&mut self, cx: &mut Context<'_>, id: ClientId) -> bool {
        match self.clients.claim_capacity(cx.now, id, cx.limits) {
            Capacity::Available => false,
            Capacity::AfterEvicting(eviction) => {
                self.evict(cx, eviction);
                false
            }
            Capacity::Exhausted => {
                // Waiting for capacity would use up the request's deadline; nothing has run, so a retry elsewhere is safe.
                let error = ClientError::fatal(TOO_MANY_CONNECTIONS, "too many connections");
                self.write_client_error(cx, id, error);
                true
            }
        }
    }

    // Readiness.

    /// Returns whether this gateway reports that it is ready.
    pub(super) fn is_ready(&self, cx: &Context<'_>) -> bool {
        let is_bootstrapped = self
            .bootstrap
            .as_ref()
            .is_none_or(|bootstrap| bootstrap.bootstrap().is_ready(cx.now));
        !self.members.is_empty() && is_bootstrapped
    }

    /// Answers an empty query.
    pub(super) fn write_empty_reply(&mut self, cx: &mut Context<'_>, id: ClientId) {
        let mut reply = Vec::new();
        write::empty(&mut reply);
        write::ready(&mut reply);
        self.write_to_client(cx, id, reply, false);
    }

    /// Answers the clients that wait for readiness if the gateway is ready.
    pub(super) fn answer_awaiting_ready(&mut self, cx: &mut Context<'_>) {
        if !self.is_ready(cx) {
            return;
        }
        for id in self.clients.awaiting_ready() {
            self.clients.stop_awaiting_ready(id);
            self.write_empty_reply(cx, id);
            self.dispatch_queued_frames(cx, id);
        }
    }
}

fn count_rejected_reply(cx: &mut Context<'_>) {
    cx.counters.replies_rejected += 1;
    cx.log_rarely(
        cx.counters.replies_rejected,
        "responses rejected because too many wait for earlier ones:",
    );
}

fn count_stalled(cx: &mut Context<'_>) {
    cx.counters.clients_stalled += 1;
    cx.log_rarely(
        cx.counters.clients_stalled,
        "clients that stalled within a message:",
    );
}

fn count_place_taken(cx: &mut Context<'_>) {
    cx.counters.clients_stalled_at_limit += 1;
    cx.log_rarely(
        cx.counters.clients_stalled_at_limit,
        "clients that stalled within a message while others needed their places:",
    );
}

/// Returns the error of a client that has not sent the rest of its message.
fn stall_error(reason: StallReason) -> ClientError {
    match reason {
        StallReason::Timeout => {
            ClientError::fatal(PROTOCOL_VIOLATION, "the message was not finished in time")
        }
        // Nothing of the request has run, so a retry is safe.
        StallReason::PlaceNeeded => {
            let text = "the message was not finished while other clients needed connections";
            ClientError::fatal(TOO_MANY_CONNECTIONS, text)
        }
        StallReason::MemoryNeeded => {
            let text = "the message was not finished while other clients needed memory";
            ClientError::fatal(TOO_MANY_CONNECTIONS, text)
        }
    }
}

fn count_over_buffer_limit(cx: &mut Context<'_>) {
    cx.counters.clients_over_buffer_limit += 1;
    cx.log_rarely(
        cx.counters.clients_over_buffer_limit,
        "clients over the buffer limit:",
    );
}
