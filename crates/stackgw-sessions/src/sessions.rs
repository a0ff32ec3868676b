//! One instance's part in the promise: source, keeper and reader in one state machine.

use crate::keeper::{Ack, Keeper, ALWAYS};
use crate::marks::Marks;
use crate::message::{Message, Stamp, MARKS_PER_MESSAGE};
use crate::reader::{Lookup, Reader};
use crate::roster::{NodeId, Peer, Roster, SessionKey};
use crate::source::{Gate, Own, Source};
use crate::UNKNOWN;
use stackgw_router::api::{Span, Time};
use std::collections::BTreeMap;

/// A write's answer or a read that waits, by the host's number.
pub type Ticket = u64;

/// Questions for pledges go out so many times in a lease.
const ASKS_PER_LEASE: Span = 4;
/// Batches of marks sent at once to a keeper that has to catch up.
const CATCH_UP: usize = 4;
/// Tries of a guest at one keeper before it turns to the next.
const CARRY_TRIES: u32 = 3;

/// What an instance is told at start.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Itself, in this life. A later life has a higher incarnation.
    pub me: Peer,
    /// The keepers' names, hashed; one that is not among them is a guest.
    pub keepers: Vec<NodeId>,
    /// So many keepers hold each session's marks.
    pub homes: usize,
    /// How long a pledge binds. A write waits this long at most for a keeper that is not there.
    pub lease: Span,
    /// After this long every replica holds a write.
    pub horizon: Span,
    /// A message without an answer is sent again after this.
    pub resend: Span,
    /// How long a home's word is waited for.
    pub lookup: Span,
    /// Marks that a keeper holds at most.
    pub marks_most: usize,
    /// Own marks that are kept for keepers that lose theirs.
    pub own_most: usize,
    /// Writes that wait, and reads that wait, at most.
    pub waits_most: usize,
    /// There is a disk; what it had.
    pub disk: Option<Recovered>,
}

impl Settings {
    fn roster(&self) -> Roster {
        Roster::new(self.keepers.iter().copied(), self.homes, &[self.lease, self.horizon])
    }

    fn bound(&self) -> Span {
        self.lease + self.lease / 8
    }
}

/// What the disk had at start. All empty for a new one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Recovered {
    /// The incarnations from this one on wrote to this disk without a break; this life's for a new one.
    pub unbroken_since: u64,
    /// How far it has come.
    pub stamp: Stamp,
    /// How far others' disks had come, and in which of their lives.
    pub seen: Vec<(Peer, Stamp)>,
    /// The last roster that was recorded.
    pub roster: Option<u64>,
    /// Marks held for others.
    pub held: Vec<(SessionKey, Time)>,
    /// Own marks that some home had not acknowledged.
    pub owed: Vec<(SessionKey, Time)>,
    /// Under that roster: sources of which nothing was missing, itself perhaps among them.
    pub whole: Vec<Peer>,
}

impl Recovered {
    /// What was recorded before this, and this.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Roster(digest) if self.roster != Some(digest) => {
                (self.roster, self.whole) = (Some(digest), Vec::new());
            }
            Record::Roster(_) => {}
            Record::Held(key, position) => self.held.push((key, position)),
            Record::Owed(key, position) => self.owed.push((key, position)),
            Record::Seen(peer, stamp) => {
                self.seen.retain(|(known, _)| known.node != peer.node);
                self.seen.push((peer, stamp));
            }
            Record::Void(stamp, unbroken_since) => {
                // The life that wrote to it last stays the same one.
                self.stamp = Stamp { last: self.stamp.last, ..stamp };
                (self.unbroken_since, self.whole) = (unbroken_since, Vec::new());
                return;
            }
            Record::Whole(peer) => {
                self.whole.retain(|known| known.node != peer.node);
                self.whole.push(peer);
            }
        }
        self.stamp.records = self.stamp.records.saturating_add(1);
    }
}

/// What is to be kept on the disk. The host numbers records from 1 in the order in which they are asked for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Record {
    /// The roster from now on; what was recorded of sources under another one is void.
    Roster(u64),
    /// A mark held for others, or for itself as a home.
    Held(SessionKey, Time),
    /// An own mark that some home has not acknowledged.
    Owed(SessionKey, Time),
    /// Nothing is missing of this source.
    Whole(Peer),
    /// So far another one's disk has come.
    Seen(Peer, Stamp),
    /// The disk begins anew from here, as it turned out to be an old copy: no records, this stamp, unbroken since this
    /// incarnation.
    Void(Stamp, u64),
}

