//! What the list's agent says: HTTP/1.1 answers, lines of a watch, and lists of members as JSON. Incremental and
//! without I/O; every size has a limit.

use serde_json::Value;
use stackgw_router::api::{Lifecycle, Span, SECOND};
use std::fmt;
use std::net::SocketAddr;

/// No moment is later than this (some 200 years on); as nanoseconds it still fits.
const MOST_UNIX_MS: f64 = 8e12;

/// Bytes that are not of the protocol, or too many of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Malformed {}

fn wrong<T>(problem: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(problem.into()))
}

pub use stackgw_bootstrap::{Endpoint as ListEntry, EndpointUpdate as ListUpdate};

/// Why an answer of the list's agent is over.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WatchError {
    /// In words.
    pub reason: String,
    /// The service says that it is overloaded, and for how long it wants to be left alone, as far as it says.
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
    fn from(why: &str) -> Self {
        why.to_owned().into()
    }
}

/// Reads a list from its bytes.
pub fn parse_endpoint_list(bytes: &[u8]) -> Result<ListUpdate, Malformed> {
    match serde_json::from_slice(bytes) {
        Ok(value) => list(&value),
        Err(e) => wrong(format!("no JSON: {e}")),
    }
}

/// Reads a list.
pub fn list(value: &Value) -> Result<ListUpdate, Malformed> {
    let Some(revision) = value.get("revision").and_then(Value::as_u64) else {
        return wrong("revision is no whole number");
    };
    let Some(complete) = value.get("complete").and_then(Value::as_bool) else {
        return wrong("complete is neither true nor false");
    };
    let Some(members) = value.get("members").and_then(Value::as_array) else {
        return wrong("members is no list");
    };
    let members = members.iter().map(entry).collect::<Result<_, _>>()?;
    Ok(ListUpdate {
        revision,
        complete,
        members,
    })
}

fn entry(value: &Value) -> Result<ListEntry, Malformed> {
    let text = |key: &str| match value.get(key).and_then(Value::as_str) {
        Some(text) => Ok(text),
        None => wrong(format!("members: {key} is no text")),
    };
    let cell = value
        .get("cell")
        .and_then(Value::as_u64)
        .and_then(|n| u32::try_from(n).ok());
    let size = value
        .get("size")
        .map_or(Some(1.0), Value::as_f64)
        .filter(|s| s.is_finite() && *s >= 0.0);
    let started = value
        .get("up_since_ms")
        .map_or(Some(0.0), Value::as_f64)
        .filter(|t| (0.0..MOST_UNIX_MS).contains(t));
    let (Some(cell), Some(size), Some(started)) = (cell, size, started) else {
        return wrong("members: cell, size or up_since_ms is no number in range");
    };
    let address = text("host_port")?;
    Ok(ListEntry {
        id: text("id")?.to_owned(),
        address: address
            .parse()
            .map_err(|_| Malformed(format!("members: host_port is '{address}'")))?,
        locality: value
            .get("locality")
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned(),
        cell,
        phase: match text("phase")? {
            "ready" => Lifecycle::Serving,
            "draining" => Lifecycle::Draining,
            "gone" => Lifecycle::Removed,
            other => return wrong(format!("members: phase is '{other}'")),
        },
        size,
        up_since_ms: started as i64,
        leader: value.get("role").and_then(Value::as_str) == Some("leader"),
    })
}

/// The request for the whole list, or for a watch of what changes after a version.
pub fn endpoint_request(host: SocketAddr, watch_after: Option<Option<u64>>) -> Vec<u8> {
    let query = match watch_after {
        None => String::new(),
        Some(None) => "?watch=1".to_owned(),
        Some(Some(after)) => format!("?watch=1&after={after}"),
    };
    format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}

/// How far an HTTP answer has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Head,
    /// So many bytes of the body, or of a chunk (then `true`), are still to come.
    Body(u64, bool),
    /// The line with a chunk's size.
    ChunkSize,
    /// The line end after a chunk.
    ChunkEnd,
    /// Lines after the last chunk.
    Trailer,
    /// The body ends with the connection.
    Rest,
    Done,
}

/// Reads one HTTP answer whose body holds one JSON document a line.
#[derive(Debug)]
pub struct HttpLineReader {
    stage: Stage,
    /// Bytes as they came, not yet read.
    raw: Vec<u8>,
    /// The body's line so far.
    line: Vec<u8>,
    head_most: usize,
    line_most: usize,
    retry_after: Option<Span>,
}

/// What an answer's bytes amount to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HttpEvent {
    /// A line of the body, which may be empty.
    Line(Vec<u8>),
    /// The answer is over.
    End,
}

