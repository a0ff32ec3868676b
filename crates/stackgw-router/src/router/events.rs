//! Events come in here and are handed on to the modules that decide. Nothing is decided here.

use super::Router;
use crate::api::*;
use crate::state::Observation;

impl Router {
    /// Takes one event and appends what is to be done about it.
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
            // The stream is the client's from here on; nothing more is owed for it.
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

    /// The end of an attempt says something of its member, of its request, and of what may be dispatched now.
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

    /// Ends a request: nothing more is owed, and attempts that are still open are cancelled.
    pub(super) fn finish(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(id) else { return };
        self.members.unqueue(request.group(), id);
        for attempt in request.open_attempts.iter().filter(|_| self.settings.limits.cancel) {
            self.actions.push(Action::Cancel { request: id, attempt: attempt.number });
        }
    }

    fn keep_timer_set(&mut self) {
        if !self.timer_set && !self.members.is_empty() {
            self.timer_set = true;
            self.actions.push(Action::SetTimer { after: self.timer_interval(), token: 0 });
        }
    }
}
