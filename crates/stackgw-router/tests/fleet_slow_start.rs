//! Total load that all routers of a fleet send to a member in slow start, for fleets of a few to hundreds of routers
//! with uneven traffic, some of them restarted or notified late. Members are simulated as one queue each. All random
//! choices are seeded.

mod common;

use common::*;
use stackgw_router::{api::*, Router};
use std::collections::BTreeMap;

/// A seeded pseudorandom number generator.
struct Random(u64);

impl Random {
    fn fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as f64 + 0.5) / (1u64 << 31) as f64
    }

    /// An exponentially distributed time with this mean.
    fn exponential(&mut self, mean: f64) -> Span {
        (-self.fraction().ln() * mean) as Span
    }
}

/// Slow start parameters of a deployment, and the throughput of a warm member.
#[derive(Debug, Clone, Copy)]
struct Rules {
    overload_multiple: f64,
    overload_window: Span,
    cold_share: f64,
    warm_up_time: Span,
    /// Requests per second.
    warm_throughput: f64,
}

const MEMBERS: u32 = 6;
/// Members that restart while the others serve.
const RESTARTED: [u32; 3] = [2, 3, 4];

impl Rules {
    fn capacity_share(&self, age: Span) -> f64 {
        self.cold_share + (1.0 - self.cold_share) * (age as f64 / self.warm_up_time as f64).min(1.0)
    }

    /// Number of requests that a member of this age can be sent in a window before it falls over.
    fn budget(&self, age: Span) -> f64 {
        self.overload_multiple * self.warm_throughput * self.capacity_share(age) * self.overload_window as f64
            / SECOND as f64
    }

    fn settings(&self, fleet_size: u32, instance_index: u32) -> Settings {
        let obligations = Obligations {
            cold_capacity_share: self.cold_share,
            warm_up_time: self.warm_up_time,
            overload_multiple: self.overload_multiple,
            overload_window: self.overload_window,
            ..settings().obligations
        };
        Settings { fleet_size, instance_index, obligations, ..settings() }
    }
}

/// An attempt that a router has sent.
struct SentAttempt {
    router: usize,
    incarnation: u32,
    request: RequestId,
    member: u32,
    sent_at: Time,
}

enum Step {
    Request(usize),
    Answer(SentAttempt),
    Timer {
        router: usize,
        incarnation: u32,
    },
    /// A router is notified of the restarted members.
    Notify(usize),
    /// A router restarts, and is notified of the restarted members at once.
    Restart(usize),
}

struct Instance {
    router: Router,
    incarnation: u32,
    /// Its share of all requests, relative to the other routers.
    traffic: f64,
    /// Whether it was notified of the restarted members.
    is_notified: bool,
}

struct Fleet {
    rules: Rules,
    now: Time,
    instances: Vec<Instance>,
    scheduled: BTreeMap<(Time, u64), Step>,
    scheduled_count: u64,
    request_count: u64,
    /// When each member's queue will be empty.
    busy_until: [Time; MEMBERS as usize],
    attempts: BTreeMap<(usize, u32, RequestId), u32>,
    /// Times of sends to each restarted member by routers that had been notified of the restart.
    sends: BTreeMap<u32, Vec<Time>>,
    /// When the restarted members restart: 8 s after the start, when routers have measured the throughput of members.
    restart_at: Time,
    /// Requests per second per unit of `traffic`.
    request_rate: f64,
    random: Random,
}

impl Fleet {
    fn new(rules: Rules, size: usize, load: f64, seed: u64) -> Self {
        let mut random = Random(seed);
        let instances: Vec<Instance> = (0..size)
            .map(|index| Instance {
                router: Router::new(rules.settings(size as u32, index as u32), seed * 1000 + index as u64),
                incarnation: 0,
                // Some routers get several times the mean.
                traffic: random.fraction().powi(3) + 0.02,
                is_notified: false,
            })
            .collect();
        let all_traffic: f64 = instances.iter().map(|instance| instance.traffic).sum();
        Fleet {
            rules,
            now: START,
            instances,
            scheduled: BTreeMap::new(),
            scheduled_count: 0,
            request_count: 0,
            busy_until: [0; MEMBERS as usize],
            attempts: BTreeMap::new(),
            sends: BTreeMap::new(),
            restart_at: START + 8 * SECOND,
            request_rate: load * rules.warm_throughput * f64::from(MEMBERS) / all_traffic,
            random,
        }
    }

    fn schedule(&mut self, after: Span, step: Step) {
        self.scheduled_count += 1;
        self.scheduled.insert((self.now + after, self.scheduled_count), step);
    }

    fn schedule_request(&mut self, router: usize) {
        let rate = self.request_rate * self.instances[router].traffic;
        let after = self.random.exponential(SECOND as f64 / rate);
        self.schedule(after, Step::Request(router));
    }

