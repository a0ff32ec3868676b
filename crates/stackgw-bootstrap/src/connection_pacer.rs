//! Paces connections to members that are warming up: determines when each instance may open one.
//!
//! A handshake costs a member as much as several requests. Hundreds of instances that start together, or lose a member
//! together, all need a connection at once: the member then does nothing but handshakes, and a cold member collapses under
//! this load. The rate of new connections that a member can accept from all instances together grows as it warms up. Instances
//! connect in the order of their numbers, each at a random position within its own slot. For each member of a group the order
//! begins at a different instance, so that every instance has its first connection to some member early, and each member
//! receives connections evenly from the beginning.
//!
//! Connections to a warm member are not paced: an instance that has requests for it connects at once.

use crate::endpoint::StartTime;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stackgw_router::api::{GroupId, MemberId, Span, Time, SECOND};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Makes the random numbers differ from those that other parts of an instance generate from the same seed.
const SEED_SALT: u64 = 0xdea1;
/// Lower bound of [`PacerConfig::connection_rate`], in new connections per second.
const MIN_CONNECTION_RATE: f64 = 0.01;
/// Lower bound of [`PacerConfig::cold_capacity_share`].
const MIN_COLD_CAPACITY_SHARE: f64 = 0.01;
/// Each consecutive failed handshake doubles the pause before the next one, at most this many times.
const MAX_DOUBLINGS: u32 = 4;

/// Parameters from which the pace of connections is computed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PacerConfig {
    /// This instance's number in the fleet, starting at 0.
    pub instance_number: u32,
    /// The number of instances.
    pub fleet_size: u32,
    /// New connections per second that a member which has just started can accept from all instances together.
    pub connection_rate: f64,
    /// The share of its warm capacity that a member has when it has just started.
    pub cold_capacity_share: f64,
    /// The time in which a member's capacity grows linearly from the cold share to full capacity.
    pub warm_up_time: Span,
}

/// A member as it appears in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListedMember<'a> {
    /// The member's number at this instance.
    pub id: MemberId,
    /// The member's name, the same at every instance.
    pub name: &'a str,
    /// The member's group.
    pub group: GroupId,
    /// When the member's process started.
    pub start_time: StartTime,
}

/// Pacing state of one member that may be cold.
#[derive(Debug, Clone, PartialEq)]
struct MemberPacing {
    group: GroupId,
    name_hash: u64,
    /// The start time in the list.
    start_time: StartTime,
    /// The start time if it is known, otherwise the time at which this instance first saw the entry.
    assumed_start: Time,
    next_connection_at: Time,
    /// Consecutive failed handshakes.
    failures: u32,
    /// When this instance first saw the entry; `None` after the first connection attempt.
    listed_at: Option<Time>,
}

/// Paces the connections of one instance to members that are warming up.
#[derive(Debug, Clone, PartialEq)]
pub struct ConnectionPacer {
    config: PacerConfig,
    rng: Pcg64Mcg,
    members: BTreeMap<MemberId, MemberPacing>,
    deferrals: u64,
}

