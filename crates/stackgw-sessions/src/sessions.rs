//! The state machine of one instance: routes each input to the role that handles it.

use crate::context::{Context, Instance};
use crate::durability::Durability;
use crate::forwarding::Origin;
use crate::identity::{Freshness, NodeId, Peer, RequestNumber, SessionKey, ANY_INCARNATION};
use crate::message::Message;
use crate::output::{Output, WriteAdmission};
use crate::positions::{SessionPositions, UNKNOWN_POSITION};
use crate::reader::Reader;
use crate::record::{Record, Recovered, StoreFailure, StoreVersion};
use crate::replica_set::ReplicaSet;
use crate::session_replica::SessionReplica;
use crate::settings::Settings;
use crate::status::{PeerStatus, SessionInspection, Status};
use crate::write_log::WriteLog;
use crate::writer::Writer;
use stackgw_router::api::Time;

/// The state machine of one instance. It is deterministic: the same inputs give the same outputs.
///
/// `now` is the instance's own clock in nanoseconds, which never goes back within an incarnation.
/// Outputs are appended to `outputs` in the order in which the host must carry them out.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Sessions {
    instance: Instance,
    writer: Writer,
    replica: SessionReplica,
    reader: Reader,
}

impl Sessions {
    /// Starts an instance at `now`.
    pub fn new(now: Time, mut settings: Settings, outputs: &mut Vec<Output>) -> Self {
        // Taken out of the settings, which outlive this function. Otherwise the recovered records
        // and the positions built from them would both stay in memory.
        let recovered = settings.recovered.take();
        let durability = Durability::new(now, recovered.as_ref());
        let log = new_write_log(now, &settings, recovered.as_ref());
        let positions = SessionPositions::new(settings.max_positions, settings.retention);
        let mut sessions = Sessions {
            instance: Instance::new(settings, durability),
            writer: Writer::new(now, log),
            replica: SessionReplica::new(now, positions),
            reader: Reader::default(),
        };
        sessions.restore(now, recovered.unwrap_or_default(), outputs);
        sessions.handle_timeout(now, outputs);
        sessions
    }

    /// Returns whether this instance is a session replica.
    pub fn is_replica(&self) -> bool {
        self.instance.is_replica()
    }

    /// Returns the current replica set.
    pub fn replica_set(&self) -> &ReplicaSet {
        &self.instance.replica_set
    }

    /// Replaces the list of replicas; has no effect if the replica set stays the same.
    ///
    /// Discards the leases that this instance holds and what it knows of the other replicas'
    /// histories. Leases that it has granted stay in effect until they end.
    pub fn set_replicas(&mut self, now: Time, replicas: Vec<NodeId>, outputs: &mut Vec<Output>) {
        let was_replica = self.is_replica();
        self.instance.settings.replicas = replicas;
        let replica_set = self.instance.settings.replica_set();
        if replica_set == self.instance.replica_set {
            return;
        }
        self.instance.replica_set = replica_set;
        let mut context = Context::new(now, &mut self.instance, outputs);
        self.writer.apply_replica_set(&context);
        self.replica.apply_replica_set(&context);
        self.replica.adopt_local_writes(&context, self.writer.log());
        if !was_replica && context.instance.is_replica() {
            self.replica.join_replica_set(now);
        }
        context.record_replica_set();
        self.handle_timeout(now, outputs);
    }

    /// Records a write of a session that a member served, with its position if the member reported
    /// one.
    ///
    /// If the write is accepted, its response waits for [`Output::Release`]. If it is rejected, too
    /// many writes are pending, and the response must not be sent.
    pub fn record_write(
        &mut self,
        now: Time,
        request: RequestNumber,
        key: SessionKey,
        position: Option<Time>,
        outputs: &mut Vec<Output>,
    ) -> WriteAdmission {
        let position = position.unwrap_or(UNKNOWN_POSITION);
        let mut context = Context::new(now, &mut self.instance, outputs);
        let positions = self.replica.positions_mut();
        self.writer
            .record_write(&mut context, positions, request, key, position)
    }

