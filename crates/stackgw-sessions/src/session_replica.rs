//! The session replica role: records positions for writers, and holds leases granted by the other
//! replicas, which tell it whether it has received every write.
//!
//! Invariant: a replica is certain only while it holds a lease from every other replica and none of
//! their writes within the retention is missing here. Its recorded positions are then complete.

use crate::context::{Context, Instance};
use crate::identity::{Freshness, NodeId, Peer, SessionKey, ANY_INCARNATION};
use crate::message::{LeaseGrant, LeaseRequest, Message, PositionUpdate};
use crate::peer_progress::{PeerProgress, COMPLETE_HISTORY};
use crate::positions::SessionPositions;
use crate::record::{Record, Recovered};
use crate::uncertainty::UncertaintyReason;
use crate::write_log::WriteLog;
use stackgw_router::api::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// How often leases are requested within the duration of one lease.
pub(crate) const REQUESTS_PER_LEASE: Span = 4;

/// An acknowledgement that waits for its record to be stored.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingAcknowledgement {
    record: u64,
    to: Peer,
    sequences: Vec<u64>,
}

impl PendingAcknowledgement {
    fn send(self, context: &mut Context<'_>) {
        context.send(self.to, Message::Acknowledge(self.sequences));
    }
}

/// The replica's state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct SessionReplica {
    positions: SessionPositions,
    peers: BTreeMap<NodeId, PeerProgress>,
    /// Every write that this instance itself has released since this time is known here.
    local_complete_since: Time,
    /// Whether a [`Record::CompletePeer`] for this instance itself was requested or recovered.
    is_recorded_complete: bool,
    pending_acknowledgements: VecDeque<PendingAcknowledgement>,
    next_lease_request_at: Time,
}

impl SessionReplica {
    pub(crate) fn new(now: Time, positions: SessionPositions) -> Self {
        SessionReplica {
            positions,
            peers: BTreeMap::new(),
            local_complete_since: now,
            is_recorded_complete: false,
            pending_acknowledgements: VecDeque::new(),
            next_lease_request_at: now,
        }
    }

    pub(crate) fn positions(&self) -> &SessionPositions {
        &self.positions
    }

    pub(crate) fn positions_mut(&mut self) -> &mut SessionPositions {
        &mut self.positions
    }

    /// Remaining time of the lease that a replica granted.
    pub(crate) fn lease_held_for(&self, now: Time, node: NodeId) -> Span {
        let peer = self.peers.get(&node);
        peer.map_or(0, |peer| (peer.lease_until - now).max(0))
    }

    /// When leases will be requested again.
    pub(crate) fn next_lease_request_at(&self) -> Time {
        self.next_lease_request_at
    }

    /// Restores which histories are complete: those of peers and this instance's own. The records
    /// must be of the replica set in force.
    pub(crate) fn restore_complete_peers(&mut self, local: NodeId, recovered: &Recovered) {
        for complete in &recovered.complete_peers {
            if complete.node == local {
                self.local_complete_since = COMPLETE_HISTORY;
                self.is_recorded_complete = true;
            } else if let Some(peer) = self.peers.get_mut(&complete.node) {
                peer.incarnation = complete.incarnation;
                peer.complete_since = COMPLETE_HISTORY;
                peer.is_recorded_complete = true;
            }
        }
    }

    /// Switches to the replica set in force: from now on requests leases from its replicas.
    pub(crate) fn apply_replica_set(&mut self, context: &Context<'_>) {
        let now = context.now;
        let replica_set = &context.instance.replica_set;
        let local = context.instance.local().node;
        self.peers.retain(|node, _| replica_set.contains(*node));
        for node in replica_set.replicas().iter().filter(|node| **node != local) {
            // A lease granted under another set does not apply to sessions that this replica has
            // come to own.
            let peer = self
                .peers
                .entry(*node)
                .or_insert_with(|| PeerProgress::new(now));
            peer.reset(now);
        }
        self.next_lease_request_at = now;
    }

    /// Records positions of local writes for the sessions that this replica has come to own. For
    /// these sessions it knows its own writes only as far back as the write log goes.
    pub(crate) fn adopt_local_writes(&mut self, context: &Context<'_>, log: &WriteLog) {
        self.local_complete_since = self.local_complete_since.max(log.complete_since());
        self.is_recorded_complete = false;
        let instance = &context.instance;
        let local = instance.local().node;
        for write in log.writes() {
            if instance.replica_set.is_owner(write.key, local) {
                self.positions.add(context.now, write.key, write.position);
            }
        }
    }

