//! Connections to members that are cold, dealt out over the fleet: which instance may open one when.
//!
//! A handshake costs a member as much as several requests, and hundreds of instances that start together, or that lose a member
//! together, all want one at once: the member then does nothing but shake hands, and one that is cold falls over. What a member
//! bears of new connections from all instances together grows with its warmth; an instance's place in that is its number,
//! moved by chance within its own part. Each member begins elsewhere in the row, so that everybody has its first connection to
//! some member early, and each member is asked evenly from the first moment on.
//!
//! A member that is warm is not dealt: whoever has work for it connects.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stackgw_router::api::{GroupId, MemberId, Span, Time, SECOND};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// What deals go by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PacerConfig {
    /// This instance's number.
    pub instance_number: u32,
    /// How many there are.
    pub fleet_size: u32,
    /// New connections a second that a member which has just started bears from all of them.
    pub connection_rate: f64,
    /// Share of its capacity that it has then ...
    pub cold_capacity_share: f64,
    /// ... from which it grows evenly to all of it in this time.
    pub warm_up_time: Span,
}

/// Each handshake in a row that did not come up in time doubles the wait for the next turn, so often at most.
const MAX_DOUBLINGS: u32 = 4;

/// One member that may be cold.
#[derive(Debug, Clone, PartialEq)]
struct MemberPacing {
    group: GroupId,
    name_hash: u64,
    /// As the list has it; `None`: nobody knows, and `from` is taken for it.
    started: Option<Time>,
    /// When it started, for all that is known.
    assumed_start: Time,
    /// This instance's next turn, and handshakes in a row that came to nothing.
    next_connection_at: Time,
    failures: u32,
    /// When it was listed, until a connection is opened.
    listed_at: Option<Time>,
}

/// See the module.
#[derive(Debug, Clone, PartialEq)]
pub struct ConnectionPacer {
    config: PacerConfig,
    rng: Pcg64Mcg,
    members: BTreeMap<MemberId, MemberPacing>,
    deferrals: u64,
}

impl ConnectionPacer {
    /// Deals of an instance that knows no member yet.
    pub fn new(config: PacerConfig, seed: u64) -> Self {
        ConnectionPacer {
            config,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0xdea1),
            members: BTreeMap::new(),
            deferrals: 0,
        }
    }

    /// New connections a second that a member of this age bears.
    fn rate_at_age(&self, age: Span) -> f64 {
        let warmth = (age as f64 / self.config.warm_up_time.max(1) as f64).clamp(0.0, 1.0);
        let most = 1.0 / self.config.cold_capacity_share.clamp(0.01, 1.0);
        self.config.connection_rate.max(0.01) * (1.0 + (most - 1.0) * warmth)
    }

    /// When a member that was of some age at `at` has borne so many connections since.
    fn time_of_connection(&self, at: Time, age: Span, count: f64) -> Time {
        // While it warms up what it bears grows evenly: with a rate r and a growth g, count = r t + g t t / 2.
        let (rate, warm) = (
            self.rate_at_age(age),
            (self.config.warm_up_time - age).max(0) as f64 / SECOND as f64,
        );
        let growth = if warm > 0.0 {
            (self.rate_at_age(self.config.warm_up_time) - rate) / warm
        } else {
            0.0
        };
        let within = rate * warm + growth * warm * warm / 2.0;
        let seconds = if count <= within && growth > 0.0 {
            ((rate * rate + 2.0 * growth * count).sqrt() - rate) / growth
        } else {
            warm + (count - within).max(0.0) / (rate + growth * warm)
        };
        at + (seconds * SECOND as f64) as Span
    }

    /// A member as the list has it now. `started`: when its process started, where that is recent or (`None` within) unknown;
    /// `None`: it has been up for long.
    pub fn update_member(
        &mut self,
        now: Time,
        member: MemberId,
        name: &str,
        group: GroupId,
        started: Option<Option<Time>>,
    ) {
        let Some(started) = started else {
            return self.remove_member(member);
        };
        let known = self.members.get(&member);
        if known.is_some_and(|pacing| pacing.started == started) {
            return;
        }
        let from = started.unwrap_or(now).min(now);
        let name = xxh3_64(name.as_bytes());
        let pacing = MemberPacing {
            group,
            name_hash: name,
            started,
            assumed_start: from,
            next_connection_at: now,
            failures: 0,
            listed_at: Some(now),
        };
        self.members.insert(member, pacing);
    }

    /// The list has been gone through: gives each member that was listed in this moment its place in its group's row.
    pub fn schedule_new_members(&mut self, now: Time) {
        let mut rows: BTreeMap<GroupId, Vec<_>> = BTreeMap::new();
        for (id, pacing) in &self.members {
            rows.entry(pacing.group).or_default().push((
                pacing.name_hash,
                *id,
                pacing.assumed_start,
                pacing.listed_at,
            ));
        }
        rows.retain(|_, row| row.iter().any(|(_, _, _, unopened)| *unopened == Some(now)));
        let fleet = f64::from(self.config.fleet_size.max(1));
        let mine = (f64::from(self.config.instance_number) + self.rng.random::<f64>()) / fleet;
        for mut row in rows.into_values() {
            row.sort_unstable();
            let count = row.len() as f64;
            for (rank, (_, id, from, unopened)) in row.into_iter().enumerate() {
                if unopened == Some(now) {
                    let place = (mine + rank as f64 / count).fract();
                    let next = self.time_of_connection(now, now - from, place * fleet);
                    self.members
                        .entry(id)
                        .and_modify(|pacing| pacing.next_connection_at = next);
                }
            }
        }
    }

    /// Members that are dealt.
    pub fn paced_members(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.keys().copied()
    }

    /// From when on this instance may open a connection to a member; `None`: whenever it likes.
    pub fn next_connection_at(&self, now: Time, member: MemberId) -> Option<Time> {
        let pacing = self.members.get(&member)?;
        (now - pacing.assumed_start < self.config.warm_up_time).then_some(pacing.next_connection_at)
    }

    /// A connection is opened: the next one is for a later turn.
    pub fn record_attempt(&mut self, now: Time, member: MemberId) {
        let Some(pacing) = self.members.get(&member) else {
            return;
        };
        let turns = f64::from(1u32 << pacing.failures.min(MAX_DOUBLINGS))
            * (0.5 + self.rng.random::<f64>());
        let next = self.time_of_connection(
            now,
            now - pacing.assumed_start,
            turns * f64::from(self.config.fleet_size.max(1)),
        );
        self.members
            .entry(member)
            .and_modify(|pacing| (pacing.next_connection_at, pacing.listed_at) = (next, None));
    }

    /// A connection did not come up in time, or was turned away.
    pub fn record_failure(&mut self, now: Time, member: MemberId) {
        if let Some(pacing) = self.members.get_mut(&member) {
            pacing.failures = pacing.failures.saturating_add(1);
            self.record_attempt(now, member);
        }
    }

    /// A connection came up.
    pub fn record_success(&mut self, member: MemberId) {
        self.members
            .entry(member)
            .and_modify(|pacing| pacing.failures = 0);
    }

    /// Somebody would have opened a connection whose turn had not come.
    pub fn record_deferral(&mut self) {
        self.deferrals += 1;
    }

    /// How often that was.
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
