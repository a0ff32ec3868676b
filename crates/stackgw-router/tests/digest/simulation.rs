//! Simulated environment of the router: clients, members with faults, the endpoint list, peers and timers.

use crate::hash::Digest;
use crate::scenario::{pace, settings, Pace, Random, FIRST_WRITE};
use stackgw_router::{api::*, Router};
use std::collections::BTreeMap;

const START: Time = 1_000 * SECOND;
/// Number of events between two hashes of the member snapshots.
const EVENTS_PER_SNAPSHOT: u32 = 40;
/// A group that is on no endpoint list.
const UNKNOWN_GROUP: GroupId = GroupId(99);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Accepts requests and never answers.
    Silent,
    /// A quarter of its answers are lost.
    Lossy,
    /// Most answers are errors.
    Failing,
    /// Requests take ten times as long.
    Slow,
    /// Most requests are rejected.
    Full,
    /// Most connections are reset.
    Resetting,
    /// Connections are refused immediately.
    Unreachable,
    /// Most connections are slow to establish and fail.
    SlowToConnect,
    /// Some answers are malformed.
    Malformed,
}

const FAULTS: [Fault; 14] = [
    Fault::None,
    Fault::None,
    Fault::None,
    Fault::None,
    Fault::None,
    Fault::Silent,
    Fault::Lossy,
    Fault::Failing,
    Fault::Slow,
    Fault::Full,
    Fault::Resetting,
    Fault::Unreachable,
    Fault::SlowToConnect,
    Fault::Malformed,
];

struct SimulatedMember {
    entry: Member,
    is_primary: bool,
    was_primary_at_start: bool,
    lag: Span,
    fault: Fault,
    /// When its queue will be empty.
    busy_until: Time,
}

struct OpenAttempt {
    number: u32,
    member: MemberId,
    sent_at: Time,
    outcome: Outcome,
}

#[derive(Default)]
struct OpenRequest {
    class: usize,
    deadline: Time,
    /// Whether every member answers it with an error.
    is_faulty: bool,
    attempts_sent: u32,
    open: Vec<OpenAttempt>,
    ended: bool,
}

enum Step {
    Arrival,
    AttemptEnd { request: RequestId, attempt: u32, outcome: Option<Outcome> },
    ClientDisconnect(RequestId),
    HealthCheckEnd(MemberId),
    Timer(u64),
    FaultChange,
    ListChange,
    Gossip,
    Permits,
    Stall,
}

