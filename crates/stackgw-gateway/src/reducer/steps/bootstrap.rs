//! Bootstrap of the endpoint list: passes messages between `stackgw-bootstrap`, the watch, the other instances, the disk and
//! the router. `stackgw-bootstrap` decides which source is trusted for what.

use crate::discovery::ListEntry;
use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::state::bootstrap::BootstrapCoordination;
use crate::reducer::state::Gateway;
use crate::reducer::timers::Timer;
use stackgw_bootstrap::{
    Bootstrap, BootstrapSettings, CachedEndpoints, ConnectionPacer, LogEvent, MergeOutcome,
    Message, Observation, Output, PacerConfig, PeerSettings, PollRate, Reload, WatchScope,
};
use stackgw_router::api::{Event, GossipUpdate, ListScope, Time, MS};
use std::net::SocketAddr;

impl Gateway {
    pub(crate) fn enable_bootstrap(
        &mut self,
        cx: &mut Context<'_>,
        options: &stackgw_config::Bootstrap,
        cluster: Option<&stackgw_config::Cluster>,
        cached: Option<CachedEndpoints>,
    ) {
        let poll_rate = self.poll_rate(cx, options, cluster);
        let pacer = options.opens.map(|rate| {
            let config = self.pacer_config(poll_rate, rate);
            ConnectionPacer::new(config, self.seed)
        });
        let settings = BootstrapSettings {
            poll_rate,
            peers: cluster.map(|cluster| PeerSettings {
                advertised_address: cluster.advertised_address(),
                seeds: cluster.seeds.clone(),
            }),
            min_watch_leaders: stackgw_bootstrap::MIN_WATCH_LEADERS,
            service_id: stackgw_bootstrap::service_id(&options.service),
            drain_grace: cx.limits.drain_grace,
            watch_timeout: cx.limits.watch_idle_timeout,
            cached_list_wait: options.kept_wait.as_nanos(),
            service_reset_after: options.reset_after.as_nanos(),
            seed: self.seed,
        };
        let newest = self.newest_cached(cached);
        let service = options.service.clone();
        let (bootstrap, outputs) =
            BootstrapCoordination::new(cx.now, settings, newest, service, pacer);
        self.bootstrap = Some(Box::new(bootstrap));
        self.apply_bootstrap_outputs(cx, outputs);
        self.schedule_bootstrap(cx);
    }

    fn poll_rate(
        &self,
        cx: &Context<'_>,
        options: &stackgw_config::Bootstrap,
        cluster: Option<&stackgw_config::Cluster>,
    ) -> PollRate {
        let expected = cluster.map_or(0, |cluster| cluster.expected);
        let fleet_size = self.static_config.settings.router.fleet_size;
        PollRate {
            instance_number: self.gossip.local_index() as u32,
            fleet_size: fleet_size.max(expected),
            service_capacity: f64::from(options.bears),
            min_pause: cx.limits.watch_min_backoff,
        }
    }

    fn pacer_config(&self, poll_rate: PollRate, connection_rate: u32) -> PacerConfig {
        let obligations = &self.static_config.settings.router.obligations;
        PacerConfig {
            instance_number: poll_rate.instance_number,
            fleet_size: poll_rate.fleet_size,
            connection_rate: f64::from(connection_rate),
            cold_capacity_share: obligations.cold_capacity_share,
            warm_up_time: obligations.warm_up_time,
        }
    }

    /// Returns the newer of the lists in the disk cache and in the platform's configuration. The latter does not carry the time
    /// at which it was confirmed.
    fn newest_cached(&mut self, cached: Option<CachedEndpoints>) -> Option<CachedEndpoints> {
        let initial = self.watch.take_initial().map(|list| CachedEndpoints {
            list,
            confirmed_at: 0,
            warm_throughput: 0.0,
        });
        let lists = [cached, initial].into_iter().flatten();
        lists.max_by_key(|cached| cached.list.revision)
    }

    /// Runs an action on the bootstrap and applies its outputs.
    pub(super) fn run_bootstrap(
        &mut self,
        cx: &mut Context<'_>,
        action: impl FnOnce(&mut Bootstrap, &mut Vec<Output>),
    ) {
        if let Some(bootstrap) = self.bootstrap.as_mut() {
            let outputs = bootstrap.apply(action);
            self.apply_bootstrap_outputs(cx, outputs);
        }
    }

