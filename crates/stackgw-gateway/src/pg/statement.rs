//! A client's statement. Its form is checked, the fields that decisions need are parsed, and it is forwarded unchanged except
//! for its timeout `d`.

use super::sql::{parse_target, StatementTarget};
use super::Frame;
use std::ops::Range;

/// Size of the header of a query message: its type and its length.
const HEADER_BYTES: usize = 5;
/// Exclusive upper bound of timeouts, in milliseconds.
const TIMEOUT_MS_END: u64 = 1 << 32;
/// Exclusive upper bound of positions, in Unix milliseconds.
const POSITION_MS_END: u64 = 1 << 43;

/// An error in a statement. The statement is not forwarded, and the message is sent to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.message())]
pub enum StatementError {
    /// The query's text has no terminating zero byte.
    Unterminated,
    /// The query is not valid UTF-8.
    NotText,
    /// The statement has no comment.
    NoComment,
    /// The SQL has neither of the two supported forms, or its key is empty.
    UnknownForm,
    /// The comment has no end, or is followed by other text.
    UnterminatedComment,
    /// A part of the comment has no `=`.
    NotAPair,
    /// A field of the comment is duplicated.
    DuplicateField,
    /// `id` is missing or empty.
    NoId,
    /// `c` is missing.
    NoClass,
    /// `d` is missing.
    NoTimeout,
    /// `d` is not a number, or is too large.
    InvalidTimeout,
    /// `after` is not a number, or is too large.
    InvalidPosition,
    /// `cluster` is missing, is not a number, or is too large.
    InvalidCluster,
}

impl StatementError {
    /// Returns the message for the client.
    pub const fn message(self) -> &'static str {
        match self {
            StatementError::Unterminated => "the query has no end",
            StatementError::NotText => "the query is no text",
            StatementError::NoComment => "the statement has no comment",
            StatementError::UnknownForm => "the statement is of no known form",
            StatementError::UnterminatedComment => "the comment has no end",
            StatementError::NotAPair => "the comment holds no name=value",
            StatementError::DuplicateField => "the comment names something twice",
            StatementError::NoId => "the comment has no id",
            StatementError::NoClass => "the comment has no c",
            StatementError::NoTimeout => "the comment has no d",
            StatementError::InvalidTimeout => "d is no number of milliseconds",
            StatementError::InvalidPosition => "after is no position",
            StatementError::InvalidCluster => "cluster is no number",
        }
    }
}

/// The fields of a statement that decisions need, and its bytes as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    bytes: Vec<u8>,
    /// The range of the digits of `d` in the bytes.
    timeout_digits: Range<usize>,
    /// The request's id.
    pub id: String,
    /// The range of the quoted key in the bytes.
    key: Range<usize>,
    /// The class's name.
    pub class: String,
    /// How long the client waits for the response, in milliseconds.
    pub wait_ms: u64,
    /// The group's number.
    pub cluster: u32,
    /// The position that a member must have reached to serve a read, in Unix milliseconds.
    pub after_ms: Option<i64>,
    /// Whether the client repeats an earlier request.
    pub repeat: bool,
    /// Whether the statement writes.
    pub write: bool,
}

impl Statement {
    /// Returns whether a query message holds no statement.
    pub fn is_empty(frame: &Frame) -> bool {
        let is_blank = |byte: &u8| byte.is_ascii_whitespace() || matches!(byte, b';' | 0);
        frame.body().iter().all(is_blank)
    }

