//! Why the operator's file cannot be used.

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// A file that cannot be used. Displayed as one line, `FILE[:LINE]: REASON`.
#[derive(Debug, Error)]
#[error("{}{}: {reason}", file.display(), line_suffix(*line))]
pub struct ConfigError {
    /// The file.
    pub file: PathBuf,
    /// The line at fault, counted from 1, if it is known.
    pub line: Option<u64>,
    /// What is wrong.
    pub reason: Reason,
}

/// What is wrong with a file.
#[derive(Debug, Error)]
pub enum Reason {
    /// It cannot be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// It is a folder, a pipe or the like, or larger than any configuration.
    #[error("is no plain file, or too large a one")]
    NotRegularFile,
    /// Its text is no YAML, or a value in it is missing, unknown or out of range. One line that
    /// names the field.
    #[error("{0}")]
    Invalid(String),
}

fn line_suffix(line: Option<u64>) -> String {
    line.map_or_else(String::new, |line| format!(":{line}"))
}
