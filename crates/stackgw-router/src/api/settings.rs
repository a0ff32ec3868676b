//! What a router is configured with at start.

use super::request::Class;
use super::time::Span;

/// What a replica does with a read that it is too far behind for.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum LaggingReads {
    /// It answers from the data it has; the router alone guards the staleness bound.
    #[default]
    ServedStale,
    /// It rejects the read unexecuted.
    Rejected,
    /// It waits up to this long to catch up, then rejects the read unexecuted.
    Delayed(Span),
}

/// How the endpoint list names the primary.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum RoleListing {
    /// Some seconds late.
    #[default]
    Delayed,
    /// As it was when the deployment started.
    AtStart,
    /// Not at all.
    Never,
}

/// Who keeps track of when a session last wrote.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum SessionTracking {
    /// The client: its request carries the age of its last write.
    #[default]
    Client,
    /// The router, from the responses to writes that it has seen.
    Router,
}

/// What load reports come with.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum LoadReporting {
    /// Responses and health checks.
    #[default]
    OnResponses,
    /// Health checks alone.
    OnHealthChecks,
    /// Nothing: there are none.
    Never,
}

/// What the deployment allows.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Limits {
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
    /// Two attempts of one request may be open at once.
    pub hedged_requests: bool,
    /// An open attempt may be cancelled.
    pub cancel: bool,
    /// Health checks may be sent to members.
    pub health_checks: bool,
    /// A rejection may say when to retry.
    pub retry_after: bool,
    /// The longest such wait that clients respect.
    pub max_retry_after: Span,
    /// Routers may send each other messages.
    pub gossip: bool,
    /// The host carries gossip between routers by its own means ([`crate::Router::take_gossip`]).
    pub host_gossip: bool,
    /// A connection that is not established by then has failed.
    pub connect_timeout: Span,
}

/// The figures of the rules that every router must keep.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Obligations {
    /// A final answer still counts this long after the client's deadline.
    pub answer_slack: Span,
    /// Nothing new may go to a member later than this after a notice that it is draining or removed.
    pub drain_grace: Span,
    /// Only a drain is binding; a member that is merely removed from the list may still be used.
    pub removal_is_advisory: bool,
    /// Share of its capacity that a member starts with.
    pub cold_capacity_share: f64,
    /// How long slow start takes.
    pub warm_up_time: Span,
    /// In slow start, a member falls over when it is sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over a window of this length.
    pub overload_window: Span,
}

/// What the deployment is charged for, as far as decisions depend on it.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Costs {
    /// For each health check, per request.
    pub health_check: f64,
    /// For each attempt that crosses zones, per request.
    pub cross_zone: f64,
    /// For work whose answer nobody got, as a share of all work.
    pub wasted_work: f64,
    /// For weight that was not served before its objective had passed, as a share of all weight.
    pub late_failure: f64,
}

/// What a router is configured with at start.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Settings {
    /// The classes of requests, which name them by index.
    pub classes: Vec<Class>,
    /// How many routers serve this deployment.
    pub fleet_size: u32,
    /// This router's index among them, from 0.
    pub instance_index: u32,
    /// The zone that this router is in.
    pub zone: u32,
    /// The host hands over events at least this far apart; 0: as they come.
    pub tick: Span,
    /// The endpoint list must be polled; otherwise the host is notified of changes.
    pub polls_endpoint_list: bool,
    /// A router that polls is taken to know what was listed this long ago.
    pub poll_grace: Span,
    /// What a lagging replica does with a read.
    pub lagging_reads: LaggingReads,
    /// Every response carries a position; otherwise only a write's does.
    pub positions_in_responses: bool,
    /// How the endpoint list names the primary.
    pub role_listing: RoleListing,
    /// Who keeps track of when a session last wrote.
    pub session_tracking: SessionTracking,
    /// A write is answered only once a replica has it.
    pub commit_waits_for_replica: bool,
    /// What load reports come with.
    pub load_reporting: LoadReporting,
    /// Load reports carry the member's position.
    pub reports_carry_position: bool,
    /// Clients flag their retries.
    pub retries_are_flagged: bool,
    /// What the deployment allows.
    pub limits: Limits,
    /// The figures of the rules that every router must keep.
    pub obligations: Obligations,
    /// What the deployment is charged for.
    pub costs: Costs,
}
