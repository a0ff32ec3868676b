//! A request's final response and its encoding in the PostgreSQL protocol.

use crate::pg::write;

/// SQLSTATE `too_many_connections`: nothing has run, a retry is safe.
pub(crate) const TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATE `cannot_connect_now`.
const CANNOT_CONNECT_NOW: &str = "57P03";
/// SQLSTATE `system_error`: the statement may have run.
const SYSTEM_ERROR: &str = "58000";
/// SQLSTATE `syntax_error`.
pub(crate) const SYNTAX_ERROR: &str = "42601";
/// SQLSTATE `protocol_violation`.
pub(crate) const PROTOCOL_VIOLATION: &str = "08P01";
/// SQLSTATE `feature_not_supported`.
pub(crate) const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// SQLSTATE `configuration_limit_exceeded`.
pub(crate) const LIMIT_EXCEEDED: &str = "53400";
/// SQLSTATE `query_canceled`.
pub(crate) const QUERY_CANCELED: &str = "57014";

/// A request's one final response, independent of the protocol that carries it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FinalResponse {
    /// The row description, the row and the command completion, as the member sent them.
    Served(Vec<u8>),
    /// Nothing has run and a retry is safe, after this many milliseconds if given.
    Rejected(&'static str, Option<i64>),
    /// Nothing has run and a retry is safe: no endpoint list is known, or the gateway is shutting down.
    Unavailable(&'static str),
    /// The request may or may not have run.
    Failed(&'static str),
    /// The request itself is invalid.
    Malformed(&'static str),
}

impl FinalResponse {
    /// Encodes the response as PostgreSQL messages.
    pub(crate) fn into_messages(self) -> Vec<u8> {
        let (code, text, retry_after_ms) = match self {
            FinalResponse::Served(mut row) => {
                write::ready(&mut row);
                return row;
            }
            FinalResponse::Rejected(text, wait) => (TOO_MANY_CONNECTIONS, text, wait),
            FinalResponse::Unavailable(text) => (CANNOT_CONNECT_NOW, text, None),
            FinalResponse::Failed(text) => (SYSTEM_ERROR, text, None),
            FinalResponse::Malformed(text) => (SYNTAX_ERROR, text, None),
        };
        let detail = retry_after_ms.map(|ms| ms.to_string());
        let mut reply = Vec::new();
        write::error(&mut reply, false, code, text, detail.as_deref());
        write::ready(&mut reply);
        reply
    }
}

/// An error that concerns a client's connection rather than one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClientError {
    /// The connection is closed after this error.
    pub(crate) fatal: bool,
    /// The SQLSTATE.
    pub(crate) code: &'static str,
    pub(crate) text: &'static str,
}

impl ClientError {
    /// An error after which the connection is closed.
    pub(crate) fn fatal(code: &'static str, text: &'static str) -> Self {
        ClientError {
            fatal: true,
            code,
            text,
        }
    }

    /// An error after which the client may continue.
    pub(crate) fn recoverable(code: &'static str, text: &'static str) -> Self {
        ClientError {
            fatal: false,
            code,
            text,
        }
    }

    /// Encodes the error as PostgreSQL messages, followed by ReadyForQuery unless it is fatal.
    pub(crate) fn to_messages(self) -> Vec<u8> {
        let mut reply = Vec::new();
        write::error(&mut reply, self.fatal, self.code, self.text, None);
        if !self.fatal {
            write::ready(&mut reply);
        }
        reply
    }
}
