//! Stand-ins for the cases of the second review: database servers, the list service, clients and the platform that starts
//! gateways. They use the standard library alone and keep to the pages on the protocol and the deployment. Everything is on
//! loopback addresses and free ports.
#![allow(dead_code)]

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: u8 = 0;
pub const BROKEN: u8 = 1;
pub const COULD_NOT_RUN: u8 = 2;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Milliseconds since the start of this program.
pub fn ms() -> f64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1e3
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map(|d| d.as_millis() as u64).unwrap_or(0)
}

pub fn sleep_ms(ms: f64) {
    std::thread::sleep(Duration::from_secs_f64((ms / 1e3).max(0.0)));
}

pub fn sleep_until(at: f64) {
    sleep_ms(at - ms());
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map(|v| v != "0").unwrap_or(true)
}

/// `record.txt`: what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<Vec<(f64, String)>>>);

impl Record {
    pub fn new() -> Self {
        Record(Arc::new(Mutex::new(Vec::new())))
    }
    pub fn at(&self, at: f64, text: impl Into<String>) {
        lock(&self.0).push((at, text.into()));
    }
    pub fn add(&self, text: impl Into<String>) {
        self.at(ms(), text);
    }
    pub fn write(&self, path: &Path) {
        let mut lines = lock(&self.0).clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines.iter().map(|(at, line)| format!("{at:10.1} ms  {line}\n")).collect();
        let _ = std::fs::write(path, text);
    }
}

// ---------------------------------------------------------------- PostgreSQL messages

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut m = vec![kind];
    m.extend((body.len() as u32 + 4).to_be_bytes());
    m.extend(body);
    m
}

pub fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let mut t = vec![0, 1];
    t.extend(b"val\0");
    t.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1]);
    let mut d = vec![0, 1];
    d.extend((value.len() as u32).to_be_bytes());
    d.extend(value);
    let mut out = message(b'T', &t);
    out.extend(message(b'D', &d));
    out.extend(message(b'C', format!("{tag}\0").as_bytes()));
    out
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// Reads one message with a type; the second value is the time of its first byte.
pub fn read_message(socket: &mut TcpStream) -> Option<(u8, Vec<u8>, f64)> {
    let mut kind = [0];
    socket.read_exact(&mut kind).ok()?;
    let first = ms();
    let mut length = [0; 4];
    socket.read_exact(&mut length).ok()?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).checked_sub(4)?];
    socket.read_exact(&mut body).ok()?;
    Some((kind[0], body, first))
}

fn read_startup(socket: &mut TcpStream) -> Option<()> {
    let mut length = [0; 4];
    socket.read_exact(&mut length).ok()?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).checked_sub(4)?];
    socket.read_exact(&mut body).ok()
}

/// A value of a statement's comment.
pub fn field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = &statement[statement.rfind("/*")? + 2..statement.rfind("*/")?];
    comment.split(',').find_map(|part| part.trim().strip_prefix(name)?.strip_prefix('='))
}

pub fn key(statement: &str) -> String {
    statement.split('\'').nth(1).unwrap_or_default().to_owned()
}

pub fn is_write(statement: &str) -> bool {
    statement.starts_with("INSERT")
}

pub fn read_statement(id: &str, class: &str, d: u64, key: &str, after: Option<u64>) -> String {
    let after = after.map(|at| format!(",after={at}")).unwrap_or_default();
    format!("SELECT val FROM state WHERE uid = '{key}' /* id={id},c={class},d={d},cluster=0{after} */")
}

pub fn write_statement(id: &str, class: &str, d: u64, key: &str, value: u64) -> String {
    format!(
        "INSERT INTO state (uid, val) VALUES ('{key}', '\\x{value:016x}') RETURNING val \
         /* id={id},c={class},d={d},cluster=0 */"
    )
}

// ---------------------------------------------------------------- database servers

/// What a server does with a statement.
pub enum Reaction {
    /// Sends these bytes.
    Answer(Vec<u8>),
    /// Sends nothing and keeps the connection open until its peer closes it.
    Silence,
    /// Breaks the connection.
    Break,
}

/// The behaviour of a server: what it does with one statement, on the thread of its connection.
pub type Behaviour = Arc<dyn Fn(&Statement) -> Reaction + Send + Sync>;

/// A statement as it arrived.
pub struct Statement {
    pub text: String,
    /// The times of its first and last byte.
    pub first: f64,
    pub last: f64,
}

