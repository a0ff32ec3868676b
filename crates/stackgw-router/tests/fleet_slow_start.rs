//! What all routers of a fleet send together to a member in slow start, whoever they are: few or hundreds, with uneven
//! traffic, just started or just notified. Simulated members with a queue each; every choice by seed.

mod common;

use common::*;
use stackgw_router::{api::*, Router};
use std::collections::BTreeMap;

/// A generator of numbers by seed.
struct Random(u64);

impl Random {
    fn fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as f64 + 0.5) / (1u64 << 31) as f64
    }

    /// Exponential, of this mean.
    fn wait(&mut self, mean: f64) -> Span {
        (-self.fraction().ln() * mean) as Span
    }
}

/// What a deployment's settings allow a member in slow start, and what a warm one answers.
#[derive(Debug, Clone, Copy)]
struct Rules {
    overload_multiple: f64,
    overload_window: Span,
    cold_share: f64,
    warm_up_time: Span,
    /// Requests a second.
    warm_throughput: f64,
}

const MEMBERS: u32 = 6;
/// These start again while the others serve.
const RESTARTED: [u32; 3] = [2, 3, 4];

impl Rules {
    fn capacity_share(&self, age: Span) -> f64 {
        self.cold_share + (1.0 - self.cold_share) * (age as f64 / self.warm_up_time as f64).min(1.0)
    }

    /// Requests that a member of this age may be sent in a window before it falls over.
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
    /// A router is notified of the members that have started.
    Notify(usize),
    /// A router starts again, and knows from its first moment on what the others know.
    Restart(usize),
}

struct Instance {
    router: Router,
    incarnation: u32,
    /// Its share of all requests, relative to the others.
    traffic: f64,
    /// It was notified of the members that have started.
    is_notified: bool,
}

struct Fleet {
    rules: Rules,
    now: Time,
    instances: Vec<Instance>,
    scheduled: BTreeMap<(Time, u64), Step>,
    scheduled_count: u64,
    request_count: u64,
    /// When each member has done all that it has.
    busy_until: [Time; MEMBERS as usize],
    attempts: BTreeMap<(usize, u32, RequestId), u32>,
    /// What those that had been notified sent to each member that started at `restart_at`.
    sends: BTreeMap<u32, Vec<Time>>,
    restart_at: Time,
    /// Requests a second at a router with all the traffic.
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
                // Some see several times the mean.
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
        let after = self.random.wait(SECOND as f64 / rate);
        self.schedule(after, Step::Request(router));
    }

    /// All routers start; half of them are notified of restarts at once, the others over two seconds.
    fn start(&mut self, with_restarts: bool) {
        let until_restart = self.restart_at - START;
        for router in 0..self.instances.len() {
            self.send_list(router);
            self.schedule_request(router);
            let late = (self.random.fraction() - 0.5).max(0.0) * 4.0 * SECOND as f64;
            self.schedule(until_restart + 300 * MS + late as Span, Step::Notify(router));
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
                        self.hand(router, Event::Timer(0));
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

    fn hand(&mut self, router: usize, event: Event) {
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
        self.hand(router, Event::EndpointList { scope: ListScope::Full, members });
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
        self.hand(router, Event::Request(request));
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
        self.hand(router, Event::AttemptEnded(result));
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

    /// The most that was sent to one cold member in any window, over what the rule puts down to chance: its
    /// budget of N and 2 x root of N + 2 on top.
    fn worst_window(&self) -> Worst {
        let mut worst = Worst::default();
        for (member, sends) in &self.sends {
            for (from, first) in sends.iter().enumerate() {
                let window = sends[from..].iter().take_while(|at| **at - first <= self.rules.overload_window);
                for (before, at) in window.enumerate() {
                    let count = before + 1;
                    let budget = self.rules.budget(at - self.restart_at);
                    let share_of_limit = count as f64 / (budget + 2.0 * budget.sqrt() + 2.0);
                    if share_of_limit > worst.share_of_limit {
                        let after = (at - self.restart_at) / MS;
                        let what = format!("{count} to member {member} after {after} ms, budget {budget:.1}");
                        worst = Worst { share_of_limit, what };
                    }
                }
            }
        }
        worst
    }
}

/// How near a fleet came to the limit of a cold member, and where.
#[derive(Default)]
struct Worst {
    share_of_limit: f64,
    what: String,
}

const KINDS: [Rules; 6] = [
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
    // Small members: a budget of a few.
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

/// Load on all members, and whether half of the routers start again while the members are cold. Beyond 1 everybody sends what
/// the router lets through.
const LOADS: [(f64, bool); 4] = [(0.9, false), (0.5, true), (2.0, false), (2.0, true)];

fn no_cold_member_falls(fleet: usize, seeds: std::ops::Range<u64>) {
    let mut worst = Worst::default();
    for (kind, rules) in KINDS.into_iter().enumerate() {
        for seed in seeds.clone() {
            // Every kind meets every load, over the seeds.
            let (load, restarts) = LOADS[(kind + seed as usize) % LOADS.len()];
            let mut simulated = Fleet::new(rules, fleet, load, seed);
            simulated.start(restarts);
            simulated.run();
            let Worst { share_of_limit, what } = simulated.worst_window();
            if share_of_limit > worst.share_of_limit {
                let what = format!("{what}; seed {seed}, load {load}, restarts {restarts}, {rules:?}");
                worst = Worst { share_of_limit, what };
            }
        }
    }
    let Worst { share_of_limit, what } = worst;
    eprintln!("{fleet} routers: at most {share_of_limit:.2} of the limit: {what}");
    assert!(share_of_limit > 0.1, "cold members are used");
    assert!(share_of_limit <= 1.0, "{fleet} routers: {share_of_limit:.2} of the limit: {what}");
}

#[test]
fn two_routers_together_push_no_cold_member_over() {
    no_cold_member_falls(2, 1..9);
}

#[test]
fn eight_routers_together_push_no_cold_member_over() {
    no_cold_member_falls(8, 1..9);
}

#[test]
fn twenty_and_thirty_routers_together_push_no_cold_member_over() {
    no_cold_member_falls(20, 1..5);
    no_cold_member_falls(30, 5..9);
}

#[test]
fn three_hundred_routers_together_push_no_cold_member_over() {
    no_cold_member_falls(300, 1..2);
}

/// The same by many seeds; minutes in a release build.
#[test]
#[ignore = "minutes: cargo test --release -p stackgw-router --test fleet_slow_start -- --ignored"]
fn many_fleets_push_no_cold_member_over() {
    for (fleet, seeds) in [(2, 200), (8, 100), (20, 60), (30, 40), (300, 8)] {
        no_cold_member_falls(fleet, 1000..1000 + seeds);
    }
}
