//! The other instances of the operator's cluster: who is there, and what comes from them, handed on to whom it is for.

use super::*;
use crate::config::ClusterConfig;
use stackgw_cluster::{Cluster, Event as Word, Identity};
use stackgw_sessions::Peer;

/// The membership, and its one timer.
pub(super) struct Membership {
    pub(super) cluster: Cluster,
    /// What holds until a restart, as it was at start.
    file: stackgw_config::Cluster,
    due: Option<TimerKey>,
}

/// The names of those fields that a running gateway cannot change and in which another file differs.
fn differs(old: &stackgw_config::Cluster, new: &stackgw_config::Cluster) -> Vec<&'static str> {
    let parts = [
        ("cluster", old.name != new.name),
        ("listen", old.listen != new.listen),
        ("advertise", old.advertise != new.advertise),
        ("expected", old.expected != new.expected),
    ];
    parts
        .into_iter()
        .filter(|(_, differs)| *differs)
        .map(|(name, _)| name)
        .collect()
}

pub(super) fn datagram(effect: stackgw_cluster::Effect) -> Effect {
    let stackgw_cluster::Effect::Send(to, bytes) = effect;
    Effect::ClusterDatagram(to, bytes)
}

impl Reducer {
    /// Looks for the other instances from now on, as this life of this one; before [`Input::Start`].
    pub fn join_cluster(&mut self, now: Time, config: &ClusterConfig, me: Peer) {
        let settings = stackgw_cluster::ClusterSettings {
            identity: Identity {
                peer: me,
                address: config.options.advertised_address(),
                rejoin_count: 0,
            },
            seeds: config.options.seeds.clone(),
            keyring: config.keyring.clone(),
            rng_seed: self.secret,
            expected_instances: config.options.expected,
        };
        let cluster = Cluster::new(now, settings);
        self.cluster = Some(Box::new(Membership {
            cluster,
            file: config.options.clone(),
            due: None,
        }));
        self.cluster_due_set();
    }

    /// Sends by way of the membership.
    pub(super) fn cluster_send(
        &mut self,
        out: &mut Vec<Effect>,
        send: impl FnOnce(&mut Cluster, &mut Vec<stackgw_cluster::Effect>),
    ) {
        let Some(member) = self.cluster.as_mut() else {
            return;
        };
        let mut effects = Vec::new();
        send(&mut member.cluster, &mut effects);
        out.extend(effects.into_iter().map(datagram));
    }

    pub(super) fn cluster_datagram(&mut self, now: Time, bytes: &[u8], out: &mut Vec<Effect>) {
        let Some(member) = self.cluster.as_mut() else {
            return;
        };
        let (mut effects, mut events) = (Vec::new(), Vec::new());
        if member
            .cluster
            .handle_datagram(now, bytes, &mut effects, &mut events)
            .is_err()
        {
            let counts = member.cluster.counters();
            let refused = counts.foreign + counts.unknown_key + counts.forged + counts.malformed;
            log_rarely(
                refused,
                "datagrams refused that claim to be of this cluster:",
                out,
            );
        }
        out.extend(effects.into_iter().map(datagram));
        self.cluster_events(now, events, out);
    }

    fn cluster_events(&mut self, now: Time, events: Vec<Word>, out: &mut Vec<Effect>) {
        let met = events
            .iter()
            .any(|event| matches!(event, Word::Up(_) | Word::Down(_)));
        for event in events {
            // Instances by the hundred come and go; the operator knows keepers of sessions by name.
            let name = |id: &Identity| {
                self.shared
                    .as_ref()
                    .map(|shared| shared.name(&id.peer.node))
            };
            match event {
                Word::Up(id) => {
                    let said =
                        name(&id).map(|name| format!("instance {name} is at {}", id.address));
                    out.extend(said.map(Effect::Log));
                }
                Word::Down(id) => {
                    let said = name(&id).map(|name| format!("instance {name} seems gone"));
                    out.extend(said.map(Effect::Log));
                }
                Word::Superseded(id) => out.push(Effect::Log(format!(
                    "another process goes by this gateway's name at {}: one of them must end",
                    id.address
                ))),
                Word::Sessions(from, to, message) => {
                    self.with_shared(now, out, |sessions, outputs| {
                        sessions.handle_message(now, from, to, message, outputs);
                    });
                }
                Word::Bootstrap(body) => self.start_heard(now, &body, out),
            }
        }
        if met {
            self.start_met(now, out);
        }
    }

    pub(super) fn cluster_due(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(member) = self.cluster.as_mut() else {
            return;
        };
        member.due = None;
        let (mut effects, mut events) = (Vec::new(), Vec::new());
        member
            .cluster
            .handle_timeout(now, &mut effects, &mut events);
        out.extend(effects.into_iter().map(datagram));
        self.cluster_events(now, events, out);
        self.cluster_due_set();
    }

    /// Sets the membership's timer anew where its moment has changed.
    pub(super) fn cluster_due_set(&mut self) {
        let Some(member) = self.cluster.as_ref() else {
            return;
        };
        let key = self.moved(member.due, member.cluster.next_timeout(), Due::Cluster);
        if let Some(member) = self.cluster.as_mut() {
            member.due = Some(key);
        }
    }

    /// The one timer of some part, set for `due`: as it is, or anew in place of the one before.
    pub(super) fn moved(&mut self, before: Option<TimerKey>, due: Time, what: Due) -> TimerKey {
        if let Some(key) = before.filter(|(at, _)| *at == due) {
            return key;
        }
        if let Some(before) = before {
            self.timers.remove(&before);
        }
        self.set_timer(due, what)
    }

    pub(super) fn cluster_reload(
        &mut self,
        now: Time,
        config: Option<&ClusterConfig>,
        out: &mut Vec<Effect>,
    ) {
        let (member, config) = match (self.cluster.as_mut(), config) {
            (Some(member), Some(config)) => (member, config),
            (None, None) => return,
            _ => {
                return out.push(Effect::Log(
                    "the cluster is joined or left by a restart alone".to_owned(),
                ))
            }
        };
        let fixed = differs(&member.file, &config.options);
        if !fixed.is_empty() {
            out.push(Effect::Log(format!(
                "cluster: unchanged until a restart: {}",
                fixed.join(", ")
            )));
        }
        member
            .cluster
            .reload(now, config.keyring.clone(), config.options.seeds.clone());
    }
}
