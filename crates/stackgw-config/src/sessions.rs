//! The section `sessions`: sessions that stay consistent across instances.

use crate::cluster::{default_expected, Cluster};
use crate::duration::Duration;
use crate::validation::{at_least_four_leases, between, distinct};
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// How instances share their sessions.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Sessions {
    /// The cluster's name. Datagrams of another cluster are rejected even if their key is valid.
    #[garde(length(min = 1, max = 64))]
    pub cluster: String,
    /// UDP address at which this instance receives datagrams from other instances.
    pub listen: SocketAddr,
    /// Address that other instances send to, if it differs from `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Addresses of instances to contact first; this instance's own address may be among them.
    #[serde(default)]
    #[garde(length(max = 64))]
    pub seeds: Vec<SocketAddr>,
    /// Files with one secret of at least 16 bytes each. The first secret signs, all of them verify.
    #[garde(length(min = 1, max = 8))]
    pub keys: Vec<PathBuf>,
    /// Names of the gateways that replicate session positions: all of them in a small deployment,
    /// three to five in a large one. Must be the same on every instance.
    #[garde(
        length(min = 1, max = 16),
        inner(length(min = 1, max = 64)),
        custom(distinct)
    )]
    pub keepers: Vec<String>,
    /// Number of replicas that store each session's position.
    #[serde(default = "default_homes")]
    #[garde(range(min = 1, max = 5))]
    pub homes: usize,
    /// Duration of a lease. A write waits at most this long for a replica that is unreachable.
    #[serde(default = "default_lease")]
    #[garde(custom(between("50ms", "10s")))]
    pub lease: Duration,
    /// How long a session's position is retained. Every database replica must have applied the
    /// write within this time.
    #[serde(default = "default_horizon")]
    #[garde(custom(between("1s", "1h")), custom(at_least_four_leases(&self.lease)))]
    pub horizon: Duration,
    /// Time after which an unacknowledged message is sent again.
    #[serde(default = "default_resend")]
    #[garde(custom(between("1ms", "1s")))]
    pub resend: Duration,
    /// How long a read waits for a replica's answer to its position query.
    #[serde(default = "default_lookup")]
    #[garde(custom(between("1ms", "1s")))]
    pub lookup: Duration,
    /// Maximum number of positions that a replica stores, at about 60 bytes each.
    #[serde(default = "default_marks")]
    #[garde(range(min = 1_000, max = 100_000_000))]
    pub marks: usize,
    /// Maximum number of this instance's own writes that are retained for joining replicas, at
    /// about 150 bytes each.
    #[serde(default = "default_own_marks")]
    #[garde(range(min = 1_000, max = 10_000_000))]
    pub own_marks: usize,
    /// Maximum number of writes and reads that wait at the same time.
    #[serde(default = "default_waits")]
    #[garde(range(min = 16, max = 1_000_000))]
    pub waits: usize,
    /// File on a durable disk that stores the session positions. Absent: for one `horizon` after
    /// each restart of a replica, reads fall back to strong reads.
    #[serde(default)]
    pub store: Option<PathBuf>,
    /// Approximate number of instances.
    #[serde(default = "default_expected")]
    #[garde(range(min = 1, max = 4_096))]
    pub expected: u32,
}

impl Sessions {
    /// Returns the cluster that this section describes.
    pub fn cluster(&self) -> Cluster {
        Cluster {
            name: self.cluster.clone(),
            listen: self.listen,
            advertise: self.advertise,
            seeds: self.seeds.clone(),
            keys: self.keys.clone(),
            expected: self.expected,
        }
    }
}

fn default_homes() -> usize {
    2
}

fn default_lease() -> Duration {
    Duration::from_millis(800)
}

fn default_horizon() -> Duration {
    Duration::from_secs(60)
}

fn default_resend() -> Duration {
    Duration::from_millis(20)
}

fn default_lookup() -> Duration {
    Duration::from_millis(20)
}

fn default_marks() -> usize {
    1_000_000
}

fn default_own_marks() -> usize {
    100_000
}

fn default_waits() -> usize {
    20_000
}
