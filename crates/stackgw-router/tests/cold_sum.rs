//! What all routers of a fleet send to a cold member together, whoever they are: few or hundreds, with uneven traffic, started a
//! moment ago, or told a moment ago. Simulated members with a queue each; every choice by seed.

mod common;

use common::*;
use stackgw_router::{api::*, Router};
use std::collections::{BTreeMap, BTreeSet};

/// A generator of numbers by seed.
struct Dice(u64);

impl Dice {
    fn roll(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as f64 + 0.5) / (1u64 << 31) as f64
    }

    /// Exponential, of this mean.
    fn wait(&mut self, mean: f64) -> Span {
        (-self.roll().ln() * mean) as Span
    }
}

/// What a deployment's settings allow a cold member, and what a warm one does in a second.
#[derive(Debug, Clone, Copy)]
struct Rules {
    multiple: f64,
    window: Span,
    share: f64,
    warm: Span,
    does: f64,
}

const MEMBERS: u32 = 6;
/// These start again while the others serve.
const COLD: [u32; 3] = [2, 3, 4];

impl Rules {
    fn warmth(&self, age: Span) -> f64 {
        self.share + (1.0 - self.share) * (age as f64 / self.warm as f64).min(1.0)
    }

    /// Requests that a member of this age may be sent in a window before it falls.
    fn budget(&self, age: Span) -> f64 {
        self.multiple * self.does * self.warmth(age) * self.window as f64 / SECOND as f64
    }

    fn settings(&self, fleet: u32, me: u32) -> Settings {
        let obligations = Obligations {
            cold_capacity_share: self.share,
            warm_up_time: self.warm,
            overload_multiple: self.multiple,
            overload_window: self.window,
            ..settings().obligations
        };
        Settings { fleet_size: fleet, instance_index: me, obligations, ..settings() }
    }
}

enum Next {
    Ask(usize),
    Answer {
        at: usize,
        life: u32,
        request: RequestId,
        member: u32,
        sent: Time,
    },
    Timer {
        at: usize,
        life: u32,
    },
    /// A router is told of the members that have started.
    Told(usize),
    /// A router starts again, and knows from its first moment on what the others know.
    Restart(usize),
}

struct Fleet {
    rules: Rules,
    now: Time,
    routers: Vec<(Router, u32)>,
    told: BTreeSet<usize>,
    queue: BTreeMap<(Time, u64), Next>,
    count: u64,
    asked: u64,
    /// When each member has done all that it has.
    busy: [Time; MEMBERS as usize],
    attempts: BTreeMap<(usize, u32, RequestId), u32>,
    /// What those that had been told sent to each member that started at `began`.
    sends: BTreeMap<u32, Vec<Time>>,
    began: Time,
    dice: Dice,
}

impl Fleet {
    fn later(&mut self, after: Span, next: Next) {
        self.count += 1;
        self.queue.insert((self.now + after, self.count), next);
    }

    fn tell(&mut self, at: usize, event: Event) {
        let mut out = Vec::new();
        self.routers[at].0.handle(self.now, event, &mut out);
        let life = self.routers[at].1;
        for action in out {
            match action {
                Action::Send { request, member, .. } => {
                    *self.attempts.entry((at, life, request)).or_insert(0) += 1;
                    if COLD.contains(&member.0) && self.told.contains(&at) {
                        self.sends.entry(member.0).or_default().push(self.now);
                    }
                    let started = COLD.contains(&member.0) && self.now >= self.began;
                    let age = if started { self.now - self.began } else { self.rules.warm };
                    let work = SECOND as f64 / (self.rules.does * self.rules.warmth(age));
                    let busy = &mut self.busy[member.0 as usize];
                    *busy = (*busy).max(self.now) + work as Span;
                    let took = *busy - self.now + 20 * MS;
                    let sent = self.now;
                    self.later(took, Next::Answer { at, life, request, member: member.0, sent });
                }
                Action::SetTimer { after, .. } => self.later(after, Next::Timer { at, life }),
                _ => {}
            }
        }
    }

    fn list(&self, told: bool) -> Vec<Member> {
        let started = |id| (told && COLD.contains(&id)).then_some(self.began);
        (0..MEMBERS).map(|id| Member { started_at: started(id), ..member(id, id == 0) }).collect()
    }
}

