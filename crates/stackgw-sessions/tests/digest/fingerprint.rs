//! Hashes outputs and states by numeric codes, so that renames do not change the digest.

use crate::common::Simulation;
use stackgw_sessions::*;
use std::collections::BTreeSet;

/// A 64-bit FNV-1a hash, with the kinds of records, reasons and messages that went into it.
pub struct Digest {
    pub hash: u64,
    pub records: BTreeSet<u64>,
    pub reasons: BTreeSet<u64>,
    pub messages: BTreeSet<u8>,
}

impl Digest {
    pub fn new() -> Self {
        Digest {
            hash: 0xcbf2_9ce4_8422_2325,
            records: BTreeSet::new(),
            reasons: BTreeSet::new(),
            messages: BTreeSet::new(),
        }
    }

    fn byte(&mut self, byte: u8) {
        self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }

    pub fn number(&mut self, number: u64) {
        number
            .to_le_bytes()
            .into_iter()
            .for_each(|byte| self.byte(byte));
    }

    pub fn signed(&mut self, number: i64) {
        self.number(number as u64);
    }

    fn optional(&mut self, number: Option<i64>) {
        self.number(u64::from(number.is_some()));
        self.signed(number.unwrap_or_default());
    }

    fn peer(&mut self, peer: Peer) {
        self.number(peer.node.0);
        self.number(peer.incarnation);
    }

    fn version(&mut self, version: StoreVersion) {
        [version.store_id, version.records, version.last_incarnation]
            .into_iter()
            .for_each(|n| self.number(n));
    }

    fn reason(&mut self, reason: Option<UncertaintyReason>) {
        let (code, node) = match reason {
            None => (0, None),
            Some(UncertaintyReason::NoLease(node)) => (1, Some(node)),
            Some(UncertaintyReason::ReplicaSetMismatch(node)) => (2, Some(node)),
            Some(UncertaintyReason::IncompleteHistory(node)) => (3, Some(node)),
            Some(UncertaintyReason::RecentlyStarted) => (4, None),
            Some(UncertaintyReason::StoreFailed) => (5, None),
            Some(UncertaintyReason::OwnersUnresponsive) => (6, None),
            Some(UncertaintyReason::OwnersUncertain) => (7, None),
            Some(UncertaintyReason::UnknownPosition) => (8, None),
            Some(UncertaintyReason::TooManyReads) => (9, None),
        };
        self.reasons.insert(code);
        self.number(code);
        self.number(node.map_or(0, |node| node.0));
        let text = reason.map_or(String::new(), |reason| {
            reason.describe(|node| node.0.to_string())
        });
        text.bytes().for_each(|byte| self.byte(byte));
    }

    fn record(&mut self, record: &Record) {
        let code = match record {
            Record::ReplicaSet(_) => 1,
            Record::Position(..) => 2,
            Record::Unacknowledged(..) => 3,
            Record::CompletePeer(_) => 4,
            Record::PeerStore(..) => 5,
            Record::Invalidated(..) => 6,
        };
        self.records.insert(code);
        self.number(code);
        match record {
            Record::ReplicaSet(digest) => {
                self.number(*digest);
            }
            Record::Position(key, position) => {
                self.number(key.0);
                self.signed(*position);
            }
            Record::Unacknowledged(key, position) => {
                self.number(key.0);
                self.signed(*position);
            }
            Record::CompletePeer(peer) => {
                self.peer(*peer);
            }
            Record::PeerStore(peer, version) => {
                self.peer(*peer);
                self.version(*version);
            }
            Record::Invalidated(version, unbroken_since) => {
                self.version(*version);
                self.number(*unbroken_since);
            }
        }
    }

    pub fn output(&mut self, output: &Output) {
        match output {
            Output::Send(to, message) => {
                self.number(1);
                let bytes = message.encode(*to);
                // The encoding begins with the destination, followed by the index of the message's
                // variant. This message has one byte for the index and one for the nonce.
                let kind = Message::PositionUncertain { nonce: 0 }.encode(*to).len() - 2;
                self.messages.insert(bytes[kind]);
                bytes.into_iter().for_each(|byte| self.byte(byte));
            }
            Output::Release(request) => {
                self.number(2);
                self.number(*request);
            }
            Output::ReadRequirement(request, ReadRequirement::Position(position)) => {
                self.number(3);
                self.number(*request);
                self.optional(*position);
            }
            Output::ReadRequirement(request, ReadRequirement::Strong(reason)) => {
                self.number(4);
                self.number(*request);
                self.reason(Some(*reason));
            }
            Output::Store(record) => {
                self.number(5);
                self.record(record);
            }
        }
    }

    fn status(&mut self, status: &Status) {
        self.peer(status.local);
        self.number(u64::from(status.is_replica));
        self.reason(status.uncertainty);
        for peer in &status.peers {
            self.peer(Peer {
                node: peer.node,
                incarnation: peer.incarnation,
            });
            self.signed(peer.lease_held_for);
            self.signed(peer.lease_granted_for);
            self.number(peer.unacknowledged as u64);
        }
        [status.positions, status.local_writes, status.pending]
            .into_iter()
            .for_each(|n| self.number(n as u64));
        self.number(status.evicted);
        let counters = status.counters;
        let counters = [
            counters.answered_locally,
            counters.answered_by_owner,
            counters.strong_reads,
            counters.writes_released,
            counters.released_unacknowledged,
            counters.messages_ignored,
            counters.messages_sent,
            counters.local_writes_evicted,
            counters.rejected,
            counters.outdated_stores,
        ];
        counters.into_iter().for_each(|n| self.number(n));
    }

    /// Adds the status of an instance and what it knows of a session.
    pub fn instance(&mut self, simulation: &Simulation, n: usize, key: SessionKey) {
        self.number(n as u64);
        let Some(running) = simulation.instances[n].running.as_ref() else {
            return;
        };
        let now = simulation.clock(n);
        self.status(&running.status(now));
        self.signed(running.next_deadline());
        self.number(u64::from(running.can_release()) + 2 * u64::from(running.is_replica()));
        self.number(running.replica_set().digest());
        running
            .replica_set()
            .replicas()
            .iter()
            .for_each(|node| self.number(node.0));
        running
            .replica_set()
            .owners(key)
            .for_each(|node| self.number(node.0));
        let inspection = running.inspect_session(now, key);
        let recorded = inspection.position;
        self.optional(recorded.map(|recorded| recorded.position));
        self.optional(recorded.map(|recorded| recorded.at));
        self.number(recorded.map_or(2, |recorded| u64::from(recorded.evicted)));
        self.reason(inspection.certainty.err());
    }
}
