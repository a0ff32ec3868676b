//! Measures clusters larger than tests over sockets can run, in simulated time: messages per
//! request, lease messages, owners that change when a replica joins, and the memory of a million
//! positions. Run with `cargo bench -p stackgw-sessions --bench scale`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use rand::Rng;
use stackgw_router::api::{Span, MS, SECOND};
use stackgw_sessions::{ReplicaSet, SessionKey, SessionPositions};

const RELIABLE: Conditions = Conditions {
    loss: 0.0,
    duplication: 0.0,
    max_delay: MS,
    max_sync_time: MS,
    ignore_positions: false,
};

/// Number of requests of each kind over which messages are counted.
const REQUESTS: u64 = 4_000;
/// Time over which lease messages are counted.
const IDLE_SPAN: Span = 10 * SECOND;
/// Number of sessions whose owners are compared between two replica sets.
const COMPARED_SESSIONS: u64 = 100_000;
const RECORDED_POSITIONS: u64 = 1_000_000;

fn main() {
    println!("| instances | replicas | lease messages a second and replica | messages a write | messages a read | certain |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let sizes = [
        (2, 0),
        (3, 0),
        (5, 0),
        (5, 15),
        (5, 45),
        (5, 195),
        (16, 184),
    ];
    for (replicas, forwarders) in sizes {
        print_messages(replicas, forwarders);
    }
    println!();
    println!("| replicas before and after | owners that move | fair share |");
    println!("| --- | --- | --- |");
    for (before, after) in [(2, 3), (5, 6), (6, 5), (15, 16), (199, 200), (200, 199)] {
        print_moved_owners(before, after);
    }
    println!();
    print_memory();
}

fn print_messages(replicas: usize, forwarders: usize) {
    let mut simulation = Simulation::new(1, replicas, forwarders, false, RELIABLE);
    // After this, all replicas are certain.
    simulation.advance(RETENTION + 2 * SECOND);
    let before = simulation.messages;
    simulation.advance(IDLE_SPAN);
    let lease_messages = simulation.messages - before;
    let per_second = lease_messages as f64 / (IDLE_SPAN / SECOND) as f64 / replicas as f64;
    let instances = replicas + forwarders;
    let write = messages_per_request(
        &mut simulation,
        instances,
        lease_messages,
        Simulation::write,
    );
    let read = messages_per_request(&mut simulation, instances, lease_messages, Simulation::read);
    assert!(
        simulation.missed.is_empty(),
        "reads missed released writes: {:?}",
        simulation.missed
    );
    let certain = simulation.certain_reads as f64 / REQUESTS as f64;
    println!(
        "| {instances} | {replicas} | {per_second:.0} | {write:.2} | {read:.2} | {certain:.3} |"
    );
}

/// Messages per request, without lease messages, of which there were `lease_messages` in
/// [`IDLE_SPAN`].
fn messages_per_request(
    simulation: &mut Simulation,
    instances: usize,
    lease_messages: u64,
    request: fn(&mut Simulation, usize, u64),
) -> f64 {
    let (before, started) = (simulation.messages, simulation.now);
    for session in 0..REQUESTS {
        let index = simulation.rng.random_range(0..instances);
        request(simulation, index, session);
        simulation.advance(MS / 2);
    }
    // Long enough for the last requests: a message takes up to 1 ms.
    simulation.advance(20 * MS);
    let elapsed = (simulation.now - started) as f64;
    let idle = lease_messages as f64 * elapsed / IDLE_SPAN as f64;
    ((simulation.messages - before) as f64 - idle) / REQUESTS as f64
}

/// Returns keys that are spread over the whole range: multiples of 2^64 divided by the golden
/// ratio.
fn key(n: u64) -> SessionKey {
    SessionKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn print_moved_owners(before: usize, after: usize) {
    let replica_set = |n: usize| ReplicaSet::new((0..n).map(node), 2, &[]);
    let (old, new) = (replica_set(before), replica_set(after));
    let moved = |n: u64| {
        let old: Vec<_> = old.owners(key(n)).collect();
        new.owners(key(n))
            .filter(|owner| !old.contains(owner))
            .count()
    };
    let moved: usize = (0..COMPARED_SESSIONS).map(moved).sum();
    let moved = moved as f64 / (2 * COMPARED_SESSIONS) as f64;
    let share = 1.0 / before.max(after) as f64;
    println!("| {before}, {after} | {moved:.4} | {share:.4} |");
}

fn print_memory() {
    let before = resident();
    let mut positions = SessionPositions::new(RECORDED_POSITIONS as usize, 60 * SECOND);
    for n in 0..RECORDED_POSITIONS {
        positions.add(n as i64, key(n), n as i64);
    }
    let bytes = (resident() - before) / positions.len() as f64;
    println!("{} positions: {bytes:.0} bytes each", positions.len());
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
