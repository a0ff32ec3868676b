//! How far a replica has received the local writes, and which lease it was granted.

use crate::identity::{Freshness, NodeId, Peer, SessionKey};
use crate::replica_set::ReplicaSet;
use stackgw_router::api::{Span, Time};
use std::collections::BTreeSet;

/// A grantor adds this part of a lease to it: clocks that run at different rates must not end it
/// there first.
const DRIFT_DIVISOR: Span = 16;

/// How far a replica has received the local writes, and which lease it was granted.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct PeerReplication {
    /// The incarnation that was last heard of.
    pub(crate) peer: Peer,
    /// The last lease that was granted to it binds until then, ...
    pub(crate) lease_until: Time,
    /// ... for the sessions that it owned by this set.
    lease_replica_set: ReplicaSet,
    /// Sequence numbers of local writes that it has not acknowledged.
    pub(crate) unacknowledged: BTreeSet<u64>,
    /// Of those that were released, the last one sent since its last lease request.
    pub(crate) last_sent: u64,
}

impl PeerReplication {
    /// A replica that no incarnation is known of yet, and that may hold an earlier incarnation's
    /// lease until then.
    pub(crate) fn new(node: NodeId, lease_until: Time, replica_set: &ReplicaSet) -> Self {
        PeerReplication {
            peer: Peer::any_incarnation(node),
            lease_until,
            lease_replica_set: replica_set.clone(),
            unacknowledged: BTreeSet::new(),
            last_sent: 0,
        }
    }

    /// Whether its lease binds the writes of a session.
    pub(crate) fn lease_binds(&self, now: Time, key: SessionKey) -> bool {
        self.lease_until > now && self.lease_replica_set.is_owner(key, self.peer.node)
    }

    pub(crate) fn grant_lease(&mut self, now: Time, lease: Span, replica_set: &ReplicaSet) {
        self.lease_until = self.lease_until.max(now + lease + lease / DRIFT_DIVISOR);
        // Pending writes that the replica owned by the earlier set stay unacknowledged.
        self.lease_replica_set.clone_from(replica_set);
    }

    /// Notes the incarnation of a message.
    ///
    /// What an earlier incarnation acknowledged is in its store, or the later one is uncertain
    /// until that is older than the retention. A lease that an earlier one was granted no longer
    /// binds.
    pub(crate) fn note_incarnation(
        &mut self,
        incarnation: u64,
        earlier_leases_until: Time,
    ) -> Freshness {
        if incarnation < self.peer.incarnation {
            return Freshness::Outdated;
        }
        if incarnation > self.peer.incarnation {
            // Danger: an earlier incarnation of this instance may have granted its lease to this
            // incarnation of the replica, not to the one that was last heard of.
            self.peer.incarnation = incarnation;
            self.lease_until = self.lease_until.min(earlier_leases_until);
        }
        Freshness::Current
    }

    /// Unacknowledged writes that were not sent since its last lease request, in order.
    pub(crate) fn unsent(&self) -> impl Iterator<Item = &u64> {
        self.unacknowledged
            .range(self.last_sent.saturating_add(1)..)
    }
}
