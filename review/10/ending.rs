//! A gateway is told to end while the primary hangs and clients have sent many writes at once.
#[path = "../6/standins.rs"]
mod standins;
use standins::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

/// The longest deadline of midlands-depots. SIGKILL comes 0.7 s after it at the earliest.
const LONGEST_MS: f64 = 3_000.0;
const KILL_MS: f64 = LONGEST_MS + 700.0;
/// How long the gateway is held up in the second play; the page allows 150 ms. And when, after SIGTERM.
const HELD_UP_MS: f64 = 125.0;
const HELD_UP_AT_MS: f64 = 3_415.0;

struct Play {
    name: &'static str,
    clients: usize,
    /// How many writes each client sends at once.
    writes: usize,
    held_up: bool,
}

const PLAYS: [Play; 2] = [
    Play { name: "hang", clients: 60, writes: 600, held_up: false },
    Play { name: "hang and pause", clients: 20, writes: 300, held_up: true },
];

struct Counts {
    sent: usize,
    answered: usize,
}

/// What one client saw.
struct Seen {
    /// How long after SIGTERM its last write was written; negative: before it.
    written: f64,
    codes: BTreeMap<String, usize>,
    last_answer: f64,
    ended: f64,
}

/// What a server does. One that hangs takes a request and answers nothing; that is recorded as "gets", what is worked on as "runs".
fn react(server: usize, hangs: &AtomicBool, record: &Record, statement: &Statement) -> Reaction {
    let leader = server == 0;
    let position = || unix_ms().saturating_sub(if leader { 0 } else { 20 });
    if statement.text.starts_with("SHOW") {
        return Reaction::Answer(load_report(leader, position()));
    }
    let id = field(&statement.text, "id").unwrap_or("?");
    if leader && hangs.load(SeqCst) {
        record.at(statement.last, format!("db{server} gets {id} and hangs"));
        return Reaction::Silence;
    }
    let verb = if leader { "runs" } else { "turns away" };
    record.at(statement.last, format!("db{server} {verb} {id}"));
    let mut answer = if is_write(&statement.text) && !leader {
        error("25006", "this is no primary")
    } else {
        row(&[7; 8], "INSERT 0 1")
    };
    answer.extend(state_of(leader, Some(position())));
    Reaction::Answer(answer)
}

/// Sends all writes at once and reads all that comes. Returns when the last write was written, and the answers.
fn pipeline(mut client: Client, name: usize, writes: usize, record: &Record) -> (f64, BTreeMap<String, usize>, f64, f64) {
    let ids: Vec<String> = (0..writes).map(|n| format!("{:08x}{name:04x}{n:04x}", std::process::id())).collect();
    let bytes: Vec<u8> = ids
        .iter()
        .enumerate()
        .flat_map(|(n, id)| query(&write_statement(id, "place-order", 3000, &format!("c{name}"), n as u64)))
        .collect();
    let mut socket = client.socket.try_clone().expect("a second handle");
    let writer = std::thread::spawn(move || socket.write_all(&bytes).map_or(f64::INFINITY, |()| ms()));
    let _ = client.socket.set_read_timeout(Some(Duration::from_secs(10)));
    let (mut codes, mut last): (BTreeMap<String, usize>, f64) = (BTreeMap::new(), 0.0);
    while let Some((kind, body, _)) = read_message(&mut client.socket) {
        let code = match kind {
            b'E' => body.split(|byte| *byte == 0).filter_map(|f| f.strip_prefix(b"C")).next().unwrap_or_default(),
            b'C' => b"served",
            _ => continue,
        };
        *codes.entry(String::from_utf8_lossy(code).into_owned()).or_default() += 1;
        last = ms();
    }
    let ended = ms();
    // Answers follow the order of the commands, so the last ids are those without an answer.
    let answered: usize = codes.values().sum();
    let (first, rest) = ids.split_at(answered.min(writes));
    let range = |ids: &[String]| ids.first().zip(ids.last()).map_or("none".into(), |(a, b)| format!("{a} to {b}"));
    record.add(format!("client {name}: the writes answered are {}; those without an answer are {}", range(first), range(rest)));
    (writer.join().unwrap_or(f64::INFINITY), codes, last, ended)
}