/// Starts a server and returns its address. An empty query, SET, RESET and DISCARD are answered at once.
pub fn start_server(behaviour: Behaviour) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let behaviour = behaviour.clone();
            std::thread::spawn(move || serve(socket, &behaviour));
        }
    });
    address
}

fn serve(mut socket: TcpStream, behaviour: &Behaviour) -> Option<()> {
    let _ = socket.set_nodelay(true);
    read_startup(&mut socket)?;
    let mut hello = message(b'R', &[0; 4]);
    hello.extend(ready());
    socket.write_all(&hello).ok()?;
    loop {
        let (kind, body, first) = read_message(&mut socket)?;
        if kind != b'Q' {
            return None;
        }
        let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_owned();
        if text.trim().is_empty() {
            let mut reply = message(b'I', &[]);
            reply.extend(ready());
            socket.write_all(&reply).ok()?;
            continue;
        }
        let statement = Statement { text, first, last: ms() };
        match behaviour(&statement) {
            Reaction::Answer(bytes) => socket.write_all(&bytes).ok()?,
            Reaction::Silence => {
                let mut byte = [0];
                let _ = socket.read(&mut byte);
                return None;
            }
            Reaction::Break => {
                let _ = socket.shutdown(Shutdown::Both);
                return None;
            }
        }
    }
}

/// The end of a sound answer: role, position and ReadyForQuery.
pub fn state_of(leader: bool, position_ms: Option<u64>) -> Vec<u8> {
    let mut out = parameter("node_role", if leader { "leader" } else { "follower" });
    if let Some(position) = position_ms {
        out.extend(parameter("replay_position", &position.to_string()));
    }
    out.extend(ready());
    out
}

pub fn load_report(leader: bool, position_ms: u64) -> Vec<u8> {
    let report = format!("x0={}.{:03},x1={}", position_ms / 1000, position_ms % 1000, u8::from(leader));
    let mut out = row(report.as_bytes(), "SELECT 1");
    out.extend(ready());
    out
}

// ---------------------------------------------------------------- the list service

#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub cell: u32,
    pub phase: &'static str,
    pub leader: bool,
    pub up_since_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"room\",\"flavor\":\"m\",\"cell\":{},\"phase\":\"{}\",\
             \"size\":1.0,\"up_since_ms\":{},\"role\":\"{}\"}}",
            self.id,
            self.address,
            self.cell,
            self.phase,
            self.up_since_ms,
            if self.leader { "leader" } else { "follower" }
        )
    }
}

fn list_json(revision: u64, complete: bool, entries: &[Entry]) -> String {
    let members: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

struct List {
    revision: u64,
    entries: Vec<Entry>,
    watches: Vec<TcpStream>,
}

/// The list service, with pushed changes.
#[derive(Clone)]
pub struct ListService {
    list: Arc<Mutex<List>>,
    pub address: SocketAddr,
}

impl ListService {
    pub fn start(entries: Vec<Entry>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let list = Arc::new(Mutex::new(List { revision: 1, entries, watches: Vec::new() }));
        let service = ListService { list, address };
        let serving = service.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(socket));
            }
        });
        let beating = service.clone();
        std::thread::spawn(move || loop {
            sleep_ms(2_000.0);
            lock(&beating.list).watches.retain_mut(|w| w.write_all(b"1\r\n\n\r\n").is_ok());
        });
        service
    }

    fn serve(&self, mut socket: TcpStream) -> Option<()> {
        let _ = socket.set_nodelay(true);
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            socket.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut list = lock(&self.list);
        let body = list_json(list.revision, true, &list.entries);
        if head.contains("watch=1") {
            let text = format!("{body}\n");
            let start = format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{text}\r\n",
                text.len()
            );
            socket.write_all(start.as_bytes()).ok()?;
            list.watches.push(socket);
        } else {
            let answer =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            socket.write_all(answer.as_bytes()).ok()?;
        }
        Some(())
    }

    /// Changes an entry and writes it to all open watches. Returns when it has been written.
    pub fn change(&self, id: &str, change: impl FnOnce(&mut Entry)) -> f64 {
        let mut list = lock(&self.list);
        list.revision += 1;
        let revision = list.revision;
        let entry = list.entries.iter_mut().find(|entry| entry.id == id).expect("a listed server");
        change(entry);
        let text = format!("{}\n", list_json(revision, false, &[entry.clone()]));
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        list.watches.retain_mut(|watch| watch.write_all(chunk.as_bytes()).is_ok());
        ms()
    }

    pub fn known(&self) -> String {
        let list = lock(&self.list);
        list_json(list.revision, true, &list.entries)
    }
}

