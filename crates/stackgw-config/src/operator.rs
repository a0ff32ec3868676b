//! The top level of the operator's file.

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
    /// sessions`. Absent: no socket is opened.
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
    /// The other instances, for a gateway that does not share sessions; the section `sessions`
    /// describes the cluster too and excludes this one. Absent: this instance does not communicate
    /// with other instances.
    #[serde(default)]
    #[garde(dive, custom(excludes(&self.sessions)))]
    pub cluster: Option<Cluster>,
    /// How this instance obtains the endpoint list if many instances share one list service.
    /// Absent: it polls the list service on its own, without delay.
    #[serde(default)]
    #[garde(dive)]
    pub start: Option<Bootstrap>,
}
