//! The configuration of an instance at start.

use crate::identity::{NodeId, Peer};
use crate::record::Recovered;
use crate::replica_set::ReplicaSet;
use stackgw_router::api::Span;

/// The configuration of an instance at start. All durations are in nanoseconds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Settings {
    /// This instance and its incarnation. A later incarnation has a higher number.
    pub local: Peer,
    /// The session replicas. An instance that is not among them forwards its writes to one that is.
    pub replicas: Vec<NodeId>,
    /// Number of replicas that record each session's positions.
    pub owners_per_session: usize,
    /// Duration of a lease. A write waits at most this long for an unreachable replica.
    pub lease: Span,
    /// How long a position is retained. After this time every member of a group has applied the
    /// write.
    pub retention: Span,
    /// Time after which a message without a reply is sent again.
    pub resend_interval: Span,
    /// How long to wait for an owner's reply to a position query.
    pub lookup_timeout: Span,
    /// Maximum number of positions that a replica records.
    pub max_positions: usize,
    /// Maximum number of local writes that are retained for replicas that lose their positions.
    pub max_local_writes: usize,
    /// Maximum number of pending writes, and of pending reads.
    pub max_pending: usize,
    /// The contents of the store at start; `None`: there is no store.
    pub recovered: Option<Recovered>,
}

impl Settings {
    /// The replica set that these settings define.
    pub(crate) fn replica_set(&self) -> ReplicaSet {
        ReplicaSet::new(
            self.replicas.iter().copied(),
            self.owners_per_session,
            &[self.lease, self.retention],
        )
    }

    /// How long after its start an instance must honor leases that an earlier incarnation may have
    /// granted: the lease duration plus a margin that exceeds what the grantor adds for clock
    /// drift.
    pub(crate) fn earlier_lease_bound(&self) -> Span {
        self.lease + self.lease / 8
    }
}
