//! Paces connections to members that are warming up: which instance may open one when.
//!
//! A handshake costs a member as much as several requests, and hundreds of instances that start together, or that lose a
//! member together, all want one at once: the member then does nothing but handshakes, and one that is cold falls over. The
//! rate of new connections that a member can take from all instances together grows as it warms up. An instance's place in
//! that is its number, jittered within its own part. Each member of a group begins elsewhere in the order of instances, so
//! that everybody has its first connection to some member early, and each member is connected to evenly from the first moment
//! on.
//!
//! A member that is warm is not paced: whoever has requests for it connects.

use crate::endpoint::StartTime;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stackgw_router::api::{GroupId, MemberId, Span, Time, SECOND};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Sets the random numbers apart from those that other parts of an instance draw from the same seed.
const SEED_SALT: u64 = 0xdea1;
/// A smaller rate is read as this, in new connections a second.
const MIN_CONNECTION_RATE: f64 = 0.01;
/// A smaller capacity of a cold member is read as this share.
const MIN_COLD_CAPACITY_SHARE: f64 = 0.01;
/// Each handshake in a row that fails doubles the pause before the next, so often at most.
const MAX_DOUBLINGS: u32 = 4;

/// What the pace of connections follows from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PacerConfig {
    /// This instance's number in the fleet, from 0 on.
    pub instance_number: u32,
    /// The number of instances.
    pub fleet_size: u32,
    /// New connections a second that a member which has just started can take from all instances together.
    pub connection_rate: f64,
    /// The share of its capacity that it has then ...
    pub cold_capacity_share: f64,
    /// ... and from which it grows evenly to all of it in this time.
    pub warm_up_time: Span,
}

/// A member as the endpoint list has it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListedMember<'a> {
    /// Its number at this instance.
    pub id: MemberId,
    /// Its name, the same at every instance.
    pub name: &'a str,
    /// Its group.
    pub group: GroupId,
    /// When its process started.
    pub start_time: StartTime,
}

/// One member that may be cold.
#[derive(Debug, Clone, PartialEq)]
struct MemberPacing {
    group: GroupId,
    name_hash: u64,
    /// As the list has it.
    start_time: StartTime,
    /// When it started, for all that is known: when it was listed, if the list does not say.
    assumed_start: Time,
    next_connection_at: Time,
    /// Handshakes in a row that have failed.
    failures: u32,
    /// When it was listed, until the first connection is attempted.
    listed_at: Option<Time>,
}

/// The connections of one instance to members that are warming up.
#[derive(Debug, Clone, PartialEq)]
pub struct ConnectionPacer {
    config: PacerConfig,
    rng: Pcg64Mcg,
    members: BTreeMap<MemberId, MemberPacing>,
    deferrals: u64,
}

impl ConnectionPacer {
    /// The pacer of an instance that knows no member yet.
    pub fn new(config: PacerConfig, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT);
        ConnectionPacer {
            config,
            rng,
            members: BTreeMap::new(),
            deferrals: 0,
        }
    }

    /// New connections a second that a member of this age can take.
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

    /// When a member that started at `started_at` will have taken so many connections from now on.
    fn time_of_connection(&self, now: Time, started_at: Time, count: f64) -> Time {
        let age = now - started_at;
        // While it warms up its rate grows evenly: with a rate r and a growth g, count = r t + g t t / 2.
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

    /// Takes over a member as the list has it now. [`ConnectionPacer::schedule_new_members`] has to follow once all members of
    /// the list have been taken over.
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

    /// Gives each member that was listed in this moment its first connection's time, by its rank among its group's members.
    pub fn schedule_new_members(&mut self, now: Time) {
        let fleet_size = f64::from(self.config.fleet_size.max(1));
        let own_place =
            (f64::from(self.config.instance_number) + self.rng.random::<f64>()) / fleet_size;
        for members in self.ranked_groups().into_values() {
            let count = members.len() as f64;
            for (rank, id) in members.into_iter().enumerate() {
                let place = (own_place + rank as f64 / count).fract();
                self.schedule_new_member(now, id, place * fleet_size);
            }
        }
    }

    /// The paced members of each group in an order that is the same at every instance.
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

    /// The members that may be cold.
    pub fn paced_members(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.keys().copied()
    }

    /// From when on this instance may open a connection to a member; `None`: it is warm, and any moment will do.
    pub fn next_connection_at(&self, now: Time, member: MemberId) -> Option<Time> {
        let pacing = self.members.get(&member)?;
        let is_warming_up = now - pacing.assumed_start < self.config.warm_up_time;
        is_warming_up.then_some(pacing.next_connection_at)
    }

    /// A connection is being opened: the next one has to wait.
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

    /// A handshake has failed or was late.
    pub fn record_failure(&mut self, now: Time, member: MemberId) {
        if let Some(pacing) = self.members.get_mut(&member) {
            pacing.failures = pacing.failures.saturating_add(1);
            self.record_attempt(now, member);
        }
    }

    /// A connection has come up.
    pub fn record_success(&mut self, member: MemberId) {
        self.members
            .entry(member)
            .and_modify(|pacing| pacing.failures = 0);
    }

    /// A connection would have been opened before its time.
    pub fn record_deferral(&mut self) {
        self.deferrals += 1;
    }

    /// How often a connection would have been opened before its time.
    pub fn deferrals(&self) -> u64 {
        self.deferrals
    }

    /// Drops a member.
    pub fn remove_member(&mut self, member: MemberId) {
        self.members.remove(&member);
    }
}

#[cfg(test)]
#[path = "../tests/unit/connection_pacer.rs"]
mod tests;