    /// Returns the target of a query message from its SQL, without parsing its comment; `None` if the SQL has neither supported
    /// form or no comment follows it.
    pub fn target(frame: &Frame) -> Option<StatementTarget<'_>> {
        let text = std::str::from_utf8(frame.body()).ok()?;
        parse_target(text.split_at(text.rfind("/*")?).0)
    }

    /// Parses a query message and keeps its bytes.
    ///
    /// # Errors
    ///
    /// A part of the statement or of its comment is missing or malformed; only the first such error is returned.
    pub fn parse(frame: Frame) -> Result<Self, StatementError> {
        let text = frame
            .body()
            .strip_suffix(b"\0")
            .ok_or(StatementError::Unterminated)?;
        let text = std::str::from_utf8(text).map_err(|_| StatementError::NotText)?;
        let comment_start = text.rfind("/*").ok_or(StatementError::NoComment)?;
        let (sql, comment) = text.split_at(comment_start);
        let target = parse_target(sql).ok_or(StatementError::UnknownForm)?;
        let fields = CommentFields::parse(comment, HEADER_BYTES + comment_start)?;
        let id = fields
            .id
            .filter(|id| !id.is_empty())
            .ok_or(StatementError::NoId)?;
        let timeout = fields.timeout.ok_or(StatementError::NoTimeout)?;
        let wait_ms = parse_timeout(timeout.text)?;
        let cluster = fields
            .cluster
            .and_then(parse_digits)
            .and_then(|number| u32::try_from(number).ok());
        let after_ms = fields.after.map(parse_after).transpose()?.flatten();
        let class = fields.class.ok_or(StatementError::NoClass)?;
        Ok(Statement {
            id: id.to_owned(),
            key: range_within(&frame.bytes, target.key),
            class: class.to_owned(),
            wait_ms,
            cluster: cluster.ok_or(StatementError::InvalidCluster)?,
            after_ms,
            repeat: fields.repeat == Some("1"),
            write: target.writes,
            timeout_digits: timeout.range,
            bytes: frame.bytes,
        })
    }

    /// Returns the memory that the statement takes, including the names that are kept in addition to the message.
    pub fn size_bytes(&self) -> usize {
        self.bytes.len() + 2 * self.id.len() + self.class.len()
    }

    /// Returns the quoted key.
    pub fn key(&self) -> &str {
        std::str::from_utf8(self.key_bytes()).unwrap_or_default()
    }

    /// Returns the bytes of the quoted key.
    pub fn key_bytes(&self) -> &[u8] {
        &self.bytes[self.key.clone()]
    }

    /// Returns the time that the client of a query message waits for the response, in milliseconds; `None` if the message is
    /// malformed.
    pub fn wait_ms_of(message: &[u8]) -> Option<u64> {
        let text = std::str::from_utf8(message.get(HEADER_BYTES..)?.strip_suffix(b"\0")?).ok()?;
        let comment_start = text.rfind("/*")?;
        let fields = CommentFields::parse(&text[comment_start..], HEADER_BYTES + comment_start);
        parse_timeout(fields.ok()?.timeout?.text).ok()
    }

    /// Returns the message with `d` set to the time that this attempt may take, and otherwise unchanged.
    pub fn with_timeout(&self, wait_ms: u64) -> Vec<u8> {
        let digits = wait_ms.to_string();
        let mut message = Vec::with_capacity(self.bytes.len() + digits.len());
        message.extend_from_slice(&self.bytes[..self.timeout_digits.start]);
        message.extend_from_slice(digits.as_bytes());
        message.extend_from_slice(&self.bytes[self.timeout_digits.end..]);
        let length = (message.len() as u32 - 1).to_be_bytes();
        message[1..HEADER_BYTES].copy_from_slice(&length);
        message
    }
}

/// Returns the range that a part of a message has in it.
fn range_within(message: &[u8], part: &str) -> Range<usize> {
    let start = part.as_ptr().addr() - message.as_ptr().addr();
    start..start + part.len()
}

/// A value of the comment, and its range in the message.
struct LocatedValue<'a> {
    text: &'a str,
    range: Range<usize>,
}

/// The fields of a statement's comment that the gateway uses.
#[derive(Default)]
struct CommentFields<'a> {
    id: Option<&'a str>,
    class: Option<&'a str>,
    timeout: Option<LocatedValue<'a>>,
    cluster: Option<&'a str>,
    after: Option<&'a str>,
    repeat: Option<&'a str>,
}

impl<'a> CommentFields<'a> {
    /// Parses a comment that begins at this offset in the message.
    fn parse(comment: &'a str, comment_offset: usize) -> Result<Self, StatementError> {
        let inner = comment
            .strip_prefix("/*")
            .and_then(|comment| comment.strip_suffix("*/"));
        let inner = inner
            .filter(|inner| !inner.contains("*/"))
            .ok_or(StatementError::UnterminatedComment)?;
        let mut fields = CommentFields::default();
        let mut part_offset = comment_offset + "/*".len();
        for part in inner.split(',') {
            let (name, value) = part
                .trim()
                .split_once('=')
                .ok_or(StatementError::NotAPair)?;
            let leading_spaces = part.len() - part.trim_start().len();
            let value_offset = part_offset + leading_spaces + name.len() + "=".len();
            let replaced = match name {
                "id" => fields.id.replace(value).is_some(),
                "c" => fields.class.replace(value).is_some(),
                "d" => {
                    let range = value_offset..value_offset + value.len();
                    fields
                        .timeout
                        .replace(LocatedValue { text: value, range })
                        .is_some()
                }
                "cluster" => fields.cluster.replace(value).is_some(),
                "after" => fields.after.replace(value).is_some(),
                "r" => fields.repeat.replace(value).is_some(),
                _ => false,
            };
            if replaced {
                return Err(StatementError::DuplicateField);
            }
            part_offset += part.len() + ",".len();
        }
        Ok(fields)
    }
}

fn parse_digits(text: &str) -> Option<u64> {
    let all_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    all_digits.then(|| text.parse().ok()).flatten()
}

fn parse_timeout(text: &str) -> Result<u64, StatementError> {
    let ms = parse_digits(text).filter(|ms| *ms < TIMEOUT_MS_END);
    ms.ok_or(StatementError::InvalidTimeout)
}

/// Parses a position in Unix milliseconds; 0 means that none is required.
fn parse_after(text: &str) -> Result<Option<i64>, StatementError> {
    let ms = parse_digits(text)
        .filter(|ms| *ms < POSITION_MS_END)
        .ok_or(StatementError::InvalidPosition)?;
    Ok(Some(ms as i64).filter(|ms| *ms > 0))
}
