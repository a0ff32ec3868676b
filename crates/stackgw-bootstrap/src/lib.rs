//! Distribution of the endpoint list to the instances of a fleet, hundreds of which may start or reconnect in the same second.
//!
//! One [`Bootstrap`] runs in each instance. It decides when this instance polls the list service itself (spread over the fleet,
//! so that all polls together stay within the service's capacity), which peers it polls instead, what it sends to them, what
//! each source of the list is trusted for, and when the instance is ready. Two invariants:
//!
//! > An announced drain stays in effect until a newer version of the list, or a later start of that member, ends it, regardless
//! > of any other message.
//!
//! > The list never goes back to an older version, unless the service itself has sent only older versions for a long time.
//!
//! | module | job |
//! | --- | --- |
//! | `bootstrap` | routes inputs to the parts below, and their outputs to the caller |
//! | `endpoint_cache`, `update_source` | the list; which updates are merged into it, and what each source is trusted for |
//! | `watch_leaders` | which instances watch the service for the fleet |
//! | `service_watch`, `poll_schedule` | this instance's own watch, and when the service may be polled |
//! | `leader_poller` | polls of the leaders, and their answers |
//! | `snapshot_sender` | answers to peers, and pushes of changes |
//! | `message`, `fragments` | the datagrams |
//! | `readiness`, `peer_contact` | when the instance is ready; when no peer is considered to reach the service |
//! | `observation`, `warm_throughput` | initial estimates about members, exchanged among instances |
//! | `connection_pacer` | when this instance may connect to members that are warming up; independent of the other modules |
//!
//! This crate has no I/O, clock or threads: times, messages, the stored list and a seed are passed in, and [`Output`]s are
//! returned. `docs/design/start.md` has the reasons for the design and the cases in which it fails.

mod bootstrap;
mod connection_pacer;
mod endpoint;
mod endpoint_cache;
mod fragments;
mod leader_poller;
mod message;
mod observation;
mod output;
mod peer_contact;
mod poll_schedule;
mod readiness;
mod service_watch;
mod settings;
mod snapshot_sender;
mod update_source;
mod warm_throughput;
mod watch_leaders;

pub use bootstrap::Bootstrap;
pub use connection_pacer::{ConnectionPacer, ListedMember, PacerConfig};
pub use endpoint::{Endpoint, EndpointUpdate, StartTime, MAX_UNIX_MS};
pub use endpoint_cache::{EndpointCache, EndpointDelta, MergeOutcome};
pub use message::{EndpointSnapshot, Fragment, Message, Poll};
pub use observation::{Observation, Observations};
pub use output::{BootstrapCounters, CachedEndpoints, LogEvent, Output};
pub use poll_schedule::{PollRate, PollSchedule};
pub use service_watch::WatchScope;
pub use settings::{BootstrapSettings, PeerSettings, Reload};
pub use update_source::{Origin, UpdateSource};
pub use watch_leaders::MIN_WATCH_LEADERS;

/// Returns the identifier of a list service in datagrams: a hash of its name.
pub fn service_id(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
