//! A gateway's configuration: the platform's JSON document that `ROUTER_CONFIG` names, the variables that override its fields,
//! and what the operator's file turns on.
//!
//! A configuration is either valid as a whole or rejected with one line that names the variable, file or field at fault.

mod document;
mod error;
mod file;

pub use error::{ConfigError, FileError, KeyError};

use crate::discovery::ListUpdate;
use crate::limits::Limits;
use document::Precedence;
use file::{read_document, read_keyring};
use stackgw_cluster::Keyring;
use stackgw_settings::PlatformSettings;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A gateway's configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// The gateway's name, the same after a restart.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of the list service.
    pub discovery: SocketAddr,
    /// The seed of the random numbers.
    pub seed: u64,
    /// The address on which datagrams from other gateways are received.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of all gateways of the tier, this one included.
    pub peers: Vec<SocketAddr>,
    /// An address that reaches all gateways of the tier.
    pub peers_all: Option<SocketAddr>,
    /// The endpoint list that this gateway knew last.
    pub initial_endpoints: Option<ListUpdate>,
    /// The settings of the router and of the gateway.
    pub settings: PlatformSettings,
    /// The limits: sizes, counts and times.
    pub limits: Limits,
    /// The file that the platform's document was read from; `None` if it was parsed from text.
    pub file: Option<PathBuf>,
    /// The operator's file; without one all its features are off.
    pub operator: OperatorConfig,
    /// Sharing of sessions among instances; `None`: off.
    pub session_sharing: Option<SessionSharingConfig>,
    /// How this instance reaches the others: the `cluster` part of the operator's file, or else its `sessions` part. `None`: it
    /// has neither.
    pub cluster: Option<ClusterConfig>,
    /// How this instance obtains the endpoint list; `None`: only from the list service and the platform's document.
    pub bootstrap: Option<stackgw_config::Bootstrap>,
}

/// The parts of the operator's file that every gateway uses.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OperatorConfig {
    /// The path of the file.
    pub file: Option<PathBuf>,
    /// The format of the log.
    pub format: stackgw_config::LogFormat,
    /// The path of the control socket.
    pub control: Option<PathBuf>,
    /// Arrow Flight SQL; `None`: off.
    pub flight: Option<FlightConfig>,
}

/// Arrow Flight SQL, and the keys of its tickets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlightConfig {
    /// The operator's options.
    pub options: stackgw_config::Flight,
    /// The keys that the options name.
    pub keyring: Keyring,
}

/// Sharing of sessions among instances, and the keys that the instances share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionSharingConfig {
    /// The operator's options.
    pub options: stackgw_config::Sessions,
    /// The keys that the options name.
    pub keyring: Keyring,
}

/// How this instance reaches the others, and the keys that they share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterConfig {
    /// The operator's options.
    pub options: stackgw_config::Cluster,
    /// The keys that the options name.
    pub keyring: Keyring,
}

impl From<&SessionSharingConfig> for ClusterConfig {
    fn from(session_sharing: &SessionSharingConfig) -> Self {
        ClusterConfig {
            options: session_sharing.options.cluster(),
            keyring: session_sharing.keyring.clone(),
        }
    }
}

impl SessionSharingConfig {
    fn read(options: stackgw_config::Sessions) -> Result<Self, KeyError> {
        let keyring = read_keyring("sessions.keys", &options.cluster, &options.keys)?;
        Ok(SessionSharingConfig { options, keyring })
    }
}

impl ClusterConfig {
    fn read(options: stackgw_config::Cluster) -> Result<Self, KeyError> {
        let keyring = read_keyring("cluster.keys", &options.name, &options.keys)?;
        Ok(ClusterConfig { options, keyring })
    }
}

impl FlightConfig {
    fn read(options: stackgw_config::Flight) -> Result<Self, KeyError> {
        let keyring = read_keyring("flight.keys", "flight", &options.keys)?;
        Ok(FlightConfig { options, keyring })
    }
}

impl Config {
    /// Reads the environment and the file that `ROUTER_CONFIG` names.
    ///
    /// # Errors
    ///
    /// `ROUTER_CONFIG` is not set, its file cannot be used, or a variable that overrides a field is malformed.
    pub fn from_env(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = PathBuf::from(variable("ROUTER_CONFIG").ok_or(ConfigError::NoDocument)?);
        let config = Self::from_text(&document_text(&path)?, variable)?;
        Ok(Config {
            file: Some(path),
            ..config
        })
    }

    /// Parses the document's text; environment variables override its fields.
    ///
    /// # Errors
    ///
    /// The text is not valid JSON, or a field or its variable is missing or malformed; only the first such error is returned.
    pub fn from_text(
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        document::parse(text, variable, Precedence::Variables)
    }

    /// Adds the features that the operator's file turns on.
    ///
    /// # Errors
    ///
    /// The file, or a key that it names, cannot be used.
    pub fn with_operator(self, file: &Path) -> Result<Self, ConfigError> {
        let options = stackgw_config::read(file)?;
        let key_error = |source| ConfigError::Keys {
            file: file.to_owned(),
            source,
        };
        let session_sharing = options.sessions.map(SessionSharingConfig::read);
        let session_sharing = session_sharing.transpose().map_err(key_error)?;
        let cluster = match options.cluster {
            Some(options) => Some(ClusterConfig::read(options).map_err(key_error)?),
            None => session_sharing.as_ref().map(ClusterConfig::from),
        };
        let flight = options.flight.map(FlightConfig::read);
        let flight = flight.transpose().map_err(key_error)?;
        let operator = OperatorConfig {
            file: Some(file.to_owned()),
            format: options.log.format,
            control: options.control,
            flight,
        };
        Ok(Config {
            operator,
            session_sharing,
            cluster,
            bootstrap: options.start,
            ..self
        })
    }

    /// Returns a reloader of this configuration's files.
    pub fn reloader(&self) -> ConfigReloader {
        ConfigReloader {
            file: self.file.clone(),
            operator_file: self.operator.file.clone(),
            name: self.name.clone(),
            listen: self.listen,
            discovery: self.discovery,
        }
    }
}

/// Reloads the files of a running gateway.
///
/// Environment variables take precedence only at start. On a reload the document's fields take precedence, and the name and the
/// addresses of `listen` and `discovery` keep their values from the start if the document omits them.
#[derive(Debug, Clone)]
pub struct ConfigReloader {
    file: Option<PathBuf>,
    operator_file: Option<PathBuf>,
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
}

impl ConfigReloader {
    /// Reads the configuration from the files again.
    ///
    /// # Errors
    ///
    /// No file was named at start, or one cannot be used.
    pub fn reload(&self) -> Result<Config, ConfigError> {
        let file = self.file.as_deref().ok_or(ConfigError::NoFile)?;
        let at_start = |variable: &str| match variable {
            "ROUTER_NAME" => Some(self.name.clone()),
            "ROUTER_LISTEN" => Some(self.listen.to_string()),
            "ROUTER_DISCOVERY" => Some(self.discovery.to_string()),
            _ => None,
        };
        let config = document::parse(&document_text(file)?, at_start, Precedence::Document)?;
        match &self.operator_file {
            Some(operator_file) => config.with_operator(operator_file),
            None => Ok(config),
        }
    }
}

fn document_text(path: &Path) -> Result<String, ConfigError> {
    read_document(path).map_err(|source| ConfigError::Document {
        path: path.to_owned(),
        source,
    })
}
