//! One spoilt answer that never ends stops the whole gateway for as long as it lasts.

#[path = "../kit.rs"]
mod kit;

use kit::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Two groups of one primary and five replicas.
const GROUPS: u32 = 2;
const HOSTS: usize = 6;
const CLIENTS: usize = 20;
/// One answer of one replica of the first group begins then and never ends; its host gives up sending after this time.
const SPOILT_FROM_MS: f64 = 5000.0;
const SPOILT_FOR_MS: f64 = 22_000.0;
const END_MS: f64 = 34_000.0;
/// A final answer may come up to half a second after the client's time.
const SLACK_MS: f64 = 500.0;

struct Shared {
    record: Record,
    /// The next answer of the replica is the spoilt one.
    spoils: AtomicBool,
}

struct Host {
    shared: Arc<Shared>,
    group: u32,
    index: usize,
}

impl Behaviour for Host {
    fn status(&self) -> (bool, f64) {
        (self.index == 0, unix_ms() - if self.index == 0 { 0.0 } else { 10.0 })
    }

    fn answer(&self, side: &mut ServerSide, statement: &Statement) -> std::io::Result<()> {
        let (leader, position) = self.status();
        if statement.write && !leader {
            return side.error("25006", false, Some(position));
        }
        self.shared.record.line(format!("run     id={} at host {}-{}", statement.id(), self.group, self.index));
        if self.group == 1 && self.index == 1 && self.shared.spoils.swap(false, Ordering::Relaxed) {
            return self.answer_without_end(side, statement);
        }
        sleep_ms(if statement.write { 60.0 } else { 40.0 });
        let (leader, position) = self.status();
        side.row(statement.id().as_bytes(), leader, Some(position))
    }
}

impl Host {
    /// The request has run; its answer is the host's load report, again and again.
    fn answer_without_end(&self, side: &mut ServerSide, statement: &Statement) -> std::io::Result<()> {
        let record = &self.shared.record;
        record.line(format!("host {}-{}: the answer to id={} never ends", self.group, self.index, statement.id()));
        let mut report = Vec::new();
        message(&mut report, b'S', b"server_load\0x0=1,x1=0\0");
        let many = report.repeat(4096);
        let start = unix_ms();
        let mut sent = 0;
        let ended = loop {
            if unix_ms() - start > SPOILT_FOR_MS {
                break "the host gave up sending and closed".to_owned();
            }
            if let Err(error) = side.stream.write_all(&many) {
                break format!("the gateway ended the connection: {error}");
            }
            sent += many.len();
        };
        record.say(format!("spoilt answer: {ended} after {:.0} ms and {} MB", unix_ms() - start, sent >> 20));
        Err(std::io::ErrorKind::ConnectionAborted.into())
    }
}

