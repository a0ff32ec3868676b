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
    /// Number of replicas that record each session's positions (its owners). At least 1 and at most
    /// the number of replicas is used.
    pub owners_per_session: usize,
    /// Duration of a lease. A write waits for an unreachable replica until that replica's lease has
    /// ended: at most this long plus 1/16 for clock drift (1/8 if an earlier
    /// incarnation of the writer may have granted the lease). If the replica's lease requests still
    /// arrive, its lease is renewed until the write has waited for half of this duration.
    pub lease: Span,
    /// How long a position is retained. After this time every member of a group has applied the
    /// write.
    pub retention: Span,
    /// Time after which an unacknowledged position of a pending write or an unreleased forwarded
    /// write is sent again. Also the time for which an owner that was uncertain is not queried.
    pub resend_interval: Span,
    /// How long to wait for an owner's reply to a position query.
    pub lookup_timeout: Span,
    /// Maximum number of positions that a replica records; 0 is treated as 1. The oldest positions
    /// beyond it are merged with those of other sessions.
    pub max_positions: usize,
    /// Maximum number of released local writes that are retained, for owners that have not
    /// acknowledged them and for replicas that become owners later.
    pub max_local_writes: usize,
    /// Maximum number of pending writes. The same maximum applies to pending reads and to
    /// acknowledgements that wait for the store.
    pub max_pending: usize,
    /// The contents of the store at start; `None` if there is no store.
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
