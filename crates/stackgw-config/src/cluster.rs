//! The section `cluster`: where the other instances are, for a gateway that does not share
//! sessions.

use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// How an instance finds and authenticates the others of its cluster.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Cluster {
    /// The cluster's name. Datagrams of another cluster are rejected, whatever their key.
    #[garde(length(min = 1, max = 64))]
    pub name: String,
    /// UDP address at which this instance receives datagrams of the others.
    pub listen: SocketAddr,
    /// Address that the others send to, where it differs from `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Addresses at which other instances may be found; this instance's own may be among them. The
    /// same on every instance: with `start` on, the first of them that are up lead the watch of the
    /// endpoint list.
    #[serde(default)]
    #[garde(length(max = 64))]
    pub seeds: Vec<SocketAddr>,
    /// Files that hold one secret of 16 bytes or more each. The first one signs, all of them
    /// verify.
    #[garde(length(min = 1, max = 8))]
    pub keys: Vec<PathBuf>,
    /// Approximate number of instances.
    #[serde(default = "default_expected")]
    #[garde(range(min = 1, max = 4_096))]
    pub expected: u32,
}

impl Cluster {
    /// The address that the others send to.
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }
}

/// Default for `expected`, here and in the section `sessions`.
pub(crate) fn default_expected() -> u32 {
    8
}
