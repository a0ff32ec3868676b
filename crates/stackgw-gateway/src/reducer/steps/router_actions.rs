//! Delivers queued events to the router and carries out its actions.

use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::response::FinalResponse;
use crate::reducer::state::connection::ConnectionTask;
use crate::reducer::state::Gateway;
use crate::reducer::timers::Timer;
use stackgw_router::api::{Action, GossipUpdate, Outcome, RequestId, Span, MS};

impl Gateway {
    /// Delivers queued events to the router and applies its actions until the queue is empty. Right after a pause of the
    /// process the events wait.
    pub(super) fn run_router(&mut self, cx: &mut Context<'_>) {
        if self.stalls.is_holding(cx.now, cx.limits) {
            return;
        }
        loop {
            self.update_connection_permits(cx);
            let Some(mut actions) = self.router.deliver_next(cx.now) else {
                return;
            };
            for action in actions.drain(..) {
                self.apply_action(cx, action);
            }
            self.router.recycle(actions);
        }
    }

    fn apply_action(&mut self, cx: &mut Context<'_>, action: Action) {
        match action {
            Action::Send {
                request,
                member,
                timeout,
                write_by,
                reason,
            } => {
                self.record_selection(cx, request, member, reason);
                self.send_attempt(cx, request, member, timeout, write_by);
            }
            Action::Cancel { request, attempt } => self.cancel_attempt(cx, request, attempt),
            Action::Reject {
                request,
                retry_after,
            } => self.reject_request(cx, request, retry_after),
            Action::Fail(request) => {
                let failed = FinalResponse::Failed("the request failed");
                let answered = self.answer(cx, request, failed);
                cx.counters.answered_failed += u64::from(answered);
            }
            Action::SetTimer { after, token } => {
                cx.set_timer_after(after, Timer::Router(token));
            }
            Action::HealthCheck(member) => {
                cx.counters.health_checks += 1;
                let task = ConnectionTask::HealthCheck { sent_at: cx.now };
                self.assign_connection(cx, member, task);
            }
            Action::CloseIdleConnections(member) => self.close_unused(cx, member),
            Action::ForgetMember(member) => self.forget_member(cx, member),
            Action::SendGossip { to, updates } => self.send_gossip(cx, to, &updates),
            Action::Subscribe(true) => {
                self.watch.set_subscribed(true);
                if !self.watch.is_open() && !cx.timers.is_pending(Timer::WatchReconnect) {
                    self.watch.open(cx);
                }
            }
            Action::Subscribe(false) => {
                self.watch.set_subscribed(false);
                self.watch.close(cx);
            }
            Action::FetchEndpointList => self.watch.fetch(cx),
            Action::PrimaryChanged {
                group,
                primary,
                reason,
            } => self.log_primary_change(cx, group, primary, reason),
            Action::Log(text) => cx.log(text),
        }
    }

    fn cancel_attempt(&mut self, cx: &mut Context<'_>, request: RequestId, number: u32) {
        let attempts = self
            .requests
            .get(request)
            .map(|open| open.attempts.as_slice());
        let mut attempts = attempts.unwrap_or_default().iter();
        let cancelled = attempts.find(|attempt| attempt.number == number);
        if let Some(connection) = cancelled.map(|attempt| attempt.connection) {
            self.give_up_connection(cx, connection, Outcome::Cancelled);
        }
    }

    fn reject_request(
        &mut self,
        cx: &mut Context<'_>,
        request: RequestId,
        retry_after: Option<Span>,
    ) {
        let retry_after_ms = retry_after.map(|span| (span + MS - 1) / MS);
        let rejected = FinalResponse::Rejected("not now, trying again is harmless", retry_after_ms);
        let answered = self.answer(cx, request, rejected);
        cx.counters.answered_rejected += u64::from(answered);
    }

    fn send_gossip(&mut self, cx: &mut Context<'_>, to: Option<u32>, updates: &[GossipUpdate]) {
        let Some(address) = self.gossip.address(to) else {
            return;
        };
        for datagram in self.gossip.encode(cx.now, to, updates) {
            cx.counters.gossip_sent += 1;
            cx.emit(Effect::GossipDatagram(address, datagram));
        }
    }
}
