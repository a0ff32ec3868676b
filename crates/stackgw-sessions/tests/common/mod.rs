//! Several instances in simulated time: a network that loses, delays, repeats and cuts, disks, kills, pauses, clocks that
//! differ; and the truth against which each read is held.
#![allow(dead_code)]

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stackgw_router::api::{Span, Time, MS, SECOND};
use stackgw_sessions::*;
use std::collections::{BTreeMap, BTreeSet};

pub const HORIZON: Span = 2 * SECOND;
pub const LEASE: Span = 300 * MS;

pub fn settings(me: usize, incarnation: u64, keepers: usize) -> Settings {
    Settings {
        local: Peer {
            node: node(me),
            incarnation,
        },
        replicas: (0..keepers).map(node).collect(),
        owners_per_session: 2,
        lease: LEASE,
        retention: HORIZON,
        resend_interval: 20 * MS,
        lookup_timeout: 15 * MS,
        max_positions: 10_000,
        max_local_writes: 10_000,
        max_pending: 1_000,
        recovered: None,
    }
}

pub fn node(n: usize) -> NodeId {
    NodeId(n as u64 + 1)
}

/// One instance, with its clock and its disk.
pub struct Instance {
    pub up: Option<Sessions>,
    pub paused: bool,
    pub incarnation: u64,
    pub has_disk: bool,
    disk: Option<(u64, Vec<Record>)>,
    synced: usize,
    base: u64,
    offset: Time,
    rate: f64,
}

#[derive(Debug, Clone)]
enum Happens {
    Arrives(usize, Peer, Peer, Message),
    Synced(usize, u64, usize),
}

/// What the world does to them.
#[derive(Debug, Clone, Copy)]
pub struct Weather {
    pub loss: f64,
    pub repeat: f64,
    pub delay: Span,
    pub sync: Span,
    /// Marks are ignored: every read is told that nothing needs to be seen. Shows that the trial can fail.
    pub off: bool,
}

pub struct World {
    pub now: Time,
    pub rng: SmallRng,
    pub weather: Weather,
    pub keepers: usize,
    pub instances: Vec<Instance>,
    pub cut: BTreeSet<(usize, usize)>,
    agenda: BTreeMap<(Time, u64), Happens>,
    next: u64,
    tickets: u64,
    writes: BTreeMap<(usize, RequestNumber), (SessionKey, Time, Time)>,
    reads: BTreeMap<(usize, RequestNumber), (SessionKey, Time)>,
    /// By session: each write whose answer has left, its position, when it was committed and when its answer left.
    left: BTreeMap<SessionKey, Vec<(Time, Time, Time)>>,
    pub sure: u64,
    pub cautious: BTreeMap<UncertaintyReason, u64>,
    pub released: u64,
    pub missed: Vec<String>,
    pub messages: u64,
    positions: Time,
    /// Changes each instance's settings before it starts.
    adjust: fn(&mut Settings),
    /// All outputs with the true time and the instance, where a test asks for them.
    pub trace: Option<Vec<(Time, usize, Output)>>,
}

impl World {
    pub fn new(seed: u64, keepers: usize, guests: usize, disks: bool, weather: Weather) -> Self {
        World::with_settings(seed, (keepers, guests), disks, weather, |_| {})
    }

    /// The same with settings that differ from the usual ones.
    pub fn with_settings(
        seed: u64,
        (keepers, guests): (usize, usize),
        disks: bool,
        weather: Weather,
        adjust: fn(&mut Settings),
    ) -> Self {
        let mut world = World {
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            weather,
            keepers,
            instances: Vec::new(),
            cut: BTreeSet::new(),
            agenda: BTreeMap::new(),
            next: 0,
            tickets: 0,
            writes: BTreeMap::new(),
            reads: BTreeMap::new(),
            left: BTreeMap::new(),
            sure: 0,
            cautious: BTreeMap::new(),
            released: 0,
            missed: Vec::new(),
            messages: 0,
            positions: 0,
            adjust,
            trace: None,
        };
        for n in 0..keepers + guests {
            let offset = world.rng.random_range(0..1_000) * MS + 100 * SECOND;
            let rate = 1.0 + (world.rng.random::<f64>() - 0.5) / 100.0;
            world.instances.push(Instance {
                up: None,
                paused: false,
                incarnation: 0,
                has_disk: disks,
                disk: None,
                synced: 0,
                base: 0,
                offset,
                rate,
            });
            world.start(n);
        }
        world
    }

