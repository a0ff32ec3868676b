//! Membership of the operator's cluster: the other instances of this gateway.

use super::static_config::select_differing;
use crate::config::ClusterConfig;
use crate::reducer::effect::Effect;
use crate::reducer::timers::TimerKey;
use stackgw_cluster::{Cluster, ClusterSettings, Datagram, Event, Identity, ReceiveError};
use stackgw_router::api::Time;
use stackgw_sessions::Peer;

/// Datagrams to send and events to handle after a step of the cluster.
#[derive(Default)]
pub(crate) struct ClusterStep {
    datagrams: Vec<Datagram>,
    pub(crate) events: Vec<Event>,
}

impl ClusterStep {
    /// Takes the datagrams to send, as effects.
    pub(crate) fn take_effects(&mut self) -> impl Iterator<Item = Effect> {
        std::mem::take(&mut self.datagrams).into_iter().map(send)
    }
}

fn send(datagram: Datagram) -> Effect {
    Effect::ClusterDatagram(datagram.to, datagram.bytes)
}

/// The membership of the cluster, with the one timer that it needs.
pub(crate) struct ClusterMembership {
    cluster: Cluster,
    /// The options at the start; most cannot be changed without a restart.
    options: stackgw_config::Cluster,
    timer: Option<TimerKey>,
}

impl ClusterMembership {
    /// Joins the cluster as this incarnation of this instance.
    pub(crate) fn join(now: Time, config: &ClusterConfig, local: Peer, rng_seed: u64) -> Self {
        let settings = ClusterSettings {
            identity: Identity {
                peer: local,
                address: config.options.advertised_address(),
                rejoin_count: 0,
            },
            seeds: config.options.seeds.clone(),
            keyring: config.keyring.clone(),
            rng_seed,
            expected_instances: config.options.expected,
        };
        ClusterMembership {
            cluster: Cluster::new(now, settings),
            options: config.options.clone(),
            timer: None,
        }
    }

    pub(crate) fn cluster(&self) -> &Cluster {
        &self.cluster
    }

    /// Runs an action that sends through the cluster. Returns its datagrams as effects.
    pub(crate) fn send(
        &mut self,
        action: impl FnOnce(&mut Cluster, &mut Vec<Datagram>),
    ) -> impl Iterator<Item = Effect> {
        let mut datagrams = Vec::new();
        action(&mut self.cluster, &mut datagrams);
        datagrams.into_iter().map(send)
    }

    pub(crate) fn handle_datagram(
        &mut self,
        now: Time,
        bytes: &[u8],
    ) -> (ClusterStep, Result<(), ReceiveError>) {
        let mut step = ClusterStep::default();
        let received =
            self.cluster
                .handle_datagram(now, bytes, &mut step.datagrams, &mut step.events);
        (step, received)
    }

    /// Returns the number of rejected datagrams: without a valid envelope, with an unknown key, with a wrong signature, or
    /// malformed.
    pub(crate) fn rejected_datagrams(&self) -> u64 {
        let counters = self.cluster.counters();
        counters.foreign + counters.unknown_key + counters.forged + counters.malformed
    }

    /// Handles the membership's timer.
    pub(crate) fn handle_timeout(&mut self, now: Time) -> ClusterStep {
        self.timer = None;
        let mut step = ClusterStep::default();
        self.cluster
            .handle_timeout(now, &mut step.datagrams, &mut step.events);
        step
    }

    pub(crate) fn timer(&self) -> Option<TimerKey> {
        self.timer
    }

    pub(crate) fn set_timer(&mut self, timer: TimerKey) {
        self.timer = Some(timer);
    }

    /// Applies the keys and seeds of a new configuration. Returns the names of the options that differ and need a restart.
    pub(crate) fn reload(&mut self, now: Time, config: &ClusterConfig) -> Vec<&'static str> {
        let seeds = config.options.seeds.clone();
        self.cluster.reload(now, config.keyring.clone(), seeds);
        differing_options(&self.options, &config.options)
    }
}

/// Returns the names of the options that differ and that a running gateway cannot change.
fn differing_options(
    old: &stackgw_config::Cluster,
    new: &stackgw_config::Cluster,
) -> Vec<&'static str> {
    select_differing([
        ("cluster", old.name != new.name),
        ("listen", old.listen != new.listen),
        ("advertise", old.advertise != new.advertise),
        ("expected", old.expected != new.expected),
    ])
}
