//! Every decision of stackgw. The interface (settings, events, actions) is in api.rs; read it first.
//!
//! A request walks one path: `accept` -> `route` (who fits?) -> `send`, or it is held until `pump` routes it
//! again or `give_up` ends it. Members' word arrives in `learn`, their behaviour in `judge`.

use crate::api::*;
use crate::state::{forget_unavailable, hash_fraction, GroupState, MemberState, RequestState};
use std::collections::{BTreeMap, BTreeSet};

/// Session reads this soon after a write go to the primary. The design's start; shorter was worth nothing.
const READ_AFTER_WRITE: Span = SECOND;
/// Kept off each staleness bound, for the time between the decision and the send.
const STALENESS_MARGIN: Span = 100 * MS;
/// Pace of probes: a share of the tightest bound or last lag, within these ends; how long one is waited for.
const CHECKS_PER_BOUND: i64 = 4;
const MIN_CHECK_INTERVAL: Span = 120 * MS;
const MAX_CHECK_INTERVAL: Span = SECOND / 2;
const MAX_CHECK_WAIT: Span = 20 * MS;
/// Probes that no request waits for stay within this many for each request, less in a large fleet: they cost.
const CHECKS_PER_REQUEST: f64 = 0.1;
/// So many routers may each keep the paces of one; more share them.
const FLEET_BASELINE: f64 = 16.0;
/// Session marks are kept this long: far longer than a replica lags, or a new one's copy is old.
const SESSION_WRITE_RETENTION: Span = 60 * SECOND;
/// A member that is gone is kept this long, as late answers and word of it may still come.
const REMOVED_MEMBER_RETENTION: Span = 30 * SECOND;
/// A replica that turned a read away is taken to be this far behind until it is heard again.
const LAG_AFTER_REJECTED_READ: Span = 2 * SECOND;
/// A replica with this many times its peers' mean in flight, and one more, is skipped for now.
const MAX_IN_FLIGHT_RATIO: f64 = 1.3;
/// The fleet's limit on requests in flight at a member at first, and the least for one router.
const INITIAL_FLEET_LIMIT: f64 = 12.0;
const MIN_LIMIT: f64 = 0.3;
/// Strain is answer time over aim. Above the first the limit shrinks; below the second it may grow.
const HIGH_LATENCY_RATIO: f64 = 0.33;
const GOOD_LATENCY_RATIO: f64 = 0.27;
const LIMIT_CUT: f64 = 0.85;
/// A guess before the first answers; then smoothed over 1 / SMOOTHING answers, at most MAX_LATENCY_RATIO. A
/// limit is cut once in SAMPLES_PER_CUT: work varies so much that with fewer chance alone closes a member.
const INITIAL_LATENCY_RATIO: f64 = 0.25;
const SMOOTHING: f64 = 0.05;
const MAX_LATENCY_RATIO: f64 = 1.2;
const SAMPLES_PER_CUT: u32 = 12;
/// Share of the primary's limit open to reads that no replica could take: the rest can go nowhere else.
const FALLBACK_SHARE: f64 = 0.6;
/// A member is silent after (A + B / requests in flight) usual answer times without one: e^-7 is rare enough.
const MAX_QUIET_A: f64 = 2.0;
const MAX_QUIET_B: f64 = 7.0;
/// Lost, not late: out for so many usual answer times while later ones were answered, or this share is lost.
/// Such reads go elsewhere: later with each try, as long work stays long, and before any loss shows.
const LOST_AFTER: f64 = 4.0;
const VISIBLE_LOSS: f64 = 0.08;
/// Strikes that put a member out; an answer clears them.
const EJECTION_SCORE: u32 = 4;
/// So many errors from different members show that the request is at fault, and it is given up.
const MAX_FAILED_MEMBERS: usize = 2;
/// Trials of a member that is out: first and longest wait between them.
const MIN_HALF_OPEN_WAIT: Span = 250 * MS;
const MAX_HALF_OPEN_WAIT: Span = 2 * SECOND;
/// Part of a cold member's budget that this fleet uses; the rest covers chance and what it cannot see.
const BUDGET_SHARE: f64 = 0.4;
/// Part of the drain grace in which a draining primary still gets writes when no other is known.
const DRAIN_GRACE_SHARE: f64 = 0.8;
/// Late answers that earn less than this share take room from others that earn it all: they are not held for.
const MIN_LATE_WEIGHT_SHARE: f64 = 0.5;
/// Held until the aim less so many answer times (on arrival the 2nd, to idle members the 3rd), or this share.
const QUEUE_RESERVE: f64 = 3.0;
const SEND_RESERVE: f64 = 1.0;
const SEND_RESERVE_IDLE: f64 = 0.3;
const MAX_QUEUE_RESERVE: f64 = 0.85;
/// Pace of the timer; events much further apart than that show that this router stood still.
const TIMER_INTERVAL: Span = 10 * MS;
const STALL_THRESHOLD: Span = 100 * MS;
/// In each term one router gathers the others' news for this long, longer than messages take, and tells all.
const COLLECTION_TIME: Span = 50 * MS;

/// The decision module. The same settings, seed and events give the same actions.
#[derive(Debug, Default)]
pub struct Router {
    settings: Settings,
    seed: u64,
    members: BTreeMap<MemberId, MemberState>,
    groups: BTreeMap<GroupId, GroupState>,
    requests: BTreeMap<RequestId, RequestState>,
    session_writes: BTreeMap<SessionId, Time>,
    /// The tightest staleness bound, or a second, and the shortest aim.
    bound: Span,
    aim: f64,
    /// Every router of a large fleet asks, so each asks this many times less often, least where they talk.
    fleet_divisor: f64,
    /// Stretches this router's paces a little, so that a fleet does not probe in step.
    jitter: f64,
    /// Strain over all replicas, and over all primaries.
    strain: [f64; 2],
    /// Answers since the last count, and per second and member, of replicas and of primaries: what either
    /// bears warm is the yardstick for cold members.
    taken: [f64; 2],
    warm: [f64; 2],
    period_start: Time,
    probes: f64,
    timer_set: bool,
    /// The last event, and how long this router stood still before it.
    seen: Time,
    stall: Span,
    /// News since this term began, and when this router tells what it gathered.
    news: BTreeMap<MemberId, GossipUpdate>,
    term: i64,
    broadcast_at: Option<Time>,
}

