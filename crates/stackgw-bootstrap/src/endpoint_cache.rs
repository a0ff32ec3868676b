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

use crate::endpoint::{Endpoint, EndpointUpdate};
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

/// What came of word.
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
struct Held {
    entry: Endpoint,
    /// The version that brought it.
    revision: u64,
    /// The version that told that it drains or is gone, and when that was heard here.
    bound: Option<(u64, Time)>,
}

/// See the module.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointCache {
    held: BTreeMap<String, Held>,
    revision: Option<u64>,
    origin: Origin,
    /// When the service last vouched for it, as far as is known.
    said: Time,
    /// Since when the service itself has told older lists alone.
    behind_since: Option<Time>,
    /// Entries of members that are gone were dropped up to this version.
    dropped: u64,
    reset_after: Span,
    resets: u64,
}

/// Members that are gone and still held, so that others can be told; beyond it the oldest are dropped.
const GONE_MOST: usize = 1_024;

impl EndpointCache {
    /// An empty book; a service that tells older lists for longer than `reset_after` is believed.
    pub fn new(reset_after: Span) -> Self {
        EndpointCache {
            held: BTreeMap::new(),
            revision: None,
            origin: Origin::Cached,
            said: 0,
            behind_since: None,
            dropped: 0,
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
        self.revision.map(|_| (now - self.said).max(0))
    }

    /// When the service last vouched for what is held, as far as is known.
    pub fn said(&self) -> Option<Time> {
        self.revision.map(|_| self.said)
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
    pub fn vouched(&mut self, said: Time) {
        if self.origin != Origin::Cached && self.behind_since.is_none() {
            self.said = self.said.max(said);
        }
    }

    /// Another service counts from now on: its versions mean nothing beside the earlier one's.
    pub fn other_service(&mut self) {
        if self.revision.is_some() {
            (self.revision, self.origin, self.behind_since, self.dropped) =
                (Some(0), Origin::Cached, None, 0);
            for held in self.held.values_mut() {
                held.revision = 0;
                held.bound = held.bound.map(|(_, at)| (0, at));
            }
        }
    }

    /// Takes word that its source vouched for at `said`. Changes are those since `base`, where it names one.
    pub fn take(
        &mut self,
        now: Time,
        word: EndpointUpdate,
        origin: Origin,
        said: Time,
        base: Option<u64>,
    ) -> MergeOutcome {
        let known = self.revision;
        let older = known.is_some_and(|known| word.revision < known);
        match origin {
            // Kept word fills an empty book, and no other.
            Origin::Cached if known.is_some() || !word.complete => return MergeOutcome::Stale,
            Origin::Peer if older => return MergeOutcome::Stale,
            Origin::Peer
                if !word.complete
                    && base.is_none_or(|base| known.is_none_or(|known| base > known)) =>
            {
                return MergeOutcome::Stale;
            }
            Origin::Peer if known == Some(word.revision) && self.origin != Origin::Cached => {
                self.vouched(said);
                return MergeOutcome::Unchanged;
            }
            Origin::Service if older => {
                let since = *self.behind_since.get_or_insert(now);
                if !word.complete || now - since < self.reset_after {
                    return MergeOutcome::Stale;
                }
                self.resets += 1;
                self.dropped = word.revision;
                // Counted anew: what this list says of drains is older than them, what it changes later is not.
                for held in self.held.values_mut() {
                    held.revision = word.revision;
                    held.bound = held.bound.map(|(_, at)| (word.revision, at));
                }
            }
            _ => {}
        }
        if origin == Origin::Service {
            self.behind_since = None;
        }
        let whole = word.complete || known.is_none();
        let confirms = self.origin == Origin::Cached;
        let mut changed = Vec::new();
        if whole {
            let named: BTreeSet<_> = word.members.iter().map(|e| e.id.as_str()).collect();
            let missing = self
                .held
                .values_mut()
                .filter(|held| !named.contains(held.entry.id.as_str()));
            for held in missing.filter(|held| held.entry.phase != Lifecycle::Removed) {
                (held.entry.phase, held.revision) = (Lifecycle::Removed, word.revision);
                held.bound = held.bound.or(Some((word.revision, now)));
            }
        }
        for entry in word.members {
            changed.extend(self.enter(now, entry, word.revision, known == Some(word.revision)));
        }
        (self.revision, self.origin) = (Some(word.revision), origin);
        self.said = if origin == Origin::Service { now } else { said };
        self.prune();
        match (origin, confirms || whole) {
            (Origin::Cached, _) => MergeOutcome::Cached(self.endpoints().map(cautious).collect()),
            // What was kept has been confirmed: it holds without the caution.
            (_, true) => MergeOutcome::Complete(self.endpoints().cloned().collect()),
            (_, false) if changed.is_empty() => MergeOutcome::Unchanged,
            (_, false) => MergeOutcome::Changed(changed),
        }
    }

    /// Writes one entry down; gives it back as it stands where that is news.
    fn enter(
        &mut self,
        now: Time,
        mut entry: Endpoint,
        revision: u64,
        repeats: bool,
    ) -> Option<Endpoint> {
        let before = self.held.get(&entry.id);
        let mut bound = before.and_then(|held| held.bound);
        if entry.phase == Lifecycle::Serving {
            // A drain binds until newer word of the same count, or a start after it, ends it.
            let ended = |(told, at): (u64, Time)| revision > told || entry.up_since_ms * MS > at;
            match (bound.filter(|bound| !ended(*bound)), before) {
                (Some(_), Some(held)) => entry.phase = held.entry.phase,
                _ => bound = None,
            }
        } else {
            bound = bound.or(Some((revision, now)));
        }
        let same = before.is_some_and(|held| held.entry == entry);
        // Danger: one that is as it was may have changed there and back, and whoever is asked by one that knows it as it was
        // between would leave that one with it.
        let revision = before
            .filter(|_| same && repeats)
            .map_or(revision, |held| held.revision);
        self.held.insert(
            entry.id.clone(),
            Held {
                entry: entry.clone(),
                revision,
                bound,
            },
        );
        (!same).then_some(entry)
    }

    fn prune(&mut self) {
        let mut gone: Vec<_> = self
            .held
            .values()
            .filter(|h| h.entry.phase == Lifecycle::Removed)
            .collect();
        if gone.len() <= GONE_MOST {
            return;
        }
        gone.sort_by_key(|held| held.revision);
        let past: Vec<_> = gone[..gone.len() - GONE_MOST]
            .iter()
            .map(|h| h.entry.id.clone())
            .collect();
        for id in past {
            self.dropped = self
                .dropped
                .max(self.held.remove(&id).map_or(0, |held| held.revision));
        }
    }

    /// The members that are not gone.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.held
            .values()
            .map(|held| &held.entry)
            .filter(|entry| entry.phase != Lifecycle::Removed)
    }

    /// For one that has this version: what changed since, or (`None`, with the whole list) where that is not known.
    pub fn since(&self, base: Option<u64>) -> (Option<u64>, Vec<Endpoint>) {
        match base.filter(|base| *base >= self.dropped && self.revision >= Some(*base)) {
            Some(base) => {
                let news = self.held.values().filter(|held| held.revision > base);
                (Some(base), news.map(|held| held.entry.clone()).collect())
            }
            None => (None, self.endpoints().cloned().collect()),
        }
    }
}

/// An entry as kept word has it: it leads nobody, and may have just started.
fn cautious(entry: &Endpoint) -> Endpoint {
    Endpoint {
        leader: false,
        up_since_ms: -1,
        ..entry.clone()
    }
}
