//! Simulates fleets that are too large for tests with sockets: counts the polls of a list service by instances that start at
//! once and then lose it for six seconds, and the connections to cold members over time.
//! Run with `cargo bench -p stackgw-bootstrap --bench scale`; the seed is 3.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{member_name, ServiceState, Simulation};
use stackgw_bootstrap::{ConnectionPacer, ListedMember, PacerConfig, StartTime};
use stackgw_router::api::{GroupId, MemberId, Span, Time, MS, SECOND};

const FLEETS: [usize; 4] = [100, 300, 500, 2_000];
const SEED: u64 = 3;

fn print_polls() {
    println!(
        "The service can serve two thirds of the fleet per second; all instances start at the same time.\n"
    );
    println!(
        "| instances | cluster | polls at the start | worst 100 ms | 99% ready, ms | polls for an outage of 6 s | \
         worst 100 ms | datagrams a second and instance |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for fleet in FLEETS {
        for has_cluster in [false, true] {
            print_polls_of(fleet, has_cluster);
        }
    }
}

fn print_polls_of(fleet: usize, has_cluster: bool) {
    let mut simulation = Simulation::new(fleet, 10, fleet as f64 / 1.5, has_cluster, SEED);
    let began_at = simulation.now;
    simulation.start_all(0..fleet);
    simulation.advance(10 * SECOND);
    let ready_at = simulation
        .instances
        .iter()
        .filter_map(|instance| instance.ready_at);
    let mut ready: Vec<_> = ready_at.map(|at| at - began_at).collect();
    ready.sort_unstable();
    let ready = ready
        .get(fleet * 99 / 100)
        .map_or("never".to_owned(), |at| (at / MS).to_string());
    let (polls, worst) = (
        simulation.polls.len(),
        simulation.max_polls_within(100 * MS, 0),
    );
    let before = simulation.datagrams;
    simulation.advance(5 * SECOND);
    let datagrams = (simulation.datagrams - before) as f64 / 5.0 / fleet as f64;
    simulation.set_service_state(0..fleet, ServiceState::Down);
    simulation.advance(6 * SECOND);
    let from = simulation.now;
    simulation.set_service_state(0..fleet, ServiceState::Up);
    simulation.advance(15 * SECOND);
    println!(
        "| {fleet} | {} | {polls} | {worst} | {ready} | {} | {} | {datagrams:.1} |",
        if has_cluster { "yes" } else { "no" },
        simulation.polls_since(from),
        simulation.max_polls_within(100 * MS, from),
    );
}

/// How long each instance waits before it connects to each member if all members have just started.
fn connection_waits(fleet: usize, members: u32, connection_rate: f64, now: Time) -> Vec<Vec<Span>> {
    let of_instance = |number: usize| {
        let config = PacerConfig {
            instance_number: number as u32,
            fleet_size: fleet as u32,
            connection_rate,
            cold_capacity_share: 0.25,
            warm_up_time: 10 * SECOND,
        };
        let mut pacer = ConnectionPacer::new(config, SEED + number as u64);
        for n in 0..members {
            let (name, start_time) = (member_name(n as usize), StartTime::At(now));
            pacer.update_member(
                now,
                ListedMember {
                    id: MemberId(n),
                    name: &name,
                    group: GroupId(2),
                    start_time,
                },
            );
        }
        pacer.schedule_new_members(now);
        let wait = |n| pacer.next_connection_at(now, MemberId(n)).unwrap_or(now) - now;
        (0..members).map(wait).collect()
    };
    (0..fleet).map(of_instance).collect()
}

fn print_connections() {
    println!(
        "\nMembers that have just started, with a quarter of the capacity that they have when warm, ten seconds later; each can \
         accept connections from a tenth of the fleet per second.\n"
    );
    println!(
        "| instances | members | capacity in the first 100 ms | connections to one in the first 100 ms | worst 100 ms of 10 s | \
         last instance's first connection, s | last connection, s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for fleet in FLEETS {
        for members in [3, 30] {
            print_connections_of(fleet, members);
        }
    }
}

fn print_connections_of(fleet: usize, members: u32) {
    let connection_rate = fleet as f64 / 10.0;
    let waits = connection_waits(fleet, members, connection_rate, 100 * SECOND);
    let (mut first, mut worst) = (0, 0);
    for member in 0..members as usize {
        let mut at: Vec<_> = waits
            .iter()
            .map(|of_instance| of_instance[member])
            .collect();
        at.sort_unstable();
        first = first.max(at.iter().filter(|at| **at < 100 * MS).count());
        let within = |(n, from): (usize, &Span)| {
            at[n..]
                .iter()
                .take_while(|at| **at < from + 100 * MS)
                .count()
        };
        worst = worst.max(at.iter().enumerate().map(within).max().unwrap_or(0));
    }
    let seconds = |at: Option<Span>| at.unwrap_or(0) as f64 / SECOND as f64;
    let last_first = waits
        .iter()
        .filter_map(|of_instance| of_instance.iter().min().copied())
        .max();
    let last = waits.iter().flatten().max().copied();
    println!(
        "| {fleet} | {members} | {:.0} | {first} | {worst} | {:.2} | {:.2} |",
        connection_rate / 10.0,
        seconds(last_first),
        seconds(last)
    );
}

fn main() {
    print_polls();
    print_connections();
}
