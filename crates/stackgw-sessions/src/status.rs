//! What an instance reports of itself to operators.

use crate::identity::{NodeId, Peer};
use crate::positions::RecordedPosition;
use crate::uncertainty::UncertaintyReason;
use stackgw_router::api::Span;
use std::hash::{Hash, Hasher};
use std::ops::{Deref, DerefMut};

/// What was done since the start, and what stood in the way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Counters {
    /// Reads for which this instance knew the position itself.
    pub answered_locally: u64,
    /// Reads for which another owner knew the position.
    pub answered_by_owner: u64,
    /// Reads that had to see every commit.
    pub strong_reads: u64,
    /// Writes whose response was released.
    pub writes_released: u64,
    /// Writes that were released although an owner had not acknowledged them, as its lease had
    /// ended.
    pub released_unacknowledged: u64,
    /// Messages that were for another incarnation, from an earlier one, or that could not be true.
    pub messages_ignored: u64,
    /// Messages sent.
    pub messages_sent: u64,
    /// Local writes dropped for lack of room.
    pub local_writes_evicted: u64,
    /// Writes, reads and acknowledgements that were rejected for lack of room.
    pub rejected: u64,
    /// How often the store proved to be an old copy.
    pub outdated_stores: u64,
}

/// Counters that are equal to any others, as they have no influence on what an instance does: two
/// instances that differ in them alone are the same state to a model checker.
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
    /// Which.
    pub node: NodeId,
    /// The incarnation last heard of; 0: never heard of.
    pub incarnation: u64,
    /// How long the lease that it granted still holds, where this instance is a replica.
    pub lease_held_for: Span,
    /// How long a lease that was granted to it still binds.
    pub lease_granted_for: Span,
    /// Local writes that it has not acknowledged.
    pub unacknowledged: usize,
}

/// The state of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// This instance.
    pub local: Peer,
    /// It is a session replica, else it forwards its writes to one.
    pub is_replica: bool,
    /// Why it is uncertain, if it is. Without meaning where it is not a replica.
    pub uncertainty: Option<UncertaintyReason>,
    /// The other replicas.
    pub peers: Vec<PeerStatus>,
    /// Positions recorded.
    pub positions: usize,
    /// Positions evicted since the start.
    pub evicted: u64,
    /// Local writes retained.
    pub local_writes: usize,
    /// Writes that wait for their release.
    pub pending: usize,
    /// What was done.
    pub counters: Counters,
}

/// What this instance by itself knows of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SessionInspection {
    /// The recorded position, if there is one.
    pub position: Option<RecordedPosition>,
    /// Whether every write whose response was sent is known here, else why not.
    pub certainty: Result<(), UncertaintyReason>,
}
