//! Tickets, prepared statements and bearer tokens: self-contained handles with an expiry time,
//! sealed with the cluster's keys.

use crate::statement::StatementTemplate;
use serde::{Deserialize, Serialize};
use stackgw_cluster::{Envelope, Keyring};
use thiserror::Error;

/// Distinguishes handles from the datagrams between instances, which are sealed with the same keys.
const SEAL_KIND: u8 = 0x46;

/// The contents of a sealed handle. The encoding is part of the wire format: the order of the
/// variants and of their fields must not change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SealedHandle {
    /// A statement that is ready to run.
    Ticket {
        /// The statement.
        statement: StatementTemplate,
        /// Distinguishes tickets of the same statement.
        nonce: u64,
    },
    /// A prepared statement, with unbound or bound parameters.
    Prepared(StatementTemplate),
    /// The name of a user who has authenticated.
    Bearer(String),
}

/// Why a handle is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TicketError {
    /// The handle was not sealed with a key that is valid here.
    #[error("the handle is forged, foreign or sealed with a key that is no longer valid")]
    Foreign,
    /// The handle has expired.
    #[error("the handle has expired")]
    Expired,
    /// The handle is valid, but not of the kind that the call requires.
    #[error("the handle is of another kind")]
    WrongKind,
}

impl SealedHandle {
    /// Seals the handle until `expires_at_ms`, in Unix milliseconds.
    pub fn seal(&self, key_ring: &Keyring, expires_at_ms: u64) -> Vec<u8> {
        // Encoding these types into memory cannot fail.
        let body = postcard::to_allocvec(&(expires_at_ms, self)).unwrap_or_default();
        key_ring.sign(SEAL_KIND, &body)
    }

    /// Opens a handle at `now_ms`, in Unix milliseconds.
    ///
    /// # Errors
    ///
    /// Returns [`TicketError::Foreign`] if the bytes are not a handle sealed with one of the keys,
    /// or [`TicketError::Expired`] if its expiry time has been reached.
    pub fn open(key_ring: &Keyring, handle: &[u8], now_ms: u64) -> Result<Self, TicketError> {
        let opened = key_ring.verify_sized(handle, usize::MAX);
        let Envelope { kind, body } = opened.map_err(|_| TicketError::Foreign)?;
        if kind != SEAL_KIND {
            return Err(TicketError::Foreign);
        }
        let (expires_at_ms, sealed): (u64, SealedHandle) =
            postcard::from_bytes(body).map_err(|_| TicketError::Foreign)?;
        if now_ms >= expires_at_ms {
            return Err(TicketError::Expired);
        }
        Ok(sealed)
    }
}
