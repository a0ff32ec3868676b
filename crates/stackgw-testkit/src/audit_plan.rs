//! The parameters of an audit.

use crate::fault_injection::Faults;
use std::time::Duration;

/// The parameters of an audit.
#[derive(Debug, Clone)]
pub struct AuditPlan {
    /// The number of concurrent clients.
    pub clients: usize,
    /// Pairs of a write and a read to complete, over all clients.
    pub pairs: u64,
    /// The number of further reads after each pair.
    pub later_reads: u32,
    /// The pause before each further read.
    pub read_pause: Duration,
    /// Whether each request goes through a random gateway; otherwise a client stays with one gateway until that is down.
    pub uses_random_gateways: bool,
    /// The seed of all random choices.
    pub seed: u64,
    /// The faults to inject into gateways and members during the audit; `None`: no faults.
    pub faults: Option<Faults>,
    /// The audit ends after this time, even if not all pairs are complete.
    pub time_limit: Duration,
}
