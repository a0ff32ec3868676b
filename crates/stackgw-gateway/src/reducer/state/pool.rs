//! Idle connections to members: the most recently used one is reused first, the one that was idle longest is closed first.

use crate::reducer::ids::ConnectionId;
use stackgw_router::api::{MemberId, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// An idle connection, ordered by when it became idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IdleConnection {
    since: Time,
    id: ConnectionId,
}

/// The idle connections of all members.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    by_member: BTreeMap<MemberId, BTreeSet<IdleConnection>>,
    all: BTreeSet<IdleConnection>,
    entries: HashMap<ConnectionId, (MemberId, IdleConnection)>,
}

impl ConnectionPool {
    pub(super) fn insert(&mut self, member: MemberId, id: ConnectionId, now: Time) {
        let idle = IdleConnection { since: now, id };
        self.by_member.entry(member).or_default().insert(idle);
        self.all.insert(idle);
        self.entries.insert(id, (member, idle));
    }

    /// Counts a member's idle connections.
    pub(super) fn count(&self, member: MemberId) -> usize {
        self.by_member.get(&member).map_or(0, BTreeSet::len)
    }

    /// Takes the member's most recently used connection.
    pub(super) fn take_latest(&mut self, member: MemberId) -> Option<ConnectionId> {
        let id = self.by_member.get(&member)?.last()?.id;
        self.remove(id);
        Some(id)
    }

    /// Takes the connection that has been idle longest.
    pub(super) fn take_oldest(&mut self) -> Option<ConnectionId> {
        let id = self.all.first()?.id;
        self.remove(id);
        Some(id)
    }

    /// Takes all connections that became idle before a time, the one idle longest first.
    pub(super) fn take_idle_since_before(&mut self, before: Time) -> Vec<ConnectionId> {
        let mut expired = Vec::new();
        while self.all.first().is_some_and(|idle| idle.since < before) {
            expired.extend(self.take_oldest());
        }
        expired
    }

    /// Takes all connections of one member, the most recently used first.
    pub(super) fn take_all(&mut self, member: MemberId) -> Vec<ConnectionId> {
        std::iter::from_fn(|| self.take_latest(member)).collect()
    }

    /// Removes a connection, if it is idle.
    pub(super) fn remove(&mut self, id: ConnectionId) {
        let Some((member, idle)) = self.entries.remove(&id) else {
            return;
        };
        self.all.remove(&idle);
        if let Some(of_member) = self.by_member.get_mut(&member) {
            of_member.remove(&idle);
            if of_member.is_empty() {
                self.by_member.remove(&member);
            }
        }
    }
}
