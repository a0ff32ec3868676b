//! The routing decisions of stackgw, one concern a module. The interface (settings, events, actions) is in
//! api.rs; read it first. Records and their bookkeeping are in `crate::state`, where nothing is decided.
//!
//! A request is accepted and dispatched (`requests`): a member is selected (`selection`) that has capacity
//! (`admission`, `slow_start`); without one the request is queued, until it can be dispatched or is rejected.
//! What members report arrives in `membership`, `health_checks` and `gossip`, how they behave in `outliers`;
//! `schedule` sets the pace of all that happens without an event. This file and `events`, which hands each
//! event on to the others, decide nothing.

mod admission;
mod events;
mod gossip;
mod health_checks;
mod membership;
mod outliers;
mod requests;
mod schedule;
mod selection;
mod slow_start;

use crate::api::*;
use crate::state::{ByRole, GossipQueue, MemberTable, RequestTable, SessionWrites, ThroughputMeter};

/// The decision module. The same settings, seed and events give the same actions.
#[derive(Debug, Default)]
pub struct Router {
    settings: Settings,
    seed: u64,

    /// When the event in hand came in.
    now: Time,
    /// How long this router was stalled before that event.
    stall: Span,
    /// What is to be done about that event.
    actions: Vec<Action>,
    timer_set: bool,

    members: MemberTable,
    requests: RequestTable,
    /// Last writes of sessions, where the router keeps track of them.
    session_writes: SessionWrites,
    gossip: GossipQueue,
    throughput: ThroughputMeter,
    /// Latency ratio over all replicas, and over all primaries.
    latency_ratio: ByRole,
    /// Health checks that may be sent without a request that waits for one.
    health_check_budget: f64,

    /// The tightest staleness bound of all classes.
    tightest_bound: Span,
    /// The shortest latency objective of all classes.
    shortest_objective: f64,
    /// Every router of a large fleet checks members' health, so each does so this many times less often.
    fleet_divisor: f64,
    /// Stretches this router's intervals a little, so that a fleet does not check in step.
    jitter: f64,
}

impl Router {
    /// A router that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut router = Router { settings, seed, ..Router::default() };
        router.derive_from_settings();
        router
    }

    /// What it believes of each member, for observers.
    pub fn member_snapshots(&self) -> impl Iterator<Item = (MemberId, MemberSnapshot)> + '_ {
        self.members.iter().map(|(id, member)| (id, member.snapshot()))
    }

    /// Requests a second that a warm member answers this router: a start for a later incarnation, or a peer.
    pub fn warm_throughput(&self) -> f64 {
        self.throughput.warm()
    }

    /// Hands in the throughput of an earlier incarnation or of a peer; its own answers take that one's place.
    pub fn seed_warm_throughput(&mut self, rate: f64) {
        self.throughput.seed(rate);
    }

    /// What members reported since this was last called, for a host that carries gossip to other routers.
    pub fn take_gossip(&mut self) -> Vec<GossipUpdate> {
        self.gossip.take()
    }

    /// Where a host limits the connections to a member: those that there are. `None`: it opens what it must.
    pub fn set_connection_permits(&mut self, member: MemberId, permits: Option<ConnectionPermits>) {
        self.members.modify(member, |member| member.connection_permits = permits);
    }
}