    /// Starts all routers. Half of them are notified of member restarts after 300 ms, the others up to 2 s later.
    fn start(&mut self, with_restarts: bool) {
        let until_restart = self.restart_at - START;
        for router in 0..self.instances.len() {
            self.send_list(router);
            self.schedule_request(router);
            let delay = (self.random.fraction() - 0.5).max(0.0) * 4.0 * SECOND as f64;
            self.schedule(until_restart + 300 * MS + delay as Span, Step::Notify(router));
            if with_restarts && self.random.fraction() < 0.5 {
                let after = self.random.fraction() * 6.0 * SECOND as f64;
                self.schedule(until_restart + SECOND + after as Span, Step::Restart(router));
            }
        }
    }

    fn run(&mut self) {
        let end = self.restart_at + self.rules.warm_up_time.min(14 * SECOND);
        while let Some(((at, _), step)) = self.scheduled.pop_first().filter(|((at, _), _)| *at < end) {
            self.now = at;
            match step {
                Step::Request(router) => self.send_request(router),
                Step::Answer(attempt) => self.answer(attempt),
                Step::Timer { router, incarnation } => {
                    if self.instances[router].incarnation == incarnation {
                        self.send_event(router, Event::Timer(0));
                    }
                }
                Step::Notify(router) => {
                    self.instances[router].is_notified = true;
                    self.send_list(router);
                }
                Step::Restart(router) => self.restart(router),
            }
        }
    }

    fn send_event(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        let instance = &mut self.instances[router];
        instance.router.handle(self.now, event, &mut actions);
        let incarnation = instance.incarnation;
        for action in actions {
            match action {
                Action::Send { request, member, .. } => self.start_attempt(router, request, member.0),
                Action::SetTimer { after, .. } => self.schedule(after, Step::Timer { router, incarnation }),
                _ => {}
            }
        }
    }

    fn start_attempt(&mut self, router: usize, request: RequestId, member: u32) {
        let incarnation = self.instances[router].incarnation;
        *self.attempts.entry((router, incarnation, request)).or_insert(0) += 1;
        if RESTARTED.contains(&member) && self.instances[router].is_notified {
            self.sends.entry(member).or_default().push(self.now);
        }
        let has_restarted = RESTARTED.contains(&member) && self.now >= self.restart_at;
        let age = if has_restarted { self.now - self.restart_at } else { self.rules.warm_up_time };
        let work = SECOND as f64 / (self.rules.warm_throughput * self.rules.capacity_share(age));
        let busy_until = &mut self.busy_until[member as usize];
        *busy_until = (*busy_until).max(self.now) + work as Span;
        let elapsed = *busy_until - self.now + 20 * MS;
        let attempt = SentAttempt { router, incarnation, request, member, sent_at: self.now };
        self.schedule(elapsed, Step::Answer(attempt));
    }

    fn send_list(&mut self, router: usize) {
        let knows_restarts = self.instances[router].is_notified;
        let started_at = |id| (knows_restarts && RESTARTED.contains(&id)).then_some(self.restart_at);
        let members =
            (0..MEMBERS).map(|id| Member { started_at: started_at(id), ..member(id, id == 0) }).collect();
        self.send_event(router, Event::EndpointList { scope: ListScope::Full, members });
    }

    fn send_request(&mut self, router: usize) {
        self.schedule_request(router);
        self.request_count += 1;
        let request = Request {
            id: RequestId(self.request_count),
            class: EVENTUAL,
            group: GROUP,
            deadline: self.now + 3 * SECOND,
            ..Request::default()
        };
        self.send_event(router, Event::Request(request));
    }

    fn answer(&mut self, sent: SentAttempt) {
        let SentAttempt { router, incarnation, request, member, sent_at } = sent;
        if self.instances[router].incarnation != incarnation {
            return;
        }
        let result = AttemptResult {
            request,
            attempt: self.attempts[&(router, incarnation, request)] - 1,
            member: MemberId(member),
            outcome: Outcome::Served,
            elapsed: self.now - sent_at,
            request_finished: true,
            is_primary: Some(member == 0),
            position: Some(self.now - 10 * MS),
            load_report: LoadReport::default(),
        };
        self.send_event(router, Event::AttemptEnded(result));
    }

    fn restart(&mut self, router: usize) {
        let seed = (self.random.fraction() * 1e12) as u64;
        let settings = self.rules.settings(self.instances.len() as u32, router as u32);
        let instance = &mut self.instances[router];
        instance.incarnation += 1;
        instance.router = Router::new(settings, seed);
        instance.is_notified = true;
        self.send_list(router);
    }

