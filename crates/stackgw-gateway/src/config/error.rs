//! Why a configuration cannot be used. Each error is one plain line that names the variable, file or field at fault.

use crate::discovery::ListError;
use std::path::PathBuf;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No variable names the platform's document.
    #[error("ROUTER_CONFIG is not set")]
    NoDocument,
    /// The gateway's configuration came from no file that could be read again.
    #[error("no file was named at start")]
    NoFile,
    /// The platform's document cannot be read.
    #[error("ROUTER_CONFIG: {}: {source}", path.display())]
    Document {
        /// The document's file.
        path: PathBuf,
        /// Why not.
        source: FileError,
    },
    /// The platform's document is no JSON.
    #[error("ROUTER_CONFIG: no JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A text is neither in the document nor in its variable.
    #[error("{field} is no text and {variable} is not set")]
    NoTextOrVariable {
        /// The document's field.
        field: &'static str,
        /// The variable that overrides it.
        variable: &'static str,
    },
    /// A field is no text.
    #[error("{0} is no text")]
    NotText(&'static str),
    /// A field is no socket address.
    #[error("{field}: '{text}' is no address and port")]
    Address {
        /// The document's field.
        field: &'static str,
        /// What stands there.
        text: String,
    },
    /// The other gateways' addresses are no array.
    #[error("peers is no list")]
    PeersNotAList,
    /// One of the other gateways' addresses is no text.
    #[error("peers holds what is no text")]
    PeerNotText,
    /// A part of the document is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A limit of the platform is missing or not at least 1.
    #[error("limits.{0} is no positive number")]
    NotPositive(&'static str),
    /// Too few descriptors to serve anybody.
    #[error("limits.sockets: {sockets} are fewer than {least}")]
    TooFewSockets {
        /// What the platform grants.
        sockets: usize,
        /// What is needed.
        least: usize,
    },
    /// The settings cannot be used.
    #[error("settings: {0}")]
    Settings(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The list that the gateway begins with is malformed.
    #[error("known: {0}")]
    InitialEndpoints(#[source] ListError),
    /// The seed of the random numbers is no hexadecimal number.
    #[error("seed: '{0}' is no hexadecimal number")]
    Seed(String),
    /// The operator's file cannot be used.
    #[error(transparent)]
    Operator(#[from] stackgw_config::ConfigError),
    /// Keys that the operator's file names cannot be used.
    #[error("{}: {source}", file.display())]
    Keys {
        /// The operator's file.
        file: PathBuf,
        /// Why not.
        source: KeyError,
    },
}

/// Why a file cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The operating system says why not.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A folder, a pipe or another special file, or a file over the limit.
    #[error("no plain file, or too large a one")]
    NotPlainOrTooLarge,
}

/// Why the keys that a field names cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// A file cannot be read.
    #[error("{field}: {}: {source}", path.display())]
    File {
        /// The field of the operator's file.
        field: &'static str,
        /// The key's file.
        path: PathBuf,
        /// Why not.
        source: FileError,
    },
    /// A secret is too short.
    #[error("{field}: {}: holds fewer than 16 bytes", path.display())]
    TooShort {
        /// The field of the operator's file.
        field: &'static str,
        /// The key's file.
        path: PathBuf,
    },
    /// The field names no file.
    #[error("{field}: names no file")]
    NoFile {
        /// The field of the operator's file.
        field: &'static str,
    },
}
