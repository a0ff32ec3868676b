//! The state machine of one instance: routes messages, watch events and timeouts to the modules that handle them, and returns
//! outputs to the caller. The rules of the watch and of the exchange with peers are in the submodules.

mod peers;
mod watch;

use crate::endpoint_cache::EndpointCache;
use crate::leader_poller::LeaderPoller;
use crate::message::Message;
use crate::observation::{Observation, Observations};
use crate::output::{BootstrapCounters, CachedEndpoints, Output};
use crate::peer_contact::PeerContact;
use crate::poll_schedule::PollSchedule;
use crate::readiness::Readiness;
use crate::service_watch::{Pollers, ServiceWatch};
use crate::settings::{BootstrapSettings, Reload};
use crate::snapshot_sender::SnapshotSender;
use crate::update_source::UpdateSource;
use crate::warm_throughput::WarmThroughput;
use crate::watch_leaders::WatchLeaders;
use stackgw_router::api::{Span, Time, MS};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Obtains the endpoint list for one instance and keeps it up to date.
#[derive(Debug, Clone, PartialEq)]
pub struct Bootstrap {
    settings: BootstrapSettings,
    cache: EndpointCache,
    /// `None` if there is no cluster.
    leaders: Option<WatchLeaders>,
    watch: ServiceWatch,
    poller: LeaderPoller,
    sender: SnapshotSender,
    contact: PeerContact,
    readiness: Readiness,
    /// When the list was last output to be stored; `None` if it never was, or has changed since.
    persisted_at: Option<Time>,
    warm_throughput: WarmThroughput,
    observations: Observations,
    counters: BootstrapCounters,
}

impl Bootstrap {
    /// Creates an instance that starts now, with the list stored on its disk, if any.
    pub fn new(
        now: Time,
        settings: BootstrapSettings,
        cached: Option<CachedEndpoints>,
        out: &mut Vec<Output>,
    ) -> Self {
        let mut bootstrap = Bootstrap::empty(now, settings);
        if let Some(CachedEndpoints {
            list,
            confirmed_at,
            warm_throughput,
        }) = cached
        {
            bootstrap.seed_warm_throughput(warm_throughput, out);
            let source = UpdateSource::Cached {
                confirmed_at: confirmed_at.min(now),
            };
            out.push(Output::Endpoints(bootstrap.cache.merge(now, list, source)));
        }
        bootstrap.update_watch(now, out);
        bootstrap
    }

    fn empty(now: Time, settings: BootstrapSettings) -> Self {
        let fleet_size = settings.poll_rate.fleet_size;
        let leaders = settings.peers.as_ref().map(|peers| {
            let seeds = peers.seeds.iter().copied();
            WatchLeaders::new(
                peers.advertised_address,
                seeds,
                fleet_size,
                settings.min_watch_leaders,
            )
        });
        let fleet = fleet_size.max(1);
        let leader_count = leaders
            .as_ref()
            .map_or(fleet, |leaders| leaders.leader_count().min(fleet));
        let pollers = Pollers {
            leaders: leader_count,
            fleet,
        };
        let schedule = PollSchedule::new(settings.poll_rate, settings.seed);
        let poller = LeaderPoller::new(now, settings.drain_grace, settings.seed);
        Bootstrap {
            cache: EndpointCache::new(settings.service_reset_after),
            leaders,
            watch: ServiceWatch::new(now, schedule, pollers, settings.watch_timeout),
            sender: SnapshotSender::new(now, fleet_size, poller.interval()),
            poller,
            contact: PeerContact::new(settings.watch_timeout),
            readiness: Readiness::new(now, settings.cached_list_wait),
            persisted_at: None,
            warm_throughput: WarmThroughput::default(),
            observations: Observations::default(),
            counters: BootstrapCounters::default(),
            settings,
        }
    }

    /// Returns the endpoint list.
    pub fn cache(&self) -> &EndpointCache {
        &self.cache
    }

    /// Returns the counters since the instance started.
    pub fn counters(&self) -> BootstrapCounters {
        self.counters
    }

    /// Returns the instances that should watch the list service, as this instance sees them.
    pub fn watch_leaders(&self) -> Vec<SocketAddr> {
        self.leaders
            .iter()
            .flat_map(WatchLeaders::leaders)
            .collect()
    }

    /// Returns whether this instance has an open watch that has received a list that is not older than the cache.
    pub fn is_watch_live(&self) -> bool {
        self.watch.is_live()
    }

    /// Returns whether the list may be used for routing: there is one, and it is confirmed or the wait for a confirmed one has
    /// ended.
    pub fn is_ready(&self, now: Time) -> bool {
        self.readiness.is_ready(now, self.cache.origin())
    }

