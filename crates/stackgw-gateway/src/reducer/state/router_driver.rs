//! The router and its queue of events.

use crate::reducer::clock::TickClock;
use stackgw_router::api::{
    Action, ConnectionPermits, Event, GossipUpdate, MemberId, MemberSnapshot, RequestId, Settings,
    Span, Time,
};
use stackgw_router::Router;
use std::collections::VecDeque;

/// Delivers queued events to the router, in order and at ticks.
pub(crate) struct RouterDriver {
    router: Router,
    clock: TickClock,
    events: VecDeque<Event>,
    /// An empty vector whose allocation is reused.
    spare_actions: Vec<Action>,
}

impl RouterDriver {
    pub(crate) fn new(settings: Settings, seed: u64) -> Self {
        RouterDriver {
            clock: TickClock::new(settings.tick),
            router: Router::new(settings, seed),
            events: VecDeque::new(),
            spare_actions: Vec::new(),
        }
    }

    /// Queues an event.
    pub(crate) fn enqueue(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Queues an endpoint list before all other events. Its notices may have arrived `delay` ago.
    pub(crate) fn enqueue_list(&mut self, event: Event, delay: Span) {
        self.router.set_list_delay(delay);
        let is_list = |event: &&Event| matches!(event, Event::EndpointList { .. });
        let lists = self.events.iter().take_while(is_list).count();
        self.events.insert(lists, event);
    }

    /// Delivers the next event and returns the router's actions, or `None` if no event is queued. Return the emptied vector by
    /// [`recycle`](Self::recycle).
    pub(crate) fn deliver_next(&mut self, now: Time) -> Option<Vec<Action>> {
        let event = self.events.pop_front()?;
        let mut actions = std::mem::take(&mut self.spare_actions);
        self.router
            .handle(self.clock.tick_of(now), event, &mut actions);
        Some(actions)
    }

    /// Returns whether what is known now of a member still lets it serve a request that was sent to it and is not written yet.
    pub(crate) fn may_write(&self, request: RequestId, member: MemberId) -> bool {
        self.router.may_write(request, member)
    }

    /// Keeps an empty vector of actions for reuse.
    pub(crate) fn recycle(&mut self, actions: Vec<Action>) {
        self.spare_actions = actions;
    }

    pub(crate) fn member_snapshots(&self) -> impl Iterator<Item = (MemberId, MemberSnapshot)> + '_ {
        self.router.member_snapshots()
    }

    /// Requests per second that a warm member answers.
    pub(crate) fn warm_throughput(&self) -> f64 {
        self.router.warm_throughput()
    }

    pub(crate) fn seed_warm_throughput(&mut self, rate: f64) {
        self.router.seed_warm_throughput(rate);
    }

    /// Takes the updates about members from responses and health checks since the last call.
    pub(crate) fn take_gossip(&mut self) -> Vec<GossipUpdate> {
        self.router.take_gossip()
    }

    /// Sets at least how far the members' clock is ahead of this process's; `None` until that is known.
    pub(crate) fn set_clock_offset(&mut self, offset: Option<Span>) {
        self.router.set_clock_offset(offset);
    }

    /// Sets a member's connection permits; `None` if its connections are not paced.
    pub(crate) fn set_connection_permits(
        &mut self,
        member: MemberId,
        permits: Option<ConnectionPermits>,
    ) {
        self.router.set_connection_permits(member, permits);
    }
}
