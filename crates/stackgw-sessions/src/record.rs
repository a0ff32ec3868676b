//! What an instance keeps in its store: the records that are written, and what they come to when
//! they are read back.
//!
//! The store itself is the host's. Its form on the disk is the concern of `stackgw-store`.

use crate::identity::{Peer, SessionKey};
use serde::{Deserialize, Serialize};
use stackgw_router::api::Time;

/// How far a store has come. One that was restored from an old copy has fewer records than its
/// instance had before.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StoreVersion {
    /// Which store: another one each time that one is created or invalidated.
    pub store_id: u64,
    /// Records written to it since then.
    pub records: u64,
    /// The incarnation before this one that wrote to it; 0: none.
    pub last_incarnation: u64,
}

/// What is to be written to the store. Records are numbered from 1 in the order in which they are
/// requested.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Record {
    /// The digest of the replica set from now on. What was recorded of peers under another one no
    /// longer holds.
    ReplicaSet(u64),
    /// A position that this instance records as an owner of the session.
    Position(SessionKey, Time),
    /// The position of a local write that some owner has not acknowledged.
    Unacknowledged(SessionKey, Time),
    /// No write of this peer is missing here.
    CompletePeer(Peer),
    /// How far the store of a peer has come.
    PeerStore(Peer, StoreVersion),
    /// The store proved to be an old copy and begins anew: with this version, which has no records,
    /// and unbroken since this incarnation.
    Invalidated(StoreVersion, u64),
}

/// What became of the file of a store that accepts no more records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StoreFailure {
    /// It was moved away: no later incarnation reads it.
    SetAside,
    /// It could not be moved: a later incarnation would take it for complete.
    LeftInPlace,
}

/// What the store had at start. All empty for a new one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Recovered {
    /// The incarnations from this one on wrote to this store without a gap; the current one for a
    /// new store.
    pub unbroken_since: u64,
    /// How far the store has come.
    pub store_version: StoreVersion,
    /// How far the stores of peers had come, and in which of their incarnations.
    pub peer_stores: Vec<(Peer, StoreVersion)>,
    /// The digest of the replica set that was recorded last.
    pub replica_set: Option<u64>,
    /// Positions recorded as an owner.
    pub positions: Vec<(SessionKey, Time)>,
    /// Positions of local writes that some owner had not acknowledged.
    pub unacknowledged: Vec<(SessionKey, Time)>,
    /// Under that replica set: peers of which no write was missing, this instance itself perhaps
    /// among them.
    pub complete_peers: Vec<Peer>,
}

impl Recovered {
    /// Adds a record to what was recorded before it.
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
        // The incarnation that wrote to the store last is still the same one.
        self.store_version = StoreVersion {
            last_incarnation: self.store_version.last_incarnation,
            ..version
        };
        self.unbroken_since = unbroken_since;
        self.complete_peers.clear();
    }
}
