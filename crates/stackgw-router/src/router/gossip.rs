//! Gossip: in each term one router collects what the others learned of members, and sends it to all.

use super::Router;
use crate::api::*;
use crate::state::{LatencySample, Observation};

const TERMS_PER_BOUND: Span = 2;
/// The router that collects does so for this long, longer than messages take.
const COLLECTION_TIME: Span = 50 * MS;

impl Router {
    /// Once a term all updates go to the router that collects; that one sends all what it collected.
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

    /// Gossip is late or lost. Positions never go back, so they hold; they order roles.
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