impl Router {
    /// A router that knows nothing yet but its settings.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        // Nobody to talk to, or no report to hear: neither is asked for.
        settings.limits.gossip &= settings.fleet_size > 1;
        settings.limits.health_checks &= settings.load_reporting != LoadReporting::Never;
        let bound =
            |c: &Class| if let Consistency::BoundedStaleness(bound) = c.consistency { bound } else { SECOND };
        let bound = settings.classes.iter().map(bound).min().unwrap_or(SECOND);
        let aim = settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(SECOND) as f64;
        let jitter = 1.0 + hash_fraction(seed) / 5.0;
        let most = if settings.limits.gossip { f64::MAX } else { 6.0 };
        let fleet_divisor = (f64::from(settings.fleet_size) / FLEET_BASELINE).clamp(1.0, most);
        let strain = [INITIAL_LATENCY_RATIO; 2];
        Router { settings, seed, bound, aim, fleet_divisor, jitter, strain, ..Router::default() }
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.timer_set && now - self.seen > STALL_THRESHOLD {
            // Danger: after its own pause a router finds all answers late, and would blame the members.
            self.stall = now - self.seen;
            self.members.values_mut().for_each(|node| node.quiet_since = now);
            self.run_periodic_work(now, out);
        } else if now > self.seen {
            self.stall = 0;
        }
        self.seen = now;
        match event {
            Event::EndpointList { scope, members } => self.list(now, scope, members, out),
            Event::Request(request) => self.accept(now, request, out),
            // The stream is the client's from here on; nothing is owed for it.
            Event::StreamStarted { request, .. } => drop(self.requests.remove(&request)),
            Event::AttemptEnded(answer) => self.answer(now, answer, out),
            Event::ClientDisconnected(request) => self.end(request, out),
            Event::HealthChecked {
                member,
                responded: answered,
                load_report: LoadReport { position, is_primary: primary, .. },
                ..
            } => {
                let Some(node) = self.members.get_mut(&member) else { return };
                node.check_pending = false;
                let group = node.group;
                if answered {
                    self.apply_role(now, member, primary, position, false);
                    self.queue_gossip(GossipUpdate {
                        member,
                        position,
                        is_primary: primary,
                        latency_ratio: 0.0,
                        samples: 0,
                    });
                }
                for id in self.groups.get(&group).into_iter().flat_map(|g| &g.queued) {
                    self.requests.entry(*id).and_modify(|entry| entry.rejected_by.clear());
                }
                self.dispatch_queued(now, group, out);
                self.check_health(now, group, out);
            }
            Event::Timer(_) => {
                self.timer_set = false;
                self.run_periodic_work(now, out);
            }
            Event::Gossip { sent_at: told, relay, updates: news } => self.merge_gossip(told, relay, news),
        }
        if !self.timer_set && !self.members.is_empty() {
            self.timer_set = true;
            out.push(Action::SetTimer { after: self.settings.tick.max(TIMER_INTERVAL), token: 0 });
        }
    }

    /// What it believes of each member, for those who look on.
    pub fn member_snapshots(&self) -> impl Iterator<Item = (MemberId, MemberSnapshot)> + '_ {
        self.members.iter().map(|(id, node)| (*id, node.belief()))
    }

    /// Requests a second that a warm member answers this router: a start for a later life, or for a peer.
    pub fn warm_throughput(&self) -> f64 {
        self.warm[0].max(self.warm[1])
    }

    /// What members told since this was last asked, for a host that carries word to other routers.
    pub fn take_gossip(&mut self) -> Vec<GossipUpdate> {
        std::mem::take(&mut self.news).into_values().collect()
    }

    /// Where a host deals out connections: how many to a member are free, and from when on it may open one.
    /// `None`: it opens what it is asked for.
    pub fn set_connection_permits(&mut self, member: MemberId, connection_permits: Option<(u32, Time)>) {
        self.members.entry(member).and_modify(|node| node.connection_permits = connection_permits);
    }

    /// What it was before, or is elsewhere; own answers take its place.
    pub fn seed_warm_throughput(&mut self, rate: f64) {
        self.warm = if self.warm_throughput() > 0.0 { self.warm } else { [rate; 2] };
    }

    fn list(&mut self, now: Time, scope: ListScope, members: Vec<Member>, out: &mut Vec<Action>) {
        if self.settings.polls_endpoint_list && matches!(scope, ListScope::Cached | ListScope::Failed) {
            out.push(Action::Subscribe(true)); // A call fails only after a time-out, which sets the pace.
        }
        if scope == ListScope::Failed {
            return;
        }
        let binds = !self.settings.obligations.removal_is_advisory;
        if scope != ListScope::Changes {
            self.probes = members.len() as f64 / self.fleet_divisor;
            let missing = self.members.iter_mut().filter(|(id, _)| !members.iter().any(|m| m.id == **id));
            missing.for_each(|(_, node)| node.apply_lifecycle(now, Lifecycle::Removed, binds));
        }
        for member in members {
            let group = self.groups.entry(member.group).or_default();
            // Danger: routers that start together would all begin with one member: each begins elsewhere.
            let turn = hash_fraction(self.seed ^ u64::from(member.id.0));
            let limit = INITIAL_FLEET_LIMIT / f64::from(self.settings.fleet_size.max(1));
            let latency = INITIAL_LATENCY_RATIO * self.aim;
            let (strain, half_open_wait) = (INITIAL_LATENCY_RATIO, MIN_HALF_OPEN_WAIT);
            let sent_at = now - (latency / limit * turn) as Span;
            let fresh = MemberState {
                strain,
                half_open_wait,
                sent_at,
                limit,
                latency,
                turn,
                ..MemberState::unheard(&member)
            };
            let node = self.members.entry(member.id).or_insert_with(|| {
                group.members.push(member.id);
                fresh.clone()
            });
            if member.started_at.is_some() && node.started != member.started_at {
                // A restarted process is cold; its past tells no health or role, but its drain holds.
                let MemberState { position, in_flight, lifecycle, told, connection_permits, .. } = *node;
                *node = MemberState { position, in_flight, lifecycle, told, connection_permits, ..fresh };
                group.primary = group.primary.filter(|id| *id != member.id);
            }
            if member.started_at.is_none() && scope != ListScope::Cached {
                node.started = None; // Up for long; a kept list could not tell.
            }
            node.apply_lifecycle(now, member.lifecycle, binds);
            (node.weight, node.listed_primary) = (member.weight, member.listed_primary);
        }
        self.run_periodic_work(now, out);
    }

    /// Whether anything new may go to a member: a draining one is used as primary alone, inside the grace.
    fn open(&self, now: Time, node: &MemberState, as_primary: bool) -> bool {
        let grace = (self.settings.obligations.drain_grace as f64 * DRAIN_GRACE_SHARE) as Span;
        let draining = node.lifecycle == Lifecycle::Draining && now - node.told < grace;
        node.lifecycle == Lifecycle::Serving || as_primary && draining
    }

    /// Takes a member's word on role and position. Claims are ordered by position: old word undoes no newer;
    /// but an answer that denies the role counts at once: reads there are no longer excused for age.
    fn apply_role(&mut self, now: Time, id: MemberId, primary: Option<bool>, at: Option<Time>, answer: bool) {
        let Some(node) = self.members.get_mut(&id) else { return };
        if let Some(at) = at.filter(|at| *at >= node.position) {
            (node.position, node.lag) = (at, now - at);
        }
        let order = at.unwrap_or(now).max(if answer { node.position } else { 0 });
        let group = self.groups.entry(node.group).or_default();
        if primary == Some(true) && order >= group.claimed_at.max(node.replica_as_of) {
            (group.primary, group.claimed_at) = (Some(id), order);
        } else if primary == Some(false) && (answer || order >= node.replica_as_of) {
            node.replica_as_of = order.max(node.replica_as_of);
            group.primary = group.primary.filter(|p| *p != id || (!answer && order < group.claimed_at));
        }
    }

    /// The last one to claim the role, as far as is known.
    fn claimed_primary(&self, group: GroupId) -> Option<MemberId> {
        self.groups.get(&group).and_then(|g| g.primary)
    }

    fn primary(&self, now: Time, group: GroupId) -> Option<MemberId> {
        let claimed = self.claimed_primary(group).filter(|id| self.open(now, &self.members[id], true));
        let listed = |n: &MemberState| n.listed_primary && n.replica_as_of == 0 && self.open(now, n, true);
        claimed.or_else(|| self.members_of(group).find(|(_, n)| listed(n)).map(|(id, _)| id))
    }

    fn members_of(&self, group: GroupId) -> impl Iterator<Item = (MemberId, &MemberState)> {
        self.groups.get(&group).into_iter().flat_map(|g| &g.members).map(|id| (*id, &self.members[id]))
    }

    fn record_outcome(&mut self, now: Time, answer: &AttemptResult, class: Option<&Class>) {
        use Outcome::*;
        let Some(node) = self.members.get_mut(&answer.member) else { return };
        node.in_flight = node.in_flight.saturating_sub(1);
        if matches!(answer.outcome, Served | Misrouted) {
            if node.out {
                // Back from a trial: start carefully, it may be cold or still choking.
                (node.out, node.half_open_wait) = (false, MIN_HALF_OPEN_WAIT);
                node.limit = (node.limit / 2.0).max(MIN_LIMIT / self.fleet_divisor);
            }
            (node.failure_score, node.quiet_since, node.heard) =
                (0, now, node.heard.max(now - answer.elapsed));
        }
        // Danger: answers that get lost look like ones that take too long, and limits shrink to nothing.
        let lost =
            matches!(answer.outcome, TimedOut | Cancelled) && node.lost(now, now - answer.elapsed, 1.0);
        if lost || answer.outcome == Served {
            node.loss += (f64::from(u8::from(lost)) - node.loss) * SMOOTHING;
        }
        let took = (answer.elapsed - self.stall).max(0) as f64;
        let ratio = class.map_or(node.strain, |c| took / c.latency_objective as f64).min(MAX_LATENCY_RATIO);
        // One shed, time-out, break or slow connect proves nothing; a connect refused at once does.
        let (failure_score, strain) = match answer.outcome {
            Served => (0, Some(ratio)),
            TimedOut if self.stall == 0 && !lost => (1, Some(MAX_LATENCY_RATIO)),
            Overloaded | ConnectionReset => (1, None),
            ConnectFailed if answer.elapsed < self.settings.limits.connect_timeout / 2 => {
                (EJECTION_SCORE, None)
            }
            ConnectFailed => (2, None),
            _ => (0, None),
        };
        if answer.outcome == Misrouted && class.is_some_and(|c| c.consistency != Consistency::Write) {
            node.lag = node.lag.max(LAG_AFTER_REJECTED_READ); // Too far behind, however fresh it looked.
        }
        if let Some(strain) = strain {
            // Quick errors and refusals are no service: they change no limit.
            let leads = self.groups.get(&node.group).is_some_and(|g| g.primary == Some(answer.member));
            self.taken[usize::from(leads)] += 1.0;
            node.latency += (took - node.latency) * SMOOTHING * 2.0;
            let over = &mut self.strain[usize::from(answer.is_primary == Some(true))];
            *over += (strain - *over) * SMOOTHING;
            node.adjust_limit(strain, 1, MIN_LIMIT / self.fleet_divisor, answer.outcome == Served);
        }
        node.add_failures(now, failure_score);
        let AttemptResult { member, position, is_primary: primary, .. } = *answer;
        let (answers, strain) = (strain.is_some().into(), strain.unwrap_or(0.0));
        self.queue_gossip(GossipUpdate {
            member,
            position,
            is_primary: primary,
            latency_ratio: strain,
            samples: answers,
        });
    }

    /// A member that holds requests and answers none for far longer than usual is silent, whatever its probes
    /// say. Its reads are called off and sent elsewhere.
    fn detect_unresponsive(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut silent = BTreeSet::new();
        for id in self.requests.values().flat_map(|e| &e.out).map(|(_, id)| id) {
            let Some(node) = self.members.get_mut(id).filter(|node| !node.out) else { continue };
            let heeded = if node.loss > VISIBLE_LOSS { 1 } else { node.in_flight.max(1) };
            let stall = MAX_QUIET_A + MAX_QUIET_B / f64::from(heeded);
            if (now - node.quiet_since) as f64 > stall * node.latency.max(HIGH_LATENCY_RATIO * self.aim) {
                node.add_failures(now, EJECTION_SCORE);
                silent.insert(*id);
            }
        }
        let reads = |e: &&RequestState| {
            self.settings.limits.cancel && self.class(e).idempotency != Idempotency::NonIdempotent
        };
        for entry in self.requests.values().filter(reads) {
            let by = f64::from(entry.sent);
            let lost = |n: &MemberState| {
                n.lost(now, entry.sent_at, by * if n.loss > VISIBLE_LOSS { 1.0 } else { 3.0 })
            };
            let over = |id| silent.contains(id) || self.members.get(id).is_some_and(lost);
            for (attempt, _) in entry.out.iter().filter(|(_, id)| over(id)) {
                out.push(Action::Cancel { request: entry.request.id, attempt: *attempt });
            }
        }
    }

    /// Whether a member can take one more within `share` of its limit. Out, it gets safe trials only.
    fn has_capacity(&self, now: Time, node: &MemberState, share: f64, primary: bool, safe: bool) -> bool {
        if node.out {
            return safe && now >= node.half_open_at && self.has_slow_start_budget(now, node);
        }
        let limit = node.limit * share * node.slow_start_factor(now, &self.settings.obligations);
        // A limit below one is a pace. Thin streams come unevenly, so it is kept only under strain, here or
        // over all of its role, as one member is seldom heard.
        let calm = node.strain.max(self.strain[usize::from(primary)]) < HIGH_LATENCY_RATIO;
        let paced = calm || limit >= 1.0 || (now - node.sent_at) as f64 >= node.latency / limit;
        f64::from(node.in_flight) < limit.max(1.0) && paced && self.has_slow_start_budget(now, node)
    }

    /// Danger: a cold member falls over when all routers together send too much. Each goes by its own traffic
    /// for each member, so the fleet's sum goes by what warm members bear.
    fn has_slow_start_budget(&self, now: Time, node: &MemberState) -> bool {
        let rules = &self.settings.obligations;
        let slow_start_factor = node.slow_start_factor(now, rules);
        let rate = self.warm_throughput() * slow_start_factor * rules.overload_multiple * BUDGET_SHARE;
        let least = 4.0 / f64::from(self.settings.fleet_size.max(1));
        // Where connections are dealt, few routers have one here yet: theirs is what the others cannot use.
        let (mut dealt, mut reached) = (0, 0);
        for (_, n) in self
            .members_of(node.group)
            .filter(|(_, n)| node.connection_permits.is_some() && n.connection_permits.is_some())
        {
            dealt += 1;
            reached += u32::from(!n.needs_new_connection() || n.in_flight > 0);
        }
        let part = f64::from(dealt.max(1)) / f64::from(reached.max(1));
        let budget = (rate * part * rules.overload_window as f64 / SECOND as f64).max(least);
        let spent = node.cold_sends.iter().filter(|t| now - **t < rules.overload_window).count();
        // A part of one is a chance, drawn by each router for each window: else hundreds would each send one.
        let window = node.started.unwrap_or(0) ^ (now / rules.overload_window.max(1));
        slow_start_factor >= 1.0
            || (spent as f64) < (budget + hash_fraction(self.seed ^ window as u64)).floor()
    }

    fn queue_gossip(&mut self, word: GossipUpdate) {
        if self.settings.limits.gossip || self.settings.limits.host_gossip {
            self.news.entry(word.member).and_modify(|news| news.add(&word)).or_insert(word);
        }
    }

    /// Once a term all news goes to the router whose turn it is; that one tells all what it gathered.
    fn send_gossip(&mut self, now: Time, out: &mut Vec<Action>) {
        let term = now / (self.bound / 2);
        let turn = term.rem_euclid(i64::from(self.settings.fleet_size)) as u32;
        let to = Some(turn).filter(|_| self.broadcast_at.is_none());
        if to.is_some() && term == self.term || self.broadcast_at.is_some_and(|at| now < at) {
            return;
        }
        (self.term, self.broadcast_at) = (term, None);
        if to == Some(self.settings.instance_index) {
            self.broadcast_at = Some(now + COLLECTION_TIME);
        } else if !self.news.is_empty() {
            out.push(Action::SendGossip {
                to,
                updates: std::mem::take(&mut self.news).into_values().collect(),
            });
        }
    }

    /// Another router's word is late or lost. Positions never go back, so they hold; they order roles.
    fn merge_gossip(&mut self, told: Time, relay: bool, news: Vec<GossipUpdate>) {
        for word in news {
            if word.position.is_some() {
                self.apply_role(told, word.member, word.is_primary, word.position, false);
            }
            if let Some(node) = self.members.get_mut(&word.member).filter(|_| word.samples > 0) {
                node.adjust_limit(word.latency_ratio, word.samples, MIN_LIMIT / self.fleet_divisor, false);
            }
            if relay {
                self.queue_gossip(word);
            }
        }
    }

    fn accept(&mut self, now: Time, mut request: Request, out: &mut Vec<Action>) {
        let (id, group) = (request.id, request.group);
        request.last_write = match self.settings.session_tracking {
            // A commit time is rounded up on the wire; stay on its far side.
            SessionTracking::Client => request.last_write.map(|t| t + MS),
            SessionTracking::Router => {
                request.session.as_ref().and_then(|s| self.session_writes.get(s).copied())
            }
        };
        self.requests.insert(id, RequestState { request, arrived: now, ..RequestState::default() });
        self.probes = (self.probes + CHECKS_PER_REQUEST / self.fleet_divisor).min(self.members.len() as f64);
        if self.dispatch(now, id, out) {
            self.check_health(now, group, out);
        }
    }

    /// Routes a request that has no attempt out: sends it, gives it up, or holds it (then says so).
    fn dispatch(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(entry) = self.requests.get(&id).filter(|e| e.out.is_empty()) else { return false };
        let past = |reserve| !self.may_send(now, entry) || now >= self.queue_deadline(entry, reserve);
        let over = past(QUEUE_RESERVE);
        // Danger: what is kept back must not refuse on arrival what a member, even an idle one, can answer.
        let shut = if now > entry.arrived && entry.sent == 0 { over } else { past(SEND_RESERVE_IDLE) };
        let place = if shut || entry.failed_at.len() >= MAX_FAILED_MEMBERS {
            None
        } else {
            self.select_member(now, entry)
        };
        let idle = |id: &MemberId| f64::from(self.members[id].in_flight + 2) <= self.members[id].limit;
        if let Some(member) = place.filter(|id| idle(id) || !past(SEND_RESERVE)) {
            self.send(now, id, member, out);
        } else if over || !entry.failed_at.is_empty() {
            self.reject_or_fail(now, id, out);
        } else {
            return self.groups.entry(entry.request.group).or_default().queued.insert(id);
        }
        false
    }

    fn class(&self, entry: &RequestState) -> &Class {
        &self.settings.classes[entry.request.class]
    }

    /// What its class needs, unless it must see every commit whatever that is.
    fn need(&self, entry: &RequestState) -> Consistency {
        if entry.request.requires_strong_read {
            Consistency::Strong
        } else {
            self.class(entry).consistency
        }
    }

    /// Until when a request may wait: to its end where no refusal is allowed, else so that a retry has time.
    fn queue_deadline(&self, entry: &RequestState, reserve: f64) -> Time {
        let class = self.class(entry);
        if !self.may_reject(entry) {
            return entry.request.deadline - self.settings.tick.max(TIMER_INTERVAL) - self.settings.tick;
        }
        if class.late_weight_share >= MIN_LATE_WEIGHT_SHARE {
            let half = (entry.request.deadline - entry.arrived) / 2; // Later it costs, the way in included.
            return entry.arrived + half - (self.settings.tick.max(TIMER_INTERVAL) * 2).min(half / 4);
        }
        let kept = (self.strain[usize::from(class.consistency == Consistency::Write)] * reserve)
            .min(MAX_QUEUE_RESERVE);
        entry.request.deadline.min(entry.arrived + class.latency_objective)
            - (class.latency_objective as f64 * kept) as Span
    }

    /// The ledger's answer to: may another attempt be sent?
    fn may_send(&self, now: Time, entry: &RequestState) -> bool {
        if entry.sent >= self.settings.limits.max_attempts
            || entry.request.deadline - now <= self.settings.tick
        {
            return false;
        }
        match (self.class(entry).idempotency, entry.may_have_run) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::WithKey { scope: KeyScope::Zone, .. }, _) => false,
            (Idempotency::WithKey { window, .. }, Some(first)) => {
                now - first < window - self.settings.tick * 2
            }
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    /// The ledger's answer to: may the client be told that trying again is harmless?
    fn may_reject(&self, entry: &RequestState) -> bool {
        let clean = entry.may_have_run.is_none() && entry.out.is_empty();
        match self.class(entry).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey { scope, .. } => clean || scope == KeyScope::Global,
            Idempotency::NonIdempotent => clean,
        }
    }

    /// The design's ordinary path, and its fallbacks. `None`: there is no place now.
    fn select_member(&self, now: Time, entry: &RequestState) -> Option<MemberId> {
        let group = entry.request.group;
        let primary = self.primary(now, group);
        let most = self.settings.limits.max_attempts;
        let at_primary = |share| primary.filter(|id| self.fits(now, entry, *id, share, true));
        let fits = |id: &MemberId| self.fits(now, entry, *id, 1.0, false);
        // Danger: a primary by the list alone may be a replica by now; it must show that it holds the write.
        let claimed = self.claimed_primary(group);
        let holds = |id: &MemberId, write| claimed == Some(*id) || self.members[id].position >= write;
        let need = self.need(entry);
        let floor = match need {
            Consistency::Write if primary.is_some() => return at_primary(1.0),
            // A write met by a member that is not the primary tries the next, then waits for a probe.
            Consistency::Write if entry.rejected_by.is_empty() || entry.sent * 2 >= most => return None,
            Consistency::Write => return self.members_of(group).map(|m| m.0).find(fits),
            Consistency::Strong => return at_primary(1.0).filter(|id| claimed == Some(*id)),
            Consistency::ReadYourWrites => {
                let write = entry.request.last_write.unwrap_or(0);
                // Departure: a primary without room leaves even these to replicas that cover the write.
                let recent = now - write < READ_AFTER_WRITE;
                match at_primary(1.0).filter(|id| recent && holds(id, write)) {
                    None => write,
                    place => return place,
                }
            }
            Consistency::BoundedStaleness(bound) => now - (bound - STALENESS_MARGIN).max(bound / 2),
            Consistency::Eventual => 0,
        };
        let others = self.members_of(group).filter(|(id, _)| Some(*id) != primary);
        let replicas: Vec<_> = others.filter(|(id, _)| fits(id)).collect();
        // Departure: a primary that is out gets reads as trials: few come its way else, and its writes wait.
        let trial = at_primary(1.0).filter(|id| self.members[id].out);
        if let Some(fresh) = trial.or_else(|| select_replica(&replicas, |node| node.position >= floor)) {
            return Some(fresh);
        }
        if self.settings.lagging_reads != LaggingReads::ServedStale
            && floor > 0
            && entry.rejected_by.is_empty()
        {
            // Replicas check reads here, so one that merely aged may be asked: the next in turn of those last
            // heard inside the bound, else the most advanced; with nothing heard all take turns.
            let near = |n: &MemberState| !n.out && (n.position == 0 || n.lag <= 2 * (now - floor));
            let top = replicas.iter().filter(|(_, n)| near(n)).map(|(_, n)| n.position).max();
            let asked = select_replica(&replicas, |node| node.lag <= now - floor);
            let most = |node: &MemberState| near(node) && Some(node.position) == top;
            if let Some(asked) = asked.or_else(|| select_replica(&replicas, most)) {
                return Some(asked);
            }
        }
        // Departure: in a thin stream all positions age out, and the reads of a large fleet would fill the
        // primaries. The word of a replica is milliseconds away, so it is asked first.
        let asks = self.settings.lagging_reads == LaggingReads::ServedStale
            && floor > 0
            && self.settings.limits.health_checks;
        let asked =
            |n: &MemberState| n.is_check_pending_within(now, MAX_CHECK_WAIT) || self.is_check_due(now, n);
        if asks && replicas.iter().any(|(_, n)| !n.out && asked(n)) {
            return None;
        }
        at_primary(FALLBACK_SHARE).filter(|id| need != Consistency::ReadYourWrites || holds(id, floor))
    }

    fn fits(&self, now: Time, entry: &RequestState, id: MemberId, share: f64, as_primary: bool) -> bool {
        let Some(node) = self.members.get(&id) else { return false };
        let safe = self.class(entry).idempotency != Idempotency::NonIdempotent;
        let met = entry.rejected_by.iter().chain(&entry.failed_at).any(|met| *met == id);
        let reached = !met && node.has_connection_permit(now);
        reached && self.open(now, node, as_primary) && self.has_capacity(now, node, share, as_primary, safe)
    }

    fn send(&mut self, now: Time, id: RequestId, member: MemberId, out: &mut Vec<Action>) {
        let slow_start_factor = self.members[&member].slow_start_factor(now, &self.settings.obligations);
        let Some(node) = self.members.get_mut(&member) else { return };
        let Some(entry) = self.requests.get_mut(&id) else { return };
        // Weighted rotation: a heavier member's turn comes sooner again; idle time earns no arrears.
        let group = self.groups.entry(node.group).or_default();
        group.turn = group.turn.max(node.turn);
        node.turn = node.turn.max(group.turn - 1.0) + 1.0 / (node.weight * slow_start_factor).max(0.01);
        node.quiet_since = if node.in_flight == 0 { now } else { node.quiet_since };
        node.take_connection_permit();
        (node.in_flight, node.sent_at) = (node.in_flight + 1, now);
        if node.out {
            node.half_open_wait = (node.half_open_wait * 2).min(MAX_HALF_OPEN_WAIT);
            node.half_open_at = now + node.half_open_wait;
        }
        if slow_start_factor < 1.0 {
            node.cold_sends.retain(|t| now - *t < self.settings.obligations.overload_window);
            node.cold_sends.push_back(now);
        }
        entry.out.push((entry.sent, member));
        (entry.sent, entry.sent_at) = (entry.sent + 1, now);
        out.push(Action::Send { request: id, member, timeout: None });
    }

    fn answer(&mut self, now: Time, answer: AttemptResult, out: &mut Vec<Action>) {
        let class = self.requests.get(&answer.request).map(|e| self.class(e).clone());
        let served = answer.outcome == Outcome::Served;
        self.record_outcome(now, &answer, class.as_ref());
        self.apply_role(
            now,
            answer.member,
            answer.load_report.is_primary,
            answer.load_report.position,
            false,
        );
        self.apply_role(now, answer.member, answer.is_primary, answer.position, true);
        if let Some(entry) = self.requests.get_mut(&answer.request) {
            entry.out.retain(|(attempt, _)| *attempt != answer.attempt);
            if !answer.outcome.never_ran() {
                let sent = now - answer.elapsed;
                entry.may_have_run = Some(entry.may_have_run.map_or(sent, |t| t.min(sent)));
            }
            match answer.outcome {
                Outcome::Misrouted | Outcome::Overloaded | Outcome::ConnectFailed => {
                    entry.rejected_by.push(answer.member)
                }
                Outcome::Error => entry.failed_at.push(answer.member),
                _ => {}
            }
            // Danger: requests that fail alike everywhere would put all members out. An error is a member's
            // fault only where another then serves the same request; two alike are the request's.
            for id in entry.failed_at.iter().filter(|_| served) {
                self.members.entry(*id).and_modify(|node| node.add_failures(now, 2));
            }
            let marks = served && self.settings.session_tracking == SessionTracking::Router;
            let write = marks && class.is_some_and(|c| c.consistency == Consistency::Write);
            if let Some(session) = entry.request.session.clone().filter(|_| write) {
                let last = self.session_writes.entry(session).or_insert(0);
                *last = answer.position.unwrap_or(now).max(*last);
            }
            if answer.request_finished {
                self.end(answer.request, out);
            }
            self.dispatch(now, answer.request, out);
        }
        if let Some(group) = self.members.get(&answer.member).map(|n| n.group) {
            self.dispatch_queued(now, group, out);
        }
    }

    /// The one final answer where no member gives it: at once, as a refusal wherever that is allowed.
    fn reject_or_fail(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(entry) = self.requests.get(&id) else { return };
        let class = self.class(entry);
        let left = (entry.arrived + class.deadline - now).max(0);
        // What is too late to be worth much would only feed a storm of retries: it is to stay away long.
        let hopeless = class.late_weight_share < MIN_LATE_WEIGHT_SHARE
            && now >= self.queue_deadline(entry, QUEUE_RESERVE);
        let wait = if hopeless { Span::MAX } else { left / 3 }.min(self.settings.limits.max_retry_after);
        let retry_after = Some(wait).filter(|w| self.settings.limits.retry_after && *w > 0);
        let refusal = self.may_reject(entry).then_some(Action::Reject { request: id, retry_after });
        out.push(refusal.unwrap_or(Action::Fail(id)));
        self.end(id, out);
    }

    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(entry) = self.requests.remove(&id) else { return };
        self.groups.entry(entry.request.group).or_default().queued.remove(&id);
        for (attempt, _) in entry.out.iter().filter(|_| self.settings.limits.cancel) {
            out.push(Action::Cancel { request: id, attempt: *attempt });
        }
    }

    /// Routes held requests again: the worthiest first, then those with the least time, so that none starves.
    fn dispatch_queued(&mut self, now: Time, group: GroupId, out: &mut Vec<Action>) {
        let Some(queued) = self.groups.get_mut(&group).map(|g| std::mem::take(&mut g.queued)) else { return };
        let waiting = queued.iter().filter_map(|id| self.requests.get(id));
        let rank = |e: &RequestState| {
            (self.class(e).priority_weight, self.queue_deadline(e, QUEUE_RESERVE), e.request.id)
        };
        let mut order: Vec<_> = waiting.map(rank).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, _, id) in order {
            self.dispatch(now, id, out);
        }
    }

    fn run_periodic_work(&mut self, now: Time, out: &mut Vec<Action>) {
        self.detect_unresponsive(now, out);
        if self.settings.limits.gossip {
            self.send_gossip(now, out);
        }
        let overdue =
            |e: &&RequestState| now >= e.request.deadline + self.settings.obligations.answer_slack / 2;
        for id in self.requests.values().filter(overdue).map(|e| e.request.id).collect::<Vec<_>>() {
            out.push(Action::Fail(id)); // Backstop: the outcome that should have come did not.
            self.end(id, out);
        }
        if now - self.period_start >= SECOND {
            self.measure_throughput(now);
            self.session_writes.retain(|_, write| now - *write < SESSION_WRITE_RETENTION);
            out.extend(forget_unavailable(
                &mut self.members,
                &mut self.groups,
                now - REMOVED_MEMBER_RETENTION,
            ));
        }
        let busy = self.groups.iter().filter(|(_, group)| self.probes >= 1.0 || !group.queued.is_empty());
        for group in busy.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.check_health(now, group, out);
            self.dispatch_queued(now, group, out);
        }
    }

    /// Danger: replicas and primaries are seldom used alike, and their mean is less than the busier bear:
    /// by it alone cold members would be kept half idle.
    fn measure_throughput(&mut self, now: Time) {
        let serving = || self.members.iter().filter(|(_, n)| n.lifecycle == Lifecycle::Serving);
        let primaries = serving().filter(|(id, n)| self.claimed_primary(n.group) == Some(**id)).count();
        let counts = [serving().count() - primaries, primaries];
        // Danger: cold members answer what they are sent; alone they would shut the door on themselves.
        let any_warm = serving().any(|(_, n)| n.slow_start_factor(now, &self.settings.obligations) >= 1.0);
        for role in [0, 1] {
            let each = self.taken[role] / counts[role].max(1) as f64;
            let rate = each * SECOND as f64 / (now - self.period_start) as f64;
            let learns = any_warm || rate > self.warm[role];
            self.warm[role] += if learns { (rate - self.warm[role]) * 0.3 } else { 0.0 };
        }
        (self.period_start, self.taken) = (now, [0.0; 2]);
    }

    /// Whether a replica's position may be asked for again. One that was behind the whole fleet watches.
    fn is_check_due(&self, now: Time, node: &MemberState) -> bool {
        let behind = node.lag > self.bound && node.position > 0;
        let pace =
            ((node.lag / 2).max(self.bound) / CHECKS_PER_BOUND).clamp(MIN_CHECK_INTERVAL, MAX_CHECK_INTERVAL);
        let pace = pace as f64 * self.jitter * if behind { self.fleet_divisor } else { 1.0 };
        node.is_unchecked_for(now, pace as Span)
    }

    /// Probes all while no primary is at work, one after another for a held read, and aged ones in a budget.
    fn check_health(&mut self, now: Time, group: GroupId, out: &mut Vec<Action>) {
        let Some(state) = self.groups.get(&group).filter(|_| self.settings.limits.health_checks) else {
            return;
        };
        let read = |id: &RequestId| self.class(&self.requests[id]).consistency != Consistency::Write;
        // Danger: a read held for a primary's own word would wait in vain where only the list names one.
        let proof = |id: &RequestId| {
            matches!(self.need(&self.requests[id]), Consistency::Strong | Consistency::ReadYourWrites)
        };
        let proven = |id: &MemberId| state.primary == Some(*id) || !state.queued.iter().any(proof);
        let primary = self.primary(now, group).filter(|id| !self.members[id].out && proven(id));
        let pace = (MIN_CHECK_INTERVAL as f64 * self.fleet_divisor * self.jitter) as Span;
        let usable = |(id, n): &(MemberId, &MemberState)| Some(*id) != primary && self.open(now, n, false);
        let replicas: Vec<_> = self.members_of(group).filter(usable).collect();
        let aged = |n: &MemberState| now - n.position > self.bound / 2 && self.is_check_due(now, n);
        let seeks = primary.is_none() && !state.queued.is_empty();
        let sought = replicas
            .iter()
            .filter(|(_, n)| seeks && n.has_connection_permit(now) && n.is_unchecked_for(now, pace));
        let mut due: Vec<_> = sought.map(|(id, _)| *id).collect();
        let mut next: Vec<_> =
            replicas.iter().filter(|(_, n)| !n.out && n.has_connection_permit(now) && aged(n)).collect();
        next.sort_by(|a, b| a.1.turn.total_cmp(&b.1.turn));
        let asked = replicas.iter().any(|(_, n)| n.is_check_pending_within(now, MAX_CHECK_WAIT));
        if due.is_empty() && !asked && state.queued.iter().any(read) {
            due.extend(next.first().map(|(id, _)| *id));
        } else if due.is_empty() && self.probes >= 1.0 {
            due = next.iter().take(self.probes as usize).map(|(id, _)| *id).collect();
            self.probes -= due.len() as f64;
        }
        for id in due {
            self.members.entry(id).and_modify(|node| {
                (node.checked_at, node.check_pending) = (now, true);
                node.take_connection_permit();
            });
            out.push(Action::HealthCheck(id));
        }
    }
}

