//! Stand-ins for the review's cases: database servers, the list agent, clients, and the gateway as a process.
//! Standard library only. Everything listens on 127.0.0.1, on ports that the system picks.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds. The stand-ins and the gateway read the same clock.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0
}

pub fn sleep_ms(ms: f64) {
    if ms > 0.0 {
        thread::sleep(Duration::from_secs_f64(ms / 1000.0));
    }
}

/// Sleeps until this Unix time in milliseconds.
pub fn sleep_until(at: f64) {
    sleep_ms(at - unix_ms());
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The case's record: what was sent, answered and run, with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: f64,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt cannot be written");
        Record { file: Arc::new(Mutex::new(file)), start: unix_ms() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = unix_ms() - self.start;
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.1} {}", text.as_ref());
    }

    /// Writes to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

// Messages of PostgreSQL's protocol, version 3.

pub fn message(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

pub fn query_message(sql: &str) -> Vec<u8> {
    let mut out = Vec::new();
    message(&mut out, b'Q', format!("{sql}\0").as_bytes());
    out
}

fn read_exact(stream: &mut TcpStream, bytes: &mut [u8]) -> std::io::Result<()> {
    let mut filled = 0;
    while filled < bytes.len() {
        match stream.read(&mut bytes[filled..]) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => filled += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads one message with a type byte.
pub fn read_message(stream: &mut TcpStream) -> std::io::Result<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    read_exact(stream, &mut header)?;
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    read_exact(stream, &mut body)?;
    Ok((header[0], body))
}

/// The values of a statement's comment, by name, and the quoted key.
#[derive(Debug, Clone, Default)]
pub struct Statement {
    pub text: String,
    pub key: String,
    pub fields: BTreeMap<String, String>,
    pub write: bool,
}

impl Statement {
    pub fn parse(text: &str) -> Self {
        let key = text.split('\'').nth(1).unwrap_or_default().to_owned();
        let comment = text.rsplit("/*").next().unwrap_or_default().trim_end_matches("*/");
        let pairs = comment.split(',').filter_map(|pair| pair.trim().split_once('='));
        Statement {
            key,
            fields: pairs.map(|(name, value)| (name.to_owned(), value.trim().to_owned())).collect(),
            write: text.starts_with("INSERT"),
            text: text.to_owned(),
        }
    }

    pub fn id(&self) -> &str {
        self.fields.get("id").map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> f64 {
        self.fields.get(name).and_then(|value| value.parse().ok()).unwrap_or(0.0)
    }
}

// Database servers.

/// One connection of a gateway to a database server.
pub struct ServerSide {
    pub stream: TcpStream,
    /// Its number among all connections that this server accepted, from 0.
    pub number: usize,
    pub queries: usize,
}

impl ServerSide {
    /// Answers with one row. The role and the position come before ReadyForQuery.
    pub fn row(&mut self, value: &[u8], leader: bool, position: Option<f64>) -> std::io::Result<()> {
        let bytes = row_answer(value, leader, position);
        self.stream.write_all(&bytes)
    }

    pub fn error(&mut self, code: &str, leader: bool, position: Option<f64>) -> std::io::Result<()> {
        let mut out = Vec::new();
        message(&mut out, b'E', format!("SERROR\0VERROR\0C{code}\0Mrefused\0\0").as_bytes());
        add_status(&mut out, leader, position);
        message(&mut out, b'Z', b"I");
        self.stream.write_all(&out)
    }
}

fn add_status(out: &mut Vec<u8>, leader: bool, position: Option<f64>) {
    let role = if leader { "leader" } else { "follower" };
    message(out, b'S', format!("node_role\0{role}\0").as_bytes());
    if let Some(position) = position {
        message(out, b'S', format!("replay_position\0{}\0", position as i64).as_bytes());
    }
}

pub fn row_answer(value: &[u8], leader: bool, position: Option<f64>) -> Vec<u8> {
    let mut out = Vec::new();
    add_row(&mut out, value, 1);
    add_status(&mut out, leader, position);
    message(&mut out, b'Z', b"I");
    out
}

fn add_row(out: &mut Vec<u8>, value: &[u8], format: u8) {
    let mut description = vec![0, 1];
    description.extend(b"val\0");
    description.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, format]);
    message(out, b'T', &description);
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    message(out, b'D', &data);
    message(out, b'C', b"SELECT 1\0");
}

/// What a database server does. The default is a sound one.
pub trait Behaviour: Send + Sync + 'static {
    /// How long the server takes to be ready on a new connection, in milliseconds.
    fn startup_delay(&self, _connection: usize) -> f64 {
        0.0
    }

    /// Role and position that the server has now.
    fn status(&self) -> (bool, f64);

    /// Whether the server answers nothing now.
    fn is_hanging(&self) -> bool {
        false
    }

    /// Answers a client's statement; an error closes the connection.
    fn answer(&self, connection: &mut ServerSide, statement: &Statement) -> std::io::Result<()>;

    /// How long a connection may stand idle, in milliseconds.
    fn idle_limit(&self) -> f64 {
        20_000.0
    }
}

