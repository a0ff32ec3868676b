//! The store's file, a `redb` database: one writer, checksums on all pages, atomic commits.

use crate::durable_store::DurableStore;
use crate::error::{RejectReason, StoreError};
use crate::owner::StoreOwner;
use crate::quarantine::{quarantine_file, unix_ms, Quarantined};
use crate::recovery::recover;
use crate::tables::{meta, Tables, FORMAT_VERSION};
use redb::{Database, DatabaseError, StorageError};
use stackgw_sessions::{NodeId, Record, Recovered, StoreVersion};
use std::io::ErrorKind;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// Size of the database's page cache in bytes.
const CACHE_BYTES: usize = 4 << 20;
/// Positions are removed by a commit at least this many retention times after they were written. It
/// is more than one, because the wall clock may be adjusted.
const RETENTIONS_ON_DISK: u64 = 3;

/// A file that is ready for a new incarnation of its instance.
#[derive(Debug)]
pub struct OpenedStore {
    /// The open file, to which records are committed.
    pub store: StoreFile,
    /// The number of the new incarnation, which is already durable.
    pub incarnation: u64,
    /// The state that earlier incarnations left.
    pub recovered: Recovered,
    /// The previous file, if it was rejected.
    pub quarantined: Option<Quarantined>,
}

/// An open store file.
#[derive(Debug)]
pub struct StoreFile {
    path: PathBuf,
    database: Database,
    retention_ms: u64,
    pruned_at_ms: u64,
}

/// Why a file cannot be opened.
enum OpenFailure {
    /// The file is rejected and must be quarantined.
    Rejected(RejectReason),
    /// The file is unavailable: another process has it open, or the system reports an error such as
    /// a missing directory.
    Failed(StoreError),
}

impl From<RejectReason> for OpenFailure {
    fn from(reason: RejectReason) -> Self {
        OpenFailure::Rejected(reason)
    }
}

impl OpenFailure {
    fn into_error(self, path: &Path) -> StoreError {
        match self {
            OpenFailure::Rejected(reason) => StoreError::Rejected {
                path: path.to_owned(),
                reason,
            },
            OpenFailure::Failed(error) => error,
        }
    }
}

impl StoreFile {
    /// Opens an instance's file, or creates one, and begins a new incarnation in it. A rejected
    /// file is quarantined and replaced by a new one.
    ///
    /// # Errors
    /// If the file is in use, or cannot be read, created, written or moved; it is still at its path.
    /// Also if a rejected file has been quarantined and the new one cannot be opened.
    pub fn open(path: &Path, owner: &StoreOwner) -> Result<OpenedStore, StoreError> {
        match Self::open_or_create(path, owner) {
            Ok(opened) => Ok(opened),
            Err(OpenFailure::Failed(error)) => Err(error),
            Err(OpenFailure::Rejected(reason)) => {
                let quarantined = Quarantined::new(path, reason)?;
                let opened = Self::open_or_create(path, owner);
                let opened = opened.map_err(|failure| failure.into_error(path))?;
                Ok(OpenedStore {
                    quarantined: Some(quarantined),
                    ..opened
                })
            }
        }
    }

    fn open_or_create(path: &Path, owner: &StoreOwner) -> Result<OpenedStore, OpenFailure> {
        let exists = path.exists();
        // The database has assertions that fail for a damaged file. Without `catch_unwind`, such a
        // panic would end the gateway.
        let opened = catch_unwind(AssertUnwindSafe(|| {
            if exists {
                Self::open_existing(path, owner)
            } else {
                Self::create(path, owner)
            }
        }));
        opened.unwrap_or_else(|_| Err(RejectReason::Damaged.into()))
    }

    fn open_existing(path: &Path, owner: &StoreOwner) -> Result<OpenedStore, OpenFailure> {
        let database = builder().open(path);
        let mut database = database.map_err(|error| classify(path, error))?;
        // A repair rolls back to the last completed commit. An incomplete commit was never reported
        // as durable.
        database
            .check_integrity()
            .map_err(RejectReason::unreadable)?;
        let recovered = recover(&database, owner)?;
        let incarnation = unix_ms().max(recovered.store_version.last_incarnation + 1);
        Self::begin_incarnation(path, owner, database, incarnation, recovered)
    }