/// The most that was sent to one cold member in any window, over what the rule puts down to chance: its budget of N and
/// 2 x root of N + 2 on top.
fn worst(rules: Rules, fleet: usize, load: f64, restarts: bool, seed: u64) -> (f64, String) {
    let began = START + 8 * SECOND;
    let mut dice = Dice(seed);
    // Some see several times the mean.
    let parts: Vec<f64> = (0..fleet).map(|_| dice.roll().powi(3) + 0.02).collect();
    let sum: f64 = parts.iter().sum();
    let rate = load * rules.does * f64::from(MEMBERS);
    let routers = (0..fleet as u32)
        .map(|me| (Router::new(rules.settings(fleet as u32, me), seed * 1000 + u64::from(me)), 0));
    let mut all = Fleet {
        rules,
        now: START,
        routers: routers.collect(),
        told: BTreeSet::new(),
        queue: BTreeMap::new(),
        count: 0,
        asked: 0,
        busy: [0; MEMBERS as usize],
        attempts: BTreeMap::new(),
        sends: BTreeMap::new(),
        began,
        dice,
    };
    for (at, part) in parts.iter().enumerate() {
        let members = all.list(false);
        all.tell(at, Event::EndpointList { scope: ListScope::Full, members });
        let first = all.dice.wait(SECOND as f64 * sum / (rate * part));
        all.later(first, Next::Ask(at));
        // Half are told at once, the others over two seconds.
        let late = (all.dice.roll() - 0.5).max(0.0) * 4.0 * SECOND as f64;
        all.later(began - START + 300 * MS + late as Span, Next::Told(at));
        if restarts && all.dice.roll() < 0.5 {
            let after = all.dice.roll() * 6.0 * SECOND as f64;
            all.later(began - START + SECOND + after as Span, Next::Restart(at));
        }
    }
    let end = began + rules.warm.min(14 * SECOND);
    while let Some((at, next)) = all.queue.pop_first().filter(|((at, _), _)| *at < end) {
        all.now = at.0;
        match next {
            Next::Ask(at) => {
                let wait = all.dice.wait(SECOND as f64 * sum / (rate * parts[at]));
                all.later(wait, Next::Ask(at));
                all.asked += 1;
                let request = Request {
                    id: RequestId(all.asked),
                    class: LOOSE,
                    group: GROUP,
                    deadline: all.now + 3 * SECOND,
                    ..Request::default()
                };
                all.tell(at, Event::Request(request));
            }
            Next::Answer { at, life, request, member, sent } => {
                if all.routers[at].1 != life {
                    continue;
                }
                let attempt = all.attempts[&(at, life, request)] - 1;
                let answer = AttemptResult {
                    request,
                    attempt,
                    member: MemberId(member),
                    outcome: Outcome::Served,
                    elapsed: all.now - sent,
                    request_finished: true,
                    is_primary: Some(member == 0),
                    position: Some(all.now - 10 * MS),
                    load_report: LoadReport::default(),
                };
                all.tell(at, Event::AttemptEnded(answer));
            }
            Next::Timer { at, life } if all.routers[at].1 == life => all.tell(at, Event::Timer(0)),
            Next::Timer { .. } => {}
            Next::Told(at) => {
                all.told.insert(at);
                let members = all.list(true);
                all.tell(at, Event::EndpointList { scope: ListScope::Full, members });
            }
            Next::Restart(at) => {
                let life = all.routers[at].1 + 1;
                let seed = (all.dice.roll() * 1e12) as u64;
                all.routers[at] = (Router::new(rules.settings(fleet as u32, at as u32), seed), life);
                all.told.insert(at);
                let members = all.list(true);
                all.tell(at, Event::EndpointList { scope: ListScope::Full, members });
            }
        }
    }
    let mut most = (0.0, String::new());
    for (member, sends) in &all.sends {
        for (from, first) in sends.iter().enumerate() {
            for (n, at) in sends[from..].iter().take_while(|at| **at - first <= rules.window).enumerate() {
                let budget = rules.budget(at - began);
                let over = (n + 1) as f64 / (budget + 2.0 * budget.sqrt() + 2.0);
                if over > most.0 {
                    let when = (at - began) / MS;
                    most =
                        (over, format!("{} to member {member} after {when} ms, budget {budget:.1}", n + 1));
                }
            }
        }
    }
    most
}

const KINDS: [Rules; 6] = [
    Rules { multiple: 4.0, window: 1500 * MS, share: 0.25, warm: 16 * SECOND, does: 60.0 },
    Rules { multiple: 2.0, window: 2500 * MS, share: 0.15, warm: 20 * SECOND, does: 40.0 },
    Rules { multiple: 3.0, window: SECOND, share: 0.3, warm: 8 * SECOND, does: 60.0 },
    Rules { multiple: 2.5, window: 3 * SECOND, share: 0.16, warm: 17 * SECOND, does: 20.0 },
    // Small members: a budget of a few.
    Rules { multiple: 2.0, window: SECOND, share: 0.2, warm: 15 * SECOND, does: 12.0 },
    Rules { multiple: 2.0, window: 1500 * MS, share: 0.15, warm: 20 * SECOND, does: 20.0 },
];

/// Load on all members, and whether half of the routers start again while the members are cold. Beyond 1 everybody sends what
/// the router lets through.
const LOADS: [(f64, bool); 4] = [(0.9, false), (0.5, true), (2.0, false), (2.0, true)];

fn no_cold_member_falls(fleet: usize, seeds: std::ops::Range<u64>) {
    let mut most = (0.0, String::new());
    for (n, rules) in KINDS.into_iter().enumerate() {
        for seed in seeds.clone() {
            // Every kind meets every load, over the seeds.
            let (load, restarts) = LOADS[(n + seed as usize) % LOADS.len()];
            let (over, which) = worst(rules, fleet, load, restarts, seed);
            if over > most.0 {
                most = (over, format!("{which}; seed {seed}, load {load}, restarts {restarts}, {rules:?}"));
            }
        }
    }
    eprintln!("{fleet} routers: at most {:.2} of the limit: {}", most.0, most.1);
    assert!(most.0 > 0.1, "cold members are used");
    assert!(most.0 <= 1.0, "{fleet} routers: {:.2} of the limit: {}", most.0, most.1);
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
#[ignore = "minutes: cargo test --release -p stackgw-router --test cold_sum -- --ignored"]
fn many_fleets_push_no_cold_member_over() {
    for (fleet, seeds) in [(2, 200), (8, 100), (20, 60), (30, 40), (300, 8)] {
        no_cold_member_falls(fleet, 1000..1000 + seeds);
    }
}
