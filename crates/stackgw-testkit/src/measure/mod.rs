//! Measurements of the real program on loopback. Each one sets up its fixture, runs, and returns the results, which the
//! command prints.

pub mod cold_start;
#[cfg(feature = "flight")]
pub mod flight;
pub mod sessions;

use crate::error::TestkitError;
use std::path::{Path, PathBuf};

/// A folder for one measurement's files, removed on drop unless it is kept.
struct MeasureFolder {
    path: PathBuf,
    is_kept: bool,
}

impl MeasureFolder {
    /// Creates a folder in the system's temporary directory. Measurements of one process must use different names.
    fn temporary(name: &str) -> Result<Self, TestkitError> {
        let name = format!("stackgw-{name}-{}", std::process::id());
        let folder = MeasureFolder {
            path: std::env::temp_dir().join(name),
            is_kept: false,
        };
        folder.create()
    }

    /// Creates a folder that is kept.
    fn kept(path: &Path) -> Result<Self, TestkitError> {
        let folder = MeasureFolder {
            path: path.to_owned(),
            is_kept: true,
        };
        folder.create()
    }

    fn create(self) -> Result<Self, TestkitError> {
        std::fs::create_dir_all(&self.path).map_err(|e| TestkitError::file(&self.path, e))?;
        Ok(self)
    }
}

impl Drop for MeasureFolder {
    fn drop(&mut self) {
        if !self.is_kept {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
