//! What the decision module keeps: records and arithmetic on them. Nothing here decides or is tuned; every
//! decision stands in router.rs.

use crate::api::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What the router knows of one member.
#[derive(Debug, Default, Clone)]
pub(crate) struct MemberState {
    pub(crate) group: GroupId,
    pub(crate) weight: f64,
    pub(crate) started: Option<Time>,
    pub(crate) lifecycle: Lifecycle,
    /// When this router was told that the member drains or is gone.
    pub(crate) told: Time,
    /// Listed as gone where that does not bind: it may serve all the same.
    pub(crate) removal_in_doubt: bool,
    pub(crate) listed_primary: bool,
    /// Latest position heard; it never goes back, so it holds from then on.
    pub(crate) position: Time,
    /// How far behind it was when last heard.
    pub(crate) lag: Span,
    /// Position (or moment) of its latest word that it is a replica.
    pub(crate) replica_as_of: Time,
    pub(crate) in_flight: u32,
    pub(crate) sent_at: Time,
    pub(crate) limit: f64,
    pub(crate) samples_since_cut: u32,
    pub(crate) strain: f64,
    pub(crate) latency: f64,
    /// When the latest of those attempts was sent that have been answered, and the share that never is.
    pub(crate) heard: Time,
    pub(crate) loss: f64,
    /// Since when the requests in flight have seen no answer.
    pub(crate) quiet_since: Time,
    /// Out of rotation until a trial succeeds.
    pub(crate) out: bool,
    pub(crate) half_open_at: Time,
    pub(crate) half_open_wait: Span,
    pub(crate) failure_score: u32,
    pub(crate) checked_at: Time,
    pub(crate) check_pending: bool,
    /// Its place in the rotation: the member with the least goes next.
    pub(crate) turn: f64,
    /// Sends to it while cold, within the last fall window.
    pub(crate) cold_sends: VecDeque<Time>,
    /// Where connections to it are dealt: those that are free, and from when on one may be opened.
    pub(crate) connection_permits: Option<(u32, Time)>,
}

impl MemberState {
    /// A member of which nothing has been heard.
    pub(crate) fn unheard(member: &Member) -> Self {
        MemberState {
            group: member.group,
            started: member.started_at,
            lag: Span::MAX / 2,
            ..MemberState::default()
        }
    }

    /// Share of its capacity that it surely has by its age.
    pub(crate) fn slow_start_factor(&self, now: Time, rules: &Obligations) -> f64 {
        let age = self.started.map_or(rules.warm_up_time, |s| (now - s).max(0)) as f64;
        rules.cold_capacity_share
            + (1.0 - rules.cold_capacity_share) * (age / rules.warm_up_time.max(1) as f64).min(1.0)
    }

    pub(crate) fn belief(&self) -> MemberSnapshot {
        let MemberState { in_flight, out, strain, limit, .. } = *self;
        MemberSnapshot {
            in_flight,
            ejected: out,
            latency_ratio: strain,
            concurrency_limit: limit,
            position: Some(self.position).filter(|at| *at > 0),
        }
    }

    /// It can be reached now.
    pub(crate) fn has_connection_permit(&self, now: Time) -> bool {
        self.connection_permits.is_none_or(|(free, from)| free > 0 || now >= from)
    }

    /// Connections to it are dealt, and none is free.
    pub(crate) fn needs_new_connection(&self) -> bool {
        self.connection_permits.is_some_and(|(free, _)| free == 0)
    }

    /// Something goes to it: one way less, until the host says what there is.
    pub(crate) fn take_connection_permit(&mut self) {
        self.connection_permits =
            self.connection_permits
                .map(|(free, from)| if free > 0 { (free - 1, from) } else { (0, Time::MAX) });
    }

    /// A probe is out, and was sent inside this span.
    pub(crate) fn is_check_pending_within(&self, now: Time, span: Span) -> bool {
        self.check_pending && now - self.checked_at < span
    }

    /// Gone, or taken to be gone and out of use, since before a moment, with nothing in flight.
    fn is_unused_since(&self, before: Time) -> bool {
        let gone = self.lifecycle == Lifecycle::Removed || self.removal_in_doubt && self.out;
        gone && self.in_flight == 0 && self.told < before
    }

    /// No probe is out, and none was sent inside this span.
    pub(crate) fn is_unchecked_for(&self, now: Time, span: Span) -> bool {
        !self.check_pending && now - self.checked_at >= span
    }
}

#[derive(Debug, Default)]
pub(crate) struct GroupState {
    /// Who belongs to it, so that no request walks over the whole fleet.
    pub(crate) members: Vec<MemberId>,
    /// Last member to claim the primary's role, and the claim's position.
    pub(crate) primary: Option<MemberId>,
    pub(crate) claimed_at: Time,
    pub(crate) queued: BTreeSet<RequestId>,
    /// How far the rotation has come.
    pub(crate) turn: f64,
}

/// Drops the members that have been past use since before a moment, and groups that are left with nothing.
pub(crate) fn forget_unavailable(
    nodes: &mut BTreeMap<MemberId, MemberState>,
    groups: &mut BTreeMap<GroupId, GroupState>,
    before: Time,
) -> Vec<Action> {
    let past: Vec<_> = nodes.iter().filter(|(_, n)| n.is_unused_since(before)).map(|(id, _)| *id).collect();
    for id in &past {
        nodes.remove(id);
        for group in groups.values_mut() {
            group.members.retain(|member| member != id);
            group.primary = group.primary.filter(|primary| primary != id);
        }
    }
    groups.retain(|_, group| !group.members.is_empty() || !group.queued.is_empty());
    past.into_iter().map(Action::ForgetMember).collect()
}

/// The ledger entry of a request: what was sent, what may have run.
#[derive(Debug, Default)]
pub(crate) struct RequestState {
    pub(crate) request: Request,
    pub(crate) arrived: Time,
    pub(crate) sent: u32,
    pub(crate) sent_at: Time,
    pub(crate) out: Vec<(u32, MemberId)>,
    /// When the first attempt that may have run was sent.
    pub(crate) may_have_run: Option<Time>,
    /// Members that turned it away since the last probe round, and those that answered with an error.
    pub(crate) rejected_by: Vec<MemberId>,
    pub(crate) failed_at: Vec<MemberId>,
}

impl GossipUpdate {
    /// Adds later word of the same member: the most advanced position, the mean strain.
    pub(crate) fn add(&mut self, word: &GossipUpdate) {
        if word.position >= self.position {
            (self.position, self.is_primary) = (word.position, word.is_primary.or(self.is_primary));
        }
        let answers = self.samples + word.samples;
        let sum = self.latency_ratio * f64::from(self.samples) + word.latency_ratio * f64::from(word.samples);
        (self.latency_ratio, self.samples) = (sum / f64::from(answers.max(1)), answers);
    }
}

/// A share below one that differs between routers and members.
pub(crate) fn hash_fraction(mix: u64) -> f64 {
    let mix = (mix ^ (mix >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    ((mix ^ (mix >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 40) as f64 / (1u64 << 24) as f64
}
