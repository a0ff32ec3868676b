//! `stackgw demo`: runs members, gateways and clients on loopback.
//!
//! By default it injects faults between writes and reads (gateways are killed, paused, partitioned or lose their stores, a
//! replica becomes slow) and audits session consistency. With `--start` it measures cold starts of the fleet instead.

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

/// The smallest fleet of the cold start demo.
const MIN_FLEET: u16 = 3;

/// Requests per second over all gateways of the cold start demo.
const FLEET_LOAD: f64 = 300.0;

/// Run fake members, gateways and clients on loopback, inject faults, and audit session consistency.
#[derive(Args)]
pub struct Demo {
    /// Number of gateways.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=16))]
    gateways: u16,
    /// Number of gateways that are session replicas, from 1 to all of them; by default all.
    #[arg(long)]
    keepers: Option<u16>,
    /// Write-read pairs to complete.
    #[arg(long, default_value_t = 500)]
    pairs: u64,
    /// Number of concurrent clients.
    #[arg(long, default_value_t = 8)]
    clients: u16,
    /// Further reads after each pair.
    #[arg(long, default_value_t = 2)]
    reads: u32,
    /// Pause before each further read, in milliseconds.
    #[arg(long, default_value_t = 40)]
    pause_ms: u64,
    /// Pause before each injected fault, in milliseconds; 0 disables all faults. About half of the faults kill and restart one
    /// gateway; the others kill all gateways, pause or partition one, or slow down a replica.
    #[arg(long, default_value_t = 700)]
    kill_every_ms: u64,
    /// Replication lag of each replica, in milliseconds.
    #[arg(long, value_delimiter = ',', default_values_t = [30, 400])]
    lag_ms: Vec<u64>,
    /// Lease duration, in milliseconds.
    #[arg(long, default_value_t = 400)]
    lease_ms: u64,
    /// Retention of session positions (`horizon` in the operator's file), in milliseconds.
    #[arg(long, default_value_t = 5_000)]
    horizon_ms: u64,
    /// Run the session replicas without stores on disk.
    #[arg(long)]
    no_disks: bool,
    /// Don't share sessions between gateways, to show that reads then miss writes of their sessions; the command fails if they
    /// do.
    #[arg(long)]
    off: bool,
    /// Members speak Arrow Flight SQL, and gateways offer it in addition to the PostgreSQL protocol.
    #[cfg(feature = "flight")]
    #[arg(long, conflicts_with = "off")]
    flight: bool,
    /// Run the cold start demo instead: at least three gateways start all at once, lose their list service for six seconds, start
    /// again while it is down, and start with cold members. Of the other options, only --gateways, --seed and --json apply.
    #[arg(long, conflicts_with = "off")]
    start: bool,
    /// After the audit, print the gateways' addresses and classes, and keep the gateways running until standard input is closed.
    #[arg(long)]
    hold: bool,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Time limit of the audit, in seconds.
    #[arg(long, default_value_t = 600)]
    most_s: u64,
    /// Print the verdict as JSON; with --start, print the report as JSON after the text.
    #[arg(long)]
    json: bool,
}

impl Demo {
    /// Runs the demo and prints the verdict or, with `--start`, the results of each phase.
    ///
    /// # Errors
    /// - The members or gateways can't be started.
    /// - The audit: a read missed a write of its session, a request got no answer or more than one, a write ran more than once, or
    ///   a write ran or didn't run contrary to its answer.
    /// - `--start`: a request was lost or duplicated, a read was stale, or a member collapsed.
    pub fn run(self) -> CommandResult {
        if self.start {
            return self.show_cold_start();
        }
        let name = format!("stackgw-demo-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let verdict = self.audit(&folder);
        // The logs are kept for diagnosis if the audit found errors, except with `--off`, which is expected to cause some.
        let keeps_logs = verdict
            .as_ref()
            .is_ok_and(|verdict| !verdict.is_good() && !self.off);
        if !keeps_logs {
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
            Err(
                "the audit found errors; reads are expected to miss writes when sessions are not shared"
                    .into(),
            )
        } else {
            let folder = folder.display();
            Err(format!("the audit found errors; the logs are in {folder}").into())
        }
    }

    /// Runs the phases of the cold start demo, and prints the load and availability of each.
    fn show_cold_start(&self) -> CommandResult {
        let fleet = usize::from(self.gateways.max(MIN_FLEET));
        println!("{fleet} gateways, three members, one list service; each phase lasts ten seconds");
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
        let errors_of = |phase: &&PhaseReport| phase.faults + phase.member_load.collapses;
        match report.phases().iter().map(errors_of).sum::<u64>() {
            0 => Ok(()),
            errors => Err(format!(
                "{errors} errors (lost or duplicate requests, stale reads, member collapses)"
            )
            .into()),
        }
    }

    /// Runs the session audit, with faults unless they are disabled, and returns its verdict.
    fn audit(&self, folder: &Path) -> CommandResult<Verdict> {
        let group = ReplicaGroup::start_with(GroupConfig {
            protocol: self.member_protocol(),
            ..GroupConfig::new(&self.lag_ms)
        })?;
        let gateways = GatewayFleet::start(self.fleet_config(&group, folder)?)?;
        if self.kill_every_ms == 0 && !self.off {
            // Without faults, show the steady state, in which each session replica is certain: it knows the positions that its
            // reads must see. A replica that starts without a store is uncertain for the retention; the three lease durations
            // leave time to obtain a lease from every other replica.
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
            wait_for_stdin_to_close(&gateways);
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
        // Long enough for leases to expire meanwhile.
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
            uses_random_gateways: true,
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
        "{name}: {} list polls ({} in the worst 100 ms), ready {ready}, {:.1}% served in time, {} handshakes, \
         cold members at up to {:.0}% of the load at which they collapse",
        phase.polls.total,
        phase.polls.peak,
        phase.served_fraction * 100.0,
        phase.member_load.handshakes,
        phase.member_load.peak_overload * 100.0
    );
}

/// Prints the gateways' addresses, and waits until standard input is closed.
fn wait_for_stdin_to_close(gateways: &GatewayFleet) {
    for index in 0..gateways.len() {
        let address = match gateways.address(index) {
            Some(address) => address.to_string(),
            None => "no address (not running)".to_owned(),
        };
        let flight = match gateways.flight_address(index) {
            Some(address) => format!(", Flight SQL on {address}"),
            None => String::new(),
        };
        println!("g{index}: listening on {address}{flight}");
    }
    println!("classes look, mine and buy; group {GROUP}; close standard input to stop");
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
    println!("reads served by replicas: {by_replicas:.1}%");
    println!(
        "reads that missed a write of their session {}, unanswered {}, duplicate replies {}, duplicate writes {}, \
         rejected but executed {}, served but not executed {}",
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
    format!("{served} served, {rejected} rejected, {failed} failed, {disconnected} disconnected by kills")
}
