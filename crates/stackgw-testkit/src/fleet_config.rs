//! What a fleet of gateways is set up as.

use crate::replica_group::Protocol;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What the gateways' operator's files turn on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetMode {
    /// Sessions shared across instances.
    SharedSessions,
    /// Nothing: sessions are tracked in each process alone, and no operator's file is given.
    LocalSessions,
    /// What [`FleetConfig::bootstrap`] says; sessions are tracked in each process alone.
    Bootstrap,
}

/// How gateways come to know the endpoint list, where not as the platform has it.
#[derive(Debug, Clone, Default)]
pub struct BootstrapConfig {
    /// They talk to each other; the session replicas are the seeds.
    pub has_cluster: bool,
    /// The lines of the operator's file below `start:`, without their indent; `{n}` is the gateway's number and `{folder}`
    /// where files go.
    pub yaml_lines: Vec<String>,
}

/// How Flight SQL clients show who they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlightAuth {
    /// Name and password, once for each connection.
    Basic,
    /// A token with each call.
    Bearer,
}

impl FlightAuth {
    /// As the operator's file names it.
    pub fn name(self) -> &'static str {
        match self {
            FlightAuth::Basic => "basic",
            FlightAuth::Bearer => "bearer",
        }
    }
}

/// A user whom gateways know where clients show who they are.
#[derive(Debug, Clone, Copy)]
pub struct FlightUser {
    /// The name.
    pub name: &'static str,
    /// The password, or the token.
    pub secret: &'static str,
}

/// The one user that gateways know.
pub const FLIGHT_USER: FlightUser = FlightUser {
    name: "depot",
    secret: "a secret of this test",
};

/// What gateways are set up as.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// The program.
    pub program: PathBuf,
    /// Where files go; it must exist.
    pub folder: PathBuf,
    /// The list service's addresses, handed out to the gateways in turn.
    pub list_addresses: Vec<SocketAddr>,
    /// How many gateways.
    pub gateways: usize,
    /// The first so many of them are session replicas, and the cluster's seeds.
    pub session_replicas: usize,
    /// What is turned on.
    pub mode: FleetMode,
    /// Session replicas have stores on disk.
    pub has_disks: bool,
    /// The sessions' lease, in milliseconds.
    pub lease_ms: u64,
    /// The sessions' retention, in milliseconds.
    pub retention_ms: u64,
    /// Their datagrams pass through relays that can block and lose them.
    pub has_relays: bool,
    /// They speak Flight SQL too.
    pub has_flight_sql: bool,
    /// What the members speak.
    pub member_protocol: Protocol,
    /// Flight SQL clients show that they are [`FLIGHT_USER`].
    pub flight_auth: Option<FlightAuth>,
    /// How they come to know the list, in [`FleetMode::Bootstrap`].
    pub bootstrap: BootstrapConfig,
}

impl FleetConfig {
    /// Two gateways with shared sessions, both session replicas with disks; nothing else is on.
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
