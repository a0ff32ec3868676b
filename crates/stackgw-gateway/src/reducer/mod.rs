//! The gateway's state machine, without I/O.
//!
//! [`Reducer::handle`] takes one [`Input`] at a time and appends the [`Effect`]s that the I/O side is to carry out, in order.
//! It is the only place where the gateway's state changes. It uses no socket, clock or task, and it makes no decisions about
//! requests: the router decides which member serves a request, and when to stop, retry or reject it.
//!
//! - `state` has the components: each owns its part of the state and keeps its invariants.
//! - `steps` has the handlers for each input: small methods that call the components in order.
//!
//! Invariants: each request gets one final response; a connection to a member carries one request at a time; the same inputs at
//! the same times produce the same effects.

mod backend;
mod clock;
mod context;
mod effect;
mod ids;
mod input;
mod response;
mod state;
mod status;
mod steps;
mod timers;

pub use backend::{BackendRequest, StreamHeader};
pub use clock::TickClock;
pub use effect::Effect;
pub use ids::{CallId, ClientId, ConnectionId, Requester};
pub use input::{CloseReason, Input, ReadAhead, StallReason, StatusQuery};
pub use response::FinalResponse;
pub use state::sessions::Incarnation;
pub use status::MemberStatus;

use crate::config::{ClusterConfig, Config, SessionSharingConfig};
use crate::counters::Counters;
use crate::limits::Limits;
use context::Context;
use stackgw_bootstrap::CachedEndpoints;
use stackgw_router::api::Time;
use stackgw_sessions::Peer;
use state::Gateway;
use timers::Timers;

/// The gateway's state machine.
pub struct Reducer {
    gateway: Gateway,
    timers: Timers,
    counters: Counters,
    limits: Limits,
}

impl Reducer {
    /// Creates a gateway that has not started yet.
    pub fn new(config: Config) -> Self {
        let (gateway, limits) = Gateway::new(config);
        Reducer {
            gateway,
            timers: Timers::default(),
            counters: Counters::default(),
            limits,
        }
    }

    /// Returns the gateway and the context of a step.
    fn step<'a>(
        &'a mut self,
        now: Time,
        effects: &'a mut Vec<Effect>,
    ) -> (&'a mut Gateway, Context<'a>) {
        let context = Context {
            now,
            effects,
            timers: &mut self.timers,
            counters: &mut self.counters,
            limits: &self.limits,
        };
        (&mut self.gateway, context)
    }

    /// Joins the cluster as this incarnation of this instance. Must be called before [`Input::Start`].
    pub fn join_cluster(&mut self, now: Time, config: &ClusterConfig, local: Peer) {
        let mut effects = Vec::new();
        let (gateway, mut cx) = self.step(now, &mut effects);
        gateway.join_cluster(&mut cx, config, local);
    }

    /// Joins the cluster and shares sessions with its other instances. Must be called before [`Input::Start`].
    pub fn enable_session_sharing(
        &mut self,
        now: Time,
        config: &SessionSharingConfig,
        incarnation: Incarnation,
        effects: &mut Vec<Effect>,
    ) {
        let (gateway, mut cx) = self.step(now, effects);
        gateway.enable_session_sharing(&mut cx, config, incarnation);
    }

    /// Enables the bootstrap of the endpoint list as the operator's file configures it, starting from the list cached on disk.
    /// Must be called before [`Input::Start`] and, if there are other instances, after [`Reducer::join_cluster`].
    pub fn enable_bootstrap(
        &mut self,
        now: Time,
        options: &stackgw_config::Bootstrap,
        cluster: Option<&stackgw_config::Cluster>,
        cached: Option<CachedEndpoints>,
        effects: &mut Vec<Effect>,
    ) {
        let (gateway, mut cx) = self.step(now, effects);
        gateway.enable_bootstrap(&mut cx, options, cluster, cached);
    }

    /// Handles one input and appends its effects.
    pub fn handle(&mut self, now: Time, input: Input, effects: &mut Vec<Effect>) {
        let (gateway, mut cx) = self.step(now, effects);
        gateway.handle(&mut cx, input);
    }

    /// Returns when [`Input::TimerDue`] is to be reported next.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// Returns whether a client's next message may be delivered now regardless of its size.
    pub fn accepts_frame(&self, client: ClientId) -> bool {
        self.accepts_frame_of(client, usize::MAX)
    }

    /// Returns whether a client's next message, of this size in bytes, may be delivered now. If not, the I/O side keeps it.
    pub fn accepts_frame_of(&self, client: ClientId, bytes: usize) -> bool {
        self.gateway
            .accepts_frame(client, bytes, &self.counters, &self.limits)
    }

    /// Returns whether a client's next message may be rejected for lack of capacity: nothing else of that client is open, so that
    /// the time of the message's client runs.
    pub fn may_reject_frame(&self, client: ClientId) -> bool {
        self.gateway.may_reject_frame(client)
    }

    /// Returns whether the gateway is about to exit and rejects all requests at once.
    pub fn rejects_requests(&self) -> bool {
        self.gateway.rejects_requests()
    }

    /// Returns the current counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the status of each member that the router knows.
    pub fn member_statuses(&self) -> impl Iterator<Item = MemberStatus> + '_ {
        self.gateway.member_statuses()
    }
}
