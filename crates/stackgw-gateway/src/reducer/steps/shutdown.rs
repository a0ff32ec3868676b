//! Graceful shutdown: accepted requests are finished, and clients are served until shortly before the SIGKILL that follows a
//! SIGTERM after a grace period.

use super::requests::SHUTTING_DOWN;
use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::response::FinalResponse;
use crate::reducer::state::Gateway;
use crate::reducer::timers::Timer;
use stackgw_router::api::{Event, RequestId};
use std::collections::BTreeSet;

impl Gateway {
    pub(super) fn begin_shutdown(&mut self, cx: &mut Context<'_>) {
        if !self.shutdown.request() {
            return;
        }
        let limits = cx.limits;
        cx.set_timer_after(limits.shutdown_accept, Timer::StopListening);
        self.shutdown
            .set_drain_start(cx.now + limits.shutdown_serve);
        cx.set_timer_after(limits.shutdown_serve, Timer::StopQueueing);
        cx.set_timer_after(limits.shutdown_serve, Timer::DrainClients);
        cx.set_timer_after(limits.shutdown_reject, Timer::RejectRemaining);
        cx.set_timer_after(limits.shutdown_deadline, Timer::ShutdownDeadline);
        cx.log(format!(
            "shutting down, {} requests open",
            self.requests.len()
        ));
    }

    pub(super) fn stop_listening(&mut self, cx: &mut Context<'_>) {
        cx.emit(Effect::StopListening);
    }

    pub(super) fn handle_listener_closed(&mut self, cx: &mut Context<'_>) {
        self.shutdown.mark_listener_closed();
        let clients = self.clients.len();
        cx.log(format!("no longer listening, {clients} clients connected"));
    }

    /// Closes clients between requests and repeats this until no client is left. Does nothing before the drain start.
    ///
    /// If clients were closed together with the listener, they would reconnect to an address that does not respond until this
    /// gateway has restarted.
    pub(super) fn drain_clients(&mut self, cx: &mut Context<'_>) {
        if !self.shutdown.is_drain_due(cx.now) {
            return;
        }
        for client in self.clients.drainable() {
            cx.emit(Effect::ClientCloseIfIdle(client));
        }
        if !self.clients.is_empty() {
            cx.set_timer_after(cx.limits.shutdown_sweep_interval, Timer::DrainClients);
        }
    }

    /// Lets [`reject_queued`](Self::reject_queued) reject all requests that are queued now.
    pub(super) fn stop_queueing(&mut self) {
        for request in self.requests.unanswered() {
            self.shutdown.add_undispatched(request);
        }
    }

    /// Rejects the requests among those recorded that the router has sent to no member. From the time at which clients are closed,
    /// none is queued any more: it would most likely be rejected all the same shortly before the exit, when many have to be.
    pub(super) fn reject_queued(&mut self, cx: &mut Context<'_>) {
        if self.stalls.is_holding(cx.now, cx.limits) {
            return;
        }
        while let Some(request) = self.shutdown.next_undispatched() {
            let open = self.requests.get(request);
            let is_queued = open.is_some_and(|open| {
                open.attempts_started == 0 && !open.is_finished && open.awaiting_session.is_none()
            });
            if is_queued {
                self.reject_remaining_request(cx, request);
                self.router.enqueue(Event::ClientDisconnected(request));
                // The rejection lets the client's next statements start.
                self.run_router(cx);
            }
        }
    }

    /// Answers all open requests shortly before the SIGKILL; requests that arrive later are rejected. The response of a request
    /// that was sent leaves open whether it ran. Clients are still closed between requests, and the program exits once no
    /// client and no request of another frontend is left.
    ///
    /// If the program exited here, accepted statements would be lost: those that start once the response before them is sent,
    /// those that a client's task has read but could not deliver, and those whose response is not flushed yet.
    pub(super) fn reject_remaining(&mut self, cx: &mut Context<'_>) {
        let rejection = FinalResponse::Unavailable(SHUTTING_DOWN).into_messages();
        self.shutdown.start_rejecting(rejection);
        let mut remaining = self.unanswered_requests();
        while let Some(request) = remaining.pop_first() {
            self.reject_remaining_request(cx, request);
            if remaining.is_empty() {
                remaining = self.unanswered_requests();
            }
        }
        for call in self.requests.open_calls() {
            // What is left are responses that stream.
            self.handle_call_cancelled(cx, call);
        }
        self.drain_clients(cx);
    }

    /// Returns whether all requests are rejected at once.
    pub(crate) fn rejects_requests(&self) -> bool {
        self.shutdown.is_rejecting()
    }

    fn unanswered_requests(&self) -> BTreeSet<RequestId> {
        self.requests.unanswered().into_iter().collect()
    }

    /// Answers an open request. One that was never sent may be retried at another gateway.
    fn reject_remaining_request(&mut self, cx: &mut Context<'_>, request: RequestId) {
        let open = self.requests.get(request);
        let was_sent = open.is_some_and(|open| open.attempts_started > 0);
        let response = if was_sent {
            FinalResponse::Failed(SHUTTING_DOWN)
        } else {
            FinalResponse::Unavailable(SHUTTING_DOWN)
        };
        let answered = self.answer(cx, request, response);
        cx.counters.answered_failed += u64::from(answered && was_sent);
        cx.counters.answered_rejected += u64::from(answered && !was_sent);
    }

    /// Logs the counters and exits the program; does nothing if called again.
    pub(super) fn exit(&mut self, cx: &mut Context<'_>) {
        if self.shutdown.mark_exited() {
            let counters = Box::new(cx.counters.clone());
            cx.emit(Effect::Report(counters));
            cx.emit(Effect::Exit);
        }
    }
}
