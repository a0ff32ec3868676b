//! One client's connection to a gateway.

use crate::gateways::group;
use stackgw_gateway::pg::{write, Frame, FrameDecoder};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A value.
    Served(Vec<u8>),
    /// Trying again is harmless.
    Rejected,
    /// Nothing is promised.
    Failed,
    /// The request itself is at fault.
    Malformed,
    /// The connection ended first: the gateway was killed.
    Disconnected,
    /// No answer came in time.
    TimedOut,
    /// More came than was asked for.
    DuplicateReply,
}

/// A client's connection.
pub struct Client {
    socket: TcpStream,
    frames: FrameDecoder,
}

/// Beyond any request's time; what is not answered by then is lost.
const PATIENCE: Duration = Duration::from_secs(6);

impl Client {
    /// Connects, and waits for the gateway's welcome.
    pub fn connect(address: SocketAddr) -> Option<Self> {
        let socket = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        socket.set_read_timeout(Some(PATIENCE)).ok()?;
        socket.set_nodelay(true).ok()?;
        let mut client = Client {
            socket,
            frames: FrameDecoder::server(1 << 20),
        };
        let mut bytes = Vec::new();
        write::startup(&mut bytes, "client", "core");
        client.socket.write_all(&bytes).ok()?;
        client.reply().ok()?;
        Some(client)
    }

    pub(crate) fn insert(&mut self, id: &str, key: &str, value: u64) -> RequestOutcome {
        let comment = format!("/* id={id},c=buy,d=3000,cluster={} */", group());
        self.ask(&format!(
            "INSERT INTO state (uid, val) VALUES ('{key}', '\\x{value:016x}') RETURNING val {comment}"
        ))
    }

    pub(crate) fn select(&mut self, id: &str, key: &str) -> RequestOutcome {
        let comment = format!("/* id={id},c=mine,d=1000,cluster={} */", group());
        self.ask(&format!(
            "SELECT val FROM state WHERE uid = '{key}' {comment}"
        ))
    }

    pub(crate) fn look(&mut self, id: &str, key: &str) -> RequestOutcome {
        let comment = format!("/* id={id},c=look,d=1000,cluster={} */", group());
        self.ask(&format!(
            "SELECT val FROM state WHERE uid = '{key}' {comment}"
        ))
    }

    /// Asks with an empty query, and waits until the gateway says that it is ready.
    pub fn is_ready(&mut self) -> bool {
        let mut bytes = Vec::new();
        write::query(&mut bytes, "");
        let sent = self.socket.write_all(&bytes);
        sent.is_ok()
            && self
                .reply()
                .is_ok_and(|reply| reply.iter().any(|frame| frame.kind == b'I'))
    }

    /// Waits no longer than this for answers.
    pub fn patience(&self, patience: Duration) {
        let _ = self.socket.set_read_timeout(Some(patience));
    }

    /// Asks, and waits for the one answer.
    pub fn ask(&mut self, text: &str) -> RequestOutcome {
        let mut bytes = Vec::new();
        write::query(&mut bytes, text);
        if self.socket.write_all(&bytes).is_err() {
            return RequestOutcome::Disconnected;
        }
        let reply = match self.reply() {
            Ok(reply) => reply,
            Err(ended) => return ended,
        };
        if self.frames.next_frame().is_some() {
            return RequestOutcome::DuplicateReply;
        }
        if let Some(error) = reply.iter().find(|f| f.kind == b'E') {
            let fields = error.body().split(|b| *b == 0);
            let code = fields
                .filter_map(|f| f.strip_prefix(b"C"))
                .next()
                .unwrap_or_default();
            return match code {
                b"53300" | b"57P03" => RequestOutcome::Rejected,
                b"42601" => RequestOutcome::Malformed,
                _ => RequestOutcome::Failed,
            };
        }
        let row = reply
            .iter()
            .find(|f| f.kind == b'D')
            .and_then(|f| f.body().get(6..));
        row.map_or(RequestOutcome::Failed, |value| {
            RequestOutcome::Served(value.to_vec())
        })
    }

    /// Everything up to ReadyForQuery.
    fn reply(&mut self) -> Result<Vec<Frame>, RequestOutcome> {
        let (mut reply, mut buffer) = (Vec::new(), [0; 4096]);
        loop {
            while let Some(frame) = self.frames.next_frame() {
                let frame = frame.map_err(|_| RequestOutcome::Disconnected)?;
                let last = frame.kind == b'Z';
                reply.push(frame);
                if last {
                    return Ok(reply);
                }
            }
            match self.socket.read(&mut buffer) {
                Ok(n) if n > 0 => self.frames.feed(&buffer[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    return Err(RequestOutcome::TimedOut);
                }
                _ => return Err(RequestOutcome::Disconnected),
            }
        }
    }
}
