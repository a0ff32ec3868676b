//! The parts of a configuration that a running gateway cannot change.

use crate::config::{Config, FlightConfig};
use crate::limits::Limits;
use stackgw_settings::PlatformSettings;
use std::net::SocketAddr;

/// The parts that stay unchanged until a restart.
#[derive(Debug, PartialEq)]
pub(crate) struct StaticConfig {
    pub(crate) name: String,
    listen: SocketAddr,
    peer_listen: Option<SocketAddr>,
    pub(crate) settings: PlatformSettings,
    limits: Limits,
    /// Configuration of the Arrow Flight frontend, which its thread reads only at the start.
    flight: Option<FlightConfig>,
}

impl StaticConfig {
    pub(crate) fn of(config: &Config) -> Self {
        StaticConfig {
            name: config.name.clone(),
            listen: config.listen,
            peer_listen: config.peer_listen,
            settings: config.settings.clone(),
            limits: config.limits.clone(),
            flight: config.operator.flight.clone(),
        }
    }

    /// Returns the names of the parts in which another configuration differs.
    pub(crate) fn differing_parts(&self, other: &StaticConfig) -> Vec<&'static str> {
        let same_settings = self.settings == other.settings;
        select_differing([
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("peer_listen", self.peer_listen != other.peer_listen),
            ("settings", !same_settings),
            ("flight", self.flight != other.flight),
            ("limits", same_settings && self.limits != other.limits),
        ])
    }
}

/// Returns the names of the parts that differ.
pub(crate) fn select_differing<const N: usize>(
    parts: [(&'static str, bool); N],
) -> Vec<&'static str> {
    let differing = parts.into_iter().filter(|(_, differs)| *differs);
    differing.map(|(name, _)| name).collect()
}
