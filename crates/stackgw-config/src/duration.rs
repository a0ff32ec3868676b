//! Durations in the notation of the operator's file.

use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::Deserialize;
use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;

/// A duration, written as `800ms`, `60s` or `1h 30m`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(transparent)]
pub struct Duration(#[serde(with = "humantime_serde")] std::time::Duration);

impl Duration {
    /// Creates a duration from milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Duration(std::time::Duration::from_millis(ms))
    }

    /// Creates a duration from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Duration(std::time::Duration::from_secs(secs))
    }

    /// Returns the duration in whole milliseconds, saturating at the maximum of `u64`.
    pub fn as_millis(self) -> u64 {
        u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the duration in nanoseconds, saturating at the maximum of `i64`.
    pub fn as_nanos(self) -> i64 {
        i64::try_from(self.0.as_nanos()).unwrap_or(i64::MAX)
    }
}

impl fmt::Display for Duration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime_serde::re::humantime::format_duration(self.0).fmt(f)
    }
}

impl FromStr for Duration {
    type Err = humantime_serde::re::humantime::DurationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        humantime_serde::re::humantime::parse_duration(text).map(Duration)
    }
}

impl JsonSchema for Duration {
    fn schema_name() -> Cow<'static, str> {
        "Duration".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({
            "type": "string",
            "description": "A duration such as 800ms, 60s or 1h 30m.",
            "pattern": "^[0-9]+ ?[a-z]+( ?[0-9]+ ?[a-z]+)*$"
        })
    }
}
