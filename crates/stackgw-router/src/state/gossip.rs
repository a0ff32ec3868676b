//! Observations of members' roles and positions, and the updates about them for other routers.

use super::measure::LatencySample;
use crate::api::{
    Action, AttemptResult, GossipUpdate, LoadReport, MemberId, Outcome, PrimaryChangeReason, Time,
};
use std::collections::BTreeMap;

/// Source of an observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The answer to a request.
    Answer,
    /// A load report or another router's gossip, which may be old.
    Report,
}

/// What a member reported about its role and position.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Observation {
    /// When it was received.
    pub(crate) at: Time,
    /// The earliest time at which the member may have stated it.
    pub(crate) asked_at: Time,
    pub(crate) member: MemberId,
    pub(crate) is_primary: Option<bool>,
    pub(crate) position: Option<Time>,
    pub(crate) source: Source,
}

impl Observation {
    /// Only a replica rejects a request by its role or its lag, whether or not the answer names the role.
    pub(crate) fn of_answer(at: Time, result: &AttemptResult) -> Self {
        let AttemptResult { member, position, elapsed, .. } = *result;
        let implied = (result.outcome == Outcome::Misrouted).then_some(false);
        let is_primary = result.is_primary.or(implied);
        Observation { at, asked_at: at - elapsed, member, is_primary, position, source: Source::Answer }
    }

    pub(crate) fn of_report(at: Time, member: MemberId, report: &LoadReport) -> Self {
        let LoadReport { is_primary, position, .. } = *report;
        Observation { at, asked_at: at, member, is_primary, position, source: Source::Report }
    }

    pub(crate) fn of_gossip(at: Time, update: &GossipUpdate) -> Self {
        let GossipUpdate { member, is_primary, position, .. } = *update;
        Observation { at, asked_at: at, member, is_primary, position, source: Source::Report }
    }

    /// Why the known primary of the group changed, if this observation changed it.
    pub(crate) fn primary_change_reason(&self, is_claim: bool) -> PrimaryChangeReason {
        match (self.source, is_claim) {
            (Source::Answer, true) => PrimaryChangeReason::ClaimedInAnswer,
            (Source::Answer, false) => PrimaryChangeReason::DeniedInAnswer,
            (Source::Report, true) => PrimaryChangeReason::ClaimedInReport,
            (Source::Report, false) => PrimaryChangeReason::DeniedInReport,
        }
    }

    /// Converts the observation to an update for other routers, with the member's latency if it was measured.
    pub(crate) fn to_update(self, latency: Option<LatencySample>) -> GossipUpdate {
        let Observation { member, is_primary, position, .. } = self;
        let latency_ratio = latency.map_or(0.0, |sample| sample.ratio);
        let samples = latency.map_or(0, |sample| sample.count);
        GossipUpdate { member, is_primary, position, latency_ratio, samples }
    }
}

/// Updates collected for other routers, one per member, and the current gossip term.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    /// Whether updates are collected, because this router sends them or its host takes them.
    pub(crate) is_enabled: bool,
    updates: BTreeMap<MemberId, GossipUpdate>,
    /// Number of the current term. All routers derive it from their common clock.
    pub(crate) term: i64,
    /// When this router broadcasts the updates that it collects. `None` if it does not collect in this term.
    pub(crate) broadcast_at: Option<Time>,
}

impl GossipQueue {
    pub(crate) fn start_term(&mut self, term: i64) {
        self.term = term;
        self.broadcast_at = None;
    }

    pub(crate) fn push(&mut self, update: GossipUpdate) {
        if self.is_enabled {
            let queued = self.updates.entry(update.member);
            queued.and_modify(|earlier| earlier.merge(&update)).or_insert(update);
        }
    }

    pub(crate) fn take(&mut self) -> Vec<GossipUpdate> {
        std::mem::take(&mut self.updates).into_values().collect()
    }

    /// Takes all updates as a message to one router, or to all if `to` is `None`. Returns `None` if there are no
    /// updates.
    pub(crate) fn take_message(&mut self, to: Option<u32>) -> Option<Action> {
        let updates = self.take();
        (!updates.is_empty()).then_some(Action::SendGossip { to, updates })
    }
}

impl GossipUpdate {
    /// Merges a later update on the same member: keeps the latest position and averages the latency ratio. A claim of
    /// the primary role is dropped at a later position: others would date it by that.
    fn merge(&mut self, later: &GossipUpdate) {
        if later.position >= self.position {
            let is_same_position = later.position == self.position;
            let earlier = self.is_primary.filter(|is_primary| is_same_position || !is_primary);
            self.position = later.position;
            self.is_primary = later.is_primary.or(earlier);
        }
        let samples = self.samples + later.samples;
        let own_sum = self.latency_ratio * f64::from(self.samples);
        let sum = own_sum + later.latency_ratio * f64::from(later.samples);
        self.latency_ratio = sum / f64::from(samples.max(1));
        self.samples = samples;
    }
}
