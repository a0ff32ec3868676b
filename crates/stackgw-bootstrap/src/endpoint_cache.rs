//! The endpoint list as this instance knows it, and the rules by which updates from different sources are merged into it.
//!
//! | source | accepted when | trusted for |
//! | --- | --- | --- |
//! | the list service | it is not older than the cache | everything |
//! | a peer with recent contact to the service | it is newer than the cache, or as new as a cached list in it; changes must not begin after the cache's version | everything |
//! | a cached list: from the disk, the platform, or a peer without contact to the service | it is complete, and the cache is empty | members to try; none is assumed primary or warm |
//! | any source, with a list older than the cache | never | nothing: drains announced since stay in effect |
//!
//! There is one exception to the last row: a service that sends only an older list for a long time has lost its state and
//! restarted its version numbers. Drains that it announced before stay in effect until a later version ends them, or those
//! members are known to have started again.
//!
//! This module is independent of polls, watches and messages.

use crate::endpoint::{Endpoint, EndpointUpdate, StartTime, UP_SINCE_UNKNOWN};
use crate::update_source::{Origin, UpdateSource};
use stackgw_router::api::{Lifecycle, Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The result of merging an update.
#[derive(Debug, Clone, PartialEq)]
pub enum MergeOutcome {
    /// The complete list, which replaces the previous one; members that are missing from it are removed.
    Complete(Vec<Endpoint>),
    /// The complete list, but from a cached copy: no member of it is known to be a primary or to be warm.
    Cached(Vec<Endpoint>),
    /// These entries have changed.
    Changed(Vec<Endpoint>),
    /// The update had no changes.
    Unchanged,
    /// The update is older than the cache, or cannot be applied to it, and was ignored.
    Stale,
}

/// The changes since a version, or the complete list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointDelta {
    /// The entries are the changes since this version; `None`: they are the complete list.
    pub base: Option<u64>,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
}

/// Records when a member was announced as draining or removed.
#[derive(Debug, Clone, Copy, PartialEq)]
struct DrainMark {
    /// The version that announced it.
    revision: u64,
    /// When this instance learned of it.
    learned_at: Time,
}

impl DrainMark {
    /// Whether a version that lists the member as serving ends the drain: it is newer, or the member has started since.
    fn is_ended_by(&self, endpoint: &Endpoint, revision: u64) -> bool {
        revision > self.revision
            || matches!(endpoint.start_time(), StartTime::At(started_at) if started_at > self.learned_at)
    }
}

#[derive(Debug, Clone, PartialEq)]
struct CacheEntry {
    endpoint: Endpoint,
    /// The version of the last update that set this entry.
    revision: u64,
    drain: Option<DrainMark>,
}

/// The endpoint list as this instance knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointCache {
    entries: BTreeMap<String, CacheEntry>,
    revision: Option<u64>,
    origin: Origin,
    /// When the service last confirmed the list, as far as is known.
    confirmed_at: Time,
    /// Since when the service itself has sent only older lists; `None` if it does not.
    service_behind_since: Option<Time>,
    /// Entries of removed members have been dropped up to this version.
    dropped_revision: u64,
    reset_after: Span,
    resets: u64,
}

/// Maximum number of removed members that are kept so that peers can be notified; the oldest are dropped first.
const MAX_REMOVED: usize = 1_024;

impl EndpointCache {
    /// Creates an empty cache. The list of a service that sends only older lists for `reset_after` is accepted.
    pub fn new(reset_after: Span) -> Self {
        EndpointCache {
            entries: BTreeMap::new(),
            revision: None,
            origin: Origin::Cached,
            confirmed_at: 0,
            service_behind_since: None,
            dropped_revision: 0,
            reset_after,
            resets: 0,
        }
    }

    /// Returns the version of the list; `None` if the cache is empty.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Returns the origin of the list; `None` if the cache is empty.
    pub fn origin(&self) -> Option<Origin> {
        self.revision.map(|_| self.origin)
    }

    /// Returns whether there is a list that was sent or confirmed by the service or by a peer in contact with it.
    pub fn is_confirmed(&self) -> bool {
        self.origin().is_some_and(|origin| origin != Origin::Cached)
    }

