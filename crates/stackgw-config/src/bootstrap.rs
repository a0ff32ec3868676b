//! The section `start`: how a fleet obtains the endpoint list without overloading the list service.

use crate::duration::Duration;
use crate::validation::between;
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;
use std::path::PathBuf;

/// How an instance obtains the endpoint list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, JsonSchema, Validate)]
#[serde(rename = "Start", deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Bootstrap {
    /// Capacity of the list service, in requests per second from all gateways together.
    #[garde(range(min = 1, max = 1_000_000))]
    pub bears: u32,
    /// New connections per second, from all gateways together, that a newly started member accepts;
    /// the rate grows while the member warms up. The gateways take turns in connecting to such a
    /// member, and to one whose start time is unknown. Absent: connections are not paced.
    #[serde(default)]
    #[garde(inner(range(min = 1, max = 1_000_000)))]
    pub opens: Option<u32>,
    /// Name of the list service. Instances exchange endpoint lists only if this name is the same on
    /// both. A new name means that the service has restarted its revision numbers.
    #[serde(default)]
    #[garde(length(max = 64))]
    pub service: String,
    /// File on a durable disk that caches the endpoint list. Absent: a starting instance knows only
    /// the endpoints that the platform passes to it.
    #[serde(default)]
    pub list: Option<PathBuf>,
    /// How long an instance that has only a cached endpoint list waits for a current one before it
    /// reports that it is ready.
    #[serde(default = "default_kept_wait")]
    #[garde(custom(between("0ms", "1min")))]
    pub kept_wait: Duration,
    /// If the list service sends only older revisions for this long, it is assumed to have lost its
    /// state, and its revision is accepted.
    #[serde(default = "default_reset_after")]
    #[garde(custom(between("1s", "1h")))]
    pub reset_after: Duration,
}

fn default_kept_wait() -> Duration {
    Duration::from_millis(300)
}

fn default_reset_after() -> Duration {
    Duration::from_secs(60)
}
