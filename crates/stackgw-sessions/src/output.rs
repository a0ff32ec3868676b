//! The outputs of the state machine, which its host carries out.

use crate::identity::{Peer, RequestNumber};
use crate::message::Message;
use crate::record::Record;
use crate::uncertainty::UncertaintyReason;
use stackgw_router::api::Time;

/// What a read of a session must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReadRequirement {
    /// This position. `None`: no particular one, as the session has not written within the
    /// retention.
    Position(Option<Time>),
    /// Every commit made before the read arrived.
    Strong(UncertaintyReason),
}

/// Whether a write that a member served is accepted to wait for its release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteAdmission {
    /// [`Output::Release`] follows once the response may be sent.
    Accepted,
    /// Too many writes are pending: the response must not be sent.
    Rejected,
}

/// An action for the host to carry out.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message. An incarnation of [`ANY_INCARNATION`](crate::ANY_INCARNATION) means
    /// whichever is running.
    Send(Peer, Message),
    /// The response to this write may be sent.
    Release(RequestNumber),
    /// What this read must see.
    ReadRequirement(RequestNumber, ReadRequirement),
    /// Write this record to the store, and call
    /// [`handle_records_stored`](crate::Sessions::handle_records_stored) once it is stored.
    Store(Record),
}
