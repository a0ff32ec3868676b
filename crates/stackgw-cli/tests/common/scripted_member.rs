//! A member that answers each statement with its key; keys of certain forms select another behavior. In contrast to the testkit's
//! members, the test controls each answer.

use super::gateway_common::{error, message, ready, row, status};
use super::pg_connection::{PgConnection, Side, TIMEOUT};
use stackgw_gateway::pg::{code, Frame};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpListener;
use std::sync::mpsc::{Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

const ENDLESS_MESSAGES_PER_WRITE: usize = 4096;

/// Keys whose answer has already been corrupted once.
pub static CORRUPTED_KEYS: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

/// The behavior that a key selects.
enum Script<'a> {
    /// `slow`: the answer waits until the test releases it, but no longer than `TIMEOUT`.
    Wait,
    /// `twice-...`: the answer is sent twice.
    DuplicateReply,
    /// `big-SIZE`: the answer is a value of that many bytes.
    LargeValue(usize),
    /// `corrupt-KIND`: the first answer is corrupted.
    Corrupt(&'a str),
    /// `endless-KIND`: the first answer consists of such messages and never ends.
    Endless(&'a str),
    Plain,
}

impl<'a> Script<'a> {
    fn of(key: &'a str) -> Self {
        match key.split_once('-') {
            _ if key == "slow" => Script::Wait,
            Some(("twice", _)) => Script::DuplicateReply,
            Some(("big", size)) => Script::LargeValue(size.parse().expect("a size")),
            Some(("corrupt", kind)) => Script::Corrupt(kind),
            Some(("endless", kind)) => Script::Endless(kind),
            _ => Script::Plain,
        }
    }
}

/// Starts a member that sends the statements it receives to `statements`; returns its port.
pub fn start_member(is_primary: bool, statements: Sender<String>, release: Receiver<()>) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = listener.local_addr().expect("an address").port();
    let release = Arc::new(Mutex::new(release));
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let member = MemberConnection {
                connection: PgConnection::new(socket, Side::Server),
                is_primary,
                statements: statements.clone(),
                release: release.clone(),
            };
            std::thread::spawn(move || member.serve());
        }
    });
    port
}

struct MemberConnection {
    connection: PgConnection,
    is_primary: bool,
    statements: Sender<String>,
    release: Arc<Mutex<Receiver<()>>>,
}

impl MemberConnection {
    fn serve(mut self) {
        while let Some(frame) = self.connection.next() {
            if frame.kind == 0 {
                assert_eq!(frame.code(), Some(code::VERSION_3));
                let startup_reply = [
                    message(b'R', &[0; 4]),
                    status("server_version", "16"),
                    ready(),
                ];
                self.connection.write(&startup_reply);
                continue;
            }
            let now_ms = unix_ms();
            let text = String::from_utf8_lossy(frame.body());
            let text = text.trim_end_matches('\0').to_owned();
            if text == "SHOW server_load" {
                let report = self.load_report(now_ms);
                self.connection
                    .write(&[row(report.as_bytes()), vec![ready()]].concat());
            } else {
                self.answer(text, now_ms);
            }
        }
    }

    fn load_report(&self, now_ms: u128) -> String {
        let is_primary = u8::from(self.is_primary);
        format!("x0={}.{:03},x1={is_primary}", now_ms / 1000, now_ms % 1000)
    }

    fn answer(&mut self, text: String, now_ms: u128) {
        let is_write = text.starts_with("INSERT");
        let key = text.split('\'').nth(1).unwrap_or_default().to_owned();
        let _ = self.statements.send(text);
        let script = Script::of(&key);
        if let Script::Wait = script {
            let release = self.release.lock();
            let _ = release.map(|release| release.recv_timeout(TIMEOUT));
        }
        let tail = self.tail(now_ms);
        let head = if is_write && !self.is_primary {
            vec![error("25006")]
        } else {
            row(key.as_bytes())
        };
        match script {
            Script::DuplicateReply => {
                let both = [head.clone(), tail.clone(), head, tail];
                self.connection.write(&both.concat());
            }
            Script::LargeValue(size) => {
                self.connection
                    .write(&[row(&vec![b'v'; size]), tail].concat());
            }
            Script::Corrupt(kind) if is_first_time(&key) => {
                let bytes = corrupted_row(&key, kind);
                let _ = self.connection.socket.write_all(&bytes);
            }
            Script::Endless(kind) if is_first_time(&key) => self.write_without_end(kind),
            _ => self.connection.write(&[head, tail].concat()),
        }
    }

    /// Sends a message again and again until the connection ends.
    fn write_without_end(&mut self, kind: &str) {
        let frame = match kind {
            "notice" => message(b'N', b"SNOTICE\0Mstill at it\0\0"),
            _ => status("server_load", "x0=1,x1=0"),
        };
        let bytes = frame.bytes.repeat(ENDLESS_MESSAGES_PER_WRITE);
        while self.connection.socket.write_all(&bytes).is_ok() {}
    }

    /// The messages after the row: role, replay position and ReadyForQuery.
    fn tail(&self, position_ms: u128) -> Vec<Frame> {
        let role = if self.is_primary {
            "leader"
        } else {
            "follower"
        };
        let role = status("node_role", role);
        let position = status("replay_position", &position_ms.to_string());
        vec![role, position, ready()]
    }
}

fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis()
}

fn is_first_time(key: &str) -> bool {
    let mut keys = CORRUPTED_KEYS.lock().expect("no panic");
    keys.insert(key.to_owned())
}

/// An answer row with the given kind of corruption.
fn corrupted_row(key: &str, kind: &str) -> Vec<u8> {
    let frames = row(key.as_bytes()).into_iter();
    let mut bytes: Vec<u8> = frames.flat_map(|frame| frame.bytes).collect();
    match kind {
        "noise" => return (0..2000u32).map(|n| (n * 7 + 200) as u8).collect(),
        "huge" => {
            let length = b"D\xb2\xd0\x5e\x00\0\x01\xb2\xd0\x5d\xf6";
            return [&bytes[..40], &length[..]].concat();
        }
        "short" => bytes.truncate(bytes.len() - 3),
        _ => bytes.extend_from_slice(b"C\0\0\0\x06\xff\0"),
    }
    bytes
}
