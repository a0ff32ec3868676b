//! A primary that speaks Arrow Flight SQL is replaced by a rolling deploy while it runs an order.
#[path = "flight_member.rs"]
mod flight_member;
#[path = "standins.rs"]
mod standins;
use flight_member::{FlightMember, Outcome};
use standins::*;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};

const ROUNDS: usize = 3;
/// How long an order is worked on, and when, after it was sent, the primary is told to end.
const WORK_MS: f64 = 80.0;
const TOLD_AFTER_MS: f64 = 30.0;
/// From then until the second server is the primary; the page says 580 to 940 ms.
const HAND_OVER_MS: f64 = 600.0;
/// From then until the list shows the drain, and the new primary; the site says 1.2 to 3.8 s, and 1.3 to 3.8 s.
const NOTICE_MS: f64 = 1_200.0;
const ROLE_NOTICE_MS: f64 = 1_800.0;

/// The first server, a process of its own. It prints its address, then what it runs. The line `end` ends it gracefully.
fn member() {
    let run = Arc::new(|statement: &str| {
        if statement.starts_with("SHOW") {
            let at = unix_ms();
            let value = format!("x0={}.{:03},x1=1", at / 1000, at % 1000).into_bytes();
            return Some(Outcome { value, role: "leader", position_ms: at });
        }
        sleep_ms(if is_write(statement) { WORK_MS } else { 20.0 });
        if is_write(statement) {
            println!("runs {}", field(statement, "id").unwrap_or("?"));
        }
        Some(Outcome { value: vec![7; 8], role: "leader", position_ms: unix_ms() })
    });
    let (member, address) = FlightMember::start(run);
    println!("{address}");
    let _ = std::io::stdout().flush();
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        if line == "end" {
            member.end();
            break;
        }
    }
    std::process::exit(0);
}

struct FlightServer {
    child: Child,
    input: ChildStdin,
    address: SocketAddr,
    /// Ids of the writes that it ran, with the time at which it said so.
    ran: Arc<Mutex<Vec<(f64, String)>>>,
}

impl FlightServer {
    fn start() -> Option<Self> {
        let mut child = Command::new(std::env::current_exe().ok()?)
            .arg("member")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let input = child.stdin.take()?;
        let mut output = BufReader::new(child.stdout.take()?);
        let mut line = String::new();
        output.read_line(&mut line).ok()?;
        let ran = Arc::new(Mutex::new(Vec::new()));
        let telling = ran.clone();
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if let Some(id) = line.strip_prefix("runs ") {
                    lock(&telling).push((ms(), id.to_owned()));
                }
            }
        });
        Some(FlightServer { child, input, address: line.trim().parse().ok()?, ran })
    }
}

