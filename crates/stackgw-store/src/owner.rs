//! Whose a store is.

use stackgw_sessions::NodeId;

/// The instance that a store belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreOwner {
    /// The cluster's name.
    pub cluster: String,
    /// The instance.
    pub node: NodeId,
    /// How long positions matter, in milliseconds.
    pub retention_ms: u64,
}
