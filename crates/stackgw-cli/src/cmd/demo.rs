//! `stackgw demo`: gateways are killed between writes and reads on loopback, and the audit says what sessions saw.

use crate::error::CommandResult;
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use stackgw_testkit::measure::cold_start::{
    BootstrapChoice, ColdStartPlan, PhaseReport, DEFAULT_HANDSHAKE_FRACTION,
};
use stackgw_testkit::{
    run_audit, AuditPlan, Faults, FleetConfig, FleetMode, GatewayFleet, GroupConfig, Protocol,
    ReplicaGroup, RequestCounts, Verdict, GROUP,
};
use std::path::Path;
use std::time::Duration;

/// Fewer gateways than this are no fleet.
const MIN_FLEET: u16 = 3;

/// Requests a second at all gateways of a fleet that starts together.
const FLEET_LOAD: f64 = 300.0;

/// Stand-ins, gateways and clients on loopback; gateways are killed.
#[derive(Args)]
pub struct Demo {
    /// Gateways.
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
    /// Runs the demo and prints the verdict.
    ///
    /// # Errors
    /// Where a read missed its write, or a request was lost or ran twice.
    pub fn run(self) -> CommandResult {
        if self.start {
            return self.show_cold_start();
        }
        let name = format!("stackgw-demo-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let verdict = self.audit(&folder);
        // A bad verdict leaves the logs for whoever looks into it.
        let leaves_logs = verdict
            .as_ref()
            .is_ok_and(|verdict| !verdict.is_good() && !self.off);
        if !leaves_logs {
            let _ = std::fs::remove_dir_all(&folder);
        }
        let verdict = verdict?;
        if self.json {
            println!("{}", serde_json::to_string(&verdict)?);
        } else {
            print_verdict(&verdict);
        }
        if verdict.is_good() {
            Ok(())
        } else if self.off {
            Err("sessions missed their writes, as they do where marks are not shared".into())
        } else {
            let folder = folder.display();
            Err(format!("the audit found faults; the logs are in {folder}").into())
        }
    }

    /// Plays a fleet's cold start, and prints of each phase what it cost.
    fn show_cold_start(&self) -> CommandResult {
        let fleet = usize::from(self.gateways.max(MIN_FLEET));
        println!("{fleet} gateways, three members, one list service; each part lasts ten seconds");
        let plan = ColdStartPlan {
            program: std::env::current_exe()?,
            fleet,
            bootstrap: Some(BootstrapChoice {
                has_cluster: true,
                handshake_fraction: Some(DEFAULT_HANDSHAKE_FRACTION),
            }),
            load: FLEET_LOAD,
            seed: self.seed,
            kept_folder: None,
        };
        let report = plan.run(print_phase)?;
        if self.json {
            println!("{}", serde_json::to_string(&report)?);
        }
        let faults_of = |phase: &&PhaseReport| phase.faults + phase.member_load.collapses;
        match report.phases().iter().map(faults_of).sum::<u64>() {
            0 => Ok(()),
            faults => Err(format!("{faults} requests or members were broken").into()),
        }
    }

    /// Audits sessions while gateways are killed.
    fn audit(&self, folder: &Path) -> CommandResult<Verdict> {
        let group = ReplicaGroup::start_with(GroupConfig {
            protocol: self.member_protocol(),
            ..GroupConfig::new(&self.lag_ms)
        })?;
        let gateways = GatewayFleet::start(self.fleet_config(&group, folder)?)?;
        if self.kill_every_ms == 0 && !self.off {
            // A calm run is to show what it is like once all are sure of each other.
            let settle_ms = self.horizon_ms + 3 * self.lease_ms;
            std::thread::sleep(Duration::from_millis(settle_ms));
        }
        let bar = self.progress_bar();
        let verdict = run_audit(&self.audit_plan(), &group, &gateways, |counts| {
            bar.set_position(counts.pairs.min(self.pairs));
            bar.set_message(format!("{} misses", counts.misses));
        });
        bar.finish_and_clear();
        if self.hold {
            hold(&gateways);
        }
        Ok(verdict)
    }

    fn fleet_config(&self, group: &ReplicaGroup, folder: &Path) -> CommandResult<FleetConfig> {
        let gateways = usize::from(self.gateways);
        let session_replicas = usize::from(self.keepers.unwrap_or(self.gateways));
        let lists = vec![group.list_address()];
        Ok(FleetConfig {
            gateways,
            session_replicas: session_replicas.clamp(1, gateways),
            mode: if self.off {
                FleetMode::LocalSessions
            } else {
                FleetMode::SharedSessions
            },
            has_disks: !self.no_disks,
            lease_ms: self.lease_ms,
            retention_ms: self.horizon_ms,
            has_relays: true,
            has_flight_sql: self.has_flight_sql(),
            member_protocol: self.member_protocol(),
            ..FleetConfig::new(std::env::current_exe()?, folder.to_owned(), lists)
        })
    }

    #[cfg(feature = "flight")]
    fn has_flight_sql(&self) -> bool {
        self.flight
    }

    #[cfg(not(feature = "flight"))]
    fn has_flight_sql(&self) -> bool {
        false
    }

    fn member_protocol(&self) -> Protocol {
        #[cfg(feature = "flight")]
        if self.flight {
            return Protocol::FlightSql;
        }
        Protocol::Postgres
    }

    fn audit_plan(&self) -> AuditPlan {
        let two_leases = Duration::from_millis(self.lease_ms * 2);
        let faults = Faults {
            kill_interval: Duration::from_millis(self.kill_every_ms.max(1)),
            kill_all: true,
            delete_disks: true,
            pause: Some(two_leases),
            slow_replica: true,
            partition: Some(two_leases),
        };
        AuditPlan {
            clients: usize::from(self.clients),
            pairs: self.pairs,
            later_reads: self.reads,
            read_pause: Duration::from_millis(self.pause_ms),
            roam: true,
            seed: self.seed,
            faults: (self.kill_every_ms > 0).then_some(faults),
            time_limit: Duration::from_secs(self.most_s),
        }
    }

    fn progress_bar(&self) -> ProgressBar {
        if self.json {
            return ProgressBar::hidden();
        }
        let bar = ProgressBar::new(self.pairs);
        if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} pairs, {msg}") {
            bar.set_style(style);
        }
        bar
    }
}

