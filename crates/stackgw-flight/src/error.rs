//! Errors that prevent Flight SQL from starting. Each message is one line that begins with the key
//! of the operator's file that caused the error.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// An error that prevents Flight SQL from starting.
#[derive(Debug, Error)]
pub enum Error {
    /// The address cannot be bound, or the server's threads cannot be started.
    #[error("flight.listen: {address}: {source}")]
    Listen {
        /// The address from the operator's file.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The users file cannot be read or is invalid.
    #[error("flight.auth: {}: {problem}", file.display())]
    Users {
        /// Path of the file.
        file: PathBuf,
        /// What is wrong with the file.
        #[source]
        problem: UsersFileProblem,
    },
}

/// What is wrong with a users file. Lines are counted from 1.
#[derive(Debug, Error)]
pub enum UsersFileProblem {
    /// The file cannot be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// The path is not a regular file (for example, a directory or a device), or the file exceeds
    /// the size limit of users files.
    #[error("is not a regular file, or is too large")]
    NotRegularFile,
    /// A line has no colon.
    #[error("line {line}: is not of the form name:secret")]
    Malformed {
        /// Line number.
        line: usize,
    },
    /// A line has no name, or its secret is too short.
    #[error("line {line}: the name is empty, or the secret has fewer than 8 bytes")]
    ShortSecret {
        /// Line number.
        line: usize,
    },
    /// A line repeats a name.
    #[error("line {line}: duplicate user name")]
    DuplicateUser {
        /// Line number.
        line: usize,
    },
    /// The file contains no users.
    #[error("contains no users")]
    NoUsers,
}
