//! Errors in a configuration. Each message is one line that names the variable, file or field at fault.

use crate::discovery::ListError;
use std::path::PathBuf;

/// An error in a configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// `ROUTER_CONFIG`, which names the platform's document, is not set.
    #[error("ROUTER_CONFIG is not set")]
    NoDocument,
    /// The configuration was not read from a file, so it cannot be reloaded.
    #[error("no configuration file was named at start")]
    NoFile,
    /// The platform's document cannot be read.
    #[error("ROUTER_CONFIG: {}: {source}", path.display())]
    Document {
        /// The document's file.
        path: PathBuf,
        /// The cause.
        source: FileError,
    },
    /// The platform's document is not valid JSON.
    #[error("ROUTER_CONFIG: not valid JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A string is set neither in the document nor in its variable.
    #[error("{field} is not a string and {variable} is not set")]
    NoTextOrVariable {
        /// The document's field.
        field: &'static str,
        /// The variable that overrides it.
        variable: &'static str,
    },
    /// A field is not a string.
    #[error("{0} is not a string")]
    NotText(&'static str),
    /// A field, or the variable used instead of it, is not a socket address.
    #[error("{field}: '{text}' is not an address and port")]
    Address {
        /// The document's field.
        field: &'static str,
        /// The value of the field or variable.
        text: String,
    },
    /// The addresses of the tier's gateways are not an array.
    #[error("peers is not a list")]
    PeersNotAList,
    /// One of the addresses of the tier's gateways is not a string.
    #[error("peers contains a value that is not a string")]
    PeerNotText,
    /// A part of the document is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A limit of the platform is missing or not at least 1.
    #[error("limits.{0} is not a positive number")]
    NotPositive(&'static str),
    /// The platform grants fewer descriptors than a gateway needs.
    #[error("limits.sockets: {sockets} is less than the minimum of {min}")]
    TooFewSockets {
        /// The descriptors that the platform grants.
        sockets: usize,
        /// The minimum number of descriptors.
        min: usize,
    },
    /// The settings cannot be used.
    #[error("settings: {0}")]
    Settings(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The initial endpoint list is malformed.
    #[error("known: {0}")]
    InitialEndpoints(#[source] ListError),
    /// The seed of the random numbers is not a hexadecimal number.
    #[error("seed: '{0}' is not a hexadecimal number")]
    Seed(String),
    /// The operator's file cannot be used.
    #[error(transparent)]
    Operator(#[from] stackgw_config::ConfigError),
    /// Keys that the operator's file names cannot be used.
    #[error("{}: {source}", file.display())]
    Keys {
        /// The operator's file.
        file: PathBuf,
        /// The cause.
        source: KeyError,
    },
}

/// An error in reading a file.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// An error of the operating system.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A directory, a pipe or another special file, or a file above the size limit.
    #[error("is not a regular file, or is too large")]
    NotRegularOrTooLarge,
}

/// An error in the keys that a field names.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// A file cannot be read.
    #[error("{field}: {}: {source}", path.display())]
    File {
        /// The field of the operator's file.
        field: &'static str,
        /// The key's file.
        path: PathBuf,
        /// The cause.
        source: FileError,
    },
    /// A secret is too short.
    #[error("{field}: {}: key is shorter than 16 bytes", path.display())]
    TooShort {
        /// The field of the operator's file.
        field: &'static str,
        /// The key's file.
        path: PathBuf,
    },
    /// The field names no file.
    #[error("{field}: no key file is named")]
    NoFile {
        /// The field of the operator's file.
        field: &'static str,
    },
}
