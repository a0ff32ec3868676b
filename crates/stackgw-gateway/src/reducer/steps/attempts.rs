//! Attempts and health checks: their connections and outcomes.

use crate::pg::{self, write, Reply};
use crate::reducer::backend::BackendRequest;
use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::ids::ConnectionId;
use crate::reducer::response::FinalResponse;
use crate::reducer::state::connection::{Attempt, ConnectionState, ConnectionTask};
use crate::reducer::state::requests::OpenAttempt;
use crate::reducer::state::Gateway;
use stackgw_router::api::{AttemptResult, Event, MemberId, Outcome, RequestId, Span, Time, MS};

/// The statement of a health check.
const HEALTH_CHECK: &str = "SHOW server_load";

/// A task's query, and the deadline of its response.
struct OutgoingTask {
    query: Vec<u8>,
    deadline: Time,
    /// The request for a member that speaks another frontend's protocol, without its statement, which is in `query`.
    backend_request: BackendRequest,
}

/// Why a task must no longer be written.
enum WriteObstacle {
    /// The member is draining or removed, and the grace is over: its connection is of no further use.
    MemberDrained,
    /// The request is finished, it is too late for the attempt, or the member may not serve it any more.
    Obsolete,
}

impl Gateway {
    /// Sends an attempt of a request, with the timeout and the latest time to write it that the router sets.
    pub(super) fn send_attempt(
        &mut self,
        cx: &mut Context<'_>,
        request: RequestId,
        member: MemberId,
        timeout: Option<Span>,
        write_by: Option<Time>,
    ) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        cx.counters.attempts += 1;
        let number = open.attempts_started;
        open.attempts_started += 1;
        let deadline = timeout.map_or(open.deadline, |span| open.deadline.min(cx.now + span));
        let task = ConnectionTask::Attempt(Attempt {
            request,
            number,
            sent_at: cx.now,
            deadline,
            write_by,
            reconnected: false,
        });
        if deadline <= cx.now || open.is_finished {
            return self.finish_unsent(cx, member, task);
        }
        self.assign_connection(cx, member, task);
    }

    /// Assigns a task to the member's most recently used idle connection, else to one that is being established, else to a new
    /// connection. If the member is unknown or no connection may be opened, the task ends as not sent.
    pub(super) fn assign_connection(
        &mut self,
        cx: &mut Context<'_>,
        member: MemberId,
        task: ConnectionTask,
    ) {
        let endpoint = self.members.get(member);
        let Some((address, is_backend)) = endpoint.map(|e| (e.address, e.is_backend)) else {
            return self.finish_unsent(cx, member, task);
        };
        self.mark_connections_changed(member);
        if let Some(id) = self.connections.take_idle(member) {
            self.attach(id, task);
            return self.write_task(cx, id);
        }
        if let Some(id) = self.connections.take_connecting(member) {
            self.attach(id, task);
            let at = cx.now + cx.limits.connect_timeout;
            return self.connections.set_timer(cx, id, at);
        }
        if !self.may_connect(cx, member) || !self.make_room_for_connection(cx) {
            return self.finish_unsent(cx, member, task);
        }
        let id = self.connections.open(cx, member, is_backend);
        if let Some(bootstrap) = self.bootstrap.as_mut() {
            bootstrap.record_connection_attempt(cx.now, member);
        }
        self.attach(id, task);
        cx.emit(if is_backend {
            Effect::BackendConnect(id, address)
        } else {
            Effect::MemberConnect(id, address)
        });
    }

    fn may_connect(&mut self, cx: &Context<'_>, member: MemberId) -> bool {
        let bootstrap = self.bootstrap.as_mut();
        bootstrap.is_none_or(|bootstrap| bootstrap.may_connect(cx.now, member))
    }

    /// Closes an unused connection if the limit of connections is reached. Returns false if all are in use.
    fn make_room_for_connection(&mut self, cx: &mut Context<'_>) -> bool {
        if self.connections.len() < cx.limits.member_connections {
            return true;
        }
        let Some(evicted) = self.connections.take_evictable() else {
            return false;
        };
        cx.counters.members_evicted += 1;
        self.close_connection(cx, evicted);
        true
    }

    /// Attaches a task to its connection.
    fn attach(&mut self, id: ConnectionId, task: ConnectionTask) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.task = Some(task);
        }
        if let ConnectionTask::Attempt(attempt) = task {
            if let Some(open) = self.requests.get_mut(attempt.request) {
                open.attempts.push(OpenAttempt {
                    number: attempt.number,
                    connection: id,
                });
            }
        }
    }

    /// Detaches a connection's task from it.
    pub(super) fn detach(&mut self, id: ConnectionId) -> Option<ConnectionTask> {
        let task = self.connections.get_mut(id)?.task.take()?;
        if let ConnectionTask::Attempt(attempt) = task {
            if let Some(open) = self.requests.get_mut(attempt.request) {
                open.attempts.retain(|attempt| attempt.connection != id);
            }
        }
        Some(task)
    }

    /// Writes a connection's task and sets the timer for its deadline. A task that must no longer be sent ends as not sent.
    pub(super) fn write_task(&mut self, cx: &mut Context<'_>, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let (member, task) = (connection.member, connection.task);
        match task.and_then(|task| self.write_obstacle(cx, member, task)) {
            None => {}
            Some(WriteObstacle::MemberDrained) => {
                if let Some(connection) = self.connections.get_mut(id) {
                    connection.state = ConnectionState::Writing;
                }
                cx.emit(Effect::MemberClose(id));
                return self.finish_task(cx, id, Outcome::NotSent);
            }
            Some(WriteObstacle::Obsolete) => {
                return self.release_connection(cx, id, Outcome::NotSent);
            }
        }
        let Some(outgoing) = task.and_then(|task| self.prepare_task(cx, task)) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let is_backend = connection.is_backend;
        connection.state = ConnectionState::Writing;
        connection.reply = Reply::default();
        connection.response_started = false;
        connection.task_deadline = outgoing.deadline;
        let write_by = outgoing.backend_request.write_by;
        let write_timeout = write_by.map_or(outgoing.deadline, |latest| latest.saturating_add(1));
        let at = outgoing.deadline.min(write_timeout);
        self.connections.set_timer(cx, id, at);
        cx.emit(if is_backend {
            Effect::BackendSend(id, outgoing.backend_request.with_query(&outgoing.query))
        } else {
            Effect::MemberWrite(id, outgoing.query)
        });
    }

    /// Returns why a task must no longer be written to a member. This is the only place where bytes leave for a member, and a task
    /// may have waited for its connection, so everything that the decision to send it rested on is checked once more.
    fn write_obstacle(
        &self,
        cx: &Context<'_>,
        member: MemberId,
        task: ConnectionTask,
    ) -> Option<WriteObstacle> {
        let grace = cx.limits.drain_grace;
        if self.members.is_past_grace(cx.now, member, grace) {
            return Some(WriteObstacle::MemberDrained);
        }
        let ConnectionTask::Attempt(attempt) = task else {
            return None;
        };
        // Its client may have disconnected. If the settings do not allow cancellation, the attempt has not been cancelled.
        let open = self.requests.get(attempt.request);
        let is_finished = open.is_none_or(|open| open.is_finished);
        let is_late = attempt.write_by.is_some_and(|latest| cx.now > latest);
        let may_write = !is_finished
            && !is_late
            && !self.stalls.is_holding(cx.now, cx.limits)
            && cx.now < attempt.deadline
            && self.router.may_write(attempt.request, member);
        (!may_write).then_some(WriteObstacle::Obsolete)
    }

    fn prepare_task(&self, cx: &Context<'_>, task: ConnectionTask) -> Option<OutgoingTask> {
        match task {
            ConnectionTask::Attempt(attempt) => {
                let open = self.requests.get(attempt.request)?;
                let timeout_ms = ((attempt.deadline - cx.now) / MS).max(1) as u64;
                Some(OutgoingTask {
                    query: open.statement.with_timeout(timeout_ms),
                    deadline: attempt.deadline,
                    backend_request: BackendRequest {
                        timeout_ms,
                        is_write: open.statement.write,
                        may_stream: open.may_stream,
                        write_by: attempt.write_by,
                        ..BackendRequest::default()
                    },
                })
            }
            ConnectionTask::HealthCheck { sent_at } => {
                let timeout = cx.limits.health_check_timeout;
                let mut query = Vec::new();
                write::query(&mut query, HEALTH_CHECK);
                Some(OutgoingTask {
                    query,
                    deadline: sent_at + timeout,
                    backend_request: BackendRequest {
                        timeout_ms: (timeout / MS).max(1) as u64,
                        ..BackendRequest::default()
                    },
                })
            }
        }
    }

    /// Ends a connection's task, answered or obsolete, and returns the usable connection to the pool.
    pub(super) fn release_connection(
        &mut self,
        cx: &mut Context<'_>,
        id: ConnectionId,
        outcome: Outcome,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.state = ConnectionState::Idle;
        let member = connection.member;
        self.connections.clear_timer(cx, id);
        self.finish_task(cx, id, outcome);
        self.connections.return_to_pool(cx.now, member, id);
        self.mark_connections_changed(member);
    }

    /// Ends the task of a connection. The connection is removed unless it is idle.
    pub(super) fn finish_task(&mut self, cx: &mut Context<'_>, id: ConnectionId, outcome: Outcome) {
        let task = self.detach(id);
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let member = connection.member;
        let mut reply = std::mem::take(&mut connection.reply);
        if outcome == Outcome::MalformedResponse {
            reply = Reply::default();
        } else if !reply.is_complete() {
            reply.keep_only_denial();
        }
        if connection.state != ConnectionState::Idle {
            self.forget_connection(cx, id);
        }
        match task {
            Some(ConnectionTask::Attempt(attempt)) => {
                self.finish_attempt(cx, member, attempt, outcome, reply)
            }
            Some(ConnectionTask::HealthCheck { sent_at }) => {
                self.finish_health_check(cx, member, sent_at, outcome, &reply)
            }
            None => {}
        }
    }

    /// Ends a task that is not attached to a connection.
    pub(super) fn finish_without_reply(
        &mut self,
        cx: &mut Context<'_>,
        member: MemberId,
        task: ConnectionTask,
        outcome: Outcome,
    ) {
        let reply = Reply::default();
        match task {
            ConnectionTask::Attempt(attempt) => {
                self.finish_attempt(cx, member, attempt, outcome, reply)
            }
            ConnectionTask::HealthCheck { sent_at } => {
                self.finish_health_check(cx, member, sent_at, outcome, &reply)
            }
        }
    }

    fn finish_unsent(&mut self, cx: &mut Context<'_>, member: MemberId, task: ConnectionTask) {
        self.finish_without_reply(cx, member, task, Outcome::NotSent);
    }

    fn finish_health_check(
        &mut self,
        cx: &mut Context<'_>,
        member: MemberId,
        sent_at: Time,
        outcome: Outcome,
        reply: &Reply,
    ) {
        let report = reply
            .column()
            .filter(|_| outcome == Outcome::Served)
            .and_then(pg::parse_load_report);
        if let Some(report) = &report {
            self.observe_clock(cx, report.is_primary, report.position);
        }
        let report = report.filter(|report| self.is_plausible(cx, report.position));
        cx.counters.health_checks_failed += u64::from(report.is_none());
        self.router.enqueue(Event::HealthChecked {
            member,
            responded: report.is_some(),
            elapsed: cx.now - sent_at,
            load_report: report.unwrap_or_default(),
        });
    }

    fn finish_attempt(
        &mut self,
        cx: &mut Context<'_>,
        member: MemberId,
        attempt: Attempt,
        outcome: Outcome,
        mut reply: Reply,
    ) {
        let request = attempt.request;
        count_outcome(cx, outcome);
        let open = self.requests.get(request);
        let was_finished = open.is_none_or(|open| open.is_finished);
        self.discard_implausible(cx, &mut reply);
        if outcome == Outcome::Served && !was_finished {
            let row = std::mem::take(&mut reply.row);
            if let Some(row) = self.await_write_confirmation(cx, request, reply.position, row) {
                let response = self.response_within_capacity(cx, request, row);
                let is_served = matches!(response, FinalResponse::Served(_));
                let answered = self.answer(cx, request, response);
                cx.counters.answered_served += u64::from(answered && is_served);
                cx.counters.answered_rejected += u64::from(answered && !is_served);
            }
        }
        self.router.enqueue(Event::AttemptEnded(AttemptResult {
            request,
            attempt: attempt.number,
            member,
            outcome,
            elapsed: cx.now - attempt.sent_at,
            request_finished: was_finished || outcome == Outcome::Served,
            is_primary: reply.primary,
            position: reply.position,
            load_report: reply.report,
        }));
        self.requests.remove_if_done(cx, request);
    }
}

pub(super) fn count_outcome(cx: &mut Context<'_>, outcome: Outcome) {
    let counters = &mut *cx.counters;
    let counter = match outcome {
        Outcome::Served => &mut counters.ended_served,
        Outcome::Error => &mut counters.ended_error,
        Outcome::Overloaded => &mut counters.ended_overloaded,
        Outcome::Misrouted => &mut counters.ended_misrouted,
        Outcome::TimedOut => &mut counters.ended_timed_out,
        Outcome::ConnectFailed => &mut counters.ended_no_connection,
        Outcome::ConnectionReset => &mut counters.ended_reset,
        Outcome::MalformedResponse => &mut counters.ended_malformed,
        Outcome::Cancelled => &mut counters.ended_cancelled,
        Outcome::NotSent => &mut counters.ended_not_sent,
    };
    *counter += 1;
}
