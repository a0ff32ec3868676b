//! The status that an instance reports to operators.

use crate::identity::{NodeId, Peer};
use crate::positions::RecordedPosition;
use crate::uncertainty::UncertaintyReason;
use stackgw_router::api::Span;
use std::hash::{Hash, Hasher};
use std::ops::{Deref, DerefMut};

/// Events since the start of this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Counters {
    /// Reads for which this instance knew the position itself.
    pub answered_locally: u64,
    /// Reads for which another owner knew the position.
    pub answered_by_owner: u64,
    /// Reads that had to see every commit. Reads of a session whose write has no known position are
    /// included here and in one of the two counters above.
    pub strong_reads: u64,
    /// Writes whose response was released.
    pub writes_released: u64,
    /// Writes that were released without the acknowledgement of an owner, because the owner held no
    /// lease.
    pub released_unacknowledged: u64,
    /// Messages that were for another incarnation, came from an earlier one, or had an invalid
    /// sender.
    pub messages_ignored: u64,
    /// Messages sent.
    pub messages_sent: u64,
    /// Local writes dropped because there were more than
    /// [`Settings::max_local_writes`](crate::Settings::max_local_writes).
    pub local_writes_evicted: u64,
    /// Writes, reads and acknowledgements that were rejected because
    /// [`Settings::max_pending`](crate::Settings::max_pending) of them were pending.
    pub rejected: u64,
    /// How often the store was found to be an old copy.
    pub outdated_stores: u64,
}

/// Counters that compare equal to any others. They do not influence behavior, so a model checker
/// must treat two instances that differ only in their counters as the same state.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct UncomparedCounters(Counters);

impl PartialEq for UncomparedCounters {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for UncomparedCounters {}

impl Hash for UncomparedCounters {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

impl Deref for UncomparedCounters {
    type Target = Counters;

    fn deref(&self) -> &Counters {
        &self.0
    }
}

impl DerefMut for UncomparedCounters {
    fn deref_mut(&mut self) -> &mut Counters {
        &mut self.0
    }
}

/// Another replica, as this instance sees it. Durations are in nanoseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// The replica.
    pub node: NodeId,
    /// The last known incarnation; 0: none is known.
    pub incarnation: u64,
    /// Remaining time of the lease that it granted to this instance. Zero if this instance is not a
    /// replica.
    pub lease_held_for: Span,
    /// Remaining time of the lease that this instance granted to it, or that an earlier incarnation
    /// of this instance may have granted.
    pub lease_granted_for: Span,
    /// Local writes that it has not acknowledged.
    pub unacknowledged: usize,
}

/// The state of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// This instance.
    pub local: Peer,
    /// Whether it is a session replica. Otherwise it forwards its writes to one.
    pub is_replica: bool,
    /// Why it is uncertain, if it is. Meaningless if it is not a replica.
    pub uncertainty: Option<UncertaintyReason>,
    /// The other replicas.
    pub peers: Vec<PeerStatus>,
    /// Recorded positions, without evicted ones.
    pub positions: usize,
    /// Positions evicted since the start.
    pub evicted: u64,
    /// Retained local writes.
    pub local_writes: usize,
    /// Writes that wait for their release.
    pub pending: usize,
    /// Events since the start.
    pub counters: Counters,
}

/// What this instance knows of a session without querying others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SessionInspection {
    /// The recorded position, if there is one.
    pub position: Option<RecordedPosition>,
    /// `Ok` if this instance knows every write whose response was sent; otherwise the reason why it
    /// may not.
    pub certainty: Result<(), UncertaintyReason>,
}
