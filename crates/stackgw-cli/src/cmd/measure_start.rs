//! `stackgw measure start`: a fleet of real processes that starts at once, with and without its list service.

use super::measure::spread;
use clap::Args;
use stackgw_testkit::{BootstrapConfig, ColdStart, ColdStartReport, PhaseReport, PHASE_NAMES};
use std::path::PathBuf;

/// Fleets that start at once: what list service and members bear, how soon clients are served.
#[derive(Args)]
pub struct StartCost {
    /// Fleets of so many gateways.
    #[arg(long, value_delimiter = ',', default_values_t = [100u16, 200, 300])]
    gateways: Vec<u16>,
    /// Which ways to come to know the list are measured.
    #[arg(long, value_delimiter = ',', default_values_t = ["off".to_owned(), "alone".to_owned(), "cluster".to_owned()])]
    cases: Vec<String>,
    /// An earlier version of this program, measured as the case `before`.
    #[arg(long)]
    before: Option<PathBuf>,
    /// Requests a second at all gateways together; the members can do twice as many, warm.
    #[arg(long, default_value_t = 600.0)]
    load: f64,
    /// Rounds; each plays every case once.
    #[arg(long, default_value_t = 3)]
    rounds: u64,
    /// PhaseReport of what a cold member can do that handshakes may take, where connections are dealt.
    #[arg(long, default_value_t = OPENS_USE)]
    opens: f64,
    /// For the choices by chance; each round takes the next one.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print each case as a line of JSON.
    #[arg(long)]
    json: bool,
    /// Keep the gateways' files and logs here, with their counters after each part.
    #[arg(long)]
    logs: Option<PathBuf>,
}

/// Seconds of its fleet's asking that the list service bears in one.
const SERVICE_SIZE: f64 = 1.5;
/// Unless it is asked for.
pub const OPENS_USE: f64 = 0.4;

/// How a measured fleet comes to know the list, where not as the platform has it.
#[derive(Clone, Copy)]
pub struct Way {
    /// GatewayFleet tell each other.
    pub cluster: bool,
    /// PhaseReport of what a cold member can do that handshakes may take; `None`: connections are not dealt.
    pub opens: Option<f64>,
}

impl StartCost {
    /// Runs it and prints the figures.
    pub fn run(&self) -> Result<(), String> {
        let mut cases = self.cases.clone();
        if self.before.is_some() {
            cases.insert(0, "before".to_owned());
        }
        for fleet in &self.gateways {
            let mut lines = Vec::new();
            for round in 0..self.rounds {
                for case in &cases {
                    let line = self.case(usize::from(*fleet), case, self.seed + round)?;
                    if self.json {
                        let value = serde_json::json!({"case": case, "seed": self.seed + round, "line": line});
                        println!("{value}");
                    }
                    lines.push((case.clone(), line));
                }
            }
            if !self.json {
                table(*fleet, &cases, &lines);
            }
        }
        Ok(())
    }

    fn case(&self, fleet: usize, case: &str, seed: u64) -> Result<ColdStartReport, String> {
        let program = match (&self.before, case) {
            (Some(before), "before") => before.clone(),
            _ => std::env::current_exe().map_err(|e| e.to_string())?,
        };
        let dealt = Some(self.opens);
        let way = match case {
            "before" | "off" => None,
            "alone" => Some(Way {
                cluster: false,
                opens: dealt,
            }),
            "undealt" => Some(Way {
                cluster: true,
                opens: None,
            }),
            "cluster" => Some(Way {
                cluster: true,
                opens: dealt,
            }),
            other => {
                return Err(format!(
                    "cases: '{other}' is none of off, alone, undealt, cluster"
                ))
            }
        };
        let logs = self
            .logs
            .as_ref()
            .map(|logs| logs.join(format!("{case}-{fleet}-{seed}")));
        play(program, fleet, way, self.load, seed, logs, |_, _| {})
    }
}

/// Plays one fleet in a folder of its own, which is kept where it is named.
pub fn play(
    program: PathBuf,
    fleet: usize,
    way: Option<Way>,
    load: f64,
    seed: u64,
    kept: Option<PathBuf>,
    told: impl FnMut(&'static str, &PhaseReport),
) -> Result<ColdStartReport, String> {
    let keep = kept.is_some();
    let folder = kept.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("stackgw-bootstrap-{}-{fleet}", std::process::id()))
    });
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let bears = fleet as f64 / SERVICE_SIZE;
    let (rate, member) = (load / fleet as f64, load * 2.0 / 3.0);
    let start = way.map(|Way { cluster, opens }| {
        let mut lines = vec![
            format!("bears: {}", bears.ceil() as u64),
            "list: \"{folder}/g{n}.list\"".to_owned(),
        ];
        lines.extend(opens.map(|share| format!("opens: {}", ColdStart::opens(member, share))));
        BootstrapConfig { cluster, lines }
    });
    let cold = ColdStart {
        program,
        folder: folder.clone(),
        fleet,
        start,
        bears,
        rate,
        member,
        seed,
    };
    let line = cold.play(told);
    if !keep {
        let _ = std::fs::remove_dir_all(&folder);
    }
    line
}

/// Medians over the rounds, with the least and the most.
fn table(fleet: u16, cases: &[String], lines: &[(String, ColdStartReport)]) {
    println!("{fleet} gateways: median (least to most) over the rounds");
    println!("| case | part | list asks | in the worst 100 ms | refused | 99% ready, ms | served in time | in the first 5 s | members could | answered | handshakes | at one in its worst 100 ms | cold, of what it falls at | fell | broken |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for case in cases {
        for (n, name) in PHASE_NAMES.iter().enumerate() {
            let of = |figure: &dyn Fn(&PhaseReport) -> f64, digits: usize| {
                let rounds = lines.iter().filter(|(c, _)| c == case);
                spread(rounds.map(|(_, line)| figure(line.parts()[n])), digits)
            };
            println!(
                "| {case} | {name} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
                of(&|p| p.asks.all as f64, 0),
                of(&|p| p.asks.worst as f64, 0),
                of(&|p| p.asks.refused as f64, 0),
                of(&|p| p.ready_ms.map_or(f64::INFINITY, |ms| ms as f64), 0),
                of(&|p| p.worth, 3),
                of(&|p| p.worth_first, 3),
                of(&|p| p.could[1], 3),
                of(&|p| p.answered, 3),
                of(&|p| p.burden.handshakes as f64, 0),
                of(&|p| p.burden.worst_handshakes as f64, 0),
                of(&|p| p.burden.cold, 2),
                of(&|p| p.burden.fell as f64, 0),
                of(&|p| p.broken as f64, 0),
            );
        }
    }
}
