//! `stackgw measure start`: a fleet of real processes that all start at once, with and without the list service.

use super::table::{print_head, print_row, Column};
use crate::error::CommandResult;
use clap::Args;
use stackgw_testkit::measure::cold_start::{
    BootstrapChoice, ColdStartPlan, ColdStartReport, PhaseReport, DEFAULT_HANDSHAKE_FRACTION,
    PHASE_NAMES,
};
use std::path::PathBuf;

/// Fleets that start all at once: the load on the list service and members, and the time until clients are served.
#[derive(Args)]
pub struct StartCost {
    /// Fleet sizes, in gateways.
    #[arg(long, value_delimiter = ',', default_values_t = [100u16, 200, 300])]
    gateways: Vec<u16>,
    /// Cases to measure. off: gateways have the platform's configuration alone; alone: they also have bootstrap settings; cluster:
    /// they also form a cluster; undealt: as cluster, but connections to members are not paced.
    #[arg(long, value_delimiter = ',', default_values_t = ["off".to_owned(), "alone".to_owned(), "cluster".to_owned()])]
    cases: Vec<String>,
    /// An earlier build of this program, measured as the case `before` with the configuration of the case off.
    #[arg(long)]
    before: Option<PathBuf>,
    /// Requests per second over all gateways; the members' warm capacity is twice this.
    #[arg(long, default_value_t = 600.0)]
    load: f64,
    /// Number of rounds; each round runs every case once.
    #[arg(long, default_value_t = 3)]
    rounds: u64,
    /// Fraction of a cold member's capacity that handshakes may use, in the cases alone and cluster.
    #[arg(long, default_value_t = DEFAULT_HANDSHAKE_FRACTION)]
    opens: f64,
    /// Seed of all random choices; incremented for each round.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print each case as a line of JSON.
    #[arg(long)]
    json: bool,
    /// Keep the gateways' files and logs in this directory, with their counters after each phase.
    #[arg(long)]
    logs: Option<PathBuf>,
}

/// One case in one round.
struct Round {
    case: String,
    report: ColdStartReport,
}

const COLUMNS: [Column<PhaseReport>; 13] = [
    Column {
        heading: "list asks",
        value: |phase| phase.polls.total as f64,
        digits: 0,
    },
    Column {
        heading: "in the worst 100 ms",
        value: |phase| phase.polls.peak as f64,
        digits: 0,
    },
    Column {
        heading: "refused",
        value: |phase| phase.polls.rejected as f64,
        digits: 0,
    },
    Column {
        heading: "99% ready, ms",
        value: |phase| phase.ready_ms.map_or(f64::INFINITY, |ms| ms as f64),
        digits: 0,
    },
    Column {
        heading: "served in time",
        value: |phase| phase.served_fraction,
        digits: 3,
    },
    Column {
        heading: "in the first 5 s",
        value: |phase| phase.served_fraction_first,
        digits: 3,
    },
    Column {
        heading: "members could",
        value: |phase| phase.attainable.first_seconds,
        digits: 3,
    },
    Column {
        heading: "answered",
        value: |phase| phase.answered_fraction,
        digits: 3,
    },
    Column {
        heading: "handshakes",
        value: |phase| phase.member_load.handshakes as f64,
        digits: 0,
    },
    Column {
        heading: "at one in its worst 100 ms",
        value: |phase| phase.member_load.peak_handshakes as f64,
        digits: 0,
    },
    Column {
        heading: "cold, of what it falls at",
        value: |phase| phase.member_load.peak_overload,
        digits: 2,
    },
    Column {
        heading: "fell",
        value: |phase| phase.member_load.collapses as f64,
        digits: 0,
    },
    Column {
        heading: "broken",
        value: |phase| phase.faults as f64,
        digits: 0,
    },
];

impl StartCost {
    pub(super) fn run(&self) -> CommandResult {
        let mut cases = self.cases.clone();
        if self.before.is_some() {
            cases.insert(0, "before".to_owned());
        }
        for fleet in &self.gateways {
            let rounds = self.measure_rounds(usize::from(*fleet), &cases)?;
            if !self.json {
                print_table(*fleet, &cases, &rounds);
            }
        }
        Ok(())
    }

    /// Measures all rounds of a fleet; with JSON output each case is printed when it ends.
    fn measure_rounds(&self, fleet: usize, cases: &[String]) -> CommandResult<Vec<Round>> {
        let mut rounds = Vec::new();
        for round in 0..self.rounds {
            let seed = self.seed + round;
            for case in cases {
                let report = self.plan(fleet, case, seed)?.run(|_, _| {})?;
                if self.json {
                    let line = serde_json::json!({"case": case, "seed": seed, "line": report});
                    println!("{line}");
                }
                let case = case.clone();
                rounds.push(Round { case, report });
            }
        }
        Ok(rounds)
    }

    fn plan(&self, fleet: usize, case: &str, seed: u64) -> CommandResult<ColdStartPlan> {
        let program = match (&self.before, case) {
            (Some(before), "before") => before.clone(),
            _ => std::env::current_exe()?,
        };
        let folder = format!("{case}-{fleet}-{seed}");
        Ok(ColdStartPlan {
            program,
            fleet,
            bootstrap: self.bootstrap(case)?,
            load: self.load,
            seed,
            kept_folder: self.logs.as_ref().map(|logs| logs.join(folder)),
        })
    }

    fn bootstrap(&self, case: &str) -> CommandResult<Option<BootstrapChoice>> {
        let paced = Some(self.opens);
        let choice = |has_cluster, handshake_fraction| {
            Ok(Some(BootstrapChoice {
                has_cluster,
                handshake_fraction,
            }))
        };
        match case {
            "before" | "off" => Ok(None),
            "alone" => choice(false, paced),
            "undealt" => choice(true, None),
            "cluster" => choice(true, paced),
            other => {
                Err(format!("cases: '{other}' is not one of off, alone, undealt, cluster").into())
            }
        }
    }
}

/// Prints the median, minimum and maximum of each column over the rounds.
fn print_table(fleet: u16, cases: &[String], rounds: &[Round]) {
    println!("{fleet} gateways: median (least to most) over the rounds");
    print_head(&["case", "part"], &COLUMNS);
    for case in cases {
        for (phase, name) in PHASE_NAMES.iter().enumerate() {
            let rounds = rounds.iter().filter(|round| round.case == *case);
            let phases: Vec<_> = rounds.map(|round| round.report.phases()[phase]).collect();
            print_row(&[case, name], &COLUMNS, &phases);
        }
    }
}
