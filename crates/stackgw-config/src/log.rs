//! The section `log`.

use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

/// How the log is written.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Plain text for people, or JSON objects for programs.
    #[serde(default)]
    #[garde(skip)]
    pub format: LogFormat,
}

/// The format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize, JsonSchema)]
#[serde(rename = "Format", rename_all = "lowercase")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}
