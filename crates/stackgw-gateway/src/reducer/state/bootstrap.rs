//! Bootstrap and polling of the endpoint list in this instance, the pacing of connections to members that warm up, and how
//! operators see both.

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
    /// Kept for its allocation.
    spare_outputs: Vec<Output>,
    timer: Option<TimerKey>,
    service: String,
    /// Who may connect to a cold member when; `None`: connections are not paced.
    pacer: Option<ConnectionPacer>,
    /// Members whose connection permits may have changed since the router was last told.
    changed_permits: BTreeSet<MemberId>,
    /// Members by the hashes of their names that observations carry.
    members_by_hash: HashMap<u64, MemberId>,
    /// When observations were last taken from the router.
    observed_since: Time,
}

impl BootstrapCoordination {
    /// The state at the start, and what is to be done first.
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

    /// Lets the bootstrap act; what it asks for, to be given back by [`recycle`](Self::recycle).
    pub(crate) fn apply(
        &mut self,
        action: impl FnOnce(&mut Bootstrap, &mut Vec<Output>),
    ) -> Vec<Output> {
        let mut outputs = std::mem::take(&mut self.spare_outputs);
        action(&mut self.bootstrap, &mut outputs);
        outputs
    }

    /// Takes back an empty vector of outputs.
    pub(crate) fn recycle(&mut self, outputs: Vec<Output>) {
        self.spare_outputs = outputs;
    }

    pub(crate) fn timer(&self) -> Option<TimerKey> {
        self.timer
    }

    pub(crate) fn set_timer(&mut self, timer: Option<TimerKey>) {
        self.timer = timer;
    }

    /// Changes the list service's name; false if it is the same.
    pub(crate) fn set_service(&mut self, service: &str) -> bool {
        let differs = self.service != service;
        self.service = service.to_owned();
        differs
    }

    // Observations of members.

    /// When observations were last taken from the router; the next ones count from now.
    pub(crate) fn restart_observation(&mut self, now: Time) -> Time {
        std::mem::replace(&mut self.observed_since, now)
    }

    pub(crate) fn member_by_hash(&self, name_hash: u64) -> Option<MemberId> {
        self.members_by_hash.get(&name_hash).copied()
    }

    // Pacing of connections.

    /// Takes over a member as the list has it. A list from the disk does not say whether a member has just started.
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

    /// All members of a list have been taken over.
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

    /// Whether a connection to a member may be opened now; one that may not is counted.
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

    /// A connection to a member was opened, closed, used or became idle.
    pub(crate) fn mark_connections_changed(&mut self, member: MemberId) {
        if self.pacer.is_some() {
            self.changed_permits.insert(member);
        }
    }

    /// Every paced member may have warmed up by now.
    pub(crate) fn refresh_permits(&mut self) {
        let paced = self.pacer.iter().flat_map(ConnectionPacer::paced_members);
        self.changed_permits.extend(paced);
    }

    /// Takes the members whose permits may have changed, each with the permits that it has now.
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

    /// How many members' connections are paced now: not those that have warmed up since they were listed.
    fn paced_members(&self, now: Time) -> usize {
        let Some(pacer) = &self.pacer else {
            return 0;
        };
        let is_paced = |member: &MemberId| pacer.next_connection_at(now, *member).is_some();
        pacer.paced_members().filter(is_paced).count()
    }

    /// How often a connection would have been opened too early.
    fn deferrals(&self) -> u64 {
        self.pacer.as_ref().map_or(0, ConnectionPacer::deferrals)
    }

    // What operators see.

    /// One line for the log.
    pub(crate) fn log_line(&self, now: Time) -> String {
        let (counts, cache) = (self.bootstrap.counters(), self.bootstrap.cache());
        let leaders = self.bootstrap.watch_leaders();
        let is_live = self.bootstrap.is_watch_live();
        let origin = cache.origin().map_or("nothing", origin_name);
        let age = cache
            .age(now)
            .map_or_else(|| "never".to_owned(), |age| format!("{} ms", age / MS));
        format!(
            "list from {origin}, version {:?}, vouched for {age} ago, watch={is_live} holders={leaders:?} watches={} alone={} asked={} \
             unanswered={} answered={} pushed={} taken={} older={} foreign={} sighted={} dealt={} waited={}",
            cache.revision(), counts.watches_opened, counts.watches_without_leader, counts.polls_sent, counts.polls_unanswered, counts.polls_answered, counts.snapshots_pushed,
            counts.snapshots_merged, counts.stale_updates, counts.foreign_messages, counts.observations_merged, self.paced_members(now), self.deferrals()
        )
    }

    /// The reply to a query of the endpoint list.
    pub(crate) fn status(&self, now: Time) -> Value {
        let (counts, cache) = (self.bootstrap.counters(), self.bootstrap.cache());
        let leaders = self.bootstrap.watch_leaders();
        let is_live = self.bootstrap.is_watch_live();
        json!({
            "service": self.service,
            "revision": cache.revision(), "origin": cache.origin().map(origin_name), "age_ms": cache.age(now).map(|age| age / MS),
            "members": cache.endpoints().count(), "behind": cache.is_behind(), "resets": cache.resets(),
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
