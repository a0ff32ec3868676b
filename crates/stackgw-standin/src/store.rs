//! A group of a replicated store: a primary, replicas that apply its log late, and the agent that lists them. Threads, one a
//! connection; only what is committed and has reached a replica is seen there.

use stackgw_gateway::pg::{code, write, Frame, Frames, Statement};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The group's number.
pub const GROUP: u32 = 2;

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// What ran.
#[derive(Debug, Default, Clone)]
pub struct Audit {
    /// Executions of each write, by its request's id.
    pub writes: HashMap<String, u32>,
    /// Reads that the primary ran, and those that replicas ran.
    pub reads: [u64; 2],
}

/// One member's state, changed by the trial while it runs.
#[derive(Debug, Default)]
pub struct Member {
    /// How far it is behind, in milliseconds; the primary never is.
    pub lag_ms: AtomicU64,
    /// Each answer takes this much longer, in milliseconds.
    pub slow_ms: AtomicU64,
    /// It takes requests and answers none.
    pub silent: AtomicBool,
    primary: bool,
}

#[derive(Default)]
struct Data {
    /// By key: commit in Unix milliseconds, and the value.
    log: HashMap<String, Vec<(u64, Vec<u8>)>>,
    last: u64,
    audit: Audit,
}

/// The whole group.
pub struct Store {
    data: Mutex<Data>,
    /// The members; the first one is the primary.
    pub members: Vec<Member>,
}

/// A poisoned lock still holds whole data here.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Store {
    /// Starts a primary and replicas that are so far behind, and the agent that lists them; gives the agent's address.
    pub fn start(lags_ms: &[u64]) -> std::io::Result<(Arc<Store>, SocketAddr)> {
        let replica = |lag: &u64| Member { lag_ms: (*lag).into(), ..Member::default() };
        let primary = Member { primary: true, ..Member::default() };
        let members = std::iter::once(primary).chain(lags_ms.iter().map(replica)).collect();
        let store = Arc::new(Store { data: Mutex::default(), members });
        let mut entries = Vec::new();
        for n in 0..store.members.len() {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let role = if n == 0 { "leader" } else { "follower" };
            entries.push(format!(
                r#"{{"id":"m{n}","host_port":"{}","locality":"room","flavor":"f","cell":{GROUP},"phase":"ready","size":1.0,"up_since_ms":0,"role":"{role}"}}"#,
                listener.local_addr()?
            ));
            let store = store.clone();
            std::thread::spawn(move || {
                for socket in listener.incoming().flatten() {
                    let store = store.clone();
                    std::thread::spawn(move || store.serve(n, socket));
                }
            });
        }
        let list = format!(r#"{{"revision":1,"complete":true,"members":[{}]}}"#, entries.join(","));
        Ok((store, agent(list)?))
    }

    /// What ran so far.
    pub fn audit(&self) -> Audit {
        lock(&self.data).audit.clone()
    }

    /// The value of a key that the primary holds.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.data).log.get(key)?.last().map(|(_, value)| value.clone())
    }

    fn serve(&self, n: usize, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut frames = Frames::client(1 << 16, 1 << 20);
        let mut buffer = [0; 8192];
        loop {
            while let Some(frame) = frames.next_frame() {
                let Ok(frame) = frame else { return };
                let member = &self.members[n];
                if member.silent.load(Ordering::Relaxed) && frame.kind != 0 {
                    continue;
                }
                let Some(reply) = self.reply(n, frame) else { return };
                let slow = member.slow_ms.load(Ordering::Relaxed);
                if slow > 0 {
                    std::thread::sleep(Duration::from_millis(slow));
                }
                if socket.write_all(&reply).is_err() {
                    return;
                }
            }
            match socket.read(&mut buffer) {
                Ok(n) if n > 0 => frames.feed(&buffer[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }

    fn reply(&self, n: usize, frame: Frame) -> Option<Vec<u8>> {
        let mut out = Vec::new();
        let member = &self.members[n];
        if frame.kind == 0 {
            (frame.code() == Some(code::VERSION_3)).then_some(())?;
            message(&mut out, b'R', &[0; 4]);
            write::ready(&mut out);
            return Some(out);
        }
        (frame.kind == b'Q').then_some(())?;
        let at = self.position(member);
        let text = String::from_utf8_lossy(frame.body()).trim_end_matches('\0').to_owned();
        if text == "SHOW server_load" {
            let report = format!("x0={}.{:03},x1={}", at / 1000, at % 1000, u8::from(member.primary));
            row(&mut out, report.as_bytes());
            write::ready(&mut out);
            return Some(out);
        }
        let Ok(statement) = Statement::parse(frame) else {
            write::error(&mut out, false, "08P01", "no statement of a client", None);
            write::ready(&mut out);
            return Some(out);
        };
        let position = match self.run(member, &statement, &text) {
            Some((value, position)) => {
                row(&mut out, &value);
                position
            }
            None => {
                write::error(&mut out, false, "25006", "a replica takes no writes", None);
                at
            }
        };
        status(&mut out, "node_role", if member.primary { "leader" } else { "follower" });
        status(&mut out, "replay_position", &position.to_string());
        write::ready(&mut out);
        Some(out)
    }

    /// Every commit up to this is seen there.
    fn position(&self, member: &Member) -> u64 {
        let lag = if member.primary { 0 } else { member.lag_ms.load(Ordering::Relaxed) };
        unix_ms().saturating_sub(lag)
    }

    /// Runs a statement: the value and the position, or nothing where it is no primary's.
    fn run(&self, member: &Member, statement: &Statement, text: &str) -> Option<(Vec<u8>, u64)> {
        let mut data = lock(&self.data);
        if statement.write {
            member.primary.then_some(())?;
            *data.audit.writes.entry(statement.id.clone()).or_default() += 1;
            let value = text.split("'\\x").nth(1)?.split('\'').next()?.as_bytes().to_vec();
            // Rounded up: a replica that has come this far has it.
            let commit = (unix_ms() + 1).max(data.last);
            data.last = commit;
            data.log.entry(statement.key.clone()).or_default().push((commit, value.clone()));
            return Some((value, commit));
        }
        data.audit.reads[usize::from(!member.primary)] += 1;
        let at = if member.primary { data.last.max(unix_ms()) } else { self.position(member) };
        let seen = data.log.get(&statement.key).into_iter().flatten().rev().find(|(commit, _)| *commit <= at);
        Some((seen.map(|(_, value)| value.clone()).unwrap_or_default(), at))
    }
}

fn message(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

fn status(out: &mut Vec<u8>, name: &str, value: &str) {
    message(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

fn row(out: &mut Vec<u8>, value: &[u8]) {
    let mut description = vec![0, 1];
    description.extend(b"val\0");
    description.extend([0; 18]);
    message(out, b'T', &description);
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend_from_slice(value);
    message(out, b'D', &data);
    message(out, b'C', b"SELECT 1\0");
}

/// An agent whose watches send one list and then an empty line now and then.
fn agent(list: String) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let list = list.clone();
            std::thread::spawn(move || {
                let mut line = String::new();
                let _ = BufReader::new(&socket).read_line(&mut line);
                let body = format!("{list}\n");
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut sent = socket.write_all(format!("{head}{:x}\r\n{body}\r\n", body.len()).as_bytes());
                while sent.is_ok() && line.contains("watch") {
                    std::thread::sleep(Duration::from_secs(2));
                    sent = socket.write_all(b"1\r\n\n\r\n");
                }
            });
        }
    });
    Ok(address)
}
