//! Checks the election of watch leaders and the merging of lists with a model checker. The model runs the real state machines
//! of three instances and explores, up to a bound, every order in which datagrams arrive or are lost, one instance that is
//! killed and restarted with its disk, one instance that is cut off for a while, and a service that sends an older list.

use stackgw_bootstrap::{
    service_id, Bootstrap, BootstrapSettings, CachedEndpoints, Endpoint, EndpointUpdate, Message,
    Output, PeerSettings, PollRate,
};
use stackgw_router::api::{Lifecycle, Time, MS, SECOND};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

const INSTANCES: usize = 3;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7_000))
}

/// The bounds of the exploration, and an optional injected fault.
#[derive(Clone)]
struct Bounds {
    /// Instances that watch the service.
    leaders: u32,
    ticks: u8,
    /// An injected fault: a disk that returns an older list than it was given.
    disk_returns_older_list: bool,
}

#[derive(Debug, Clone, PartialEq)]
struct Instance {
    bootstrap: Option<Bootstrap>,
    cached: Option<CachedEndpoints>,
    /// The latest version sent on the watch; `None` if the watch is not open.
    watch: Option<u64>,
    highest_revision: u64,
}

#[derive(Debug, Clone, PartialEq)]
struct Fleet {
    now: Time,
    ticks: u8,
    /// The list's version: the member serves in version 1, drains in 2, and serves again in 3.
    version: u64,
    is_service_behind: bool,
    instances: Vec<Instance>,
    network: Vec<(usize, usize, Message)>,
    cut_off: Option<usize>,
    cuts: u8,
    kills: u8,
    is_violated: bool,
}

impl Hash for Fleet {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

#[derive(Debug, Clone, PartialEq)]
enum Step {
    Deliver(usize),
    Lose(usize),
    ServeWatch(usize),
    Tick,
    Change,
    FallBehind,
    Kill(usize),
    Restart(usize),
    CutOff(usize),
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
    let endpoint = Endpoint {
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
        members: vec![endpoint],
    }
}

impl Bounds {
    fn settings(&self, n: usize) -> BootstrapSettings {
        BootstrapSettings {
            poll_rate: PollRate {
                instance_number: n as u32,
                fleet_size: INSTANCES as u32,
                service_capacity: 1_000.0,
                min_pause: MS,
            },
            peers: Some(PeerSettings {
                advertised_address: address(n),
                seeds: vec![address(0), address(1), address(2)],
            }),
            min_watch_leaders: self.leaders,
            service_id: service_id("s"),
            drain_grace: SECOND,
            watch_timeout: 5 * SECOND,
            cached_list_wait: 0,
            service_reset_after: 600 * SECOND,
            seed: n as u64,
        }
    }

    fn start(&self, fleet: &mut Fleet, n: usize) {
        let mut out = Vec::new();
        let mut cached = fleet.instances[n].cached.clone();
        // A restarted instance must not go back to a version older than the one on its disk either.
        let highest = cached.as_ref().map_or(0, |cached| cached.list.revision);
        if self.disk_returns_older_list {
            cached = cached.map(|cached| CachedEndpoints {
                list: list(1, true),
                ..cached
            });
        }
        let bootstrap = Bootstrap::new(fleet.now, self.settings(n), cached, &mut out);
        (
            fleet.instances[n].bootstrap,
            fleet.instances[n].watch,
            fleet.instances[n].highest_revision,
        ) = (Some(bootstrap), None, highest);
        self.carry_out(fleet, n, out);
    }

    fn carry_out(&self, fleet: &mut Fleet, n: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::OpenWatch(after) => fleet.instances[n].watch = Some(after.unwrap_or(0)),
                Output::CloseWatch => fleet.instances[n].watch = None,
                Output::Send(to, message) => {
                    let to = (0..INSTANCES).find(|m| address(*m) == to).unwrap_or(n);
                    let cut = fleet.cut_off.is_some_and(|cut| (cut == n) != (cut == to));
                    // More datagrams in flight only add states.
                    if !cut && fleet.instances[to].bootstrap.is_some() && fleet.network.len() < 2 {
                        fleet.network.push((n, to, message));
                    }
                }
                Output::Persist(cached) => fleet.instances[n].cached = Some(cached),
                Output::Endpoints(_)
                | Output::SeedWarmThroughput(_)
                | Output::Observations(_)
                | Output::Log(_) => {}
            }
        }
        let Some(bootstrap) = &fleet.instances[n].bootstrap else {
            return;
        };
        let revision = bootstrap.cache().revision().unwrap_or(0);
        let phase_here = bootstrap
            .cache()
            .endpoints()
            .next()
            .map(|endpoint| endpoint.phase);
        fleet.is_violated |= revision < fleet.instances[n].highest_revision;
        fleet.is_violated |= revision > 0 && phase_here != Some(phase(revision));
        fleet.instances[n].highest_revision = revision;
    }

    fn served_revision(&self, fleet: &Fleet) -> u64 {
        if fleet.is_service_behind {
            fleet.version.saturating_sub(1).max(1)
        } else {
            fleet.version
        }
    }
}

impl Model for Bounds {
    type State = Fleet;
    type Action = Step;

    fn init_states(&self) -> Vec<Fleet> {
        let instance = || Instance {
            bootstrap: None,
            cached: None,
            watch: None,
            highest_revision: 0,
        };
        let mut fleet = Fleet {
            now: 1_000 * SECOND,
            ticks: 0,
            version: 1,
            is_service_behind: false,
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            network: Vec::new(),
            cut_off: None,
            cuts: 0,
            kills: 0,
            is_violated: false,
        };
        (0..INSTANCES).for_each(|n| self.start(&mut fleet, n));
        vec![fleet]
    }