/// Why a read must see every commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Why {
    /// This keeper has not pledged: it is down, cut off or slow.
    NotPledged(NodeId),
    /// This keeper has another list of keepers, or other times.
    OtherRoster(NodeId),
    /// This keeper pledges, but writes of less than a horizon ago may be missing.
    TooShort(NodeId),
    /// This instance started less than a horizon ago, without what it held before.
    Started,
    /// Its disk failed.
    DiskFailed,
    /// No home gave its word in time.
    Silent,
    /// The homes that answered are not sure themselves.
    Unsure,
    /// The session has written, but the write's position is not known.
    NoPosition,
    /// Too many reads wait.
    Full,
}

impl Why {
    /// It in words, with the names that the host has for keepers.
    pub fn text(&self, name: impl Fn(&NodeId) -> String) -> String {
        match self {
            Why::NotPledged(node) => format!("no pledge from {}", name(node)),
            Why::OtherRoster(node) => format!("{} has other keepers or times in its file", name(node)),
            Why::TooShort(node) => format!("less than a horizon known of {}", name(node)),
            Why::Started => "started less than a horizon ago without what it held".to_owned(),
            Why::DiskFailed => "the disk failed".to_owned(),
            Why::Silent => "no home answered in time".to_owned(),
            Why::Unsure => "the homes are not sure".to_owned(),
            Why::NoPosition => "the session's write has no known position".to_owned(),
            Why::Full => "too many reads wait for their homes".to_owned(),
        }
    }
}

/// What a session read must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Knowledge {
    /// This position, or nothing in particular: the session has not written within the horizon.
    Sure(Option<Time>),
    /// Every commit made before the read came in.
    Cautious(Why),
}

/// What is to be done outside.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message; an incarnation of 0 means whichever life is there.
    Send(Peer, Message),
    /// The answer of this write may leave.
    Release(Ticket),
    /// What this read must see.
    Need(Ticket, Knowledge),
    /// Keep this on the disk, and say when it is there.
    Store(Record),
}

/// What was done, and what stood in the way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Counts {
    /// Reads answered for sure, by this instance's own marks or another's.
    pub sure_here: u64,
    /// Reads answered for sure by another home.
    pub sure_there: u64,
    /// Reads that must see every commit.
    pub cautious: u64,
    /// Writes let out.
    pub released: u64,
    /// Writes let out though a home had not acknowledged them, as its pledge was over.
    pub released_owed: u64,
    /// Messages that were for another life, from an earlier one, or told something that cannot be.
    pub disregarded: u64,
    /// Messages sent.
    pub sent: u64,
    /// Own marks dropped for room.
    pub own_pushed_out: u64,
    /// Writes and reads turned away for room.
    pub full: u64,
    /// Times that the disk turned out to be an old copy.
    pub disks_old: u64,
}

/// Another keeper, as this instance sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standing {
    /// Which.
    pub node: NodeId,
    /// The life last heard; 0: never heard.
    pub incarnation: u64,
    /// How long its pledge still holds, where this instance is a keeper.
    pub pledged_for: Span,
    /// How long a pledge to it still binds.
    pub bound_for: Span,
    /// Marks that it has not acknowledged.
    pub owed: usize,
}

/// What an instance can tell of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Itself.
    pub me: Peer,
    /// It is a keeper; else a guest.
    pub keeper: bool,
    /// Why it is not sure, if it is not; a guest never is by itself.
    pub unsure: Option<Why>,
    /// The other keepers.
    pub others: Vec<Standing>,
    /// Marks held.
    pub marks: usize,
    /// Marks pushed out since the start.
    pub pushed_out: u64,
    /// Own marks kept.
    pub own: usize,
    /// Writes that wait.
    pub waiting: usize,
    /// What was done.
    pub counts: Counts,
}

/// Counts tell nothing of what an instance will do: two that differ in them alone are the same to a model checker.
#[derive(Debug, Clone, Copy, Default)]
struct Counted(Counts);

impl PartialEq for Counted {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Counted {}

impl std::hash::Hash for Counted {
    fn hash<H: std::hash::Hasher>(&self, _: &mut H) {}
}

impl std::ops::Deref for Counted {
    type Target = Counts;

    fn deref(&self) -> &Counts {
        &self.0
    }
}

impl std::ops::DerefMut for Counted {
    fn deref_mut(&mut self) -> &mut Counts {
        &mut self.0
    }
}

/// A write that a guest hands to a keeper.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Errand {
    ticket: Ticket,
    key: SessionKey,
    position: Time,
    tries: u32,
}

