//! Stand-ins on loopback, for the product's demo, its tests and its long measurements: members of a replicated store that
//! speak the gateway's protocol ([`ReplicaGroup`]), the service that has their list, clients whose sessions roam ([`SessionAudit`]), and
//! gateways as real processes that are killed, paused and started anew ([`GatewayFleet`]).
//!
//! Every execution is written down ([`ExecutionLog`]), so that what a session saw is judged by what ran.

mod audit;
mod client;
mod cold_connect;
mod cold_start;
#[cfg(feature = "flight")]
mod flight;
mod gateways;
mod list_service;
mod network;
mod replica_group;
mod slow_start_model;

pub use audit::{Faults, OutcomeCounts, SessionAudit, Verdict};
pub use client::{Client, RequestOutcome};
pub use cold_connect::{ColdConnectLoad, ColdConnectReport, FleetLoad};
pub use cold_start::{ColdStart, ColdStartReport, PhaseReport, PollCounts, PHASE_NAMES};
pub use gateways::{BootstrapConfig, FleetConfig, FleetMode, GatewayFleet, USER};
pub use list_service::{
    worst, ListService, PollOutcome, PollRecord, ServiceCapacity, ServiceState,
};
pub use network::FaultyNetwork;
pub use replica_group::{ExecutionLog, FakeMember, Protocol, ReplicaGroup, GROUP};
pub use slow_start_model::{ObservedLoad, SlowStartModel};
