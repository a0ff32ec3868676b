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
struct Asking {
    to: Vec<SocketAddr>,
    nonce: u32,
    sent: Time,
    gathered: Option<Reassembly>,
}

/// Parts of a grace after which others are asked again, so that two that are lost leave time for a third.
const ASKS_PER_GRACE: Span = 4;
/// So many are asked at once at most, while holders are lost.
const WIDTH_MOST: usize = 64;
/// The same where the answer is a whole list.
const WIDTH_WHOLE: usize = 8;
/// A question without an answer is given up after this share of a grace.
const WAITS_PER_GRACE: Span = 10;
/// An instance that is asked first thing may be starting itself: nothing is concluded before this.
const SETTLE: Span = SECOND;
/// One that went unanswered is tried again after this.
const AGAIN: Span = SECOND;
/// A watch that was opened for want of holders is kept this long at least.
const ALONE_LEAST: Span = 5 * SECOND;
/// The disk is told at least this often that what it has is still vouched for.
const KEEP_EVERY: Span = 5 * SECOND;
/// Those that asked and could not be told yet, at most.
const WAITING_MOST: usize = 4_096;
/// Whole lists told in one pace, for each instance of the fleet; more are told the version alone.
const WHOLE_PER_PACE: u64 = 2;
/// No word of a peer makes anything older than this.
const AGO_MOST_MS: u64 = 1_000_000_000;

