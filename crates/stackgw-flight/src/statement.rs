//! From a statement and its headers to one statement of our first protocol, or what is missing or contradicts.
//!
//! The comment of a statement and the headers of its call may both name the same things; then they must agree. Parameters
//! stand as `?` in place of the key and of the value.

use std::fmt;

/// What a call's headers say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestOptions {
    /// `x-stackgw-class`.
    pub class: Option<String>,
    /// `x-stackgw-group`.
    pub group: Option<String>,
    /// `x-stackgw-id`.
    pub id: Option<String>,
    /// `x-stackgw-after`: a position to be seen, in Unix milliseconds.
    pub after: Option<String>,
    /// `x-stackgw-repeat`: 1 where the client repeats an earlier try.
    pub retry: Option<String>,
    /// `grpc-timeout`, in milliseconds.
    pub timeout_ms: Option<u64>,
}

/// What is wrong with a call, in one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatementError(pub String);

impl fmt::Display for StatementError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StatementError {}

/// A parameter's value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParameterValue {
    /// A text: the key.
    Text(String),
    /// Bytes: the value.
    Bytes(Vec<u8>),
}

/// A statement that is complete but for its id and its time, which each execution has of its own.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StatementTemplate {
    sql: String,
    class: String,
    group: String,
    after: Option<String>,
    retry: Option<String>,
    id: Option<String>,
    timeout_ms: Option<u64>,
}

/// A statement is no longer, its value included.
const MAX_STATEMENT_BYTES: usize = 136 << 10;

