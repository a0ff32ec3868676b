//! The messages between instances and their encoding.
//!
//! Authenticity is the concern of the carrier (`stackgw-cluster`): whatever arrives here was sealed
//! with the cluster's key, and is believed only as far as its fields can be true.
//!
//! The encoding is postcard: the order of variants and of fields is part of the wire format.

use crate::identity::{Peer, SessionKey};
use crate::record::StoreVersion;
use serde::{Deserialize, Serialize};
use stackgw_router::api::{Span, Time};
use std::fmt;

/// An encoded message is no longer than this, so that with its envelope it fits a datagram of 1,200
/// bytes.
pub const MAX_MESSAGE_BYTES: usize = 1_100;
/// Positions that one message carries at most. Each takes up to 24 bytes.
pub const MAX_POSITIONS_PER_MESSAGE: usize = 40;

/// The position of one write, as its writer sends it to an owner of the session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PositionUpdate {
    /// The writer's sequence number for the write.
    pub sequence: u64,
    /// Whose write it is.
    pub key: SessionKey,
    /// The position of the write.
    pub position: Time,
}

/// A replica's request for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Returned with the grant. The lease counts from when this was sent.
    pub nonce: u64,
    /// The digest of the requester's replica set.
    pub replica_set: u64,
    /// How far the requester's store has come, if it has one.
    pub store_version: Option<StoreVersion>,
}

/// A writer's promise to an owner.
///
/// Until the lease ends, counted from the sending of the request, no response to a write of a
/// session of that owner is sent without that owner's acknowledgement; and all whose responses were
/// sent before are acknowledged, back to `complete_for` before this message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The request's.
    pub nonce: u64,
    /// The digest of the writer's replica set, which is the requester's too.
    pub replica_set: u64,
    /// So far back no write is missing, in nanoseconds.
    pub complete_for: Span,
    /// All incarnations of the writer from this one on left no write that this one does not know
    /// of.
    pub unbroken_since: u64,
    /// How far the writer's store has come, if it has one.
    pub store_version: Option<StoreVersion>,
}

/// A message between two instances.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A replica requests a lease of another one, as a writer.
    LeaseRequest(LeaseRequest),
    /// A writer grants an owner a lease.
    LeaseGrant(LeaseGrant),
    /// The receiver's store has come less far than it had before: it was restored from an old copy,
    /// for instance.
    StoreOutdated(StoreVersion),
    /// The replica set of the receiver of a lease request is another one than the requester's: no
    /// lease.
    ReplicaSetMismatch {
        /// The request's.
        nonce: u64,
        /// The digest of the replica set of the sender of this message.
        replica_set: u64,
    },
    /// Positions for an owner to record.
    Replicate(Vec<PositionUpdate>),
    /// An owner has recorded these positions, by the writer's sequence numbers.
    Acknowledge(Vec<u64>),
    /// A reader asks an owner which position a session has to see.
    PositionQuery {
        /// Returned with the reply.
        nonce: u64,
        /// Whose session.
        key: SessionKey,
    },
    /// An owner that knows of every write whose response was sent: this is what the session has to
    /// see.
    PositionReply {
        /// The query's.
        nonce: u64,
        /// The position to be seen, if there is one.
        position: Option<Time>,
    },
    /// An owner that may have missed a write.
    PositionUncertain {
        /// The query's.
        nonce: u64,
    },
    /// A write of an instance outside of the replica set, which a replica is to handle as its own.
    ForwardWrite {
        /// The forwarding instance's number for it.
        number: u64,
        /// Whose write it is.
        key: SessionKey,
        /// The position of the write.
        position: Time,
    },
    /// The response to the forwarded write may be sent.
    ForwardedWriteReleased {
        /// The forwarding instance's number for it.
        number: u64,
    },
}

/// Why bytes are not a message between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// They are longer than [`MAX_MESSAGE_BYTES`].
    TooLong,
    /// They do not encode a message.
    Malformed,
    /// They go on after the message.
    TrailingBytes,
    /// The message lists more than [`MAX_POSITIONS_PER_MESSAGE`] positions or sequence numbers.
    TooManyPositions,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "the message is too long",
            Self::Malformed => "the bytes encode no message",
            Self::TrailingBytes => "bytes follow the message",
            Self::TooManyPositions => "the message lists too many positions",
        })
    }
}

impl std::error::Error for DecodeError {}

impl Message {
    /// The bytes of a message to an incarnation of an instance.
    pub fn encode(&self, to: Peer) -> Vec<u8> {
        postcard::to_allocvec(&(to, self)).unwrap_or_default()
    }

    /// Whom bytes are addressed to, and the message that they encode.
    ///
    /// # Errors
    ///
    /// If the bytes are not exactly one message within the limits, see [`DecodeError`].
    pub fn decode(bytes: &[u8]) -> Result<(Peer, Message), DecodeError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong);
        }
        let ((to, message), rest) = postcard::take_from_bytes::<(Peer, Message)>(bytes)
            .map_err(|_| DecodeError::Malformed)?;
        if !rest.is_empty() {
            return Err(DecodeError::TrailingBytes);
        }
        if message.list_len() > MAX_POSITIONS_PER_MESSAGE {
            return Err(DecodeError::TooManyPositions);
        }
        Ok((to, message))
    }

    fn list_len(&self) -> usize {
        match self {
            Message::Replicate(updates) => updates.len(),
            Message::Acknowledge(sequences) => sequences.len(),
            _ => 0,
        }
    }
}
