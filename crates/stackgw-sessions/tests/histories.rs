//! Whole histories: random ones held against the promise, and scripted ones for each hard case.

mod common;

use common::*;
use rand::Rng;
use stackgw_router::api::{MS, SECOND};
use stackgw_sessions::{Message, Peer, SessionKey, StoreFailure, UncertaintyReason};

const FAIR: Weather = Weather {
    loss: 0.0,
    repeat: 0.0,
    delay: 2 * MS,
    sync: 3 * MS,
    off: false,
};
const FOUL: Weather = Weather {
    loss: 0.1,
    repeat: 0.2,
    delay: 30 * MS,
    sync: 10 * MS,
    off: false,
};

/// Everything at once, by chance.
fn storm(seed: u64, keepers: usize, guests: usize, disks: bool, weather: Weather) -> World {
    let mut world = World::new(seed, keepers, guests, disks, weather);
    let all = keepers + guests;
    let mut down: Vec<(usize, i64)> = Vec::new();
    for _ in 0..2_500 {
        let span = world.rng.random_range(0..12 * MS);
        world.pass(span);
        let now = world.now;
        let (back, still) = down
            .into_iter()
            .partition::<Vec<_>, _>(|(_, until)| *until <= now);
        down = still;
        for (n, _) in back {
            if world.instances[n].up.is_none() {
                world.start(n);
            }
            world.instances[n].paused = false;
        }
        let n = world.rng.random_range(0..all);
        let session = world.rng.random_range(0..12);
        match world.rng.random_range(0..1_000) {
            0..=1 => {
                world.kill(n);
                if world.rng.random::<f64>() < 0.2 {
                    world.lose_disk(n);
                }
                down.push((n, now + world.rng.random_range(0..SECOND)));
            }
            2 => {
                world.instances[n].paused = true;
                down.push((n, now + world.rng.random_range(0..SECOND)));
            }
            3 => {
                let to = world.rng.random_range(0..all);
                world.cut.insert((n, to));
            }
            4..=6 => world.cut.clear(),
            7..=400 => world.write(n, session),
            _ => world.read(n, session),
        }
    }
    world
}

#[test]
fn no_history_misses_a_write() {
    let (mut sure, mut cautious, mut released) = (0, 0, 0);
    for seed in 0..60 {
        let (keepers, guests) = [(1, 0), (2, 0), (3, 0), (3, 2), (5, 1)][seed as usize % 5];
        let world = storm(seed, keepers, guests, seed % 3 != 0, FOUL);
        assert!(world.missed.is_empty(), "seed {seed}: {:?}", world.missed);
        sure += world.sure;
        cautious += world.cautious.values().sum::<u64>();
        released += world.released;
    }
    assert!(
        sure > 5_000 && cautious > 5_000 && released > 10_000,
        "{sure} {cautious} {released}"
    );
}

#[test]
fn without_marks_the_same_histories_miss_writes() {
    let missed = (0..10).map(|seed| {
        storm(seed, 2, 0, true, Weather { off: true, ..FOUL })
            .missed
            .len()
    });
    assert!(missed.sum::<usize>() > 100);
}

/// A world in which all keepers are sure.
fn settled(keepers: usize, guests: usize, disks: bool) -> World {
    let mut world = World::new(7, keepers, guests, disks, FAIR);
    world.pass(HORIZON + 2 * SECOND);
    for n in 0..keepers {
        assert_eq!(why(&world, n), None, "{n}");
    }
    world
}

fn why(world: &World, n: usize) -> Option<UncertaintyReason> {
    world.instances[n]
        .up
        .as_ref()
        .and_then(|up| up.status(world.clock(n)).uncertainty)
}

#[test]
fn a_calm_day_is_sure_of_every_read() {
    let mut world = settled(3, 2, false);
    for step in 0..2_000 {
        let n = world.rng.random_range(0..5);
        if step % 3 == 0 {
            world.write(n, step % 40);
        } else {
            world.read(n, step % 40);
        }
        world.pass(5 * MS);
    }
    assert!(world.missed.is_empty(), "{:?}", world.missed);
    assert!(world.cautious.is_empty(), "{:?}", world.cautious);
    assert!(world.released >= 660, "{}", world.released);
}

#[test]
fn a_dead_keeper_holds_writes_up_for_one_lease_and_makes_reads_cautious() {
    let mut world = settled(2, 0, true);
    world.kill(1);
    world.write(0, 1);
    world.pass(LEASE / 2);
    assert_eq!(
        world.released, 0,
        "the dead one may still be taken for sure by others"
    );
    world.pass(LEASE);
    assert_eq!(world.released, 1);
    world.read(0, 1);
    world.pass(100 * MS);
    assert_eq!(
        (world.sure, world.cautious.len()),
        (0, 1),
        "it may be alive elsewhere, and write"
    );
}

