//! What each session must see, across gateway instances and restarts.
//!
//! One [`Sessions`] stands in each instance, beside its router. It is told of each write that a member served
//! ([`Sessions::record_write`]) and says when that write's answer may leave ([`Output::Release`]); it is told of each session
//! read ([`Sessions::begin_read`]) and says what the read must see ([`Output::ReadRequirement`]). Between the two stands one invariant:
//!
//! > Once a write's answer has left, every later read of its session, at any instance, learns a position that covers the
//! > write, or is told that nothing is known ([`ReadRequirement::Strong`]) and must see every commit.
//!
//! No I/O, no clock, no threads, no randomness: time, messages and the disk's word are handed in. `docs/design/sessions.md`
//! says why it is built so and when it fails.

mod identity;
mod keeper;
mod message;
mod output;
mod positions;
mod reader;
mod record;
mod replica_set;
mod sessions;
mod settings;
mod source;
mod status;
mod uncertainty;

pub use identity::{NodeId, Peer, RequestNumber, SessionKey, ANY_INCARNATION};
pub use message::{
    DecodeError, LeaseGrant, LeaseRequest, Message, PositionUpdate, MAX_MESSAGE_BYTES,
    MAX_POSITIONS_PER_MESSAGE,
};
pub use output::{Output, ReadRequirement, WriteAdmission};
pub use positions::{RecordedPosition, SessionPositions, UNKNOWN_POSITION};
pub use record::{Record, Recovered, StoreFailure, StoreVersion};
pub use replica_set::ReplicaSet;
pub use sessions::Sessions;
pub use settings::Settings;
pub use status::{Counters, PeerStatus, SessionInspection, Status};
pub use uncertainty::UncertaintyReason;
