//! What instances tell each other of the list, as datagrams' bodies.

use crate::endpoint::Endpoint;
use crate::observation::{Observation, SEEN_EACH};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes of one datagram's body at most.
pub const MOST_BYTES: usize = 1_100;
/// Parts of one list at most.
pub const PARTS_MOST: u16 = 1_024;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What has changed since the version that I have?
    Poll {
        /// Where the answer goes.
        from: SocketAddr,
        /// Names this question.
        nonce: u32,
        /// The service whose versions are meant.
        service: u64,
        /// The version held; `None`: nothing, or kept word.
        have: Option<u64>,
        /// What the asker has learned of members since it asked last.
        seen: Vec<Observation>,
    },
    /// What is known.
    Snapshot(EndpointSnapshot),
}

/// What an instance knows of the list, in one or more parts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointSnapshot {
    /// Who tells.
    pub from: SocketAddr,
    /// The question's; 0: nobody asked.
    pub nonce: u32,
    /// As in the question.
    pub service: u64,
    /// The version held; `None`: nothing.
    pub revision: Option<u64>,
    /// How long ago the service vouched for it, in milliseconds.
    pub said_ago_ms: u64,
    /// It has a watch that hears the service.
    pub live: bool,
    /// It has kept word alone: passed on, that is still kept word, however young.
    pub kept: bool,
    /// For how long the service wants to be left alone, in milliseconds.
    pub put_off_ms: u64,
    /// Requests in a thousand seconds that a warm member answers the teller; a start, never proof.
    pub rate: u64,
    /// The entries are what changed since this version; `None`: they are all.
    pub base: Option<u64>,
    /// Which part this is, from 0 on, of how many; of 0 parts: the entries are not told here.
    pub part: (u16, u16),
    /// The entries.
    pub entries: Vec<Endpoint>,
    /// What is known of members; beside the first part alone.
    pub seen: Vec<Observation>,
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
            Message::Poll { seen, .. } => seen.len() <= SEEN_EACH,
            Message::Snapshot(tell) => {
                let (part, parts) = tell.part;
                let finite = |e: &Endpoint| e.size.is_finite() && e.size >= 0.0 && !e.id.is_empty();
                parts <= PARTS_MOST
                    && (part < parts || (parts == 0 && tell.entries.is_empty()))
                    && tell.entries.iter().all(finite)
                    && tell.seen.len() <= SEEN_EACH
            }
        };
        (sound && rest.is_empty()).then_some(message)
    }
}

impl EndpointSnapshot {
    /// Splits entries over as many parts as they need; `None`: they need too many.
    pub fn parts(self, entries: Vec<Endpoint>) -> Option<Vec<EndpointSnapshot>> {
        let room = MOST_BYTES.saturating_sub(Message::Snapshot(self.clone()).encode().len() + 16);
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
            .filter(|count| *count <= PARTS_MOST)?;
        let seen = |n| {
            if n == 0 {
                self.seen.clone()
            } else {
                Vec::new()
            }
        };
        let part = |(n, entries)| EndpointSnapshot {
            part: (n as u16, count),
            entries,
            seen: seen(n),
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
    pub fn new(tell: EndpointSnapshot) -> Self {
        let mut gathered = Reassembly {
            parts: vec![None; usize::from(tell.part.1)],
            first: tell.clone(),
        };
        gathered.add(tell);
        gathered
    }

    /// Whether a part is of the same answer.
    pub fn fits(&self, tell: &EndpointSnapshot) -> bool {
        let of = |t: &EndpointSnapshot| (t.from, t.nonce, t.service, t.revision, t.base, t.part.1);
        of(&self.first) == of(tell)
    }

    /// Adds a part.
    pub fn add(&mut self, tell: EndpointSnapshot) {
        if let Some(part) = self.parts.get_mut(usize::from(tell.part.0)) {
            *part = Some(tell.entries);
        }
    }

    /// The whole answer, once it is here.
    pub fn whole(&self) -> Option<EndpointSnapshot> {
        let entries = self
            .parts
            .iter()
            .cloned()
            .collect::<Option<Vec<_>>>()?
            .concat();
        Some(EndpointSnapshot {
            entries,
            ..self.first.clone()
        })
    }
}
