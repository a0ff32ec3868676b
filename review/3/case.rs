//! Clients that read all they are sent lose their connections, and all their requests, to the limit on unread answers.

#[path = "../kit.rs"]
mod kit;

use kit::*;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Two groups of one primary and five replicas; the primary of the first hangs: 1 of 12 hosts.
const GROUPS: u32 = 2;
const HOSTS: usize = 6;
/// Clients that send several commands at once, and how many each sends.
const CLIENTS: usize = 4;
const READS: usize = 32;
const VALUE_BYTES: usize = 64 << 10;
const ROUNDS: usize = 2;
/// How long the primary takes requests and answers none (the pages: 5.9 to 20 s).
const HANG_MS: f64 = 6500.0;
/// From then to the new primary: given up after 1.3 to 2.9 s, taken over 1.6 to 3.4 s later.
const TAKEN_OVER_MS: f64 = 5000.0;
/// How fast a host that is behind applies the log: its thread is busy 45% of the time when it keeps up.
const CATCH_UP: f64 = 1.0 / 0.45;

struct State {
    /// When the primaries of the first group began to hang: first host 0, then its successor, host 1.
    hangs: Mutex<Vec<f64>>,
    record: Record,
}

impl State {
    /// The host that is the first group's primary, and when this host began to hang, if it did.
    fn leader_and_hang(&self, host: usize) -> (usize, Option<f64>) {
        let hangs = self.hangs.lock().unwrap();
        let now = unix_ms();
        let leader = hangs.iter().filter(|start| now >= **start + TAKEN_OVER_MS).count();
        (leader, hangs.get(host).copied())
    }
}

struct Host {
    state: Arc<State>,
    group: u32,
    index: usize,
}

impl Behaviour for Host {
    fn status(&self) -> (bool, f64) {
        let now = unix_ms();
        let (leader, hang) = if self.group == 1 { self.state.leader_and_hang(self.index) } else { (0, None) };
        if self.index == leader {
            return (true, now);
        }
        // One that hung stood still, and catches up since.
        let position = hang.map_or(now, |start| start + (now - start - HANG_MS).max(0.0) * CATCH_UP);
        (false, position.min(now - 10.0))
    }

    fn is_hanging(&self) -> bool {
        let now = unix_ms();
        let hang = if self.group == 1 { self.state.leader_and_hang(self.index).1 } else { None };
        hang.is_some_and(|start| now < start + HANG_MS)
    }

    fn answer(&self, side: &mut ServerSide, statement: &Statement) -> std::io::Result<()> {
        let (leader, position) = self.status();
        if statement.write && !leader {
            return side.error("25006", false, Some(position));
        }
        self.state.record.line(format!("run     id={} at host {}-{}", statement.id(), self.group, self.index));
        sleep_ms(if statement.write { 60.0 } else { 40.0 });
        let (leader, position) = self.status();
        let mut value = statement.id().as_bytes().to_vec();
        value.resize(if statement.write { 16 } else { VALUE_BYTES }, b'.');
        side.row(&value, leader, Some(position))
    }
}

