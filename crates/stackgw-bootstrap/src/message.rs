//! The datagrams by which instances exchange the endpoint list, and their encoding. Lists of several datagrams are split and
//! put together in [`crate::fragments`].
//!
//! The order of fields and variants is the wire format: `tests/stored_and_sent.rs` fails when it changes.

use crate::endpoint::Endpoint;
use crate::observation::{Observation, MAX_OBSERVATIONS_PER_MESSAGE};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Fragments of one list at most.
pub const MAX_FRAGMENTS: u16 = 1_024;
/// The nonce of a snapshot that nobody polled for.
pub const UNSOLICITED: u32 = 0;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks what has changed since the version that the sender has.
    Poll(Poll),
    /// What the sender knows.
    Snapshot(EndpointSnapshot),
}

/// The question what has changed since a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Poll {
    /// Where the answer goes.
    pub sender: SocketAddr,
    /// Identifies this poll; never [`UNSOLICITED`].
    pub nonce: u32,
    /// The service whose versions are meant.
    pub service_id: u64,
    /// The sender's version; `None`: it has none, or a cached list alone.
    pub known_revision: Option<u64>,
    /// What the sender has observed of members since its poll before.
    pub observations: Vec<Observation>,
}

/// Which of a list's datagrams this is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// Its number, from 0 on.
    pub index: u16,
    /// The number of datagrams; 0: the entries are left out.
    pub count: u16,
}

impl Fragment {
    /// Of a snapshot that leaves its entries out.
    pub const WITHOUT_ENTRIES: Fragment = Fragment { index: 0, count: 0 };
    /// Of a snapshot that fits into one datagram.
    pub const ONLY: Fragment = Fragment { index: 0, count: 1 };
}

/// What an instance knows of the endpoint list, in one or more datagrams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointSnapshot {
    /// The instance that sent it.
    pub sender: SocketAddr,
    /// That of the poll that it answers, or [`UNSOLICITED`].
    pub nonce: u32,
    /// The service whose versions are meant.
    pub service_id: u64,
    /// The sender's version; `None`: it has no list.
    pub revision: Option<u64>,
    /// How long ago the service confirmed it, in milliseconds.
    pub confirmed_ago_ms: u64,
    /// The sender has a watch that hears the service.
    pub is_live: bool,
    /// The sender has a cached list alone. Passed on, that stays a cached list, however young.
    pub is_cached: bool,
    /// For how long the service asks not to be polled, in milliseconds.
    pub retry_after_ms: u64,
    /// Requests in a thousand seconds that a warm member answers the sender: a first estimate, never proof.
    pub warm_throughput_millis: u64,
    /// The version since which the entries are what has changed; `None`: they are the complete list.
    pub base: Option<u64>,
    /// Which datagram of the list this is.
    pub fragment: Fragment,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
    /// What is known of members; in the first fragment alone.
    pub observations: Vec<Observation>,
}

impl Message {
    /// The datagram's body.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Reads a datagram's body, which may be any bytes; `None`: it is not a valid message.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (message, rest) = postcard::take_from_bytes::<Message>(bytes).ok()?;
        let is_valid = match &message {
            Message::Poll(poll) => poll.observations.len() <= MAX_OBSERVATIONS_PER_MESSAGE,
            Message::Snapshot(snapshot) => snapshot.is_valid(),
        };
        (is_valid && rest.is_empty()).then_some(message)
    }
}

impl EndpointSnapshot {
    fn is_valid(&self) -> bool {
        let Fragment { index, count } = self.fragment;
        let has_valid_fragment = index < count || (count == 0 && self.endpoints.is_empty());
        count <= MAX_FRAGMENTS
            && has_valid_fragment
            && self.endpoints.iter().all(is_valid_endpoint)
            && self.observations.len() <= MAX_OBSERVATIONS_PER_MESSAGE
    }
}

fn is_valid_endpoint(endpoint: &Endpoint) -> bool {
    endpoint.size.is_finite() && endpoint.size >= 0.0 && !endpoint.id.is_empty()
}
