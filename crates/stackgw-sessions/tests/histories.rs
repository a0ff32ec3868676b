//! Simulated histories of several instances: random ones in which every read is checked against the
//! released writes, and scripted ones for particular faults.

mod common;

use common::*;
use rand::Rng;
use stackgw_router::api::{MS, SECOND};
use stackgw_sessions::{Message, Peer, SessionKey, StoreFailure, UncertaintyReason};

/// Number of steps of a random history.
const STEPS: usize = 2_500;

const RELIABLE: Conditions = Conditions {
    loss: 0.0,
    duplication: 0.0,
    max_delay: 2 * MS,
    max_sync_time: 3 * MS,
    ignore_positions: false,
};
const UNRELIABLE: Conditions = Conditions {
    loss: 0.1,
    duplication: 0.2,
    max_delay: 30 * MS,
    max_sync_time: 10 * MS,
    ignore_positions: false,
};

/// Runs random reads and writes, with random crashes, losses of stores, pauses and partitions.
fn random_history(
    seed: u64,
    replicas: usize,
    forwarders: usize,
    has_stores: bool,
    conditions: Conditions,
) -> Simulation {
    let mut simulation = Simulation::new(seed, replicas, forwarders, has_stores, conditions);
    let instances = replicas + forwarders;
    for _ in 0..STEPS {
        let span = simulation.rng.random_range(0..12 * MS);
        simulation.advance(span);
        simulation.end_outages();
        let index = simulation.rng.random_range(0..instances);
        let session = simulation.rng.random_range(0..12);
        match simulation.rng.random_range(0..1_000) {
            0..=1 => kill_for_a_while(&mut simulation, index),
            2 => {
                simulation.pause(index);
                let until = simulation.now + simulation.rng.random_range(0..SECOND);
                simulation.end_outage_at(index, until);
            }
            3 => {
                let to = simulation.rng.random_range(0..instances);
                simulation.partitions.insert((index, to));
            }
            4..=6 => simulation.partitions.clear(),
            7..=400 => simulation.write(index, session),
            _ => simulation.read(index, session),
        }
    }
    simulation
}

fn kill_for_a_while(simulation: &mut Simulation, index: usize) {
    simulation.kill(index);
    if simulation.rng.random::<f64>() < 0.2 {
        simulation.lose_store(index);
    }
    let until = simulation.now + simulation.rng.random_range(0..SECOND);
    simulation.end_outage_at(index, until);
}

#[test]
fn reads_see_released_writes_in_random_histories() {
    let (mut certain, mut strong, mut released) = (0, 0, 0);
    for seed in 0..60 {
        let (replicas, forwarders) = [(1, 0), (2, 0), (3, 0), (3, 2), (5, 1)][seed as usize % 5];
        let simulation = random_history(seed, replicas, forwarders, seed % 3 != 0, UNRELIABLE);
        assert!(
            simulation.missed.is_empty(),
            "seed {seed}: reads missed released writes: {:?}",
            simulation.missed
        );
        certain += simulation.certain_reads;
        strong += simulation.strong_reads.values().sum::<u64>();
        released += simulation.released;
    }
    assert!(
        certain > 5_000 && strong > 5_000 && released > 10_000,
        "too few reads or writes: {certain} certain reads, {strong} strong reads, \
         {released} released writes"
    );
}

#[test]
fn reads_miss_writes_in_random_histories_when_positions_are_ignored() {
    let conditions = Conditions {
        ignore_positions: true,
        ..UNRELIABLE
    };
    let histories = (0..10).map(|seed| random_history(seed, 2, 0, true, conditions));
    let missed = histories.map(|simulation| simulation.missed.len());
    assert!(
        missed.sum::<usize>() > 100,
        "the check finds too few reads that miss writes"
    );
}

/// Returns a simulation in which all replicas are certain.
fn certain_cluster(replicas: usize, forwarders: usize, has_stores: bool) -> Simulation {
    let mut simulation = Simulation::new(7, replicas, forwarders, has_stores, RELIABLE);
    simulation.advance(RETENTION + 2 * SECOND);
    for n in 0..replicas {
        assert_eq!(uncertainty(&simulation, n), None, "replica {n} is certain");
    }
    simulation
}

fn uncertainty(simulation: &Simulation, n: usize) -> Option<UncertaintyReason> {
    let running = simulation.instances[n].running.as_ref()?;
    running.status(simulation.clock(n)).uncertainty
}

