//! A fleet that starts all at once, loses its list service, starts without it, and starts with all members cold. Measures the
//! load on the service and the members, and how soon clients are served. Field names in JSON are those of the command's output
//! and must not change.

use super::MeasureFolder;
use crate::cold_connect::ColdConnectLoad;
use crate::cold_connect_report::SecondCounts;
use crate::error::TestkitError;
use crate::fleet_config::{BootstrapConfig, FleetConfig, FleetMode};
use crate::fleet_load::FleetLoad;
use crate::gateway_fleet::GatewayFleet;
use crate::list_service::{PollOutcome, PollRecord, ServiceCapacity, ServiceState};
use crate::replica_group::ReplicaGroup;
use crate::slow_start_model::SlowStartModel;
use crate::statistics::{peak_in_window, PEAK_WINDOW};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The duration of each phase.
const PHASE_TIME: Duration = Duration::from_secs(10);

/// The number of seconds at the start of a phase that are also reported separately.
const FIRST_SECONDS: usize = 5;

/// How long the list service is down in its phase.
const OUTAGE_TIME: Duration = Duration::from_secs(6);

/// After this time all gateways that were asked to retry after the outage have done so.
const AFTER_OUTAGE_TIME: Duration = Duration::from_secs(4);

/// The replication lags of the group's replicas.
const REPLICA_LAGS_MS: [u64; 2] = [10, 20];

/// The number of a fleet's session replicas, which are the cluster's seeds.
const SEEDS: usize = 3;

const WRITE_PERCENTAGE: u32 = 10;

/// The time that the list service needs to serve one request of each gateway.
const SERVICE_SECONDS_PER_ROUND: f64 = 1.5;

/// The capacity of each warm member, relative to the total load.
const MEMBER_RATE_OVER_LOAD: f64 = 2.0 / 3.0;

/// The fraction of a cold member's capacity that handshakes may take, by default.
pub const DEFAULT_HANDSHAKE_FRACTION: f64 = 0.4;

/// How a fleet obtains the endpoint list, beyond the platform's configuration.
#[derive(Debug, Clone, Copy)]
pub struct BootstrapChoice {
    /// Whether gateways form a cluster.
    pub has_cluster: bool,
    /// Connections to members are paced so that handshakes take at most this fraction of a cold member's capacity; `None`: they
    /// are not paced.
    pub handshake_fraction: Option<f64>,
}

/// The parameters of a measurement of one fleet.
#[derive(Debug, Clone)]
pub struct ColdStartPlan {
    /// The path of the gateway's program.
    pub program: PathBuf,
    /// The number of gateways.
    pub fleet: usize,
    /// How gateways obtain the list; `None`: by the platform's configuration alone.
    pub bootstrap: Option<BootstrapChoice>,
    /// Requests per second at all gateways together; warm members can serve twice as many.
    pub load: f64,
    /// The seed of all random choices.
    pub seed: u64,
    /// The folder for files and logs, which is kept; `None`: a temporary folder.
    pub kept_folder: Option<PathBuf>,
}

/// Counts of requests for the list.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct PollCounts {
    /// Requests that found the service up.
    #[serde(rename = "all")]
    pub total: usize,
    /// The most requests within 100 ms.
    #[serde(rename = "worst")]
    pub peak: usize,
    /// Requests rejected with a Retry-After header.
    #[serde(rename = "refused")]
    pub rejected: usize,
}

impl PollCounts {
    fn of(polls: &[PollRecord], since: Duration) -> Self {
        let reached: Vec<_> = polls
            .iter()
            .filter(|poll| poll.at >= since && poll.outcome != PollOutcome::Unreachable)
            .collect();
        let rejected = reached
            .iter()
            .filter(|poll| poll.outcome == PollOutcome::Rejected);
        PollCounts {
            total: reached.len(),
            peak: peak_in_window(reached.iter().map(|poll| poll.at), PEAK_WINDOW),
            rejected: rejected.count(),
        }
    }
}

/// The fraction of sent requests that members could serve if they did no other work. Serialized as a list, in this order.
#[derive(Debug, Clone, Copy, Default, Serialize)]
#[serde(into = "[f64; 2]")]
pub struct AttainableFraction {
    /// Over the whole phase.
    pub whole_phase: f64,
    /// In the first five seconds.
    pub first_seconds: f64,
}

impl From<AttainableFraction> for [f64; 2] {
    fn from(fraction: AttainableFraction) -> Self {
        [fraction.whole_phase, fraction.first_seconds]
    }
}