pub struct Simulation {
    router: Router,
    settings: Settings,
    pace: Pace,
    random: Random,
    now: Time,
    scheduled: BTreeMap<(Time, u64), Step>,
    scheduled_count: u64,
    members: BTreeMap<MemberId, SimulatedMember>,
    next_member: u32,
    requests: BTreeMap<RequestId, OpenRequest>,
    next_request: u64,
    events: u32,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut random = Random::new(seed.wrapping_mul(0x5851_f42d_4c95_7f2d));
        let settings = settings(&mut random);
        let pace = pace(&mut random);
        let mut simulation = Simulation {
            router: Router::new(settings.clone(), seed),
            settings,
            pace,
            random,
            now: START,
            scheduled: BTreeMap::new(),
            scheduled_count: 0,
            members: BTreeMap::new(),
            next_member: 0,
            requests: BTreeMap::new(),
            next_request: 0,
            events: 0,
        };
        for group in 0..simulation.pace.groups {
            for place in 0..simulation.pace.members_per_group {
                simulation.add_member(GroupId(group as u32), place == 0);
            }
        }
        simulation
    }

    /// Runs until the router has handled `events` events.
    pub fn run(mut self, events: u32, digest: &mut Digest) {
        if let Some(throughput) = self.pace.expected_throughput {
            self.router.seed_warm_throughput(throughput);
        }
        let scope = self.random.pick(&[ListScope::Cached, ListScope::Full]);
        self.send_list(scope, digest);
        for step in
            [Step::Arrival, Step::FaultChange, Step::ListChange, Step::Gossip, Step::Permits, Step::Stall]
        {
            self.schedule(MS, step);
        }
        while self.events < events {
            let Some(((at, _), step)) = self.scheduled.pop_first() else { break };
            self.now = self.now.max(at);
            self.run_step(step, digest);
        }
        self.hash_snapshots(digest);
        digest.gossip(&self.router.take_gossip());
    }

    fn schedule(&mut self, after: Span, step: Step) {
        self.scheduled_count += 1;
        self.scheduled.insert((self.now + after.max(0), self.scheduled_count), step);
    }

    fn run_step(&mut self, step: Step, digest: &mut Digest) {
        match step {
            Step::Arrival => self.client_requests(digest),
            Step::AttemptEnd { request, attempt, outcome } => {
                self.end_attempt(request, attempt, outcome, digest)
            }
            Step::ClientDisconnect(request) => self.disconnect_client(request, digest),
            Step::HealthCheckEnd(member) => self.end_health_check(member, digest),
            Step::Timer(token) => self.send_event(Event::Timer(token), digest),
            Step::FaultChange => self.change_faults(),
            Step::ListChange => self.change_list(digest),
            Step::Gossip => self.gossip(digest),
            Step::Permits => self.change_permits(),
            Step::Stall => self.stall(),
        }
    }

    /// Sends the router an event, then hashes and executes the resulting actions.
    fn send_event(&mut self, event: Event, digest: &mut Digest) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        self.events += 1;
        for action in actions {
            digest.action(self.now, &action);
            self.execute(action);
        }
        if self.events.is_multiple_of(EVENTS_PER_SNAPSHOT) {
            self.hash_snapshots(digest);
        }
    }

    fn hash_snapshots(&mut self, digest: &mut Digest) {
        for (member, snapshot) in self.router.member_snapshots() {
            digest.member_snapshot(member, &snapshot);
        }
        digest.float(self.router.warm_throughput());
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, member, .. } => self.start_attempt(request, member),
            Action::Cancel { request, attempt } => {
                let after = self.random.between(0, 20 * MS);
                let outcome = Some(Outcome::Cancelled);
                self.schedule(after, Step::AttemptEnd { request, attempt, outcome });
            }
            Action::Reject { request, .. } | Action::Fail(request) => {
                self.requests.entry(request).and_modify(|open| open.ended = true);
            }
            Action::SetTimer { after, token } => self.schedule(after, Step::Timer(token)),
            Action::HealthCheck(member) => {
                let after = self.random.exponential(8 * MS);
                self.schedule(after, Step::HealthCheckEnd(member));
            }
            Action::Subscribe(_) => self.schedule(50 * MS, Step::ListChange),
            _ => {}
        }
    }

    // ---- Clients ----

    fn client_requests(&mut self, digest: &mut Digest) {
        let gap = self.random.exponential(self.pace.arrival_gap);
        // Idle periods and bursts.
        let gap = if self.random.chance(0.002) { gap + self.random.between(0, 3 * SECOND) } else { gap };
        self.schedule(gap, Step::Arrival);
        let burst = if self.random.chance(0.01) { self.random.below(40) + 1 } else { 1 };
        for _ in 0..burst {
            self.new_request(digest);
        }
    }

    fn new_request(&mut self, digest: &mut Digest) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let class = self.random.below(self.settings.classes.len());
        let deadline_share = self.random.pick(&[0.02, 0.2, 1.0, 1.0, 1.0]);
        let deadline = self.now + (self.settings.classes[class].deadline as f64 * deadline_share) as Span;
        let known_group = GroupId(self.random.below(self.pace.groups) as u32);
        let group = if self.random.chance(0.002) { UNKNOWN_GROUP } else { known_group };
        let session = SessionId(format!("session {}", self.random.below(12)).into());
        let write_age = self.random.between(0, 4 * SECOND);
        let request = Request {
            id,
            class,
            group,
            deadline,
            session: self.random.chance(0.8).then_some(session),
            last_write: self.random.chance(0.5).then_some(self.now - write_age),
            is_retry: self.random.chance(0.1),
            requires_strong_read: self.random.chance(0.03),
        };
        let is_faulty = self.random.chance(0.03);
        let open = OpenRequest { class, deadline, is_faulty, ..OpenRequest::default() };
        self.requests.insert(id, open);
        if self.random.chance(0.03) {
            let after = self.random.between(0, deadline - self.now);
            self.schedule(after, Step::ClientDisconnect(id));
        }
        self.send_event(Event::Request(request), digest);
    }

    fn disconnect_client(&mut self, request: RequestId, digest: &mut Digest) {
        let Some(open) = self.requests.get_mut(&request).filter(|open| !open.ended) else { return };
        open.ended = true;
        self.send_event(Event::ClientDisconnected(request), digest);
    }

    // ---- Attempts ----

    fn start_attempt(&mut self, request: RequestId, member: MemberId) {
        let now = self.now;
        let Some(open) = self.requests.get_mut(&request) else { return };
        let (class, deadline, number) = (open.class, open.deadline, open.attempts_sent);
        let is_faulty = open.is_faulty;
        open.attempts_sent += 1;
        let (outcome, elapsed) = self.plan_attempt(class, member);
        let is_served = matches!(outcome, Outcome::Served);
        let outcome = if is_served && is_faulty { Outcome::Error } else { outcome };
        let is_late = now + elapsed > deadline;
        let outcome = if is_late { Outcome::TimedOut } else { outcome };
        let after = if is_late { (deadline - now).max(0) } else { elapsed };
        let attempt = OpenAttempt { number, member, sent_at: now, outcome };
        self.requests.entry(request).and_modify(|open| open.open.push(attempt));
        self.schedule(after, Step::AttemptEnd { request, attempt: number, outcome: None });
    }

    /// The outcome of an attempt and the time until it ends.
    fn plan_attempt(&mut self, class: usize, id: MemberId) -> (Outcome, Span) {
        const NEVER: Span = 1_000 * SECOND;
        let now = self.now;
        let network_delay = self.random.between(MS / 10, 3 * MS);
        let connect_time = self.random.between(0, self.settings.limits.connect_timeout);
        let work = self.random.exponential(self.pace.service_time);
        let rejects_lagging_reads = self.settings.lagging_reads != LaggingReads::ServedStale;
        let draw = self.random.fraction();
        let Some(member) = self.members.get_mut(&id) else { return (Outcome::ConnectFailed, network_delay) };
        let bound = match self.settings.classes[class].consistency {
            Consistency::BoundedStaleness(bound) => bound,
            _ => Span::MAX,
        };
        let misrouted =
            class >= FIRST_WRITE && !member.is_primary || rejects_lagging_reads && member.lag > bound;
        match member.fault {
            Fault::Silent => return (Outcome::TimedOut, NEVER),
            Fault::Lossy if draw < 0.25 => return (Outcome::TimedOut, NEVER),
            Fault::Full if draw < 0.9 => return (Outcome::Overloaded, network_delay),
            Fault::Resetting if draw < 0.6 => return (Outcome::ConnectionReset, network_delay + work),
            Fault::Unreachable => return (Outcome::ConnectFailed, network_delay),
            Fault::SlowToConnect if draw < 0.7 => return (Outcome::ConnectFailed, connect_time),
            _ if misrouted => return (Outcome::Misrouted, network_delay),
            Fault::Failing if draw < 0.8 => return (Outcome::Error, network_delay),
            _ => {}
        }
        let work = if member.fault == Fault::Slow { work * 10 } else { work };
        member.busy_until = member.busy_until.max(now) + work;
        let elapsed = member.busy_until - now + network_delay;
        match draw {
            _ if member.fault == Fault::Malformed && draw < 0.5 => (Outcome::MalformedResponse, elapsed),
            _ if draw < 0.003 => (Outcome::NotSent, 0),
            _ if draw < 0.006 => (Outcome::Error, elapsed),
            _ => (Outcome::Served, elapsed),
        }
    }

    fn end_attempt(&mut self, id: RequestId, number: u32, forced: Option<Outcome>, digest: &mut Digest) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(place) = request.open.iter().position(|attempt| attempt.number == number) else { return };
        let attempt = request.open.remove(place);
        let outcome = forced.unwrap_or(attempt.outcome);
        let served = outcome == Outcome::Served && !request.ended;
        let class = request.class;
        if served && self.random.chance(0.05) {
            // The response begins to stream to the client before the attempt ends.
            self.send_event(Event::StreamStarted { request: id, member: attempt.member }, digest);
        }
        let is_answered =
            matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Overloaded | Outcome::Misrouted);
        let finished = served || self.requests.get(&id).is_some_and(|request| request.ended);
        self.requests.entry(id).and_modify(|request| request.ended |= served);
        let report = self.report(attempt.member);
        let age = self.random_age();
        let state = self.members.get(&attempt.member);
        let lag = state.map_or(0, |member| if member.is_primary { 0 } else { member.lag });
        let carries_position = self.settings.positions_in_responses || class >= FIRST_WRITE && served;
        let has_report = is_answered && self.settings.load_reporting == LoadReporting::OnResponses;
        let answer = AttemptResult {
            request: id,
            attempt: number,
            member: attempt.member,
            outcome,
            elapsed: self.now - attempt.sent_at,
            request_finished: finished,
            is_primary: state.map(|member| member.is_primary).filter(|_| is_answered),
            position: Some(self.now - lag - age).filter(|_| is_answered && carries_position),
            load_report: if has_report { report } else { LoadReport::default() },
        };
        self.send_event(Event::AttemptEnded(answer), digest);
        self.requests.retain(|_, request| !request.ended || !request.open.is_empty());
    }

    // ---- Members ----

    /// Age of a member's report, mostly 0.
    fn random_age(&mut self) -> Span {
        if self.random.chance(0.3) {
            self.random.exponential(150 * MS)
        } else {
            0
        }
    }

    fn report(&mut self, id: MemberId) -> LoadReport {
        let age = self.random_age();
        let is_mistaken = self.random.chance(0.01);
        let Some(member) = self.members.get(&id) else { return LoadReport::default() };
        let lag = if member.is_primary { 0 } else { member.lag };
        LoadReport {
            position: Some(self.now - lag - age).filter(|_| self.settings.reports_carry_position),
            is_primary: Some(member.is_primary != is_mistaken),
            ..LoadReport::default()
        }
    }

    fn end_health_check(&mut self, id: MemberId, digest: &mut Digest) {
        let fault = self.members.get(&id).map_or(Fault::Silent, |member| member.fault);
        let lost = matches!(fault, Fault::Silent | Fault::Unreachable) || self.random.chance(0.03);
        let elapsed = self.random.between(MS, 20 * MS);
        let report = self.report(id);
        self.send_event(
            Event::HealthChecked { member: id, responded: !lost, elapsed, load_report: report },
            digest,
        );
    }

    fn add_member(&mut self, group: GroupId, is_primary: bool) {
        let id = MemberId(self.next_member);
        self.next_member += 1;
        let age = self.random.between(0, 20 * SECOND);
        let entry = Member {
            id,
            group,
            zone: 0,
            weight: self.random.pick(&[0.5, 1.0, 1.0, 2.0]),
            started_at: self.random.chance(0.2).then_some(self.now - age),
            lifecycle: Lifecycle::Serving,
            listed_primary: is_primary,
        };
        let member = SimulatedMember {
            entry,
            is_primary,
            was_primary_at_start: is_primary,
            lag: self.random.exponential(60 * MS),
            fault: Fault::None,
            busy_until: 0,
        };
        self.members.insert(id, member);
    }

    fn any_member(&mut self) -> MemberId {
        let ids: Vec<MemberId> = self.members.keys().copied().collect();
        self.random.pick(&ids)
    }

    fn change_faults(&mut self) {
        let gap = self.random.exponential(self.pace.fault_gap);
        self.schedule(gap, Step::FaultChange);
        let id = self.any_member();
        let fault = self.random.pick(&FAULTS);
        let mean_lag = self.random.pick(&[20 * MS, 200 * MS, 3 * SECOND]);
        let lag = self.random.exponential(mean_lag);
        if let Some(member) = self.members.get_mut(&id) {
            member.fault = fault;
            member.lag = lag;
        }
        if self.random.chance(0.2) {
            self.move_primary(id);
        }
    }

    fn move_primary(&mut self, id: MemberId) {
        let group = self.members[&id].entry.group;
        for (other, member) in &mut self.members {
            if member.entry.group == group {
                member.is_primary = *other == id;
            }
        }
    }

    // ---- The endpoint list ----

    fn change_list(&mut self, digest: &mut Digest) {
        let gap = self.random.exponential(self.pace.list_gap);
        self.schedule(gap, Step::ListChange);
        let id = self.any_member();
        let age = self.random.between(0, SECOND);
        match self.random.below(8) {
            0 | 1 => self.change_lifecycle(id, Lifecycle::Draining),
            2 => self.change_lifecycle(id, Lifecycle::Removed),
            3 | 4 => {
                for member in self.members.values_mut() {
                    member.entry.lifecycle = Lifecycle::Serving;
                }
            }
            5 => {
                let restarted = Some(self.now - age);
                self.members.entry(id).and_modify(|member| member.entry.started_at = restarted);
            }
            6 if self.members.len() > 1 => {
                let removed = self.members.remove(&id);
                if let Some(member) = removed {
                    self.add_member(member.entry.group, member.is_primary);
                }
            }
            _ => {
                let weight = self.random.pick(&[0.5, 1.0, 3.0]);
                self.members.entry(id).and_modify(|member| member.entry.weight = weight);
            }
        }
        let scope = match self.random.below(10) {
            0 => ListScope::Failed,
            1 => ListScope::Cached,
            2 | 3 => ListScope::Full,
            _ => ListScope::Changes,
        };
        self.send_list(scope, digest);
    }

    fn change_lifecycle(&mut self, id: MemberId, lifecycle: Lifecycle) {
        self.members.entry(id).and_modify(|member| member.entry.lifecycle = lifecycle);
    }

    fn send_list(&mut self, scope: ListScope, digest: &mut Digest) {
        let role_listing = self.settings.role_listing;
        let listed = |member: &SimulatedMember| Member {
            listed_primary: match role_listing {
                RoleListing::Delayed => member.is_primary,
                RoleListing::AtStart => member.was_primary_at_start,
                RoleListing::Never => false,
            },
            ..member.entry.clone()
        };
        let mut members: Vec<Member> = self.members.values().map(listed).collect();
        if scope == ListScope::Failed {
            members.clear();
        } else if self.events > 0 && self.random.chance(0.3) {
            let omitted = self.random.below(members.len());
            members.remove(omitted);
        }
        self.send_event(Event::EndpointList { scope, members }, digest);
    }

    // ---- Peers, the host and the clock ----

    fn gossip(&mut self, digest: &mut Digest) {
        let gap = self.random.exponential(self.pace.gossip_gap);
        self.schedule(gap, Step::Gossip);
        if self.settings.limits.host_gossip {
            digest.gossip(&self.router.take_gossip());
        }
        if !(self.settings.limits.gossip || self.settings.limits.host_gossip) {
            return;
        }
        let count = self.random.between(1, 4);
        let age = self.random.between(0, 300 * MS);
        let updates: Vec<GossipUpdate> = (0..count).map(|_| self.peer_update(age)).collect();
        let relay = self.settings.limits.gossip && self.random.chance(0.3);
        self.send_event(Event::Gossip { sent_at: self.now - age, relay, updates }, digest);
    }

    fn peer_update(&mut self, age: Span) -> GossipUpdate {
        let id = self.any_member();
        let report = self.report(id);
        let answers = self.random.between(0, 6) as u32;
        GossipUpdate {
            member: id,
            position: report.position.map(|position| position - age),
            is_primary: report.is_primary.filter(|_| self.random.chance(0.7)),
            latency_ratio: if answers > 0 { self.random.fraction() * 1.2 } else { 0.0 },
            samples: answers,
        }
    }

    fn change_permits(&mut self) {
        self.schedule(30 * MS, Step::Permits);
        if !self.pace.paced_connections {
            return;
        }
        let id = self.any_member();
        let free = self.random.below(4) as u32;
        let from = self.now + self.random.between(-100 * MS, 200 * MS);
        let permits = self.random.chance(0.8).then_some(ConnectionPermits { free, may_open_from: from });
        self.router.set_connection_permits(id, permits);
        if self.random.chance(0.01) {
            let throughput = self.random.fraction() * 50.0;
            self.router.seed_warm_throughput(throughput);
        }
    }

    fn stall(&mut self) {
        let gap = self.random.exponential(self.pace.stall_gap);
        self.schedule(gap, Step::Stall);
        let length = self.random.between(50 * MS, SECOND);
        self.now += length;
    }
}