    /// Handles that this instance has become a replica. It forwarded its earlier writes to other
    /// replicas, so their positions are not known here.
    pub(crate) fn join_replica_set(&mut self, now: Time) {
        self.local_complete_since = self.local_complete_since.max(now);
    }

    /// Discards the history after the store was found to be an old copy: its records about peers
    /// are no longer valid, and records written after the copy was made are missing.
    pub(crate) fn reset_history(&mut self, now: Time) {
        self.local_complete_since = now;
        self.is_recorded_complete = false;
        for peer in self.peers.values_mut() {
            peer.incarnation = ANY_INCARNATION;
            peer.reset(now);
        }
        self.next_lease_request_at = now;
    }

    /// Compares the incarnation of a message's sender with the last known one. A later incarnation
    /// ends the sender's lease.
    pub(crate) fn observe_incarnation(&mut self, now: Time, from: Peer) -> Freshness {
        self.peers
            .get_mut(&from.node)
            .map_or(Freshness::Current, |peer| {
                peer.observe_incarnation(now, from.incarnation)
            })
    }

    pub(crate) fn handle_lease_grant(
        &mut self,
        context: &Context<'_>,
        from: Peer,
        grant: &LeaseGrant,
    ) {
        if grant.replica_set != context.instance.replica_set.digest() {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&from.node) {
            let lease = context.instance.settings.lease;
            peer.apply_grant(context.now, from.incarnation, lease, grant);
        }
    }

