//! The endpoint list, and a router's view of its members.

use super::request::{GroupId, MemberId};
use super::time::Time;

/// State of a member's process according to the endpoint list.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// It accepts requests.
    #[default]
    Serving,
    /// It finishes its requests in flight and accepts no new ones.
    Draining,
    /// It is no longer listed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The number that the host assigned to it.
    pub id: MemberId,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: u32,
    /// Its weight in the rotation, relative to other members.
    pub weight: f64,
    /// When its process started. `None` if the start is not recent enough to be listed.
    pub started_at: Option<Time>,
    /// State of its process.
    pub lifecycle: Lifecycle,
    /// Whether it is listed as the primary.
    pub listed_primary: bool,
}

/// Which part of the endpoint list an event carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListScope {
    /// The complete list; members missing from it have been removed.
    Full,
    /// The complete list as known before a restart; it may be outdated.
    Cached,
    /// Changed entries only.
    Changes,
    /// The poll failed; the current list remains valid.
    Failed,
}

/// Connections that the host may use to one member, if it limits them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionPermits {
    /// Number of free connections.
    pub free: u32,
    /// Earliest time at which one more connection may be opened.
    pub may_open_from: Time,
}

/// A router's view of one member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemberSnapshot {
    /// Requests of this router in flight at the member.
    pub in_flight: u32,
    /// Whether it gets only half-open attempts.
    pub ejected: bool,
    /// Smoothed response time divided by the latency objective.
    pub latency_ratio: f64,
    /// How many requests of this router may be in flight at the member; below one, on average over time.
    pub concurrency_limit: f64,
    /// The latest position that it has reported.
    pub position: Option<Time>,
}
