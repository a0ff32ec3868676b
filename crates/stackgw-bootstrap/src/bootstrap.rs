//! One instance, from knowing nothing on: when it asks the list service itself, whom it asks else, what it tells others, and
//! when it is ready.

use crate::endpoint::EndpointUpdate;
use crate::endpoint_cache::{EndpointCache, MergeOutcome, Origin};
use crate::message::{EndpointSnapshot, Message, Reassembly};
use crate::observation::{Observation, Observations};
use crate::poll_schedule::{PollRate, PollSchedule};
use crate::watch_leaders::WatchLeaders;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stackgw_router::api::{Span, Time, MS, SECOND};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What an instance is told.
#[derive(Debug, Clone, PartialEq)]
pub struct BootstrapSettings {
    /// Its number, the fleet's size, and what the service bears.
    pub poll_rate: PollRate,
    /// Where others reach it, and where some of them are always found; `None`: it talks to nobody.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>)>,
    /// So many hold the watch at least; [`MIN_WATCH_LEADERS`] unless there is a reason.
    pub min_watch_leaders: u32,
    /// The service whose versions its list has, by a hash of its name.
    pub service_id: u64,
    /// Word of a drain has to be everywhere within this.
    pub drain_grace: Span,
    /// A watch that says nothing for so long is lost.
    pub watch_timeout: Span,
    /// How long an instance that has only kept word waits for better before it says that it is ready.
    pub cached_list_wait: Span,
    /// A service that tells older lists for this long has lost its state, and is believed.
    pub service_reset_after: Span,
    /// For the choices by chance.
    pub seed: u64,
}

/// The list as it was kept.
#[derive(Debug, Clone, PartialEq)]
pub struct CachedEndpoints {
    /// All of it.
    pub list: EndpointUpdate,
    /// When the service last vouched for it.
    pub confirmed_at: Time,
    /// Requests a second that a warm member answered this instance; 0: not known.
    pub warm_throughput: f64,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Open a watch of what changes after this version, or of all.
    OpenWatch(Option<u64>),
    /// Close the watch.
    CloseWatch,
    /// Tell another instance.
    Send(SocketAddr, Message),
    /// The list is news to whoever decides by it.
    Endpoints(MergeOutcome),
    /// Keep this on the disk.
    Persist(CachedEndpoints),
    /// Requests a second that a warm member may be taken to answer this instance, until its own answers tell.
    SeedWarmThroughput(f64),
    /// What others' answers showed of members, to be taken for a start.
    Observations(Vec<Observation>),
    /// Something for the log.
    Log(LogEvent),
}

/// What is worth a line in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogEvent {
    /// It holds the watch now, for the fleet or (`false`) for itself alone.
    WatchEstablished(bool),
    /// It no longer does.
    WatchReleased,
    /// The service tells an older list than this one, which is held.
    ServiceBehind(u64),
    /// The service counts anew, and is believed.
    ServiceReset,
}

/// What came and went.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BootstrapCounters {
    /// Watches opened.
    pub watches_opened: u64,
    /// Of them, those opened for want of a holder that hears the service.
    pub watches_without_leader: u64,
    /// Questions to others.
    pub polls_sent: u64,
    /// Times that nobody who was asked answered.
    pub polls_unanswered: u64,
    /// Questions of others.
    pub polls_answered: u64,
    /// Datagrams sent unasked, as the list had changed.
    pub snapshots_pushed: u64,
    /// Word taken from others.
    pub snapshots_merged: u64,
    /// Word that was older than what is held.
    pub stale_updates: u64,
    /// Word of another service, or that makes no sense here.
    pub foreign_messages: u64,
    /// News of members' positions and roles that others told.
    pub observations_merged: u64,
}

/// The watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Watch {
    /// Not wanted.
    Off,
    /// To be opened then.
    Due(Time),
    /// Open since.
    Open(Time),
}

/// A question that is out, to several where holders are looked for: whose answer comes first is gone by.
#[derive(Debug, Clone, PartialEq)]
struct PollInFlight {
    to: Vec<SocketAddr>,
    nonce: u32,
    sent: Time,
    gathered: Option<Reassembly>,
}

