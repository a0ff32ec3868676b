//! Updates that routers send to each other.

use super::request::MemberId;
use super::time::Time;

/// What a router has learned about one member from responses and health checks.
#[derive(Debug, Clone, PartialEq)]
pub struct GossipUpdate {
    /// The member.
    pub member: MemberId,
    /// The member has applied every commit up to this time.
    pub position: Option<Time>,
    /// Whether it is the primary.
    pub is_primary: Option<bool>,
    /// Mean response time divided by the latency objective.
    pub latency_ratio: f64,
    /// Number of answers in `latency_ratio`.
    pub samples: u32,
}
