//! The routing decisions of stackgw, one concern per module. The interface (settings, events, actions) is in
//! api.rs; read it first. Records and their bookkeeping are in `crate::state`, which makes no decisions.
//!
//! `requests` accepts and dispatches each request: it selects a member (`selection`) that has capacity
//! (`admission`, `slow_start`). Without one, the request is queued until it can be dispatched or is rejected.
//! `validity` says how long such a decision holds.
//! `clock_offset` allows for a host whose clock differs from the members'.
//! `membership`, `health_checks` and `gossip` process what members report about themselves, `outliers` the
//! results of attempts, and `schedule` runs periodic work. This file and `events`, which passes each event to
//! the other modules, make no decisions.

mod admission;
mod clock_offset;
mod events;
mod gossip;
mod health_checks;
mod membership;
mod outliers;
mod requests;
mod schedule;
mod selection;
mod slow_start;
mod validity;

use crate::api::*;
use crate::state::{ByRole, GossipQueue, MemberTable, RequestTable, SessionWrites, ThroughputMeter};

/// The decision module. The same settings, seed and events give the same actions.
#[derive(Debug, Default)]
pub struct Router {
    settings: Settings,
    seed: u64,

    /// Time of the event being handled.
    now: Time,
    /// At least how far the members' clock is ahead of the host's; `None`: not known yet.
    clock_offset: Option<Span>,
    /// How long ago the lists that are handled now may have arrived at the host.
    list_delay: Span,
    /// How long this router was stalled before that event; 0 if it was not.
    stall: Span,
    /// Actions that result from that event.
    actions: Vec<Action>,
    timer_set: bool,

    members: MemberTable,
    requests: RequestTable,
    /// Times of the sessions' last writes, where the router tracks them.
    session_writes: SessionWrites,
    gossip: GossipQueue,
    throughput: ThroughputMeter,
    /// Latency ratio over all replicas, and over all primaries.
    latency_ratio: ByRole,
    /// Number of health checks that may be sent without a request waiting for them.
    health_check_budget: f64,

    /// The tightest staleness bound of all classes.
    tightest_bound: Span,
    /// The shortest latency objective of all classes.
    shortest_objective: f64,
    /// Divides this router's health check rate and minimum limits, as those of all routers in a fleet add up.
    fleet_divisor: f64,
    /// Factor on this router's intervals, so that the routers of a fleet do not send health checks in sync.
    jitter: f64,
}

impl Router {
    /// Creates a router without members or requests.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut router = Router { settings, seed, clock_offset: Some(0), ..Router::default() };
        router.derive_from_settings();
        router
    }

    /// The router's view of each member, for monitoring.
    pub fn member_snapshots(&self) -> impl Iterator<Item = (MemberId, MemberSnapshot)> + '_ {
        self.members.iter().map(|(id, member)| (id, member.snapshot()))
    }

    /// Requests per second that a warm member answers for this router. A later incarnation or a peer can
    /// start with this value.
    pub fn warm_throughput(&self) -> f64 {
        self.throughput.warm()
    }

    /// Sets the initial warm throughput, as measured by an earlier incarnation or a peer, unless a value is
    /// known already. This router's own measurements replace it.
    pub fn seed_warm_throughput(&mut self, rate: f64) {
        self.throughput.seed(rate);
    }

    /// Sets at least how far the members' clock, by which they state positions and start times, is ahead of the host's
    /// (behind it, if negative). `None`: the host does not know yet, and no position proves that a replica is fresh;
    /// if no primary is there or answers its health check, the host's clock is taken. At the start it is 0.
    pub fn set_clock_offset(&mut self, offset: Option<Span>) {
        self.clock_offset = offset;
    }

    /// Sets how long ago the endpoint lists that are handled from now on may have arrived at the host, which reads
    /// them late after a pause. Drain graces count from then.
    pub fn set_list_delay(&mut self, delay: Span) {
        self.list_delay = delay;
    }

    /// Takes the updates collected since the last call, for a host that carries gossip to other routers.
    pub fn take_gossip(&mut self) -> Vec<GossipUpdate> {
        self.gossip.take()
    }

    /// Sets the connections that the host may use to a member. `None`: the host does not limit them.
    pub fn set_connection_permits(&mut self, member: MemberId, permits: Option<ConnectionPermits>) {
        self.members.modify(member, |member| member.connection_permits = permits);
    }
}
