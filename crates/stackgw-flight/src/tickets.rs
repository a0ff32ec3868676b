//! Tickets, prepared statements and bearer tokens: sealed by the cluster's keys, with an expiry,
//! complete in themselves.

use crate::statement::StatementTemplate;
use serde::{Deserialize, Serialize};
use stackgw_cluster::{Envelope, Keyring};
use thiserror::Error;

/// Tells handles from the datagrams between instances, which are sealed by the same keys.
const SEAL_KIND: u8 = 0x46;

/// What a sealed handle holds. Its encoding is on the wire: the order of variants and of their
/// fields is fixed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SealedHandle {
    /// A statement that is ready to run.
    Ticket {
        /// The statement.
        statement: StatementTemplate,
        /// Distinguishes tickets of the same statement.
        nonce: u64,
    },
    /// A prepared statement, its parameters open or bound.
    Prepared(StatementTemplate),
    /// The name of a user who has authenticated.
    Bearer(String),
}

/// Why a handle is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TicketError {
    /// It was not sealed by a key that is valid here.
    #[error("the handle is forged, foreign or sealed with a key that is no longer valid")]
    Foreign,
    /// It has expired.
    #[error("the handle has expired")]
    Expired,
    /// It is valid, and of another kind than the call needs.
    #[error("the handle is of another kind")]
    WrongKind,
}

impl SealedHandle {
    /// Seals the handle until `expires_at_ms`, in Unix milliseconds.
    pub fn seal(&self, key_ring: &Keyring, expires_at_ms: u64) -> Vec<u8> {
        // Encoding these types into memory does not fail.
        let body = postcard::to_allocvec(&(expires_at_ms, self)).unwrap_or_default();
        key_ring.sign(SEAL_KIND, &body)
    }

    /// Opens a handle at `now_ms`, in Unix milliseconds.
    ///
    /// # Errors
    ///
    /// [`TicketError::Foreign`] and [`TicketError::Expired`].
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
