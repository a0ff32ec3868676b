//! Errors of fixtures and measurements.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error that prevents setting up a fixture or taking a measurement.
#[derive(Debug, Error)]
pub enum TestkitError {
    /// A file, a folder or a program could not be used.
    #[error("{}: {source}", path.display())]
    File {
        /// The file, the folder or the program.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// A socket or a process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A gateway's process exited, or did not listen in time.
    #[error("gateway g{index} did not start: {last_log_line}")]
    GatewayStart {
        /// The gateway's number.
        index: usize,
        /// The last line of its log.
        last_log_line: String,
    },
    /// A required gateway is not running.
    #[error("the gateway is not running")]
    GatewayNotRunning,
    /// A gateway does not serve Flight SQL.
    #[error("the gateway does not serve Flight SQL")]
    NoFlightSql,
    /// A client could not connect to a gateway.
    #[error("could not connect to the gateway")]
    NoConnection,
    /// A Flight SQL server could not be reached.
    #[error("{address}: {reason}")]
    FlightConnection {
        /// The server's address.
        address: std::net::SocketAddr,
        /// The innermost cause.
        reason: String,
    },
    /// A Flight SQL call failed.
    #[error("{0}")]
    FlightCall(String),
    /// The flight info of a statement has no ticket for its answer.
    #[error("the flight info has no ticket")]
    NoTicket,
    /// A stream ended before its last message was expected.
    #[error("the stream ended early")]
    StreamEnded,
    /// Members were still working on a stream ten seconds after its client had cancelled it.
    #[error("members were still working on the cancelled stream")]
    WorkNotStopped,
}

impl TestkitError {
    /// An I/O error with the path that it concerns.
    pub(crate) fn file(path: &Path, source: io::Error) -> Self {
        TestkitError::File {
            path: path.to_owned(),
            source,
        }
    }
}
