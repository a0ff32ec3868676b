//! One instance's part in the promise: source, keeper and reader in one state machine.

use crate::identity::{NodeId, Peer, RequestNumber, SessionKey};
use crate::keeper::{Ack, Keeper, ALWAYS};
use crate::message::{
    LeaseGrant, LeaseRequest, Message, PositionUpdate, MAX_POSITIONS_PER_MESSAGE,
};
use crate::output::{Output, ReadRequirement, WriteAdmission};
use crate::positions::{SessionPositions, UNKNOWN_POSITION};
use crate::reader::{Lookup, Reader};
use crate::record::{Record, StoreFailure, StoreVersion};
use crate::replica_set::ReplicaSet;
use crate::settings::Settings;
use crate::source::{Gate, Own, Source};
use crate::status::{PeerStatus, SessionInspection, Status, UncomparedCounters};
use crate::uncertainty::UncertaintyReason;
use stackgw_router::api::{Span, Time};
use std::collections::BTreeMap;

/// Questions for pledges go out so many times in a lease.
const ASKS_PER_LEASE: Span = 4;
/// Batches of marks sent at once to a keeper that has to catch up.
const CATCH_UP: usize = 4;
/// Tries of a guest at one keeper before it turns to the next.
const CARRY_TRIES: u32 = 3;

/// A write that a guest hands to a keeper.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Errand {
    ticket: RequestNumber,
    key: SessionKey,
    position: Time,
    tries: u32,
}

/// The state machine. The same inputs give the same outputs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Sessions {
    set: Settings,
    /// The disk, as far as it had come when this life or the disk itself began; `None`: there is none, or no more.
    disk: Option<StoreVersion>,
    roster: ReplicaSet,
    /// The record of the roster; no pledge before it is on the disk.
    roster_record: u64,
    source: Source,
    keeper: Keeper,
    reader: Reader,
    /// A guest's writes, and those that guests handed over here.
    errands: BTreeMap<u64, Errand>,
    carried: BTreeMap<(Peer, u64), u64>,
    carries: BTreeMap<u64, (Peer, u64)>,
    nonce: u64,
    /// Records asked for, and those that are on the disk; those that were when it began anew.
    records: u64,
    stored: u64,
    voided: u64,
    /// How far others' disks had come when last heard of, in which life, and when that was put on this one's.
    stamps: BTreeMap<NodeId, (Peer, Option<StoreVersion>)>,
    stamps_at: Time,
    tick_at: Time,
    counts: UncomparedCounters,
}

impl Sessions {
    /// An instance that starts now.
    pub fn new(now: Time, mut set: Settings, out: &mut Vec<Output>) -> Self {
        let roster = set.replica_set();
        let me = set.local.node;
        let mut keeper = Keeper::new(now, SessionPositions::new(set.max_positions, set.retention));
        let disk = set
            .recovered
            .as_ref()
            .map(|recovered| recovered.store_version);
        // Danger: kept beside the marks made of it, what the disk had would stand in memory twice.
        let recovered = set.recovered.take().unwrap_or_default();
        let unbroken = if disk.is_some() {
            recovered.unbroken_since
        } else {
            set.local.incarnation
        };
        let mut source = Source::new(now, unbroken, now + set.earlier_lease_bound());
        let same = recovered.replica_set == Some(roster.digest());
        // A guest pledges nothing, so no earlier life of it binds this one. Where the disk shows the same roster, the homes
        // are those that an earlier life pledged to, and their links are bound; else nobody knows whom it pledged to.
        if same || !roster.contains(me) {
            source.quiet_until = now;
        }
        source.take_roster(now, me, &roster);
        keeper.take_roster(now, me, &roster);
        for (key, position) in recovered.positions {
            keeper.marks.add(now, key, position);
        }
        for peer in recovered.complete_peers.iter().filter(|_| same) {
            if peer.node == me {
                (keeper.own_from, keeper.own_on_disk) = (ALWAYS, true);
            } else if let Some(heard) = keeper.heard.get_mut(&peer.node) {
                (heard.incarnation, heard.known_from, heard.on_disk) =
                    (peer.incarnation, ALWAYS, true);
            }
        }
        let mut sessions = Sessions {
            disk,
            roster,
            roster_record: 0,
            source,
            keeper,
            reader: Reader::default(),
            errands: BTreeMap::new(),
            carried: BTreeMap::new(),
            carries: BTreeMap::new(),
            nonce: 0,
            records: 0,
            stored: 0,
            voided: 0,
            stamps: recovered
                .peer_stores
                .iter()
                .map(|(peer, stamp)| (peer.node, (*peer, Some(*stamp))))
                .collect(),
            stamps_at: now,
            tick_at: now,
            counts: UncomparedCounters::default(),
            set,
        };
        for (key, position) in recovered.unacknowledged {
            sessions.keep_own(now, key, position, None, true, out);
        }
        if !same {
            sessions.record_roster(out);
        }
        sessions.handle_timeout(now, out);
        sessions
    }

