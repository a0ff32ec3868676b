//! Simulates several instances: a network with loss, delays, duplicates and partitions; stores,
//! crashes, pauses and clocks that differ. Each read is checked against the writes released before.
#![allow(dead_code, reason = "each test file uses a part of it")]

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stackgw_router::api::{Span, Time, MS, SECOND};
use stackgw_sessions::*;
use std::collections::{BTreeMap, BTreeSet};

pub const RETENTION: Span = 2 * SECOND;
pub const LEASE: Span = 300 * MS;

/// Returns the settings of an instance without a store.
pub fn settings(index: usize, incarnation: u64, replicas: usize) -> Settings {
    Settings {
        local: Peer {
            node: node(index),
            incarnation,
        },
        replicas: (0..replicas).map(node).collect(),
        owners_per_session: 2,
        lease: LEASE,
        retention: RETENTION,
        resend_interval: 20 * MS,
        lookup_timeout: 15 * MS,
        max_positions: 10_000,
        max_local_writes: 10_000,
        max_pending: 1_000,
        recovered: None,
    }
}

pub fn node(index: usize) -> NodeId {
    NodeId(index as u64 + 1)
}

/// The store of an instance: the records written since it was created.
struct Store {
    unbroken_since: u64,
    records: Vec<Record>,
}

/// One instance, with its clock and its store.
pub struct Instance {
    pub running: Option<Sessions>,
    pub paused: bool,
    pub incarnation: u64,
    pub has_store: bool,
    store: Option<Store>,
    /// Number of records that survive a crash.
    synced: usize,
    /// Number of records of earlier incarnations.
    recovered: usize,
    clock_offset: Time,
    clock_rate: f64,
}

#[derive(Debug, Clone)]
enum Event {
    Arrival {
        target: usize,
        from: Peer,
        to: Peer,
        message: Message,
    },
    RecordsSynced {
        target: usize,
        incarnation: u64,
        records: usize,
    },
}

impl Event {
    fn target(&self) -> usize {
        match self {
            Event::Arrival { target, .. } | Event::RecordsSynced { target, .. } => *target,
        }
    }
}

/// The faults and delays that the simulation applies.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    /// Fraction of messages that are lost.
    pub loss: f64,
    /// Fraction of messages that are sent twice. In addition, a quarter of this fraction of all
    /// copies is delayed by up to two more leases.
    pub duplication: f64,
    /// Maximum delay of a message; at least 0.2 ms is used.
    pub max_delay: Span,
    /// Maximum time until a record is in the store; at least 0.2 ms is used.
    pub max_sync_time: Span,
    /// Checks every read as if it were not required to see any position, to show that the check of
    /// reads can fail.
    pub ignore_positions: bool,
}

/// An output of an instance, with the simulated time at which it was emitted.
pub struct TracedOutput {
    pub at: Time,
    pub index: usize,
    pub output: Output,
}

struct PendingWrite {
    key: SessionKey,
    position: Time,
    committed_at: Time,
}

struct PendingRead {
    key: SessionKey,
    arrived_at: Time,
}

struct ReleasedWrite {
    position: Time,
    committed_at: Time,
    released_at: Time,
}

/// An instance that is down or paused.
struct Outage {
    index: usize,
    until: Time,
}

pub struct Simulation {
    pub now: Time,
    pub rng: SmallRng,
    pub conditions: Conditions,
    pub replicas: usize,
    pub instances: Vec<Instance>,
    /// Pairs of instances: no message passes from the first to the second.
    pub partitions: BTreeSet<(usize, usize)>,
    outages: Vec<Outage>,
    events: BTreeMap<(Time, u64), Event>,
    last_event: u64,
    last_request: RequestNumber,
    pending_writes: BTreeMap<(usize, RequestNumber), PendingWrite>,
    pending_reads: BTreeMap<(usize, RequestNumber), PendingRead>,
    released_writes: BTreeMap<SessionKey, Vec<ReleasedWrite>>,
    /// Number of reads that were not required to see every commit.
    pub certain_reads: u64,
    /// Number of reads that were required to see every commit, by reason.
    pub strong_reads: BTreeMap<UncertaintyReason, u64>,
    /// Number of released writes.
    pub released: u64,
    /// Descriptions of reads that were not required to see a released write of their session.
    pub missed: Vec<String>,
    /// Number of messages sent, without duplicates.
    pub messages: u64,
    last_position: Time,
    /// Changes each instance's settings before it starts.
    adjust: fn(&mut Settings),
    /// All outputs, if a test has set a list here.
    pub trace: Option<Vec<TracedOutput>>,
}

