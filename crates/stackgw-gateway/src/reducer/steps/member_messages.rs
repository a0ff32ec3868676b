//! Members' messages.

use super::member_connections::reply_outcome;
use crate::pg::Frame;
use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::ids::ConnectionId;
use crate::reducer::input::CloseReason;
use crate::reducer::state::connection::{ConnectionState, ConnectionTask};
use crate::reducer::state::Gateway;
use stackgw_router::api::Outcome;

impl Gateway {
    /// The last byte of a task is written.
    pub(super) fn handle_member_flushed(&mut self, cx: &mut Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if connection.state != ConnectionState::Writing {
            return;
        }
        connection.state = ConnectionState::AwaitingResponse;
        let is_attempt = matches!(connection.task, Some(ConnectionTask::Attempt(_)));
        cx.counters.written += u64::from(is_attempt);
    }

    /// A member's complete message.
    pub(super) fn handle_member_frame(
        &mut self,
        cx: &mut Context<'_>,
        id: ConnectionId,
        frame: &Frame,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let taken = connection.reply.take(frame, cx.limits.answer_bytes);
        match (connection.state, taken) {
            (ConnectionState::Streaming(_), _) => {}
            // Danger: a second response, or noise behind a response, would be taken for the next request's response. Between
            // requests nothing is in place, but a member that closes an idle connection may say why.
            (ConnectionState::Idle, _) => {
                let is_farewell = frame.kind == b'E';
                let reason = if is_farewell {
                    CloseReason::Disconnected
                } else {
                    CloseReason::UnexpectedData
                };
                self.abort_connection(cx, id, reason);
            }
            (ConnectionState::Startup, Ok(_)) if !is_greeting(frame.kind) => {
                self.abort_connection(cx, id, CloseReason::ProtocolError);
            }
            (ConnectionState::Connecting, _) | (_, Err(_)) => {
                self.abort_connection(cx, id, CloseReason::ProtocolError);
            }
            (_, Ok(false)) => {}
            (ConnectionState::Startup, Ok(true)) => self.handle_greeting(cx, id),
            (ConnectionState::Writing | ConnectionState::AwaitingResponse, Ok(true)) => {
                self.handle_response(cx, id);
            }
        }
    }

    /// A member is ready for the first time: writes the connection's task, or leaves it idle.
    fn handle_greeting(&mut self, cx: &mut Context<'_>, id: ConnectionId) {
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
        self.note_connections_changed(member);
    }

    /// A response is complete, and the member is ready again.
    fn handle_response(&mut self, cx: &mut Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        let outcome = reply_outcome(&connection.reply).unwrap_or(Outcome::MalformedResponse);
        let is_writing = connection.state == ConnectionState::Writing;
        if is_writing || outcome == Outcome::MalformedResponse {
            // It is out of step: what is still to be written would be taken for the next request.
            cx.emit(Effect::MemberClose(id));
            return self.finish_task(cx, id, outcome);
        }
        self.release_connection(cx, id, outcome);
    }

    /// Part of a message is no response yet. On an idle connection nothing had requested it; a response that has begun must go
    /// on in time.
    pub(super) fn handle_member_partial_frame(&mut self, cx: &mut Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        match connection.state {
            ConnectionState::Idle => self.abort_connection(cx, id, CloseReason::UnexpectedData),
            ConnectionState::AwaitingResponse => {
                // Danger: a length beyond what follows would hold its request until the client's deadline.
                connection.response_started = true;
                let stalls_at = cx.now + cx.limits.answer_stall_timeout;
                let at = connection.task_deadline.min(stalls_at);
                self.connections.set_timer(cx, id, at);
            }
            _ => {}
        }
    }
}

/// Messages of a PostgreSQL server's startup.
fn is_greeting(kind: u8) -> bool {
    matches!(kind, b'R' | b'S' | b'K' | b'N' | b'v' | b'E' | b'Z')
}