    /// Returns how long ago the service last confirmed the list, as far as is known; `None` if the cache is empty.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.confirmed_at().map(|at| (now - at).max(0))
    }

    /// Returns when the service last confirmed the list, as far as is known; `None` if the cache is empty.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.revision.map(|_| self.confirmed_at)
    }

    /// Returns whether the service sends lists that are older than the cache.
    pub fn is_service_behind(&self) -> bool {
        self.service_behind_since.is_some()
    }

    /// Returns how many times the list of a service that restarted its version numbers was accepted.
    pub fn resets(&self) -> u64 {
        self.resets
    }

    /// Records that the service has confirmed the list as unchanged. Has no effect on a cached list, and while the service sends
    /// older lists.
    pub fn confirm(&mut self, confirmed_at: Time) {
        if self.origin != Origin::Cached && self.service_behind_since.is_none() {
            self.confirmed_at = self.confirmed_at.max(confirmed_at);
        }
    }

    /// Prepares for another list service, whose versions cannot be compared with those of the previous one: the list is kept as
    /// a cached one with version 0, so that the first list of the new service replaces it.
    pub fn change_service(&mut self) {
        if self.revision.is_none() {
            return;
        }
        self.revision = Some(0);
        self.origin = Origin::Cached;
        self.service_behind_since = None;
        self.dropped_revision = 0;
        self.renumber_entries(0);
    }

    /// Merges an update into the list.
    pub fn merge(
        &mut self,
        now: Time,
        update: EndpointUpdate,
        source: UpdateSource,
    ) -> MergeOutcome {
        let early_outcome = match source {
            UpdateSource::Cached { .. } => self.screen_cached(&update),
            UpdateSource::Peer { confirmed_at, base } => {
                self.screen_peer(&update, confirmed_at, base)
            }
            UpdateSource::Service => self.screen_service(now, &update),
        };
        match early_outcome {
            Some(outcome) => outcome,
            None => self.apply(now, update, source),
        }
    }

    /// Rejects a cached list unless it is complete and the cache is empty.
    fn screen_cached(&self, update: &EndpointUpdate) -> Option<MergeOutcome> {
        (self.revision.is_some() || !update.complete).then_some(MergeOutcome::Stale)
    }

    fn screen_peer(
        &mut self,
        update: &EndpointUpdate,
        confirmed_at: Time,
        base: Option<u64>,
    ) -> Option<MergeOutcome> {
        let has_gap = !update.complete && (base.is_none() || base > self.revision);
        if self.is_newer_than(update) || has_gap {
            return Some(MergeOutcome::Stale);
        }
        if self.revision == Some(update.revision) && self.origin != Origin::Cached {
            self.confirm(confirmed_at);
            return Some(MergeOutcome::Unchanged);
        }
        None
    }

    fn screen_service(&mut self, now: Time, update: &EndpointUpdate) -> Option<MergeOutcome> {
        if self.is_newer_than(update) {
            let service_behind_since = *self.service_behind_since.get_or_insert(now);
            if !update.complete || now - service_behind_since < self.reset_after {
                return Some(MergeOutcome::Stale);
            }
            self.accept_reset(update.revision);
        }
        self.service_behind_since = None;
        None
    }

    fn is_newer_than(&self, update: &EndpointUpdate) -> bool {
        self.revision
            .is_some_and(|revision| update.revision < revision)
    }

    /// Accepts that the service has restarted its version numbers. Known drains are assigned this version, so that this list
    /// does not end them, but later versions can.
    fn accept_reset(&mut self, revision: u64) {
        self.resets += 1;
        self.dropped_revision = revision;
        self.renumber_entries(revision);
    }

    fn renumber_entries(&mut self, revision: u64) {
        for entry in self.entries.values_mut() {
            entry.revision = revision;
            entry.drain = entry.drain.map(|drain| DrainMark { revision, ..drain });
        }
    }

    fn apply(&mut self, now: Time, update: EndpointUpdate, source: UpdateSource) -> MergeOutcome {
        let is_complete = update.complete || self.revision.is_none();
        let confirms_cached = self.origin == Origin::Cached;
        let is_repeat = self.revision == Some(update.revision);
        if is_complete {
            self.remove_missing(now, &update);
        }
        let mut changed = Vec::new();
        for endpoint in update.members {
            changed.extend(self.apply_endpoint(now, endpoint, update.revision, is_repeat));
        }
        self.revision = Some(update.revision);
        self.origin = source.origin();
        self.confirmed_at = source.confirmed_at(now);
        self.drop_oldest_removed();
        if self.origin == Origin::Cached {
            return MergeOutcome::Cached(
                self.endpoints().map(without_role_and_start_time).collect(),
            );
        }
        // A cached list that has just been confirmed is output again, because its members' roles and ages are now trusted.
        if is_complete || confirms_cached {
            return MergeOutcome::Complete(self.endpoints().cloned().collect());
        }
        if changed.is_empty() {
            return MergeOutcome::Unchanged;
        }
        MergeOutcome::Changed(changed)
    }

    /// Marks members that are missing from a complete list as removed.
    fn remove_missing(&mut self, now: Time, update: &EndpointUpdate) {
        let revision = update.revision;
        let listed: BTreeSet<_> = update
            .members
            .iter()
            .map(|endpoint| endpoint.id.as_str())
            .collect();
        for entry in self.entries.values_mut() {
            if listed.contains(entry.endpoint.id.as_str())
                || entry.endpoint.phase == Lifecycle::Removed
            {
                continue;
            }
            entry.endpoint.phase = Lifecycle::Removed;
            entry.revision = revision;
            entry.drain = entry.drain.or(Some(DrainMark {
                revision,
                learned_at: now,
            }));
        }
    }

    /// Stores one entry of a version, and returns the stored entry if it has changed. `is_repeat`: the cache already had this
    /// version.
    fn apply_endpoint(
        &mut self,
        now: Time,
        mut endpoint: Endpoint,
        revision: u64,
        is_repeat: bool,
    ) -> Option<Endpoint> {
        let previous = self.entries.get(&endpoint.id);
        let mut drain = previous.and_then(|entry| entry.drain);
        if endpoint.phase == Lifecycle::Serving {
            drain = drain.filter(|drain| !drain.is_ended_by(&endpoint, revision));
            if let (Some(_), Some(entry)) = (drain, previous) {
                endpoint.phase = entry.endpoint.phase;
            }
        } else {
            drain = drain.or(Some(DrainMark {
                revision,
                learned_at: now,
            }));
        }
        let is_same = previous.is_some_and(|entry| entry.endpoint == endpoint);
        // An entry that equals the previous one may have changed and changed back in between. Without the new version, a peer
        // that has the entry as it was in between would never learn that it has changed back.
        let revision = match previous {
            Some(entry) if is_same && is_repeat => entry.revision,
            _ => revision,
        };
        let entry = CacheEntry {
            endpoint: endpoint.clone(),
            revision,
            drain,
        };
        self.entries.insert(endpoint.id.clone(), entry);
        (!is_same).then_some(endpoint)
    }

    fn drop_oldest_removed(&mut self) {
        let is_removed = |entry: &&CacheEntry| entry.endpoint.phase == Lifecycle::Removed;
        let mut removed: Vec<_> = self.entries.values().filter(is_removed).collect();
        if removed.len() <= MAX_REMOVED {
            return;
        }
        removed.sort_by_key(|entry| entry.revision);
        let excess = &removed[..removed.len() - MAX_REMOVED];
        let ids: Vec<_> = excess
            .iter()
            .map(|entry| entry.endpoint.id.clone())
            .collect();
        for id in ids {
            let revision = self.entries.remove(&id).map_or(0, |entry| entry.revision);
            self.dropped_revision = self.dropped_revision.max(revision);
        }
    }

    /// Returns the members that are not removed, ordered by name.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        let endpoints = self.entries.values().map(|entry| &entry.endpoint);
        endpoints.filter(|endpoint| endpoint.phase != Lifecycle::Removed)
    }

    /// Returns the changes since version `base`, or the complete list if those changes are not known.
    pub fn changes_since(&self, base: Option<u64>) -> EndpointDelta {
        match base.filter(|base| *base >= self.dropped_revision && self.revision >= Some(*base)) {
            Some(base) => {
                let changed = self.entries.values().filter(|entry| entry.revision > base);
                let endpoints = changed.map(|entry| entry.endpoint.clone()).collect();
                EndpointDelta {
                    base: Some(base),
                    endpoints,
                }
            }
            None => EndpointDelta {
                base: None,
                endpoints: self.endpoints().cloned().collect(),
            },
        }
    }
}

/// An entry of a cached list, without the fields that may be outdated: the member is not known to be the primary, and may have
/// started recently.
fn without_role_and_start_time(endpoint: &Endpoint) -> Endpoint {
    Endpoint {
        leader: false,
        up_since_ms: UP_SINCE_UNKNOWN,
        ..endpoint.clone()
    }
}
