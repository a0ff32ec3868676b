//! The protocol under a model checker: the very state machines, every interleaving of messages that are delivered, repeated or
//! lost, of crashes, restarts, disks that sync or forget, pauses and time, up to a bound.

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

/// What is explored.
#[derive(Clone)]
struct Bounds {
    nodes: usize,
    ticks: Time,
    crashes: u8,
    lost_disks: u8,
    repeats: u8,
    writes: u8,
    reads: u8,
    /// A message arrives within so many ticks, or never.
    late: Time,
    horizon: Time,
    /// The fault put in: records are said to be on the disk when they are not yet.
    early: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    up: Option<Sessions>,
    incarnation: u64,
    /// The life that wrote to the disk before.
    last: u64,
    disk: Vec<Record>,
    synced: usize,
    /// Records of earlier lives.
    base: usize,
    unbroken_since: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Flying {
    sent: Time,
    from: Peer,
    to: Peer,
    message: Message,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now: Time,
    nodes: Vec<Node>,
    net: BTreeSet<Flying>,
    crashes: u8,
    lost_disks: u8,
    repeats: u8,
    writes: u8,
    reads: u8,
    /// Writes that were committed, when, and whether their answer has left.
    written: Vec<(Time, bool)>,
    /// A read that is out: whose, and how many writes had left when it came in.
    reading: Vec<(usize, usize)>,
    released: usize,
    sure: bool,
    missed: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Act {
    Tick,
    Due(usize),
    Deliver(Flying),
    Repeat(Flying),
    Sync(usize),
    Crash(usize),
    Restart(usize),
    Forget(usize),
    Write(usize),
    Read(usize),
}

fn id(n: usize) -> NodeId {
    NodeId(n as u64 + 1)
}

impl Bounds {
    fn settings(&self, n: usize, node: &Node) -> Settings {
        let mut recovered = Recovered {
            unbroken_since: node.unbroken_since,
            store_version: StoreVersion {
                store_id: node.unbroken_since,
                records: 0,
                last_incarnation: node.last,
            },
            ..Recovered::default()
        };
        node.disk[..node.synced]
            .iter()
            .cloned()
            .for_each(|record| recovered.apply(record));
        Settings {
            local: Peer {
                node: id(n),
                incarnation: node.incarnation,
            },
            replicas: (0..self.nodes).map(id).collect(),
            owners_per_session: 2,
            lease: LEASE,
            retention: self.horizon,
            resend_interval: 2 * TICK,
            lookup_timeout: TICK,
            max_positions: 100,
            max_local_writes: 100,
            max_pending: 10,
            recovered: Some(recovered),
        }
    }

    /// Instances that have lived long: each one's disk says that nothing is missing.
    fn first(&self) -> World {
        let roster = ReplicaSet::new((0..self.nodes).map(id), 2, &[LEASE, self.horizon]);
        let whole = (0..self.nodes).map(|n| {
            Record::CompletePeer(Peer {
                node: id(n),
                incarnation: 1,
            })
        });
        let disk: Vec<_> = std::iter::once(Record::ReplicaSet(roster.digest()))
            .chain(whole)
            .collect();
        let node = |_| Node {
            up: None,
            incarnation: 2,
            last: 1,
            synced: disk.len(),
            base: disk.len(),
            disk: disk.clone(),
            unbroken_since: 1,
        };
        let mut world = World {
            now: 100 * TICK,
            nodes: (0..self.nodes).map(node).collect(),
            net: BTreeSet::new(),
            crashes: 0,
            lost_disks: 0,
            repeats: 0,
            writes: 0,
            reads: 0,
            written: Vec::new(),
            reading: Vec::new(),
            released: 0,
            sure: false,
            missed: false,
        };
        (0..self.nodes).for_each(|n| self.start(&mut world, n));
        // Their bounds from before are over, and they have each other's pledges.
        for _ in 0..6 {
            world.now += TICK;
            (0..self.nodes)
                .for_each(|n| self.with(&mut world, n, |s, now, out| s.handle_timeout(now, out)));
            while let Some(flying) = world.net.pop_first() {
                self.deliver(&mut world, &flying);
            }
        }
        world
    }

    fn start(&self, world: &mut World, n: usize) {
        let mut out = Vec::new();
        let settings = self.settings(n, &world.nodes[n]);
        world.nodes[n].up = Some(Sessions::new(world.now, settings, &mut out));
        self.carry_out(world, n, out);
    }

    fn with(
        &self,
        world: &mut World,
        n: usize,
        act: impl FnOnce(&mut Sessions, Time, &mut Vec<Output>),
    ) {
        let (now, mut out) = (world.now, Vec::new());
        if let Some(up) = world.nodes[n].up.as_mut() {
            act(up, now, &mut out);
        }
        self.carry_out(world, n, out);
    }

    fn deliver(&self, world: &mut World, flying: &Flying) {
        let Some(n) = (0..self.nodes).find(|n| id(*n) == flying.to.node) else {
            return;
        };
        let Flying {
            from, to, message, ..
        } = flying.clone();
        self.with(world, n, |s, now, out| {
            s.handle_message(now, from, to, message, out)
        });
    }

    fn carry_out(&self, world: &mut World, n: usize, out: Vec<Output>) {
        let mut kept = false;
        for output in out {
            match output {
                Output::Send(to, message) => {
                    let from = Peer {
                        node: id(n),
                        incarnation: world.nodes[n].incarnation,
                    };
                    world.net.insert(Flying {
                        sent: world.now,
                        from,
                        to,
                        message,
                    });
                }
                Output::Store(record) => {
                    world.nodes[n].disk.push(record);
                    kept = true;
                }
                Output::Release(ticket) => {
                    world.written[ticket as usize].1 = true;
                    world.released += 1;
                }
                Output::ReadRequirement(ticket, knowledge) => {
                    let (_, left) = world.reading[ticket as usize];
                    if let ReadRequirement::Position(position) = knowledge {
                        world.sure = true;
                        let recent = |at: Time| at > world.now - self.horizon;
                        let must =
                            world.written.iter().any(|(at, out)| *out && recent(*at)) && left > 0;
                        world.missed |= must && position < Some(POSITION);
                    }
                }
            }
        }
        if kept && self.early {
            let count = (world.nodes[n].disk.len() - world.nodes[n].base) as u64;
            self.with(world, n, |s, now, out| {
                s.handle_records_stored(now, count, out)
            });
        }
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        vec![self.first()]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        let start = 106 * TICK;
        if world.now < start + self.ticks * TICK {
            acts.push(Act::Tick);
        }
        for flying in &world.net {
            acts.push(Act::Deliver(flying.clone()));
            if world.repeats < self.repeats {
                acts.push(Act::Repeat(flying.clone()));
            }
        }
        for (n, node) in world.nodes.iter().enumerate() {
            let Some(up) = &node.up else {
                acts.push(Act::Restart(n));
                if world.lost_disks < self.lost_disks && !node.disk.is_empty() {
                    acts.push(Act::Forget(n));
                }
                continue;
            };
            if up.next_deadline() <= world.now {
                acts.push(Act::Due(n));
            }
            if node.synced < node.disk.len() {
                acts.push(Act::Sync(n));
            }
            if world.crashes < self.crashes {
                acts.push(Act::Crash(n));
            }
            // What is written and read is the same everywhere, so one of them writes.
            if world.writes < self.writes && n == 0 {
                acts.push(Act::Write(n));
            }
            // A read before any write has left shows nothing.
            if world.reads < self.reads && world.released > 0 {
                acts.push(Act::Read(n));
            }
        }
    }

    fn next_state(&self, before: &World, act: Act) -> Option<World> {
        let mut world = before.clone();
        match act {
            Act::Tick => {
                world.now += TICK;
                let since = world.now - self.late * TICK;
                world.net.retain(|flying| flying.sent > since);
            }
            Act::Due(n) => self.with(&mut world, n, |s, now, out| s.handle_timeout(now, out)),
            Act::Deliver(flying) => {
                world.net.remove(&flying);
                self.deliver(&mut world, &flying);
            }
            Act::Repeat(flying) => {
                world.repeats += 1;
                self.deliver(&mut world, &flying);
            }
            Act::Sync(n) => {
                world.nodes[n].synced = world.nodes[n].disk.len();
                let count = (world.nodes[n].synced - world.nodes[n].base) as u64;
                self.with(&mut world, n, |s, now, out| {
                    s.handle_records_stored(now, count, out)
                });
            }
            Act::Crash(n) => {
                world.crashes += 1;
                let node = &mut world.nodes[n];
                node.up = None;
                node.disk.truncate(node.synced);
            }
            Act::Forget(n) => {
                world.lost_disks += 1;
                let node = &mut world.nodes[n];
                (node.disk, node.synced, node.last) = (Vec::new(), 0, 0);
                node.unbroken_since = node.incarnation + 1;
            }
            Act::Restart(n) => {
                let node = &mut world.nodes[n];
                node.last = if node.disk.is_empty() {
                    0
                } else {
                    node.incarnation
                };
                node.incarnation += 1;
                node.base = node.synced;
                self.start(&mut world, n);
            }
            Act::Write(n) => {
                let ticket = world.written.len() as u64;
                world.written.push((world.now, false));
                world.writes += 1;
                self.with(&mut world, n, |s, now, out| {
                    s.record_write(now, ticket, KEY, Some(POSITION), out);
                });
            }
            Act::Read(n) => {
                let ticket = world.reading.len() as u64;
                world.reading.push((n, world.released));
                world.reads += 1;
                self.with(&mut world, n, |s, now, out| {
                    s.begin_read(now, ticket, KEY, out)
                });
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no read misses a write that has left",
                |_, world: &World| !world.missed,
            ),
            Property::sometimes("a read after a write is sure", |_, world: &World| {
                world.sure
            }),
            Property::sometimes("and so is one after a crash", |_, world: &World| {
                world.sure && world.crashes > 0
            }),
        ]
    }
}

const SMALL: Bounds = Bounds {
    nodes: 2,
    ticks: 1,
    crashes: 1,
    lost_disks: 0,
    repeats: 0,
    writes: 1,
    reads: 1,
    late: 1,
    horizon: 1_000 * TICK,
    early: false,
};

/// Whether no read missed its write, in all of it or in as much as there was room for.
fn check(name: &str, bounds: Bounds, most: Option<usize>) -> bool {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get().min(8));
    let mut builder = bounds.checker().threads(threads);
    if let Some(most) = most {
        builder = builder.target_state_count(most);
    }
    // In breadth the shortest way to a fault is found; in depth far fewer states wait in memory.
    let checker: Box<dyn Checker<Bounds>> = match most {
        None => Box::new(builder.spawn_bfs().join()),
        Some(_) => Box::new(builder.spawn_dfs().join()),
    };
    println!(
        "{name}: {} states, {} unique, depth {}, {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
        if most.is_none_or(|most| checker.state_count() < most) {
            "all of it"
        } else {
            "as far as memory allowed"
        }
    );
    if let Some(path) = checker.discovery("no read misses a write that has left") {
        println!("{name}: {:?}", path.into_actions());
        return false;
    }
    for property in [
        "a read after a write is sure",
        "and so is one after a crash",
    ] {
        assert!(
            checker.discovery(property).is_some(),
            "{name}: never: {property}"
        );
    }
    true
}

#[test]
fn two_instances_exhaustively() {
    assert!(check("two", SMALL, None));
}

#[test]
fn an_acknowledgement_sent_too_early_is_found() {
    assert!(!check(
        "early",
        Bounds {
            early: true,
            ..SMALL
        },
        None
    ));
}

/// Minutes; run by hand: `cargo test --release -p stackgw-sessions --test model -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn as_far_as_feasible() {
    let most = Some(30_000_000);
    assert!(check(
        "two, more time and a lost disk",
        Bounds {
            ticks: 2,
            lost_disks: 1,
            ..SMALL
        },
        None
    ));
    assert!(check(
        "two, repeats and two crashes",
        Bounds {
            crashes: 2,
            repeats: 1,
            ..SMALL
        },
        most
    ));
    let short = Bounds {
        ticks: 6,
        horizon: 4 * TICK,
        lost_disks: 1,
        ..SMALL
    };
    assert!(check("two, a short horizon", short, most));
    assert!(check("three", Bounds { nodes: 3, ..SMALL }, most));
}
