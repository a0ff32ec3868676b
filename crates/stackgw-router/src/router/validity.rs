//! How long a decision to send holds: an attempt may wait for its connection, and is checked once more before
//! it is written.

use super::selection::Selected;
use super::Router;
use crate::api::*;
use crate::state::{MemberState, RequestState};

/// Subtracted from the time for which members remember a key, in ticks.
const KEY_WINDOW_MARGIN_TICKS: Span = 2;

impl Router {
    /// Latest time at which an attempt may be written. `None`: no such time but the request's deadline.
    pub(super) fn write_by(
        &self,
        request: &RequestState,
        member: &MemberState,
        selected: Selected,
    ) -> Option<Time> {
        let position_end = self.position_valid_until(&request.class, member, selected);
        position_end.into_iter().chain(self.key_valid_until(request)).min()
    }

    /// Until when members drop a repeat of a request that may have run. `None`: it may be sent at any time.
    pub(super) fn key_valid_until(&self, request: &RequestState) -> Option<Time> {
        let Idempotency::WithKey { window, .. } = request.class.idempotency else { return None };
        let first = request.may_have_run_at?;
        Some(first.saturating_add(window - self.settings.tick * KEY_WINDOW_MARGIN_TICKS))
    }

    /// Whether an attempt may still be written to the member that it was sent to, as far as its consistency
    /// tells. The host asks this right before it writes: since the decision, the member may have denied the
    /// role of primary, or another one may have claimed it. The host checks times ([`Action::Send`]).
    pub fn may_write(&self, request: RequestId, member: MemberId) -> bool {
        let Some(request) = self.requests.get(request) else { return false };
        if self.members.get(member).is_none() {
            return false;
        }
        let members_check = self.settings.lagging_reads != LaggingReads::ServedStale;
        let selection = self.selection(request);
        match request.consistency() {
            Consistency::Write | Consistency::Eventual => true,
            Consistency::Strong => {
                selection.has_claimed(member) && selection.has_applied(member, request.arrived_at)
            }
            _ if members_check => true,
            Consistency::ReadYourWrites => {
                selection.has_applied(member, request.request.last_write.unwrap_or(0))
            }
            Consistency::BoundedStaleness(bound) => selection.may_fall_back(member, self.min_position(bound)),
        }
    }
}