fn print_phase(name: &'static str, phase: &PhaseReport) {
    let ready = match phase.ready_ms {
        Some(ms) => format!("after {ms} ms"),
        None => "never".to_owned(),
    };
    println!(
        "{name}: {} list asks ({} in the worst 100 ms), ready {ready}, {:.1}% served in time, {} handshakes, \
         cold members at {:.0}% of what they fall at",
        phase.polls.total,
        phase.polls.peak,
        phase.served_fraction * 100.0,
        phase.member_load.handshakes,
        phase.member_load.peak_overload * 100.0
    );
}

/// Says where the gateways listen, and waits until standard input ends.
fn hold(gateways: &GatewayFleet) {
    for index in 0..gateways.len() {
        let address = match gateways.address(index) {
            Some(address) => address.to_string(),
            None => "not there".to_owned(),
        };
        let flight = match gateways.flight_address(index) {
            Some(address) => format!(", flight sql at {address}"),
            None => String::new(),
        };
        println!("g{index}: listens at {address}{flight}");
    }
    println!("classes look, mine and buy; group {GROUP}; the end of standard input ends it");
    let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
}

fn print_verdict(verdict: &Verdict) {
    let counts = &verdict.counts;
    println!(
        "{} write-read pairs in {:.1} s, {} kills, seed {}",
        counts.pairs, verdict.seconds, verdict.kills, verdict.seed
    );
    println!(
        "writes: {}; 50% within {} us, 99% within {} us",
        describe(&counts.writes),
        verdict.write_us.p50,
        verdict.write_us.p99
    );
    println!(
        "reads: {}; 50% within {} us, 99% within {} us",
        describe(&counts.reads),
        verdict.read_us.p50,
        verdict.read_us.p99
    );
    let by_replicas = 100.0 * verdict.reads_by_role.replica_fraction();
    println!("reads run by replicas: {by_replicas:.1}%");
    println!(
        "missed own write {}, no answer {}, two answers {}, doubled writes {}, refused but run {}, served but never run {}",
        counts.misses,
        counts.unanswered,
        counts.duplicate_replies,
        verdict.duplicate_writes,
        verdict.rejected_but_executed,
        verdict.served_but_not_executed
    );
    for miss in &verdict.first_misses {
        println!("  {miss}");
    }
    println!(
        "verdict: {}",
        if verdict.is_good() { "good" } else { "bad" }
    );
}

fn describe(counts: &RequestCounts) -> String {
    let RequestCounts {
        served,
        rejected,
        failed,
        disconnected,
    } = counts;
    format!("{served} served, {rejected} refused, {failed} failed, {disconnected} cut by kills")
}
