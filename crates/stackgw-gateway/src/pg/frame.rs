//! Splits a byte stream into messages, kept as the bytes that came.

use std::fmt;

/// One message, its header included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Its type byte; 0 for a packet of the startup, which has none.
    pub kind: u8,
    /// The bytes as they came, header included.
    pub bytes: Vec<u8>,
}

impl Frame {
    /// What follows the header.
    pub fn body(&self) -> &[u8] {
        self.bytes
            .get(if self.kind == 0 { 4 } else { 5 }..)
            .unwrap_or_default()
    }

    /// The code at the start of a startup packet.
    pub fn code(&self) -> Option<u32> {
        self.body()
            .first_chunk()
            .map(|code| u32::from_be_bytes(*code))
    }

    /// Whether the parameters of a startup packet are whole.
    pub fn has_parameters(&self) -> bool {
        // Behind the code, names and values each with their end, and one more end.
        self.body()
            .get(4..)
            .is_some_and(|text| text == [0] || text.ends_with(&[0, 0]))
    }

    /// Whether this is a startup packet of version 3, of any minor version.
    pub fn is_startup(&self) -> bool {
        self.kind == 0
            && self
                .code()
                .is_some_and(|code| code >> 16 == super::code::VERSION_3 >> 16)
    }
}

/// A length that no message of this protocol has here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadFrame {
    /// The type byte it stood behind.
    pub kind: u8,
    /// The length given.
    pub length: u32,
}

impl fmt::Display for BadFrame {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "message {:?} of length {}",
            char::from(self.kind),
            self.length
        )
    }
}

impl std::error::Error for BadFrame {}

/// Bytes of one connection that are not yet whole messages, or not yet asked for.
#[derive(Debug)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    start: usize,
    /// The next packet has no type byte.
    untyped: bool,
    most: usize,
    startup_most: usize,
    /// The types that the other side may send.
    kinds: &'static [u8],
}

/// What a server sends to one that asks simple queries.
const OF_SERVERS: &[u8] = b"RSKZTDCIENAv";
/// What a client sends, the copy protocol's included.
const OF_CLIENTS: &[u8] = b"QXSPBDECHFdcfp";

impl FrameDecoder {
    /// A server's stream: every message has a type.
    pub fn server(most: usize) -> Self {
        FrameDecoder {
            buffer: Vec::new(),
            start: 0,
            untyped: false,
            most,
            startup_most: 0,
            kinds: OF_SERVERS,
        }
    }

    /// A client's stream: packets without a type until the startup is done.
    pub fn client(startup_most: usize, most: usize) -> Self {
        FrameDecoder {
            buffer: Vec::new(),
            start: 0,
            untyped: true,
            most,
            startup_most,
            kinds: OF_CLIENTS,
        }
    }

    /// Whether a message of this type can have this length, as far as its first bytes tell.
    fn fits(&self, kind: u8, length: u32, message: &[u8]) -> bool {
        let server = self.kinds == OF_SERVERS;
        match kind {
            b'Z' => length == 5,
            b'I' | b'X' | b'S' | b'H' | b'c' if !server || kind == b'I' => length == 4,
            // One column, and its length is that of the row: its four bytes are header enough.
            b'D' if server => {
                message
                    .get(7..11)
                    .and_then(|b| b.first_chunk())
                    .is_none_or(|column| {
                        let column = i32::from_be_bytes(*column);
                        message[5..7] == [0, 1]
                            && i64::from(length) == 10 + i64::from(column.max(0))
                            && column >= -1
                    })
            }
            _ => true,
        }
    }

    /// Takes bytes as they come.
    pub fn feed(&mut self, bytes: &[u8]) {
        // Danger: a client that always has the next message on its way would never see the buffer emptied.
        if self.start >= self.buffer.len() - self.start {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Drops all that is held.
    pub fn clear(&mut self) {
        (self.buffer, self.start) = (Vec::new(), 0);
    }

    /// Bytes held.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len() - self.start
    }

    /// Bytes that the buffer takes, those of messages already handed out included.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The next whole message.
    pub fn next_frame(&mut self) -> Option<Result<Frame, BadFrame>> {
        let head = usize::from(!self.untyped);
        let most = if self.untyped {
            self.startup_most
        } else {
            self.most
        };
        let rest = &self.buffer[self.start..];
        let kind = if self.untyped { 0 } else { *rest.first()? };
        if !self.untyped && !self.kinds.contains(&kind) {
            return Some(Err(BadFrame { kind, length: 0 }));
        }
        let length = u32::from_be_bytes(*rest.get(head..)?.first_chunk()?);
        let least = if self.untyped { 8 } else { 4 };
        // Danger: what is judged only once it is whole may never be, and its sender waits or sends on for nothing.
        if length < least
            || length as usize > most
            || !(self.untyped || self.fits(kind, length, rest))
        {
            return Some(Err(BadFrame { kind, length }));
        }
        let whole = head + length as usize;
        let bytes = rest.get(..whole)?.to_vec();
        self.start += whole;
        if self.start == self.buffer.len() {
            self.start = 0;
            // What one large message took is not kept for the connection's life.
            self.buffer = Vec::new();
        }
        let frame = Frame { kind, bytes };
        self.untyped &= !frame.is_startup();
        Some(Ok(frame))
    }
}