impl Drop for FlightServer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One deploy. Returns whether the rule was broken; `None` if the round could not be played.
fn round(number: usize, record: &Record) -> Option<bool> {
    let folder = Folder::new();
    let mut first = FlightServer::start()?;
    // The other two servers speak the first protocol. The second one takes over.
    let primary = Arc::new(Mutex::new(0));
    let ran = Arc::new(Mutex::new(Vec::<(f64, usize, String)>::new()));
    let others: Vec<SocketAddr> = (1..3)
        .map(|server| {
            let (primary, ran) = (primary.clone(), ran.clone());
            start_server(Arc::new(move |statement: &Statement| {
                let leader = *lock(&primary) == server;
                let position = unix_ms().saturating_sub(if leader { 0 } else { 12 });
                if statement.text.starts_with("SHOW") {
                    return Reaction::Answer(load_report(leader, position));
                }
                let write = is_write(&statement.text);
                let mut answer = if write && !leader {
                    error("25006", "this is no primary")
                } else {
                    sleep_ms(if write { WORK_MS } else { 20.0 });
                    if write {
                        let id = field(&statement.text, "id").unwrap_or("?").to_owned();
                        lock(&ran).push((ms(), server, id));
                    }
                    row(&[7; 8], if write { "INSERT 0 1" } else { "SELECT 1" })
                };
                answer.extend(state_of(leader, Some(position)));
                Reaction::Answer(answer)
            }))
        })
        .collect();
    let addresses = [first.address, others[0], others[1]];
    let entries = addresses.iter().enumerate().map(|(n, address)| Entry {
        id: format!("db{n}"), address: *address, cell: 0, phase: "ready", leader: n == 0, up_since_ms: 0,
    });
    let list = ListService::start(entries.collect());
    let (key, file) = (folder.0.join("flight.key"), folder.0.join("flight.yaml"));
    std::fs::write(&key, "0123456789abcdef0123456789abcdef").ok()?;
    let yaml = format!("flight:\n  listen: {}\n  keys: [{}]\n  members: [db0]\n", free_address(), key.display());
    std::fs::write(&file, yaml).ok()?;
    let arguments = format!("run --file {}", file.display());
    let mut gateway = Gateway::new(&folder.0, "n0", &Site::midlands(1).document(0, &list, None), &arguments);
    if !gateway.start() {
        record.add(format!("the gateway was not ready: {}", gateway.log_text()));
        return None;
    }
    let mut client = Client::connect(gateway.address)?;
    for n in 0..6 {
        let id = new_id();
        let text = match n % 2 {
            0 => write_statement(&id, "place-order", 3000, &format!("q{n}"), n),
            _ => read_statement(&id, "stock-check", 750, &format!("q{n}"), None),
        };
        let answer = client.ask(&text, 3_500.0);
        if !matches!(answer, Answer::Served(_)) {
            record.add(format!("the quiet traffic was not served: {answer:?}; {}", gateway.log_text()));
            return None;
        }
    }
    let order = new_id();
    let sent = ms();
    client.send(&write_statement(&order, "place-order", 3000, "the-order", 1))?;
    record.at(sent, format!("round {number}: the client sends the order {order}"));
    sleep_until(sent + TOLD_AFTER_MS);
    let told = ms();
    if trouble() {
        writeln!(first.input, "end").ok()?;
        record.at(told, format!("round {number}: the deploy tells db0 to end; it finishes what it has"));
        let (primary, list, record) = (primary.clone(), list.clone(), record.clone());
        std::thread::spawn(move || {
            sleep_until(told + HAND_OVER_MS);
            *lock(&primary) = 1;
            record.add(format!("round {number}: db1 is the primary"));
            sleep_until(told + NOTICE_MS);
            list.change("db0", |entry| entry.phase = "draining");
            sleep_until(told + ROLE_NOTICE_MS);
            list.change("db1", |entry| entry.leader = true);
        });
    }
    let answer = client.answer(3_600.0);
    record.add(format!("round {number}: the answer to {order}: {answer:?}, {:.0} ms after it was sent", ms() - sent));
    // A refusal tells the client that trying again is harmless.
    let mut again = None;
    if matches!(answer, Answer::Refused(_)) {
        // As long as the site lets a refusal ask for at most.
        sleep_ms(1_000.0);
        let id = new_id();
        record.add(format!("round {number}: the client tries the order again, as {id}"));
        let retried = client.ask(&write_statement(&id, "place-order", 3000, "the-order", 1), 3_600.0);
        record.add(format!("round {number}: the answer to {id}: {retried:?}"));
        again = Some(id);
    }
    sleep_ms(300.0);
    let mut runs: Vec<(f64, usize, String)> = lock(&first.ran).iter().map(|(at, id)| (*at, 0, id.clone())).collect();
    runs.extend(lock(&ran).iter().cloned());
    let is_order = |id: &String| *id == order || Some(id) == again.as_ref();
    let of_order: Vec<_> = runs.iter().filter(|(_, _, id)| is_order(id)).collect();
    for (at, server, id) in &of_order {
        record.at(*at, format!("round {number}: db{server} has run {id}"));
    }
    let first_runs = runs.iter().filter(|(_, _, id)| *id == order).count();
    let refused = first_runs > 0 && matches!(answer, Answer::Refused(_));
    let broken = refused || first_runs > 1;
    record.add(format!(
        "round {number}: {order} ran {first_runs} time(s), refused although it ran: {refused}; the order ran {} time(s) in all{}",
        of_order.len(),
        if broken { ": BROKEN" } else { "" }
    ));
    record.add(format!("round {number}: the gateway's log:\n{}", gateway.log_text()));
    gateway.kill();
    Some(broken)
}

fn main() -> ExitCode {
    let argument = std::env::args().nth(1).expect("the record's path");
    if argument == "member" {
        member();
        return ExitCode::SUCCESS;
    }
    limit_time(110);
    let record = Record::new();
    let rounds: Vec<Option<bool>> = (0..ROUNDS).map(|number| round(number, &record)).collect();
    let played = rounds.iter().flatten().count();
    let broken = rounds.iter().flatten().filter(|broken| **broken).count();
    let verdict = match (broken, played) {
        (1.., _) => BROKEN,
        (0, ROUNDS) => HELD,
        _ => COULD_NOT_RUN,
    };
    record.add(format!("{played} rounds played, the rule was broken in {broken}: exit {verdict}"));
    record.write(&PathBuf::from(argument));
    println!("{played} rounds played, broken in {broken}");
    ExitCode::from(verdict)
}