fn main() {
    limit_run_time(110);
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create(Path::new(&std::env::var("RECORD").expect("RECORD")));
    let shared = Arc::new(Shared { record: record.clone(), spoils: AtomicBool::new(false) });
    let mut entries = Vec::new();
    for group in 1..=GROUPS {
        for index in 0..HOSTS {
            let host = Host { shared: shared.clone(), group, index };
            let server = Server::start(&format!("s-{group}-{index}"), Arc::new(host));
            entries.push(Entry::new(&server, group, index == 0));
        }
    }
    let agent = Agent::start(entries);
    let class = |name, effect, need, bound_ms, aim_ms, deadline_ms, worth, late_worth| Class {
        name, effect, group: "all", need, bound_ms, aim_ms, deadline_ms, window_ms: 0, worth, late_worth,
    };
    let settings = Settings {
        classes: vec![
            class("stock-check", "retryable", "recent", 500, 300, 750, 1.0, 0.0),
            class("my-order-view", "retryable", "own_writes", 0, 200, 800, 1.0, 0.0),
            class("place-order", "fragile", "update", 0, 500, 3000, 3.0, 0.7),
        ],
        fleet: 1,
        grace_ms: 1000,
        session_marks: "client",
        report: "piggyback",
        behind: "silent",
        max_attempts: 10,
        second_copies: false,
        more_obligations: "",
        memory_mb: 128,
        sockets: 512,
    };
    let Some(mut gateway) = Gateway::start("n1", &settings, &agent) else {
        record.say("the gateway did not start");
        return NOT_RUN;
    };
    let address = gateway.address;
    let begin = unix_ms();
    let counts: Arc<Mutex<BTreeMap<&'static str, usize>>> = Arc::default();
    // The longest time in which no client at all got an answer.
    let last_answer = Arc::new(Mutex::new((begin, 0.0f64)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, counts, last_answer) = (record.clone(), counts.clone(), last_answer.clone());
            thread::spawn(move || {
                let mut connection = None;
                let mut number = 0;
                sleep_ms(7.0 * client as f64);
                while unix_ms() - begin < END_MS {
                    number += 1;
                    let id = format!("{:08x}{number:08x}", client + 1);
                    let group = 1 + (client as u32 + number) % GROUPS;
                    let (sql, d) = match number % 10 {
                        0 => (write_statement(&format!("acct{client}"), "9f03", &id, "place-order", 2000, group, ""), 2000.0),
                        1..=3 => (read_statement(&format!("acct{client}"), &id, "my-order-view", 600, group, ""), 600.0),
                        _ => (read_statement("brick", &id, "stock-check", 600, group, ""), 600.0),
                    };
                    let Some(mut open) = connection.take().or_else(|| Client::connect(address).ok()) else {
                        *counts.lock().unwrap().entry("no connection").or_default() += 1;
                        continue;
                    };
                    if open.send(&sql).is_err() {
                        continue;
                    }
                    let sent = unix_ms();
                    record.line(format!("sent    id={id} group {group} d={d:.0}"));
                    let answer = open.answer(d + SLACK_MS + 50.0);
                    let now = unix_ms();
                    let kind = match &answer {
                        _ if now - sent > d + SLACK_MS => "LOST: no answer in time",
                        Answer::Closed => "LOST: closed",
                        Answer::Nothing => "LOST: no answer in time",
                        Answer::Served(_) => "served",
                        Answer::Refused(_) => "refused",
                        Answer::Failed(_) => "failed",
                    };
                    *counts.lock().unwrap().entry(kind).or_default() += 1;
                    if kind.starts_with("LOST") {
                        record.line(format!("{kind} id={id} group {group} d={d:.0}: {answer:?} after {:.0} ms", now - sent));
                        continue;
                    }
                    record.line(format!("answer  id={id} group {group} {kind} after {:.0} ms", now - sent));
                    {
                        let mut last = last_answer.lock().unwrap();
                        last.1 = last.1.max(now - last.0);
                        last.0 = now;
                    }
                    connection = Some(open);
                    sleep_ms(30.0);
                }
            })
        })
        .collect();
    sleep_until(begin + SPOILT_FROM_MS);
    shared.spoils.store(trouble(), Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if let Some(status) = gateway.ended() {
        record.say(format!("the gateway ended: {status}"));
    }
    for line in gateway.log_text().lines() {
        record.line(format!("log     {line}"));
    }
    let counts = counts.lock().unwrap();
    let longest = last_answer.lock().unwrap().1;
    let lost: usize = counts.iter().filter(|(kind, _)| kind.starts_with("LOST")).map(|(_, count)| count).sum();
    record.say(format!("trouble={} requests {counts:?}; longest time in which no client got any answer: {longest:.0} ms", trouble()));
    record.say(format!("requests with no final answer by half a second after the client's time: {lost}"));
    if counts.get("served").is_none_or(|served| *served < 500) {
        record.say("too few requests were served");
        return NOT_RUN;
    }
    if lost > 0 { BROKEN } else { HELD }
}
