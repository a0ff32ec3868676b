//! One instance, from knowing nothing on: routes messages, watch events and timeouts to the parts that decide, and tells the
//! caller what to do.

use crate::endpoint::EndpointUpdate;
use crate::endpoint_cache::{EndpointCache, MergeOutcome, UpdateSource};
use crate::leader_poller::LeaderPoller;
use crate::message::{EndpointSnapshot, Fragment, Message, Poll, UNSOLICITED};
use crate::observation::{Observation, Observations};
use crate::output::{BootstrapCounters, CachedEndpoints, LogEvent, Output};
use crate::peer_contact::PeerContact;
use crate::poll_schedule::PollSchedule;
use crate::readiness::Readiness;
use crate::service_watch::{Pollers, ServiceWatch, WatchChange, WatchScope};
use crate::settings::{BootstrapSettings, Reload};
use crate::snapshot_sender::SnapshotSender;
use crate::warm_throughput::WarmThroughput;
use crate::watch_leaders::WatchLeaders;
use stackgw_router::api::{Span, Time, MS, SECOND};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A list that is still confirmed is stored anew this often.
const PERSIST_INTERVAL: Span = 5 * SECOND;
/// A peer's claim of an age or a Retry-After counts for no more than this, in milliseconds.
const MAX_CLAIMED_MS: u64 = 1_000_000_000;
/// Snapshots carry the throughput of a warm member in requests in so many seconds.
const THROUGHPUT_SCALE: f64 = 1_000.0;

/// One instance's way to the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Bootstrap {
    settings: BootstrapSettings,
    cache: EndpointCache,
    /// `None`: there is no cluster.
    leaders: Option<WatchLeaders>,
    watch: ServiceWatch,
    poller: LeaderPoller,
    sender: SnapshotSender,
    contact: PeerContact,
    readiness: Readiness,
    /// When the list was last handed out to be stored; `None`: never, or it has changed since.
    persisted_at: Option<Time>,
    warm_throughput: WarmThroughput,
    observations: Observations,
    counters: BootstrapCounters,
}

impl Bootstrap {
    /// An instance that starts now, with the list that its disk has.
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

    /// The endpoint list.
    pub fn cache(&self) -> &EndpointCache {
        &self.cache
    }

    /// Counters since the instance started.
    pub fn counters(&self) -> BootstrapCounters {
        self.counters
    }

    /// The instances that should watch the list service, as seen from here.
    pub fn watch_leaders(&self) -> Vec<SocketAddr> {
        self.leaders
            .iter()
            .flat_map(WatchLeaders::leaders)
            .collect()
    }

    /// Whether this instance has a watch on which it hears the list service.
    pub fn is_watch_live(&self) -> bool {
        self.watch.is_live()
    }

    /// Whether the list may be routed by: there is one, and a better one is no longer waited for.
    pub fn is_ready(&self, now: Time) -> bool {
        self.readiness.is_ready(now, self.cache.origin())
    }

    /// For how long a client that comes now had better stay away, while this instance is not ready.
    pub fn retry_after(&self, now: Time) -> Span {
        let polled_at = self.watch.scheduled_at().unwrap_or(now) + self.poller.interval();
        let ready_at = match self.cache.origin() {
            Some(_) => polled_at.min(self.readiness.cached_list_ready_at()),
            None => polled_at,
        };
        (ready_at - now).max(self.settings.poll_rate.min_pause)
    }

    /// Takes over how many requests a second a warm member answers this instance, by the router's measurements.
    pub fn set_warm_throughput(&mut self, throughput: f64) {
        self.warm_throughput.set_measured(throughput);
    }

    /// Takes over what answers have shown here of members, to be sent to peers.
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

    /// When [`Bootstrap::handle_timeout`] is to be called next; it may be called earlier.
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

    /// Does what is due by now.
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

    // The watch of the list service.

    /// Opens, schedules or releases the watch, as it is wanted now.
    fn update_watch(&mut self, now: Time, out: &mut Vec<Output>) {
        let wanted = self.wanted_watch(now);
        match self
            .watch
            .update(now, wanted, self.contact.has_live_peer(now))
        {
            Some(WatchChange::Opened(scope)) => {
                self.counters.watches_opened += 1;
                self.counters.watches_without_leader += u64::from(scope == WatchScope::Standalone);
                out.push(Output::OpenWatch(self.cache.revision()));
            }
            Some(WatchChange::Promoted) => {
                out.push(Output::Log(LogEvent::WatchEstablished(WatchScope::Fleet)));
            }
            Some(WatchChange::Released) => {
                out.extend([Output::CloseWatch, Output::Log(LogEvent::WatchReleased)]);
            }
            None => {}
        }
    }

    /// For whom this instance should watch the service; `None`: others do.
    fn wanted_watch(&self, now: Time) -> Option<WatchScope> {
        let is_leader = self.leaders.as_ref().is_none_or(|leaders| {
            leaders.is_leader() && (leaders.is_seed() || self.readiness.has_settled(now))
        });
        if is_leader {
            return Some(WatchScope::Fleet);
        }
        // No peer has heard the service for too long: whoever wants the list polls it for itself.
        let is_service_lost = now >= self.contact.lost_at(self.readiness.started_at());
        is_service_lost.then_some(WatchScope::Standalone)
    }

