//! The state of the store that the protocol depends on: which records it has, and whether peers
//! restart with stores as recent as before.
//!
//! Invariant: every peer that knew a newer version of a store detects that it was restored from an
//! old copy, and no history with writes missing from that copy is treated as complete.

use crate::identity::{Freshness, NodeId, Peer};
use crate::record::{Recovered, StoreVersion};
use stackgw_router::api::Time;
use std::collections::BTreeMap;

/// The last known version of a peer's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct PeerVersion {
    /// The incarnation that reported it.
    pub(crate) peer: Peer,
    /// `None`: the peer has no store.
    pub(crate) version: Option<StoreVersion>,
}

/// Which records are in the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Durability {
    /// The version when this incarnation started, or when the store was reset after that; `None`:
    /// there is no store, or no longer one.
    initial_version: Option<StoreVersion>,
    /// Requested records.
    requested: u64,
    /// How many of the requested records are in the store.
    stored: u64,
    /// Records requested up to the reset of the store, which its version does not include.
    requested_before_version: u64,
    /// Number of the record of the replica set. No lease is granted before it is in the store.
    replica_set_record: u64,
    /// Whether the store failed and its file stayed in place.
    failed: bool,
    peer_versions: BTreeMap<NodeId, PeerVersion>,
    peer_versions_recorded_at: Time,
}

impl Durability {
    /// Starts with a recovered store; `None`: there is no store.
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

    /// Whether the store failed and its file stayed in place, where a later incarnation will treat
    /// it as complete.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed
    }

    /// Assigns the number of a record that is being requested.
    pub(crate) fn number_record(&mut self) -> u64 {
        self.requested += 1;
        self.requested
    }

    /// Whether this record is in the store.
    pub(crate) fn is_stored(&self, record: u64) -> bool {
        record <= self.stored
    }

    /// Handles the confirmation that the first `records` requested records are in the store.
    pub(crate) fn confirm(&mut self, records: u64) {
        self.stored = self.stored.max(records.min(self.requested));
    }

    pub(crate) fn set_replica_set_record(&mut self, record: u64) {
        self.replica_set_record = record;
    }

    pub(crate) fn replica_set_is_stored(&self) -> bool {
        self.is_stored(self.replica_set_record)
    }

    /// The version of the store, if there is one.
    pub(crate) fn version(&self) -> Option<StoreVersion> {
        let initial = self.initial_version?;
        let since = self.stored.saturating_sub(self.requested_before_version);
        Some(StoreVersion {
            records: initial.records.saturating_add(since),
            ..initial
        })
    }

    /// Marks the store as failed with its file still in place.
    pub(crate) fn mark_failed(&mut self) {
        self.failed = true;
    }

    /// Handles a failure of the store whose file was set aside: this incarnation continues without
    /// a store.
    pub(crate) fn remove_store(&mut self) {
        self.initial_version = None;
        self.requested = 0;
        self.stored = 0;
        self.replica_set_record = 0;
    }

    /// Resets the version of a store that a peer has found to be outdated at version `reported`.
    /// The store gets `incarnation` as its ID. Returns the new version, or `None` if there is no
    /// store or the report is about a different one.
    pub(crate) fn reset_version(
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

    /// Sets the number of the record of a reset. The new version does not include records up to
    /// this one.
    pub(crate) fn set_invalidation_record(&mut self, record: u64) {
        self.requested_before_version = record;
    }

    /// Compares a replica's store with its last known version, and records the reported version if
    /// it is newer and the store is not outdated.
    ///
    /// The store is outdated if an earlier incarnation of the replica had written more records to
    /// it, or had run without it. A store that the reporting incarnation created or reset is never
    /// outdated.
    ///
    /// Without this check, a replica with an outdated store would claim, as a writer and as an
    /// owner, that its history is complete although writes are missing from it.
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
        // Within one incarnation, a smaller number of records means that the message was delayed.
        let is_newer = known.is_none_or(|known| {
            (known.peer.incarnation, known.version) < (from.incarnation, version)
        });
        if is_newer {
            let peer_version = PeerVersion {
                peer: from,
                version,
            };
            self.peer_versions.insert(from.node, peer_version);
        }
        Freshness::Current
    }

    /// The store versions of peers that are to be recorded, which is done once per retention.
    /// Empty until then.
    pub(crate) fn due_peer_versions(&mut self, now: Time, oldest: Time) -> Vec<PeerVersion> {
        if self.peer_versions_recorded_at > oldest {
            return Vec::new();
        }
        self.peer_versions_recorded_at = now;
        self.peer_versions.values().copied().collect()
    }
}

impl PeerVersion {
    /// Whether the store that a later incarnation has recovered is older than this version.
    fn proves_outdated(&self, recovered: StoreVersion) -> bool {
        let has_fewer_records = self.version.is_some_and(|known| {
            known.store_id == recovered.store_id && known.records > recovered.records
        });
        recovered.last_incarnation < self.peer.incarnation || has_fewer_records
    }
}
