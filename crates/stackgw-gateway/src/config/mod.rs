//! A gateway's configuration: the platform's JSON document that `ROUTER_CONFIG` names, the variables that override its fields,
//! and what the operator's file turns on.
//!
//! A configuration is either valid as a whole or refused with one line that names the variable, file or field at fault.

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
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The list service.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Where other gateways' datagrams arrive.
    pub peer_listen: Option<SocketAddr>,
    /// One address for each gateway of the tier, this one included.
    pub peers: Vec<SocketAddr>,
    /// An address that reaches all of them.
    pub peers_all: Option<SocketAddr>,
    /// The endpoint list as this gateway last had it.
    pub initial_endpoints: Option<ListUpdate>,
    /// The settings, for the router and for its host.
    pub settings: PlatformSettings,
    /// Every size, count and time.
    pub limits: Limits,
    /// The file that it was read from.
    pub file: Option<PathBuf>,
    /// The operator's file; without one everything in it is off.
    pub operator: OperatorConfig,
    /// Sessions across instances; `None`: off.
    pub session_sharing: Option<SessionSharingConfig>,
    /// The other instances, as either part of the operator's file names them.
    pub cluster: Option<ClusterConfig>,
    /// How this instance comes to know the endpoint list, where not as the platform has it.
    pub bootstrap: Option<stackgw_config::Bootstrap>,
}

/// The operator's file as far as a gateway needs it from the beginning.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OperatorConfig {
    /// Where it is.
    pub file: Option<PathBuf>,
    /// The log's form.
    pub format: stackgw_config::LogFormat,
    /// The local socket.
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

/// Sessions across instances, and the keys that the instances share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionSharingConfig {
    /// The operator's options.
    pub options: stackgw_config::Sessions,
    /// The keys that the options name.
    pub keyring: Keyring,
}

/// The other instances, and the keys that they share.
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
    /// Reads the environment and the file that it names.
    ///
    /// # Errors
    ///
    /// No file is named, or it cannot be used.
    pub fn from_env(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = PathBuf::from(variable("ROUTER_CONFIG").ok_or(ConfigError::NoDocument)?);
        let config = Self::from_text(&document_text(&path)?, variable)?;
        Ok(Config {
            file: Some(path),
            ..config
        })
    }

    /// Reads the document's text; variables override its fields.
    ///
    /// # Errors
    ///
    /// The first field that is missing or malformed.
    pub fn from_text(
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        document::parse(text, variable, Precedence::Variables)
    }

    /// The same with what the operator's file turns on.
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

    /// What reads this configuration's files again.
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

/// Reads the files of a running gateway again. What the environment said holds for the start alone: where both name something
/// the document now wins, and the environment only stands in for what it leaves out.
#[derive(Debug, Clone)]
pub struct ConfigReloader {
    file: Option<PathBuf>,
    operator_file: Option<PathBuf>,
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
}

impl ConfigReloader {
    /// The configuration as the files have it now.
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
