//! Writes of instances outside of the replica set: those that such an instance forwards, and those
//! that a replica handles for other instances.

use crate::identity::{NodeId, Peer, RequestNumber, SessionKey};
use crate::message::Message;
use stackgw_router::api::Time;
use std::collections::BTreeMap;

/// How many times a write is forwarded to one replica before the next replica is tried.
const ATTEMPTS_PER_REPLICA: u32 = 3;

/// A write that this instance forwards.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ForwardedWrite {
    request: RequestNumber,
    key: SessionKey,
    position: Time,
    attempts: u32,
}

/// The writes that this instance forwards, by number.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(crate) struct OutgoingWrites(BTreeMap<u64, ForwardedWrite>);

impl OutgoingWrites {
    pub(crate) fn insert(
        &mut self,
        number: u64,
        request: RequestNumber,
        key: SessionKey,
        position: Time,
    ) {
        let write = ForwardedWrite {
            request,
            key,
            position,
            attempts: 0,
        };
        self.0.insert(number, write);
    }

    /// Counts the next attempt to forward a write, and returns its destination and message; `None`
    /// if the write is not known or there are no replicas. The replicas are tried in turn.
    pub(crate) fn next_attempt(
        &mut self,
        number: u64,
        replicas: &[NodeId],
    ) -> Option<(Peer, Message)> {
        let write = self.0.get_mut(&number)?;
        let replicas_tried = (write.attempts / ATTEMPTS_PER_REPLICA) as usize;
        let index = (write.key.0 as usize)
            .wrapping_add(replicas_tried)
            .checked_rem(replicas.len())?;
        write.attempts += 1;
        let message = Message::ForwardWrite {
            number,
            key: write.key,
            position: write.position,
        };
        Some((Peer::any_incarnation(replicas[index]), message))
    }

    /// Removes a write whose response may be sent, and returns its request.
    pub(crate) fn release(&mut self, number: u64) -> Option<RequestNumber> {
        self.0.remove(&number).map(|write| write.request)
    }

    /// Removes the write of a request whose response will not be sent.
    pub(crate) fn cancel(&mut self, request: RequestNumber) {
        self.0.retain(|_, write| write.request != request);
    }

    pub(crate) fn numbers(&self) -> Vec<u64> {
        self.0.keys().copied().collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The origin of a write that this replica handles for another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Origin {
    /// The incarnation that forwarded it.
    pub(crate) peer: Peer,
    /// The forwarding instance's number for the write.
    pub(crate) number: u64,
}

/// The writes that this replica handles for other instances.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(crate) struct IncomingWrites {
    sequences: BTreeMap<Origin, u64>,
    origins: BTreeMap<u64, Origin>,
}

impl IncomingWrites {
    pub(crate) fn insert(&mut self, origin: Origin, sequence: u64) {
        self.sequences.insert(origin, sequence);
        self.origins.insert(sequence, origin);
    }

    /// Whether this write is already being handled, so that this is a resend of it.
    pub(crate) fn contains(&self, origin: Origin) -> bool {
        self.sequences.contains_key(&origin)
    }

    /// Whether the local write with this sequence number was forwarded by another instance.
    pub(crate) fn is_forwarded(&self, sequence: u64) -> bool {
        self.origins.contains_key(&sequence)
    }

    /// Removes a write that is being released, and returns its origin; `None` if it is this
    /// instance's own.
    pub(crate) fn remove(&mut self, sequence: u64) -> Option<Origin> {
        let origin = self.origins.remove(&sequence)?;
        self.sequences.remove(&origin);
        Some(origin)
    }
}
