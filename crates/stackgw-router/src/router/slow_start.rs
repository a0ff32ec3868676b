//! Slow start: how much a newly started member may be sent, by the throughput of warm members.

use super::Router;
use crate::api::*;
use crate::state::{hash_fraction, smooth, MemberState, Role};

/// Share of a cold member's budget that the fleet uses; the rest covers random peaks and unknown load.
const BUDGET_SHARE: f64 = 0.4;
/// Least that the fleet may send a cold member per window, however low the warm throughput.
const MIN_FLEET_BUDGET: f64 = 4.0;
const THROUGHPUT_SMOOTHING: f64 = 0.3;

impl Router {
    /// A cold member falls over if all routers together send it too much. Each router's budget follows its
    /// own traffic per member, so the fleet's total follows the throughput of warm members.
    pub(super) fn has_slow_start_budget(&self, member: &MemberState) -> bool {
        let factor = self.slow_start_factor(member);
        if factor >= 1.0 {
            return true;
        }
        let rules = &self.settings.obligations;
        let rate = self.throughput.warm() * factor * rules.overload_multiple * BUDGET_SHARE;
        // Where connections are limited, few routers have one to a cold member: they use the others' shares.
        let counts = self.members.connection_counts(member);
        let scale = f64::from(counts.limited.max(1)) / f64::from(counts.connected.max(1));
        let min_budget = MIN_FLEET_BUDGET / f64::from(self.settings.fleet_size.max(1));
        let budget = (rate * scale * rules.overload_window as f64 / SECOND as f64).max(min_budget);
        // A fraction is a probability, drawn per router and window: else hundreds of routers each send one.
        let window = member.started_at.unwrap_or(0) ^ (self.now / rules.overload_window.max(1));
        let allowed = (budget + hash_fraction(self.seed ^ window as u64)).floor();
        (member.cold_sends_within(self.now, rules.overload_window) as f64) < allowed
    }

    /// Measured by role: the mean of both is below that of the busier role and would leave cold members half
    /// idle. Cold members answer only what they are sent: if all are cold, the value may rise but not fall.
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