/// One gateway that is told to end; `None` if the play could not be played.
fn run(play: &Play, record: &Record) -> Option<Counts> {
    let folder = Folder::new();
    let hangs = Arc::new(AtomicBool::new(false));
    let servers: Vec<_> = (0..3)
        .map(|server| {
            let (hangs, record) = (hangs.clone(), record.clone());
            start_server(Arc::new(move |statement: &Statement| react(server, &hangs, &record, statement)))
        })
        .collect();
    let entries = servers.iter().enumerate().map(|(n, address)| Entry {
        id: format!("db{n}"), address: *address, cell: 0, phase: "ready", leader: n == 0, up_since_ms: 0,
    });
    let list = ListService::start(entries.collect());
    let mut gateway = Gateway::new(&folder.0, "n0", &Site::midlands(1).document(0, &list, None), "");
    if !gateway.start() {
        record.add(format!("the gateway was not ready: {}", gateway.log_text()));
        return None;
    }
    let mut client = Client::connect(gateway.address)?;
    for n in 0..20 {
        let text = write_statement(&new_id(), "place-order", 3000, &format!("k{n}"), n);
        if !matches!(client.ask(&text, 3_000.0), Answer::Served(_)) {
            record.add("the quiet traffic was not served");
            return None;
        }
    }
    let clients: Vec<Client> = (0..play.clients).filter_map(|_| Client::connect(gateway.address)).collect();
    if clients.len() < play.clients {
        record.add("not all clients were accepted");
        return None;
    }
    if trouble() {
        hangs.store(true, SeqCst);
        record.add(format!("{}: db0, the primary, hangs", play.name));
    }
    let (writes, held) = (play.writes, play.held_up);
    let threads: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(n, client)| {
            let record = record.clone();
            let name = n + 0x1000 * usize::from(held);
            std::thread::spawn(move || pipeline(client, name, writes, &record))
        })
        .collect();
    sleep_ms(200.0);
    let told = ms();
    gateway.signal("TERM");
    record.at(told, format!("{}: the gateway gets SIGTERM", play.name));
    let mut held_up = 0.0;
    if trouble() && play.held_up {
        sleep_until(told + HELD_UP_AT_MS);
        let stopped = ms();
        gateway.signal("STOP");
        sleep_until(stopped + HELD_UP_MS);
        gateway.signal("CONT");
        held_up = ms() - stopped;
        record.at(stopped, format!("{}: the gateway is held up for {held_up:.1} ms", play.name));
    }
    while ms() < told + KILL_MS && !gateway.has_ended() {
        sleep_ms(1.0);
    }
    if gateway.has_ended() {
        record.add(format!("{}: the gateway has ended, {:.0} ms after SIGTERM", play.name, ms() - told));
    } else {
        gateway.kill();
        record.add(format!("{}: SIGKILL, {:.0} ms after SIGTERM", play.name, ms() - told));
    }
    let mut counts = Counts { sent: 0, answered: 0 };
    for (n, thread) in threads.into_iter().enumerate() {
        let (written, codes, last_answer, ended) = thread.join().ok()?;
        let seen = Seen { written: written - told, codes, last_answer: last_answer - told, ended: ended - told };
        let answered: usize = seen.codes.values().sum();
        record.add(format!(
            "{}: client {n} sent {writes} writes, the last {:.0} ms after SIGTERM; answers: {:?}, the last at {:.0} ms; the \
             connection ended at {:.0} ms; without an answer: {}",
            play.name, seen.written, seen.codes, seen.last_answer, seen.ended, writes - answered.min(writes)
        ));
        if seen.written > 0.0 {
            record.add("not written in time, does not count");
            continue;
        }
        counts.sent += writes;
        counts.answered += answered;
    }
    record.add(format!("{}: the gateway's log:\n{}", play.name, gateway.log_text()));
    gateway.kill();
    if held_up > 149.0 {
        record.add("held up for too long by this machine, this play does not count");
        println!("{}: held up for {held_up:.1} ms, does not count", play.name);
        return None;
    }
    Some(counts)
}

fn main() -> ExitCode {
    limit_time(110);
    let record = Record::new();
    let mut played = 0;
    let mut lost = Vec::new();
    for play in &PLAYS {
        if let Some(counts) = run(play, &record) {
            played += usize::from(counts.sent > 0);
            let without = counts.sent - counts.answered.min(counts.sent);
            record.add(format!("{}: {} writes, {without} lost", play.name, counts.sent));
            println!("{}: {} writes, {without} lost", play.name, counts.sent);
            lost.push(without);
        }
    }
    let verdict = if lost.iter().any(|n| *n > 0) {
        BROKEN
    } else if played == 0 {
        COULD_NOT_RUN
    } else {
        HELD
    };
    record.add(format!("exit {verdict}"));
    record.write(&PathBuf::from(std::env::args().nth(1).expect("the record's path")));
    ExitCode::from(verdict)
}
