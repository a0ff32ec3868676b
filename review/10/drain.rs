//! A gateway is held up for less than 0.15 s while it is told that the primary drains.
#[path = "../common-2/standins.rs"]
mod standins;
use standins::*;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};

/// The grace of kvet-quotes, and what the protocol page adds to each time limit.
const GRACE_MS: f64 = 250.0;
const SLACK_MS: f64 = 50.0;
/// How long the gateway is held up; the page allows 150 ms.
const HELD_UP_MS: f64 = 135.0;
/// From the notice that reaches the gateway to the end of the hand-over. The page allows 370 to 980 ms from the drain, of
/// which the list learns 560 ms late at the earliest.
const HAND_OVER_MS: f64 = 415.0;
const ROUNDS: usize = 6;

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// The first server is the primary.
    Before,
    /// It drains and hands over: no server takes writes, which wait.
    HandOver,
    /// The second server is the primary.
    After,
}

struct Arrival {
    server: usize,
    id: String,
    first: f64,
    write: bool,
}

struct World {
    phase: Mutex<Phase>,
    arrivals: Mutex<Vec<Arrival>>,
}

fn react(world: &World, server: usize, statement: &Statement) -> Reaction {
    let text = &statement.text;
    let phase = *lock(&world.phase);
    let mut leader = if phase == Phase::After { server == 1 } else { server == 0 };
    // A replica applies the log at once here.
    let position = unix_ms().saturating_sub(if leader { 0 } else { 20 });
    if text.starts_with("SHOW") {
        return Reaction::Answer(load_report(leader, position));
    }
    let write = is_write(text);
    let id = field(text, "id").unwrap_or_default().to_owned();
    lock(&world.arrivals).push(Arrival { server, id, first: statement.first, write });
    if write && leader {
        while *lock(&world.phase) == Phase::HandOver {
            sleep_ms(2.0);
        }
        leader = if *lock(&world.phase) == Phase::After { server == 1 } else { server == 0 };
    }
    let mut answer = if write && !leader {
        error("25006", "this is no primary")
    } else {
        row(&[7; 8], if write { "INSERT 0 1" } else { "SELECT 1" })
    };
    sleep_ms(10.0);
    answer.extend(state_of(leader, Some(unix_ms().saturating_sub(if leader { 0 } else { 20 }))));
    Reaction::Answer(answer)
}

fn site() -> Site {
    Site {
        classes: vec![
            Class { name: "quote-read", effect: "retryable", need: "recent", bound_ms: 3000, aim_ms: 300, deadline_ms: 1000,
                window_ms: 0, late_worth: 0.0, worth: 2.0 },
            Class { name: "policy-write", effect: "dedup", need: "update", bound_ms: 0, aim_ms: 600, deadline_ms: 3000,
                window_ms: 2000, late_worth: 0.5, worth: 6.0 },
        ],
        behind: "reject", wait_ms: 0, role_listed: "initial", marks: "client", commit_waits: false, report: "pull",
        membership: "automatic", max_attempts: 8, second_copies: true, retry_after: false, idle_ms: 30_000, grace_ms: 250,
        only_draining: true, start_capacity: 0.22, warm_ms: 12_000, fall_multiple: 3.0, fall_ms: 2000, gateways: 1,
        memory_mb: 192, sockets: 1024,
    }
}

