//! The writer role: sends the positions of writes to the owners of their sessions, grants leases
//! and releases responses.
//!
//! An instance outside of the replica set forwards its writes to a replica, which handles them as
//! its own.

use crate::context::Context;
use crate::forwarding::{IncomingWrites, Origin, OutgoingWrites};
use crate::identity::{NodeId, Peer, RequestNumber, SessionKey};
use crate::message::{LeaseGrant, LeaseRequest, Message, MAX_POSITIONS_PER_MESSAGE};
use crate::output::WriteAdmission;
use crate::positions::SessionPositions;
use crate::record::Record;
use crate::write_log::{LocalWrite, ReleaseCondition, WriteLog};
use stackgw_router::api::{Span, Time};

/// Number of position messages that are sent at once to a replica that must catch up.
const CATCH_UP_BATCHES: usize = 4;
/// A replica's lease is not renewed while a write has waited for its acknowledgement for longer
/// than the lease duration divided by this.
const UNACKNOWLEDGED_LEASE_DIVISOR: Span = 2;

/// A write to be added to the log.
pub(crate) struct NewWrite {
    pub(crate) key: SessionKey,
    pub(crate) position: Time,
    /// The request whose response waits for its release; `None`: an earlier incarnation released
    /// the response.
    pub(crate) request: Option<RequestNumber>,
}

/// The writer's state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Writer {
    log: WriteLog,
    outgoing: OutgoingWrites,
    incoming: IncomingWrites,
    resend_at: Time,
}

impl Writer {
    pub(crate) fn new(now: Time, log: WriteLog) -> Self {
        Writer {
            log,
            outgoing: OutgoingWrites::default(),
            incoming: IncomingWrites::default(),
            resend_at: now,
        }
    }

    pub(crate) fn log(&self) -> &WriteLog {
        &self.log
    }

    pub(crate) fn log_mut(&mut self) -> &mut WriteLog {
        &mut self.log
    }

    /// Writes that wait for their release.
    pub(crate) fn pending_count(&self) -> usize {
        self.log.pending().len() + self.outgoing.len()
    }

    /// When unacknowledged positions and forwarded writes will be sent again; [`Time::MAX`] if no
    /// write is pending.
    pub(crate) fn next_deadline(&self) -> Time {
        if self.log.pending().is_empty() && self.outgoing.is_empty() {
            Time::MAX
        } else {
            self.resend_at
        }
    }

    pub(crate) fn apply_replica_set(&mut self, context: &Context<'_>) {
        let local = context.instance.local().node;
        self.log
            .apply_replica_set(context.now, local, &context.instance.replica_set);
    }

    /// Records a write that a member has served. Its response waits for its release.
    pub(crate) fn record_write(
        &mut self,
        context: &mut Context<'_>,
        positions: &mut SessionPositions,
        request: RequestNumber,
        key: SessionKey,
        position: Time,
    ) -> WriteAdmission {
        if self.pending_count() >= context.instance.settings.max_pending {
            context.instance.counters.rejected += 1;
            return WriteAdmission::Rejected;
        }
        if context.instance.is_replica() {
            let write = NewWrite {
                key,
                position,
                request: Some(request),
            };
            let sequence = self.append(context, positions, write);
            self.replicate(context, sequence);
            self.try_release(context, sequence);
        } else {
            let number = context.next_nonce();
            self.outgoing.insert(number, request, key, position);
            self.forward(context, number);
            self.schedule_resend(context);
        }
        WriteAdmission::Accepted
    }

    /// Cancels a write whose response will not be sent.
    pub(crate) fn cancel_write(&mut self, request: RequestNumber) {
        self.outgoing.cancel(request);
        let is_canceled = |sequence: &u64| {
            let write = self.log.write(*sequence);
            !self.incoming.is_forwarded(*sequence)
                && write.is_some_and(|write| write.request == Some(request))
        };
        let canceled = self.log.pending().iter().copied().find(is_canceled);
        if let Some(sequence) = canceled {
            self.log.cancel(sequence);
        }
    }

    /// Adds a write that an earlier incarnation released before all owners had acknowledged it.
    pub(crate) fn restore_unacknowledged(
        &mut self,
        context: &mut Context<'_>,
        positions: &mut SessionPositions,
        key: SessionKey,
        position: Time,
    ) {
        let request = None;
        self.append(
            context,
            positions,
            NewWrite {
                key,
                position,
                request,
            },
        );
    }

