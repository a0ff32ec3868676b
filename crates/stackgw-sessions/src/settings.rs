//! What an instance is configured with at start.

use crate::identity::{NodeId, Peer};
use crate::record::Recovered;
use crate::replica_set::ReplicaSet;
use stackgw_router::api::Span;

/// What an instance is configured with at start. All durations are in nanoseconds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Settings {
    /// This instance, in this incarnation. A later incarnation has a higher number.
    pub local: Peer,
    /// The session replicas. An instance that is not among them forwards its writes to one that is.
    pub replicas: Vec<NodeId>,
    /// So many replicas record each session's positions.
    pub owners_per_session: usize,
    /// How long a lease binds. A write waits at most this long for an unreachable replica.
    pub lease: Span,
    /// After this long every member of a group has applied a write, and its position is dropped.
    pub retention: Span,
    /// A message without a reply is sent again after this.
    pub resend_interval: Span,
    /// How long an owner's reply is waited for.
    pub lookup_timeout: Span,
    /// Positions that a replica records at most.
    pub max_positions: usize,
    /// Local writes that are retained at most for replicas that lose their positions.
    pub max_local_writes: usize,
    /// Pending writes, and pending reads, at most.
    pub max_pending: usize,
    /// What the store had at start; `None`: there is no store.
    pub recovered: Option<Recovered>,
}

impl Settings {
    /// The replica set that these settings name.
    pub(crate) fn replica_set(&self) -> ReplicaSet {
        ReplicaSet::new(
            self.replicas.iter().copied(),
            self.owners_per_session,
            &[self.lease, self.retention],
        )
    }

    /// For this long after its start an instance is bound by leases that an earlier incarnation may
    /// have granted: a lease, and more than its grantor adds to it for clock drift.
    pub(crate) fn earlier_lease_bound(&self) -> Span {
        self.lease + self.lease / 8
    }
}
