//! The lines of a watch, put together to lists.

use super::{parse_endpoint_list, ListError, ListUpdate};
use stackgw_router::api::Span;

/// Why a watch, or another answer of the list service, is over.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WatchError {
    /// The reason, for the log.
    pub reason: String,
    /// The service says that it is overloaded, and for how long it wants to be left alone (0: it does not say).
    pub retry_after: Option<Span>,
}

impl From<String> for WatchError {
    fn from(reason: String) -> Self {
        WatchError {
            reason,
            retry_after: None,
        }
    }
}

impl From<&str> for WatchError {
    fn from(reason: &str) -> Self {
        reason.to_owned().into()
    }
}

/// What a line of a watch amounts to.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchEvent {
    /// A blank line: nothing is new.
    Heartbeat,
    /// A list, complete or of what changed.
    List(ListUpdate),
    /// More lines are to come before it means anything.
    Incomplete,
}

/// Why a line has no place in a watch.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WatchLineError {
    /// It begins no JSON object.
    #[error("a line of the watch is no list")]
    NotAList,
    /// A new list, or a blank line, came before the last list's end.
    #[error("a list is cut off")]
    CutOff,
    /// The list is longer than any that is accepted.
    #[error("a list is too long")]
    TooLong,
    /// The list is complete and malformed.
    #[error(transparent)]
    List(#[from] ListError),
}

/// Puts the lines of a watch together to lists. Most come one a line; one may come indented, over many lines.
#[derive(Debug)]
pub struct WatchParser {
    /// The list so far.
    buffer: Vec<u8>,
    nesting: Nesting,
    max_bytes: usize,
}

impl WatchParser {
    /// A parser for lists of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        WatchParser {
            buffer: Vec::new(),
            nesting: Nesting::default(),
            max_bytes,
        }
    }

    /// Takes the next line. Danger: a list that was cut off must not swallow those behind it, so a line that is a list, or a
    /// blank one, ends the watch inside a list.
    ///
    /// # Errors
    ///
    /// The line has no place here, or it completes a list that is malformed.
    pub fn push_line(&mut self, line: Vec<u8>) -> Result<WatchEvent, WatchLineError> {
        let is_blank = line.trim_ascii().is_empty();
        let begins_list = line.trim_ascii_start().first() == Some(&b'{');
        if self.buffer.is_empty() {
            if is_blank {
                return Ok(WatchEvent::Heartbeat);
            }
            if !begins_list {
                return Err(WatchLineError::NotAList);
            }
        } else if is_blank || begins_list && parse_endpoint_list(&line).is_ok() {
            return Err(WatchLineError::CutOff);
        }
        if self.buffer.len() + line.len() > self.max_bytes {
            return Err(WatchLineError::TooLong);
        }
        self.nesting.scan(&line);
        if self.buffer.is_empty() {
            self.buffer = line;
        } else {
            self.buffer.extend(line);
        }
        if self.nesting.is_open() {
            return Ok(WatchEvent::Incomplete);
        }
        let list = parse_endpoint_list(&std::mem::take(&mut self.buffer))?;
        Ok(WatchEvent::List(list))
    }
}

/// Which of the brackets of a JSON text are open.
#[derive(Debug, Default)]
struct Nesting {
    depth: usize,
    /// The bytes so far end inside a string.
    in_string: bool,
    /// The bytes so far end inside a string, behind a backslash.
    is_escaped: bool,
}

impl Nesting {
    fn scan(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match (self.in_string, byte) {
                (true, _) if self.is_escaped => self.is_escaped = false,
                (true, b'\\') => self.is_escaped = true,
                (_, b'"') => self.in_string = !self.in_string,
                (false, b'{' | b'[') => self.depth += 1,
                (false, b'}' | b']') => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
    }

    fn is_open(&self) -> bool {
        self.depth > 0
    }
}
