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
pub struct Dealt {
    /// This instance's number.
    pub number: u32,
    /// How many there are.
    pub fleet: u32,
    /// New connections a second that a member which has just started bears from all of them.
    pub opens: f64,
    /// Share of its capacity that it has then ...
    pub cold_share: f64,
    /// ... from which it grows evenly to all of it in this time.
    pub warm_within: Span,
}

/// Each handshake in a row that did not come up in time doubles the wait for the next turn, so often at most.
const DOUBLED_MOST: u32 = 4;

/// One member that may be cold.
#[derive(Debug, Clone, PartialEq)]
struct Lane {
    group: GroupId,
    name: u64,
    /// As the list has it; `None`: nobody knows, and `from` is taken for it.
    started: Option<Time>,
    /// When it started, for all that is known.
    from: Time,
    /// This instance's next turn, and handshakes in a row that came to nothing.
    next: Time,
    failed: u32,
    /// When it was listed, until a connection is opened.
    unopened: Option<Time>,
}

/// See the module.
#[derive(Debug, Clone, PartialEq)]
pub struct Deal {
    set: Dealt,
    rng: Pcg64Mcg,
    lanes: BTreeMap<MemberId, Lane>,
    waited: u64,
}

impl Deal {
    /// Deals of an instance that knows no member yet.
    pub fn new(set: Dealt, seed: u64) -> Self {
        Deal { set, rng: Pcg64Mcg::seed_from_u64(seed ^ 0xdea1), lanes: BTreeMap::new(), waited: 0 }
    }

    /// New connections a second that a member of this age bears.
    fn bears(&self, age: Span) -> f64 {
        let warmth = (age as f64 / self.set.warm_within.max(1) as f64).clamp(0.0, 1.0);
        let most = 1.0 / self.set.cold_share.clamp(0.01, 1.0);
        self.set.opens.max(0.01) * (1.0 + (most - 1.0) * warmth)
    }

    /// When a member that was of some age at `at` has borne so many connections since.
    fn borne(&self, at: Time, age: Span, count: f64) -> Time {
        // While it warms up what it bears grows evenly: with a rate r and a growth g, count = r t + g t t / 2.
        let (rate, warm) = (self.bears(age), (self.set.warm_within - age).max(0) as f64 / SECOND as f64);
        let growth = if warm > 0.0 { (self.bears(self.set.warm_within) - rate) / warm } else { 0.0 };
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
    pub fn listed(
        &mut self,
        now: Time,
        member: MemberId,
        name: &str,
        group: GroupId,
        started: Option<Option<Time>>,
    ) {
        let Some(started) = started else { return self.forget(member) };
        let known = self.lanes.get(&member);
        if known.is_some_and(|lane| lane.started == started) {
            return;
        }
        let from = started.unwrap_or(now).min(now);
        let name = xxh3_64(name.as_bytes());
        let lane = Lane { group, name, started, from, next: now, failed: 0, unopened: Some(now) };
        self.lanes.insert(member, lane);
    }

    /// The list has been gone through: gives each member that was listed in this moment its place in its group's row.
    pub fn arrange(&mut self, now: Time) {
        let mut rows: BTreeMap<GroupId, Vec<_>> = BTreeMap::new();
        for (id, lane) in &self.lanes {
            rows.entry(lane.group).or_default().push((lane.name, *id, lane.from, lane.unopened));
        }
        rows.retain(|_, row| row.iter().any(|(_, _, _, unopened)| *unopened == Some(now)));
        let fleet = f64::from(self.set.fleet.max(1));
        let mine = (f64::from(self.set.number) + self.rng.random::<f64>()) / fleet;
        for mut row in rows.into_values() {
            row.sort_unstable();
            let count = row.len() as f64;
            for (rank, (_, id, from, unopened)) in row.into_iter().enumerate() {
                if unopened == Some(now) {
                    let place = (mine + rank as f64 / count).fract();
                    let next = self.borne(now, now - from, place * fleet);
                    self.lanes.entry(id).and_modify(|lane| lane.next = next);
                }
            }
        }
    }

    /// Members that are dealt.
    pub fn members(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.lanes.keys().copied()
    }

    /// From when on this instance may open a connection to a member; `None`: whenever it likes.
    pub fn from(&self, now: Time, member: MemberId) -> Option<Time> {
        let lane = self.lanes.get(&member)?;
        (now - lane.from < self.set.warm_within).then_some(lane.next)
    }

    /// A connection is opened: the next one is for a later turn.
    pub fn opens(&mut self, now: Time, member: MemberId) {
        let Some(lane) = self.lanes.get(&member) else { return };
        let turns = f64::from(1u32 << lane.failed.min(DOUBLED_MOST)) * (0.5 + self.rng.random::<f64>());
        let next = self.borne(now, now - lane.from, turns * f64::from(self.set.fleet.max(1)));
        self.lanes.entry(member).and_modify(|lane| (lane.next, lane.unopened) = (next, None));
    }

    /// A connection did not come up in time, or was turned away.
    pub fn failed(&mut self, now: Time, member: MemberId) {
        if let Some(lane) = self.lanes.get_mut(&member) {
            lane.failed = lane.failed.saturating_add(1);
            self.opens(now, member);
        }
    }

    /// A connection came up.
    pub fn came_up(&mut self, member: MemberId) {
        self.lanes.entry(member).and_modify(|lane| lane.failed = 0);
    }

    /// Somebody would have opened a connection whose turn had not come.
    pub fn waits(&mut self) {
        self.waited += 1;
    }

    /// How often that was.
    pub fn waited(&self) -> u64 {
        self.waited
    }

    /// Drops a member.
    pub fn forget(&mut self, member: MemberId) {
        self.lanes.remove(&member);
    }
}

#[cfg(test)]
#[path = "../tests/unit/deal.rs"]
mod tests;