pub struct Server {
    pub name: String,
    pub address: SocketAddr,
}

impl Server {
    pub fn start(name: &str, behaviour: Arc<dyn Behaviour>) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no port");
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { continue };
                let behaviour = behaviour.clone();
                thread::spawn(move || {
                    let side = ServerSide { stream, number, queries: 0 };
                    let _ = serve_gateway(side, &*behaviour);
                });
            }
        });
        Server { name: name.to_owned(), address }
    }
}

fn serve_gateway(mut side: ServerSide, behaviour: &dyn Behaviour) -> std::io::Result<()> {
    side.stream.set_nodelay(true)?;
    let mut length = [0; 4];
    read_exact(&mut side.stream, &mut length)?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)];
    read_exact(&mut side.stream, &mut body)?;
    sleep_ms(behaviour.startup_delay(side.number));
    let mut out = Vec::new();
    message(&mut out, b'R', &0u32.to_be_bytes());
    message(&mut out, b'K', &[0, 0, 0, 1, 0, 0, 0, 1]);
    message(&mut out, b'Z', b"I");
    side.stream.write_all(&out)?;
    loop {
        side.stream.set_read_timeout(Some(Duration::from_secs_f64(behaviour.idle_limit() / 1000.0)))?;
        let (kind, body) = read_message(&mut side.stream)?;
        if kind != b'Q' {
            return Ok(());
        }
        while behaviour.is_hanging() {
            sleep_ms(5.0);
        }
        let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_owned();
        side.queries += 1;
        if text == "SHOW server_load" {
            let (leader, position) = behaviour.status();
            let report = format!("x0={:.3},x1={}", (position as i64) as f64 / 1000.0, u8::from(leader));
            let mut out = Vec::new();
            add_row(&mut out, report.as_bytes(), 0);
            add_status(&mut out, leader, None);
            message(&mut out, b'Z', b"I");
            side.stream.write_all(&out)?;
        } else {
            behaviour.answer(&mut side, &Statement::parse(&text))?;
        }
    }
}

// The list of database servers.

#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub cell: u32,
    pub phase: &'static str,
    pub up_since_ms: i64,
    pub leader: bool,
}

impl Entry {
    pub fn new(server: &Server, cell: u32, leader: bool) -> Entry {
        Entry {
            id: server.name.clone(),
            address: server.address,
            cell,
            phase: "ready",
            up_since_ms: 0,
            leader,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"room","flavor":"m","cell":{},"phase":"{}","size":1.0,"up_since_ms":{},"role":"{}"}}"#,
            self.id, self.address, self.cell, self.phase, self.up_since_ms,
            if self.leader { "leader" } else { "follower" }
        )
    }
}

struct List {
    revision: u64,
    entries: Vec<Entry>,
    /// Each change with its revision.
    changes: Vec<(u64, Entry)>,
}

