//! A member's reply, gathered until it is whole.

use super::Frame;
use stackgw_router::api::{LoadReport, Time, MS};
use stackgw_settings::record_load_field;

/// A message that has no place in a reply, or too many of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutOfPlace;

impl std::fmt::Display for OutOfPlace {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the message has no place in a reply")
    }
}

impl std::error::Error for OutOfPlace {}

/// What a reply amounts to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// One row, whole.
    Row,
    /// An error with this SQLSTATE.
    Error([u8; 5]),
    /// Neither: complete, but without a row, or an answer to nothing.
    NoRow,
}

/// A reply as far as it has come.
#[derive(Debug, Default)]
pub struct Reply {
    /// The row's description, the row and its completion, as they came.
    pub row: Vec<u8>,
    rows: usize,
    described: bool,
    complete: bool,
    ready: bool,
    failed: Option<[u8; 5]>,
    /// The member says that it is the primary, or that it is not.
    pub primary: Option<bool>,
    /// Its position, or the commit time of a write.
    pub position: Option<Time>,
    /// The load report that rode along.
    pub report: LoadReport,
}

impl Reply {
    /// Takes the next message. `Ok(true)`: the member is ready again, the reply is over. `Err`: the message has no
    /// place here.
    pub fn take(&mut self, frame: &Frame, most: usize) -> Result<bool, OutOfPlace> {
        let (body, open) = (frame.body(), self.ended().is_none());
        match frame.kind {
            b'T' if open && !self.described && one_field(body) => {
                self.described = true;
                self.row.extend_from_slice(&frame.bytes);
            }
            b'D' if open && self.described && self.rows == 0 && one_column(body) => {
                self.rows = 1;
                self.row.extend_from_slice(&frame.bytes);
            }
            b'C' if open && is_text(body) => {
                self.complete = true;
                self.row.extend_from_slice(&frame.bytes);
            }
            b'I' if open => self.complete = true,
            b'E' if open => self.failed = Some(sqlstate(body).ok_or(OutOfPlace)?),
            b'S' => self.status(body),
            b'N' | b'K' | b'A' => {}
            b'R' if body == [0; 4] => {}
            b'Z' if matches!(body, b"I" | b"T" | b"E") => {
                self.ready = true;
                return Ok(true);
            }
            _ => return Err(OutOfPlace),
        }
        if self.row.len() > most {
            return Err(OutOfPlace);
        }
        Ok(false)
    }

    /// The member is ready again behind it: the reply is whole.
    pub fn is_complete(&self) -> bool {
        self.ready
    }

    /// How it ended, once the member is ready again or has closed; `None`: it had not come so far.
    pub fn ended(&self) -> Option<ReplyOutcome> {
        match (self.failed, self.complete) {
            (Some(code), _) => Some(ReplyOutcome::Error(code)),
            (None, true) if self.rows == 1 => Some(ReplyOutcome::Row),
            (None, true) => Some(ReplyOutcome::NoRow),
            (None, false) => None,
        }
    }

    /// The text of the one column of the row, as probes get it.
    pub fn column(&self) -> Option<&str> {
        std::str::from_utf8(column_value(&self.row)??).ok()
    }

    /// A value that cannot be read tells nothing; it is no reason to drop the row beside it.
    fn status(&mut self, body: &[u8]) {
        let mut parts = body
            .split(|b| *b == 0)
            .map(|part| std::str::from_utf8(part).unwrap_or_default());
        match (
            parts.next().unwrap_or_default(),
            parts.next().unwrap_or_default(),
        ) {
            ("node_role", "leader") => self.primary = Some(true),
            ("node_role", "follower") => self.primary = Some(false),
            ("replay_position", at) => {
                let ms = at
                    .parse::<i64>()
                    .ok()
                    .filter(|ms| (1..1 << 43).contains(ms));
                self.position = ms.map(|ms| ms * MS);
            }
            ("server_load", load) => self.report = parse_load_report(load).unwrap_or_default(),
            _ => {}
        }
    }
}

