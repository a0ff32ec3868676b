//! A client's statement: checked for its form, read for what decisions need, passed on as it came but for `d`.

use super::Frame;
use std::fmt;
use std::ops::Range;

/// Why a statement is not passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Malformed {}

/// What the decisions need of a statement, and the bytes it came in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    bytes: Vec<u8>,
    /// Where the digits of `d` stand.
    d: Range<usize>,
    /// The request's id.
    pub id: String,
    /// The quoted key.
    pub key: String,
    /// The class's name.
    pub class: String,
    /// How long the client waits, in milliseconds.
    pub wait_ms: u64,
    /// The group's number.
    pub cluster: u32,
    /// The position that a read has to see, in Unix milliseconds.
    pub after_ms: Option<i64>,
    /// The client repeats an earlier try.
    pub repeat: bool,
    /// The statement writes.
    pub write: bool,
}

/// Header of a query message.
const HEAD: usize = 5;

impl Statement {
    /// Whether a query message holds no statement at all.
    pub fn is_empty(frame: &Frame) -> bool {
        frame
            .body()
            .iter()
            .all(|b| b.is_ascii_whitespace() || matches!(b, b';' | 0))
    }

    /// The quoted key of a query message, and whether it writes, as far as its words alone tell.
    pub fn asks(frame: &Frame) -> Option<(&str, bool)> {
        let text = std::str::from_utf8(frame.body()).ok()?;
        form(text.split_at(text.rfind("/*")?).0)
    }

    /// Reads a query message; it is kept whole.
    pub fn parse(frame: Frame) -> Result<Self, Malformed> {
        let text = frame
            .body()
            .strip_suffix(b"\0")
            .ok_or(Malformed("the query has no end"))?;
        let text = std::str::from_utf8(text).map_err(|_| Malformed("the query is no text"))?;
        let open = text
            .rfind("/*")
            .ok_or(Malformed("the statement has no comment"))?;
        let (sql, comment) = text.split_at(open);
        let (key, write) = form(sql).ok_or(Malformed("the statement is of no known form"))?;
        let inner = comment
            .strip_prefix("/*")
            .and_then(|c| c.strip_suffix("*/"));
        let inner = inner
            .filter(|c| !c.contains("*/"))
            .ok_or(Malformed("the comment has no end"))?;
        let mut at = HEAD + open + 2;
        let (mut id, mut class, mut d, mut cluster, mut after, mut repeat) =
            (None, None, None, None, None, None);
        for part in inner.split(',') {
            let trimmed = part.trim();
            let (name, value) = trimmed
                .split_once('=')
                .ok_or(Malformed("the comment holds no name=value"))?;
            let start = at + (part.len() - part.trim_start().len()) + name.len() + 1;
            let mut twice = false;
            match name {
                "id" => twice = id.replace(value).is_some(),
                "c" => twice = class.replace(value).is_some(),
                "d" => twice = d.replace((value, start..start + value.len())).is_some(),
                "cluster" => twice = cluster.replace(value).is_some(),
                "after" => twice = after.replace(value).is_some(),
                "r" => twice = repeat.replace(value).is_some(),
                _ => {}
            }
            if twice {
                return Err(Malformed("the comment names something twice"));
            }
            at += part.len() + 1;
        }
        let id = id
            .filter(|id| !id.is_empty())
            .ok_or(Malformed("the comment has no id"))?;
        let (wait, d) = d.ok_or(Malformed("the comment has no d"))?;
        let wait_ms = digits(wait)
            .filter(|d| *d < 1 << 32)
            .ok_or(Malformed("d is no number of milliseconds"))?;
        let cluster = cluster.and_then(digits).and_then(|n| u32::try_from(n).ok());
        let after_ms = match after {
            None => None,
            Some(text) => {
                let ms = digits(text)
                    .filter(|ms| *ms < 1 << 43)
                    .ok_or(Malformed("after is no position"))?;
                Some(ms as i64).filter(|ms| *ms > 0)
            }
        };
        Ok(Statement {
            id: id.to_owned(),
            key: key.to_owned(),
            class: class.ok_or(Malformed("the comment has no c"))?.to_owned(),
            wait_ms,
            cluster: cluster.ok_or(Malformed("cluster is no number"))?,
            after_ms,
            repeat: repeat == Some("1"),
            write,
            d,
            bytes: frame.bytes,
        })
    }

    /// Bytes held, those of the names that are kept beside the message included.
    pub fn size_bytes(&self) -> usize {
        self.bytes.len() + 2 * self.id.len() + self.key.len() + self.class.len()
    }

    /// The message as it came, `d` set to the time that this attempt may take.
    pub fn with_timeout(&self, wait_ms: u64) -> Vec<u8> {
        let digits = wait_ms.to_string();
        let mut out = Vec::with_capacity(self.bytes.len() + digits.len());
        out.extend_from_slice(&self.bytes[..self.d.start]);
        out.extend_from_slice(digits.as_bytes());
        out.extend_from_slice(&self.bytes[self.d.end..]);
        let length = (out.len() as u32 - 1).to_be_bytes();
        out[1..HEAD].copy_from_slice(&length);
        out
    }
}

fn digits(text: &str) -> Option<u64> {
    text.bytes()
        .all(|b| b.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}

/// Takes one word, of letters alone or as a name.
fn word<'a>(text: &mut &'a str) -> Option<&'a str> {
    *text = text.trim_start();
    let end = text
        .find(|c: char| !c.is_ascii_alphanumeric() && c != '_')
        .unwrap_or(text.len());
    let (word, rest) = text.split_at(end);
    *text = rest;
    Some(word).filter(|w| !w.is_empty())
}

fn keyword(text: &mut &str, wanted: &str) -> Option<()> {
    word(text)
        .filter(|w| w.eq_ignore_ascii_case(wanted))
        .map(|_| ())
}

fn sign(text: &mut &str, wanted: char) -> Option<()> {
    *text = text.trim_start().strip_prefix(wanted)?;
    Some(())
}

fn quoted<'a>(text: &mut &'a str) -> Option<&'a str> {
    sign(text, '\'')?;
    let (inner, rest) = text.split_once('\'')?;
    *text = rest;
    Some(inner)
}

/// The quoted key and whether it writes, where the statement is a read of one key or an insert of one value.
fn form(mut sql: &str) -> Option<(&str, bool)> {
    let text = &mut sql;
    let first = word(text)?;
    let (key, write) = if first.eq_ignore_ascii_case("select") {
        word(text)?;
        keyword(text, "from")?;
        word(text)?;
        keyword(text, "where")?;
        word(text)?;
        sign(text, '=')?;
        (quoted(text)?, false)
    } else if first.eq_ignore_ascii_case("insert") {
        keyword(text, "into")?;
        word(text)?;
        sign(text, '(')?;
        word(text)?;
        sign(text, ',')?;
        word(text)?;
        sign(text, ')')?;
        keyword(text, "values")?;
        sign(text, '(')?;
        let key = quoted(text)?;
        sign(text, ',')?;
        let value = quoted(text)?.strip_prefix("\\x")?;
        if value.len() % 2 != 0 || !value.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        sign(text, ')')?;
        keyword(text, "returning")?;
        word(text)?;
        (key, true)
    } else {
        return None;
    };
    (text.trim().is_empty() && !key.is_empty()).then_some((key, write))
}