/// The state machine. The same inputs give the same outputs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Sessions {
    set: Settings,
    /// The disk, as far as it had come when this life or the disk itself began; `None`: there is none, or no more.
    disk: Option<Stamp>,
    roster: Roster,
    /// The record of the roster; no pledge before it is on the disk.
    roster_record: u64,
    source: Source,
    keeper: Keeper,
    reader: Reader,
    /// A guest's writes, and those that guests handed over here.
    errands: BTreeMap<u64, Errand>,
    carried: BTreeMap<(Peer, u64), u64>,
    carries: BTreeMap<u64, (Peer, u64)>,
    nonce: u64,
    /// Records asked for, and those that are on the disk; those that were when it began anew.
    records: u64,
    stored: u64,
    voided: u64,
    /// How far others' disks had come when last heard of, in which life, and when that was put on this one's.
    stamps: BTreeMap<NodeId, (Peer, Option<Stamp>)>,
    stamps_at: Time,
    tick_at: Time,
    counts: Counted,
}

impl Sessions {
    /// An instance that starts now.
    pub fn new(now: Time, mut set: Settings, out: &mut Vec<Output>) -> Self {
        let roster = set.roster();
        let me = set.me.node;
        let mut keeper = Keeper::new(now, Marks::new(set.marks_most, set.horizon));
        let disk = set.disk.as_ref().map(|disk| disk.stamp);
        // Danger: kept beside the marks made of it, what the disk had would stand in memory twice.
        let recovered = set.disk.take().unwrap_or_default();
        let unbroken = if disk.is_some() { recovered.unbroken_since } else { set.me.incarnation };
        let mut source = Source::new(now, unbroken, now + set.bound());
        let same = recovered.roster == Some(roster.digest());
        // A guest pledges nothing, so no earlier life of it binds this one. Where the disk shows the same roster, the homes
        // are those that an earlier life pledged to, and their links are bound; else nobody knows whom it pledged to.
        if same || !roster.has(me) {
            source.quiet_until = now;
        }
        source.take_roster(now, me, &roster);
        keeper.take_roster(now, me, &roster);
        for (key, position) in recovered.held {
            keeper.marks.add(now, key, position);
        }
        for peer in recovered.whole.iter().filter(|_| same) {
            if peer.node == me {
                (keeper.own_from, keeper.own_on_disk) = (ALWAYS, true);
            } else if let Some(heard) = keeper.heard.get_mut(&peer.node) {
                (heard.incarnation, heard.known_from, heard.on_disk) = (peer.incarnation, ALWAYS, true);
            }
        }
        let mut sessions = Sessions {
            disk,
            roster,
            roster_record: 0,
            source,
            keeper,
            reader: Reader::default(),
            errands: BTreeMap::new(),
            carried: BTreeMap::new(),
            carries: BTreeMap::new(),
            nonce: 0,
            records: 0,
            stored: 0,
            voided: 0,
            stamps: recovered.seen.iter().map(|(peer, stamp)| (peer.node, (*peer, Some(*stamp)))).collect(),
            stamps_at: now,
            tick_at: now,
            counts: Counted::default(),
            set,
        };
        for (key, position) in recovered.owed {
            sessions.keep_own(now, key, position, None, true, out);
        }
        if !same {
            sessions.record_roster(out);
        }
        sessions.due(now, out);
        sessions
    }

    /// Whether this instance is a keeper.
    pub fn is_keeper(&self) -> bool {
        self.roster.has(self.set.me.node)
    }

    /// The roster in force.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// A new list of keepers. What is known under the old one holds no longer.
    pub fn take_keepers(&mut self, now: Time, keepers: Vec<NodeId>, out: &mut Vec<Output>) {
        let was = self.is_keeper();
        self.set.keepers = keepers;
        let roster = self.set.roster();
        if roster == self.roster {
            return;
        }
        self.roster = roster;
        let me = self.set.me.node;
        self.source.take_roster(now, me, &self.roster);
        self.keeper.take_roster(now, me, &self.roster);
        // Of sessions whose home this has become, it knows its own writes as far back as it has kept them.
        (self.keeper.own_from, self.keeper.own_on_disk) =
            (self.keeper.own_from.max(self.source.covered_from), false);
        for own in self.source.own.values().filter(|own| self.roster.is_home(own.key, me)) {
            self.keeper.marks.add(now, own.key, own.position);
        }
        if !was && self.is_keeper() {
            self.keeper.own_from = self.keeper.own_from.max(now);
        }
        self.record_roster(out);
        self.due(now, out);
    }

