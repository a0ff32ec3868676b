//! Admission of clients, and eviction of idle ones for others.

use super::client::EvictionRank;
use super::clients::Clients;
use crate::limits::Limits;
use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::ids::ClientId;
use crate::reducer::timers::Timer;
use stackgw_router::api::{Span, Time};

/// What becomes of a client that came when all places were taken, with its first request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Capacity {
    /// There is a place for it.
    Available,
    /// There is one once this idle client is closed.
    AfterEvicting(ClientId),
    Exhausted,
}

impl Clients {
    /// Accepts new clients while there is room for one more, and makes room by closing idle ones. Where all places are taken
    /// one is kept free. Clients without any request make room first, as hundreds may connect and send nothing; then the client
    /// idle longest, after a while, as one that was just answered often asks again. A client that has sent something by then
    /// stays.
    ///
    /// Danger: clients that ask once and keep their connection run out of connections for what they ask next, well before all
    /// places here are taken. So beyond the soft limit, half of the places, those that have been idle for longer are closed.
    pub(crate) fn admit(&mut self, cx: &mut Context<'_>, is_listening: bool) {
        let connected = self.connected.len();
        let is_full = connected >= cx.limits.clients;
        if is_listening && (is_full || connected > cx.limits.client_soft_limit) {
            self.evict_idle(cx, is_full);
        }
        let places = cx.limits.clients + cx.limits.client_reserve;
        let accepts = connected < places && is_listening;
        if accepts != self.is_accepting {
            self.is_accepting = accepts;
            cx.emit(Effect::AcceptClients(accepts));
        }
    }

    /// The timer for the next eviction has gone off.
    pub(crate) fn admission_timer_fired(&mut self) {
        self.admission_timer_pending = false;
    }

    /// Asks the first idle client that may be closed now to make room, else sets the timer for when one may be.
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
            // Danger: one that has sent something stays, and would keep all others from making room.
            self.refresh_idle(now, client);
            cx.emit(Effect::ClientCloseIfIdle(client));
        } else if let Some(at) = candidates().map(evictable_at).min() {
            if !std::mem::replace(&mut self.admission_timer_pending, true) {
                cx.timers.set(at, Timer::Admission);
            }
        }
    }

    /// The idle client that has been idle longest, with at least this rank.
    fn first_idle(&self, has_sent_request: bool) -> Option<EvictionRank> {
        let first = EvictionRank {
            has_sent_request,
            idle_since: Time::MIN,
            client: ClientId(0),
        };
        self.eviction_order.range(first..).next().copied()
    }

    /// Whether there is a place for a client with its first request.
    pub(crate) fn claim_capacity(&mut self, id: ClientId, places: usize) -> Capacity {
        let is_full = self.connected.len() > places;
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

/// How long a client is idle before it may be closed for another. A new client's first request may be on its way.
fn eviction_delay(rank: &EvictionRank, is_full: bool, limits: &Limits) -> Span {
    match (is_full, rank.has_sent_request) {
        (false, _) => limits.soft_limit_idle,
        (true, true) => limits.eviction_idle,
        (true, false) => limits.eviction_grace,
    }
}