    /// Whether this instance is a keeper.
    pub fn is_replica(&self) -> bool {
        self.roster.contains(self.set.local.node)
    }

    /// The roster in force.
    pub fn replica_set(&self) -> &ReplicaSet {
        &self.roster
    }

    /// A new list of keepers. What is known under the old one holds no longer.
    pub fn set_replicas(&mut self, now: Time, keepers: Vec<NodeId>, out: &mut Vec<Output>) {
        let was = self.is_replica();
        self.set.replicas = keepers;
        let roster = self.set.replica_set();
        if roster == self.roster {
            return;
        }
        self.roster = roster;
        let me = self.set.local.node;
        self.source.take_roster(now, me, &self.roster);
        self.keeper.take_roster(now, me, &self.roster);
        // Of sessions whose home this has become, it knows its own writes as far back as it has kept them.
        (self.keeper.own_from, self.keeper.own_on_disk) =
            (self.keeper.own_from.max(self.source.covered_from), false);
        for own in self
            .source
            .own
            .values()
            .filter(|own| self.roster.is_owner(own.key, me))
        {
            self.keeper.marks.add(now, own.key, own.position);
        }
        if !was && self.is_replica() {
            self.keeper.own_from = self.keeper.own_from.max(now);
        }
        self.record_roster(out);
        self.handle_timeout(now, out);
    }

    /// A member served a write of this session and gave its position, if it did. Its answer waits for
    /// [`Output::Release`]; where it is [`WriteAdmission::Rejected`] the answer must not leave.
    pub fn record_write(
        &mut self,
        now: Time,
        ticket: RequestNumber,
        key: SessionKey,
        position: Option<Time>,
        out: &mut Vec<Output>,
    ) -> WriteAdmission {
        let position = position.unwrap_or(UNKNOWN_POSITION);
        if self.source.waiting.len() + self.errands.len() >= self.set.max_pending {
            self.counts.rejected += 1;
            return WriteAdmission::Rejected;
        }
        if !self.is_replica() {
            self.nonce += 1;
            self.errands.insert(
                self.nonce,
                Errand {
                    ticket,
                    key,
                    position,
                    tries: 0,
                },
            );
            self.run_errand(self.nonce, out);
            self.tick_at = self.tick_at.min(now + self.set.resend_interval);
            return WriteAdmission::Accepted;
        }
        let seq = self.keep_own(now, key, position, Some(ticket), false, out);
        self.tell(seq, out);
        self.try_release(now, seq, out);
        WriteAdmission::Accepted
    }