/// Parts of a grace after which others are asked again, so that two that are lost leave time for a third.
const POLLS_PER_GRACE: Span = 4;
/// So many are asked at once at most, while holders are lost.
const MAX_WIDTH: usize = 64;
/// The same where the answer is a whole list.
const MAX_WIDTH_WITHOUT_LIST: usize = 8;
/// A question without an answer is given up after this share of a grace.
const ANSWER_TIMEOUTS_PER_GRACE: Span = 10;
/// An instance that is asked first thing may be starting itself: nothing is concluded before this.
const SETTLING_TIME: Span = SECOND;
/// One that went unanswered is tried again after this.
const UNRESPONSIVE_RETRY_INTERVAL: Span = SECOND;
/// A watch that was opened for want of holders is kept this long at least.
const MIN_OPEN_TIME: Span = 5 * SECOND;
/// The disk is told at least this often that what it has is still vouched for.
const PERSIST_INTERVAL: Span = 5 * SECOND;
/// Those that asked and could not be told yet, at most.
const MAX_WAITING_PEERS: usize = 4_096;
/// Whole lists told in one pace, for each instance of the fleet; more are told the version alone.
const COMPLETE_LISTS_PER_INTERVAL: u64 = 2;
/// No word of a peer makes anything older than this.
const MAX_CLAIMED_MS: u64 = 1_000_000_000;

/// See the module.
#[derive(Debug, Clone, PartialEq)]
pub struct Bootstrap {
    settings: BootstrapSettings,
    cache: EndpointCache,
    schedule: PollSchedule,
    leaders: Option<WatchLeaders>,
    rng: Pcg64Mcg,
    started_at: Time,
    watch: Watch,
    /// The watch has brought a list, and when it was last heard.
    is_live: bool,
    last_heard_at: Time,
    is_standalone: bool,
    in_flight: Option<PollInFlight>,
    next_poll_at: Time,
    rotation: u32,
    /// So many are asked at once: one, or twice as many each time while a holder goes unanswered.
    width: usize,
    /// When word last came that the service had vouched for lately, and when it last came from one that has a watch.
    told: Option<Time>,
    told_live: Option<Time>,
    waiting_peers: BTreeSet<SocketAddr>,
    /// When the present pace began, and whole lists told in it.
    whole: (Time, u64),
    persisted_at: Option<Time>,
    /// What its router makes of members; what others make of them has been taken as a start.
    rate: f64,
    expects: bool,
    /// What answers have shown of members, here and elsewhere.
    observations: Observations,
    counters: BootstrapCounters,
}

impl Bootstrap {
    /// An instance that starts now, with what it kept.
    pub fn new(
        now: Time,
        set: BootstrapSettings,
        kept: Option<CachedEndpoints>,
        out: &mut Vec<Output>,
    ) -> Self {
        let others = set.peers.as_ref();
        let leaders = others.map(|(me, seeds)| {
            WatchLeaders::new(
                *me,
                seeds.iter().copied(),
                set.poll_rate.fleet_size,
                set.min_watch_leaders,
            )
        });
        let mut start = Bootstrap {
            cache: EndpointCache::new(set.service_reset_after),
            schedule: PollSchedule::new(set.poll_rate, set.seed),
            leaders,
            rng: Pcg64Mcg::seed_from_u64(set.seed ^ 0x57a7),
            started_at: now,
            watch: Watch::Off,
            is_live: false,
            last_heard_at: now,
            is_standalone: false,
            in_flight: None,
            next_poll_at: now,
            rotation: 0,
            width: 1,
            told: None,
            told_live: None,
            waiting_peers: BTreeSet::new(),
            whole: (now, 0),
            persisted_at: None,
            rate: 0.0,
            expects: false,
            observations: Observations::default(),
            counters: BootstrapCounters::default(),
            settings: set,
        };
        if let Some(CachedEndpoints {
            list,
            confirmed_at,
            warm_throughput,
        }) = kept
        {
            start.seed_warm_throughput(warm_throughput, out);
            let taken = start
                .cache
                .merge(now, list, Origin::Cached, confirmed_at.min(now), None);
            out.push(Output::Endpoints(taken));
        }
        start.update_watch(now, out);
        start
    }

