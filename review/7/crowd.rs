//! Clients that stop in the middle of a request and stay hold all places of a gateway.
#[path = "../6/standins.rs"]
mod standins;
use standins::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How many bad clients come, once.
const BAD_CLIENTS: usize = 200;
/// How many usual clients come, one each 50 ms, and how long each waits for its answer.
const USUAL_CLIENTS: usize = 80;
const WAIT_MS: f64 = 700.0;
/// After its time a request is lost half a second later; the protocol page adds 50 ms to each limit.
const LOST_AFTER_MS: f64 = WAIT_MS + 500.0 + 50.0;
/// A bad client is owed its error or a close within 3 s.
const OWED_WITHIN_MS: f64 = 3_050.0;

/// A usual client: it connects and writes the startup message and its first query right after it.
fn ask(address: SocketAddr, id: &str) -> (Answer, f64) {
    let Ok(mut socket) = TcpStream::connect_timeout(&address, Duration::from_secs(2)) else {
        return (Answer::Ended, 0.0);
    };
    let mut bytes = startup();
    bytes.extend(query(&read_statement(id, "stock-check", WAIT_MS as u64, "7f3a9c21e0b4d655", None)));
    if socket.write_all(&bytes).is_err() {
        return (Answer::Ended, 0.0);
    }
    let sent = ms();
    let mut client = Client { socket };
    // The greeting ends with ReadyForQuery and holds no row.
    let greeting = client.answer(LOST_AFTER_MS);
    if greeting != Answer::Failed("no row".into()) {
        return (greeting, ms() - sent);
    }
    let answer = client.answer((sent + LOST_AFTER_MS - ms()).max(1.0));
    (answer, ms() - sent)
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
        let mut answer = row(&[7; 8], "SELECT 1");
        answer.extend(state_of(true, Some(unix_ms())));
        Reaction::Answer(answer)
    }));
    let entry = Entry { id: "db0".into(), address: server, cell: 0, phase: "ready", leader: true, up_since_ms: 0 };
    let list = ListService::start(vec![entry]);
    let site = Site { memory_mb: 64, sockets: 256, ..Site::midlands(1) };
    let mut gateway = Gateway::new(&folder.0, "n0", &site.document(0, &list, None), "");
    let path = PathBuf::from(std::env::args().nth(1).expect("the record's path"));
    if !gateway.start() {
        record.add(format!("the gateway was not ready: {}", gateway.log_text()));
        record.write(&path);
        return ExitCode::from(COULD_NOT_RUN);
    }
    let address = gateway.address;
    for _ in 0..10 {
        let (answer, _) = ask(address, &new_id());
        if !matches!(answer, Answer::Served(_)) {
            record.add(format!("the quiet traffic was not served: {answer:?}"));
            record.write(&path);
            return ExitCode::from(COULD_NOT_RUN);
        }
    }
    let mut bad = Vec::new();
    if trouble() {
        record.add(format!("{BAD_CLIENTS} clients connect, send half of a request and stay"));
        for _ in 0..BAD_CLIENTS {
            let statement = query(&read_statement(&new_id(), "stock-check", 700, "7f3a9c21e0b4d655", None));
            let mut bytes = startup();
            bytes.extend(&statement[..statement.len() / 2]);
            bad.push(std::thread::spawn(move || stall(address, &bytes, 8_000.0)));
            sleep_ms(1.0);
        }
    }
    let began = ms();
    let lost = Arc::new(Mutex::new(0));
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|n| {
            sleep_until(began + n as f64 * 50.0);
            let (record, lost) = (record.clone(), lost.clone());
            std::thread::spawn(move || {
                let (id, sent) = (new_id(), ms());
                let (answer, mut took) = ask(address, &id);
                let answer = if answer == Answer::Ended {
                    // The gateway closed the connection: the client asks once more on a new one.
                    record.add(format!("{id}: the connection ended, it is sent once more"));
                    let (answer, _) = ask(address, &id);
                    took = ms() - sent;
                    answer
                } else {
                    answer
                };
                let is_lost = matches!(answer, Answer::None | Answer::Ended) || took > LOST_AFTER_MS;
                *lock(&lost) += usize::from(is_lost);
                let note = if is_lost { ": LOST" } else { "" };
                record.at(sent, format!("a usual client sends {id}, waits {WAIT_MS} ms: {answer:?} after {took:.0} ms{note}"));
            })
        })
        .collect();
    for thread in usual {
        let _ = thread.join();
    }
    let ended: Vec<Option<f64>> = bad.into_iter().map(|thread| thread.join().ok().flatten()).collect();
    let late = ended.iter().filter(|at| at.is_none_or(|at| at > OWED_WITHIN_MS)).count();
    record.add(format!("{late} of {} bad clients got neither an error nor a close within 3 s", ended.len()));
    let lost = *lock(&lost);
    gateway.signal("USR1");
    sleep_ms(100.0);
    record.add(format!("the gateway's log:\n{}", gateway.log_text()));
    gateway.kill();
    let verdict = if lost > 0 { BROKEN } else { HELD };
    record.add(format!("{USUAL_CLIENTS} usual requests, {lost} lost: exit {verdict}"));
    record.write(&path);
    println!("{USUAL_CLIENTS} usual requests, {lost} lost; {late} of {} bad clients waited over 3 s", ended.len());
    ExitCode::from(verdict)
}
