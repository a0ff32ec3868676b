//! Identifiers shared by all modules of this package: instances, incarnations, sessions, requests.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The host's number for a write or a read.
pub type RequestNumber = u64;

/// An incarnation number that no incarnation has. In a destination, it stands for whichever
/// incarnation is running; as the last known incarnation, it means that none is known yet.
pub const ANY_INCARNATION: u64 = 0;

/// Identifies an instance by a hash of its name. The ID stays the same across restarts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl NodeId {
    /// Returns the ID of the instance with this name.
    pub fn of(name: &str) -> Self {
        NodeId(xxh3_64(name.as_bytes()))
    }
}

impl fmt::Debug for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "n{:x}", self.0)
    }
}

/// One incarnation of an instance.
///
/// NOTE: Two processes that run under the same name at the same time break the guarantee of this
/// package; see `docs/operate/sessions.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The instance.
    pub node: NodeId,
    /// Increases with each start of the instance.
    pub incarnation: u64,
}

impl Peer {
    /// Returns the address of whichever incarnation of this instance is running.
    pub fn any_incarnation(node: NodeId) -> Self {
        Peer {
            node,
            incarnation: ANY_INCARNATION,
        }
    }
}

/// How the incarnation or the store version that a peer reports compares with the one known before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// At least as recent as the one known before.
    Current,
    /// Older than the one known before.
    Outdated,
}

/// Identifies a session within its group by a hash of both.
///
/// Sessions whose keys collide share their positions. Their reads may then require newer data than
/// necessary, so a collision costs some performance but never correctness.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionKey(pub u64);

impl SessionKey {
    /// Returns the key of a session in a group.
    pub fn of(group: u32, session: &str) -> Self {
        SessionKey(xxh3_64_with_seed(session.as_bytes(), u64::from(group)))
    }
}
