//! Election of the watch leaders: the instances that watch the list service for the fleet. The others poll them.
//!
//! Every instance computes the same order of succession: first the seeds, which are known even to a fleet that has just
//! started as a whole and has no membership yet, then the live peers, each part ordered by rendezvous hashing of addresses.
//! Instances that have recently left polls unanswered are skipped, so that the next in the order replaces a lost leader. Two
//! instances may see different leaders for a while; the only effect is one or two additional watches at the service.

use stackgw_router::api::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Consecutive polls without an answer after which an instance is unresponsive and skipped in the succession.
const MAX_UNANSWERED_POLLS: u32 = 3;
/// Minimum number of leaders: with three, one may be killed while another is stopped or partitioned.
pub const MIN_WATCH_LEADERS: u32 = 3;
/// Maximum number of instances that one leader answers; a larger fleet has more leaders.
const FOLLOWERS_PER_LEADER: u32 = 250;

/// Polls sent to one instance since its last answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct UnansweredPolls {
    count: u32,
    last_at: Time,
}

/// Parameters of one round of polls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollRound {
    /// Selects the leader that is polled; increases from round to round.
    pub rotation: u32,
    /// Number of responsive instances to poll at once.
    pub width: usize,
    /// An unresponsive instance is polled again after this.
    pub retry_interval: Span,
}

/// The instances that may watch the list service, as one instance sees them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WatchLeaders {
    local_address: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    live_peers: BTreeSet<SocketAddr>,
    /// Seeds and live instances in order of succession: the first responsive ones are the leaders.
    succession: Vec<SocketAddr>,
    unanswered: BTreeMap<SocketAddr, UnansweredPolls>,
    leader_count: u32,
}

fn rank(address: &SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

impl WatchLeaders {
    /// Creates the view of the instance at `local_address` in a fleet of about `fleet_size` instances.
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

    /// Returns how many instances should watch the service.
    pub fn leader_count(&self) -> u32 {
        self.leader_count
    }

    /// Sets the peers that are live according to the cluster's membership.
    pub fn update_membership(&mut self, live_peers: BTreeSet<SocketAddr>) {
        let seeds = &self.seeds;
        self.unanswered
            .retain(|address, _| live_peers.contains(address) || seeds.contains(address));
        self.live_peers = live_peers;
        self.rebuild_succession();
    }

    /// Replaces the seeds.
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

    /// Returns all seeds and live peers except this instance.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let known = self.live_peers.union(&self.seeds).copied();
        known.filter(|address| *address != self.local_address)
    }

    fn is_unresponsive(&self, address: &SocketAddr) -> bool {
        self.unanswered
            .get(address)
            .is_some_and(|polls| polls.count >= MAX_UNANSWERED_POLLS)
    }

    /// Returns the instances that should watch the service now, in order of succession.
    pub fn leaders(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let responsive = self
            .succession
            .iter()
            .filter(|address| !self.is_unresponsive(address));
        responsive.take(self.leader_count as usize).copied()
    }

    /// Returns whether this instance should watch the service.
    pub fn is_leader(&self) -> bool {
        self.leaders().any(|address| address == self.local_address)
    }

    /// Returns whether this instance is a seed.
    pub fn is_seed(&self) -> bool {
        self.seeds.contains(&self.local_address)
    }

    /// Returns whether a leader has unanswered polls. After [`MAX_UNANSWERED_POLLS`] the next in the succession replaces it.
    pub fn has_unanswered_leader(&self) -> bool {
        self.leaders()
            .any(|address| self.unanswered.contains_key(&address))
    }

    /// Returns the instances to poll in one round: a leader, by rotation; further responsive instances in order of succession
    /// until there are `width`, in case many leaders are lost at once; and, of the unresponsive instances that would be leaders
    /// and were not polled within `retry_interval`, the one that was polled longest ago, to detect that it is back.
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
        // Instances begin with different leaders, which spreads the polls over them.
        let offset = rank(&self.local_address) as usize % leaders;
        let leader = candidates.remove((offset + round.rotation as usize) % leaders);
        let others = candidates.into_iter().take(round.width.saturating_sub(1));
        std::iter::once(leader).chain(others).collect()
    }

    fn select_unresponsive(&self, now: Time, retry_interval: Span) -> Option<SocketAddr> {
        // Instances after the last leader in the succession would not become leaders if they came back.
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

    /// Records a poll sent to an instance.
    pub fn record_poll(&mut self, now: Time, address: SocketAddr) {
        let polls = self.unanswered.entry(address).or_insert(UnansweredPolls {
            count: 0,
            last_at: now,
        });
        polls.count = polls.count.saturating_add(1);
        polls.last_at = now;
    }

    /// Records an answer, or any other snapshot, from an instance.
    pub fn record_answer(&mut self, address: SocketAddr) {
        self.unanswered.remove(&address);
    }
}
