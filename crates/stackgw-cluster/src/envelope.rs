//! Authentication of datagrams: an envelope that only holders of a shared key can sign.
//!
//! An envelope is a version byte, a kind byte, four bytes that name the key, the first sixteen
//! bytes of a keyed hash over everything else, then the body. The key is derived from the
//! operator's secret and the cluster's name, so that envelopes of another cluster are rejected even
//! if it has the same secret. Bodies are not encrypted: they contain hashes and positions.

use std::fmt;
use thiserror::Error;

const VERSION: u8 = 1;
const KEY_NAME_BYTES: usize = 4;
const HEADER_BYTES: usize = 2 + KEY_NAME_BYTES;
const TAG_BYTES: usize = 16;
/// Maximum length of a datagram, envelope included.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Bytes that an envelope adds to a body.
pub const ENVELOPE_BYTES: usize = HEADER_BYTES + TAG_BYTES;
/// Minimum length of a secret.
const MIN_SECRET_BYTES: usize = 16;

/// A shared key. Its `Debug` form shows only its name.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    key: [u8; 32],
    name: [u8; KEY_NAME_BYTES],
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [a, b, c, d] = self.name;
        write!(f, "key {a:02x}{b:02x}{c:02x}{d:02x}")
    }
}

impl Key {
    /// Derives a cluster's key from its secret; `None` if the secret has fewer than 16 bytes.
    pub fn new(cluster: &str, secret: &[u8]) -> Option<Self> {
        if secret.len() < MIN_SECRET_BYTES {
            return None;
        }
        let material = [cluster.as_bytes(), b"\0", secret].concat();
        let key = blake3::derive_key("stackgw cluster datagrams 1", &material);
        let [a, b, c, d, ..] = blake3::derive_key("stackgw cluster key name 1", &key);
        Some(Key {
            key,
            name: [a, b, c, d],
        })
    }

    fn tag(&self, header: &[u8], body: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(header).update(body);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
        tag
    }
}

/// The valid keys: the first one signs, all of them verify.
///
/// To replace a key without interruption, add the new one after the old one on all instances, then
/// swap the two on all instances, then remove the old one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keyring {
    keys: Vec<Key>,
}

/// The contents of an authentic envelope.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Envelope<'a> {
    /// The kind of the body, as set by the sender.
    pub kind: u8,
    /// The body.
    pub body: &'a [u8],
}

/// Why an envelope is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum VerifyError {
    /// Its length or version is not that of an envelope.
    #[error("not an envelope of this version")]
    Foreign,
    /// It was signed with a key that is not valid here.
    #[error("signed with an unknown key")]
    UnknownKey,
    /// Its tag does not match: it was changed in transit, or forged.
    #[error("the signature does not match")]
    Forged,
}

impl Keyring {
    /// Creates a keyring of these keys; `None` if there are none.
    pub fn new(keys: Vec<Key>) -> Option<Self> {
        (!keys.is_empty()).then_some(Keyring { keys })
    }

    /// Puts a body into an envelope that is signed with the first key.
    pub fn sign(&self, kind: u8, body: &[u8]) -> Vec<u8> {
        let Some(key) = self.keys.first() else {
            return Vec::new();
        };
        let mut bytes = Vec::with_capacity(ENVELOPE_BYTES + body.len());
        bytes.extend([VERSION, kind]);
        bytes.extend(key.name);
        let tag = key.tag(&bytes, body);
        bytes.extend(tag);
        bytes.extend_from_slice(body);
        bytes
    }

    /// Opens the envelope of a datagram.
    ///
    /// # Errors
    /// If the envelope is longer than [`MAX_DATAGRAM_BYTES`], shorter than [`ENVELOPE_BYTES`], of
    /// another version, or not signed with one of the keys.
    pub fn verify<'a>(&self, bytes: &'a [u8]) -> Result<Envelope<'a>, VerifyError> {
        self.verify_sized(bytes, MAX_DATAGRAM_BYTES)
    }

    /// Opens an envelope of at most `max_bytes`.
    ///
    /// # Errors
    /// If the envelope is longer, shorter than [`ENVELOPE_BYTES`], of another version, or not signed
    /// with one of the keys.
    pub fn verify_sized<'a>(
        &self,
        bytes: &'a [u8],
        max_bytes: usize,
    ) -> Result<Envelope<'a>, VerifyError> {
        if bytes.len() < ENVELOPE_BYTES || bytes.len() > max_bytes || bytes[0] != VERSION {
            return Err(VerifyError::Foreign);
        }
        let (header, rest) = bytes.split_at(HEADER_BYTES);
        let (tag, body) = rest.split_at(TAG_BYTES);
        let (kind, key_name) = (header[1], &header[2..]);
        let mut error = VerifyError::UnknownKey;
        for key in self.keys.iter().filter(|key| key.name == key_name) {
            if equal_in_constant_time(&key.tag(header, body), tag) {
                return Ok(Envelope { kind, body });
            }
            error = VerifyError::Forged;
        }
        Err(error)
    }
}

/// Compares in constant time, so that the time taken does not reveal how much of a forged tag
/// matches.
fn equal_in_constant_time(expected: &[u8; TAG_BYTES], found: &[u8]) -> bool {
    let difference = expected
        .iter()
        .zip(found)
        .fold(0, |difference, (a, b)| difference | (a ^ b));
    difference == 0 && found.len() == TAG_BYTES
}
