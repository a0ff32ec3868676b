//! The first seconds of a fleet: clients come to each gateway as soon as it says that it is ready, and ask at a steady pace
//! whatever becomes of it; what they got, and what list service and members had to bear for it.

use crate::client::{Client, RequestOutcome};
use crate::gateways::GatewayFleet;
use crate::list_service::worst;
use crate::replica_group::{lock, ReplicaGroup};
use crate::slow_start_model::ObservedLoad;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What clients do.
#[derive(Debug, Clone)]
pub struct ColdConnectLoad {
    /// Requests a second at each gateway, from when it is ready.
    pub rate: f64,
    /// Of a hundred requests so many are writes.
    pub writes: u32,
    /// How long all of it lasts.
    pub lasts: Duration,
    /// For the choices by chance.
    pub seed: u64,
}

/// What became of it.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ColdConnectReport {
    /// When each gateway answered that it is ready, in milliseconds from the beginning, in order; those that never did are not
    /// among them.
    pub ready_ms: Vec<u64>,
    /// Requests that clients had to ask.
    pub asked: u64,
    /// Served within the time that they are worth most.
    pub served: u64,
    /// Served later than that.
    pub late: u64,
    /// Refused, failed, and cut off by a kill.
    pub refused: u64,
    /// See there.
    pub failed: u64,
    /// See there.
    pub cut: u64,
    /// Got no answer though their connection stood, or two.
    pub lost: u64,
    /// Writes that ran more than once, or ran though they were refused.
    pub doubled: u64,
    /// For each second from the beginning, by when they were asked: asked, served in time, served late.
    pub seconds: Vec<[u64; 3]>,
}

/// Each run's requests have ids of their own.
static RUNS: AtomicU64 = AtomicU64::new(0);

/// The aim of the class that reads are of.
const AIM: Duration = Duration::from_millis(200);

impl ColdConnectReport {
    /// When this share of a fleet was ready.
    pub fn ready(&self, share: f64, fleet: usize) -> Option<Duration> {
        let n = (share * fleet as f64).ceil() as usize;
        self.ready_ms
            .get(n.checked_sub(1)?)
            .map(|ms| Duration::from_millis(*ms))
    }

    /// Served in time, of what was asked in the first so many seconds.
    pub fn worth_within(&self, seconds: usize) -> f64 {
        let sum = |n: usize| {
            self.seconds
                .iter()
                .take(seconds)
                .map(|second| second[n])
                .sum::<u64>()
        };
        sum(1) as f64 / sum(0).max(1) as f64
    }

