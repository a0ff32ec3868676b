//! What an instance asks its caller to do, and what it counts.

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
    /// Requests a second that a warm member answered this instance; 0: not known.
    pub warm_throughput: f64,
}

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Open a watch of what changes after this version; `None`: of the complete list.
    OpenWatch(Option<u64>),
    /// Close the watch.
    CloseWatch,
    /// Send a message to a peer.
    Send(SocketAddr, Message),
    /// Hand the list, or its changes, to whoever routes by it.
    Endpoints(MergeOutcome),
    /// Store the list on the disk.
    Persist(CachedEndpoints),
    /// Take this many requests a second for what a warm member answers this instance, until its own measurements replace it.
    SeedWarmThroughput(f64),
    /// Take these observations of peers for a first estimate of members' positions and roles.
    Observations(Vec<Observation>),
    /// Write a line to the log.
    Log(LogEvent),
}

/// What is worth a line in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogEvent {
    /// This instance watches the list service now.
    WatchEstablished(WatchScope),
    /// It has closed its watch, as peers watch the service.
    WatchReleased,
    /// The service sends an older list than this version.
    ServiceBehind(u64),
    /// The service counts its versions anew, and is believed.
    ServiceReset,
}

/// Counters since the instance started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BootstrapCounters {
    /// Watches opened.
    pub watches_opened: u64,
    /// Of them, those opened for want of a leader that hears the service.
    pub watches_without_leader: u64,
    /// Polls sent to peers.
    pub polls_sent: u64,
    /// Times that no peer which was polled answered.
    pub polls_unanswered: u64,
    /// Polls of peers answered.
    pub polls_answered: u64,
    /// Datagrams sent unasked, as the list had changed.
    pub snapshots_pushed: u64,
    /// Snapshots of peers merged into the list.
    pub snapshots_merged: u64,
    /// Updates that were older than the list.
    pub stale_updates: u64,
    /// Messages about another service's list.
    pub foreign_messages: u64,
    /// Observations of peers that were newer than those known.
    pub observations_merged: u64,
}
