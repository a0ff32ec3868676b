//! Computes a digest of all outputs of several instances over random histories. It is equal before
//! and after a change that does not alter behavior. Run with `cargo test -p stackgw-sessions --test
//! digest -- --ignored --nocapture`.

#[path = "../common/mod.rs"]
mod common;
mod fingerprint;

use common::*;
use fingerprint::Digest;
use rand::Rng;
use stackgw_router::api::{Span, Time, MS, SECOND};
use stackgw_sessions::*;

const HISTORIES: u64 = 400;
const STEPS: usize = 700;
/// First number of this test's own reads and writes, distinct from those of the simulation.
const FIRST_REQUEST: u64 = 1 << 40;
const SESSIONS: u64 = 14;

fn unchanged(_: &mut Settings) {}

fn with_small_limits(settings: &mut Settings) {
    settings.max_positions = 6;
    settings.max_local_writes = 12;
    settings.max_pending = 4;
}

fn with_single_owner(settings: &mut Settings) {
    settings.owners_per_session = 1;
}

/// One history: the simulation, the digest of its outputs so far, and the next request number.
struct History {
    simulation: Simulation,
    digest: Digest,
    instances: usize,
    replicas: usize,
    has_stores: bool,
    /// Whether forged messages are delivered.
    has_forger: bool,
    next_request: u64,
}

impl History {
    fn new(seed: u64) -> Self {
        let (replicas, forwarders) =
            [(1, 0), (2, 0), (3, 0), (3, 2), (5, 1), (2, 3)][seed as usize % 6];
        let has_stores = seed % 7 < 4;
        let conditions = match seed % 4 {
            0 => Conditions {
                loss: 0.0,
                duplication: 0.0,
                max_delay: 2 * MS,
                max_sync_time: 3 * MS,
                ignore_positions: false,
            },
            1 | 2 => Conditions {
                loss: 0.1,
                duplication: 0.2,
                max_delay: 30 * MS,
                max_sync_time: 10 * MS,
                ignore_positions: false,
            },
            _ => Conditions {
                loss: 0.02,
                duplication: 0.05,
                max_delay: 8 * MS,
                max_sync_time: 60 * MS,
                ignore_positions: false,
            },
        };
        let adjust: fn(&mut Settings) = match seed % 5 {
            0..=2 => unchanged,
            3 => with_small_limits,
            _ => with_single_owner,
        };
        let mut simulation =
            Simulation::with_settings(seed, (replicas, forwarders), has_stores, conditions, adjust);
        simulation.trace = Some(Vec::new());
        History {
            simulation,
            digest: Digest::new(),
            instances: replicas + forwarders,
            replicas,
            has_stores,
            has_forger: seed % 8 == 5,
            next_request: FIRST_REQUEST,
        }
    }

    fn random_below(&mut self, end: u64) -> u64 {
        self.simulation.rng.random_range(0..end)
    }

    fn random_instance(&mut self) -> usize {
        self.random_below(self.instances as u64) as usize
    }

    fn is_ready(&self, n: usize) -> bool {
        self.simulation.is_ready(n)
    }

    fn write(&mut self, n: usize) {
        let key = SessionKey(self.random_below(SESSIONS));
        let position = (self.random_below(20) > 0)
            .then_some(self.simulation.now + self.random_below(1_000) as Time);
        let request = self.next_request;
        self.next_request += 1;
        let mut admission = WriteAdmission::Rejected;
        self.simulation.with(n, |sessions, now, outputs| {
            admission = sessions.record_write(now, request, key, position, outputs)
        });
        self.digest
            .number(u64::from(admission == WriteAdmission::Accepted));
    }

    fn read(&mut self, n: usize) {
        let key = SessionKey(self.random_below(SESSIONS));
        let request = self.next_request;
        self.next_request += 1;
        self.simulation.with(n, |sessions, now, outputs| {
            sessions.begin_read(now, request, key, outputs)
        });
    }

