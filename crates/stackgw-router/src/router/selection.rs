//! Member selection: which member a request goes to, by the consistency that it needs.

use super::{health_checks, Router};
use crate::api::*;
use crate::state::{mean_in_flight, Candidate, MemberState, RequestState, Role};

/// Session reads this soon after a write go to the primary; a shorter time brings no benefit.
const READ_AFTER_WRITE: Span = SECOND;
/// Replicas with more than this times the replicas' mean in flight, plus one, are skipped.
const MAX_IN_FLIGHT_RATIO: f64 = 1.3;
/// Share of the primary's limit for reads that no replica can serve; requests that need it get the rest.
const FALLBACK_SHARE: f64 = 0.6;
const FULL_LIMIT: f64 = 1.0;

impl Router {
    /// Selects the member for a request: the preferred one for its consistency, or a fallback.
    pub(super) fn select_member(&self, request: &RequestState) -> Option<Selected> {
        self.selection(request).select()
    }

    pub(super) fn selection<'a>(&'a self, request: &'a RequestState) -> Selection<'a> {
        Selection { router: self, request, primary: self.primary(request.group()) }
    }
}

/// The member selected for a request, and why.
#[derive(Debug, Clone, Copy)]
pub(super) struct Selected {
    pub(super) member: MemberId,
    pub(super) reason: SelectionReason,
}

impl Selected {
    fn because(reason: SelectionReason) -> impl Fn(MemberId) -> Self {
        move |member| Selected { member, reason }
    }
}

/// Selects a member for one request.
pub(super) struct Selection<'a> {
    router: &'a Router,
    request: &'a RequestState,
    primary: Option<MemberId>,
}

impl<'a> Selection<'a> {
    fn select(&self) -> Option<Selected> {
        match self.request.consistency() {
            Consistency::Write if self.primary.is_some() => self.select_primary(FULL_LIMIT, |_| true),
            Consistency::Write => self.search_for_primary(),
            Consistency::Strong => self.select_primary(FULL_LIMIT, |id| {
                self.has_claimed(id) && self.has_applied(id, self.request.arrived_at)
            }),
            Consistency::ReadYourWrites => self.select_for_session(),
            Consistency::BoundedStaleness(bound) => self.select_for_read(self.router.min_position(bound)),
            Consistency::Eventual => self.select_for_read(0),
        }
    }

    /// A write rejected by one member tries others for half its attempts, then waits for a health check.
    fn search_for_primary(&self) -> Option<Selected> {
        let half_used = self.request.attempts_sent * 2 >= self.router.settings.limits.max_attempts;
        if self.request.rejected_by.is_empty() || half_used {
            return None;
        }
        let next = self.replicas_with_capacity().first().map(|(id, _)| *id);
        next.map(Selected::because(SelectionReason::PrimarySearch))
    }

    /// If the primary lacks capacity, even reads soon after a write go to replicas that have applied it.
    fn select_for_session(&self) -> Option<Selected> {
        let write = self.request.request.last_write.unwrap_or(0);
        let is_recent = self.router.now - write < READ_AFTER_WRITE;
        let primary = self.select_primary(FULL_LIMIT, |id| is_recent && self.has_applied(id, write));
        primary.or_else(|| self.select_for_read(write))
    }

    /// A replica that has reached `min_position`, or the best fallback.
    fn select_for_read(&self, min_position: Time) -> Option<Selected> {
        let replicas = self.replicas_with_capacity();
        // An ejected primary gets reads as half-open attempts: it is sent few others, and writes wait for it.
        let is_half_open =
            |id: &MemberId| self.router.members[*id].ejected && self.may_fall_back(*id, min_position);
        let half_open = self.primary_within(FULL_LIMIT).filter(is_half_open);
        let fresh = || select_replica(&replicas, |member| member.position >= min_position);
        let selected = half_open
            .map(Selected::because(SelectionReason::HalfOpenPrimary))
            .or_else(|| fresh().map(Selected::because(SelectionReason::FreshReplica)))
            .or_else(|| self.select_stale(&replicas, min_position));
        if selected.is_some() || self.awaits_health_check(&replicas, min_position) {
            return selected;
        }
        self.select_primary(FALLBACK_SHARE, |id| self.may_fall_back(id, min_position))
    }

    /// Whether a read that needs this position may go to the primary: a former one may be a lagging replica.
    /// A session read needs a claim of the role; for others the list is enough until an answer denies it.
    pub(super) fn may_fall_back(&self, primary: MemberId, min_position: Time) -> bool {
        let is_session_read = self.request.consistency() == Consistency::ReadYourWrites;
        let is_trusted = !is_session_read && !self.router.members[primary].denies_primary;
        is_trusted || self.has_applied(primary, min_position)
    }

