//! Splits a byte stream into the protocol's messages.
//!
//! Each message keeps its bytes as received, so that it can be forwarded unchanged. A message's type and length are checked as
//! soon as its first bytes have arrived, so that an invalid message is detected even if the rest of it never arrives.

use super::code;
use super::message_kind::{client, server, STARTUP};

/// Size of a startup packet's length field.
const STARTUP_HEADER_BYTES: usize = 4;
/// Size of a message's type byte and its length field.
const HEADER_BYTES: usize = 5;
/// Smallest length of a startup packet: its length field and a code.
const MIN_STARTUP_LENGTH: u32 = 8;
/// Smallest length of a message, which includes the 4 bytes of the length field.
const MIN_MESSAGE_LENGTH: u32 = 4;
/// Length of ReadyForQuery, whose body is one byte.
const READY_FOR_QUERY_LENGTH: u32 = 5;

/// One message, including its header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The type byte, one of [`message_kind`](super::message_kind); [`STARTUP`] for a packet without one.
    pub kind: u8,
    /// The bytes as received, including the header.
    pub bytes: Vec<u8>,
}

impl Frame {
    /// Returns the bytes after the header.
    pub fn body(&self) -> &[u8] {
        let header = if self.kind == STARTUP {
            STARTUP_HEADER_BYTES
        } else {
            HEADER_BYTES
        };
        self.bytes.get(header..).unwrap_or_default()
    }

    /// Returns the code at the start of a startup packet.
    pub fn code(&self) -> Option<u32> {
        self.body()
            .first_chunk()
            .map(|code| u32::from_be_bytes(*code))
    }

    /// Returns whether the parameters of a startup packet end as the protocol requires. Their names and values are not checked.
    pub fn has_terminated_parameters(&self) -> bool {
        // The code is followed by names and values, each terminated by a zero byte, and by one more zero byte.
        self.body()
            .get(4..)
            .is_some_and(|text| text == [0] || text.ends_with(&[0, 0]))
    }

    /// Returns whether this is a startup packet of version 3, with any minor version.
    pub fn is_startup(&self) -> bool {
        let is_version_3 = |version: u32| version >> 16 == code::VERSION_3 >> 16;
        self.kind == STARTUP && self.code().is_some_and(is_version_3)
    }
}

/// A message whose type or length is invalid in the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("message {:?} of length {length}", char::from(*kind))]
pub struct FrameError {
    /// The type byte; [`STARTUP`] for a packet without one.
    pub kind: u8,
    /// The length field; 0 if the type is invalid.
    pub length: u32,
}

/// Messages that a client may send, including those of the copy protocol.
const CLIENT_KINDS: [u8; 14] = [
    client::QUERY,
    client::TERMINATE,
    client::SYNC,
    client::PARSE,
    client::BIND,
    client::DESCRIBE,
    client::EXECUTE,
    client::CLOSE,
    client::FLUSH,
    client::FUNCTION_CALL,
    client::COPY_DATA,
    client::COPY_DONE,
    client::COPY_FAIL,
    client::PASSWORD,
];

/// Messages that a server may send during startup, in response to simple queries, or between responses; not those of the
/// extended query and copy protocols.
const SERVER_KINDS: [u8; 12] = [
    server::AUTHENTICATION,
    server::PARAMETER_STATUS,
    server::BACKEND_KEY_DATA,
    server::READY_FOR_QUERY,
    server::ROW_DESCRIPTION,
    server::DATA_ROW,
    server::COMMAND_COMPLETE,
    server::EMPTY_QUERY_RESPONSE,
    server::ERROR_RESPONSE,
    server::NOTICE_RESPONSE,
    server::NOTIFICATION_RESPONSE,
    server::NEGOTIATE_PROTOCOL_VERSION,
];

/// Client messages without a body.
const WITHOUT_BODY: [u8; 4] = [
    client::TERMINATE,
    client::SYNC,
    client::FLUSH,
    client::COPY_DONE,
];

/// The sender of the messages of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sender {
    Client,
    Server,
}

impl Sender {
    fn message_kinds(self) -> &'static [u8] {
        match self {
            Sender::Client => &CLIENT_KINDS,
            Sender::Server => &SERVER_KINDS,
        }
    }

    /// Returns whether a message of this type may have this length, judging by the bytes received so far.
    fn may_send(self, kind: u8, length: u32, message: &[u8]) -> bool {
        match (self, kind) {
            (Sender::Server, server::READY_FOR_QUERY) => length == READY_FOR_QUERY_LENGTH,
            (Sender::Server, server::EMPTY_QUERY_RESPONSE) => length == MIN_MESSAGE_LENGTH,
            (Sender::Server, server::DATA_ROW) => may_be_one_column(length, message),
            (Sender::Client, kind) if WITHOUT_BODY.contains(&kind) => length == MIN_MESSAGE_LENGTH,
            _ => true,
        }
    }
}

/// Returns whether a data row may have exactly one column; true until the column's length has arrived. All statements and
/// health checks that the gateway sends request a single column.
///
/// The first 11 bytes are the message's type (1 byte), its length (4), the number of columns (2) and the column's length (4).
/// The message's length covers the 10 bytes after the type, and the column's value.
fn may_be_one_column(length: u32, message: &[u8]) -> bool {
    let Some(column_length) = message.get(7..11).and_then(|bytes| bytes.first_chunk()) else {
        return true;
    };
    let column_length = i32::from_be_bytes(*column_length);
    let row_length = 10 + i64::from(column_length.max(0));
    message[HEADER_BYTES..7] == [0, 1] && i64::from(length) == row_length && column_length >= -1
}

