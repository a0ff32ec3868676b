//! Splitting and reassembly of endpoint list snapshots that are larger than one datagram.

use crate::endpoint::Endpoint;
use crate::message::{EndpointSnapshot, Fragment, Message, MAX_FRAGMENTS};

/// Maximum size of a datagram's body, in bytes.
const MAX_BODY_BYTES: usize = 1_100;
/// Bytes by which a snapshot may grow when its fragment and its number of entries are set.
const HEADER_GROWTH_BYTES: usize = 16;

impl EndpointSnapshot {
    /// Adds these entries to a snapshot without entries, split into as many datagrams as needed; `None` if an entry does not
    /// fit into a datagram or more than `MAX_FRAGMENTS` datagrams are needed.
    pub fn into_fragments(self, endpoints: Vec<Endpoint>) -> Option<Vec<EndpointSnapshot>> {
        let header_bytes = Message::Snapshot(self.clone()).encode().len() + HEADER_GROWTH_BYTES;
        let batches = split_by_size(endpoints, MAX_BODY_BYTES.saturating_sub(header_bytes))?;
        let count = u16::try_from(batches.len())
            .ok()
            .filter(|count| *count <= MAX_FRAGMENTS)?;
        let fragments = (0..count)
            .zip(batches)
            .map(|(index, endpoints)| EndpointSnapshot {
                fragment: Fragment { index, count },
                endpoints,
                observations: if index == 0 {
                    self.observations.clone()
                } else {
                    Vec::new()
                },
                ..self.clone()
            });
        Some(fragments.collect())
    }
}

/// Splits entries into one or more batches of at most `max_bytes` each; `None` if a single entry is larger.
fn split_by_size(endpoints: Vec<Endpoint>, max_bytes: usize) -> Option<Vec<Vec<Endpoint>>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut batch_bytes = 0;
    for endpoint in endpoints {
        let bytes = postcard::to_allocvec(&endpoint).map_or(usize::MAX, |encoded| encoded.len());
        if bytes > max_bytes {
            return None;
        }
        if batch_bytes + bytes > max_bytes {
            batches.push(std::mem::take(&mut batch));
            batch_bytes = 0;
        }
        batch_bytes += bytes;
        batch.push(endpoint);
    }
    batches.push(batch);
    Some(batches)
}

/// Reassembles the fragments of one snapshot.
#[derive(Debug, Clone, PartialEq)]
pub struct Reassembly {
    /// The fragment received first; all fields except the entries are taken from it.
    first: EndpointSnapshot,
    /// The entries of each fragment received so far, by index.
    received: Vec<Option<Vec<Endpoint>>>,
}

impl Reassembly {
    /// Starts a reassembly with any fragment of a snapshot.
    pub fn new(fragment: EndpointSnapshot) -> Self {
        let received = vec![None; usize::from(fragment.fragment.count)];
        let mut reassembly = Reassembly {
            first: fragment.clone(),
            received,
        };
        reassembly.add(fragment);
        reassembly
    }

    /// Returns whether a fragment belongs to this snapshot.
    pub fn accepts(&self, fragment: &EndpointSnapshot) -> bool {
        let (first, other) = (&self.first, fragment);
        first.sender == other.sender
            && first.nonce == other.nonce
            && first.service_id == other.service_id
            && first.revision == other.revision
            && first.base == other.base
            && first.fragment.count == other.fragment.count
    }

    /// Adds a fragment of this snapshot.
    pub fn add(&mut self, fragment: EndpointSnapshot) {
        if let Some(slot) = self.received.get_mut(usize::from(fragment.fragment.index)) {
            *slot = Some(fragment.endpoints);
        }
    }

    /// Returns the snapshot with all entries, once every fragment has been received.
    pub fn complete(&self) -> Option<EndpointSnapshot> {
        let received: Option<Vec<_>> = self.received.iter().cloned().collect();
        Some(EndpointSnapshot {
            endpoints: received?.concat(),
            ..self.first.clone()
        })
    }
}
