//! The host of one router under test, with a manually advanced clock.
#![allow(dead_code, reason = "each test file uses a part of it")]

use stackgw_router::{api::*, Router};

/// Classes of the test deployment, by index.
pub const BOUNDED: usize = 0;
pub const SESSION: usize = 1;
pub const WRITE: usize = 2;
pub const EVENTUAL: usize = 3;
pub const WITH_KEY: usize = 4;
pub const STRONG: usize = 5;

pub const BOUND: Span = 500 * MS;
pub const GROUP: GroupId = GroupId(7);
pub const START: Time = 1_000 * SECOND;

pub fn settings() -> Settings {
    let class = |consistency, idempotency, late_weight_share| Class {
        consistency,
        idempotency,
        latency_objective: 300 * MS,
        deadline: 3 * SECOND,
        priority_weight: 1.0,
        late_weight_share,
    };
    let with_key = Idempotency::WithKey { scope: KeyScope::Group, window: 2 * SECOND };
    Settings {
        classes: vec![
            class(Consistency::BoundedStaleness(BOUND), Idempotency::Idempotent, 0.0),
            class(Consistency::ReadYourWrites, Idempotency::Idempotent, 0.0),
            class(Consistency::Write, Idempotency::NonIdempotent, 0.7),
            class(Consistency::Eventual, Idempotency::Idempotent, 0.0),
            class(Consistency::Write, with_key, 0.7),
            class(Consistency::Strong, Idempotency::Idempotent, 0.0),
        ],
        fleet_size: 1,
        tick: 5 * MS,
        positions_in_responses: true,
        reports_carry_position: true,
        limits: Limits {
            max_attempts: 6,
            cancel: true,
            health_checks: true,
            retry_after: true,
            max_retry_after: SECOND,
            connect_timeout: 250 * MS,
            ..Limits::default()
        },
        obligations: Obligations {
            answer_slack: 20 * MS,
            drain_grace: SECOND,
            cold_capacity_share: 0.2,
            warm_up_time: 15 * SECOND,
            overload_multiple: 3.0,
            overload_window: 2 * SECOND,
            ..Obligations::default()
        },
        ..Settings::default()
    }
}

pub fn member(id: u32, listed_primary: bool) -> Member {
    Member {
        id: MemberId(id),
        group: GROUP,
        zone: 0,
        weight: 1.0,
        started_at: None,
        lifecycle: Lifecycle::Serving,
        listed_primary,
    }
}

/// Acts as the host of one router: sends it events and records its actions.
pub struct TestHost {
    pub router: Router,
    pub now: Time,
    next_request: u64,
    /// All actions of the router, in order.
    pub log: Vec<Action>,
    attempts: std::collections::BTreeMap<RequestId, u32>,
}

impl TestHost {
    /// Starts with a cached list of members 0 (the listed primary) to `count - 1`.
    pub fn new(settings: Settings, count: u32) -> Self {
        TestHost::with_seed(settings, count, 42)
    }

    /// As [`TestHost::new`], with this seed, for tests with several routers.
    pub fn with_seed(settings: Settings, count: u32, seed: u64) -> Self {
        let router = Router::new(settings, seed);
        let attempts = Default::default();
        let mut host = TestHost { router, now: START, next_request: 0, log: Vec::new(), attempts };
        let members = (0..count).map(|id| member(id, id == 0)).collect();
        host.send_event(Event::EndpointList { scope: ListScope::Cached, members });
        host
    }

    /// As [`TestHost::new`], after each member has reported: 0 as primary, the others as replicas without lag.
    pub fn with_reports(settings: Settings, count: u32) -> Self {
        let mut host = TestHost::new(settings, count);
        (0..count).for_each(|id| host.report(id, id == 0, host.now));
        host
    }

