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
const MAX_UNANSWERED_POLLS: u32 = 3;
/// Holders at least: with three, one may be killed while another is stopped or cut off.
pub const MIN_WATCH_LEADERS: u32 = 3;
/// Instances that one holder answers; more of them want more holders.
const FOLLOWERS_PER_LEADER: u32 = 250;

/// Everyone that may hold the watch, as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WatchLeaders {
    local_address: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    live_peers: BTreeSet<SocketAddr>,
    /// All that may hold the watch, first those that should.
    succession: Vec<SocketAddr>,
    /// Asks in a row without an answer, and the last one.
    unanswered: BTreeMap<SocketAddr, (u32, Time)>,
    leader_count: u32,
}

fn rank(address: &SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

impl WatchLeaders {
    /// Seen from an instance of a fleet of about this size.
    pub fn new(
        local_address: SocketAddr,
        seeds: impl IntoIterator<Item = SocketAddr>,
        fleet: u32,
        least: u32,
    ) -> Self {
        let mut leaders = WatchLeaders {
            local_address,
            seeds: seeds.into_iter().collect(),
            live_peers: BTreeSet::new(),
            succession: Vec::new(),
            unanswered: BTreeMap::new(),
            leader_count: least.max(fleet.div_ceil(FOLLOWERS_PER_LEADER)),
        };
        leaders.rebuild_succession();
        leaders
    }

    /// How many hold the watch.
    pub fn leader_count(&self) -> u32 {
        self.leader_count
    }

    /// Who is there, by the membership.
    pub fn update_membership(&mut self, live_peers: BTreeSet<SocketAddr>) {
        let seeds = &self.seeds;
        self.unanswered
            .retain(|address, _| live_peers.contains(address) || seeds.contains(address));
        self.live_peers = live_peers;
        self.rebuild_succession();
    }

    /// Other seeds from now on.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = seeds.into_iter().collect();
        self.rebuild_succession();
    }

    /// Everyone else that is there.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.live_peers
            .union(&self.seeds)
            .copied()
            .filter(|address| *address != self.local_address)
    }

    /// Whether an instance goes unanswered.
    fn is_unresponsive(&self, address: &SocketAddr) -> bool {
        self.unanswered
            .get(address)
            .is_some_and(|(count, _)| *count >= MAX_UNANSWERED_POLLS)
    }

    fn rebuild_succession(&mut self) {
        let mut succession: Vec<_> = self.live_peers.union(&self.seeds).copied().collect();
        if !succession.contains(&self.local_address) {
            succession.push(self.local_address);
        }
        succession
            .sort_by_cached_key(|address| (!self.seeds.contains(address), rank(address), *address));
        self.succession = succession;
    }

    fn leaders(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let here = self
            .succession
            .iter()
            .filter(|address| !self.is_unresponsive(address));
        here.take(self.leader_count as usize).copied()
    }

    /// Those that should hold the watch now.
    pub fn leader_addresses(&self) -> Vec<SocketAddr> {
        self.leaders().collect()
    }

    /// Whether this instance should.
    pub fn is_leader(&self) -> bool {
        self.leaders().any(|address| address == self.local_address)
    }

    /// Whether this instance is one that is always looked for.
    pub fn is_seed(&self) -> bool {
        self.seeds.contains(&self.local_address)
    }

    /// A holder has not answered yet. Once as many asks as [`MAX_UNANSWERED_POLLS`] are out, the next in the order takes its place.
    pub fn has_unanswered_leader(&self) -> bool {
        self.leaders()
            .any(|address| self.unanswered.contains_key(&address))
    }

    /// Whom to ask: a holder, in turn; beside it the next in the order until there are `width`, for when holders are lost by
    /// the dozen; and the lost one that was asked longest ago, so that one that is back is found.
    pub fn select_poll_targets(
        &self,
        now: Time,
        turn: u32,
        width: usize,
        again: Span,
    ) -> Vec<SocketAddr> {
        let there = self
            .succession
            .iter()
            .filter(|address| **address != self.local_address && !self.is_unresponsive(address));
        let mut others: Vec<_> = there.copied().collect();
        let holders = self
            .leaders()
            .filter(|address| *address != self.local_address)
            .count();
        let mut asked = Vec::new();
        if holders > 0 {
            // Everybody begins elsewhere.
            let next = (rank(&self.local_address) as usize % holders + turn as usize) % holders;
            asked.push(others.remove(next));
            asked.extend(others.into_iter().take(width.saturating_sub(1)));
        }
        // Those behind the last holder would not hold the watch, were they back.
        let last = self.leaders().last();
        let before = self
            .succession
            .iter()
            .take_while(|address| Some(**address) != last);
        let lost = before.filter_map(|address| {
            let (_, at) = self
                .unanswered
                .get(address)
                .filter(|_| self.is_unresponsive(address))?;
            (now - at >= again).then_some((*at, *address))
        });
        asked.extend(lost.min().map(|(_, address)| address));
        asked
    }

    /// One was asked.
    pub fn record_poll(&mut self, now: Time, address: SocketAddr) {
        let (count, last) = self.unanswered.entry(address).or_insert((0, now));
        (*count, *last) = (count.saturating_add(1), now);
    }

    /// Word came from one.
    pub fn record_answer(&mut self, address: SocketAddr) {
        self.unanswered.remove(&address);
    }
}
