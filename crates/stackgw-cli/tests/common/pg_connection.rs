//! One end of a PostgreSQL connection that the test controls, and the statements that tests send over it.

use super::gateway_common::{new_id, query};
use stackgw_gateway::pg::{Frame, FrameDecoder};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Longer than any step of a test takes on a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(20);

const MAX_STARTUP_BYTES: usize = 1 << 16;
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Which end of a connection a test holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    Client,
    Server,
}

/// One end of a PostgreSQL connection.
pub struct PgConnection {
    pub socket: TcpStream,
    pub decoder: FrameDecoder,
}

impl PgConnection {
    pub fn new(socket: TcpStream, side: Side) -> Self {
        socket.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
        let decoder = if side == Side::Client {
            FrameDecoder::server(MAX_MESSAGE_BYTES)
        } else {
            FrameDecoder::client(MAX_STARTUP_BYTES, MAX_MESSAGE_BYTES)
        };
        PgConnection { socket, decoder }
    }

    /// The next message; `None` if the connection has ended, the bytes are malformed, or nothing arrives for `TIMEOUT`.
    pub fn next(&mut self) -> Option<Frame> {
        let mut buffer = [0; 4096];
        loop {
            if let Some(frame) = self.decoder.next_frame() {
                return frame.ok();
            }
            match self.socket.read(&mut buffer) {
                Ok(n) if n > 0 => self.decoder.feed(&buffer[..n]),
                // Treating an interrupted read as the end of the connection would make tests flaky.
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Ok(_) | Err(_) => return None,
            }
        }
    }

    pub fn write(&mut self, frames: &[Frame]) {
        let bytes: Vec<u8> = frames.iter().flat_map(|f| f.bytes.clone()).collect();
        let _ = self.socket.write_all(&bytes);
    }

    /// All messages up to ReadyForQuery or the end of the connection.
    pub fn read_reply(&mut self) -> Vec<Frame> {
        let mut reply = Vec::new();
        while let Some(frame) = self.next() {
            reply.push(frame);
            if reply.last().is_some_and(|f| f.kind == b'Z') {
                break;
            }
        }
        reply
    }
}

/// An INSERT statement for this key.
pub fn insert(key: &str) -> Frame {
    let comment = format!("/* id={},c=buy,d=20000,cluster=2 */", new_id());
    query(&format!(
        "INSERT INTO state (uid, val) VALUES ('{key}', '\\x9f') RETURNING val {comment}"
    ))
}

/// A SELECT statement for this key, in a class with a staleness bound.
pub fn select(key: &str) -> Frame {
    let id = new_id();
    query(&format!(
        "SELECT val FROM state WHERE uid = '{key}' /* id={id},c=look,d=20000,cluster=2 */"
    ))
}

/// The types of the messages, one letter each.
pub fn frame_kinds(reply: &[Frame]) -> String {
    reply.iter().map(|f| char::from(f.kind)).collect()
}
