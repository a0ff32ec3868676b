//! A seeded soak over real processes: each seed draws its own schedule of faults, and whatever clients, members and the list
//! service wrote down is judged by the rules of the service.
//!
//! By hand, with any seeds: `SOAK_SEEDS=1-50 cargo test --release -p stackgw-cli --test soak -- --ignored --nocapture`

use stackgw_testkit::soak::{judge, run_soak, RequestEnd, SoakPlan, SoakRecord, Violation};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

/// How long clients ask in a soak of CI, and in one by hand.
const SHORT: Duration = Duration::from_secs(16);
const LONG: Duration = Duration::from_secs(26);
/// Soaks by hand that run at once.
const AT_ONCE: usize = 5;

fn play(seed: u64, duration: Duration) -> (SoakPlan, SoakRecord, Vec<Violation>) {
    let plan = SoakPlan::draw(seed, duration);
    let folder = std::env::temp_dir().join(format!("stackgw-soak-{}-{seed}", std::process::id()));
    let record = run_soak(&plan, env!("CARGO_BIN_EXE_stackgw").into(), folder);
    let record = record.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    let violations = judge(&record);
    (plan, record, violations)
}

/// One line of the table, and the violations behind it.
fn report(plan: &SoakPlan, record: &SoakRecord, violations: &[Violation]) -> String {
    let count = |wanted: fn(&RequestEnd) -> bool| {
        let ends = record.requests.iter().map(|request| &request.end);
        ends.filter(|end| wanted(end)).count()
    };
    let mut text = format!(
        "seed {}: {} requests, {} served, {} rejected, {} failed, {} left, {} faults, {} violations",
        plan.seed,
        record.requests.len(),
        count(|end| matches!(end, RequestEnd::Served(_))),
        count(|end| *end == RequestEnd::Rejected),
        count(|end| *end == RequestEnd::Failed),
        count(|end| *end == RequestEnd::Left),
        plan.faults.len(),
        violations.len(),
    );
    for violation in violations.iter().take(8) {
        text += &format!("\n  {violation}");
    }
    if !violations.is_empty() {
        for planned in &plan.faults {
            text += &format!("\n    {:?} {:?}", planned.at, planned.fault);
        }
    }
    text
}

fn check(seed: u64) {
    let (plan, record, violations) = play(seed, SHORT);
    let report = report(&plan, &record, &violations);
    eprintln!("{report}");
    assert!(record.requests.len() > 1_000, "clients asked: {report}");
    assert!(violations.is_empty(), "{report}");
}

#[test]
fn no_rule_is_broken_in_a_soak_with_seed_1() {
    check(1);
}

/// This seed has a crowd of idle clients that fills the descriptors.
#[test]
fn no_rule_is_broken_in_a_soak_with_seed_4() {
    check(4);
}

/// The seeds that `SOAK_SEEDS` names, as FIRST-LAST.
fn seeds() -> RangeInclusive<u64> {
    let text = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1-50".to_owned());
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let number = |text: &str| text.parse().expect("SOAK_SEEDS is FIRST-LAST");
    number(first)..=number(last)
}

#[test]
#[ignore = "takes a quarter of an hour; run by hand"]
fn no_rule_is_broken_in_a_long_soak() {
    let started = Instant::now();
    let seeds: Vec<u64> = seeds().collect();
    let mut failed = Vec::new();
    let mut faults: BTreeMap<&str, usize> = BTreeMap::new();
    let mut requests = 0;
    for batch in seeds.chunks(AT_ONCE) {
        let plays = batch.iter().copied();
        let plays: Vec<_> = plays
            .map(|seed| std::thread::spawn(move || play(seed, LONG)))
            .collect();
        for played in plays {
            let (plan, record, violations) = played.join().expect("a verdict");
            eprintln!("{}", report(&plan, &record, &violations));
            requests += record.requests.len();
            for planned in &plan.faults {
                *faults.entry(planned.fault.name()).or_default() += 1;
            }
            if !violations.is_empty() {
                failed.push(plan.seed);
            }
        }
    }
    let took = started.elapsed();
    eprintln!(
        "{} seeds, {requests} requests, {took:?}, faults {faults:?}",
        seeds.len()
    );
    assert!(failed.is_empty(), "seeds {failed:?}");
}