/// The one column of a row whose description stands before it; `Some(None)`: it is null.
pub fn column_value(row: &[u8]) -> Option<Option<&[u8]>> {
    let description = 1 + u32::from_be_bytes(*row.get(1..)?.first_chunk()?) as usize;
    // Type, length, number of columns, length of the column.
    let row = row.get(description..)?;
    match usize::try_from(i32::from_be_bytes(*row.get(7..)?.first_chunk()?)) {
        Ok(length) => Some(Some(row.get(11..)?.get(..length)?)),
        Err(_) => Some(None),
    }
}

/// The row has one column, and its length is that of the row.
fn one_column(body: &[u8]) -> bool {
    let [0, 1, a, b, c, d, value @ ..] = body else {
        return false;
    };
    match i32::from_be_bytes([*a, *b, *c, *d]) {
        -1 => value.is_empty(),
        length => usize::try_from(length) == Ok(value.len()),
    }
}

/// The row's description names one column.
fn one_field(body: &[u8]) -> bool {
    let Some(fields) = body.strip_prefix(&[0, 1]) else {
        return false;
    };
    fields
        .iter()
        .position(|b| *b == 0)
        .is_some_and(|name| fields.len() == name + 1 + FIELD_TAIL)
}

/// Table, column, type, its size, its modifier and its format, behind a field's name.
const FIELD_TAIL: usize = 18;

/// One text with its end.
fn is_text(body: &[u8]) -> bool {
    body.split_last().is_some_and(|(end, text)| {
        *end == 0 && !text.is_empty() && text.iter().all(|b| b.is_ascii_graphic() || *b == b' ')
    })
}

/// The code of an error whose fields are whole: each a letter and a text with its end, then one more end.
fn sqlstate(body: &[u8]) -> Option<[u8; 5]> {
    let fields = body.strip_suffix(&[0, 0])?;
    let whole = |f: &[u8]| {
        f.split_first()
            .is_some_and(|(kind, _)| kind.is_ascii_alphabetic())
    };
    let mut code = None;
    for field in fields.split(|b| *b == 0) {
        if !whole(field) {
            return None;
        }
        code = code.or(field.strip_prefix(b"C"));
    }
    let code: [u8; 5] = code?.try_into().ok()?;
    code.iter()
        .all(|b| b.is_ascii_uppercase() || b.is_ascii_digit())
        .then_some(code)
}

/// Reads `name=value` pairs; names without a meaning here are skipped. One that cannot be read spoils them all, and so
/// does one named twice or one that no member can have.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    let mut named = Vec::new();
    for pair in text.split(',').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=')?;
        let number = value.parse::<f64>().ok().filter(|n| n.is_finite())?;
        if named.contains(&name) {
            return None;
        }
        named.push(name);
        match name {
            "x0" => report.position = Some(nanoseconds(value)?),
            "x1" if number != 0.0 && number != 1.0 => return None,
            "inflight" | "queue" | "util" if !(0.0..LOAD_MOST).contains(&number) => return None,
            _ => record_load_field(&mut report, name, number),
        }
    }
    Some(report)
}

/// No member holds as many requests.
const LOAD_MOST: f64 = 1e6;

/// Seconds as a decimal number, cut (never rounded up) to whole nanoseconds; a float of Unix times is too coarse.
fn nanoseconds(text: &str) -> Option<Time> {
    let (whole, part) = text.split_once('.').unwrap_or((text, ""));
    let plain = |digits: &str| digits.bytes().all(|b| b.is_ascii_digit());
    if !plain(whole) || !plain(part) || whole.is_empty() {
        return text
            .parse::<f64>()
            .ok()
            .filter(|s| *s >= 0.0 && *s < 8e9)
            .map(|s| (s * 1e9).floor() as Time);
    }
    let digits = format!("{:0<9}", part.get(..part.len().min(9))?);
    let whole = whole.parse::<Time>().ok().filter(|s| *s < 8_000_000_000)?;
    Some(whole * 1_000_000_000 + digits.parse::<Time>().ok()?)
}
