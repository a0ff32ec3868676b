//! Handlers for members' messages: a completely written task, and complete or partial messages.

use super::member_connections::reply_outcome;
use crate::pg::{Frame, ReplyError};
use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::ids::ConnectionId;
use crate::reducer::input::CloseReason;
use crate::reducer::state::connection::{ConnectionState, ConnectionTask};
use crate::reducer::state::Gateway;
use stackgw_router::api::Outcome;

impl Gateway {
    /// Records that a connection's task is completely written, so that its response is awaited.
    pub(super) fn handle_member_flushed(&mut self, cx: &mut Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if connection.state != ConnectionState::Writing {
            return;
        }
        connection.state = ConnectionState::AwaitingResponse;
        let deadline = connection.task_deadline;
        let Some(ConnectionTask::Attempt(attempt)) = connection.task else {
            return;
        };
        cx.counters.written += 1;
        if attempt.write_by.is_some() {
            // Until now, the timer was that of the latest time to write.
            self.connections.set_timer(cx, id, deadline);
        }
    }

    /// Handles a member's complete message.
    pub(super) fn handle_member_frame(
        &mut self,
        cx: &mut Context<'_>,
        id: ConnectionId,
        frame: &Frame,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let taken = connection.reply.add(frame, cx.limits.answer_bytes);
        match (connection.state, taken) {
            (ConnectionState::Streaming(_), _) => {}
            // A second response, or unexpected data after a response, would be taken for the next request's response. An idle
            // connection therefore must not receive anything, except an error with which a member closes it.
            (ConnectionState::Idle, _) => {
                let is_error = frame.kind == b'E';
                let reason = if is_error {
                    CloseReason::Disconnected
                } else {
                    CloseReason::UnexpectedData
                };
                self.abort_connection(cx, id, reason);
            }
            (ConnectionState::Startup, Ok(_)) if !is_startup_message(frame.kind) => {
                self.abort_connection(cx, id, CloseReason::ProtocolError);
            }
            (_, Err(ReplyError::TooLarge)) => {
                cx.counters.members_oversized += 1;
                let count = cx.counters.members_oversized;
                cx.log_rarely(count, "responses of members above the size limit:");
                self.abort_connection(cx, id, CloseReason::ProtocolError);
            }
            (ConnectionState::Connecting, _) | (_, Err(ReplyError::UnexpectedMessage)) => {
                self.abort_connection(cx, id, CloseReason::ProtocolError);
            }
            (_, Ok(false)) => {}
            (ConnectionState::Startup, Ok(true)) => self.handle_startup_complete(cx, id),
            (ConnectionState::Writing | ConnectionState::AwaitingResponse, Ok(true)) => {
                self.handle_response(cx, id);
            }
        }
    }

    /// Handles the end of a connection's startup: writes its task, or returns it to the pool if it has none.
    fn handle_startup_complete(&mut self, cx: &mut Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        cx.counters.members_up += 1;
        let member = connection.member;
        if let Some(bootstrap) = self.bootstrap.as_mut() {
            bootstrap.record_connected(member);
        }
        if connection.task.is_some() {
            return self.write_task(cx, id);
        }
        connection.state = ConnectionState::Idle;
        self.connections.clear_timer(cx, id);
        self.connections.take_connecting(member);
        self.connections.return_to_pool(cx.now, member, id);
        self.mark_connections_changed(member);
    }

    /// Handles a complete response; the member is ready for the next query.
    fn handle_response(&mut self, cx: &mut Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        let outcome = reply_outcome(&connection.reply).unwrap_or(Outcome::MalformedResponse);
        let is_writing = connection.state == ConnectionState::Writing;
        if is_writing || outcome == Outcome::MalformedResponse {
            // The connection is out of sync: bytes still to be written would be taken for the next request.
            cx.emit(Effect::MemberClose(id));
            return self.finish_task(cx, id, outcome);
        }
        self.release_connection(cx, id, outcome);
    }

    /// Handles part of a message. On an idle connection it is unexpected data. A response that has begun must make progress
    /// within a timeout.
    pub(super) fn handle_member_partial_frame(&mut self, cx: &mut Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        match connection.state {
            ConnectionState::Idle => self.abort_connection(cx, id, CloseReason::UnexpectedData),
            ConnectionState::AwaitingResponse => {
                // Otherwise a message shorter than its declared length would block its request until the client's deadline.
                connection.response_started = true;
                let stalls_at = cx.now + cx.limits.answer_stall_timeout;
                let at = connection.task_deadline.min(stalls_at);
                self.connections.set_timer(cx, id, at);
            }
            _ => {}
        }
    }
}

/// Returns whether a message of this type may occur in a PostgreSQL server's startup.
fn is_startup_message(kind: u8) -> bool {
    matches!(kind, b'R' | b'S' | b'K' | b'N' | b'v' | b'E' | b'Z')
}
