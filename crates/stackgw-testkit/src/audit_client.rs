//! One client of an audit, which runs pairs of a write and a read in one session after another, and the record that all clients
//! share.

use crate::audit_plan::AuditPlan;
use crate::audit_report::OutcomeCounts;
use crate::client::{Client, RequestOutcome};
use crate::gateway_fleet::GatewayFleet;
use crate::sync::lock;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::hash_map::Entry;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// On average, a new session begins after this many pairs.
const PAIRS_PER_SESSION: u32 = 20;

/// The number of attempts at the read that belongs to a pair.
const PAIR_READ_ATTEMPTS: u32 = 20;

/// The pause after a request that was rejected or failed.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// The pause after finding a gateway down.
const GATEWAY_DOWN_PAUSE: Duration = Duration::from_millis(2);

/// The number of misses that are described in the verdict.
const MAX_DESCRIBED_MISSES: usize = 5;

/// The record that all clients of an audit share.
pub(crate) struct SharedRecord {
    pub(crate) started: Instant,
    pub(crate) counts: Mutex<OutcomeCounts>,
    /// The outcome of each write, by request id.
    pub(crate) write_outcomes: Mutex<HashMap<String, RequestOutcome>>,
    pub(crate) write_times_us: Mutex<Vec<u64>>,
    pub(crate) read_times_us: Mutex<Vec<u64>>,
    pub(crate) first_misses: Mutex<Vec<String>>,
}

impl SharedRecord {
    pub(crate) fn new() -> Self {
        SharedRecord {
            started: Instant::now(),
            counts: Mutex::default(),
            write_outcomes: Mutex::default(),
            write_times_us: Mutex::default(),
            read_times_us: Mutex::default(),
            first_misses: Mutex::default(),
        }
    }

    fn record_miss(&self, text: String) {
        let mut misses = lock(&self.first_misses);
        if misses.len() < MAX_DESCRIBED_MISSES {
            misses.push(text);
        }
    }
}

/// The operation of a request.
#[derive(Clone, Copy)]
enum Operation {
    Write(u64),
    Read,
}

/// A served request.
struct ServedRequest {
    value: Vec<u8>,
    gateway: usize,
}

pub(crate) struct AuditClient<'a> {
    plan: &'a AuditPlan,
    gateways: &'a GatewayFleet,
    record: &'a SharedRecord,
    index: usize,
    rng: SmallRng,
    /// Connections by gateway.
    connections: HashMap<usize, Client>,
    /// The gateway of all requests, unless the plan uses a random gateway for each.
    preferred_gateway: usize,
    session: u64,
    /// The last value that the session wrote or tried to write.
    value: u64,
    requests: u64,
}

impl<'a> AuditClient<'a> {
    pub(crate) fn new(
        plan: &'a AuditPlan,
        gateways: &'a GatewayFleet,
        record: &'a SharedRecord,
        index: usize,
    ) -> Self {
        let seed = plan.seed.wrapping_mul(1_000_003).wrapping_add(index as u64);
        AuditClient {
            plan,
            gateways,
            record,
            index,
            rng: SmallRng::seed_from_u64(seed),
            connections: HashMap::new(),
            preferred_gateway: index % gateways.len(),
            session: 0,
            value: 0,
            requests: 0,
        }
    }

    /// Runs pairs until all clients together have completed enough of them, or the time limit has passed.
    pub(crate) fn run(mut self) {
        while lock(&self.record.counts).pairs < self.plan.pairs
            && self.record.started.elapsed() < self.plan.time_limit
        {
            self.run_pair();
        }
    }

    fn run_pair(&mut self) {
        if self.rng.random_range(0..PAIRS_PER_SESSION) == 0 {
            self.session += 1;
            self.value = 0;
        }
        let key = format!("k{:x}x{}x{}", self.plan.seed, self.index, self.session);
        // A write that failed or was disconnected may have run, so its value is never used again.
        self.value += 1;
        let Some(write) = self.request(&key, Operation::Write(self.value)) else {
            return;
        };
        for read in 0..=self.plan.later_reads {
            let is_of_pair = read == 0;
            if !is_of_pair {
                std::thread::sleep(self.plan.read_pause);
            }
            let attempts = if is_of_pair { PAIR_READ_ATTEMPTS } else { 1 };
            let served = (0..attempts).find_map(|_| self.request(&key, Operation::Read));
            if let Some(served) = served {
                self.check_read(&key, write.gateway, &served, is_of_pair);
            }
        }
    }

