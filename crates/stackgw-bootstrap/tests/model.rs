//! The choice of who holds the watch, and the taking over of lists, under a model checker: the very state machines of three
//! instances, every order in which datagrams arrive or are lost, one instance dying and coming back with its disk, one cut off
//! for a while, a service that falls behind, up to a bound.

use stackgw_bootstrap::*;
use stackgw_router::api::{Lifecycle, Time, MS, SECOND};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

const NODES: usize = 3;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7_000))
}

/// What is explored.
#[derive(Clone)]
struct Bounds {
    /// So many hold the watch.
    holders: u32,
    ticks: u8,
    /// The fault put in: a disk that gives back an older list than it was given.
    forgetful: bool,
}

#[derive(Debug, Clone, PartialEq)]
struct Node {
    start: Option<Bootstrap>,
    kept: Option<CachedEndpoints>,
    /// The watch is open, and the version that it has come to.
    watch: Option<u64>,
    highest: u64,
}

#[derive(Debug, Clone, PartialEq)]
struct World {
    now: Time,
    ticks: u8,
    /// The list's versions: a member serves, drains, serves again.
    version: u64,
    behind: bool,
    nodes: Vec<Node>,
    net: Vec<(usize, usize, Message)>,
    cut: Option<usize>,
    cuts: u8,
    kills: u8,
    broken: bool,
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

#[derive(Debug, Clone, PartialEq)]
enum Step {
    Deliver(usize),
    Lose(usize),
    Watch(usize),
    Tick,
    Change,
    Behind,
    Kill(usize),
    Back(usize),
    Cut(usize),
    Heal,
}

fn phase(version: u64) -> Lifecycle {
    if version == 2 {
        Lifecycle::Draining
    } else {
        Lifecycle::Serving
    }
}

fn list(version: u64, complete: bool) -> EndpointUpdate {
    let entry = Endpoint {
        id: "m".to_owned(),
        address: SocketAddr::from(([10, 1, 0, 1], 6_543)),
        locality: String::new(),
        cell: 0,
        phase: phase(version),
        size: 1.0,
        up_since_ms: 0,
        leader: true,
    };
    EndpointUpdate {
        revision: version,
        complete,
        members: vec![entry],
    }
}

impl Bounds {
    fn settings(&self, n: usize) -> BootstrapSettings {
        BootstrapSettings {
            poll_rate: PollRate {
                instance_number: n as u32,
                fleet_size: NODES as u32,
                service_capacity: 1_000.0,
                min_pause: MS,
            },
            peers: Some(PeerSettings {
                advertised_address: address(n),
                seeds: vec![address(0), address(1), address(2)],
            }),
            min_watch_leaders: self.holders,
            service_id: service_id("s"),
            drain_grace: SECOND,
            watch_timeout: 5 * SECOND,
            cached_list_wait: 0,
            service_reset_after: 600 * SECOND,
            seed: n as u64,
        }
    }

    fn start(&self, world: &mut World, n: usize) {
        let mut out = Vec::new();
        let mut kept = world.nodes[n].kept.clone();
        // A later life goes back behind what the disk has as little as this one does.
        let highest = kept.as_ref().map_or(0, |kept| kept.list.revision);
        if self.forgetful {
            kept = kept.map(|kept| CachedEndpoints {
                list: list(1, true),
                ..kept
            });
        }
        let start = Bootstrap::new(world.now, self.settings(n), kept, &mut out);
        (
            world.nodes[n].start,
            world.nodes[n].watch,
            world.nodes[n].highest,
        ) = (Some(start), None, highest);
        self.outputs(world, n, out);
    }

