//! The client load during a fleet's first seconds: clients connect to each gateway as soon as it reports that it is ready, and
//! send requests at a steady rate without waiting for earlier ones to succeed (an open-loop load).

use crate::client::{Client, RequestOutcome};
use crate::cold_connect_report::ColdConnectReport;
use crate::gateway_fleet::GatewayFleet;
use crate::replica_group::ReplicaGroup;
use crate::sync::lock;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The latency objective of all classes; later answers count as late.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(200);

/// Longer than any request's deadline.
const REPLY_TIMEOUT: Duration = Duration::from_secs(4);

const CONNECT_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// The number of keys that each client uses.
const KEYS: u64 = 50;

/// The number of runs so far, which makes request ids unique across runs.
static NEXT_RUN_NUMBER: AtomicU64 = AtomicU64::new(0);

/// The load of all clients.
#[derive(Debug, Clone)]
pub struct ColdConnectLoad {
    /// Requests per second at each gateway once it is ready; above 0.
    pub rate: f64,
    /// The percentage of requests that are writes.
    pub write_percentage: u32,
    /// How long the load lasts.
    pub duration: Duration,
    /// The seed of all random choices.
    pub seed: u64,
}

/// A write that a client has sent.
struct SentWrite {
    id: String,
    is_rejected: bool,
}

/// The state that all clients of a run share.
struct Run<'a> {
    load: &'a ColdConnectLoad,
    gateways: &'a GatewayFleet,
    started: Instant,
    number: u64,
    report: Mutex<ColdConnectReport>,
    writes: Mutex<Vec<SentWrite>>,
    is_over: AtomicBool,
}

impl ColdConnectLoad {
    /// Runs the load from `started` on; `meanwhile` runs concurrently with the clients and may inject any faults. Clients of a
    /// gateway that exits wait until it is ready again.
    pub fn run(
        &self,
        group: &ReplicaGroup,
        gateways: &GatewayFleet,
        started: Instant,
        meanwhile: impl FnOnce() + Send,
    ) -> ColdConnectReport {
        let run = Run {
            load: self,
            gateways,
            started,
            number: NEXT_RUN_NUMBER.fetch_add(1, Ordering::Relaxed),
            report: Mutex::default(),
            writes: Mutex::default(),
            is_over: AtomicBool::new(false),
        };
        std::thread::scope(|scope| {
            scope.spawn(meanwhile);
            for gateway in 0..gateways.len() {
                let client = LoadClient::new(&run, gateway);
                scope.spawn(move || client.run());
            }
            std::thread::sleep(run.end().saturating_duration_since(Instant::now()));
            run.is_over.store(true, Ordering::SeqCst);
        });
        let executions = group.executions();
        let is_duplicate = |write: &&SentWrite| {
            let allowed_runs = u32::from(!write.is_rejected);
            executions.runs_of_write(&write.id) > allowed_runs
        };
        let mut report = lock(&run.report).clone();
        report.ready_ms.sort_unstable();
        report.duplicate_writes = lock(&run.writes).iter().filter(is_duplicate).count() as u64;
        report
    }
}

impl Run<'_> {
    fn end(&self) -> Instant {
        self.started + self.load.duration
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }
}

/// The client of one gateway.
struct LoadClient<'a> {
    run: &'a Run<'a>,
    gateway: usize,
    rng: SmallRng,
    requests: u64,
    was_ready: bool,
}

impl<'a> LoadClient<'a> {
    fn new(run: &'a Run<'a>, gateway: usize) -> Self {
        let seed = run.load.seed.wrapping_mul(7_919);
        LoadClient {
            run,
            gateway,
            rng: SmallRng::seed_from_u64(seed.wrapping_add(gateway as u64)),
            requests: 0,
            was_ready: false,
        }
    }

    fn run(mut self) {
        while !self.run.is_over() {
            let address = self.run.gateways.address(self.gateway);
            let Some(mut client) = address.and_then(Client::connect) else {
                std::thread::sleep(CONNECT_RETRY_PAUSE);
                continue;
            };
            if !self.wait_until_ready(&mut client) {
                continue;
            }
            self.send_requests(&mut client);
            if Instant::now() >= self.run.end() {
                return;
            }
        }
    }

    /// Waits until the gateway is ready; returns false if it is not before the run's end.
    fn wait_until_ready(&mut self, client: &mut Client) -> bool {
        let left = self.run.end().saturating_duration_since(Instant::now());
        client.set_reply_timeout(left.max(Duration::from_millis(1)));
        if !client.is_ready() {
            return false;
        }
        client.set_reply_timeout(REPLY_TIMEOUT);
        if !self.was_ready {
            self.was_ready = true;
            let ready_ms = self.run.started.elapsed().as_millis();
            let ready_ms = u64::try_from(ready_ms).unwrap_or(u64::MAX);
            lock(&self.run.report).ready_ms.push(ready_ms);
        }
        true
    }

    /// Sends requests at their scheduled times, regardless of the outcome of earlier ones, until the run's end or until the
    /// connection is unusable.
    fn send_requests(&mut self, client: &mut Client) {
        let interval = 1.0 / self.run.load.rate;
        let mut due = Instant::now() + Duration::from_secs_f64(self.rng.random::<f64>() * interval);
        while due < self.run.end() {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            due += Duration::from_secs_f64(interval);
            if self.run.is_over() || !self.send_request(client) {
                return;
            }
        }
    }

    /// Sends a request and records its outcome; returns false if the connection is unusable afterwards.
    fn send_request(&mut self, client: &mut Client) -> bool {
        self.requests += 1;
        let (run, gateway, number) = (self.run.number, self.gateway, self.requests);
        let id = format!("o{run:x}g{gateway:x}r{number:x}");
        let key = format!("k{}", number % KEYS);
        let sent = Instant::now();
        let is_write = self.rng.random_range(0..100) < self.run.load.write_percentage;
        let outcome = if is_write {
            client.write(&id, &key, number)
        } else {
            client.read_bounded(&id, &key)
        };
        let is_late = sent.elapsed() > LATENCY_OBJECTIVE;
        let second = sent.saturating_duration_since(self.run.started).as_secs();
        lock(&self.run.report).count(second as usize, &outcome, is_late);
        if is_write {
            let is_rejected = outcome == RequestOutcome::Rejected;
            lock(&self.run.writes).push(SentWrite { id, is_rejected });
        }
        !matches!(
            outcome,
            RequestOutcome::Disconnected
                | RequestOutcome::TimedOut
                | RequestOutcome::DuplicateReply
        )
    }
}
