//! What instances snapshot each other of the list, as datagrams' bodies.

use crate::endpoint::Endpoint;
use crate::observation::{Observation, MAX_OBSERVATIONS_PER_MESSAGE};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes of one datagram's body at most.
pub const MAX_BODY_BYTES: usize = 1_100;
/// Parts of one list at most.
pub const MAX_FRAGMENTS: u16 = 1_024;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What has changed since the version that I have?
    Poll {
        /// Where the answer goes.
        sender: SocketAddr,
        /// Names this question.
        nonce: u32,
        /// The service whose versions are meant.
        service_id: u64,
        /// The version held; `None`: nothing, or kept word.
        known_revision: Option<u64>,
        /// What the asker has learned of members since it asked last.
        observations: Vec<Observation>,
    },
    /// What is known.
    Snapshot(EndpointSnapshot),
}

/// What an instance knows of the list, in one or more parts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointSnapshot {
    /// Who tells.
    pub sender: SocketAddr,
    /// The question's; 0: nobody asked.
    pub nonce: u32,
    /// As in the question.
    pub service_id: u64,
    /// The version held; `None`: nothing.
    pub revision: Option<u64>,
    /// How long ago the service vouched for it, in milliseconds.
    pub confirmed_ago_ms: u64,
    /// It has a watch that hears the service.
    pub is_live: bool,
    /// It has kept word alone: passed on, that is still kept word, however young.
    pub is_cached: bool,
    /// For how long the service wants to be left alone, in milliseconds.
    pub retry_after_ms: u64,
    /// Requests in a thousand seconds that a warm member answers the teller; a start, never proof.
    pub warm_throughput_millis: u64,
    /// The entries are what changed since this version; `None`: they are all.
    pub base: Option<u64>,
    /// Which part this is, from 0 on, of how many; of 0 parts: the entries are not told here.
    pub fragment: (u16, u16),
    /// The entries.
    pub endpoints: Vec<Endpoint>,
    /// What is known of members; beside the first part alone.
    pub observations: Vec<Observation>,
}

impl Message {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// From bytes, which may be anything.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (message, rest) = postcard::take_from_bytes::<Message>(bytes).ok()?;
        let sound = match &message {
            Message::Poll { observations, .. } => {
                observations.len() <= MAX_OBSERVATIONS_PER_MESSAGE
            }
            Message::Snapshot(snapshot) => {
                let (part, parts) = snapshot.fragment;
                let finite = |e: &Endpoint| e.size.is_finite() && e.size >= 0.0 && !e.id.is_empty();
                parts <= MAX_FRAGMENTS
                    && (part < parts || (parts == 0 && snapshot.endpoints.is_empty()))
                    && snapshot.endpoints.iter().all(finite)
                    && snapshot.observations.len() <= MAX_OBSERVATIONS_PER_MESSAGE
            }
        };
        (sound && rest.is_empty()).then_some(message)
    }
}

impl EndpointSnapshot {
    /// Splits entries over as many parts as they need; `None`: they need too many.
    pub fn into_fragments(self, entries: Vec<Endpoint>) -> Option<Vec<EndpointSnapshot>> {
        let room =
            MAX_BODY_BYTES.saturating_sub(Message::Snapshot(self.clone()).encode().len() + 16);
        let (mut parts, mut now, mut bytes) = (Vec::new(), Vec::new(), 0);
        for entry in entries {
            let size = postcard::to_allocvec(&entry).map_or(usize::MAX, |bytes| bytes.len());
            if size > room {
                return None;
            }
            if bytes + size > room {
                parts.push(std::mem::take(&mut now));
                bytes = 0;
            }
            bytes += size;
            now.push(entry);
        }
        parts.push(now);
        let count = u16::try_from(parts.len())
            .ok()
            .filter(|count| *count <= MAX_FRAGMENTS)?;
        let seen = |n| {
            if n == 0 {
                self.observations.clone()
            } else {
                Vec::new()
            }
        };
        let part = |(n, entries)| EndpointSnapshot {
            fragment: (n as u16, count),
            endpoints: entries,
            observations: seen(n),
            ..self.clone()
        };
        Some(parts.into_iter().enumerate().map(part).collect())
    }
}

/// Gathers the parts of one answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Reassembly {
    first: EndpointSnapshot,
    parts: Vec<Option<Vec<Endpoint>>>,
}

impl Reassembly {
    /// Begins with any part.
    pub fn new(snapshot: EndpointSnapshot) -> Self {
        let mut reassembly = Reassembly {
            parts: vec![None; usize::from(snapshot.fragment.1)],
            first: snapshot.clone(),
        };
        reassembly.add(snapshot);
        reassembly
    }

    /// Whether a part is of the same answer.
    pub fn accepts(&self, snapshot: &EndpointSnapshot) -> bool {
        let of = |t: &EndpointSnapshot| {
            (
                t.sender,
                t.nonce,
                t.service_id,
                t.revision,
                t.base,
                t.fragment.1,
            )
        };
        of(&self.first) == of(snapshot)
    }

    /// Adds a part.
    pub fn add(&mut self, snapshot: EndpointSnapshot) {
        if let Some(part) = self.parts.get_mut(usize::from(snapshot.fragment.0)) {
            *part = Some(snapshot.endpoints);
        }
    }

    /// The whole answer, once it is here.
    pub fn complete(&self) -> Option<EndpointSnapshot> {
        let entries = self
            .parts
            .iter()
            .cloned()
            .collect::<Option<Vec<_>>>()?
            .concat();
        Some(EndpointSnapshot {
            endpoints: entries,
            ..self.first.clone()
        })
    }
}
