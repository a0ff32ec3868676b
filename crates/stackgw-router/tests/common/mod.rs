//! A router under test with a hand-driven clock. Each test file uses part of it.
#![allow(dead_code, reason = "each test file uses a part of it")]

use stackgw_router::{api::*, Router};

/// Classes of the test deployment, by index.
pub const BOUNDED: usize = 0;
pub const SESSION: usize = 1;
pub const WRITE: usize = 2;
pub const LOOSE: usize = 3;
pub const KEYED: usize = 4;
pub const FRESH: usize = 5;

pub const BOUND: Span = 500 * MS;
pub const GROUP: GroupId = GroupId(7);
pub const START: Time = 1_000 * SECOND;

pub fn settings() -> Settings {
    let class = |need, effect, late_worth| Class {
        consistency: need,
        idempotency: effect,
        latency_objective: 300 * MS,
        deadline: 3 * SECOND,
        priority_weight: 1.0,
        late_weight_share: late_worth,
    };
    let keyed = Idempotency::WithKey { scope: KeyScope::Group, window: 2 * SECOND };
    Settings {
        classes: vec![
            class(Consistency::BoundedStaleness(BOUND), Idempotency::Idempotent, 0.0),
            class(Consistency::ReadYourWrites, Idempotency::Idempotent, 0.0),
            class(Consistency::Write, Idempotency::NonIdempotent, 0.7),
            class(Consistency::Eventual, Idempotency::Idempotent, 0.0),
            class(Consistency::Write, keyed, 0.7),
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

pub fn member(id: u32, primary: bool) -> Member {
    Member {
        id: MemberId(id),
        group: GROUP,
        zone: 0,
        weight: 1.0,
        started_at: None,
        lifecycle: Lifecycle::Serving,
        listed_primary: primary,
    }
}

pub struct Bench {
    pub router: Router,
    pub now: Time,
    next: u64,
    /// Everything the router asked for, in order.
    pub log: Vec<Action>,
    attempts: std::collections::BTreeMap<RequestId, u32>,
}

impl Bench {
    /// Members 0 (the listed primary) to `count - 1`, as a cached list.
    pub fn new(settings: Settings, count: u32) -> Self {
        Bench::seeded(settings, count, 42)
    }

    /// As [`Bench::new`], for one router of many.
    pub fn seeded(settings: Settings, count: u32, seed: u64) -> Self {
        let router = Router::new(settings, seed);
        let attempts = Default::default();
        let mut bench = Bench { router, now: START, next: 0, log: Vec::new(), attempts };
        let members = (0..count).map(|id| member(id, id == 0)).collect();
        bench.tell(Event::EndpointList { scope: ListScope::Cached, members });
        bench
    }

    /// As [`Bench::new`], with each member heard of: 0 as primary, the others as replicas without lag.
    pub fn heard(settings: Settings, count: u32) -> Self {
        let mut bench = Bench::new(settings, count);
        (0..count).for_each(|id| bench.probed(id, id == 0, bench.now));
        bench
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
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

    pub fn pass(&mut self, span: Span) -> Vec<Action> {
        let (end, mut all) = (self.now + span, Vec::new());
        while self.now < end {
            self.now = (self.now + 10 * MS).min(end);
            all.extend(self.tell(Event::Timer(0)));
        }
        all
    }

    pub fn ask(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.ask_since(class, None)
    }

    /// Asks, and has whoever it is sent to serve it; who that was.
    pub fn served(&mut self, class: usize, took: Span) -> Vec<u32> {
        let (id, actions) = self.ask(class);
        let to = sent(&actions);
        to.iter().for_each(|member| drop(self.end(id, *member, Outcome::Served, took)));
        to
    }

    /// A session read whose last write was `age` ago.
    pub fn ask_since(&mut self, class: usize, age: Option<Span>) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next);
        self.next += 1;
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
        let actions = self.tell(Event::Request(request));
        (id, actions)
    }

    pub fn probed(&mut self, id: u32, primary: bool, position: Time) {
        let report =
            LoadReport { position: Some(position), is_primary: Some(primary), ..LoadReport::default() };
        self.tell(Event::HealthChecked {
            member: MemberId(id),
            responded: true,
            elapsed: MS,
            load_report: report,
        });
    }

    /// Ends the latest attempt of a request.
    pub fn end(&mut self, request: RequestId, member: u32, outcome: Outcome, took: Span) -> Vec<Action> {
        let primary = outcome.answers().then_some(member == 0);
        self.end_as(request, member, outcome, took, primary, None)
    }

    pub fn end_as(
        &mut self,
        request: RequestId,
        member: u32,
        outcome: Outcome,
        took: Span,
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
            elapsed: took,
            request_finished: finished,
            is_primary: primary,
            position,
            load_report: report,
        };
        self.tell(Event::AttemptEnded(answer))
    }
}

/// Whether a member itself spoke.
pub trait Answers {
    fn answers(self) -> bool;
}

impl Answers for Outcome {
    fn answers(self) -> bool {
        matches!(self, Outcome::Served | Outcome::Error | Outcome::Overloaded | Outcome::Misrouted)
    }
}

pub fn sent(actions: &[Action]) -> Vec<u32> {
    let to = |a: &Action| if let Action::Send { member, .. } = a { Some(member.0) } else { None };
    actions.iter().filter_map(to).collect()
}

pub fn probes(actions: &[Action]) -> Vec<u32> {
    actions.iter().filter_map(|a| if let Action::HealthCheck(m) = a { Some(m.0) } else { None }).collect()
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail(id))
}
