//! A replication group behind two gateways that speak both protocols.

use super::protocol_client::{FlightClient, PostgresClient, ProtocolClient};
use stackgw_testkit::{
    peak_memory_mib, FleetConfig, FlightAuth, GatewayFleet, GroupConfig, Protocol, ReplicaGroup,
};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A replication group behind two gateways that share sessions.
pub struct GroupFixture {
    pub group: Arc<ReplicaGroup>,
    pub gateways: GatewayFleet,
    pub folder: PathBuf,
}

impl GroupFixture {
    /// Starts a group with one replica for each replication lag; all members speak this protocol.
    pub fn new(name: &str, lags_ms: &[u64], protocol: Protocol) -> Self {
        Self::with_auth(name, lags_ms, protocol, None)
    }

    /// As [`GroupFixture::new`]; with `flight_auth`, Flight SQL clients must authenticate.
    pub fn with_auth(
        name: &str,
        lags_ms: &[u64],
        protocol: Protocol,
        flight_auth: Option<FlightAuth>,
    ) -> Self {
        let folder = std::env::temp_dir().join(format!(
            "stackgw-conf-{}-{name}-{protocol:?}",
            std::process::id()
        ));
        std::fs::create_dir_all(&folder).expect("a folder");
        let group = ReplicaGroup::start_with(GroupConfig {
            protocol,
            ..GroupConfig::new(lags_ms)
        });
        let group = group.expect("members");
        let program = env!("CARGO_BIN_EXE_stackgw").into();
        let lists = vec![group.list_address()];
        let gateways = GatewayFleet::start(FleetConfig {
            has_disks: false,
            lease_ms: 300,
            retention_ms: 2_000,
            has_flight_sql: true,
            member_protocol: protocol,
            flight_auth,
            ..FleetConfig::new(program, folder.clone(), lists)
        });
        GroupFixture {
            group,
            gateways: gateways.unwrap_or_else(|error| panic!("{error}")),
            folder,
        }
    }

    /// The Flight SQL address of a gateway.
    pub fn flight_address(&self, gateway: usize) -> SocketAddr {
        let address = self.gateways.flight_address(gateway);
        address.expect("a Flight SQL address")
    }

    /// A client of a gateway over this protocol.
    pub fn client(&self, gateway: usize, protocol: Protocol) -> Box<dyn ProtocolClient> {
        match protocol {
            Protocol::Postgres => {
                let address = self.gateways.address(gateway).expect("the gateway runs");
                Box::new(PostgresClient::new(address))
            }
            Protocol::FlightSql => Box::new(FlightClient::new(self.flight_address(gateway))),
        }
    }

    /// The peak memory of a gateway, in MiB.
    pub fn peak_memory_mib(&self, gateway: usize) -> u64 {
        let pid = self.gateways.pid(gateway).expect("the gateway runs");
        peak_memory_mib(pid).expect("the gateway's peak memory") as u64
    }

    /// Waits until no member has a request in flight, and returns how long that took.
    pub fn wait_until_idle(&self, timeout: Duration) -> Duration {
        let started = Instant::now();
        while self.group.in_flight() > 0 {
            assert!(
                started.elapsed() < timeout,
                "{} requests still in flight after {timeout:?}",
                self.group.in_flight()
            );
            std::thread::sleep(Duration::from_millis(2));
        }
        started.elapsed()
    }
}

impl Drop for GroupFixture {
    fn drop(&mut self) {
        self.gateways.clean_up();
    }
}
