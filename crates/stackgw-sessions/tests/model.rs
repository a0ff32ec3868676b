//! Runs the state machines under a model checker, which explores all interleavings of time,
//! deadlines, delivered, duplicated and lost messages, crashes, restarts, and stores that sync or
//! are lost, up to a bound.

use stackgw_router::api::Time;
use stackgw_sessions::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::Hash;

/// A tick of the model's clock.
const TICK: Time = 1_000;
const LEASE: Time = 4 * TICK;
const KEY: SessionKey = SessionKey(7);
const POSITION: Time = 5;

const NO_READ_MISSES_A_WRITE: &str = "no read misses a released write";
const A_READ_IS_CERTAIN: &str = "a read after a write is certain";
const A_READ_AFTER_A_CRASH_IS_CERTAIN: &str = "a read after a write and a crash is certain";

/// The bounds of the exploration.
#[derive(Clone)]
struct Bounds {
    nodes: usize,
    ticks: Time,
    crashes: u8,
    lost_stores: u8,
    duplicates: u8,
    writes: u8,
    reads: u8,
    /// Ticks within which a message arrives; it is lost otherwise.
    max_delay: Time,
    retention: Time,
    /// Injected fault: records are reported as stored before they are.
    acknowledges_early: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    running: Option<Sessions>,
    incarnation: u64,
    /// The previous incarnation that wrote to the store.
    last_incarnation: u64,
    records: Vec<Record>,
    /// Number of records that survive a crash.
    synced: usize,
    /// Number of records of earlier incarnations.
    recovered: usize,
    unbroken_since: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Packet {
    sent: Time,
    from: Peer,
    to: Peer,
    message: Message,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    committed_at: Time,
    is_released: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Read {
    /// The instance at which the read arrived.
    index: usize,
    /// How many writes had been released when the read arrived.
    released_before: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Cluster {
    now: Time,
    nodes: Vec<Node>,
    network: BTreeSet<Packet>,
    crashes: u8,
    lost_stores: u8,
    duplicates: u8,
    writes: u8,
    reads: u8,
    /// Indexed by request number.
    writes_made: Vec<Write>,
    /// Indexed by request number.
    reads_made: Vec<Read>,
    /// Number of released writes.
    released: usize,
    /// Whether some read was not required to see every commit.
    certain: bool,
    /// Whether some read was not required to see a released write.
    missed: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Timeout(usize),
    Deliver(Packet),
    Duplicate(Packet),
    Sync(usize),
    Crash(usize),
    Restart(usize),
    LoseStore(usize),
    Write(usize),
    Read(usize),
}

fn node_id(index: usize) -> NodeId {
    NodeId(index as u64 + 1)
}

impl Bounds {
    fn settings(&self, n: usize, node: &Node) -> Settings {
        let mut recovered = Recovered {
            unbroken_since: node.unbroken_since,
            store_version: StoreVersion {
                store_id: node.unbroken_since,
                records: 0,
                last_incarnation: node.last_incarnation,
            },
            ..Recovered::default()
        };
        node.records[..node.synced]
            .iter()
            .cloned()
            .for_each(|record| recovered.apply(record));
        Settings {
            local: Peer {
                node: node_id(n),
                incarnation: node.incarnation,
            },
            replicas: (0..self.nodes).map(node_id).collect(),
            owners_per_session: 2,
            lease: LEASE,
            retention: self.retention,
            resend_interval: 2 * TICK,
            lookup_timeout: TICK,
            max_positions: 100,
            max_local_writes: 100,
            max_pending: 10,
            recovered: Some(recovered),
        }
    }

    /// Returns a cluster that has run for long: each store has records that no write is missing.
    fn initial_cluster(&self) -> Cluster {
        let replica_set =
            ReplicaSet::new((0..self.nodes).map(node_id), 2, &[LEASE, self.retention]);
        let complete = (0..self.nodes).map(|n| {
            Record::CompletePeer(Peer {
                node: node_id(n),
                incarnation: 1,
            })
        });
        let records: Vec<_> = std::iter::once(Record::ReplicaSet(replica_set.digest()))
            .chain(complete)
            .collect();
        let node = |_| Node {
            running: None,
            incarnation: 2,
            last_incarnation: 1,
            synced: records.len(),
            recovered: records.len(),
            records: records.clone(),
            unbroken_since: 1,
        };
        let mut cluster = Cluster {
            now: 100 * TICK,
            nodes: (0..self.nodes).map(node).collect(),
            network: BTreeSet::new(),
            crashes: 0,
            lost_stores: 0,
            duplicates: 0,
            writes: 0,
            reads: 0,
            writes_made: Vec::new(),
            reads_made: Vec::new(),
            released: 0,
            certain: false,
            missed: false,
        };
        (0..self.nodes).for_each(|n| self.start(&mut cluster, n));
        // After these 6 ticks, leases of earlier incarnations have ended, and the instances hold
        // each other's leases.
        for _ in 0..6 {
            cluster.now += TICK;
            (0..self.nodes).for_each(|n| {
                self.with(&mut cluster, n, |sessions, now, outputs| {
                    sessions.handle_timeout(now, outputs)
                })
            });
            while let Some(packet) = cluster.network.pop_first() {
                self.deliver(&mut cluster, &packet);
            }
        }
        cluster
    }

    fn start(&self, cluster: &mut Cluster, n: usize) {
        let mut outputs = Vec::new();
        let settings = self.settings(n, &cluster.nodes[n]);
        cluster.nodes[n].running = Some(Sessions::new(cluster.now, settings, &mut outputs));
        self.apply_outputs(cluster, n, outputs);
    }

    fn with(
        &self,
        cluster: &mut Cluster,
        n: usize,
        input: impl FnOnce(&mut Sessions, Time, &mut Vec<Output>),
    ) {
        let (now, mut outputs) = (cluster.now, Vec::new());
        if let Some(running) = cluster.nodes[n].running.as_mut() {
            input(running, now, &mut outputs);
        }
        self.apply_outputs(cluster, n, outputs);
    }

    fn deliver(&self, cluster: &mut Cluster, packet: &Packet) {
        let Some(n) = (0..self.nodes).find(|n| node_id(*n) == packet.to.node) else {
            return;
        };
        let Packet {
            from, to, message, ..
        } = packet.clone();
        self.with(cluster, n, |sessions, now, outputs| {
            sessions.handle_message(now, from, to, message, outputs)
        });
    }

    fn apply_outputs(&self, cluster: &mut Cluster, n: usize, outputs: Vec<Output>) {
        let mut has_stored = false;
        for output in outputs {
            match output {
                Output::Send(to, message) => cluster.send(n, to, message),
                Output::Store(record) => {
                    cluster.nodes[n].records.push(record);
                    has_stored = true;
                }
                Output::Release(request) => {
                    cluster.writes_made[request as usize].is_released = true;
                    cluster.released += 1;
                }
                Output::ReadRequirement(request, requirement) => {
                    cluster.check_read(request, requirement, self.retention);
                }
            }
        }
        if has_stored && self.acknowledges_early {
            let records = cluster.nodes[n].records.len();
            self.confirm(cluster, n, records);
        }
    }

    /// Confirms to an instance that the first `records` records are in its store.
    fn confirm(&self, cluster: &mut Cluster, n: usize, records: usize) {
        let count = (records - cluster.nodes[n].recovered) as u64;
        self.with(cluster, n, |sessions, now, outputs| {
            sessions.handle_records_stored(now, count, outputs)
        });
    }

    fn write(&self, cluster: &mut Cluster, n: usize) {
        let request = cluster.writes_made.len() as u64;
        cluster.writes_made.push(Write {
            committed_at: cluster.now,
            is_released: false,
        });
        cluster.writes += 1;
        self.with(cluster, n, |sessions, now, outputs| {
            sessions.record_write(now, request, KEY, Some(POSITION), outputs);
        });
    }

    fn read(&self, cluster: &mut Cluster, n: usize) {
        let request = cluster.reads_made.len() as u64;
        cluster.reads_made.push(Read {
            index: n,
            released_before: cluster.released,
        });
        cluster.reads += 1;
        self.with(cluster, n, |sessions, now, outputs| {
            sessions.begin_read(now, request, KEY, outputs)
        });
    }
}

impl Cluster {
    fn send(&mut self, n: usize, to: Peer, message: Message) {
        let from = Peer {
            node: node_id(n),
            incarnation: self.nodes[n].incarnation,
        };
        self.network.insert(Packet {
            sent: self.now,
            from,
            to,
            message,
        });
    }

    fn check_read(
        &mut self,
        request: RequestNumber,
        requirement: ReadRequirement,
        retention: Time,
    ) {
        let ReadRequirement::Position(position) = requirement else {
            return;
        };
        self.certain = true;
        let oldest = self.now - retention;
        let is_required = |write: &Write| write.is_released && write.committed_at > oldest;
        let released_before = self.reads_made[request as usize].released_before;
        let must_see = self.writes_made.iter().any(is_required) && released_before > 0;
        self.missed |= must_see && position < Some(POSITION);
    }
}

impl Node {
    /// Stops the instance. Records that were not synced are lost.
    fn crash(&mut self) {
        self.running = None;
        self.records.truncate(self.synced);
    }

    fn lose_store(&mut self) {
        self.records.clear();
        self.synced = 0;
        self.last_incarnation = 0;
        self.unbroken_since = self.incarnation + 1;
    }

    fn begin_incarnation(&mut self) {
        self.last_incarnation = if self.records.is_empty() {
            0
        } else {
            self.incarnation
        };
        self.incarnation += 1;
        self.recovered = self.synced;
    }
}

impl Model for Bounds {
    type State = Cluster;
    type Action = Action;

    fn init_states(&self) -> Vec<Cluster> {
        vec![self.initial_cluster()]
    }

    fn actions(&self, cluster: &Cluster, actions: &mut Vec<Action>) {
        // The time at which the initial cluster is ready.
        let start = 106 * TICK;
        if cluster.now < start + self.ticks * TICK {
            actions.push(Action::Tick);
        }
        for packet in &cluster.network {
            actions.push(Action::Deliver(packet.clone()));
            if cluster.duplicates < self.duplicates {
                actions.push(Action::Duplicate(packet.clone()));
            }
        }
        for (n, node) in cluster.nodes.iter().enumerate() {
            let Some(running) = &node.running else {
                actions.push(Action::Restart(n));
                if cluster.lost_stores < self.lost_stores && !node.records.is_empty() {
                    actions.push(Action::LoseStore(n));
                }
                continue;
            };
            if running.next_deadline() <= cluster.now {
                actions.push(Action::Timeout(n));
            }
            if node.synced < node.records.len() {
                actions.push(Action::Sync(n));
            }
            if cluster.crashes < self.crashes {
                actions.push(Action::Crash(n));
            }
            // All writes have the same key and position, so it is enough that one instance writes.
            if cluster.writes < self.writes && n == 0 {
                actions.push(Action::Write(n));
            }
            // A read before the first release of a write cannot violate the invariant.
            if cluster.reads < self.reads && cluster.released > 0 {
                actions.push(Action::Read(n));
            }
        }
    }

    fn next_state(&self, before: &Cluster, action: Action) -> Option<Cluster> {
        let mut cluster = before.clone();
        match action {
            Action::Tick => {
                cluster.now += TICK;
                let since = cluster.now - self.max_delay * TICK;
                cluster.network.retain(|packet| packet.sent > since);
            }
            Action::Timeout(n) => self.with(&mut cluster, n, |sessions, now, outputs| {
                sessions.handle_timeout(now, outputs)
            }),
            Action::Deliver(packet) => {
                cluster.network.remove(&packet);
                self.deliver(&mut cluster, &packet);
            }
            Action::Duplicate(packet) => {
                cluster.duplicates += 1;
                self.deliver(&mut cluster, &packet);
            }
            Action::Sync(n) => {
                let records = cluster.nodes[n].records.len();
                cluster.nodes[n].synced = records;
                self.confirm(&mut cluster, n, records);
            }
            Action::Crash(n) => {
                cluster.crashes += 1;
                cluster.nodes[n].crash();
            }
            Action::LoseStore(n) => {
                cluster.lost_stores += 1;
                cluster.nodes[n].lose_store();
            }
            Action::Restart(n) => {
                cluster.nodes[n].begin_incarnation();
                self.start(&mut cluster, n);
            }
            Action::Write(n) => self.write(&mut cluster, n),
            Action::Read(n) => self.read(&mut cluster, n),
        }
        Some(cluster)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_READ_MISSES_A_WRITE, |_, cluster: &Cluster| {
                !cluster.missed
            }),
            Property::sometimes(A_READ_IS_CERTAIN, |_, cluster: &Cluster| cluster.certain),
            Property::sometimes(A_READ_AFTER_A_CRASH_IS_CERTAIN, |_, cluster: &Cluster| {
                cluster.certain && cluster.crashes > 0
            }),
        ]
    }
}

const SMALL: Bounds = Bounds {
    nodes: 2,
    ticks: 1,
    crashes: 1,
    lost_stores: 0,
    duplicates: 0,
    writes: 1,
    reads: 1,
    max_delay: 1,
    retention: 1_000 * TICK,
    acknowledges_early: false,
};

/// Returns whether no read missed a released write, in all states or in up to about `max_states` of
/// them.
///
/// # Panics
///
/// If no read was missed, but no read after a write, or after a write and a crash, was certain.
fn check(name: &str, bounds: Bounds, max_states: Option<usize>) -> bool {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get().min(8));
    let mut builder = bounds.checker().threads(threads);
    if let Some(max_states) = max_states {
        builder = builder.target_state_count(max_states);
    }
    // Breadth-first search finds the shortest path to a fault; depth-first search keeps far fewer
    // pending states in memory.
    let checker: Box<dyn Checker<Bounds>> = match max_states {
        None => Box::new(builder.spawn_bfs().join()),
        Some(_) => Box::new(builder.spawn_dfs().join()),
    };
    println!(
        "{name}: {} states, {} unique, depth {}, {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
        if max_states.is_none_or(|max_states| checker.state_count() < max_states) {
            "exhaustive"
        } else {
            "stopped at the state limit"
        }
    );
    if let Some(path) = checker.discovery(NO_READ_MISSES_A_WRITE) {
        println!("{name}: {:?}", path.into_actions());
        return false;
    }
    for property in [A_READ_IS_CERTAIN, A_READ_AFTER_A_CRASH_IS_CERTAIN] {
        assert!(
            checker.discovery(property).is_some(),
            "{name}: not reached: {property}"
        );
    }
    true
}