#[test]
fn every_read_is_certain_when_there_are_no_faults() {
    let mut simulation = certain_cluster(3, 2, false);
    for step in 0..2_000 {
        let n = simulation.rng.random_range(0..5);
        if step % 3 == 0 {
            simulation.write(n, step % 40);
        } else {
            simulation.read(n, step % 40);
        }
        simulation.advance(5 * MS);
    }
    assert!(
        simulation.missed.is_empty(),
        "reads missed released writes: {:?}",
        simulation.missed
    );
    assert!(
        simulation.strong_reads.is_empty(),
        "some reads were strong: {:?}",
        simulation.strong_reads
    );
    assert!(
        simulation.released >= 660,
        "{} of 667 writes were released",
        simulation.released
    );
}

#[test]
fn a_dead_replica_delays_writes_by_one_lease_and_makes_reads_strong() {
    let mut simulation = certain_cluster(2, 0, true);
    simulation.kill(1);
    simulation.write(0, 1);
    simulation.advance(LEASE / 2);
    assert_eq!(
        simulation.released, 0,
        "the write waits, because the dead replica's lease may still be in effect"
    );
    simulation.advance(LEASE);
    assert_eq!(simulation.released, 1);
    simulation.read(0, 1);
    simulation.advance(100 * MS);
    assert_eq!(
        (simulation.certain_reads, simulation.strong_reads.len()),
        (0, 1),
        "the read must be strong: the replica may be alive behind a partition and serve writes"
    );
}

#[test]
fn replicas_with_stores_are_certain_within_two_leases_after_all_restart() {
    let mut simulation = certain_cluster(3, 0, true);
    simulation.write(0, 1);
    simulation.advance(50 * MS);
    assert_eq!(simulation.released, 1);
    (0..3).for_each(|n| simulation.kill(n));
    (0..3).for_each(|n| simulation.start(n));
    simulation.advance(2 * LEASE);
    (0..3).for_each(|n| simulation.read(n, 1));
    simulation.advance(100 * MS);
    assert!(
        simulation.missed.is_empty(),
        "reads missed released writes: {:?}",
        simulation.missed
    );
    assert_eq!(simulation.certain_reads, 3, "{:?}", simulation.strong_reads);
}

#[test]
fn replicas_without_stores_are_uncertain_for_a_retention_after_all_restart() {
    let mut simulation = certain_cluster(3, 0, false);
    (0..3).for_each(|n| simulation.kill(n));
    (0..3).for_each(|n| simulation.start(n));
    simulation.advance(RETENTION * 9 / 10);
    simulation.read(0, 1);
    simulation.advance(100 * MS);
    assert_eq!(simulation.certain_reads, 0);
    simulation.advance(RETENTION / 5);
    simulation.read(0, 1);
    simulation.advance(100 * MS);
    assert_eq!(simulation.certain_reads, 1);
}

#[test]
fn a_write_released_while_its_owners_were_dead_is_replicated_after_they_restart() {
    let mut simulation = certain_cluster(3, 0, true);
    simulation.kill(1);
    simulation.kill(2);
    (0..20).for_each(|session| simulation.write(0, session));
    simulation.advance(2 * LEASE);
    assert_eq!(simulation.released, 20);
    // The writer is killed too. Its store has the writes that the owners have not acknowledged.
    simulation.kill(0);
    (0..3).for_each(|n| simulation.start(n));
    simulation.advance(2 * LEASE);
    for session in 0..20 {
        (0..3).for_each(|n| simulation.read(n, session));
    }
    simulation.advance(200 * MS);
    assert!(
        simulation.missed.is_empty(),
        "reads missed released writes: {:?}",
        simulation.missed
    );
    assert!(
        simulation.certain_reads >= 55,
        "{} of 60 reads were certain; reasons of the others: {:?}",
        simulation.certain_reads,
        simulation.strong_reads
    );
}

#[test]
fn a_replica_paused_past_its_leases_is_uncertain_when_it_resumes() {
    let mut simulation = certain_cluster(2, 0, true);
    simulation.pause(0);
    simulation.advance(LEASE / 2);
    simulation.write(1, 1);
    simulation.advance(2 * LEASE);
    assert_eq!(
        simulation.released, 1,
        "the write is released, because the paused replica's lease has ended"
    );
    simulation.instances[0].paused = false;
    simulation.read(0, 1);
    assert_eq!(simulation.certain_reads, 0);
    simulation.advance(2 * LEASE);
    simulation.read(0, 1);
    simulation.advance(50 * MS);
    assert_eq!(simulation.certain_reads, 1, "{:?}", simulation.strong_reads);
    assert!(
        simulation.missed.is_empty(),
        "reads missed released writes: {:?}",
        simulation.missed
    );
}

