//! What an instance is configured with.

use crate::poll_schedule::PollRate;
use stackgw_router::api::Span;
use std::net::SocketAddr;

/// Where this instance and its peers are reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// Where peers reach this instance.
    pub advertised_address: SocketAddr,
    /// Instances that are known before any membership is.
    pub seeds: Vec<SocketAddr>,
}

/// What an instance is configured with.
#[derive(Debug, Clone, PartialEq)]
pub struct BootstrapSettings {
    /// This instance's number, the fleet's size, and the capacity of the list service.
    pub poll_rate: PollRate,
    /// The peers; `None`: there is no cluster, and this instance polls the service for itself.
    pub peers: Option<PeerSettings>,
    /// Instances that watch the service at least; [`crate::MIN_WATCH_LEADERS`] unless there is a reason.
    pub min_watch_leaders: u32,
    /// The service that numbers the list, by [`crate::service_id`].
    pub service_id: u64,
    /// A drain has to be known everywhere within this.
    pub drain_grace: Span,
    /// A watch on which nothing comes for so long is lost.
    pub watch_timeout: Span,
    /// How long an instance that has only a cached list waits for a better one before it is ready.
    pub cached_list_wait: Span,
    /// A service that sends older lists alone for this long has lost its state, and is believed.
    pub service_reset_after: Span,
    /// For random numbers.
    pub seed: u64,
}

/// What a running instance can be given anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reload<'a> {
    /// As in [`PeerSettings::seeds`].
    pub seeds: &'a [SocketAddr],
    /// As in [`BootstrapSettings::service_id`].
    pub service_id: u64,
    /// Whether the service is at another address now.
    pub has_service_moved: bool,
}