impl Simulation {
    /// Starts `replicas` replicas, and `forwarders` instances that forward their writes to them.
    pub fn new(
        seed: u64,
        replicas: usize,
        forwarders: usize,
        has_stores: bool,
        conditions: Conditions,
    ) -> Self {
        let adjust = |_: &mut Settings| {};
        Self::with_settings(seed, (replicas, forwarders), has_stores, conditions, adjust)
    }

    /// Like [`Simulation::new`], with settings changed by `adjust`.
    pub fn with_settings(
        seed: u64,
        (replicas, forwarders): (usize, usize),
        has_stores: bool,
        conditions: Conditions,
        adjust: fn(&mut Settings),
    ) -> Self {
        let mut simulation = Simulation {
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            conditions,
            replicas,
            instances: Vec::new(),
            partitions: BTreeSet::new(),
            outages: Vec::new(),
            events: BTreeMap::new(),
            last_event: 0,
            last_request: 0,
            pending_writes: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            released_writes: BTreeMap::new(),
            certain_reads: 0,
            strong_reads: BTreeMap::new(),
            released: 0,
            missed: Vec::new(),
            messages: 0,
            last_position: 0,
            adjust,
            trace: None,
        };
        for index in 0..replicas + forwarders {
            simulation.add_instance(has_stores);
            simulation.start(index);
        }
        simulation
    }

    fn add_instance(&mut self, has_store: bool) {
        let clock_offset = self.rng.random_range(0..1_000) * MS + 100 * SECOND;
        let clock_rate = 1.0 + (self.rng.random::<f64>() - 0.5) / 100.0;
        self.instances.push(Instance {
            running: None,
            paused: false,
            incarnation: 0,
            has_store,
            store: None,
            synced: 0,
            recovered: 0,
            clock_offset,
            clock_rate,
        });
    }

    /// The time on an instance's own clock.
    pub fn clock(&self, index: usize) -> Time {
        let instance = &self.instances[index];
        instance.clock_offset + (self.now as f64 * instance.clock_rate) as Time
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.last_event += 1;
        self.events.insert((at, self.last_event), event);
    }

    /// Starts an instance with the records in its store.
    pub fn start(&mut self, index: usize) {
        let now = self.clock(index);
        let instance = &mut self.instances[index];
        let last_incarnation = instance.incarnation;
        instance.incarnation = (instance.incarnation + 1).max(now as u64 / 1_000_000);
        instance.paused = false;
        let mut settings = settings(index, instance.incarnation, self.replicas);
        (self.adjust)(&mut settings);
        if instance.has_store {
            settings.recovered = Some(instance.recover(last_incarnation));
        }
        let mut outputs = Vec::new();
        let sessions = Sessions::new(now, settings, &mut outputs);
        self.instances[index].running = Some(sessions);
        self.apply_outputs(index, outputs);
    }

    pub fn kill(&mut self, index: usize) {
        self.instances[index].running = None;
        self.pending_writes.retain(|(at, _), _| *at != index);
        self.pending_reads.retain(|(at, _), _| *at != index);
    }

    pub fn pause(&mut self, index: usize) {
        self.instances[index].paused = true;
    }

    /// Schedules an instance that was killed or paused to run again at `until`, when
    /// [`Simulation::end_outages`] is next called.
    pub fn end_outage_at(&mut self, index: usize, until: Time) {
        self.outages.push(Outage { index, until });
    }

    /// Starts or resumes the instances whose outage has ended.
    pub fn end_outages(&mut self) {
        let now = self.now;
        let outages = std::mem::take(&mut self.outages);
        let (ended, remaining): (Vec<_>, _) =
            outages.into_iter().partition(|outage| outage.until <= now);
        self.outages = remaining;
        for Outage { index, .. } in ended {
            if self.instances[index].running.is_none() {
                self.start(index);
            }
            self.instances[index].paused = false;
        }
    }

    /// Restores an old copy of the store, without the last `records` records that were synced. The
    /// instance must be down.
    pub fn restore_old_store(&mut self, index: usize, records: usize) {
        let instance = &mut self.instances[index];
        instance.synced = instance.synced.saturating_sub(records);
    }

    /// Shifts an instance's clock by a positive or negative span. The instance must be down.
    pub fn shift_clock(&mut self, index: usize, by: Span) {
        self.instances[index].clock_offset += by;
    }

    /// Deletes the store. An instance that has one starts with a new one.
    pub fn lose_store(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.store = None;
        instance.synced = 0;
    }

