//! All members, and the groups that they belong to.

use super::measure::Role;
use super::member::{Candidate, MemberState};
use crate::api::{GroupId, Lifecycle, Member, MemberId, RequestId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// One replication group.
#[derive(Debug, Default)]
pub(crate) struct GroupState {
    /// Its members, so that requests need not iterate over all members.
    members: Vec<MemberId>,
    /// Last member to claim the primary role.
    pub(crate) primary: Option<MemberId>,
    /// The position of that claim.
    pub(crate) claimed_at: Time,
    pub(crate) queued: BTreeSet<RequestId>,
    /// Virtual time of the weighted rotation over its members.
    virtual_time: f64,
}

impl GroupState {
    /// Records that the member is not the primary. Returns whether it was the known one.
    pub(crate) fn clear_primary(&mut self, member: MemberId) -> bool {
        let was_primary = self.primary == Some(member);
        if was_primary {
            self.primary = None;
        }
        was_primary
    }

    /// Moves a member that is used now back in the rotation by `step`, which is smaller for a higher weight. A member
    /// that was not used for a while gets a credit of at most one step at weight 1.
    pub(crate) fn advance_rotation(&mut self, member: &mut MemberState, step: f64) {
        self.virtual_time = self.virtual_time.max(member.virtual_time);
        member.virtual_time = member.virtual_time.max(self.virtual_time - 1.0) + step;
    }
}

/// How many members of a group have limited connections, and to how many of these this router is connected.
#[derive(Debug, Default)]
pub(crate) struct ConnectionCounts {
    pub(crate) limited: u32,
    pub(crate) connected: u32,
}

/// All members by identifier, and the groups that they belong to.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<MemberId, MemberState>,
    groups: BTreeMap<GroupId, GroupState>,
    /// Whether a dropped member's answer denied the primary role. A member that is listed from then on may be that one
    /// under a new identifier.
    has_dropped_denial: bool,
}

/// Returns a member; panics if it is not in the table.
impl Index<MemberId> for MemberTable {
    type Output = MemberState;

    fn index(&self, id: MemberId) -> &MemberState {
        &self.members[&id]
    }
}

impl MemberTable {
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = Candidate<'_>> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    pub(crate) fn get(&self, id: MemberId) -> Option<&MemberState> {
        self.members.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: MemberId) -> Option<&mut MemberState> {
        self.members.get_mut(&id)
    }

    pub(crate) fn modify(&mut self, id: MemberId, change: impl FnOnce(&mut MemberState)) {
        if let Some(member) = self.members.get_mut(&id) {
            change(member);
        }
    }

    pub(crate) fn modify_all(&mut self, change: impl FnMut(&mut MemberState)) {
        self.members.values_mut().for_each(change);
    }

    /// Members that are missing from a complete list.
    pub(crate) fn missing_from_mut<'a>(
        &'a mut self,
        endpoints: &'a [Member],
    ) -> impl Iterator<Item = &'a mut MemberState> {
        let is_listed = |id: MemberId| endpoints.iter().any(|endpoint| endpoint.id == id);
        let missing = self.members.iter_mut().filter(move |(id, _)| !is_listed(**id));
        missing.map(|(_, member)| member)
    }

    /// An endpoint's member, inserted with the initial state if it is not known yet, and its group. Once a member that
    /// denied the primary role has been dropped, an inserted one counts as having denied it.
    pub(crate) fn get_or_insert(
        &mut self,
        endpoint: &Member,
        initial: &MemberState,
    ) -> (&mut MemberState, &mut GroupState) {
        let group = self.groups.entry(endpoint.group).or_default();
        let member = self.members.entry(endpoint.id).or_insert_with(|| {
            group.members.push(endpoint.id);
            MemberState { denies_primary: self.has_dropped_denial, ..initial.clone() }
        });
        (member, group)
    }

    /// A member and its group.
    pub(crate) fn with_group(&mut self, id: MemberId) -> Option<(&mut MemberState, &mut GroupState)> {
        let member = self.members.get_mut(&id)?;
        let group = self.groups.entry(member.group).or_default();
        Some((member, group))
    }

    pub(crate) fn of_group(&self, group: GroupId) -> impl Iterator<Item = Candidate<'_>> {
        let ids = self.groups.get(&group).into_iter().flat_map(|group| &group.members);
        ids.map(|id| (*id, &self.members[id]))
    }

    /// The last member known to have claimed the primary role.
    pub(crate) fn claimed_primary(&self, group: GroupId) -> Option<MemberId> {
        self.groups.get(&group).and_then(|group| group.primary)
    }

    pub(crate) fn groups_where(&self, matches: impl Fn(&GroupState) -> bool) -> Vec<GroupId> {
        self.groups.iter().filter(|(_, group)| matches(group)).map(|(id, _)| *id).collect()
    }

    /// Adds a request to its group's queue.
    pub(crate) fn queue(&mut self, group: GroupId, request: RequestId) {
        self.groups.entry(group).or_default().queued.insert(request);
    }

    /// Removes a request from its group's queue.
    pub(crate) fn unqueue(&mut self, group: GroupId, request: RequestId) {
        self.groups.entry(group).or_default().queued.remove(&request);
    }

    /// Requests queued for a group.
    pub(crate) fn queued(&self, group: GroupId) -> &BTreeSet<RequestId> {
        const EMPTY: &BTreeSet<RequestId> = &BTreeSet::new();
        self.groups.get(&group).map_or(EMPTY, |group| &group.queued)
    }

    /// Takes all requests out of a group's queue.
    pub(crate) fn take_queued(&mut self, group: GroupId) -> BTreeSet<RequestId> {
        self.groups.get_mut(&group).map(|group| std::mem::take(&mut group.queued)).unwrap_or_default()
    }

    pub(crate) fn serving(&self) -> impl Iterator<Item = Candidate<'_>> {
        self.iter().filter(|(_, member)| member.lifecycle == Lifecycle::Serving)
    }

    /// Number of serving members known to have this role.
    pub(crate) fn count_serving(&self, role: Role) -> usize {
        let role_of =
            |id, member: &MemberState| Role::primary_if(self.claimed_primary(member.group) == Some(id));
        self.serving().filter(|(id, member)| role_of(*id, member) == role).count()
    }

    /// Connection counts of the member's group. Zero if connections to the member are not limited.
    pub(crate) fn connection_counts(&self, member: &MemberState) -> ConnectionCounts {
        let mut counts = ConnectionCounts::default();
        if member.connection_permits.is_some() {
            let peers = self.of_group(member.group).map(|(_, peer)| peer);
            for peer in peers.filter(|peer| peer.connection_permits.is_some()) {
                counts.limited += 1;
                counts.connected += u32::from(!peer.needs_new_connection() || peer.in_flight > 0);
            }
        }
        counts
    }

    /// Drops members that have been unavailable since before this time, and groups left without members and queued
    /// requests. Returns the dropped members.
    pub(crate) fn forget_unavailable(&mut self, before: Time) -> Vec<MemberId> {
        let unused = self.members.iter().filter(|(_, member)| member.is_unused_since(before));
        let forgotten: Vec<MemberId> = unused.map(|(id, _)| *id).collect();
        for id in &forgotten {
            let dropped = self.members.remove(id);
            self.has_dropped_denial |= dropped.is_some_and(|member| member.denies_primary);
            for group in self.groups.values_mut() {
                group.members.retain(|member| member != id);
                group.clear_primary(*id);
            }
        }
        self.groups.retain(|_, group| !group.members.is_empty() || !group.queued.is_empty());
        forgotten
    }
}