    /// A member served a write of this session and gave its position, if it did. Its answer waits for
    /// [`Output::Release`]; where this gives `false` there is no room to wait, and the answer must not leave.
    pub fn wrote(
        &mut self,
        now: Time,
        ticket: Ticket,
        key: SessionKey,
        position: Option<Time>,
        out: &mut Vec<Output>,
    ) -> bool {
        let position = position.unwrap_or(UNKNOWN);
        if self.source.waiting.len() + self.errands.len() >= self.set.waits_most {
            self.counts.full += 1;
            return false;
        }
        if !self.is_keeper() {
            self.nonce += 1;
            self.errands.insert(self.nonce, Errand { ticket, key, position, tries: 0 });
            self.run_errand(self.nonce, out);
            self.tick_at = self.tick_at.min(now + self.set.resend);
            return true;
        }
        let seq = self.keep_own(now, key, position, Some(ticket), false, out);
        self.tell(seq, out);
        self.try_release(now, seq, out);
        true
    }

    /// The answer of this write will not leave through here: it failed, or its client has gone.
    pub fn withdrawn(&mut self, ticket: Ticket) {
        self.errands.retain(|_, errand| errand.ticket != ticket);
        let waits = |seq: &&u64| self.source.own.get(*seq).is_some_and(|own| own.waits == Some(ticket));
        let seq =
            self.source.waiting.iter().filter(|seq| !self.carries.contains_key(*seq)).find(waits).copied();
        if let Some(seq) = seq {
            self.source.withdraw(seq);
        }
    }

    /// A session read has come in. What it must see follows as [`Output::Need`], at once or within the lookups' time.
    pub fn read(&mut self, now: Time, ticket: Ticket, key: SessionKey, out: &mut Vec<Output>) {
        let me = self.set.me.node;
        let home = self.roster.is_home(key, me);
        let here = if home { self.known_here(now, key) } else { Err(Why::Unsure) };
        if let Ok(position) = here {
            self.counts.sure_here += 1;
            return self.need(ticket, position, out);
        }
        if self.reader.lookups.len() >= self.set.waits_most {
            self.counts.full += 1;
            return self.cautious(ticket, Why::Full, out);
        }
        let homes = self.roster.homes(key).filter(|home| *home != me);
        let next = self.reader.worth_asking(now, homes);
        self.look(now, ticket, key, next, here.err().unwrap_or(Why::Unsure), out);
    }

    /// The read is no longer waited for.
    pub fn unread(&mut self, ticket: Ticket) {
        self.reader.lookups.retain(|_, lookup| lookup.ticket != ticket);
    }

    /// What this instance itself holds of a session, sure or not; for people.
    pub fn held(&self, now: Time, key: SessionKey) -> (Option<crate::marks::Seen>, Result<(), Why>) {
        (self.keeper.marks.get(now, key), self.keeper.sure(now, self.set.horizon))
    }

