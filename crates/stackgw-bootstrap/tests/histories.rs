//! Scripted and random histories of fleets in simulated time. The random ones check the two invariants of the package.

mod common;

use common::{Instance, ServiceState, Simulation, DRAIN_GRACE};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stackgw_bootstrap::{Message, Observation, PollRate, PollSchedule};
use stackgw_router::api::{Lifecycle, MS, SECOND};

#[test]
fn polls_of_a_fleet_without_a_cluster_stay_within_the_capacity_of_the_service() {
    for fleet in [100, 300, 2_000] {
        let mut sim = Simulation::new(fleet, 10, fleet as f64 / 1.5, false, 3);
        sim.start_all(0..fleet);
        sim.advance(10 * SECOND);
        assert_eq!((sim.up_to_date_count(), sim.polls.len()), (fleet, fleet));
        // Gateways use 80% of the capacity of fleet / 1.5 polls per second: 100 ms have 5.3% of the polls on average.
        assert!(
            sim.max_polls_within(100 * MS, 0) * 10 <= fleet,
            "{} of {fleet} instances polled within 100 ms after the start",
            sim.max_polls_within(100 * MS, 0)
        );
        // The service is down for six seconds.
        sim.set_service_state(0..fleet, ServiceState::Down);
        sim.advance(6 * SECOND);
        let from = sim.now;
        sim.set_service_state(0..fleet, ServiceState::Up);
        sim.advance(20 * SECOND);
        assert_eq!(sim.polls_since(from), fleet);
        assert!(
            sim.max_polls_within(100 * MS, from) * 10 <= fleet,
            "{} of {fleet} instances polled within 100 ms after the outage",
            sim.max_polls_within(100 * MS, from)
        );
    }
}

#[test]
fn the_leaders_poll_for_the_fleet_when_there_is_a_cluster() {
    for (fleet, leaders) in [(8, 3), (100, 3), (500, 3)] {
        let mut sim = Simulation::new(fleet, 10, 100.0, true, 5);
        sim.start_all(0..fleet);
        sim.advance(2 * SECOND);
        assert_eq!(
            (sim.up_to_date_count(), sim.polls.len()),
            (fleet, leaders),
            "instances up to date and polls of the list service after the start, with {fleet} instances"
        );
        // A rollout of a release restarts all instances at once.
        let from = sim.now;
        sim.start_all(0..fleet);
        sim.advance(2 * SECOND);
        assert_eq!(
            (sim.up_to_date_count(), sim.polls_since(from)),
            (fleet, leaders),
            "instances up to date and polls of the list service after the rollout, with {fleet} instances"
        );
        // An outage does not cause more polls than the schedule permits.
        sim.set_service_state(0..fleet, ServiceState::Down);
        sim.advance(6 * SECOND);
        let from = sim.now;
        sim.set_service_state(0..fleet, ServiceState::Up);
        sim.drain(2);
        sim.advance(8 * SECOND);
        assert_eq!(sim.up_to_date_count(), fleet);
        assert!(
            sim.polls_since(from) <= 2 * leaders,
            "{} polls of the list service after an outage, with {fleet} instances",
            sim.polls_since(from)
        );
    }
}

#[test]
fn a_drain_is_known_everywhere_within_the_grace_when_datagrams_are_lost() {
    for seed in 0..20 {
        let mut sim = Simulation::new(40, 5, 100.0, true, seed);
        sim.loss = 0.3;
        sim.start_all(0..40);
        sim.advance(5 * SECOND);
        sim.drain(3);
        sim.advance(DRAIN_GRACE);
        assert_eq!(
            sim.up_to_date_count(),
            40,
            "instances that know of the drain, seed {seed}"
        );
        let knows_of_drain =
            |instance: &Instance| instance.routed_phases.get("m3") == Some(&Lifecycle::Draining);
        assert!(sim.instances.iter().all(knows_of_drain));
    }
}

