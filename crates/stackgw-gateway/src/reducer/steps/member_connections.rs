//! The life cycle of connections to members: established, closed, timed out.

use crate::pg::{write, Reply, ReplyOutcome};
use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::ids::ConnectionId;
use crate::reducer::input::CloseReason;
use crate::reducer::state::connection::{Connection, ConnectionState, ConnectionTask};
use crate::reducer::state::Gateway;
use stackgw_router::api::{MemberId, Outcome};

/// What the end of a connection means for its task.
enum ConnectionEnd {
    /// The connection was idle.
    Idle,
    /// None of the task was sent: it moves to another connection.
    Reconnect(Option<ConnectionTask>),
    /// The response stream is broken.
    StreamBroken,
    /// The task ends with this outcome.
    Ended(Outcome),
}

impl Gateway {
    /// Handles an established connection: sends the startup message, or the task if the protocol has no startup.
    pub(super) fn handle_member_connected(&mut self, cx: &mut Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if connection.state != ConnectionState::Connecting {
            return;
        }
        connection.state = ConnectionState::Startup;
        if connection.is_backend {
            cx.counters.members_up += 1;
            return self.write_task(cx, id);
        }
        let mut startup = Vec::new();
        write::startup(&mut startup, "stackgw", "core");
        cx.emit(Effect::MemberWrite(id, startup));
    }

    /// Handles the end of a connection. Its task's outcome depends on whether the last byte of the task was written.
    pub(super) fn handle_member_closed(
        &mut self,
        cx: &mut Context<'_>,
        id: ConnectionId,
        reason: CloseReason,
    ) {
        self.record_failed_handshake(cx, id);
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        count_close_reason(cx, reason);
        match connection_end(connection, reason) {
            ConnectionEnd::Idle => {
                let was_disconnected = reason == CloseReason::Disconnected;
                cx.counters.members_closed += u64::from(was_disconnected);
                self.connections.remove_from_pool(id);
                self.forget_connection(cx, id);
            }
            ConnectionEnd::Reconnect(task) => self.reconnect(cx, id, task),
            ConnectionEnd::StreamBroken => {
                self.handle_stream_ended(cx, id, Outcome::ConnectionReset)
            }
            ConnectionEnd::Ended(outcome) => self.finish_task(cx, id, outcome),
        }
    }

    /// Closes a connection for this reason and handles its end.
    pub(super) fn abort_connection(
        &mut self,
        cx: &mut Context<'_>,
        id: ConnectionId,
        reason: CloseReason,
    ) {
        cx.emit(Effect::MemberClose(id));
        self.handle_member_closed(cx, id, reason);
    }

    /// Moves a task of which nothing has been sent to another connection.
    fn reconnect(&mut self, cx: &mut Context<'_>, id: ConnectionId, task: Option<ConnectionTask>) {
        let Some(member) = self.connections.get(id).map(|connection| connection.member) else {
            return;
        };
        cx.counters.members_reopened += 1;
        self.detach(id);
        self.forget_connection(cx, id);
        if let Some(task) = task {
            self.assign_connection(cx, member, task);
        }
    }

    /// Reports a failed handshake to the connection pacer if the connection ended or timed out during its handshake.
    fn record_failed_handshake(&mut self, cx: &Context<'_>, id: ConnectionId) {
        let connection = self.connections.get(id);
        let handshaking = connection.filter(|connection| connection.is_handshaking());
        if let (Some(connection), Some(bootstrap)) = (handshaking, self.bootstrap.as_mut()) {
            bootstrap.record_connect_failure(cx.now, connection.member);
        }
    }

    /// Handles a connection that was not established in time, or whose task has timed out or whose response has stalled.
    pub(super) fn handle_connection_timeout(&mut self, cx: &mut Context<'_>, id: ConnectionId) {
        self.record_failed_handshake(cx, id);
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.timer = None;
        let outcome = match connection.state {
            ConnectionState::Connecting | ConnectionState::Startup | ConnectionState::Writing => {
                Outcome::ConnectFailed
            }
            ConnectionState::AwaitingResponse
                if connection.response_started && cx.now < connection.task_deadline =>
            {
                Outcome::MalformedResponse
            }
            ConnectionState::AwaitingResponse => Outcome::TimedOut,
            ConnectionState::Idle | ConnectionState::Streaming(_) => return,
        };
        self.give_up_connection(cx, id, outcome);
    }

    /// Ends the task of a connection and closes the connection, which cannot carry another task.
    ///
    /// A handshake that a member has begun costs the member the same whether or not a task still waits for it. If it were
    /// closed, the next attempt would begin another one, and a fleet that starts while its members are busy would cause nothing
    /// but handshakes. Therefore one handshake for each member is left to finish, for the member's next task.
    pub(super) fn give_up_connection(
        &mut self,
        cx: &mut Context<'_>,
        id: ConnectionId,
        outcome: Outcome,
    ) {
        let connection = self.connections.get(id);
        let Some(member) = connection.and_then(|connection| self.handshake_to_keep(connection))
        else {
            cx.emit(Effect::MemberClose(id));
            return self.finish_task(cx, id, outcome);
        };
        self.connections.keep_connecting(member, id);
        cx.counters.members_late += 1;
        let at = cx.now + cx.limits.late_connect_timeout;
        self.connections.set_timer(cx, id, at);
        if let Some(task) = self.detach(id) {
            self.finish_without_reply(cx, member, task, outcome);
        }
    }