    /// A message has come, from this life of an instance to that life of this one.
    pub fn heard(&mut self, now: Time, from: Peer, to: Peer, message: Message, out: &mut Vec<Output>) {
        let me = self.set.me;
        let meant = to.node == me.node && (to.incarnation == 0 || to.incarnation == me.incarnation);
        if !meant || from.node == me.node || from.incarnation == 0 {
            self.counts.disregarded += 1;
            return;
        }
        // Danger: word from a life that is over would stand for the one that came after it.
        let alive = self.keeper.met(now, from) && self.source.met(from);
        if !alive {
            self.counts.disregarded += 1;
            return;
        }
        match message {
            Message::Ask { stamp, .. } | Message::Pledge { stamp, .. } if self.is_old(from, stamp) => {
                self.send(from, Message::Stale(stamp.unwrap_or_default()), out);
            }
            Message::Stale(stamp) => self.void(now, stamp, out),
            Message::Ask { nonce, roster, .. } => self.asked(now, from, nonce, roster, out),
            Message::Pledge { nonce, roster, covers, unbroken_since, .. } => {
                if roster == self.roster.digest() {
                    let set = &self.set;
                    self.keeper.pledged(now, from, nonce, set.lease, (covers, unbroken_since));
                }
            }
            Message::Differs { .. } => {
                if let Some(heard) = self.keeper.heard.get_mut(&from.node) {
                    heard.differs = true;
                }
            }
            Message::Marks(marks) => self.marks(now, from, marks, out),
            Message::Held(seqs) => {
                self.source.held(from.node, &seqs);
                self.catch_up(from.node, 1, out);
                for seq in seqs {
                    if self.source.waiting.contains(&seq) {
                        self.try_release(now, seq, out);
                    }
                }
            }
            Message::Look { nonce, key } => {
                let home = self.roster.is_home(key, me.node);
                let known = if home { self.known_here(now, key) } else { Err(Why::Unsure) };
                let word = match known {
                    Ok(position) => Message::Sure { nonce, position },
                    Err(_) => Message::Unsure { nonce },
                };
                self.send(from, word, out);
            }
            Message::Sure { nonce, position } => {
                if let Some(lookup) = self.reader.answered(nonce, from.node) {
                    self.counts.sure_there += 1;
                    self.reader.forgive(from.node);
                    self.need(lookup.ticket, position, out);
                }
            }
            Message::Unsure { nonce } => {
                if let Some(lookup) = self.reader.answered(nonce, from.node) {
                    self.reader.shun(now, from.node, self.set.resend);
                    self.look(now, lookup.ticket, lookup.key, lookup.next, Why::Unsure, out);
                }
            }
            Message::Carry { ticket, key, position } => self.carry(now, from, ticket, key, position, out),
            Message::Carried { ticket } => {
                if let Some(errand) = self.errands.remove(&ticket) {
                    self.counts.released += 1;
                    out.push(Output::Release(errand.ticket));
                }
            }
        }
    }

    /// So many records are on the disk.
    pub fn stored(&mut self, now: Time, records: u64, out: &mut Vec<Output>) {
        self.stored = self.stored.max(records.min(self.records));
        while let Some(ack) = self.keeper.acks.pop_front_if(|ack| ack.record <= self.stored) {
            self.send(ack.to, Message::Held(ack.seqs), out);
        }
        self.release(now, out);
    }

    /// The disk takes nothing more. Where its file has been set aside, so that no later life reads it, this one goes on as
    /// one without a disk. Where it could not be (`void` is false), a later life would take the file for whole: then nothing
    /// is acknowledged, known for sure or let out any more.
    pub fn disk_failed(&mut self, now: Time, void: bool, out: &mut Vec<Output>) {
        if !void {
            self.keeper.broken = true;
            self.keeper.acks.clear();
            return;
        }
        self.disk = None;
        (self.records, self.stored, self.roster_record) = (0, 0, 0);
        for own in self.source.own.values_mut() {
            own.record = None;
        }
        for ack in std::mem::take(&mut self.keeper.acks) {
            self.send(ack.to, Message::Held(ack.seqs), out);
        }
        self.release(now, out);
    }

    /// Whether answers of writes can leave at all: not after a disk failed whose file stayed in place. A host does better
    /// to turn writes away before they run.
    pub fn lets_out(&self) -> bool {
        !(self.keeper.broken && self.is_keeper())
    }

    /// When [`Sessions::due`] is wanted next.
    pub fn next_due(&self) -> Time {
        let lookup = self.reader.lookups.values().next().map_or(Time::MAX, |l| l.until);
        let ask = if self.is_keeper() { self.keeper.ask_at } else { Time::MAX };
        let waits = !self.source.waiting.is_empty() || !self.errands.is_empty();
        ask.min(lookup).min(if waits { self.tick_at } else { Time::MAX })
    }

    /// Time has come for what waits for it.
    pub fn due(&mut self, now: Time, out: &mut Vec<Output>) {
        for nonce in self.reader.overdue(now) {
            let Some(lookup) = self.reader.lookups.remove(&nonce) else { continue };
            self.reader.shun(now, lookup.asked, self.set.lease / ASKS_PER_LEASE);
            self.look(now, lookup.ticket, lookup.key, lookup.next, Why::Silent, out);
        }
        if self.is_keeper() && self.keeper.ask_at <= now {
            self.keeper.ask_at = now + self.set.lease / ASKS_PER_LEASE;
            self.keeper.marks.expire(now);
            let pushed =
                self.source.expire(now, self.set.horizon, self.set.own_most, self.set.me.incarnation);
            self.counts.own_pushed_out += pushed;
            self.ask(now, out);
            self.note_whole(now, out);
        }
        if self.tick_at <= now {
            self.tick_at = now + self.set.resend;
            self.tell_again(now, now - self.set.resend, out);
            for nonce in self.errands.keys().copied().collect::<Vec<_>>() {
                self.run_errand(nonce, out);
            }
        }
        self.release(now, out);
    }

