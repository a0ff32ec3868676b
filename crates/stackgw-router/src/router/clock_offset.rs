//! Staleness and warm-up where the host's clock may differ from the members'.

use super::selection::Selected;
use super::Router;
use crate::api::*;
use crate::state::MemberState;

/// Subtracted from staleness bounds (at most half of each) for the time from the decision to the send.
const STALENESS_MARGIN: Span = 100 * MS;

impl Router {
    /// The position that a member must have reached to serve a read with this staleness bound.
    pub(super) fn min_position(&self, bound: Span) -> Time {
        let max_staleness = (bound - STALENESS_MARGIN).max(bound / 2);
        self.latest_members_time().map_or(Time::MAX, |now| now.saturating_sub(max_staleness))
    }

    /// Until when a member's known position satisfies a read that goes to it for that position. `None`: for
    /// ever, or the member is trusted as the primary, or it checks reads itself.
    pub(super) fn position_valid_until(
        &self,
        class: &Class,
        member: &MemberState,
        selected: Selected,
    ) -> Option<Time> {
        let Consistency::BoundedStaleness(bound) = class.consistency else { return None };
        let is_trusted = selected.reason != SelectionReason::FreshReplica && !member.denies_primary;
        let members_check = self.settings.lagging_reads != LaggingReads::ServedStale;
        let slack = member.position.saturating_sub(self.min_position(bound));
        (!is_trusted && !members_check).then_some(self.now.saturating_add(slack))
    }

    /// The members' time, as late as it may be; `None` if it is not known. Replicas that check reads
    /// themselves need no such time, so the host's is taken.
    fn latest_members_time(&self) -> Option<Time> {
        let replicas_check = self.settings.lagging_reads != LaggingReads::ServedStale;
        let offset = self.clock_offset.or(replicas_check.then_some(0));
        offset.map(|offset| self.now + offset.max(0))
    }

    /// Whether a member's position is older than this, as far as is known.
    pub(super) fn is_position_older(&self, member: &MemberState, age: Span) -> bool {
        self.latest_members_time().is_none_or(|now| now - member.position > age)
    }

    /// Share of its full capacity that a member is guaranteed to have. A host whose clock is ahead would
    /// take a cold member for a warm one.
    pub(super) fn slow_start_factor(&self, member: &MemberState) -> f64 {
        let members_now = self.now + self.clock_offset.unwrap_or(0).min(0);
        member.slow_start_factor(members_now, &self.settings.obligations)
    }
}
