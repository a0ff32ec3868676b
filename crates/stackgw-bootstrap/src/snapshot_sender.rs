//! Sends the endpoint list to peers: answers to their polls, and pushes when the list has changed.

use crate::endpoint_cache::{EndpointCache, EndpointDelta};
use crate::message::EndpointSnapshot;
use stackgw_router::api::{Span, Time};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of waiting peers; further ones receive the list when they poll again.
const MAX_WAITING_PEERS: usize = 4_096;
/// Complete lists that may be sent in one poll interval, per instance of the fleet; further peers receive only the version.
const COMPLETE_LISTS_PER_INTERVAL: u64 = 2;
/// Lower bound of the fleet size from which the budget of complete lists is computed.
const MIN_BUDGETED_FLEET: u32 = 8;

/// Limits how many complete lists are sent.
#[derive(Debug, Clone, PartialEq)]
struct CompleteListBudget {
    interval: Span,
    max_per_interval: u64,
    interval_started_at: Time,
    /// Complete lists requested in this interval, including those above the budget.
    requested: u64,
}

impl CompleteListBudget {
    /// Requests to send a complete list. Returns whether the budget permits it.
    fn try_spend(&mut self, now: Time) -> bool {
        if now - self.interval_started_at >= self.interval {
            self.interval_started_at = now;
            self.requested = 0;
        }
        self.requested += 1;
        self.requested <= self.max_per_interval
    }
}

/// Sends the endpoint list to peers.
#[derive(Debug, Clone, PartialEq)]
pub struct SnapshotSender {
    /// Peers that polled before this instance had a confirmed list, and receive the complete list with the next push.
    waiting_peers: BTreeSet<SocketAddr>,
    budget: CompleteListBudget,
}

impl SnapshotSender {
    /// Creates a sender for a fleet of this size, whose instances poll once per `poll_interval`.
    pub fn new(now: Time, fleet_size: u32, poll_interval: Span) -> Self {
        let budget = CompleteListBudget {
            interval: poll_interval,
            max_per_interval: COMPLETE_LISTS_PER_INTERVAL
                * u64::from(fleet_size.max(MIN_BUDGETED_FLEET)),
            interval_started_at: now,
            requested: 0,
        };
        SnapshotSender {
            waiting_peers: BTreeSet::new(),
            budget,
        }
    }

    /// Adds a peer that polled before this instance had a confirmed list to send. Has no effect while
    /// [`MAX_WAITING_PEERS`] peers wait.
    pub fn add_waiting_peer(&mut self, peer: SocketAddr) {
        if self.waiting_peers.len() < MAX_WAITING_PEERS {
            self.waiting_peers.insert(peer);
        }
    }

    /// Returns the answer to a peer's poll: `header` with the changes since `known_revision`, or with the complete list if those
    /// are not known; `header` alone if there is no list, or it is too large, or the budget of complete lists is spent.
    pub fn answer(
        &mut self,
        now: Time,
        header: EndpointSnapshot,
        cache: &EndpointCache,
        known_revision: Option<u64>,
    ) -> Vec<EndpointSnapshot> {
        let has_list = cache.revision().is_some();
        let fragments = if has_list {
            self.fragments_since(now, &header, cache, known_revision)
        } else {
            None
        };
        fragments.unwrap_or_else(|| vec![header])
    }

    /// The changes since a version, or the complete list, in fragments; `None` if they are too large or the budget of complete
    /// lists is spent.
    fn fragments_since(
        &mut self,
        now: Time,
        header: &EndpointSnapshot,
        cache: &EndpointCache,
        known_revision: Option<u64>,
    ) -> Option<Vec<EndpointSnapshot>> {
        let EndpointDelta { base, endpoints } = cache.changes_since(known_revision);
        if base.is_none() && !self.budget.try_spend(now) {
            return None;
        }
        EndpointSnapshot {
            base,
            ..header.clone()
        }
        .into_fragments(endpoints)
    }

    /// Returns the datagrams to send after the list has changed, each with its receiver: the complete list to waiting peers if
    /// the budget permits it, and to the others the changes since `previous_revision` (the complete list, if there was no
    /// previous one), or `header` alone if these need more than one datagram.
    pub fn push(
        &mut self,
        now: Time,
        header: EndpointSnapshot,
        cache: &EndpointCache,
        previous_revision: Option<u64>,
        peers: impl Iterator<Item = SocketAddr>,
    ) -> Vec<(SocketAddr, EndpointSnapshot)> {
        let waiting_peers = std::mem::take(&mut self.waiting_peers);
        let recipients: BTreeSet<_> = peers.chain(waiting_peers.iter().copied()).collect();
        let changes = vec![single_datagram_since(&header, cache, previous_revision)];
        let complete = if waiting_peers.is_empty() {
            None
        } else {
            self.fragments_since(now, &header, cache, None)
        };
        let mut sent = Vec::new();
        for peer in recipients {
            let complete = complete.as_ref().filter(|_| waiting_peers.contains(&peer));
            let datagrams = complete.unwrap_or(&changes);
            sent.extend(datagrams.iter().map(|datagram| (peer, datagram.clone())));
        }
        sent
    }
}

/// The changes since a version, or the complete list; `header` alone if they need more than one datagram.
fn single_datagram_since(
    header: &EndpointSnapshot,
    cache: &EndpointCache,
    previous_revision: Option<u64>,
) -> EndpointSnapshot {
    let EndpointDelta { base, endpoints } = cache.changes_since(previous_revision);
    let fragments = EndpointSnapshot {
        base,
        ..header.clone()
    }
    .into_fragments(endpoints)
    .unwrap_or_default();
    match <[EndpointSnapshot; 1]>::try_from(fragments) {
        Ok([snapshot]) => snapshot,
        Err(_) => header.clone(),
    }
}
