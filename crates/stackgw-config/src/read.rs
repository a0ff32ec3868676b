//! From a file's bytes to a valid [`OperatorConfig`], or one line that says what is wrong and where.

use crate::OperatorConfig;
use std::fmt;
use std::path::{Path, PathBuf};

/// The file is smaller than this.
const FILE_MOST: u64 = 1 << 20;

/// Why a file cannot be used, in one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// The file.
    pub file: PathBuf,
    /// Where in it, from 1, if that is known.
    pub line: Option<u64>,
    /// What is wrong; names the field.
    pub what: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        write!(f, ": {}", self.what)
    }
}

impl std::error::Error for ConfigError {}

/// Reads and validates a file.
pub fn read(file: &Path) -> Result<OperatorConfig, ConfigError> {
    let problem = |line, what| ConfigError {
        file: file.to_owned(),
        line,
        what,
    };
    let about = std::fs::metadata(file).map_err(|e| problem(None, e.to_string()))?;
    // Danger: a pipe in its place would hold up the whole gateway.
    if !about.is_file() || about.len() > FILE_MOST {
        return Err(problem(
            None,
            "is no plain file, or too large a one".to_owned(),
        ));
    }
    let text = std::fs::read_to_string(file).map_err(|e| problem(None, e.to_string()))?;
    if text
        .lines()
        .all(|line| line.trim().is_empty() || line.trim_start().starts_with('#'))
    {
        return Ok(OperatorConfig::default());
    }
    serde_saphyr::from_str_valid(&text).map_err(|e| {
        let line = e.location().map(|at| at.line());
        let there = line.and_then(|n| text.lines().nth(usize::try_from(n).ok()?.checked_sub(1)?));
        problem(line, one_line(&e.to_string(), there.unwrap_or_default()))
    })
}

/// The library draws the place under its message and repeats its line's number; the first line that says something is
/// enough, with the field's name where it lacks that.
fn one_line(text: &str, there: &str) -> String {
    let drawn =
        |line: &&str| !line.trim().is_empty() && !line.trim_start().starts_with(['|', '-', '=']);
    let first = text.lines().find(drawn).unwrap_or(text).trim();
    let first = first.strip_prefix("error: ").unwrap_or(first);
    let said = match first.split_once(": ") {
        Some((place, said)) if place.starts_with("line ") => said,
        _ => first,
    };
    match there
        .split_once(':')
        .map(|(key, _)| key.trim().trim_start_matches("- "))
    {
        Some(key)
            if !key.is_empty() && !said.contains(key) && !said.starts_with("missing field") =>
        {
            format!("{key}: {said}")
        }
        _ => said.to_owned(),
    }
}

/// The file's JSON Schema, for editors and checks.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(OperatorConfig).to_value()
}