    fn apply_bootstrap_outputs(&mut self, cx: &mut Context<'_>, mut outputs: Vec<Output>) {
        for output in outputs.drain(..) {
            self.apply_bootstrap_output(cx, output);
        }
        if let Some(bootstrap) = self.bootstrap.as_mut() {
            bootstrap.recycle(outputs);
        }
        self.answer_awaiting_ready(cx);
    }

    fn apply_bootstrap_output(&mut self, cx: &mut Context<'_>, output: Output) {
        match output {
            Output::OpenWatch(after) => self.watch.open_after(cx, after),
            Output::CloseWatch => self.watch.close(cx),
            Output::Send(to, message) => {
                let body = message.encode();
                self.send_to_cluster(cx, |cluster, effects| {
                    cluster.send_bootstrap(to, &body, effects);
                });
            }
            Output::SeedWarmThroughput(rate) => self.router.seed_warm_throughput(rate),
            Output::Observations(observations) => self.merge_observations(cx, &observations),
            Output::Persist(cached) => cx.emit(Effect::StoreEndpoints(Box::new(cached))),
            Output::Endpoints(outcome) => self.apply_merged_endpoints(cx, outcome),
            Output::Log(event) => cx.log(describe(event)),
        }
    }

    fn apply_merged_endpoints(&mut self, cx: &mut Context<'_>, outcome: MergeOutcome) {
        match outcome {
            MergeOutcome::Complete(entries) => self.apply_list(cx, ListScope::Full, &entries),
            MergeOutcome::Cached(entries) => self.apply_list(cx, ListScope::Cached, &entries),
            MergeOutcome::Changed(entries) => self.apply_list(cx, ListScope::Changes, &entries),
            MergeOutcome::Unchanged | MergeOutcome::Stale => {}
        }
    }

    /// Reschedules the bootstrap's timer if its time has changed.
    pub(super) fn schedule_bootstrap(&mut self, cx: &mut Context<'_>) {
        if let Some(bootstrap) = self.bootstrap.as_mut() {
            let at = bootstrap.bootstrap().next_timeout(cx.now);
            let timer = cx
                .timers
                .reschedule(bootstrap.timer(), at, Timer::Bootstrap);
            bootstrap.set_timer(Some(timer));
        }
    }

    pub(super) fn handle_bootstrap_timeout(&mut self, cx: &mut Context<'_>) {
        if let Some(bootstrap) = self.bootstrap.as_mut() {
            bootstrap.set_timer(None);
        }
        let now = cx.now;
        let warm_throughput = self.router.warm_throughput();
        let observations = self.take_observations(now);
        self.run_bootstrap(cx, |bootstrap, outputs| {
            bootstrap.set_warm_throughput(warm_throughput);
            bootstrap.record_observations(now, observations);
            bootstrap.handle_timeout(now, outputs);
        });
    }

    /// Takes the members' roles and positions that responses have reported since the last call, for the other instances.
    fn take_observations(&mut self, now: Time) -> Vec<Observation> {
        // A response may be as old as the last call. Observations carry the time of that call, so that a role from before a
        // member's restart is not taken for one from after it.
        let bootstrap = self.bootstrap.as_mut();
        let since = bootstrap.map_or(now, |bootstrap| bootstrap.restart_observation(now));
        let updates = self.router.take_gossip();
        let observe = |update: &GossipUpdate| {
            let endpoint = self.members.get(update.member)?;
            Some(Observation {
                member_hash: Observation::hash_name(&endpoint.name),
                position_ms: u64::try_from(update.position? / MS).ok()?,
                is_primary: update.is_primary,
                observed_at_ms: u64::try_from(since / MS).ok()?,
            })
        };
        updates.iter().filter_map(observe).collect()
    }

    /// Passes the observations of members by other instances to the router.
    fn merge_observations(&mut self, cx: &mut Context<'_>, observations: &[Observation]) {
        for observation in observations {
            self.merge_observation(cx, observation);
        }
    }

