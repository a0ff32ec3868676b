//! Splits a byte stream into the protocol's messages.
//!
//! Each message keeps the bytes in which it came, so that it can be forwarded as it is. A message is checked by its type and
//! length as soon as its first bytes are there: a sender that announces what it never sends is found out at once.

use super::code;
use super::message_kind::{client, server, STARTUP};

/// A startup packet's length field.
const STARTUP_HEADER_BYTES: usize = 4;
/// A message's type byte and its length field.
const HEADER_BYTES: usize = 5;
/// A startup packet holds at least its length and a code.
const MIN_STARTUP_LENGTH: u32 = 8;
/// A message's length counts its own four bytes.
const MIN_MESSAGE_LENGTH: u32 = 4;
/// ReadyForQuery holds one byte.
const READY_FOR_QUERY_LENGTH: u32 = 5;

/// One message, its header included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Its type byte, of [`message_kind`](super::message_kind).
    pub kind: u8,
    /// The bytes as they came, header included.
    pub bytes: Vec<u8>,
}

impl Frame {
    /// What follows the header.
    pub fn body(&self) -> &[u8] {
        let header = if self.kind == STARTUP {
            STARTUP_HEADER_BYTES
        } else {
            HEADER_BYTES
        };
        self.bytes.get(header..).unwrap_or_default()
    }

    /// The code at the start of a startup packet.
    pub fn code(&self) -> Option<u32> {
        self.body()
            .first_chunk()
            .map(|code| u32::from_be_bytes(*code))
    }

    /// Whether the parameters of a startup packet are complete.
    pub fn has_parameters(&self) -> bool {
        // Behind the code, names and values each with a zero byte, and one more zero byte.
        self.body()
            .get(4..)
            .is_some_and(|text| text == [0] || text.ends_with(&[0, 0]))
    }

    /// Whether this is a startup packet of version 3, of any minor version.
    pub fn is_startup(&self) -> bool {
        let is_version_3 = |version: u32| version >> 16 == code::VERSION_3 >> 16;
        self.kind == STARTUP && self.code().is_some_and(is_version_3)
    }
}

/// A message whose type or length the protocol does not have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("message {:?} of length {length}", char::from(*kind))]
pub struct FrameError {
    /// Its type byte.
    pub kind: u8,
    /// Its length field; 0 where the type alone is wrong.
    pub length: u32,
}

/// What a client may send, the copy protocol's messages included.
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

/// What a server may send in answer to simple queries.
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

/// Messages of clients that have no body.
const WITHOUT_BODY: [u8; 4] = [
    client::TERMINATE,
    client::SYNC,
    client::FLUSH,
    client::COPY_DONE,
];

/// Who sends the messages of a stream.
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

    /// Whether a message of this type can have this length, as far as its first bytes show.
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

/// Whether a data row can be one of a single column. The four bytes of the column's length are header enough to know.
fn may_be_one_column(length: u32, message: &[u8]) -> bool {
    let Some(column_length) = message.get(7..11).and_then(|bytes| bytes.first_chunk()) else {
        return true;
    };
    let column_length = i32::from_be_bytes(*column_length);
    let row_length = 10 + i64::from(column_length.max(0));
    message[HEADER_BYTES..7] == [0, 1] && i64::from(length) == row_length && column_length >= -1
}

/// The bytes of one connection that are not yet complete messages, or not yet asked for.
#[derive(Debug)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    /// Bytes of the buffer that have been handed out.
    start: usize,
    /// The next packet is one of the startup, which has no type byte.
    in_startup: bool,
    sender: Sender,
    max_message_bytes: usize,
    max_startup_bytes: usize,
}

impl FrameDecoder {
    /// Decodes what a server sends: every message has a type.
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

    /// Decodes what a client sends: packets without a type until the startup is done.
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

    /// Takes bytes as they come.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.discard_handed_out();
        // Doubled, a large part of a message would take twice the memory that it counts as.
        self.buffer.reserve_exact(bytes.len());
        self.buffer.extend_from_slice(bytes);
    }

    /// Drops what has been handed out once it is half of the buffer, so that the buffer takes little more than what counts as
    /// pending. Danger: a client that always has the next message on its way would never see the buffer emptied.
    fn discard_handed_out(&mut self) {
        if self.start >= self.buffer.len() - self.start {
            self.buffer.drain(..self.start);
            self.buffer.shrink_to_fit();
            self.start = 0;
        }
    }

    /// Drops all that is buffered.
    pub fn clear(&mut self) {
        self.buffer = Vec::new();
        self.start = 0;
    }

    /// Bytes that have come and are not handed out.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len() - self.start
    }

    /// Bytes that the buffer takes, those of messages already handed out included.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The size of the next message if it is complete; 0 if its header is malformed, `None` until either is known.
    pub fn next_frame_bytes(&self) -> Option<usize> {
        let Ok((_, length)) = self.next_header()? else {
            return Some(0);
        };
        let bytes = self.type_bytes() + length as usize;
        (bytes <= self.pending_bytes()).then_some(bytes)
    }

    /// The next complete message; `None` until there is one.
    pub fn next_frame(&mut self) -> Option<Result<Frame, FrameError>> {
        let (kind, length) = match self.next_header()? {
            Ok(header) => header,
            Err(error) => return Some(Err(error)),
        };
        let end = self.start + self.type_bytes() + length as usize;
        let bytes = self.buffer.get(self.start..end)?.to_vec();
        self.start = end;
        self.discard_handed_out();
        let frame = Frame { kind, bytes };
        self.in_startup &= !frame.is_startup();
        Some(Ok(frame))
    }

    /// Bytes before the length field.
    fn type_bytes(&self) -> usize {
        usize::from(!self.in_startup)
    }

    /// Type and length of the next message. Danger: a message that is checked only once it is complete may never be, and its
    /// sender waits or sends on for nothing.
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
