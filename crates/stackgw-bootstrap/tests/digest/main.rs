//! Digests of the outputs of the package over random histories by seed, to show that a change leaves all of them as they were:
//! `cargo test -p stackgw-bootstrap --test digest -- --ignored --nocapture`, before and after. Variants and names are mapped to
//! numbers here, so that renamed code gives the same digests. No digest is expected: they are compared by hand.

mod common;

use common::{address, endpoint, member_name, ServiceState, Simulation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use stackgw_bootstrap::{
    service_id, Bootstrap, BootstrapCounters, ConnectionPacer, Endpoint, EndpointCache,
    EndpointSnapshot, EndpointUpdate, Fragment, ListedMember, LogEvent, MergeOutcome, Message,
    Observation, Observations, Origin, Output, PacerConfig, PollRate, PollSchedule, Reload,
    StartTime, UpdateSource, WatchScope,
};
use stackgw_router::api::{GroupId, Lifecycle, MemberId, Span, Time, MS, SECOND};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// FNV-1a over 64 bits.
struct Digest(u64);

impl Digest {
    fn new() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn unsigned(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    fn signed(&mut self, number: i64) {
        self.bytes(&number.to_le_bytes());
    }

    fn float(&mut self, number: f64) {
        self.unsigned(number.to_bits());
    }

    fn flag(&mut self, flag: bool) {
        self.unsigned(u64::from(flag));
    }

    fn optional(&mut self, number: Option<u64>) {
        self.flag(number.is_some());
        self.unsigned(number.unwrap_or_default());
    }

    fn optional_time(&mut self, time: Option<Time>) {
        self.flag(time.is_some());
        self.signed(time.unwrap_or_default());
    }

    /// A value by its stored form, which does not change.
    fn stored(&mut self, value: &impl Serialize) {
        let bytes = postcard::to_allocvec(value).expect("it has a form");
        self.unsigned(bytes.len() as u64);
        self.bytes(&bytes);
    }

    fn address(&mut self, address: SocketAddr) {
        self.bytes(address.to_string().as_bytes());
    }

    fn origin(&mut self, origin: Option<Origin>) {
        self.unsigned(match origin {
            None => 0,
            Some(Origin::Cached) => 1,
            Some(Origin::Peer) => 2,
            Some(Origin::Service) => 3,
        });
    }

    fn outcome(&mut self, outcome: &MergeOutcome) {
        let (number, endpoints) = match outcome {
            MergeOutcome::Complete(endpoints) => (1, Some(endpoints)),
            MergeOutcome::Cached(endpoints) => (2, Some(endpoints)),
            MergeOutcome::Changed(endpoints) => (3, Some(endpoints)),
            MergeOutcome::Unchanged => (4, None),
            MergeOutcome::Stale => (5, None),
        };
        self.unsigned(number);
        self.stored(&endpoints);
    }

    fn log_event(&mut self, event: &LogEvent) {
        let (number, value) = match event {
            LogEvent::WatchEstablished(scope) => (1, u64::from(*scope == WatchScope::Fleet)),
            LogEvent::WatchReleased => (2, 0),
            LogEvent::ServiceBehind(version) => (3, *version),
            LogEvent::ServiceReset => (4, 0),
        };
        self.unsigned(number);
        self.unsigned(value);
    }

    fn output(&mut self, output: &Output) {
        match output {
            Output::OpenWatch(after) => {
                self.unsigned(11);
                self.optional(*after);
            }
            Output::CloseWatch => self.unsigned(12),
            Output::Send(to, message) => {
                self.unsigned(13);
                self.address(*to);
                self.bytes(&message.encode());
            }
            Output::Endpoints(outcome) => {
                self.unsigned(14);
                self.outcome(outcome);
            }
            Output::Persist(cached) => {
                self.unsigned(15);
                self.stored(&cached.list);
                self.signed(cached.confirmed_at);
                self.float(cached.warm_throughput);
            }
            Output::SeedWarmThroughput(throughput) => {
                self.unsigned(16);
                self.float(*throughput);
            }
            Output::Observations(observations) => {
                self.unsigned(17);
                self.stored(observations);
            }
            Output::Log(event) => {
                self.unsigned(18);
                self.log_event(event);
            }
        }
    }

    fn cache(&mut self, now: Time, cache: &EndpointCache) {
        self.optional(cache.revision());
        self.origin(cache.origin());
        self.optional_time(cache.age(now));
        self.optional_time(cache.confirmed_at());
        self.flag(cache.is_behind());
        self.unsigned(cache.resets());
        let endpoints: Vec<_> = cache.endpoints().collect();
        self.stored(&endpoints);
    }

    fn counters(&mut self, counters: BootstrapCounters) {
        for count in [
            counters.watches_opened,
            counters.watches_without_leader,
            counters.polls_sent,
            counters.polls_unanswered,
            counters.polls_answered,
        ] {
            self.unsigned(count);
        }
        for count in [
            counters.snapshots_pushed,
            counters.snapshots_merged,
            counters.stale_updates,
            counters.foreign_messages,
            counters.observations_merged,
        ] {
            self.unsigned(count);
        }
    }

    /// What an instance says of itself.
    fn instance(&mut self, now: Time, bootstrap: &Bootstrap) {
        self.cache(now, bootstrap.cache());
        self.counters(bootstrap.counters());
        bootstrap
            .watch_leaders()
            .into_iter()
            .for_each(|leader| self.address(leader));
        self.flag(bootstrap.is_watch_live());
        self.flag(bootstrap.is_ready(now));
        self.signed(bootstrap.retry_after(now));
        self.signed(bootstrap.next_timeout(now));
    }

    fn fleet(&mut self, sim: &mut Simulation) {
        for (at, n, output) in sim.recorded.replace(Vec::new()).unwrap_or_default() {
            self.signed(at);
            self.unsigned(n as u64);
            self.output(&output);
        }
        for instance in &sim.instances {
            self.flag(instance.bootstrap.is_some());
            if let Some(bootstrap) = &instance.bootstrap {
                self.instance(sim.now, bootstrap);
            }
        }
    }

    fn print(&self, name: &str) {
        println!("digest {name} = {:016x}", self.0);
    }
}

fn chance(rng: &mut Pcg64Mcg, share: f64) -> bool {
    rng.random::<f64>() < share
}

/// A number below `end`.
fn below(rng: &mut Pcg64Mcg, end: usize) -> usize {
    (rng.random::<f64>() * end as f64) as usize
}

/// The source of an update, as earlier versions named it: by origin, age and base.
fn source_of(origin: Origin, confirmed_at: Time, base: Option<u64>) -> UpdateSource {
    match origin {
        Origin::Cached => UpdateSource::Cached { confirmed_at },
        Origin::Peer => UpdateSource::Peer { confirmed_at, base },
        Origin::Service => UpdateSource::Service,
    }
}

fn any_phase(rng: &mut Pcg64Mcg) -> Lifecycle {
    [
        Lifecycle::Serving,
        Lifecycle::Serving,
        Lifecycle::Draining,
        Lifecycle::Removed,
    ][below(rng, 4)]
}

fn any_endpoint(rng: &mut Pcg64Mcg, now: Time, members: usize) -> Endpoint {
    let up_since_ms = [0, 0, -1, now / MS - below(rng, 20_000) as i64][below(rng, 4)];
    let (phase, leader) = (any_phase(rng), chance(rng, 0.3));
    Endpoint {
        up_since_ms,
        ..endpoint(below(rng, members), phase, leader)
    }
}

fn any_observation(rng: &mut Pcg64Mcg, now: Time, members: usize) -> Observation {
    Observation {
        member_hash: Observation::hash_name(&member_name(below(rng, members))),
        position_ms: (now / MS) as u64 - below(rng, 8_000) as u64,
        is_primary: [None, Some(false), Some(true)][below(rng, 3)],
        observed_at_ms: (now / MS) as u64 + 1_000 - below(rng, 8_000) as u64,
    }
}

/// An answer that may be of any instance, complete or in fragments, asked for or not, right or not.
fn any_answer(rng: &mut Pcg64Mcg, sim: &Simulation, from: usize) -> Message {
    let members = sim.versions[0].len();
    let fragments = [0, 1, 1, 2, 3][below(rng, 5)];
    let entries = if fragments == 0 { 0 } else { below(rng, 4) };
    let version = sim.revision() + below(rng, 20) as u64 / 18;
    Message::Snapshot(EndpointSnapshot {
        sender: address(from),
        nonce: if chance(rng, 0.7) { 0 } else { rng.random() },
        service_id: service_id(if chance(rng, 0.9) { "s" } else { "other" }),
        revision: chance(rng, 0.9).then_some(version.saturating_sub(below(rng, 4) as u64)),
        confirmed_ago_ms: below(rng, 9_000) as u64,
        is_live: chance(rng, 0.5),
        is_cached: chance(rng, 0.3),
        retry_after_ms: if chance(rng, 0.1) {
            below(rng, 5_000) as u64
        } else {
            0
        },
        warm_throughput_millis: below(rng, 3) as u64 * 150_000,
        base: chance(rng, 0.5).then_some(version.saturating_sub(below(rng, 3) as u64)),
        fragment: Fragment {
            index: below(rng, fragments.max(1) as usize) as u16,
            count: fragments,
        },
        endpoints: (0..entries)
            .map(|_| any_endpoint(rng, sim.now, members))
            .collect(),
        observations: (0..below(rng, 3))
            .map(|_| any_observation(rng, sim.now, members))
            .collect(),
    })
}

fn change_list(rng: &mut Pcg64Mcg, sim: &mut Simulation) {
    let (now, member) = (sim.now, below(rng, sim.versions[0].len()));
    match below(rng, 6) {
        0 | 1 => sim.drain(member),
        2 => sim.change_list(|list| list[member].phase = Lifecycle::Serving),
        3 => sim.change_list(|list| list[member].phase = Lifecycle::Removed),
        4 => sim.change_list(|list| {
            (list[member].up_since_ms, list[member].phase) = (now / MS, Lifecycle::Serving);
        }),
        _ => sim.change_list(|list| {
            list.iter_mut()
                .enumerate()
                .for_each(|(n, entry)| entry.leader = n == member);
        }),
    }
}

fn change_service(rng: &mut Pcg64Mcg, sim: &mut Simulation) {
    let behind = sim.versions.len().saturating_sub(2).max(1);
    let wait = below(rng, 4_000) as Span * MS;
    let states = [
        ServiceState::Up,
        ServiceState::Up,
        ServiceState::Down,
        ServiceState::Silent,
        ServiceState::Overloaded(wait),
        ServiceState::Behind(behind),
    ];
    let state = states[below(rng, states.len())];
    let fleet = sim.instances.len();
    let first = below(rng, fleet);
    let which = if chance(rng, 0.5) {
        0..fleet
    } else {
        first..first + 1
    };
    sim.set_service_state(which, state);
}

fn change_network(rng: &mut Pcg64Mcg, sim: &mut Simulation) {
    match below(rng, 3) {
        0 => sim.loss = rng.random::<f64>() * 0.6,
        1 => {
            sim.far_side = (0..sim.instances.len())
                .filter(|_| chance(rng, 0.5))
                .collect();
            sim.cut_links.extend([(true, false), (false, true)]);
        }
        _ => sim.cut_links.clear(),
    }
}

/// Kills those that have a watch, or starts instances, with what their disks cached.
fn change_fleet(rng: &mut Pcg64Mcg, sim: &mut Simulation) {
    let fleet = sim.instances.len();
    match below(rng, 5) {
        0 => {
            let is_watching = |n: &usize| {
                sim.instances[*n]
                    .bootstrap
                    .as_ref()
                    .is_some_and(|bootstrap| bootstrap.is_watch_live())
            };
            let watching: Vec<_> = (0..fleet).filter(is_watching).collect();
            watching.into_iter().for_each(|n| sim.kill(n));
        }
        1 => sim.kill(below(rng, fleet)),
        2 => sim.start_all(0..fleet),
        _ => sim.start(below(rng, fleet)),
    }
}

fn call_instance(rng: &mut Pcg64Mcg, sim: &mut Simulation) {
    let n = below(rng, sim.instances.len());
    let (now, members) = (sim.now, sim.versions[0].len());
    match below(rng, 5) {
        0 => {
            let observations: Vec<_> = (0..below(rng, 20))
                .map(|_| any_observation(rng, now, members))
                .collect();
            sim.call(n, |bootstrap, now, _| {
                bootstrap.record_observations(now, observations)
            });
        }
        1 => {
            let throughput = rng.random::<f64>() * 400.0;
            sim.call(n, |bootstrap, _, _| {
                bootstrap.set_warm_throughput(throughput)
            });
        }
        2 => {
            let (name, moved) = (
                if chance(rng, 0.8) { "s" } else { "other" },
                chance(rng, 0.3),
            );
            let seeds: Vec<_> = (0..below(rng, 4)).map(address).collect();
            sim.call(n, |bootstrap, now, out| {
                bootstrap.reload(
                    now,
                    Reload {
                        seeds: &seeds,
                        service_id: service_id(name),
                        has_service_moved: moved,
                    },
                    out,
                )
            });
        }
        3 => {
            let from = below(rng, sim.instances.len());
            let answer = any_answer(rng, sim, from);
            sim.call(n, |bootstrap, now, out| {
                bootstrap.handle_message(now, answer, out)
            });
        }
        _ => {
            let live_peers: BTreeSet<_> = (0..sim.instances.len())
                .filter(|_| chance(rng, 0.7))
                .map(address)
                .collect();
            sim.call(n, |bootstrap, now, out| {
                bootstrap.update_membership(now, live_peers, out)
            });
        }
    }
}

fn play(
    digest: &mut Digest,
    rng: &mut Pcg64Mcg,
    sim: &mut Simulation,
    steps: usize,
    longest_ms: usize,
) {
    sim.recorded = Some(Vec::new());
    let fleet = sim.instances.len();
    sim.start_all(0..fleet);
    for _ in 0..steps {
        match below(rng, 12) {
            0..=4 => sim.advance(below(rng, longest_ms) as Span * MS),
            5 | 6 => change_list(rng, sim),
            7 => change_service(rng, sim),
            8 => change_network(rng, sim),
            9 => change_fleet(rng, sim),
            _ => call_instance(rng, sim),
        }
        digest.fleet(sim);
    }
}

#[test]
#[ignore = "prints a digest, to be compared by hand"]
fn digest_of_fleets() {
    let mut digest = Digest::new();
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (fleet, has_cluster) = (1 + below(&mut rng, 8), chance(&mut rng, 0.85));
        let members = if chance(&mut rng, 0.2) {
            60 + below(&mut rng, 60)
        } else {
            1 + below(&mut rng, 5)
        };
        let mut sim = Simulation::new(
            fleet,
            members,
            [2.0, 20.0, 100.0][below(&mut rng, 3)],
            has_cluster,
            seed,
        );
        sim.suspicion_time = below(&mut rng, 3) as Span * 5 * SECOND;
        sim.seed_count = 1 + below(&mut rng, 3);
        play(&mut digest, &mut rng, &mut sim, 60, 4_000);
        sim.advance(70 * SECOND);
        digest.fleet(&mut sim);
    }
    digest.print("start-fleets");
}

#[test]
#[ignore = "prints a digest, to be compared by hand"]
fn digest_of_large_fleets() {
    let mut digest = Digest::new();
    for seed in 0..4 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut sim = Simulation::new(120, 40, 60.0, true, seed);
        sim.suspicion_time = 15 * SECOND;
        play(&mut digest, &mut rng, &mut sim, 10, 1_500);
        // Most are killed at once, so that many instances are asked in vain.
        let stays = below(&mut rng, 120);
        (0..120)
            .filter(|n| n % 40 != stays % 40)
            .for_each(|n| sim.kill(n));
        play(&mut digest, &mut rng, &mut sim, 10, 1_500);
    }
    digest.print("start-large-fleets");
}

