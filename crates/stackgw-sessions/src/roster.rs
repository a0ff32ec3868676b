//! Who keeps marks, and which keepers hold a session's.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// An instance, by a hash of its name: the same after a restart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl NodeId {
    /// The instance of this name.
    pub fn of(name: &str) -> Self {
        NodeId(xxh3_64(name.as_bytes()))
    }
}

impl fmt::Debug for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "n{:x}", self.0)
    }
}

/// One life of an instance. Danger: a name must not run twice at once, see `docs/operate/sessions.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Which instance.
    pub node: NodeId,
    /// Its incarnation: higher at each start.
    pub incarnation: u64,
}

/// A session in its group, by a hash of both. Two sessions under one key see each other's marks: each then reads no older
/// data than it must, so a collision costs a little and breaks nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionKey(pub u64);

impl SessionKey {
    /// The key of a session in a group.
    pub fn of(group: u32, session: &str) -> Self {
        SessionKey(xxh3_64_with_seed(session.as_bytes(), u64::from(group)))
    }
}

/// The keepers, as the operator's file names them. All of them must have the same one for any to be sure.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct ReplicaSet {
    keepers: Vec<NodeId>,
    homes: usize,
    digest: u64,
}

impl ReplicaSet {
    /// These keepers, so many of which hold each session's marks. `terms` are the times that all must share.
    pub fn new(keepers: impl IntoIterator<Item = NodeId>, homes: usize, terms: &[i64]) -> Self {
        let mut keepers: Vec<_> = keepers.into_iter().collect();
        keepers.sort_unstable();
        keepers.dedup();
        let homes = homes.clamp(1, keepers.len().max(1));
        let words = keepers
            .iter()
            .map(|k| k.0)
            .chain([homes as u64])
            .chain(terms.iter().map(|t| *t as u64));
        let bytes: Vec<u8> = words.flat_map(u64::to_le_bytes).collect();
        ReplicaSet {
            homes,
            digest: xxh3_64(&bytes),
            keepers,
        }
    }

    /// Tells one roster, its homes and its times from any other.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// All keepers, in the order of their ids.
    pub fn replicas(&self) -> &[NodeId] {
        &self.keepers
    }

    /// Whether this instance is a keeper.
    pub fn contains(&self, node: NodeId) -> bool {
        self.keepers.binary_search(&node).is_ok()
    }

    /// The homes of a session, first of all the one to ask. By rendezvous hashing: when a keeper joins or leaves, only those
    /// sessions move that it takes or had.
    pub fn owners(&self, key: SessionKey) -> impl Iterator<Item = NodeId> {
        let score = |node: &NodeId| xxh3_64_with_seed(&key.0.to_le_bytes(), node.0);
        let mut best: Vec<(u64, NodeId)> = Vec::with_capacity(self.homes + 1);
        for node in &self.keepers {
            let entry = (score(node), *node);
            let at = best.partition_point(|have| *have > entry);
            if at < self.homes {
                best.insert(at, entry);
                best.truncate(self.homes);
            }
        }
        best.into_iter().map(|(_, node)| node)
    }

    /// Whether this keeper is one of a session's homes.
    pub fn is_owner(&self, key: SessionKey, node: NodeId) -> bool {
        self.owners(key).any(|home| home == node)
    }
}
