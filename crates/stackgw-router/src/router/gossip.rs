//! Gossip: in each term, one router collects what the others learned about members and broadcasts it.

use super::Router;
use crate::api::*;
use crate::state::{LatencySample, Observation};

const TERMS_PER_BOUND: Span = 2;
/// How long the collecting router waits before it broadcasts: longer than messages take to arrive.
const COLLECTION_TIME: Span = 50 * MS;

impl Router {
    /// Once per term, sends all updates to the collecting router, which broadcasts what it has collected.
    pub(super) fn send_gossip(&mut self) {
        if !self.settings.limits.gossip {
            return;
        }
        let term = self.now / (self.tightest_bound / TERMS_PER_BOUND).max(1);
        let broadcast_at = self.gossip.broadcast_at;
        if broadcast_at.map_or(term == self.gossip.term, |broadcast_at| self.now < broadcast_at) {
            return;
        }
        let collector = term.rem_euclid(i64::from(self.settings.fleet_size)) as u32;
        self.gossip.start_term(term);
        if broadcast_at.is_none() && collector == self.settings.instance_index {
            self.gossip.broadcast_at = Some(self.now + COLLECTION_TIME);
        } else {
            let to = if broadcast_at.is_none() { Some(collector) } else { None };
            self.actions.extend(self.gossip.take_message(to));
        }
    }

    /// Gossip may be late or lost. Positions never go back, so late ones remain valid and order role claims.
    pub(super) fn merge_gossip(&mut self, sent_at: Time, relay: bool, updates: Vec<GossipUpdate>) {
        for update in updates {
            if update.position.is_some() {
                self.apply_role_and_position(&Observation::of_gossip(sent_at, &update));
            }
            if update.samples > 0 {
                let sample = LatencySample::unserved(update.latency_ratio, update.samples);
                self.members.modify(update.member, |member| member.adjust_limit(&sample, self.fleet_divisor));
            }
            if relay {
                self.gossip.push(update);
            }
        }
    }
}
