//! The store of an instance, as far as the protocol depends on it: which records it has, and
//! whether the stores that peers come back with are as recent as they were.
//!
//! Invariant: a store that was restored from an old copy is found to be outdated by every peer that
//! knew it to have come further, and nothing that is missing from it is taken for complete.

use crate::identity::{Freshness, NodeId, Peer};
use crate::record::{Recovered, StoreVersion};
use stackgw_router::api::Time;
use std::collections::BTreeMap;

/// How far the store of a peer had come when it was last heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct PeerVersion {
    /// The incarnation that reported it.
    pub(crate) peer: Peer,
    /// `None`: it has no store.
    pub(crate) version: Option<StoreVersion>,
}

/// Which records are in the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Durability {
    /// The version when this incarnation started, or when the store began anew since; `None`: there
    /// is no store, or no longer one.
    initial_version: Option<StoreVersion>,
    /// Records requested, and how many of them are in the store.
    requested: u64,
    stored: u64,
    /// Records requested when the store began anew.
    requested_before_version: u64,
    /// The record of the replica set. No lease is granted before it is in the store.
    replica_set_record: u64,
    /// The store failed and its file stayed in place.
    failed: bool,
    peer_versions: BTreeMap<NodeId, PeerVersion>,
    peer_versions_recorded_at: Time,
}

impl Durability {
    /// The store as it was recovered; `None`: there is none.
    pub(crate) fn new(now: Time, recovered: Option<&Recovered>) -> Self {
        let peer_stores = recovered
            .into_iter()
            .flat_map(|recovered| &recovered.peer_stores);
        let peer_versions = peer_stores.map(|(peer, version)| {
            let version = Some(*version);
            (
                peer.node,
                PeerVersion {
                    peer: *peer,
                    version,
                },
            )
        });
        Durability {
            initial_version: recovered.map(|recovered| recovered.store_version),
            requested: 0,
            stored: 0,
            requested_before_version: 0,
            replica_set_record: 0,
            failed: false,
            peer_versions: peer_versions.collect(),
            peer_versions_recorded_at: now,
        }
    }

    /// Whether there is a store.
    pub(crate) fn has_store(&self) -> bool {
        self.initial_version.is_some()
    }

    /// Whether the store failed and its file stayed in place, where a later incarnation will take
    /// it for complete.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed
    }

    /// Numbers a record that is requested now.
    pub(crate) fn number_record(&mut self) -> u64 {
        self.requested += 1;
        self.requested
    }

    /// Whether this record is in the store.
    pub(crate) fn is_stored(&self, record: u64) -> bool {
        record <= self.stored
    }

    /// So many records are in the store.
    pub(crate) fn confirm(&mut self, records: u64) {
        self.stored = self.stored.max(records.min(self.requested));
    }

    pub(crate) fn set_replica_set_record(&mut self, record: u64) {
        self.replica_set_record = record;
    }

    pub(crate) fn replica_set_is_stored(&self) -> bool {
        self.is_stored(self.replica_set_record)
    }

    /// How far the store has come, if there is one.
    pub(crate) fn version(&self) -> Option<StoreVersion> {
        let initial = self.initial_version?;
        let since = self.stored.saturating_sub(self.requested_before_version);
        Some(StoreVersion {
            records: initial.records.saturating_add(since),
            ..initial
        })
    }

    /// The store failed and its file stayed in place.
    pub(crate) fn fail(&mut self) {
        self.failed = true;
    }

    /// The store failed and its file was set aside: this incarnation goes on without one.
    pub(crate) fn remove_store(&mut self) {
        self.initial_version = None;
        self.requested = 0;
        self.stored = 0;
        self.replica_set_record = 0;
    }

    /// A peer knows this store to have come further than `reported`: it begins anew under the id of
    /// this incarnation. Gives the new version; `None` where the report is of another store than
    /// the present one.
    pub(crate) fn begin_anew(
        &mut self,
        reported: StoreVersion,
        incarnation: u64,
    ) -> Option<StoreVersion> {
        let version = self.initial_version.as_mut()?;
        if version.store_id != reported.store_id {
            return None;
        }
        *version = StoreVersion {
            store_id: incarnation,
            records: 0,
            last_incarnation: 0,
        };
        Some(*version)
    }

    /// The record that the store began anew: those up to this one do not count for the new version.
    pub(crate) fn set_invalidation_record(&mut self, record: u64) {
        self.requested_before_version = record;
    }

    /// Compares the store of a replica with what was known of it, and notes how far it has come.
    /// It is outdated where an earlier incarnation of that replica had brought it further, or had
    /// run without it.
    ///
    /// Danger: a replica with an outdated store would vouch for what is missing from it, as a
    /// writer and as an owner.
    pub(crate) fn check_peer_store(
        &mut self,
        from: Peer,
        version: Option<StoreVersion>,
    ) -> Freshness {
        let known = self.peer_versions.get(&from.node).copied();
        let earlier = known.filter(|known| known.peer.incarnation < from.incarnation);
        let recovered = version.filter(|version| version.store_id != from.incarnation);
        if let (Some(earlier), Some(recovered)) = (earlier, recovered) {
            if earlier.proves_outdated(recovered) {
                return Freshness::Outdated;
            }
        }
        // Within one incarnation a smaller number of records is that of a message that arrived
        // late.
        let is_news = known.is_none_or(|known| {
            (known.peer.incarnation, known.version) < (from.incarnation, version)
        });
        if is_news {
            let peer_version = PeerVersion {
                peer: from,
                version,
            };
            self.peer_versions.insert(from.node, peer_version);
        }
        Freshness::Current
    }

    /// What is to be recorded of peers' stores, once in each retention.
    pub(crate) fn due_peer_versions(&mut self, now: Time, oldest: Time) -> Vec<PeerVersion> {
        if self.peer_versions_recorded_at > oldest {
            return Vec::new();
        }
        self.peer_versions_recorded_at = now;
        self.peer_versions.values().copied().collect()
    }
}

impl PeerVersion {
    /// Whether a store that a later incarnation has recovered is older than this.
    fn proves_outdated(&self, recovered: StoreVersion) -> bool {
        let has_fewer_records = self.version.is_some_and(|known| {
            known.store_id == recovered.store_id && known.records > recovered.records
        });
        recovered.last_incarnation < self.peer.incarnation || has_fewer_records
    }
}