// ---------------------------------------------------------------- gateways, as the platform starts them

/// The root of the repository: the folder above `review`.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".into()))
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with("run")).expect("the command run");
    line.split('"').nth(1).expect("the command run").to_owned()
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    arguments: String,
    child: Option<Child>,
    /// Kills the gateway and removes the folder if this program ends in whatever way: the end of its input tells it.
    guard: Option<Child>,
    folder: PathBuf,
}

impl Gateway {
    /// Writes a gateway's document; `document` has its fields after `name` and `listen`.
    pub fn new(folder: &Path, name: &str, document: &str, arguments: &str) -> Self {
        let address = free_address();
        let config = folder.join(format!("{name}.json"));
        let text = format!("{{\"name\":\"{name}\",\"listen\":\"{address}\",{document}}}");
        std::fs::write(&config, text).expect("a file in the temporary folder");
        Gateway {
            name: name.into(),
            address,
            config,
            log: folder.join(format!("{name}.log")),
            arguments: arguments.into(),
            child: None,
            guard: None,
            folder: folder.into(),
        }
    }

    pub fn start(&mut self) -> bool {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let command = format!("{} {}", run_command(), self.arguments);
        let child = Command::new("/bin/sh")
            .args(["-c", command.trim()])
            .current_dir(root())
            .env("ROUTER_CONFIG", &self.config)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        self.child = child.ok();
        if let Some(child) = &self.child {
            let text = format!("read -r _; kill -KILL {} 2>/dev/null; rm -rf '{}'", child.id(), self.folder.display());
            let guard = Command::new("/bin/sh")
                .args(["-c", &text])
                .stdin(Stdio::piped())
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .spawn();
            self.guard = guard.ok();
        }
        let until = ms() + 10_000.0;
        while self.child.is_some() && ms() < until {
            if let Some(mut client) = Client::connect(self.address) {
                if client.is_ready() {
                    return true;
                }
            }
            sleep_ms(20.0);
        }
        false
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", child.id())]).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            if let Some(mut guard) = self.guard.take() {
                let _ = guard.kill();
                let _ = guard.wait();
            }
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- clients

#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused(String),
    Failed(String),
    /// The connection ended without a whole answer.
    Ended,
    /// No answer in the time that the client waits.
    None,
}

fn error_answer(code: String) -> Answer {
    match code.as_str() {
        "53300" | "57P03" => Answer::Refused(code),
        _ => Answer::Failed(code),
    }
}

/// The startup message of a client.
pub fn startup() -> Vec<u8> {
    let body = b"user\0client\0database\0core\0\0";
    let mut startup = (body.len() as u32 + 8).to_be_bytes().to_vec();
    startup.extend([0, 3, 0, 0]);
    startup.extend(body);
    startup
}

/// The message of a statement.
pub fn query(statement: &str) -> Vec<u8> {
    let mut body = statement.as_bytes().to_vec();
    body.push(0);
    message(b'Q', &body)
}

/// A bad client: connects, sends these bytes and stays. It reads what it is sent and leaves when the gateway ends the
/// connection. Returns after how many milliseconds that was; `None`: not within `stay` milliseconds.
pub fn stall(address: SocketAddr, bytes: &[u8], stay: f64) -> Option<f64> {
    let began = ms();
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(3)).ok()?;
    let _ = socket.set_write_timeout(Some(Duration::from_millis(200)));
    let _ = socket.write_all(bytes);
    let mut buffer = [0; 4096];
    loop {
        let left = began + stay - ms();
        if left <= 0.0 {
            return None;
        }
        let _ = socket.set_read_timeout(Some(Duration::from_secs_f64(left.max(1.0) / 1e3)));
        match socket.read(&mut buffer) {
            Ok(0) => return Some(ms() - began),
            Ok(_) => {}
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return Some(ms() - began),
        }
    }
}

pub struct Client {
    pub socket: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Self> {
        let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        let _ = socket.set_nodelay(true);
        socket.write_all(&startup()).ok()?;
        let _ = socket.set_read_timeout(Some(Duration::from_secs(2)));
        loop {
            if read_message(&mut socket)?.0 == b'Z' {
                return Some(Client { socket });
            }
        }
    }

    fn is_ready(&mut self) -> bool {
        let _ = self.socket.set_read_timeout(Some(Duration::from_secs(2)));
        if self.send("").is_none() {
            return false;
        }
        let answered = read_message(&mut self.socket).is_some_and(|m| m.0 == b'I');
        answered && read_message(&mut self.socket).is_some_and(|m| m.0 == b'Z')
    }

