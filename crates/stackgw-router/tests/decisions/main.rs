//! The router's decisions, one module per concern. Each test acts as the host of one router.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod connection_permits;
mod consistency;
mod final_answers;
mod gossip;
mod health_checks;
mod idempotency;
mod membership;
mod outliers;
mod primary_changes;
mod selection;
mod slow_start;
mod stale_primaries;
mod stalls;
