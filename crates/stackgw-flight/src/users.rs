//! Authentication of clients: users and their secrets, read from a file, and the bearer tokens that
//! a handshake issues.

use crate::error::{Error, UsersFileProblem};
use crate::tickets::SealedHandle;
use base64::prelude::{Engine, BASE64_STANDARD};
use stackgw_cluster::Keyring;
use std::collections::BTreeMap;
use std::path::Path;
use tonic::metadata::MetadataMap;
use tonic::Status;

/// How clients authenticate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AuthScheme {
    /// With name and secret; a handshake issues a token for later calls.
    Basic,
    /// With a secret from the users file as bearer token.
    Bearer,
}

/// The users from a file. Secrets are stored as hashes, which are compared in constant time.
#[derive(Debug, Clone)]
pub struct Users {
    scheme: AuthScheme,
    secrets: BTreeMap<String, blake3::Hash>,
}

/// Maximum size of a users file, in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 8;

impl Users {
    /// Reads a file with lines of the form `name:secret`. Empty lines and lines that begin with `#`
    /// are skipped.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Users`] if the file cannot be read, is not a regular file or is too large,
    /// has an invalid line, or contains no users.
    pub fn read(scheme: AuthScheme, file: &Path) -> Result<Self, Error> {
        let secrets = read_secrets(file).map_err(|problem| Error::Users {
            file: file.to_owned(),
            problem,
        })?;
        Ok(Users { scheme, secrets })
    }

    /// Authenticates a call by its `authorization` header. Returns the user's name.
    pub(crate) fn authenticate(
        &self,
        key_ring: &Keyring,
        headers: &MetadataMap,
        now_ms: u64,
    ) -> Result<String, Status> {
        self.identify(key_ring, headers, now_ms)
            .ok_or_else(|| Status::unauthenticated("who asks is not known"))
    }

    /// Issues a token that is valid until `expires_at_ms`, in Unix milliseconds.
    pub(crate) fn issue_token(&self, key_ring: &Keyring, name: &str, expires_at_ms: u64) -> String {
        let bearer = SealedHandle::Bearer(name.to_owned());
        BASE64_STANDARD.encode(bearer.seal(key_ring, expires_at_ms))
    }

    fn identify(&self, key_ring: &Keyring, headers: &MetadataMap, now_ms: u64) -> Option<String> {
        let header = headers.get("authorization")?.to_str().ok()?;
        let (scheme, credentials) = header.split_once(' ')?;
        let credentials = credentials.trim();
        let is_basic = scheme.eq_ignore_ascii_case("basic");
        let is_bearer = scheme.eq_ignore_ascii_case("bearer");
        match self.scheme {
            AuthScheme::Bearer if is_bearer => self.identify_by_secret(credentials),
            AuthScheme::Basic if is_bearer => self.identify_by_token(key_ring, credentials, now_ms),
            AuthScheme::Basic if is_basic => self.identify_by_name_and_secret(credentials),
            AuthScheme::Bearer | AuthScheme::Basic => None,
        }
    }

    fn identify_by_secret(&self, secret: &str) -> Option<String> {
        let hash = blake3::hash(secret.as_bytes());
        let mut users = self.secrets.iter();
        let (name, _) = users.find(|(_, user_hash)| **user_hash == hash)?;
        Some(name.clone())
    }

    fn identify_by_token(&self, key_ring: &Keyring, token: &str, now_ms: u64) -> Option<String> {
        let handle = BASE64_STANDARD.decode(token).ok()?;
        match SealedHandle::open(key_ring, &handle, now_ms) {
            // A token stays valid after the users file has changed. Without this check, a user who
            // was removed from the file would still be accepted.
            Ok(SealedHandle::Bearer(name)) if self.secrets.contains_key(&name) => Some(name),
            _ => None,
        }
    }

    fn identify_by_name_and_secret(&self, credentials: &str) -> Option<String> {
        let decoded = BASE64_STANDARD.decode(credentials).ok()?;
        let text = String::from_utf8(decoded).ok()?;
        let (name, secret) = text.split_once(':')?;
        let expected_hash = self.secrets.get(name)?;
        (*expected_hash == blake3::hash(secret.as_bytes())).then(|| name.to_owned())
    }
}

fn read_secrets(file: &Path) -> Result<BTreeMap<String, blake3::Hash>, UsersFileProblem> {
    let metadata = std::fs::metadata(file)?;
    if !metadata.is_file() || metadata.len() > MAX_FILE_BYTES {
        return Err(UsersFileProblem::NotRegularFile);
    }
    let text = std::fs::read_to_string(file)?;
    let mut secrets = BTreeMap::new();
    for (index, text) in text.lines().enumerate() {
        let text = text.trim();
        if text.is_empty() || text.starts_with('#') {
            continue;
        }
        let line = index + 1;
        let Some((name, secret)) = text.split_once(':') else {
            return Err(UsersFileProblem::Malformed { line });
        };
        if name.is_empty() || secret.len() < MIN_SECRET_BYTES {
            return Err(UsersFileProblem::ShortSecret { line });
        }
        let hash = blake3::hash(secret.as_bytes());
        if secrets.insert(name.to_owned(), hash).is_some() {
            return Err(UsersFileProblem::DuplicateUser { line });
        }
    }
    if secrets.is_empty() {
        return Err(UsersFileProblem::NoUsers);
    }
    Ok(secrets)
}