    /// What the router takes a warm member to answer this instance, in requests a second.
    pub fn set_warm_throughput(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// What answers have shown here, to be told to others.
    pub fn record_observations(&mut self, now: Time, seen: impl IntoIterator<Item = Observation>) {
        for seen in seen {
            self.observations
                .record_own(now, seen, self.settings.watch_timeout);
        }
    }

    /// What answers have shown elsewhere.
    fn merge_observations(&mut self, now: Time, seen: Vec<Observation>, out: &mut Vec<Output>) {
        let (keep, known) = (self.settings.watch_timeout, &mut self.observations);
        let news: Vec<_> = seen
            .into_iter()
            .filter(|seen| known.merge(now, *seen, keep))
            .collect();
        self.counters.observations_merged += news.len() as u64;
        out.extend((!news.is_empty()).then_some(Output::Observations(news)));
    }

    /// Takes what is known elsewhere for a start, once.
    fn seed_warm_throughput(&mut self, rate: f64, out: &mut Vec<Output>) {
        let known = rate > 0.0 && rate.is_finite() && self.rate <= 0.0;
        if known && !self.expects {
            self.expects = true;
            out.push(Output::SeedWarmThroughput(rate));
        }
    }

    /// What is held for the list.
    pub fn cache(&self) -> &EndpointCache {
        &self.cache
    }

    /// What came and went.
    pub fn counters(&self) -> BootstrapCounters {
        self.counters
    }

    /// Who should hold the watch, as seen from here, and whether this instance has one that hears the service.
    pub fn watch_leaders(&self) -> (Vec<SocketAddr>, bool) {
        (
            self.leaders
                .as_ref()
                .map(WatchLeaders::leader_addresses)
                .unwrap_or_default(),
            self.is_live,
        )
    }

    /// The list may be gone by: it is there, and better word is no longer waited for.
    pub fn is_ready(&self, now: Time) -> bool {
        match self.cache.origin() {
            None => false,
            Some(Origin::Cached) => now - self.started_at >= self.settings.cached_list_wait,
            Some(_) => true,
        }
    }

    /// For how long a client that comes now had better stay away, while this is not ready.
    pub fn retry_after(&self, now: Time) -> Span {
        let kept = self
            .cache
            .origin()
            .map(|_| self.started_at + self.settings.cached_list_wait);
        let turn = if let Watch::Due(at) = self.watch {
            at
        } else {
            now
        } + self.poll_interval();
        (kept.map_or(turn, |kept| kept.min(turn)) - now).max(self.settings.poll_rate.min_pause)
    }

    /// How often others are asked.
    fn poll_interval(&self) -> Span {
        (self.settings.drain_grace / POLLS_PER_GRACE).max(10 * MS)
    }

    fn answer_timeout(&self) -> Span {
        (self.settings.drain_grace / ANSWER_TIMEOUTS_PER_GRACE).max(5 * MS)
    }

    /// So many may ask the service as this one would.
    fn poller_count(&self) -> u32 {
        match &self.leaders {
            Some(leaders) if !self.is_standalone => leaders
                .leader_count()
                .min(self.settings.poll_rate.fleet_size.max(1)),
            _ => self.settings.poll_rate.fleet_size.max(1),
        }
    }

    /// Somebody with a watch of its own has told lately.
    fn has_live_peer(&self, now: Time) -> bool {
        self.told_live
            .is_some_and(|at| now - at < self.settings.watch_timeout)
    }

    /// Decides whether the watch is wanted, and sees to it.
    fn update_watch(&mut self, now: Time, out: &mut Vec<Output>) {
        let settled = now - self.started_at >= SETTLING_TIME;
        let (holds, seed) = match &self.leaders {
            None => (true, true),
            Some(leaders) => (leaders.is_leader(), leaders.is_seed()),
        };
        let holds = holds && (seed || settled);
        // Nobody has had word of the service for too long: whoever wants the list asks itself.
        let since = self.told.unwrap_or(self.started_at);
        let patience = if self.told.is_some() {
            self.settings.watch_timeout
        } else {
            SETTLING_TIME
        };
        let alone = !holds && now - since >= patience;
        match self.watch {
            Watch::Off if holds || alone => {
                self.is_standalone = alone;
                let askers = self.poller_count();
                self.watch = Watch::Due(self.schedule.first_poll_at(now, askers));
            }
            Watch::Due(_) if !holds && !alone => {
                (self.watch, self.is_standalone) = (Watch::Off, false)
            }
            Watch::Due(_) => self.is_standalone = alone,
            Watch::Open(_) if holds => {
                let was_alone = std::mem::take(&mut self.is_standalone);
                out.extend(
                    (was_alone && self.is_live)
                        .then_some(Output::Log(LogEvent::WatchEstablished(true))),
                );
            }
            Watch::Open(at) if self.has_live_peer(now) && now - at >= MIN_OPEN_TIME => {
                (self.watch, self.is_live, self.is_standalone) = (Watch::Off, false, false);
                out.extend([Output::CloseWatch, Output::Log(LogEvent::WatchReleased)]);
            }
            _ => {}
        }
        if let Watch::Due(at) = self.watch {
            if at <= now {
                (self.watch, self.is_live, self.last_heard_at) = (Watch::Open(now), false, now);
                self.schedule.record_poll();
                self.counters.watches_opened += 1;
                self.counters.watches_without_leader += u64::from(self.is_standalone);
                out.push(Output::OpenWatch(self.cache.revision()));
            }
        }
    }

    /// When [`Bootstrap::handle_timeout`] is wanted next.
    pub fn next_timeout(&self, now: Time) -> Time {
        let watch = match self.watch {
            Watch::Due(at) => at,
            Watch::Open(_) => self.last_heard_at + self.settings.watch_timeout,
            Watch::Off => self.told.map_or(self.started_at + SETTLING_TIME, |at| {
                at + self.settings.watch_timeout
            }),
        };
        let later = [
            self.started_at + SETTLING_TIME,
            self.started_at + self.settings.cached_list_wait,
        ];
        let settle = later
            .into_iter()
            .filter(|at| *at > now)
            .min()
            .unwrap_or(Time::MAX);
        let ask = match (&self.leaders, &self.in_flight) {
            (None, _) => Time::MAX,
            (_, Some(asking)) => asking.sent + self.answer_timeout(),
            _ => self.next_poll_at,
        };
        watch.max(now + MS).min(settle).min(ask.max(now + MS))
    }

    /// Time has come for what waits for it.
    pub fn handle_timeout(&mut self, now: Time, out: &mut Vec<Output>) {
        if matches!(self.watch, Watch::Open(_))
            && now - self.last_heard_at >= self.settings.watch_timeout
        {
            out.push(Output::CloseWatch);
            self.handle_watch_lost(now, None, out);
        }
        if self
            .in_flight
            .as_ref()
            .is_some_and(|asking| now - asking.sent >= self.answer_timeout())
        {
            self.counters.polls_unanswered += 1;
            self.in_flight = None;
            self.next_poll_at = now;
            self.rotation = self.rotation.wrapping_add(1);
        }
        self.update_watch(now, out);
        if self.in_flight.is_none() && self.next_poll_at <= now {
            self.poll_leaders(now, out);
        }
    }

    /// Asks the next holder.
    fn poll_leaders(&mut self, now: Time, out: &mut Vec<Output>) {
        // Chance in every pause: those that started together do not go on together.
        let pace = self.poll_interval() as f64 * (0.75 + 0.5 * self.rng.random::<f64>());
        self.next_poll_at = now + pace as Span;
        let Some(leaders) = self.leaders.as_mut() else {
            return;
        };
        let Some((from, _)) = self.settings.peers else {
            return;
        };
        let have = self
            .cache
            .revision()
            .filter(|_| self.cache.origin() != Some(Origin::Cached));
        // Whoever has nothing is sent whole lists.
        let most = if have.is_some() {
            MAX_WIDTH
        } else {
            MAX_WIDTH_WITHOUT_LIST
        };
        self.width = if leaders.has_unanswered_leader() {
            (2 * self.width).min(most)
        } else {
            1
        };
        let to = leaders.select_poll_targets(
            now,
            self.rotation,
            self.width,
            UNRESPONSIVE_RETRY_INTERVAL,
        );
        if to.is_empty() {
            return;
        }
        to.iter().for_each(|to| leaders.record_poll(now, *to));
        if self.width > 1 {
            self.next_poll_at = now + self.answer_timeout();
        }
        let nonce = self.rng.random::<u32>().max(1);
        self.counters.polls_sent += to.len() as u64;
        let seen = self.observations.take_unsent();
        let ask = Message::Poll {
            sender: from,
            nonce,
            service_id: self.settings.service_id,
            known_revision: have,
            observations: seen,
        };
        out.extend(to.iter().map(|to| Output::Send(*to, ask.clone())));
        self.in_flight = Some(PollInFlight {
            to,
            nonce,
            sent: now,
            gathered: None,
        });
    }

    // The watch.

    /// The watch brought a list.
    pub fn handle_watch_update(
        &mut self,
        now: Time,
        update: EndpointUpdate,
        out: &mut Vec<Output>,
    ) {
        self.last_heard_at = now;
        let (had, behind) = (self.cache.revision(), self.cache.is_behind());
        let resets = self.cache.resets();
        let taken = self.cache.merge(now, update, Origin::Service, now, None);
        self.schedule.record_success();
        if self.cache.resets() > resets {
            out.push(Output::Log(LogEvent::ServiceReset));
        }
        if taken == MergeOutcome::Stale {
            self.counters.stale_updates += 1;
            if self.cache.is_behind() && !behind {
                out.push(Output::Log(LogEvent::ServiceBehind(
                    had.unwrap_or_default(),
                )));
            }
            return;
        }
        let first = !std::mem::replace(&mut self.is_live, true);
        if first {
            out.push(Output::Log(LogEvent::WatchEstablished(!self.is_standalone)));
        }
        // That the service is back is news to others too, even where it tells nothing new.
        if first || matches!(taken, MergeOutcome::Complete(_) | MergeOutcome::Changed(_)) {
            self.push_changes(now, had, out);
        }
        self.publish(now, taken, out);
    }

    /// The watch brought a line without news.
    pub fn handle_watch_heartbeat(&mut self, now: Time, out: &mut Vec<Output>) {
        self.last_heard_at = now;
        if self.is_live {
            self.cache.confirm(now);
            self.publish(now, MergeOutcome::Unchanged, out);
        }
    }

    /// The watch ended, or could not be opened. `wait`: the service said that it is overloaded, and perhaps for how long.
    pub fn handle_watch_lost(&mut self, now: Time, wait: Option<Span>, out: &mut Vec<Output>) {
        if !matches!(self.watch, Watch::Open(_)) {
            return;
        }
        if let Some(wait) = wait {
            self.schedule.postpone(now, wait);
        }
        self.is_live = false;
        let askers = self.poller_count();
        self.watch = Watch::Due(self.schedule.retry_at(now, askers));
        self.update_watch(now, out);
    }

    /// News for whoever decides by the list, and for the disk.
    fn publish(&mut self, now: Time, taken: MergeOutcome, out: &mut Vec<Output>) {
        if !matches!(taken, MergeOutcome::Unchanged | MergeOutcome::Stale) {
            out.push(Output::Endpoints(taken));
            self.persisted_at = None;
        }
        let due = self
            .persisted_at
            .is_none_or(|at| now - at >= PERSIST_INTERVAL);
        if let (true, Some(revision), Some(said)) =
            (due, self.cache.revision(), self.cache.confirmed_at())
        {
            if self.cache.origin() != Some(Origin::Cached) {
                self.persisted_at = Some(now);
                let members = self.cache.endpoints().cloned().collect();
                let list = EndpointUpdate {
                    revision,
                    complete: true,
                    members,
                };
                out.push(Output::Persist(CachedEndpoints {
                    list,
                    confirmed_at: said,
                    warm_throughput: self.rate,
                }));
            }
        }
    }

    // Others.

    /// Who is there, by the membership.
    pub fn update_membership(
        &mut self,
        now: Time,
        up: BTreeSet<SocketAddr>,
        out: &mut Vec<Output>,
    ) {
        if let Some(leaders) = self.leaders.as_mut() {
            leaders.update_membership(up);
            self.update_watch(now, out);
        }
    }

    /// Other seeds, and perhaps another service, from now on.
    pub fn reload(
        &mut self,
        now: Time,
        seeds: &[SocketAddr],
        service: u64,
        moved: bool,
        out: &mut Vec<Output>,
    ) {
        if let Some(leaders) = self.leaders.as_mut() {
            leaders.set_seeds(seeds.iter().copied());
        }
        if self.settings.service_id != service || moved {
            self.settings.service_id = service;
            self.cache.change_service();
            (self.told, self.told_live) = (None, None);
            self.started_at = now;
            if matches!(self.watch, Watch::Open(_)) {
                out.push(Output::CloseWatch);
                self.watch = Watch::Due(now);
                self.is_live = false;
            }
        }
        self.update_watch(now, out);
    }

    /// Word of another instance.
    pub fn handle_message(&mut self, now: Time, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Poll {
                sender,
                nonce,
                service_id,
                known_revision,
                observations,
            } if service_id == self.settings.service_id => {
                self.merge_observations(now, observations, out);
                self.answer_poll(now, sender, nonce, known_revision, out);
            }
            Message::Snapshot(mut tell) if tell.service_id == self.settings.service_id => {
                self.merge_observations(now, std::mem::take(&mut tell.observations), out);
                self.handle_snapshot(now, tell, out);
            }
            _ => self.counters.foreign_messages += 1,
        }
    }

