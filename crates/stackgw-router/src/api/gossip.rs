//! What routers pass on to each other.

use super::request::MemberId;
use super::time::Time;

/// What responses and health checks have shown of one member.
#[derive(Debug, Clone, PartialEq)]
pub struct GossipUpdate {
    /// Which member.
    pub member: MemberId,
    /// Every commit up to this moment is applied there.
    pub position: Option<Time>,
    /// It is the primary, or it is not.
    pub is_primary: Option<bool>,
    /// Mean answer time over its objective.
    pub latency_ratio: f64,
    /// Number of answers in that mean.
    pub samples: u32,
}
