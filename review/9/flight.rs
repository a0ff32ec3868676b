//! A gateway that also speaks Arrow Flight SQL is told to end while Flight clients ask.
#[path = "flight_client.rs"]
mod flight_client;
#[path = "../6/standins.rs"]
mod standins;
use flight_client::{FlightClient, Reply};
use standins::*;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

const CLIENTS: usize = 16;
/// Between an answer and the next query of a client: all together ask less than 960 times a second (LATER.md).
const PAUSE_MS: f64 = 10.0;
/// How many restarts are played at most; the first that breaks the rule is the last.
const ROUNDS: usize = 12;
/// The operator's file gives a request this long where its client sets no time.
const WAIT_MS: f64 = 3_000.0;
/// After its time a request is lost half a second later; the protocol page adds 50 ms to each limit.
const LOST_AFTER_MS: f64 = WAIT_MS + 500.0 + 50.0;
/// When the platform kills what has not ended: no sooner than the longest deadline and 0.7 s after SIGTERM.
const KILL_AFTER_MS: f64 = 5_000.0;

/// Plays one restart. Returns whether the rule was broken; `None` if the round could not be played.
fn round(number: usize, record: &Record) -> Option<bool> {
    let folder = Folder::new();
    let runs = record.clone();
    let server = start_server(Arc::new(move |statement: &Statement| {
        if statement.text.starts_with("SHOW") {
            return Reaction::Answer(load_report(true, unix_ms()));
        }
        let id = field(&statement.text, "id").unwrap_or("?");
        runs.at(statement.last, format!("round {number}: db0 runs {id} of key {}", key(&statement.text)));
        sleep_ms(3.0);
        let mut answer = row(&[7; 8], "SELECT 1");
        answer.extend(state_of(true, Some(unix_ms())));
        Reaction::Answer(answer)
    }));
    let entry = Entry { id: "db0".into(), address: server, cell: 0, phase: "ready", leader: true, up_since_ms: 0 };
    let list = ListService::start(vec![entry]);
    // The operator's file, as deploy/flight.example.yaml has it.
    let flight = free_address();
    let (secret, file) = (folder.0.join("flight.key"), folder.0.join("flight.yaml"));
    std::fs::write(&secret, "0123456789abcdef0123456789abcdef").expect("a key");
    let yaml = format!("flight:\n  listen: {flight}\n  keys: [{}]\n  ticket: 10min\n  wait: 3s\n", secret.display());
    std::fs::write(&file, yaml).expect("the operator's file");
    let arguments = format!("run --file {}", file.display());
    let mut gateway = Gateway::new(&folder.0, "n0", &Site::midlands(1).document(0, &list, None), &arguments);
    let first = gateway.start().then(|| FlightClient::connect(flight)?.read("stock-check", "0", "k", WAIT_MS).into());
    if !matches!(first.flatten(), Some((Reply::Data(_), true))) {
        record.add(format!("the gateway was not ready: {}", gateway.log_text()));
        return None;
    }
    let began = ms();
    let stop = Arc::new(AtomicBool::new(false));
    let ends = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (stop, ends) = (stop.clone(), ends.clone());
            std::thread::spawn(move || {
                // One connection, kept as long as it stays open.
                let mut client = FlightClient::connect(flight)?;
                let mut lost = 0;
                while !stop.load(SeqCst) {
                    let sent = ms();
                    let (reply, is_sent) = client.read("stock-check", "0", &format!("k{n}"), LOST_AFTER_MS);
                    let is_over = matches!(reply, Reply::Ended | Reply::None);
                    lost += usize::from(reply == Reply::None);
                    // After a refusal a client tries again at once.
                    let pause = if matches!(reply, Reply::Data(_)) { PAUSE_MS } else { 0.0 };
                    lock(&ends).push((n, sent, ms(), reply, is_sent));
                    if is_over {
                        break;
                    }
                    sleep_ms(pause);
                }
                // It stays a while, so that the gateway can still answer.
                sleep_ms(if lost > 0 { 2_000.0 } else { 0.0 });
                Some(())
            })
        })
        .collect();
    sleep_until(began + 1_000.0);
    let told = ms();
    let mut ended = None;
    if trouble() {
        gateway.signal("TERM");
        record.at(told, format!("round {number}: the gateway gets SIGTERM"));
        while ended.is_none() && ms() < told + KILL_AFTER_MS {
            ended = gateway.has_ended().then(ms);
            sleep_ms(5.0);
        }
        match ended {
            Some(at) => record.at(at, format!("the gateway has ended, {:.0} ms after SIGTERM", at - told)),
            None => record.add(format!("the gateway has not ended {KILL_AFTER_MS} ms after SIGTERM: it hangs and is killed")),
        }
        stop.store(true, SeqCst);
    } else {
        sleep_until(told + 1_500.0);
        stop.store(true, SeqCst);
    }
    let killed = ms();
    if trouble() {
        gateway.kill();
    }
    for client in clients {
        let _ = client.join();
    }
    gateway.kill();
    let ends = lock(&ends);
    let mut lost = 0;
    for (n, sent, at, reply, is_sent) in ends.iter() {
        let took = at - sent;
        let is_lost = *reply == Reply::None || took > LOST_AFTER_MS;
        lost += usize::from(is_lost);
        let note = if is_lost { ": LOST" } else { "" };
        let what = if *is_sent { "DoGet" } else { "GetFlightInfo" };
        let text = match reply {
            Reply::Data(_) => "data",
            Reply::Status => "a status",
            Reply::Ended => "the connection ended",
            Reply::None => "nothing",
        };
        let after = sent - told;
        record.at(*sent, format!("round {number}: client {n} asks key k{n}, {after:.0} ms after SIGTERM; {what} brings {text} in {took:.0} ms{note}"));
    }
    let answered = ends.iter().filter(|end| matches!(end.3, Reply::Data(_))).count();
    record.add(format!("{} queries, {answered} served", ends.len()));
    record.add(format!("the gateway's log:\n{}", gateway.log_text()));
    let hangs = trouble() && ended.is_none();
    record.add(format!("round {number}: {lost} lost, hangs: {hangs} (killed at {killed:.0} ms)"));
    Some(lost > 0 || hangs)
}

fn main() -> ExitCode {
    limit_time(110);
    let path = PathBuf::from(std::env::args().nth(1).expect("the record's path"));
    let record = Record::new();
    let mut verdict = COULD_NOT_RUN;
    for number in 1..=ROUNDS {
        match round(number, &record) {
            Some(true) => {
                verdict = BROKEN;
                break;
            }
            Some(false) => verdict = HELD,
            None => break,
        }
    }
    record.add(format!("exit {verdict}"));
    record.write(&path);
    println!("exit {verdict}");
    ExitCode::from(verdict)
}
