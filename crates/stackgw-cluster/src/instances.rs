//! The instances that are or were up, each in its latest incarnation.

use crate::identity::Identity;
use stackgw_router::api::{Span, Time, SECOND};
use stackgw_sessions::{NodeId, Peer};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of instances that are remembered, those that are down included.
const MAX_INSTANCES: usize = 4_096;
/// An instance that has been down this long is forgotten, unless it is a seed.
const DOWN_RETENTION: Span = 600 * SECOND;

/// An instance that is or was up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Which one.
    pub identity: Identity,
    /// It seems to be up.
    pub up: bool,
    /// Since when that is so.
    pub since: Time,
}

/// What an observation was news of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Observation {
    /// An instance came up or went down, or is another incarnation.
    Changed,
    /// A later incarnation of this very instance is up.
    Superseded,
    /// Nothing.
    Ignored,
}

/// The table of instances, as one of them sees it. It does not hold that one itself.
#[derive(Debug)]
pub(crate) struct Instances {
    local: Peer,
    by_node: BTreeMap<NodeId, InstanceStatus>,
    epoch: u64,
}

impl Instances {
    /// An empty table, kept by this instance.
    pub(crate) fn new(local: Peer) -> Self {
        Instances {
            local,
            by_node: BTreeMap::new(),
            epoch: 0,
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &InstanceStatus> {
        self.by_node.values()
    }

    pub(crate) fn get(&self, node: NodeId) -> Option<&InstanceStatus> {
        self.by_node.get(&node)
    }

    /// Increases with each change of who is up.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Takes in what is known of an instance now.
    pub(crate) fn observe(&mut self, status: InstanceStatus) -> Observation {
        let peer = status.identity.peer;
        if peer.node == self.local.node {
            let superseded = peer.incarnation > self.local.incarnation;
            return if superseded {
                Observation::Superseded
            } else {
                Observation::Ignored
            };
        }
        let known = self.by_node.get(&peer.node);
        let is_outdated =
            known.is_some_and(|known| known.identity.peer.incarnation > peer.incarnation);
        let is_full = known.is_none() && self.by_node.len() >= MAX_INSTANCES;
        if peer.node == Identity::UNKNOWN_NODE || is_full || is_outdated {
            return Observation::Ignored;
        }
        let before = self.by_node.insert(peer.node, status);
        if before.is_some_and(|before| (before.up, before.identity.peer) == (status.up, peer)) {
            return Observation::Ignored;
        }
        self.epoch += 1;
        Observation::Changed
    }

    /// Forgets instances that have been down for long.
    pub(crate) fn prune(&mut self, now: Time, seeds: &[SocketAddr]) {
        self.by_node.retain(|_, status| {
            status.up
                || now - status.since < DOWN_RETENTION
                || seeds.contains(&status.identity.address)
        });
    }
}
