//! Datagrams that only those who share a key can write.
//!
//! A version byte, a kind byte, four bytes that name the key, sixteen of a keyed hash over all the rest, then the body. The
//! key is derived from the operator's secret and the name of the cluster, so that another cluster's datagrams are foreign
//! even under the same secret. Bodies are not hidden: they hold hashes and positions.

use std::fmt;

const VERSION: u8 = 1;
const TAG: usize = 16;
const NAMED: usize = 4;
const HEAD: usize = 2 + NAMED;
/// Bytes around a body.
pub const SEAL_BYTES: usize = HEAD + TAG;
/// A secret is no shorter, in bytes.
pub(crate) const SECRET_LEAST: usize = 16;

/// A shared key. It is never shown.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    key: [u8; 32],
    name: [u8; NAMED],
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [a, b, c, d] = self.name;
        write!(f, "key {a:02x}{b:02x}{c:02x}{d:02x}")
    }
}

impl Key {
    /// The key of a cluster from its secret; `None` where that is too short to be one.
    pub fn new(cluster: &str, secret: &[u8]) -> Option<Self> {
        if secret.len() < SECRET_LEAST {
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

    fn tag(&self, head: &[u8], body: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(head).update(body);
        hasher.finalize()
    }
}

/// The keys that are valid now: the first one seals, all of them open. To change one, add the new one behind the old one
/// everywhere, then swap them everywhere, then drop the old one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keyring {
    keys: Vec<Key>,
}

/// Why a datagram is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unsealed {
    /// Too short or too long, or of another version.
    Foreign,
    /// Sealed with a key that is not valid here.
    UnknownKey,
    /// Its seal does not fit: it was changed on its way, or made up.
    Forged,
}

impl Keyring {
    /// These keys; `None` where there is none.
    pub fn new(keys: Vec<Key>) -> Option<Self> {
        (!keys.is_empty()).then_some(Keyring { keys })
    }

    /// Seals a body.
    pub fn sign(&self, kind: u8, body: &[u8]) -> Vec<u8> {
        let Some(key) = self.keys.first() else {
            return Vec::new();
        };
        let mut bytes = Vec::with_capacity(SEAL_BYTES + body.len());
        bytes.extend([VERSION, kind]);
        bytes.extend(key.name);
        let tag = key.tag(&bytes, body);
        bytes.extend_from_slice(&tag.as_bytes()[..TAG]);
        bytes.extend_from_slice(body);
        bytes
    }

    /// Opens a datagram: its kind and its body.
    pub fn verify<'a>(&self, bytes: &'a [u8]) -> Result<(u8, &'a [u8]), Unsealed> {
        self.verify_sized(bytes, crate::MAX_DATAGRAM_BYTES)
    }

    /// Opens what is no datagram and may be longer.
    pub fn verify_sized<'a>(
        &self,
        bytes: &'a [u8],
        most: usize,
    ) -> Result<(u8, &'a [u8]), Unsealed> {
        if bytes.len() < SEAL_BYTES || bytes.len() > most || bytes[0] != VERSION {
            return Err(Unsealed::Foreign);
        }
        let (head, rest) = bytes.split_at(HEAD);
        let (tag, body) = rest.split_at(TAG);
        let mut unknown = true;
        for key in self.keys.iter().filter(|key| key.name == head[2..]) {
            unknown = false;
            let fits = key.tag(head, body);
            // In constant time: how much of a made up seal fits must not show.
            let differs = fits.as_bytes()[..TAG]
                .iter()
                .zip(tag)
                .fold(0, |sum, (a, b)| sum | (a ^ b));
            if differs == 0 {
                return Ok((head[1], body));
            }
        }
        Err(if unknown {
            Unsealed::UnknownKey
        } else {
            Unsealed::Forged
        })
    }
}
