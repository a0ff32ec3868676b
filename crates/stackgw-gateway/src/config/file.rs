//! Reads the files that the configuration names: the platform's document, and the secrets of keys.

use super::error::{FileError, KeyError};
use stackgw_cluster::{Key, Keyring};
use std::path::{Path, PathBuf};

/// Maximum size of the platform's document.
const MAX_DOCUMENT_BYTES: u64 = 16 << 20;
/// Maximum size of a file with a secret.
const MAX_SECRET_BYTES: u64 = 4 << 10;

/// Reads the text of the platform's document.
pub(super) fn read_document(path: &Path) -> Result<String, FileError> {
    require_regular_file(path, MAX_DOCUMENT_BYTES)?;
    Ok(std::fs::read_to_string(path)?)
}

/// Reads the keys of a cluster, or of Flight tickets, from the files that hold their secrets; errors name the field that lists
/// the files.
pub(super) fn read_keyring(
    field: &'static str,
    cluster: &str,
    files: &[PathBuf],
) -> Result<Keyring, KeyError> {
    let keys = files
        .iter()
        .map(|path| read_key(field, cluster, path))
        .collect::<Result<_, _>>()?;
    Keyring::new(keys).ok_or(KeyError::NoFile { field })
}

fn read_key(field: &'static str, cluster: &str, path: &Path) -> Result<Key, KeyError> {
    let secret = read_secret(path).map_err(|source| KeyError::File {
        field,
        path: path.to_owned(),
        source,
    })?;
    let key = Key::new(cluster, secret.trim_ascii());
    key.ok_or_else(|| KeyError::TooShort {
        field,
        path: path.to_owned(),
    })
}

fn read_secret(path: &Path) -> Result<Vec<u8>, FileError> {
    require_regular_file(path, MAX_SECRET_BYTES)?;
    Ok(std::fs::read(path)?)
}

/// Rejects special files and files above the limit: reading a pipe would block the whole gateway.
fn require_regular_file(path: &Path, max_bytes: u64) -> Result<(), FileError> {
    let metadata = std::fs::metadata(path)?;
    if !metadata.is_file() || metadata.len() > max_bytes {
        return Err(FileError::NotRegularOrTooLarge);
    }
    Ok(())
}