    /// The answer of this write will not leave through here: it failed, or its client has gone.
    pub fn cancel_write(&mut self, ticket: RequestNumber) {
        self.errands.retain(|_, errand| errand.ticket != ticket);
        let waits = |seq: &&u64| {
            self.source
                .own
                .get(*seq)
                .is_some_and(|own| own.waits == Some(ticket))
        };
        let seq = self
            .source
            .waiting
            .iter()
            .filter(|seq| !self.carries.contains_key(*seq))
            .find(waits)
            .copied();
        if let Some(seq) = seq {
            self.source.withdraw(seq);
        }
    }

    /// A session read has come in. What it must see follows as [`Output::ReadRequirement`], at once or within the lookups' time.
    pub fn begin_read(
        &mut self,
        now: Time,
        ticket: RequestNumber,
        key: SessionKey,
        out: &mut Vec<Output>,
    ) {
        let me = self.set.local.node;
        let home = self.roster.is_owner(key, me);
        let here = if home {
            self.known_here(now, key)
        } else {
            Err(UncertaintyReason::OwnersUncertain)
        };
        if let Ok(position) = here {
            self.counts.answered_locally += 1;
            return self.need(ticket, position, out);
        }
        if self.reader.lookups.len() >= self.set.max_pending {
            self.counts.rejected += 1;
            return self.cautious(ticket, UncertaintyReason::TooManyReads, out);
        }
        let homes = self.roster.owners(key).filter(|home| *home != me);
        let next = self.reader.worth_asking(now, homes);
        self.look(
            now,
            ticket,
            key,
            next,
            here.err().unwrap_or(UncertaintyReason::OwnersUncertain),
            out,
        );
    }

    /// The read is no longer waited for.
    pub fn cancel_read(&mut self, ticket: RequestNumber) {
        self.reader
            .lookups
            .retain(|_, lookup| lookup.ticket != ticket);
    }

    /// What this instance itself holds of a session, sure or not; for people.
    pub fn inspect_session(&self, now: Time, key: SessionKey) -> SessionInspection {
        SessionInspection {
            position: self.keeper.marks.get(now, key),
            certainty: self.keeper.sure(now, self.set.retention),
        }
    }

    /// A message has come, from this life of an instance to that life of this one.
    pub fn handle_message(
        &mut self,
        now: Time,
        from: Peer,
        to: Peer,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let me = self.set.local;
        let meant = to.node == me.node && (to.incarnation == 0 || to.incarnation == me.incarnation);
        if !meant || from.node == me.node || from.incarnation == 0 {
            self.counts.messages_ignored += 1;
            return;
        }
        // Danger: word from a life that is over would stand for the one that came after it.
        let alive = self.keeper.met(now, from) && self.source.met(from);
        if !alive {
            self.counts.messages_ignored += 1;
            return;
        }
        match message {
            Message::LeaseRequest(LeaseRequest {
                store_version: stamp,
                ..
            })
            | Message::LeaseGrant(LeaseGrant {
                store_version: stamp,
                ..
            }) if self.is_old(from, stamp) => {
                self.send(from, Message::StoreOutdated(stamp.unwrap_or_default()), out);
            }
            Message::StoreOutdated(stamp) => self.void(now, stamp, out),
            Message::LeaseRequest(request) => {
                self.asked(now, from, request.nonce, request.replica_set, out);
            }
            Message::LeaseGrant(grant) => {
                if grant.replica_set == self.roster.digest() {
                    self.keeper.pledged(now, from, self.set.lease, &grant);
                }
            }
            Message::ReplicaSetMismatch { .. } => {
                if let Some(heard) = self.keeper.heard.get_mut(&from.node) {
                    heard.differs = true;
                }
            }
            Message::Replicate(marks) => self.marks(now, from, marks, out),
            Message::Acknowledge(seqs) => {
                self.source.held(from.node, &seqs);
                self.catch_up(from.node, 1, out);
                for seq in seqs {
                    if self.source.waiting.contains(&seq) {
                        self.try_release(now, seq, out);
                    }
                }
            }
            Message::PositionQuery { nonce, key } => {
                let home = self.roster.is_owner(key, me.node);
                let known = if home {
                    self.known_here(now, key)
                } else {
                    Err(UncertaintyReason::OwnersUncertain)
                };
                let word = match known {
                    Ok(position) => Message::PositionReply { nonce, position },
                    Err(_) => Message::PositionUncertain { nonce },
                };
                self.send(from, word, out);
            }
            Message::PositionReply { nonce, position } => {
                if let Some(lookup) = self.reader.answered(nonce, from.node) {
                    self.counts.answered_by_owner += 1;
                    self.reader.forgive(from.node);
                    self.need(lookup.ticket, position, out);
                }
            }
            Message::PositionUncertain { nonce } => {
                if let Some(lookup) = self.reader.answered(nonce, from.node) {
                    self.reader.shun(now, from.node, self.set.resend_interval);
                    self.look(
                        now,
                        lookup.ticket,
                        lookup.key,
                        lookup.next,
                        UncertaintyReason::OwnersUncertain,
                        out,
                    );
                }
            }
            Message::ForwardWrite {
                number: ticket,
                key,
                position,
            } => self.carry(now, from, ticket, key, position, out),
            Message::ForwardedWriteReleased { number: ticket } => {
                if let Some(errand) = self.errands.remove(&ticket) {
                    self.counts.writes_released += 1;
                    out.push(Output::Release(errand.ticket));
                }
            }
        }
    }