/// Splits the bytes of one connection into messages; holds incomplete messages and those not returned yet.
#[derive(Debug)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    /// Bytes at the start of the buffer that have been returned in messages.
    start: usize,
    /// The next packet is a startup packet, which has no type byte.
    in_startup: bool,
    sender: Sender,
    max_message_bytes: usize,
    max_startup_bytes: usize,
}

impl FrameDecoder {
    /// Creates a decoder of a server's bytes, in which every message has a type.
    pub fn server(max_message_bytes: usize) -> Self {
        FrameDecoder {
            buffer: Vec::new(),
            start: 0,
            in_startup: false,
            sender: Sender::Server,
            max_message_bytes,
            max_startup_bytes: 0,
        }
    }

    /// Creates a decoder of a client's bytes, in which packets have no type until the startup is complete.
    pub fn client(max_startup_bytes: usize, max_message_bytes: usize) -> Self {
        FrameDecoder {
            buffer: Vec::new(),
            start: 0,
            in_startup: true,
            sender: Sender::Client,
            max_message_bytes,
            max_startup_bytes,
        }
    }

    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.discard_returned();
        // `reserve` may double the capacity, so that a large part of a message would take up to twice the memory that the read
        // budget counts for it.
        self.buffer.reserve_exact(bytes.len());
        self.buffer.extend_from_slice(bytes);
    }

    /// Drops returned bytes once they are at least half of the buffer, so that the buffer takes less than twice the memory of
    /// its pending bytes. If they were dropped only when no bytes are pending, the buffer would grow without limit for a client
    /// whose next message always begins to arrive before the previous one is returned.
    fn discard_returned(&mut self) {
        if self.start >= self.buffer.len() - self.start {
            self.buffer.drain(..self.start);
            self.buffer.shrink_to_fit();
            self.start = 0;
        }
    }

    /// Drops all buffered bytes.
    pub fn clear(&mut self) {
        self.buffer = Vec::new();
        self.start = 0;
    }

    /// Returns the number of received bytes that have not been returned in messages.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len() - self.start
    }

    /// Returns the size of the buffer, including bytes of messages that have already been returned.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the size of the next message if it is complete, and 0 if its header is malformed; `None` until either is known.
    pub fn next_frame_bytes(&self) -> Option<usize> {
        let Ok((_, length)) = self.next_header()? else {
            return Some(0);
        };
        let bytes = self.type_bytes() + length as usize;
        (bytes <= self.pending_bytes()).then_some(bytes)
    }

    /// Returns how many bytes are missing until the next message is complete, as far as its received bytes show that; 0 if it is
    /// complete or its header is malformed.
    pub fn missing_bytes(&self) -> usize {
        let header_bytes = self.type_bytes() + STARTUP_HEADER_BYTES;
        let message_bytes = match self.next_header() {
            Some(Ok((_, length))) => self.type_bytes() + length as usize,
            Some(Err(_)) => 0,
            None => header_bytes,
        };
        message_bytes.saturating_sub(self.pending_bytes())
    }

    /// Returns the bytes of the next message if it is complete and its header is valid.
    pub fn peek_frame(&self) -> Option<&[u8]> {
        let bytes = self.next_frame_bytes().filter(|bytes| *bytes > 0)?;
        self.buffer.get(self.start..self.start + bytes)
    }

    /// Returns the next complete message; `None` until there is one.
    pub fn next_frame(&mut self) -> Option<Result<Frame, FrameError>> {
        let (kind, length) = match self.next_header()? {
            Ok(header) => header,
            Err(error) => return Some(Err(error)),
        };
        let end = self.start + self.type_bytes() + length as usize;
        let bytes = self.buffer.get(self.start..end)?.to_vec();
        self.start = end;
        self.discard_returned();
        let frame = Frame { kind, bytes };
        self.in_startup &= !frame.is_startup();
        Some(Ok(frame))
    }

    /// Returns the size of the next message's type byte: 0 during startup, otherwise 1.
    fn type_bytes(&self) -> usize {
        usize::from(!self.in_startup)
    }

    /// Returns the type and length of the next message. An invalid header is reported before the message is complete: the rest
    /// of it may never arrive, and its sender would wait or keep sending in vain.
    fn next_header(&self) -> Option<Result<(u8, u32), FrameError>> {
        let message = &self.buffer[self.start..];
        if self.in_startup {
            let length = u32::from_be_bytes(*message.first_chunk()?);
            let fits = length >= MIN_STARTUP_LENGTH && length as usize <= self.max_startup_bytes;
            return Some(if fits {
                Ok((STARTUP, length))
            } else {
                Err(FrameError {
                    kind: STARTUP,
                    length,
                })
            });
        }
        let kind = *message.first()?;
        if !self.sender.message_kinds().contains(&kind) {
            return Some(Err(FrameError { kind, length: 0 }));
        }
        let length = u32::from_be_bytes(*message.get(1..)?.first_chunk()?);
        let in_range = length >= MIN_MESSAGE_LENGTH && length as usize <= self.max_message_bytes;
        let fits = in_range && self.sender.may_send(kind, length, message);
        Some(if fits {
            Ok((kind, length))
        } else {
            Err(FrameError { kind, length })
        })
    }
}