#[test]
fn killed_leaders_are_replaced_within_three_seconds() {
    for seed in 0..10 {
        let mut sim = Simulation::new(30, 5, 100.0, true, seed);
        sim.start_all(0..30);
        sim.advance(5 * SECOND);
        (0..3).for_each(|n| sim.kill(n));
        sim.drain(1);
        sim.advance(3 * SECOND);
        assert_eq!(
            sim.up_to_date_count(),
            27,
            "surviving instances that know of the drain, seed {seed}"
        );
        // Three polls by the first leaders, and at most six by the instances that replace them: for a while, instances may
        // see different leaders.
        assert!(
            sim.polls.len() <= 3 + 6,
            "{} polls of the list service",
            sim.polls.len()
        );
    }
}

#[test]
fn leaders_are_replaced_in_time_when_most_of_the_fleet_is_killed_unnoticed_by_the_membership() {
    // Each seed leaves different instances running, with a different number of killed ones before them in the succession.
    for (fleet, survivors, time_limit) in [
        (24, 4, 2 * SECOND),
        (24, 1, 2 * SECOND),
        (300, 90, 2 * SECOND),
        (300, 6, 4 * SECOND),
    ] {
        for seed in 0..8 {
            let mut sim = Simulation::new(fleet, 5, 100.0, true, seed);
            sim.suspicion_time = 15 * SECOND;
            sim.start_all(0..fleet);
            sim.advance(5 * SECOND);
            let survives = |n: &usize| (n * 7 + seed as usize * 13) % fleet < survivors;
            (0..fleet)
                .filter(|n| !survives(n))
                .for_each(|n| sim.kill(n));
            sim.drain(1);
            let sent_before = sim.datagrams;
            sim.advance(time_limit);
            assert_eq!(
                (sim.up_to_date_count(), sim.running_count()),
                (survivors, survivors),
                "instances up to date and running, of {survivors} survivors of {fleet}, seed {seed}"
            );
            // While leaders are lost, an instance polls at most 64 instances per 100 ms (the answer timeout). The other 200
            // datagrams are an allowance for answers and pushes.
            let sent_by_each = (sim.datagrams - sent_before) / survivors as u64;
            assert!(
                sent_by_each <= 200 + 64 * (time_limit / (100 * MS)) as u64,
                "{sent_by_each} datagrams from each survivor"
            );
        }
    }
}

#[test]
fn instances_cut_off_from_the_service_catch_up_when_the_cut_heals() {
    let mut sim = Simulation::new(20, 5, 100.0, true, 9);
    sim.start_all(0..20);
    sim.advance(5 * SECOND);
    sim.far_side = (10..20).collect();
    sim.cut_links.extend([(true, false), (false, true)]);
    sim.set_service_state(10..20, ServiceState::Silent);
    sim.advance(SECOND);
    sim.drain(4);
    sim.advance(20 * SECOND);
    assert_eq!(sim.up_to_date_count(), 10);
    sim.cut_links.clear();
    sim.advance(2 * DRAIN_GRACE);
    assert_eq!(sim.up_to_date_count(), 20);
}

#[test]
fn a_cached_list_stays_cached_when_a_peer_passes_it_on() {
    let mut sim = Simulation::new(6, 3, 100.0, true, 2);
    sim.start_all(0..6);
    sim.advance(3 * SECOND);
    (0..6).for_each(|n| sim.kill(n));
    sim.set_service_state(0..6, ServiceState::Down);
    sim.start_all(0..6);
    sim.advance(2 * SECOND);
    assert_eq!(
        sim.up_to_date_count(),
        0,
        "no instance treats the cached list as confirmed"
    );
    assert!(sim
        .instances
        .iter()
        .all(|instance| instance.ready_at.is_some() && instance.routed_phases.len() == 3));
}

