//! Sizes that sockets don't reach, in simulated time: messages for each request, the leases' messages, marks that move when a
//! keeper joins, memory of a million marks. `cargo bench -p stackgw-sessions --bench scale`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use rand::Rng;
use stackgw_router::api::{MS, SECOND};
use stackgw_sessions::{ReplicaSet, SessionKey, SessionPositions};

const FAIR: Weather = Weather {
    loss: 0.0,
    repeat: 0.0,
    delay: MS,
    sync: MS,
    off: false,
};

fn main() {
    println!("| instances | keepers | leases' messages a second and keeper | messages a write | messages a read | sure |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (keepers, guests) in [
        (2, 0),
        (3, 0),
        (5, 0),
        (5, 15),
        (5, 45),
        (5, 195),
        (16, 184),
    ] {
        let mut world = World::new(1, keepers, guests, false, FAIR);
        world.pass(HORIZON + 2 * SECOND);
        let all = keepers + guests;
        let span = 10 * SECOND;
        let before = world.messages;
        world.pass(span);
        let leases = world.messages - before;
        let per_second = leases as f64 / 10.0 / keepers as f64;
        let count = 4_000;
        let mut cost = [0.0; 2];
        for (kind, cost) in cost.iter_mut().enumerate() {
            let (before, started) = (world.messages, world.now);
            for session in 0..count {
                let n = world.rng.random_range(0..all);
                if kind == 0 {
                    world.write(n, session);
                } else {
                    world.read(n, session);
                }
                world.pass(MS / 2);
            }
            world.pass(20 * MS);
            let idle = leases as f64 * (world.now - started) as f64 / span as f64;
            *cost = ((world.messages - before) as f64 - idle) / count as f64;
        }
        assert!(world.missed.is_empty());
        println!(
            "| {all} | {keepers} | {per_second:.0} | {:.2} | {:.2} | {:.3} |",
            cost[0],
            cost[1],
            world.sure as f64 / count as f64
        );
    }
    println!();
    println!("| keepers before and after | homes that move | fair share |");
    println!("| --- | --- | --- |");
    for (before, after) in [(2, 3), (5, 6), (6, 5), (15, 16), (199, 200), (200, 199)] {
        let roster = |n: usize| ReplicaSet::new((0..n).map(node), 2, &[]);
        let (old, new) = (roster(before), roster(after));
        let keys = 100_000u64;
        let moved: usize = (0..keys)
            .map(|n| {
                let key = SessionKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
                let old: Vec<_> = old.owners(key).collect();
                new.owners(key).filter(|home| !old.contains(home)).count()
            })
            .sum();
        let share = 1.0 / before.max(after) as f64;
        println!(
            "| {before}, {after} | {:.4} | {share:.4} |",
            moved as f64 / (2 * keys) as f64
        );
    }
    let before = resident();
    let mut marks = SessionPositions::new(1_000_000, 60 * SECOND);
    for n in 0..1_000_000u64 {
        marks.add(
            n as i64,
            SessionKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            n as i64,
        );
    }
    println!();
    println!(
        "{} marks: {:.0} bytes each",
        marks.len(),
        (resident() - before) / marks.len() as f64
    );
}

/// Resident memory, in bytes.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .unwrap_or_default();
    line.trim()
        .trim_end_matches(" kB")
        .parse::<f64>()
        .unwrap_or_default()
        * 1_024.0
}
