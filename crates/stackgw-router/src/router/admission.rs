//! How many requests a member may hold: a concurrency limit that follows the latency of its answers.

use super::Router;
use crate::api::*;
use crate::state::{smooth, LatencySample, MemberState, Role};

/// The least limit, for the whole fleet.
pub(super) const MIN_LIMIT: f64 = 0.3;
/// Latency ratio: answer time over its objective. Above the first a limit shrinks, below the second it grows.
pub(super) const HIGH_LATENCY_RATIO: f64 = 0.33;
const GOOD_LATENCY_RATIO: f64 = 0.27;
const LIMIT_CUT: f64 = 0.85;
/// A guess before the first answers; smoothed over 1 / SMOOTHING answers, each MAX_LATENCY_RATIO at most.
pub(super) const INITIAL_LATENCY_RATIO: f64 = 0.25;
pub(super) const SMOOTHING: f64 = 0.05;
pub(super) const MAX_LATENCY_RATIO: f64 = 1.2;
/// A limit is cut once in so many samples: work varies so much that with fewer chance alone closes a member.
const SAMPLES_PER_CUT: u32 = 12;
/// A limit grows while this share of it is in use, each time by at most the second share.
const GROWTH_UTILISATION: f64 = 0.7;
const MAX_GROWTH: f64 = 0.2;

impl Router {
    /// Whether a member can take one more within `share` of its limit; ejected, a half-open attempt at times.
    pub(super) fn has_capacity(&self, member: &MemberState, role: Role, share: f64) -> bool {
        if member.ejected {
            return self.now >= member.half_open_at && self.has_slow_start_budget(member);
        }
        let limit = member.concurrency_limit * share * self.slow_start_factor(member);
        // A limit below one is an interval. Thin streams come unevenly, so it is kept only where latency is
        // high, here or over all of its role, as one member is seldom heard.
        let is_calm = member.latency_ratio.max(self.latency_ratio.get(role)) < HIGH_LATENCY_RATIO;
        let since_last = (self.now - member.last_sent_at) as f64;
        let is_paced = is_calm || limit >= 1.0 || since_last >= member.latency / limit;
        f64::from(member.in_flight) < limit.max(1.0) && is_paced && self.has_slow_start_budget(member)
    }

    /// Takes an answer time into account: for the member, for all of its role, and as throughput.
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
