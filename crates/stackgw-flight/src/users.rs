//! Who may ask: users and their secrets from a file, and the tokens that a handshake gives.

use crate::tickets::SealedHandle;
use base64::prelude::{Engine, BASE64_STANDARD};
use stackgw_cluster::Keyring;
use std::collections::BTreeMap;
use std::path::Path;
use tonic::metadata::MetadataMap;
use tonic::Status;

/// How clients show who they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AuthScheme {
    /// By name and secret; a handshake gives a token for the calls after it.
    Basic,
    /// By a token of the file.
    Bearer,
}

/// The users of a file. Secrets are kept as hashes, which compare in the same time whatever differs.
#[derive(Debug, Clone)]
pub struct Users {
    scheme: AuthScheme,
    known: BTreeMap<String, blake3::Hash>,
}

/// A file of users is smaller than this.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// A secret is at least so long, in bytes.
const MIN_SECRET_BYTES: usize = 8;

impl Users {
    /// Reads a file of lines `name:secret`; empty ones and those that begin with `#` are skipped.
    pub fn read(scheme: AuthScheme, file: &Path) -> Result<Self, String> {
        let wrong = |why: &dyn std::fmt::Display| format!("flight.auth: {}: {why}", file.display());
        let about = std::fs::metadata(file).map_err(|e| wrong(&e))?;
        if !about.is_file() || about.len() > MAX_FILE_BYTES {
            return Err(wrong(&"no plain file, or too large a one"));
        }
        let text = std::fs::read_to_string(file).map_err(|e| wrong(&e))?;
        let mut known = BTreeMap::new();
        for (n, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let wrong = |why: &str| wrong(&format!("line {}: {why}", n + 1));
            let (name, secret) = line
                .split_once(':')
                .ok_or_else(|| wrong("is no name:secret"))?;
            if name.is_empty() || secret.len() < MIN_SECRET_BYTES {
                return Err(wrong(
                    "the name is empty, or the secret has fewer than 8 bytes",
                ));
            }
            if known
                .insert(name.to_owned(), blake3::hash(secret.as_bytes()))
                .is_some()
            {
                return Err(wrong("names a user twice"));
            }
        }
        match known.is_empty() {
            true => Err(wrong(&"names nobody")),
            false => Ok(Users { scheme, known }),
        }
    }

    /// Who asks, by the header `authorization`.
    pub(crate) fn authenticate(
        &self,
        ring: &Keyring,
        headers: &MetadataMap,
        now_ms: u64,
    ) -> Result<String, Status> {
        let unknown = || Status::unauthenticated("who asks is not known");
        let header = headers
            .get("authorization")
            .and_then(|value| value.to_str().ok());
        let (scheme, word) = header
            .and_then(|text| text.split_once(' '))
            .ok_or_else(unknown)?;
        let word = word.trim();
        if self.scheme == AuthScheme::Bearer {
            let hash = blake3::hash(word.as_bytes());
            let by_token = self.known.iter().find(|(_, known)| **known == hash);
            return by_token
                .filter(|_| scheme.eq_ignore_ascii_case("bearer"))
                .map(|(name, _)| name.clone())
                .ok_or_else(unknown);
        }
        let plain = BASE64_STANDARD.decode(word).map_err(|_| unknown())?;
        if scheme.eq_ignore_ascii_case("bearer") {
            return match SealedHandle::open(ring, &plain, now_ms) {
                // Danger: a token outlives the file that it was given by; whoever was struck off is known no more.
                Ok(SealedHandle::Bearer(name)) if self.known.contains_key(&name) => Ok(name),
                _ => Err(unknown()),
            };
        }
        let text = String::from_utf8(plain).map_err(|_| unknown())?;
        let (name, secret) = text.split_once(':').ok_or_else(unknown)?;
        let good = self
            .known
            .get(name)
            .is_some_and(|known| *known == blake3::hash(secret.as_bytes()));
        (good && scheme.eq_ignore_ascii_case("basic"))
            .then(|| name.to_owned())
            .ok_or_else(unknown)
    }

    /// The token that a handshake gives.
    pub(crate) fn issue_token(&self, ring: &Keyring, name: &str, until_ms: u64) -> String {
        BASE64_STANDARD.encode(SealedHandle::Bearer(name.to_owned()).seal(ring, until_ms))
    }
}