    /// The watch has brought a list, or changes of it.
    pub fn handle_watch_update(
        &mut self,
        now: Time,
        update: EndpointUpdate,
        out: &mut Vec<Output>,
    ) {
        let previous_revision = self.cache.revision();
        let outcome = self.merge_from_service(now, update, out);
        if outcome == MergeOutcome::Stale {
            return;
        }
        let became_live = self.watch.become_live();
        if became_live {
            out.push(Output::Log(LogEvent::WatchEstablished(self.watch.scope())));
        }
        // That the service is back is news to peers too, even where it brings nothing new.
        if became_live
            || matches!(
                outcome,
                MergeOutcome::Complete(_) | MergeOutcome::Changed(_)
            )
        {
            self.push_changes(now, previous_revision, out);
        }
        self.publish(now, outcome, out);
    }

    fn merge_from_service(
        &mut self,
        now: Time,
        update: EndpointUpdate,
        out: &mut Vec<Output>,
    ) -> MergeOutcome {
        let previous_revision = self.cache.revision();
        let was_behind = self.cache.is_behind();
        let previous_resets = self.cache.resets();
        let outcome = self.cache.merge(now, update, UpdateSource::Service);
        self.watch.record_answer(now);
        if self.cache.resets() > previous_resets {
            out.push(Output::Log(LogEvent::ServiceReset));
        }
        if outcome == MergeOutcome::Stale {
            self.counters.stale_updates += 1;
            if self.cache.is_behind() && !was_behind {
                let revision = previous_revision.unwrap_or_default();
                out.push(Output::Log(LogEvent::ServiceBehind(revision)));
            }
        }
        outcome
    }

    /// The watch has brought a sign of life without changes.
    pub fn handle_watch_heartbeat(&mut self, now: Time, out: &mut Vec<Output>) {
        self.watch.record_contact(now);
        if self.watch.is_live() {
            self.cache.confirm(now);
            self.persist_if_due(now, out);
        }
    }

    /// The watch has ended, or could not be opened. `retry_after`: the service is overloaded and asks not to be polled for so
    /// long.
    pub fn handle_watch_lost(
        &mut self,
        now: Time,
        retry_after: Option<Span>,
        out: &mut Vec<Output>,
    ) {
        if self.watch.handle_lost(now, retry_after) {
            self.update_watch(now, out);
        }
    }

    /// Hands the list on to whoever routes by it, and to the disk.
    fn publish(&mut self, now: Time, outcome: MergeOutcome, out: &mut Vec<Output>) {
        if !matches!(outcome, MergeOutcome::Unchanged | MergeOutcome::Stale) {
            out.push(Output::Endpoints(outcome));
            self.persisted_at = None;
        }
        self.persist_if_due(now, out);
    }

    fn persist_if_due(&mut self, now: Time, out: &mut Vec<Output>) {
        let is_due = self
            .persisted_at
            .is_none_or(|at| now - at >= PERSIST_INTERVAL);
        if !is_due || !self.cache.is_confirmed() {
            return;
        }
        let (Some(revision), Some(confirmed_at)) =
            (self.cache.revision(), self.cache.confirmed_at())
        else {
            return;
        };
        self.persisted_at = Some(now);
        let members = self.cache.endpoints().cloned().collect();
        let list = EndpointUpdate {
            revision,
            complete: true,
            members,
        };
        let warm_throughput = self.warm_throughput.measured();
        out.push(Output::Persist(CachedEndpoints {
            list,
            confirmed_at,
            warm_throughput,
        }));
    }

    // Peers.

    /// Takes over which peers are live by the cluster's membership.
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

    /// Takes over other seeds, and perhaps another list service.
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

    /// Handles a message of a peer.
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

    fn poll_leaders(&mut self, now: Time, out: &mut Vec<Output>) {
        let (Some(leaders), Some(peers)) = (self.leaders.as_mut(), self.settings.peers.as_ref())
        else {
            return;
        };
        let known_revision = self.cache.revision().filter(|_| self.cache.is_confirmed());
        let Some(request) = self
            .poller
            .begin_poll(now, leaders, known_revision.is_some())
        else {
            return;
        };
        self.counters.polls_sent += request.targets.len() as u64;
        let poll = Poll {
            sender: peers.advertised_address,
            nonce: request.nonce,
            service_id: self.settings.service_id,
            known_revision,
            observations: self.observations.take_unsent(),
        };
        let send = |target| Output::Send(target, Message::Poll(poll.clone()));
        out.extend(request.targets.into_iter().map(send));
    }

    fn handle_poll(&mut self, now: Time, poll: Poll, out: &mut Vec<Output>) {
        self.merge_observations(now, poll.observations, out);
        self.counters.polls_answered += 1;
        let Some(header) = self.snapshot_header(now, poll.nonce) else {
            return;
        };
        if !self.watch.is_live() && !self.cache.is_confirmed() {
            self.sender.add_waiting_peer(poll.sender);
        }
        let answer = self
            .sender
            .answer(now, header, &self.cache, poll.known_revision);
        let send = |datagram| Output::Send(poll.sender, Message::Snapshot(datagram));
        out.extend(answer.into_iter().map(send));
    }

