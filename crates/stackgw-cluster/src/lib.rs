//! Which other instances there are: SWIM membership (`foca`) over authenticated datagrams.
//!
//! - Membership is a hint: where an instance is reached and whether it seems to be up. No guarantee
//!   rests on it; what must be certain rests on the leases of `stackgw-sessions`.
//! - Nothing that fails authentication ([`Keyring::verify`]) changes any state but counters.
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
