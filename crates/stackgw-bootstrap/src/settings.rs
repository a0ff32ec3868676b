//! Settings of an instance.

use crate::poll_schedule::PollRate;
use stackgw_router::api::Span;
use std::net::SocketAddr;

/// Addresses of this instance and its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// The address at which peers reach this instance.
    pub advertised_address: SocketAddr,
    /// Instances that are known before the cluster's membership is.
    pub seeds: Vec<SocketAddr>,
}

/// Settings of an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct BootstrapSettings {
    /// This instance's number, the fleet's size, and the capacity of the list service.
    pub poll_rate: PollRate,
    /// The peers; `None` if there is no cluster and this instance polls the service for itself.
    pub peers: Option<PeerSettings>,
    /// Minimum number of instances that watch the service; normally [`crate::MIN_WATCH_LEADERS`].
    pub min_watch_leaders: u32,
    /// The service that assigns the list's versions, by [`crate::service_id`].
    pub service_id: u64,
    /// Time after the announcement of a drain within which every instance has to know of it.
    pub drain_grace: Span,
    /// A watch that receives nothing for this long is considered lost.
    pub watch_timeout: Span,
    /// How long an instance that has only a cached list waits for a confirmed one before it is ready.
    pub cached_list_wait: Span,
    /// A service that sends only older lists for this long is considered to have lost its state, and its list is accepted.
    pub service_reset_after: Span,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// Settings that can be changed while an instance runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reload<'a> {
    /// Replaces [`PeerSettings::seeds`].
    pub seeds: &'a [SocketAddr],
    /// Replaces [`BootstrapSettings::service_id`].
    pub service_id: u64,
    /// Whether the service's address has changed.
    pub has_service_moved: bool,
}
