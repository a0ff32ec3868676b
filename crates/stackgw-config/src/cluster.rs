//! The section `cluster`: how to reach the other instances, for a gateway that does not share
//! sessions.

use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// How an instance finds and authenticates the other instances of its cluster.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Cluster {
    /// The cluster's name. Datagrams of another cluster are rejected even if their key is valid.
    #[garde(length(min = 1, max = 64))]
    pub name: String,
    /// UDP address at which this instance receives datagrams from other instances.
    pub listen: SocketAddr,
    /// Address that other instances send to, if it differs from `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Addresses of instances to contact first; this instance's own address may be among them. Must
    /// be the same on every instance: with `start` on, the instances that watch the list service for
    /// the fleet are chosen from these first.
    #[serde(default)]
    #[garde(length(max = 64))]
    pub seeds: Vec<SocketAddr>,
    /// Files with one secret of at least 16 bytes each. The first secret signs, all of them verify.
    #[garde(length(min = 1, max = 8))]
    pub keys: Vec<PathBuf>,
    /// Approximate number of instances.
    #[serde(default = "default_expected")]
    #[garde(range(min = 1, max = 4_096))]
    pub expected: u32,
}

impl Cluster {
    /// Returns the address that other instances send to.
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }
}

/// Default for `expected` in the sections `cluster` and `sessions`.
pub(crate) fn default_expected() -> u32 {
    8
}
