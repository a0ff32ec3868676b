//! What can go wrong with a fixture or a measurement.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a fixture could not be set up, or a measurement not be taken.
#[derive(Debug, Error)]
pub enum TestkitError {
    /// A file, a folder or a program could not be used.
    #[error("{}: {source}", path.display())]
    File {
        /// The file, the folder or the program.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A socket or a process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A gateway's process ended, or did not listen in time.
    #[error("gateway g{index} did not start: {last_log_line}")]
    GatewayStart {
        /// The gateway's number.
        index: usize,
        /// The last line of its log.
        last_log_line: String,
    },
    /// A gateway that is needed does not run.
    #[error("the gateway does not run")]
    GatewayNotRunning,
    /// A gateway offers no Flight SQL.
    #[error("the gateway has no Flight SQL")]
    NoFlightSql,
    /// A client got no connection to a gateway.
    #[error("no connection")]
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
    /// Flight SQL offered a statement's answer without a ticket.
    #[error("no ticket")]
    NoTicket,
    /// A stream ended that should have gone on.
    #[error("it ended")]
    StreamEnded,
    /// Members still worked on a stream ten seconds after its client had cancelled it.
    #[error("the work did not stop")]
    WorkNotStopped,
}

impl TestkitError {
    /// An I/O error together with the file that it is about.
    pub(crate) fn file(path: &Path, source: io::Error) -> Self {
        TestkitError::File {
            path: path.to_owned(),
            source,
        }
    }
}
