//! Responses that are streams: from its first message on, such a response belongs to its call and is never restarted on
//! another member. It counts as load of its member until it is paused for its reader.

use super::attempts::count_outcome;
use crate::pg::Reply;
use crate::reducer::backend::StreamHeader;
use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::ids::{CallId, ConnectionId, Requester};
use crate::reducer::state::connection::{Attempt, ConnectionState, ConnectionTask, StreamState};
use crate::reducer::state::Gateway;
use stackgw_router::api::{AttemptResult, Event, Outcome, RequestId};

impl Gateway {
    /// Handles the start of a response stream: the request's outcome is decided, its other attempts are cancelled, and it is
    /// not sent again.
    pub(super) fn handle_stream_started(
        &mut self,
        cx: &mut Context<'_>,
        id: ConnectionId,
        header: StreamHeader,
    ) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        if connection.state != ConnectionState::AwaitingResponse {
            return;
        }
        let member = connection.member;
        let Some(ConnectionTask::Attempt(attempt)) = connection.task else {
            // The response to a health check is one value.
            cx.emit(Effect::MemberClose(id));
            return self.finish_task(cx, id, Outcome::MalformedResponse);
        };
        let Some(call) = self.streamable_call(attempt.request) else {
            cx.emit(Effect::MemberClose(id));
            return self.finish_task(cx, id, Outcome::Cancelled);
        };
        self.connections.clear_timer(cx, id);
        self.begin_stream(cx, id, call, attempt, header);
        cx.counters.answered_served += 1;
        cx.counters.streams_begun += 1;
        cx.emit(Effect::CallStreaming(call, id));
        let request = attempt.request;
        self.router
            .enqueue(Event::StreamStarted { request, member });
        for other in self.finish_by_stream(request, id) {
            cx.emit(Effect::MemberClose(other));
            self.finish_task(cx, other, Outcome::Cancelled);
        }
    }

    /// Returns the call that waits for a request, if its response may be a stream.
    fn streamable_call(&self, request: RequestId) -> Option<CallId> {
        let open = self.requests.get(request)?;
        if open.is_finished || !open.may_stream {
            return None;
        }
        match open.requester {
            Some(Requester::Call(call)) => Some(call),
            _ => None,
        }
    }

    fn begin_stream(
        &mut self,
        cx: &mut Context<'_>,
        id: ConnectionId,
        call: CallId,
        attempt: Attempt,
        header: StreamHeader,
    ) {
        // The header's data is kept until the attempt's outcome is reported to the router.
        let mut reply = Reply::default();
        reply.primary = header.primary;
        reply.position = header.position;
        reply.report = header.report;
        self.discard_implausible(cx, &mut reply);
        if let Some(connection) = self.connections.get_mut(id) {
            connection.reply = reply;
            connection.state = ConnectionState::Streaming(StreamState {
                call,
                time_to_first_byte: cx.now - attempt.sent_at,
                counts_as_load: true,
            });
        }
    }

    /// Marks a request as decided by the stream on a connection. Returns the connections of its other attempts.
    fn finish_by_stream(&mut self, request: RequestId, id: ConnectionId) -> Vec<ConnectionId> {
        let Some(open) = self.requests.get_mut(request) else {
            return Vec::new();
        };
        open.is_finished = true;
        open.requester = None;
        let connections = open.attempts.iter().map(|attempt| attempt.connection);
        connections.filter(|connection| *connection != id).collect()
    }

    /// Handles a stream that is paused for its reader: it no longer counts as load of its member.
    ///
    /// Otherwise streams whose readers have stalled would use up their member's concurrency limit and block other requests.
    pub(super) fn handle_stream_paused(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if let ConnectionState::Streaming(stream) = &mut connection.state {
            if std::mem::replace(&mut stream.counts_as_load, false) {
                self.report_stream_outcome(id, Outcome::Served);
            }
        }
    }

    /// Reports the outcome of an attempt whose response is a stream. Its elapsed time is the time to the first byte.
    fn report_stream_outcome(&mut self, id: ConnectionId, outcome: Outcome) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let Some(stream) = connection.stream() else {
            return;
        };
        let reply = std::mem::take(&mut connection.reply);
        let Some(ConnectionTask::Attempt(attempt)) = connection.task else {
            return;
        };
        self.router.enqueue(Event::AttemptEnded(AttemptResult {
            request: attempt.request,
            attempt: attempt.number,
            member: connection.member,
            outcome,
            elapsed: stream.time_to_first_byte,
            request_finished: true,
            is_primary: reply.primary,
            position: reply.position,
            load_report: reply.report,
        }));
    }

    /// Handles the end of a stream. The router is given the time to the first byte, as the total depends on the reader.
    pub(super) fn handle_stream_ended(
        &mut self,
        cx: &mut Context<'_>,
        id: ConnectionId,
        outcome: Outcome,
    ) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        let Some(stream) = connection.stream() else {
            return;
        };
        let member = connection.member;
        if stream.counts_as_load {
            self.report_stream_outcome(id, outcome);
        }
        let task = self.detach(id);
        if outcome == Outcome::Served {
            if let Some(connection) = self.connections.get_mut(id) {
                connection.state = ConnectionState::Idle;
            }
            self.connections.return_to_pool(cx.now, member, id);
            self.mark_connections_changed(member);
        } else {
            cx.counters.streams_broken += 1;
            self.close_connection(cx, id);
        }
        count_outcome(cx, outcome);
        self.requests.take_call(stream.call);
        if let Some(ConnectionTask::Attempt(attempt)) = task {
            self.requests.remove_if_done(cx, attempt.request);
        }
    }

    /// Returns the connection that streams a request's response.
    pub(super) fn streaming_connection(&self, request: RequestId) -> Option<ConnectionId> {
        let attempts = &self.requests.get(request)?.attempts;
        let mut connections = attempts.iter().map(|attempt| attempt.connection);
        connections.find(|id| {
            let connection = self.connections.get(*id);
            connection.is_some_and(|connection| connection.stream().is_some())
        })
    }
}
