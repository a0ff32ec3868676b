//! What an instance holds for the list, from whichever source, and what each source's word is good for.
//!
//! | word | taken when | good for |
//! | --- | --- | --- |
//! | the service's own, no older than what is held | always | everything |
//! | a peer's, heard from the service lately | newer than what is held, or what is held is kept word | everything |
//! | kept (a disk's, the platform's, or a peer's that lost the service) | nothing is held | members to try: no primary, no warmth |
//! | any that is older than what is held | never | nothing: what was told since binds |
//!
//! One exception to the last line: a service that goes on telling an older list for long has lost its state and counts anew.
//! What it told of drains before binds on until those members are known to have started again.

use crate::endpoint::{Endpoint, EndpointUpdate, UP_SINCE_UNKNOWN};
use stackgw_router::api::{Lifecycle, Span, Time, MS};
use std::collections::{BTreeMap, BTreeSet};

/// Where word of the list comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Origin {
    /// A disk's, the platform's, or that of a peer which has lost the service: as it was, for all that is known.
    Cached,
    /// A peer that hears the service.
    Peer,
    /// The service itself.
    Service,
}

/// What came of update.
#[derive(Debug, Clone, PartialEq)]
pub enum MergeOutcome {
    /// The whole list anew; who is missing has gone.
    Complete(Vec<Endpoint>),
    /// The whole list, but as kept: nobody in it is known to lead or to be warm.
    Cached(Vec<Endpoint>),
    /// Entries that changed.
    Changed(Vec<Endpoint>),
    /// It is what was held already.
    Unchanged,
    /// It is older than what is held, and tells nothing.
    Stale,
}

#[derive(Debug, Clone, PartialEq)]
struct CacheEntry {
    endpoint: Endpoint,
    /// The version that brought it.
    revision: u64,
    /// The version that told that it drains or is gone, and when that was heard here.
    drain: Option<(u64, Time)>,
}

/// See the module.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointCache {
    entries: BTreeMap<String, CacheEntry>,
    revision: Option<u64>,
    origin: Origin,
    /// When the service last vouched for it, as far as is known.
    confirmed_at: Time,
    /// Since when the service itself has told older lists alone.
    behind_since: Option<Time>,
    /// Entries of members that are gone were dropped up to this version.
    dropped_revision: u64,
    reset_after: Span,
    resets: u64,
}

/// Members that are gone and still held, so that others can be told; beyond it the oldest are dropped.
const MAX_REMOVED: usize = 1_024;

impl EndpointCache {
    /// An empty book; a service that tells older lists for longer than `reset_after` is believed.
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

    /// The version held, if anything is.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Where what is held comes from.
    pub fn origin(&self) -> Option<Origin> {
        self.revision.map(|_| self.origin)
    }

