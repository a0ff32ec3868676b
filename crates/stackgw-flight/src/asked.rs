//! From a statement and its headers to one statement of our first protocol, or what is missing or contradicts.
//!
//! The comment of a statement and the headers of its call may both name the same things; then they must agree. Parameters
//! stand as `?` in place of the key and of the value.

use std::fmt;

/// What a call's headers say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers {
    /// `x-stackgw-class`.
    pub class: Option<String>,
    /// `x-stackgw-group`.
    pub group: Option<String>,
    /// `x-stackgw-id`.
    pub id: Option<String>,
    /// `x-stackgw-after`: a position to be seen, in Unix milliseconds.
    pub after: Option<String>,
    /// `x-stackgw-repeat`: 1 where the client repeats an earlier try.
    pub repeat: Option<String>,
    /// `grpc-timeout`, in milliseconds.
    pub wait_ms: Option<u64>,
}

/// What is wrong with a call, in one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wrong(pub String);

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Wrong {}

/// A parameter's value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// A text: the key.
    Text(String),
    /// Bytes: the value.
    Bytes(Vec<u8>),
}

/// A statement that is complete but for its id and its time, which each execution has of its own.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Asked {
    sql: String,
    class: String,
    group: String,
    after: Option<String>,
    repeat: Option<String>,
    id: Option<String>,
    wait_ms: Option<u64>,
}

/// A statement is no longer, its value included.
const MOST: usize = 136 << 10;

impl Asked {
    /// Reads a statement and the headers of the call that brought it.
    pub fn new(statement: &str, headers: &Headers) -> Result<Self, Wrong> {
        if statement.len() > MOST {
            return Err(Wrong("the statement is too long".to_owned()));
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
            return Err(Wrong("the statement's comment has no end".to_owned()));
        }
        let mut said = Headers::default();
        for part in inner
            .unwrap_or_default()
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            let (name, value) = part
                .split_once('=')
                .ok_or(Wrong("the comment holds no name=value".to_owned()))?;
            let place = match name {
                "c" => &mut said.class,
                "cluster" => &mut said.group,
                "id" => &mut said.id,
                "after" => &mut said.after,
                "r" => &mut said.repeat,
                "d" => {
                    let ms = value
                        .parse()
                        .map_err(|_| Wrong("d is no number of milliseconds".to_owned()))?;
                    if said.wait_ms.replace(ms).is_some() {
                        return Err(Wrong("the comment names d twice".to_owned()));
                    }
                    continue;
                }
                _ => continue,
            };
            if place.replace(value.to_owned()).is_some() {
                return Err(Wrong(format!("the comment names {name} twice")));
            }
        }
        let class = agreed("class", said.class, &headers.class)?;
        let group = agreed("group", said.group, &headers.group)?;
        let asked = Asked {
            sql: sql.trim().trim_end_matches(';').trim_end().to_owned(),
            class: class.ok_or(missing("class", "c"))?,
            group: group.ok_or(missing("group", "cluster"))?,
            after: agreed("after", said.after, &headers.after)?,
            repeat: agreed("repeat", said.repeat, &headers.repeat)?,
            id: agreed("id", said.id, &headers.id)?,
            // The call's own time is over sooner or later than the statement's; the sooner one counts.
            wait_ms: [said.wait_ms, headers.wait_ms].into_iter().flatten().min(),
        };
        let fields = [
            Some(&asked.class),
            Some(&asked.group),
            asked.after.as_ref(),
            asked.repeat.as_ref(),
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
            return Err(Wrong(format!(
                "'{}' is no name or number",
                bad.escape_default()
            )));
        }
        Ok(asked)
    }

    /// Whether it writes, as far as its first word tells.
    pub fn writes(&self) -> bool {
        self.sql
            .get(..6)
            .is_some_and(|word| word.eq_ignore_ascii_case("insert"))
    }

    /// Whether it names this group.
    pub fn is_of(&self, group: u32) -> bool {
        self.group.parse() == Ok(group)
    }

    /// Parameters that it leaves open.
    pub fn parameters(&self) -> usize {
        outside_quotes(&self.sql).count()
    }

    /// The same with its parameters filled in.
    pub fn bind(&self, values: &[Value]) -> Result<Self, Wrong> {
        if values.len() != self.parameters() {
            return Err(Wrong(format!(
                "{} parameters are bound, {} are wanted",
                values.len(),
                self.parameters()
            )));
        }
        let (mut sql, mut from) = (String::new(), 0);
        for (at, value) in outside_quotes(&self.sql).zip(values) {
            sql += &self.sql[from..at];
            match value {
                Value::Text(text)
                    if text.contains('\'') || text.contains("/*") || text.contains('\0') =>
                {
                    return Err(Wrong("a key holds a quote, a comment or a zero".to_owned()));
                }
                Value::Text(text) => sql += &format!("'{text}'"),
                Value::Bytes(bytes) => {
                    sql += "'\\x";
                    bytes.iter().for_each(|byte| sql += &format!("{byte:02x}"));
                    sql += "'";
                }
            }
            from = at + 1;
        }
        sql += &self.sql[from..];
        Ok(Asked {
            sql,
            ..self.clone()
        })
    }

    /// The statement for one execution, under this id where it has none, with this time where it has none or a longer one.
    pub fn statement(&self, id: &str, wait_ms: u64) -> String {
        let Asked {
            sql, class, group, ..
        } = self;
        let id = self.id.as_deref().unwrap_or(id);
        let wait = self.wait_ms.map_or(wait_ms, |own| own.min(wait_ms));
        let mut text = format!("{sql} /* id={id},c={class},d={wait},cluster={group}");
        for (name, value) in [("after", &self.after), ("r", &self.repeat)] {
            if let Some(value) = value {
                text += &format!(",{name}={value}");
            }
        }
        text + " */"
    }

    /// How long its client waits, by the statement's word and the call's; the shorter one counts.
    pub fn wait_ms(&self, call: Option<u64>) -> Option<u64> {
        [self.wait_ms, call].into_iter().flatten().min()
    }

    /// The same without an id of its own: each execution then is a request of its own.
    pub fn without_id(self) -> Self {
        Asked { id: None, ..self }
    }
}

fn missing(header: &str, comment: &str) -> Wrong {
    Wrong(format!(
        "x-stackgw-{header} is missing, and so is {comment} in the statement's comment"
    ))
}

fn agreed(
    name: &str,
    comment: Option<String>,
    header: &Option<String>,
) -> Result<Option<String>, Wrong> {
    match (comment, header) {
        (Some(comment), Some(header)) if comment != *header => Err(Wrong(format!(
            "x-stackgw-{name} and the statement's comment contradict each other"
        ))),
        (comment, header) => Ok(comment.or_else(|| header.clone())),
    }
}

/// Where parameters stand: not within quotes.
fn outside_quotes(sql: &str) -> impl Iterator<Item = usize> + '_ {
    let mut quoted = false;
    sql.bytes().enumerate().filter_map(move |(at, byte)| {
        quoted ^= byte == b'\'';
        (byte == b'?' && !quoted).then_some(at)
    })
}