#[test]
fn with_disks_all_restart_at_once_and_are_sure_within_two_leases() {
    let mut world = settled(3, 0, true);
    world.write(0, 1);
    world.pass(50 * MS);
    assert_eq!(world.released, 1);
    (0..3).for_each(|n| world.kill(n));
    (0..3).for_each(|n| world.start(n));
    world.pass(2 * LEASE);
    (0..3).for_each(|n| world.read(n, 1));
    world.pass(100 * MS);
    assert!(world.missed.is_empty(), "{:?}", world.missed);
    assert_eq!(world.sure, 3, "{:?}", world.cautious);
}

#[test]
fn without_disks_a_restart_of_all_is_cautious_for_a_horizon() {
    let mut world = settled(3, 0, false);
    (0..3).for_each(|n| world.kill(n));
    (0..3).for_each(|n| world.start(n));
    world.pass(HORIZON * 9 / 10);
    world.read(0, 1);
    world.pass(100 * MS);
    assert_eq!(world.sure, 0);
    world.pass(HORIZON / 5);
    world.read(0, 1);
    world.pass(100 * MS);
    assert_eq!(world.sure, 1);
}

#[test]
fn a_write_let_out_while_its_homes_were_dead_is_told_when_they_are_back() {
    let mut world = settled(3, 0, true);
    world.kill(1);
    world.kill(2);
    (0..20).for_each(|session| world.write(0, session));
    world.pass(2 * LEASE);
    assert_eq!(world.released, 20);
    // The one that owes them dies too; its disk remembers.
    world.kill(0);
    (0..3).for_each(|n| world.start(n));
    world.pass(2 * LEASE);
    for session in 0..20 {
        (0..3).for_each(|n| world.read(n, session));
    }
    world.pass(200 * MS);
    assert!(world.missed.is_empty(), "{:?}", world.missed);
    assert!(world.sure >= 55, "{} {:?}", world.sure, world.cautious);
}

#[test]
fn one_paused_past_its_lease_knows_it_when_it_wakes() {
    let mut world = settled(2, 0, true);
    world.instances[0].paused = true;
    world.pass(LEASE / 2);
    world.write(1, 1);
    world.pass(2 * LEASE);
    assert_eq!(world.released, 1, "its pledge is over");
    world.instances[0].paused = false;
    world.read(0, 1);
    assert_eq!(world.sure, 0);
    world.pass(2 * LEASE);
    world.read(0, 1);
    world.pass(50 * MS);
    assert_eq!(world.sure, 1, "{:?}", world.cautious);
    assert!(world.missed.is_empty(), "{:?}", world.missed);
}

#[test]
fn a_cut_in_one_direction_is_a_cut() {
    let mut world = settled(2, 0, true);
    world.cut.insert((0, 1));
    world.write(0, 1);
    world.pass(3 * LEASE);
    assert_eq!(world.released, 1);
    world.read(1, 1);
    world.pass(50 * MS);
    assert_eq!(world.sure, 0);
    world.cut.clear();
    world.pass(LEASE);
    world.read(1, 1);
    world.pass(50 * MS);
    assert_eq!(
        (world.sure, world.missed.len()),
        (1, 0),
        "{:?}",
        world.cautious
    );
}

#[test]
fn keepers_with_other_lists_are_cautious() {
    let mut world = settled(3, 0, true);
    world.with(0, |s, now, out| {
        s.set_replicas(now, vec![node(0), node(1)], out)
    });
    world.pass(2 * LEASE);
    for n in 0..3 {
        assert!(
            matches!(
                why(&world, n),
                Some(UncertaintyReason::ReplicaSetMismatch(_) | UncertaintyReason::NoLease(_))
            ),
            "{n}: {:?}",
            why(&world, n)
        );
    }
    world.kill(2);
    world.with(1, |s, now, out| {
        s.set_replicas(now, vec![node(0), node(1)], out)
    });
    world.pass(2 * LEASE);
    assert_eq!(
        (why(&world, 0), why(&world, 1)),
        (None, None),
        "up for long, they vouch for their own at once"
    );
}

#[test]
fn guests_need_no_place_in_the_list() {
    let mut world = settled(3, 1, true);
    world.write(3, 5);
    world.pass(20 * MS);
    assert_eq!(world.released, 1);
    (0..4).for_each(|n| world.read(n, 5));
    world.pass(20 * MS);
    assert_eq!(
        (world.sure, world.missed.len()),
        (4, 0),
        "{:?}",
        world.cautious
    );
    // Cut from all keepers its answer does not leave.
    world.cut.extend([(3, 0), (3, 1), (3, 2)]);
    world.write(3, 5);
    world.pass(10 * LEASE);
    assert_eq!(world.released, 1);
}

