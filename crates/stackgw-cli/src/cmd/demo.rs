//! `stackgw demo`: gateways are killed between writes and reads on loopback, and the audit says what sessions saw.

use super::measure_start::{play, Way, OPENS_USE};
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use stackgw_testkit::{
    Faults, FleetConfig, FleetMode, GatewayFleet, Protocol, ReplicaGroup, SessionAudit, Verdict,
    GROUP,
};
use std::time::Duration;

/// Stand-ins, gateways and clients on loopback; gateways are killed.
#[derive(Args)]
pub struct Demo {
    /// GatewayFleet.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=16))]
    gateways: u16,
    /// So many of them keep marks; all, unless said otherwise.
    #[arg(long)]
    keepers: Option<u16>,
    /// Write-read pairs to be completed.
    #[arg(long, default_value_t = 500)]
    pairs: u64,
    /// Clients at once.
    #[arg(long, default_value_t = 8)]
    clients: u16,
    /// Further reads after each pair, at leisure.
    #[arg(long, default_value_t = 2)]
    reads: u32,
    /// The pause before each of those, in milliseconds.
    #[arg(long, default_value_t = 40)]
    pause_ms: u64,
    /// A gateway is killed and started anew this often, in milliseconds; 0: never.
    #[arg(long, default_value_t = 700)]
    kill_every_ms: u64,
    /// How far the replicas are behind, in milliseconds.
    #[arg(long, value_delimiter = ',', default_values_t = [30, 400])]
    lag_ms: Vec<u64>,
    /// The lease, in milliseconds.
    #[arg(long, default_value_t = 400)]
    lease_ms: u64,
    /// The horizon, in milliseconds.
    #[arg(long, default_value_t = 5_000)]
    horizon_ms: u64,
    /// Keepers have no disks.
    #[arg(long)]
    no_disks: bool,
    /// Sessions are not shared: shows what is missed without.
    #[arg(long)]
    off: bool,
    /// The members speak Arrow Flight SQL, and the gateways offer it beside the first protocol.
    #[cfg(feature = "flight")]
    #[arg(long, conflicts_with = "off")]
    flight: bool,
    /// Instead, a fleet that starts all at once, without its list service, and before cold members.
    #[arg(long, conflicts_with = "off")]
    start: bool,
    /// Afterwards say where the gateways listen and go on until standard input ends.
    #[arg(long)]
    hold: bool,
    /// For the choices by chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Give up after so many seconds.
    #[arg(long, default_value_t = 600)]
    most_s: u64,
    /// Print the verdict as JSON.
    #[arg(long)]
    json: bool,
}

impl Demo {
    /// Runs it and prints the verdict; an error where a read missed its write, or a request was lost or doubled.
    pub fn run(self) -> Result<(), String> {
        if self.start {
            return self.show_start();
        }
        let folder = std::env::temp_dir().join(format!("stackgw-demo-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let verdict = self.play(&folder);
        // A verdict that is bad leaves the logs for whoever looks into it.
        let keep = verdict
            .as_ref()
            .is_ok_and(|verdict| !verdict.good() && !self.off);
        if !keep {
            let _ = std::fs::remove_dir_all(&folder);
        }
        let verdict = verdict?;
        if self.json {
            println!(
                "{}",
                serde_json::to_string(&verdict).map_err(|e| e.to_string())?
            );
        } else {
            print(&verdict);
        }
        match verdict.good() {
            true => Ok(()),
            false if self.off => Err(
                "sessions missed their writes, as they do where marks are not shared".to_owned(),
            ),
            false => Err(format!(
                "the audit found faults; the logs are in {}",
                folder.display()
            )),
        }
    }

    /// Plays a fleet's cold start and says of each part what it cost.
    fn show_start(&self) -> Result<(), String> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let fleet = usize::from(self.gateways.max(3));
        println!("{fleet} gateways, three members, one list service; each part lasts ten seconds");
        let said = |name: &'static str, part: &stackgw_testkit::PhaseReport| {
            let ready = part
                .ready_ms
                .map_or("never".to_owned(), |ms| format!("after {ms} ms"));
            println!(
                "{name}: {} list asks ({} in the worst 100 ms), ready {ready}, {:.1}% served in time, {} handshakes, \
                 cold members at {:.0}% of what they fall at",
                part.asks.all, part.asks.worst, part.worth * 100.0, part.burden.handshakes, part.burden.cold * 100.0
            );
        };
        let way = Way {
            cluster: true,
            opens: Some(OPENS_USE),
        };
        let line = play(program, fleet, Some(way), 300.0, self.seed, None, said)?;
        if self.json {
            println!(
                "{}",
                serde_json::to_string(&line).map_err(|e| e.to_string())?
            );
        }
        let broken: u64 = line
            .parts()
            .iter()
            .map(|part| part.broken + part.burden.fell)
            .sum();
        (broken == 0)
            .then_some(())
            .ok_or_else(|| format!("{broken} requests or members were broken"))
    }