    /// Lets an instance handle an input, if it is running.
    pub fn with(
        &mut self,
        index: usize,
        input: impl FnOnce(&mut Sessions, Time, &mut Vec<Output>),
    ) {
        let now = self.clock(index);
        let mut outputs = Vec::new();
        if let Some(running) = self.instances[index].running.as_mut() {
            input(running, now, &mut outputs);
        }
        self.apply_outputs(index, outputs);
    }

    /// Whether an instance is running and not paused.
    pub fn is_ready(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        instance.running.is_some() && !instance.paused
    }

    /// Lets a member serve a write of a session at an instance, if the instance is ready.
    pub fn write(&mut self, index: usize, session: u64) {
        if !self.is_ready(index) {
            return;
        }
        self.last_request += 1;
        self.last_position += MS;
        let (request, key, position) = (self.last_request, SessionKey(session), self.last_position);
        let committed_at = self.now;
        let write = PendingWrite {
            key,
            position,
            committed_at,
        };
        self.pending_writes.insert((index, request), write);
        self.with(index, |sessions, now, outputs| {
            sessions.record_write(now, request, key, Some(position), outputs);
        });
    }

    /// Starts a read of a session at an instance, if the instance is ready.
    pub fn read(&mut self, index: usize, session: u64) {
        if !self.is_ready(index) {
            return;
        }
        self.last_request += 1;
        let (request, key) = (self.last_request, SessionKey(session));
        let read = PendingRead {
            key,
            arrived_at: self.now,
        };
        self.pending_reads.insert((index, request), read);
        self.with(index, |sessions, now, outputs| {
            sessions.begin_read(now, request, key, outputs);
        });
    }

    fn apply_outputs(&mut self, index: usize, outputs: Vec<Output>) {
        for output in outputs {
            if let Some(trace) = self.trace.as_mut() {
                trace.push(TracedOutput {
                    at: self.now,
                    index,
                    output: output.clone(),
                });
            }
            match output {
                Output::Send(to, message) => self.send(index, to, &message),
                Output::Release(request) => self.release(index, request),
                Output::ReadRequirement(request, requirement) => {
                    if let Some(read) = self.pending_reads.remove(&(index, request)) {
                        self.check_read(index, &read, requirement);
                    }
                }
                Output::Store(record) => self.store(index, record),
            }
        }
    }