    /// Sends the router an event and returns its actions.
    pub fn send_event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Send { request, .. } = action {
                *self.attempts.entry(*request).or_insert(0) += 1;
            }
        }
        self.log.extend(actions.iter().cloned());
        actions
    }

    /// Advances the clock with a timer event every 10 ms, and returns the router's actions.
    pub fn advance(&mut self, span: Span) -> Vec<Action> {
        let (end, mut all) = (self.now + span, Vec::new());
        while self.now < end {
            self.now = (self.now + 10 * MS).min(end);
            all.extend(self.send_event(Event::Timer(0)));
        }
        all
    }

    /// Sends a new request. Returns its identifier and the router's actions.
    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.request_after_write(class, None)
    }

    /// Sends a new request, which the members that get it serve. Returns these members.
    pub fn serve(&mut self, class: usize, elapsed: Span) -> Vec<u32> {
        let (id, actions) = self.request(class);
        let to = sent_to(&actions);
        to.iter().for_each(|member| drop(self.end_attempt(id, *member, Outcome::Served, elapsed)));
        to
    }

    /// Sends a new request of a session whose last write was `age` ago.
    pub fn request_after_write(&mut self, class: usize, age: Option<Span>) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let request = Request {
            id,
            class,
            group: GROUP,
            deadline: self.now + 3 * SECOND,
            session: Some(SessionId("s".into())),
            last_write: age.map(|age| self.now - age),
            is_retry: false,
            requires_strong_read: false,
        };
        let actions = self.send_event(Event::Request(request));
        (id, actions)
    }

    /// Ends a health check with this report.
    pub fn report(&mut self, id: u32, is_primary: bool, position: Time) {
        let report =
            LoadReport { position: Some(position), is_primary: Some(is_primary), ..LoadReport::default() };
        self.send_event(Event::HealthChecked {
            member: MemberId(id),
            responded: true,
            elapsed: MS,
            load_report: report,
        });
    }

    /// Ends the latest attempt of a request, where an answering member states its role: member 0 is the primary.
    pub fn end_attempt(
        &mut self,
        request: RequestId,
        member: u32,
        outcome: Outcome,
        elapsed: Span,
    ) -> Vec<Action> {
        let primary = outcome.is_answered().then_some(member == 0);
        self.end_attempt_as(request, member, outcome, elapsed, primary, None)
    }

    /// Ends the latest attempt of a request, where the member states this role and position.
    pub fn end_attempt_as(
        &mut self,
        request: RequestId,
        member: u32,
        outcome: Outcome,
        elapsed: Span,
        primary: Option<bool>,
        position: Option<Time>,
    ) -> Vec<Action> {
        let attempt = self.attempts.get(&request).map_or(0, |n| n - 1);
        let finished = outcome == Outcome::Served;
        let member = MemberId(member);
        let report = LoadReport::default();
        let answer = AttemptResult {
            request,
            attempt,
            member,
            outcome,
            elapsed,
            request_finished: finished,
            is_primary: primary,
            position,
            load_report: report,
        };
        self.send_event(Event::AttemptEnded(answer))
    }
}

/// Properties of an outcome that tests need.
pub trait OutcomeExt {
    /// Whether the member itself answered.
    fn is_answered(&self) -> bool;
}

impl OutcomeExt for Outcome {
    fn is_answered(&self) -> bool {
        matches!(self, Outcome::Served | Outcome::Error | Outcome::Overloaded | Outcome::Misrouted)
    }
}

/// Members to which attempts were sent.
pub fn sent_to(actions: &[Action]) -> Vec<u32> {
    let to = |a: &Action| if let Action::Send { member, .. } = a { Some(member.0) } else { None };
    actions.iter().filter_map(to).collect()
}

/// Members to which attempts of one request were sent, without a timeout of their own.
pub fn members_sent(actions: &[Action], id: RequestId) -> Vec<u32> {
    let to = |action: &Action| match action {
        Action::Send { request, member, timeout: None, .. } if *request == id => Some(member.0),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

/// Members to which health checks were sent.
pub fn health_checked(actions: &[Action]) -> Vec<u32> {
    actions.iter().filter_map(|a| if let Action::HealthCheck(m) = a { Some(m.0) } else { None }).collect()
}

pub fn is_rejected(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail(id))
}

/// Answers every health check sent so far, and those sent in reaction to the answers.
pub fn answer_health_checks(host: &mut TestHost, position: Time) {
    let mut answered = 0;
    while let Some(member) = health_checked(&host.log).get(answered) {
        host.report(*member, false, position);
        answered += 1;
    }
}

/// A member whose process has just started.
pub fn just_started(id: u32, primary: bool, now: Time) -> Member {
    Member { started_at: Some(now), ..member(id, primary) }
}

/// One router of a large fleet.
pub fn fleet(gossip: bool) -> Settings {
    let limits = Limits { gossip, ..settings().limits };
    Settings { fleet_size: 200, instance_index: 7, limits, ..settings() }
}

/// An event with these entries of the endpoint list; member 0 is the listed primary.
pub fn list_event(scope: ListScope, entries: &[(u32, Lifecycle)]) -> Event {
    let members =
        entries.iter().map(|(id, lifecycle)| Member { lifecycle: *lifecycle, ..member(*id, *id == 0) });
    Event::EndpointList { scope, members: members.collect() }
}