impl HttpLineReader {
    /// Heads and lines of the body keep within these.
    pub fn new(head_most: usize, line_most: usize) -> Self {
        HttpLineReader {
            stage: Stage::Head,
            raw: Vec::new(),
            line: Vec::new(),
            head_most,
            line_most,
            retry_after: None,
        }
    }

    /// The answer says that whoever gave it is overloaded, and for how long it wants to be left alone (0: it does not say).
    pub fn retry_after(&self) -> Option<Span> {
        self.retry_after
    }

    /// Takes bytes as they come; returns what they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<HttpEvent>, Malformed> {
        self.raw.extend_from_slice(bytes);
        let raw = std::mem::take(&mut self.raw);
        let mut rest = &raw[..];
        let mut pieces = Vec::new();
        while let Some(left) = self.step(rest, &mut pieces)? {
            rest = left;
        }
        if rest.len() > self.head_most {
            return wrong("a head or chunk size is too long");
        }
        self.raw = rest.to_vec();
        Ok(pieces)
    }

    /// The connection ended: an answer without a length is whole.
    pub fn end(&mut self) -> Result<Vec<HttpEvent>, Malformed> {
        match self.stage {
            Stage::Done => Ok(Vec::new()),
            Stage::Rest => {
                let mut pieces = Vec::new();
                self.finish(&mut pieces);
                Ok(pieces)
            }
            _ => wrong("the answer is cut off"),
        }
    }

    fn step<'a>(
        &mut self,
        rest: &'a [u8],
        pieces: &mut Vec<HttpEvent>,
    ) -> Result<Option<&'a [u8]>, Malformed> {
        match self.stage {
            Stage::Head => {
                let Some(end) = rest.windows(4).position(|w| w == b"\r\n\r\n") else {
                    return Ok(None);
                };
                if end > self.head_most {
                    return wrong("the head is too long");
                }
                self.retry_after = overloaded(&rest[..end]);
                self.stage = head(&rest[..end])?;
                if self.stage == Stage::Body(0, false) {
                    self.finish(pieces);
                }
                Ok(Some(&rest[end + 4..]))
            }
            Stage::ChunkSize => {
                let Some((line, rest)) = line(rest) else {
                    return Ok(None);
                };
                let digits = line
                    .split(|b| *b == b';')
                    .next()
                    .unwrap_or_default()
                    .trim_ascii();
                let text = std::str::from_utf8(digits).unwrap_or_default();
                let hex = !text.is_empty() && text.bytes().all(|b| b.is_ascii_hexdigit());
                let size = u64::from_str_radix(text, 16).ok().filter(|_| hex);
                match size {
                    None => wrong("a chunk's size is no hexadecimal number"),
                    Some(0) => {
                        self.stage = Stage::Trailer;
                        Ok(Some(rest))
                    }
                    Some(size) => {
                        self.stage = Stage::Body(size, true);
                        Ok(Some(rest))
                    }
                }
            }
            Stage::ChunkEnd => match rest {
                [b'\r', b'\n', rest @ ..] => {
                    self.stage = Stage::ChunkSize;
                    Ok(Some(rest))
                }
                [] | [b'\r'] => Ok(None),
                _ => wrong("a chunk does not end where its size says"),
            },
            Stage::Trailer => {
                let Some((line, rest)) = line(rest) else {
                    return Ok(None);
                };
                if line.is_empty() {
                    self.finish(pieces);
                }
                Ok(Some(rest))
            }
            Stage::Body(left, chunk) if !rest.is_empty() => {
                let take = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                let (now, rest) = rest.split_at(take);
                self.body(now, pieces)?;
                match (left - take as u64, chunk) {
                    (0, true) => self.stage = Stage::ChunkEnd,
                    (0, false) => self.finish(pieces),
                    (left, chunk) => self.stage = Stage::Body(left, chunk),
                }
                Ok(Some(rest))
            }
            Stage::Rest if !rest.is_empty() => {
                self.body(rest, pieces)?;
                Ok(Some(&[]))
            }
            Stage::Body(..) | Stage::Rest => Ok(None),
            Stage::Done if rest.is_empty() => Ok(None),
            Stage::Done => wrong("bytes after the answer's end"),
        }
    }

    fn body(&mut self, mut bytes: &[u8], pieces: &mut Vec<HttpEvent>) -> Result<(), Malformed> {
        while let Some(end) = bytes.iter().position(|b| *b == b'\n') {
            self.line.extend_from_slice(&bytes[..end]);
            if self.line.len() > self.line_most {
                return wrong("a line of the body is too long");
            }
            if self.line.last() == Some(&b'\r') {
                self.line.pop();
            }
            pieces.push(HttpEvent::Line(std::mem::take(&mut self.line)));
            bytes = &bytes[end + 1..];
        }
        self.line.extend_from_slice(bytes);
        if self.line.len() > self.line_most {
            return wrong("a line of the body is too long");
        }
        Ok(())
    }

    fn finish(&mut self, pieces: &mut Vec<HttpEvent>) {
        self.stage = Stage::Done;
        if !self.line.is_empty() {
            pieces.push(HttpEvent::Line(std::mem::take(&mut self.line)));
        }
        pieces.push(HttpEvent::End);
    }
}