#[test]
fn a_partition_in_one_direction_makes_reads_strong() {
    let mut simulation = certain_cluster(2, 0, true);
    simulation.partitions.insert((0, 1));
    simulation.write(0, 1);
    simulation.advance(3 * LEASE);
    assert_eq!(simulation.released, 1);
    simulation.read(1, 1);
    simulation.advance(50 * MS);
    assert_eq!(simulation.certain_reads, 0);
    simulation.partitions.clear();
    simulation.advance(LEASE);
    simulation.read(1, 1);
    simulation.advance(50 * MS);
    assert_eq!(
        (simulation.certain_reads, simulation.missed.len()),
        (1, 0),
        "{:?}",
        simulation.strong_reads
    );
}

#[test]
fn replicas_with_different_lists_are_uncertain() {
    let mut simulation = certain_cluster(3, 0, true);
    simulation.with(0, |sessions, now, outputs| {
        sessions.set_replicas(now, vec![node(0), node(1)], outputs)
    });
    simulation.advance(2 * LEASE);
    for n in 0..3 {
        assert!(
            matches!(
                uncertainty(&simulation, n),
                Some(UncertaintyReason::ReplicaSetMismatch(_) | UncertaintyReason::NoLease(_))
            ),
            "replica {n} must be uncertain because of the lists, but its reason is {:?}",
            uncertainty(&simulation, n)
        );
    }
    simulation.kill(2);
    simulation.with(1, |sessions, now, outputs| {
        sessions.set_replicas(now, vec![node(0), node(1)], outputs)
    });
    simulation.advance(2 * LEASE);
    assert_eq!(
        (uncertainty(&simulation, 0), uncertainty(&simulation, 1)),
        (None, None),
        "both replicas have run for longer than the retention, so they are certain at once"
    );
}

#[test]
fn instances_outside_of_the_replica_set_forward_their_writes() {
    let mut simulation = certain_cluster(3, 1, true);
    simulation.write(3, 5);
    simulation.advance(20 * MS);
    assert_eq!(simulation.released, 1);
    (0..4).for_each(|n| simulation.read(n, 5));
    simulation.advance(20 * MS);
    assert_eq!(
        (simulation.certain_reads, simulation.missed.len()),
        (4, 0),
        "{:?}",
        simulation.strong_reads
    );
    // The response is not released while the instance is partitioned from all replicas.
    simulation.partitions.extend([(3, 0), (3, 1), (3, 2)]);
    simulation.write(3, 5);
    simulation.advance(10 * LEASE);
    assert_eq!(simulation.released, 1);
}

#[test]
fn a_failed_store_is_not_treated_as_complete() {
    let mut simulation = certain_cluster(2, 0, true);
    simulation.with(0, |sessions, now, outputs| {
        sessions.handle_store_failure(now, StoreFailure::SetAside, outputs)
    });
    simulation.lose_store(0);
    simulation.write(0, 1);
    simulation.advance(50 * MS);
    assert_eq!(
        (simulation.released, uncertainty(&simulation, 0)),
        (1, None),
        "the write is released and the instance is certain, because it continues without a store"
    );
    simulation.kill(0);
    simulation.start(0);
    simulation.advance(2 * LEASE);
    assert!(
        uncertainty(&simulation, 1).is_some(),
        "the history of the restarted instance is not known to be complete"
    );
    let mut stuck = certain_cluster(2, 0, true);
    stuck.with(0, |sessions, now, outputs| {
        sessions.handle_store_failure(now, StoreFailure::LeftInPlace, outputs)
    });
    stuck.write(0, 1);
    stuck.advance(3 * LEASE);
    assert_eq!(
        stuck.released, 0,
        "the write is not released, because a later incarnation would treat the file as complete"
    );
}

#[test]
fn a_restart_within_a_lease_is_bound_by_leases_of_the_earlier_incarnation() {
    let mut simulation = certain_cluster(2, 0, true);
    simulation.kill(0);
    simulation.partitions.extend([(0, 1), (1, 0)]);
    simulation.start(0);
    simulation.write(0, 1);
    simulation.advance(LEASE / 4);
    assert_eq!(simulation.released, 0);
    simulation.read(1, 1);
    simulation.advance(LEASE * 2);
    assert_eq!(
        (simulation.released, simulation.missed.len()),
        (1, 0),
        "{:?}",
        simulation.missed
    );
}