    /// Compares the value of a read with the session's last write.
    fn check_read(&self, key: &str, write_gateway: usize, read: &ServedRequest, is_of_pair: bool) {
        let shown = std::str::from_utf8(&read.value)
            .ok()
            .and_then(|hex| u64::from_str_radix(hex, 16).ok());
        let mut counts = lock(&self.record.counts);
        counts.pairs += u64::from(is_of_pair);
        if shown.unwrap_or(0) < self.value {
            counts.misses += 1;
            self.record.record_miss(format!(
                "{key}: wrote {} through g{write_gateway}, g{} showed {shown:?}",
                self.value, read.gateway
            ));
        }
    }

    /// Sends a request through one of the gateways and records its outcome; `None` if it was not served.
    fn request(&mut self, key: &str, operation: Operation) -> Option<ServedRequest> {
        self.requests += 1;
        let id = format!("s{:x}c{:x}r{:x}", self.plan.seed, self.index, self.requests);
        let gateway = self.choose_gateway()?;
        let client = self.connect(gateway)?;
        let started = Instant::now();
        let outcome = match operation {
            Operation::Write(value) => client.write(&id, key, value),
            Operation::Read => client.read_own_writes(&id, key),
        };
        let elapsed = started.elapsed();
        if matches!(
            outcome,
            RequestOutcome::Disconnected
                | RequestOutcome::TimedOut
                | RequestOutcome::DuplicateReply
        ) {
            self.connections.remove(&gateway);
        }
        self.count(operation, &outcome, elapsed);
        if let Operation::Write(_) = operation {
            lock(&self.record.write_outcomes).insert(id, outcome.clone());
        }
        match outcome {
            RequestOutcome::Served(value) => Some(ServedRequest { value, gateway }),
            RequestOutcome::Rejected | RequestOutcome::Failed => {
                std::thread::sleep(RETRY_PAUSE);
                None
            }
            _ => None,
        }
    }

    /// Chooses the gateway for the next request. If that gateway is down, chooses another preferred gateway, pauses, and
    /// returns `None`.
    fn choose_gateway(&mut self) -> Option<usize> {
        let gateways = self.gateways.len();
        let gateway = if self.plan.uses_random_gateways {
            self.rng.random_range(0..gateways)
        } else {
            self.preferred_gateway
        };
        if self.gateways.address(gateway).is_some() {
            return Some(gateway);
        }
        self.preferred_gateway = self.rng.random_range(0..gateways);
        std::thread::sleep(GATEWAY_DOWN_PAUSE);
        None
    }

    fn connect(&mut self, gateway: usize) -> Option<&mut Client> {
        match self.connections.entry(gateway) {
            Entry::Occupied(entry) => Some(entry.into_mut()),
            Entry::Vacant(entry) => {
                let address = self.gateways.address(gateway)?;
                Some(entry.insert(Client::connect(address)?))
            }
        }
    }

    fn count(&self, operation: Operation, outcome: &RequestOutcome, elapsed: Duration) {
        let mut counts = lock(&self.record.counts);
        let counts = &mut *counts;
        let (kind, times) = match operation {
            Operation::Write(_) => (&mut counts.writes, &self.record.write_times_us),
            Operation::Read => (&mut counts.reads, &self.record.read_times_us),
        };
        match outcome {
            RequestOutcome::Served(_) => {
                kind.served += 1;
                let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
                lock(times).push(elapsed_us);
            }
            RequestOutcome::Rejected => kind.rejected += 1,
            RequestOutcome::Failed | RequestOutcome::Malformed => kind.failed += 1,
            RequestOutcome::Disconnected => kind.disconnected += 1,
            RequestOutcome::TimedOut => counts.unanswered += 1,
            RequestOutcome::DuplicateReply => counts.duplicate_replies += 1,
        }
    }
}
