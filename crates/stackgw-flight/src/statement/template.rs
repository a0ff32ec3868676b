//! Statements with their options.

use super::comment::split_comment;
use super::error::StatementError;
use super::options::RequestOptions;
use super::parameters::{self, ParameterValue};
use serde::{Deserialize, Serialize};

/// Maximum length of a statement in bytes, including its value.
const MAX_STATEMENT_BYTES: usize = 136 << 10;
/// First keyword of statements that write.
const INSERT: &str = "insert";

/// A statement with its options. Each execution adds its own id and timeout.
///
/// Tickets contain the template, so the order of its fields is part of the wire format.
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
    /// Parses a statement and its comment, and merges the options with those of the call's headers.
    ///
    /// # Errors
    ///
    /// Returns an error if the statement is too long, if its comment or an option is malformed, if
    /// the comment sets an option twice, if a required option is missing, or if the comment and the
    /// headers contradict each other.
    pub fn parse(statement: &str, headers: &RequestOptions) -> Result<Self, StatementError> {
        if statement.len() > MAX_STATEMENT_BYTES {
            return Err(StatementError::TooLong);
        }
        let (sql, comment) = split_comment(statement)?;
        let class = merge_option("class", comment.class, &headers.class)?;
        let group = merge_option("group", comment.group, &headers.group)?;
        let template = StatementTemplate {
            sql: sql.trim().trim_end_matches(';').trim_end().to_owned(),
            class: require(class, "class", "c")?,
            group: require(group, "group", "cluster")?,
            after: merge_option("after", comment.after, &headers.after)?,
            retry: merge_option("repeat", comment.retry, &headers.retry)?,
            id: merge_option("id", comment.id, &headers.id)?,
            timeout_ms: min_timeout(comment.timeout_ms, headers.timeout_ms),
        };
        template.check_options()?;
        Ok(template)
    }

    /// Returns whether the statement writes, that is, whether it begins with `insert` in any case.
    pub fn is_write(&self) -> bool {
        self.sql
            .get(..INSERT.len())
            .is_some_and(|keyword| keyword.eq_ignore_ascii_case(INSERT))
    }

    /// Returns whether the statement is addressed to this replication group.
    pub fn is_for_group(&self, group: u32) -> bool {
        self.group.parse() == Ok(group)
    }

    /// Returns the number of unbound parameters.
    pub fn unbound_parameters(&self) -> usize {
        parameters::count_placeholders(&self.sql)
    }

    /// Returns the statement with its parameters bound to `values`.
    ///
    /// # Errors
    ///
    /// Returns [`StatementError::ParameterCount`] if the number of values differs from the number
    /// of unbound parameters, or [`StatementError::InvalidKey`] if a text could inject SQL.
    pub fn bind(&self, values: &[ParameterValue]) -> Result<Self, StatementError> {
        let sql = parameters::bind(&self.sql, values)?;
        Ok(StatementTemplate {
            sql,
            ..self.clone()
        })
    }

    /// Renders the statement's text for one execution, with `id` unless the statement sets an id,
    /// and with the shorter of `timeout_ms` and the statement's own timeout.
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

    /// Returns the client's timeout in milliseconds: the shorter of the statement's and the call's
    /// timeout; `None` if neither is set.
    pub fn timeout_ms(&self, call_timeout_ms: Option<u64>) -> Option<u64> {
        min_timeout(self.timeout_ms, call_timeout_ms)
    }

    /// Returns the statement without its id, so that each execution is a separate request.
    pub fn without_id(self) -> Self {
        StatementTemplate { id: None, ..self }
    }

    /// Rejects option values with characters that are not allowed in a comment. Without this check,
    /// an option could terminate the comment and inject SQL into the statement.
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

/// The value of an option that the comment, the header or both may set.
fn merge_option(
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

fn min_timeout(first: Option<u64>, second: Option<u64>) -> Option<u64> {
    [first, second].into_iter().flatten().min()
}
