//! Assembles the lines of a watch into lists.

use super::{parse_endpoint_list, ListError, ListUpdate};
use stackgw_router::api::Span;

/// Why a watch, or another response of the list service, has ended.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WatchError {
    /// The reason, for the log.
    pub reason: String,
    /// The retry-after time, if the service says that it is overloaded (0: it names no time).
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

/// The result of a line of a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchEvent {
    /// A blank line: nothing has changed.
    Heartbeat,
    /// A complete list, or a list of changes.
    List(ListUpdate),
    /// The line is a part of a list that continues on further lines.
    Incomplete,
}

/// An error in a line of a watch.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WatchLineError {
    /// The line does not begin a JSON object.
    #[error("a line of the watch is not a list")]
    NotAList,
    /// A new list, or a blank line, came before the end of the previous list.
    #[error("a list is incomplete")]
    CutOff,
    /// The list exceeds the size limit.
    #[error("a list is too long")]
    TooLong,
    /// The list is complete but malformed.
    #[error(transparent)]
    List(#[from] ListError),
}

/// Assembles the lines of a watch into lists. Most lists take one line; an indented list takes several.
#[derive(Debug)]
pub struct WatchParser {
    /// The received part of the current list.
    buffer: Vec<u8>,
    nesting: Nesting,
    max_bytes: usize,
}

impl WatchParser {
    /// Creates a parser for lists of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        WatchParser {
            buffer: Vec::new(),
            nesting: Nesting::default(),
            max_bytes,
        }
    }

    /// Parses the next line.
    ///
    /// # Errors
    ///
    /// The line does not begin a list, makes the current list too long, or completes a list that is malformed. A complete list
    /// on one line, or a blank line, is an error inside a list: otherwise the lists after a truncated one would be taken for
    /// its rest.
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

/// The open brackets of a JSON text.
#[derive(Debug, Default)]
struct Nesting {
    depth: usize,
    /// The bytes so far end inside a string.
    in_string: bool,
    /// The bytes so far end inside a string, after a backslash.
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
