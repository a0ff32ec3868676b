//! HTTP/1.1 as far as the list service needs it: one request, and an answer whose body holds one JSON document a line.

use stackgw_router::api::{Span, SECOND};
use std::net::SocketAddr;

/// Of a status line that is no success, so many characters are repeated in the error.
const SHOWN_STATUS_CHARS: usize = 60;

/// What is asked of the list service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestedList {
    /// The complete list, once.
    Complete,
    /// A watch of what changes after this version; `None`: after none, so that it begins with the complete list.
    Watch(Option<u64>),
}

/// The bytes of a request to the list service at this address.
pub fn endpoint_request(host: SocketAddr, requested: RequestedList) -> Vec<u8> {
    let query = match requested {
        RequestedList::Complete => String::new(),
        RequestedList::Watch(None) => "?watch=1".to_owned(),
        RequestedList::Watch(Some(revision)) => format!("?watch=1&after={revision}"),
    };
    format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}

/// Why bytes are no answer that can be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The head, a chunk's size or a trailer does not end within the limit.
    #[error("a head or chunk size is too long")]
    UnterminatedTooLong,
    /// The head is longer than the limit.
    #[error("the head is too long")]
    HeadTooLong,
    /// The head is no UTF-8.
    #[error("the head is no text")]
    HeadNotText,
    /// A line of the head has no colon.
    #[error("a head line has no colon")]
    HeadLine,
    /// The status is not 200.
    #[error("the answer is '{0}'")]
    Status(String),
    /// The body's length is no number.
    #[error("content-length is no number")]
    ContentLength,
    /// A chunk's size is no hexadecimal number.
    #[error("a chunk's size is no hexadecimal number")]
    ChunkSize,
    /// No line end behind a chunk.
    #[error("a chunk does not end where its size says")]
    ChunkEnd,
    /// A line of the body is longer than the limit.
    #[error("a line of the body is too long")]
    LineTooLong,
    /// Something follows the answer.
    #[error("bytes after the answer's end")]
    TrailingBytes,
    /// The connection ended before the answer did.
    #[error("the answer is cut off")]
    CutOff,
}

/// What an answer's bytes amount to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HttpEvent {
    /// A line of the body, which may be empty.
    Line(Vec<u8>),
    /// The answer is over.
    End,
}

/// How far an answer has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Head,
    /// Inside a body of known length.
    SizedBody {
        bytes_left: u64,
    },
    /// Inside a chunk.
    Chunk {
        bytes_left: u64,
    },
    /// The line with a chunk's size.
    ChunkSize,
    /// The line end behind a chunk.
    ChunkEnd,
    /// Lines behind the last chunk.
    Trailer,
    /// The body ends with the connection.
    UnsizedBody,
    Done,
}

/// Reads one HTTP answer whose body holds one JSON document a line.
#[derive(Debug)]
pub struct HttpLineReader {
    stage: Stage,
    /// Bytes as they came, not yet read.
    unread: Vec<u8>,
    /// The body's line so far.
    line: Vec<u8>,
    max_head_bytes: usize,
    max_line_bytes: usize,
    retry_after: Option<Span>,
}

impl HttpLineReader {
    /// A reader of one answer whose head and lines keep within these limits.
    pub fn new(max_head_bytes: usize, max_line_bytes: usize) -> Self {
        HttpLineReader {
            stage: Stage::Head,
            unread: Vec::new(),
            line: Vec::new(),
            max_head_bytes,
            max_line_bytes,
            retry_after: None,
        }
    }

    /// The answer says that the service is overloaded, and for how long it wants to be left alone (0: it does not say).
    pub fn retry_after(&self) -> Option<Span> {
        self.retry_after
    }

