//! The endpoint list: its watch, its members, and gossip about them.

use crate::discovery::{ListEntry, ListUpdate, WatchError};
use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::state::Gateway;
use stackgw_bootstrap::StartTime;
use stackgw_router::api::{Event, GroupId, ListScope, Member, MemberId};
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Gateway {
    pub(super) fn handle_watch_connected(&mut self, cx: &mut Context<'_>) {
        let limit = cx.limits.watch_first_line_timeout;
        self.watch.extend_timeout(cx, limit);
    }

    pub(super) fn handle_watch_keepalive(&mut self, cx: &mut Context<'_>) {
        let limit = cx.limits.watch_idle_timeout;
        self.watch.extend_timeout(cx, limit);
        let now = cx.now;
        self.run_bootstrap(cx, |bootstrap, outputs| {
            bootstrap.handle_watch_heartbeat(now, outputs);
        });
    }

    /// Handles a watch that ended or could not be opened. The bootstrap, or the watch itself after a backoff, opens another.
    pub(super) fn handle_watch_lost(&mut self, cx: &mut Context<'_>, error: &WatchError) {
        self.watch.clear_timeout(cx);
        if self.bootstrap.is_some() {
            count_lost_watch(cx, error);
            let now = cx.now;
            return self.run_bootstrap(cx, |bootstrap, outputs| {
                bootstrap.handle_watch_lost(now, error.retry_after, outputs);
            });
        }
        if self.watch.retry_later(cx) {
            count_lost_watch(cx, error);
            self.report_list_failure();
        }
    }

    /// Handles a watch that has not connected, has not delivered its first line, or has been silent for too long.
    pub(super) fn handle_watch_timeout(&mut self, cx: &mut Context<'_>) {
        self.watch.clear_timeout(cx);
        cx.emit(Effect::CloseWatch);
        self.handle_watch_lost(cx, &"silent".into());
    }

    pub(super) fn handle_fetch_failed(&mut self) {
        self.watch.mark_fetch_failed();
        self.report_list_failure();
    }

    /// Reports the failure to the router, which keeps its list and, if it polls the list, will poll again.
    fn report_list_failure(&mut self) {
        self.router.enqueue(Event::EndpointList {
            scope: ListScope::Failed,
            members: Vec::new(),
        });
    }

    /// Handles a list from the watch or from a fetch. A list of changes that is older than the known revision is ignored.
    pub(super) fn handle_endpoint_list(&mut self, cx: &mut Context<'_>, list: ListUpdate) {
        let limit = cx.limits.watch_idle_timeout;
        self.watch.extend_timeout(cx, limit);
        if self.bootstrap.is_some() {
            let now = cx.now;
            return self.run_bootstrap(cx, |bootstrap, outputs| {
                bootstrap.handle_watch_update(now, list, outputs);
            });
        }
        self.watch.reset_backoff();
        if !self.watch.accept(&list) {
            return;
        }
        let scope = if list.complete {
            ListScope::Full
        } else {
            ListScope::Changes
        };
        self.apply_list(cx, scope, &list.members);
    }

    /// Applies a complete list, a cached list or a list of changes.
    pub(super) fn apply_list(
        &mut self,
        cx: &mut Context<'_>,
        scope: ListScope,
        entries: &[ListEntry],
    ) {
        cx.counters.lists += 1;
        let notified_at = self.stalls.earliest_arrival(cx.now, cx.limits);
        let members: Vec<_> = entries
            .iter()
            .filter_map(|entry| self.apply_list_entry(cx, entry))
            .collect();
        self.update_bootstrap_members(cx, entries);
        if scope == ListScope::Full && !cx.limits.removal_is_advisory {
            let listed: BTreeSet<_> = members.iter().map(|member| member.id).collect();
            self.members.drain_unlisted(notified_at, &listed);
        }
        let event = Event::EndpointList { scope, members };
        self.router.enqueue_list(event, cx.now - notified_at);
        self.answer_awaiting_ready(cx);
    }

    /// Applies one entry of a list. Returns the member as the router's event carries it, or `None` if the limit of members is
    /// reached.
    pub(super) fn apply_list_entry(
        &mut self,
        cx: &mut Context<'_>,
        entry: &ListEntry,
    ) -> Option<Member> {
        let id = match self.members.id_of(&entry.id) {
            Some(id) => id,
            None if self.members.len() >= cx.limits.members => return None,
            None => {
                let id = self.members.insert(entry);
                self.gossip.add_member(id, &entry.id);
                cx.counters.members_known += 1;
                id
            }
        };
        if self.members.move_to(id, entry.address) {
            self.close_unused(cx, id);
        }
        let started_at = match entry.start_time() {
            StartTime::LongAgo => None,
            StartTime::At(at) => Some(at),
            // The member may have just started.
            StartTime::Unknown => Some(cx.now),
        };
        let removal_is_advisory = cx.limits.removal_is_advisory;
        let notified_at = self.stalls.earliest_arrival(cx.now, cx.limits);
        self.members
            .update(notified_at, id, entry, started_at, removal_is_advisory);
        let mut zones = self.names.zones.iter();
        let zone = zones.position(|zone| *zone == entry.locality);
        Some(Member {
            id,
            group: GroupId(entry.cell),
            zone: zone.unwrap_or(0) as u32,
            weight: entry.size,
            started_at,
            lifecycle: entry.phase,
            listed_primary: entry.leader,
        })
    }

    /// Removes all state that is keyed by a member's id.
    pub(super) fn forget_member(&mut self, cx: &mut Context<'_>, member: MemberId) {
        let Some(endpoint) = self.members.remove(member) else {
            return;
        };
        self.gossip.remove_member(member);
        if let Some(bootstrap) = self.bootstrap.as_mut() {
            bootstrap.remove_member(member, &endpoint.name);
        }
        cx.counters.members_known -= 1;
        cx.counters.members_forgotten += 1;
        self.close_unused(cx, member);
    }

    /// Handles a gossip datagram from another gateway of the tier.
    pub(super) fn handle_gossip(&mut self, cx: &mut Context<'_>, from: SocketAddr, bytes: &[u8]) {
        let max_bytes = cx.limits.datagram_bytes;
        match self.gossip.decode(cx.now, from, bytes, max_bytes) {
            Some(received) => {
                cx.counters.gossip_received += 1;
                self.router.enqueue(Event::Gossip {
                    sent_at: received.sent_at,
                    relay: received.relay,
                    updates: received.updates,
                });
            }
            None => cx.counters.gossip_dropped += 1,
        }
    }
}

fn count_lost_watch(cx: &mut Context<'_>, error: &WatchError) {
    cx.counters.watches_lost += 1;
    let what = format!("watch of the endpoint list lost ({}), count:", error.reason);
    cx.log_rarely(cx.counters.watches_lost, &what);
}