    /// What it can tell of itself.
    pub fn status(&self, now: Time) -> Status {
        let others = self.source.links.iter().map(|(node, link)| Standing {
            node: *node,
            incarnation: link.peer.incarnation,
            pledged_for: self.keeper.heard.get(node).map_or(0, |h| (h.until - now).max(0)),
            bound_for: (link.until - now).max(0),
            owed: link.owes.len(),
        });
        Status {
            me: self.set.me,
            keeper: self.is_keeper(),
            unsure: self.keeper.sure(now, self.set.horizon).err(),
            others: others.collect(),
            marks: self.keeper.marks.len(),
            pushed_out: self.keeper.marks.pushed_out(),
            own: self.source.own.len(),
            waiting: self.source.waiting.len() + self.errands.len(),
            counts: *self.counts,
        }
    }

    fn send(&mut self, to: Peer, message: Message, out: &mut Vec<Output>) {
        self.counts.sent += 1;
        out.push(Output::Send(to, message));
    }

    fn store(&mut self, record: Record, out: &mut Vec<Output>) -> u64 {
        self.records += 1;
        out.push(Output::Store(record));
        self.records
    }

    fn record_roster(&mut self, out: &mut Vec<Output>) {
        if self.disk.is_some() {
            self.roster_record = self.store(Record::Roster(self.roster.digest()), out);
        }
    }

    fn peer(&self, node: NodeId) -> Peer {
        self.source.links.get(&node).map_or(Peer { node, incarnation: 0 }, |link| link.peer)
    }

    // The source.

    /// Keeps an own mark, here as its home too where it is one, and gives its number.
    fn keep_own(
        &mut self,
        now: Time,
        key: SessionKey,
        position: Time,
        waits: Option<Ticket>,
        owed: bool,
        out: &mut Vec<Output>,
    ) -> u64 {
        let mut record = None;
        if self.roster.is_home(key, self.set.me.node) {
            self.keeper.marks.add(now, key, position);
            if self.disk.is_some() && !owed {
                record = Some(self.store(Record::Held(key, position), out));
            }
        }
        self.tick_at = self.tick_at.min(now + self.set.resend);
        self.source.add(now, &self.roster, Own { key, position, waits, at: now, told: now, record, owed })
    }

    /// Sends its homes a mark that an answer waits for.
    fn tell(&mut self, seq: u64, out: &mut Vec<Output>) {
        let Some(mark) = self.source.own.get(&seq).map(|own| (seq, own.key, own.position)) else { return };
        let owing = self.source.links.values().filter(|link| link.owes.contains(&seq));
        for peer in owing.map(|link| link.peer).collect::<Vec<_>>() {
            self.send(peer, Message::Marks(vec![mark]), out);
        }
    }

    /// Sends them once more the marks that were last sent by then.
    fn tell_again(&mut self, now: Time, since: Time, out: &mut Vec<Output>) {
        if self.source.waiting.is_empty() {
            return;
        }
        for peer in self.source.links.values().map(|link| link.peer).collect::<Vec<_>>() {
            let marks = self.source.urgent(peer.node, since, MARKS_PER_MESSAGE);
            if !marks.is_empty() {
                self.send(peer, Message::Marks(marks), out);
            }
        }
        for seq in &self.source.waiting {
            if let Some(own) = self.source.own.get_mut(seq).filter(|own| own.told <= since) {
                own.told = now;
            }
        }
    }

    fn release(&mut self, now: Time, out: &mut Vec<Output>) {
        for seq in self.source.waiting.iter().copied().collect::<Vec<_>>() {
            self.try_release(now, seq, out);
        }
    }

    fn try_release(&mut self, now: Time, seq: u64, out: &mut Vec<Output>) {
        let disk = self.disk.is_some();
        if !self.lets_out() {
            return;
        }
        match self.source.gate(now, seq, self.stored, disk) {
            Gate::Open => {
                self.counts.released += 1;
                let owed = self.source.links.values().any(|link| link.owes.contains(&seq));
                self.counts.released_owed += u64::from(owed);
                let Some(ticket) = self.source.let_out(now, seq) else { return };
                match self.carries.remove(&seq) {
                    Some((guest, ticket)) => {
                        self.carried.remove(&(guest, ticket));
                        self.send(guest, Message::Carried { ticket }, out);
                    }
                    None => out.push(Output::Release(ticket)),
                }
            }
            Gate::Record => {
                let Some((key, position)) = self.source.own.get(&seq).map(|o| (o.key, o.position)) else {
                    return;
                };
                let record = self.store(Record::Owed(key, position), out);
                if let Some(own) = self.source.own.get_mut(&seq) {
                    (own.record, own.owed) = (Some(record), true);
                }
            }
            Gate::Shut => {}
        }
    }

