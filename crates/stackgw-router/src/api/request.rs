//! Requests, their classes, and the numbers that name things.

use super::time::{Span, Time};

/// A client's request, numbered by the host in order of arrival.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A member: one database process that an endpoint list has named, numbered by the host in order of first
/// mention.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);

/// A replication group: one primary and the replicas that hold the same data.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u32);

/// A client session, whose reads must see its own writes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub Box<str>);

/// How current the data behind an answer must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// A write: only the primary executes it.
    Write,
    /// A read that must see every commit made before the request came in.
    Strong,
    /// A read that must see what its session has written.
    ReadYourWrites,
    /// A read whose data may be this old when the request is forwarded.
    BoundedStaleness(Span),
    /// A read that any member may answer.
    Eventual,
}

/// What a second execution of a request would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// No harm.
    Idempotent,
    /// The request carries an idempotency key: further executions are dropped within `scope`, for `window` after
    /// the first attempt that may have run.
    WithKey {
        /// Where the key is recognised.
        scope: KeyScope,
        /// How long it is remembered.
        window: Span,
    },
    /// Harm: it must never run twice.
    NonIdempotent,
}

/// Where an idempotency key is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// In the request's group.
    Group,
    /// In one zone.
    Zone,
    /// Everywhere.
    Global,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// How current its data must be.
    pub consistency: Consistency,
    /// What a second execution would do.
    pub idempotency: Idempotency,
    /// Answers within this time count with their full weight.
    pub latency_objective: Span,
    /// How long the client waits in all, over all its attempts.
    pub deadline: Span,
    /// What an answer in time counts.
    pub priority_weight: f64,
    /// The part of that weight that an answer after the objective still counts.
    pub late_weight_share: f64,
}

/// A request as it came in.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Index of its class in [`super::Settings::classes`].
    pub class: usize,
    /// The group that holds its data.
    pub group: GroupId,
    /// When the client gives this attempt up.
    pub deadline: Time,
    /// Its session, for writes and reads that must see them.
    pub session: Option<SessionId>,
    /// When the session's last write was committed, as the client states it.
    pub last_write: Option<Time>,
    /// The client states that it retries an earlier request.
    pub is_retry: bool,
    /// It must see every commit made before it came in, whatever its class needs: the host does not know what its
    /// session wrote.
    pub requires_strong_read: bool,
}
