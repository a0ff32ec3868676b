//! An instance as a reader: what its session reads must see, asked of their homes.

use crate::identity::{NodeId, RequestNumber, SessionKey};
use stackgw_router::api::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// A read that waits for a home's word.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Lookup {
    pub(crate) ticket: RequestNumber,
    pub(crate) key: SessionKey,
    pub(crate) asked: NodeId,
    /// Homes that may be asked next.
    pub(crate) next: VecDeque<NodeId>,
    pub(crate) until: Time,
}

/// All of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(crate) struct Reader {
    pub(crate) lookups: BTreeMap<u64, Lookup>,
    /// Homes that gave no word of use are left alone until then, so that not every read waits for them.
    shunned: BTreeMap<NodeId, Time>,
}

impl Reader {
    /// Which of these homes may be asked now.
    pub(crate) fn worth_asking(
        &self,
        now: Time,
        homes: impl Iterator<Item = NodeId>,
    ) -> VecDeque<NodeId> {
        homes
            .filter(|home| self.shunned.get(home).is_none_or(|until| *until <= now))
            .collect()
    }

    pub(crate) fn shun(&mut self, now: Time, home: NodeId, span: Span) {
        self.shunned.insert(home, now + span);
    }

    pub(crate) fn forgive(&mut self, home: NodeId) {
        self.shunned.remove(&home);
    }

    /// The lookup that this home has answered. Danger: taken away by word from anybody else it would never be answered.
    pub(crate) fn answered(&mut self, nonce: u64, from: NodeId) -> Option<Lookup> {
        self.lookups
            .get(&nonce)
            .filter(|lookup| lookup.asked == from)?;
        self.lookups.remove(&nonce)
    }

    /// Lookups whose time is over.
    pub(crate) fn overdue(&self, now: Time) -> Vec<u64> {
        self.lookups
            .iter()
            .filter(|(_, l)| l.until <= now)
            .map(|(nonce, _)| *nonce)
            .collect()
    }
}