    /// Another keeper asks for a pledge. Danger: given before it holds all that has left, it would make that keeper sure of
    /// what it does not know.
    fn asked(&mut self, now: Time, from: Peer, nonce: u64, roster: u64, out: &mut Vec<Output>) {
        if !self.roster.has(from.node) || !self.is_keeper() || roster != self.roster.digest() {
            let roster = self.roster.digest();
            return self.send(from, Message::Differs { nonce, roster }, out);
        }
        if let Some(link) = self.source.links.get_mut(&from.node) {
            link.sent = 0;
        }
        self.catch_up(from.node, CATCH_UP, out);
        if !self.source.settled(from.node, now - self.set.lease / 2) || self.roster_record > self.stored {
            return;
        }
        self.source.pledge(now, from.node, self.set.lease, &self.roster);
        let covers = now - self.source.covered_from;
        let unbroken_since = self.source.unbroken_since;
        let stamp = self.stamp();
        self.send(from, Message::Pledge { nonce, roster, covers, unbroken_since, stamp }, out);
    }

    fn catch_up(&mut self, node: NodeId, batches: usize, out: &mut Vec<Output>) {
        for _ in 0..batches {
            let marks = self.source.next_owed(node, MARKS_PER_MESSAGE);
            if marks.is_empty() {
                return;
            }
            self.send(self.peer(node), Message::Marks(marks), out);
        }
    }

    // The keeper.

    fn ask(&mut self, now: Time, out: &mut Vec<Output>) {
        // Danger: a pledge to a keeper that acknowledges nothing would hold every write up.
        if self.keeper.broken {
            return;
        }
        for node in self.keeper.heard.keys().copied().collect::<Vec<_>>() {
            self.nonce += 1;
            self.keeper.asked(now, node, self.nonce);
            let ask = Message::Ask { nonce: self.nonce, roster: self.roster.digest(), stamp: self.stamp() };
            // Whichever life is there: a new one is met by this.
            self.send(Peer { node, incarnation: 0 }, ask, out);
        }
    }

    /// Puts on the disk of which sources nothing is missing, so that a restart need not wait for a horizon.
    fn note_whole(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.disk.is_none() || self.keeper.broken || self.roster_record > self.stored {
            return;
        }
        let before = now - self.set.horizon;
        let mut peers = Vec::new();
        for (node, heard) in &mut self.keeper.heard {
            if heard.known_from <= before && !heard.on_disk && heard.incarnation != 0 {
                heard.on_disk = true;
                peers.push(Peer { node: *node, incarnation: heard.incarnation });
            }
        }
        if self.keeper.own_from <= before && !self.keeper.own_on_disk {
            self.keeper.own_on_disk = true;
            peers.push(self.set.me);
        }
        for peer in peers {
            self.store(Record::Whole(peer), out);
        }
        if self.stamps_at <= before {
            self.stamps_at = now;
            for (peer, stamp) in self.stamps.values().copied().collect::<Vec<_>>() {
                self.store(Record::Seen(peer, stamp.unwrap_or_default()), out);
            }
        }
    }

    fn stamp(&self) -> Option<Stamp> {
        let disk = self.disk?;
        let records = disk.records.saturating_add(self.stored.saturating_sub(self.voided));
        Some(Stamp { records, ..disk })
    }

    /// Whether a keeper comes with a disk that an earlier life of it had brought further, or had left unused. Danger: it
    /// would vouch for what is not on it, as a source and as a home.
    fn is_old(&mut self, from: Peer, stamp: Option<Stamp>) -> bool {
        if !self.roster.has(from.node) {
            return false;
        }
        let known = self.stamps.get(&from.node).copied();
        let before = known.filter(|(peer, _)| peer.incarnation < from.incarnation);
        if let (Some((peer, seen)), Some(stamp)) = (before, stamp.filter(|s| s.disk != from.incarnation)) {
            let shorter = |s: Stamp| s.disk == stamp.disk && s.records > stamp.records;
            if stamp.last < peer.incarnation || seen.is_some_and(shorter) {
                return true;
            }
        }
        // Within one life a smaller count is that of a message that came late.
        let further = known.is_none_or(|(peer, seen)| (peer.incarnation, seen) < (from.incarnation, stamp));
        if further {
            self.stamps.insert(from.node, (from, stamp));
        }
        false
    }

