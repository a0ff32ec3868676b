//! Adaptive concurrency limits: how many requests a member may have in flight, by the latency of its answers.

use super::Router;
use crate::api::*;
use crate::state::{smooth, LatencySample, MemberState, Role};

/// Lowest concurrency limit of a member, before the division among the routers of a large fleet.
pub(super) const MIN_LIMIT: f64 = 0.3;
/// Latency ratio: response time / latency objective. Limits shrink above the high, grow below the good one.
pub(super) const HIGH_LATENCY_RATIO: f64 = 0.33;
const GOOD_LATENCY_RATIO: f64 = 0.27;
const LIMIT_CUT: f64 = 0.85;
/// Assumed before the first answer; smoothed over 1 / SMOOTHING answers, each capped at MAX_LATENCY_RATIO.
pub(super) const INITIAL_LATENCY_RATIO: f64 = 0.25;
pub(super) const SMOOTHING: f64 = 0.05;
pub(super) const MAX_LATENCY_RATIO: f64 = 1.2;
/// Samples between limit cuts. Request costs vary: with fewer samples, chance alone cuts it to MIN_LIMIT.
const SAMPLES_PER_CUT: u32 = 12;
/// A served answer raises a limit only if more than this share is in use, by at most MAX_GROWTH of the limit.
const GROWTH_UTILISATION: f64 = 0.7;
const MAX_GROWTH: f64 = 0.2;

impl Router {
    /// Whether one more request fits the slow start budget, and `share` of the limit or a half-open attempt.
    pub(super) fn has_capacity(&self, member: &MemberState, role: Role, share: f64) -> bool {
        if member.ejected {
            return self.now >= member.half_open_at && self.has_slow_start_budget(member);
        }
        let limit = member.concurrency_limit * share * self.slow_start_factor(member);
        // A limit below one is a minimum interval between sends. Sparse traffic is uneven, so it applies only
        // while latency is high at this member or across its role, as one member gives few samples.
        let is_latency_low = member.latency_ratio.max(self.latency_ratio.get(role)) < HIGH_LATENCY_RATIO;
        let since_last = (self.now - member.last_sent_at) as f64;
        let is_interval_over = is_latency_low || limit >= 1.0 || since_last >= member.latency / limit;
        f64::from(member.in_flight) < limit.max(1.0) && is_interval_over && self.has_slow_start_budget(member)
    }

    /// Records the response time of an answer: for the member, for its role, and for the throughput.
    pub(super) fn record_latency(&mut self, result: &AttemptResult, elapsed: f64, sample: &LatencySample) {
        let Some((member, group)) = self.members.with_group(result.member) else { return };
        let known_role = Role::primary_if(group.primary == Some(result.member));
        *self.throughput.answers.get_mut(known_role) += 1.0;
        member.latency += (elapsed - member.latency) * SMOOTHING * 2.0;
        let stated_role = Role::primary_if(result.is_primary == Some(true));
        smooth(self.latency_ratio.get_mut(stated_role), sample.ratio, SMOOTHING);
        member.adjust_limit(sample, self.fleet_divisor);
    }
}

impl MemberState {
    pub(super) fn adjust_limit(&mut self, sample: &LatencySample, fleet_divisor: f64) {
        let weight = 1.0 - (1.0 - SMOOTHING).powi(sample.count as i32);
        smooth(&mut self.latency_ratio, sample.ratio, weight);
        self.samples_since_cut += sample.count;
        let limit = self.concurrency_limit;
        let is_due = self.samples_since_cut >= SAMPLES_PER_CUT;
        let is_good = self.latency_ratio < GOOD_LATENCY_RATIO;
        let is_in_use = f64::from(self.in_flight + 1) > GROWTH_UTILISATION * limit;
        if sample.is_served && is_good && is_in_use {
            self.concurrency_limit += (1.0 / limit).min(MAX_GROWTH * limit);
        } else if is_due && self.latency_ratio > HIGH_LATENCY_RATIO {
            self.concurrency_limit = (limit * LIMIT_CUT).max(MIN_LIMIT / fleet_divisor);
            self.samples_since_cut = 0;
        } else if is_due && is_good && !sample.is_served && limit < 1.0 {
            self.concurrency_limit = (limit / LIMIT_CUT).min(1.0);
            self.samples_since_cut = 0;
        }
    }
}
