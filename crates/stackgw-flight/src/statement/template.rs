//! A statement with its options.

use super::comment::split_comment;
use super::error::StatementError;
use super::options::RequestOptions;
use super::parameters::{self, ParameterValue};
use serde::{Deserialize, Serialize};

/// Longest statement in bytes, its value included.
const MAX_STATEMENT_BYTES: usize = 136 << 10;
/// The keyword that a statement begins with which writes.
const INSERT: &str = "insert";

/// A statement that is complete but for the id and the timeout that each execution has of its own.
///
/// Tickets hold it: the order of the fields is on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementTemplate {
    sql: String,
    class: String,
    group: String,
    after: Option<String>,
    retry: Option<String>,
    id: Option<String>,
    timeout_ms: Option<u64>,
}

impl StatementTemplate {
    /// Reads a statement with its comment, and the headers of the call that brought it.
    ///
    /// # Errors
    ///
    /// What is malformed, missing or contradictory.
    pub fn parse(statement: &str, headers: &RequestOptions) -> Result<Self, StatementError> {
        if statement.len() > MAX_STATEMENT_BYTES {
            return Err(StatementError::TooLong);
        }
        let (sql, comment) = split_comment(statement)?;
        let class = agree("class", comment.class, &headers.class)?;
        let group = agree("group", comment.group, &headers.group)?;
        let template = StatementTemplate {
            sql: sql.trim().trim_end_matches(';').trim_end().to_owned(),
            class: require(class, "class", "c")?,
            group: require(group, "group", "cluster")?,
            after: agree("after", comment.after, &headers.after)?,
            retry: agree("repeat", comment.retry, &headers.retry)?,
            id: agree("id", comment.id, &headers.id)?,
            timeout_ms: shorter(comment.timeout_ms, headers.timeout_ms),
        };
        template.check_options()?;
        Ok(template)
    }

    /// Whether the statement writes, as far as its first keyword shows.
    pub fn is_write(&self) -> bool {
        self.sql
            .get(..INSERT.len())
            .is_some_and(|keyword| keyword.eq_ignore_ascii_case(INSERT))
    }

    /// Whether the statement is for this replication group.
    pub fn is_for_group(&self, group: u32) -> bool {
        self.group.parse() == Ok(group)
    }

    /// Number of parameters that are not bound.
    pub fn open_parameters(&self) -> usize {
        parameters::count_placeholders(&self.sql)
    }

    /// The statement with its parameters bound.
    ///
    /// # Errors
    ///
    /// [`StatementError::ParameterCount`] and [`StatementError::InvalidKey`].
    pub fn bind(&self, values: &[ParameterValue]) -> Result<Self, StatementError> {
        let sql = parameters::bind(&self.sql, values)?;
        Ok(StatementTemplate {
            sql,
            ..self.clone()
        })
    }

    /// The statement's text for one execution: under `id` unless it has one of its own, and with
    /// the shorter one of `timeout_ms` and its own timeout.
    pub fn render(&self, id: &str, timeout_ms: u64) -> String {
        let StatementTemplate {
            sql, class, group, ..
        } = self;
        let id = self.id.as_deref().unwrap_or(id);
        let timeout_ms = self
            .timeout_ms
            .map_or(timeout_ms, |own| own.min(timeout_ms));
        let mut text = format!("{sql} /* id={id},c={class},d={timeout_ms},cluster={group}");
        for (name, value) in [("after", &self.after), ("r", &self.retry)] {
            if let Some(value) = value {
                text += &format!(",{name}={value}");
            }
        }
        text + " */"
    }

    /// The client's timeout in milliseconds: the shorter one of the statement's and of the call's.
    pub fn timeout_ms(&self, call_timeout_ms: Option<u64>) -> Option<u64> {
        shorter(self.timeout_ms, call_timeout_ms)
    }

    /// The statement without an id of its own: each execution is then a request of its own.
    pub fn without_id(self) -> Self {
        StatementTemplate { id: None, ..self }
    }

    /// Danger: an option that closes the comment would write the rest of the statement itself.
    fn check_options(&self) -> Result<(), StatementError> {
        let required = [&self.class, &self.group];
        let optional = [&self.after, &self.retry, &self.id];
        let options = required.into_iter().chain(optional.into_iter().flatten());
        for value in options {
            if value.is_empty() || !value.bytes().all(is_option_byte) {
                return Err(StatementError::InvalidOption(value.clone()));
            }
        }
        Ok(())
    }
}

fn is_option_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.')
}

/// The value of an option that comment and header may both set.
fn agree(
    name: &'static str,
    comment: Option<String>,
    header: &Option<String>,
) -> Result<Option<String>, StatementError> {
    match (comment, header) {
        (Some(comment), Some(header)) if comment != *header => {
            Err(StatementError::Contradiction(name))
        }
        (comment, header) => Ok(comment.or_else(|| header.clone())),
    }
}

fn require(
    value: Option<String>,
    header: &'static str,
    comment: &'static str,
) -> Result<String, StatementError> {
    value.ok_or(StatementError::MissingOption { header, comment })
}

fn shorter(one: Option<u64>, other: Option<u64>) -> Option<u64> {
    [one, other].into_iter().flatten().min()
}
