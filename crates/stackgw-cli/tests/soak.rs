//! Seeded soak test with real processes: each seed determines a schedule of faults, and the records of clients, members and the
//! list service are checked against the rules of the service.
//!
//! To run it with other seeds: `SOAK_SEEDS=1-50 cargo test --release -p stackgw-cli --test soak -- --ignored --nocapture`; with
//! `SOAK_PROGRAM` it plays another build of the gateway.

use stackgw_testkit::soak::{judge, run_soak, RequestEnd, SoakPlan, SoakRecord, Violation};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How long clients send requests in a soak in CI, and in a manual one.
const SHORT: Duration = Duration::from_secs(16);
const LONG: Duration = Duration::from_secs(26);
/// Number of manual soaks that run concurrently.
const CONCURRENT_SOAKS: usize = 5;

/// The gateway's program: that of this build, or another one, to see whether the soak notices a fault of it.
fn program() -> PathBuf {
    let other = std::env::var_os("SOAK_PROGRAM");
    other.map_or(env!("CARGO_BIN_EXE_stackgw").into(), PathBuf::from)
}

fn run(seed: u64, duration: Duration) -> (SoakPlan, SoakRecord, Vec<Violation>) {
    let plan = SoakPlan::draw(seed, duration);
    let folder = std::env::temp_dir().join(format!("stackgw-soak-{}-{seed}", std::process::id()));
    let record = run_soak(&plan, program(), folder);
    let record = record.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    let violations = judge(&record);
    (plan, record, violations)
}

/// A summary line, followed by the first violations and, if there are any, the planned faults.
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
    let (plan, record, violations) = run(seed, SHORT);
    let report = report(&plan, &record, &violations);
    eprintln!("{report}");
    assert!(record.requests.len() > 1_000, "too few requests: {report}");
    assert!(violations.is_empty(), "{report}");
}

#[test]
fn no_rule_is_broken_in_a_soak_with_seed_1() {
    check(1);
}

/// With this seed, idle clients use up the descriptors.
#[test]
fn no_rule_is_broken_in_a_soak_with_seed_4() {
    check(4);
}

/// The seeds of `SOAK_SEEDS`, in the form FIRST-LAST.
fn seeds() -> RangeInclusive<u64> {
    let text = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1-50".to_owned());
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let number = |text: &str| text.parse().expect("SOAK_SEEDS has the form FIRST-LAST");
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
    for batch in seeds.chunks(CONCURRENT_SOAKS) {
        let seeds = batch.iter().copied();
        let runs: Vec<_> = seeds
            .map(|seed| std::thread::spawn(move || run(seed, LONG)))
            .collect();
        for run in runs {
            let (plan, record, violations) = run.join().expect("a verdict");
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