    /// Handles a forwarded write of another instance as if it were a local one. Ignores it if this
    /// instance is not a replica, already handles the write, or has too many pending writes; the
    /// other instance sends it again.
    pub(crate) fn handle_forwarded_write(
        &mut self,
        context: &mut Context<'_>,
        positions: &mut SessionPositions,
        origin: Origin,
        key: SessionKey,
        position: Time,
    ) {
        if !context.instance.is_replica() || self.incoming.contains(origin) {
            return;
        }
        if self.log.pending().len() >= context.instance.settings.max_pending {
            context.instance.counters.rejected += 1;
            return;
        }
        let write = NewWrite {
            key,
            position,
            request: Some(origin.number),
        };
        let sequence = self.append(context, positions, write);
        self.incoming.insert(origin, sequence);
        self.replicate(context, sequence);
        self.try_release(context, sequence);
    }

    /// Handles the release, by a replica, of a write that this instance forwarded.
    pub(crate) fn handle_forwarded_release(&mut self, context: &mut Context<'_>, number: u64) {
        if let Some(request) = self.outgoing.release(number) {
            context.instance.counters.writes_released += 1;
            context.release(request);
        }
    }

    /// Handles the acknowledgement that a replica has recorded the positions of these writes.
    pub(crate) fn handle_acknowledgement(
        &mut self,
        context: &mut Context<'_>,
        from: NodeId,
        sequences: &[u64],
    ) {
        self.log.acknowledge(from, sequences);
        self.catch_up(context, from, 1);
        for sequence in sequences {
            if self.log.pending().contains(sequence) {
                self.try_release(context, *sequence);
            }
        }
    }

    /// Grants a replica the lease that it requests, if it has acknowledged all released writes, no
    /// pending write has waited too long for its acknowledgement, and the record of the replica
    /// set, if there is a store, is in it. Sends it released writes that it has not acknowledged.
    /// Rejects the request if the replica sets differ.
    ///
    /// A lease granted before the released writes are acknowledged would make the replica certain
    /// although it is missing writes.
    pub(crate) fn handle_lease_request(
        &mut self,
        context: &mut Context<'_>,
        from: Peer,
        request: &LeaseRequest,
    ) {
        let instance = &context.instance;
        let replica_set = instance.replica_set.digest();
        let is_peer = instance.replica_set.contains(from.node) && instance.is_replica();
        if !is_peer || request.replica_set != replica_set {
            let nonce = request.nonce;
            return context.send(from, Message::ReplicaSetMismatch { nonce, replica_set });
        }
        self.log.restart_catch_up(from.node);
        self.catch_up(context, from.node, CATCH_UP_BATCHES);
        if self.may_grant_lease(context, from.node) {
            self.grant_lease(context, from, request.nonce);
        }
    }

    /// Resends pending positions and forwarded writes when the resend interval has passed.
    pub(crate) fn handle_timeout(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        if self.resend_at > now {
            return;
        }
        let resend_interval = context.instance.settings.resend_interval;
        self.resend_at = now + resend_interval;
        self.resend_pending(context, now - resend_interval);
        for number in self.outgoing.numbers() {
            self.forward(context, number);
        }
    }

    /// Drops writes that are older than the retention, and the oldest ones beyond the maximum
    /// number.
    pub(crate) fn expire(&mut self, context: &mut Context<'_>) {
        let settings = &context.instance.settings;
        let evicted = self.log.expire(
            context.now,
            settings.retention,
            settings.max_local_writes,
            settings.local.incarnation,
        );
        context.instance.counters.local_writes_evicted += evicted;
    }

    /// Releases the responses of all writes whose release condition is met.
    pub(crate) fn release_ready(&mut self, context: &mut Context<'_>) {
        for sequence in self.log.pending().iter().copied().collect::<Vec<_>>() {
            self.try_release(context, sequence);
        }
    }

    fn schedule_resend(&mut self, context: &Context<'_>) {
        let resend_interval = context.instance.settings.resend_interval;
        self.resend_at = self.resend_at.min(context.now + resend_interval);
    }

