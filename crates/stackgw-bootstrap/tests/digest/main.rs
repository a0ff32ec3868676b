//! Digests of the package's outputs over random histories with fixed seeds, to show that a change leaves them the same. Run
//! `cargo test -p stackgw-bootstrap --test digest -- --ignored --nocapture` before and after the change, and compare the
//! printed digests by hand. Variants and names are mapped to numbers, so that renaming does not change the digests.

#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod hasher;
mod random;

use common::{member_name, Simulation};
use fleet::play;
use hasher::Digest;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use random::{any_endpoint, any_fragment, any_observation, any_poll, below, chance, source_of};
use stackgw_bootstrap::{
    ConnectionPacer, EndpointCache, EndpointUpdate, ListedMember, Observations, Origin,
    PacerConfig, PollRate, PollSchedule, StartTime,
};
use stackgw_router::api::{GroupId, MemberId, Span, MS, SECOND};

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
        // Most instances are killed at once, so that many polls are not answered.
        let survivor = below(&mut rng, 120);
        (0..120)
            .filter(|n| n % 40 != survivor % 40)
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
        // Some caches have more removed members than the cache keeps.
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
            digest.serialized(&delta.endpoints);
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
            let name = member_name(number as usize);
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
            digest.serialized(&known.take_unsent());
            digest.serialized(&known.next_batch(now, 5 * SECOND));
        }
    }
    digest.print("start-sightings");
}

/// Covers more polls per interval than the budget of complete lists, and fragments of the same and of different snapshots.
#[test]
#[ignore = "prints a digest, to be compared by hand"]
fn digest_of_bursts_of_messages() {
    let mut digest = Digest::new();
    for seed in 0..100 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut sim = Simulation::new(1 + below(&mut rng, 12), 62, 100.0, true, seed);
        sim.recorded = Some(Vec::new());
        sim.start(0);
        sim.advance(SECOND);
        for _ in 0..150 {
            let (now, sender) = (sim.now, 1 + below(&mut rng, 3));
            let bootstrap = sim.instances[0].bootstrap.as_ref();
            let revision = bootstrap.and_then(|bootstrap| bootstrap.cache().revision());
            let revision = revision.unwrap_or(1);
            let message = match below(&mut rng, 12) {
                0 => None,
                1..=8 => Some(any_poll(&mut rng, revision, sender)),
                _ => Some(any_fragment(&mut rng, now, revision, sender)),
            };
            match message {
                None => sim.advance(below(&mut rng, 200) as Span * MS),
                Some(message) => sim.call(0, |bootstrap, now, out| {
                    bootstrap.handle_message(now, message, out);
                }),
            }
            digest.fleet(&mut sim);
        }
    }
    digest.print("start-bursts");
}
