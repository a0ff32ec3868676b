//! A client that speaks Arrow Flight SQL on one kept connection: GetFlightInfo, then DoGet of its ticket. HTTP/2 and gRPC are
//! written by hand, as far as they are needed; of an answer only counts whether it brings data.
#![allow(dead_code)]

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct FlightClient {
    socket: TcpStream,
    next_stream: u32,
    authority: String,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The call ended, and brought this message.
    Data(Vec<u8>),
    /// The call ended with a status alone: it was refused or failed.
    Status,
    /// The connection ended, or the server says that it has not taken the call.
    Ended,
    /// Nothing ended the call in time.
    None,
}

fn frame(kind: u8, flags: u8, stream: u32, body: &[u8]) -> Vec<u8> {
    let mut frame = (body.len() as u32).to_be_bytes()[1..].to_vec();
    frame.push(kind);
    frame.push(flags);
    frame.extend(stream.to_be_bytes());
    frame.extend(body);
    frame
}

fn field(number: u8, bytes: &[u8]) -> Vec<u8> {
    let mut out = vec![number << 3 | 2];
    let mut length = bytes.len();
    while length >= 128 {
        out.push(length as u8 | 128);
        length >>= 7;
    }
    out.push(length as u8);
    out.extend(bytes);
    out
}

/// The first field with this number that holds bytes.
fn find(message: &[u8], number: u8) -> Option<&[u8]> {
    let mut rest = message;
    while let [tag, tail @ ..] = rest {
        rest = tail;
        let mut value = 0usize;
        for shift in (0..).step_by(7) {
            let [byte, tail @ ..] = rest else { return None };
            rest = tail;
            value |= usize::from(byte & 127) << shift;
            if byte & 128 == 0 {
                break;
            }
        }
        if tag & 7 == 2 {
            let bytes = rest.get(..value)?;
            if tag >> 3 == number {
                return Some(bytes);
            }
            rest = &rest[value..];
        }
    }
    None
}

impl FlightClient {
    pub fn connect(address: SocketAddr) -> Option<Self> {
        let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        let _ = socket.set_nodelay(true);
        let mut hello = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
        hello.extend(frame(4, 0, 0, &[]));
        socket.write_all(&hello).ok()?;
        Some(FlightClient { socket, next_stream: 1, authority: address.to_string() })
    }

    /// Sends one call and waits for its end, `wait` milliseconds at most.
    fn call(&mut self, method: &str, headers: &[(&str, &str)], message: &[u8], wait: f64) -> Reply {
        let stream = self.next_stream;
        self.next_stream += 2;
        let path = format!("/arrow.flight.protocol.FlightService/{method}");
        let authority = self.authority.clone();
        let mut block = Vec::new();
        let fixed = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", path.as_str()),
            (":authority", authority.as_str()),
            ("content-type", "application/grpc"),
            ("te", "trailers"),
        ];
        for (name, value) in fixed.iter().chain(headers) {
            block.push(0);
            for text in [name, value] {
                block.push(text.len() as u8);
                block.extend(text.as_bytes());
            }
        }
        let mut body = vec![0];
        body.extend((message.len() as u32).to_be_bytes());
        body.extend(message);
        let mut bytes = frame(1, 4, stream, &block);
        bytes.extend(frame(0, 1, stream, &body));
        if self.socket.write_all(&bytes).is_err() {
            return Reply::Ended;
        }
        self.read_reply(stream, Instant::now() + Duration::from_secs_f64(wait / 1e3))
    }

    fn read_reply(&mut self, stream: u32, until: Instant) -> Reply {
        let mut data = Vec::new();
        loop {
            let (kind, flags, of, body) = match self.read_frame(until) {
                Ok(frame) => frame,
                Err(true) => return Reply::None,
                Err(false) => return Reply::Ended,
            };
            match kind {
                0 => {
                    let grown = (body.len() as u32).to_be_bytes();
                    if !body.is_empty() && self.socket.write_all(&frame(8, 0, 0, &grown)).is_err() {
                        return Reply::Ended;
                    }
                    if of == stream {
                        data.extend(body);
                    }
                }
                4 if flags & 1 == 0 => drop(self.socket.write_all(&frame(4, 1, 0, &[]))),
                6 if flags & 1 == 0 => drop(self.socket.write_all(&frame(6, 1, 0, &body))),
                3 if of == stream => return Reply::Status,
                7 => {
                    let last = body.first_chunk().map_or(0, |last| u32::from_be_bytes(*last));
                    if last < stream {
                        return Reply::Ended;
                    }
                }
                _ => {}
            }
            if of == stream && kind <= 1 && flags & 1 != 0 {
                return match data.get(5..) {
                    Some(message) => Reply::Data(message.to_vec()),
                    None => Reply::Status,
                };
            }
        }
    }

    /// Reads a frame. The error says whether the time is over; otherwise the connection has ended.
    fn read_frame(&mut self, until: Instant) -> Result<(u8, u8, u32, Vec<u8>), bool> {
        let mut head = [0; 9];
        self.read_exact(&mut head, until)?;
        let mut body = vec![0; u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize];
        self.read_exact(&mut body, until)?;
        let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
        Ok((head[3], head[4], stream, body))
    }

    fn read_exact(&mut self, buffer: &mut [u8], until: Instant) -> Result<(), bool> {
        let mut read = 0;
        while read < buffer.len() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(true);
            }
            let _ = self.socket.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            match self.socket.read(&mut buffer[read..]) {
                Ok(0) => return Err(false),
                Ok(count) => read += count,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(false),
            }
        }
        Ok(())
    }

    /// Reads a key. The second value says whether the statement itself was sent, with DoGet.
    pub fn read(&mut self, class: &str, group: &str, key: &str, wait: f64) -> (Reply, bool) {
        let statement = format!("SELECT val FROM state WHERE uid = '{key}'");
        let query = field(1, statement.as_bytes());
        let url = b"type.googleapis.com/arrow.flight.protocol.sql.CommandStatementQuery";
        let mut any = field(1, url);
        any.extend(field(2, &query));
        let mut descriptor = vec![8, 2];
        descriptor.extend(field(2, &any));
        let headers = [("x-stackgw-class", class), ("x-stackgw-group", group)];
        let info = match self.call("GetFlightInfo", &headers, &descriptor, wait) {
            Reply::Data(info) => info,
            other => return (other, false),
        };
        let Some(ticket) = find(&info, 3).and_then(|endpoint| find(endpoint, 1)).map(<[u8]>::to_vec) else {
            return (Reply::Status, false);
        };
        (self.call("DoGet", &[], &ticket, wait), true)
    }
}