    /// Cancels a write whose response will not be sent, because the write failed or its client has
    /// disconnected.
    pub fn cancel_write(&mut self, request: RequestNumber) {
        self.writer.cancel_write(request);
    }

    /// Starts a session read that has arrived. [`Output::ReadRequirement`] follows at once, or
    /// after at most one lookup timeout for each owner.
    pub fn begin_read(
        &mut self,
        now: Time,
        request: RequestNumber,
        key: SessionKey,
        outputs: &mut Vec<Output>,
    ) {
        let mut context = Context::new(now, &mut self.instance, outputs);
        self.reader
            .begin_read(&mut context, &self.replica, request, key);
    }

    /// Cancels a read whose requirement is no longer needed.
    pub fn cancel_read(&mut self, request: RequestNumber) {
        self.reader.cancel_read(request);
    }

    /// Returns what this instance itself knows of a session, for operators.
    pub fn inspect_session(&self, now: Time, key: SessionKey) -> SessionInspection {
        SessionInspection {
            position: self.replica.positions().get(now, key),
            certainty: self.replica.certainty(now, &self.instance),
        }
    }

    /// Handles a message from an incarnation of a peer to an incarnation of this instance.
    ///
    /// Ignores and counts a message that is for another instance or incarnation, whose sender is
    /// invalid, or whose sender is an earlier incarnation than the last known one. If the message
    /// shows that its sender's store is outdated, replies with [`Message::StoreOutdated`] and does
    /// not handle the message otherwise.
    pub fn handle_message(
        &mut self,
        now: Time,
        from: Peer,
        to: Peer,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        // Without this check, a message of an earlier incarnation would be attributed to a later
        // one.
        if !self.is_addressed(from, to)
            || self.observe_incarnation(now, from) == Freshness::Outdated
        {
            self.instance.counters.messages_ignored += 1;
            return;
        }
        match self.outdated_store(from, &message) {
            Some(reported) => Context::new(now, &mut self.instance, outputs)
                .send(from, Message::StoreOutdated(reported)),
            None => self.route_message(now, from, message, outputs),
        }
    }

    /// Handles the confirmation that the first `records` requested records are in the store.
    pub fn handle_records_stored(&mut self, now: Time, records: u64, outputs: &mut Vec<Output>) {
        self.instance.durability.confirm(records);
        let mut context = Context::new(now, &mut self.instance, outputs);
        self.replica.acknowledge_stored(&mut context);
        self.writer.release_ready(&mut context);
    }

    /// Handles a failure of the store, which accepts no more records.
    ///
    /// If its file was set aside, so that no later incarnation reads it, this incarnation continues
    /// without a store. If the file was left in place, a later incarnation would treat it as
    /// complete: this incarnation then acknowledges nothing, releases nothing while it is a
    /// replica, and is no longer certain of the positions that session reads must see.
    pub fn handle_store_failure(
        &mut self,
        now: Time,
        failure: StoreFailure,
        outputs: &mut Vec<Output>,
    ) {
        match failure {
            StoreFailure::LeftInPlace => {
                self.instance.durability.mark_failed();
                self.replica.drop_acknowledgements();
            }
            StoreFailure::SetAside => {
                self.instance.durability.remove_store();
                self.writer.log_mut().clear_records();
                let mut context = Context::new(now, &mut self.instance, outputs);
                self.replica.acknowledge_all(&mut context);
                self.writer.release_ready(&mut context);
            }
        }
    }

    /// Returns whether responses to writes can be released at all. Returns `false` if this instance
    /// is a replica whose store failed and whose file stayed in place. The host should then reject
    /// writes before they are executed.
    pub fn can_release(&self) -> bool {
        self.instance.can_release()
    }

    /// Returns when [`Sessions::handle_timeout`] must be called next; [`Time::MAX`] if there is no
    /// deadline.
    pub fn next_deadline(&self) -> Time {
        let lease_request = if self.is_replica() {
            self.replica.next_lease_request_at()
        } else {
            Time::MAX
        };
        lease_request
            .min(self.reader.next_deadline())
            .min(self.writer.next_deadline())
    }