    fn outputs(&self, world: &mut World, n: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::OpenWatch(after) => world.nodes[n].watch = Some(after.unwrap_or(0)),
                Output::CloseWatch => world.nodes[n].watch = None,
                Output::Send(to, message) => {
                    let to = (0..NODES).find(|m| address(*m) == to).unwrap_or(n);
                    let cut = world.cut.is_some_and(|cut| (cut == n) != (cut == to));
                    // More than a few in flight bring nothing new but states.
                    if !cut && world.nodes[to].start.is_some() && world.net.len() < 2 {
                        world.net.push((n, to, message));
                    }
                }
                Output::Persist(kept) => world.nodes[n].kept = Some(kept),
                Output::Endpoints(_)
                | Output::SeedWarmThroughput(_)
                | Output::Observations(_)
                | Output::Log(_) => {}
            }
        }
        let Some(start) = &world.nodes[n].start else {
            return;
        };
        let revision = start.cache().revision().unwrap_or(0);
        let said = start.cache().endpoints().next().map(|entry| entry.phase);
        world.broken |= revision < world.nodes[n].highest;
        world.broken |= revision > 0 && said != Some(phase(revision));
        world.nodes[n].highest = revision;
    }

    fn told(&self, world: &World) -> u64 {
        if world.behind {
            world.version.saturating_sub(1).max(1)
        } else {
            world.version
        }
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let node = || Node {
            start: None,
            kept: None,
            watch: None,
            highest: 0,
        };
        let mut world = World {
            now: 1_000 * SECOND,
            ticks: 0,
            version: 1,
            behind: false,
            nodes: (0..NODES).map(|_| node()).collect(),
            net: Vec::new(),
            cut: None,
            cuts: 0,
            kills: 0,
            broken: false,
        };
        (0..NODES).for_each(|n| self.start(&mut world, n));
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let up = |n: &usize| world.nodes[*n].start.is_some();
        steps.extend((0..world.net.len()).map(Step::Deliver));
        steps.extend((0..world.net.len().min(1)).map(Step::Lose));
        let reached = |n: &usize| world.cut != Some(*n);
        let news = |n: &usize| {
            world.nodes[*n]
                .watch
                .is_some_and(|seen| seen != self.told(world))
        };
        steps.extend(
            (0..NODES)
                .filter(up)
                .filter(reached)
                .filter(news)
                .map(Step::Watch),
        );
        if world.ticks < self.ticks && world.net.is_empty() {
            steps.push(Step::Tick);
        }
        if world.version < 3 {
            steps.push(Step::Change);
        }
        if !world.behind && world.version > 1 {
            steps.push(Step::Behind);
        }
        if world.kills == 0 {
            steps.extend((0..NODES).map(Step::Kill));
        }
        steps.extend((0..NODES).filter(|n| !up(n)).map(Step::Back));
        match world.cut {
            Some(_) => steps.push(Step::Heal),
            None if world.cuts == 0 => steps.extend((0..NODES).map(Step::Cut)),
            None => {}
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        let (now, mut out) = (world.now, Vec::new());
        match step {
            Step::Deliver(at) => {
                let (_, to, message) = world.net.remove(at);
                world.nodes[to]
                    .start
                    .as_mut()?
                    .handle_message(now, message, &mut out);
                self.outputs(&mut world, to, out);
            }
            Step::Lose(at) => drop(world.net.remove(at)),
            Step::Watch(n) => {
                let (told, seen) = (self.told(&world), world.nodes[n].watch?);
                // What changed after that version, or all of it where the service has not come to it.
                let update = list(told, seen == 0 || seen > told);
                world.nodes[n].watch = Some(told);
                world.nodes[n]
                    .start
                    .as_mut()?
                    .handle_watch_update(now, update, &mut out);
                self.outputs(&mut world, n, out);
            }
            Step::Tick => {
                let due = world
                    .nodes
                    .iter()
                    .filter_map(|node| Some(node.start.as_ref()?.next_timeout(now)))
                    .min()?;
                (world.now, world.ticks) = (due.max(now + MS), world.ticks + 1);
                for n in 0..NODES {
                    let (mut out, now) = (Vec::new(), world.now);
                    if let Some(start) = world.nodes[n].start.as_mut() {
                        start.handle_timeout(now, &mut out);
                    }
                    self.outputs(&mut world, n, out);
                }
            }
            Step::Change => (world.version, world.behind) = (world.version + 1, false),
            Step::Behind => world.behind = true,
            Step::Kill(n) => {
                (world.nodes[n].start, world.nodes[n].watch, world.kills) = (None, None, 1);
                world.net.retain(|(from, to, _)| *from != n && *to != n);
            }
            Step::Back(n) => self.start(&mut world, n),
            Step::Cut(n) => {
                (world.cut, world.cuts) = (Some(n), 1);
                world.net.retain(|(from, to, _)| *from != n && *to != n);
            }
            Step::Heal => world.cut = None,
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "nobody goes back to an older list or forgets a drain",
                |_, world: &World| !world.broken,
            ),
            Property::sometimes(
                "one that does not watch is told of the drain",
                |_, world: &World| {
                    let told = |node: &Node| node.watch.is_none() && node.highest == 2;
                    world.nodes.iter().any(told)
                },
            ),
        ]
    }
}

#[test]
fn no_instance_forgets_a_drain_or_believes_an_older_list() {
    for holders in [1, 2] {
        let checker = Bounds {
            holders,
            ticks: 5,
            forgetful: false,
        }
        .checker()
        .target_max_depth(10)
        .threads(4);
        let checker = checker.spawn_bfs().join();
        checker.assert_properties();
        assert!(
            checker.unique_state_count() > 10_000,
            "{}",
            checker.unique_state_count()
        );
    }
}

#[test]
fn a_disk_that_gives_back_an_older_list_is_found() {
    let bounds = Bounds {
        holders: 1,
        ticks: 5,
        forgetful: true,
    };
    let checker = bounds
        .checker()
        .target_max_depth(8)
        .threads(4)
        .spawn_bfs()
        .join();
    assert!(checker
        .discoveries()
        .contains_key("nobody goes back to an older list or forgets a drain"));
}
