//! What an audit is to do.

use crate::fault_injection::Faults;
use std::time::Duration;

/// What an audit does.
#[derive(Debug, Clone)]
pub struct AuditPlan {
    /// Clients at once.
    pub clients: usize,
    /// Pairs of a write and a read to be completed in all.
    pub pairs: u64,
    /// Further reads after each pair, through any gateway.
    pub later_reads: u32,
    /// The pause before each of those.
    pub read_pause: Duration,
    /// Each request goes through a random gateway; else a session stays with one while that is up.
    pub roam: bool,
    /// The seed of all random choices.
    pub seed: u64,
    /// What is done to gateways and members meanwhile.
    pub faults: Option<Faults>,
    /// It ends after this, whatever was completed.
    pub time_limit: Duration,
}