    /// So many records are on the disk.
    pub fn handle_records_stored(&mut self, now: Time, records: u64, out: &mut Vec<Output>) {
        self.stored = self.stored.max(records.min(self.records));
        while let Some(ack) = self
            .keeper
            .acks
            .pop_front_if(|ack| ack.record <= self.stored)
        {
            self.send(ack.to, Message::Acknowledge(ack.seqs), out);
        }
        self.release(now, out);
    }

    /// The disk takes nothing more. Where its file has been set aside, so that no later life reads it, this one goes on as
    /// one without a disk. Where it could not be, a later life would take the file for whole: then nothing
    /// is acknowledged, known for sure or let out any more.
    pub fn handle_store_failure(
        &mut self,
        now: Time,
        failure: StoreFailure,
        out: &mut Vec<Output>,
    ) {
        if failure == StoreFailure::LeftInPlace {
            self.keeper.broken = true;
            self.keeper.acks.clear();
            return;
        }
        self.disk = None;
        (self.records, self.stored, self.roster_record) = (0, 0, 0);
        for own in self.source.own.values_mut() {
            own.record = None;
        }
        for ack in std::mem::take(&mut self.keeper.acks) {
            self.send(ack.to, Message::Acknowledge(ack.seqs), out);
        }
        self.release(now, out);
    }

    /// Whether answers of writes can leave at all: not after a disk failed whose file stayed in place. A host does better
    /// to turn writes away before they run.
    pub fn can_release(&self) -> bool {
        !(self.keeper.broken && self.is_replica())
    }

    /// When [`Sessions::handle_timeout`] is wanted next.
    pub fn next_deadline(&self) -> Time {
        let lookup = self
            .reader
            .lookups
            .values()
            .next()
            .map_or(Time::MAX, |l| l.until);
        let ask = if self.is_replica() {
            self.keeper.ask_at
        } else {
            Time::MAX
        };
        let waits = !self.source.waiting.is_empty() || !self.errands.is_empty();
        ask.min(lookup)
            .min(if waits { self.tick_at } else { Time::MAX })
    }