#[test]
fn a_disk_that_fails_leaves_no_claim_behind() {
    let mut world = settled(2, 0, true);
    world.with(0, |s, now, out| {
        s.handle_store_failure(now, StoreFailure::SetAside, out)
    });
    world.lose_disk(0);
    world.write(0, 1);
    world.pass(50 * MS);
    assert_eq!(
        (world.released, why(&world, 0)),
        (1, None),
        "it lives on without"
    );
    world.kill(0);
    world.start(0);
    world.pass(2 * LEASE);
    assert!(
        why(&world, 1).is_some(),
        "its writes of before are not vouched for"
    );
    let mut stuck = settled(2, 0, true);
    stuck.with(0, |s, now, out| {
        s.handle_store_failure(now, StoreFailure::LeftInPlace, out)
    });
    stuck.write(0, 1);
    stuck.pass(3 * LEASE);
    assert_eq!(
        stuck.released, 0,
        "a later life would take that file for whole"
    );
}

#[test]
fn a_restart_within_a_lease_is_bound_by_what_the_earlier_life_pledged() {
    let mut world = settled(2, 0, true);
    world.kill(0);
    world.cut.extend([(0, 1), (1, 0)]);
    world.start(0);
    world.write(0, 1);
    world.pass(LEASE / 4);
    assert_eq!(world.released, 0);
    world.read(1, 1);
    world.pass(LEASE * 2);
    assert_eq!(
        (world.released, world.missed.len()),
        (1, 0),
        "{:?}",
        world.missed
    );
}

#[test]
fn a_late_word_of_a_keepers_earlier_life_frees_nobody() {
    let mut world = settled(2, 0, true);
    world.cut.extend([(0, 1), (1, 0)]);
    world.kill(0);
    world.start(0);
    let life = world.instances[1].incarnation;
    for incarnation in [life, life + 1] {
        let (from, to) = (
            Peer {
                node: node(1),
                incarnation,
            },
            Peer {
                node: node(0),
                incarnation: 0,
            },
        );
        let look = Message::PositionQuery {
            nonce: 1,
            key: SessionKey(1),
        };
        world.with(0, |s, now, out| s.handle_message(now, from, to, look, out));
    }
    world.write(0, 1);
    world.pass(LEASE / 2);
    assert_eq!(
        world.released, 0,
        "the later life may hold a pledge of this one's earlier life"
    );
}

#[test]
fn an_old_copy_of_a_disk_is_told_and_begins_anew() {
    let mut world = settled(2, 0, true);
    (0..20).for_each(|session| world.write(0, session));
    world.pass(50 * MS);
    assert_eq!(world.released, 20);
    world.kill(0);
    world.old_disk(0, 15);
    world.start(0);
    world.pass(2 * LEASE);
    let told = [why(&world, 0), why(&world, 1)];
    (0..20).for_each(|session| world.read(0, session));
    world.pass(50 * MS);
    assert_eq!(world.missed.len(), 0, "{:?}", world.missed);
    assert!(
        told.iter().all(Option::is_some),
        "it lacks marks, and may owe some that it does not know of"
    );
    world.pass(HORIZON);
    assert_eq!((why(&world, 0), why(&world, 1)), (None, None));
}

#[test]
fn a_keeper_that_joins_takes_its_share_and_nothing_is_missed() {
    let mut sure_after = 0;
    for seed in 0..20 {
        let mut world = World::new(seed, 2, 2, seed % 2 == 0, FAIR);
        world.pass(HORIZON + SECOND);
        // Those that keep marks first, the newcomer after them, the guest at any time.
        let mut turns = vec![
            (400, 0),
            (430, 1),
            (460, 2),
            (world.rng.random_range(300..600), 3),
        ];
        turns.sort_unstable();
        for step in 0..1_600 {
            while turns.first().is_some_and(|(at, _)| *at == step) {
                let (_, n) = turns.remove(0);
                world.with(n, |s, now, out| {
                    s.set_replicas(now, vec![node(0), node(1), node(2)], out)
                });
            }
            let (n, session) = (world.rng.random_range(0..4), world.rng.random_range(0..30));
            if step % 3 == 0 {
                world.write(n, session);
            } else {
                world.read(n, session);
            }
            let span = world.rng.random_range(0..6 * MS);
            world.pass(span);
            if step == 1_200 {
                world.sure = 0;
            }
        }
        assert!(world.missed.is_empty(), "seed {seed}: {:?}", world.missed);
        sure_after += world.sure;
    }
    assert!(sure_after > 1_000, "all are sure again: {sure_after}");
}

#[test]
fn word_from_another_than_the_asked_home_takes_no_read_away() {
    let mut world = settled(3, 1, true);
    world.cut.extend([(0, 3), (1, 3), (2, 3)]);
    world.read(3, 1);
    for from in 0..3 {
        for nonce in 0..50 {
            let incarnation = world.instances[from].incarnation;
            let to = Peer {
                node: node(3),
                incarnation: world.instances[3].incarnation,
            };
            let from = Peer {
                node: node(from),
                incarnation,
            };
            world.with(3, |s, now, out| {
                s.handle_message(now, from, to, Message::PositionUncertain { nonce }, out)
            });
        }
    }
    world.pass(SECOND);
    assert_eq!(
        (world.sure, world.cautious.values().sum::<u64>()),
        (0, 1),
        "it is answered, once"
    );
}
