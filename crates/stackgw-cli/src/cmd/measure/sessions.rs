//! `stackgw measure sessions`: the cost of shared sessions.
//!
//! Each case has a busy phase, in which 8 clients read without pauses, and a calm phase, in which 48 clients pause before each
//! further read.

use super::table::{print_head, print_row, Column};
use crate::error::CommandResult;
use clap::Args;
use serde::Serialize;
use stackgw_testkit::measure::sessions::SessionCostPlan;
use stackgw_testkit::{FleetMode, Percentiles};

/// Sessions that are not shared, shared but always cautious (reads see every commit), shared without disks, shared with disks.
#[derive(Args)]
pub struct SessionsCost {
    /// Fleet sizes, in gateways.
    #[arg(long, value_delimiter = ',', default_values_t = [2u16, 3, 5])]
    instances: Vec<u16>,
    /// Number of rounds; each round runs every case once.
    #[arg(long, default_value_t = 3)]
    rounds: u64,
    /// Write-read pairs in the busy phase of each case, in which clients read without pauses.
    #[arg(long, default_value_t = 2_000)]
    pairs: u64,
    /// Print each case as a line of JSON.
    #[arg(long)]
    json: bool,
}

/// Fifty minutes, longer than any measurement of a case. Session replicas that start without a store are uncertain for the
/// retention, so all session reads of the case are strong reads.
const LONG_RETENTION_MS: u64 = 3_000_000;

const RETENTION_MS: u64 = 2_000;

/// A configuration that is measured once per round.
struct Case {
    name: &'static str,
    mode: FleetMode,
    has_disks: bool,
    retention_ms: u64,
}

const CASES: [Case; 4] = [
    Case {
        name: "off",
        mode: FleetMode::LocalSessions,
        has_disks: false,
        retention_ms: RETENTION_MS,
    },
    Case {
        name: "cautious",
        mode: FleetMode::SharedSessions,
        has_disks: false,
        retention_ms: LONG_RETENTION_MS,
    },
    Case {
        name: "on, no disks",
        mode: FleetMode::SharedSessions,
        has_disks: false,
        retention_ms: RETENTION_MS,
    },
    Case {
        name: "on, disks",
        mode: FleetMode::SharedSessions,
        has_disks: true,
        retention_ms: RETENTION_MS,
    },
];

/// One case in one round: a line of the JSON output.
#[derive(Serialize)]
struct Line {
    instances: u16,
    round: u64,
    case: &'static str,
    write_us: Percentiles,
    read_us: Percentiles,
    /// The fraction of reads that replicas ran in the calm phase.
    replicas: f64,
    /// CPU time of all gateways per request, in microseconds.
    cpu_us: f64,
    /// Resident memory of one gateway, in MiB.
    memory_mb: f64,
    misses: u64,
}

const COLUMNS: [Column<Line>; 8] = [
    Column {
        heading: "write p50 us",
        value: |line| line.write_us.p50 as f64,
        digits: 0,
    },
    Column {
        heading: "write p99 us",
        value: |line| line.write_us.p99 as f64,
        digits: 0,
    },
    Column {
        heading: "read p50 us",
        value: |line| line.read_us.p50 as f64,
        digits: 0,
    },
    Column {
        heading: "read p99 us",
        value: |line| line.read_us.p99 as f64,
        digits: 0,
    },
    Column {
        heading: "by replicas",
        value: |line| line.replicas,
        digits: 3,
    },
    Column {
        heading: "cpu us a request",
        value: |line| line.cpu_us,
        digits: 0,
    },
    Column {
        heading: "MiB",
        value: |line| line.memory_mb,
        digits: 1,
    },
    Column {
        heading: "misses",
        value: |line| line.misses as f64,
        digits: 0,
    },
];

impl SessionsCost {
    pub(super) fn run(self) -> CommandResult {
        let mut lines = Vec::new();
        for instances in &self.instances {
            for round in 0..self.rounds {
                for case in &CASES {
                    let line = self.measure(*instances, round, case)?;
                    if self.json {
                        println!("{}", serde_json::to_string(&line)?);
                    }
                    lines.push(line);
                }
            }
        }
        if !self.json {
            for instances in &self.instances {
                print_table(*instances, &lines);
            }
        }
        Ok(())
    }

    fn measure(&self, instances: u16, round: u64, case: &Case) -> CommandResult<Line> {
        let plan = SessionCostPlan {
            program: std::env::current_exe()?,
            gateways: usize::from(instances),
            mode: case.mode,
            has_disks: case.has_disks,
            retention_ms: case.retention_ms,
            pairs: self.pairs,
            seed: round * 1_000 + u64::from(instances) * 10 + 1,
        };
        let cost = plan.run()?;
        Ok(Line {
            instances,
            round,
            case: case.name,
            write_us: cost.write_us,
            read_us: cost.read_us,
            replicas: cost.replica_fraction,
            cpu_us: cost.cpu_us_per_request,
            memory_mb: cost.memory_mib,
            misses: cost.misses,
        })
    }
}

/// Prints the median, minimum and maximum of each column over the rounds.
fn print_table(instances: u16, lines: &[Line]) {
    println!("{instances} gateways: median (least to most) over the rounds");
    print_head(&["case"], &COLUMNS);
    for case in &CASES {
        let is_of_case = |line: &&Line| line.instances == instances && line.case == case.name;
        let rounds: Vec<_> = lines.iter().filter(is_of_case).collect();
        print_row(&[case.name], &COLUMNS, &rounds);
    }
}
