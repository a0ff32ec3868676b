//! A digest of everything that several instances put out over random histories. Equal before and after a change that is
//! meant to change nothing. `cargo test -p stackgw-sessions --test digest -- --ignored --nocapture`.

mod common;

use common::*;
use rand::Rng;
use stackgw_router::api::{Span, Time, MS, SECOND};
use stackgw_sessions::*;
use std::collections::BTreeSet;

const HISTORIES: u64 = 400;
const STEPS: usize = 700;
/// Numbers of this test's own reads and writes, apart from those of the world.
const FIRST_TICKET: u64 = 1 << 40;
const SESSIONS: u64 = 14;

/// FNV-1a, 64 bits, and which kinds of outputs went into it.
struct Digest {
    hash: u64,
    records: BTreeSet<u64>,
    reasons: BTreeSet<u64>,
    messages: BTreeSet<u8>,
}

impl Digest {
    fn new() -> Self {
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

    fn number(&mut self, number: u64) {
        number
            .to_le_bytes()
            .into_iter()
            .for_each(|byte| self.byte(byte));
    }

    fn signed(&mut self, number: i64) {
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

    fn stamp(&mut self, stamp: StoreVersion) {
        [stamp.store_id, stamp.records, stamp.last_incarnation]
            .into_iter()
            .for_each(|n| self.number(n));
    }

    fn why(&mut self, why: Option<UncertaintyReason>) {
        let (code, node) = match why {
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
        let text = why.map_or(String::new(), |why| why.describe(|node| node.0.to_string()));
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
            Record::PeerStore(peer, stamp) => {
                self.peer(*peer);
                self.stamp(*stamp);
            }
            Record::Invalidated(stamp, unbroken_since) => {
                self.stamp(*stamp);
                self.number(*unbroken_since);
            }
        }
    }

    fn output(&mut self, output: &Output) {
        match output {
            Output::Send(to, message) => {
                self.number(1);
                let bytes = message.encode(*to);
                // Behind the destination stands which message it is.
                let kind = Message::PositionUncertain { nonce: 0 }.encode(*to).len() - 2;
                self.messages.insert(bytes[kind]);
                bytes.into_iter().for_each(|byte| self.byte(byte));
            }
            Output::Release(ticket) => {
                self.number(2);
                self.number(*ticket);
            }
            Output::ReadRequirement(ticket, ReadRequirement::Position(position)) => {
                self.number(3);
                self.number(*ticket);
                self.optional(*position);
            }
            Output::ReadRequirement(ticket, ReadRequirement::Strong(why)) => {
                self.number(4);
                self.number(*ticket);
                self.why(Some(*why));
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
        self.why(status.uncertainty);
        for other in &status.peers {
            self.peer(Peer {
                node: other.node,
                incarnation: other.incarnation,
            });
            self.signed(other.lease_held_for);
            self.signed(other.lease_granted_for);
            self.number(other.unacknowledged as u64);
        }
        [status.positions, status.local_writes, status.pending]
            .into_iter()
            .for_each(|n| self.number(n as u64));
        self.number(status.evicted);
        let counts = status.counters;
        let counts = [
            counts.answered_locally,
            counts.answered_by_owner,
            counts.strong_reads,
            counts.writes_released,
            counts.released_unacknowledged,
            counts.messages_ignored,
            counts.messages_sent,
            counts.local_writes_evicted,
            counts.rejected,
            counts.outdated_stores,
        ];
        counts.into_iter().for_each(|n| self.number(n));
    }

    fn instance(&mut self, world: &World, n: usize, key: SessionKey) {
        self.number(n as u64);
        let Some(up) = world.instances[n].up.as_ref() else {
            return;
        };
        let now = world.clock(n);
        self.status(&up.status(now));
        self.signed(up.next_deadline());
        self.number(u64::from(up.can_release()) + 2 * u64::from(up.is_replica()));
        self.number(up.replica_set().digest());
        up.replica_set()
            .replicas()
            .iter()
            .for_each(|node| self.number(node.0));
        up.replica_set()
            .owners(key)
            .for_each(|node| self.number(node.0));
        let inspection = up.inspect_session(now, key);
        let (seen, sure) = (inspection.position, inspection.certainty);
        self.optional(seen.map(|seen| seen.position));
        self.optional(seen.map(|seen| seen.at));
        self.number(seen.map_or(2, |seen| u64::from(seen.evicted)));
        self.why(sure.err());
    }
}

fn usual(_: &mut Settings) {}

fn tight(set: &mut Settings) {
    (set.max_positions, set.max_local_writes, set.max_pending) = (6, 12, 4);
}

fn single_owner(set: &mut Settings) {
    set.owners_per_session = 1;
}

/// One history: the world, what it has put out so far, and the numbers given out.
struct History {
    world: World,
    digest: Digest,
    members: usize,
    keepers: usize,
    disks: bool,
    hostile: bool,
    next_ticket: u64,
    down: Vec<(usize, Time)>,
}

impl History {
    fn new(seed: u64) -> Self {
        let (keepers, guests) = [(1, 0), (2, 0), (3, 0), (3, 2), (5, 1), (2, 3)][seed as usize % 6];
        let disks = seed % 7 < 4;
        let weather = match seed % 4 {
            0 => Weather {
                loss: 0.0,
                repeat: 0.0,
                delay: 2 * MS,
                sync: 3 * MS,
                off: false,
            },
            1 | 2 => Weather {
                loss: 0.1,
                repeat: 0.2,
                delay: 30 * MS,
                sync: 10 * MS,
                off: false,
            },
            _ => Weather {
                loss: 0.02,
                repeat: 0.05,
                delay: 8 * MS,
                sync: 60 * MS,
                off: false,
            },
        };
        let adjust: fn(&mut Settings) = match seed % 5 {
            0..=2 => usual,
            3 => tight,
            _ => single_owner,
        };
        let mut world = World::with_settings(seed, (keepers, guests), disks, weather, adjust);
        world.trace = Some(Vec::new());
        History {
            world,
            digest: Digest::new(),
            members: keepers + guests,
            keepers,
            disks,
            hostile: seed % 8 == 5,
            next_ticket: FIRST_TICKET,
            down: Vec::new(),
        }
    }

    fn below(&mut self, end: u64) -> u64 {
        self.world.rng.random_range(0..end)
    }

    fn instance(&mut self) -> usize {
        self.below(self.members as u64) as usize
    }

    fn ready(&self, n: usize) -> bool {
        self.world.instances[n].up.is_some() && !self.world.instances[n].paused
    }

    fn write(&mut self, n: usize) {
        let key = SessionKey(self.below(SESSIONS));
        let position = (self.below(20) > 0).then_some(self.world.now + self.below(1_000) as Time);
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let mut admission = WriteAdmission::Rejected;
        self.world.with(n, |s, now, out| {
            admission = s.record_write(now, ticket, key, position, out)
        });
        self.digest
            .number(u64::from(admission == WriteAdmission::Accepted));
    }

    fn read(&mut self, n: usize) {
        let key = SessionKey(self.below(SESSIONS));
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.world
            .with(n, |s, now, out| s.begin_read(now, ticket, key, out));
    }

    fn recent_ticket(&mut self) -> u64 {
        let back = self.below(12) + 1;
        self.next_ticket.saturating_sub(back).max(FIRST_TICKET)
    }

    fn kill(&mut self, n: usize) {
        self.world.kill(n);
        match self.below(10) {
            0 | 1 => self.world.lose_disk(n),
            2 | 3 => {
                let records = self.below(40) as usize;
                self.world.old_disk(n, records);
            }
            4 => {
                let by = self.below(4_000) as Span - 3_000;
                self.world.set_clock(n, by * MS);
                if !self.disks {
                    self.world.instances[n].incarnation = 0;
                }
            }
            _ => {}
        }
        let until = self.world.now + self.below(1_000) as Span * MS;
        self.down.push((n, until));
    }

    fn bring_back(&mut self) {
        let now = self.world.now;
        let (back, still) = std::mem::take(&mut self.down)
            .into_iter()
            .partition(|(_, until)| *until <= now);
        self.down = still;
        let back: Vec<(usize, Time)> = back;
        for (n, _) in back {
            if self.world.instances[n].up.is_none() {
                self.world.start(n);
            }
            self.world.instances[n].paused = false;
        }
    }

    fn change_keepers(&mut self) {
        let count = if self.below(2) == 0 {
            self.keepers
        } else {
            self.instance() + 1
        };
        let skip = if self.below(3) == 0 {
            self.instance()
        } else {
            usize::MAX
        };
        let list: Vec<_> = (0..count).filter(|n| *n != skip).map(node).collect();
        let only = (self.below(3) == 0).then(|| self.instance());
        for n in (0..self.members).filter(|n| only.is_none_or(|only| only == *n)) {
            let list = list.clone();
            self.world
                .with(n, |s, now, out| s.set_replicas(now, list, out));
        }
    }

    fn wild(&mut self) -> u64 {
        match self.below(4) {
            0 => self.below(5),
            1 => self.world.now as u64,
            2 => u64::MAX,
            _ => self.world.rng.random(),
        }
    }

    fn wild_stamp(&mut self) -> Option<StoreVersion> {
        let stamp = StoreVersion {
            store_id: self.wild(),
            records: self.wild(),
            last_incarnation: self.wild(),
        };
        (self.below(2) == 0).then_some(stamp)
    }

    /// A message that no instance has sent, from a peer that holds the key.
    fn forge(&mut self, n: usize) {
        let key = SessionKey(self.below(SESSIONS));
        let (nonce, number, position) = (self.below(300), self.wild(), self.wild() as Time);
        let roster = if self.below(2) == 0 {
            number
        } else {
            self.roster_of(n)
        };
        let stamp = self.wild_stamp();
        let message = match self.below(11) {
            0 => Message::LeaseRequest(LeaseRequest {
                nonce,
                replica_set: roster,
                store_version: stamp,
            }),
            1 => Message::LeaseGrant(LeaseGrant {
                nonce,
                replica_set: roster,
                complete_for: position,
                unbroken_since: number,
                store_version: stamp,
            }),
            2 => Message::StoreOutdated(stamp.unwrap_or_default()),
            3 => Message::ReplicaSetMismatch {
                nonce,
                replica_set: roster,
            },
            4 => Message::Replicate(vec![
                PositionUpdate {
                    sequence: nonce,
                    key,
                    position,
                },
                PositionUpdate {
                    sequence: number,
                    key,
                    position,
                },
            ]),
            5 => Message::Acknowledge(vec![nonce, number]),
            6 => Message::PositionQuery { nonce, key },
            7 => Message::PositionReply {
                nonce,
                position: (number % 2 == 0).then_some(position),
            },
            8 => Message::PositionUncertain { nonce },
            9 => Message::ForwardWrite {
                number: nonce,
                key,
                position,
            },
            _ => Message::ForwardedWriteReleased { number: nonce },
        };
        let other = self.instance();
        let incarnation = self.world.instances[other].incarnation + self.below(40) / 39;
        let from = Peer {
            node: node(other),
            incarnation,
        };
        let to = Peer {
            node: node(n),
            incarnation: self.below(2) * self.world.instances[n].incarnation,
        };
        self.world.with(n, |s, now, out| {
            s.handle_message(now, from, to, message, out)
        });
    }

    fn roster_of(&self, n: usize) -> u64 {
        self.world.instances[n]
            .up
            .as_ref()
            .map_or(0, |up| up.replica_set().digest())
    }

    fn step(&mut self) {
        let span = self.below(12_000) as Span * MS / 1_000;
        self.world.pass(span);
        self.bring_back();
        let n = self.instance();
        let kind = self.below(1_000);
        match kind {
            0..=4 => self.kill(n),
            5..=6 => {
                self.world.instances[n].paused = true;
                let until = self.world.now + self.below(1_000) as Span * MS;
                self.down.push((n, until));
            }
            7..=9 => {
                let to = self.instance();
                self.world.cut.insert((n, to));
            }
            10..=17 => self.world.cut.clear(),
            18..=20 => self.change_keepers(),
            21 => {
                let failure = if self.below(3) > 0 {
                    StoreFailure::SetAside
                } else {
                    StoreFailure::LeftInPlace
                };
                self.world
                    .with(n, |s, now, out| s.handle_store_failure(now, failure, out));
            }
            22..=27 => {
                let span = self.below(1_500) as Span * HORIZON / 1_000;
                self.world.pass(span);
            }
            28..=45 if self.ready(n) => {
                let ticket = self.recent_ticket();
                self.world.with(n, |s, _, _| s.cancel_write(ticket));
            }
            46..=60 if self.ready(n) => {
                let ticket = self.recent_ticket();
                self.world.with(n, |s, _, _| s.cancel_read(ticket));
            }
            61..=66 if self.ready(n) => (0..6).for_each(|_| self.read(n)),
            67..=130 if self.hostile && self.ready(n) => self.forge(n),
            131..=480 if self.ready(n) => self.write(n),
            _ if self.ready(n) => self.read(n),
            _ => {}
        }
    }

    fn hash_outputs(&mut self) {
        for (at, n, output) in self
            .world
            .trace
            .as_mut()
            .map(std::mem::take)
            .unwrap_or_default()
        {
            self.digest.signed(at);
            self.digest.number(n as u64);
            self.digest.output(&output);
        }
    }

    fn play(mut self) -> Played {
        let mut outputs = 0;
        for step in 0..STEPS {
            self.step();
            outputs += self.world.trace.as_ref().map_or(0, Vec::len);
            self.hash_outputs();
            if step % 16 == 0 {
                let key = SessionKey(step as u64 / 16 % SESSIONS);
                for n in 0..self.members {
                    self.digest.instance(&self.world, n, key);
                }
            }
        }
        self.world.pass(SECOND);
        self.hash_outputs();
        Played {
            digest: self.digest,
            outputs,
        }
    }
}

struct Played {
    digest: Digest,
    outputs: usize,
}

#[test]
#[ignore = "prints a digest to compare by hand"]
fn digest_of_random_histories() {
    let (mut digest, mut outputs) = (Digest::new(), 0);
    for seed in 0..HISTORIES {
        let played = History::new(seed).play();
        digest.number(played.digest.hash);
        digest.records.extend(played.digest.records);
        digest.reasons.extend(played.digest.reasons);
        digest.messages.extend(played.digest.messages);
        outputs += played.outputs;
    }
    println!("{HISTORIES} histories, {outputs} outputs");
    println!("digest sessions = {:016x}", digest.hash);
    assert_eq!(
        digest.records.len(),
        6,
        "each kind of record is written: {:?}",
        digest.records
    );
    assert_eq!(
        digest.reasons.len(),
        10,
        "each reason and none is given: {:?}",
        digest.reasons
    );
    assert_eq!(
        digest.messages.len(),
        11,
        "each kind of message is sent: {:?}",
        digest.messages
    );
}
