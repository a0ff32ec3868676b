//! Errors that keep Flight SQL from starting. Each is one line that names the key of the operator's
//! file at fault.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why Flight SQL does not start.
#[derive(Debug, Error)]
pub enum Error {
    /// The frontend cannot listen, or has no threads to serve with.
    #[error("flight.listen: {address}: {source}")]
    Listen {
        /// The address of the operator's file.
        address: SocketAddr,
        /// What the operating system says.
        source: io::Error,
    },
    /// The file of users cannot be used.
    #[error("flight.auth: {}: {problem}", file.display())]
    Users {
        /// The file.
        file: PathBuf,
        /// What is wrong with it.
        #[source]
        problem: UsersFileProblem,
    },
}

/// What is wrong with a file of users. Lines count from one.
#[derive(Debug, Error)]
pub enum UsersFileProblem {
    /// It cannot be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// It is a directory or a device, or larger than a file of users may be.
    #[error("no plain file, or too large a one")]
    NotPlainFile,
    /// A line has no colon.
    #[error("line {line}: is no name:secret")]
    Malformed {
        /// Number of the line.
        line: usize,
    },
    /// A line has no name, or too short a secret.
    #[error("line {line}: the name is empty, or the secret has fewer than 8 bytes")]
    ShortSecret {
        /// Number of the line.
        line: usize,
    },
    /// A line repeats a name.
    #[error("line {line}: names a user twice")]
    DuplicateUser {
        /// Number of the line.
        line: usize,
    },
    /// There is no user in it.
    #[error("names nobody")]
    NoUsers,
}
