//! Membership: the known members, which of them accept new requests, and the primary of each group.

use super::{admission, outliers, Router};
use crate::api::*;
use crate::state::{hash_fraction, MemberState, Observation, Role, Source};

/// Share of the drain grace during which a draining primary still gets requests if no other claims the role.
const DRAIN_GRACE_SHARE: f64 = 0.8;
/// Concurrency limit of a new member for the whole fleet, divided among its routers.
const INITIAL_FLEET_LIMIT: f64 = 12.0;

impl Router {
    pub(super) fn apply_endpoint_list(&mut self, scope: ListScope, endpoints: &[Member]) {
        if self.settings.polls_endpoint_list && matches!(scope, ListScope::Cached | ListScope::Failed) {
            self.actions.push(Action::Subscribe(true)); // No backoff: a poll fails only after a time-out.
        }
        if scope == ListScope::Failed {
            return;
        }
        let notified_at = self.now - self.list_delay;
        if scope != ListScope::Changes {
            self.health_check_budget = endpoints.len() as f64 / self.fleet_divisor;
            for missing in self.members.missing_from_mut(endpoints) {
                missing.apply_lifecycle(notified_at, Lifecycle::Removed, &self.settings.obligations);
            }
        }
        endpoints.iter().for_each(|endpoint| self.apply_endpoint(scope, endpoint));
        self.run_periodic_work();
    }

    fn apply_endpoint(&mut self, scope: ListScope, endpoint: &Member) {
        let initial = self.initial_state(endpoint);
        let (member, group) = self.members.get_or_insert(endpoint, &initial);
        if endpoint.started_at.is_some() && member.started_at != endpoint.started_at {
            member.restart(initial);
            if group.clear_primary(endpoint.id) {
                let (group, reason) = (endpoint.group, PrimaryChangeReason::Restarted);
                self.actions.push(Action::PrimaryChanged { group, primary: None, reason });
            }
        }
        if endpoint.started_at.is_none() && scope != ListScope::Cached {
            member.started_at = None; // Its start is no longer recent; a cached list may be outdated.
        }
        member.apply_lifecycle(self.now - self.list_delay, endpoint.lifecycle, &self.settings.obligations);
        member.weight = endpoint.weight;
        member.listed_primary = endpoint.listed_primary;
    }

    /// Each router starts at its own place in the rotation, or all that start together begin with one member.
    fn initial_state(&self, endpoint: &Member) -> MemberState {
        let virtual_time = hash_fraction(self.seed ^ u64::from(endpoint.id.0));
        let concurrency_limit = INITIAL_FLEET_LIMIT / f64::from(self.settings.fleet_size.max(1));
        let latency = admission::INITIAL_LATENCY_RATIO * self.shortest_objective;
        MemberState {
            virtual_time,
            concurrency_limit,
            latency,
            latency_ratio: admission::INITIAL_LATENCY_RATIO,
            half_open_wait: outliers::MIN_HALF_OPEN_WAIT,
            last_sent_at: self.now - (latency / concurrency_limit * virtual_time) as Span,
            ..MemberState::unobserved(endpoint)
        }
    }

    /// Whether a member accepts new requests; a draining one does so only as the primary, in its drain grace.
    pub(super) fn accepts(&self, member: &MemberState, role: Role) -> bool {
        let grace = (self.settings.obligations.drain_grace as f64 * DRAIN_GRACE_SHARE) as Span;
        let in_grace = member.lifecycle == Lifecycle::Draining && self.now - member.unavailable_since < grace;
        member.lifecycle == Lifecycle::Serving || role == Role::Primary && in_grace
    }

    /// The last member to claim the role, else a listed one that never denied it, if it accepts requests.
    pub(super) fn primary(&self, group: GroupId) -> Option<MemberId> {
        let accepts = |member: &MemberState| self.accepts(member, Role::Primary);
        let is_listed = |m: &MemberState| m.listed_primary && m.replica_as_of == 0 && accepts(m);
        let claimed = self.members.claimed_primary(group).filter(|id| accepts(&self.members[*id]));
        claimed.or_else(|| self.members.of_group(group).find(|(_, m)| is_listed(m)).map(|(id, _)| id))
    }

    /// Updates position and role. A claim never overrides one with a later position, or a denial that may be
    /// later: answers may be read in another order than they were made. An answer that denies the role takes
    /// effect at once: from then on, the staleness bounds apply to reads at that member.
    pub(super) fn apply_role_and_position(&mut self, observed: &Observation) {
        let Some((member, group)) = self.members.with_group(observed.member) else { return };
        member.advance_position(observed);
        let is_answer = observed.source == Source::Answer;
        let claimed_at = observed.position.unwrap_or(observed.asked_at);
        let min_denied_at = if is_answer { member.position } else { 0 };
        let denied_at = observed.position.unwrap_or(observed.at).max(min_denied_at);
        // At the position of an answer that denies the role, the claim is the older one.
        let is_older = claimed_at == member.replica_as_of && member.denies_primary;
        let is_after_denial = claimed_at >= member.replica_as_of && !is_older;
        let started_at = member.started_at.filter(|started_at| *started_at <= observed.at);
        let is_of_this_process = started_at.is_none_or(|started_at| claimed_at >= started_at);
        let before = group.primary;
        if observed.is_primary == Some(true) && is_after_denial && is_of_this_process {
            member.denies_primary &= !is_answer;
            if claimed_at >= group.claimed_at {
                group.primary = Some(observed.member);
                group.claimed_at = claimed_at;
            }
        } else if observed.is_primary == Some(false) && (is_answer || denied_at >= member.replica_as_of) {
            member.replica_as_of = denied_at.max(member.replica_as_of);
            member.denies_primary |= is_answer;
            if is_answer || denied_at >= group.claimed_at {
                group.clear_primary(observed.member);
            }
        }
        if group.primary != before {
            let (group, primary) = (member.group, group.primary);
            let reason = observed.primary_change_reason(primary.is_some());
            self.actions.push(Action::PrimaryChanged { group, primary, reason });
        }
    }
}

impl MemberState {
    /// The list may show a serving member as removed. Where only a drain is binding, this member stays in use
    /// while it answers, and is ejected at its first failure.
    fn apply_lifecycle(&mut self, now: Time, listed: Lifecycle, rules: &Obligations) {
        let was_serving = self.lifecycle == Lifecycle::Serving;
        self.removal_in_doubt = listed == Lifecycle::Removed && rules.removal_is_advisory && was_serving;
        if was_serving && listed != Lifecycle::Serving {
            self.unavailable_since = now;
        }
        if !self.removal_in_doubt {
            self.lifecycle = listed;
        }
    }
}
