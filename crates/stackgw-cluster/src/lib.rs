//! Membership of the cluster of instances: SWIM (`foca`) over authenticated datagrams.
//!
//! - Membership is a hint: the address of an instance and whether it seems to be up. No guarantee
//!   depends on it; guarantees are based on the leases of `stackgw-sessions`.
//! - A datagram that fails authentication ([`Keyring::verify`]) changes no state except counters.
//! - No I/O, clock or threads: datagrams, the time and a seed are passed in; datagrams to send and
//!   events come out.
//!
//! Messages of sessions and of the bootstrap travel in the same datagrams; this package does not
//! interpret the latter.

mod cluster;
mod envelope;
mod identity;
mod instances;

pub use cluster::{Cluster, ClusterSettings, Datagram, DatagramCounters, Event, ReceiveError};
pub use envelope::{Envelope, Key, Keyring, VerifyError, ENVELOPE_BYTES, MAX_DATAGRAM_BYTES};
pub use identity::Identity;
pub use instances::InstanceStatus;