    fn merge_observation(&mut self, cx: &mut Context<'_>, observation: &Observation) {
        let bootstrap = self.bootstrap.as_ref();
        let member =
            bootstrap.and_then(|bootstrap| bootstrap.member_by_hash(observation.member_hash));
        let Some(member) = member else {
            return;
        };
        let position = Some(observation.position()).filter(|at| *at > 0);
        if !self.is_plausible(cx, position) {
            return;
        }
        // A member that has restarted since the observation is not the primary until its own responses say so.
        let endpoint = self.members.get(member);
        let started_at = endpoint.and_then(|endpoint| endpoint.started_at);
        let is_current = started_at.is_none_or(|at| observation.observed_at() > at);
        let update = GossipUpdate {
            member,
            position,
            is_primary: observation.is_primary.filter(|_| is_current),
            latency_ratio: 0.0,
            samples: 0,
        };
        // A response is never older than the position that it carries.
        let observed_at = observation.observed_at().max(observation.position());
        self.router.enqueue(Event::Gossip {
            sent_at: observed_at.min(cx.now),
            relay: false,
            updates: vec![update],
        });
    }

    /// Updates the bootstrap with the members of a list.
    pub(super) fn update_bootstrap_members(&mut self, cx: &Context<'_>, entries: &[ListEntry]) {
        let Some(bootstrap) = self.bootstrap.as_mut() else {
            return;
        };
        for entry in entries {
            if let Some(member) = self.members.id_of(&entry.id) {
                bootstrap.update_member(cx.now, member, entry);
            }
        }
        bootstrap.schedule_new_members(cx.now);
    }

    /// Updates the router's connection permits for the members whose permits have changed.
    pub(super) fn update_connection_permits(&mut self, cx: &Context<'_>) {
        let Some(bootstrap) = self.bootstrap.as_mut() else {
            return;
        };
        let connections = &self.connections;
        let changed =
            bootstrap.take_changed_permits(cx.now, |member| connections.idle_count(member));
        for (member, permits) in changed {
            self.router.set_connection_permits(member, permits);
        }
    }

    /// Handles a bootstrap message from another instance.
    pub(super) fn handle_bootstrap_message(&mut self, cx: &mut Context<'_>, body: &[u8]) {
        let Some(message) = Message::decode(body) else {
            cx.counters.gossip_dropped += 1;
            return;
        };
        let now = cx.now;
        self.run_bootstrap(cx, |bootstrap, outputs| {
            bootstrap.handle_message(now, message, outputs);
        });
    }

    /// Updates the bootstrap after an instance has joined or left the cluster.
    pub(super) fn update_bootstrap_membership(&mut self, cx: &mut Context<'_>) {
        let Some(cluster) = self.cluster.as_ref() else {
            return;
        };
        let instances = cluster.cluster().instances();
        let live = instances.filter(|instance| instance.up);
        let addresses = live.map(|instance| instance.identity.address).collect();
        let now = cx.now;
        self.run_bootstrap(cx, |bootstrap, outputs| {
            bootstrap.update_membership(now, addresses, outputs);
        });
    }

    /// Applies the options that a running gateway can change. `list_moved`: the address of the endpoint list has changed.
    pub(super) fn reload_bootstrap(
        &mut self,
        cx: &mut Context<'_>,
        options: Option<&stackgw_config::Bootstrap>,
        seeds: &[SocketAddr],
        list_moved: bool,
    ) {
        let (bootstrap, options) = match (self.bootstrap.as_mut(), options) {
            (Some(bootstrap), Some(options)) => (bootstrap, options),
            (None, None) => return,
            _ => return cx.log("the `start` section can be added or removed only by a restart"),
        };
        let service_changed = bootstrap.set_service(&options.service);
        let reload = Reload {
            seeds,
            service_id: stackgw_bootstrap::service_id(&options.service),
            has_service_moved: list_moved || service_changed,
        };
        let now = cx.now;
        self.run_bootstrap(cx, |bootstrap, outputs| {
            bootstrap.reload(now, reload, outputs);
        });
    }
}

fn describe(event: LogEvent) -> String {
    match event {
        LogEvent::WatchEstablished(WatchScope::Fleet) => {
            "watching the endpoint list for the fleet".to_owned()
        }
        LogEvent::WatchEstablished(WatchScope::Standalone) => {
            "watching the endpoint list for this instance alone: no connected watch leader is known"
                .to_owned()
        }
        LogEvent::WatchReleased => {
            "closed the watch of the endpoint list; other instances watch it for the fleet"
                .to_owned()
        }
        LogEvent::ServiceBehind(version) => {
            format!("the list service sends lists older than the known version {version}")
        }
        LogEvent::ServiceReset => {
            "the list service restarted its version numbers; accepting its lists".to_owned()
        }
    }
}
