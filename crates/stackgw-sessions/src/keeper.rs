//! An instance as a keeper: the marks that it holds for others, and from whom it would have heard.

use crate::identity::{NodeId, Peer};
use crate::message::LeaseGrant;
use crate::positions::SessionPositions;
use crate::replica_set::ReplicaSet;
use crate::uncertainty::UncertaintyReason;
use stackgw_router::api::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// Nothing of a source is missing.
pub(crate) const ALWAYS: Time = Time::MIN / 2;
/// Questions for a pledge that are remembered for each source.
const ASKED_MOST: usize = 8;

/// Another keeper as a source of writes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Heard {
    /// The life that its last pledge came from; 0: none came.
    pub(crate) incarnation: u64,
    /// Its pledge holds until then.
    pub(crate) until: Time,
    /// Everything that left there since then has been acknowledged here.
    pub(crate) known_from: Time,
    /// That is on the disk, for a source that nothing is missing of.
    pub(crate) on_disk: bool,
    /// It said that its roster is another.
    pub(crate) differs: bool,
    /// Questions that are out, and when each was sent.
    asked: VecDeque<(u64, Time)>,
}

/// Acknowledgements that wait for the disk.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Ack {
    pub(crate) record: u64,
    pub(crate) to: Peer,
    pub(crate) seqs: Vec<u64>,
}

/// All of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Keeper {
    pub(crate) marks: SessionPositions,
    pub(crate) heard: BTreeMap<NodeId, Heard>,
    /// Everything of this instance's own since then is here.
    pub(crate) own_from: Time,
    pub(crate) own_on_disk: bool,
    pub(crate) acks: VecDeque<Ack>,
    pub(crate) ask_at: Time,
    /// The disk failed: nothing is acknowledged any more, so nothing may be known for sure.
    pub(crate) broken: bool,
}

impl Keeper {
    pub(crate) fn new(now: Time, marks: SessionPositions) -> Self {
        Keeper {
            marks,
            heard: BTreeMap::new(),
            own_from: now,
            own_on_disk: false,
            acks: VecDeque::new(),
            ask_at: now,
            broken: false,
        }
    }

    pub(crate) fn take_roster(&mut self, now: Time, me: NodeId, roster: &ReplicaSet) {
        self.heard.retain(|node, _| roster.contains(*node));
        for node in roster.replicas().iter().filter(|node| **node != me) {
            let heard = self.heard.entry(*node).or_insert_with(|| Heard {
                incarnation: 0,
                until: now,
                known_from: now,
                on_disk: false,
                differs: false,
                asked: VecDeque::new(),
            });
            // A pledge given under another roster says nothing of those sessions whose home this keeper has become.
            (heard.until, heard.known_from, heard.on_disk) = (now, now, false);
            heard.asked.clear();
        }
        self.ask_at = now;
    }

    /// The disk was an old one: what it said of others is void, and what was held since is missing.
    pub(crate) fn void(&mut self, now: Time) {
        (self.own_from, self.own_on_disk) = (now, false);
        for heard in self.heard.values_mut() {
            (
                heard.incarnation,
                heard.until,
                heard.known_from,
                heard.on_disk,
            ) = (0, now, now, false);
            heard.asked.clear();
        }
        self.ask_at = now;
    }

    pub(crate) fn asked(&mut self, now: Time, node: NodeId, nonce: u64) {
        if let Some(heard) = self.heard.get_mut(&node) {
            if heard.asked.len() >= ASKED_MOST {
                heard.asked.pop_front();
            }
            heard.asked.push_back((nonce, now));
        }
    }

    /// A pledge has come. It counts from when it was asked for, as its giver counts from later.
    pub(crate) fn pledged(&mut self, now: Time, from: Peer, lease: Span, grant: &LeaseGrant) {
        let LeaseGrant {
            nonce,
            complete_for: covers,
            unbroken_since,
            ..
        } = *grant;
        let Some(heard) = self.heard.get_mut(&from.node) else {
            return;
        };
        let Some(at) = heard.asked.iter().position(|(n, _)| *n == nonce) else {
            return;
        };
        let Some((_, asked)) = heard.asked.remove(at) else {
            return;
        };
        if from.incarnation < heard.incarnation || asked + lease <= now {
            return;
        }
        // What its earlier lives let out is known only if this one answers for them.
        let unbroken = heard.incarnation != 0 && heard.incarnation >= unbroken_since;
        let fresh = now.saturating_sub(covers.max(0));
        if !unbroken {
            (heard.known_from, heard.on_disk) = (fresh, false);
        }
        heard.known_from = heard.known_from.min(fresh);
        if from.incarnation > heard.incarnation {
            (heard.incarnation, heard.on_disk) = (from.incarnation, false);
        }
        heard.until = heard.until.max(asked + lease);
        heard.differs = false;
    }

    /// Another life of a source has been heard: pledges of earlier ones hold no more.
    pub(crate) fn met(&mut self, now: Time, peer: Peer) -> bool {
        let Some(heard) = self.heard.get_mut(&peer.node) else {
            return true;
        };
        if peer.incarnation > heard.incarnation && heard.until > now {
            heard.until = now;
        }
        peer.incarnation >= heard.incarnation
    }

    /// Whether every write that has left is known here; else why not.
    pub(crate) fn sure(&self, now: Time, horizon: Span) -> Result<(), UncertaintyReason> {
        let young = |known_from: Time| known_from > now.saturating_sub(horizon);
        if self.broken {
            return Err(UncertaintyReason::StoreFailed);
        }
        for (node, heard) in &self.heard {
            if heard.until <= now {
                return Err(if heard.differs {
                    UncertaintyReason::ReplicaSetMismatch(*node)
                } else {
                    UncertaintyReason::NoLease(*node)
                });
            }
        }
        match self.heard.iter().find(|(_, heard)| young(heard.known_from)) {
            Some((node, _)) => Err(UncertaintyReason::IncompleteHistory(*node)),
            None if young(self.own_from) => Err(UncertaintyReason::RecentlyStarted),
            None => Ok(()),
        }
    }
}
