//! The membership of one instance.

use crate::envelope::{Keyring, Unsealed, SEAL_BYTES};
use crate::identity::Identity;
use foca::{
    AccumulatingRuntime, Config, Foca, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use stackgw_router::api::{Span, Time, MS, SECOND};
use stackgw_sessions::{Message, NodeId, Peer};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::NonZeroU32;

const KIND_MEMBERSHIP: u8 = 1;
const KIND_SESSIONS: u8 = 2;
const KIND_BOOTSTRAP: u8 = 3;
/// Instances that are remembered at most, those that are gone included.
const KNOWN_MOST: usize = 4_096;
/// Seeds that are no known member are asked again after this.
const SEEK: Span = SECOND;
/// An instance that has been gone this long is forgotten, unless it is a seed.
const GONE_KEPT: Span = 600 * SECOND;

/// What an instance is told of its cluster.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// Itself.
    pub identity: Identity,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// The keys.
    pub keyring: Keyring,
    /// For the order in which others are probed.
    pub rng_seed: u64,
    /// How many instances there are about; sets how long suspicion lasts.
    pub expected_instances: u32,
}

/// What is to be done outside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
}

/// What has become known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An instance is there.
    Up(Identity),
    /// An instance seems to be gone.
    Down(Identity),
    /// Somebody goes by this instance's name in a later life: this one is over, or two run at once.
    Superseded(Identity),
    /// A message between sessions, from this life of an instance to that one of this.
    Sessions(Peer, Peer, Message),
    /// What an instance tells of the list, still to be read.
    Bootstrap(Vec<u8>),
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// Its seal is at fault.
    Unsealed(Unsealed),
    /// Sealed with a valid key, and no message all the same.
    Malformed,
}

/// An instance that is or was there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Who.
    pub identity: Identity,
    /// It seems to be there.
    pub up: bool,
    /// Since when that is so.
    pub since: Time,
}

/// What came and went.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DatagramCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams taken.
    pub received: u64,
    /// Dropped: no datagrams of ours.
    pub foreign: u64,
    /// Dropped: sealed with an unknown key.
    pub unknown_key: u64,
    /// Dropped: forged.
    pub forged: u64,
    /// Dropped: malformed behind a valid seal.
    pub malformed: u64,
    /// Messages to instances of which no address is known.
    pub unreachable: u64,
}

/// The membership, as one instance sees it.
pub struct Cluster {
    set: ClusterSettings,
    foca: Foca<Identity, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Identity>,
    timers: BTreeMap<(Time, u64), Timer<Identity>>,
    next_timer: u64,
    known: BTreeMap<NodeId, InstanceStatus>,
    epoch: u64,
    seek_at: Time,
    counts: DatagramCounters,
}

