//! The session replicas, and which of them own a session.

use crate::identity::{NodeId, SessionKey};
use stackgw_router::api::Span;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The session replicas listed in the operator's configuration file.
///
/// Leases are granted only between replicas whose sets have the same digest.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct ReplicaSet {
    /// Sorted, without duplicates.
    replicas: Vec<NodeId>,
    owners_per_session: usize,
    digest: u64,
}

impl ReplicaSet {
    /// Creates a set in which each session is owned by `owners_per_session` of the replicas, but by
    /// at least one and at most all of them. `durations` are settings that must be equal on all
    /// replicas; they enter the digest.
    pub fn new(
        replicas: impl IntoIterator<Item = NodeId>,
        owners_per_session: usize,
        durations: &[Span],
    ) -> Self {
        let mut replicas: Vec<_> = replicas.into_iter().collect();
        replicas.sort_unstable();
        replicas.dedup();
        let owners_per_session = owners_per_session.clamp(1, replicas.len().max(1));
        let digest = digest(&replicas, owners_per_session, durations);
        ReplicaSet {
            replicas,
            owners_per_session,
            digest,
        }
    }

    /// Returns a hash of the replicas, the number of owners per session and the durations.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns all replicas, ordered by ID.
    pub fn replicas(&self) -> &[NodeId] {
        &self.replicas
    }

    /// Returns whether the instance `node` is a replica of this set.
    pub fn contains(&self, node: NodeId) -> bool {
        self.replicas.binary_search(&node).is_ok()
    }

    /// Returns the owners of a session, in the order in which they are queried.
    ///
    /// Owners are chosen by rendezvous hashing: when a replica joins or leaves, only the sessions
    /// that it gains or gives up change owners.
    pub fn owners(&self, key: SessionKey) -> impl Iterator<Item = NodeId> {
        let score = |node: &NodeId| xxh3_64_with_seed(&key.0.to_le_bytes(), node.0);
        let mut best: Vec<(u64, NodeId)> = Vec::with_capacity(self.owners_per_session + 1);
        for node in &self.replicas {
            let candidate = (score(node), *node);
            let rank = best.partition_point(|better| *better > candidate);
            if rank < self.owners_per_session {
                best.insert(rank, candidate);
                best.truncate(self.owners_per_session);
            }
        }
        best.into_iter().map(|(_, node)| node)
    }

    /// Returns whether the replica `node` is an owner of a session.
    pub fn is_owner(&self, key: SessionKey, node: NodeId) -> bool {
        self.owners(key).any(|owner| owner == node)
    }
}

fn digest(replicas: &[NodeId], owners_per_session: usize, durations: &[Span]) -> u64 {
    let nodes = replicas.iter().map(|node| node.0);
    let durations = durations.iter().map(|duration| *duration as u64);
    let numbers = nodes.chain([owners_per_session as u64]).chain(durations);
    let bytes: Vec<u8> = numbers.flat_map(u64::to_le_bytes).collect();
    xxh3_64(&bytes)
}