/// The agent of discovery on the gateway's machine. It answers at once with what it has been sent.
#[derive(Clone)]
pub struct Agent {
    list: Arc<(Mutex<List>, Condvar)>,
    pub address: SocketAddr,
}

impl Agent {
    pub fn start(entries: Vec<Entry>) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no port");
        let address = listener.local_addr().unwrap();
        let list = List { revision: 1, entries, changes: Vec::new() };
        let agent = Agent { list: Arc::new((Mutex::new(list), Condvar::new())), address };
        let serving = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || {
                    let _ = agent.serve(stream);
                });
            }
        });
        agent
    }

    /// Changes one entry and returns when the agent has written it to all watches, at the latest some milliseconds later.
    pub fn change(&self, id: &str, change: impl FnOnce(&mut Entry)) {
        let (list, changed) = &*self.list;
        let mut list = list.lock().unwrap();
        list.revision += 1;
        let revision = list.revision;
        let entry = list.entries.iter_mut().find(|entry| entry.id == id).expect("unknown id");
        change(entry);
        let entry = entry.clone();
        list.changes.push((revision, entry));
        changed.notify_all();
    }

    pub fn document(&self) -> String {
        let list = self.list.0.lock().unwrap();
        let entries: Vec<_> = list.entries.iter().map(Entry::json).collect();
        format!(r#"{{"revision":{},"complete":true,"members":[{}]}}"#, list.revision, entries.join(","))
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut request = Vec::new();
        let mut buffer = [0; 1024];
        while !request.windows(4).any(|window| window == b"\r\n\r\n") {
            match stream.read(&mut buffer)? {
                0 => return Ok(()),
                count => request.extend(&buffer[..count]),
            }
        }
        let request = String::from_utf8_lossy(&request).into_owned();
        let path = request.split(' ').nth(1).unwrap_or_default().to_owned();
        if !path.contains("watch=1") {
            let body = self.document();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
            return stream.write_all((head + &body).as_bytes());
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut known = {
            let document = self.document();
            let revision = self.list.0.lock().unwrap().revision;
            chunk(&mut stream, &(document + "\n"))?;
            revision
        };
        loop {
            let lines: Vec<String> = {
                let (list, changed) = &*self.list;
                let list = list.lock().unwrap();
                let (list, _) = changed
                    .wait_timeout_while(list, Duration::from_secs(2), |list| list.revision == known)
                    .unwrap();
                let new = list.changes.iter().filter(|(revision, _)| *revision > known);
                let lines = new.map(|(revision, entry)| {
                    format!(r#"{{"revision":{revision},"complete":false,"members":[{}]}}"#, entry.json()) + "\n"
                });
                let lines = lines.collect();
                known = list.revision;
                lines
            };
            if lines.is_empty() {
                chunk(&mut stream, "\n")?;
            }
            for line in lines {
                chunk(&mut stream, &line)?;
            }
        }
    }
}

fn chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

// Clients.

/// The answer to one request, as its client sees it.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    /// 53300 or 57P03.
    Refused(String),
    /// Any other error.
    Failed(String),
    /// The connection ended with no whole answer.
    Closed,
    /// Nothing within the time that the client waited.
    Nothing,
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let mut client = Client::connect_unread(address)?;
        client.stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        while read_message(&mut client.stream)?.0 != b'Z' {}
        Ok(client)
    }

    /// Connects and writes the startup message.
    pub fn connect_unread(address: SocketAddr) -> std::io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let body = b"user\0client\0database\0core\0\0";
        let mut startup = (body.len() as u32 + 8).to_be_bytes().to_vec();
        startup.extend(196_608u32.to_be_bytes());
        startup.extend(body);
        stream.write_all(&startup)?;
        Ok(Client { stream })
    }

    pub fn send(&mut self, sql: &str) -> std::io::Result<()> {
        self.stream.write_all(&query_message(sql))
    }

    /// Reads the next answer; waits for at most this long.
    pub fn answer(&mut self, wait_ms: f64) -> Answer {
        let until = Instant::now() + Duration::from_secs_f64(wait_ms.max(1.0) / 1000.0);
        let mut answer = None;
        loop {
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let _ = self.stream.set_read_timeout(Some(left));
            match read_message(&mut self.stream) {
                Ok((b'D', body)) => answer = Some(Answer::Served(body.get(6..).unwrap_or_default().to_vec())),
                Ok((b'E', body)) => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let field = |name| text.split('\0').find_map(|field| field.strip_prefix(name)).unwrap_or_default().to_owned();
                    let (code, severity): (String, String) = (field('C'), field('S'));
                    let error = match code.as_str() {
                        "53300" | "57P03" => Answer::Refused(code),
                        _ => Answer::Failed(code),
                    };
                    if severity == "FATAL" {
                        return error;
                    }
                    answer = Some(error);
                }
                Ok((b'I', _)) => answer = Some(Answer::Served(Vec::new())),
                Ok((b'Z', _)) => return answer.unwrap_or(Answer::Closed),
                Ok(_) => {}
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Answer::Nothing,
                Err(_) => return Answer::Closed,
            }
        }
    }
}