    /// Handles the rejection of a lease request by a peer whose replica set differs.
    pub(crate) fn handle_replica_set_mismatch(&mut self, from: NodeId) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.replica_set_differs = true;
        }
    }

    /// Records positions, and acknowledges them once they are stored, or at once if there is no
    /// store. Ignores them if the store failed and its file stayed in place.
    pub(crate) fn handle_positions(
        &mut self,
        context: &mut Context<'_>,
        from: Peer,
        updates: &[PositionUpdate],
    ) {
        if context.instance.durability.has_failed() {
            return;
        }
        let sequences = updates.iter().map(|update| update.sequence).collect();
        let mut last_record = None;
        for PositionUpdate { key, position, .. } in updates {
            self.positions.add(context.now, *key, *position);
            if context.instance.durability.has_store() {
                last_record = Some(context.store(Record::Position(*key, *position)));
            }
        }
        match last_record {
            None => context.send(from, Message::Acknowledge(sequences)),
            Some(record) => self.acknowledge_when_stored(
                context,
                PendingAcknowledgement {
                    record,
                    to: from,
                    sequences,
                },
            ),
        }
    }

    fn acknowledge_when_stored(
        &mut self,
        context: &mut Context<'_>,
        acknowledgement: PendingAcknowledgement,
    ) {
        if self.pending_acknowledgements.len() < context.instance.settings.max_pending {
            self.pending_acknowledgements.push_back(acknowledgement);
        } else {
            // The writer resends these positions.
            context.instance.counters.rejected += 1;
        }
    }

    /// Sends the acknowledgements whose records are stored.
    pub(crate) fn acknowledge_stored(&mut self, context: &mut Context<'_>) {
        while let Some(acknowledgement) = self
            .pending_acknowledgements
            .pop_front_if(|pending| context.instance.durability.is_stored(pending.record))
        {
            acknowledgement.send(context);
        }
    }

    /// Sends all pending acknowledgements, as there is no store any more.
    pub(crate) fn acknowledge_all(&mut self, context: &mut Context<'_>) {
        for acknowledgement in std::mem::take(&mut self.pending_acknowledgements) {
            acknowledgement.send(context);
        }
    }

    /// Drops all pending acknowledgements, as their records will never be stored.
    pub(crate) fn drop_acknowledgements(&mut self) {
        self.pending_acknowledgements.clear();
    }

    /// Replies to a reader's query for the position that a session must see.
    pub(crate) fn handle_position_query(
        &self,
        context: &mut Context<'_>,
        from: Peer,
        nonce: u64,
        key: SessionKey,
    ) {
        let reply = match self.required_position(context.now, context.instance, key) {
            Ok(position) => Message::PositionReply { nonce, position },
            Err(_) => Message::PositionUncertain { nonce },
        };
        context.send(from, reply);
    }

    /// Whether the next round of lease requests is due.
    pub(crate) fn is_lease_round_due(&self, context: &Context<'_>) -> bool {
        context.instance.is_replica() && self.next_lease_request_at <= context.now
    }

    /// Schedules the next round of lease requests, and drops expired positions.
    pub(crate) fn begin_lease_round(&mut self, context: &Context<'_>) {
        let interval = context.instance.settings.lease / REQUESTS_PER_LEASE;
        self.next_lease_request_at = context.now + interval;
        self.positions.expire(context.now);
    }

    /// Requests a lease from each other replica.
    pub(crate) fn request_leases(&mut self, context: &mut Context<'_>) {
        // A replica whose store failed acknowledges nothing. If it held a lease, it would block
        // every write of the sessions that it owns.
        if context.instance.durability.has_failed() {
            return;
        }
        for (node, peer) in &mut self.peers {
            let nonce = context.next_nonce();
            peer.record_request(context.now, nonce);
            let request = LeaseRequest {
                nonce,
                replica_set: context.instance.replica_set.digest(),
                store_version: context.instance.durability.version(),
            };
            // Addressed to whichever incarnation is running. The request tells that one the
            // incarnation of this instance.
            context.send(Peer::any_incarnation(*node), Message::LeaseRequest(request));
        }
    }

    /// Requests records of the replicas none of whose writes within the retention is missing, so
    /// that after a restart this instance need not wait for a retention until it is certain. Once
    /// per retention, also requests records of the versions of the peers' stores.
    pub(crate) fn record_complete_peers(&mut self, context: &mut Context<'_>) {
        let durability = &context.instance.durability;
        if !durability.has_store() || durability.has_failed() || !durability.replica_set_is_stored()
        {
            return;
        }
        let oldest = context.now - context.instance.settings.retention;
        for peer in self.take_newly_complete(oldest, context.instance.local()) {
            context.store(Record::CompletePeer(peer));
        }
        let now = context.now;
        for known in context.instance.durability.due_peer_versions(now, oldest) {
            let version = known.version.unwrap_or_default();
            context.store(Record::PeerStore(known.peer, version));
        }
    }

    /// Returns the replicas, including this one, none of whose writes since `oldest` is missing and
    /// that are not recorded as complete yet, and marks them as recorded.
    fn take_newly_complete(&mut self, oldest: Time, local: Peer) -> Vec<Peer> {
        let mut complete = Vec::new();
        for (node, peer) in &mut self.peers {
            let is_known = peer.incarnation != ANY_INCARNATION;
            if peer.complete_since <= oldest && !peer.is_recorded_complete && is_known {
                peer.is_recorded_complete = true;
                complete.push(Peer {
                    node: *node,
                    incarnation: peer.incarnation,
                });
            }
        }
        if self.local_complete_since <= oldest && !self.is_recorded_complete {
            self.is_recorded_complete = true;
            complete.push(local);
        }
        complete
    }

    /// Checks that every write whose response was sent within the retention is known here.
    ///
    /// # Errors
    ///
    /// Returns the reason why a write may be missing.
    pub(crate) fn certainty(
        &self,
        now: Time,
        instance: &Instance,
    ) -> Result<(), UncertaintyReason> {
        if instance.durability.has_failed() {
            return Err(UncertaintyReason::StoreFailed);
        }
        for (node, peer) in &self.peers {
            if peer.lease_until <= now {
                return Err(if peer.replica_set_differs {
                    UncertaintyReason::ReplicaSetMismatch(*node)
                } else {
                    UncertaintyReason::NoLease(*node)
                });
            }
        }
        let oldest = now.saturating_sub(instance.settings.retention);
        for (node, peer) in &self.peers {
            if peer.complete_since > oldest {
                return Err(UncertaintyReason::IncompleteHistory(*node));
            }
        }
        if self.local_complete_since > oldest {
            return Err(UncertaintyReason::RecentlyStarted);
        }
        Ok(())
    }

    /// Returns the position that a session must see; `None` if it has not written within the
    /// retention.
    ///
    /// # Errors
    ///
    /// Returns [`UncertaintyReason::OwnersUncertain`] if this instance is not an owner of the
    /// session, or the reason why it is uncertain.
    pub(crate) fn required_position(
        &self,
        now: Time,
        instance: &Instance,
        key: SessionKey,
    ) -> Result<Option<Time>, UncertaintyReason> {
        if !instance.replica_set.is_owner(key, instance.local().node) {
            return Err(UncertaintyReason::OwnersUncertain);
        }
        self.certainty(now, instance)?;
        Ok(self
            .positions
            .get(now, key)
            .map(|recorded| recorded.position))
    }
}
