//! Errors of the settings document.

use std::fmt;
use thiserror::Error;

/// Why a settings document cannot be used. Each message is one line and, unless the text is not JSON,
/// names the key at fault or the list that contains the fault.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not valid JSON, is nested too deeply, or has a number too large for the parser.
    /// Valid JSON that is not an object is reported as a missing section.
    #[error("not valid JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A value is missing or has the wrong type.
    #[error("{key} is missing or {}", expected.negation())]
    WrongType {
        /// The key.
        key: &'static str,
        /// The type that the value must have.
        expected: ValueType,
    },
    /// A number is negative.
    #[error("{0} is below 0")]
    Negative(&'static str),
    /// A number is zero or negative.
    #[error("{0} is not above 0")]
    NotPositive(&'static str),
    /// An index or count is not from 0 to 2^32 - 1.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
    /// A string is not one of the values that the key accepts.
    #[error("{key} has the unknown value '{value}'")]
    UnknownValue {
        /// The key.
        key: &'static str,
        /// The unknown value.
        value: String,
    },
    /// A name in a list is missing or not a string.
    #[error("{0} contains a name that is not a string")]
    NameNotText(&'static str),
    /// The consistency of a class is missing or unknown.
    #[error("NeedsByClass has a missing or unknown value for class {class}: {value:?}")]
    UnknownConsistency {
        /// Index of the class.
        class: usize,
        /// The unknown value, or `None` if it is missing or not a string.
        value: Option<String>,
    },
    /// A class with bounded staleness has no bound, or one that is not an integer.
    #[error("StalenessBoundNs has no integer for a class whose NeedsByClass is 'recent'")]
    NoStalenessBound,
    /// A class with bounded staleness has a bound that is zero or negative.
    #[error("StalenessBoundNs contains a bound that is not above 0")]
    StalenessBoundNotPositive,
}

/// The type of a value in the document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueType {
    /// An object.
    Object,
    /// A list.
    List,
    /// An integer.
    Integer,
    /// Any number.
    Number,
    /// A boolean.
    Flag,
    /// A string.
    Text,
}

impl ValueType {
    fn negation(self) -> impl fmt::Display {
        match self {
            ValueType::Object => "not an object",
            ValueType::List => "not a list",
            ValueType::Integer => "not an integer",
            ValueType::Number => "not a number",
            ValueType::Flag => "neither true nor false",
            ValueType::Text => "not a string",
        }
    }
}