pub fn read_statement(key: &str, id: &str, class: &str, d: u64, cell: u32, more: &str) -> String {
    format!("SELECT val FROM state WHERE uid = '{key}' /* id={id},c={class},d={d},cluster={cell}{more} */")
}

pub fn write_statement(key: &str, hex: &str, id: &str, class: &str, d: u64, cell: u32, more: &str) -> String {
    format!(r"INSERT INTO state (uid, val) VALUES ('{key}', '\x{hex}') RETURNING val /* id={id},c={class},d={d},cluster={cell}{more} */")
}

// The gateway.

/// A class of the settings.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub group: &'static str,
    pub need: &'static str,
    pub bound_ms: u64,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub window_ms: u64,
    pub worth: f64,
    pub late_worth: f64,
}

/// The settings of a small deployment. The figures that are not named here are those of the pages' example.
pub struct Settings {
    pub classes: Vec<Class>,
    pub fleet: u32,
    pub grace_ms: u64,
    pub session_marks: &'static str,
    pub report: &'static str,
    pub behind: &'static str,
    pub max_attempts: u32,
    pub second_copies: bool,
    pub more_obligations: &'static str,
    pub memory_mb: u32,
    pub sockets: u32,
}

impl Settings {
    fn json(&self) -> String {
        let ns = |ms: u64| ms * 1_000_000;
        let classes: Vec<_> = self.classes.iter().map(|c| format!(
            r#"{{"Name":"{}","Effect":"{}","Group":"{}","AimNs":{},"DeadlineNs":{},"DedupWindowNs":{},"LateWorth":{},"Worth":{},"Stream":false}}"#,
            c.name, c.effect, c.group, ns(c.aim_ms), ns(c.deadline_ms), ns(c.window_ms), c.late_worth, c.worth)).collect();
        let needs: Vec<_> = self.classes.iter().map(|c| format!(r#""{}""#, c.need)).collect();
        let bounds: Vec<_> = self.classes.iter().map(|c| ns(c.bound_ms).to_string()).collect();
        format!(
            r#"{{"Classes":[{}],"Clients":{{"MarksRetry":false}},
"Domain":{{"Behind":"{}","CatchUpWaitNs":0,"CommitWaits":true,"CountedFromNs":0,"NeedsByClass":[{}],"Notes":"","ReportX0":"","ReportX1":"","RoleListed":"delayed","SessionMarks":"{}","StalenessBoundNs":[{}],"Stamps":true}},
"FleetSize":{},"Goal":{{"Whole":0.55,"WorstClass":0.2,"WorstTenant":0.0,"WorstWindow":0.25}},"KindOfService":"replicas","Kinds":["m"],"Layers":["db"],
"Limits":{{"Cancel":true,"ConnIdleNs":30000000000,"CpuUsPerRequest":0.0,"CpuUsPerS":400000,"DialTimeoutNs":250000000,"MaxAttempts":{},"MaxOpen":20000,"MaxRetryAfterNs":1000000000,"MayTell":false,"Probes":true,"RetryAfter":true,"SecondCopies":{},"StreamsPerConn":1}},
"Me":0,"MembershipMode":"automatic",
"Obligations":{{"AnswerSlackNs":50000000,"FallMultiple":4.0,"FallNs":1500000000,"MustAskInNs":10000000000,"StartCapacity":0.25,"StopSendingWithinNs":{},"WarmWithinNs":16000000000{}}},
"OverShareWorth":0.1,"Prices":{{"Connection":0.0,"CrossZone":0.0,"Handshake":0.0,"LateFail":0.099,"MembershipMode":0.0,"Moves":0.0,"Origin":0.0,"Peer":0.012,"Probe":0.051,"Waste":0.038}},
"QuantumNs":5000000,"Stats":{{"Fields":["x0","x1"],"How":"{}"}},"Tenants":[],"Tier":0,"ValueBy":"request","Weights":"nominal","Zone":0,"Zones":["room"]}}"#,
            classes.join(","), self.behind, needs.join(","), self.session_marks, bounds.join(","), self.fleet,
            self.max_attempts, self.second_copies, ns(self.grace_ms), self.more_obligations, self.report
        )
    }
}