    fn create(path: &Path, owner: &StoreOwner) -> Result<OpenedStore, OpenFailure> {
        let database = builder().create(path);
        let database = database.map_err(|error| classify(path, error))?;
        let incarnation = unix_ms().max(1);
        let recovered = Recovered {
            unbroken_since: incarnation,
            store_version: StoreVersion {
                store_id: incarnation,
                records: 0,
                last_incarnation: 0,
            },
            ..Recovered::default()
        };
        Self::begin_incarnation(path, owner, database, incarnation, recovered)
    }

    fn begin_incarnation(
        path: &Path,
        owner: &StoreOwner,
        database: Database,
        incarnation: u64,
        recovered: Recovered,
    ) -> Result<OpenedStore, OpenFailure> {
        let path = path.to_owned();
        if let Err(source) = write_header(&database, owner, incarnation, &recovered) {
            return Err(OpenFailure::Failed(StoreError::Database {
                path,
                source: Box::new(source),
            }));
        }
        let store = StoreFile {
            path,
            database,
            retention_ms: owner.retention_ms,
            pruned_at_ms: 0,
        };
        Ok(OpenedStore {
            store,
            incarnation,
            recovered,
            quarantined: None,
        })
    }

    fn write(&mut self, records: &[Record]) -> Result<(), redb::Error> {
        let now_ms = unix_ms();
        let transaction = self.database.begin_write()?;
        {
            let mut tables = Tables::open(&transaction)?;
            tables.apply_all(records, now_ms)?;
            if now_ms.saturating_sub(self.pruned_at_ms) > self.retention_ms {
                self.pruned_at_ms = now_ms;
                let retention_ms = self.retention_ms.saturating_mul(RETENTIONS_ON_DISK);
                tables.prune(|written_ms| written_ms.saturating_add(retention_ms) >= now_ms)?;
            }
        }
        transaction.commit()?;
        Ok(())
    }
}

impl DurableStore for StoreFile {
    fn commit(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let written = catch_unwind(AssertUnwindSafe(|| self.write(records)));
        let written = written
            .unwrap_or_else(|_| Err(redb::Error::Corrupted("the database panicked".to_owned())));
        written.map_err(|source| StoreError::Database {
            path: self.path.clone(),
            source: Box::new(source),
        })
    }

    fn quarantine(&mut self) -> Result<(), StoreError> {
        match quarantine_file(&self.path) {
            Ok(_) => Ok(()),
            Err(source) => Err(StoreError::Io {
                path: self.path.clone(),
                source,
            }),
        }
    }
}

fn builder() -> redb::Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

/// Tells whether a database that cannot be opened is damaged or only unavailable.
fn classify(path: &Path, error: DatabaseError) -> OpenFailure {
    let path = path.to_owned();
    match error {
        DatabaseError::DatabaseAlreadyOpen => OpenFailure::Failed(StoreError::InUse { path }),
        DatabaseError::Storage(StorageError::Io(source)) if !is_damage(source.kind()) => {
            OpenFailure::Failed(StoreError::Io { path, source })
        }
        other => OpenFailure::Rejected(RejectReason::unreadable(other)),
    }
}

fn is_damage(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::InvalidData | ErrorKind::UnexpectedEof)
}

/// Creates missing tables, and makes the new incarnation and the identity of the file durable.
fn write_header(
    database: &Database,
    owner: &StoreOwner,
    incarnation: u64,
    recovered: &Recovered,
) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        let mut tables = Tables::open(&transaction)?;
        let values = [
            (meta::VERSION, FORMAT_VERSION),
            (meta::CLUSTER, NodeId::of(&owner.cluster).0),
            (meta::NODE, owner.node.0),
            (meta::INCARNATION, incarnation),
            (meta::UNBROKEN_SINCE, recovered.unbroken_since),
            (meta::STORE_ID, recovered.store_version.store_id),
            (meta::RECORDS, recovered.store_version.records),
        ];
        for (name, value) in values {
            tables.meta.insert(name, value)?;
        }
    }
    transaction.commit()?;
    Ok(())
}
