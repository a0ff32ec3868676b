//! Bootstrap and polling of the endpoint list in this instance, pacing of connections to members that are warming up, and
//! status reports of both.

use crate::discovery::ListEntry;
use crate::reducer::timers::TimerKey;
use serde_json::{json, Value};
use stackgw_bootstrap::{
    Bootstrap, BootstrapSettings, CachedEndpoints, ConnectionPacer, ListedMember, Observation,
    Origin, Output,
};
use stackgw_router::api::{ConnectionPermits, GroupId, MemberId, Time, MS};
use std::collections::{BTreeSet, HashMap};

/// The bootstrap of this instance.
pub(crate) struct BootstrapCoordination {
    bootstrap: Bootstrap,
    /// An empty vector whose allocation is reused.
    spare_outputs: Vec<Output>,
    timer: Option<TimerKey>,
    service: String,
    /// Decides when this instance may connect to a cold member; `None` if connections are not paced.
    pacer: Option<ConnectionPacer>,
    /// Members whose connection permits may have changed since they were last passed to the router.
    changed_permits: BTreeSet<MemberId>,
    /// Members by the hash of their name, which observations carry.
    members_by_hash: HashMap<u64, MemberId>,
    /// When observations were last taken from the router.
    observed_since: Time,
}

impl BootstrapCoordination {
    /// Creates the state at the start. Returns it with the first outputs to apply.
    pub(crate) fn new(
        now: Time,
        settings: BootstrapSettings,
        cached: Option<CachedEndpoints>,
        service: String,
        pacer: Option<ConnectionPacer>,
    ) -> (Self, Vec<Output>) {
        let mut outputs = Vec::new();
        let coordination = BootstrapCoordination {
            bootstrap: Bootstrap::new(now, settings, cached, &mut outputs),
            spare_outputs: Vec::new(),
            timer: None,
            service,
            pacer,
            changed_permits: BTreeSet::new(),
            members_by_hash: HashMap::new(),
            observed_since: now,
        };
        (coordination, outputs)
    }

    pub(crate) fn bootstrap(&self) -> &Bootstrap {
        &self.bootstrap
    }

    /// Runs an action on the bootstrap and returns its outputs. Return the emptied vector by [`recycle`](Self::recycle).
    pub(crate) fn apply(
        &mut self,
        action: impl FnOnce(&mut Bootstrap, &mut Vec<Output>),
    ) -> Vec<Output> {
        let mut outputs = std::mem::take(&mut self.spare_outputs);
        action(&mut self.bootstrap, &mut outputs);
        outputs
    }

    /// Keeps an empty vector of outputs for reuse.
    pub(crate) fn recycle(&mut self, outputs: Vec<Output>) {
        self.spare_outputs = outputs;
    }

    pub(crate) fn timer(&self) -> Option<TimerKey> {
        self.timer
    }

    pub(crate) fn set_timer(&mut self, timer: Option<TimerKey>) {
        self.timer = timer;
    }

    /// Sets the list service's name. Returns whether it has changed.
    pub(crate) fn set_service(&mut self, service: &str) -> bool {
        let differs = self.service != service;
        self.service = service.to_owned();
        differs
    }

    // Observations of members.

    /// Returns when observations were last taken from the router, and starts a new interval now.
    pub(crate) fn restart_observation(&mut self, now: Time) -> Time {
        std::mem::replace(&mut self.observed_since, now)
    }

    pub(crate) fn member_by_hash(&self, name_hash: u64) -> Option<MemberId> {
        self.members_by_hash.get(&name_hash).copied()
    }

    // Pacing of connections.

    /// Updates a member from its list entry. An entry of a cached list does not say whether the member has just started.
    pub(crate) fn update_member(&mut self, now: Time, member: MemberId, entry: &ListEntry) {
        let name_hash = Observation::hash_name(&entry.id);
        self.members_by_hash.insert(name_hash, member);
        let Some(pacer) = self.pacer.as_mut() else {
            return;
        };
        let listed = ListedMember {
            id: member,
            name: &entry.id,
            group: GroupId(entry.cell),
            start_time: entry.start_time(),
        };
        pacer.update_member(now, listed);
        self.changed_permits.insert(member);
    }

    /// Schedules connections to new members, after all members of a list were updated.
    pub(crate) fn schedule_new_members(&mut self, now: Time) {
        if let Some(pacer) = self.pacer.as_mut() {
            pacer.schedule_new_members(now);
        }
    }

    pub(crate) fn remove_member(&mut self, member: MemberId, name: &str) {
        self.members_by_hash.remove(&Observation::hash_name(name));
        if let Some(pacer) = self.pacer.as_mut() {
            pacer.remove_member(member);
        }
    }

    /// Returns whether a connection to a member may be opened now, and counts a deferral if not.
    pub(crate) fn may_connect(&mut self, now: Time, member: MemberId) -> bool {
        let Some(pacer) = self.pacer.as_mut() else {
            return true;
        };
        let next_at = pacer.next_connection_at(now, member);
        let may_connect = next_at.is_none_or(|at| at <= now);
        if !may_connect {
            pacer.record_deferral();
        }
        may_connect
    }

