//! The configuration of a fleet of gateways.

use crate::replica_group::Protocol;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The feature that the gateways' operator's files turn on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetMode {
    /// Sessions shared across instances.
    SharedSessions,
    /// None: each process tracks its sessions on its own, and gateways run without an operator's file.
    LocalSessions,
    /// The bootstrap settings of [`FleetConfig::bootstrap`]; each process tracks its sessions on its own.
    Bootstrap,
}

/// How gateways obtain the endpoint list, beyond the platform's configuration.
#[derive(Debug, Clone, Default)]
pub struct BootstrapConfig {
    /// Whether gateways form a cluster, with the session replicas as its seeds.
    pub has_cluster: bool,
    /// The lines of the operator's file below `start:`, without indentation. `{n}` is replaced by the gateway's number and
    /// `{folder}` by the fleet's folder.
    pub yaml_lines: Vec<String>,
}

/// How Flight SQL clients authenticate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlightAuth {
    /// With a name and password, once for each connection.
    Basic,
    /// With a bearer token on each call.
    Bearer,
}

impl FlightAuth {
    /// The method's name in the operator's file.
    pub fn name(self) -> &'static str {
        match self {
            FlightAuth::Basic => "basic",
            FlightAuth::Bearer => "bearer",
        }
    }
}

/// A user that gateways with authentication accept.
#[derive(Debug, Clone, Copy)]
pub struct FlightUser {
    /// The user's name.
    pub name: &'static str,
    /// The password, or the bearer token.
    pub secret: &'static str,
}

/// The only user that gateways accept.
pub const FLIGHT_USER: FlightUser = FlightUser {
    name: "depot",
    secret: "a secret of this test",
};

/// The configuration of a fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// The path of the gateway's program.
    pub program: PathBuf,
    /// The folder for the gateways' files; it must exist.
    pub folder: PathBuf,
    /// The list service's addresses, assigned to the gateways round-robin.
    pub list_addresses: Vec<SocketAddr>,
    /// The number of gateways.
    pub gateways: usize,
    /// The number of session replicas, which are also the cluster's seeds; they are the first gateways.
    pub session_replicas: usize,
    /// The feature that is turned on.
    pub mode: FleetMode,
    /// Whether session replicas have stores on disk.
    pub has_disks: bool,
    /// The sessions' lease, in milliseconds.
    pub lease_ms: u64,
    /// The sessions' retention, in milliseconds.
    pub retention_ms: u64,
    /// Whether cluster datagrams pass through relays that can block and drop them.
    pub has_relays: bool,
    /// Whether gateways also serve Flight SQL.
    pub has_flight_sql: bool,
    /// The protocol that members speak.
    pub member_protocol: Protocol,
    /// How Flight SQL clients authenticate as [`FLIGHT_USER`]; `None`: they do not.
    pub flight_auth: Option<FlightAuth>,
    /// How gateways obtain the list, in [`FleetMode::Bootstrap`].
    pub bootstrap: BootstrapConfig,
}

impl FleetConfig {
    /// Two gateways with shared sessions, both session replicas with stores on disk; all other features are off.
    pub fn new(program: PathBuf, folder: PathBuf, list_addresses: Vec<SocketAddr>) -> Self {
        FleetConfig {
            program,
            folder,
            list_addresses,
            gateways: 2,
            session_replicas: 2,
            mode: FleetMode::SharedSessions,
            has_disks: true,
            lease_ms: 400,
            retention_ms: 5_000,
            has_relays: false,
            has_flight_sql: false,
            member_protocol: Protocol::Postgres,
            flight_auth: None,
            bootstrap: BootstrapConfig::default(),
        }
    }
}
