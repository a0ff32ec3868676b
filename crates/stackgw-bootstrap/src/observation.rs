//! Observations of members that instances exchange: the position up to which each has applied, and which one is the primary, so
//! that an instance that has just started need not connect to every member to find out. An observation has a timestamp,
//! expires, and is only an estimate.

use serde::{Deserialize, Serialize};
use stackgw_router::api::{Span, Time, MS};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of observations in one datagram.
pub const MAX_OBSERVATIONS_PER_MESSAGE: usize = 12;
/// Maximum number of members whose observations are stored; observations of further members are ignored.
const MAX_OBSERVED_MEMBERS: usize = 4_096;

/// State of a member, as shown by its answer to some instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The member's name, hashed by [`Observation::hash_name`].
    pub member_hash: u64,
    /// The member has applied every commit up to this time, in Unix milliseconds.
    pub position_ms: u64,
    /// Whether the member is the primary of its group; `None` if its answer did not say.
    pub is_primary: Option<bool>,
    /// When the answer was received, in Unix milliseconds.
    pub observed_at_ms: u64,
}

impl Observation {
    /// Computes the [`Observation::member_hash`] of a member's name.
    pub fn hash_name(name: &str) -> u64 {
        xxh3_64(name.as_bytes())
    }

    /// Returns when the answer was received.
    pub fn observed_at(&self) -> Time {
        time_from_ms(self.observed_at_ms)
    }

    /// Returns the time up to which the member has applied every commit.
    pub fn position(&self) -> Time {
        time_from_ms(self.position_ms)
    }

    /// The order in which observations of a member replace each other. Positions never decrease, so the greater one is later;
    /// at equal positions, an observation with a role is preferred.
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
    /// Members for which this instance's own observation has not been sent yet.
    unsent: BTreeSet<u64>,
    /// The last member of the previous batch; the next batch begins after it.
    last_in_batch: u64,
}

impl Observations {
    /// Merges an observation made by this instance, and marks it to be sent to peers.
    pub fn record_own(&mut self, now: Time, observation: Observation, max_age: Span) {
        if self.merge(now, observation, max_age) {
            self.unsent.insert(observation.member_hash);
        }
    }

    /// Merges an observation unless it is `max_age` old or older, is dated more than `max_age` in the future, or is not later
    /// than the known one of its member, or the limit of observed members is reached. Returns whether it was stored.
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

    /// Returns this instance's own observations that have not been sent yet, as many as fit into one datagram, and marks them
    /// as sent.
    ///
    /// NOTE: Observations made by peers must not be passed on here, or they would circulate endlessly.
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

    /// Returns the next batch of observations younger than `max_age`, as many as fit into one datagram. Successive calls cycle
    /// through all members.
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