    /// Sends all peers what has changed since a version, and those that wait for the list all of it.
    fn push_changes(&mut self, now: Time, previous_revision: Option<u64>, out: &mut Vec<Output>) {
        if self.leaders.is_none() {
            return;
        }
        let Some(header) = self.snapshot_header(now, UNSOLICITED) else {
            return;
        };
        let peers = self.leaders.iter().flat_map(WatchLeaders::peers);
        let datagrams = self
            .sender
            .push(now, header, &self.cache, previous_revision, peers);
        self.counters.snapshots_pushed += datagrams.len() as u64;
        let send = |(peer, datagram)| Output::Send(peer, Message::Snapshot(datagram));
        out.extend(datagrams.into_iter().map(send));
    }

    /// What this instance knows, without the list's entries; `None`: there is no cluster to send it to.
    fn snapshot_header(&mut self, now: Time, nonce: u32) -> Option<EndpointSnapshot> {
        let observations = self
            .observations
            .next_batch(now, self.settings.watch_timeout);
        let sender = self.settings.peers.as_ref()?.advertised_address;
        let age = self.cache.age(now).unwrap_or_default();
        let retry_after = self.watch.remaining_retry_after(now);
        Some(EndpointSnapshot {
            sender,
            nonce,
            service_id: self.settings.service_id,
            revision: self.cache.revision(),
            confirmed_ago_ms: u64::try_from(age / MS).unwrap_or_default(),
            is_live: self.watch.is_live() && !self.cache.is_behind(),
            is_cached: self.cache.revision().is_some() && !self.cache.is_confirmed(),
            retry_after_ms: u64::try_from(retry_after / MS).unwrap_or_default(),
            warm_throughput_millis: (self.warm_throughput.measured() * THROUGHPUT_SCALE) as u64,
            base: None,
            fragment: Fragment::WITHOUT_ENTRIES,
            endpoints: Vec::new(),
            observations,
        })
    }

    fn handle_snapshot(
        &mut self,
        now: Time,
        mut snapshot: EndpointSnapshot,
        out: &mut Vec<Output>,
    ) {
        self.merge_observations(now, std::mem::take(&mut snapshot.observations), out);
        if let Some(leaders) = self.leaders.as_mut() {
            leaders.record_answer(snapshot.sender);
        }
        if snapshot.retry_after_ms > 0 {
            self.watch
                .postpone(now, claimed_span(snapshot.retry_after_ms));
        }
        if let Some(snapshot) = self.poller.handle_snapshot(now, snapshot) {
            self.merge_snapshot(now, snapshot, out);
        }
    }

    fn merge_snapshot(&mut self, now: Time, snapshot: EndpointSnapshot, out: &mut Vec<Output>) {
        self.seed_warm_throughput(
            snapshot.warm_throughput_millis as f64 / THROUGHPUT_SCALE,
            out,
        );
        if let Some(revision) = snapshot.revision {
            self.merge_revision(now, revision, snapshot, out);
        }
        self.update_watch(now, out);
    }

    /// Merges a snapshot of a list of this version, or, where it leaves its entries out, polls for them.
    fn merge_revision(
        &mut self,
        now: Time,
        revision: u64,
        snapshot: EndpointSnapshot,
        out: &mut Vec<Output>,
    ) {
        let confirmed_at = now - claimed_span(snapshot.confirmed_ago_ms);
        let is_fresh = !snapshot.is_cached && now - confirmed_at < self.settings.watch_timeout;
        if is_fresh && Some(revision) >= self.cache.revision() {
            self.contact.record(now, snapshot.is_live);
            if Some(confirmed_at) > self.cache.confirmed_at() {
                self.watch.expedite(now);
            }
        }
        if snapshot.fragment.count == 0 {
            return self.poll_for_newer(now, revision, is_fresh);
        }
        let base = snapshot.base;
        let update = EndpointUpdate {
            revision,
            complete: base.is_none(),
            members: snapshot.endpoints,
        };
        let source = if is_fresh {
            UpdateSource::Peer { confirmed_at, base }
        } else {
            UpdateSource::Cached { confirmed_at }
        };
        let outcome = self.cache.merge(now, update, source);
        if outcome == MergeOutcome::Stale {
            self.counters.stale_updates += 1;
            self.poll_for_newer(now, revision, is_fresh);
        } else {
            self.counters.snapshots_merged += 1;
            self.publish(now, outcome, out);
        }
    }

    /// Polls at once for a newer version that could not be taken from the snapshot that named it.
    fn poll_for_newer(&mut self, now: Time, revision: u64, is_fresh: bool) {
        if is_fresh && Some(revision) > self.cache.revision() {
            self.poller.expedite(now);
        }
    }

    // What peers know of members.

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

/// A span that a peer claims, within limits.
fn claimed_span(ms: u64) -> Span {
    MS.saturating_mul(ms.min(MAX_CLAIMED_MS) as Span)
}
