//! The owner of a store.

use stackgw_sessions::NodeId;

/// The instance that a store belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreOwner {
    /// The cluster's name.
    pub cluster: String,
    /// The instance's id.
    pub node: NodeId,
    /// How long positions are retained, in milliseconds. Unlike cluster and node, it may differ from
    /// the value with which the store was written.
    pub retention_ms: u64,
}