    /// Served in time, of what was asked.
    pub fn worth(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

impl ColdConnectLoad {
    /// Plays it from `since` on; `meanwhile` runs beside the clients and may break what it likes. A gateway that ends is
    /// waited for and taken in again once it is ready.
    pub fn run(
        &self,
        store: &ReplicaGroup,
        gateways: &GatewayFleet,
        since: Instant,
        meanwhile: impl FnOnce() + Send,
    ) -> ColdConnectReport {
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let (all, told, over) = (
            Mutex::new(ColdConnectReport::default()),
            Mutex::new(Vec::new()),
            AtomicBool::new(false),
        );
        std::thread::scope(|scope| {
            scope.spawn(meanwhile);
            for n in 0..gateways.len() {
                let (all, told, over) = (&all, &told, &over);
                scope.spawn(move || self.client((run, n), gateways, since, all, told, over));
            }
            std::thread::sleep((since + self.lasts).saturating_duration_since(Instant::now()));
            over.store(true, Ordering::SeqCst);
        });
        let mut opened = lock(&all).clone();
        opened.ready_ms.sort_unstable();
        let audit = store.audit();
        let ran = |id: &String| audit.writes.get(id).copied().unwrap_or(0);
        let wrong = |(id, refused): &&(String, bool)| ran(id) > u32::from(!refused);
        opened.doubled = lock(&told).iter().filter(wrong).count() as u64;
        opened
    }

    fn client(
        &self,
        (run, n): (u64, usize),
        gateways: &GatewayFleet,
        since: Instant,
        all: &Mutex<ColdConnectReport>,
        told: &Mutex<Vec<(String, bool)>>,
        over: &AtomicBool,
    ) {
        let mut rng = SmallRng::seed_from_u64(self.seed.wrapping_mul(7_919).wrapping_add(n as u64));
        let (mut first, mut asked) = (true, 0u64);
        let end = since + self.lasts;
        while !over.load(Ordering::SeqCst) {
            let client = gateways.address(n).and_then(Client::connect);
            let Some(mut client) = client else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            client.patience(
                end.saturating_duration_since(Instant::now())
                    .max(Duration::from_millis(1)),
            );
            if !client.is_ready() {
                continue;
            }
            client.patience(Duration::from_secs(4));
            if std::mem::take(&mut first) {
                let ms = since.elapsed().as_millis();
                lock(all)
                    .ready_ms
                    .push(u64::try_from(ms).unwrap_or(u64::MAX));
            }
            // Asked on time whatever became of what was asked before.
            let mut due = Instant::now() + Duration::from_secs_f64(rng.random::<f64>() / self.rate);
            while due < end && self.rate > 0.0 {
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                due += Duration::from_secs_f64(1.0 / self.rate);
                if over.load(Ordering::SeqCst) {
                    return;
                }
                asked += 1;
                let (id, key) = (
                    format!("o{run:x}g{n:x}r{asked:x}"),
                    format!("k{}", asked % 50),
                );
                let started = Instant::now();
                let writes = rng.random_range(0..100) < self.writes;
                let answer = if writes {
                    client.insert(&id, &key, asked)
                } else {
                    client.look(&id, &key)
                };
                let mut all = lock(all);
                all.asked += 1;
                let second = started.saturating_duration_since(since).as_secs() as usize;
                if all.seconds.len() <= second {
                    all.seconds.resize(second + 1, [0; 3]);
                }
                all.seconds[second][0] += 1;
                let late = started.elapsed() > AIM;
                if matches!(answer, RequestOutcome::Served(_)) {
                    all.seconds[second][1 + usize::from(late)] += 1;
                }
                match &answer {
                    RequestOutcome::Served(_) if late => all.late += 1,
                    RequestOutcome::Served(_) => all.served += 1,
                    RequestOutcome::Rejected => all.refused += 1,
                    RequestOutcome::Failed | RequestOutcome::Malformed => all.failed += 1,
                    RequestOutcome::Disconnected => all.cut += 1,
                    RequestOutcome::TimedOut | RequestOutcome::DuplicateReply => all.lost += 1,
                }
                drop(all);
                if writes {
                    lock(told).push((id, answer == RequestOutcome::Rejected));
                }
                if matches!(
                    answer,
                    RequestOutcome::Disconnected
                        | RequestOutcome::TimedOut
                        | RequestOutcome::DuplicateReply
                ) {
                    break;
                }
            }
            if self.rate <= 0.0 || Instant::now() >= end {
                return;
            }
        }
    }
}

/// What all members of a store were asked to bear from a moment on (counted from the store's start).
#[derive(Debug, Clone, Default, Serialize)]
pub struct FleetLoad {
    /// New connections at all of them.
    pub handshakes: usize,
    /// At the busiest one in its worst 100 ms.
    pub worst_handshakes: usize,
    /// Most work at a cold one against what makes it fall over.
    pub cold: f64,
    /// How often one fell over.
    pub fell: u64,
    /// Turned away there.
    pub shed: u64,
    /// Probes.
    pub probes: u64,
    /// For each member, the first one being the primary: new connections, requests taken, requests turned away.
    pub members: Vec<[u64; 3]>,
}

impl FleetLoad {
    /// Adds up what members bore.
    pub fn of(store: &ReplicaGroup, from: Duration) -> Self {
        let mut all = FleetLoad::default();
        for n in 0..store.members.len() {
            let ObservedLoad {
                handshakes,
                worst: cold,
                fell,
                taken,
                shed,
                probes,
            } = store.borne(n);
            let since: Vec<_> = handshakes.into_iter().filter(|at| *at >= from).collect();
            all.handshakes += since.len();
            all.members.push([since.len() as u64, taken, shed]);
            all.worst_handshakes = all
                .worst_handshakes
                .max(worst(since, Duration::from_millis(100)));
            (all.cold, all.fell, all.shed) = (all.cold.max(cold), all.fell + fell, all.shed + shed);
            all.probes += probes;
        }
        all
    }
}
