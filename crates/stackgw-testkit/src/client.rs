//! A client's connection to a gateway, with PostgreSQL's protocol.

use crate::statements::{read_statement, write_statement, BOUNDED_READ_CLASS, SESSION_READ_CLASS};
use stackgw_gateway::pg::{write, Frame, FrameDecoder};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Longer than any request's deadline; a request without an answer after this time is lost.
const REPLY_TIMEOUT: Duration = Duration::from_secs(6);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// The size of what precedes the value in a row of one column: the number of columns and the value's length.
const ROW_HEADER_BYTES: usize = 6;

/// The outcome of a request, as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was served, with this value.
    Served(Vec<u8>),
    /// The request did not run and can be retried safely.
    Rejected,
    /// The request may have run.
    Failed,
    /// The request itself is invalid.
    Malformed,
    /// The connection closed before the answer, usually because the gateway was killed, or the gateway sent malformed bytes.
    Disconnected,
    /// No answer arrived in time.
    TimedOut,
    /// More than one answer arrived.
    DuplicateReply,
}

/// A client's connection.
pub struct Client {
    socket: TcpStream,
    decoder: FrameDecoder,
}

impl Client {
    /// Connects, and waits until the gateway has accepted the startup message; `None` if it does not.
    pub fn connect(address: SocketAddr) -> Option<Self> {
        let socket = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        socket.set_read_timeout(Some(REPLY_TIMEOUT)).ok()?;
        socket.set_nodelay(true).ok()?;
        let mut client = Client {
            socket,
            decoder: FrameDecoder::server(MAX_MESSAGE_BYTES),
        };
        let mut bytes = Vec::new();
        write::startup(&mut bytes, "client", "core");
        client.socket.write_all(&bytes).ok()?;
        client.read_reply().ok()?;
        Some(client)
    }

    /// Writes a value; the key is the session.
    pub(crate) fn write(&mut self, id: &str, key: &str, value: u64) -> RequestOutcome {
        self.query(&write_statement(id, key, value))
    }

    /// Reads a key with its session's own writes visible.
    pub(crate) fn read_own_writes(&mut self, id: &str, key: &str) -> RequestOutcome {
        self.query(&read_statement(id, key, SESSION_READ_CLASS))
    }

    /// Reads a key with a bound on staleness.
    pub(crate) fn read_bounded(&mut self, id: &str, key: &str) -> RequestOutcome {
        self.query(&read_statement(id, key, BOUNDED_READ_CLASS))
    }

    /// Sends an empty query, which a gateway answers once it is ready to serve, and waits for the answer. Returns false if
    /// none arrives within the reply timeout, or if it is an error.
    pub fn is_ready(&mut self) -> bool {
        let mut bytes = Vec::new();
        write::query(&mut bytes, "");
        let sent = self.socket.write_all(&bytes);
        let is_empty_answer = |reply: Vec<Frame>| reply.iter().any(|frame| frame.kind == b'I');
        sent.is_ok() && self.read_reply().is_ok_and(is_empty_answer)
    }

    /// Sets the timeout for replies.
    pub fn set_reply_timeout(&self, timeout: Duration) {
        let _ = self.socket.set_read_timeout(Some(timeout));
    }

    /// Sends a statement and waits for its reply.
    pub fn query(&mut self, text: &str) -> RequestOutcome {
        if !self.send(text) {
            return RequestOutcome::Disconnected;
        }
        self.receive()
    }

    /// Sends a statement; returns false if the connection is closed or does not accept all of it.
    pub(crate) fn send(&mut self, text: &str) -> bool {
        let mut bytes = Vec::new();
        write::query(&mut bytes, text);
        self.socket.write_all(&bytes).is_ok()
    }

    /// Sends the first half of a statement's message; returns false if the connection does not accept it.
    pub(crate) fn send_part(&mut self, text: &str) -> bool {
        let mut bytes = Vec::new();
        write::query(&mut bytes, text);
        self.socket.write_all(&bytes[..bytes.len() / 2]).is_ok()
    }

    /// Makes the socket non-blocking: a send writes no more than the socket accepts immediately.
    pub(crate) fn set_nonblocking(&self) {
        let _ = self.socket.set_nonblocking(true);
    }

    /// Shuts down the sending side of the connection.
    pub(crate) fn half_close(&self) {
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Shuts down both sides of the connection.
    pub(crate) fn close(&self) {
        let _ = self.socket.shutdown(Shutdown::Both);
    }

    /// Waits for the reply to the last request. A duplicate reply is detected if it arrives together with the first one.
    pub(crate) fn receive(&mut self) -> RequestOutcome {
        let reply = match self.read_reply() {
            Ok(reply) => reply,
            Err(outcome) => return outcome,
        };
        if self.decoder.next_frame().is_some() {
            return RequestOutcome::DuplicateReply;
        }
        if let Some(error) = reply.iter().find(|frame| frame.kind == b'E') {
            return outcome_of_error(error);
        }
        let row = reply.iter().find(|frame| frame.kind == b'D');
        let value = row.and_then(|row| row.body().get(ROW_HEADER_BYTES..));
        value.map_or(RequestOutcome::Failed, |value| {
            RequestOutcome::Served(value.to_vec())
        })
    }

    /// Reads all messages up to ReadyForQuery; the error is the outcome of a request without a complete reply.
    fn read_reply(&mut self) -> Result<Vec<Frame>, RequestOutcome> {
        let mut reply = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            while let Some(frame) = self.decoder.next_frame() {
                let frame = frame.map_err(|_| RequestOutcome::Disconnected)?;
                let is_last = frame.kind == b'Z';
                reply.push(frame);
                if is_last {
                    return Ok(reply);
                }
            }
            match self.socket.read(&mut buffer) {
                Ok(n) if n > 0 => self.decoder.feed(&buffer[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(RequestOutcome::TimedOut);
                }
                _ => return Err(RequestOutcome::Disconnected),
            }
        }
    }
}

/// The outcome of a request that corresponds to an error's SQLSTATE.
fn outcome_of_error(error: &Frame) -> RequestOutcome {
    let fields = error.body().split(|byte| *byte == 0);
    let code = fields
        .filter_map(|field| field.strip_prefix(b"C"))
        .next()
        .unwrap_or_default();
    match code {
        b"53300" | b"57P03" => RequestOutcome::Rejected,
        b"42601" => RequestOutcome::Malformed,
        _ => RequestOutcome::Failed,
    }
}
