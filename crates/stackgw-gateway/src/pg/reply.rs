//! A member's reply, assembled message by message until it is complete.

use super::message_kind::server;
use super::{parse_load_report, Frame};
use stackgw_router::api::{LoadReport, Time, MS};

/// The body of AuthenticationOk.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];

/// Maximum number of messages of a reply to one statement. A reply without an end may consist of small messages.
pub const MAX_REPLY_MESSAGES: usize = 1024;
/// Maximum size of the messages of a reply that are not part of its row.
const MAX_DROPPED_BYTES: usize = 256 << 10;

/// Why a reply is malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ReplyError {
    /// A message's type or body is not valid at its place in a reply.
    #[error("unexpected message in a reply")]
    UnexpectedMessage,
    /// The reply's row, or its other messages, take too many bytes, or it has too many messages.
    #[error("a reply is too large")]
    TooLarge,
}

/// The outcome of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// One complete row.
    Row,
    /// An error with this SQLSTATE.
    Error([u8; 5]),
    /// A complete reply without a row, also that to an empty query.
    NoRow,
}

/// The received part of a reply.
#[derive(Debug, Default)]
pub struct Reply {
    /// The row's description, the row and its completion, as received.
    pub row: Vec<u8>,
    has_description: bool,
    has_row: bool,
    has_completion: bool,
    is_ready: bool,
    sqlstate: Option<[u8; 5]>,
    /// Whether the member says that it is the primary; `None`: it does not say.
    pub primary: Option<bool>,
    /// The member's position, or the commit time of a write, in Unix nanoseconds.
    pub position: Option<Time>,
    /// The load report that came with the reply.
    pub report: LoadReport,
    /// Number of messages received.
    messages: usize,
    /// Size of the messages that are not kept in `row`.
    dropped_bytes: usize,
}

impl Reply {
    /// Adds the next message; the row's messages may take at most `max_bytes`. Returns true once the member is ready again,
    /// which ends the reply.
    ///
    /// # Errors
    ///
    /// The message is not valid here, or the reply is too large; the reply is malformed.
    pub fn add(&mut self, frame: &Frame, max_bytes: usize) -> Result<bool, ReplyError> {
        let row_bytes = self.row.len();
        let is_ended = self.add_message(frame)?;
        self.messages += 1;
        if self.row.len() == row_bytes {
            self.dropped_bytes += frame.bytes.len();
        }
        let is_too_large = self.row.len() > max_bytes
            || self.dropped_bytes > MAX_DROPPED_BYTES
            || self.messages > MAX_REPLY_MESSAGES;
        if is_too_large {
            return Err(ReplyError::TooLarge);
        }
        Ok(is_ended)
    }

    /// Adds the next message, of any size. Returns true if it ends the reply.
    fn add_message(&mut self, frame: &Frame) -> Result<bool, ReplyError> {
        let body = frame.body();
        let is_open = self.outcome().is_none();
        match frame.kind {
            server::ROW_DESCRIPTION if is_open && !self.has_description && is_one_field(body) => {
                self.has_description = true;
                self.row.extend_from_slice(&frame.bytes);
            }
            server::DATA_ROW
                if is_open && self.has_description && !self.has_row && is_one_column(body) =>
            {
                self.has_row = true;
                self.row.extend_from_slice(&frame.bytes);
            }
            server::COMMAND_COMPLETE if is_open && is_text(body) => {
                self.has_completion = true;
                self.row.extend_from_slice(&frame.bytes);
            }
            server::EMPTY_QUERY_RESPONSE if is_open => self.has_completion = true,
            server::ERROR_RESPONSE if is_open => {
                self.sqlstate = Some(parse_sqlstate(body).ok_or(ReplyError::UnexpectedMessage)?)
            }
            server::PARAMETER_STATUS => self.take_parameter(body),
            server::NOTICE_RESPONSE | server::BACKEND_KEY_DATA | server::NOTIFICATION_RESPONSE => {}
            server::AUTHENTICATION if body == AUTHENTICATION_OK => {}
            server::READY_FOR_QUERY if matches!(body, b"I" | b"T" | b"E") => {
                self.is_ready = true;
                return Ok(true);
            }
            _ => return Err(ReplyError::UnexpectedMessage),
        }
        Ok(false)
    }

    /// Returns whether the member is ready again, so that no part of the reply is missing.
    pub fn is_complete(&self) -> bool {
        self.is_ready
    }

    /// Reduces the reply to a denial of the primary role, if it holds one. A claim of the role, and a position, are only as
    /// credible as the reply; to believe a denial costs little, and not to believe it may cost a stale read.
    pub fn keep_only_denial(&mut self) {
        *self = Reply {
            primary: self.primary.filter(|is_primary| !is_primary),
            ..Reply::default()
        };
    }