/// Puts the lines of a watch together to lists. Most come one a line; one may come indented, over many.
#[derive(Debug)]
pub struct WatchParser {
    /// The list so far.
    begun: Vec<u8>,
    /// Brackets that are open, and whether the bytes so far end inside a text, or there behind a backslash.
    depth: usize,
    text: bool,
    escaped: bool,
    most: usize,
}

/// What a line of a watch amounts to.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchEvent {
    /// Nothing is new.
    Heartbeat,
    /// A list.
    List(ListUpdate),
    /// More is to come before it means anything.
    Incomplete,
}

impl WatchParser {
    /// No list is longer than this.
    pub fn new(most: usize) -> Self {
        WatchParser {
            begun: Vec::new(),
            depth: 0,
            text: false,
            escaped: false,
            most,
        }
    }

    /// Takes the next line. Danger: a list that was cut off must not swallow those behind it, so that a line that is one, or
    /// says that nothing is new, ends the watch inside one.
    pub fn push_line(&mut self, line: Vec<u8>) -> Result<WatchEvent, Malformed> {
        let begins = line.trim_ascii_start().first() == Some(&b'{');
        match (self.begun.is_empty(), line.trim_ascii().is_empty()) {
            (true, true) => return Ok(WatchEvent::Heartbeat),
            (true, false) if !begins => return wrong("a line of the watch is no list"),
            (false, blank) if blank || begins && parse_endpoint_list(&line).is_ok() => {
                return wrong("a list is cut off")
            }
            _ => {}
        }
        if self.begun.len() + line.len() > self.most {
            return wrong("a list is too long");
        }
        for byte in &line {
            match (self.text, byte) {
                (true, _) if self.escaped => self.escaped = false,
                (true, b'\\') => self.escaped = true,
                (_, b'"') => self.text = !self.text,
                (false, b'{' | b'[') => self.depth += 1,
                (false, b'}' | b']') => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        if self.begun.is_empty() {
            self.begun = line;
        } else {
            self.begun.extend(line);
        }
        if self.depth > 0 {
            return Ok(WatchEvent::Incomplete);
        }
        parse_endpoint_list(&std::mem::take(&mut self.begun)).map(WatchEvent::List)
    }
}

fn line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.windows(2).position(|w| w == b"\r\n")?;
    Some((&bytes[..end], &bytes[end + 2..]))
}

/// What 429 and 503 say of when to come back. A date is taken for no time at all.
fn overloaded(head: &[u8]) -> Option<Span> {
    let mut lines = std::str::from_utf8(head).ok()?.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?;
    if !matches!(status, "429" | "503") {
        return None;
    }
    let fields = lines.filter_map(|line| line.split_once(':'));
    let wait = fields.filter(|(name, _)| name.eq_ignore_ascii_case("retry-after"));
    let seconds = wait
        .filter_map(|(_, value)| value.trim().parse::<u32>().ok())
        .next();
    Some(SECOND * Span::from(seconds.unwrap_or(0)))
}

fn head(bytes: &[u8]) -> Result<Stage, Malformed> {
    let Ok(text) = std::str::from_utf8(bytes) else {
        return wrong("the head is no text");
    };
    let mut lines = text.split("\r\n");
    let status = lines.next().unwrap_or_default();
    if !status.starts_with("HTTP/1.1 200") && !status.starts_with("HTTP/1.0 200") {
        return wrong(format!(
            "the answer is '{}'",
            status.chars().take(60).collect::<String>()
        ));
    }
    let mut stage = Stage::Rest;
    for field in lines {
        let Some((name, value)) = field.split_once(':') else {
            return wrong("a head line has no colon");
        };
        if name.eq_ignore_ascii_case("transfer-encoding")
            && value.trim().eq_ignore_ascii_case("chunked")
        {
            return Ok(Stage::ChunkSize);
        }
        if name.eq_ignore_ascii_case("content-length") {
            let Ok(length) = value.trim().parse() else {
                return wrong("content-length is no number");
            };
            stage = Stage::Body(length, false);
        }
    }
    Ok(stage)
}
