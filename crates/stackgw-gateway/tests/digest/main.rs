//! Runs random histories against the reducer and prints one digest of all its effects. A change that must not alter behavior
//! prints the same digest before and after. Log texts are left out, and names are mapped to numbers.
//!
//! `cargo test -p stackgw-gateway --test digest -- --ignored --nocapture`

mod actions;
mod clients;
#[path = "../common/mod.rs"]
mod common;
mod config;
mod discovery;
mod hash;
mod members;
mod random;
mod simulation;

use hash::{parse_counters, Digest};
use simulation::Simulation;
use stackgw_gateway::reducer::Input;
use stackgw_router::api::SECOND;
use std::collections::BTreeMap;

const HISTORIES: u64 = 360;
const STEPS: u32 = 220;
const MEMBERS: u32 = 5;

fn run_history(seed: u64, totals: &mut BTreeMap<usize, (String, u64)>) -> u64 {
    let mut simulation = Simulation::new(seed);
    for _ in 0..STEPS {
        simulation.step();
    }
    if seed % 2 == 1 {
        (0..simulation.gateways.len()).for_each(|index| simulation.input(index, Input::Terminate));
    }
    simulation.advance(5 * SECOND);
    for index in 0..simulation.gateways.len() {
        simulation.input(index, Input::Report);
        let counters = parse_counters(&simulation.gateways[index].reducer.counters().to_string());
        for (position, (name, count)) in counters.into_iter().enumerate() {
            simulation.digest.number(count);
            totals.entry(position).or_insert((name, 0)).1 += count;
        }
    }
    simulation.digest.0
}

/// Prints the digest of all histories. It has no expected value: it is compared between two versions of the code.
#[test]
#[ignore = "prints a digest, to be compared between versions"]
fn digest_of_random_histories() {
    let mut digest_of_all = Digest::new();
    let mut totals = BTreeMap::new();
    for seed in 0..HISTORIES {
        let digest = run_history(seed, &mut totals);
        if std::env::var_os("DIGEST_EACH").is_some() {
            println!("history {seed} {digest:016x}");
        }
        digest_of_all.number(digest);
    }
    let totals: Vec<_> = totals
        .values()
        .map(|(name, count)| format!("{name}={count}"))
        .collect();
    println!("counters {}", totals.join(" "));
    println!("digest reducer = {:016x}", digest_of_all.0);
}