    /// Handles all deadlines that have passed: resends messages, queries further owners, requests
    /// leases and drops expired data. Also releases the responses that no longer have to wait.
    pub fn handle_timeout(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let mut context = Context::new(now, &mut self.instance, outputs);
        self.reader.handle_timeout(&mut context);
        if self.replica.is_lease_round_due(&context) {
            self.replica.begin_lease_round(&context);
            self.writer.expire(&mut context);
            self.replica.request_leases(&mut context);
            // A peer is complete if no write that it has released within the retention is missing
            // here.
            self.replica.record_complete_peers(&mut context);
        }
        self.writer.handle_timeout(&mut context);
        self.writer.release_ready(&mut context);
    }

    /// Returns the state of this instance, for operators.
    pub fn status(&self, now: Time) -> Status {
        let log = self.writer.log();
        let peers = log.peers().iter().map(|(node, peer)| PeerStatus {
            node: *node,
            incarnation: peer.peer.incarnation,
            lease_held_for: self.replica.lease_held_for(now, *node),
            lease_granted_for: (peer.lease_until - now).max(0),
            unacknowledged: peer.unacknowledged.len(),
        });
        Status {
            local: self.instance.local(),
            is_replica: self.is_replica(),
            uncertainty: self.replica.certainty(now, &self.instance).err(),
            peers: peers.collect(),
            positions: self.replica.positions().len(),
            evicted: self.replica.positions().evicted(),
            local_writes: log.len(),
            pending: self.writer.pending_count(),
            counters: *self.instance.counters,
        }
    }

    /// Restores the state recovered from the store.
    fn restore(&mut self, now: Time, recovered: Recovered, outputs: &mut Vec<Output>) {
        let is_same_set = recovered.replica_set == Some(self.instance.replica_set.digest());
        let mut context = Context::new(now, &mut self.instance, outputs);
        self.writer.apply_replica_set(&context);
        self.replica.apply_replica_set(&context);
        // Under another replica set, this instance may own sessions whose writes it has not
        // received.
        if is_same_set {
            let local = context.instance.local().node;
            self.replica.restore_complete_peers(local, &recovered);
        }
        let positions = self.replica.positions_mut();
        for (key, position) in recovered.positions {
            positions.add(now, key, position);
        }
        for (key, position) in recovered.unacknowledged {
            self.writer
                .restore_unacknowledged(&mut context, positions, key, position);
        }
        if !is_same_set {
            context.record_replica_set();
        }
    }

    /// Whether a message names a specific incarnation of another instance as its sender, and this
    /// incarnation, or any incarnation of this instance, as its destination.
    fn is_addressed(&self, from: Peer, to: Peer) -> bool {
        let local = self.instance.local();
        let is_destination =
            to.incarnation == ANY_INCARNATION || to.incarnation == local.incarnation;
        let has_valid_sender = from.node != local.node && from.incarnation != ANY_INCARNATION;
        to.node == local.node && is_destination && has_valid_sender
    }

    /// Compares the incarnation of a message's sender with the last known one, and updates the
    /// latter.
    fn observe_incarnation(&mut self, now: Time, from: Peer) -> Freshness {
        match self.replica.observe_incarnation(now, from) {
            Freshness::Current => self.writer.log_mut().observe_incarnation(from),
            Freshness::Outdated => Freshness::Outdated,
        }
    }

    /// Checks the store version in a lease request or grant from a replica, and records it if it is
    /// newer than the last known one. Returns the reported version if it shows that the store is
    /// outdated; `None` for a current store, for other messages and for other senders.
    fn outdated_store(&mut self, from: Peer, message: &Message) -> Option<StoreVersion> {
        let version = match message {
            Message::LeaseRequest(request) => request.store_version,
            Message::LeaseGrant(grant) => grant.store_version,
            _ => return None,
        };
        if !self.instance.replica_set.contains(from.node) {
            return None;
        }
        match self.instance.durability.check_peer_store(from, version) {
            Freshness::Current => None,
            Freshness::Outdated => Some(version.unwrap_or_default()),
        }
    }

