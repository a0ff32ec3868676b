//! What instances say to each other. Authenticity is the carrier's (`stackgw-cluster`): whatever arrives here was sealed
//! with the shared key, and is believed only as far as its fields can be true.

use crate::roster::{Peer, SessionKey};
use serde::{Deserialize, Serialize};
use stackgw_router::api::{Span, Time};
use std::fmt;

/// A message is no longer than this once encoded, so that with its envelope it fits a datagram of 1,200 bytes.
pub const MOST_BYTES: usize = 1_100;
/// Marks that one message carries at most: each is up to 24 bytes.
pub const MARKS_PER_MESSAGE: usize = 40;

/// How far a disk has come. A disk that is put back from an old copy comes with fewer records than its instance had.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StoreVersion {
    /// Which disk: another one for each that was begun anew.
    pub store_id: u64,
    /// Records on it since then.
    pub records: u64,
    /// The life before this one that wrote to it; 0: none.
    pub last_incarnation: u64,
}

/// A message between two instances.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A keeper asks another one, as a source of writes, for its pledge.
    Ask {
        /// Comes back with the pledge, which counts from when this was sent.
        nonce: u64,
        /// The asker's roster.
        roster: u64,
        /// How far its disk has come, if it has one.
        stamp: Option<StoreVersion>,
    },
    /// A source's promise to a home: until the lease is over, counted from the sending of the question, no answer to a write
    /// of a session of that home leaves without that home's acknowledgement; and all that have left before are
    /// acknowledged, back to `covers` before this message.
    Pledge {
        /// The question's.
        nonce: u64,
        /// The source's roster, which is the asker's too.
        roster: u64,
        /// So far back nothing is missing, in nanoseconds.
        covers: Span,
        /// All incarnations of the source from this one on left nothing that this one does not know of.
        unbroken_since: u64,
        /// How far its disk has come, if it has one.
        stamp: Option<StoreVersion>,
    },
    /// The other side's disk is older than what it has said of it before: a copy put back, say.
    Stale(StoreVersion),
    /// A keeper's roster is another one than the asker's: no pledge.
    Differs {
        /// The question's.
        nonce: u64,
        /// The answerer's roster.
        roster: u64,
    },
    /// Marks for a home.
    Marks(Vec<(u64, SessionKey, Time)>),
    /// A home holds these marks, by the source's numbers.
    Held(Vec<u64>),
    /// A reader asks a home what a session must see.
    PositionQuery {
        /// Comes back with the answer.
        nonce: u64,
        /// Whose.
        key: SessionKey,
    },
    /// A home that would have heard of every write that has left: this is all there is.
    Sure {
        /// The question's.
        nonce: u64,
        /// The position to be seen, if there is one.
        position: Option<Time>,
    },
    /// A home that may have missed one.
    Unsure {
        /// The question's.
        nonce: u64,
    },
    /// A guest's write, which a keeper is to carry as its own.
    Carry {
        /// The guest's number for it.
        ticket: u64,
        /// Whose.
        key: SessionKey,
        /// Its position.
        position: Time,
    },
    /// The guest's answer may leave.
    Carried {
        /// The guest's number.
        ticket: u64,
    },
}

/// Bytes that are no message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Undecodable;

impl fmt::Display for Undecodable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("these bytes are no message between instances")
    }
}

impl std::error::Error for Undecodable {}

impl Message {
    /// The bytes of a message to one life of an instance.
    pub fn encode(&self, to: Peer) -> Vec<u8> {
        postcard::to_allocvec(&(to, self)).unwrap_or_default()
    }

    /// Whom bytes are for, and what they say. All of them must belong to the message.
    pub fn decode(bytes: &[u8]) -> Result<(Peer, Message), Undecodable> {
        if bytes.len() > MOST_BYTES {
            return Err(Undecodable);
        }
        let (said, rest) =
            postcard::take_from_bytes::<(Peer, Message)>(bytes).map_err(|_| Undecodable)?;
        let long = match &said.1 {
            Message::Marks(marks) => marks.len() > MARKS_PER_MESSAGE,
            Message::Held(held) => held.len() > MARKS_PER_MESSAGE,
            _ => false,
        };
        if !rest.is_empty() || long {
            return Err(Undecodable);
        }
        Ok(said)
    }
}
