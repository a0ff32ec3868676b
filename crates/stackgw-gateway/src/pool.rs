//! Idle connections to members: the one used last is handed out first, the one idle longest goes first.

use crate::reducer::ConnectionId;
use stackgw_router::api::{MemberId, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The idle connections of all members.
#[derive(Debug, Default)]
pub struct Pool {
    /// For each member, by when they fell idle.
    members: BTreeMap<MemberId, BTreeSet<(Time, ConnectionId)>>,
    /// All of them, by when they fell idle.
    all: BTreeSet<(Time, ConnectionId)>,
    since: HashMap<ConnectionId, (Time, MemberId)>,
}

impl Pool {
    /// A connection falls idle.
    pub fn put(&mut self, member: MemberId, id: ConnectionId, now: Time) {
        self.members.entry(member).or_default().insert((now, id));
        self.all.insert((now, id));
        self.since.insert(id, (now, member));
    }

    /// How many of a member's there are.
    pub fn idle(&self, member: MemberId) -> usize {
        self.members.get(&member).map_or(0, BTreeSet::len)
    }

    /// The member's connection used last.
    pub fn take(&mut self, member: MemberId) -> Option<ConnectionId> {
        let (_, id) = *self.members.get(&member)?.last()?;
        self.remove(id);
        Some(id)
    }

    /// A connection is no longer idle, or no longer there.
    pub fn remove(&mut self, id: ConnectionId) {
        if let Some((at, member)) = self.since.remove(&id) {
            self.all.remove(&(at, id));
            if let Some(idle) = self.members.get_mut(&member) {
                idle.remove(&(at, id));
                if idle.is_empty() {
                    self.members.remove(&member);
                }
            }
        }
    }

    /// Takes the connection that has been idle longest.
    pub fn oldest(&mut self) -> Option<ConnectionId> {
        let (_, id) = *self.all.first()?;
        self.remove(id);
        Some(id)
    }

    /// Takes all that have been idle since before a moment.
    pub fn expired(&mut self, before: Time) -> Vec<ConnectionId> {
        let mut expired = Vec::new();
        while self.all.first().is_some_and(|(at, _)| *at < before) {
            expired.extend(self.oldest());
        }
        expired
    }

    /// Takes all of one member.
    pub fn drain(&mut self, member: MemberId) -> Vec<ConnectionId> {
        std::iter::from_fn(|| self.take(member)).collect()
    }
}