    /// Returns the outcome; `None` until an error or a completion has been received. The outcome may be known before the reply
    /// is complete, and is kept if the connection closes then.
    pub fn outcome(&self) -> Option<ReplyOutcome> {
        match (self.sqlstate, self.has_completion) {
            (Some(sqlstate), _) => Some(ReplyOutcome::Error(sqlstate)),
            (None, true) if self.has_row => Some(ReplyOutcome::Row),
            (None, true) => Some(ReplyOutcome::NoRow),
            (None, false) => None,
        }
    }

    /// Returns the text of the row's one column; used for health checks.
    pub fn column(&self) -> Option<&str> {
        std::str::from_utf8(column_value(&self.row)??).ok()
    }

    /// Records a parameter's value. A malformed position or load report counts as missing, and an unknown role is ignored:
    /// neither may make the row unusable.
    fn take_parameter(&mut self, body: &[u8]) {
        let mut parts = body
            .split(|byte| *byte == 0)
            .map(|part| std::str::from_utf8(part).unwrap_or_default());
        let name = parts.next().unwrap_or_default();
        let value = parts.next().unwrap_or_default();
        match (name, value) {
            ("node_role", "leader") => self.primary = Some(true),
            ("node_role", "follower") => self.primary = Some(false),
            ("replay_position", position) => self.position = parse_position(position),
            ("server_load", load) => self.report = parse_load_report(load).unwrap_or_default(),
            _ => {}
        }
    }
}

/// Parses a position in Unix milliseconds. Returns `None` for 0, which means no position, and for any other text that is not a
/// positive number below 2^43.
fn parse_position(text: &str) -> Option<Time> {
    let ms = text
        .parse::<i64>()
        .ok()
        .filter(|ms| (1..1 << 43).contains(ms));
    ms.map(|ms| ms * MS)
}

/// Returns the one column of a row that is preceded by its description: `Some(None)` if the column is null, `None` if the bytes
/// are incomplete.
pub fn column_value(row: &[u8]) -> Option<Option<&[u8]>> {
    let description_bytes = 1 + u32::from_be_bytes(*row.get(1..)?.first_chunk()?) as usize;
    // The row begins with its type (1 byte), its length (4), the number of columns (2) and the length of the column (4).
    let row = row.get(description_bytes..)?;
    match usize::try_from(i32::from_be_bytes(*row.get(7..)?.first_chunk()?)) {
        Ok(length) => Some(Some(row.get(11..)?.get(..length)?)),
        Err(_) => Some(None),
    }
}

/// Returns whether a data row has exactly one column, whose length matches that of the row.
fn is_one_column(body: &[u8]) -> bool {
    let [0, 1, a, b, c, d, value @ ..] = body else {
        return false;
    };
    match i32::from_be_bytes([*a, *b, *c, *d]) {
        -1 => value.is_empty(),
        length => usize::try_from(length) == Ok(value.len()),
    }
}

/// Size of the table, column, type, type size, type modifier and format that follow a field's name.
const FIELD_TAIL_BYTES: usize = 18;

/// Returns whether a row's description has exactly one column.
fn is_one_field(body: &[u8]) -> bool {
    let Some(fields) = body.strip_prefix(&[0, 1]) else {
        return false;
    };
    let name_length = fields.iter().position(|byte| *byte == 0);
    name_length.is_some_and(|length| fields.len() == length + 1 + FIELD_TAIL_BYTES)
}

/// Returns whether a body is one string with its terminating zero byte.
fn is_text(body: &[u8]) -> bool {
    body.split_last().is_some_and(|(end, text)| {
        *end == 0
            && !text.is_empty()
            && text
                .iter()
                .all(|byte| byte.is_ascii_graphic() || *byte == b' ')
    })
}

/// Returns the SQLSTATE of an error whose fields are complete: each is a letter and a string with its terminating zero byte,
/// and one more zero byte follows the last.
fn parse_sqlstate(body: &[u8]) -> Option<[u8; 5]> {
    let fields = body.strip_suffix(&[0, 0])?;
    let mut sqlstate = None;
    for field in fields.split(|byte| *byte == 0) {
        let (kind, _) = field.split_first()?;
        if !kind.is_ascii_alphabetic() {
            return None;
        }
        sqlstate = sqlstate.or(field.strip_prefix(b"C"));
    }
    let sqlstate: [u8; 5] = sqlstate?.try_into().ok()?;
    let is_valid = |byte: &u8| byte.is_ascii_uppercase() || byte.is_ascii_digit();
    sqlstate.iter().all(is_valid).then_some(sqlstate)
}
