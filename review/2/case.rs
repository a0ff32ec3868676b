//! A keyed write that waits for its connection is sent again after its group has forgotten the key.

#[path = "../kit.rs"]
mod kit;

use kit::*;
use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const WINDOW_MS: f64 = 2000.0;
/// Each time limit grows by 50 ms on sockets; windows allow for a gateway that is held up for 150 ms, so that is granted too.
const SLACK_MS: f64 = 50.0 + 150.0;
/// One in three connections comes up this much late (the pages: up to 1.5 s).
const LATE_MS: f64 = 238.0;
const CLIENTS: usize = 10;
const LAST_SEND_MS: f64 = 60_000.0;

/// What the group remembers of a key.
struct Execution {
    first_at: f64,
    times: u32,
}

struct Group {
    record: Record,
    executions: Mutex<HashMap<String, Execution>>,
    twice: AtomicUsize,
    repeats: AtomicUsize,
    resets: AtomicUsize,
    trouble: AtomicBool,
    random: Mutex<Random>,
}

struct Primary(Arc<Group>);
struct Replica;

impl Behaviour for Primary {
    fn startup_delay(&self, connection: usize) -> f64 {
        if self.0.trouble.load(Ordering::Relaxed) && connection % 3 == 2 { LATE_MS } else { 1.0 }
    }

    fn status(&self) -> (bool, f64) {
        (true, unix_ms())
    }

    fn answer(&self, side: &mut ServerSide, statement: &Statement) -> std::io::Result<()> {
        let now = unix_ms();
        let group = &self.0;
        let key = statement.fields.get("k").cloned().unwrap_or_default();
        let d = statement.number("d");
        let is_first = {
            let mut executions = group.executions.lock().unwrap();
            match executions.get_mut(&key) {
                None => {
                    executions.insert(key.clone(), Execution { first_at: now, times: 1 });
                    group.record.line(format!("run     k={key} d={d}"));
                    true
                }
                Some(known) if now - known.first_at <= WINDOW_MS + SLACK_MS => {
                    group.repeats.fetch_add(1, Ordering::Relaxed);
                    group.record.line(format!("repeat dropped k={key} {:.0} ms after the first", now - known.first_at));
                    false
                }
                Some(known) => {
                    known.times += 1;
                    group.twice.fetch_add(1, Ordering::Relaxed);
                    group.record.line(format!(
                        "RUN AGAIN k={key} {:.0} ms after the first: the key was forgotten at {WINDOW_MS} ms (+{SLACK_MS})",
                        now - known.first_at
                    ));
                    false
                }
            }
        };
        let draw = group.random.lock().unwrap().next();
        if is_first && group.trouble.load(Ordering::Relaxed) && draw < 0.08 {
            // The write has run; the connection is reset long after, with no answer.
            let age = 1900.0 + 85.0 * group.random.lock().unwrap().next();
            sleep_until(now + age);
            group.resets.fetch_add(1, Ordering::Relaxed);
            group.record.line(format!("reset   k={key} {age:.0} ms after it came"));
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        sleep_ms(170.0);
        side.row(b"ok", true, Some(unix_ms()))
    }
}

impl Behaviour for Replica {
    fn status(&self) -> (bool, f64) {
        (false, unix_ms() - 20.0)
    }

    fn answer(&self, side: &mut ServerSide, statement: &Statement) -> std::io::Result<()> {
        if statement.write {
            return side.error("25006", false, Some(unix_ms() - 20.0));
        }
        side.row(b"ok", false, Some(unix_ms() - 20.0))
    }
}

fn main() {
    limit_run_time(110);
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create(Path::new(&std::env::var("RECORD").expect("RECORD")));
    let group = Arc::new(Group {
        record: record.clone(),
        executions: Mutex::default(),
        twice: AtomicUsize::new(0),
        repeats: AtomicUsize::new(0),
        resets: AtomicUsize::new(0),
        trouble: AtomicBool::new(false),
        random: Mutex::new(Random(55)),
    });
    let primary = Server::start("s-a", Arc::new(Primary(group.clone())));
    let replica = Server::start("s-b", Arc::new(Replica));
    let agent = Agent::start(vec![Entry::new(&primary, 1, true), Entry::new(&replica, 1, false)]);
    let settings = Settings {
        classes: vec![
            Class { name: "quote-read", effect: "retryable", group: "all", need: "recent", bound_ms: 3000, aim_ms: 300, deadline_ms: 1000, window_ms: 0, worth: 2.0, late_worth: 0.0 },
            Class { name: "policy-write", effect: "dedup", group: "cell", need: "update", bound_ms: 0, aim_ms: 600, deadline_ms: 3000, window_ms: WINDOW_MS as u64, worth: 6.0, late_worth: 0.5 },
        ],
        fleet: 1,
        grace_ms: 250,
        session_marks: "client",
        report: "pull",
        behind: "reject",
        max_attempts: 8,
        second_copies: true,
        more_obligations: r#","OnlyDrainingBinds":true"#,
        memory_mb: 192,
        sockets: 1024,
    };
    let Some(mut gateway) = Gateway::start("n1", &settings, &agent) else {
        record.say("the gateway did not start");
        return NOT_RUN;
    };
    group.trouble.store(trouble(), Ordering::Relaxed);
    let begin = unix_ms();
    let address = gateway.address;
    let counts: Arc<Mutex<HashMap<&'static str, usize>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, counts) = (record.clone(), counts.clone());
            thread::spawn(move || {
                let mut connection = None;
                let mut number = 0;
                sleep_ms(37.0 * client as f64);
                while unix_ms() - begin < LAST_SEND_MS {
                    number += 1;
                    let id = format!("{:08x}{:08x}", client + 1, number);
                    let sql = write_statement(&format!("key{client}"), "9f03", &id, "policy-write", 3000, 1, &format!(",k={id}"));
                    let Some(mut open) = connection.take().or_else(|| Client::connect(address).ok()) else { continue };
                    record.line(format!("sent    id={id}"));
                    let sent = unix_ms();
                    let answer = match open.send(&sql) {
                        Ok(()) => open.answer(3500.0),
                        Err(_) => Answer::Closed,
                    };
                    record.line(format!("answer  id={id} {answer:?} after {:.0} ms", unix_ms() - sent));
                    let what = match answer {
                        Answer::Served(_) => "served",
                        Answer::Refused(_) => "refused",
                        Answer::Failed(_) => "failed",
                        Answer::Closed => "closed",
                        Answer::Nothing => "nothing",
                    };
                    *counts.lock().unwrap().entry(what).or_default() += 1;
                    if !matches!(answer, Answer::Closed | Answer::Nothing) {
                        connection = Some(open);
                    }
                    sleep_ms(5.0);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    if let Some(status) = gateway.ended() {
        record.say(format!("the gateway ended: {status}"));
        return NOT_RUN;
    }
    let twice = group.twice.load(Ordering::Relaxed);
    record.say(format!(
        "trouble={} writes {:?}; resets {}, repeats dropped {}, writes run again after the key was forgotten: {twice}",
        trouble(), counts.lock().unwrap(), group.resets.load(Ordering::Relaxed), group.repeats.load(Ordering::Relaxed)
    ));
    if counts.lock().unwrap().get("served").is_none_or(|served| *served < 100) {
        record.say("too few writes were served");
        return NOT_RUN;
    }
    if twice > 0 { BROKEN } else { HELD }
}