    /// Takes bytes as they come; returns what they complete.
    ///
    /// # Errors
    ///
    /// The answer cannot be used; nothing more of it is to be fed.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<HttpEvent>, HttpError> {
        self.unread.extend_from_slice(bytes);
        let unread = std::mem::take(&mut self.unread);
        let mut rest = &unread[..];
        let mut events = Vec::new();
        while let Some(left) = self.step(rest, &mut events)? {
            rest = left;
        }
        if rest.len() > self.max_head_bytes {
            return Err(HttpError::UnterminatedTooLong);
        }
        self.unread = rest.to_vec();
        Ok(events)
    }

    /// The connection ended: an answer without a length is complete.
    ///
    /// # Errors
    ///
    /// The answer has not come to its end.
    pub fn finish(&mut self) -> Result<Vec<HttpEvent>, HttpError> {
        match self.stage {
            Stage::Done => Ok(Vec::new()),
            Stage::UnsizedBody => {
                let mut events = Vec::new();
                self.end_body(&mut events);
                Ok(events)
            }
            _ => Err(HttpError::CutOff),
        }
    }

    /// Reads the next part of the answer; gives what is left behind it, or `None` where more bytes are needed.
    fn step<'a>(
        &mut self,
        rest: &'a [u8],
        events: &mut Vec<HttpEvent>,
    ) -> Result<Option<&'a [u8]>, HttpError> {
        match self.stage {
            Stage::Head => self.read_head(rest, events),
            Stage::ChunkSize => self.read_chunk_size(rest),
            Stage::ChunkEnd => self.read_chunk_end(rest),
            Stage::Trailer => self.read_trailer(rest, events),
            Stage::Done if rest.is_empty() => Ok(None),
            Stage::Done => Err(HttpError::TrailingBytes),
            Stage::SizedBody { .. } | Stage::Chunk { .. } | Stage::UnsizedBody
                if rest.is_empty() =>
            {
                Ok(None)
            }
            Stage::SizedBody { bytes_left } => {
                let (rest, bytes_left) = self.read_body_part(rest, bytes_left, events)?;
                match bytes_left {
                    0 => self.end_body(events),
                    bytes_left => self.stage = Stage::SizedBody { bytes_left },
                }
                Ok(Some(rest))
            }
            Stage::Chunk { bytes_left } => {
                let (rest, bytes_left) = self.read_body_part(rest, bytes_left, events)?;
                self.stage = match bytes_left {
                    0 => Stage::ChunkEnd,
                    bytes_left => Stage::Chunk { bytes_left },
                };
                Ok(Some(rest))
            }
            Stage::UnsizedBody => {
                self.read_lines(rest, events)?;
                Ok(Some(&[]))
            }
        }
    }

    fn read_head<'a>(
        &mut self,
        rest: &'a [u8],
        events: &mut Vec<HttpEvent>,
    ) -> Result<Option<&'a [u8]>, HttpError> {
        let Some(end) = rest.windows(4).position(|window| window == b"\r\n\r\n") else {
            return Ok(None);
        };
        if end > self.max_head_bytes {
            return Err(HttpError::HeadTooLong);
        }
        let head = &rest[..end];
        self.retry_after = parse_retry_after(head);
        self.stage = parse_head(head)?;
        if self.stage == (Stage::SizedBody { bytes_left: 0 }) {
            self.end_body(events);
        }
        Ok(Some(&rest[end + 4..]))
    }

    fn read_chunk_size<'a>(&mut self, rest: &'a [u8]) -> Result<Option<&'a [u8]>, HttpError> {
        let Some((line, rest)) = split_line(rest) else {
            return Ok(None);
        };
        self.stage = match parse_chunk_size(line)? {
            0 => Stage::Trailer,
            bytes_left => Stage::Chunk { bytes_left },
        };
        Ok(Some(rest))
    }

    fn read_chunk_end<'a>(&mut self, rest: &'a [u8]) -> Result<Option<&'a [u8]>, HttpError> {
        match rest {
            [b'\r', b'\n', rest @ ..] => {
                self.stage = Stage::ChunkSize;
                Ok(Some(rest))
            }
            [] | [b'\r'] => Ok(None),
            _ => Err(HttpError::ChunkEnd),
        }
    }

    fn read_trailer<'a>(
        &mut self,
        rest: &'a [u8],
        events: &mut Vec<HttpEvent>,
    ) -> Result<Option<&'a [u8]>, HttpError> {
        let Some((line, rest)) = split_line(rest) else {
            return Ok(None);
        };
        if line.is_empty() {
            self.end_body(events);
        }
        Ok(Some(rest))
    }

    /// Reads what is there of so many bytes of the body; gives what follows, and how many are still to come.
    fn read_body_part<'a>(
        &mut self,
        rest: &'a [u8],
        bytes_left: u64,
        events: &mut Vec<HttpEvent>,
    ) -> Result<(&'a [u8], u64), HttpError> {
        let taken = rest
            .len()
            .min(usize::try_from(bytes_left).unwrap_or(usize::MAX));
        let (part, rest) = rest.split_at(taken);
        self.read_lines(part, events)?;
        Ok((rest, bytes_left - taken as u64))
    }

    fn read_lines(
        &mut self,
        mut bytes: &[u8],
        events: &mut Vec<HttpEvent>,
    ) -> Result<(), HttpError> {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            self.extend_line(&bytes[..end])?;
            if self.line.last() == Some(&b'\r') {
                self.line.pop();
            }
            events.push(HttpEvent::Line(std::mem::take(&mut self.line)));
            bytes = &bytes[end + 1..];
        }
        self.extend_line(bytes)
    }

    fn extend_line(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        self.line.extend_from_slice(bytes);
        if self.line.len() > self.max_line_bytes {
            return Err(HttpError::LineTooLong);
        }
        Ok(())
    }

    /// The answer is over; a last line may lack its line end.
    fn end_body(&mut self, events: &mut Vec<HttpEvent>) {
        self.stage = Stage::Done;
        if !self.line.is_empty() {
            events.push(HttpEvent::Line(std::mem::take(&mut self.line)));
        }
        events.push(HttpEvent::End);
    }
}

