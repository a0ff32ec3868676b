//! A member that speaks version 3 of PostgreSQL's protocol, with one thread for each connection.

use crate::member::FakeMember;
use crate::replicated_log::{ReplicatedLog, StatementOutcome};
use crate::slow_start_model::{MemberLoad, WorkOutcome};
use crate::statements::WRITE_KEYWORD;
use stackgw_gateway::pg::{code, write, Frame, FrameDecoder};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MAX_STARTUP_BYTES: usize = 1 << 16;
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Load reports in one write of an answer that never ends.
const REPORTS_PER_WRITE: usize = 2048;

/// How often a member that does not answer checks whether its client is still connected.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The protocol front end of one member.
#[derive(Clone)]
pub(crate) struct PostgresMember {
    pub(crate) index: usize,
    pub(crate) member: Arc<FakeMember>,
    pub(crate) log: Arc<ReplicatedLog>,
}

/// The reply to one message.
struct Reply {
    bytes: Vec<u8>,
    /// Whether the message was a write, which ran.
    is_write: bool,
}

impl PostgresMember {
    /// Serves a connection on its own thread.
    pub(crate) fn spawn(&self, socket: TcpStream) {
        let server = self.clone();
        std::thread::spawn(move || {
            let peer = socket.peer_addr().ok();
            server.serve(socket);
            server.member.forget_connection(peer);
        });
    }

    /// Answers messages in order until the connection ends.
    fn serve(&self, mut socket: TcpStream) {
        let mut decoder = FrameDecoder::client(MAX_STARTUP_BYTES, MAX_MESSAGE_BYTES);
        let mut buffer = [0; 8192];
        loop {
            while let Some(frame) = decoder.next_frame() {
                let Ok(frame) = frame else { return };
                if self.answer(&mut socket, frame).is_none() {
                    return;
                }
            }
            match socket.read(&mut buffer) {
                Ok(n) if n > 0 => decoder.feed(&buffer[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }

    /// Answers a message; `None` if the connection has to end.
    fn answer(&self, socket: &mut TcpStream, frame: Frame) -> Option<()> {
        let member = &self.member;
        let is_startup = is_startup(&frame);
        let _in_flight = (!is_startup).then(|| member.begin_work());
        self.log.record_arrival(self.index, member, &frame);
        if member.is_unresponsive() && !is_startup {
            return wait_while_connected(socket, Duration::MAX).then_some(());
        }
        let outcome = member.admit(|load, now| admit_frame(load, now, &frame));
        let reply = match outcome {
            WorkOutcome::Collapsed => return None,
            WorkOutcome::Rejected => rejection(),
            WorkOutcome::DoneAfter(_) => self.reply(frame)?,
        };
        if let WorkOutcome::DoneAfter(time) = outcome {
            std::thread::sleep(time);
        }
        if is_startup {
            std::thread::sleep(member.startup_delay());
        } else if member.answers_without_end() {
            return self.answer_without_end(socket);
        }
        if let Some(delay) = member.delay() {
            wait_while_connected(socket, delay).then_some(())?;
        }
        if reply.is_write && member.is_dropping_write_replies() {
            let _ = socket.shutdown(Shutdown::Both);
            return None;
        }
        socket.write_all(&reply.bytes).ok()
    }

    /// Sends the load report until the connection ends or the fault is over; the connection is of no use after that.
    fn answer_without_end(&self, socket: &mut TcpStream) -> Option<()> {
        let mut report = Vec::new();
        write::status(&mut report, "server_load", "x0=1,x1=0");
        let reports = report.repeat(REPORTS_PER_WRITE);
        while self.member.answers_without_end() {
            socket.write_all(&reports).ok()?;
        }
        None
    }

    /// The reply to a message; `None` if a member does not accept messages of this kind.
    fn reply(&self, frame: Frame) -> Option<Reply> {
        let mut bytes = Vec::new();
        if is_startup(&frame) {
            (frame.code() == Some(code::VERSION_3)).then_some(())?;
            write::startup_response(&mut bytes, self.index as u32, 0);
            return Some(Reply {
                bytes,
                is_write: false,
            });
        }
        (frame.kind == b'Q').then_some(())?;
        let text = statement_text(&frame);
        let mut is_write = false;
        let position_ms = match self.log.execute(&self.member, &text) {
            StatementOutcome::LoadReport(report) => {
                write::row(&mut bytes, Some(report.as_bytes()));
                None
            }
            StatementOutcome::Malformed => {
                write::error(&mut bytes, false, "08P01", "no statement of a client", None);
                None
            }
            StatementOutcome::NotPrimary { position_ms } => {
                write::error(
                    &mut bytes,
                    false,
                    "25006",
                    "a replica takes no writes",
                    None,
                );
                Some(position_ms)
            }
            StatementOutcome::Value { value, position_ms } => {
                write::row(&mut bytes, Some(&value));
                is_write = text.starts_with(WRITE_KEYWORD);
                Some(position_ms)
            }
        };
        if let Some(position_ms) = position_ms {
            write::status(&mut bytes, "node_role", self.member.role());
            write::status(&mut bytes, "replay_position", &position_ms.to_string());
        }
        write::ready(&mut bytes);
        Some(Reply { bytes, is_write })
    }
}

fn is_startup(frame: &Frame) -> bool {
    frame.kind == 0
}

fn statement_text(frame: &Frame) -> String {
    String::from_utf8_lossy(frame.body())
        .trim_end_matches('\0')
        .to_owned()
}

fn admit_frame(load: &mut MemberLoad, now: Duration, frame: &Frame) -> WorkOutcome {
    if is_startup(frame) {
        load.handshake(now)
    } else if frame.body().starts_with(b"SHOW") {
        load.health_check(now)
    } else {
        load.request(now)
    }
}

/// The reply of a member with a full queue.
fn rejection() -> Reply {
    let mut bytes = Vec::new();
    let message = "too many requests wait here";
    write::error(&mut bytes, false, "53300", message, None);
    write::ready(&mut bytes);
    Reply {
        bytes,
        is_write: false,
    }
}

/// Waits for this time; returns false as soon as the client has closed its connection. Bytes that the client sends meanwhile
/// stay unread, and a close that follows them is not noticed until the time is over.
fn wait_while_connected(socket: &TcpStream, time: Duration) -> bool {
    let started = Instant::now();
    let mut byte = [0];
    loop {
        let left = time.saturating_sub(started.elapsed());
        if left.is_zero() {
            return socket.set_read_timeout(None).is_ok();
        }
        let timeout = left.min(CONNECTION_CHECK_INTERVAL);
        if socket.set_read_timeout(Some(timeout)).is_err() {
            return false;
        }
        match socket.peek(&mut byte) {
            Ok(0) => return false,
            Ok(_) => std::thread::sleep(left.min(Duration::from_millis(2))),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return false,
        }
    }
}