    /// Time has come for what waits for it.
    pub fn handle_timeout(&mut self, now: Time, out: &mut Vec<Output>) {
        for nonce in self.reader.overdue(now) {
            let Some(lookup) = self.reader.lookups.remove(&nonce) else {
                continue;
            };
            self.reader
                .shun(now, lookup.asked, self.set.lease / ASKS_PER_LEASE);
            self.look(
                now,
                lookup.ticket,
                lookup.key,
                lookup.next,
                UncertaintyReason::OwnersUnresponsive,
                out,
            );
        }
        if self.is_replica() && self.keeper.ask_at <= now {
            self.keeper.ask_at = now + self.set.lease / ASKS_PER_LEASE;
            self.keeper.marks.expire(now);
            let pushed = self.source.expire(
                now,
                self.set.retention,
                self.set.max_local_writes,
                self.set.local.incarnation,
            );
            self.counts.local_writes_evicted += pushed;
            self.ask(now, out);
            self.note_whole(now, out);
        }
        if self.tick_at <= now {
            self.tick_at = now + self.set.resend_interval;
            self.tell_again(now, now - self.set.resend_interval, out);
            for nonce in self.errands.keys().copied().collect::<Vec<_>>() {
                self.run_errand(nonce, out);
            }
        }
        self.release(now, out);
    }

    /// What it can tell of itself.
    pub fn status(&self, now: Time) -> Status {
        let others = self.source.links.iter().map(|(node, link)| PeerStatus {
            node: *node,
            incarnation: link.peer.incarnation,
            lease_held_for: self
                .keeper
                .heard
                .get(node)
                .map_or(0, |h| (h.until - now).max(0)),
            lease_granted_for: (link.until - now).max(0),
            unacknowledged: link.owes.len(),
        });
        Status {
            local: self.set.local,
            is_replica: self.is_replica(),
            uncertainty: self.keeper.sure(now, self.set.retention).err(),
            peers: others.collect(),
            positions: self.keeper.marks.len(),
            evicted: self.keeper.marks.evicted(),
            local_writes: self.source.own.len(),
            pending: self.source.waiting.len() + self.errands.len(),
            counters: *self.counts,
        }
    }

    fn send(&mut self, to: Peer, message: Message, out: &mut Vec<Output>) {
        self.counts.messages_sent += 1;
        out.push(Output::Send(to, message));
    }

    fn store(&mut self, record: Record, out: &mut Vec<Output>) -> u64 {
        self.records += 1;
        out.push(Output::Store(record));
        self.records
    }

    fn record_roster(&mut self, out: &mut Vec<Output>) {
        if self.disk.is_some() {
            self.roster_record = self.store(Record::ReplicaSet(self.roster.digest()), out);
        }
    }

    fn peer(&self, node: NodeId) -> Peer {
        self.source
            .links
            .get(&node)
            .map_or(Peer::any_incarnation(node), |link| link.peer)
    }

    // The source.

    /// Keeps an own mark, here as its home too where it is one, and gives its number.
    fn keep_own(
        &mut self,
        now: Time,
        key: SessionKey,
        position: Time,
        waits: Option<RequestNumber>,
        owed: bool,
        out: &mut Vec<Output>,
    ) -> u64 {
        let mut record = None;
        if self.roster.is_owner(key, self.set.local.node) {
            self.keeper.marks.add(now, key, position);
            if self.disk.is_some() && !owed {
                record = Some(self.store(Record::Position(key, position), out));
            }
        }
        self.tick_at = self.tick_at.min(now + self.set.resend_interval);
        self.source.add(
            now,
            &self.roster,
            Own {
                key,
                position,
                waits,
                at: now,
                told: now,
                record,
                owed,
            },
        )
    }

    /// Sends its homes a mark that an answer waits for.
    fn tell(&mut self, seq: u64, out: &mut Vec<Output>) {
        let Some(mark) = self.source.own.get(&seq).map(|own| own.update(seq)) else {
            return;
        };
        let owing = self
            .source
            .links
            .values()
            .filter(|link| link.owes.contains(&seq));
        for peer in owing.map(|link| link.peer).collect::<Vec<_>>() {
            self.send(peer, Message::Replicate(vec![mark]), out);
        }
    }