    /// Returns how long a client should wait before it retries while this instance is not ready; at least
    /// [`PollRate::min_pause`](crate::PollRate::min_pause).
    pub fn retry_after(&self, now: Time) -> Span {
        let polled_at = self.watch.scheduled_at().unwrap_or(now) + self.poller.interval();
        let ready_at = match self.cache.origin() {
            Some(_) => polled_at.min(self.readiness.cached_list_ready_at()),
            None => polled_at,
        };
        (ready_at - now).max(self.settings.poll_rate.min_pause)
    }

    /// Sets how many requests per second a warm member answers this instance, as measured by the router; 0 if it has no
    /// measurements yet.
    pub fn set_warm_throughput(&mut self, throughput: f64) {
        self.warm_throughput.set_measured(throughput);
    }

    /// Records observations of members from answers to this instance, to be sent to peers.
    pub fn record_observations(
        &mut self,
        now: Time,
        observations: impl IntoIterator<Item = Observation>,
    ) {
        for observation in observations {
            self.observations
                .record_own(now, observation, self.settings.watch_timeout);
        }
    }

    // Timeouts.

    /// Returns when [`Bootstrap::handle_timeout`] must be called next; it may be called earlier.
    pub fn next_timeout(&self, now: Time) -> Time {
        let service_lost_at = self.contact.lost_at(self.readiness.started_at());
        let watch = self.watch.next_timeout().unwrap_or(service_lost_at);
        let readiness = self.readiness.next_change(now).unwrap_or(Time::MAX);
        let poll = self
            .leaders
            .as_ref()
            .map_or(Time::MAX, |_| self.poller.next_timeout());
        watch.max(now + MS).min(readiness).min(poll.max(now + MS))
    }

    /// Handles all timeouts that are due.
    pub fn handle_timeout(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.watch.has_timed_out(now) {
            out.push(Output::CloseWatch);
            self.handle_watch_lost(now, None, out);
        }
        if self.poller.abandon_overdue(now) {
            self.counters.polls_unanswered += 1;
        }
        self.update_watch(now, out);
        if self.poller.is_due(now) {
            self.poll_leaders(now, out);
        }
    }

    // Inputs from the cluster and the operator.

    /// Sets the peers that are live according to the cluster's membership.
    pub fn update_membership(
        &mut self,
        now: Time,
        live_peers: BTreeSet<SocketAddr>,
        out: &mut Vec<Output>,
    ) {
        if let Some(leaders) = self.leaders.as_mut() {
            leaders.update_membership(live_peers);
            self.update_watch(now, out);
        }
    }

    /// Applies new seeds, and a change of the list service if there is one.
    pub fn reload(&mut self, now: Time, reload: Reload<'_>, out: &mut Vec<Output>) {
        if let Some(leaders) = self.leaders.as_mut() {
            leaders.set_seeds(reload.seeds.iter().copied());
        }
        if self.settings.service_id != reload.service_id || reload.has_service_moved {
            self.settings.service_id = reload.service_id;
            self.cache.change_service();
            self.contact = PeerContact::new(self.settings.watch_timeout);
            self.readiness.restart(now);
            if self.watch.restart(now) {
                out.push(Output::CloseWatch);
            }
        }
        self.update_watch(now, out);
    }

    /// Handles a message from a peer. Messages about another list service are only counted.
    pub fn handle_message(&mut self, now: Time, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Poll(poll) if poll.service_id == self.settings.service_id => {
                self.handle_poll(now, poll, out);
            }
            Message::Snapshot(snapshot) if snapshot.service_id == self.settings.service_id => {
                self.handle_snapshot(now, snapshot, out);
            }
            Message::Poll(_) | Message::Snapshot(_) => self.counters.foreign_messages += 1,
        }
    }

    fn merge_observations(&mut self, now: Time, received: Vec<Observation>, out: &mut Vec<Output>) {
        let (max_age, known) = (self.settings.watch_timeout, &mut self.observations);
        let merged = received
            .into_iter()
            .filter(|observation| known.merge(now, *observation, max_age));
        let merged: Vec<_> = merged.collect();
        self.counters.observations_merged += merged.len() as u64;
        if !merged.is_empty() {
            out.push(Output::Observations(merged));
        }
    }

    fn seed_warm_throughput(&mut self, throughput: f64, out: &mut Vec<Output>) {
        out.extend(
            self.warm_throughput
                .seed(throughput)
                .map(Output::SeedWarmThroughput),
        );
    }
}
