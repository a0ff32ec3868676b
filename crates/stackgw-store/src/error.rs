//! What goes wrong with files and threads. Each message is one line that names the operator's field
//! and the file.

use crate::tables::FORMAT_VERSION;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why something could not be read, stored or started.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has the store open.
    #[error("store: {}: another process has it open", path.display())]
    InUse {
        /// The store.
        path: PathBuf,
    },
    /// The store's file can be neither read nor created.
    #[error("store: {}: {source}", path.display())]
    Io {
        /// The store.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A transaction failed.
    #[error("store: {}: {source}", path.display())]
    Database {
        /// The store.
        path: PathBuf,
        /// What the database reported.
        source: Box<redb::Error>,
    },
    /// A store that was only just created is rejected.
    #[error("store: {}: {reason}", path.display())]
    Rejected {
        /// The store.
        path: PathBuf,
        /// Why.
        reason: RejectReason,
    },
    /// A store that is not trusted could not be moved out of the way.
    #[error("store: {}: {reason}; {source}", path.display())]
    NotQuarantined {
        /// The store.
        path: PathBuf,
        /// Why it is not trusted.
        reason: RejectReason,
        /// What the system reported.
        source: io::Error,
    },
    /// The cached endpoint list can be neither read nor moved out of the way.
    #[error("start.list: {}: {source}", path.display())]
    ListIo {
        /// The list's file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The path of the cached endpoint list names no regular file, or one that is too large.
    #[error("start.list: {}: no plain file, or too large a one", path.display())]
    ListNotRegularFile {
        /// The list's file.
        path: PathBuf,
    },
    /// The cached endpoint list is damaged and has been quarantined.
    #[error("start.list: {}: is damaged; set aside as {}", path.display(), moved_to.display())]
    ListDamaged {
        /// The list's file.
        path: PathBuf,
        /// Where it is now.
        moved_to: PathBuf,
    },
    /// The endpoint list could not be written.
    #[error("start.list: {}: {source}; the list is not kept", path.display())]
    ListNotWritten {
        /// The list's file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A thread could not be started.
    #[error("{field}: no thread: {source}")]
    Thread {
        /// The operator's field that asked for it.
        field: &'static str,
        /// What the system reported.
        source: io::Error,
    },
}

/// Why a store's file is not trusted.
#[derive(Debug, Error)]
pub enum RejectReason {
    /// The database cannot read it.
    #[error("{0}")]
    Unreadable(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The database gave up on an assertion.
    #[error("the file is damaged beyond reading")]
    Damaged,
    /// A value that each store has is missing.
    #[error("it has no {0}")]
    Missing(&'static str),
    /// It has another format version.
    #[error("it is of version {0}, this is version {FORMAT_VERSION}")]
    Version(u64),
    /// It belongs to another cluster than this one.
    #[error("it is not of the cluster {0}")]
    OtherCluster(String),
    /// It belongs to another instance.
    #[error("it is another instance's")]
    OtherInstance,
    /// Its incarnations contradict each other.
    #[error("its lives are out of order")]
    IncarnationOrder,
}

impl RejectReason {
    /// The file cannot be read, for this reason.
    pub(crate) fn unreadable(error: impl std::error::Error + Send + Sync + 'static) -> Self {
        RejectReason::Unreadable(Box::new(error))
    }
}
