//! Clients that write and then read through whichever gateway, while gateways are killed; and the verdict.

use crate::client::{Client, RequestOutcome};
use crate::gateways::GatewayFleet;
use crate::replica_group::{lock, ReplicaGroup};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What is done to the gateways and members meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Faults {
    /// A gateway is killed and started anew this often.
    pub kill_every: Duration,
    /// Now and then all are, at once.
    pub all: bool,
    /// Now and then a killed one loses its disk.
    pub disks: bool,
    /// Now and then one is paused for this long.
    pub pause: Option<Duration>,
    /// Now and then the least lagging replica slows down.
    pub slow: bool,
    /// Now and then, where there are relays, gateways are cut from each other for this long, both ways or one.
    pub cut: Option<Duration>,
}

/// What a run is to do.
#[derive(Debug, Clone)]
pub struct SessionAudit {
    /// Clients at once.
    pub clients: usize,
    /// Write-read pairs to be completed in all.
    pub pairs: u64,
    /// Reads after each pair that follow at leisure, through any gateway.
    pub reads: u32,
    /// The pause before each of those.
    pub pause: Duration,
    /// Each request goes through a gateway by chance; else a session stays with one while that is up.
    pub roam: bool,
    /// The seed.
    pub seed: u64,
    /// Faults, if there are any.
    pub troubles: Option<Faults>,
    /// It ends after this whatever was completed.
    pub most: Duration,
}

/// What clients saw.
#[derive(Debug, Default, Clone, Serialize)]
pub struct OutcomeCounts {
    /// Pairs of a served write and a served read.
    pub pairs: u64,
    /// Reads that missed their session's own write.
    pub misses: u64,
    /// Writes served, refused, failed, and cut off by a kill.
    pub writes: [u64; 4],
    /// Reads served, refused, failed, and cut off by a kill.
    pub reads: [u64; 4],
    /// Requests that got no answer though their connection stood, and those that got two.
    pub lost: u64,
    /// Answered twice.
    pub twice: u64,
}

/// How it came out.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Verdict {
    /// The seed.
    pub seed: u64,
    /// What clients saw.
    #[serde(flatten)]
    pub tally: OutcomeCounts,
    /// Writes that ran more than once.
    pub doubled: u64,
    /// Writes that were refused as harmless and ran all the same.
    pub refused_and_ran: u64,
    /// Writes that were served and never ran.
    pub served_and_never_ran: u64,
    /// Kills of gateways.
    pub kills: u64,
    /// Reads that the primary ran, and replicas.
    pub reads_at: [u64; 2],
    /// Microseconds: 50th and 99th percentile of served writes, then of served reads.
    pub write_us: [u64; 2],
    /// As above.
    pub read_us: [u64; 2],
    /// Seconds that it took.
    pub seconds: f64,
    /// The first misses, for people.
    pub first_misses: Vec<String>,
}

impl Verdict {
    /// Nothing was missed, lost or doubled.
    pub fn good(&self) -> bool {
        let OutcomeCounts {
            misses,
            lost,
            twice,
            ..
        } = self.tally;
        misses + lost + twice + self.doubled + self.refused_and_ran + self.served_and_never_ran == 0
    }
}

#[derive(Default)]
struct Shared {
    tally: Mutex<OutcomeCounts>,
    /// By a write's id: what its client was told.
    told: Mutex<HashMap<String, RequestOutcome>>,
    times: Mutex<[Vec<u64>; 2]>,
    misses: Mutex<Vec<String>>,
    done: AtomicBool,
    kills: AtomicU64,
}

