//! Outputs of an instance that its caller carries out, and its counters.

use crate::endpoint::EndpointUpdate;
use crate::endpoint_cache::MergeOutcome;
use crate::message::Message;
use crate::observation::Observation;
use crate::service_watch::WatchScope;
use stackgw_router::api::Time;
use std::net::SocketAddr;

/// The endpoint list as it is stored on the disk.
#[derive(Debug, Clone, PartialEq)]
pub struct CachedEndpoints {
    /// The complete list.
    pub list: EndpointUpdate,
    /// When the service last confirmed it.
    pub confirmed_at: Time,
    /// Requests per second that a warm member answered this instance; 0 if not known.
    pub warm_throughput: f64,
}

/// An action for the caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Open a watch of the changes after this version; `None`: a watch that begins with the complete list.
    OpenWatch(Option<u64>),
    /// Close the watch.
    CloseWatch,
    /// Send a message to a peer.
    Send(SocketAddr, Message),
    /// Pass the list, or its changes, to the router.
    Endpoints(MergeOutcome),
    /// Store the list on the disk.
    Persist(CachedEndpoints),
    /// Use this as the requests per second that a warm member answers this instance, until its own measurements replace it.
    SeedWarmThroughput(f64),
    /// Use these observations, made by peers, as initial estimates of members' positions and roles.
    Observations(Vec<Observation>),
    /// Write a line to the log.
    Log(LogEvent),
}

/// An event that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogEvent {
    /// This instance now watches the list service.
    WatchEstablished(WatchScope),
    /// This instance has closed its watch because peers watch the service.
    WatchReleased,
    /// The service sends a list that is older than this version, which the cache holds.
    ServiceBehind(u64),
    /// The service restarted its version numbers, and its list was accepted.
    ServiceReset,
}

/// Counters since the instance started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BootstrapCounters {
    /// Watches opened.
    pub watches_opened: u64,
    /// Watches opened because no leader in contact with the service could be reached; included in `watches_opened`.
    pub watches_without_leader: u64,
    /// Polls sent to peers.
    pub polls_sent: u64,
    /// Rounds of polls that none of the polled peers answered completely in time, and unsolicited snapshots of which not all
    /// fragments arrived in that time.
    pub polls_unanswered: u64,
    /// Polls from peers that were answered.
    pub polls_answered: u64,
    /// Unsolicited datagrams sent because the list had changed.
    pub snapshots_pushed: u64,
    /// Snapshots from peers merged into the list, with or without changes.
    pub snapshots_merged: u64,
    /// Updates ignored as [`MergeOutcome::Stale`].
    pub stale_updates: u64,
    /// Messages about another service's list.
    pub foreign_messages: u64,
    /// Observations from peers that were newer than those known.
    pub observations_merged: u64,
}
