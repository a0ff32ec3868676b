//! Health checks: which members are polled for their position and role, and when.

use super::Router;
use crate::api::*;
use crate::state::{Candidate, MemberState, Observation, RequestState, Role};

/// Health checks per tightest staleness bound (or half the last lag, if longer), and bounds of the interval.
const CHECKS_PER_BOUND: i64 = 4;
const MIN_INTERVAL: Span = 120 * MS;
const MAX_INTERVAL: Span = SECOND / 2;
/// How long a read waits for a pending health check.
pub(super) const MAX_WAIT: Span = 20 * MS;
/// Budget per request for health checks that no request waits for, as each has a cost; less in a large fleet.
const CHECKS_PER_REQUEST: f64 = 0.1;

impl Router {
    /// Handles the end of a health check; `report` is `None` if the member did not respond.
    pub(super) fn handle_health_check(&mut self, id: MemberId, report: Option<LoadReport>) {
        let Some(member) = self.members.get_mut(id) else { return };
        member.check_pending = false;
        let group = member.group;
        if let Some(report) = &report {
            let observed = Observation::of_report(self.now, id, report);
            self.apply_role_and_position(&observed);
            self.gossip.push(observed.to_update(None));
        }
        let is_silent = report.is_none() && self.primary(group) == Some(id);
        if self.clock_offset.is_none() && (is_silent || self.is_without_primary(group)) {
            self.clock_offset = Some(0); // No primary shows the members' time, so the host's is taken.
        }
        self.requests.forget_rejections(self.members.queued(group));
        self.dispatch_queued(group);
        self.check_health(group);
    }

    pub(super) fn accrue_health_check_budget(&mut self) {
        let accrued = self.health_check_budget + CHECKS_PER_REQUEST / self.fleet_divisor;
        self.health_check_budget = accrued.min(self.members.len() as f64);
    }

    /// Whether a replica is due for a health check. The fleet shares the checks of replicas that lag behind.
    pub(super) fn is_check_due(&self, member: &MemberState) -> bool {
        let is_lagging = member.lag > self.tightest_bound && member.position > 0;
        let interval = (member.lag / 2).max(self.tightest_bound) / CHECKS_PER_BOUND;
        let interval = interval.clamp(MIN_INTERVAL, MAX_INTERVAL) as f64 * self.jitter;
        let interval = interval * if is_lagging { self.fleet_divisor } else { 1.0 };
        member.is_unchecked_for(self.now, interval as Span)
    }

    pub(super) fn check_health(&mut self, group: GroupId) {
        if self.settings.limits.health_checks {
            for id in self.due_checks(group) {
                self.members.modify(id, |member| member.start_health_check(self.now));
                self.actions.push(Action::HealthCheck(id));
            }
        }
    }

    /// All due members if requests are queued without a usable primary, one for queued reads, else by budget.
    fn due_checks(&mut self, group: GroupId) -> Vec<MemberId> {
        let primary = self.usable_primary(group);
        let members = self.members.of_group(group).filter(|(id, _)| Some(*id) != primary);
        let replicas: Vec<_> = members.filter(|(_, member)| self.accepts(member, Role::Replica)).collect();
        if primary.is_none() && self.any_queued(group, |_| true) {
            let due = self.due_in_primary_search(&replicas);
            if !due.is_empty() {
                return due;
            }
        }
        let mut stale = self.stale_replicas(&replicas);
        let is_pending = replicas.iter().any(|(_, m)| m.is_check_pending_within(self.now, MAX_WAIT));
        let is_read_queued = self.any_queued(group, |request| !request.is_write());
        if !is_pending && is_read_queued {
            stale.truncate(1);
        } else {
            stale.truncate(self.health_check_budget as usize);
            self.health_check_budget -= stale.len() as f64;
        }
        let is_primary_next = self.clock_offset.is_none() || !is_pending && stale.is_empty();
        if is_read_queued && is_primary_next {
            stale.extend(primary.filter(|id| self.needs_position(&self.members[*id])));
        }
        stale
    }

    /// Whether all members of a group have been checked and none is known as the primary.
    fn is_without_primary(&self, group: GroupId) -> bool {
        let is_checked = |m: &MemberState| !m.check_pending && m.checked_at > 0;
        self.primary(group).is_none() && self.members.of_group(group).all(|(_, m)| is_checked(m))
    }

    /// Health checks during the search for a primary: every reachable member, at the shortest interval.
    fn due_in_primary_search(&self, replicas: &[Candidate]) -> Vec<MemberId> {
        let interval = (MIN_INTERVAL as f64 * self.fleet_divisor * self.jitter) as Span;
        let reachable = replicas.iter().filter(|(_, member)| member.has_connection_permit(self.now));
        reachable.filter(|(_, m)| m.is_unchecked_for(self.now, interval)).map(|(id, _)| *id).collect()
    }

    /// Whether reads wait for a health check of this primary: it denied the role in an answer, so that they
    /// need its position, or its position tells the members' time.
    fn needs_position(&self, primary: &MemberState) -> bool {
        (primary.denies_primary || self.clock_offset.is_none()) && self.is_stale_and_due(primary)
    }

    fn is_stale_and_due(&self, member: &MemberState) -> bool {
        let is_usable = !member.ejected && member.has_connection_permit(self.now);
        is_usable && self.is_position_older(member, self.tightest_bound / 2) && self.is_check_due(member)
    }

    /// Replicas with a stale position that are due for a health check, in rotation order.
    fn stale_replicas(&self, replicas: &[Candidate]) -> Vec<MemberId> {
        let mut stale: Vec<_> = replicas.iter().filter(|(_, m)| self.is_stale_and_due(m)).collect();
        stale.sort_by(|a, b| a.1.virtual_time.total_cmp(&b.1.virtual_time));
        stale.into_iter().map(|(id, _)| *id).collect()
    }

    /// The primary unless ejected, or merely listed while queued reads need a claim and would wait in vain.
    fn usable_primary(&self, group: GroupId) -> Option<MemberId> {
        use Consistency::{ReadYourWrites, Strong};
        let needs_claim = |request: &RequestState| matches!(request.consistency(), Strong | ReadYourWrites);
        let claimed = self.members.claimed_primary(group);
        let is_strong = |request: &RequestState| request.consistency() == Strong;
        let needs_proof = |id: MemberId| self.members[id].denies_primary && self.any_queued(group, is_strong);
        let is_trusted = |id| claimed == Some(id) && !needs_proof(id);
        let is_confirmed = |id| is_trusted(id) || !self.any_queued(group, needs_claim);
        self.primary(group).filter(|id| !self.members[*id].ejected && is_confirmed(*id))
    }

    fn any_queued(&self, group: GroupId, matches: impl Fn(&RequestState) -> bool) -> bool {
        self.requests.get_all(self.members.queued(group)).any(matches)
    }
}