#[derive(Debug, Clone)]
enum Step {
    Advance(u16),
    Start(usize),
    Kill(usize),
    Drain(usize),
    Serve(usize),
    Promote(usize),
    ServiceState(usize, u8),
    CutOff(u8),
    Heal,
    Loss(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1u16..4_000).prop_map(Step::Advance),
        2 => (0usize..5).prop_map(Step::Start),
        1 => (0usize..5).prop_map(Step::Kill),
        2 => (0usize..3).prop_map(Step::Drain),
        1 => (0usize..3).prop_map(Step::Serve),
        1 => (0usize..3).prop_map(Step::Promote),
        2 => (0usize..5, 0u8..4).prop_map(|(n, state)| Step::ServiceState(n, state)),
        1 => (0u8..32).prop_map(Step::CutOff),
        1 => Just(Step::Heal),
        1 => (0u8..60).prop_map(Step::Loss),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// In every history: no instance goes back to an older version, a drain known to a router stays in effect until a newer
    /// version ends it, and after all faults have ended every instance is up to date.
    #[test]
    fn no_drain_is_forgotten_in_any_history(steps in prop::collection::vec(step(), 1..60), seed: u64) {
        let mut sim = Simulation::new(5, 3, 20.0, true, seed);
        sim.start_all(0..5);
        for step in steps {
            match step {
                Step::Advance(ms) => sim.advance(i64::from(ms) * MS),
                Step::Start(n) => sim.start(n),
                Step::Kill(n) => sim.kill(n),
                Step::Drain(m) => sim.drain(m),
                Step::Serve(m) => sim.change_list(|list| list[m].phase = Lifecycle::Serving),
                Step::Promote(m) => sim.change_list(|list| {
                    list.iter_mut().enumerate().for_each(|(n, e)| e.leader = n == m);
                }),
                Step::ServiceState(n, state) => {
                    let behind = sim.versions.len().saturating_sub(2).max(1);
                    let states = [ServiceState::Up, ServiceState::Down, ServiceState::Silent, ServiceState::Behind(behind)];
                    sim.set_service_state(std::iter::once(n), states[usize::from(state)]);
                }
                Step::CutOff(far) => {
                    sim.far_side = (0..5).filter(|n| far >> n & 1 == 1).collect();
                    sim.cut_links.extend([(true, false), (false, true)]);
                }
                Step::Heal => sim.cut_links.clear(),
                Step::Loss(percent) => sim.loss = f64::from(percent) / 100.0,
            }
            prop_assert!(sim.violation.is_none(), "{:?}", sim.violation);
            for instance in &sim.instances {
                // The router has the same phases as the cache.
                let Some(bootstrap) = &instance.bootstrap else { continue };
                for endpoint in bootstrap.cache().endpoints() {
                    prop_assert_eq!(instance.routed_phases.get(&endpoint.id), Some(&endpoint.phase));
                }
                // The cache has each member in the phase in which its version lists it.
                let Some(version) = bootstrap.cache().revision().and_then(|v| sim.versions.get(v as usize - 1)) else { continue };
                for (endpoint, listed) in bootstrap.cache().endpoints().zip(version) {
                    prop_assert!(endpoint.phase == listed.phase, "{endpoint:?} where the version has {listed:?}");
                }
            }
        }
        sim.cut_links.clear();
        sim.loss = 0.0;
        sim.set_service_state(0..5, ServiceState::Up);
        sim.start_all(0..5);
        sim.advance(30 * SECOND);
        prop_assert_eq!(sim.up_to_date_count(), 5);
        prop_assert!(sim.violation.is_none(), "{:?}", sim.violation);
    }

    /// Any bytes are rejected or decoded, and what is decoded can be sent and decoded again.
    #[test]
    fn any_bytes_are_rejected_or_decoded(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        if let Some(message) = Message::decode(&bytes) {
            prop_assert!(Message::decode(&message.encode()).is_some());
        }
    }
}

