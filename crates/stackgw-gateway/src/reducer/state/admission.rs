//! Admission of clients, and eviction of idle clients for new ones.

use super::client::EvictionRank;
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
    /// There is capacity once this idle client is closed.
    AfterEvicting(ClientId),
    Exhausted,
}

impl Clients {
    /// Accepts new clients while there is capacity. At the client limit, closes idle clients to keep capacity for one more.
    /// Clients that have sent no request are closed first, as hundreds may connect and send nothing; then the client that has
    /// been idle longest, after a delay, as a client that was just answered often sends another request. A client that has sent
    /// something before it is closed stays connected.
    ///
    /// Client processes that use each connection for one request and keep it open run out of connections for their next
    /// requests well before the client limit is reached here. Above the soft limit, half of the client limit, clients that have
    /// been idle for longer are therefore closed.
    pub(crate) fn admit(&mut self, cx: &mut Context<'_>, is_listening: bool) {
        let connected = self.connected.len();
        let is_full = connected >= cx.limits.clients;
        if is_listening && (is_full || connected > cx.limits.client_soft_limit) {
            self.evict_idle(cx, is_full);
        }
        let max_connected = cx.limits.clients + cx.limits.client_reserve;
        let accepts = connected < max_connected && is_listening;
        if accepts != self.is_accepting {
            self.is_accepting = accepts;
            cx.emit(Effect::AcceptClients(accepts));
        }
    }

    /// Records that the timer for the next eviction has fired; [`admit`](Self::admit) then evicts.
    pub(crate) fn clear_admission_timer(&mut self) {
        self.admission_timer_pending = false;
    }

    /// Closes the first idle client that may be closed now; if none may, sets the timer for the time at which one may.
    fn evict_idle(&mut self, cx: &mut Context<'_>, is_full: bool) {
        let without_request = self
            .first_idle(false)
            .filter(|rank| is_full && !rank.has_sent_request);
        let candidates = [without_request, self.first_idle(true)];
        let candidates = || candidates.iter().flatten();
        let evictable_at =
            |rank: &EvictionRank| rank.idle_since + eviction_delay(rank, is_full, cx.limits);
        let now = cx.now;
        if let Some(oldest) = candidates().find(|rank| now >= evictable_at(rank)) {
            let client = oldest.client;
            self.evicting = Some(client);
            // A client that has sent something stays connected. Unless it moves to the end of the eviction order, it would be
            // chosen again and again and no other client would be closed.
            self.refresh_idle(now, client);
            cx.emit(Effect::ClientCloseIfIdle(client));
        } else if let Some(at) = candidates().map(evictable_at).min() {
            if !std::mem::replace(&mut self.admission_timer_pending, true) {
                cx.timers.set(at, Timer::Admission);
            }
        }
    }

    /// Returns the first idle client in the eviction order; with `has_sent_request`, the first of those that have sent one.
    fn first_idle(&self, has_sent_request: bool) -> Option<EvictionRank> {
        let first = EvictionRank {
            has_sent_request,
            idle_since: Time::MIN,
            client: ClientId(0),
        };
        self.eviction_order.range(first..).next().copied()
    }

    /// Returns whether there is capacity for a client's first request, and which client must be closed for it. There always is
    /// if the client connected below the client limit, or if it was checked before.
    pub(crate) fn claim_capacity(&mut self, id: ClientId, client_limit: usize) -> Capacity {
        let is_full = self.connected.len() > client_limit;
        let client = self.connected.get_mut(&id);
        let was_over_capacity =
            client.is_some_and(|client| std::mem::take(&mut client.is_over_capacity));
        if !was_over_capacity || !is_full {
            return Capacity::Available;
        }
        let unused = self
            .eviction_order
            .iter()
            .take_while(|rank| !rank.has_sent_request)
            .find(|rank| rank.client != id);
        match unused {
            Some(rank) => {
                self.evicting = Some(rank.client);
                Capacity::AfterEvicting(rank.client)
            }
            None => Capacity::Exhausted,
        }
    }
}

/// Returns how long a client must be idle before it may be closed for another. A new client gets a delay too, as its first
/// request may be in transit.
fn eviction_delay(rank: &EvictionRank, is_full: bool, limits: &Limits) -> Span {
    match (is_full, rank.has_sent_request) {
        (false, _) => limits.soft_limit_idle,
        (true, true) => limits.eviction_idle,
        (true, false) => limits.eviction_grace,
    }
}
