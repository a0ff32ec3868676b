//! Sizes that sockets don't reach, in simulated time: what a list service is asked by fleets that start at once and lose it for six
//! seconds, and when members that are cold are connected to. `cargo bench -p stackgw-bootstrap --bench scale`; seed 3.

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use stackgw_bootstrap::{ConnectionPacer, ListedMember, PacerConfig, StartTime};
use stackgw_router::api::{GroupId, MemberId, Span, Time, MS, SECOND};

const FLEETS: [usize; 4] = [100, 300, 500, 2_000];
const SEED: u64 = 3;

fn lists() {
    println!(
        "A service that bears two thirds of the fleet a second; all start within one moment.\n"
    );
    println!("| instances | cluster | asks at the start | worst 100 ms | 99% ready, ms | asks for an outage of 6 s | worst 100 ms | datagrams a second and instance |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (fleet, talks) in FLEETS
        .iter()
        .flat_map(|fleet| [(*fleet, false), (*fleet, true)])
    {
        let mut sim = Sim::new(fleet, 10, fleet as f64 / 1.5, talks, SEED);
        let begun = sim.now;
        sim.start_all(0..fleet);
        sim.pass(10 * SECOND);
        let mut ready: Vec<_> = sim
            .nodes
            .iter()
            .filter_map(|n| n.ready_at)
            .map(|at| at - begun)
            .collect();
        ready.sort_unstable();
        let ready = ready
            .get(fleet * 99 / 100)
            .map_or("never".to_owned(), |at| (at / MS).to_string());
        let (asks, worst) = (sim.asks.len(), sim.worst(0, 100 * MS));
        let before = sim.datagrams;
        sim.pass(5 * SECOND);
        let datagrams = (sim.datagrams - before) as f64 / 5.0 / fleet as f64;
        sim.mood(0..fleet, Mood::Dead);
        sim.pass(6 * SECOND);
        let from = sim.now;
        sim.mood(0..fleet, Mood::Up);
        sim.pass(15 * SECOND);
        println!(
            "| {fleet} | {} | {asks} | {worst} | {ready} | {} | {} | {datagrams:.1} |",
            if talks { "yes" } else { "no" },
            sim.asked(from),
            sim.worst(from, 100 * MS),
        );
    }
}

/// All turns that instances take at members that have just started, one connection for each instance and member.
fn turns(fleet: usize, members: u32, opens: f64, now: Time) -> Vec<Vec<Span>> {
    let set = |number| PacerConfig {
        instance_number: number,
        fleet_size: fleet as u32,
        connection_rate: opens,
        cold_capacity_share: 0.25,
        warm_up_time: 10 * SECOND,
    };
    let of = |number: usize| {
        let mut deal = ConnectionPacer::new(set(number as u32), SEED + number as u64);
        for n in 0..members {
            let (name, start_time) = (format!("m{n}"), StartTime::At(now));
            deal.update_member(
                now,
                ListedMember {
                    id: MemberId(n),
                    name: &name,
                    group: GroupId(2),
                    start_time,
                },
            );
        }
        deal.schedule_new_members(now);
        (0..members)
            .map(|n| deal.next_connection_at(now, MemberId(n)).unwrap_or(now) - now)
            .collect()
    };
    (0..fleet).map(of).collect()
}

fn deals() {
    println!("\nMembers that have just started, at a quarter of what they can do warm, ten seconds later; a tenth of the fleet is borne a second.\n");
    println!("| instances | members | borne in the first 100 ms | turns at one in the first 100 ms | worst 100 ms of 10 s | last instance's first connection, s | last connection, s |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (fleet, members) in FLEETS.iter().flat_map(|fleet| [(*fleet, 3), (*fleet, 30)]) {
        let opens = fleet as f64 / 10.0;
        let turns = turns(fleet, members, opens, 100 * SECOND);
        let (mut first, mut worst) = (0, 0);
        for member in 0..members as usize {
            let mut at: Vec<_> = turns.iter().map(|turns| turns[member]).collect();
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
        let last_first = turns
            .iter()
            .filter_map(|turns| turns.iter().min().copied())
            .max();
        let last = turns.iter().flatten().max().copied();
        println!(
            "| {fleet} | {members} | {:.0} | {first} | {worst} | {:.2} | {:.2} |",
            opens / 10.0,
            seconds(last_first),
            seconds(last)
        );
    }
}

fn main() {
    lists();
    deals();
}
