//! What instances tell each other of members: how far each is, and which one leads, so that an instance that has just started
//! need not open a connection to everybody to find out. A start, never proof: it is told with its moment, and grows old.

use serde::{Deserialize, Serialize};
use stackgw_router::api::{Span, Time, MS};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// One datagram carries so many at most.
pub const MAX_OBSERVATIONS_PER_MESSAGE: usize = 12;
/// So many members are remembered.
const MAX_OBSERVED_MEMBERS: usize = 4_096;

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
    latest: BTreeMap<u64, Observation>,
    /// What this instance's own answers showed and nobody has been told yet.
    unsent: BTreeSet<u64>,
    /// The member told last, where not all fit.
    last_in_batch: u64,
}

impl Observations {
    /// Takes one of this instance's own, for others to be told.
    pub fn record_own(&mut self, now: Time, observation: Observation, max_age: Span) {
        if self.merge(now, observation, max_age) {
            self.unsent.insert(observation.member_hash);
        }
    }

    /// Takes one that is no older than `max_age`, unless a later one of its member is held; whether it was news.
    pub fn merge(&mut self, now: Time, observation: Observation, max_age: Span) -> bool {
        let old =
            now - observation.observed_at() >= max_age || observation.observed_at() > now + max_age;
        let full = self.latest.len() >= MAX_OBSERVED_MEMBERS
            && !self.latest.contains_key(&observation.member_hash);
        let known = self.latest.get(&observation.member_hash);
        // Positions never go back, so the greater one is the later word; of one position that with a role says more.
        let order = |s: &Observation| (s.position_ms, s.is_primary.is_some(), s.observed_at_ms);
        if old || full || known.is_some_and(|known| order(known) >= order(&observation)) {
            return false;
        }
        self.latest.insert(observation.member_hash, observation);
        true
    }

    /// What own answers have shown since this was asked last, no more than one datagram carries; the rest waits. Danger: passed
    /// on, others' word would go round and round.
    pub fn take_unsent(&mut self) -> Vec<Observation> {
        let told: Vec<_> = self
            .unsent
            .iter()
            .take(MAX_OBSERVATIONS_PER_MESSAGE)
            .copied()
            .collect();
        self.unsent.retain(|member| !told.contains(member));
        told.iter()
            .filter_map(|member| self.latest.get(member))
            .copied()
            .collect()
    }

    /// What is known and not yet old, all of it over so many calls as it takes.
    pub fn next_batch(&mut self, now: Time, max_age: Span) -> Vec<Observation> {
        self.latest
            .retain(|_, observation| now - observation.observed_at() < max_age);
        let held = &self.latest;
        self.unsent.retain(|member| held.contains_key(member));
        let later = self.latest.range(self.last_in_batch.saturating_add(1)..);
        let next: Vec<_> = later
            .chain(self.latest.range(..=self.last_in_batch))
            .take(MAX_OBSERVATIONS_PER_MESSAGE)
            .collect();
        let last = next.last().map_or(0, |(member, _)| **member);
        let told = next
            .into_iter()
            .map(|(_, observation)| *observation)
            .collect();
        self.last_in_batch = last;
        told
    }
}

#[cfg(test)]
#[path = "../tests/unit/observation.rs"]
mod tests;