/// See the module.
#[derive(Debug, Clone, PartialEq)]
pub struct Bootstrap {
    set: BootstrapSettings,
    book: EndpointCache,
    turns: PollSchedule,
    circle: Option<WatchLeaders>,
    rng: Pcg64Mcg,
    started: Time,
    watch: Watch,
    /// The watch has brought a list, and when it was last heard.
    live: bool,
    heard: Time,
    alone: bool,
    asking: Option<Asking>,
    ask_at: Time,
    turn: u32,
    /// So many are asked at once: one, or twice as many each time while a holder goes unanswered.
    width: usize,
    /// When word last came that the service had vouched for lately, and when it last came from one that has a watch.
    told: Option<Time>,
    told_live: Option<Time>,
    waiting: BTreeSet<SocketAddr>,
    /// When the present pace began, and whole lists told in it.
    whole: (Time, u64),
    kept_at: Option<Time>,
    /// What its router makes of members; what others make of them has been taken as a start.
    rate: f64,
    expects: bool,
    /// What answers have shown of members, here and elsewhere.
    seen: Observations,
    counts: BootstrapCounters,
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
        let circle = others.map(|(me, seeds)| {
            WatchLeaders::new(
                *me,
                seeds.iter().copied(),
                set.poll_rate.fleet_size,
                set.min_watch_leaders,
            )
        });
        let mut start = Bootstrap {
            book: EndpointCache::new(set.service_reset_after),
            turns: PollSchedule::new(set.poll_rate, set.seed),
            circle,
            rng: Pcg64Mcg::seed_from_u64(set.seed ^ 0x57a7),
            started: now,
            watch: Watch::Off,
            live: false,
            heard: now,
            alone: false,
            asking: None,
            ask_at: now,
            turn: 0,
            width: 1,
            told: None,
            told_live: None,
            waiting: BTreeSet::new(),
            whole: (now, 0),
            kept_at: None,
            rate: 0.0,
            expects: false,
            seen: Observations::default(),
            counts: BootstrapCounters::default(),
            set,
        };
        if let Some(CachedEndpoints {
            list,
            confirmed_at,
            warm_throughput,
        }) = kept
        {
            start.expect(warm_throughput, out);
            let taken = start
                .book
                .take(now, list, Origin::Cached, confirmed_at.min(now), None);
            out.push(Output::Endpoints(taken));
        }
        start.look(now, out);
        start
    }

    /// What the router takes a warm member to answer this instance, in requests a second.
    pub fn set_warm_throughput(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// What answers have shown here, to be told to others.
    pub fn record_observations(&mut self, now: Time, seen: impl IntoIterator<Item = Observation>) {
        for seen in seen {
            self.seen.own(now, seen, self.set.watch_timeout);
        }
    }

    /// What answers have shown elsewhere.
    fn sighted(&mut self, now: Time, seen: Vec<Observation>, out: &mut Vec<Output>) {
        let (keep, known) = (self.set.watch_timeout, &mut self.seen);
        let news: Vec<_> = seen
            .into_iter()
            .filter(|seen| known.take(now, *seen, keep))
            .collect();
        self.counts.observations_merged += news.len() as u64;
        out.extend((!news.is_empty()).then_some(Output::Observations(news)));
    }

    /// Takes what is known elsewhere for a start, once.
    fn expect(&mut self, rate: f64, out: &mut Vec<Output>) {
        let known = rate > 0.0 && rate.is_finite() && self.rate <= 0.0;
        if known && !self.expects {
            self.expects = true;
            out.push(Output::SeedWarmThroughput(rate));
        }
    }

    /// What is held for the list.
    pub fn cache(&self) -> &EndpointCache {
        &self.book
    }

    /// What came and went.
    pub fn counts(&self) -> BootstrapCounters {
        self.counts
    }

    /// Who should hold the watch, as seen from here, and whether this instance has one that hears the service.
    pub fn watch_leaders(&self) -> (Vec<SocketAddr>, bool) {
        (
            self.circle
                .as_ref()
                .map(WatchLeaders::chosen)
                .unwrap_or_default(),
            self.live,
        )
    }

    /// The list may be gone by: it is there, and better word is no longer waited for.
    pub fn is_ready(&self, now: Time) -> bool {
        match self.book.origin() {
            None => false,
            Some(Origin::Cached) => now - self.started >= self.set.cached_list_wait,
            Some(_) => true,
        }
    }

    /// For how long a client that comes now had better stay away, while this is not ready.
    pub fn retry_after(&self, now: Time) -> Span {
        let kept = self
            .book
            .origin()
            .map(|_| self.started + self.set.cached_list_wait);
        let turn = if let Watch::Due(at) = self.watch {
            at
        } else {
            now
        } + self.pace();
        (kept.map_or(turn, |kept| kept.min(turn)) - now).max(self.set.poll_rate.min_pause)
    }

    /// How often others are asked.
    fn pace(&self) -> Span {
        (self.set.drain_grace / ASKS_PER_GRACE).max(10 * MS)
    }

    fn wait(&self) -> Span {
        (self.set.drain_grace / WAITS_PER_GRACE).max(5 * MS)
    }

    /// So many may ask the service as this one would.
    fn askers(&self) -> u32 {
        match &self.circle {
            Some(circle) if !self.alone => {
                circle.holders().min(self.set.poll_rate.fleet_size.max(1))
            }
            _ => self.set.poll_rate.fleet_size.max(1),
        }
    }

    /// Somebody with a watch of its own has told lately.
    fn is_told(&self, now: Time) -> bool {
        self.told_live
            .is_some_and(|at| now - at < self.set.watch_timeout)
    }

    /// Decides whether the watch is wanted, and sees to it.
    fn look(&mut self, now: Time, out: &mut Vec<Output>) {
        let settled = now - self.started >= SETTLE;
        let (holds, seed) = match &self.circle {
            None => (true, true),
            Some(circle) => (circle.holds(), circle.is_seed()),
        };
        let holds = holds && (seed || settled);
        // Nobody has had word of the service for too long: whoever wants the list asks itself.
        let since = self.told.unwrap_or(self.started);
        let patience = if self.told.is_some() {
            self.set.watch_timeout
        } else {
            SETTLE
        };
        let alone = !holds && now - since >= patience;
        match self.watch {
            Watch::Off if holds || alone => {
                self.alone = alone;
                let askers = self.askers();
                self.watch = Watch::Due(self.turns.first(now, askers));
            }
            Watch::Due(_) if !holds && !alone => (self.watch, self.alone) = (Watch::Off, false),
            Watch::Due(_) => self.alone = alone,
            Watch::Open(_) if holds => {
                let was_alone = std::mem::take(&mut self.alone);
                out.extend(
                    (was_alone && self.live)
                        .then_some(Output::Log(LogEvent::WatchEstablished(true))),
                );
            }
            Watch::Open(at) if self.is_told(now) && now - at >= ALONE_LEAST => {
                (self.watch, self.live, self.alone) = (Watch::Off, false, false);
                out.extend([Output::CloseWatch, Output::Log(LogEvent::WatchReleased)]);
            }
            _ => {}
        }
        if let Watch::Due(at) = self.watch {
            if at <= now {
                (self.watch, self.live, self.heard) = (Watch::Open(now), false, now);
                self.turns.asks();
                self.counts.watches_opened += 1;
                self.counts.watches_without_leader += u64::from(self.alone);
                out.push(Output::OpenWatch(self.book.revision()));
            }
        }
    }

    /// When [`Bootstrap::handle_timeout`] is wanted next.
    pub fn next_timeout(&self, now: Time) -> Time {
        let watch = match self.watch {
            Watch::Due(at) => at,
            Watch::Open(_) => self.heard + self.set.watch_timeout,
            Watch::Off => self
                .told
                .map_or(self.started + SETTLE, |at| at + self.set.watch_timeout),
        };
        let later = [
            self.started + SETTLE,
            self.started + self.set.cached_list_wait,
        ];
        let settle = later
            .into_iter()
            .filter(|at| *at > now)
            .min()
            .unwrap_or(Time::MAX);
        let ask = match (&self.circle, &self.asking) {
            (None, _) => Time::MAX,
            (_, Some(asking)) => asking.sent + self.wait(),
            _ => self.ask_at,
        };
        watch.max(now + MS).min(settle).min(ask.max(now + MS))
    }

    /// Time has come for what waits for it.
    pub fn handle_timeout(&mut self, now: Time, out: &mut Vec<Output>) {
        if matches!(self.watch, Watch::Open(_)) && now - self.heard >= self.set.watch_timeout {
            out.push(Output::CloseWatch);
            self.handle_watch_lost(now, None, out);
        }
        if self
            .asking
            .as_ref()
            .is_some_and(|asking| now - asking.sent >= self.wait())
        {
            self.counts.polls_unanswered += 1;
            self.asking = None;
            self.ask_at = now;
            self.turn = self.turn.wrapping_add(1);
        }
        self.look(now, out);
        if self.asking.is_none() && self.ask_at <= now {
            self.ask(now, out);
        }
    }

    /// Asks the next holder.
    fn ask(&mut self, now: Time, out: &mut Vec<Output>) {
        // Chance in every pause: those that started together do not go on together.
        let pace = self.pace() as f64 * (0.75 + 0.5 * self.rng.random::<f64>());
        self.ask_at = now + pace as Span;
        let Some(circle) = self.circle.as_mut() else {
            return;
        };
        let Some((from, _)) = self.set.peers else {
            return;
        };
        let have = self
            .book
            .revision()
            .filter(|_| self.book.origin() != Some(Origin::Cached));
        // Whoever has nothing is sent whole lists.
        let most = if have.is_some() {
            WIDTH_MOST
        } else {
            WIDTH_WHOLE
        };
        self.width = if circle.doubts() {
            (2 * self.width).min(most)
        } else {
            1
        };
        let to = circle.asked(now, self.turn, self.width, AGAIN);
        if to.is_empty() {
            return;
        }
        to.iter().for_each(|to| circle.asks(now, *to));
        if self.width > 1 {
            self.ask_at = now + self.wait();
        }
        let nonce = self.rng.random::<u32>().max(1);
        self.counts.polls_sent += to.len() as u64;
        let seen = self.seen.news();
        let ask = Message::Poll {
            from,
            nonce,
            service: self.set.service_id,
            have,
            seen,
        };
        out.extend(to.iter().map(|to| Output::Send(*to, ask.clone())));
        self.asking = Some(Asking {
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
        self.heard = now;
        let (had, behind) = (self.book.revision(), self.book.is_behind());
        let resets = self.book.resets();
        let taken = self.book.take(now, update, Origin::Service, now, None);
        self.turns.served();
        if self.book.resets() > resets {
            out.push(Output::Log(LogEvent::ServiceReset));
        }
        if taken == MergeOutcome::Stale {
            self.counts.stale_updates += 1;
            if self.book.is_behind() && !behind {
                out.push(Output::Log(LogEvent::ServiceBehind(
                    had.unwrap_or_default(),
                )));
            }
            return;
        }
        let first = !std::mem::replace(&mut self.live, true);
        if first {
            out.push(Output::Log(LogEvent::WatchEstablished(!self.alone)));
        }
        // That the service is back is news to others too, even where it tells nothing new.
        if first || matches!(taken, MergeOutcome::Complete(_) | MergeOutcome::Changed(_)) {
            self.push(now, had, out);
        }
        self.news(now, taken, out);
    }

    /// The watch brought a line without news.
    pub fn handle_watch_heartbeat(&mut self, now: Time, out: &mut Vec<Output>) {
        self.heard = now;
        if self.live {
            self.book.vouched(now);
            self.news(now, MergeOutcome::Unchanged, out);
        }
    }

    /// The watch ended, or could not be opened. `wait`: the service said that it is overloaded, and perhaps for how long.
    pub fn handle_watch_lost(&mut self, now: Time, wait: Option<Span>, out: &mut Vec<Output>) {
        if !matches!(self.watch, Watch::Open(_)) {
            return;
        }
        if let Some(wait) = wait {
            self.turns.put_off(now, wait);
        }
        self.live = false;
        let askers = self.askers();
        self.watch = Watch::Due(self.turns.again(now, askers));
        self.look(now, out);
    }

    /// News for whoever decides by the list, and for the disk.
    fn news(&mut self, now: Time, taken: MergeOutcome, out: &mut Vec<Output>) {
        if !matches!(taken, MergeOutcome::Unchanged | MergeOutcome::Stale) {
            out.push(Output::Endpoints(taken));
            self.kept_at = None;
        }
        let due = self.kept_at.is_none_or(|at| now - at >= KEEP_EVERY);
        if let (true, Some(revision), Some(said)) = (due, self.book.revision(), self.book.said()) {
            if self.book.origin() != Some(Origin::Cached) {
                self.kept_at = Some(now);
                let members = self.book.endpoints().cloned().collect();
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
        if let Some(circle) = self.circle.as_mut() {
            circle.update_membership(up);
            self.look(now, out);
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
        if let Some(circle) = self.circle.as_mut() {
            circle.reload(seeds.iter().copied());
        }
        if self.set.service_id != service || moved {
            self.set.service_id = service;
            self.book.other_service();
            (self.told, self.told_live) = (None, None);
            self.started = now;
            if matches!(self.watch, Watch::Open(_)) {
                out.push(Output::CloseWatch);
                self.watch = Watch::Due(now);
                self.live = false;
            }
        }
        self.look(now, out);
    }

    /// Word of another instance.
    pub fn handle_message(&mut self, now: Time, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Poll {
                from,
                nonce,
                service,
                have,
                seen,
            } if service == self.set.service_id => {
                self.sighted(now, seen, out);
                self.answer(now, from, nonce, have, out);
            }
            Message::Snapshot(mut tell) if tell.service == self.set.service_id => {
                self.sighted(now, std::mem::take(&mut tell.seen), out);
                self.told(now, tell, out);
            }
            _ => self.counts.foreign_messages += 1,
        }
    }

    /// What is held, without its entries.
    fn tell(&mut self, now: Time, nonce: u32) -> Option<EndpointSnapshot> {
        let seen = self.seen.all(now, self.set.watch_timeout);
        let (from, _) = self.set.peers.as_ref()?;
        let age = self.book.age(now).unwrap_or_default();
        let live = self.live && !self.book.is_behind();
        Some(EndpointSnapshot {
            from: *from,
            nonce,
            service: self.set.service_id,
            revision: self.book.revision(),
            said_ago_ms: u64::try_from(age / MS).unwrap_or_default(),
            live,
            kept: self.book.origin() == Some(Origin::Cached),
            put_off_ms: u64::try_from(self.turns.put_off_for(now) / MS).unwrap_or_default(),
            rate: (self.rate * 1_000.0) as u64,
            base: None,
            part: (0, 0),
            entries: Vec::new(),
            seen,
        })
    }

    fn answer(
        &mut self,
        now: Time,
        to: SocketAddr,
        nonce: u32,
        have: Option<u64>,
        out: &mut Vec<Output>,
    ) {
        self.counts.polls_answered += 1;
        let Some(tell) = self.tell(now, nonce) else {
            return;
        };
        if !self.live
            && (self.book.revision().is_none() || self.book.origin() == Some(Origin::Cached))
        {
            // Told as soon as there is something to tell.
            if self.waiting.len() < WAITING_MOST {
                self.waiting.insert(to);
            }
        }
        let known = self.book.revision().is_some();
        let parts = if known {
            self.parts(now, &tell, have)
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
    fn parts(
        &mut self,
        now: Time,
        tell: &EndpointSnapshot,
        have: Option<u64>,
    ) -> Option<Vec<EndpointSnapshot>> {
        let (base, entries) = self.book.since(have);
        if base.is_none() {
            if now - self.whole.0 >= self.pace() {
                self.whole = (now, 0);
            }
            self.whole.1 += 1;
            if self.whole.1 > WHOLE_PER_PACE * u64::from(self.set.poll_rate.fleet_size.max(8)) {
                return None;
            }
        }
        EndpointSnapshot {
            base,
            ..tell.clone()
        }
        .parts(entries)
    }

    /// Tells all others what has changed since a version, and those that waited for it all of it.
    fn push(&mut self, now: Time, had: Option<u64>, out: &mut Vec<Output>) {
        let waiting = std::mem::take(&mut self.waiting);
        let Some(circle) = &self.circle else { return };
        let others: BTreeSet<_> = circle.others().chain(waiting.iter().copied()).collect();
        let Some(tell) = self.tell(now, 0) else {
            return;
        };
        let (base, entries) = self.book.since(had);
        let parts = EndpointSnapshot {
            base,
            ..tell.clone()
        }
        .parts(entries)
        .filter(|parts| parts.len() == 1);
        let news = parts
            .and_then(|mut parts| parts.pop())
            .unwrap_or_else(|| tell.clone());
        let whole = if waiting.is_empty() {
            None
        } else {
            self.parts(now, &tell, None)
        };
        for to in others {
            let told = whole.as_ref().filter(|_| waiting.contains(&to));
            let told = told.map_or(std::slice::from_ref(&news), |parts| parts);
            self.counts.snapshots_pushed += told.len() as u64;
            out.extend(
                told.iter()
                    .map(|part| Output::Send(to, Message::Snapshot(part.clone()))),
            );
        }
    }

    fn told(&mut self, now: Time, tell: EndpointSnapshot, out: &mut Vec<Output>) {
        if let Some(circle) = self.circle.as_mut() {
            circle.heard(tell.from);
        }
        let mine = |asking: &Asking| asking.to.contains(&tell.from) && asking.nonce == tell.nonce;
        let asked = self.asking.as_ref().is_some_and(mine);
        if tell.put_off_ms > 0 {
            self.turns.put_off(
                now,
                MS.saturating_mul(tell.put_off_ms.min(AGO_MOST_MS) as Span),
            );
        }
        if tell.part.1 > 1 {
            // Parts are gathered from one instance at a time; unasked ones only where nothing is known yet.
            if let Some(asking) = self.asking.as_mut().filter(|_| asked) {
                asking.to = vec![tell.from];
            }
            let gathered = match self.asking.as_mut() {
                Some(asking) if asked || (tell.nonce == 0 && asking.gathered.is_none()) => {
                    &mut asking.gathered
                }
                Some(asking) => match asking.gathered.as_mut() {
                    Some(gathered) if gathered.fits(&tell) => &mut asking.gathered,
                    _ => return,
                },
                None if tell.nonce == 0 => {
                    let asking = Asking {
                        to: vec![tell.from],
                        nonce: 0,
                        sent: now,
                        gathered: None,
                    };
                    &mut self.asking.insert(asking).gathered
                }
                None => return,
            };
            match gathered {
                Some(gathered) if gathered.fits(&tell) => gathered.add(tell),
                _ => *gathered = Some(Reassembly::new(tell)),
            }
            let whole = gathered.as_ref().and_then(Reassembly::whole);
            if let Some(whole) = whole {
                self.asking = None;
                self.take(now, whole, out);
            }
            return;
        }
        if asked {
            self.asking = None;
            self.turn = self.turn.wrapping_add(1);
        }
        self.take(now, tell, out);
    }

    fn take(&mut self, now: Time, tell: EndpointSnapshot, out: &mut Vec<Output>) {
        self.expect(tell.rate as f64 / 1_000.0, out);
        let said = now - MS.saturating_mul(tell.said_ago_ms.min(AGO_MOST_MS) as Span);
        let fresh = tell.revision.is_some() && !tell.kept && now - said < self.set.watch_timeout;
        if fresh && tell.revision >= self.book.revision() {
            self.told = Some(now);
            self.told_live = if tell.live { Some(now) } else { self.told_live };
            if let (Watch::Due(at), true) = (self.watch, Some(said) > self.book.said()) {
                // The service is there for others: what was put off as it was not is put off no longer.
                self.turns.served();
                let askers = self.askers();
                self.watch = Watch::Due(at.min(self.turns.first(now, askers)));
            }
        }
        let Some(revision) = tell.revision else {
            return self.look(now, out);
        };
        if tell.part.1 == 0 {
            self.ask_for(now, revision, fresh);
            return self.look(now, out);
        }
        let origin = if fresh { Origin::Peer } else { Origin::Cached };
        let update = EndpointUpdate {
            revision,
            complete: tell.base.is_none(),
            members: tell.entries,
        };
        let taken = self.book.take(now, update, origin, said, tell.base);
        match taken {
            MergeOutcome::Stale => {
                self.counts.stale_updates += 1;
                self.ask_for(now, revision, fresh);
            }
            taken => {
                self.counts.snapshots_merged += 1;
                self.news(now, taken, out);
            }
        }
        self.look(now, out);
    }

    /// What a newer version brings, and could not be taken as it was told, is asked for at once.
    fn ask_for(&mut self, now: Time, revision: u64, fresh: bool) {
        if fresh && Some(revision) > self.book.revision() && self.asking.is_none() {
            self.ask_at = now;
        }
    }
}