    /// What is held, without its entries.
    fn snapshot_header(&mut self, now: Time, nonce: u32) -> Option<EndpointSnapshot> {
        let seen = self
            .observations
            .next_batch(now, self.settings.watch_timeout);
        let (from, _) = self.settings.peers.as_ref()?;
        let age = self.cache.age(now).unwrap_or_default();
        let live = self.is_live && !self.cache.is_behind();
        Some(EndpointSnapshot {
            sender: *from,
            nonce,
            service_id: self.settings.service_id,
            revision: self.cache.revision(),
            confirmed_ago_ms: u64::try_from(age / MS).unwrap_or_default(),
            is_live: live,
            is_cached: self.cache.origin() == Some(Origin::Cached),
            retry_after_ms: u64::try_from(self.schedule.remaining_retry_after(now) / MS)
                .unwrap_or_default(),
            warm_throughput_millis: (self.rate * 1_000.0) as u64,
            base: None,
            fragment: (0, 0),
            endpoints: Vec::new(),
            observations: seen,
        })
    }

    fn answer_poll(
        &mut self,
        now: Time,
        to: SocketAddr,
        nonce: u32,
        have: Option<u64>,
        out: &mut Vec<Output>,
    ) {
        self.counters.polls_answered += 1;
        let Some(tell) = self.snapshot_header(now, nonce) else {
            return;
        };
        if !self.is_live
            && (self.cache.revision().is_none() || self.cache.origin() == Some(Origin::Cached))
        {
            // Told as soon as there is something to tell.
            if self.waiting_peers.len() < MAX_WAITING_PEERS {
                self.waiting_peers.insert(to);
            }
        }
        let known = self.cache.revision().is_some();
        let parts = if known {
            self.fragments_since(now, &tell, have)
        } else {
            None
        };
        let parts = parts.unwrap_or_else(|| vec![tell]);
        out.extend(
            parts
                .into_iter()
                .map(|part| Output::Send(to, Message::Snapshot(part))),
        );
    }

