//! A new configuration for a running gateway.

use super::*;
use crate::config::{ConfigError, FlightConfig};

/// The parts of a configuration that a running gateway cannot change.
#[derive(Debug, PartialEq)]
pub(super) struct Fixed {
    pub(super) name: String,
    pub(super) listen: SocketAddr,
    pub(super) peer_listen: Option<SocketAddr>,
    pub(super) settings: PlatformSettings,
    pub(super) limits: Limits,
    /// What another front runs by: its thread has it from its start on.
    flight: Option<FlightConfig>,
}

impl Fixed {
    pub(super) fn of(config: &Config) -> Self {
        Fixed {
            name: config.name.clone(),
            listen: config.listen,
            peer_listen: config.peer_listen,
            settings: config.settings.clone(),
            limits: config.limits.clone(),
            flight: config.operator.flight.clone(),
        }
    }

    /// The names of the parts in which another differs.
    pub(super) fn differs(&self, other: &Fixed) -> Vec<&'static str> {
        let parts = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("peer_listen", self.peer_listen != other.peer_listen),
            ("settings", self.settings != other.settings),
            ("flight", self.flight != other.flight),
            (
                "limits",
                self.settings == other.settings && self.limits != other.limits,
            ),
        ];
        parts
            .into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(name, _)| name)
            .collect()
    }
}

impl Reducer {
    /// Takes what a running gateway can change; what it cannot is said. A configuration that cannot be used changes
    /// nothing.
    pub(super) fn reload(
        &mut self,
        now: Time,
        config: Result<Box<Config>, ConfigError>,
        out: &mut Vec<Effect>,
    ) {
        self.counters.reloads += 1;
        let config = match config {
            Ok(config) => config,
            Err(why) => {
                self.counters.reloads_failed += 1;
                return out.push(Effect::Log(format!(
                    "the old configuration stays in force: {why}"
                )));
            }
        };
        let mut said = format!(
            "configuration read anew, the list is at {}",
            config.discovery
        );
        let fixed = self.fixed.differs(&Fixed::of(&config));
        if !fixed.is_empty() {
            said += &format!("; unchanged until a restart: {}", fixed.join(", "));
        }
        out.push(Effect::Log(said));
        self.cluster_reload(now, config.cluster.as_ref(), out);
        self.shared_reload(now, config.session_sharing, out);
        (self.peers, self.peers_all) = (config.peers, config.peers_all);
        let moved = std::mem::replace(&mut self.discovery, config.discovery) != config.discovery;
        let seeds = config
            .cluster
            .map(|cluster| cluster.options.seeds)
            .unwrap_or_default();
        self.start_reload(now, config.bootstrap.as_ref(), &seeds, moved, out);
        if !moved || self.starting.is_some() {
            return;
        }
        // Danger: another source counts its versions anew. Held to the old one's, its word would be taken for old.
        (self.revision, self.watch_pause) = (None, 0);
        self.unwatch(out);
        if self.subscribed {
            self.watch(now, out);
        }
        if self.fetching {
            out.push(Effect::FetchEndpoints(self.discovery));
        }
    }
}
