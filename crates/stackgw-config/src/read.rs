//! From a file's bytes to a valid [`OperatorConfig`], or one line that says what is wrong and
//! where.

use crate::error::{ConfigError, Reason};
use crate::operator::OperatorConfig;
use std::path::Path;

/// Larger files are rejected unread.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Reads and validates a file. One that is empty or holds comments alone gives the default
/// configuration.
///
/// # Errors
/// The file cannot be read, is no YAML, or a value in it is missing, unknown or out of range.
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

/// The JSON Schema of the file, for editors and checks.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(OperatorConfig).to_value()
}

fn read_text(file: &Path) -> Result<String, Reason> {
    let metadata = std::fs::metadata(file)?;
    // Danger: reading a pipe would block the whole gateway.
    if !metadata.is_file() || metadata.len() > MAX_FILE_BYTES {
        return Err(Reason::NotRegularFile);
    }
    Ok(std::fs::read_to_string(file)?)
}

fn is_blank_or_comment(line: &str) -> bool {
    line.trim().is_empty() || line.trim_start().starts_with('#')
}

/// The line of this number, counted from 1.
fn line_at(text: &str, number: u64) -> Option<&str> {
    text.lines()
        .nth(usize::try_from(number).ok()?.checked_sub(1)?)
}

/// The parser's message in one line that names the field. The parser repeats the line number, which
/// is left out, and draws the place below its message. Where the message lacks the field's name,
/// that is taken from the line at fault.
fn summarize(message: &str, line_text: &str) -> String {
    let first = message
        .lines()
        .find(|line| !is_drawing(line))
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

fn is_drawing(line: &str) -> bool {
    line.trim().is_empty() || line.trim_start().starts_with(['|', '-', '='])
}

/// The key that a line of YAML sets, if any.
fn key_of(line_text: &str) -> Option<&str> {
    let (key, _) = line_text.split_once(':')?;
    let key = key.trim().trim_start_matches("- ");
    (!key.is_empty()).then_some(key)
}
