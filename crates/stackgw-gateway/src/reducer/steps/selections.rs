//! Records of the router's selections: why each member was selected, and how the known primaries change.

use crate::reducer::context::Context;
use crate::reducer::state::Gateway;
use stackgw_router::api::{GroupId, MemberId, PrimaryChangeReason, RequestId, SelectionReason};

/// Each of this many changes of primaries is logged; of later ones, the 512th, the 1024th and so on.
const LOGGED_PRIMARY_CHANGES: u64 = 256;

impl Gateway {
    /// Counts an attempt by the reason for its member. Attempts at a primary that is known from the list alone, and half-open ones
    /// at an ejected primary, are logged now and then, with the request's id.
    pub(super) fn record_selection(
        &self,
        cx: &mut Context<'_>,
        request: RequestId,
        member: MemberId,
        reason: SelectionReason,
    ) {
        let counters = &mut *cx.counters;
        let (counter, description) = match reason {
            SelectionReason::FreshReplica => (&mut counters.selected_fresh, None),
            SelectionReason::LaggingReplica => (&mut counters.selected_lagging, None),
            SelectionReason::ClaimedPrimary => (&mut counters.selected_claimed, None),
            SelectionReason::PrimarySearch => (&mut counters.selected_search, None),
            SelectionReason::ListedPrimary => {
                (&mut counters.selected_listed, Some("listed primary"))
            }
            SelectionReason::HalfOpenPrimary => {
                (&mut counters.selected_half_open, Some("ejected primary"))
            }
        };
        *counter += 1;
        let count = *counter;
        if let Some(description) = description.filter(|_| count.is_power_of_two()) {
            let open = self.requests.get(request);
            let id = open.map_or("", |open| open.statement.id.as_str());
            let name = self.member_name(member);
            cx.log(format!(
                "request {id} to {description} {name}, count: {count}"
            ));
        }
    }

    pub(super) fn log_primary_change(
        &self,
        cx: &mut Context<'_>,
        group: GroupId,
        primary: Option<MemberId>,
        reason: PrimaryChangeReason,
    ) {
        cx.counters.primary_changes += 1;
        let count = cx.counters.primary_changes;
        if count > LOGGED_PRIMARY_CHANGES && !count.is_power_of_two() {
            return;
        }
        let name = primary.map_or("unknown", |member| self.member_name(member));
        let reason = match reason {
            PrimaryChangeReason::ClaimedInAnswer => "it says so in an answer",
            PrimaryChangeReason::ClaimedInReport => "by a health check or gossip",
            PrimaryChangeReason::DeniedInAnswer => "the last one denies the role in an answer",
            PrimaryChangeReason::DeniedInReport => {
                "the last one is a replica by a health check or gossip"
            }
            PrimaryChangeReason::Restarted => "the last one has restarted",
        };
        cx.log(format!("primary of group {}: {name} ({reason})", group.0));
    }

    fn member_name(&self, member: MemberId) -> &str {
        self.members
            .get(member)
            .map_or("a removed member", |endpoint| endpoint.name.as_str())
    }
}