#[test]
#[ignore = "prints a digest, to be compared by hand"]
fn digest_of_merged_lists() {
    let mut digest = Digest::new();
    for seed in 0..400 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut cache = EndpointCache::new(10 * SECOND);
        let (mut now, mut version) = (1_000 * SECOND, 5);
        // Some have more removed members than are remembered.
        let members = if seed % 40 == 0 { 1_500 } else { 6 };
        for _ in 0..60 {
            now += below(&mut rng, 3_000) as Span * MS;
            version += below(&mut rng, 3) as u64;
            let count = below(&mut rng, members + 1);
            let update = EndpointUpdate {
                revision: version - below(&mut rng, 4) as u64,
                complete: chance(&mut rng, 0.4),
                members: (0..count)
                    .map(|_| any_endpoint(&mut rng, now, members))
                    .collect(),
            };
            let origin = [
                Origin::Cached,
                Origin::Peer,
                Origin::Service,
                Origin::Service,
            ][below(&mut rng, 4)];
            let confirmed_at = now - below(&mut rng, 4_000) as Span * MS;
            let base = chance(&mut rng, 0.7).then_some(version - below(&mut rng, 4) as u64);
            match below(&mut rng, 12) {
                0 => cache.confirm(confirmed_at),
                1 if chance(&mut rng, 0.2) => cache.change_service(),
                _ => {
                    digest.outcome(&cache.merge(now, update, source_of(origin, confirmed_at, base)))
                }
            }
            digest.cache(now, &cache);
            let delta = cache.changes_since(base);
            digest.optional(delta.base);
            digest.stored(&delta.endpoints);
        }
    }
    digest.print("start-lists-taken");
}

