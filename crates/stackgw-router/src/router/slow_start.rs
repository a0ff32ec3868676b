//! Slow start: what a member whose process has just started may be sent, by the throughput of warm members.

use super::Router;
use crate::api::*;
use crate::state::{hash_fraction, smooth, MemberState, Role};

/// Part of a cold member's budget that this fleet uses; the rest covers chance and what it cannot see.
const BUDGET_SHARE: f64 = 0.4;
/// What the fleet may send a cold member in a window, however little warm ones answer.
const MIN_FLEET_BUDGET: f64 = 4.0;
const THROUGHPUT_SMOOTHING: f64 = 0.3;

impl Router {
    pub(super) fn slow_start_factor(&self, member: &MemberState) -> f64 {
        member.slow_start_factor(self.now, &self.settings.obligations)
    }

    /// A cold member falls over when all routers together send too much. Each goes by its own traffic for
    /// each member, so the fleet's sum goes by what warm members answer.
    pub(super) fn has_slow_start_budget(&self, member: &MemberState) -> bool {
        let factor = self.slow_start_factor(member);
        if factor >= 1.0 {
            return true;
        }
        let rules = &self.settings.obligations;
        let rate = self.throughput.warm() * factor * rules.overload_multiple * BUDGET_SHARE;
        // Where connections are limited, few routers have one here yet: theirs is what the others cannot use.
        let reach = self.members.connection_reach(member);
        let part = f64::from(reach.limited.max(1)) / f64::from(reach.reached.max(1));
        let min_budget = MIN_FLEET_BUDGET / f64::from(self.settings.fleet_size.max(1));
        let budget = (rate * part * rules.overload_window as f64 / SECOND as f64).max(min_budget);
        // A part of one is a chance, drawn by each router for each window: else hundreds would each send one.
        let window = member.started_at.unwrap_or(0) ^ (self.now / rules.overload_window.max(1));
        let allowed = (budget + hash_fraction(self.seed ^ window as u64)).floor();
        (member.cold_sends_within(self.now, rules.overload_window) as f64) < allowed
    }

    /// By role: the mean of both is less than the busier role answers and would leave cold members half idle.
    /// Cold members answer only what they are sent: by them alone throughput may rise, but not fall.
    pub(super) fn measure_throughput(&mut self) {
        let any_warm = self.members.serving().any(|(_, member)| self.slow_start_factor(member) >= 1.0);
        for role in [Role::Replica, Role::Primary] {
            let rate = self.throughput.rate(self.now, role, self.members.count_serving(role));
            let warm = self.throughput.warm_by_role.get_mut(role);
            if any_warm || rate > *warm {
                smooth(warm, rate, THROUGHPUT_SMOOTHING);
            }
        }
        self.throughput.start_period(self.now);
    }
}