impl SessionAudit {
    /// Runs it; `progress` is told the pairs completed, now and then.
    pub fn run(
        &self,
        store: &ReplicaGroup,
        gateways: &GatewayFleet,
        progress: impl Fn(&OutcomeCounts) + Sync,
    ) -> Verdict {
        let (shared, since) = (Shared::default(), Instant::now());
        let before = store.audit();
        std::thread::scope(|scope| {
            let clients: Vec<_> = (0..self.clients)
                .map(|n| {
                    scope.spawn({
                        let shared = &shared;
                        move || self.client(n, gateways, shared, since)
                    })
                })
                .collect();
            let troubles = scope.spawn(|| self.trouble(store, gateways, &shared));
            while !clients.iter().all(|client| client.is_finished()) {
                std::thread::sleep(Duration::from_millis(50));
                progress(&lock(&shared.tally));
            }
            shared.done.store(true, Ordering::Relaxed);
            let _ = troubles.join();
        });
        let audit = store.audit();
        let told = lock(&shared.told);
        let ran = |id: &String| audit.writes.get(id).copied().unwrap_or(0);
        let count = |test: &dyn Fn(&String, &RequestOutcome) -> bool| {
            told.iter().filter(|(id, answer)| test(id, answer)).count() as u64
        };
        let mut times = lock(&shared.times);
        let [write_us, read_us] = [0, 1].map(|kind| percentiles(&mut times[kind]));
        let (tally, first_misses) = (lock(&shared.tally).clone(), lock(&shared.misses).clone());
        Verdict {
            seed: self.seed,
            tally,
            doubled: audit.writes.values().filter(|n| **n > 1).count() as u64,
            refused_and_ran: count(&|id, answer| {
                *answer == RequestOutcome::Rejected && ran(id) > 0
            }),
            served_and_never_ran: count(&|id, answer| {
                matches!(answer, RequestOutcome::Served(_)) && ran(id) == 0
            }),
            kills: shared.kills.load(Ordering::Relaxed),
            reads_at: [0, 1].map(|n| audit.reads[n] - before.reads[n]),
            write_us,
            read_us,
            seconds: since.elapsed().as_secs_f64(),
            first_misses,
        }
    }

    fn client(&self, n: usize, gateways: &GatewayFleet, shared: &Shared, since: Instant) {
        let mut rng =
            SmallRng::seed_from_u64(self.seed.wrapping_mul(1_000_003).wrapping_add(n as u64));
        let mut open: HashMap<usize, Client> = HashMap::new();
        let (mut value, mut session, mut home) = (0u64, 0u64, n % gateways.len());
        let mut asked = 0u64;
        let mut ask = |rng: &mut SmallRng, home: &mut usize, key: &str, value: Option<u64>| {
            asked += 1;
            let id = format!("s{:x}c{n:x}r{asked:x}", self.seed);
            let at = if self.roam {
                rng.random_range(0..gateways.len())
            } else {
                *home
            };
            let Some(address) = gateways.address(at) else {
                *home = rng.random_range(0..gateways.len());
                std::thread::sleep(Duration::from_millis(2));
                return None;
            };
            if let std::collections::hash_map::Entry::Vacant(place) = open.entry(at) {
                place.insert(Client::connect(address)?);
            }
            let client = open.get_mut(&at)?;
            let started = Instant::now();
            let answer = match value {
                Some(value) => client.insert(&id, key, value),
                None => client.select(&id, key),
            };
            let took = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
            if matches!(
                answer,
                RequestOutcome::Disconnected
                    | RequestOutcome::TimedOut
                    | RequestOutcome::DuplicateReply
            ) {
                open.remove(&at);
            }
            let kind = usize::from(value.is_none());
            let mut tally = lock(&shared.tally);
            let ends = if kind == 0 {
                &mut tally.writes
            } else {
                &mut tally.reads
            };
            match &answer {
                RequestOutcome::Served(_) => {
                    ends[0] += 1;
                    lock(&shared.times)[kind].push(took);
                }
                RequestOutcome::Rejected => ends[1] += 1,
                RequestOutcome::Failed | RequestOutcome::Malformed => ends[2] += 1,
                RequestOutcome::Disconnected => ends[3] += 1,
                RequestOutcome::TimedOut => tally.lost += 1,
                RequestOutcome::DuplicateReply => tally.twice += 1,
            }
            drop(tally);
            if kind == 0 {
                lock(&shared.told).insert(id, answer.clone());
            }
            if matches!(answer, RequestOutcome::Rejected | RequestOutcome::Failed) {
                std::thread::sleep(Duration::from_millis(5));
            }
            Some((answer, at, took))
        };
        while lock(&shared.tally).pairs < self.pairs && since.elapsed() < self.most {
            if rng.random_range(0..20) == 0 {
                session += 1;
                value = 0;
            }
            let key = format!("k{:x}x{n}x{session}", self.seed);
            let next = value + 1;
            // A write that was cut or failed may have run: a later value is never taken for it.
            value = next;
            let Some((RequestOutcome::Served(_), wrote_at, _)) =
                ask(&mut rng, &mut home, &key, Some(next))
            else {
                continue;
            };
            for read in 0..=self.reads {
                if read > 0 {
                    std::thread::sleep(self.pause);
                }
                let tries = if read == 0 { 20 } else { 1 };
                for _ in 0..tries {
                    let Some((RequestOutcome::Served(seen), at, _)) =
                        ask(&mut rng, &mut home, &key, None)
                    else {
                        continue;
                    };
                    let seen = std::str::from_utf8(&seen)
                        .ok()
                        .and_then(|hex| u64::from_str_radix(hex, 16).ok());
                    let mut tally = lock(&shared.tally);
                    tally.pairs += u64::from(read == 0);
                    if seen.unwrap_or(0) < next {
                        tally.misses += 1;
                        let mut misses = lock(&shared.misses);
                        if misses.len() < 5 {
                            misses.push(format!(
                                "{key}: wrote {next} through g{wrote_at}, g{at} showed {seen:?}"
                            ));
                        }
                    }
                    break;
                }
            }
        }
    }