    /// Returns the number of one of this test's last 12 reads and writes.
    fn recent_request(&mut self) -> u64 {
        let back = self.random_below(12) + 1;
        self.next_request.saturating_sub(back).max(FIRST_REQUEST)
    }

    fn kill(&mut self, n: usize) {
        self.simulation.kill(n);
        match self.random_below(10) {
            0 | 1 => self.simulation.lose_store(n),
            2 | 3 => {
                let records = self.random_below(40) as usize;
                self.simulation.restore_old_store(n, records);
            }
            4 => {
                let by = self.random_below(4_000) as Span - 3_000;
                self.simulation.shift_clock(n, by * MS);
                if !self.has_stores {
                    self.simulation.instances[n].incarnation = 0;
                }
            }
            _ => {}
        }
        let until = self.simulation.now + self.random_below(1_000) as Span * MS;
        self.simulation.end_outage_at(n, until);
    }

    fn change_replicas(&mut self) {
        let count = if self.random_below(2) == 0 {
            self.replicas
        } else {
            self.random_instance() + 1
        };
        let skip = if self.random_below(3) == 0 {
            self.random_instance()
        } else {
            usize::MAX
        };
        let list: Vec<_> = (0..count).filter(|n| *n != skip).map(node).collect();
        let only = (self.random_below(3) == 0).then(|| self.random_instance());
        for n in (0..self.instances).filter(|n| only.is_none_or(|only| only == *n)) {
            let list = list.clone();
            self.simulation.with(n, |sessions, now, outputs| {
                sessions.set_replicas(now, list, outputs)
            });
        }
    }

    fn random_number(&mut self) -> u64 {
        match self.random_below(4) {
            0 => self.random_below(5),
            1 => self.simulation.now as u64,
            2 => u64::MAX,
            _ => self.simulation.rng.random(),
        }
    }

    fn random_version(&mut self) -> Option<StoreVersion> {
        let version = StoreVersion {
            store_id: self.random_number(),
            records: self.random_number(),
            last_incarnation: self.random_number(),
        };
        (self.random_below(2) == 0).then_some(version)
    }

    /// Returns a message that no instance has sent, as from a peer that holds the cluster key.
    fn forged_message(&mut self, n: usize) -> Message {
        let key = SessionKey(self.random_below(SESSIONS));
        let (nonce, number, position) = (
            self.random_below(300),
            self.random_number(),
            self.random_number() as Time,
        );
        let replica_set = if self.random_below(2) == 0 {
            number
        } else {
            self.replica_set_of(n)
        };
        let version = self.random_version();
        match self.random_below(11) {
            0 => Message::LeaseRequest(LeaseRequest {
                nonce,
                replica_set,
                store_version: version,
            }),
            1 => Message::LeaseGrant(LeaseGrant {
                nonce,
                replica_set,
                complete_for: position,
                unbroken_since: number,
                store_version: version,
            }),
            2 => Message::StoreOutdated(version.unwrap_or_default()),
            3 => Message::ReplicaSetMismatch { nonce, replica_set },
            4 => {
                let update = |sequence| PositionUpdate {
                    sequence,
                    key,
                    position,
                };
                Message::Replicate(vec![update(nonce), update(number)])
            }
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
        }
    }

    fn forge(&mut self, n: usize) {
        let message = self.forged_message(n);
        let other = self.random_instance();
        // One message in 40 seems to come from a later incarnation.
        let incarnation = self.simulation.instances[other].incarnation + self.random_below(40) / 39;
        let from = Peer {
            node: node(other),
            incarnation,
        };
        let to = Peer {
            node: node(n),
            incarnation: self.random_below(2) * self.simulation.instances[n].incarnation,
        };
        self.simulation.with(n, |sessions, now, outputs| {
            sessions.handle_message(now, from, to, message, outputs)
        });
    }