    /// Sends them once more the marks that were last sent by then.
    fn tell_again(&mut self, now: Time, since: Time, out: &mut Vec<Output>) {
        if self.source.waiting.is_empty() {
            return;
        }
        for peer in self
            .source
            .links
            .values()
            .map(|link| link.peer)
            .collect::<Vec<_>>()
        {
            let marks = self
                .source
                .urgent(peer.node, since, MAX_POSITIONS_PER_MESSAGE);
            if !marks.is_empty() {
                self.send(peer, Message::Replicate(marks), out);
            }
        }
        for seq in &self.source.waiting {
            if let Some(own) = self.source.own.get_mut(seq).filter(|own| own.told <= since) {
                own.told = now;
            }
        }
    }

    fn release(&mut self, now: Time, out: &mut Vec<Output>) {
        for seq in self.source.waiting.iter().copied().collect::<Vec<_>>() {
            self.try_release(now, seq, out);
        }
    }

    fn try_release(&mut self, now: Time, seq: u64, out: &mut Vec<Output>) {
        let disk = self.disk.is_some();
        if !self.can_release() {
            return;
        }
        match self.source.gate(now, seq, self.stored, disk) {
            Gate::Open => {
                self.counts.writes_released += 1;
                let owed = self
                    .source
                    .links
                    .values()
                    .any(|link| link.owes.contains(&seq));
                self.counts.released_unacknowledged += u64::from(owed);
                let Some(ticket) = self.source.let_out(now, seq) else {
                    return;
                };
                match self.carries.remove(&seq) {
                    Some((guest, ticket)) => {
                        self.carried.remove(&(guest, ticket));
                        self.send(
                            guest,
                            Message::ForwardedWriteReleased { number: ticket },
                            out,
                        );
                    }
                    None => out.push(Output::Release(ticket)),
                }
            }
            Gate::Record => {
                let Some((key, position)) = self.source.own.get(&seq).map(|o| (o.key, o.position))
                else {
                    return;
                };
                let record = self.store(Record::Unacknowledged(key, position), out);
                if let Some(own) = self.source.own.get_mut(&seq) {
                    (own.record, own.owed) = (Some(record), true);
                }
            }
            Gate::Shut => {}
        }
    }

    /// Another keeper asks for a pledge. Danger: given before it holds all that has left, it would make that keeper sure of
    /// what it does not know.
    fn asked(&mut self, now: Time, from: Peer, nonce: u64, roster: u64, out: &mut Vec<Output>) {
        if !self.roster.contains(from.node) || !self.is_replica() || roster != self.roster.digest()
        {
            let roster = self.roster.digest();
            let replica_set = roster;
            return self.send(
                from,
                Message::ReplicaSetMismatch { nonce, replica_set },
                out,
            );
        }
        if let Some(link) = self.source.links.get_mut(&from.node) {
            link.sent = 0;
        }
        self.catch_up(from.node, CATCH_UP, out);
        if !self.source.settled(from.node, now - self.set.lease / 2)
            || self.roster_record > self.stored
        {
            return;
        }
        self.source
            .pledge(now, from.node, self.set.lease, &self.roster);
        let covers = now - self.source.covered_from;
        let unbroken_since = self.source.unbroken_since;
        let stamp = self.stamp();
        self.send(
            from,
            Message::LeaseGrant(LeaseGrant {
                nonce,
                replica_set: roster,
                complete_for: covers,
                unbroken_since,
                store_version: stamp,
            }),
            out,
        );
    }

    fn catch_up(&mut self, node: NodeId, batches: usize, out: &mut Vec<Output>) {
        for _ in 0..batches {
            let marks = self.source.next_owed(node, MAX_POSITIONS_PER_MESSAGE);
            if marks.is_empty() {
                return;
            }
            self.send(self.peer(node), Message::Replicate(marks), out);
        }
    }

    // The keeper.

