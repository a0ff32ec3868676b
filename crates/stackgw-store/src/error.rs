//! Errors of files and threads. Each message is one line that names the operator's field and the
//! file.

use crate::tables::FORMAT_VERSION;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a file could not be read or written, or a thread could not be started.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has the store open.
    #[error("store: {}: another process has it open", path.display())]
    InUse {
        /// The store's file.
        path: PathBuf,
    },
    /// The store's file cannot be read, created or moved.
    #[error("store: {}: {source}", path.display())]
    Io {
        /// The store's file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A transaction failed.
    #[error("store: {}: {source}", path.display())]
    Database {
        /// The store's file.
        path: PathBuf,
        /// The database's error.
        source: Box<redb::Error>,
    },
    /// The store that was created in place of a quarantined one is rejected too, or the database
    /// panicked while it created a store.
    #[error("store: {}: {reason}", path.display())]
    Rejected {
        /// The store's file.
        path: PathBuf,
        /// Why the store is rejected.
        reason: RejectReason,
    },
    /// A rejected store could not be quarantined.
    #[error("store: {}: {reason}; cannot move the file: {source}", path.display())]
    NotQuarantined {
        /// The store's file.
        path: PathBuf,
        /// Why the store is rejected.
        reason: RejectReason,
        /// The system's error.
        source: io::Error,
    },
    /// The cached endpoint list cannot be read, or is damaged and cannot be quarantined.
    #[error("start.list: {}: {source}", path.display())]
    ListIo {
        /// The list's file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The path of the cached endpoint list is not a regular file, or the file is too large.
    #[error("start.list: {}: is not a regular file, or is too large", path.display())]
    ListNotRegularOrTooLarge {
        /// The list's file.
        path: PathBuf,
    },
    /// The cached endpoint list is damaged, or has another format version, and has been quarantined.
    #[error("start.list: {}: is damaged; moved to {}", path.display(), moved_to.display())]
    ListDamaged {
        /// The list's file.
        path: PathBuf,
        /// Where the file is now.
        moved_to: PathBuf,
    },
    /// The endpoint list could not be written.
    #[error("start.list: {}: {source}; the endpoint list is not cached", path.display())]
    ListNotWritten {
        /// The list's file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A thread could not be started.
    #[error("{field}: cannot start a thread: {source}")]
    Thread {
        /// The operator's field that requires the thread.
        field: &'static str,
        /// The system's error.
        source: io::Error,
    },
}

/// Why a store's file is rejected.
#[derive(Debug, Error)]
pub enum RejectReason {
    /// The database cannot read the file.
    #[error("{0}")]
    Unreadable(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The database panicked while opening or creating the file.
    #[error("the file is damaged and cannot be read")]
    Damaged,
    /// A value that every store has is missing.
    #[error("it has no value '{0}'")]
    Missing(&'static str),
    /// The file has another format version.
    #[error("it has format version {0}, this build uses version {FORMAT_VERSION}")]
    Version(u64),
    /// The file does not belong to the cluster with this name.
    #[error("it does not belong to the cluster {0}")]
    OtherCluster(String),
    /// The file belongs to another instance.
    #[error("it belongs to another instance")]
    OtherInstance,
    /// The incarnations in the file contradict each other.
    #[error("its incarnations are out of order")]
    IncarnationOrder,
}

impl RejectReason {
    /// Wraps an error of the database as [`RejectReason::Unreadable`].
    pub(crate) fn unreadable(error: impl std::error::Error + Send + Sync + 'static) -> Self {
        RejectReason::Unreadable(Box::new(error))
    }
}
