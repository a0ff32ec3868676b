//! What instances tell each other of members: how far each has applied, and which one is the primary, so that an instance that
//! has just started need not connect to every member to find out. An observation carries its moment, grows old, and is never
//! proof.

use serde::{Deserialize, Serialize};
use stackgw_router::api::{Span, Time, MS};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Observations in one datagram at most.
pub const MAX_OBSERVATIONS_PER_MESSAGE: usize = 12;
/// Members of which observations are remembered at most.
const MAX_OBSERVED_MEMBERS: usize = 4_096;

/// What the answers of a member have shown to some instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The member's name, hashed by [`Observation::hash_name`].
    pub member_hash: u64,
    /// Every commit up to this moment is applied there, in Unix milliseconds.
    pub position_ms: u64,
    /// Whether it is the primary of its group; `None`: it did not say.
    pub is_primary: Option<bool>,
    /// When an answer showed this, in Unix milliseconds.
    pub observed_at_ms: u64,
}

impl Observation {
    /// A member's name as observations carry it.
    pub fn hash_name(name: &str) -> u64 {
        xxh3_64(name.as_bytes())
    }

    /// When an answer showed this.
    pub fn observed_at(&self) -> Time {
        time_from_ms(self.observed_at_ms)
    }

    /// Every commit up to this moment is applied there.
    pub fn position(&self) -> Time {
        time_from_ms(self.position_ms)
    }

    /// The order by which one observation of a member replaces another. Positions never go back, so the greater one is later;
    /// of one position, that with a role says more.
    fn precedence(&self) -> (u64, bool, u64) {
        (
            self.position_ms,
            self.is_primary.is_some(),
            self.observed_at_ms,
        )
    }
}

fn time_from_ms(ms: u64) -> Time {
    MS.saturating_mul(Time::try_from(ms).unwrap_or(Time::MAX))
}

/// The latest observation of each member.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Observations {
    latest: BTreeMap<u64, Observation>,
    /// Members with an observation of this instance's own that was not sent yet.
    unsent: BTreeSet<u64>,
    /// The last member of the batch before, where not all members fit into one.
    last_in_batch: u64,
}

impl Observations {
    /// Takes one of this instance's own, to be sent to peers.
    pub fn record_own(&mut self, now: Time, observation: Observation, max_age: Span) {
        if self.merge(now, observation, max_age) {
            self.unsent.insert(observation.member_hash);
        }
    }

    /// Takes an observation that is younger than `max_age`, unless there is a later one of its member. Returns whether it was
    /// taken.
    pub fn merge(&mut self, now: Time, observation: Observation, max_age: Span) -> bool {
        let observed_at = observation.observed_at();
        let is_out_of_range = now - observed_at >= max_age || observed_at > now + max_age;
        let known = self.latest.get(&observation.member_hash);
        let is_full = self.latest.len() >= MAX_OBSERVED_MEMBERS && known.is_none();
        let is_outdated = known.is_some_and(|known| known.precedence() >= observation.precedence());
        if is_out_of_range || is_full || is_outdated {
            return false;
        }
        self.latest.insert(observation.member_hash, observation);
        true
    }

    /// This instance's own observations that were not sent yet, as many as one datagram carries. Danger: observations
    /// of others must not be passed on here, or they would circulate without end.
    pub fn take_unsent(&mut self) -> Vec<Observation> {
        let members: Vec<_> = self
            .unsent
            .iter()
            .take(MAX_OBSERVATIONS_PER_MESSAGE)
            .copied()
            .collect();
        self.unsent.retain(|member| !members.contains(member));
        members
            .iter()
            .filter_map(|member| self.latest.get(member))
            .copied()
            .collect()
    }

    /// The next batch of all observations younger than `max_age`, as many as one datagram carries. Calls go round and round.
    pub fn next_batch(&mut self, now: Time, max_age: Span) -> Vec<Observation> {
        self.drop_older_than(now, max_age);
        let rest = self.latest.range(self.last_in_batch.saturating_add(1)..);
        let from_the_first = self.latest.range(..=self.last_in_batch);
        let batch = rest
            .chain(from_the_first)
            .take(MAX_OBSERVATIONS_PER_MESSAGE);
        let batch: Vec<_> = batch.map(|(_, observation)| *observation).collect();
        self.last_in_batch = batch
            .last()
            .map_or(0, |observation| observation.member_hash);
        batch
    }

    fn drop_older_than(&mut self, now: Time, max_age: Span) {
        let latest = &mut self.latest;
        latest.retain(|_, observation| now - observation.observed_at() < max_age);
        self.unsent.retain(|member| latest.contains_key(member));
    }
}

#[cfg(test)]
#[path = "../tests/unit/observation.rs"]
mod tests;