    /// Others know this disk to be older than it was: it begins anew, and so does what this instance can be sure of.
    fn void(&mut self, now: Time, told: Stamp, out: &mut Vec<Output>) {
        let Some(disk) = self.disk.as_mut().filter(|disk| disk.disk == told.disk) else { return };
        let incarnation = self.set.me.incarnation;
        *disk = Stamp { disk: incarnation, records: 0, last: 0 };
        let begun = *disk;
        // Those that have believed this life already must not go on from that.
        self.source.unbroken_since = incarnation.saturating_add(1);
        self.keeper.void(now);
        self.counts.disks_old += 1;
        self.voided = self.store(Record::Void(begun, self.source.unbroken_since), out);
    }

    fn marks(&mut self, now: Time, from: Peer, marks: Vec<(u64, SessionKey, Time)>, out: &mut Vec<Output>) {
        if self.keeper.broken {
            return;
        }
        let seqs = marks.iter().map(|(seq, ..)| *seq).collect();
        let mut record = None;
        for (_, key, position) in marks {
            self.keeper.marks.add(now, key, position);
            if self.disk.is_some() {
                record = Some(self.store(Record::Held(key, position), out));
            }
        }
        match record {
            // What finds no room here is sent once more.
            Some(record) if self.keeper.acks.len() < self.set.waits_most => {
                self.keeper.acks.push_back(Ack { record, to: from, seqs });
            }
            Some(_) => self.counts.full += 1,
            None => self.send(from, Message::Held(seqs), out),
        }
    }

    fn known_here(&self, now: Time, key: SessionKey) -> Result<Option<Time>, Why> {
        self.keeper.sure(now, self.set.horizon)?;
        Ok(self.keeper.marks.get(now, key).map(|seen| seen.position))
    }

    // The reader.

    fn look(
        &mut self,
        now: Time,
        ticket: Ticket,
        key: SessionKey,
        mut next: std::collections::VecDeque<NodeId>,
        why: Why,
        out: &mut Vec<Output>,
    ) {
        let Some(asked) = next.pop_front() else { return self.cautious(ticket, why, out) };
        self.nonce += 1;
        let until = now + self.set.lookup;
        self.reader.lookups.insert(self.nonce, Lookup { ticket, key, asked, next, until });
        let look = Message::Look { nonce: self.nonce, key };
        self.send(Peer { node: asked, incarnation: 0 }, look, out);
    }

    fn need(&mut self, ticket: Ticket, position: Option<Time>, out: &mut Vec<Output>) {
        match position {
            Some(UNKNOWN) => self.cautious(ticket, Why::NoPosition, out),
            position => out.push(Output::Need(ticket, Knowledge::Sure(position))),
        }
    }

    fn cautious(&mut self, ticket: Ticket, why: Why, out: &mut Vec<Output>) {
        self.counts.cautious += 1;
        out.push(Output::Need(ticket, Knowledge::Cautious(why)));
    }

    // Guests.

    /// A guest asks one keeper after another to carry its write.
    fn run_errand(&mut self, nonce: u64, out: &mut Vec<Output>) {
        let keepers = self.roster.keepers().len();
        let Some(errand) = self.errands.get_mut(&nonce).filter(|_| keepers > 0) else { return };
        let turn = (errand.key.0 as usize).wrapping_add((errand.tries / CARRY_TRIES) as usize) % keepers;
        errand.tries += 1;
        let carry = Message::Carry { ticket: nonce, key: errand.key, position: errand.position };
        let node = self.roster.keepers()[turn];
        self.send(Peer { node, incarnation: 0 }, carry, out);
    }

    /// A keeper makes a guest's write its own.
    fn carry(
        &mut self,
        now: Time,
        from: Peer,
        ticket: u64,
        key: SessionKey,
        position: Time,
        out: &mut Vec<Output>,
    ) {
        if !self.is_keeper() || self.carried.contains_key(&(from, ticket)) {
            return;
        }
        if self.source.waiting.len() >= self.set.waits_most {
            self.counts.full += 1;
            return;
        }
        let seq = self.keep_own(now, key, position, Some(ticket), false, out);
        self.carried.insert((from, ticket), seq);
        self.carries.insert(seq, (from, ticket));
        self.tell(seq, out);
        self.try_release(now, seq, out);
    }
}