#[test]
fn two_instances_exhaustively() {
    assert!(
        check("two", SMALL, None),
        "a read missed a released write; its path is printed above"
    );
}

#[test]
fn an_acknowledgement_sent_too_early_is_found() {
    assert!(
        !check(
            "early",
            Bounds {
                acknowledges_early: true,
                ..SMALL
            },
            None
        ),
        "the checker found no read that missed a write"
    );
}

/// Takes minutes and is run by hand: `cargo test --release -p stackgw-sessions --test model --
/// --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn larger_bounds() {
    let max_states = Some(30_000_000);
    assert!(
        check(
            "two, more time and a lost store",
            Bounds {
                ticks: 2,
                lost_stores: 1,
                ..SMALL
            },
            None
        ),
        "a read missed a released write; its path is printed above"
    );
    assert!(
        check(
            "two, duplicates and two crashes",
            Bounds {
                crashes: 2,
                duplicates: 1,
                ..SMALL
            },
            max_states
        ),
        "a read missed a released write; its path is printed above"
    );
    let short = Bounds {
        ticks: 6,
        retention: 4 * TICK,
        lost_stores: 1,
        ..SMALL
    };
    assert!(
        check("two, a short retention", short, max_states),
        "a read missed a released write; its path is printed above"
    );
    assert!(
        check("three", Bounds { nodes: 3, ..SMALL }, max_states),
        "a read missed a released write; its path is printed above"
    );
}