    /// Where replicas check reads themselves, one with a stale position may be tried: the next in rotation of
    /// those that last reported within the bound, else the most advanced; without reports, all in rotation.
    fn select_stale(&self, replicas: &[Candidate], min_position: Time) -> Option<Selected> {
        let replicas_check = self.router.settings.lagging_reads != LaggingReads::ServedStale;
        if !replicas_check || min_position <= 0 || !self.request.rejected_by.is_empty() {
            return None;
        }
        let max_lag = self.router.now - min_position;
        let is_candidate = |m: &MemberState| !m.ejected && (m.position == 0 || m.lag <= 2 * max_lag);
        let latest = replicas.iter().filter(|(_, m)| is_candidate(m)).map(|(_, m)| m.position).max();
        let is_latest = |m: &MemberState| is_candidate(m) && Some(m.position) == latest;
        let selected =
            select_replica(replicas, |m| m.lag <= max_lag).or_else(|| select_replica(replicas, is_latest));
        selected.map(Selected::because(SelectionReason::LaggingReplica))
    }

    /// In sparse traffic all known positions become stale, and the reads of a large fleet would overload the
    /// primaries. A health check takes milliseconds, so reads wait for one first.
    fn awaits_health_check(&self, replicas: &[Candidate], min_position: Time) -> bool {
        let router = self.router;
        let router_checks = router.settings.lagging_reads == LaggingReads::ServedStale && min_position > 0;
        let is_pending = |m: &MemberState| m.is_check_pending_within(router.now, health_checks::MAX_WAIT);
        let will_report = |m: &MemberState| !m.ejected && (is_pending(m) || router.is_check_due(m));
        let may_wait = router_checks && router.settings.limits.health_checks;
        let shows_time = |id| router.clock_offset.is_none() && will_report(&router.members[id]);
        may_wait && (replicas.iter().any(|(_, m)| will_report(m)) || self.primary.is_some_and(shows_time))
    }

    /// The primary, if it is suitable and one more request fits within this share of its limit.
    fn select_primary(&self, share: f64, is_suitable: impl Fn(MemberId) -> bool) -> Option<Selected> {
        let member = self.primary_within(share).filter(|id| is_suitable(*id))?;
        let is_claimed = self.has_claimed(member);
        let reason =
            if is_claimed { SelectionReason::ClaimedPrimary } else { SelectionReason::ListedPrimary };
        Some(Selected { member, reason })
    }

    fn replicas_with_capacity(&self) -> Vec<Candidate<'a>> {
        let members = self.router.members.of_group(self.request.group());
        let replicas = members.filter(|(id, _)| Some(*id) != self.primary);
        replicas.filter(|(id, member)| self.is_available(*id, member, Role::Replica, FULL_LIMIT)).collect()
    }

    /// The primary, if one more request fits within this share of its limit.
    fn primary_within(&self, share: f64) -> Option<MemberId> {
        let is_available = |id| self.is_available(id, &self.router.members[id], Role::Primary, share);
        self.primary.filter(|id| is_available(*id))
    }

    fn is_available(&self, id: MemberId, member: &MemberState, role: Role, share: f64) -> bool {
        let is_reachable = !self.request.is_excluded(id) && member.has_connection_permit(self.router.now);
        let is_allowed = self.request.is_idempotent() || !member.ejected;
        is_reachable
            && is_allowed
            && self.router.accepts(member, role)
            && self.router.has_capacity(member, role, share)
    }

    /// Whether a member has applied all commits up to this time: it is the primary, or its position tells.
    /// One that is merely listed, or that denied the role to this router, may be a replica.
    pub(super) fn has_applied(&self, id: MemberId, time: Time) -> bool {
        let member = &self.router.members[id];
        self.has_claimed(id) && !member.denies_primary || member.position >= time
    }

    pub(super) fn has_claimed(&self, id: MemberId) -> bool {
        self.router.members.claimed_primary(self.request.group()) == Some(id)
    }
}

/// Weighted rotation over replicas that are fresh enough and have not clearly more in flight than the others.
fn select_replica(replicas: &[Candidate], is_fresh: impl Fn(&MemberState) -> bool) -> Option<MemberId> {
    let fresh: Vec<_> = replicas.iter().filter(|(_, member)| is_fresh(member)).collect();
    if let Some((id, _)) = fresh.iter().find(|(_, member)| member.ejected) {
        return Some(*id); // A half-open attempt is due; this read can be retried elsewhere.
    }
    let max_in_flight = mean_in_flight(&fresh) * MAX_IN_FLIGHT_RATIO + 1.0;
    let eligible = fresh.iter().filter(|(_, member)| f64::from(member.in_flight) <= max_in_flight);
    // Where connections are limited, members with a free connection precede those that need a new one.
    let order = |a: &MemberState, b: &MemberState| {
        let by_connection = a.needs_new_connection().cmp(&b.needs_new_connection());
        by_connection.then(a.virtual_time.total_cmp(&b.virtual_time))
    };
    eligible.min_by(|a, b| order(a.1, b.1)).map(|(id, _)| *id)
}
