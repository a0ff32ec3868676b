//! What is wrong with a settings document.

use std::fmt;
use thiserror::Error;

/// A settings document that cannot be used. Each message is one line that names the key at fault.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is no JSON.
    #[error("no JSON object: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A value is missing or has another type.
    #[error("{key} is {}", expected.negation())]
    WrongType {
        /// The key.
        key: &'static str,
        /// What it should hold.
        expected: ValueType,
    },
    /// A number is negative.
    #[error("{0} is below 0")]
    Negative(&'static str),
    /// A number is zero or negative.
    #[error("{0} is not above 0")]
    NotPositive(&'static str),
    /// A number does not fit its type.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
    /// A text is none of those that the key may hold.
    #[error("{key} holds '{value}'")]
    UnknownValue {
        /// The key.
        key: &'static str,
        /// The text.
        value: String,
    },
    /// A list of names holds something else.
    #[error("{0} holds a name that is no text")]
    NameNotText(&'static str),
    /// The consistency of a class is missing or unknown.
    #[error("NeedsByClass holds {value:?} for class {class}")]
    UnknownConsistency {
        /// The class, by index.
        class: usize,
        /// The text, if there is one.
        value: Option<String>,
    },
    /// A class of bounded staleness has no bound.
    #[error("StalenessBoundNs is too short")]
    NoStalenessBound,
    /// A class of bounded staleness has a bound that is zero or negative.
    #[error("StalenessBoundNs holds one that is not above 0")]
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
    /// True or false.
    Flag,
    /// A text.
    Text,
}

impl ValueType {
    fn negation(self) -> impl fmt::Display {
        match self {
            ValueType::Object => "no object",
            ValueType::List => "no list",
            ValueType::Integer => "no whole number",
            ValueType::Number => "no number",
            ValueType::Flag => "neither true nor false",
            ValueType::Text => "no text",
        }
    }
}