    /// The highest number of requests sent to one cold member in any window, as a share of the limit: the budget N plus
    /// 2 x sqrt(N) + 2 for random variation.
    fn worst_window(&self) -> WorstWindow {
        let mut worst = WorstWindow::default();
        for (member, sends) in &self.sends {
            for (from, first) in sends.iter().enumerate() {
                let window = sends[from..].iter().take_while(|at| **at - first <= self.rules.overload_window);
                for (before, at) in window.enumerate() {
                    let count = before + 1;
                    let budget = self.rules.budget(at - self.restart_at);
                    let share_of_limit = count as f64 / (budget + 2.0 * budget.sqrt() + 2.0);
                    if share_of_limit > worst.share_of_limit {
                        let after = (at - self.restart_at) / MS;
                        let description =
                            format!("{count} to member {member} after {after} ms, budget {budget:.1}");
                        worst = WorstWindow { share_of_limit, description };
                    }
                }
            }
        }
        worst
    }
}

/// The window in which a fleet came closest to the limit of a cold member.
#[derive(Default)]
struct WorstWindow {
    share_of_limit: f64,
    description: String,
}

const DEPLOYMENTS: [Rules; 6] = [
    Rules {
        overload_multiple: 4.0,
        overload_window: 1500 * MS,
        cold_share: 0.25,
        warm_up_time: 16 * SECOND,
        warm_throughput: 60.0,
    },
    Rules {
        overload_multiple: 2.0,
        overload_window: 2500 * MS,
        cold_share: 0.15,
        warm_up_time: 20 * SECOND,
        warm_throughput: 40.0,
    },
    Rules {
        overload_multiple: 3.0,
        overload_window: SECOND,
        cold_share: 0.3,
        warm_up_time: 8 * SECOND,
        warm_throughput: 60.0,
    },
    Rules {
        overload_multiple: 2.5,
        overload_window: 3 * SECOND,
        cold_share: 0.16,
        warm_up_time: 17 * SECOND,
        warm_throughput: 20.0,
    },
    // Small members, with a budget of a few requests.
    Rules {
        overload_multiple: 2.0,
        overload_window: SECOND,
        cold_share: 0.2,
        warm_up_time: 15 * SECOND,
        warm_throughput: 12.0,
    },
    Rules {
        overload_multiple: 2.0,
        overload_window: 1500 * MS,
        cold_share: 0.15,
        warm_up_time: 20 * SECOND,
        warm_throughput: 20.0,
    },
];

/// Load relative to the capacity of all members, and whether half of the routers restart while the members are cold.
/// Above 1, each router sends as much as its limits allow.
const LOADS: [(f64, bool); 4] = [(0.9, false), (0.5, true), (2.0, false), (2.0, true)];

fn assert_no_cold_member_is_overloaded(fleet: usize, seeds: std::ops::Range<u64>) {
    let mut worst = WorstWindow::default();
    for (deployment, rules) in DEPLOYMENTS.into_iter().enumerate() {
        for seed in seeds.clone() {
            // Over the seeds, every deployment runs with every load.
            let (load, restarts) = LOADS[(deployment + seed as usize) % LOADS.len()];
            let mut simulated = Fleet::new(rules, fleet, load, seed);
            simulated.start(restarts);
            simulated.run();
            let WorstWindow { share_of_limit, description } = simulated.worst_window();
            if share_of_limit > worst.share_of_limit {
                let description =
                    format!("{description}; seed {seed}, load {load}, restarts {restarts}, {rules:?}");
                worst = WorstWindow { share_of_limit, description };
            }
        }
    }
    let WorstWindow { share_of_limit, description } = worst;
    eprintln!("{fleet} routers: at most {share_of_limit:.2} of the limit: {description}");
    assert!(share_of_limit > 0.1, "{fleet} routers use less than 10% of the cold members' limit");
    assert!(share_of_limit <= 1.0, "{fleet} routers reach {share_of_limit:.2} of the limit: {description}");
}

#[test]
fn two_routers_together_do_not_overload_a_cold_member() {
    assert_no_cold_member_is_overloaded(2, 1..9);
}

#[test]
fn eight_routers_together_do_not_overload_a_cold_member() {
    assert_no_cold_member_is_overloaded(8, 1..9);
}

#[test]
fn twenty_and_thirty_routers_together_do_not_overload_a_cold_member() {
    assert_no_cold_member_is_overloaded(20, 1..5);
    assert_no_cold_member_is_overloaded(30, 5..9);
}

#[test]
fn three_hundred_routers_together_do_not_overload_a_cold_member() {
    assert_no_cold_member_is_overloaded(300, 1..2);
}

/// The same test with many seeds; takes minutes in a release build.
#[test]
#[ignore = "minutes: cargo test --release -p stackgw-router --test fleet_slow_start -- --ignored"]
fn many_fleets_do_not_overload_a_cold_member() {
    for (fleet, seeds) in [(2, 200), (8, 100), (20, 60), (30, 40), (300, 8)] {
        assert_no_cold_member_is_overloaded(fleet, 1000..1000 + seeds);
    }
}
