//! The watch of the list service: whether this instance needs one, and handling of its events.

use super::Bootstrap;
use crate::endpoint::EndpointUpdate;
use crate::endpoint_cache::MergeOutcome;
use crate::output::{CachedEndpoints, LogEvent, Output};
use crate::service_watch::{WatchChange, WatchScope};
use crate::update_source::UpdateSource;
use stackgw_router::api::{Span, Time, SECOND};

/// Interval at which an unchanged list is stored again, with the time of its latest confirmation.
const PERSIST_INTERVAL: Span = 5 * SECOND;

impl Bootstrap {
    /// Opens, schedules or releases the watch according to [`Bootstrap::wanted_watch`].
    pub(super) fn update_watch(&mut self, now: Time, out: &mut Vec<Output>) {
        let wanted = self.wanted_watch(now);
        match self
            .watch
            .update(now, wanted, self.contact.has_live_peer(now))
        {
            Some(WatchChange::Opened(scope)) => {
                self.counters.watches_opened += 1;
                self.counters.watches_without_leader += u64::from(scope == WatchScope::Standalone);
                out.push(Output::OpenWatch(self.cache.revision()));
            }
            Some(WatchChange::Promoted) => {
                out.push(Output::Log(LogEvent::WatchEstablished(WatchScope::Fleet)));
            }
            Some(WatchChange::Released) => {
                out.extend([Output::CloseWatch, Output::Log(LogEvent::WatchReleased)]);
            }
            None => {}
        }
    }

    /// The scope in which this instance should watch the service; `None` if other instances do.
    fn wanted_watch(&self, now: Time) -> Option<WatchScope> {
        let is_leader = self.leaders.as_ref().is_none_or(|leaders| {
            leaders.is_leader() && (leaders.is_seed() || self.readiness.has_settled(now))
        });
        if is_leader {
            return Some(WatchScope::Fleet);
        }
        // No peer has had contact with the service for too long, so each instance polls it for itself.
        let is_service_lost = now >= self.contact.lost_at(self.readiness.started_at());
        is_service_lost.then_some(WatchScope::Standalone)
    }

    /// Handles a complete list or changes received on the watch.
    pub fn handle_watch_update(
        &mut self,
        now: Time,
        update: EndpointUpdate,
        out: &mut Vec<Output>,
    ) {
        let previous_revision = self.cache.revision();
        let outcome = self.merge_from_service(now, update, out);
        if outcome == MergeOutcome::Stale {
            return;
        }
        let became_live = self.watch.become_live();
        if became_live {
            out.push(Output::Log(LogEvent::WatchEstablished(self.watch.scope())));
        }
        // Peers need to know that the service is reachable again, even if the list is unchanged.
        if became_live
            || matches!(
                outcome,
                MergeOutcome::Complete(_) | MergeOutcome::Changed(_)
            )
        {
            self.push_changes(now, previous_revision, out);
        }
        self.publish(now, outcome, out);
    }

    fn merge_from_service(
        &mut self,
        now: Time,
        update: EndpointUpdate,
        out: &mut Vec<Output>,
    ) -> MergeOutcome {
        let previous_revision = self.cache.revision();
        let was_behind = self.cache.is_service_behind();
        let previous_resets = self.cache.resets();
        let outcome = self.cache.merge(now, update, UpdateSource::Service);
        self.watch.record_answer(now);
        if self.cache.resets() > previous_resets {
            out.push(Output::Log(LogEvent::ServiceReset));
        }
        if outcome == MergeOutcome::Stale {
            self.counters.stale_updates += 1;
            if self.cache.is_service_behind() && !was_behind {
                let revision = previous_revision.unwrap_or_default();
                out.push(Output::Log(LogEvent::ServiceBehind(revision)));
            }
        }
        outcome
    }

    /// Handles a heartbeat on the watch, which carries no changes.
    pub fn handle_watch_heartbeat(&mut self, now: Time, out: &mut Vec<Output>) {
        self.watch.record_contact(now);
        if self.watch.is_live() {
            self.cache.confirm(now);
            self.persist_if_due(now, out);
        }
    }

    /// Handles a watch that has ended or could not be opened. `retry_after` is set if the service is overloaded, and is the
    /// time for which it must not be polled.
    pub fn handle_watch_lost(
        &mut self,
        now: Time,
        retry_after: Option<Span>,
        out: &mut Vec<Output>,
    ) {
        if self.watch.handle_lost(now, retry_after) {
            self.update_watch(now, out);
        }
    }

    /// Outputs a changed list to the router, and to the disk if it is due to be stored.
    pub(super) fn publish(&mut self, now: Time, outcome: MergeOutcome, out: &mut Vec<Output>) {
        if !matches!(outcome, MergeOutcome::Unchanged | MergeOutcome::Stale) {
            out.push(Output::Endpoints(outcome));
            self.persisted_at = None;
        }
        self.persist_if_due(now, out);
    }

    fn persist_if_due(&mut self, now: Time, out: &mut Vec<Output>) {
        let is_due = self
            .persisted_at
            .is_none_or(|at| now - at >= PERSIST_INTERVAL);
        if !is_due || !self.cache.is_confirmed() {
            return;
        }
        let (Some(revision), Some(confirmed_at)) =
            (self.cache.revision(), self.cache.confirmed_at())
        else {
            return;
        };
        self.persisted_at = Some(now);
        let members = self.cache.endpoints().cloned().collect();
        let list = EndpointUpdate {
            revision,
            complete: true,
            members,
        };
        let warm_throughput = self.warm_throughput.measured();
        out.push(Output::Persist(CachedEndpoints {
            list,
            confirmed_at,
            warm_throughput,
        }));
    }
}
