//! Tickets and prepared statements: sealed by the cluster's keys, with an expiry, whole in themselves.

use crate::statement::StatementTemplate;
use serde::{Deserialize, Serialize};
use stackgw_cluster::Keyring;
use std::fmt;

/// Marks a seal as one of ours and not of a datagram between instances.
const KIND: u8 = 0x46;

/// What a sealed handle holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SealedHandle {
    /// A statement that is ready to run, and what tells it from others of the same words.
    Ticket {
        /// The statement.
        statement: StatementTemplate,
        /// Tells it from other tickets of the same statement.
        nonce: u64,
    },
    /// A prepared statement, its parameters open or filled in.
    Prepared(StatementTemplate),
    /// A client that has shown who it is.
    Bearer(String),
}

/// Why a handle is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketError {
    /// It is none of ours, or sealed with a key that is no longer valid.
    Foreign,
    /// Its time is over.
    Expired,
    /// It is ours, and something else than what is asked for.
    WrongKind,
}

impl fmt::Display for TicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TicketError::Foreign => {
                "the handle is forged, foreign or sealed with a key that is no longer valid"
            }
            TicketError::Expired => "the handle has expired",
            TicketError::WrongKind => "the handle is of another kind",
        })
    }
}

impl std::error::Error for TicketError {}

impl SealedHandle {
    /// Seals it until a moment, in Unix milliseconds.
    pub fn seal(&self, ring: &Keyring, until_ms: u64) -> Vec<u8> {
        ring.sign(
            KIND,
            &postcard::to_allocvec(&(until_ms, self)).unwrap_or_default(),
        )
    }

    /// Opens a handle.
    pub fn open(ring: &Keyring, handle: &[u8], now_ms: u64) -> Result<Self, TicketError> {
        let (kind, body) = ring
            .verify_sized(handle, usize::MAX)
            .map_err(|_| TicketError::Foreign)?;
        if kind != KIND {
            return Err(TicketError::Foreign);
        }
        let (until, sealed): (u64, SealedHandle) =
            postcard::from_bytes(body).map_err(|_| TicketError::Foreign)?;
        (now_ms < until)
            .then_some(sealed)
            .ok_or(TicketError::Expired)
    }
}