    fn ask(&mut self, now: Time, out: &mut Vec<Output>) {
        // Danger: a pledge to a keeper that acknowledges nothing would hold every write up.
        if self.keeper.broken {
            return;
        }
        for node in self.keeper.heard.keys().copied().collect::<Vec<_>>() {
            self.nonce += 1;
            self.keeper.asked(now, node, self.nonce);
            let ask = Message::LeaseRequest(LeaseRequest {
                nonce: self.nonce,
                replica_set: self.roster.digest(),
                store_version: self.stamp(),
            });
            // Whichever life is there: a new one is met by this.
            self.send(Peer::any_incarnation(node), ask, out);
        }
    }

    /// Puts on the disk of which sources nothing is missing, so that a restart need not wait for a horizon.
    fn note_whole(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.disk.is_none() || self.keeper.broken || self.roster_record > self.stored {
            return;
        }
        let before = now - self.set.retention;
        let mut peers = Vec::new();
        for (node, heard) in &mut self.keeper.heard {
            if heard.known_from <= before && !heard.on_disk && heard.incarnation != 0 {
                heard.on_disk = true;
                peers.push(Peer {
                    node: *node,
                    incarnation: heard.incarnation,
                });
            }
        }
        if self.keeper.own_from <= before && !self.keeper.own_on_disk {
            self.keeper.own_on_disk = true;
            peers.push(self.set.local);
        }
        for peer in peers {
            self.store(Record::CompletePeer(peer), out);
        }
        if self.stamps_at <= before {
            self.stamps_at = now;
            for (peer, stamp) in self.stamps.values().copied().collect::<Vec<_>>() {
                self.store(Record::PeerStore(peer, stamp.unwrap_or_default()), out);
            }
        }
    }

    fn stamp(&self) -> Option<StoreVersion> {
        let disk = self.disk?;
        let records = disk
            .records
            .saturating_add(self.stored.saturating_sub(self.voided));
        Some(StoreVersion { records, ..disk })
    }

    /// Whether a keeper comes with a disk that an earlier life of it had brought further, or had left unused. Danger: it
    /// would vouch for what is not on it, as a source and as a home.
    fn is_old(&mut self, from: Peer, stamp: Option<StoreVersion>) -> bool {
        if !self.roster.contains(from.node) {
            return false;
        }
        let known = self.stamps.get(&from.node).copied();
        let before = known.filter(|(peer, _)| peer.incarnation < from.incarnation);
        if let (Some((peer, seen)), Some(stamp)) =
            (before, stamp.filter(|s| s.store_id != from.incarnation))
        {
            let shorter =
                |s: StoreVersion| s.store_id == stamp.store_id && s.records > stamp.records;
            if stamp.last_incarnation < peer.incarnation || seen.is_some_and(shorter) {
                return true;
            }
        }
        // Within one life a smaller count is that of a message that came late.
        let further =
            known.is_none_or(|(peer, seen)| (peer.incarnation, seen) < (from.incarnation, stamp));
        if further {
            self.stamps.insert(from.node, (from, stamp));
        }
        false
    }

    /// Others know this disk to be older than it was: it begins anew, and so does what this instance can be sure of.
    fn void(&mut self, now: Time, told: StoreVersion, out: &mut Vec<Output>) {
        let Some(disk) = self
            .disk
            .as_mut()
            .filter(|disk| disk.store_id == told.store_id)
        else {
            return;
        };
        let incarnation = self.set.local.incarnation;
        *disk = StoreVersion {
            store_id: incarnation,
            records: 0,
            last_incarnation: 0,
        };
        let begun = *disk;
        // Those that have believed this life already must not go on from that.
        self.source.unbroken_since = incarnation.saturating_add(1);
        self.keeper.void(now);
        self.counts.outdated_stores += 1;
        self.voided = self.store(Record::Invalidated(begun, self.source.unbroken_since), out);
    }

