//! Fakes and fault injection on loopback, for the command's demo, its measurements and its tests.
//!
//! - [`ReplicaGroup`]: the members of a replication group, a primary and replicas that lag, which speak PostgreSQL's protocol or
//!   Arrow Flight SQL; the caller sets their faults and their capacity.
//! - [`ListService`]: the service that lists the members, and its faults.
//! - [`GatewayFleet`]: gateways as real processes that can be killed, paused and restarted, and [`FaultyNetwork`] between them.
//! - [`run_audit`]: clients that write and read through any gateway while faults are injected, and the verdict on what they saw.
//! - [`ColdConnectLoad`]: the client load during a fleet's first seconds.
//! - [`measure`]: measurements of what parts of the gateway cost.
//!
//! Members record every execution ([`ExecutionLog`]), so that what a session saw can be compared with what ran. The fakes
//! depend on the gateway's wire protocol, its files and its log lines, but on none of its code except the codec.

mod audit;
mod audit_client;
mod audit_plan;
mod audit_report;
#[cfg(feature = "flight")]
mod bulk_stream;
mod client;
mod cold_connect;
mod cold_connect_report;
mod error;
mod fault_injection;
mod fleet_config;
mod fleet_load;
#[cfg(feature = "flight")]
mod flight_client;
#[cfg(feature = "flight")]
mod flight_member;
mod gateway_files;
mod gateway_fleet;
mod list_http;
mod list_revisions;
mod list_service;
pub mod measure;
mod member;
mod network;
mod postgres_member;
mod process_stats;
mod replica_group;
mod replicated_log;
mod slow_start_model;
pub mod soak;
mod statements;
mod statistics;
mod sync;
mod udp_ports;

pub use audit::run_audit;
pub use audit_plan::AuditPlan;
pub use audit_report::{OutcomeCounts, RequestCounts, Verdict};
pub use client::{Client, RequestOutcome};
pub use cold_connect::ColdConnectLoad;
pub use cold_connect_report::{ColdConnectReport, SecondCounts};
pub use error::TestkitError;
pub use fault_injection::Faults;
pub use fleet_config::{
    BootstrapConfig, FleetConfig, FleetMode, FlightAuth, FlightUser, FLIGHT_USER,
};
pub use fleet_load::{FleetLoad, MemberCounts};
pub use gateway_fleet::GatewayFleet;
pub use list_revisions::ListedPhase;
pub use list_service::{ListService, PollOutcome, PollRecord, ServiceCapacity, ServiceState};
pub use member::FakeMember;
pub use network::FaultyNetwork;
pub use process_stats::{cpu_time_us, memory_mib, peak_memory_mib};
pub use replica_group::{GroupConfig, Protocol, ReplicaGroup};
pub use replicated_log::{ExecutionLog, ReadsByRole};
pub use slow_start_model::{ObservedLoad, SlowStartModel};
pub use statements::GROUP;
pub use statistics::{peak_in_window, Percentiles};