/// One drain of the primary. Returns how many requests were sent to it after the grace; `None` if the round could not be played.
fn round(number: usize, record: &Record) -> Option<usize> {
    let folder = Folder::new();
    let world = Arc::new(World { phase: Mutex::new(Phase::Before), arrivals: Mutex::new(Vec::new()) });
    let servers: Vec<_> = (0..3)
        .map(|server| {
            let world = world.clone();
            start_server(Arc::new(move |statement: &Statement| react(&world, server, statement)))
        })
        .collect();
    let entries = servers.iter().enumerate().map(|(n, address)| Entry {
        id: format!("db{n}"), address: *address, cell: 0, phase: "ready", leader: n == 0, up_since_ms: 0,
    });
    let list = ListService::start(entries.collect());
    let mut gateway = Gateway::new(&folder.0, "n0", &site().document(0, &list, None), "");
    if !gateway.start() {
        record.add(format!("the gateway was not ready: {}", gateway.log_text()));
        return None;
    }
    // Quiet traffic, so that the gateway knows the primary by its answers.
    let mut client = Client::connect(gateway.address)?;
    for n in 0..20 {
        let id = new_id();
        let text = if n % 2 == 0 {
            write_statement(&id, "policy-write", 3000, &format!("k{n}"), n)
        } else {
            read_statement(&id, "quote-read", 1000, &format!("k{n}"), None)
        };
        if !matches!(client.ask(&text, 3000.0), Answer::Served(_)) {
            record.add("the quiet traffic was not served");
            return None;
        }
        sleep_ms(30.0);
    }
    let mut clients: Vec<Client> = (0..14).filter_map(|_| Client::connect(gateway.address)).collect();
    sleep_ms(50.0);
    *lock(&world.phase) = Phase::HandOver;
    if trouble() {
        gateway.signal("STOP");
    }
    let stopped = ms();
    let told = list.change("db0", |entry| entry.phase = "draining");
    record.add(format!("round {number}: db0 is listed as draining, told to the gateway at {told:.1} ms"));
    if trouble() {
        sleep_until(stopped + HELD_UP_MS);
        gateway.signal("CONT");
        record.add(format!("round {number}: the gateway went on {:.1} ms after it was stopped", ms() - stopped));
        if ms() - stopped > 149.0 {
            record.add(format!("round {number}: held up for too long by this machine, does not count"));
            *lock(&world.phase) = Phase::After;
            return None;
        }
    }
    // Some writes inside the grace, then more of them around its end.
    let times = [160.0, 200.0, 303.0, 307.0, 311.0, 315.0, 319.0, 323.0, 327.0, 331.0];
    let mut asked = Vec::new();
    for (n, at) in times.iter().enumerate() {
        sleep_until(told + at);
        let id = new_id();
        let sent = ms();
        clients.get_mut(n)?.send(&write_statement(&id, "policy-write", 3000, &format!("w{n}"), n as u64))?;
        asked.push((id, sent, n));
    }
    sleep_until(told + HAND_OVER_MS);
    *lock(&world.phase) = Phase::After;
    record.add(format!("round {number}: db1 is the primary"));
    for (id, sent, n) in &asked {
        let answer = clients[*n].answer(3500.0);
        record.at(*sent, format!("round {number}: client sends {id}, {:.1} ms after the notice: {answer:?}", sent - told));
    }
    let mut late = 0;
    for arrival in lock(&world.arrivals).iter().filter(|a| a.first >= told) {
        let after = arrival.first - told;
        let is_late = arrival.server == 0 && after > GRACE_MS + SLACK_MS;
        late += usize::from(is_late);
        record.at(
            arrival.first,
            format!(
                "round {number}: db{} gets {} {}, {after:.1} ms after the notice that db0 drains{}",
                arrival.server,
                if arrival.write { "write" } else { "read" },
                arrival.id,
                if is_late { ": TOO LATE" } else { "" }
            ),
        );
    }
    gateway.kill();
    Some(late)
}

fn main() -> ExitCode {
    limit_time(110);
    let record = Record::new();
    let rounds: Vec<Option<usize>> = (0..ROUNDS).map(|number| round(number, &record)).collect();
    let played: Vec<usize> = rounds.iter().flatten().copied().collect();
    let broken = played.iter().filter(|late| **late > 0).count();
    let verdict = if broken > 0 {
        BROKEN
    } else if played.len() * 2 < ROUNDS {
        COULD_NOT_RUN
    } else {
        HELD
    };
    record.add(format!("{} rounds played, the rule was broken in {broken}: exit {verdict}", played.len()));
    record.write(&PathBuf::from(std::env::args().nth(1).expect("the record's path")));
    println!("{} rounds played, broken in {broken}", played.len());
    ExitCode::from(verdict)
}
