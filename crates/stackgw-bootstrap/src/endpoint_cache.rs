//! The endpoint list as this instance knows it, and the rules by which updates from different sources are merged into it.
//!
//! | source | accepted when | trusted for |
//! | --- | --- | --- |
//! | the list service | it is no older than the cache | everything |
//! | a peer that has heard the service lately | it is newer than the cache, or the cache holds a cached list | everything |
//! | a cached list: the disk's, the platform's, or that of a peer which has lost the service | the cache is empty | members to try; no primary, nobody warm |
//! | any that is older than the cache | never | nothing: drains that were announced since still bind |
//!
//! There is one exception to the last line: a service that sends an older list alone for long has lost its state and counts
//! its versions anew. Drains that it announced before bind until those members are known to have started again.
//!
//! This module knows nothing of polls, watches or messages.

use crate::endpoint::{Endpoint, EndpointUpdate, StartTime, UP_SINCE_UNKNOWN};
use crate::update_source::{Origin, UpdateSource};
use stackgw_router::api::{Lifecycle, Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// What became of an update.
#[derive(Debug, Clone, PartialEq)]
pub enum MergeOutcome {
    /// The complete list is to be taken anew; members that are missing in it are removed.
    Complete(Vec<Endpoint>),
    /// The complete list, but from a cached copy: nobody in it is known to be a primary or to be warm.
    Cached(Vec<Endpoint>),
    /// These entries have changed.
    Changed(Vec<Endpoint>),
    /// The cache had all of it.
    Unchanged,
    /// It is older than the cache, or cannot be applied to it, and was ignored.
    Stale,
}

/// What has changed since a version.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointDelta {
    /// The version since which these are the changes; `None`: they are the complete list.
    pub base: Option<u64>,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
}

/// When a member was announced to drain or to be removed.
#[derive(Debug, Clone, Copy, PartialEq)]
struct DrainMark {
    /// The version that announced it.
    revision: u64,
    /// When this instance learned it.
    noted_at: Time,
}

impl DrainMark {
    /// Whether a version that lists the member as serving ends the drain: it is newer, or the member has started since.
    fn is_ended_by(&self, endpoint: &Endpoint, revision: u64) -> bool {
        revision > self.revision
            || matches!(endpoint.start_time(), StartTime::At(started_at) if started_at > self.noted_at)
    }
}

#[derive(Debug, Clone, PartialEq)]
struct CacheEntry {
    endpoint: Endpoint,
    /// The version that brought it.
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
    /// Since when the service itself has sent older lists alone.
    behind_since: Option<Time>,
    /// Entries of removed members were dropped up to this version.
    dropped_revision: u64,
    reset_after: Span,
    resets: u64,
}

/// Removed members that are remembered, so that peers can be notified; beyond it the oldest are dropped.
const MAX_REMOVED: usize = 1_024;

impl EndpointCache {
    /// An empty cache. A service that sends older lists alone for longer than `reset_after` is believed.
    pub fn new(reset_after: Span) -> Self {
        EndpointCache {
            entries: BTreeMap::new(),
            revision: None,
            origin: Origin::Cached,
            confirmed_at: 0,
            behind_since: None,
            dropped_revision: 0,
            reset_after,
            resets: 0,
        }
    }

    /// The version of the list; `None`: the cache is empty.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Where the list comes from; `None`: the cache is empty.
    pub fn origin(&self) -> Option<Origin> {
        self.revision.map(|_| self.origin)
    }

    /// Whether there is a list, and the service or a peer that hears it has sent or confirmed it.
    pub fn is_confirmed(&self) -> bool {
        self.origin().is_some_and(|origin| origin != Origin::Cached)
    }

    /// How long ago the service confirmed the list; `None`: the cache is empty.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.confirmed_at().map(|at| (now - at).max(0))
    }

    /// When the service last confirmed the list, as far as is known; `None`: the cache is empty.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.revision.map(|_| self.confirmed_at)
    }

    /// Whether the service sends older lists than this one.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// How often a service that counts its versions anew was believed.
    pub fn resets(&self) -> u64 {
        self.resets
    }

    /// The service has confirmed that nothing has changed.
    pub fn confirm(&mut self, confirmed_at: Time) {
        if self.origin != Origin::Cached && self.behind_since.is_none() {
            self.confirmed_at = self.confirmed_at.max(confirmed_at);
        }
    }

    /// Another service numbers the list from now on: its versions cannot be compared with those of the earlier one.
    pub fn change_service(&mut self) {
        if self.revision.is_none() {
            return;
        }
        self.revision = Some(0);
        self.origin = Origin::Cached;
        self.behind_since = None;
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

    /// A cached list fills an empty cache, and no other.
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
            let behind_since = *self.behind_since.get_or_insert(now);
            if !update.complete || now - behind_since < self.reset_after {
                return Some(MergeOutcome::Stale);
            }
            self.accept_reset(update.revision);
        }
        self.behind_since = None;
        None
    }

    fn is_newer_than(&self, update: &EndpointUpdate) -> bool {
        self.revision
            .is_some_and(|revision| update.revision < revision)
    }

    /// The service counts its versions anew. What this list says of drains is older than they are, what it changes later is
    /// not.
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
            return MergeOutcome::Cached(self.endpoints().map(without_claims).collect());
        }
        // A cached list that has been confirmed is passed on anew, as its members' roles and ages hold now.
        if is_complete || confirms_cached {
            return MergeOutcome::Complete(self.endpoints().cloned().collect());
        }
        if changed.is_empty() {
            return MergeOutcome::Unchanged;
        }
        MergeOutcome::Changed(changed)
    }

    /// Marks members as removed that a complete list no longer names.
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
                noted_at: now,
            }));
        }
    }

    /// Stores one entry of a version; returns it, as it now stands, if it has changed. `is_repeat`: the cache had the version
    /// already.
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
                noted_at: now,
            }));
        }
        let is_same = previous.is_some_and(|entry| entry.endpoint == endpoint);
        // Danger: an entry that is as it was may have changed and changed back in between. It gets the new version, or a peer
        // that knows it as it was between would never learn that it has changed back.
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

    /// The members that are not removed, by name.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        let endpoints = self.entries.values().map(|entry| &entry.endpoint);
        endpoints.filter(|endpoint| endpoint.phase != Lifecycle::Removed)
    }

    /// What has changed since a version, or the complete list where that is not known.
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

/// An entry as a cached list proves it: nobody is known to be the primary, and each may just have started.
fn without_claims(endpoint: &Endpoint) -> Endpoint {
    Endpoint {
        leader: false,
        up_since_ms: UP_SINCE_UNKNOWN,
        ..endpoint.clone()
    }
}
