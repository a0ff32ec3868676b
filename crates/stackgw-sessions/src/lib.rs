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

mod keeper;
mod marks;
mod message;
mod reader;
mod roster;
mod sessions;
mod source;

pub use marks::{Marks, RecordedPosition};
pub use message::{Message, StoreVersion, Undecodable, MARKS_PER_MESSAGE, MOST_BYTES};
pub use roster::{NodeId, Peer, ReplicaSet, SessionKey};
pub use sessions::{
    Counters, Output, PeerStatus, ReadRequirement, Record, Recovered, RequestNumber,
    SessionInspection, Sessions, Settings, Status, StoreFailure, UncertaintyReason, WriteAdmission,
};

/// Where the position of a write is not known: later than any position, so that its session's reads must see every commit.
pub const UNKNOWN_POSITION: stackgw_router::api::Time = stackgw_router::api::Time::MAX;