    pub fn clock(&self, n: usize) -> Time {
        let i = &self.instances[n];
        i.offset + (self.now as f64 * i.rate) as Time
    }

    fn at(&mut self, when: Time, what: Happens) {
        self.next += 1;
        self.agenda.insert((when, self.next), what);
    }

    /// Starts an instance anew, with what its disk has.
    pub fn start(&mut self, n: usize) {
        let now = self.clock(n);
        let i = &mut self.instances[n];
        let last = i.incarnation;
        i.incarnation = (i.incarnation + 1).max(now as u64 / 1_000_000);
        i.paused = false;
        let mut set = settings(n, i.incarnation, self.keepers);
        (self.adjust)(&mut set);
        if i.has_disk {
            let (unbroken_since, records) = i.disk.get_or_insert((i.incarnation, Vec::new()));
            records.truncate(i.synced);
            let stamp = StoreVersion {
                store_id: *unbroken_since,
                records: 0,
                last_incarnation: last,
            };
            let mut recovered = Recovered {
                unbroken_since: *unbroken_since,
                store_version: stamp,
                ..Recovered::default()
            };
            records
                .iter()
                .cloned()
                .for_each(|record| recovered.apply(record));
            i.base = i.synced as u64;
            set.recovered = Some(recovered);
        }
        let mut out = Vec::new();
        let sessions = Sessions::new(now, set, &mut out);
        self.instances[n].up = Some(sessions);
        self.carry_out(n, out);
    }

    pub fn kill(&mut self, n: usize) {
        self.instances[n].up = None;
        self.writes.retain(|(at, _), _| *at != n);
        self.reads.retain(|(at, _), _| *at != n);
    }

    /// Puts the disk back to what it held so many records ago.
    pub fn old_disk(&mut self, n: usize, records: usize) {
        self.instances[n].synced = self.instances[n].synced.saturating_sub(records);
    }

    /// Sets an instance's clock forward or back; only while it is down.
    pub fn set_clock(&mut self, n: usize, by: Span) {
        self.instances[n].offset += by;
    }

    pub fn lose_disk(&mut self, n: usize) {
        let i = &mut self.instances[n];
        (i.disk, i.synced) = (None, 0);
    }

    pub fn with(&mut self, n: usize, act: impl FnOnce(&mut Sessions, Time, &mut Vec<Output>)) {
        let now = self.clock(n);
        let mut out = Vec::new();
        if let Some(up) = self.instances[n].up.as_mut() {
            act(up, now, &mut out);
        }
        self.carry_out(n, out);
    }

    pub fn write(&mut self, n: usize, session: u64) {
        if self.instances[n].up.is_none() || self.instances[n].paused {
            return;
        }
        self.tickets += 1;
        self.positions += MS;
        let (ticket, key, position) = (self.tickets, SessionKey(session), self.positions);
        self.writes.insert((n, ticket), (key, position, self.now));
        self.with(n, |s, now, out| {
            s.record_write(now, ticket, key, Some(position), out);
        });
    }

    pub fn read(&mut self, n: usize, session: u64) {
        if self.instances[n].up.is_none() || self.instances[n].paused {
            return;
        }
        self.tickets += 1;
        let (ticket, key) = (self.tickets, SessionKey(session));
        self.reads.insert((n, ticket), (key, self.now));
        self.with(n, |s, now, out| s.begin_read(now, ticket, key, out));
    }

