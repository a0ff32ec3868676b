//! What instances tell each other of members: how far each is, and which one leads, so that an instance that has just started
//! need not open a connection to everybody to find out. A start, never proof: it is told with its moment, and grows old.

use serde::{Deserialize, Serialize};
use stackgw_router::api::{Span, Time, MS};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// One datagram carries so many at most.
pub const SEEN_EACH: usize = 12;
/// So many members are remembered.
const SEEN_MOST: usize = 4_096;

/// A member as some instance's answers showed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The member, by [`Observation::hash_name`] its name.
    pub member_hash: u64,
    /// Every commit up to this moment is applied there, in Unix milliseconds.
    pub position_ms: u64,
    /// It leads its group, or it does not; `None`: it did not say.
    pub is_primary: Option<bool>,
    /// When an answer told so, in Unix milliseconds.
    pub observed_at_ms: u64,
}

impl Observation {
    /// A member's name as sightings carry it.
    pub fn hash_name(name: &str) -> u64 {
        xxh3_64(name.as_bytes())
    }

    /// When an answer told so.
    pub fn observed_at(&self) -> Time {
        MS.saturating_mul(Time::try_from(self.observed_at_ms).unwrap_or(Time::MAX))
    }

    /// Every commit up to this moment is applied there.
    pub fn position(&self) -> Time {
        MS.saturating_mul(Time::try_from(self.position_ms).unwrap_or(Time::MAX))
    }
}

/// The latest sighting of each member.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Observations {
    held: BTreeMap<u64, Observation>,
    /// What this instance's own answers showed and nobody has been told yet.
    news: BTreeSet<u64>,
    /// The member told last, where not all fit.
    told: u64,
}

impl Observations {
    /// Takes one of this instance's own, for others to be told.
    pub fn own(&mut self, now: Time, seen: Observation, keep: Span) {
        if self.take(now, seen, keep) {
            self.news.insert(seen.member_hash);
        }
    }

    /// Takes one that is no older than `keep`, unless a later one of its member is held; whether it was news.
    pub fn take(&mut self, now: Time, seen: Observation, keep: Span) -> bool {
        let old = now - seen.observed_at() >= keep || seen.observed_at() > now + keep;
        let full = self.held.len() >= SEEN_MOST && !self.held.contains_key(&seen.member_hash);
        let known = self.held.get(&seen.member_hash);
        // Positions never go back, so the greater one is the later word; of one position that with a role says more.
        let order = |s: &Observation| (s.position_ms, s.is_primary.is_some(), s.observed_at_ms);
        if old || full || known.is_some_and(|known| order(known) >= order(&seen)) {
            return false;
        }
        self.held.insert(seen.member_hash, seen);
        true
    }

    /// What own answers have shown since this was asked last, no more than one datagram carries; the rest waits. Danger: passed
    /// on, others' word would go round and round.
    pub fn news(&mut self) -> Vec<Observation> {
        let told: Vec<_> = self.news.iter().take(SEEN_EACH).copied().collect();
        self.news.retain(|member| !told.contains(member));
        told.iter()
            .filter_map(|member| self.held.get(member))
            .copied()
            .collect()
    }

    /// What is known and not yet old, all of it over so many calls as it takes.
    pub fn all(&mut self, now: Time, keep: Span) -> Vec<Observation> {
        self.held.retain(|_, seen| now - seen.observed_at() < keep);
        let held = &self.held;
        self.news.retain(|member| held.contains_key(member));
        let later = self.held.range(self.told.saturating_add(1)..);
        let next: Vec<_> = later
            .chain(self.held.range(..=self.told))
            .take(SEEN_EACH)
            .collect();
        let last = next.last().map_or(0, |(member, _)| **member);
        let told = next.into_iter().map(|(_, seen)| *seen).collect();
        self.told = last;
        told
    }
}

#[cfg(test)]
#[path = "../tests/unit/observation.rs"]
mod tests;
