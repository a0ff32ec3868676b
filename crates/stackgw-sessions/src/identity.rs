//! Identifiers that all modules of this package share: instances, incarnations, sessions, requests.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A write or a read, by the number that the host knows it by.
pub type RequestNumber = u64;

/// As a destination: whichever incarnation is running. As the last known one: none is known yet.
pub const ANY_INCARNATION: u64 = 0;

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

/// One incarnation of an instance.
///
/// Danger: two processes that run under one name at once break the guarantee of this package, see
/// `docs/operate/sessions.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Which instance.
    pub node: NodeId,
    /// Higher at each start of the instance.
    pub incarnation: u64,
}

impl Peer {
    /// Whichever incarnation of this instance is running.
    pub fn any_incarnation(node: NodeId) -> Self {
        Peer {
            node,
            incarnation: ANY_INCARNATION,
        }
    }
}

/// How what a peer shows of itself, its incarnation or its store, compares with what was known of
/// it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// As recent as what was known, or more so.
    Current,
    /// Something later was known.
    Outdated,
}

/// A session in its group, by a hash of both.
///
/// Two sessions with the same key see each other's positions. Each then reads data that is newer
/// than necessary, so a collision costs a little and breaks nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionKey(pub u64);

impl SessionKey {
    /// The key of a session in a group.
    pub fn of(group: u32, session: &str) -> Self {
        SessionKey(xxh3_64_with_seed(session.as_bytes(), u64::from(group)))
    }
}