    fn marks(&mut self, now: Time, from: Peer, marks: Vec<PositionUpdate>, out: &mut Vec<Output>) {
        if self.keeper.broken {
            return;
        }
        let seqs = marks.iter().map(|mark| mark.sequence).collect();
        let mut record = None;
        for PositionUpdate { key, position, .. } in marks {
            self.keeper.marks.add(now, key, position);
            if self.disk.is_some() {
                record = Some(self.store(Record::Position(key, position), out));
            }
        }
        match record {
            // What finds no room here is sent once more.
            Some(record) if self.keeper.acks.len() < self.set.max_pending => {
                self.keeper.acks.push_back(Ack {
                    record,
                    to: from,
                    seqs,
                });
            }
            Some(_) => self.counts.rejected += 1,
            None => self.send(from, Message::Acknowledge(seqs), out),
        }
    }

    fn known_here(&self, now: Time, key: SessionKey) -> Result<Option<Time>, UncertaintyReason> {
        self.keeper.sure(now, self.set.retention)?;
        Ok(self.keeper.marks.get(now, key).map(|seen| seen.position))
    }

    // The reader.

    fn look(
        &mut self,
        now: Time,
        ticket: RequestNumber,
        key: SessionKey,
        mut next: std::collections::VecDeque<NodeId>,
        why: UncertaintyReason,
        out: &mut Vec<Output>,
    ) {
        let Some(asked) = next.pop_front() else {
            return self.cautious(ticket, why, out);
        };
        self.nonce += 1;
        let until = now + self.set.lookup_timeout;
        self.reader.lookups.insert(
            self.nonce,
            Lookup {
                ticket,
                key,
                asked,
                next,
                until,
            },
        );
        let look = Message::PositionQuery {
            nonce: self.nonce,
            key,
        };
        self.send(Peer::any_incarnation(asked), look, out);
    }

    fn need(&mut self, ticket: RequestNumber, position: Option<Time>, out: &mut Vec<Output>) {
        match position {
            Some(UNKNOWN_POSITION) => {
                self.cautious(ticket, UncertaintyReason::UnknownPosition, out)
            }
            position => out.push(Output::ReadRequirement(
                ticket,
                ReadRequirement::Position(position),
            )),
        }
    }

    fn cautious(&mut self, ticket: RequestNumber, why: UncertaintyReason, out: &mut Vec<Output>) {
        self.counts.strong_reads += 1;
        out.push(Output::ReadRequirement(
            ticket,
            ReadRequirement::Strong(why),
        ));
    }

    // Guests.

    /// A guest asks one keeper after another to carry its write.
    fn run_errand(&mut self, nonce: u64, out: &mut Vec<Output>) {
        let keepers = self.roster.replicas().len();
        let Some(errand) = self.errands.get_mut(&nonce).filter(|_| keepers > 0) else {
            return;
        };
        let turn =
            (errand.key.0 as usize).wrapping_add((errand.tries / CARRY_TRIES) as usize) % keepers;
        errand.tries += 1;
        let carry = Message::ForwardWrite {
            number: nonce,
            key: errand.key,
            position: errand.position,
        };
        let node = self.roster.replicas()[turn];
        self.send(Peer::any_incarnation(node), carry, out);
    }

    /// A keeper makes a guest's write its own.
    fn carry(
        &mut self,
        now: Time,
        from: Peer,
        ticket: u64,
        key: SessionKey,
        position: Time,
        out: &mut Vec<Output>,
    ) {
        if !self.is_replica() || self.carried.contains_key(&(from, ticket)) {
            return;
        }
        if self.source.waiting.len() >= self.set.max_pending {
            self.counts.rejected += 1;
            return;
        }
        let seq = self.keep_own(now, key, position, Some(ticket), false, out);
        self.carried.insert((from, ticket), seq);
        self.carries.insert(seq, (from, ticket));
        self.tell(seq, out);
        self.try_release(now, seq, out);
    }
}
