//! Periodic work: the timer, detection of the router's own stalls, and intervals by fleet size.

use super::{admission, Router};
use crate::api::*;
use crate::state::{hash_fraction, ByRole};

/// Timer interval; a gap between events above STALL_THRESHOLD shows that this router itself was stalled.
const TIMER_INTERVAL: Span = 10 * MS;
const STALL_THRESHOLD: Span = 100 * MS;
/// How often throughput is measured and expired records are dropped.
const MEASURING_PERIOD: Span = SECOND;
/// How long session writes are kept: far longer than a replica lags, or than a new one's copy is old.
const SESSION_WRITE_RETENTION: Span = 60 * SECOND;
/// How long removed members are kept, as late answers and gossip about them may still arrive.
const REMOVED_MEMBER_RETENTION: Span = 30 * SECOND;
/// Staleness bound assumed for a class without one.
const DEFAULT_BOUND: Span = SECOND;
/// Fleet size above which intervals grow in proportion, and the highest factor if routers do not gossip.
const FLEET_BASELINE: f64 = 16.0;
const MAX_DIVISOR_WITHOUT_GOSSIP: f64 = 6.0;
/// Jitter lengthens intervals by up to 1 / JITTER_PARTS.
const JITTER_PARTS: f64 = 5.0;

impl Router {
    pub(super) fn derive_from_settings(&mut self) {
        // No gossip without other routers, and no health checks of members that report nothing.
        let settings = &mut self.settings;
        settings.limits.gossip &= settings.fleet_size > 1;
        settings.limits.health_checks &= settings.load_reporting != LoadReporting::Never;
        let max_divisor = if settings.limits.gossip { f64::MAX } else { MAX_DIVISOR_WITHOUT_GOSSIP };
        self.fleet_divisor = (f64::from(settings.fleet_size) / FLEET_BASELINE).clamp(1.0, max_divisor);
        self.jitter = 1.0 + hash_fraction(self.seed) / JITTER_PARTS;
        self.tightest_bound = settings.tightest_bound(DEFAULT_BOUND);
        self.shortest_objective = settings.shortest_objective(DEFAULT_BOUND) as f64;
        self.gossip.is_enabled = settings.limits.gossip || settings.limits.host_gossip;
        self.latency_ratio = ByRole::both(admission::INITIAL_LATENCY_RATIO);
    }

    pub(super) fn timer_interval(&self) -> Span {
        self.settings.tick.max(TIMER_INTERVAL)
    }

    /// Detects a stall of this router, after which all answers look late and members would be blamed for it.
    pub(super) fn advance_clock(&mut self, now: Time) {
        let since_last_event = now - self.now;
        self.now = now;
        if self.timer_set && since_last_event > STALL_THRESHOLD {
            self.stall = since_last_event;
            self.members.modify_all(|member| member.unanswered_since = now);
            self.run_periodic_work();
        } else if since_last_event > 0 {
            self.stall = 0;
        }
    }

    pub(super) fn run_periodic_work(&mut self) {
        self.detect_unresponsive();
        self.send_gossip();
        self.fail_overdue();
        if self.throughput.period(self.now) >= MEASURING_PERIOD {
            self.measure_throughput();
            self.session_writes.forget_before(self.now - SESSION_WRITE_RETENTION);
            let forgotten = self.members.forget_unavailable(self.now - REMOVED_MEMBER_RETENTION);
            self.actions.extend(forgotten.into_iter().map(Action::ForgetMember));
        }
        let has_check_budget = self.health_check_budget >= 1.0;
        for group in self.members.groups_where(|group| has_check_budget || !group.queued.is_empty()) {
            self.check_health(group);
            self.dispatch_queued(group);
        }
    }
}