    /// What changed since a version, in parts; `None` where that is too much to be told now.
    fn fragments_since(
        &mut self,
        now: Time,
        tell: &EndpointSnapshot,
        have: Option<u64>,
    ) -> Option<Vec<EndpointSnapshot>> {
        let (base, entries) = self.cache.changes_since(have);
        if base.is_none() {
            if now - self.whole.0 >= self.poll_interval() {
                self.whole = (now, 0);
            }
            self.whole.1 += 1;
            if self.whole.1
                > COMPLETE_LISTS_PER_INTERVAL * u64::from(self.settings.poll_rate.fleet_size.max(8))
            {
                return None;
            }
        }
        EndpointSnapshot {
            base,
            ..tell.clone()
        }
        .into_fragments(entries)
    }

    /// Tells all others what has changed since a version, and those that waited for it all of it.
    fn push_changes(&mut self, now: Time, had: Option<u64>, out: &mut Vec<Output>) {
        let waiting = std::mem::take(&mut self.waiting_peers);
        let Some(leaders) = &self.leaders else { return };
        let others: BTreeSet<_> = leaders.peers().chain(waiting.iter().copied()).collect();
        let Some(tell) = self.snapshot_header(now, 0) else {
            return;
        };
        let (base, entries) = self.cache.changes_since(had);
        let parts = EndpointSnapshot {
            base,
            ..tell.clone()
        }
        .into_fragments(entries)
        .filter(|parts| parts.len() == 1);
        let news = parts
            .and_then(|mut parts| parts.pop())
            .unwrap_or_else(|| tell.clone());
        let whole = if waiting.is_empty() {
            None
        } else {
            self.fragments_since(now, &tell, None)
        };
        for to in others {
            let told = whole.as_ref().filter(|_| waiting.contains(&to));
            let told = told.map_or(std::slice::from_ref(&news), |parts| parts);
            self.counters.snapshots_pushed += told.len() as u64;
            out.extend(
                told.iter()
                    .map(|part| Output::Send(to, Message::Snapshot(part.clone()))),
            );
        }
    }

