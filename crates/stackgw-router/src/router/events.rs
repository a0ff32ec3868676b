//! Event dispatch: passes each event to the modules that decide. It makes no decisions.

use super::Router;
use crate::api::*;
use crate::state::Observation;

impl Router {
    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        std::mem::swap(&mut self.actions, actions);
        self.advance_clock(now);
        self.handle_event(event);
        self.keep_timer_set();
        std::mem::swap(&mut self.actions, actions);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::EndpointList { scope, members } => self.apply_endpoint_list(scope, &members),
            Event::Request(request) => self.accept(request),
            // The response streams to the client, so the request needs no final answer from the router.
            Event::StreamStarted { request, .. } => drop(self.requests.remove(request)),
            Event::AttemptEnded(result) => self.handle_result(&result),
            Event::ClientDisconnected(request) => self.finish(request),
            Event::HealthChecked { member, responded, load_report, .. } => {
                self.handle_health_check(member, Some(load_report).filter(|_| responded));
            }
            Event::Timer(_) => {
                self.timer_set = false;
                self.run_periodic_work();
            }
            Event::Gossip { sent_at, relay, updates } => self.merge_gossip(sent_at, relay, updates),
        }
    }

    /// Applies the end of an attempt to its member and its request, then dispatches what can be sent now.
    fn handle_result(&mut self, result: &AttemptResult) {
        let class = self.requests.get(result.request).map(|request| request.class.clone());
        self.record_outcome(result, class.as_ref());
        self.apply_role_and_position(&Observation::of_report(self.now, result.member, &result.load_report));
        self.apply_role_and_position(&Observation::of_answer(self.now, result));
        self.record_attempt(result);
        if result.request_finished {
            self.finish(result.request);
        }
        self.dispatch(result.request);
        if let Some(group) = self.members.get(result.member).map(|member| member.group) {
            self.dispatch_queued(group);
        }
    }

    /// Drops a request that needs no further answer, and cancels its open attempts where that is allowed.
    pub(super) fn finish(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(id) else { return };
        self.members.unqueue(request.group(), id);
        for attempt in request.open_attempts.iter().filter(|_| self.settings.limits.cancel) {
            self.actions.push(Action::Cancel { request: id, attempt: attempt.number });
        }
    }

    fn keep_timer_set(&mut self) {
        let is_idle = self.members.is_empty() && self.requests.is_empty();
        if !self.timer_set && !is_idle {
            self.timer_set = true;
            self.actions.push(Action::SetTimer { after: self.timer_interval(), token: 0 });
        }
    }
}