/// Weighted rotation over the replicas that are fresh enough and have no clearly longer line than the rest.
fn select_replica(
    replicas: &[(MemberId, &MemberState)],
    fresh: impl Fn(&MemberState) -> bool,
) -> Option<MemberId> {
    let fit: Vec<_> = replicas.iter().filter(|(_, node)| fresh(node)).collect();
    if let Some((id, _)) = fit.iter().find(|(_, node)| node.out) {
        return Some(*id); // A trial is due; this read may be repeated elsewhere.
    }
    let mean = fit.iter().map(|(_, n)| f64::from(n.in_flight)).sum::<f64>() / fit.len().max(1) as f64;
    let short = fit.iter().filter(|(_, n)| f64::from(n.in_flight) <= mean * MAX_IN_FLIGHT_RATIO + 1.0);
    // Departure: where connections are dealt, one that stands free goes before one that is to be opened.
    let order = |a: &MemberState, b: &MemberState| {
        a.needs_new_connection().cmp(&b.needs_new_connection()).then(a.turn.total_cmp(&b.turn))
    };
    short.min_by(|a, b| order(a.1, b.1)).map(|(id, _)| *id)
}

impl MemberState {
    /// Whether what was sent then is lost rather than late: this member has answered what was sent after it.
    fn lost(&self, now: Time, sent: Time, by: f64) -> bool {
        (self.heard > sent || self.loss > VISIBLE_LOSS)
            && (now - sent) as f64 > LOST_AFTER * by * self.latency
    }

