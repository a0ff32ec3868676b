//! The other instances of the operator's cluster: membership changes and messages.

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

    /// Sends datagrams to other instances; does nothing without a cluster.
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
            let rejected = cluster.rejected_datagrams();
            let what = "rejected datagrams at the address of the cluster:";
            cx.log_rarely(rejected, what);
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
                    cx.log(format!("instance {name} is up at {}", id.address));
                }
            }
            Event::Down(id) => {
                if let Some(name) = self.instance_name(&id) {
                    cx.log(format!("instance {name} is down"));
                }
            }
            Event::Superseded(id) => cx.log(format!(
                "another process at {} uses this gateway's name: one of them must be stopped",
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

    /// Returns the name of an instance if sessions are shared. Without session sharing there may be hundreds of instances, and
    /// their changes are not logged.
    fn instance_name(&self, id: &Identity) -> Option<String> {
        let sessions = self.sessions.as_ref()?;
        Some(sessions.name(&id.peer.node))
    }

    /// Reschedules the membership's timer if its time has changed.
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
            _ => return cx.log("the cluster can be joined or left only by a restart"),
        };
        let unchanged = cluster.reload(cx.now, config);
        if !unchanged.is_empty() {
            let names = unchanged.join(", ");
            cx.log(format!("cluster: not applied until a restart: {names}"));
        }
    }
}