impl ConnectionPacer {
    /// Creates a pacer without members.
    pub fn new(config: PacerConfig, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT);
        ConnectionPacer {
            config,
            rng,
            members: BTreeMap::new(),
            deferrals: 0,
        }
    }

    /// New connections per second that a member of this age can accept.
    fn rate_at_age(&self, age: Span) -> f64 {
        let warmth = (age as f64 / self.config.warm_up_time.max(1) as f64).clamp(0.0, 1.0);
        let warm_multiple = 1.0
            / self
                .config
                .cold_capacity_share
                .clamp(MIN_COLD_CAPACITY_SHARE, 1.0);
        self.config.connection_rate.max(MIN_CONNECTION_RATE)
            * (1.0 + (warm_multiple - 1.0) * warmth)
    }

    /// When a member that started at `started_at` will have accepted `count` further connections.
    fn time_of_connection(&self, now: Time, started_at: Time, count: f64) -> Time {
        let age = now - started_at;
        // During the warm-up the rate grows linearly: with the current rate r and its growth g, count = r t + g t t / 2.
        let rate = self.rate_at_age(age);
        let warming = (self.config.warm_up_time - age).max(0) as f64 / SECOND as f64;
        let warm_rate = self.rate_at_age(self.config.warm_up_time);
        let growth = if warming > 0.0 {
            (warm_rate - rate) / warming
        } else {
            0.0
        };
        let count_while_warming = rate * warming + growth * warming * warming / 2.0;
        let seconds = if count <= count_while_warming && growth > 0.0 {
            ((rate * rate + 2.0 * growth * count).sqrt() - rate) / growth
        } else {
            warming + (count - count_while_warming).max(0.0) / (rate + growth * warming)
        };
        now + (seconds * SECOND as f64) as Span
    }

    /// Adds or updates a member from the endpoint list. A member that started long ago is removed, because connections to it
    /// are not paced; a member with an unchanged start time stays as it is. [`ConnectionPacer::schedule_new_members`] must be
    /// called after all members of the list have been updated.
    pub fn update_member(&mut self, now: Time, member: ListedMember<'_>) {
        let assumed_start = match member.start_time {
            StartTime::LongAgo => return self.remove_member(member.id),
            StartTime::At(started_at) => started_at.min(now),
            StartTime::Unknown => now,
        };
        let known = self.members.get(&member.id);
        if known.is_some_and(|known| known.start_time == member.start_time) {
            return;
        }
        let pacing = MemberPacing {
            group: member.group,
            name_hash: xxh3_64(member.name.as_bytes()),
            start_time: member.start_time,
            assumed_start,
            next_connection_at: now,
            failures: 0,
            listed_at: Some(now),
        };
        self.members.insert(member.id, pacing);
    }

    /// Schedules the first connection to each member that was added at `now`, by the member's rank within its group.
    pub fn schedule_new_members(&mut self, now: Time) {
        let fleet_size = f64::from(self.config.fleet_size.max(1));
        let own_position =
            (f64::from(self.config.instance_number) + self.rng.random::<f64>()) / fleet_size;
        for members in self.ranked_groups().into_values() {
            let count = members.len() as f64;
            for (rank, id) in members.into_iter().enumerate() {
                let position = (own_position + rank as f64 / count).fract();
                self.schedule_new_member(now, id, position * fleet_size);
            }
        }
    }

    /// The paced members of each group, in an order that is the same at every instance.
    fn ranked_groups(&self) -> BTreeMap<GroupId, Vec<MemberId>> {
        let members = self.members.iter();
        let mut ranked: Vec<_> = members
            .map(|(id, pacing)| (pacing.name_hash, *id, pacing.group))
            .collect();
        ranked.sort_unstable();
        let mut groups: BTreeMap<GroupId, Vec<_>> = BTreeMap::new();
        for (_, id, group) in ranked {
            groups.entry(group).or_default().push(id);
        }
        groups
    }

    fn schedule_new_member(&mut self, now: Time, id: MemberId, connections_before: f64) {
        let Some(pacing) = self
            .members
            .get(&id)
            .filter(|pacing| pacing.listed_at == Some(now))
        else {
            return;
        };
        let at = self.time_of_connection(now, pacing.assumed_start, connections_before);
        self.members
            .entry(id)
            .and_modify(|pacing| pacing.next_connection_at = at);
    }

    /// Returns the members that may be cold according to the list; some may have warmed up since they were listed.
    pub fn paced_members(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.keys().copied()
    }

    /// Returns the time from which this instance may open a connection to a member; `None` if connections to it are not paced:
    /// it is not listed, has started long ago, or its warm-up time is over.
    pub fn next_connection_at(&self, now: Time, member: MemberId) -> Option<Time> {
        let pacing = self.members.get(&member)?;
        let is_warming_up = now - pacing.assumed_start < self.config.warm_up_time;
        is_warming_up.then_some(pacing.next_connection_at)
    }

    /// Records a connection attempt and schedules the next one.
    pub fn record_attempt(&mut self, now: Time, member: MemberId) {
        let Some(pacing) = self.members.get(&member) else {
            return;
        };
        let doublings = pacing.failures.min(MAX_DOUBLINGS);
        let rounds = f64::from(1u32 << doublings) * (0.5 + self.rng.random::<f64>());
        let connections_before = rounds * f64::from(self.config.fleet_size.max(1));
        let at = self.time_of_connection(now, pacing.assumed_start, connections_before);
        self.members.entry(member).and_modify(|pacing| {
            pacing.next_connection_at = at;
            pacing.listed_at = None;
        });
    }

    /// Records a handshake that has failed or timed out, and schedules the next attempt after a longer pause.
    pub fn record_failure(&mut self, now: Time, member: MemberId) {
        if let Some(pacing) = self.members.get_mut(&member) {
            pacing.failures = pacing.failures.saturating_add(1);
            self.record_attempt(now, member);
        }
    }

    /// Records a successful handshake.
    pub fn record_success(&mut self, member: MemberId) {
        self.members
            .entry(member)
            .and_modify(|pacing| pacing.failures = 0);
    }

    /// Records that a connection was deferred because its scheduled time had not come.
    pub fn record_deferral(&mut self) {
        self.deferrals += 1;
    }

    /// Returns the number of deferred connections.
    pub fn deferrals(&self) -> u64 {
        self.deferrals
    }

    /// Removes a member.
    pub fn remove_member(&mut self, member: MemberId) {
        self.members.remove(&member);
    }
}

#[cfg(test)]
#[path = "../tests/unit/connection_pacer.rs"]
mod tests;