#[test]
fn polls_are_spread_when_many_instances_were_given_the_same_retry_after() {
    let now = 1_000 * SECOND;
    let rate = |number| PollRate {
        instance_number: number,
        fleet_size: 100,
        service_capacity: 50.0,
        min_pause: 100 * MS,
    };
    let mut polls: Vec<_> = (0..100)
        .flat_map(|n| {
            let mut schedule = PollSchedule::new(rate(n), u64::from(n));
            schedule.postpone(now, 2 * SECOND);
            [schedule.retry_at(now, 100), schedule.first_poll_at(now, 3)]
        })
        .collect();
    polls.sort_unstable();
    assert!(polls[0] >= now + 2 * SECOND);
    let max_polls = polls
        .iter()
        .map(|at| {
            polls
                .iter()
                .filter(|other| (*at..at + 100 * MS).contains(other))
                .count()
        })
        .max();
    // The fleet's window is 100 / (0.8 * 50 per second) = 2.5 s: 100 polls are spread over it and 100 over twice that, so 100 ms
    // have 6 polls on average. In the window of three pollers (75 ms), 100 polls would fall into 100 ms.
    assert!(
        max_polls <= Some(24),
        "{max_polls:?} of 200 polls in 100 ms"
    );
}

/// Every instance must know of a change within six seconds after the service had it and was reachable. A poll fails after three
/// seconds at the latest.
#[test]
fn no_poll_is_postponed_for_long_by_failures_and_retry_after() {
    let rate = |number| PollRate {
        instance_number: number,
        fleet_size: 300,
        service_capacity: 300.0,
        min_pause: 100 * MS,
    };
    for number in 0..300 {
        let mut schedule = PollSchedule::new(rate(number), u64::from(number));
        let mut now = 1_000 * SECOND;
        for n in 0..40 {
            // Every third time the service requests not to be polled for an hour.
            let is_postponed = n % 3 == 2;
            if is_postponed {
                schedule.postpone(now, 3_600 * SECOND);
            }
            schedule.record_poll();
            let next = schedule.retry_at(now, 300);
            // The fleet's window is 300 / (0.8 * 300 per second) = 1.25 s, and the longest pause twice that, 2.5 s. A
            // retry-after adds 2 s, but only to the pause directly after it. The other 100 ms are the tolerance of the test.
            // A poll that fails after 3 s is thus repeated within 5.6 s, which leaves time to connect.
            let max_pause = if is_postponed { 4600 * MS } else { 2600 * MS };
            assert!(
                next - now <= max_pause,
                "instance {number}, poll {n}: {} ms",
                (next - now) / MS
            );
            now = next + 3 * SECOND;
        }
    }
}

#[test]
fn observations_reach_all_peers_within_two_polls_and_do_not_circulate() {
    let mut sim = Simulation::new(30, 5, 100.0, true, 4);
    sim.start_all(0..30);
    sim.advance(5 * SECOND);
    let observation = |now: i64, is_primary| Observation {
        member_hash: Observation::hash_name("m1"),
        position_ms: (now / MS) as u64,
        is_primary: Some(is_primary),
        observed_at_ms: (now / MS) as u64,
    };
    let now = sim.now;
    sim.instances[17]
        .bootstrap
        .as_mut()
        .expect("the instance runs")
        .record_observations(now, [observation(now, true)]);
    // The instance's own poll carries the observation to a leader, and the polls of the others fetch it from there. This takes
    // one grace: each instance polls four times within it, and the leaders in rotation.
    sim.advance(DRAIN_GRACE * 3 / 2);
    let reached = |sim: &Simulation| {
        sim.instances
            .iter()
            .filter(|instance| instance.observations.contains(&observation(now, true)))
            .count()
    };
    assert!(
        reached(&sim) >= 28,
        "the observation reached {} of 29 others",
        reached(&sim)
    );
    let received: usize = sim
        .instances
        .iter()
        .map(|instance| instance.observations.len())
        .sum();
    sim.advance(10 * SECOND);
    let after: usize = sim
        .instances
        .iter()
        .map(|instance| instance.observations.len())
        .sum();
    assert!(
        after <= received + 1,
        "{after} observations after ten seconds, {received} before"
    );
}
