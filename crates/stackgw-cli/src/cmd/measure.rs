//! `stackgw measure`: what a subsystem costs, on against off in one run.

use clap::{Args, Subcommand};
use serde::Serialize;
use stackgw_testkit::{FleetConfig, FleetMode, GatewayFleet, ReplicaGroup, SessionAudit, Verdict};
use std::path::Path;
use std::time::Duration;

/// Measure what a subsystem costs.
#[derive(Args)]
pub struct Measure {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Sessions across instances: off, always cautious, on without disks, on with disks.
    Sessions(SessionsCost),
    /// Flight SQL: bulk streams against a direct connection, cancels, slow readers, small statements.
    #[cfg(feature = "flight")]
    Flight(super::measure_flight::FlightCost),
    /// Fleets that start at once: what list service and members bear, how soon clients are served.
    Start(super::measure_start::StartCost),
}

#[derive(Args)]
struct SessionsCost {
    /// Fleets of so many gateways.
    #[arg(long, value_delimiter = ',', default_values_t = [2u16, 3, 5])]
    instances: Vec<u16>,
    /// Rounds; each plays every case once.
    #[arg(long, default_value_t = 3)]
    rounds: u64,
    /// Pairs in the busy part of each.
    #[arg(long, default_value_t = 2_000)]
    pairs: u64,
    /// Print each case as a line of JSON.
    #[arg(long)]
    json: bool,
}

const CASES: [(&str, FleetMode, bool, u64); 4] = [
    ("off", FleetMode::LocalSessions, false, 2_000),
    ("cautious", FleetMode::SharedSessions, false, 3_000_000),
    ("on, no disks", FleetMode::SharedSessions, false, 2_000),
    ("on, disks", FleetMode::SharedSessions, true, 2_000),
];

#[derive(Serialize)]
struct Line {
    instances: u16,
    round: u64,
    case: &'static str,
    write_us: [u64; 2],
    read_us: [u64; 2],
    /// Share of the session reads that replicas ran, on a calm day.
    replicas: f64,
    /// Processor time of all gateways for each request, in microseconds.
    cpu_us: f64,
    /// Resident memory of one gateway, in MiB.
    memory_mb: f64,
    misses: u64,
}

impl Measure {
    /// Runs it and prints the figures.
    pub fn run(self) -> Result<(), String> {
        match self.what {
            What::Sessions(cost) => cost.run(),
            #[cfg(feature = "flight")]
            What::Flight(cost) => cost.run(),
            What::Start(cost) => cost.run(),
        }
    }
}

impl SessionsCost {
    fn run(self) -> Result<(), String> {
        let mut lines = Vec::new();
        for instances in &self.instances {
            for round in 0..self.rounds {
                for (case, mode, disks, retention_ms) in CASES {
                    let line = self.case(*instances, round, case, (mode, disks, retention_ms))?;
                    if self.json {
                        println!(
                            "{}",
                            serde_json::to_string(&line).map_err(|e| e.to_string())?
                        );
                    }
                    lines.push(line);
                }
            }
        }
        if !self.json {
            for instances in &self.instances {
                table(*instances, &lines);
            }
        }
        Ok(())
    }