/// The results of one phase.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PhaseReport {
    /// Requests for the list.
    #[serde(rename = "asks")]
    pub polls: PollCounts,
    /// When 99% of the gateways were ready, in milliseconds.
    pub ready_ms: Option<u64>,
    /// The fraction of sent requests that were served in time.
    #[serde(rename = "worth")]
    pub served_fraction: f64,
    /// The fraction of the requests sent in the first five seconds that were served in time.
    #[serde(rename = "worth_first")]
    pub served_fraction_first: f64,
    /// The fraction of sent requests that members could serve.
    #[serde(rename = "could")]
    pub attainable: AttainableFraction,
    /// Counts for each second.
    pub seconds: Vec<SecondCounts>,
    /// The fraction of sent requests that were served, in time or late.
    #[serde(rename = "answered")]
    pub answered_fraction: f64,
    /// The load on members.
    #[serde(rename = "burden")]
    pub member_load: FleetLoad,
    /// Requests lost, duplicated, or served with data that was too old.
    #[serde(rename = "broken")]
    pub faults: u64,
}

/// The results of all phases.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ColdStartReport {
    /// The number of gateways.
    pub fleet: usize,
    /// All gateways start at once.
    #[serde(rename = "boot")]
    pub start: PhaseReport,
    /// The same load once all gateways and members are warm.
    pub warm: PhaseReport,
    /// The list service is down for six seconds and recovers.
    pub outage: PhaseReport,
    /// All gateways are killed and started at once while the list service is down.
    #[serde(rename = "dark")]
    pub start_without_list: PhaseReport,
    /// All gateways are killed and started at once, and all members have just started.
    #[serde(rename = "cold")]
    pub start_with_cold_members: PhaseReport,
}

/// The names of the phases, in order.
pub const PHASE_NAMES: [&str; 5] = [
    "all start at once",
    "warm",
    "list service dead for 6 s",
    "all start while it is dead",
    "all start, members cold",
];

impl ColdStartReport {
    /// The phases, in order.
    pub fn phases(&self) -> [&PhaseReport; 5] {
        [
            &self.start,
            &self.warm,
            &self.outage,
            &self.start_without_list,
            &self.start_with_cold_members,
        ]
    }
}

impl ColdStartPlan {
    /// Measures all phases; `on_phase` is called with the results of each one as it ends.
    ///
    /// # Errors
    /// If the fixture can't be set up.
    pub fn run(
        &self,
        mut on_phase: impl FnMut(&'static str, &PhaseReport),
    ) -> Result<ColdStartReport, TestkitError> {
        let folder = match &self.kept_folder {
            Some(path) => MeasureFolder::kept(path)?,
            None => MeasureFolder::temporary(&format!("start-{}", self.fleet))?,
        };
        let rig = Rig::start(self, &folder.path)?;
        let lists = rig.group.list_service();
        let start_all = || drop(rig.gateways.restart_all(0..self.fleet, Duration::ZERO));
        let mut report = ColdStartReport {
            fleet: self.fleet,
            ..ColdStartReport::default()
        };

        report.start = rig.run_warm_phase(&start_all);
        on_phase(PHASE_NAMES[0], &report.start);

        report.warm = rig.run_warm_phase(&|| {});
        on_phase(PHASE_NAMES[1], &report.warm);

        report.outage = rig.run_warm_phase(&|| {
            lists.set_state(ServiceState::Down);
            std::thread::sleep(OUTAGE_TIME);
            lists.set_state(ServiceState::Up);
        });
        on_phase(PHASE_NAMES[2], &report.outage);

        std::thread::sleep(AFTER_OUTAGE_TIME);
        lists.set_state(ServiceState::Down);
        report.start_without_list = rig.run_warm_phase(&start_all);
        on_phase(PHASE_NAMES[3], &report.start_without_list);

        lists.set_state(ServiceState::Up);
        report.start_with_cold_members = rig.run_cold_phase(&start_all);
        on_phase(PHASE_NAMES[4], &report.start_with_cold_members);
        Ok(report)
    }

    /// Requests per second at each gateway.
    fn rate(&self) -> f64 {
        self.load / self.fleet as f64
    }

    /// Requests per second that the list service can serve.
    fn list_service_rate(&self) -> f64 {
        self.fleet as f64 / SERVICE_SECONDS_PER_ROUND
    }

    /// The capacity of each member.
    fn member_model(&self) -> SlowStartModel {
        SlowStartModel {
            warm_rate: self.load * MEMBER_RATE_OVER_LOAD,
            cold_fraction: 0.25,
            warm_up_time: Duration::from_secs(10),
            overload_multiple: 4.0,
            overload_window: Duration::from_secs(1),
            handshake_cost: 2.0,
            health_check_cost: 0.1,
            max_queue_wait: Duration::from_millis(300),
            collapse_time: Duration::from_secs(1),
        }
    }

    /// New connections per second that a cold member can accept with this fraction of its capacity.
    fn connection_rate(&self, handshake_fraction: f64) -> u32 {
        let model = self.member_model();
        let cold_rate = model.warm_rate * model.cold_fraction;
        let connections = cold_rate / model.handshake_cost * handshake_fraction;
        connections.max(1.0) as u32
    }

    fn bootstrap_config(&self, choice: BootstrapChoice) -> BootstrapConfig {
        let list_service_rate = self.list_service_rate().ceil() as u64;
        let mut yaml_lines = vec![
            format!("bears: {list_service_rate}"),
            "list: \"{folder}/g{n}.list\"".to_owned(),
        ];
        if let Some(fraction) = choice.handshake_fraction {
            yaml_lines.push(format!("opens: {}", self.connection_rate(fraction)));
        }
        BootstrapConfig {
            has_cluster: choice.has_cluster,
            yaml_lines,
        }
    }

    /// The fraction of the requests sent in the first `time` of a phase that this many members could serve if they did no other
    /// work.
    fn attainable_fraction(&self, members: usize, are_cold: bool, time: Duration) -> f64 {
        const STEPS: u32 = 1_000;
        let model = self.member_model();
        let fraction_at = |step: u32| {
            let seconds = (f64::from(step) + 0.5) * time.as_secs_f64() / f64::from(STEPS);
            let age = are_cold.then(|| Duration::from_secs_f64(seconds));
            (members as f64 * model.rate_at(age) / self.load).min(1.0)
        };
        (0..STEPS).map(fraction_at).sum::<f64>() / f64::from(STEPS)
    }
}

/// A group, and a fleet that serves it.
struct Rig<'a> {
    plan: &'a ColdStartPlan,
    group: std::sync::Arc<ReplicaGroup>,
    gateways: GatewayFleet,
}

