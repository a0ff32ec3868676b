//! Which instances watch the list service for the fleet; the others poll them.
//!
//! Every instance computes the same order of succession: the seeds first, which even a fleet knows that has just started all
//! at once and has met nobody yet, then whoever is live, each part by rendezvous hashing of addresses. Instances that have not
//! answered here lately are left out, so that the next in the order takes the place of a lost leader. Two instances may see
//! different leaders for a while; then the service has a watch or two more, and nothing else is lost.

use stackgw_router::api::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Polls in a row without an answer after which an instance is left out.
const MAX_UNANSWERED_POLLS: u32 = 3;
/// Leaders at least: with three, one may be killed while another is stopped or cut off.
pub const MIN_WATCH_LEADERS: u32 = 3;
/// Instances that one leader answers; a larger fleet has more leaders.
const FOLLOWERS_PER_LEADER: u32 = 250;

/// Polls of one instance since its last answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct UnansweredPolls {
    count: u32,
    last_at: Time,
}

/// Which polls are wanted in one round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollRound {
    /// Selects the leader that is polled; rises from round to round.
    pub rotation: u32,
    /// Instances to be polled beside each other.
    pub width: usize,
    /// An instance that went unanswered is polled again after this.
    pub retry_interval: Span,
}

/// The instances that may watch the list service, as one instance sees them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WatchLeaders {
    local_address: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    live_peers: BTreeSet<SocketAddr>,
    /// Seeds and live instances, first those that should watch.
    succession: Vec<SocketAddr>,
    unanswered: BTreeMap<SocketAddr, UnansweredPolls>,
    leader_count: u32,
}

fn rank(address: &SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

impl WatchLeaders {
    /// The view of the instance at `local_address` in a fleet of about `fleet_size`.
    pub fn new(
        local_address: SocketAddr,
        seeds: impl IntoIterator<Item = SocketAddr>,
        fleet_size: u32,
        min_leaders: u32,
    ) -> Self {
        let mut leaders = WatchLeaders {
            local_address,
            seeds: seeds.into_iter().collect(),
            live_peers: BTreeSet::new(),
            succession: Vec::new(),
            unanswered: BTreeMap::new(),
            leader_count: min_leaders.max(fleet_size.div_ceil(FOLLOWERS_PER_LEADER)),
        };
        leaders.rebuild_succession();
        leaders
    }

    /// How many instances watch the service.
    pub fn leader_count(&self) -> u32 {
        self.leader_count
    }

    /// Takes over which peers are live by the cluster's membership.
    pub fn update_membership(&mut self, live_peers: BTreeSet<SocketAddr>) {
        let seeds = &self.seeds;
        self.unanswered
            .retain(|address, _| live_peers.contains(address) || seeds.contains(address));
        self.live_peers = live_peers;
        self.rebuild_succession();
    }

    /// Takes over other seeds.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = seeds.into_iter().collect();
        self.rebuild_succession();
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

    /// All seeds and live peers but this instance.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let known = self.live_peers.union(&self.seeds).copied();
        known.filter(|address| *address != self.local_address)
    }

    fn is_unresponsive(&self, address: &SocketAddr) -> bool {
        self.unanswered
            .get(address)
            .is_some_and(|polls| polls.count >= MAX_UNANSWERED_POLLS)
    }

    /// The instances that should watch the service now, the first in the succession first.
    pub fn leaders(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let responsive = self
            .succession
            .iter()
            .filter(|address| !self.is_unresponsive(address));
        responsive.take(self.leader_count as usize).copied()
    }

    /// Whether this instance should watch the service.
    pub fn is_leader(&self) -> bool {
        self.leaders().any(|address| address == self.local_address)
    }

    /// Whether this instance is a seed.
    pub fn is_seed(&self) -> bool {
        self.seeds.contains(&self.local_address)
    }

    /// Whether a leader owes an answer. After [`MAX_UNANSWERED_POLLS`] the next in the succession takes its place.
    pub fn has_unanswered_leader(&self) -> bool {
        self.leaders()
            .any(|address| self.unanswered.contains_key(&address))
    }

    /// The instances to poll in one round: a leader, by rotation; beside it the next in the succession until there are
    /// `width`, for when leaders are lost by the dozen; and the unresponsive one that was polled longest ago, so that one that
    /// has come back is found.
    pub fn select_poll_targets(&self, now: Time, round: PollRound) -> Vec<SocketAddr> {
        let mut targets = self.select_responsive(round);
        targets.extend(self.select_unresponsive(now, round.retry_interval));
        targets
    }

    fn select_responsive(&self, round: PollRound) -> Vec<SocketAddr> {
        let is_candidate = |address: &&SocketAddr| {
            **address != self.local_address && !self.is_unresponsive(address)
        };
        let mut candidates: Vec<_> = self
            .succession
            .iter()
            .filter(is_candidate)
            .copied()
            .collect();
        let leaders = self
            .leaders()
            .filter(|address| *address != self.local_address)
            .count();
        if leaders == 0 {
            return Vec::new();
        }
        // Each instance begins with another leader.
        let offset = rank(&self.local_address) as usize % leaders;
        let leader = candidates.remove((offset + round.rotation as usize) % leaders);
        let others = candidates.into_iter().take(round.width.saturating_sub(1));
        std::iter::once(leader).chain(others).collect()
    }

    fn select_unresponsive(&self, now: Time, retry_interval: Span) -> Option<SocketAddr> {
        // Instances behind the last leader would not lead if they came back.
        let last_leader = self.leaders().last();
        let before_last = self
            .succession
            .iter()
            .take_while(|address| Some(**address) != last_leader);
        let due = before_last.filter_map(|address| {
            let polls = self
                .unanswered
                .get(address)
                .filter(|_| self.is_unresponsive(address))?;
            (now - polls.last_at >= retry_interval).then_some((polls.last_at, *address))
        });
        due.min().map(|(_, address)| address)
    }

    /// A poll was sent to an instance.
    pub fn record_poll(&mut self, now: Time, address: SocketAddr) {
        let polls = self.unanswered.entry(address).or_insert(UnansweredPolls {
            count: 0,
            last_at: now,
        });
        polls.count = polls.count.saturating_add(1);
        polls.last_at = now;
    }

    /// An instance has sent something.
    pub fn record_answer(&mut self, address: SocketAddr) {
        self.unanswered.remove(&address);
    }
}
