//! The other instances of the operator's cluster, and what comes from them.

use crate::config::ClusterConfig;
use crate::reducer::context::Context;
use crate::reducer::state::cluster::{ClusterMembership, ClusterStep};
use crate::reducer::state::Gateway;
use crate::reducer::timers::Timer;
use stackgw_cluster::{Cluster, Event, Identity};
use stackgw_sessions::Peer;

impl Gateway {
    pub(crate) fn join_cluster(
        &mut self,
        cx: &mut Context<'_>,
        config: &ClusterConfig,
        local: Peer,
    ) {
        let membership = ClusterMembership::join(cx.now, config, local, self.seed);
        self.cluster = Some(Box::new(membership));
        self.schedule_cluster(cx);
    }

    /// Sends to other instances, where there are any.
    pub(super) fn send_to_cluster(
        &mut self,
        cx: &mut Context<'_>,
        action: impl FnOnce(&mut Cluster, &mut Vec<stackgw_cluster::Datagram>),
    ) {
        if let Some(cluster) = self.cluster.as_mut() {
            cx.effects.extend(cluster.send(action));
        }
    }

    pub(super) fn handle_cluster_datagram(&mut self, cx: &mut Context<'_>, bytes: &[u8]) {
        let Some(cluster) = self.cluster.as_mut() else {
            return;
        };
        let (step, received) = cluster.handle_datagram(cx.now, bytes);
        if received.is_err() {
            let refused = cluster.refused_datagrams();
            let what = "datagrams refused that claim to be of this cluster:";
            cx.log_rarely(refused, what);
        }
        self.apply_cluster_step(cx, step);
    }

    pub(super) fn handle_cluster_timeout(&mut self, cx: &mut Context<'_>) {
        let Some(cluster) = self.cluster.as_mut() else {
            return;
        };
        let step = cluster.handle_timeout(cx.now);
        self.apply_cluster_step(cx, step);
        self.schedule_cluster(cx);
    }

    fn apply_cluster_step(&mut self, cx: &mut Context<'_>, mut step: ClusterStep) {
        cx.effects.extend(step.take_effects());
        let is_membership_change = |event: &Event| matches!(event, Event::Up(_) | Event::Down(_));
        let membership_changed = step.events.iter().any(is_membership_change);
        for event in step.events {
            self.handle_cluster_event(cx, event);
        }
        if membership_changed {
            self.update_bootstrap_membership(cx);
        }
    }

    fn handle_cluster_event(&mut self, cx: &mut Context<'_>, event: Event) {
        match event {
            Event::Up(id) => {
                if let Some(name) = self.instance_name(&id) {
                    cx.log(format!("instance {name} is at {}", id.address));
                }
            }
            Event::Down(id) => {
                if let Some(name) = self.instance_name(&id) {
                    cx.log(format!("instance {name} seems gone"));
                }
            }
            Event::Superseded(id) => cx.log(format!(
                "another process goes by this gateway's name at {}: one of them must end",
                id.address
            )),
            Event::Sessions { from, to, message } => {
                let now = cx.now;
                self.run_sessions(cx, |sessions, outputs| {
                    sessions.handle_message(now, from, to, message, outputs);
                });
            }
            Event::Bootstrap(body) => self.handle_bootstrap_message(cx, &body),
        }
    }

    /// The name of an instance, where sessions are shared. Without them, instances by the hundred come and go unlogged.
    fn instance_name(&self, id: &Identity) -> Option<String> {
        let sessions = self.sessions.as_ref()?;
        Some(sessions.name(&id.peer.node))
    }

    /// Sets the membership's timer again where its time has changed.
    pub(super) fn schedule_cluster(&mut self, cx: &mut Context<'_>) {
        if let Some(cluster) = self.cluster.as_mut() {
            let at = cluster.cluster().next_timeout();
            let timer = cx.timers.reschedule(cluster.timer(), at, Timer::Cluster);
            cluster.set_timer(timer);
        }
    }

    pub(super) fn reload_cluster(&mut self, cx: &mut Context<'_>, config: Option<&ClusterConfig>) {
        let (cluster, config) = match (self.cluster.as_mut(), config) {
            (Some(cluster), Some(config)) => (cluster, config),
            (None, None) => return,
            _ => return cx.log("the cluster is joined or left by a restart alone"),
        };
        let unchanged = cluster.reload(cx.now, config);
        if !unchanged.is_empty() {
            let names = unchanged.join(", ");
            cx.log(format!("cluster: unchanged until a restart: {names}"));
        }
    }
}
