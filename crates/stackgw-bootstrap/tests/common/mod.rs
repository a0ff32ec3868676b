//! A fleet of [`Bootstrap`]s in simulated time: a list service that fails, a network that loses, delays and cuts, instances that
//! are killed and started anew. Everything by one seed.

#![allow(dead_code)]

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stackgw_bootstrap::*;
use stackgw_router::api::{Lifecycle, Span, Time, MS, SECOND};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub const GRACE: Span = SECOND;

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7_000))
}

fn index(at: SocketAddr) -> usize {
    let SocketAddr::V4(at) = at else {
        return usize::MAX;
    };
    let [_, _, a, b] = at.ip().octets();
    usize::from(a) * 250 + usize::from(b) - 1
}

pub fn entry(n: usize, phase: Lifecycle, leader: bool) -> Endpoint {
    Endpoint {
        id: format!("m{n}"),
        address: SocketAddr::from(([10, 1, (n / 250) as u8, (n % 250) as u8 + 1], 6_543)),
        locality: "room".to_owned(),
        cell: 2,
        phase,
        size: 1.0,
        up_since_ms: 0,
        leader,
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    Up,
    Dead,
    Silent,
    /// It refuses to answer, and says for how long it wants to be left alone.
    Overloaded(Span),
    /// It answers with the list as it was then.
    Behind(usize),
}

enum Event {
    Told(usize, u32, Message),
    Due(usize, u32),
    Watch(usize, u32, u32, Option<EndpointUpdate>),
    Lost(usize, u32, u32, Option<Span>),
    Blank(usize, u32, u32),
    Met,
}

pub struct Node {
    pub start: Option<Bootstrap>,
    gone: Time,
    pub kept: Option<CachedEndpoints>,
    /// Rises with each life, and with each watch.
    life: u32,
    watch: u32,
    watches: bool,
    /// The version that the watch has come to.
    seen: u64,
    due: Time,
    pub ready_at: Option<Time>,
    /// What its router was told last of each member: by name, the phase.
    pub router: BTreeMap<String, Lifecycle>,
    pub highest: u64,
    /// What it was told of members that others have seen.
    pub sighted: Vec<Observation>,
}

pub struct Sim {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub versions: Vec<Vec<Endpoint>>,
    pub moods: Vec<Mood>,
    pub cut: BTreeSet<(bool, bool)>,
    /// Which instances stand on the far side of a cut.
    pub far: BTreeSet<usize>,
    pub loss: f64,
    pub asks: Vec<Time>,
    pub datagrams: u64,
    pub bears: f64,
    pub seeds: usize,
    /// How long the membership takes to notice that an instance is gone.
    pub suspicion: Span,
    pub talks: bool,
    /// The newest versions are refused by instances that held them: never, but in the test's own faults.
    pub broken: Option<String>,
    /// Every output with its moment and its instance, where they are recorded.
    pub recorded: Option<Vec<(Time, usize, Output)>>,
    events: BTreeMap<(Time, u64), Event>,
    next: u64,
    rng: Pcg64Mcg,
}

impl Sim {
    pub fn new(fleet: usize, members: usize, bears: f64, talks: bool, seed: u64) -> Self {
        let node = |_| Node {
            start: None,
            gone: 0,
            kept: None,
            life: 0,
            watch: 0,
            watches: false,
            seen: 0,
            due: Time::MAX,
            ready_at: None,
            router: BTreeMap::new(),
            highest: 0,
            sighted: Vec::new(),
        };
        let list = (0..members)
            .map(|n| entry(n, Lifecycle::Serving, n == 0))
            .collect();
        let mut sim = Sim {
            now: 1_000 * SECOND,
            nodes: (0..fleet).map(node).collect(),
            versions: vec![list],
            moods: vec![Mood::Up; fleet],
            cut: BTreeSet::new(),
            far: BTreeSet::new(),
            loss: 0.0,
            asks: Vec::new(),
            datagrams: 0,
            bears,
            seeds: 3,
            suspicion: 0,
            talks,
            broken: None,
            recorded: None,
            events: BTreeMap::new(),
            next: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        if talks {
            sim.at(sim.now, Event::Met);
        }
        sim
    }

    fn at(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    pub fn version(&self) -> u64 {
        self.versions.len() as u64
    }

    pub fn start(&mut self, n: usize) {
        self.kill(n);
        let set = BootstrapSettings {
            poll_rate: PollRate {
                instance_number: n as u32,
                fleet_size: self.nodes.len() as u32,
                service_capacity: self.bears,
                min_pause: 100 * MS,
            },
            peers: self.talks.then(|| PeerSettings {
                advertised_address: address(n),
                seeds: (0..self.seeds).map(address).collect(),
            }),
            min_watch_leaders: MIN_WATCH_LEADERS,
            service_id: service_id("s"),
            drain_grace: GRACE,
            watch_timeout: 5 * SECOND,
            cached_list_wait: 300 * MS,
            service_reset_after: 60 * SECOND,
            seed: self.rng.random(),
        };
        let node = &mut self.nodes[n];
        node.life += 1;
        (node.ready_at, node.highest) = (None, 0);
        node.router.clear();
        let mut out = Vec::new();
        node.start = Some(Bootstrap::new(self.now, set, node.kept.clone(), &mut out));
        self.outputs(n, out);
    }

    /// Every second one of these in a part of a second, as a machine starts processes.
    pub fn start_all(&mut self, which: impl Iterator<Item = usize>) {
        for n in which {
            self.start(n);
        }
    }

    pub fn kill(&mut self, n: usize) {
        let (now, node) = (self.now, &mut self.nodes[n]);
        node.gone = if node.start.is_some() { now } else { node.gone };
        (node.start, node.watches) = (None, false);
        node.watch += 1;
    }

    pub fn mood(&mut self, which: impl Iterator<Item = usize>, mood: Mood) {
        for n in which {
            self.moods[n] = mood;
            if mood == Mood::Dead && self.nodes[n].watches {
                let (life, watch) = (self.nodes[n].life, self.nodes[n].watch);
                self.nodes[n].watches = false;
                self.at(self.now, Event::Lost(n, life, watch, None));
            }
            self.feed(n);
        }
    }

    /// The list changes; those that watch are told.
    pub fn change(&mut self, change: impl FnOnce(&mut Vec<Endpoint>)) {
        let mut list = self.versions.last().cloned().unwrap_or_default();
        change(&mut list);
        self.versions.push(list);
        (0..self.nodes.len()).for_each(|n| self.feed(n));
    }

    /// What is in the list of a version and was not in some version since another: all that changed, be it there and back.
    fn since(&self, after: u64, version: usize) -> Vec<Endpoint> {
        let changed = |e: &&Endpoint| {
            self.versions[after as usize - 1..version]
                .iter()
                .any(|list| !list.contains(e))
        };
        self.versions[version - 1]
            .iter()
            .filter(changed)
            .cloned()
            .collect()
    }

    /// A watch is told what it has missed.
    fn feed(&mut self, n: usize) {
        let (version, seen) = (self.versions.len(), self.nodes[n].seen);
        if !self.nodes[n].watches || self.moods[n] != Mood::Up || seen >= version as u64 {
            return;
        }
        let members = self.since(seen, version);
        let update = EndpointUpdate {
            revision: version as u64,
            complete: false,
            members,
        };
        let (life, watch) = (self.nodes[n].life, self.nodes[n].watch);
        self.nodes[n].seen = version as u64;
        // Behind what the watch began with.
        self.at(
            self.now + 3 * MS,
            Event::Watch(n, life, watch, Some(update)),
        );
    }

    pub fn drain(&mut self, member: usize) {
        self.change(|list| list[member].phase = Lifecycle::Draining);
    }

    /// Calls one instance, if it runs, and carries out what it asks for.
    pub fn call(&mut self, n: usize, act: impl FnOnce(&mut Bootstrap, Time, &mut Vec<Output>)) {
        let (now, mut out) = (self.now, Vec::new());
        if let Some(start) = self.nodes[n].start.as_mut() {
            act(start, now, &mut out);
            self.outputs(n, out);
        }
    }

    fn outputs(&mut self, n: usize, out: Vec<Output>) {
        if let Some(recorded) = self.recorded.as_mut() {
            recorded.extend(out.iter().map(|output| (self.now, n, output.clone())));
        }
        for output in out {
            match output {
                Output::OpenWatch(after) => self.watch(n, after),
                Output::CloseWatch => {
                    self.nodes[n].watch += 1;
                    self.nodes[n].watches = false;
                }
                Output::Send(to, message) => {
                    self.datagrams += 1;
                    let to = index(to);
                    let sides = (self.far.contains(&n), self.far.contains(&to));
                    if self.cut.contains(&sides)
                        || self.rng.random::<f64>() < self.loss
                        || to >= self.nodes.len()
                    {
                        continue;
                    }
                    let message =
                        Message::decode(&message.encode()).expect("what was sent can be read");
                    let at = self.now + MS / 5 + (self.rng.random::<f64>() * MS as f64) as Span;
                    let life = self.nodes[to].life;
                    self.at(at, Event::Told(to, life, message));
                }
                Output::Endpoints(
                    MergeOutcome::Complete(entries) | MergeOutcome::Cached(entries),
                ) => {
                    self.nodes[n].router = entries.into_iter().map(|e| (e.id, e.phase)).collect();
                }
                Output::Endpoints(MergeOutcome::Changed(entries)) => {
                    self.nodes[n]
                        .router
                        .extend(entries.into_iter().map(|e| (e.id, e.phase)));
                }
                Output::Persist(kept) => self.nodes[n].kept = Some(kept),
                Output::Observations(seen) => self.nodes[n].sighted.extend(seen),
                Output::Endpoints(_) | Output::Log(_) | Output::SeedWarmThroughput(_) => {}
            }
        }
        let (now, node) = (self.now, &mut self.nodes[n]);
        let Some(start) = &node.start else { return };
        if let Some(revision) = start.cache().revision() {
            if revision < node.highest {
                self.broken = Some(format!(
                    "instance {n} went from version {} back to {revision}",
                    node.highest
                ));
            }
            node.highest = revision;
        }
        if start.is_ready(now) {
            node.ready_at = node.ready_at.or(Some(now));
        }
        let (due, life) = (start.next_timeout(now), node.life);
        if due != node.due {
            node.due = due;
            self.at(due.max(now), Event::Due(n, life));
        }
    }

    fn watch(&mut self, n: usize, after: Option<u64>) {
        self.nodes[n].watch += 1;
        let (life, watch, at) = (self.nodes[n].life, self.nodes[n].watch, self.now + 2 * MS);
        if self.moods[n] != Mood::Dead {
            self.asks.push(self.now);
        }
        match self.moods[n] {
            Mood::Dead => self.at(at, Event::Lost(n, life, watch, None)),
            Mood::Silent => {}
            Mood::Overloaded(wait) => self.at(at, Event::Lost(n, life, watch, Some(wait))),
            mood => {
                let version = if let Mood::Behind(version) = mood {
                    version
                } else {
                    self.versions.len()
                };
                let (list, revision) = (self.versions[version - 1].clone(), version as u64);
                let news = after.filter(|after| *after <= revision && *after > 0);
                let members = news.map_or(list, |after| self.since(after, version));
                let update = EndpointUpdate {
                    revision,
                    complete: news.is_none(),
                    members,
                };
                (self.nodes[n].watches, self.nodes[n].seen) = (true, revision);
                self.at(at, Event::Watch(n, life, watch, Some(update)));
                self.at(at + 2 * SECOND, Event::Blank(n, life, watch));
            }
        }
    }

    /// Plays on for so long.
    pub fn pass(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(entry) = self
            .events
            .first_entry()
            .filter(|entry| entry.key().0 <= end)
        {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.play(event);
        }
        self.now = end;
    }

    fn play(&mut self, event: Event) {
        let (now, mut out) = (self.now, Vec::new());
        let current = |node: &Node, life: u32| node.life == life && node.start.is_some();
        let n = match event {
            Event::Told(n, life, message) if current(&self.nodes[n], life) => {
                let start = self.nodes[n].start.as_mut().expect("it is current");
                start.handle_message(now, message, &mut out);
                n
            }
            Event::Due(n, life) if current(&self.nodes[n], life) => {
                let node = &mut self.nodes[n];
                if node.due > now {
                    return;
                }
                node.due = Time::MAX;
                node.start
                    .as_mut()
                    .expect("it is current")
                    .handle_timeout(now, &mut out);
                n
            }
            Event::Watch(n, life, watch, update) if current(&self.nodes[n], life) => {
                if self.nodes[n].watch != watch {
                    return;
                }
                let start = self.nodes[n].start.as_mut().expect("it is current");
                start.handle_watch_update(now, update.expect("a list"), &mut out);
                n
            }
            Event::Lost(n, life, watch, wait) if current(&self.nodes[n], life) => {
                if self.nodes[n].watch != watch {
                    return;
                }
                self.nodes[n]
                    .start
                    .as_mut()
                    .expect("it is current")
                    .handle_watch_lost(now, wait, &mut out);
                n
            }
            Event::Blank(n, life, watch) if current(&self.nodes[n], life) => {
                if self.nodes[n].watch != watch || !self.nodes[n].watches {
                    return;
                }
                if matches!(self.moods[n], Mood::Up | Mood::Behind(_)) {
                    self.nodes[n]
                        .start
                        .as_mut()
                        .expect("it is current")
                        .handle_watch_heartbeat(now, &mut out);
                }
                self.at(now + 2 * SECOND, Event::Blank(n, life, watch));
                n
            }
            Event::Met => {
                self.at(now + SECOND, Event::Met);
                for n in 0..self.nodes.len() {
                    let side = self.far.contains(&n);
                    let here = |m: &usize| {
                        let there = self.far.contains(m);
                        let node = &self.nodes[*m];
                        let up = node.start.is_some() || now - node.gone < self.suspicion;
                        up && !self.cut.contains(&(side, there))
                    };
                    let up: BTreeSet<_> = (0..self.nodes.len())
                        .filter(|m| *m != n)
                        .filter(here)
                        .map(address)
                        .collect();
                    if let Some(start) = self.nodes[n].start.as_mut() {
                        let mut out = Vec::new();
                        start.update_membership(now, up, &mut out);
                        self.outputs(n, out);
                    }
                }
                return;
            }
            _ => return,
        };
        self.outputs(n, out);
    }

    /// Instances that hold the newest version, and not as kept word.
    pub fn current(&self) -> usize {
        let version = Some(self.version());
        let fresh = |start: &&Bootstrap| {
            start.cache().revision() == version && start.cache().origin() != Some(Origin::Cached)
        };
        self.nodes
            .iter()
            .filter_map(|node| node.start.as_ref())
            .filter(fresh)
            .count()
    }

    pub fn up(&self) -> usize {
        self.nodes
            .iter()
            .filter(|node| node.start.is_some())
            .count()
    }

    /// Most asks within a span, since a moment.
    pub fn worst(&self, from: Time, span: Span) -> usize {
        let asks: Vec<_> = self.asks.iter().filter(|at| **at >= from).collect();
        let most = asks
            .iter()
            .enumerate()
            .map(|(n, at)| asks[n..].iter().take_while(|b| ***b < **at + span).count());
        most.max().unwrap_or(0)
    }

    pub fn asked(&self, from: Time) -> usize {
        self.asks.iter().filter(|at| **at >= from).count()
    }
}
