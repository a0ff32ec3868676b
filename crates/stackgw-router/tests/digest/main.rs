//! A digest of every decision over a few hundred random histories. Two versions of the router that print the same
//! digest have requested the same actions at the same times with the same values, and ended with the same member
//! snapshots.
//!
//! The test has no expected value: run it before and after a change that must not alter any decision, and compare.

mod hash;
mod scenario;
mod simulation;

use hash::Digest;
use simulation::Simulation;

const HISTORIES: u64 = 300;
const EVENTS_PER_HISTORY: u32 = 4_000;

#[test]
#[ignore = "prints a digest to compare: cargo test -p stackgw-router --test digest -- --ignored --nocapture"]
fn digest_of_all_actions_over_random_histories() {
    let mut digest = Digest::new();
    for seed in 0..HISTORIES {
        Simulation::new(seed).run(EVENTS_PER_HISTORY, &mut digest);
    }
    eprintln!("actions by kind: {:?}", digest.counts());
    println!("digest router = {:016x}", digest.value());
}