    /// Returns the member of a connection whose handshake is left to finish without its task: the member has begun it, is not
    /// draining, and has no other such handshake.
    fn handshake_to_keep(&self, connection: &Connection) -> Option<MemberId> {
        let member = connection.member;
        let has_begun = connection.state == ConnectionState::Startup
            && !connection.is_backend
            && connection.task.is_some();
        let endpoint = self.members.get(member);
        let serves = endpoint.is_some_and(|endpoint| endpoint.draining_since.is_none());
        let keeps = has_begun && serves && !self.connections.has_connecting(member);
        keeps.then_some(member)
    }

    /// Closes all connections to a member that have no task.
    pub(super) fn close_unused(&mut self, cx: &mut Context<'_>, member: MemberId) {
        for id in self.connections.take_unused(member) {
            self.close_connection(cx, id);
        }
    }

    /// Closes a connection without a task.
    pub(super) fn close_connection(&mut self, cx: &mut Context<'_>, id: ConnectionId) {
        cx.emit(Effect::MemberClose(id));
        self.forget_connection(cx, id);
    }

    pub(super) fn forget_connection(&mut self, cx: &mut Context<'_>, id: ConnectionId) {
        if let Some(member) = self.connections.remove(cx, id) {
            self.mark_connections_changed(member);
        }
    }

    /// Marks a member whose connection permits may have changed: a connection to it was opened, closed, used or became idle.
    pub(super) fn mark_connections_changed(&mut self, member: MemberId) {
        if let Some(bootstrap) = self.bootstrap.as_mut() {
            bootstrap.mark_connections_changed(member);
        }
    }
}

/// Determines what the end of a connection means for its task.
fn connection_end(connection: &Connection, reason: CloseReason) -> ConnectionEnd {
    // An error may be a member's last message; a row counts only once the member is ready again after it.
    let replied = reply_outcome(&connection.reply)
        .filter(|outcome| *outcome != Outcome::Served || connection.reply.is_complete());
    match connection.state {
        ConnectionState::Idle => ConnectionEnd::Idle,
        ConnectionState::Streaming(_) => ConnectionEnd::StreamBroken,
        ConnectionState::Connecting => ConnectionEnd::Ended(Outcome::ConnectFailed),
        // The connection was closed while idle, so nothing of this request has been sent.
        ConnectionState::Writing
            if connection.is_reused
                && reason != CloseReason::ProtocolError
                && replied.is_none() =>
        {
            ConnectionEnd::Reconnect(connection.task)
        }
        // The connection was established, so the member is reachable; only this connection is broken.
        ConnectionState::Startup
            if reason == CloseReason::Disconnected
                && replied.is_none()
                && connection.task.is_none_or(ConnectionTask::may_reconnect) =>
        {
            ConnectionEnd::Reconnect(connection.task.map(ConnectionTask::reconnected))
        }
        ConnectionState::Startup | ConnectionState::Writing => match replied {
            Some(Outcome::Overloaded) => ConnectionEnd::Ended(Outcome::Overloaded),
            _ => ConnectionEnd::Ended(Outcome::ConnectFailed),
        },
        ConnectionState::AwaitingResponse => match (reason, replied) {
            (CloseReason::NotSent, None) => ConnectionEnd::Ended(Outcome::ConnectFailed),
            (CloseReason::ProtocolError, _) => ConnectionEnd::Ended(Outcome::MalformedResponse),
            (_, replied) => ConnectionEnd::Ended(replied.unwrap_or(Outcome::ConnectionReset)),
        },
    }
}

/// Returns the outcome of a reply for its attempt, or `None` if the reply has not ended.
pub(super) fn reply_outcome(reply: &Reply) -> Option<Outcome> {
    Some(match reply.outcome()? {
        ReplyOutcome::Row => Outcome::Served,
        ReplyOutcome::Error(code) => match &code {
            // A write at a replica; a read at a replica that is too far behind.
            b"25006" | b"72000" => Outcome::Misrouted,
            b"53300" => Outcome::Overloaded,
            _ => Outcome::Error,
        },
        ReplyOutcome::NoRow => Outcome::MalformedResponse,
    })
}

fn count_close_reason(cx: &mut Context<'_>, reason: CloseReason) {
    match reason {
        CloseReason::ProtocolError => {
            cx.counters.members_bad += 1;
            cx.log_rarely(cx.counters.members_bad, "protocol errors from members:");
        }
        CloseReason::UnexpectedData => {
            cx.counters.members_unexpected_data += 1;
            cx.log_rarely(
                cx.counters.members_unexpected_data,
                "member connections with unexpected data:",
            );
        }
        CloseReason::Disconnected | CloseReason::NotSent => {}
    }
}
