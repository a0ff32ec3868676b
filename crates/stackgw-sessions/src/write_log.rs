//! The local writes of an instance: which owners have acknowledged them, which leases apply to
//! them, and when their responses may be released.
//!
//! Invariant: while a lease that was granted to an owner may be in effect, the response to a write
//! of a session of that owner is not released without that owner's acknowledgement.

use crate::durability::Durability;
use crate::identity::{Freshness, NodeId, Peer, RequestNumber, SessionKey};
use crate::message::PositionUpdate;
use crate::peer_replication::PeerReplication;
use crate::replica_set::ReplicaSet;
use stackgw_router::api::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A write that this instance handles: its own, or one that another instance forwarded to it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct LocalWrite {
    pub(crate) key: SessionKey,
    pub(crate) position: Time,
    /// The request whose response waits for its release (for a forwarded write, the forwarding
    /// instance's number); `None` if the response was released.
    pub(crate) request: Option<RequestNumber>,
    /// When the write was served or, once its response was released, the time of the release.
    pub(crate) since: Time,
    /// When the write was added or its position was last sent again to the replicas that have not
    /// acknowledged it.
    pub(crate) last_sent_at: Time,
    /// The record that must be in the store before the release, if there is one.
    pub(crate) record: Option<u64>,
    /// Whether a [`Record::Unacknowledged`](crate::record::Record::Unacknowledged) of the write was
    /// requested or recovered.
    pub(crate) is_recorded_unacknowledged: bool,
}

impl LocalWrite {
    fn update(&self, sequence: u64) -> PositionUpdate {
        PositionUpdate {
            sequence,
            key: self.key,
            position: self.position,
        }
    }
}

/// Whether a response may be released and, if not, what has to happen first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReleaseCondition {
    /// The response may be released.
    Met,
    /// A record that some owner has not acknowledged the write must be requested and stored first.
    NeedsRecord,
    /// The response must wait until each replica with a lease has acknowledged the write or its
    /// lease has ended, until releases are allowed, and until the write's record is in the store.
    Pending,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Released {
    at: Time,
    sequence: u64,
}

/// The local writes by sequence number, and their replication.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct WriteLog {
    writes: BTreeMap<u64, LocalWrite>,
    next_sequence: u64,
    peers: BTreeMap<NodeId, PeerReplication>,
    /// Released writes in the order of their release.
    released: VecDeque<Released>,
    /// Writes that wait for their release.
    pending: BTreeSet<u64>,
    /// No local write released since this time is missing from the log.
    complete_since: Time,
    /// No unacknowledged write of the incarnations from this one on is missing from the log.
    unbroken_since: u64,
    /// No response to a write is released before this time.
    no_release_before: Time,
    /// Leases that an earlier incarnation granted may be in effect until this time.
    earlier_leases_until: Time,
}

impl WriteLog {
    /// Creates an empty log. Nothing is released until `earlier_leases_until`, unless
    /// [`WriteLog::allow_release`] is called.
    pub(crate) fn new(now: Time, unbroken_since: u64, earlier_leases_until: Time) -> Self {
        WriteLog {
            writes: BTreeMap::new(),
            next_sequence: 1,
            peers: BTreeMap::new(),
            released: VecDeque::new(),
            pending: BTreeSet::new(),
            complete_since: now,
            unbroken_since,
            no_release_before: earlier_leases_until,
            earlier_leases_until,
        }
    }

    /// Allows releases from `now` on. To be called if it is known to which replicas earlier
    /// incarnations may have granted leases, so that only writes of their sessions must wait.
    pub(crate) fn allow_release(&mut self, now: Time) {
        self.no_release_before = now;
    }

    /// Switches to a replica set: from now on replicates to its replicas, and to other replicas
    /// only as long as their leases are in effect. Every retained write is replicated to its owners
    /// by the new set again.
    pub(crate) fn apply_replica_set(&mut self, now: Time, local: NodeId, replica_set: &ReplicaSet) {
        self.peers
            .retain(|node, peer| replica_set.contains(*node) || peer.lease_until > now);
        for node in replica_set.replicas().iter().filter(|node| **node != local) {
            let lease_until = self.earlier_leases_until;
            self.peers
                .entry(*node)
                .or_insert_with(|| PeerReplication::new(*node, lease_until, replica_set));
        }
        for (sequence, write) in &self.writes {
            for peer in self.peers.values_mut() {
                if replica_set.is_owner(write.key, peer.peer.node) {
                    peer.unacknowledged.insert(*sequence);
                }
            }
        }
    }

