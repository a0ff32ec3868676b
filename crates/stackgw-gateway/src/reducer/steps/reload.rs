//! Reload of the configuration of a running gateway.

use crate::config::{Config, ConfigError};
use crate::reducer::context::Context;
use crate::reducer::state::static_config::StaticConfig;
use crate::reducer::state::Gateway;

impl Gateway {
    /// Applies the parts of a configuration that a running gateway can change, and logs the names of the changed parts that need a
    /// restart. An invalid configuration changes nothing and is logged.
    pub(super) fn reload(
        &mut self,
        cx: &mut Context<'_>,
        config: Result<Box<Config>, ConfigError>,
    ) {
        cx.counters.reloads += 1;
        let config = match config {
            Ok(config) => config,
            Err(error) => {
                cx.counters.reloads_failed += 1;
                return cx.log(format!("the old configuration stays in force: {error}"));
            }
        };
        self.log_reload(cx, &config);
        self.reload_cluster(cx, config.cluster.as_ref());
        self.reload_sessions(cx, config.session_sharing.as_ref());
        self.gossip.set_peers(config.peers, config.peers_all);
        let list_moved = self.watch.move_to(config.discovery);
        let cluster = config.cluster.as_ref();
        let seeds = cluster.map_or(&[][..], |cluster| &cluster.options.seeds);
        self.reload_bootstrap(cx, config.bootstrap.as_ref(), seeds, list_moved);
        if list_moved && self.bootstrap.is_none() {
            self.watch.restart(cx);
        }
    }

    fn log_reload(&self, cx: &mut Context<'_>, config: &Config) {
        let mut line = format!(
            "configuration reloaded, endpoint list at {}",
            config.discovery
        );
        let not_applied = self
            .static_config
            .differing_parts(&StaticConfig::of(config));
        if !not_applied.is_empty() {
            line += &format!("; not applied until a restart: {}", not_applied.join(", "));
        }
        cx.log(line);
    }
}