    fn adjust_limit(&mut self, strain: f64, answers: u32, least: f64, own: bool) {
        self.strain += (strain - self.strain) * (1.0 - (1.0 - SMOOTHING).powi(answers as i32));
        self.samples_since_cut += answers;
        let (ripe, fine) = (self.samples_since_cut >= SAMPLES_PER_CUT, self.strain < GOOD_LATENCY_RATIO);
        if own && fine && f64::from(self.in_flight + 1) > 0.7 * self.limit {
            self.limit += (1.0 / self.limit).min(0.2 * self.limit);
        } else if ripe && self.strain > HIGH_LATENCY_RATIO {
            (self.limit, self.samples_since_cut) = ((self.limit * LIMIT_CUT).max(least), 0);
        } else if ripe && fine && !own && self.limit < 1.0 {
            (self.limit, self.samples_since_cut) = ((self.limit / LIMIT_CUT).min(1.0), 0);
        }
    }

    /// One that the list calls gone where that does not bind is out at the first doubt.
    fn add_failures(&mut self, now: Time, failure_score: u32) {
        self.failure_score += failure_score;
        if self.failure_score >= EJECTION_SCORE || (self.removal_in_doubt && failure_score > 0) {
            (self.out, self.half_open_at) = (true, now + self.half_open_wait);
        }
    }

    /// Takes the list's word. Danger: it may call members gone that serve. Where only a drain binds such a
    /// one stays in use while its answers speak for it, and is out at the first doubt.
    fn apply_lifecycle(&mut self, now: Time, lifecycle: Lifecycle, gone_binds: bool) {
        self.removal_in_doubt =
            lifecycle == Lifecycle::Removed && !gone_binds && self.lifecycle == Lifecycle::Serving;
        if self.lifecycle == Lifecycle::Serving && lifecycle != Lifecycle::Serving {
            self.told = now;
        }
        self.lifecycle = if self.removal_in_doubt { self.lifecycle } else { lifecycle };
    }
}
