//! Clients that stop in the middle of a large request and stay use up what may be read ahead.
#[path = "../6/standins.rs"]
mod standins;
use standins::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;

/// How many bad clients come, once, and how much of a statement with a value of 64 KiB each of them sends.
const BAD_CLIENTS: usize = 60;
const SENT_BYTES: usize = 120 * 1024;
/// How many usual clients write a value of 64 KiB each, again and again, and how long each waits for its answer: 40% of the
/// class's 3 s.
const USUAL_CLIENTS: usize = 12;
const WAIT_MS: f64 = 1_200.0;
const PLAY_MS: f64 = 4_000.0;
/// After its time a request is lost half a second later; the protocol page adds 50 ms to each limit.
const LOST_AFTER_MS: f64 = WAIT_MS + 500.0 + 50.0;

fn statement(id: &str, key: &str) -> String {
    let value = "ab".repeat(64 * 1024);
    format!(
        "INSERT INTO state (uid, val) VALUES ('{key}', '\\x{value}') RETURNING val \
         /* id={id},c=place-order,d={},cluster=0 */",
        WAIT_MS as u64
    )
}

/// Writes again and again until `until`, on a kept connection. Returns how many requests it sent and how many were lost.
fn write_on(address: SocketAddr, number: usize, until: f64, record: &Record) -> (usize, usize) {
    let (mut asked, mut lost) = (0, 0);
    let mut client = Client::connect(address);
    while ms() < until {
        let id = new_id();
        let text = statement(&id, &format!("k{number}"));
        let mut sent = None;
        let mut answer = Answer::Ended;
        // A connection that the gateway ends without an answer: the client sends the request once more on a new one.
        for _ in 0..2 {
            if client.is_none() {
                client = Client::connect(address);
            }
            let Some(open) = client.as_mut() else { break };
            let whole = open.send(&text).is_some();
            let at = *sent.get_or_insert_with(ms);
            answer = if whole { open.answer((at + 3_000.0 - ms()).max(1.0)) } else { Answer::Ended };
            if answer != Answer::Ended {
                break;
            }
            record.add(format!("{id}: the connection ended without an answer"));
            client = None;
        }
        let Some(sent) = sent else { break };
        let took = ms() - sent;
        let is_lost = matches!(answer, Answer::None | Answer::Ended) || took > LOST_AFTER_MS;
        asked += 1;
        lost += usize::from(is_lost);
        let shown = match &answer {
            Answer::Served(value) => format!("served, {} bytes", value.len()),
            other => format!("{other:?}"),
        };
        let note = if is_lost { ": LOST" } else { "" };
        record.at(sent, format!("client {number} sends write {id}, waits {WAIT_MS} ms: {shown} after {took:.0} ms{note}"));
        if !matches!(answer, Answer::Served(_) | Answer::Refused(_)) {
            client = None;
        }
        sleep_ms(100.0);
    }
    (asked, lost)
}

fn main() -> ExitCode {
    limit_time(110);
    let record = Record::new();
    let folder = Folder::new();
    let arrivals = record.clone();
    let server = start_server(Arc::new(move |statement: &Statement| {
        if statement.text.starts_with("SHOW") {
            return Reaction::Answer(load_report(true, unix_ms()));
        }
        arrivals.at(statement.last, format!("db0 runs {}", field(&statement.text, "id").unwrap_or("?")));
        sleep_ms(5.0);
        let mut answer = row(&[7; 8], "INSERT 0 1");
        answer.extend(state_of(true, Some(unix_ms())));
        Reaction::Answer(answer)
    }));
    let entry = Entry { id: "db0".into(), address: server, cell: 0, phase: "ready", leader: true, up_since_ms: 0 };
    let list = ListService::start(vec![entry]);
    let site = Site { memory_mb: 32, sockets: 256, ..Site::midlands(1) };
    let mut gateway = Gateway::new(&folder.0, "n0", &site.document(0, &list, None), "");
    let path = PathBuf::from(std::env::args().nth(1).expect("the record's path"));
    if !gateway.start() {
        record.add(format!("the gateway was not ready: {}", gateway.log_text()));
        record.write(&path);
        return ExitCode::from(COULD_NOT_RUN);
    }
    let address = gateway.address;
    let until = ms() + PLAY_MS;
    let counts = Arc::new((AtomicUsize::new(0), AtomicUsize::new(0)));
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (record, counts) = (record.clone(), counts.clone());
            std::thread::spawn(move || {
                let (asked, lost) = write_on(address, number, until, &record);
                counts.0.fetch_add(asked, SeqCst);
                counts.1.fetch_add(lost, SeqCst);
            })
        })
        .collect();
    sleep_ms(1_000.0);
    let mut bad = Vec::new();
    if trouble() {
        record.add(format!("{BAD_CLIENTS} clients connect, send {SENT_BYTES} bytes of a larger request and stay"));
        for _ in 0..BAD_CLIENTS {
            let mut bytes = startup();
            bytes.extend(&query(&statement(&new_id(), "bad"))[..SENT_BYTES]);
            bad.push(std::thread::spawn(move || stall(address, &bytes, 6_000.0)));
        }
    }
    for thread in usual {
        let _ = thread.join();
    }
    let ended: Vec<Option<f64>> = bad.into_iter().map(|thread| thread.join().ok().flatten()).collect();
    let last = ended.iter().flatten().fold(0.0, |a: f64, b| a.max(*b));
    record.add(format!("the last of the bad clients was ended after {last:.0} ms"));
    let (asked, lost) = (counts.0.load(SeqCst), counts.1.load(SeqCst));
    gateway.signal("USR1");
    sleep_ms(100.0);
    record.add(format!("the gateway's log:\n{}", gateway.log_text()));
    gateway.kill();
    let verdict = if asked < USUAL_CLIENTS {
        COULD_NOT_RUN
    } else if lost > 0 {
        BROKEN
    } else {
        HELD
    };
    record.add(format!("{asked} usual requests, {lost} lost: exit {verdict}"));
    record.write(&path);
    println!("{asked} usual requests, {lost} lost");
    ExitCode::from(verdict)
}
