//! The endpoint list, and what a router believes of its members.

use super::request::{GroupId, MemberId};
use super::time::Time;

/// What the endpoint list says of a member's process.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// It serves.
    #[default]
    Serving,
    /// It finishes the requests that it has and accepts no new ones.
    Draining,
    /// It is not listed any more.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Its number.
    pub id: MemberId,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: u32,
    /// Its weight in the rotation, relative to other members.
    pub weight: f64,
    /// When its process started, if that is recent enough to be listed.
    pub started_at: Option<Time>,
    /// What the list says of its process.
    pub lifecycle: Lifecycle,
    /// The list names it as the primary.
    pub listed_primary: bool,
}

/// How much of the endpoint list an event carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListScope {
    /// The complete list; a member that is missing has been removed.
    Full,
    /// The complete list as last known before a restart; it may be old.
    Cached,
    /// Changed entries alone.
    Changes,
    /// The poll failed; the list known so far stays in force.
    Failed,
}

/// The connections that a host may use to one member, where it limits them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionPermits {
    /// How many are free.
    pub free: u32,
    /// From when on one more may be opened.
    pub may_open_from: Time,
}

/// What a router believes of one member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemberSnapshot {
    /// Requests of this router that it holds.
    pub in_flight: u32,
    /// It gets nothing but half-open attempts.
    pub ejected: bool,
    /// Smoothed answer time over its objective.
    pub latency_ratio: f64,
    /// How many requests of this router it may hold; below one, in the mean over time.
    pub concurrency_limit: f64,
    /// The latest position that it reported.
    pub position: Option<Time>,
}