#[test]
fn a_delayed_message_of_an_earlier_incarnation_does_not_end_a_lease() {
    let mut simulation = certain_cluster(2, 0, true);
    simulation.partitions.extend([(0, 1), (1, 0)]);
    simulation.kill(0);
    simulation.start(0);
    let earlier = simulation.instances[1].incarnation;
    for incarnation in [earlier, earlier + 1] {
        let from = Peer {
            node: node(1),
            incarnation,
        };
        let to = Peer::any_incarnation(node(0));
        let query = Message::PositionQuery {
            nonce: 1,
            key: SessionKey(1),
        };
        simulation.with(0, |sessions, now, outputs| {
            sessions.handle_message(now, from, to, query, outputs)
        });
    }
    simulation.write(0, 1);
    simulation.advance(LEASE / 2);
    assert_eq!(
        simulation.released, 0,
        "the write waits, because the replica's later incarnation may hold a lease of the writer's \
         earlier incarnation"
    );
}

#[test]
fn an_old_copy_of_a_store_is_detected_and_reset() {
    let mut simulation = certain_cluster(2, 0, true);
    (0..20).for_each(|session| simulation.write(0, session));
    simulation.advance(50 * MS);
    assert_eq!(simulation.released, 20);
    simulation.kill(0);
    simulation.restore_old_store(0, 15);
    simulation.start(0);
    simulation.advance(2 * LEASE);
    let uncertainties = [uncertainty(&simulation, 0), uncertainty(&simulation, 1)];
    (0..20).for_each(|session| simulation.read(0, session));
    simulation.advance(50 * MS);
    assert_eq!(simulation.missed.len(), 0, "{:?}", simulation.missed);
    assert!(
        uncertainties.iter().all(Option::is_some),
        "both replicas must be uncertain, because the store lacks positions and records of \
         unacknowledged writes"
    );
    simulation.advance(RETENTION);
    assert_eq!(
        (uncertainty(&simulation, 0), uncertainty(&simulation, 1)),
        (None, None)
    );
}

#[test]
fn reads_see_released_writes_while_a_replica_joins() {
    let mut certain_after = 0;
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 2, 2, seed % 2 == 0, RELIABLE);
        simulation.advance(RETENTION + SECOND);
        // The old replicas apply the change first, then the new one; the forwarding instance
        // applies it at a random step.
        let mut changes = vec![
            (400, 0),
            (430, 1),
            (460, 2),
            (simulation.rng.random_range(300..600), 3),
        ];
        changes.sort_unstable();
        for step in 0..1_600 {
            while changes.first().is_some_and(|(at, _)| *at == step) {
                let (_, n) = changes.remove(0);
                simulation.with(n, |sessions, now, outputs| {
                    sessions.set_replicas(now, vec![node(0), node(1), node(2)], outputs)
                });
            }
            let (n, session) = (
                simulation.rng.random_range(0..4),
                simulation.rng.random_range(0..30),
            );
            if step % 3 == 0 {
                simulation.write(n, session);
            } else {
                simulation.read(n, session);
            }
            let span = simulation.rng.random_range(0..6 * MS);
            simulation.advance(span);
            if step == 1_200 {
                simulation.certain_reads = 0;
            }
        }
        assert!(
            simulation.missed.is_empty(),
            "seed {seed}: reads missed released writes: {:?}",
            simulation.missed
        );
        certain_after += simulation.certain_reads;
    }
    assert!(
        certain_after > 1_000,
        "too few reads were certain after the change: {certain_after}"
    );
}

#[test]
fn a_reply_of_an_instance_that_was_not_queried_does_not_end_a_read() {
    let mut simulation = certain_cluster(3, 1, true);
    simulation.partitions.extend([(0, 3), (1, 3), (2, 3)]);
    simulation.read(3, 1);
    for from in 0..3 {
        for nonce in 0..50 {
            let incarnation = simulation.instances[from].incarnation;
            let to = Peer {
                node: node(3),
                incarnation: simulation.instances[3].incarnation,
            };
            let from = Peer {
                node: node(from),
                incarnation,
            };
            simulation.with(3, |sessions, now, outputs| {
                sessions.handle_message(
                    now,
                    from,
                    to,
                    Message::PositionUncertain { nonce },
                    outputs,
                )
            });
        }
    }
    simulation.advance(SECOND);
    assert_eq!(
        (
            simulation.certain_reads,
            simulation.strong_reads.values().sum::<u64>()
        ),
        (0, 1),
        "the read is answered exactly once, as a strong read"
    );
}
