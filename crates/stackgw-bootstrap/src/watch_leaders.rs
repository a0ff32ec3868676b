//! Who holds the watch: a few instances ask the list service, the others are told by them.
//!
//! Everybody works out the same order: the seeds first, which even a fleet knows that has just started all at once and has
//! met nobody yet, then whoever is up, each part by rendezvous hashing of addresses. Those that have not answered here lately
//! are left out, so that the next one takes a lost holder's place. Two instances may see different holders for a while; then
//! the service has a watch or two more, and nothing else is lost.

use stackgw_router::api::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Asks that went unanswered in a row before an instance is left out.
const UNANSWERED: u32 = 3;
/// Holders at least: with three, one may be killed while another is stopped or cut off.
pub const MIN_WATCH_LEADERS: u32 = 3;
/// Instances that one holder answers; more of them want more holders.
const EACH_ANSWERS: u32 = 250;

/// Everyone that may hold the watch, as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WatchLeaders {
    me: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    up: BTreeSet<SocketAddr>,
    /// All that may hold the watch, first those that should.
    order: Vec<SocketAddr>,
    /// Asks in a row without an answer, and the last one.
    unanswered: BTreeMap<SocketAddr, (u32, Time)>,
    holders: u32,
}

fn rank(address: &SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

impl WatchLeaders {
    /// Seen from an instance of a fleet of about this size.
    pub fn new(
        me: SocketAddr,
        seeds: impl IntoIterator<Item = SocketAddr>,
        fleet: u32,
        least: u32,
    ) -> Self {
        let mut circle = WatchLeaders {
            me,
            seeds: seeds.into_iter().collect(),
            up: BTreeSet::new(),
            order: Vec::new(),
            unanswered: BTreeMap::new(),
            holders: least.max(fleet.div_ceil(EACH_ANSWERS)),
        };
        circle.arrange();
        circle
    }

    /// How many hold the watch.
    pub fn holders(&self) -> u32 {
        self.holders
    }

    /// Who is there, by the membership.
    pub fn update_membership(&mut self, up: BTreeSet<SocketAddr>) {
        let seeds = &self.seeds;
        self.unanswered
            .retain(|address, _| up.contains(address) || seeds.contains(address));
        self.up = up;
        self.arrange();
    }

    /// Other seeds from now on.
    pub fn reload(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = seeds.into_iter().collect();
        self.arrange();
    }

    /// Everyone else that is there.
    pub fn others(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.up
            .union(&self.seeds)
            .copied()
            .filter(|address| *address != self.me)
    }

    /// Whether an instance goes unanswered.
    fn lost(&self, address: &SocketAddr) -> bool {
        self.unanswered
            .get(address)
            .is_some_and(|(count, _)| *count >= UNANSWERED)
    }

    fn arrange(&mut self) {
        let mut order: Vec<_> = self.up.union(&self.seeds).copied().collect();
        if !order.contains(&self.me) {
            order.push(self.me);
        }
        order
            .sort_by_cached_key(|address| (!self.seeds.contains(address), rank(address), *address));
        self.order = order;
    }

    fn here(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let here = self.order.iter().filter(|address| !self.lost(address));
        here.take(self.holders as usize).copied()
    }

    /// Those that should hold the watch now.
    pub fn chosen(&self) -> Vec<SocketAddr> {
        self.here().collect()
    }

    /// Whether this instance should.
    pub fn holds(&self) -> bool {
        self.here().any(|address| address == self.me)
    }

    /// Whether this instance is one that is always looked for.
    pub fn is_seed(&self) -> bool {
        self.seeds.contains(&self.me)
    }

    /// A holder has not answered yet. Once as many asks as [`UNANSWERED`] are out, the next in the order takes its place.
    pub fn doubts(&self) -> bool {
        self.here()
            .any(|address| self.unanswered.contains_key(&address))
    }

    /// Whom to ask: a holder, in turn; beside it the next in the order until there are `width`, for when holders are lost by
    /// the dozen; and the lost one that was asked longest ago, so that one that is back is found.
    pub fn asked(&self, now: Time, turn: u32, width: usize, again: Span) -> Vec<SocketAddr> {
        let there = self
            .order
            .iter()
            .filter(|address| **address != self.me && !self.lost(address));
        let mut others: Vec<_> = there.copied().collect();
        let holders = self.here().filter(|address| *address != self.me).count();
        let mut asked = Vec::new();
        if holders > 0 {
            // Everybody begins elsewhere.
            let next = (rank(&self.me) as usize % holders + turn as usize) % holders;
            asked.push(others.remove(next));
            asked.extend(others.into_iter().take(width.saturating_sub(1)));
        }
        // Those behind the last holder would not hold the watch, were they back.
        let last = self.here().last();
        let before = self
            .order
            .iter()
            .take_while(|address| Some(**address) != last);
        let lost = before.filter_map(|address| {
            let (_, at) = self
                .unanswered
                .get(address)
                .filter(|_| self.lost(address))?;
            (now - at >= again).then_some((*at, *address))
        });
        asked.extend(lost.min().map(|(_, address)| address));
        asked
    }

    /// One was asked.
    pub fn asks(&mut self, now: Time, address: SocketAddr) {
        let (count, last) = self.unanswered.entry(address).or_insert((0, now));
        (*count, *last) = (count.saturating_add(1), now);
    }

    /// Word came from one.
    pub fn heard(&mut self, address: SocketAddr) {
        self.unanswered.remove(&address);
    }
}
