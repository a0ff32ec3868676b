//! The directory of the members that have been in an endpoint list.

use crate::discovery::ListEntry;
use crate::reducer::backend::BackendSelection;
use stackgw_router::api::{Lifecycle, MemberId, Span, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// A member that has been in an endpoint list.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) name: String,
    pub(crate) group: u32,
    pub(crate) address: SocketAddr,
    /// It speaks another frontend's protocol.
    pub(crate) is_backend: bool,
    /// When its process started; if unknown, when the list was received. `None` if it started long ago.
    pub(crate) started_at: Option<Time>,
    /// Since when the list has it as draining or removed, if that is binding.
    pub(crate) draining_since: Option<Time>,
}

/// All listed members by id and by name, until the router forgets them.
#[derive(Debug)]
pub(crate) struct MemberDirectory {
    endpoints: BTreeMap<MemberId, Endpoint>,
    ids: HashMap<String, MemberId>,
    next_id: u32,
    backends: BackendSelection,
}

impl MemberDirectory {
    pub(crate) fn new(backends: BackendSelection) -> Self {
        MemberDirectory {
            endpoints: BTreeMap::new(),
            ids: HashMap::new(),
            next_id: 0,
            backends,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.endpoints.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    pub(crate) fn get(&self, member: MemberId) -> Option<&Endpoint> {
        self.endpoints.get(&member)
    }

    pub(crate) fn id_of(&self, name: &str) -> Option<MemberId> {
        self.ids.get(name).copied()
    }

    pub(crate) fn has_group(&self, group: u32) -> bool {
        self.endpoints
            .values()
            .any(|endpoint| endpoint.group == group)
    }

    /// Adds a new member.
    pub(crate) fn insert(&mut self, entry: &ListEntry) -> MemberId {
        let id = MemberId(self.next_id);
        self.next_id += 1;
        self.ids.insert(entry.id.clone(), id);
        let endpoint = Endpoint {
            name: entry.id.clone(),
            group: entry.cell,
            address: entry.address,
            is_backend: self.backends.includes(entry),
            started_at: None,
            draining_since: None,
        };
        self.endpoints.insert(id, endpoint);
        id
    }

    pub(crate) fn remove(&mut self, member: MemberId) -> Option<Endpoint> {
        let endpoint = self.endpoints.remove(&member)?;
        self.ids.remove(&endpoint.name);
        Some(endpoint)
    }

    /// Sets a member's address. Returns whether it has changed.
    pub(crate) fn move_to(&mut self, member: MemberId, address: SocketAddr) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&member) else {
            return false;
        };
        std::mem::replace(&mut endpoint.address, address) != address
    }

    /// Updates a member's group, start time and lifecycle from its list entry.
    pub(crate) fn update(
        &mut self,
        now: Time,
        member: MemberId,
        entry: &ListEntry,
        started_at: Option<Time>,
        removal_is_advisory: bool,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&member) else {
            return;
        };
        endpoint.group = entry.cell;
        endpoint.started_at = started_at;
        let is_binding = match entry.phase {
            Lifecycle::Serving => false,
            Lifecycle::Draining => true,
            Lifecycle::Removed => !removal_is_advisory || endpoint.draining_since.is_some(),
        };
        endpoint.draining_since = is_binding.then(|| endpoint.draining_since.unwrap_or(now));
    }

    /// Marks members that are missing from a complete list as draining since now, unless they are draining already.
    pub(crate) fn drain_unlisted(&mut self, now: Time, listed: &BTreeSet<MemberId>) {
        let endpoints = self.endpoints.iter_mut();
        for (_, endpoint) in endpoints.filter(|(id, _)| !listed.contains(id)) {
            endpoint.draining_since = endpoint.draining_since.or(Some(now));
        }
    }

    /// Returns whether a member has been draining for longer than the grace.
    pub(crate) fn is_past_grace(&self, now: Time, member: MemberId, grace: Span) -> bool {
        self.get(member)
            .is_some_and(|endpoint| endpoint.is_past_grace(now, grace))
    }

    pub(crate) fn past_grace(&self, now: Time, grace: Span) -> Vec<MemberId> {
        let endpoints = self.endpoints.iter();
        let past = endpoints.filter(|(_, endpoint)| endpoint.is_past_grace(now, grace));
        past.map(|(id, _)| *id).collect()
    }
}

impl Endpoint {
    fn is_past_grace(&self, now: Time, grace: Span) -> bool {
        self.draining_since.is_some_and(|since| now - since > grace)
    }
}
