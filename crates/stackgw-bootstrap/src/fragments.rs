//! Snapshots of the endpoint list that are larger than one datagram: splitting them, and putting them together.

use crate::endpoint::Endpoint;
use crate::message::{EndpointSnapshot, Fragment, Message, MAX_FRAGMENTS};

/// Bytes of one datagram's body at most.
const MAX_BODY_BYTES: usize = 1_100;
/// Bytes by which a snapshot may grow when its fragment and its entries' number are filled in.
const HEADER_GROWTH_BYTES: usize = 16;

impl EndpointSnapshot {
    /// Fills a snapshot without entries with these, over as many datagrams as they need; `None`: they need too many.
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

/// Splits entries into batches of so many bytes at most, of which there is at least one; `None`: one entry has more.
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

/// Puts the fragments of one snapshot together.
#[derive(Debug, Clone, PartialEq)]
pub struct Reassembly {
    /// The fragment that came first; all but the entries is taken from it.
    first: EndpointSnapshot,
    /// The entries of each fragment that has come.
    received: Vec<Option<Vec<Endpoint>>>,
}

impl Reassembly {
    /// Begins with any fragment.
    pub fn new(fragment: EndpointSnapshot) -> Self {
        let received = vec![None; usize::from(fragment.fragment.count)];
        let mut reassembly = Reassembly {
            first: fragment.clone(),
            received,
        };
        reassembly.add(fragment);
        reassembly
    }

    /// Whether a fragment is of this snapshot.
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

    /// The snapshot with all entries, once every fragment has come.
    pub fn complete(&self) -> Option<EndpointSnapshot> {
        let received: Option<Vec<_>> = self.received.iter().cloned().collect();
        Some(EndpointSnapshot {
            endpoints: received?.concat(),
            ..self.first.clone()
        })
    }
}
