//! Reads a file into a valid [`OperatorConfig`], or reports in one line what is wrong and where.

use crate::error::{ConfigError, Reason};
use crate::operator::OperatorConfig;
use std::path::Path;

/// Larger files are rejected without being read.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Reads and validates a file. A file that is empty or contains only comments gives the default
/// configuration.
///
/// # Errors
/// If the file cannot be read, is not a regular file, is larger than 1 MiB, is not UTF-8, is not
/// valid YAML, or a key or value is missing, unknown or out of range.
pub fn read(file: &Path) -> Result<OperatorConfig, ConfigError> {
    let error = |line, reason| ConfigError {
        file: file.to_owned(),
        line,
        reason,
    };
    let text = read_text(file).map_err(|reason| error(None, reason))?;
    if text.lines().all(is_blank_or_comment) {
        return Ok(OperatorConfig::default());
    }
    serde_saphyr::from_str_valid(&text).map_err(|e| {
        let line = e.location().map(|location| location.line());
        let line_text = line
            .and_then(|number| line_at(&text, number))
            .unwrap_or_default();
        error(line, Reason::Invalid(summarize(&e.to_string(), line_text)))
    })
}

/// Returns the JSON Schema of the operator's configuration file, with which editors and other
/// programs can check it.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(OperatorConfig).to_value()
}

fn read_text(file: &Path) -> Result<String, Reason> {
    let metadata = std::fs::metadata(file)?;
    // Without the check for a regular file, reading a pipe could block the whole gateway.
    if !metadata.is_file() || metadata.len() > MAX_FILE_BYTES {
        return Err(Reason::NotRegularOrTooLarge);
    }
    Ok(std::fs::read_to_string(file)?)
}

fn is_blank_or_comment(line: &str) -> bool {
    line.trim().is_empty() || line.trim_start().starts_with('#')
}

/// The line with this number, counted from 1.
fn line_at(text: &str, number: u64) -> Option<&str> {
    text.lines()
        .nth(usize::try_from(number).ok()?.checked_sub(1)?)
}

/// Reduces the parser's message to one line that names the field. The line number is left out,
/// because [`ConfigError`] has it, and so is the excerpt of the file that the parser prints below
/// its message. If the message lacks the field's name, the name is taken from the line at fault,
/// except for a missing field, whose line names another one.
fn summarize(message: &str, line_text: &str) -> String {
    let first = message
        .lines()
        .find(|line| !is_excerpt(line))
        .unwrap_or(message)
        .trim();
    let first = first.strip_prefix("error: ").unwrap_or(first);
    let reason = match first.split_once(": ") {
        Some((place, reason)) if place.starts_with("line ") => reason,
        _ => first,
    };
    match key_of(line_text) {
        Some(key) if !reason.contains(key) && !reason.starts_with("missing field") => {
            format!("{key}: {reason}")
        }
        _ => reason.to_owned(),
    }
}

fn is_excerpt(line: &str) -> bool {
    line.trim().is_empty() || line.trim_start().starts_with(['|', '-', '='])
}

/// The key that a line of YAML sets, if any.
fn key_of(line_text: &str) -> Option<&str> {
    let (key, _) = line_text.split_once(':')?;
    let key = key.trim().trim_start_matches("- ");
    (!key.is_empty()).then_some(key)
}