impl<'a> Rig<'a> {
    /// Starts the group, and prepares the fleet.
    fn start(plan: &'a ColdStartPlan, folder: &Path) -> Result<Self, TestkitError> {
        let group = ReplicaGroup::start(&REPLICA_LAGS_MS)?;
        group.list_service().set_capacity(ServiceCapacity {
            rate: plan.list_service_rate(),
            max_queue_wait: Duration::from_secs(1),
        });
        let bootstrap = plan.bootstrap.map(|choice| plan.bootstrap_config(choice));
        let lists = vec![group.list_address()];
        let gateways = GatewayFleet::prepare(FleetConfig {
            gateways: plan.fleet,
            session_replicas: SEEDS.min(plan.fleet),
            mode: match bootstrap {
                Some(_) => FleetMode::Bootstrap,
                None => FleetMode::LocalSessions,
            },
            bootstrap: bootstrap.unwrap_or_default(),
            ..FleetConfig::new(plan.program.clone(), folder.to_owned(), lists)
        })?;
        Ok(Rig {
            plan,
            group,
            gateways,
        })
    }

    fn members(&self) -> usize {
        self.group.members.len()
    }

    /// Runs a phase with warm members.
    fn run_warm_phase(&self, meanwhile: &(dyn Fn() + Sync)) -> PhaseReport {
        let model = self.plan.member_model();
        (0..self.members()).for_each(|member| self.group.set_capacity(member, model));
        self.run_phase(false, meanwhile)
    }

    /// Runs a phase with members whose processes have just started.
    fn run_cold_phase(&self, meanwhile: &(dyn Fn() + Sync)) -> PhaseReport {
        let model = self.plan.member_model();
        for member in 0..self.members() {
            self.group.set_cold_capacity(member, model);
        }
        (0..self.members()).for_each(|member| self.group.announce_start(member));
        self.run_phase(true, meanwhile)
    }

    fn run_phase(&self, are_members_cold: bool, meanwhile: &(dyn Fn() + Sync)) -> PhaseReport {
        let lists = self.group.list_service();
        let (lists_since, group_since) = (lists.elapsed(), self.group.elapsed());
        let stale_before = self.group.executions().stale_reads;
        let load = ColdConnectLoad {
            rate: self.plan.rate(),
            write_percentage: WRITE_PERCENTAGE,
            duration: PHASE_TIME,
            seed: self.plan.seed,
        };
        let clients = load.run(&self.group, &self.gateways, Instant::now(), meanwhile);
        self.gateways.log_counters();
        let stale_reads = self.group.executions().stale_reads - stale_before;
        let ready_time = clients.ready_time(0.99, self.plan.fleet);
        let attainable = |time| {
            let plan = self.plan;
            plan.attainable_fraction(self.members(), are_members_cold, time)
        };
        PhaseReport {
            polls: PollCounts::of(&lists.polls(), lists_since),
            ready_ms: ready_time.and_then(|at| u64::try_from(at.as_millis()).ok()),
            served_fraction: clients.served_fraction(),
            served_fraction_first: clients.served_fraction_within(FIRST_SECONDS),
            attainable: AttainableFraction {
                whole_phase: attainable(PHASE_TIME),
                first_seconds: attainable(Duration::from_secs(FIRST_SECONDS as u64)),
            },
            answered_fraction: clients.answered_fraction(),
            member_load: FleetLoad::of(&self.group, group_since),
            faults: clients.lost + clients.duplicate_writes + stale_reads,
            seconds: clients.seconds,
        }
    }
}
