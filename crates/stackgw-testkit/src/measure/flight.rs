//! The cost of Flight SQL through a gateway, compared with a direct connection and with PostgreSQL's protocol.

use super::MeasureFolder;
use crate::client::Client;
use crate::error::TestkitError;
use crate::fleet_config::FleetConfig;
use crate::flight_client::{
    connect, next_message, open_stream, read_to_end, MessageStream, SqlClient,
};
use crate::gateway_fleet::GatewayFleet;
use crate::process_stats::{cpu_time_us, peak_memory_mib};
use crate::replica_group::{GroupConfig, Protocol, ReplicaGroup};
use crate::statements::{BOUNDED_READ_CLASS, GROUP};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

const REPLICA_LAGS_MS: [u64; 2] = [10, 20];
const LONG_STREAM_BATCHES: u64 = 1_000_000;
const LONG_STREAM_BATCH_BYTES: u64 = 64 << 10;
const WARM_UP_BATCHES: u64 = 4;
/// The number of messages that a client reads before it cancels a stream.
const MESSAGES_BEFORE_CANCEL: u32 = 50;

/// After this time, which exceeds the retention, a gateway that has just started is certain about its sessions.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
const RETENTION_MS: u64 = 2_000;

const BEGIN_TIMEOUT: Duration = Duration::from_secs(10);
const BEGIN_RETRY_PAUSE: Duration = Duration::from_millis(10);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(10);
const CANCEL_CHECK_INTERVAL: Duration = Duration::from_micros(100);
/// How long slow readers stop reading before the gateway's memory is measured.
const SLOW_READER_TIME: Duration = Duration::from_millis(500);

/// The lower bound of the CPU time in a rate, in seconds.
const MIN_CPU_SECONDS: f64 = 0.01;

const MIB: f64 = (1 << 20) as f64;

/// A group, and one gateway that serves it.
pub struct FlightRig {
    group: Arc<ReplicaGroup>,
    gateways: GatewayFleet,
    rng: SmallRng,
    // Dropped last, as it contains the gateway's files.
    _folder: MeasureFolder,
}

/// The rates at which bulk streams are read.
#[derive(Debug, Clone, Copy)]
pub struct BulkRates {
    /// MiB per second directly from a member.
    pub direct: f64,
    /// MiB per second through the gateway.
    pub through_gateway: f64,
}

impl FlightRig {
    /// Starts the fixture with members that speak this protocol.
    ///
    /// # Errors
    /// If it can't be set up.
    pub fn start(program: PathBuf, protocol: Protocol) -> Result<Self, TestkitError> {
        let folder = MeasureFolder::temporary(&format!("measure-{protocol:?}"))?;
        let group = ReplicaGroup::start_with(GroupConfig {
            protocol,
            ..GroupConfig::new(&REPLICA_LAGS_MS)
        })?;
        let lists = vec![group.list_address()];
        let gateways = GatewayFleet::start(FleetConfig {
            gateways: 1,
            session_replicas: 1,
            has_disks: false,
            retention_ms: RETENTION_MS,
            has_flight_sql: true,
            member_protocol: protocol,
            ..FleetConfig::new(program, folder.path.clone(), lists)
        })?;
        std::thread::sleep(SETTLE_TIME);
        Ok(FlightRig {
            group,
            gateways,
            rng: SmallRng::seed_from_u64(u64::from(std::process::id())),
            _folder: folder,
        })
    }

    fn flight_address(&self) -> Result<SocketAddr, TestkitError> {
        self.gateways
            .flight_address(0)
            .ok_or(TestkitError::NoFlightSql)
    }

    /// The gateway's CPU time so far, in seconds.
    fn cpu_seconds(&self) -> f64 {
        self.gateways
            .pid(0)
            .and_then(cpu_time_us)
            .unwrap_or_default()
            / 1e6
    }

    /// Reads bulk streams of this size, first from a replica and then through the gateway.
    ///
    /// # Errors
    /// If a call fails.
    pub fn bulk_rates(
        &mut self,
        total_mib: u64,
        batch_kib: u64,
    ) -> Result<BulkRates, TestkitError> {
        let replica = self.group.addresses()[1];
        let gateway = self.flight_address()?;
        Ok(BulkRates {
            direct: self.bulk_rate(replica, total_mib, batch_kib)?,
            through_gateway: self.bulk_rate(gateway, total_mib, batch_kib)?,
        })
    }

    fn bulk_rate(
        &mut self,
        address: SocketAddr,
        total_mib: u64,
        batch_kib: u64,
    ) -> Result<f64, TestkitError> {
        let batches = (total_mib << 10) / batch_kib;
        let batch_bytes = batch_kib << 10;
        block_on(async {
            let mut client = connect(address).await?;
            let mut warm_up = self
                .begin_bulk(&mut client, WARM_UP_BATCHES, batch_bytes)
                .await?;
            read_to_end(&mut warm_up).await?;
            let started = Instant::now();
            let mut stream = self.begin_bulk(&mut client, batches, batch_bytes).await?;
            let bytes = read_to_end(&mut stream).await?;
            Ok(bytes as f64 / MIB / started.elapsed().as_secs_f64())
        })
    }

