//! A fleet of [`Bootstrap`]s in simulated time, with failures of the list service, loss, delays and partitions of the network,
//! and instances that are killed and restarted. All random choices derive from one seed.

mod instance;
mod list_service;

pub use instance::Instance;
pub use list_service::ServiceState;

use super::{address, endpoint, instance_at};
use list_service::HEARTBEAT_INTERVAL;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stackgw_bootstrap::{
    service_id, Bootstrap, BootstrapSettings, Endpoint, EndpointUpdate, MergeOutcome, Message,
    Output, PeerSettings, PollRate, MIN_WATCH_LEADERS,
};
use stackgw_router::api::{Lifecycle, Span, Time, MS, SECOND};
use std::collections::{BTreeMap, BTreeSet};

/// The drain grace of every instance.
pub const DRAIN_GRACE: Span = SECOND;
/// The watch timeout of every instance.
const WATCH_TIMEOUT: Span = 5 * SECOND;
/// Interval of updates of the cluster's membership.
const MEMBERSHIP_INTERVAL: Span = SECOND;
/// Minimum latency of a datagram; the actual latency is up to one [`MS`] longer.
const MIN_LATENCY: Span = MS / 5;

/// One incarnation of an instance; events for earlier incarnations are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Target {
    instance: usize,
    incarnation: u32,
}

/// One watch of one incarnation of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WatchTarget {
    target: Target,
    watch: u32,
}

enum Event {
    MessageArrives(Target, Message),
    TimeoutIsDue(Target),
    WatchUpdate(WatchTarget, EndpointUpdate),
    WatchLost(WatchTarget, Option<Span>),
    WatchHeartbeat(WatchTarget),
    MembershipUpdate,
}

/// A fleet in simulated time.
pub struct Simulation {
    pub now: Time,
    pub instances: Vec<Instance>,
    /// All versions of the list, beginning with version 1.
    pub versions: Vec<Vec<Endpoint>>,
    /// The behavior of the list service towards each instance.
    pub service_states: Vec<ServiceState>,
    /// Links that are cut: whether the sender and whether the receiver is on the far side.
    pub cut_links: BTreeSet<(bool, bool)>,
    /// The instances on the far side of a partition.
    pub far_side: BTreeSet<usize>,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The times of all polls of the list service.
    pub polls: Vec<Time>,
    /// Datagrams sent.
    pub datagrams: u64,
    pub service_capacity: f64,
    pub seed_count: usize,
    /// How long the membership takes to notice that an instance is down.
    pub suspicion_time: Span,
    pub has_cluster: bool,
    /// Set when an instance has gone back to an older version.
    pub violation: Option<String>,
    /// Every output with its time and its instance; `None` if outputs are not recorded.
    pub recorded: Option<Vec<(Time, usize, Output)>>,
    events: BTreeMap<(Time, u64), Event>,
    last_event: u64,
    rng: Pcg64Mcg,
}