    fn carry_out(&mut self, n: usize, out: Vec<Output>) {
        for output in out {
            if let Some(trace) = self.trace.as_mut() {
                trace.push((self.now, n, output.clone()));
            }
            match output {
                Output::Send(to, message) => {
                    self.messages += 1;
                    let Some(target) = (0..self.instances.len()).find(|i| node(*i) == to.node)
                    else {
                        continue;
                    };
                    let from = Peer {
                        node: node(n),
                        incarnation: self.instances[n].incarnation,
                    };
                    let bytes = message.encode(to);
                    assert!(
                        bytes.len() <= MAX_MESSAGE_BYTES,
                        "{} bytes: {message:?}",
                        bytes.len()
                    );
                    assert_eq!(Message::decode(&bytes), Ok((to, message.clone())));
                    let copies = 1 + usize::from(self.rng.random::<f64>() < self.weather.repeat);
                    for _ in 0..copies {
                        if self.cut.contains(&(n, target))
                            || self.rng.random::<f64>() < self.weather.loss
                        {
                            continue;
                        }
                        let mut delay = self
                            .rng
                            .random_range(MS / 10..=self.weather.delay.max(MS / 5));
                        if self.rng.random::<f64>() < self.weather.repeat / 4.0 {
                            delay += self.rng.random_range(0..2 * LEASE); // Long after it was sent.
                        }
                        self.at(
                            self.now + delay,
                            Happens::Arrives(target, from, to, message.clone()),
                        );
                    }
                }
                Output::Release(ticket) => {
                    if let Some((key, position, at)) = self.writes.remove(&(n, ticket)) {
                        self.released += 1;
                        self.left
                            .entry(key)
                            .or_default()
                            .push((position, at, self.now));
                    }
                }
                Output::ReadRequirement(ticket, knowledge) => {
                    let Some((key, came)) = self.reads.remove(&(n, ticket)) else {
                        continue;
                    };
                    self.judge(n, key, came, knowledge);
                }
                Output::Store(record) => {
                    let Some((_, records)) = self.instances[n].disk.as_mut() else {
                        continue;
                    };
                    records.push(record);
                    let (upto, life) = (records.len(), self.instances[n].incarnation);
                    let delay = self
                        .rng
                        .random_range(MS / 10..=self.weather.sync.max(MS / 5));
                    self.at(self.now + delay, Happens::Synced(n, life, upto));
                }
            }
        }
    }

    fn judge(&mut self, n: usize, key: SessionKey, came: Time, knowledge: ReadRequirement) {
        let known = match knowledge {
            ReadRequirement::Strong(why) if !self.weather.off => {
                *self.cautious.entry(why).or_default() += 1;
                return;
            }
            ReadRequirement::Position(known) if !self.weather.off => known,
            _ => None,
        };
        self.sure += 1;
        // Clocks' rates differ by a hundredth, so horizons end so much earlier.
        let since = came - HORIZON + HORIZON / 50;
        let left = self.left.get(&key).into_iter().flatten();
        let must = left
            .filter(|(_, at, left)| *left < came && *at > since)
            .map(|(position, ..)| *position)
            .max();
        if must > known {
            self.missed.push(format!(
                "at {n}, {} ms: must see {must:?}, is told {known:?}",
                came / MS
            ));
        }
    }

    /// Lets time pass.
    pub fn pass(&mut self, span: Span) {
        let end = self.now + span;
        loop {
            let arrival = self
                .agenda
                .first_key_value()
                .map_or(Time::MAX, |((at, _), _)| *at);
            let due = (0..self.instances.len())
                .filter(|n| !self.instances[*n].paused)
                .filter_map(|n| {
                    let i = &self.instances[n];
                    let wanted = i.up.as_ref()?.next_deadline();
                    let at = ((wanted.saturating_sub(i.offset)) as f64 / i.rate) as Time;
                    let at = at.saturating_add(1);
                    Some((at.max(self.now), n))
                })
                .min();
            let due_at = due.map_or(Time::MAX, |(at, _)| at);
            if arrival.min(due_at) > end {
                break;
            }
            if due_at < arrival {
                let Some((at, n)) = due else { break };
                self.now = at.max(self.now);
                self.with(n, |s, now, out| s.handle_timeout(now, out));
                continue;
            }
            let Some(((at, _), what)) = self.agenda.pop_first() else {
                break;
            };
            self.now = at.max(self.now);
            match what {
                // What comes to a paused process waits in its socket.
                Happens::Arrives(n, ..) | Happens::Synced(n, ..) if self.instances[n].paused => {
                    self.at(self.now + 20 * MS, what);
                }
                Happens::Arrives(n, from, to, message) => {
                    self.with(n, |s, now, out| {
                        s.handle_message(now, from, to, message, out)
                    });
                }
                Happens::Synced(n, life, upto) if self.instances[n].incarnation == life => {
                    let i = &mut self.instances[n];
                    if i.up.is_some()
                        && i.disk
                            .as_ref()
                            .is_some_and(|(_, records)| records.len() >= upto)
                    {
                        i.synced = i.synced.max(upto);
                        let count = upto as u64 - i.base;
                        self.with(n, |s, now, out| s.handle_records_stored(now, count, out));
                    }
                }
                Happens::Synced(..) => {}
            }
        }
        self.now = end;
    }
}