    /// How long ago the service vouched for what is held; `None`: nothing is held.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.revision.map(|_| (now - self.confirmed_at).max(0))
    }

    /// When the service last vouched for what is held, as far as is known.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.revision.map(|_| self.confirmed_at)
    }

    /// The service tells older lists than what is held.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// How often a service that counts anew was believed.
    pub fn resets(&self) -> u64 {
        self.resets
    }

    /// The service vouches for what is held: nothing has changed since it was told.
    pub fn confirm(&mut self, confirmed_at: Time) {
        if self.origin != Origin::Cached && self.behind_since.is_none() {
            self.confirmed_at = self.confirmed_at.max(confirmed_at);
        }
    }

    /// Another service counts from now on: its versions mean nothing beside the earlier one's.
    pub fn change_service(&mut self) {
        if self.revision.is_some() {
            (
                self.revision,
                self.origin,
                self.behind_since,
                self.dropped_revision,
            ) = (Some(0), Origin::Cached, None, 0);
            for held in self.entries.values_mut() {
                held.revision = 0;
                held.drain = held.drain.map(|(_, at)| (0, at));
            }
        }
    }

    /// Takes word that its source vouched for at `said`. Changes are those since `base`, where it names one.
    pub fn merge(
        &mut self,
        now: Time,
        update: EndpointUpdate,
        origin: Origin,
        confirmed_at: Time,
        base: Option<u64>,
    ) -> MergeOutcome {
        let known = self.revision;
        let older = known.is_some_and(|known| update.revision < known);
        match origin {
            // Kept word fills an empty book, and no other.
            Origin::Cached if known.is_some() || !update.complete => return MergeOutcome::Stale,
            Origin::Peer if older => return MergeOutcome::Stale,
            Origin::Peer
                if !update.complete
                    && base.is_none_or(|base| known.is_none_or(|known| base > known)) =>
            {
                return MergeOutcome::Stale;
            }
            Origin::Peer if known == Some(update.revision) && self.origin != Origin::Cached => {
                self.confirm(confirmed_at);
                return MergeOutcome::Unchanged;
            }
            Origin::Service if older => {
                let since = *self.behind_since.get_or_insert(now);
                if !update.complete || now - since < self.reset_after {
                    return MergeOutcome::Stale;
                }
                self.resets += 1;
                self.dropped_revision = update.revision;
                // Counted anew: what this list says of drains is older than them, what it changes later is not.
                for held in self.entries.values_mut() {
                    held.revision = update.revision;
                    held.drain = held.drain.map(|(_, at)| (update.revision, at));
                }
            }
            _ => {}
        }
        if origin == Origin::Service {
            self.behind_since = None;
        }
        let whole = update.complete || known.is_none();
        let confirms = self.origin == Origin::Cached;
        let mut changed = Vec::new();
        if whole {
            let named: BTreeSet<_> = update.members.iter().map(|e| e.id.as_str()).collect();
            let missing = self
                .entries
                .values_mut()
                .filter(|held| !named.contains(held.endpoint.id.as_str()));
            for held in missing.filter(|held| held.endpoint.phase != Lifecycle::Removed) {
                (held.endpoint.phase, held.revision) = (Lifecycle::Removed, update.revision);
                held.drain = held.drain.or(Some((update.revision, now)));
            }
        }
        for entry in update.members {
            changed.extend(self.apply_endpoint(
                now,
                entry,
                update.revision,
                known == Some(update.revision),
            ));
        }
        (self.revision, self.origin) = (Some(update.revision), origin);
        self.confirmed_at = if origin == Origin::Service {
            now
        } else {
            confirmed_at
        };
        self.drop_oldest_removed();
        match (origin, confirms || whole) {
            (Origin::Cached, _) => {
                MergeOutcome::Cached(self.endpoints().map(without_claims).collect())
            }
            // What was kept has been confirmed: it holds without the caution.
            (_, true) => MergeOutcome::Complete(self.endpoints().cloned().collect()),
            (_, false) if changed.is_empty() => MergeOutcome::Unchanged,
            (_, false) => MergeOutcome::Changed(changed),
        }
    }

    /// Writes one entry down; gives it back as it stands where that is news.
    fn apply_endpoint(
        &mut self,
        now: Time,
        mut entry: Endpoint,
        revision: u64,
        repeats: bool,
    ) -> Option<Endpoint> {
        let before = self.entries.get(&entry.id);
        let mut drain = before.and_then(|held| held.drain);
        if entry.phase == Lifecycle::Serving {
            // A drain binds until newer word of the same count, or a start after it, ends it.
            let ended = |(told, at): (u64, Time)| revision > told || entry.up_since_ms * MS > at;
            match (drain.filter(|drain| !ended(*drain)), before) {
                (Some(_), Some(held)) => entry.phase = held.endpoint.phase,
                _ => drain = None,
            }
        } else {
            drain = drain.or(Some((revision, now)));
        }
        let same = before.is_some_and(|held| held.endpoint == entry);
        // Danger: one that is as it was may have changed there and back, and whoever is asked by one that knows it as it was
        // between would leave that one with it.
        let revision = before
            .filter(|_| same && repeats)
            .map_or(revision, |held| held.revision);
        self.entries.insert(
            entry.id.clone(),
            CacheEntry {
                endpoint: entry.clone(),
                revision,
                drain,
            },
        );
        (!same).then_some(entry)
    }

    fn drop_oldest_removed(&mut self) {
        let mut gone: Vec<_> = self
            .entries
            .values()
            .filter(|h| h.endpoint.phase == Lifecycle::Removed)
            .collect();
        if gone.len() <= MAX_REMOVED {
            return;
        }
        gone.sort_by_key(|held| held.revision);
        let past: Vec<_> = gone[..gone.len() - MAX_REMOVED]
            .iter()
            .map(|h| h.endpoint.id.clone())
            .collect();
        for id in past {
            self.dropped_revision = self
                .dropped_revision
                .max(self.entries.remove(&id).map_or(0, |held| held.revision));
        }
    }

    /// The members that are not gone.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries
            .values()
            .map(|held| &held.endpoint)
            .filter(|entry| entry.phase != Lifecycle::Removed)
    }

    /// For one that has this version: what changed since, or (`None`, with the whole list) where that is not known.
    pub fn changes_since(&self, base: Option<u64>) -> (Option<u64>, Vec<Endpoint>) {
        match base.filter(|base| *base >= self.dropped_revision && self.revision >= Some(*base)) {
            Some(base) => {
                let news = self.entries.values().filter(|held| held.revision > base);
                (Some(base), news.map(|held| held.endpoint.clone()).collect())
            }
            None => (None, self.endpoints().cloned().collect()),
        }
    }
}

/// An entry as kept word has it: it leads nobody, and may have just started.
fn without_claims(entry: &Endpoint) -> Endpoint {
    Endpoint {
        leader: false,
        up_since_ms: UP_SINCE_UNKNOWN,
        ..entry.clone()
    }
}
