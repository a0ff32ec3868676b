//! The cost of shared sessions, measured on one fleet of gateways under a busy load, in which 8 clients read without pauses,
//! and then a calm one, in which 48 clients pause for 430 ms before each further read.

use super::MeasureFolder;
use crate::audit::run_audit;
use crate::audit_plan::AuditPlan;
use crate::error::TestkitError;
use crate::fleet_config::{FleetConfig, FleetMode};
use crate::gateway_fleet::GatewayFleet;
use crate::process_stats::{cpu_time_us, memory_mib};
use crate::replica_group::ReplicaGroup;
use crate::statistics::Percentiles;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// After this time all session replicas have leases from each other. With a retention of up to 2 s they are then certain
/// about their sessions; with a longer one and no stores on disk, they serve session reads as strong reads.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// No multiple of this is close to the second for which a session stays with the primary, so that chance does not decide
/// which member runs a read.
const CALM_READ_PAUSE: Duration = Duration::from_millis(430);

const TIME_LIMIT: Duration = Duration::from_secs(120);

const REPLICA_LAGS_MS: [u64; 2] = [10, 20];

/// The parameters of a measurement of one fleet.
#[derive(Debug, Clone)]
pub struct SessionCostPlan {
    /// The path of the gateway's program.
    pub program: PathBuf,
    /// The number of gateways, all of them session replicas.
    pub gateways: usize,
    /// The feature that is turned on.
    pub mode: FleetMode,
    /// Whether session replicas have stores on disk.
    pub has_disks: bool,
    /// The sessions' retention, in milliseconds.
    pub retention_ms: u64,
    /// Pairs of a write and a read under the busy load.
    pub pairs: u64,
    /// The seed of all random choices.
    pub seed: u64,
}

/// The result of the measurement.
#[derive(Debug, Clone)]
pub struct SessionCost {
    /// The latency of writes under the busy load, in microseconds.
    pub write_us: Percentiles,
    /// The latency of reads under the busy load, in microseconds.
    pub read_us: Percentiles,
    /// The fraction of reads that replicas ran under the calm load.
    pub replica_fraction: f64,
    /// CPU time of all gateways per request under the busy load, in microseconds.
    pub cpu_us_per_request: f64,
    /// Resident memory of one gateway, in MiB.
    pub memory_mib: f64,
    /// Reads that missed their session's own write.
    pub misses: u64,
}

impl SessionCostPlan {
    /// Measures one fleet.
    ///
    /// # Errors
    /// If the fixture can't be set up.
    pub fn run(&self) -> Result<SessionCost, TestkitError> {
        let folder = MeasureFolder::temporary("measure")?;
        let group = ReplicaGroup::start(&REPLICA_LAGS_MS)?;
        let gateways = self.start_gateways(&group, &folder.path)?;
        std::thread::sleep(SETTLE_TIME);
        let cpu_before = self.cpu_time_us(&gateways);
        let busy = run_audit(&self.busy_load(), &group, &gateways, |_| {});
        let cpu_us = self.cpu_time_us(&gateways) - cpu_before;
        let calm = run_audit(&self.calm_load(), &group, &gateways, |_| {});
        let requests = busy.counts.writes.total() + busy.counts.reads.total();
        Ok(SessionCost {
            write_us: busy.write_us,
            read_us: busy.read_us,
            replica_fraction: calm.reads_by_role.replica_fraction(),
            cpu_us_per_request: cpu_us / requests.max(1) as f64,
            memory_mib: gateways.pid(0).and_then(memory_mib).unwrap_or_default(),
            misses: busy.counts.misses + calm.counts.misses,
        })
    }

    fn start_gateways(
        &self,
        group: &ReplicaGroup,
        folder: &Path,
    ) -> Result<GatewayFleet, TestkitError> {
        let lists = vec![group.list_address()];
        GatewayFleet::start(FleetConfig {
            gateways: self.gateways,
            session_replicas: self.gateways,
            mode: self.mode,
            has_disks: self.has_disks,
            retention_ms: self.retention_ms,
            ..FleetConfig::new(self.program.clone(), folder.to_owned(), lists)
        })
    }

    fn busy_load(&self) -> AuditPlan {
        AuditPlan {
            clients: 8,
            pairs: self.pairs,
            later_reads: 3,
            read_pause: Duration::ZERO,
            uses_random_gateways: false,
            seed: self.seed,
            faults: None,
            time_limit: TIME_LIMIT,
        }
    }

    fn calm_load(&self) -> AuditPlan {
        AuditPlan {
            clients: 48,
            pairs: 96,
            later_reads: 5,
            read_pause: CALM_READ_PAUSE,
            seed: self.seed + 1,
            ..self.busy_load()
        }
    }

    /// The CPU time of all gateways so far, in microseconds.
    fn cpu_time_us(&self, gateways: &GatewayFleet) -> f64 {
        let pids = (0..self.gateways).filter_map(|index| gateways.pid(index));
        pids.filter_map(cpu_time_us).sum()
    }
}
