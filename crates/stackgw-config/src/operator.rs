//! The file as a whole.

use crate::bootstrap::Bootstrap;
use crate::cluster::Cluster;
use crate::flight::Flight;
use crate::log::Log;
use crate::sessions::Sessions;
use crate::validation::excludes;
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;
use std::path::PathBuf;

/// The operator's configuration file.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize, JsonSchema, Validate)]
#[serde(rename = "Operator", deny_unknown_fields)]
pub struct OperatorConfig {
    /// How the log is written.
    #[serde(default)]
    #[garde(dive)]
    pub log: Log,
    /// Path of a local socket at which a running gateway answers queries such as `stackgw
    /// sessions`. Absent: none.
    #[serde(default)]
    #[garde(skip)]
    pub control: Option<PathBuf>,
    /// Sessions that stay consistent across instances and restarts. Absent: off.
    #[serde(default)]
    #[garde(dive)]
    pub sessions: Option<Sessions>,
    /// Arrow Flight SQL for clients. Absent: off.
    #[serde(default)]
    #[garde(dive)]
    pub flight: Option<Flight>,
    /// The other instances, where sessions are not shared; `sessions` describes the cluster itself.
    /// Absent: this instance communicates with no other.
    #[serde(default)]
    #[garde(dive, custom(excludes(&self.sessions)))]
    pub cluster: Option<Cluster>,
    /// How this instance obtains the endpoint list where many instances share one list service.
    /// Absent: it polls the service at once and by itself.
    #[serde(default)]
    #[garde(dive)]
    pub start: Option<Bootstrap>,
}
