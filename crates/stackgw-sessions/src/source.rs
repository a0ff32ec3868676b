//! An instance as a source of writes: its own marks, to whom they are owed, and what it has pledged.

use crate::identity::{NodeId, Peer, RequestNumber, SessionKey};
use crate::message::PositionUpdate;
use crate::replica_set::ReplicaSet;
use stackgw_router::api::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Shares of a lease that its giver adds to it: clocks that run at different rates must not end it there first.
const DRIFT_PART: Span = 16;

/// One of this instance's writes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Own {
    pub(crate) key: SessionKey,
    pub(crate) position: Time,
    /// Whose answer waits for it; `None`: it has left, at `at`.
    pub(crate) waits: Option<RequestNumber>,
    /// When the write was served, then when its answer left.
    pub(crate) at: Time,
    pub(crate) told: Time,
    /// The record that must be on the disk first, if there is one.
    pub(crate) record: Option<u64>,
    /// That record says that some home has not acknowledged it.
    pub(crate) owed: bool,
}

impl Own {
    pub(crate) fn update(&self, sequence: u64) -> PositionUpdate {
        PositionUpdate {
            sequence,
            key: self.key,
            position: self.position,
        }
    }
}

/// What this instance owes one keeper.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Link {
    /// The life that it was last heard in.
    pub(crate) peer: Peer,
    /// The last pledge given to it binds until then, by the roster it was given under.
    pub(crate) until: Time,
    pub(crate) roster: ReplicaSet,
    /// Own marks that it has not acknowledged.
    pub(crate) owes: BTreeSet<u64>,
    /// Of those that have left, the last one sent since it last asked.
    pub(crate) sent: u64,
}

/// What stands between a write's answer and its leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Gate {
    /// Nothing.
    Open,
    /// It may leave once the disk says that it is owed.
    Record,
    /// A home must acknowledge it or the pledge to that home must end, or the disk must have a record.
    Shut,
}

/// All of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Source {
    pub(crate) own: BTreeMap<u64, Own>,
    next: u64,
    pub(crate) links: BTreeMap<NodeId, Link>,
    /// In the order in which their answers left.
    left: VecDeque<(Time, u64)>,
    /// From when on no own mark is missing here.
    pub(crate) covered_from: Time,
    /// The incarnations from this one on left nothing that is owed and not here.
    pub(crate) unbroken_since: u64,
    /// No answer of a write leaves before.
    pub(crate) quiet_until: Time,
    /// What an earlier life of this instance pledged may bind until then.
    bound_until: Time,
    /// Answers that wait.
    pub(crate) waiting: BTreeSet<u64>,
}

impl Source {
    pub(crate) fn new(now: Time, unbroken_since: u64, bound_until: Time) -> Self {
        Source {
            own: BTreeMap::new(),
            next: 1,
            links: BTreeMap::new(),
            left: VecDeque::new(),
            covered_from: now,
            unbroken_since,
            quiet_until: bound_until,
            bound_until,
            waiting: BTreeSet::new(),
        }
    }

    /// A new roster: links to new keepers, none to old ones but as long as a pledge binds.
    pub(crate) fn take_roster(&mut self, now: Time, me: NodeId, roster: &ReplicaSet) {
        let bound_until = self.bound_until;
        self.links
            .retain(|node, link| roster.contains(*node) || link.until > now);
        for node in roster.replicas().iter().filter(|node| **node != me) {
            self.links.entry(*node).or_insert_with(|| Link {
                peer: Peer {
                    node: *node,
                    incarnation: 0,
                },
                until: bound_until,
                roster: roster.clone(),
                owes: BTreeSet::new(),
                sent: 0,
            });
        }
        for (seq, own) in &self.own {
            for link in self
                .links
                .values_mut()
                .filter(|l| roster.is_owner(own.key, l.peer.node))
            {
                link.owes.insert(*seq);
            }
        }
    }

    /// A served write, whose answer waits. Gives its number.
    pub(crate) fn add(&mut self, now: Time, roster: &ReplicaSet, own: Own) -> u64 {
        let seq = self.next;
        self.next += 1;
        for link in self.links.values_mut() {
            let node = link.peer.node;
            let bound = link.until > now && link.roster.is_owner(own.key, node);
            if bound || roster.is_owner(own.key, node) {
                link.owes.insert(seq);
            }
        }
        if own.waits.is_some() {
            self.waiting.insert(seq);
        } else {
            self.left.push_back((own.at, seq));
        }
        self.own.insert(seq, own);
        seq
    }

    /// A keeper was heard in this life. What an earlier one acknowledged is on its disk, or the later one is not sure before
    /// that is past its horizon; what an earlier one was pledged binds no more.
    pub(crate) fn met(&mut self, peer: Peer) -> bool {
        let Some(link) = self.links.get_mut(&peer.node) else {
            return true;
        };
        if peer.incarnation < link.peer.incarnation {
            return false;
        }
        if peer.incarnation > link.peer.incarnation {
            // Danger: a pledge of this instance's earlier life may have been given to this one, not to the one last heard.
            link.peer = peer;
            link.until = link.until.min(self.bound_until);
        }
        true
    }