impl Simulation {
    pub fn new(
        fleet: usize,
        members: usize,
        service_capacity: f64,
        has_cluster: bool,
        seed: u64,
    ) -> Self {
        let list = (0..members)
            .map(|n| endpoint(n, Lifecycle::Serving, n == 0))
            .collect();
        let mut simulation = Simulation {
            now: 1_000 * SECOND,
            instances: (0..fleet).map(|_| Instance::stopped()).collect(),
            versions: vec![list],
            service_states: vec![ServiceState::Up; fleet],
            cut_links: BTreeSet::new(),
            far_side: BTreeSet::new(),
            loss: 0.0,
            polls: Vec::new(),
            datagrams: 0,
            service_capacity,
            seed_count: 3,
            suspicion_time: 0,
            has_cluster,
            violation: None,
            recorded: None,
            events: BTreeMap::new(),
            last_event: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        if has_cluster {
            simulation.schedule(simulation.now, Event::MembershipUpdate);
        }
        simulation
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.last_event += 1;
        self.events.insert((at, self.last_event), event);
    }

    fn target(&self, instance: usize) -> Target {
        Target {
            instance,
            incarnation: self.instances[instance].incarnation,
        }
    }

    fn watch_target(&self, instance: usize) -> WatchTarget {
        WatchTarget {
            target: self.target(instance),
            watch: self.instances[instance].watch,
        }
    }

    /// The newest version of the list.
    pub fn revision(&self) -> u64 {
        self.versions.len() as u64
    }

    fn settings(&mut self, instance: usize) -> BootstrapSettings {
        let seeds = (0..self.seed_count).map(address).collect();
        BootstrapSettings {
            poll_rate: PollRate {
                instance_number: instance as u32,
                fleet_size: self.instances.len() as u32,
                service_capacity: self.service_capacity,
                min_pause: 100 * MS,
            },
            peers: self.has_cluster.then(|| PeerSettings {
                advertised_address: address(instance),
                seeds,
            }),
            min_watch_leaders: MIN_WATCH_LEADERS,
            service_id: service_id("s"),
            drain_grace: DRAIN_GRACE,
            watch_timeout: WATCH_TIMEOUT,
            cached_list_wait: 300 * MS,
            service_reset_after: 60 * SECOND,
            seed: self.rng.random(),
        }
    }

    /// Starts an instance with the list on its disk; if it runs, it is killed first.
    pub fn start(&mut self, n: usize) {
        self.kill(n);
        let settings = self.settings(n);
        let instance = &mut self.instances[n];
        instance.incarnation += 1;
        (instance.ready_at, instance.highest_revision) = (None, 0);
        instance.routed_phases.clear();
        let mut out = Vec::new();
        instance.bootstrap = Some(Bootstrap::new(
            self.now,
            settings,
            instance.cached.clone(),
            &mut out,
        ));
        self.carry_out(n, out);
    }

    /// Starts these instances at the same time.
    pub fn start_all(&mut self, which: impl Iterator<Item = usize>) {
        for n in which {
            self.start(n);
        }
    }

    pub fn kill(&mut self, n: usize) {
        let (now, instance) = (self.now, &mut self.instances[n]);
        if instance.bootstrap.take().is_some() {
            instance.stopped_at = now;
        }
        instance.is_watching = false;
        instance.watch += 1;
    }

    /// Calls one instance, if it runs, and carries out its outputs.
    pub fn call(&mut self, n: usize, act: impl FnOnce(&mut Bootstrap, Time, &mut Vec<Output>)) {
        let (now, mut out) = (self.now, Vec::new());
        if let Some(bootstrap) = self.instances[n].bootstrap.as_mut() {
            act(bootstrap, now, &mut out);
            self.carry_out(n, out);
        }
    }

    fn carry_out(&mut self, n: usize, out: Vec<Output>) {
        if let Some(recorded) = self.recorded.as_mut() {
            recorded.extend(out.iter().map(|output| (self.now, n, output.clone())));
        }
        for output in out {
            self.carry_out_one(n, output);
        }
        self.check_instance(n);
        self.schedule_timeout(n);
    }

    fn carry_out_one(&mut self, n: usize, output: Output) {
        let by_name = |endpoint: Endpoint| (endpoint.id, endpoint.phase);
        let instance = &mut self.instances[n];
        match output {
            Output::OpenWatch(after) => self.open_watch(n, after),
            Output::CloseWatch => {
                instance.watch += 1;
                instance.is_watching = false;
            }
            Output::Send(to, message) => self.send(n, instance_at(to), &message),
            Output::Endpoints(
                MergeOutcome::Complete(endpoints) | MergeOutcome::Cached(endpoints),
            ) => {
                instance.routed_phases = endpoints.into_iter().map(by_name).collect();
            }
            Output::Endpoints(MergeOutcome::Changed(endpoints)) => {
                instance
                    .routed_phases
                    .extend(endpoints.into_iter().map(by_name));
            }
            Output::Persist(cached) => instance.cached = Some(cached),
            Output::Observations(observations) => instance.observations.extend(observations),
            Output::Endpoints(_) | Output::Log(_) | Output::SeedWarmThroughput(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        self.datagrams += 1;
        let sides = (self.far_side.contains(&from), self.far_side.contains(&to));
        let is_lost = self.cut_links.contains(&sides) || self.rng.random::<f64>() < self.loss;
        if is_lost || to >= self.instances.len() {
            return;
        }
        let message = Message::decode(&message.encode()).expect("a sent message can be decoded");
        let at = self.now + MIN_LATENCY + (self.rng.random::<f64>() * MS as f64) as Span;
        self.schedule(at, Event::MessageArrives(self.target(to), message));
    }

    fn check_instance(&mut self, n: usize) {
        let (now, instance) = (self.now, &mut self.instances[n]);
        let Some(bootstrap) = &instance.bootstrap else {
            return;
        };
        if let Some(revision) = bootstrap.cache().revision() {
            if revision < instance.highest_revision {
                let highest = instance.highest_revision;
                self.violation = Some(format!(
                    "instance {n} went from version {highest} back to {revision}"
                ));
            }
            instance.highest_revision = revision;
        }
        if bootstrap.is_ready(now) {
            instance.ready_at = instance.ready_at.or(Some(now));
        }
    }

    fn schedule_timeout(&mut self, n: usize) {
        let (now, instance) = (self.now, &mut self.instances[n]);
        let Some(bootstrap) = &instance.bootstrap else {
            return;
        };
        let next_timeout = bootstrap.next_timeout(now);
        if next_timeout != instance.next_timeout {
            instance.next_timeout = next_timeout;
            self.schedule(next_timeout.max(now), Event::TimeoutIsDue(self.target(n)));
        }
    }

    /// Advances the simulation by `span`.
    pub fn advance(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(entry) = self
            .events
            .first_entry()
            .filter(|entry| entry.key().0 <= end)
        {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::MessageArrives(target, message) if self.is_current(target) => {
                self.call(target.instance, |bootstrap, now, out| {
                    bootstrap.handle_message(now, message, out)
                });
            }
            Event::TimeoutIsDue(target) if self.is_current(target) => {
                self.handle_timeout_event(target.instance)
            }
            Event::WatchUpdate(watch, update) if self.is_current_watch(watch) => {
                self.call(watch.target.instance, |bootstrap, now, out| {
                    bootstrap.handle_watch_update(now, update, out);
                });
            }
            Event::WatchLost(watch, retry_after) if self.is_current_watch(watch) => {
                self.call(watch.target.instance, |bootstrap, now, out| {
                    bootstrap.handle_watch_lost(now, retry_after, out);
                });
            }
            Event::WatchHeartbeat(watch) if self.is_current_watch(watch) => {
                self.handle_heartbeat(watch)
            }
            Event::MembershipUpdate => self.handle_membership_update(),
            _ => {}
        }
    }

    fn is_current(&self, target: Target) -> bool {
        self.target(target.instance) == target
            && self.instances[target.instance].bootstrap.is_some()
    }

    fn is_current_watch(&self, watch: WatchTarget) -> bool {
        self.is_current(watch.target) && self.watch_target(watch.target.instance) == watch
    }

    fn handle_timeout_event(&mut self, n: usize) {
        if self.instances[n].next_timeout > self.now {
            return;
        }
        self.instances[n].next_timeout = Time::MAX;
        self.call(n, |bootstrap, now, out| bootstrap.handle_timeout(now, out));
    }

    fn handle_heartbeat(&mut self, watch: WatchTarget) {
        let n = watch.target.instance;
        if !self.instances[n].is_watching {
            return;
        }
        let (now, mut out) = (self.now, Vec::new());
        if matches!(
            self.service_states[n],
            ServiceState::Up | ServiceState::Behind(_)
        ) {
            if let Some(bootstrap) = self.instances[n].bootstrap.as_mut() {
                bootstrap.handle_watch_heartbeat(now, &mut out);
            }
        }
        self.schedule(now + HEARTBEAT_INTERVAL, Event::WatchHeartbeat(watch));
        self.carry_out(n, out);
    }

    fn handle_membership_update(&mut self) {
        self.schedule(self.now + MEMBERSHIP_INTERVAL, Event::MembershipUpdate);
        for n in 0..self.instances.len() {
            let live_peers = (0..self.instances.len()).filter(|peer| self.is_seen_live(n, *peer));
            let live_peers: BTreeSet<_> = live_peers.map(address).collect();
            self.call(n, |bootstrap, now, out| {
                bootstrap.update_membership(now, live_peers, out)
            });
        }
    }

    /// Whether the membership of instance `n` considers `peer` live.
    fn is_seen_live(&self, n: usize, peer: usize) -> bool {
        let instance = &self.instances[peer];
        let is_up =
            instance.bootstrap.is_some() || self.now - instance.stopped_at < self.suspicion_time;
        let sides = (self.far_side.contains(&n), self.far_side.contains(&peer));
        peer != n && is_up && !self.cut_links.contains(&sides)
    }

    fn running(&self) -> impl Iterator<Item = &Bootstrap> {
        self.instances
            .iter()
            .filter_map(|instance| instance.bootstrap.as_ref())
    }

    /// The number of instances that have the newest version, and not as a cached list.
    pub fn up_to_date_count(&self) -> usize {
        let newest = Some(self.revision());
        let is_up_to_date = |bootstrap: &&Bootstrap| {
            bootstrap.cache().revision() == newest && bootstrap.cache().is_confirmed()
        };
        self.running().filter(is_up_to_date).count()
    }

    pub fn running_count(&self) -> usize {
        self.running().count()
    }

    /// The maximum number of polls of the list service within any span of this length, from the given time on.
    pub fn max_polls_within(&self, span: Span, from: Time) -> usize {
        let polls: Vec<_> = self.polls.iter().filter(|at| **at >= from).collect();
        let within = |(n, at): (usize, &&Time)| {
            polls[n..]
                .iter()
                .take_while(|later| ***later < **at + span)
                .count()
        };
        polls.iter().enumerate().map(within).max().unwrap_or(0)
    }

    /// The number of polls of the list service from the given time on.
    pub fn polls_since(&self, from: Time) -> usize {
        self.polls.iter().filter(|at| **at >= from).count()
    }
}