    fn handle_snapshot(&mut self, now: Time, tell: EndpointSnapshot, out: &mut Vec<Output>) {
        if let Some(leaders) = self.leaders.as_mut() {
            leaders.record_answer(tell.sender);
        }
        let mine =
            |asking: &PollInFlight| asking.to.contains(&tell.sender) && asking.nonce == tell.nonce;
        let asked = self.in_flight.as_ref().is_some_and(mine);
        if tell.retry_after_ms > 0 {
            self.schedule.postpone(
                now,
                MS.saturating_mul(tell.retry_after_ms.min(MAX_CLAIMED_MS) as Span),
            );
        }
        if tell.fragment.1 > 1 {
            // Parts are gathered from one instance at a time; unasked ones only where nothing is known yet.
            if let Some(asking) = self.in_flight.as_mut().filter(|_| asked) {
                asking.to = vec![tell.sender];
            }
            let gathered = match self.in_flight.as_mut() {
                Some(asking) if asked || (tell.nonce == 0 && asking.gathered.is_none()) => {
                    &mut asking.gathered
                }
                Some(asking) => match asking.gathered.as_mut() {
                    Some(gathered) if gathered.accepts(&tell) => &mut asking.gathered,
                    _ => return,
                },
                None if tell.nonce == 0 => {
                    let asking = PollInFlight {
                        to: vec![tell.sender],
                        nonce: 0,
                        sent: now,
                        gathered: None,
                    };
                    &mut self.in_flight.insert(asking).gathered
                }
                None => return,
            };
            match gathered {
                Some(gathered) if gathered.accepts(&tell) => gathered.add(tell),
                _ => *gathered = Some(Reassembly::new(tell)),
            }
            let whole = gathered.as_ref().and_then(Reassembly::complete);
            if let Some(whole) = whole {
                self.in_flight = None;
                self.merge_snapshot(now, whole, out);
            }
            return;
        }
        if asked {
            self.in_flight = None;
            self.rotation = self.rotation.wrapping_add(1);
        }
        self.merge_snapshot(now, tell, out);
    }

