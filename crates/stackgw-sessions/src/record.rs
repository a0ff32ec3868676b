//! The records that an instance writes to its store, and the state that is recovered from them.
//!
//! The host owns the store itself; `stackgw-store` defines its format on disk.

use crate::identity::{Peer, SessionKey};
use serde::{Deserialize, Serialize};
use stackgw_router::api::Time;

/// The version of a store. A store that was restored from an old copy has fewer records than its
/// instance had written before.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StoreVersion {
    /// Identifies the store. It gets a new ID when it is created and when it is invalidated.
    pub store_id: u64,
    /// Records written under this ID.
    pub records: u64,
    /// The previous incarnation that wrote to the store; 0: none.
    pub last_incarnation: u64,
}

/// A record for the store. Records are numbered from 1 in the order in which they are requested.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Record {
    /// The digest of the replica set that is in force from this record on. Earlier
    /// [`Record::CompletePeer`] records are no longer valid if the replica set has changed.
    ReplicaSet(u64),
    /// A position that this instance records as an owner of the session.
    Position(SessionKey, Time),
    /// The position of a local write that some owner has not acknowledged.
    Unacknowledged(SessionKey, Time),
    /// This instance has every write that this peer has released within the retention. The peer may
    /// be this instance itself.
    CompletePeer(Peer),
    /// The last known version of a peer's store; the default version if the peer has no store.
    PeerStore(Peer, StoreVersion),
    /// The store was found to be an old copy and is reset to this version, which has no records.
    /// Its history is unbroken from the incarnation in the second field on.
    Invalidated(StoreVersion, u64),
}

/// What happened to the file of a store that accepts no more records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StoreFailure {
    /// It was moved away, so no later incarnation reads it.
    SetAside,
    /// It could not be moved, so a later incarnation would treat it as complete.
    LeftInPlace,
}

/// The contents of the store at start. All lists are empty for a new store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Recovered {
    /// The first incarnation since which every incarnation wrote to this store without a gap; the
    /// current incarnation for a new store.
    pub unbroken_since: u64,
    /// The version of the store.
    pub store_version: StoreVersion,
    /// The last known store versions of peers, with the incarnations that reported them.
    pub peer_stores: Vec<(Peer, StoreVersion)>,
    /// The digest of the replica set that was recorded last.
    pub replica_set: Option<u64>,
    /// Positions that this instance recorded as an owner.
    pub positions: Vec<(SessionKey, Time)>,
    /// Positions of local writes that some owner had not acknowledged.
    pub unacknowledged: Vec<(SessionKey, Time)>,
    /// Peers of which no write within the retention was missing under that replica set. May include
    /// this instance itself.
    pub complete_peers: Vec<Peer>,
}

impl Recovered {
    /// Applies a record to the state recovered from the records before it.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::ReplicaSet(digest) => self.apply_replica_set(digest),
            Record::Position(key, position) => self.positions.push((key, position)),
            Record::Unacknowledged(key, position) => self.unacknowledged.push((key, position)),
            Record::CompletePeer(peer) => {
                self.complete_peers.retain(|known| known.node != peer.node);
                self.complete_peers.push(peer);
            }
            Record::PeerStore(peer, version) => {
                self.peer_stores
                    .retain(|(known, _)| known.node != peer.node);
                self.peer_stores.push((peer, version));
            }
            Record::Invalidated(version, unbroken_since) => {
                return self.apply_invalidation(version, unbroken_since);
            }
        }
        self.store_version.records = self.store_version.records.saturating_add(1);
    }

    fn apply_replica_set(&mut self, digest: u64) {
        if self.replica_set != Some(digest) {
            self.replica_set = Some(digest);
            self.complete_peers.clear();
        }
    }

    fn apply_invalidation(&mut self, version: StoreVersion, unbroken_since: u64) {
        // An invalidation does not change which incarnation wrote to the store last.
        self.store_version = StoreVersion {
            last_incarnation: self.store_version.last_incarnation,
            ..version
        };
        self.unbroken_since = unbroken_since;
        self.complete_peers.clear();
    }
}