    /// Adds a write, and returns its sequence number.
    pub(crate) fn append(&mut self, now: Time, replica_set: &ReplicaSet, write: LocalWrite) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        for peer in self.peers.values_mut() {
            let is_owner = replica_set.is_owner(write.key, peer.peer.node);
            if is_owner || peer.lease_applies(now, write.key) {
                peer.unacknowledged.insert(sequence);
            }
        }
        if write.request.is_some() {
            self.pending.insert(sequence);
        } else {
            let at = write.since;
            self.released.push_back(Released { at, sequence });
        }
        self.writes.insert(sequence, write);
        sequence
    }

    /// Updates the last known incarnation of a replica from that of a message's sender.
    pub(crate) fn observe_incarnation(&mut self, from: Peer) -> Freshness {
        let earlier_leases_until = self.earlier_leases_until;
        self.peers
            .get_mut(&from.node)
            .map_or(Freshness::Current, |peer| {
                peer.observe_incarnation(from.incarnation, earlier_leases_until)
            })
    }

    /// Whether a write's response may be released and, if not, what has to happen first.
    pub(crate) fn release_condition(
        &self,
        now: Time,
        sequence: u64,
        durability: &Durability,
    ) -> ReleaseCondition {
        let Some(write) = self.writes.get(&sequence) else {
            return ReleaseCondition::Met;
        };
        let awaits_leases = now < self.no_release_before
            || self
                .unacknowledged_peers(sequence)
                .any(|peer| peer.lease_until > now);
        let is_stored = write
            .record
            .is_none_or(|record| durability.is_stored(record));
        if awaits_leases || !is_stored {
            return ReleaseCondition::Pending;
        }
        let needs_record = durability.has_store() && !write.is_recorded_unacknowledged;
        if needs_record && self.is_unacknowledged(sequence) {
            return ReleaseCondition::NeedsRecord;
        }
        ReleaseCondition::Met
    }

    /// Releases the response to a write, and returns its request.
    pub(crate) fn release(&mut self, now: Time, sequence: u64) -> Option<RequestNumber> {
        self.pending.remove(&sequence);
        let write = self.writes.get_mut(&sequence)?;
        write.since = now;
        self.released.push_back(Released { at: now, sequence });
        write.request.take()
    }

    /// Cancels a pending write whose response will not be sent.
    pub(crate) fn cancel(&mut self, sequence: u64) {
        if self.pending.remove(&sequence) {
            self.remove(sequence);
        }
    }

    /// Drops released writes that are older than the retention, and the oldest ones beyond
    /// `max_writes`; `complete_since` then moves past the latter, and the history is marked as
    /// broken if one of them was unacknowledged. Returns the number of writes dropped because of
    /// `max_writes`.
    pub(crate) fn expire(
        &mut self,
        now: Time,
        retention: Span,
        max_writes: usize,
        incarnation: u64,
    ) -> u64 {
        let oldest = now.saturating_sub(retention);
        while let Some(expired) = self.released.pop_front_if(|released| released.at < oldest) {
            self.remove(expired.sequence);
        }
        let mut evicted = 0;
        while self.released.len() > max_writes {
            let Some(oldest) = self.released.pop_front() else {
                break;
            };
            self.complete_since = self.complete_since.max(oldest.at + 1);
            if self.remove(oldest.sequence) {
                self.mark_history_broken(incarnation);
            }
            evicted += 1;
        }
        evicted
    }

    /// Marks the history as broken, as unacknowledged writes of this incarnation or of earlier ones
    /// may be missing here. Replicas that relied on the history of these incarnations must no
    /// longer do so.
    pub(crate) fn mark_history_broken(&mut self, incarnation: u64) {
        self.unbroken_since = incarnation.saturating_add(1);
    }

    /// Whether a replica may be granted a lease: it has acknowledged all released writes, and no
    /// pending write has waited for its acknowledgement since before `oldest_pending`.
    ///
    /// Without the second condition, a partition in only the direction to the replica would block
    /// writes forever: its lease requests would still arrive, and its leases would be renewed
    /// forever.
    pub(crate) fn may_grant_lease(&self, node: NodeId, oldest_pending: Time) -> bool {
        let is_recent = |sequence: &u64| {
            let write = self.writes.get(sequence);
            self.pending.contains(sequence) && write.is_some_and(|w| w.since >= oldest_pending)
        };
        let peer = self.peers.get(&node);
        peer.is_some_and(|peer| peer.unacknowledged.iter().all(is_recent))
    }

    /// Grants a replica a lease.
    pub(crate) fn grant_lease(
        &mut self,
        now: Time,
        node: NodeId,
        lease: Span,
        replica_set: &ReplicaSet,
    ) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.grant_lease(now, lease, replica_set);
        }
    }

    /// Handles the acknowledgement that a replica has recorded the positions of these writes.
    pub(crate) fn acknowledge(&mut self, node: NodeId, sequences: &[u64]) {
        if let Some(peer) = self.peers.get_mut(&node) {
            for sequence in sequences {
                peer.unacknowledged.remove(sequence);
            }
        }
    }

    /// Restarts the sending of unacknowledged released writes to a replica from the first one.
    pub(crate) fn restart_catch_up(&mut self, node: NodeId) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.last_sent = 0;
        }
    }

    /// Returns the next released writes that a replica has not acknowledged, and marks them as
    /// sent.
    pub(crate) fn next_unsent(&mut self, node: NodeId, max_updates: usize) -> Vec<PositionUpdate> {
        let Some(peer) = self.peers.get_mut(&node) else {
            return Vec::new();
        };
        let released = peer
            .unsent()
            .filter(|sequence| !self.pending.contains(sequence));
        let updates = released.filter_map(|sequence| {
            self.writes
                .get(sequence)
                .map(|write| write.update(*sequence))
        });
        let updates: Vec<_> = updates.take(max_updates).collect();
        peer.last_sent = updates
            .last()
            .map_or(peer.last_sent, |update| update.sequence);
        updates
    }

    /// Pending writes that a replica has not acknowledged and that were last sent at or before
    /// `sent_by`.
    ///
    /// Iterates over the pending writes rather than over the replica's unacknowledged ones, of
    /// which there may be far more if the replica has been down for long.
    pub(crate) fn pending_updates(
        &self,
        node: NodeId,
        sent_by: Time,
        max_updates: usize,
    ) -> Vec<PositionUpdate> {
        let Some(peer) = self.peers.get(&node) else {
            return Vec::new();
        };
        let sequences = self
            .pending
            .iter()
            .filter(|s| peer.unacknowledged.contains(s));
        let writes = sequences.filter_map(|s| self.writes.get(s).map(|write| (s, write)));
        let due = writes.filter(|(_, write)| write.last_sent_at <= sent_by);
        due.map(|(sequence, write)| write.update(*sequence))
            .take(max_updates)
            .collect()
    }

    /// Marks pending writes that were last sent at or before `sent_by` as sent at `now`.
    pub(crate) fn mark_sent(&mut self, now: Time, sent_by: Time) {
        for sequence in &self.pending {
            let write = self.writes.get_mut(sequence);
            if let Some(write) = write.filter(|write| write.last_sent_at <= sent_by) {
                write.last_sent_at = now;
            }
        }
    }

    /// The update for a write, and the replicas that have not acknowledged it.
    pub(crate) fn update_and_recipients(
        &self,
        sequence: u64,
    ) -> Option<(PositionUpdate, Vec<Peer>)> {
        let update = self.writes.get(&sequence)?.update(sequence);
        let peers = self.unacknowledged_peers(sequence).map(|peer| peer.peer);
        Some((update, peers.collect()))
    }

    /// Whether some replica has not acknowledged a write.
    pub(crate) fn is_unacknowledged(&self, sequence: u64) -> bool {
        self.unacknowledged_peers(sequence).next().is_some()
    }

    /// Notes that a [`Record::Unacknowledged`](crate::record::Record::Unacknowledged) of a write
    /// was requested under the number `record`. The release waits until it is in the store.
    pub(crate) fn set_unacknowledged_record(&mut self, sequence: u64, record: u64) {
        if let Some(write) = self.writes.get_mut(&sequence) {
            write.record = Some(record);
            write.is_recorded_unacknowledged = true;
        }
    }

    /// Clears the records that writes wait for, as there is no store any more.
    pub(crate) fn clear_records(&mut self) {
        for write in self.writes.values_mut() {
            write.record = None;
        }
    }

    /// The last known incarnation of a replica.
    pub(crate) fn last_known_peer(&self, node: NodeId) -> Peer {
        let peer = self.peers.get(&node).map(|peer| peer.peer);
        peer.unwrap_or(Peer::any_incarnation(node))
    }

    pub(crate) fn write(&self, sequence: u64) -> Option<&LocalWrite> {
        self.writes.get(&sequence)
    }

    pub(crate) fn writes(&self) -> impl Iterator<Item = &LocalWrite> {
        self.writes.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.writes.len()
    }

    pub(crate) fn peers(&self) -> &BTreeMap<NodeId, PeerReplication> {
        &self.peers
    }

    pub(crate) fn pending(&self) -> &BTreeSet<u64> {
        &self.pending
    }

    pub(crate) fn complete_since(&self) -> Time {
        self.complete_since
    }

    pub(crate) fn unbroken_since(&self) -> u64 {
        self.unbroken_since
    }

    /// The replicas that have not acknowledged a write.
    fn unacknowledged_peers(&self, sequence: u64) -> impl Iterator<Item = &PeerReplication> {
        let peers = self.peers.values();
        peers.filter(move |peer| peer.unacknowledged.contains(&sequence))
    }

    /// Removes a write. Returns whether some replica had not acknowledged it.
    fn remove(&mut self, sequence: u64) -> bool {
        self.writes.remove(&sequence);
        let mut was_unacknowledged = false;
        for peer in self.peers.values_mut() {
            was_unacknowledged |= peer.unacknowledged.remove(&sequence);
        }
        was_unacknowledged
    }
}