    pub(crate) fn record_connection_attempt(&mut self, now: Time, member: MemberId) {
        if let Some(pacer) = self.pacer.as_mut() {
            pacer.record_attempt(now, member);
        }
    }

    pub(crate) fn record_connected(&mut self, member: MemberId) {
        if let Some(pacer) = self.pacer.as_mut() {
            pacer.record_success(member);
        }
    }

    pub(crate) fn record_connect_failure(&mut self, now: Time, member: MemberId) {
        if let Some(pacer) = self.pacer.as_mut() {
            pacer.record_failure(now, member);
        }
    }

    /// Marks a member whose connection permits may have changed: a connection to it was opened, closed, used or became idle.
    pub(crate) fn mark_connections_changed(&mut self, member: MemberId) {
        if self.pacer.is_some() {
            self.changed_permits.insert(member);
        }
    }

    /// Marks the permits of all paced members as changed, as each member may have warmed up.
    pub(crate) fn refresh_permits(&mut self) {
        let paced = self.pacer.iter().flat_map(ConnectionPacer::paced_members);
        self.changed_permits.extend(paced);
    }

    /// Takes the members whose permits may have changed, each with its current permits.
    pub(crate) fn take_changed_permits(
        &mut self,
        now: Time,
        idle_count: impl Fn(MemberId) -> usize,
    ) -> Vec<(MemberId, Option<ConnectionPermits>)> {
        let Some(pacer) = self.pacer.as_ref() else {
            return Vec::new();
        };
        let permits = |member: MemberId| {
            let free = u32::try_from(idle_count(member)).unwrap_or(u32::MAX);
            let may_open_from = pacer.next_connection_at(now, member);
            let permits = may_open_from.map(|may_open_from| ConnectionPermits {
                free,
                may_open_from,
            });
            (member, permits)
        };
        let changed = std::mem::take(&mut self.changed_permits);
        changed.into_iter().map(permits).collect()
    }

    /// Counts the members whose connections are paced now, without those that have warmed up since they were listed.
    fn paced_members(&self, now: Time) -> usize {
        let Some(pacer) = &self.pacer else {
            return 0;
        };
        let is_paced = |member: &MemberId| pacer.next_connection_at(now, *member).is_some();
        pacer.paced_members().filter(is_paced).count()
    }

    /// Returns how often a connection was deferred because it would have been opened too early.
    fn deferrals(&self) -> u64 {
        self.pacer.as_ref().map_or(0, ConnectionPacer::deferrals)
    }

    // Status reports.

    /// Returns the log line of a report.
    pub(crate) fn log_line(&self, now: Time) -> String {
        let (counts, cache) = (self.bootstrap.counters(), self.bootstrap.cache());
        let leaders = self.bootstrap.watch_leaders();
        let is_live = self.bootstrap.is_watch_live();
        let origin = cache.origin().map_or("nothing", origin_name);
        let age = cache
            .age(now)
            .map_or_else(|| "never".to_owned(), |age| format!("{} ms ago", age / MS));
        format!(
            "list from {origin}, version {:?}, last confirmed {age}, watch={is_live} holders={leaders:?} watches={} alone={} asked={} \
             unanswered={} answered={} pushed={} taken={} older={} foreign={} sighted={} dealt={} waited={}",
            cache.revision(), counts.watches_opened, counts.watches_without_leader, counts.polls_sent, counts.polls_unanswered, counts.polls_answered, counts.snapshots_pushed,
            counts.snapshots_merged, counts.stale_updates, counts.foreign_messages, counts.observations_merged, self.paced_members(now), self.deferrals()
        )
    }

    /// Returns the reply to a status query for the endpoint list.
    pub(crate) fn status(&self, now: Time) -> Value {
        let (counts, cache) = (self.bootstrap.counters(), self.bootstrap.cache());
        let leaders = self.bootstrap.watch_leaders();
        let is_live = self.bootstrap.is_watch_live();
        json!({
            "service": self.service,
            "revision": cache.revision(), "origin": cache.origin().map(origin_name), "age_ms": cache.age(now).map(|age| age / MS),
            "members": cache.endpoints().count(), "behind": cache.is_service_behind(), "resets": cache.resets(),
            "ready": self.bootstrap.is_ready(now), "watch": is_live,
            "holders": leaders.iter().map(ToString::to_string).collect::<Vec<_>>(),
            "counts": {"watches": counts.watches_opened, "alone": counts.watches_without_leader, "asked": counts.polls_sent,
                "unanswered": counts.polls_unanswered, "answered": counts.polls_answered, "pushed": counts.snapshots_pushed,
                "taken": counts.snapshots_merged, "older": counts.stale_updates, "foreign": counts.foreign_messages, "sighted": counts.observations_merged,
                "waited": self.deferrals()},
            "dealt": self.paced_members(now),
        })
    }
}

fn origin_name(origin: Origin) -> &'static str {
    match origin {
        Origin::Cached => "kept word",
        Origin::Peer => "a peer",
        Origin::Service => "the service",
    }
}
