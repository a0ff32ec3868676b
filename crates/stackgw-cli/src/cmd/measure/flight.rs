//! `stackgw measure flight`: the cost of Flight SQL through a gateway, compared with a direct connection and the PostgreSQL
//! protocol.

use super::table::median_and_range;
use crate::error::CommandResult;
use clap::Args;
use serde::Serialize;
use stackgw_testkit::measure::flight::FlightRig;
use stackgw_testkit::Protocol;

/// Flight SQL: bulk streams compared with a direct connection, cancellation, slow readers, small statements.
#[derive(Args)]
pub struct FlightCost {
    /// Number of rounds; each round runs every case once.
    #[arg(long, default_value_t = 3)]
    rounds: u64,
    /// Size of each bulk stream, in MiB.
    #[arg(long, default_value_t = 512)]
    mib: u64,
    /// Batch sizes, in KiB.
    #[arg(long, value_delimiter = ',', default_values_t = [64u64, 256, 1_024])]
    batch_kib: Vec<u64>,
    /// Number of small statements per case.
    #[arg(long, default_value_t = 4_000)]
    statements: u64,
    /// Number of stalled readers in the memory measurement.
    #[arg(long, default_value_t = 100)]
    slow: usize,
    /// Print each figure as a line of JSON.
    #[arg(long)]
    json: bool,
}

/// One figure of one round: a line of the JSON output.
#[derive(Serialize)]
struct Line {
    round: u64,
    case: String,
    /// The unit of the value.
    figure: &'static str,
    value: f64,
}

/// The figures measured so far.
struct Figures {
    round: u64,
    is_json: bool,
    lines: Vec<Line>,
}

impl Figures {
    /// Adds a figure of the current round; with JSON output it is printed immediately.
    fn add(&mut self, case: String, figure: &'static str, value: f64) {
        let round = self.round;
        let line = Line {
            round,
            case,
            figure,
            value,
        };
        if self.is_json {
            println!("{}", serde_json::to_string(&line).unwrap_or_default());
        }
        self.lines.push(line);
    }
}

impl FlightCost {
    pub(super) fn run(self) -> CommandResult {
        let mut figures = Figures {
            round: 0,
            is_json: self.json,
            lines: Vec::new(),
        };
        for round in 0..self.rounds {
            figures.round = round;
            self.measure_streams(&mut figures)?;
            self.measure_statements(&mut figures)?;
        }
        if !self.json {
            print_table(&figures.lines);
        }
        Ok(())
    }

    /// Measures streams, cancellation and memory, with members that speak Flight SQL.
    fn measure_streams(&self, figures: &mut Figures) -> CommandResult {
        let mut rig = FlightRig::start(std::env::current_exe()?, Protocol::FlightSql)?;
        for kib in &self.batch_kib {
            let rates = rig.bulk_rates(self.mib, *kib)?;
            let ratio = rates.through_gateway / rates.direct;
            figures.add(format!("{kib} KiB, direct"), "MiB/s", rates.direct);
            figures.add(
                format!("{kib} KiB, through"),
                "MiB/s",
                rates.through_gateway,
            );
            figures.add(format!("{kib} KiB, through over direct"), "ratio", ratio);
        }
        let cancel_ms = rig.cancel_time()?.as_secs_f64() * 1_000.0;
        figures.add("cancel to stop".to_owned(), "ms", cancel_ms);
        let memory = rig.peak_memory_mib(self.slow)?;
        figures.add(format!("{} slow readers, peak", self.slow), "MiB", memory);
        Ok(())
    }

    /// Measures small statements, with members that speak the PostgreSQL protocol.
    fn measure_statements(&self, figures: &mut Figures) -> CommandResult {
        const FIGURE: &str = "per CPU second";
        let mut rig = FlightRig::start(std::env::current_exe()?, Protocol::Postgres)?;
        let postgres = rig.postgres_statement_rate(self.statements)?;
        let flight = rig.flight_statement_rate(self.statements)?;
        figures.add(
            "small statements, first protocol".to_owned(),
            FIGURE,
            postgres,
        );
        figures.add("small statements, Flight SQL".to_owned(), FIGURE, flight);
        Ok(())
    }
}

/// Prints the median, minimum and maximum of each figure over the rounds.
fn print_table(lines: &[Line]) {
    println!("| case | figure | median (least to most) |");
    println!("| --- | --- | --- |");
    let mut printed = Vec::new();
    for Line { case, figure, .. } in lines {
        if printed.contains(&(case, figure)) {
            continue;
        }
        printed.push((case, figure));
        let rounds = lines
            .iter()
            .filter(|line| line.case == *case && line.figure == *figure);
        let values = rounds.map(|line| line.value);
        println!("| {case} | {figure} | {} |", median_and_range(values, 2));
    }
}