/// The line before the next line end, and what follows it.
fn split_line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.windows(2).position(|window| window == b"\r\n")?;
    Some((&bytes[..end], &bytes[end + 2..]))
}

/// A chunk's size, in front of its extensions.
fn parse_chunk_size(line: &[u8]) -> Result<u64, HttpError> {
    let digits = line
        .split(|byte| *byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    // Not left to the parser, which accepts a sign.
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(HttpError::ChunkSize);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| HttpError::ChunkSize)?;
    u64::from_str_radix(digits, 16).map_err(|_| HttpError::ChunkSize)
}

/// What 429 and 503 say of when to come back. A date is taken for no time at all.
fn parse_retry_after(head: &[u8]) -> Option<Span> {
    let mut lines = std::str::from_utf8(head).ok()?.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?;
    if !matches!(status, "429" | "503") {
        return None;
    }
    let fields = lines.filter_map(|line| line.split_once(':'));
    let mut waits = fields.filter(|(name, _)| name.eq_ignore_ascii_case("retry-after"));
    let seconds = waits.find_map(|(_, value)| value.trim().parse::<u32>().ok());
    Some(SECOND * Span::from(seconds.unwrap_or(0)))
}

/// What follows the head.
fn parse_head(head: &[u8]) -> Result<Stage, HttpError> {
    let text = std::str::from_utf8(head).map_err(|_| HttpError::HeadNotText)?;
    let mut lines = text.split("\r\n");
    let status = lines.next().unwrap_or_default();
    if !status.starts_with("HTTP/1.1 200") && !status.starts_with("HTTP/1.0 200") {
        return Err(HttpError::Status(
            status.chars().take(SHOWN_STATUS_CHARS).collect(),
        ));
    }
    let mut body = Stage::UnsizedBody;
    for field in lines {
        let (name, value) = field.split_once(':').ok_or(HttpError::HeadLine)?;
        let value = value.trim();
        if name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
            return Ok(Stage::ChunkSize);
        }
        if name.eq_ignore_ascii_case("content-length") {
            let bytes_left = value.parse().map_err(|_| HttpError::ContentLength)?;
            body = Stage::SizedBody { bytes_left };
        }
    }
    Ok(body)
}
