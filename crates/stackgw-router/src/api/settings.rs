//! Configuration of a router at start.

use super::request::Class;
use super::time::Span;

/// How a replica handles a read for which it lags too far behind.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum LaggingReads {
    /// It answers from its current data; only the router enforces the staleness bound.
    #[default]
    ServedStale,
    /// It rejects the read without executing it.
    Rejected,
    /// It waits up to this long to catch up, then rejects the read without executing it.
    Delayed(Span),
}

/// How the endpoint list marks the primary.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum RoleListing {
    /// It marks the current primary, some seconds late.
    #[default]
    Delayed,
    /// It marks the primary at the start of the deployment.
    AtStart,
    /// It does not mark the primary.
    Never,
}

/// Who tracks the time of a session's last write.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum SessionTracking {
    /// The client: its request carries the age of its last write.
    #[default]
    Client,
    /// The router, from the responses to writes that it forwarded.
    Router,
}

/// Which messages carry load reports.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum LoadReporting {
    /// Responses and health checks.
    #[default]
    OnResponses,
    /// Health checks only.
    OnHealthChecks,
    /// None: members send no load reports.
    Never,
}

/// Capabilities and limits of the deployment.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be open at once.
    pub hedged_requests: bool,
    /// Whether an open attempt may be cancelled.
    pub cancel: bool,
    /// Whether health checks may be sent to members.
    pub health_checks: bool,
    /// Whether a rejection may carry a retry-after.
    pub retry_after: bool,
    /// The longest retry-after that clients respect.
    pub max_retry_after: Span,
    /// Whether routers may send messages to each other.
    pub gossip: bool,
    /// Whether the host itself carries gossip between routers ([`crate::Router::take_gossip`]).
    pub host_gossip: bool,
    /// Time after which a connection that is not established has failed.
    pub connect_timeout: Span,
}

/// Parameters of the rules that every router must follow.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Obligations {
    /// How long after the client's deadline a final answer still counts.
    pub answer_slack: Span,
    /// How long new requests may be sent to a member after the notice that it is draining or removed.
    pub drain_grace: Span,
    /// Whether only a drain is binding, so that a member that is merely removed from the list may still be used.
    pub removal_is_advisory: bool,
    /// Share of its full capacity that a member has when it starts.
    pub cold_capacity_share: f64,
    /// Duration of slow start.
    pub warm_up_time: Span,
    /// In slow start, a member falls over if it is sent more than this multiple of its current capacity within
    /// `overload_window`.
    pub overload_multiple: f64,
    /// Length of the window that `overload_multiple` refers to.
    pub overload_window: Span,
}

/// Costs that are charged to the deployment and that decisions depend on.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Costs {
    /// Cost of a health check, per request.
    pub health_check: f64,
    /// Cost of an attempt that crosses zones, per request.
    pub cross_zone: f64,
    /// Cost of work whose answer no client received, as a share of all work.
    pub wasted_work: f64,
    /// Cost of weight that was not served within its latency objective, as a share of all weight.
    pub late_failure: f64,
}

/// Configuration of a router at start.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Settings {
    /// The classes of requests; requests refer to them by index.
    pub classes: Vec<Class>,
    /// Number of routers that serve this deployment.
    pub fleet_size: u32,
    /// This router's index among them, from 0.
    pub instance_index: u32,
    /// The zone that this router is in.
    pub zone: u32,
    /// Events have the same time or times that differ by at least this; 0: every event has the time of its arrival.
    pub tick: Span,
    /// Whether the endpoint list must be polled; otherwise the host is notified of changes.
    pub polls_endpoint_list: bool,
    /// A router that polls is assumed to know the list as it was this long ago.
    pub poll_grace: Span,
    /// How a lagging replica handles a read.
    pub lagging_reads: LaggingReads,
    /// Whether every response carries a position; otherwise only responses to writes do.
    pub positions_in_responses: bool,
    /// How the endpoint list marks the primary.
    pub role_listing: RoleListing,
    /// Who tracks the time of a session's last write.
    pub session_tracking: SessionTracking,
    /// Whether a write is answered only after a replica has it.
    pub commit_waits_for_replica: bool,
    /// Which messages carry load reports.
    pub load_reporting: LoadReporting,
    /// Whether load reports carry the member's position.
    pub reports_carry_position: bool,
    /// Whether clients flag their retries.
    pub retries_are_flagged: bool,
    /// Capabilities and limits of the deployment.
    pub limits: Limits,
    /// Parameters of the rules that every router must follow.
    pub obligations: Obligations,
    /// Costs that are charged to the deployment.
    pub costs: Costs,
}
