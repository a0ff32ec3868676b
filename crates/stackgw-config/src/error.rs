//! Errors of the operator's file.

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a file cannot be used. Displayed as one line, `FILE[:LINE]: REASON`.
#[derive(Debug, Error)]
#[error("{}{}: {reason}", file.display(), line_suffix(*line))]
pub struct ConfigError {
    /// The file.
    pub file: PathBuf,
    /// The line at fault, counted from 1, if known.
    pub line: Option<u64>,
    /// What is wrong.
    pub reason: Reason,
}

/// What is wrong with a file.
#[derive(Debug, Error)]
pub enum Reason {
    /// The file cannot be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// The path names a directory, a pipe or another special file, or the file exceeds the size
    /// limit.
    #[error("is not a regular file, or is too large")]
    NotRegularOrTooLarge,
    /// The text is not valid YAML, or a value is missing, unknown or out of range. One line that
    /// names the field.
    #[error("{0}")]
    Invalid(String),
}

fn line_suffix(line: Option<u64>) -> String {
    line.map_or_else(String::new, |line| format!(":{line}"))
}