    pub fn send(&mut self, statement: &str) -> Option<()> {
        self.socket.write_all(&query(statement)).ok()
    }

    /// Waits for one answer, `wait` milliseconds at most.
    pub fn answer(&mut self, wait: f64) -> Answer {
        let _ = self.socket.set_read_timeout(Some(Duration::from_secs_f64(wait.max(1.0) / 1e3)));
        let mut value = None;
        let mut failure = None;
        let until = ms() + wait;
        loop {
            let Some((kind, body, _)) = read_message(&mut self.socket) else {
                return match failure {
                    // A fatal error does not need ReadyForQuery.
                    Some(code) => error_answer(code),
                    None if ms() >= until - 5.0 => Answer::None,
                    None => Answer::Ended,
                };
            };
            match kind {
                b'D' => value = body.get(6..).map(<[u8]>::to_vec),
                b'E' => {
                    let fields = body.split(|byte| *byte == 0);
                    let code = fields.filter_map(|f| f.strip_prefix(b"C")).next().unwrap_or_default();
                    failure = Some(String::from_utf8_lossy(code).into_owned());
                }
                b'Z' => {
                    return match (failure, value) {
                        (Some(code), _) => error_answer(code),
                        (None, Some(value)) => Answer::Served(value),
                        (None, None) => Answer::Failed("no row".into()),
                    }
                }
                _ => {}
            }
        }
    }

    pub fn ask(&mut self, statement: &str, wait: f64) -> Answer {
        if self.send(statement).is_none() {
            return Answer::Ended;
        }
        self.answer(wait)
    }
}

// ---------------------------------------------------------------- settings

/// A class of the settings: name, effect (`retryable`, `dedup`, `fragile`), need, staleness bound, aim and deadline (ms),
/// window of repeats (ms), share of the worth when late.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub need: &'static str,
    pub bound_ms: u64,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub window_ms: u64,
    pub late_worth: f64,
    pub worth: f64,
}

/// What differs between sites.
pub struct Site {
    pub classes: Vec<Class>,
    pub behind: &'static str,
    pub wait_ms: u64,
    pub role_listed: &'static str,
    pub marks: &'static str,
    pub commit_waits: bool,
    pub report: &'static str,
    pub membership: &'static str,
    pub max_attempts: u32,
    pub second_copies: bool,
    pub retry_after: bool,
    pub idle_ms: u64,
    pub grace_ms: u64,
    pub only_draining: bool,
    pub start_capacity: f64,
    pub warm_ms: u64,
    pub fall_multiple: f64,
    pub fall_ms: u64,
    pub gateways: usize,
    /// The limits on memory (MiB) and descriptors.
    pub memory_mb: usize,
    pub sockets: usize,
}

const MS_NS: u64 = 1_000_000;

