//! The periodic check for idle and stalled connections.

use crate::reducer::context::Context;
use crate::reducer::input::StallReason;
use crate::reducer::state::Gateway;
use crate::reducer::timers::Timer;

impl Gateway {
    pub(super) fn sweep(&mut self, cx: &mut Context<'_>) {
        self.log_session_certainty(cx);
        if let Some(bootstrap) = self.bootstrap.as_mut() {
            bootstrap.refresh_permits();
        }
        self.sweep_connections(cx);
        self.sweep_clients(cx);
        // Exactly at the next timeout of a message: clients that waited in the backlog have less time left for their error.
        let timeout = self.clients.next_unfinished_at(cx.limits);
        let next = cx.now + cx.limits.sweep_interval;
        cx.timers
            .set(timeout.map_or(next, |at| at.min(next)), Timer::Sweep);
    }

    fn sweep_connections(&mut self, cx: &mut Context<'_>) {
        let idle_before = cx.now - cx.limits.member_idle_timeout;
        for id in self.connections.take_idle_since_before(idle_before) {
            cx.counters.members_retired += 1;
            self.close_connection(cx, id);
        }
        // Without this, connections to removed members would use up the connection limit when all members are replaced.
        for member in self.members.past_grace(cx.now, cx.limits.drain_grace) {
            self.close_unused(cx, member);
        }
    }

    fn sweep_clients(&mut self, cx: &mut Context<'_>) {
        let stalled = self.clients.stalled(cx.now, cx.limits);
        let unfinished = self.clients.unfinished(cx.now, cx.limits);
        let unused = self.clients.unused(cx.now, cx.limits);
        for client in stalled {
            let was_closing = self.clients.is_closing(client);
            cx.counters.clients_stalled += u64::from(!was_closing);
            self.close_client(cx, client);
        }
        for client in unfinished {
            self.check_stalled(cx, client, StallReason::Timeout);
        }
        for client in unused {
            self.close_unused_client(cx, client);
        }
    }
}