impl StatementTemplate {
    /// Reads a statement and the headers of the call that brought it.
    pub fn parse(statement: &str, headers: &RequestOptions) -> Result<Self, StatementError> {
        if statement.len() > MAX_STATEMENT_BYTES {
            return Err(StatementError("the statement is too long".to_owned()));
        }
        let (sql, comment) = match statement.rfind("/*") {
            Some(at) => statement.split_at(at),
            None => (statement, ""),
        };
        let inner = comment
            .trim()
            .strip_prefix("/*")
            .and_then(|c| c.strip_suffix("*/"));
        if !comment.is_empty() && inner.is_none() {
            return Err(StatementError(
                "the statement's comment has no end".to_owned(),
            ));
        }
        let mut comment_options = RequestOptions::default();
        for part in inner
            .unwrap_or_default()
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            let (name, value) = part
                .split_once('=')
                .ok_or(StatementError("the comment holds no name=value".to_owned()))?;
            let place = match name {
                "c" => &mut comment_options.class,
                "cluster" => &mut comment_options.group,
                "id" => &mut comment_options.id,
                "after" => &mut comment_options.after,
                "r" => &mut comment_options.retry,
                "d" => {
                    let ms = value
                        .parse()
                        .map_err(|_| StatementError("d is no number of milliseconds".to_owned()))?;
                    if comment_options.timeout_ms.replace(ms).is_some() {
                        return Err(StatementError("the comment names d twice".to_owned()));
                    }
                    continue;
                }
                _ => continue,
            };
            if place.replace(value.to_owned()).is_some() {
                return Err(StatementError(format!("the comment names {name} twice")));
            }
        }
        let class = agree("class", comment_options.class, &headers.class)?;
        let group = agree("group", comment_options.group, &headers.group)?;
        let asked = StatementTemplate {
            sql: sql.trim().trim_end_matches(';').trim_end().to_owned(),
            class: class.ok_or(missing("class", "c"))?,
            group: group.ok_or(missing("group", "cluster"))?,
            after: agree("after", comment_options.after, &headers.after)?,
            retry: agree("repeat", comment_options.retry, &headers.retry)?,
            id: agree("id", comment_options.id, &headers.id)?,
            // The call's own time is over sooner or later than the statement's; the sooner one counts.
            timeout_ms: [comment_options.timeout_ms, headers.timeout_ms]
                .into_iter()
                .flatten()
                .min(),
        };
        let fields = [
            Some(&asked.class),
            Some(&asked.group),
            asked.after.as_ref(),
            asked.retry.as_ref(),
            asked.id.as_ref(),
        ];
        let plain = |text: &str| {
            text.bytes()
                .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
        };
        // Danger: a header that closes the comment would write the rest of the statement itself.
        if let Some(bad) = fields
            .into_iter()
            .flatten()
            .find(|text| !plain(text) || text.is_empty())
        {
            return Err(StatementError(format!(
                "'{}' is no name or number",
                bad.escape_default()
            )));
        }
        Ok(asked)
    }

    /// Whether it writes, as far as its first word tells.
    pub fn is_write(&self) -> bool {
        self.sql
            .get(..6)
            .is_some_and(|word| word.eq_ignore_ascii_case("insert"))
    }

    /// Whether it names this group.
    pub fn is_for_group(&self, group: u32) -> bool {
        self.group.parse() == Ok(group)
    }

    /// Parameters that it leaves open.
    pub fn open_parameters(&self) -> usize {
        placeholders(&self.sql).count()
    }

    /// The same with its parameters filled in.
    pub fn bind(&self, values: &[ParameterValue]) -> Result<Self, StatementError> {
        if values.len() != self.open_parameters() {
            return Err(StatementError(format!(
                "{} parameters are bound, {} are wanted",
                values.len(),
                self.open_parameters()
            )));
        }
        let (mut sql, mut from) = (String::new(), 0);
        for (at, value) in placeholders(&self.sql).zip(values) {
            sql += &self.sql[from..at];
            match value {
                ParameterValue::Text(text)
                    if text.contains('\'') || text.contains("/*") || text.contains('\0') =>
                {
                    return Err(StatementError(
                        "a key holds a quote, a comment or a zero".to_owned(),
                    ));
                }
                ParameterValue::Text(text) => sql += &format!("'{text}'"),
                ParameterValue::Bytes(bytes) => {
                    sql += "'\\x";
                    bytes.iter().for_each(|byte| sql += &format!("{byte:02x}"));
                    sql += "'";
                }
            }
            from = at + 1;
        }
        sql += &self.sql[from..];
        Ok(StatementTemplate {
            sql,
            ..self.clone()
        })
    }

    /// The statement for one execution, under this id where it has none, with this time where it has none or a longer one.
    pub fn render(&self, id: &str, timeout_ms: u64) -> String {
        let StatementTemplate {
            sql, class, group, ..
        } = self;
        let id = self.id.as_deref().unwrap_or(id);
        let wait = self
            .timeout_ms
            .map_or(timeout_ms, |own| own.min(timeout_ms));
        let mut text = format!("{sql} /* id={id},c={class},d={wait},cluster={group}");
        for (name, value) in [("after", &self.after), ("r", &self.retry)] {
            if let Some(value) = value {
                text += &format!(",{name}={value}");
            }
        }
        text + " */"
    }

    /// How long its client waits, by the statement's word and the call's; the shorter one counts.
    pub fn timeout_ms(&self, call: Option<u64>) -> Option<u64> {
        [self.timeout_ms, call].into_iter().flatten().min()
    }

    /// The same without an id of its own: each execution then is a request of its own.
    pub fn without_id(self) -> Self {
        StatementTemplate { id: None, ..self }
    }
}

fn missing(header: &str, comment: &str) -> StatementError {
    StatementError(format!(
        "x-stackgw-{header} is missing, and so is {comment} in the statement's comment"
    ))
}

fn agree(
    name: &str,
    comment: Option<String>,
    header: &Option<String>,
) -> Result<Option<String>, StatementError> {
    match (comment, header) {
        (Some(comment), Some(header)) if comment != *header => Err(StatementError(format!(
            "x-stackgw-{name} and the statement's comment contradict each other"
        ))),
        (comment, header) => Ok(comment.or_else(|| header.clone())),
    }
}

/// Where parameters stand: not within quotes.
fn placeholders(sql: &str) -> impl Iterator<Item = usize> + '_ {
    let mut quoted = false;
    sql.bytes().enumerate().filter_map(move |(at, byte)| {
        quoted ^= byte == b'\'';
        (byte == b'?' && !quoted).then_some(at)
    })
}