#[test]
#[ignore = "prints a digest, to be compared by hand"]
fn digest_of_poll_times() {
    let mut digest = Digest::new();
    for seed in 0..400 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let fleet = 1 + below(&mut rng, 400) as u32;
        let rate = PollRate {
            instance_number: below(&mut rng, fleet as usize) as u32,
            fleet_size: fleet,
            service_capacity: rng.random::<f64>() * 200.0,
            min_pause: below(&mut rng, 200) as Span * MS,
        };
        let (mut schedule, mut now) = (PollSchedule::new(rate, seed), 1_000 * SECOND);
        for _ in 0..60 {
            now += below(&mut rng, 3_000) as Span * MS;
            let pollers = 1 + below(&mut rng, fleet as usize) as u32;
            match below(&mut rng, 6) {
                0 => digest.signed(schedule.first_poll_at(now, pollers)),
                1 => schedule.record_success(),
                2 => schedule.postpone(now, below(&mut rng, 5_000) as Span * MS),
                3 => schedule.record_poll(),
                _ => digest.signed(schedule.retry_at(now, pollers)),
            }
            digest.signed(schedule.window(pollers));
            digest.signed(schedule.remaining_retry_after(now));
        }
    }
    digest.print("start-turns");
}

#[test]
#[ignore = "prints a digest, to be compared by hand"]
fn digest_of_paced_connections() {
    let mut digest = Digest::new();
    for seed in 0..400 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let fleet = 1 + below(&mut rng, 300) as u32;
        let config = PacerConfig {
            instance_number: below(&mut rng, fleet as usize) as u32,
            fleet_size: fleet,
            connection_rate: rng.random::<f64>() * 40.0,
            cold_capacity_share: rng.random::<f64>(),
            warm_up_time: below(&mut rng, 20) as Span * SECOND,
        };
        let (mut pacer, mut now) = (ConnectionPacer::new(config, seed), 100 * SECOND);
        for _ in 0..60 {
            now += below(&mut rng, 2_000) as Span * MS;
            let number = below(&mut rng, 6) as u32;
            let member = MemberId(number);
            let group = GroupId(number % 2);
            let started_at = StartTime::At(now - below(&mut rng, 12_000) as Span * MS);
            let start_times = [
                StartTime::LongAgo,
                StartTime::Unknown,
                started_at,
                started_at,
            ];
            let start_time = start_times[below(&mut rng, 4)];
            let name = format!("m{number}");
            match below(&mut rng, 8) {
                0 | 1 => pacer.update_member(
                    now,
                    ListedMember {
                        id: member,
                        name: &name,
                        group,
                        start_time,
                    },
                ),
                2 => pacer.schedule_new_members(now),
                3 => pacer.record_attempt(now, member),
                4 => pacer.record_failure(now, member),
                5 => pacer.record_success(member),
                6 if chance(&mut rng, 0.2) => pacer.remove_member(member),
                _ => pacer.record_deferral(),
            }
            digest.unsigned(pacer.deferrals());
            pacer
                .paced_members()
                .for_each(|member| digest.unsigned(u64::from(member.0)));
            (0..6).for_each(|member| {
                digest.optional_time(pacer.next_connection_at(now, MemberId(member)))
            });
        }
    }
    digest.print("start-connections-dealt");
}

#[test]
#[ignore = "prints a digest, to be compared by hand"]
fn digest_of_observations() {
    let mut digest = Digest::new();
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut known, mut now) = (Observations::default(), 1_000 * SECOND);
        let members = if seed % 50 == 0 { 6_000 } else { 40 };
        for _ in 0..80 {
            now += below(&mut rng, 500) as Span * MS;
            for _ in 0..below(&mut rng, members / 4) {
                let observation = any_observation(&mut rng, now, members);
                match chance(&mut rng, 0.5) {
                    true => known.record_own(now, observation, 5 * SECOND),
                    false => digest.flag(known.merge(now, observation, 5 * SECOND)),
                }
            }
            digest.stored(&known.take_unsent());
            digest.stored(&known.next_batch(now, 5 * SECOND));
        }
    }
    digest.print("start-sightings");
}
