//! Admission of clients, and eviction of others for them.

use super::client::{EvictionRank, EvictionReason};
use super::clients::Clients;
use crate::limits::Limits;
use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::ids::ClientId;
use crate::reducer::timers::Timer;
use stackgw_router::api::{Span, Time};

/// Whether there is capacity for the first request of a client that connected when the client limit was reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Capacity {
    /// There is capacity for it.
    Available,
    /// There is capacity once this client has lost its place.
    AfterEvicting(Eviction),
    Exhausted,
}

/// The eviction of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Eviction {
    /// Close it unless it has sent something.
    Idle(ClientId),
    /// End it with an error unless it has sent the rest of its message.
    Stalled(ClientId),
    /// Close it at once.
    Unresponsive(ClientId),
}

impl Eviction {
    fn new(rank: EvictionRank) -> Self {
        match rank.reason {
            EvictionReason::NoRequest | EvictionReason::Idle => Eviction::Idle(rank.client),
            EvictionReason::StalledMessage => Eviction::Stalled(rank.client),
            EvictionReason::Closing | EvictionReason::UnreadResponse => {
                Eviction::Unresponsive(rank.client)
            }
        }
    }
}

/// How much places for clients are needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pressure {
    /// The soft limit is exceeded.
    AboveSoftLimit,
    /// No place is free, but clients that have got their last error are about to leave.
    Leaving,
    /// No place is free.
    Full,
    /// Not even the reserve is free, so that new connections wait in the backlog.
    Blocked,
}

impl Pressure {
    /// Returns the reasons for which clients lose their places, in their order.
    fn eviction_reasons(self) -> &'static [EvictionReason] {
        use EvictionReason::{Closing, Idle, NoRequest, StalledMessage, UnreadResponse};
        match self {
            Pressure::AboveSoftLimit => &[Idle],
            Pressure::Leaving => &[Closing],
            Pressure::Full => &[Closing, NoRequest, Idle, StalledMessage],
            Pressure::Blocked => &[Closing, NoRequest, Idle, StalledMessage, UnreadResponse],
        }
    }
}

impl Clients {
    /// Accepts new clients while there is capacity. Returns the client that is to lose its place now.
    ///
    /// At the client limit, places are taken to keep capacity for one more client. Clients that have sent no request are closed
    /// first, as hundreds may connect and send nothing; then the client that has been idle longest, after a delay, as a client
    /// that was just answered often sends another request; then those that stopped in the middle of a message; and only when no
    /// connection is accepted any more those that do not read their responses. Without this, clients that stop and stay would
    /// keep all places until their timeouts, and the requests of others would be lost in the backlog. A client that has sent a
    /// complete request keeps its place until it is answered.
    ///
    /// Client processes that use each connection for one request and keep it open run out of connections for their next
    /// requests well before the client limit is reached here. Above the soft limit, half of the client limit, clients that have
    /// been idle for longer are therefore closed.
    pub(crate) fn admit(&mut self, cx: &mut Context<'_>, is_listening: bool) -> Option<Eviction> {
        let max_connected = cx.limits.clients + cx.limits.client_reserve;
        let accepts = self.connected.len() < max_connected && is_listening;
        if accepts != self.is_accepting {
            self.is_accepting = accepts;
            cx.emit(Effect::AcceptClients(accepts));
        }
        let pressure = self.pressure(cx.limits).filter(|_| is_listening)?;
        self.next_eviction(cx, pressure)
    }

    /// Records that the timer for the next eviction has fired; [`admit`](Self::admit) then evicts.
    pub(crate) fn clear_admission_timer(&mut self) {
        self.admission_timer = None;
    }

    fn pressure(&self, limits: &Limits) -> Option<Pressure> {
        let connected = self.connected.len();
        if connected < limits.clients {
            return (connected > limits.client_soft_limit).then_some(Pressure::AboveSoftLimit);
        }
        let staying = connected - self.closing;
        Some(match connected {
            _ if staying < limits.clients => Pressure::Leaving,
            connected if connected < limits.clients + limits.client_reserve => Pressure::Full,
            _ => Pressure::Blocked,
        })
    }

    /// Returns the first client that may lose its place now; if none may, sets the timer for the time at which one may.
    fn next_eviction(&mut self, cx: &mut Context<'_>, pressure: Pressure) -> Option<Eviction> {
        let reasons = pressure.eviction_reasons().iter();
        let first: Vec<_> = reasons
            .filter_map(|reason| self.first_of(*reason))
            .collect();
        let evictable_at =
            |rank: &EvictionRank| rank.since + eviction_delay(rank.reason, pressure, cx.limits);
        let now = cx.now;
        if let Some(rank) = first.iter().find(|rank| now >= evictable_at(rank)) {
            return Some(self.evict(now, *rank));
        }
        let at = first.iter().map(evictable_at).min()?;
        let timer = self.admission_timer;
        self.admission_timer = Some(cx.timers.reschedule(timer, at, Timer::Admission));
        None
    }

    /// Returns the first client in the eviction order that has this reason.
    fn first_of(&self, reason: EvictionReason) -> Option<EvictionRank> {
        let first = EvictionRank {
            reason,
            since: Time::MIN,
            client: ClientId(0),
        };
        let next = self.eviction_order.range(first..).next().copied();
        next.filter(|rank| rank.reason == reason)
    }

    /// Begins the eviction of a client. An idle one moves to the end of the eviction order: if it has sent something meanwhile, it
    /// stays connected, and would otherwise be chosen again and again.
    fn evict(&mut self, now: Time, rank: EvictionRank) -> Eviction {
        self.refresh_idle(now, rank.client);
        let eviction = Eviction::new(rank);
        if let Eviction::Idle(client) = eviction {
            self.evicting = Some(client);
        }
        eviction
    }

    /// Returns whether there is capacity for a client's first request, and which client must lose its place for it. There always
    /// is if the client connected below the client limit, or if it was checked before.
    pub(crate) fn claim_capacity(&mut self, now: Time, id: ClientId, limits: &Limits) -> Capacity {
        let is_full = self.connected.len() - self.closing > limits.clients;
        let client = self.connected.get_mut(&id);
        let was_over_capacity =
            client.is_some_and(|client| std::mem::take(&mut client.is_over_capacity));
        if !was_over_capacity || !is_full {
            return Capacity::Available;
        }
        let unused = self
            .eviction_order
            .iter()
            .find(|rank| rank.reason == EvictionReason::NoRequest && rank.client != id);
        let stalled = self.first_of(EvictionReason::StalledMessage);
        let stalled = stalled.filter(|rank| {
            let delay = eviction_delay(rank.reason, Pressure::Full, limits);
            rank.client != id && now >= rank.since + delay
        });
        match unused.copied().or(stalled) {
            Some(rank) => Capacity::AfterEvicting(self.evict(now, rank)),
            None => Capacity::Exhausted,
        }
    }
}

/// Returns how long a client must have had a reason to be evicted before it is. A new client gets a delay too, as its first
/// request may be in transit, and so does one whose last error is on its way.
fn eviction_delay(reason: EvictionReason, pressure: Pressure, limits: &Limits) -> Span {
    match reason {
        EvictionReason::Idle if pressure == Pressure::AboveSoftLimit => limits.soft_limit_idle,
        EvictionReason::Closing | EvictionReason::NoRequest => limits.eviction_grace,
        EvictionReason::Idle | EvictionReason::StalledMessage => limits.eviction_idle,
        EvictionReason::UnreadResponse => limits.unread_grace,
    }
}