    fn actions(&self, fleet: &Fleet, steps: &mut Vec<Step>) {
        let up = |n: &usize| fleet.instances[*n].bootstrap.is_some();
        steps.extend((0..fleet.network.len()).map(Step::Deliver));
        steps.extend((0..fleet.network.len().min(1)).map(Step::Lose));
        let is_reached = |n: &usize| fleet.cut_off != Some(*n);
        let is_served = |n: &usize| {
            fleet.instances[*n]
                .watch
                .is_some_and(|watched| watched != self.served_revision(fleet))
        };
        steps.extend(
            (0..INSTANCES)
                .filter(up)
                .filter(is_reached)
                .filter(is_served)
                .map(Step::ServeWatch),
        );
        if fleet.ticks < self.ticks && fleet.network.is_empty() {
            steps.push(Step::Tick);
        }
        if fleet.version < 3 {
            steps.push(Step::Change);
        }
        if !fleet.is_service_behind && fleet.version > 1 {
            steps.push(Step::FallBehind);
        }
        if fleet.kills == 0 {
            steps.extend((0..INSTANCES).map(Step::Kill));
        }
        steps.extend((0..INSTANCES).filter(|n| !up(n)).map(Step::Restart));
        match fleet.cut_off {
            Some(_) => steps.push(Step::Heal),
            None if fleet.cuts == 0 => steps.extend((0..INSTANCES).map(Step::CutOff)),
            None => {}
        }
    }

    fn next_state(&self, last: &Fleet, step: Step) -> Option<Fleet> {
        let mut fleet = last.clone();
        let (now, mut out) = (fleet.now, Vec::new());
        match step {
            Step::Deliver(at) => {
                let (_, to, message) = fleet.network.remove(at);
                fleet.instances[to]
                    .bootstrap
                    .as_mut()?
                    .handle_message(now, message, &mut out);
                self.carry_out(&mut fleet, to, out);
            }
            Step::Lose(at) => drop(fleet.network.remove(at)),
            Step::ServeWatch(n) => {
                let (served, watched) = (self.served_revision(&fleet), fleet.instances[n].watch?);
                // The changes after the watched version, or the complete list if there is none or the service has an older one.
                let update = list(served, watched == 0 || watched > served);
                fleet.instances[n].watch = Some(served);
                fleet.instances[n]
                    .bootstrap
                    .as_mut()?
                    .handle_watch_update(now, update, &mut out);
                self.carry_out(&mut fleet, n, out);
            }
            Step::Tick => {
                let next_timeout = fleet
                    .instances
                    .iter()
                    .filter_map(|instance| Some(instance.bootstrap.as_ref()?.next_timeout(now)))
                    .min()?;
                (fleet.now, fleet.ticks) = (next_timeout.max(now + MS), fleet.ticks + 1);
                for n in 0..INSTANCES {
                    let (mut out, now) = (Vec::new(), fleet.now);
                    if let Some(bootstrap) = fleet.instances[n].bootstrap.as_mut() {
                        bootstrap.handle_timeout(now, &mut out);
                    }
                    self.carry_out(&mut fleet, n, out);
                }
            }
            Step::Change => (fleet.version, fleet.is_service_behind) = (fleet.version + 1, false),
            Step::FallBehind => fleet.is_service_behind = true,
            Step::Kill(n) => {
                (
                    fleet.instances[n].bootstrap,
                    fleet.instances[n].watch,
                    fleet.kills,
                ) = (None, None, 1);
                fleet.network.retain(|(from, to, _)| *from != n && *to != n);
            }
            Step::Restart(n) => self.start(&mut fleet, n),
            Step::CutOff(n) => {
                (fleet.cut_off, fleet.cuts) = (Some(n), 1);
                fleet.network.retain(|(from, to, _)| *from != n && *to != n);
            }
            Step::Heal => fleet.cut_off = None,
        }
        Some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no instance goes back to an older list or forgets a drain",
                |_, fleet: &Fleet| !fleet.is_violated,
            ),
            Property::sometimes(
                "an instance without a watch learns of the drain",
                |_, fleet: &Fleet| {
                    let knows_of_drain = |instance: &Instance| {
                        instance.watch.is_none() && instance.highest_revision == 2
                    };
                    fleet.instances.iter().any(knows_of_drain)
                },
            ),
        ]
    }
}

#[test]
fn no_instance_forgets_a_drain_or_goes_back_to_an_older_list() {
    for leaders in [1, 2] {
        let checker = Bounds {
            leaders,
            ticks: 5,
            disk_returns_older_list: false,
        }
        .checker()
        .target_max_depth(10)
        .threads(4);
        let checker = checker.spawn_bfs().join();
        checker.assert_properties();
        assert!(
            checker.unique_state_count() > 10_000,
            "only {} states were explored",
            checker.unique_state_count()
        );
    }
}

#[test]
fn a_disk_that_returns_an_older_list_is_detected() {
    let bounds = Bounds {
        leaders: 1,
        ticks: 5,
        disk_returns_older_list: true,
    };
    let checker = bounds
        .checker()
        .target_max_depth(8)
        .threads(4)
        .spawn_bfs()
        .join();
    assert!(
        checker
            .discoveries()
            .contains_key("no instance goes back to an older list or forgets a drain"),
        "the injected fault was not detected"
    );
}