    /// What a write's answer still waits for.
    pub(crate) fn gate(&self, now: Time, seq: u64, stored: u64, disk: bool) -> Gate {
        let Some(own) = self.own.get(&seq) else {
            return Gate::Open;
        };
        let owing = || self.links.values().filter(|link| link.owes.contains(&seq));
        let bound = now < self.quiet_until || owing().any(|link| link.until > now);
        if bound || own.record.is_some_and(|record| record > stored) {
            return Gate::Shut;
        }
        if disk && !own.owed && owing().next().is_some() {
            return Gate::Record;
        }
        Gate::Open
    }

    /// The answer leaves now.
    pub(crate) fn let_out(&mut self, now: Time, seq: u64) -> Option<RequestNumber> {
        self.waiting.remove(&seq);
        let own = self.own.get_mut(&seq)?;
        own.at = now;
        self.left.push_back((now, seq));
        own.waits.take()
    }

    /// The answer will not leave.
    pub(crate) fn withdraw(&mut self, seq: u64) {
        if self.waiting.remove(&seq) {
            self.drop_own(seq);
        }
    }

    fn drop_own(&mut self, seq: u64) -> bool {
        self.own.remove(&seq);
        self.links
            .values_mut()
            .filter_map(|link| link.owes.remove(&seq).then_some(()))
            .count()
            > 0
    }

    /// Drops what every replica holds by now, and the oldest beyond so many: then earlier writes are no longer vouched for.
    pub(crate) fn expire(
        &mut self,
        now: Time,
        horizon: Span,
        most: usize,
        incarnation: u64,
    ) -> u64 {
        let before = now.saturating_sub(horizon);
        while let Some((_, seq)) = self.left.pop_front_if(|(at, _)| *at < before) {
            self.drop_own(seq);
        }
        let mut pushed_out = 0;
        while self.left.len() > most {
            let Some((at, seq)) = self.left.pop_front() else {
                break;
            };
            self.covered_from = self.covered_from.max(at + 1);
            if self.drop_own(seq) {
                self.unbroken_since = incarnation.saturating_add(1);
            }
            pushed_out += 1;
        }
        pushed_out
    }

    /// Whether a keeper may be given a pledge: it has acknowledged all that has left, and what waits for it has not waited
    /// since before a moment. Danger: where only the way there is cut, its questions still come, and pledges renewed for
    /// ever would hold writes up for ever.
    pub(crate) fn settled(&self, node: NodeId, before: Time) -> bool {
        let fresh = |seq: &u64| {
            self.waiting.contains(seq) && self.own.get(seq).is_some_and(|own| own.at >= before)
        };
        self.links
            .get(&node)
            .is_some_and(|link| link.owes.iter().all(fresh))
    }

    /// Gives a keeper a pledge.
    pub(crate) fn pledge(&mut self, now: Time, node: NodeId, lease: Span, roster: &ReplicaSet) {
        let Some(link) = self.links.get_mut(&node) else {
            return;
        };
        link.until = link.until.max(now + lease + lease / DRIFT_PART);
        // Those that wait were owed under the old one too, and stay so.
        link.roster.clone_from(roster);
    }

    /// A keeper holds these.
    pub(crate) fn held(&mut self, node: NodeId, seqs: &[u64]) {
        if let Some(link) = self.links.get_mut(&node) {
            for seq in seqs {
                link.owes.remove(seq);
            }
        }
    }

    /// The next marks for a keeper among those whose answers have left.
    pub(crate) fn next_owed(&mut self, node: NodeId, most: usize) -> Vec<PositionUpdate> {
        let Some(link) = self.links.get_mut(&node) else {
            return Vec::new();
        };
        let left = link
            .owes
            .range(link.sent.saturating_add(1)..)
            .filter(|seq| !self.waiting.contains(seq));
        let marks = left.filter_map(|seq| self.own.get(seq).map(|own| own.update(*seq)));
        let marks: Vec<_> = marks.take(most).collect();
        link.sent = marks.last().map_or(link.sent, |mark| mark.sequence);
        marks
    }

    /// The marks that a keeper owes an acknowledgement for before some answer may leave. Danger: what is owed to a keeper that
    /// has long been gone may be far more than what waits.
    pub(crate) fn urgent(&self, node: NodeId, since: Time, most: usize) -> Vec<PositionUpdate> {
        let Some(link) = self.links.get(&node) else {
            return Vec::new();
        };
        let owed = self.waiting.iter().filter(|seq| link.owes.contains(seq));
        let own = owed.filter_map(|seq| self.own.get(seq).map(|own| (*seq, own)));
        let due = own.filter(|(_, own)| own.told <= since);
        due.map(|(seq, own)| own.update(seq)).take(most).collect()
    }
}