impl Site {
    fn settings(&self, me: usize) -> String {
        let join = |items: Vec<String>| items.join(",");
        let classes = join(
            self.classes
                .iter()
                .map(|c| {
                    format!(
                        "{{\"Name\":\"{}\",\"Effect\":\"{}\",\"Group\":\"cell\",\"AimNs\":{},\"DeadlineNs\":{},\
                         \"DedupWindowNs\":{},\"LateWorth\":{:?},\"Worth\":{:?},\"Stream\":false}}",
                        c.name,
                        c.effect,
                        c.aim_ms * MS_NS,
                        c.deadline_ms * MS_NS,
                        c.window_ms * MS_NS,
                        c.late_worth,
                        c.worth
                    )
                })
                .collect(),
        );
        let needs = join(self.classes.iter().map(|c| format!("\"{}\"", c.need)).collect());
        let bounds = join(self.classes.iter().map(|c| (c.bound_ms * MS_NS).to_string()).collect());
        format!(
            "{{\"Classes\":[{classes}],\"Clients\":{{\"MarksRetry\":false}},\
             \"Domain\":{{\"Behind\":\"{behind}\",\"CatchUpWaitNs\":{wait},\"CommitWaits\":{commit},\"CountedFromNs\":0,\
             \"NeedsByClass\":[{needs}],\"RoleListed\":\"{role}\",\"SessionMarks\":\"{marks}\",\
             \"StalenessBoundNs\":[{bounds}],\"Stamps\":true}},\
             \"FleetSize\":{size},\"Me\":{me},\"Zone\":0,\"Zones\":[\"room\"],\"KindOfService\":\"replicas\",\
             \"Kinds\":[\"m\"],\"Layers\":[\"db\"],\"MembershipMode\":\"{membership}\",\"QuantumNs\":5000000,\
             \"Limits\":{{\"Cancel\":true,\"ConnIdleNs\":{idle},\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":400000,\
             \"DialTimeoutNs\":250000000,\"MaxAttempts\":{attempts},\"MaxOpen\":20000,\"MaxRetryAfterNs\":1000000000,\
             \"MayTell\":false,\"Probes\":true,\"RetryAfter\":{retry_after},\"SecondCopies\":{copies},\"StreamsPerConn\":1}},\
             \"Obligations\":{{\"AnswerSlackNs\":20000000,\"FallMultiple\":{multiple:?},\"FallNs\":{fall},\
             \"MustAskInNs\":10000000000,\"OnlyDrainingBinds\":{only},\"StartCapacity\":{capacity:?},\
             \"StopSendingWithinNs\":{grace},\"WarmWithinNs\":{warm}}},\
             \"Prices\":{{\"Connection\":0.0,\"CrossZone\":0.0,\"Handshake\":0.0,\"LateFail\":0.05,\"MembershipMode\":0.0,\
             \"Moves\":0.0,\"Origin\":0.0,\"Peer\":0.0,\"Probe\":0.03,\"Waste\":0.05}},\
             \"Stats\":{{\"Fields\":[\"x0\",\"x1\"],\"How\":\"{stats}\"}},\"Tenants\":[],\"Tier\":0,\
             \"ValueBy\":\"request\",\"Weights\":\"nominal\",\
             \"Goal\":{{\"Whole\":0.55,\"WorstClass\":0.2,\"WorstTenant\":0.0,\"WorstWindow\":0.25}},\"OverShareWorth\":0.1}}",
            behind = self.behind,
            wait = self.wait_ms * MS_NS,
            commit = self.commit_waits,
            role = self.role_listed,
            marks = self.marks,
            size = self.gateways,
            membership = self.membership,
            idle = self.idle_ms * MS_NS,
            attempts = self.max_attempts,
            stats = self.report,
            retry_after = self.retry_after,
            copies = self.second_copies,
            multiple = self.fall_multiple,
            fall = self.fall_ms * MS_NS,
            only = self.only_draining,
            capacity = self.start_capacity,
            grace = self.grace_ms * MS_NS,
            warm = self.warm_ms * MS_NS,
        )
    }

    /// The settings of midlands-depots, with this many gateways.
    pub fn midlands(gateways: usize) -> Self {
        let class = |name, effect, need, bound_ms, aim_ms, deadline_ms, late_worth, worth| Class {
            name, effect, need, bound_ms, aim_ms, deadline_ms, window_ms: 0, late_worth, worth,
        };
        Site {
            classes: vec![
                class("stock-check", "retryable", "recent", 500, 300, 750, 0.0, 1.0),
                class("my-order-view", "retryable", "own_writes", 0, 200, 800, 0.0, 1.0),
                class("place-order", "fragile", "update", 0, 500, 3000, 0.7, 3.0),
            ],
            behind: "silent", wait_ms: 0, role_listed: "delayed", marks: "client", commit_waits: true,
            report: "piggyback", membership: "automatic", max_attempts: 10, second_copies: false, retry_after: true,
            idle_ms: 30_000, grace_ms: 1000, only_draining: false, start_capacity: 0.25, warm_ms: 16_000,
            fall_multiple: 4.0, fall_ms: 1500, gateways, memory_mb: 192, sockets: 1024,
        }
    }

    /// The fields of a gateway's document after `name` and `listen`.
    pub fn document(&self, me: usize, list: &ListService, known: Option<String>) -> String {
        format!(
            "\"discovery\":\"{}\",\"seed\":\"{:x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\
             \"known\":{},\"settings\":{}",
            list.address,
            0x8c1f30d27a5be964u64 ^ unix_ms() ^ me as u64,
            self.memory_mb,
            self.sockets,
            known.unwrap_or_else(|| "null".into()),
            self.settings(me)
        )
    }
}

/// A folder of its own below the system's temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Ids that no other request has.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, SeqCst))
}

/// Ends this program with an error after this time, so that no run takes longer. The guards end the gateways.
pub fn limit_time(seconds: u64) {
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(seconds));
        eprintln!("the time limit is over");
        std::process::exit(i32::from(COULD_NOT_RUN));
    });
}

pub type Flags = Arc<HashMap<&'static str, AtomicBool>>;
