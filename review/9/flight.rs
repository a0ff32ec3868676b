//! A gateway that also speaks Arrow Flight SQL is told to end while Flight clients ask.
#[path = "../common-2/standins.rs"]
mod standins;
use standins::*;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

const CLIENTS: usize = 16;
/// How many restarts are played at most; the first that breaks the rule is the last.
const ROUNDS: usize = 8;
/// The operator's file gives a request this long where its client sets no time.
const WAIT_MS: f64 = 3_000.0;
/// After its time a request is lost half a second later; the protocol page adds 50 ms to each limit.
const LOST_AFTER_MS: f64 = WAIT_MS + 500.0 + 50.0;
/// When the platform kills what has not ended: no sooner than the longest deadline and 0.7 s after SIGTERM.
const KILL_AFTER_MS: f64 = 5_000.0;

enum End {
    Answered(String),
    Lost,
}

/// One query by the project's own client. It waits as long as the request may take, and half a second more.
fn ask(flight: SocketAddr, key: &str) -> End {
    let began = ms();
    let child = Command::new(root().join("target/release/stackgw"))
        .args(["query", &flight.to_string(), "--class", "stock-check", "--group", "0", "--key", key])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn();
    let Ok(mut child) = child else { return End::Answered("the client did not start".into()) };
    loop {
        if let Ok(Some(_)) = child.try_wait() {
            let mut text = String::new();
            let _ = child.stdout.take().map(|mut out| out.read_to_string(&mut text));
            let _ = child.stderr.take().map(|mut out| out.read_to_string(&mut text));
            return End::Answered(text.trim().replace('\n', " "));
        }
        if ms() - began > LOST_AFTER_MS {
            let _ = child.kill();
            let _ = child.wait();
            return End::Lost;
        }
        sleep_ms(2.0);
    }
}

/// Plays one restart. Returns whether the rule was broken; `None` if the round could not be played.
fn round(number: usize, record: &Record) -> Option<bool> {
    let folder = Folder::new();
    let server = start_server(Arc::new(move |statement: &Statement| {
        if statement.text.starts_with("SHOW") {
            return Reaction::Answer(load_report(true, unix_ms()));
        }
        sleep_ms(3.0);
        let mut answer = row(&[7; 8], "SELECT 1");
        answer.extend(state_of(true, Some(unix_ms())));
        Reaction::Answer(answer)
    }));
    let entry = Entry { id: "db0".into(), address: server, cell: 0, phase: "ready", leader: true, up_since_ms: 0 };
    let list = ListService::start(vec![entry]);
    // The operator's file, as deploy/flight.example.yaml has it.
    let flight = free_address();
    let (key, file) = (folder.0.join("flight.key"), folder.0.join("flight.yaml"));
    std::fs::write(&key, "0123456789abcdef0123456789abcdef").expect("a key");
    let yaml = format!("flight:\n  listen: {flight}\n  keys: [{}]\n  ticket: 10min\n  wait: 3s\n", key.display());
    std::fs::write(&file, yaml).expect("the operator's file");
    let arguments = format!("run --file {}", file.display());
    let mut gateway = Gateway::new(&folder.0, "n0", &Site::midlands(1).document(0, &list, None), &arguments);
    let first = gateway.start().then(|| ask(flight, "k"));
    if !matches!(&first, Some(End::Answered(text)) if text.contains("0707")) {
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
                while !stop.load(SeqCst) {
                    let sent = ms();
                    let end = ask(flight, &format!("k{n}"));
                    let is_quiet = matches!(&end, End::Answered(text) if text.contains("refused"));
                    lock(&ends).push((n, sent, ms(), end));
                    if is_quiet {
                        sleep_ms(20.0);
                    }
                }
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
    for (n, sent, at, end) in ends.iter() {
        let took = at - sent;
        let (text, is_lost) = match end {
            End::Lost => ("no answer".to_owned(), true),
            End::Answered(text) => (text.clone(), took > LOST_AFTER_MS),
        };
        lost += usize::from(is_lost);
        if is_lost || took > 300.0 {
            let note = if is_lost { ": LOST" } else { "" };
            record.at(*sent, format!("client {n} asks, {:.0} ms after SIGTERM: {text} after {took:.0} ms{note}", sent - told));
        }
    }
    let answered = ends.iter().filter(|end| matches!(&end.3, End::Answered(text) if text.contains("0707"))).count();
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
            None => {}
        }
    }
    record.add(format!("exit {verdict}"));
    record.write(&path);
    println!("exit {verdict}");
    ExitCode::from(verdict)
}