    fn case(
        &self,
        instances: u16,
        round: u64,
        case: &'static str,
        (mode, disks, retention_ms): (FleetMode, bool, u64),
    ) -> Result<Line, String> {
        let folder = std::env::temp_dir().join(format!("stackgw-measure-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let line = self.play(&folder, instances, round, case, (mode, disks, retention_ms));
        let _ = std::fs::remove_dir_all(&folder);
        line
    }

    fn play(
        &self,
        folder: &Path,
        instances: u16,
        round: u64,
        case: &'static str,
        (mode, disks, retention_ms): (FleetMode, bool, u64),
    ) -> Result<Line, String> {
        let (store, agent) = ReplicaGroup::start(&[10, 20]).map_err(|e| e.to_string())?;
        let count = usize::from(instances);
        let gateways = GatewayFleet::start(FleetConfig {
            gateways: count,
            session_replicas: count,
            mode,
            disks,
            retention_ms,
            ..FleetConfig::new(
                std::env::current_exe().map_err(|e| e.to_string())?,
                folder.to_owned(),
                vec![agent],
            )
        })?;
        std::thread::sleep(Duration::from_millis(4_000));
        let seed = round * 1_000 + u64::from(instances) * 10 + 1;
        let trial = SessionAudit {
            clients: 8,
            pairs: self.pairs,
            reads: 3,
            pause: Duration::ZERO,
            roam: false,
            seed,
            troubles: None,
            most: Duration::from_secs(120),
        };
        let cpu = |gateways: &GatewayFleet| {
            (0..count)
                .filter_map(|n| cpu_us(gateways.pid(n)?))
                .sum::<f64>()
        };
        let before = cpu(&gateways);
        let busy: Verdict = trial.run(&store, &gateways, |_| {});
        let spent = cpu(&gateways) - before;
        let requests = busy
            .tally
            .writes
            .iter()
            .chain(&busy.tally.reads)
            .sum::<u64>();
        let calm = SessionAudit {
            clients: 48,
            pairs: 96,
            reads: 5,
            // Away from the second for which a session stays with the primary, so that no chance decides.
            pause: Duration::from_millis(430),
            seed: seed + 1,
            ..trial
        };
        let calm = calm.run(&store, &gateways, |_| {});
        let [primary, replicas] = calm.reads_at;
        let memory = gateways.pid(0).and_then(memory_mb).unwrap_or_default();
        Ok(Line {
            instances,
            round,
            case,
            write_us: busy.write_us,
            read_us: busy.read_us,
            replicas: replicas as f64 / (primary + replicas).max(1) as f64,
            cpu_us: spent / requests.max(1) as f64,
            memory_mb: memory,
            misses: busy.tally.misses + calm.tally.misses,
        })
    }
}

/// The processor time of a process so far, in microseconds; its clock ticks a hundred times a second.
pub(super) fn cpu_us(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, rest) = text.rsplit_once(')')?;
    let fields: Vec<_> = rest.split_whitespace().collect();
    let ticks = |n: usize| fields.get(n)?.parse::<f64>().ok();
    Some((ticks(11)? + ticks(12)?) * 10_000.0)
}

fn memory_mb(pid: u32) -> Option<f64> {
    status_mb(pid, "VmRSS:")
}

/// The most resident memory that a process has had, in MiB.
#[cfg(feature = "flight")]
pub(super) fn peak_mb(pid: u32) -> Option<f64> {
    status_mb(pid, "VmHWM:")
}

fn status_mb(pid: u32, name: &str) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim()
        .strip_suffix(" kB")?
        .trim()
        .parse::<f64>()
        .ok()
        .map(|kb| kb / 1_024.0)
}

/// The median of figures, with the least and the most.
pub(super) fn spread(figures: impl Iterator<Item = f64>, digits: usize) -> String {
    let mut figures: Vec<_> = figures.collect();
    figures.sort_by(f64::total_cmp);
    let at = |n: usize| match figures.get(n).copied().unwrap_or_default() {
        figure if figure.is_finite() => format!("{figure:.digits$}"),
        _ => "never".to_owned(),
    };
    let last = figures.len().saturating_sub(1);
    format!("{} ({} to {})", at(last / 2), at(0), at(last))
}

/// Medians over the rounds, with the least and the most.
fn table(instances: u16, lines: &[Line]) {
    println!("{instances} gateways: median (least to most) over the rounds");
    println!("| case | write p50 us | write p99 us | read p50 us | read p99 us | by replicas | cpu us a request | MiB | misses |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (case, ..) in CASES {
        let of = |figure: &dyn Fn(&Line) -> f64, digits: usize| {
            let rounds = lines
                .iter()
                .filter(|line| (line.instances, line.case) == (instances, case));
            spread(rounds.map(figure), digits)
        };
        println!(
            "| {case} | {} | {} | {} | {} | {} | {} | {} | {} |",
            of(&|l| l.write_us[0] as f64, 0),
            of(&|l| l.write_us[1] as f64, 0),
            of(&|l| l.read_us[0] as f64, 0),
            of(&|l| l.read_us[1] as f64, 0),
            of(&|l| l.replicas, 3),
            of(&|l| l.cpu_us, 0),
            of(&|l| l.memory_mb, 1),
            of(&|l| l.misses as f64, 0),
        );
    }
}