    fn trouble(&self, store: &ReplicaGroup, gateways: &GatewayFleet, shared: &Shared) {
        let Some(troubles) = self.troubles else {
            return;
        };
        let mut rng = SmallRng::seed_from_u64(self.seed ^ 0x5eed);
        let done = || shared.done.load(Ordering::Relaxed);
        let wait = |span: Duration| {
            let since = Instant::now();
            while since.elapsed() < span && !done() {
                std::thread::sleep(Duration::from_millis(5));
            }
        };
        // The first one is a kill: a short trial may be over before chance gives one.
        let mut first = true;
        while !done() {
            wait(troubles.kill_every);
            if done() {
                return;
            }
            let n = rng.random_range(0..gateways.len());
            let kills = std::mem::replace(&mut first, false);
            match rng.random_range(0..10) {
                _ if kills => {}
                0 if troubles.all => {
                    (0..gateways.len()).for_each(|n| gateways.kill(n));
                    shared
                        .kills
                        .fetch_add(gateways.len() as u64, Ordering::Relaxed);
                    (0..gateways.len()).for_each(|n| drop(gateways.restart(n)));
                    continue;
                }
                1 => {
                    if let Some(pause) = troubles.pause {
                        gateways.pause(n, true);
                        wait(pause);
                        gateways.pause(n, false);
                        continue;
                    }
                }
                2 if troubles.slow => {
                    let replicas = store.members.iter().skip(1);
                    let current =
                        replicas.min_by_key(|member| member.lag_ms.load(Ordering::Relaxed));
                    if let Some(member) = current {
                        let before = member.lag_ms.swap(3_000, Ordering::Relaxed);
                        member.slow_ms.store(100, Ordering::Relaxed);
                        wait(Duration::from_millis(500));
                        member.slow_ms.store(0, Ordering::Relaxed);
                        member.lag_ms.store(before, Ordering::Relaxed);
                        continue;
                    }
                }
                3 | 4 => {
                    if let (Some(span), Some(net)) = (troubles.cut, gateways.net()) {
                        let other = (n + 1) % gateways.len();
                        net.cut(n, other);
                        if rng.random_range(0..2) == 0 {
                            net.cut(other, n);
                        }
                        wait(span);
                        net.mend();
                        continue;
                    }
                }
                _ => {}
            }
            gateways.kill(n);
            shared.kills.fetch_add(1, Ordering::Relaxed);
            if troubles.disks && rng.random_range(0..4) == 0 {
                gateways.lose_disk(n);
            }
            wait(Duration::from_millis(rng.random_range(0..300)));
            let _ = gateways.restart(n);
        }
    }
}

fn percentiles(times: &mut [u64]) -> [u64; 2] {
    times.sort_unstable();
    let at = |share: f64| {
        times
            .get((times.len() as f64 * share) as usize)
            .copied()
            .unwrap_or(0)
    };
    [at(0.5), at(0.99)]
}
