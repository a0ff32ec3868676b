//! Requests, their classes, and identifiers.

use super::time::{Span, Time};

/// Identifier of a client's request, assigned by the host in order of arrival.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifier of a member (one database process on the endpoint list), assigned by the host in the order in which
/// members are first listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);

/// Identifier of a replication group: one primary and the replicas that hold the same data.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u32);

/// Identifier of a client session, whose reads must see its own writes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub Box<str>);

/// How up to date the data of an answer must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// A write: only the primary executes it.
    Write,
    /// A read that must see every commit made before the request arrived.
    Strong,
    /// A read that must see what its session has written.
    ReadYourWrites,
    /// A read whose data may be this old when the request is forwarded.
    BoundedStaleness(Span),
    /// A read that any member may answer.
    Eventual,
}

/// Effect of a second execution of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// A second execution does no harm.
    Idempotent,
    /// The request carries an idempotency key: further executions within `scope` are dropped for `window` after the
    /// first attempt that may have run.
    WithKey {
        /// Where the key is recognized.
        scope: KeyScope,
        /// How long it is remembered.
        window: Span,
    },
    /// A second execution does harm: the request must never run twice.
    NonIdempotent,
}

/// Where an idempotency key is recognized.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// Within the request's group.
    Group,
    /// Within one zone.
    Zone,
    /// Everywhere.
    Global,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// How up to date its data must be.
    pub consistency: Consistency,
    /// Effect of a second execution.
    pub idempotency: Idempotency,
    /// Answers within this time count with the full weight.
    pub latency_objective: Span,
    /// Total time that the client waits for an answer, including its retries.
    pub deadline: Span,
    /// Weight of an answer within the latency objective.
    pub priority_weight: f64,
    /// Share of `priority_weight` that an answer after the objective still counts.
    pub late_weight_share: f64,
}

/// A request as it arrived.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// Index of its class in [`super::Settings::classes`].
    pub class: usize,
    /// The group that holds its data.
    pub group: GroupId,
    /// When the client stops waiting for this request; a retry is a new request.
    pub deadline: Time,
    /// Its session, for writes and for reads that must see these.
    pub session: Option<SessionId>,
    /// When the session's last write was committed, as far as the client or the host knows. Not used with
    /// [`super::SessionTracking::Router`].
    pub last_write: Option<Time>,
    /// Whether the client states that this is a retry of an earlier request.
    pub is_retry: bool,
    /// Whether it must see every commit made before it arrived, regardless of its class. Set when the host does not
    /// know what its session has written.
    pub requires_strong_read: bool,
}
