//! Who the other instances are: SWIM membership (`foca`) over sealed datagrams.
//!
//! What is known here is a hint. It says where an instance is to be reached and whether it seems to be there; no promise
//! rests on it, as `stackgw-sessions` goes by pledges alone. No I/O, clock or threads: datagrams, time and a seed are handed
//! in, and what is to be sent comes out.

mod cluster;
mod envelope;
mod identity;

pub use cluster::{
    Cluster, ClusterSettings, DatagramCounters, Effect, Event, InstanceStatus, Refused,
};
pub use envelope::{Key, Keyring, Unsealed, SEAL_BYTES};
pub use identity::Identity;

/// No datagram is longer.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