    fn play(&self, folder: &std::path::Path) -> Result<Verdict, String> {
        #[cfg(feature = "flight")]
        let (flight, speaks) = (
            self.flight,
            if self.flight {
                Protocol::FlightSql
            } else {
                Protocol::Postgres
            },
        );
        #[cfg(not(feature = "flight"))]
        let (flight, speaks) = (false, Protocol::Postgres);
        let (store, agent) =
            ReplicaGroup::start_speaking(&self.lag_ms, speaks).map_err(|e| e.to_string())?;
        let gateways = usize::from(self.gateways);
        let keepers = usize::from(self.keepers.unwrap_or(self.gateways)).clamp(1, gateways);
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let gateways = GatewayFleet::start(FleetConfig {
            gateways,
            session_replicas: keepers,
            mode: if self.off {
                FleetMode::LocalSessions
            } else {
                FleetMode::SharedSessions
            },
            disks: !self.no_disks,
            lease_ms: self.lease_ms,
            retention_ms: self.horizon_ms,
            relays: true,
            flight,
            speaks,
            ..FleetConfig::new(program, folder.to_owned(), vec![agent])
        })?;
        if self.kill_every_ms == 0 && !self.off {
            // A calm run is to show what it is like once all are sure of each other.
            std::thread::sleep(Duration::from_millis(self.horizon_ms + 3 * self.lease_ms));
        }
        let troubles = Faults {
            kill_every: Duration::from_millis(self.kill_every_ms.max(1)),
            all: true,
            disks: true,
            pause: Some(Duration::from_millis(self.lease_ms * 2)),
            slow: true,
            cut: Some(Duration::from_millis(self.lease_ms * 2)),
        };
        let trial = SessionAudit {
            clients: usize::from(self.clients),
            pairs: self.pairs,
            reads: self.reads,
            pause: Duration::from_millis(self.pause_ms),
            roam: true,
            seed: self.seed,
            troubles: (self.kill_every_ms > 0).then_some(troubles),
            most: Duration::from_secs(self.most_s),
        };
        let bar = if self.json {
            ProgressBar::hidden()
        } else {
            ProgressBar::new(self.pairs)
        };
        if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} pairs, {msg}") {
            bar.set_style(style);
        }
        let verdict = trial.run(&store, &gateways, |tally| {
            bar.set_position(tally.pairs.min(self.pairs));
            bar.set_message(format!("{} misses", tally.misses));
        });
        bar.finish_and_clear();
        if self.hold {
            hold(&gateways);
        }
        Ok(verdict)
    }
}

/// Says where the gateways listen, and waits until standard input ends.
fn hold(gateways: &GatewayFleet) {
    for n in 0..gateways.len() {
        let at = |at: Option<std::net::SocketAddr>| {
            at.map_or("not there".to_owned(), |at| at.to_string())
        };
        let flight = gateways
            .flight(n)
            .map(|at| format!(", flight sql at {at}"))
            .unwrap_or_default();
        println!("g{n}: listens at {}{flight}", at(gateways.address(n)));
    }
    println!("classes look, mine and buy; group {GROUP}; the end of standard input ends it");
    let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
}

fn print(verdict: &Verdict) {
    let tally = &verdict.tally;
    let [primary, replicas] = verdict.reads_at;
    let share = 100.0 * replicas as f64 / (primary + replicas).max(1) as f64;
    let ends = |of: &[u64; 4]| {
        format!(
            "{} served, {} refused, {} failed, {} cut by kills",
            of[0], of[1], of[2], of[3]
        )
    };
    println!(
        "{} write-read pairs in {:.1} s, {} kills, seed {}",
        tally.pairs, verdict.seconds, verdict.kills, verdict.seed
    );
    println!(
        "writes: {}; 50% within {} us, 99% within {} us",
        ends(&tally.writes),
        verdict.write_us[0],
        verdict.write_us[1]
    );
    println!(
        "reads: {}; 50% within {} us, 99% within {} us",
        ends(&tally.reads),
        verdict.read_us[0],
        verdict.read_us[1]
    );
    println!("reads run by replicas: {share:.1}%");
    println!(
        "missed own write {}, no answer {}, two answers {}, doubled writes {}, refused but run {}, served but never run {}",
        tally.misses, tally.lost, tally.twice, verdict.doubled, verdict.refused_and_ran, verdict.served_and_never_ran
    );
    for miss in &verdict.first_misses {
        println!("  {miss}");
    }
    println!("verdict: {}", if verdict.good() { "good" } else { "bad" });
}