    /// Measures the time from a client's cancellation to the end of the members' work.
    ///
    /// # Errors
    /// If a call fails, or the work does not end.
    pub fn cancel_time(&mut self) -> Result<Duration, TestkitError> {
        let address = self.flight_address()?;
        block_on(async {
            let mut client = connect(address).await?;
            let mut stream = self.begin_long_stream(&mut client).await?;
            for _ in 0..MESSAGES_BEFORE_CANCEL {
                next_message(&mut stream).await?;
            }
            let cancelled = Instant::now();
            drop(stream);
            while self.group.in_flight() > 0 {
                if cancelled.elapsed() > CANCEL_TIMEOUT {
                    return Err(TestkitError::WorkNotStopped);
                }
                tokio::time::sleep(CANCEL_CHECK_INTERVAL).await;
            }
            Ok(cancelled.elapsed())
        })
    }

    /// Measures the gateway's peak memory, in MiB, with this many clients that stop reading.
    ///
    /// # Errors
    /// If a call fails.
    pub fn peak_memory_mib(&mut self, slow_readers: usize) -> Result<f64, TestkitError> {
        let address = self.flight_address()?;
        block_on(async {
            let mut slow = Vec::new();
            for _ in 0..slow_readers {
                let mut client = connect(address).await?;
                let mut stream = self.begin_long_stream(&mut client).await?;
                next_message(&mut stream).await?;
                slow.push(stream);
            }
            tokio::time::sleep(SLOW_READER_TIME).await;
            Ok(())
        })?;
        Ok(self
            .gateways
            .pid(0)
            .and_then(peak_memory_mib)
            .unwrap_or_default())
    }

    /// Measures small reads with Flight SQL per second of the gateway's CPU time.
    ///
    /// # Errors
    /// If a call fails.
    pub fn flight_statement_rate(&mut self, statements: u64) -> Result<f64, TestkitError> {
        let address = self.flight_address()?;
        let cpu_before = self.cpu_seconds();
        block_on(async {
            let mut client = connect(address).await?;
            for number in 0..statements {
                let mut stream = open_stream(&mut client, self.small_statement(number)).await?;
                read_to_end(&mut stream).await?;
            }
            Ok(())
        })?;
        Ok(self.statement_rate(statements, cpu_before))
    }

    /// Measures small reads with PostgreSQL's protocol per second of the gateway's CPU time. Their outcomes are not checked.
    ///
    /// # Errors
    /// If the gateway does not run or accepts no connection.
    pub fn postgres_statement_rate(&mut self, statements: u64) -> Result<f64, TestkitError> {
        let address = self.gateways.address(0);
        let address = address.ok_or(TestkitError::GatewayNotRunning)?;
        let cpu_before = self.cpu_seconds();
        let mut client = Client::connect(address).ok_or(TestkitError::NoConnection)?;
        for number in 0..statements {
            client.query(&self.small_statement(number));
        }
        Ok(self.statement_rate(statements, cpu_before))
    }

    fn statement_rate(&self, statements: u64, cpu_before: f64) -> f64 {
        let cpu_seconds = self.cpu_seconds() - cpu_before;
        statements as f64 / cpu_seconds.max(MIN_CPU_SECONDS)
    }

    fn small_statement(&mut self, number: u64) -> String {
        let tag = self.rng.random::<u64>();
        format!(
            "SELECT val FROM state WHERE uid = 'k' \
             /* id=s{tag:x}-{number},c={BOUNDED_READ_CLASS},d=1000,cluster={GROUP} */"
        )
    }

    async fn begin_long_stream(
        &mut self,
        client: &mut SqlClient,
    ) -> Result<MessageStream, TestkitError> {
        self.begin_bulk(client, LONG_STREAM_BATCHES, LONG_STREAM_BATCH_BYTES)
            .await
    }

    /// Begins a bulk stream at a gateway or a member, with retries for up to `BEGIN_TIMEOUT`.
    async fn begin_bulk(
        &mut self,
        client: &mut SqlClient,
        batches: u64,
        batch_bytes: u64,
    ) -> Result<MessageStream, TestkitError> {
        let tag = self.rng.random::<u64>();
        let statement = format!(
            "SELECT val FROM state WHERE uid = 'bulk-{batches}-{batch_bytes}' \
             /* id=m{tag:x},c={BOUNDED_READ_CLASS},d=600000,cluster={GROUP} */"
        );
        let started = Instant::now();
        loop {
            match open_stream(client, statement.clone()).await {
                Ok(stream) => return Ok(stream),
                Err(error) if started.elapsed() > BEGIN_TIMEOUT => return Err(error),
                Err(_) => tokio::time::sleep(BEGIN_RETRY_PAUSE).await,
            }
        }
    }
}

/// Runs one client's calls on a new runtime.
fn block_on<T>(calls: impl Future<Output = Result<T, TestkitError>>) -> Result<T, TestkitError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(calls)
}