    /// Returns the digest of an instance's replica set; 0 if the instance is down.
    fn replica_set_of(&self, n: usize) -> u64 {
        self.simulation.instances[n]
            .running
            .as_ref()
            .map_or(0, |running| running.replica_set().digest())
    }

    fn step(&mut self) {
        let span = self.random_below(12_000) as Span * MS / 1_000;
        self.simulation.advance(span);
        self.simulation.end_outages();
        let n = self.random_instance();
        let kind = self.random_below(1_000);
        match kind {
            0..=4 => self.kill(n),
            5..=6 => {
                self.simulation.pause(n);
                let until = self.simulation.now + self.random_below(1_000) as Span * MS;
                self.simulation.end_outage_at(n, until);
            }
            7..=9 => {
                let to = self.random_instance();
                self.simulation.partitions.insert((n, to));
            }
            10..=17 => self.simulation.partitions.clear(),
            18..=20 => self.change_replicas(),
            21 => {
                let failure = if self.random_below(3) > 0 {
                    StoreFailure::SetAside
                } else {
                    StoreFailure::LeftInPlace
                };
                self.simulation.with(n, |sessions, now, outputs| {
                    sessions.handle_store_failure(now, failure, outputs)
                });
            }
            22..=27 => {
                let span = self.random_below(1_500) as Span * RETENTION / 1_000;
                self.simulation.advance(span);
            }
            28..=45 if self.is_ready(n) => {
                let request = self.recent_request();
                self.simulation
                    .with(n, |sessions, _, _| sessions.cancel_write(request));
            }
            46..=60 if self.is_ready(n) => {
                let request = self.recent_request();
                self.simulation
                    .with(n, |sessions, _, _| sessions.cancel_read(request));
            }
            61..=66 if self.is_ready(n) => (0..6).for_each(|_| self.read(n)),
            67..=130 if self.has_forger && self.is_ready(n) => self.forge(n),
            131..=480 if self.is_ready(n) => self.write(n),
            _ if self.is_ready(n) => self.read(n),
            _ => {}
        }
    }

    fn hash_outputs(&mut self) {
        for TracedOutput { at, index, output } in self
            .simulation
            .trace
            .as_mut()
            .map(std::mem::take)
            .unwrap_or_default()
        {
            self.digest.signed(at);
            self.digest.number(index as u64);
            self.digest.output(&output);
        }
    }

    fn run(mut self) -> HistoryResult {
        let mut outputs = 0;
        for step in 0..STEPS {
            self.step();
            outputs += self.simulation.trace.as_ref().map_or(0, Vec::len);
            self.hash_outputs();
            if step % 16 == 0 {
                let key = SessionKey(step as u64 / 16 % SESSIONS);
                for n in 0..self.instances {
                    self.digest.instance(&self.simulation, n, key);
                }
            }
        }
        self.simulation.advance(SECOND);
        self.hash_outputs();
        HistoryResult {
            digest: self.digest,
            outputs,
        }
    }
}

struct HistoryResult {
    digest: Digest,
    outputs: usize,
}

#[test]
#[ignore = "prints a digest to compare by hand"]
fn digest_of_random_histories() {
    let (mut digest, mut outputs) = (Digest::new(), 0);
    for seed in 0..HISTORIES {
        let result = History::new(seed).run();
        digest.number(result.digest.hash);
        digest.records.extend(result.digest.records);
        digest.reasons.extend(result.digest.reasons);
        digest.messages.extend(result.digest.messages);
        outputs += result.outputs;
    }
    println!("{HISTORIES} histories, {outputs} outputs");
    println!("digest sessions = {:016x}", digest.hash);
    assert_eq!(
        digest.records.len(),
        6,
        "not every kind of record was written: {:?}",
        digest.records
    );
    assert_eq!(
        digest.reasons.len(),
        10,
        "not every reason (with 0 for none) was reported: {:?}",
        digest.reasons
    );
    assert_eq!(
        digest.messages.len(),
        11,
        "not every kind of message was sent: {:?}",
        digest.messages
    );
}
