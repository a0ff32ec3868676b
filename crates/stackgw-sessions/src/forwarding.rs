//! Writes of instances outside of the replica set: what such an instance has forwarded, and what a
//! replica handles for others.

use crate::identity::{NodeId, Peer, RequestNumber, SessionKey};
use crate::message::Message;
use stackgw_router::api::Time;
use std::collections::BTreeMap;

/// An instance sends a write so many times to one replica before it turns to the next one.
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

    /// The next attempt to forward a write: to which replica, and what. The replicas are taken in
    /// turn.
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

    /// The replica says that a write's response may be sent: gives its request.
    pub(crate) fn release(&mut self, number: u64) -> Option<RequestNumber> {
        self.0.remove(&number).map(|write| write.request)
    }

    /// The response to this request will not be sent.
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

/// Where a write that this replica handles for another instance comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Origin {
    /// The incarnation that forwarded it.
    pub(crate) peer: Peer,
    /// That instance's number for it.
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

    /// Whether this write is handled already: it was sent again.
    pub(crate) fn contains(&self, origin: Origin) -> bool {
        self.sequences.contains_key(&origin)
    }

    /// Whether the local write of this number is another instance's.
    pub(crate) fn is_forwarded(&self, sequence: u64) -> bool {
        self.origins.contains_key(&sequence)
    }

    /// Removes a write that is released now, and says where it comes from; `None` if it is this
    /// instance's own.
    pub(crate) fn remove(&mut self, sequence: u64) -> Option<Origin> {
        let origin = self.origins.remove(&sequence)?;
        self.sequences.remove(&origin);
        Some(origin)
    }
}
