//! The messages between instances and their encoding.
//!
//! The transport (`stackgw-cluster`) authenticates messages: every message that arrives here was
//! sealed with the cluster's key. Receivers nevertheless tolerate implausible field values.
//!
//! The encoding is postcard: the order of variants and of fields is part of the wire format.

use crate::identity::{Peer, SessionKey};
use crate::record::StoreVersion;
use serde::{Deserialize, Serialize};
use stackgw_router::api::{Span, Time};
use std::fmt;

/// Maximum length of an encoded message. With its envelope, a message of this length fits into a
/// datagram of 1,200 bytes.
pub const MAX_MESSAGE_BYTES: usize = 1_100;
/// Maximum number of positions in one message. Each takes up to 24 bytes, as long as its sequence
/// number is below 2^35 and its position is known.
pub const MAX_POSITIONS_PER_MESSAGE: usize = 40;

/// The position of one write, as its writer sends it to an owner of the session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PositionUpdate {
    /// The writer's sequence number for the write.
    pub sequence: u64,
    /// The session that wrote.
    pub key: SessionKey,
    /// The position of the write.
    pub position: Time,
}

/// A replica's request for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Returned with the grant. The requester's lease starts when it sends this request.
    pub nonce: u64,
    /// The digest of the requester's replica set.
    pub replica_set: u64,
    /// The version of the requester's store, if it has one.
    pub store_version: Option<StoreVersion>,
}

/// A lease that a writer grants to an owner.
///
/// Until the lease ends, counted from when the request was sent, the writer sends no response to a
/// write of a session of that owner without that owner's acknowledgement. The owner has also
/// acknowledged every earlier write whose response was sent, back to `complete_for` before this
/// message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The nonce of the request.
    pub nonce: u64,
    /// The digest of the writer's replica set, which equals the requester's.
    pub replica_set: u64,
    /// How far back the writer's knowledge of its writes is complete, in nanoseconds.
    pub complete_for: Span,
    /// The writer knows every unacknowledged write of its incarnations from this one on.
    pub unbroken_since: u64,
    /// The version of the writer's store, if it has one.
    pub store_version: Option<StoreVersion>,
}

/// A message between two instances.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A replica requests a lease from another replica, which grants it as a writer.
    LeaseRequest(LeaseRequest),
    /// A writer grants an owner a lease.
    LeaseGrant(LeaseGrant),
    /// The receiver's store is at an older version than before, for example because it was restored
    /// from an old copy. Contains the version that the receiver reported, or the default version if
    /// it reported none.
    StoreOutdated(StoreVersion),
    /// Rejects a lease request: the replica sets of the requester and of the sender of this message
    /// differ.
    ReplicaSetMismatch {
        /// The nonce of the request.
        nonce: u64,
        /// The digest of the replica set of the sender of this message.
        replica_set: u64,
    },
    /// Positions for an owner to record.
    Replicate(Vec<PositionUpdate>),
    /// An owner has recorded the positions with these sequence numbers of the writer.
    Acknowledge(Vec<u64>),
    /// A reader queries an owner for the position that a session must see.
    PositionQuery {
        /// Returned with the reply.
        nonce: u64,
        /// The session.
        key: SessionKey,
    },
    /// The position that the session must see. Sent by an owner that knows of every write whose
    /// response was sent.
    PositionReply {
        /// The nonce of the query.
        nonce: u64,
        /// The position that reads must see, if there is one.
        position: Option<Time>,
    },
    /// The reply of an owner that may have missed a write.
    PositionUncertain {
        /// The nonce of the query.
        nonce: u64,
    },
    /// A write of an instance outside of the replica set, which the receiving replica handles as
    /// its own.
    ForwardWrite {
        /// The forwarding instance's number for the write.
        number: u64,
        /// The session that wrote.
        key: SessionKey,
        /// The position of the write.
        position: Time,
    },
    /// The response to the forwarded write may be sent.
    ForwardedWriteReleased {
        /// The forwarding instance's number for the write.
        number: u64,
    },
}

/// Why bytes are not a message between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// There are more than [`MAX_MESSAGE_BYTES`] bytes.
    TooLong,
    /// The bytes do not encode a message.
    Malformed,
    /// More bytes follow the message.
    TrailingBytes,
    /// The message lists more than [`MAX_POSITIONS_PER_MESSAGE`] positions or sequence numbers.
    TooManyPositions,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "the message is too long",
            Self::Malformed => "the bytes do not encode a message",
            Self::TrailingBytes => "bytes follow the message",
            Self::TooManyPositions => "the message lists too many positions",
        })
    }
}

impl std::error::Error for DecodeError {}

impl Message {
    /// Encodes the message together with its destination.
    pub fn encode(&self, to: Peer) -> Vec<u8> {
        postcard::to_allocvec(&(to, self)).unwrap_or_default()
    }

    /// Decodes a message and its destination.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] if the bytes are not exactly one message within the limits.
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
