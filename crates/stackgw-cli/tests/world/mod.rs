//! The binary on loopback between small stand-ins of clients, members and the list's agent. Every wait is for an event and
//! bounded.
#![allow(dead_code)]

#[path = "../../../stackgw-gateway/tests/common/mod.rs"]
pub mod common;

pub use common::*;
pub use stackgw_gateway::pg::{code, Frame, Frames};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const WAIT: Duration = Duration::from_secs(20);

/// One end of a PostgreSQL connection.
pub struct Wire {
    pub socket: TcpStream,
    pub frames: Frames,
}

impl Wire {
    pub fn new(socket: TcpStream, client_side: bool) -> Self {
        socket.set_read_timeout(Some(WAIT)).expect("a time-out");
        let frames = if client_side { Frames::typed(1 << 20) } else { Frames::client(1 << 16, 1 << 20) };
        Wire { socket, frames }
    }

    pub fn next(&mut self) -> Option<Frame> {
        let mut buffer = [0; 4096];
        loop {
            if let Some(frame) = self.frames.next_frame() {
                return frame.ok();
            }
            match self.socket.read(&mut buffer) {
                Ok(n) if n > 0 => self.frames.feed(&buffer[..n]),
                // Danger: taken for the end, it would fail a test now and then.
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Ok(_) | Err(_) => return None,
            }
        }
    }

    pub fn write(&mut self, frames: &[Frame]) {
        let bytes: Vec<u8> = frames.iter().flat_map(|f| f.bytes.clone()).collect();
        let _ = self.socket.write_all(&bytes);
    }

    /// Everything up to ReadyForQuery.
    pub fn answer(&mut self) -> Vec<Frame> {
        let mut answer = Vec::new();
        while let Some(frame) = self.next() {
            answer.push(frame);
            if answer.last().is_some_and(|f| f.kind == b'Z') {
                break;
            }
        }
        answer
    }
}

/// A member that answers each statement with its key; `slow` waits for a word of the test first.
pub fn member(primary: bool, seen: Sender<String>, go: Receiver<()>) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = listener.local_addr().expect("an address").port();
    let go = Arc::new(Mutex::new(go));
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (seen, go) = (seen.clone(), go.clone());
            std::thread::spawn(move || serve(Wire::new(socket, false), primary, &seen, &go));
        }
    });
    port
}

pub fn serve(mut wire: Wire, primary: bool, seen: &Sender<String>, go: &Mutex<Receiver<()>>) {
    while let Some(frame) = wire.next() {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        if frame.kind == 0 {
            assert_eq!(frame.code(), Some(code::VERSION_3));
            wire.write(&[message(b'R', &[0; 4]), status("server_version", "16"), ready()]);
            continue;
        }
        let text = String::from_utf8_lossy(frame.body()).trim_end_matches('\0').to_owned();
        if text == "SHOW server_load" {
            let report = format!("x0={}.{:03},x1={}", now / 1000, now % 1000, u8::from(primary));
            wire.write(&[row(report.as_bytes()), vec![ready()]].concat());
            continue;
        }
        let write = text.starts_with("INSERT");
        let key = text.split('\'').nth(1).unwrap_or_default().to_owned();
        let _ = seen.send(text);
        if key == "slow" {
            let _ = go.lock().map(|go| go.recv_timeout(WAIT));
        }
        let role = status("node_role", if primary { "leader" } else { "follower" });
        let tail = vec![role, status("replay_position", &now.to_string()), ready()];
        let head = if write && !primary { vec![error("25006")] } else { row(key.as_bytes()) };
        match key.split_once('-') {
            // Good, but another copy comes right behind it.
            Some(("twice", _)) => wire.write(&[head.clone(), tail.clone(), head, tail].concat()),
            // A value as large as members may hold.
            Some(("big", size)) => {
                let value = vec![b'v'; size.parse().expect("a size")];
                wire.write(&[row(&value), tail].concat());
            }
            // Spoilt the first time that this key is asked for.
            Some(("spoilt", kind)) if SPOILT.lock().expect("no panic").insert(key.clone()) => {
                let mut bytes: Vec<u8> = row(key.as_bytes()).into_iter().flat_map(|f| f.bytes).collect();
                match kind {
                    "noise" => bytes = (0..2000u32).map(|n| (n * 7 + 200) as u8).collect(),
                    "huge" => {
                        bytes = [&bytes[..40], &b"D\xb2\xd0\x5e\x00\0\x01\xb2\xd0\x5d\xf6"[..]].concat()
                    }
                    "short" => bytes.truncate(bytes.len() - 3),
                    _ => bytes.extend_from_slice(b"C\0\0\0\x06\xff\0"),
                }
                let _ = wire.socket.write_all(&bytes);
            }
            _ => wire.write(&[head, tail].concat()),
        }
    }
}

/// Keys whose answer has been spoilt once.
pub static SPOILT: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

/// An agent whose watch sends one list and then stays open.
pub fn agent(list: String) -> SocketAddr {
    let (told, _) = channel();
    agent_that_tells(list, told)
}

/// One whose watch goes on with what it is told.
pub fn agent_with_news(list: String, news: Receiver<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let Ok((mut socket, _)) = listener.accept() else { return };
        let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for list in std::iter::once(list).chain(news) {
            let body = format!("{list}\n");
            let _ = socket.write_all(format!("{:x}\r\n{body}\r\n", body.len()).as_bytes());
        }
    });
    address
}