pub struct Gateway {
    child: Child,
    pub address: SocketAddr,
    pub folder: PathBuf,
    pub log: PathBuf,
}

/// The gateways' process ids and folders, for the end of a case that takes too long.
static STARTED: Mutex<Vec<(u32, PathBuf)>> = Mutex::new(Vec::new());

/// Ends the case, and the gateways that it started, as "not run" if it takes longer than this.
pub fn limit_run_time(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        println!("the case took longer than {seconds} s");
        for (id, folder) in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
            let _ = std::fs::remove_dir_all(folder);
        }
        std::process::exit(NOT_RUN);
    });
}

impl Drop for Gateway {
    fn drop(&mut self) {
        STARTED.lock().unwrap().retain(|(id, _)| *id != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Gateway {
    /// Starts the program with the deploy file's `run`, from the repository's root, and waits until it answers an empty query.
    pub fn start(name: &str, settings: &Settings, agent: &Agent) -> Option<Gateway> {
        let root = PathBuf::from(std::env::var("ROOT").expect("ROOT"));
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "))?.split('"').nth(1)?.to_owned();
        let folder = std::env::temp_dir().join(format!("stackgw-review-{}-{name}", std::process::id()));
        std::fs::create_dir_all(folder.join("tmp")).ok()?;
        let address = TcpListener::bind("127.0.0.1:0").ok()?.local_addr().ok()?;
        let document = format!(
            r#"{{"name":"{name}","listen":"{address}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{}}}"#,
            agent.address, settings.memory_mb, settings.sockets, agent.document(), settings.json()
        );
        let config = folder.join("config.json");
        std::fs::write(&config, document).ok()?;
        let log = folder.join("log");
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(&root)
            .env("ROUTER_NAME", name)
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", agent.address.to_string())
            .env("ROUTER_CONFIG", &config)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log).ok()?)
            .spawn()
            .ok()?;
        STARTED.lock().unwrap().push((child.id(), folder.clone()));
        let gateway = Gateway { child, address, folder, log };
        for _ in 0..200 {
            if let Ok(mut client) = Client::connect(address) {
                let _ = client.send("");
                if client.answer(1000.0) == Answer::Served(Vec::new()) {
                    return Some(gateway);
                }
            }
            sleep_ms(50.0);
        }
        None
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
    }

    /// The exit code if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// A line of the process's status, such as VmHWM, the most memory that it has held.
    pub fn status_line(&self, name: &str) -> String {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        status.lines().find(|line| line.starts_with(name)).unwrap_or_default().to_owned()
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// A small generator of numbers in 0..1, from a fixed seed.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / (1u64 << 31) as f64
    }
}
