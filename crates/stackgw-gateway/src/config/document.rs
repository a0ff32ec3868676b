//! The platform's JSON document. Some of its fields can also be set by environment variables.

use super::error::ConfigError;
use super::{Config, OperatorConfig};
use crate::discovery;
use crate::limits::{Limits, Platform, MIN_DESCRIPTORS};
use serde_json::Value;
use stackgw_settings::PlatformSettings;
use std::net::SocketAddr;

/// Which value is used if both a field of the document and its environment variable are set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Precedence {
    /// The variable, as at start.
    Variables,
    /// The document, as when a running gateway reloads its file.
    Document,
}

/// Parses the document's text.
pub(super) fn parse(
    text: &str,
    variable: impl Fn(&str) -> Option<String>,
    precedence: Precedence,
) -> Result<Config, ConfigError> {
    let document = Document {
        json: serde_json::from_str(text).map_err(ConfigError::NotJson)?,
        variable,
        precedence,
    };
    // Only the first error is reported: errors in these fields come before those in fields that a variable may override.
    let peers = document.peers()?;
    let platform = document.platform()?;
    let settings = document.settings()?;
    let initial_endpoints = document.initial_endpoints()?;
    Ok(Config {
        name: document.text_or_variable("name", "ROUTER_NAME")?,
        listen: document.address_or_variable("listen", "ROUTER_LISTEN")?,
        discovery: document.address_or_variable("discovery", "ROUTER_DISCOVERY")?,
        seed: document.seed()?,
        peer_listen: document.optional_address("peer_listen")?,
        peers,
        peers_all: document.optional_address("peers_all")?,
        initial_endpoints,
        limits: Limits::new(platform, &settings),
        settings,
        file: None,
        operator: OperatorConfig::default(),
        session_sharing: None,
        cluster: None,
        bootstrap: None,
    })
}

struct Document<V> {
    json: Value,
    /// Looks up an environment variable by its name.
    variable: V,
    precedence: Precedence,
}

impl<V: Fn(&str) -> Option<String>> Document<V> {
    /// Returns a field's value; null counts as missing.
    fn field(&self, name: &str) -> Option<&Value> {
        self.json.get(name).filter(|value| !value.is_null())
    }

    /// Returns a field's value or that of its variable, by precedence. A value that is not a string counts as missing.
    fn text_or_variable(
        &self,
        field: &'static str,
        variable: &'static str,
    ) -> Result<String, ConfigError> {
        let in_document = || self.field(field).and_then(Value::as_str).map(str::to_owned);
        let text = match self.precedence {
            Precedence::Document => in_document().or_else(|| (self.variable)(variable)),
            Precedence::Variables => (self.variable)(variable).or_else(in_document),
        };
        text.ok_or(ConfigError::NoTextOrVariable { field, variable })
    }

    fn address_or_variable(
        &self,
        field: &'static str,
        variable: &'static str,
    ) -> Result<SocketAddr, ConfigError> {
        parse_address(field, &self.text_or_variable(field, variable)?)
    }

    fn optional_address(&self, field: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
        let Some(value) = self.field(field) else {
            return Ok(None);
        };
        let text = value.as_str().ok_or(ConfigError::NotText(field))?;
        parse_address(field, text).map(Some)
    }

    fn peers(&self) -> Result<Vec<SocketAddr>, ConfigError> {
        let Some(value) = self.field("peers") else {
            return Ok(Vec::new());
        };
        let addresses = value.as_array().ok_or(ConfigError::PeersNotAList)?;
        let parse_peer = |address: &Value| {
            let text = address.as_str().ok_or(ConfigError::PeerNotText)?;
            parse_address("peers", text)
        };
        addresses.iter().map(parse_peer).collect()
    }

    fn platform(&self) -> Result<Platform, ConfigError> {
        let limits = self
            .json
            .get("limits")
            .ok_or(ConfigError::Missing("limits"))?;
        let count = |field: &'static str| {
            let number = limits.get(field).and_then(Value::as_f64);
            let number = number.filter(|number| *number >= 1.0);
            number
                .map(|number| number as usize)
                .ok_or(ConfigError::NotPositive(field))
        };
        let platform = Platform {
            memory_mb: count("memory_mb")?,
            sockets: count("sockets")?,
        };
        if platform.sockets < MIN_DESCRIPTORS {
            return Err(ConfigError::TooFewSockets {
                sockets: platform.sockets,
                min: MIN_DESCRIPTORS,
            });
        }
        Ok(platform)
    }

    fn settings(&self) -> Result<PlatformSettings, ConfigError> {
        let settings = self
            .json
            .get("settings")
            .ok_or(ConfigError::Missing("settings"))?;
        PlatformSettings::from_json(settings).map_err(|error| ConfigError::Settings(error.into()))
    }

    fn initial_endpoints(&self) -> Result<Option<discovery::ListUpdate>, ConfigError> {
        let list = self.field("known").map(discovery::endpoint_list);
        list.transpose().map_err(ConfigError::InitialEndpoints)
    }

    /// Reads the seed, a string of hexadecimal digits or an integer.
    fn seed(&self) -> Result<u64, ConfigError> {
        let value = self.json.get("seed").unwrap_or(&Value::Null);
        let text = match (value.as_str(), value.as_u64()) {
            (Some(text), _) => text.to_owned(),
            (None, Some(number)) => return Ok(number),
            (None, None) => return Err(ConfigError::NotText("seed")),
        };
        u64::from_str_radix(&text, 16).map_err(|_| ConfigError::Seed(text))
    }
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address {
        field,
        text: text.to_owned(),
    })
}