    fn merge_snapshot(&mut self, now: Time, tell: EndpointSnapshot, out: &mut Vec<Output>) {
        self.seed_warm_throughput(tell.warm_throughput_millis as f64 / 1_000.0, out);
        let said = now - MS.saturating_mul(tell.confirmed_ago_ms.min(MAX_CLAIMED_MS) as Span);
        let fresh =
            tell.revision.is_some() && !tell.is_cached && now - said < self.settings.watch_timeout;
        if fresh && tell.revision >= self.cache.revision() {
            self.told = Some(now);
            self.told_live = if tell.is_live {
                Some(now)
            } else {
                self.told_live
            };
            if let (Watch::Due(at), true) = (self.watch, Some(said) > self.cache.confirmed_at()) {
                // The service is there for others: what was put off as it was not is put off no longer.
                self.schedule.record_success();
                let askers = self.poller_count();
                self.watch = Watch::Due(at.min(self.schedule.first_poll_at(now, askers)));
            }
        }
        let Some(revision) = tell.revision else {
            return self.update_watch(now, out);
        };
        if tell.fragment.1 == 0 {
            self.poll_for_newer(now, revision, fresh);
            return self.update_watch(now, out);
        }
        let origin = if fresh { Origin::Peer } else { Origin::Cached };
        let update = EndpointUpdate {
            revision,
            complete: tell.base.is_none(),
            members: tell.endpoints,
        };
        let taken = self.cache.merge(now, update, origin, said, tell.base);
        match taken {
            MergeOutcome::Stale => {
                self.counters.stale_updates += 1;
                self.poll_for_newer(now, revision, fresh);
            }
            taken => {
                self.counters.snapshots_merged += 1;
                self.publish(now, taken, out);
            }
        }
        self.update_watch(now, out);
    }

    /// What a newer version brings, and could not be taken as it was told, is asked for at once.
    fn poll_for_newer(&mut self, now: Time, revision: u64, fresh: bool) {
        if fresh && Some(revision) > self.cache.revision() && self.in_flight.is_none() {
            self.next_poll_at = now;
        }
    }
}
