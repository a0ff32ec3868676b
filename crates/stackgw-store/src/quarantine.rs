//! Quarantine: a rejected file is renamed, so that an operator can inspect it and no later
//! incarnation reads it by accident.

use crate::error::{RejectReason, StoreError};
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// A store that has been quarantined. Displayed as one line for the log.
#[derive(Debug)]
pub struct Quarantined {
    /// The original path of the file.
    pub path: PathBuf,
    /// Where the file is now.
    pub moved_to: PathBuf,
    /// Why the store is rejected.
    pub reason: RejectReason,
}

impl fmt::Display for Quarantined {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (path, moved_to) = (self.path.display(), self.moved_to.display());
        write!(f, "store: {path}: {}; moved to {moved_to}", self.reason)
    }
}

impl Quarantined {
    /// Quarantines a store for this reason.
    pub(crate) fn new(path: &Path, reason: RejectReason) -> Result<Self, StoreError> {
        let path = path.to_owned();
        match quarantine_file(&path) {
            Ok(moved_to) => Ok(Quarantined {
                path,
                moved_to,
                reason,
            }),
            Err(source) => Err(StoreError::NotQuarantined {
                path,
                reason,
                source,
            }),
        }
    }
}

/// Renames a file to an unused name and returns that name.
pub(crate) fn quarantine_file(path: &Path) -> io::Result<PathBuf> {
    let moved_to = unused_name(path);
    std::fs::rename(path, &moved_to)?;
    Ok(moved_to)
}

fn unused_name(path: &Path) -> PathBuf {
    let numbered = |number: u64| {
        let mut name = path.as_os_str().to_owned();
        name.push(format!(".refused-{number}"));
        PathBuf::from(name)
    };
    let first = unix_ms();
    (first..)
        .map(numbered)
        .find(|name| !name.exists())
        .unwrap_or_else(|| numbered(first))
}

/// Returns the wall clock in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
