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
pub struct Sighting {
    /// The member, by [`Sighting::of`] its name.
    pub member: u64,
    /// Every commit up to this moment is applied there, in Unix milliseconds.
    pub position_ms: u64,
    /// It leads its group, or it does not; `None`: it did not say.
    pub leads: Option<bool>,
    /// When an answer told so, in Unix milliseconds.
    pub at_ms: u64,
}

impl Sighting {
    /// A member's name as sightings carry it.
    pub fn of(name: &str) -> u64 {
        xxh3_64(name.as_bytes())
    }

    /// When an answer told so.
    pub fn at(&self) -> Time {
        MS.saturating_mul(Time::try_from(self.at_ms).unwrap_or(Time::MAX))
    }

    /// Every commit up to this moment is applied there.
    pub fn position(&self) -> Time {
        MS.saturating_mul(Time::try_from(self.position_ms).unwrap_or(Time::MAX))
    }
}

/// The latest sighting of each member.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Sightings {
    held: BTreeMap<u64, Sighting>,
    /// What this instance's own answers showed and nobody has been told yet.
    news: BTreeSet<u64>,
    /// The member told last, where not all fit.
    told: u64,
}

impl Sightings {
    /// Takes one of this instance's own, for others to be told.
    pub fn own(&mut self, now: Time, seen: Sighting, keep: Span) {
        if self.take(now, seen, keep) {
            self.news.insert(seen.member);
        }
    }

    /// Takes one that is no older than `keep`, unless a later one of its member is held; whether it was news.
    pub fn take(&mut self, now: Time, seen: Sighting, keep: Span) -> bool {
        let old = now - seen.at() >= keep || seen.at() > now + keep;
        let full = self.held.len() >= SEEN_MOST && !self.held.contains_key(&seen.member);
        let known = self.held.get(&seen.member);
        // Positions never go back, so the greater one is the later word; of one position that with a role says more.
        let order = |s: &Sighting| (s.position_ms, s.leads.is_some(), s.at_ms);
        if old || full || known.is_some_and(|known| order(known) >= order(&seen)) {
            return false;
        }
        self.held.insert(seen.member, seen);
        true
    }

    /// What own answers have shown since this was asked last, no more than one datagram carries; the rest waits. Danger: passed
    /// on, others' word would go round and round.
    pub fn news(&mut self) -> Vec<Sighting> {
        let told: Vec<_> = self.news.iter().take(SEEN_EACH).copied().collect();
        self.news.retain(|member| !told.contains(member));
        told.iter().filter_map(|member| self.held.get(member)).copied().collect()
    }

    /// What is known and not yet old, all of it over so many calls as it takes.
    pub fn all(&mut self, now: Time, keep: Span) -> Vec<Sighting> {
        self.held.retain(|_, seen| now - seen.at() < keep);
        let held = &self.held;
        self.news.retain(|member| held.contains_key(member));
        let later = self.held.range(self.told.saturating_add(1)..);
        let next: Vec<_> = later.chain(self.held.range(..=self.told)).take(SEEN_EACH).collect();
        let last = next.last().map_or(0, |(member, _)| **member);
        let told = next.into_iter().map(|(_, seen)| *seen).collect();
        self.told = last;
        told
    }
}

#[cfg(test)]
#[path = "../tests/unit/seen.rs"]
mod tests;
