//! Which local writes a replica has acknowledged, and which lease it was granted.

use crate::identity::{Freshness, NodeId, Peer, SessionKey};
use crate::replica_set::ReplicaSet;
use stackgw_router::api::{Span, Time};
use std::collections::BTreeSet;

/// The grantor extends each lease by its duration divided by this, so that the lease does not end
/// at the grantor before it ends at the holder when their clocks run at different rates.
const DRIFT_DIVISOR: Span = 16;

/// Which local writes a replica has acknowledged, and which lease it was granted.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct PeerReplication {
    /// The replica and its last known incarnation.
    pub(crate) peer: Peer,
    /// End of the last lease that was granted to the replica.
    pub(crate) lease_until: Time,
    /// The replica set of that lease. The lease applies to the sessions that the replica owned by
    /// this set.
    lease_replica_set: ReplicaSet,
    /// Sequence numbers of local writes that the replica has not acknowledged.
    pub(crate) unacknowledged: BTreeSet<u64>,
    /// Sequence number of the last released write sent to the replica since its last lease request.
    pub(crate) last_sent: u64,
}

impl PeerReplication {
    /// A replica with no known incarnation, which may hold a lease of an earlier incarnation of
    /// this instance until `lease_until`.
    pub(crate) fn new(node: NodeId, lease_until: Time, replica_set: &ReplicaSet) -> Self {
        PeerReplication {
            peer: Peer::any_incarnation(node),
            lease_until,
            lease_replica_set: replica_set.clone(),
            unacknowledged: BTreeSet::new(),
            last_sent: 0,
        }
    }

    /// Whether the replica's lease is in effect and applies to the writes of a session.
    pub(crate) fn lease_applies(&self, now: Time, key: SessionKey) -> bool {
        self.lease_until > now && self.lease_replica_set.is_owner(key, self.peer.node)
    }

    pub(crate) fn grant_lease(&mut self, now: Time, lease: Span, replica_set: &ReplicaSet) {
        self.lease_until = self.lease_until.max(now + lease + lease / DRIFT_DIVISOR);
        // Pending writes of sessions that the replica owned by the earlier set still need its
        // acknowledgement.
        self.lease_replica_set.clone_from(replica_set);
    }

    /// Updates the last known incarnation from that of a message's sender.
    ///
    /// Writes that an earlier incarnation acknowledged stay acknowledged: either its store has
    /// them, or the later incarnation is uncertain until they are older than the retention. A lease
    /// granted to an earlier incarnation is shortened to end at `earlier_leases_until` at the
    /// latest.
    pub(crate) fn observe_incarnation(
        &mut self,
        incarnation: u64,
        earlier_leases_until: Time,
    ) -> Freshness {
        if incarnation < self.peer.incarnation {
            return Freshness::Outdated;
        }
        if incarnation > self.peer.incarnation {
            // The lease is shortened to `earlier_leases_until` rather than ended at once, because
            // an earlier incarnation of this instance may have granted a lease to this incarnation
            // of the replica rather than to the last known one.
            self.peer.incarnation = incarnation;
            self.lease_until = self.lease_until.min(earlier_leases_until);
        }
        Freshness::Current
    }

    /// Unacknowledged writes that were not sent since the replica's last lease request, in order.
    pub(crate) fn unsent(&self) -> impl Iterator<Item = &u64> {
        self.unacknowledged
            .range(self.last_sent.saturating_add(1)..)
    }
}