    fn send(&mut self, index: usize, to: Peer, message: &Message) {
        self.messages += 1;
        let mut indices = 0..self.instances.len();
        let Some(target) = indices.find(|target| node(*target) == to.node) else {
            return;
        };
        let incarnation = self.instances[index].incarnation;
        let from = Peer {
            node: node(index),
            incarnation,
        };
        let bytes = message.encode(to);
        assert!(
            bytes.len() <= MAX_MESSAGE_BYTES,
            "a message is too long, {} bytes: {message:?}",
            bytes.len()
        );
        assert_eq!(
            Message::decode(&bytes),
            Ok((to, message.clone())),
            "a message differs after encoding and decoding"
        );
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.conditions.duplication);
        for _ in 0..copies {
            let is_partitioned = self.partitions.contains(&(index, target));
            if is_partitioned || self.rng.random::<f64>() < self.conditions.loss {
                continue;
            }
            let max_delay = self.conditions.max_delay.max(MS / 5);
            let mut delay = self.rng.random_range(MS / 10..=max_delay);
            if self.rng.random::<f64>() < self.conditions.duplication / 4.0 {
                delay += self.rng.random_range(0..2 * LEASE); // Arrives long after it was sent.
            }
            let message = message.clone();
            self.schedule(
                self.now + delay,
                Event::Arrival {
                    target,
                    from,
                    to,
                    message,
                },
            );
        }
    }

    fn release(&mut self, index: usize, request: RequestNumber) {
        let Some(write) = self.pending_writes.remove(&(index, request)) else {
            return;
        };
        self.released += 1;
        self.released_writes
            .entry(write.key)
            .or_default()
            .push(ReleasedWrite {
                position: write.position,
                committed_at: write.committed_at,
                released_at: self.now,
            });
    }

    fn store(&mut self, index: usize, record: Record) {
        let instance = &mut self.instances[index];
        let Some(store) = instance.store.as_mut() else {
            return;
        };
        store.records.push(record);
        let (records, incarnation) = (store.records.len(), instance.incarnation);
        let max_sync_time = self.conditions.max_sync_time.max(MS / 5);
        let sync_time = self.rng.random_range(MS / 10..=max_sync_time);
        let synced = Event::RecordsSynced {
            target: index,
            incarnation,
            records,
        };
        self.schedule(self.now + sync_time, synced);
    }

    fn check_read(&mut self, index: usize, read: &PendingRead, requirement: ReadRequirement) {
        let known = match requirement {
            ReadRequirement::Strong(reason) if !self.conditions.ignore_positions => {
                *self.strong_reads.entry(reason).or_default() += 1;
                return;
            }
            ReadRequirement::Position(known) if !self.conditions.ignore_positions => known,
            _ => None,
        };
        self.certain_reads += 1;
        // Clock rates differ by up to 1/100, so a retention may end earlier. 1/50 leaves a margin.
        let oldest = read.arrived_at - RETENTION + RETENTION / 50;
        let released = self.released_writes.get(&read.key).into_iter().flatten();
        let must_see = released
            .filter(|write| write.released_at < read.arrived_at && write.committed_at > oldest)
            .map(|write| write.position)
            .max();
        if must_see > known {
            let at_ms = read.arrived_at / MS;
            self.missed.push(format!(
                "instance {index}, {at_ms} ms: must see {must_see:?}, was required to see {known:?}"
            ));
        }
    }

    /// Advances the simulated time, and handles the events and deadlines within the span.
    pub fn advance(&mut self, span: Span) {
        let end = self.now + span;
        loop {
            let event_at = self
                .events
                .first_key_value()
                .map_or(Time::MAX, |((at, _), _)| *at);
            let deadline = self.next_deadline();
            let deadline_at = deadline.map_or(Time::MAX, |(at, _)| at);
            if event_at.min(deadline_at) > end {
                break;
            }
            if deadline_at < event_at {
                let Some((at, index)) = deadline else { break };
                self.now = at.max(self.now);
                self.with(index, |sessions, now, outputs| {
                    sessions.handle_timeout(now, outputs)
                });
                continue;
            }
            let Some(((at, _), event)) = self.events.pop_first() else {
                break;
            };
            self.now = at.max(self.now);
            self.handle_event(event);
        }
        self.now = end;
    }

    /// The earliest deadline of the running instances, and its instance.
    fn next_deadline(&self) -> Option<(Time, usize)> {
        let running = (0..self.instances.len()).filter(|index| !self.instances[*index].paused);
        let deadlines = running.filter_map(|index| {
            let instance = &self.instances[index];
            let deadline = instance.running.as_ref()?.next_deadline();
            let elapsed = deadline.saturating_sub(instance.clock_offset) as f64;
            let at = (elapsed / instance.clock_rate) as Time;
            Some((at.saturating_add(1).max(self.now), index))
        });
        deadlines.min()
    }

    fn handle_event(&mut self, event: Event) {
        // Messages to a paused process wait in its socket buffer.
        if self.instances[event.target()].paused {
            return self.schedule(self.now + 20 * MS, event);
        }
        match event {
            Event::Arrival {
                target,
                from,
                to,
                message,
            } => {
                self.with(target, |sessions, now, outputs| {
                    sessions.handle_message(now, from, to, message, outputs);
                });
            }
            Event::RecordsSynced {
                target,
                incarnation,
                records,
            } => {
                self.handle_synced(target, incarnation, records);
            }
        }
    }

    fn handle_synced(&mut self, index: usize, incarnation: u64, records: usize) {
        let instance = &mut self.instances[index];
        let has_records = instance
            .store
            .as_ref()
            .is_some_and(|s| s.records.len() >= records);
        if instance.incarnation != incarnation || instance.running.is_none() || !has_records {
            return;
        }
        instance.synced = instance.synced.max(records);
        let count = (records - instance.recovered) as u64;
        self.with(index, |sessions, now, outputs| {
            sessions.handle_records_stored(now, count, outputs);
        });
    }
}

impl Instance {
    /// The state recovered from the store by an incarnation that is starting. Records that were not
    /// synced are lost.
    fn recover(&mut self, last_incarnation: u64) -> Recovered {
        let incarnation = self.incarnation;
        let store = self.store.get_or_insert_with(|| Store {
            unbroken_since: incarnation,
            records: Vec::new(),
        });
        store.records.truncate(self.synced);
        let store_version = StoreVersion {
            store_id: store.unbroken_since,
            records: 0,
            last_incarnation,
        };
        let mut recovered = Recovered {
            unbroken_since: store.unbroken_since,
            store_version,
            ..Recovered::default()
        };
        store
            .records
            .iter()
            .cloned()
            .for_each(|record| recovered.apply(record));
        self.recovered = self.synced;
        recovered
    }
}