impl Cluster {
    /// An instance that looks for the others from now on.
    pub fn new(now: Time, set: ClusterSettings) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(set.rng_seed);
        let foca = Foca::new(
            set.identity,
            config(set.expected_instances),
            rng,
            PostcardCodec,
        );
        Cluster {
            foca,
            set,
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            next_timer: 0,
            known: BTreeMap::new(),
            epoch: 0,
            seek_at: now,
            counts: DatagramCounters::default(),
        }
    }

    /// Everyone that is or was there, this instance not included.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceStatus> {
        self.known.values()
    }

    /// Rises with each change of who is there.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// What came and went.
    pub fn counters(&self) -> DatagramCounters {
        self.counts
    }

    /// Other keys and seeds from now on.
    pub fn reload(&mut self, now: Time, ring: Keyring, seeds: Vec<SocketAddr>) {
        (self.set.keyring, self.set.seeds, self.seek_at) = (ring, seeds, now);
    }

    /// A datagram has come.
    pub fn handle_datagram(
        &mut self,
        now: Time,
        bytes: &[u8],
        effects: &mut Vec<Effect>,
        events: &mut Vec<Event>,
    ) -> Result<(), Refused> {
        let opened = self.set.keyring.verify(bytes).map_err(|why| {
            match why {
                Unsealed::Foreign => self.counts.foreign += 1,
                Unsealed::UnknownKey => self.counts.unknown_key += 1,
                Unsealed::Forged => self.counts.forged += 1,
            }
            Refused::Unsealed(why)
        });
        let (kind, body) = opened?;
        let taken = match kind {
            // Foca judges what it decodes; a word that makes no sense changes nothing.
            KIND_MEMBERSHIP => self.foca.handle_data(body, &mut self.runtime).is_ok(),
            KIND_SESSIONS => match sessions(body) {
                Some((from, to, message)) => {
                    events.push(Event::Sessions(from, to, message));
                    true
                }
                None => false,
            },
            KIND_BOOTSTRAP => {
                events.push(Event::Bootstrap(body.to_vec()));
                true
            }
            _ => false,
        };
        *(if taken {
            &mut self.counts.received
        } else {
            &mut self.counts.malformed
        }) += 1;
        self.settle(now, effects, events);
        taken.then_some(()).ok_or(Refused::Malformed)
    }

    /// Sends a message between sessions, if it is known where to.
    pub fn send(&mut self, to: Peer, message: &Message, effects: &mut Vec<Effect>) {
        let Some(seen) = self.known.get(&to.node) else {
            self.counts.unreachable += 1;
            return;
        };
        let from = postcard::to_allocvec(&self.set.identity.peer).unwrap_or_default();
        let bytes = self
            .set
            .keyring
            .sign(KIND_SESSIONS, &[from, message.encode(to)].concat());
        self.counts.sent += 1;
        effects.push(Effect::Send(seen.identity.address, bytes));
    }

    /// Sends word of the list to an address, whether or not it is known who is there.
    pub fn send_bootstrap(&mut self, to: SocketAddr, body: &[u8], effects: &mut Vec<Effect>) {
        self.counts.sent += 1;
        effects.push(Effect::Send(
            to,
            self.set.keyring.sign(KIND_BOOTSTRAP, body),
        ));
    }

    /// When [`Cluster::handle_timeout`] is wanted next.
    pub fn next_timeout(&self) -> Time {
        let timer = self
            .timers
            .first_key_value()
            .map_or(Time::MAX, |((at, _), _)| *at);
        timer.min(self.seek_at)
    }

    /// Time has come for what waits for it.
    pub fn handle_timeout(
        &mut self,
        now: Time,
        effects: &mut Vec<Effect>,
        events: &mut Vec<Event>,
    ) {
        while let Some(entry) = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            // Errors here mean that a timer came too late for what it was for; foca goes on with the next one.
            let _ = self.foca.handle_timer(entry.remove(), &mut self.runtime);
            self.settle(now, effects, events);
        }
        if self.seek_at <= now {
            self.seek_at = now + SEEK;
            let up: BTreeSet<_> = self
                .foca
                .iter_members()
                .map(|member| member.id().address)
                .collect();
            let mine = self.set.identity.address;
            for seed in self
                .set
                .seeds
                .iter()
                .filter(|seed| **seed != mine && !up.contains(seed))
            {
                let _ = self.foca.announce(Identity::at(*seed), &mut self.runtime);
            }
            let seeds = &self.set.seeds;
            self.known.retain(|_, seen| {
                seen.up || now - seen.since < GONE_KEPT || seeds.contains(&seen.identity.address)
            });
            self.settle(now, effects, events);
        }
    }

    fn settle(&mut self, now: Time, effects: &mut Vec<Effect>, events: &mut Vec<Event>) {
        while let Some((to, body)) = self.runtime.to_send() {
            self.counts.sent += 1;
            effects.push(Effect::Send(
                to.address,
                self.set.keyring.sign(KIND_MEMBERSHIP, &body),
            ));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.next_timer += 1;
            let after = Span::try_from(after.as_nanos()).unwrap_or(Span::MAX / 4);
            self.timers
                .insert((now + after.max(MS), self.next_timer), timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(id) | OwnedNotification::Rename(_, id) => {
                    self.note(now, id, true, events);
                }
                OwnedNotification::MemberDown(id) => self.note(now, id, false, events),
                _ => {}
            }
        }
    }

    fn note(&mut self, now: Time, identity: Identity, up: bool, events: &mut Vec<Event>) {
        let node = identity.peer.node;
        if node == self.set.identity.peer.node {
            if identity.peer.incarnation > self.set.identity.peer.incarnation {
                events.push(Event::Superseded(identity));
            }
            return;
        }
        let later =
            |seen: &InstanceStatus| seen.identity.peer.incarnation > identity.peer.incarnation;
        // Word of a life that is over, or more instances than anybody has.
        let full = self.known.len() >= KNOWN_MOST && !self.known.contains_key(&node);
        if node == NodeId(0) || full || self.known.get(&node).is_some_and(later) {
            return;
        }
        let seen = InstanceStatus {
            identity,
            up,
            since: now,
        };
        let before = self.known.insert(node, seen);
        if before.is_none_or(|before| (before.up, before.identity.peer) != (up, identity.peer)) {
            self.epoch += 1;
            events.push(if up {
                Event::Up(identity)
            } else {
                Event::Down(identity)
            });
        }
    }
}

/// Foca's times for a local network, with datagrams of ours.
fn config(expected: u32) -> Config {
    let mut config = Config::new_lan(NonZeroU32::new(expected.max(2)).unwrap_or(NonZeroU32::MIN));
    config.max_packet_size = std::num::NonZeroUsize::new(crate::MAX_DATAGRAM_BYTES - SEAL_BYTES)
        .unwrap_or(config.max_packet_size);
    config
}

/// Who says what to whom.
fn sessions(body: &[u8]) -> Option<(Peer, Peer, Message)> {
    let (from, rest) = postcard::take_from_bytes::<Peer>(body).ok()?;
    let (to, message) = Message::decode(rest).ok()?;
    Some((from, to, message))
}