    /// Adds a write to the log, and its position to the recorded positions if this instance is an
    /// owner. Returns the sequence number.
    fn append(
        &mut self,
        context: &mut Context<'_>,
        positions: &mut SessionPositions,
        write: NewWrite,
    ) -> u64 {
        let NewWrite {
            key,
            position,
            request,
        } = write;
        let now = context.now;
        let is_restored = request.is_none();
        let mut record = None;
        let local = context.instance.local().node;
        if context.instance.replica_set.is_owner(key, local) {
            positions.add(now, key, position);
            if context.instance.durability.has_store() && !is_restored {
                record = Some(context.store(Record::Position(key, position)));
            }
        }
        self.schedule_resend(context);
        let write = LocalWrite {
            key,
            position,
            request,
            since: now,
            last_sent_at: now,
            record,
            is_recorded_unacknowledged: is_restored,
        };
        self.log.append(now, &context.instance.replica_set, write)
    }

    /// Sends the position of a write to the owners that have not acknowledged it.
    fn replicate(&self, context: &mut Context<'_>, sequence: u64) {
        let Some((update, peers)) = self.log.update_and_recipients(sequence) else {
            return;
        };
        for peer in peers {
            context.send(peer, Message::Replicate(vec![update]));
        }
    }

    /// Resends pending positions that were last sent at or before `sent_by`.
    fn resend_pending(&mut self, context: &mut Context<'_>, sent_by: Time) {
        if self.log.pending().is_empty() {
            return;
        }
        for peer in self.log.peers().values().map(|peer| peer.peer) {
            let updates = self
                .log
                .pending_updates(peer.node, sent_by, MAX_POSITIONS_PER_MESSAGE);
            if !updates.is_empty() {
                context.send(peer, Message::Replicate(updates));
            }
        }
        self.log.mark_sent(context.now, sent_by);
    }

    /// Sends a replica up to `batches` messages with the next released writes that it has not
    /// acknowledged.
    fn catch_up(&mut self, context: &mut Context<'_>, node: NodeId, batches: usize) {
        for _ in 0..batches {
            let updates = self.log.next_unsent(node, MAX_POSITIONS_PER_MESSAGE);
            if updates.is_empty() {
                return;
            }
            context.send(self.log.last_known_peer(node), Message::Replicate(updates));
        }
    }

    fn may_grant_lease(&self, context: &Context<'_>, node: NodeId) -> bool {
        let max_pending_time = context.instance.settings.lease / UNACKNOWLEDGED_LEASE_DIVISOR;
        self.log
            .may_grant_lease(node, context.now - max_pending_time)
            && context.instance.durability.replica_set_is_stored()
    }

    fn grant_lease(&mut self, context: &mut Context<'_>, to: Peer, nonce: u64) {
        let instance = &context.instance;
        let lease = instance.settings.lease;
        self.log
            .grant_lease(context.now, to.node, lease, &instance.replica_set);
        let grant = LeaseGrant {
            nonce,
            replica_set: instance.replica_set.digest(),
            complete_for: context.now - self.log.complete_since(),
            unbroken_since: self.log.unbroken_since(),
            store_version: instance.durability.version(),
        };
        context.send(to, Message::LeaseGrant(grant));
    }

    fn try_release(&mut self, context: &mut Context<'_>, sequence: u64) {
        if !context.instance.can_release() {
            return;
        }
        let durability = &context.instance.durability;
        match self
            .log
            .release_condition(context.now, sequence, durability)
        {
            ReleaseCondition::Met => self.release(context, sequence),
            ReleaseCondition::NeedsRecord => self.record_unacknowledged(context, sequence),
            ReleaseCondition::Pending => {}
        }
    }

    fn release(&mut self, context: &mut Context<'_>, sequence: u64) {
        let is_unacknowledged = self.log.is_unacknowledged(sequence);
        let counters = &mut context.instance.counters;
        counters.writes_released += 1;
        counters.released_unacknowledged += u64::from(is_unacknowledged);
        let Some(request) = self.log.release(context.now, sequence) else {
            return;
        };
        match self.incoming.remove(sequence) {
            Some(Origin { peer, number }) => {
                context.send(peer, Message::ForwardedWriteReleased { number });
            }
            None => context.release(request),
        }
    }

    /// Requests a record that some owner has not acknowledged a write, so that a later incarnation
    /// sends it again.
    fn record_unacknowledged(&mut self, context: &mut Context<'_>, sequence: u64) {
        let Some(write) = self.log.write(sequence) else {
            return;
        };
        let record = context.store(Record::Unacknowledged(write.key, write.position));
        self.log.set_unacknowledged_record(sequence, record);
    }

    fn forward(&mut self, context: &mut Context<'_>, number: u64) {
        let replicas = context.instance.replica_set.replicas();
        if let Some((replica, message)) = self.outgoing.next_attempt(number, replicas) {
            context.send(replica, message);
        }
    }
}