    /// Invalidates the store after a peer has reported that it is outdated at version `reported`:
    /// resets the version of the store and the history of this instance, which is what it has
    /// recorded of its own unacknowledged writes and of the peers' writes. Has no effect if there
    /// is no store or the report is about a different one.
    fn invalidate_store(&mut self, now: Time, reported: StoreVersion, outputs: &mut Vec<Output>) {
        let incarnation = self.instance.local().incarnation;
        let new_version = self
            .instance
            .durability
            .reset_version(reported, incarnation);
        let Some(version) = new_version else {
            return;
        };
        // Unacknowledged writes of earlier incarnations may be missing from the write log, so peers
        // that hold leases of this incarnation must no longer rely on its history.
        self.writer.log_mut().mark_history_broken(incarnation);
        self.replica.reset_history(now);
        self.instance.counters.outdated_stores += 1;
        let unbroken_since = self.writer.log().unbroken_since();
        let record = Context::new(now, &mut self.instance, outputs)
            .store(Record::Invalidated(version, unbroken_since));
        self.instance.durability.set_invalidation_record(record);
    }

    fn route_message(
        &mut self,
        now: Time,
        from: Peer,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        let context = &mut Context::new(now, &mut self.instance, outputs);
        match message {
            Message::LeaseRequest(request) => {
                self.writer.handle_lease_request(context, from, &request);
            }
            Message::LeaseGrant(grant) => {
                self.replica.handle_lease_grant(context, from, &grant);
            }
            Message::StoreOutdated(reported) => self.invalidate_store(now, reported, outputs),
            Message::ReplicaSetMismatch { .. } => {
                self.replica.handle_replica_set_mismatch(from.node);
            }
            Message::Replicate(updates) => {
                self.replica.handle_positions(context, from, &updates);
            }
            Message::Acknowledge(sequences) => {
                self.writer
                    .handle_acknowledgement(context, from.node, &sequences);
            }
            Message::PositionQuery { nonce, key } => {
                self.replica
                    .handle_position_query(context, from, nonce, key);
            }
            Message::PositionReply { nonce, position } => {
                self.reader
                    .handle_position_reply(context, from.node, nonce, position);
            }
            Message::PositionUncertain { nonce } => {
                self.reader
                    .handle_uncertain_reply(context, from.node, nonce);
            }
            Message::ForwardWrite {
                number,
                key,
                position,
            } => {
                let origin = Origin { peer: from, number };
                let positions = self.replica.positions_mut();
                self.writer
                    .handle_forwarded_write(context, positions, origin, key, position);
            }
            Message::ForwardedWriteReleased { number } => {
                self.writer.handle_forwarded_release(context, number);
            }
        }
    }
}

/// Creates the write log at start.
fn new_write_log(now: Time, settings: &Settings, recovered: Option<&Recovered>) -> WriteLog {
    let unbroken_since = recovered.map_or(settings.local.incarnation, |recovered| {
        recovered.unbroken_since
    });
    let earlier_leases_until = now + settings.earlier_lease_bound();
    let mut log = WriteLog::new(now, unbroken_since, earlier_leases_until);
    let replica_set = settings.replica_set();
    let recorded_set = recovered.and_then(|recovered| recovered.replica_set);
    // An instance outside of the replica set forwards its writes to a replica, which releases them,
    // so nothing is held back here for leases that earlier incarnations granted. If it joins the
    // set later, each other replica is assumed to hold such a lease. If the store has the same set,
    // leases were granted only to replicas of that set, and each of these is assumed to hold one.
    // Otherwise, it is not known to which replicas leases were granted, and nothing is released
    // until all of them have ended.
    let is_same_set = recorded_set == Some(replica_set.digest());
    if is_same_set || !replica_set.contains(settings.local.node) {
        log.allow_release(now);
    }
    log
}
