//! How an instance comes to know the list of members, where hundreds of them start or come back in the same second.
//!
//! One [`Bootstrap`] stands in each instance. It says when this instance asks the list service itself (in turns, so that all
//! together stay within what the service bears), whom of the others it asks instead, what it tells them, what each source's
//! word is good for, and when it is ready. Two invariants:
//!
//! > What was told of a drain binds until newer word, or a start after it, ends it, whatever is heard from whom.
//!
//! > No version is held that is older than one held before, unless the service itself has told older ones alone for long.
//!
//! No I/O, no clock, no threads: time, messages, the disk's word and a seed are handed in. `docs/design/start.md` says why it
//! is built so and when it fails.

mod bootstrap;
mod connection_pacer;
mod endpoint;
mod endpoint_cache;
mod message;
mod observation;
mod poll_schedule;
mod watch_leaders;

pub use bootstrap::{
    Bootstrap, BootstrapCounters, BootstrapSettings, CachedEndpoints, LogEvent, Output,
};
pub use connection_pacer::{ConnectionPacer, ListedMember, PacerConfig};
pub use endpoint::{Endpoint, EndpointUpdate, StartTime};
pub use endpoint_cache::{EndpointCache, MergeOutcome, Origin};
pub use message::{EndpointSnapshot, Message};
pub use observation::{Observation, Observations};
pub use poll_schedule::{PollRate, PollSchedule};
pub use watch_leaders::MIN_WATCH_LEADERS;

/// A service's name as datagrams carry it.
pub fn service_id(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