/// One that passes on the first line of each request that it gets.
pub fn agent_that_tells(list: String, told: Sender<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for mut socket in listener.incoming().flatten() {
            let mut line = String::new();
            let _ = BufReader::new(&socket).read_line(&mut line);
            let _ = told.send(line);
            let body = format!("{list}\n");
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let _ = socket.write_all(format!("{head}{:x}\r\n{body}\r\n", body.len()).as_bytes());
            open.push(socket);
        }
    });
    address
}

pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    pub log: Receiver<String>,
    pub config: PathBuf,
}

impl Gateway {
    pub fn start(name: &str, agent: SocketAddr) -> Self {
        let config = std::env::temp_dir().join(format!("stackgw-{}-{name}.json", std::process::id()));
        std::fs::write(&config, config_text("null")).expect("a file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_stackgw"))
            .env("ROUTER_CONFIG", &config)
            .env("ROUTER_LISTEN", "127.0.0.1:0")
            .env("ROUTER_DISCOVERY", agent.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the gateway");
        let (lines, log) = channel();
        let stderr = child.stderr.take().expect("its log");
        std::thread::spawn(move || {
            BufReader::new(stderr).lines().map_while(Result::ok).for_each(|line| drop(lines.send(line)))
        });
        let mut gateway = Gateway { child, address: agent, log, config };
        let line = gateway.line("listening on ");
        let word = line.split("listening on ").nth(1).and_then(|rest| rest.split(',').next());
        gateway.address = word.and_then(|a| a.trim().parse().ok()).expect("its address");
        gateway
    }

    pub fn line(&self, with: &str) -> String {
        loop {
            let line = self.log.recv_timeout(WAIT).unwrap_or_else(|_| panic!("no line with '{with}'"));
            if line.contains(with) {
                return line;
            }
        }
    }

    /// Asks for the counters until one is as wanted.
    pub fn until(&self, counter: &str, wanted: impl Fn(u64) -> bool) {
        let begun = Instant::now();
        loop {
            self.signal("USR1");
            let line = self.line("counters ");
            let value = line.split(' ').find_map(|word| word.strip_prefix(counter)?.strip_prefix('='));
            if wanted(value.and_then(|v| v.parse().ok()).expect("the counter")) {
                return;
            }
            assert!(begun.elapsed() < WAIT, "{counter}: {line}");
        }
    }

    /// Writes the configuration anew, with this address for the list.
    pub fn write_config(&self, agent: SocketAddr) {
        let text = config_text("null").replace("127.0.0.1:8500", &agent.to_string());
        std::fs::write(&self.config, text).expect("a file");
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
    }

    pub fn connect(&self) -> Wire {
        Wire::new(TcpStream::connect(self.address).expect("a connection"), true)
    }

    /// A client whose startup is done.
    pub fn client(&self) -> Wire {
        let mut wire = self.connect();
        wire.write(&[startup()]);
        assert_eq!(wire.answer().last().map(|f| f.kind), Some(b'Z'));
        // Answered only once the gateway can serve.
        wire.write(&[query("")]);
        assert_eq!(kinds(&wire.answer()), "IZ");
        wire
    }

    pub fn ended(&mut self) -> ExitStatus {
        for _ in 0..2000 {
            if let Some(status) = self.child.try_wait().expect("its state") {
                return status;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("the gateway does not end");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let ended = self.child.try_wait();
            eprintln!("the gateway's end: {ended:?}; its log:");
            self.log.try_iter().for_each(|line| eprintln!("  {line}"));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

pub struct World {
    pub gateway: Gateway,
    pub seen: Receiver<String>,
    pub go: Vec<Sender<()>>,
    /// The list's entries, the primary first.
    pub entries: Vec<String>,
}

/// A primary and two replicas; a gateway before them, whose agent is made from their entries.
pub fn world_of(name: &str, agent: impl FnOnce(&[String]) -> SocketAddr) -> World {
    let (told, seen) = channel();
    let (mut go, mut entries) = (Vec::new(), Vec::new());
    for n in 1..=3 {
        let (send, receive) = channel();
        go.push(send);
        let port = member(n == 1, told.clone(), receive);
        let role = if n == 1 { "leader" } else { "follower" };
        entries.push(entry(n, "ready", role).replace(&format!(":{}\"", 7000 + n), &format!(":{port}\"")));
    }
    World { gateway: Gateway::start(name, agent(&entries)), seen, go, entries }
}

/// The same with an agent that lists them all.
pub fn world(name: &str) -> World {
    world_of(name, |entries| agent(list_text(1, true, entries)))
}

pub fn insert(key: &str) -> Frame {
    let comment = format!("/* id={},c=buy,d=20000,cluster=2 */", new_id());
    query(&format!("INSERT INTO state (uid, val) VALUES ('{key}', '\\x9f') RETURNING val {comment}"))
}

pub fn select(key: &str) -> Frame {
    let id = new_id();
    query(&format!("SELECT val FROM state WHERE uid = '{key}' /* id={id},c=look,d=20000,cluster=2 */"))
}

pub fn kinds(answer: &[Frame]) -> String {
    answer.iter().map(|f| char::from(f.kind)).collect()
}
