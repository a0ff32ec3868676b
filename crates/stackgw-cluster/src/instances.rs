//! The instances that are or were up, each in its latest incarnation.

use crate::identity::Identity;
use stackgw_router::api::{Span, Time, SECOND};
use stackgw_sessions::{NodeId, Peer};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of instances in the table, including those that are down.
const MAX_INSTANCES: usize = 4_096;
/// An instance that has been down this long is removed from the table, unless it is a seed.
const DOWN_RETENTION: Span = 600 * SECOND;

/// An instance that is or was up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceStatus {
    /// The instance's latest incarnation and its address.
    pub identity: Identity,
    /// Whether the instance seems to be up.
    pub up: bool,
    /// When this status was last observed.
    pub since: Time,
}

/// The result of observing the status of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Observation {
    /// The instance came up, went down, or has another incarnation.
    Changed,
    /// A later incarnation of the local instance is or was up.
    Superseded,
    /// Nothing that matters has changed, or the status was not stored: it is of an earlier
    /// incarnation or of an unknown node, or the table is full.
    Ignored,
}

/// The table of instances, as the local one sees it. It does not include the local instance.
#[derive(Debug)]
pub(crate) struct Instances {
    local: Peer,
    by_node: BTreeMap<NodeId, InstanceStatus>,
    epoch: u64,
}

impl Instances {
    /// Creates an empty table; `local` is the instance that keeps it.
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

    /// Returns a number that increases with each change of the instances that are up.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Updates the status of an instance.
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

    /// Removes instances that have been down for [`DOWN_RETENTION`].
    pub(crate) fn prune(&mut self, now: Time, seeds: &[SocketAddr]) {
        self.by_node.retain(|_, status| {
            status.up
                || now - status.since < DOWN_RETENTION
                || seeds.contains(&status.identity.address)
        });
    }
}