fn main() {
    limit_run_time(110);
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create(Path::new(&std::env::var("RECORD").expect("RECORD")));
    let state = Arc::new(State { hangs: Mutex::default(), record: record.clone() });
    let mut entries = Vec::new();
    for group in 1..=GROUPS {
        for index in 0..HOSTS {
            let host = Host { state: state.clone(), group, index };
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
        memory_mb: 32,
        sockets: 512,
    };
    let Some(mut gateway) = Gateway::start("n1", &settings, &agent) else {
        record.say("the gateway did not start");
        return NOT_RUN;
    };
    let address = gateway.address;
    let (served, refused, failed, lost, left_out) = (counter(), counter(), counter(), counter(), counter());
    let begin = unix_ms();
    let end = begin + 4000.0 + 12_000.0 * ROUNDS as f64;
    // An ordinary client: one request at a time.
    let ordinary = {
        let (record, served) = (record.clone(), served.clone());
        thread::spawn(move || {
            let mut connection = None;
            let mut number = 0;
            while unix_ms() < end {
                number += 1;
                let id = format!("0000ffff{number:08x}");
                if let Some(mut open) = connection.take().or_else(|| Client::connect(address).ok()) {
                    let _ = open.send(&read_statement("depot", &id, "my-order-view", 800, 1, ""));
                    record.line(format!("sent    id={id} by the ordinary client"));
                    let answer = open.answer(3000.0);
                    let kind = match &answer { Answer::Served(_) => "served".to_owned(), other => format!("{other:?}") };
                    record.line(format!("answer  id={id} {kind}"));
                    served.fetch_add(usize::from(kind == "served"), Ordering::Relaxed);
                    if !matches!(answer, Answer::Closed | Answer::Nothing) {
                        connection = Some(open);
                    }
                }
                sleep_ms(20.0);
            }
        })
    };
    for round in 0..ROUNDS {
        sleep_until(begin + 3000.0 + 12_000.0 * round as f64);
        if trouble() {
            state.hangs.lock().unwrap().push(unix_ms());
            record.line("the first group's primary takes requests and answers none from now");
        }
        sleep_ms(100.0);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let record = record.clone();
                let (served, refused, failed, lost, left_out) =
                    (served.clone(), refused.clone(), failed.clone(), lost.clone(), left_out.clone());
                thread::spawn(move || {
                    let Ok(mut open) = Client::connect(address) else { return };
                    let id = |number: usize| format!("{round:04x}{client:04x}{number:08x}");
                    let mut bytes = query_message(&write_statement(&format!("acct{client}"), "9f03", &id(0), "place-order", 3000, 1, ""));
                    for number in 1..=READS {
                        bytes.extend(query_message(&read_statement(&format!("acct{client}-{number}"), &id(number), "my-order-view", 800, 1, "")));
                    }
                    let sent = unix_ms();
                    if open.stream.write_all(&bytes).is_err() {
                        left_out.fetch_add(1, Ordering::Relaxed);
                        return;
                    }
                    record.line(format!("sent    client {client}: place-order and {READS} my-order-views at once, ids {} to {}", id(0), id(READS)));
                    for number in 0..=READS {
                        // The time spent waiting for the answers before one does not count.
                        let answer = open.answer(8000.0);
                        let took = unix_ms() - sent;
                        match &answer {
                            Answer::Served(value) if number == 0 || value.starts_with(id(number).as_bytes()) => {
                                served.fetch_add(1, Ordering::Relaxed);
                            }
                            Answer::Refused(_) => drop(refused.fetch_add(1, Ordering::Relaxed)),
                            Answer::Failed(_) => drop(failed.fetch_add(1, Ordering::Relaxed)),
                            _ => {
                                let count = READS + 1 - number;
                                lost.fetch_add(count, Ordering::Relaxed);
                                record.line(format!(
                                    "LOST    client {client}: {} after {took:.0} ms; {count} requests have no answer",
                                    if answer == Answer::Closed { "the gateway closed the connection" } else { "nothing came" }
                                ));
                                return;
                            }
                        }
                        let kind = match answer { Answer::Served(_) => "served".to_owned(), other => format!("{other:?}") };
                        record.line(format!("answer  client {client} id={} {kind} after {took:.0} ms", id(number)));
                    }
                })
            })
            .collect();
        for client in clients {
            let _ = client.join();
        }
    }
    let _ = ordinary.join();
    if let Some(status) = gateway.ended() {
        record.say(format!("the gateway ended: {status}"));
        return NOT_RUN;
    }
    record.say(format!("memory_mb 32; {}", gateway.status_line("VmHWM")));
    gateway.signal("USR1");
    sleep_ms(200.0);
    for line in gateway.log_text().lines() {
        record.line(format!("log     {line}"));
    }
    let [served, refused, failed, lost, left_out] = [served, refused, failed, lost, left_out].map(|count| count.load(Ordering::Relaxed));
    record.say(format!("trouble={} served {served}, refused {refused}, failed {failed}, not sent {left_out}, lost: {lost}", trouble()));
    if served < 100 {
        record.say("too few requests were served");
        return NOT_RUN;
    }
    if lost > 0 { BROKEN } else { HELD }
}

fn counter() -> Arc<AtomicUsize> {
    Arc::new(AtomicUsize::new(0))
}
