//! The membership protocol of one instance, as a state machine without I/O.

use crate::envelope::{Keyring, VerifyError, ENVELOPE_BYTES, MAX_DATAGRAM_BYTES};
use crate::identity::Identity;
use crate::instances::{InstanceStatus, Instances, Observation};
use foca::{
    AccumulatingRuntime, Config, Foca, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use stackgw_router::api::{Span, Time, MS, SECOND};
use stackgw_sessions::{Message, Peer};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use thiserror::Error;

/// The kinds of datagrams.
const KIND_MEMBERSHIP: u8 = 1;
const KIND_SESSIONS: u8 = 2;
const KIND_BOOTSTRAP: u8 = 3;
/// Interval at which seeds that are not known to be up are contacted.
const SEED_INTERVAL: Span = SECOND;
/// Minimum delay of a timer.
const MIN_TIMER_DELAY: Span = MS;
/// Replaces a timer delay that does not fit into [`Span`]; far in the future, yet adding it to a
/// time cannot overflow.
const MAX_TIMER_DELAY: Span = Span::MAX / 4;

/// Settings with which an instance joins its cluster.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// The instance itself.
    pub identity: Identity,
    /// Addresses at which other instances may be reached.
    pub seeds: Vec<SocketAddr>,
    /// The keys of the cluster.
    pub keyring: Keyring,
    /// Seed for the order in which other instances are probed.
    pub rng_seed: u64,
    /// Approximate number of instances; the time until a suspect is declared down follows from it.
    pub expected_instances: u32,
}

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// The receiver.
    pub to: SocketAddr,
    /// The bytes to send, envelope included.
    pub bytes: Vec<u8>,
}

/// A change of membership, or a received message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An instance has come up, or is up in another incarnation.
    Up(Identity),
    /// An instance seems to be down.
    Down(Identity),
    /// A later incarnation of this instance is known to be or have been up: this one was replaced,
    /// or two processes run with the same name.
    Superseded(Identity),
    /// A message between sessions.
    Sessions {
        /// The incarnation that sent it.
        from: Peer,
        /// The incarnation of this instance that it is addressed to.
        to: Peer,
        /// The message.
        message: Message,
    },
    /// A message of the bootstrap, still encoded.
    Bootstrap(Vec<u8>),
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ReceiveError {
    /// The datagram is not authentic.
    #[error(transparent)]
    NotAuthentic(#[from] VerifyError),
    /// The datagram is authentic, but its body is not a valid message.
    #[error("the body of the datagram is not a valid message")]
    Malformed,
}

/// Counters since the instance started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DatagramCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams accepted.
    pub received: u64,
    /// Dropped: not an envelope, or of another version.
    pub foreign: u64,
    /// Dropped: signed with an unknown key.
    pub unknown_key: u64,
    /// Dropped: the signature does not match.
    pub forged: u64,
    /// Dropped: authentic but malformed.
    pub malformed: u64,
    /// Messages not sent because no address of their receiver is known.
    pub unreachable: u64,
}

/// The cluster's membership, as one instance sees it.
pub struct Cluster {
    settings: ClusterSettings,
    foca: Foca<Identity, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    /// Outputs of foca that [`Cluster::apply_foca_output`] has not yet carried out.
    foca_output: AccumulatingRuntime<Identity>,
    timers: BTreeMap<TimerKey, Timer<Identity>>,
    last_timer: u64,
    instances: Instances,
    contact_seeds_at: Time,
    counters: DatagramCounters,
}

/// When a timer fires, and its number, which distinguishes timers that fire at the same time.
type TimerKey = (Time, u64);

impl Cluster {
    /// Creates an instance that contacts its seeds from now on.
    pub fn new(now: Time, settings: ClusterSettings) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(settings.rng_seed);
        let config = foca_config(settings.expected_instances);
        Cluster {
            foca: Foca::new(settings.identity, config, rng, PostcardCodec),
            foca_output: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            last_timer: 0,
            instances: Instances::new(settings.identity.peer),
            contact_seeds_at: now,
            counters: DatagramCounters::default(),
            settings,
        }
    }

    /// Returns the instances that are up or have been down for at most ten minutes, except this one.
    /// Seeds are included however long they have been down.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceStatus> {
        self.instances.iter()
    }

    /// Returns a number that increases with each change of the instances that are up.
    pub fn epoch(&self) -> u64 {
        self.instances.epoch()
    }

    /// Returns the counters as they are now.
    pub fn counters(&self) -> DatagramCounters {
        self.counters
    }

    /// Replaces keys and seeds; the seeds are contacted at once.
    pub fn reload(&mut self, now: Time, keyring: Keyring, seeds: Vec<SocketAddr>) {
        self.settings.keyring = keyring;
        self.settings.seeds = seeds;
        self.contact_seeds_at = now;
    }

    /// Handles a received datagram.
    ///
    /// # Errors
    /// If the datagram was dropped; it then has changed nothing except counters.
    pub fn handle_datagram(
        &mut self,
        now: Time,
        bytes: &[u8],
        datagrams: &mut Vec<Datagram>,
        events: &mut Vec<Event>,
    ) -> Result<(), ReceiveError> {
        let envelope = self.settings.keyring.verify(bytes);
        let envelope = envelope.inspect_err(|error| self.counters.count_rejected(*error))?;
        let result = self.handle_body(envelope.kind, envelope.body, events);
        match result {
            Ok(()) => self.counters.received += 1,
            Err(_) => self.counters.malformed += 1,
        }
        self.apply_foca_output(now, datagrams, events);
        result
    }

    fn handle_body(
        &mut self,
        kind: u8,
        body: &[u8],
        events: &mut Vec<Event>,
    ) -> Result<(), ReceiveError> {
        match kind {
            // Foca validates what it decodes; an invalid message changes nothing.
            KIND_MEMBERSHIP => {
                let handled = self.foca.handle_data(body, &mut self.foca_output);
                handled.map_err(|_| ReceiveError::Malformed)
            }
            KIND_SESSIONS => {
                events.push(decode_sessions(body).ok_or(ReceiveError::Malformed)?);
                Ok(())
            }
            KIND_BOOTSTRAP => {
                events.push(Event::Bootstrap(body.to_vec()));
                Ok(())
            }
            _ => Err(ReceiveError::Malformed),
        }
    }

    /// Sends a message between sessions; it is dropped if no address of its receiver is known.
    pub fn send(&mut self, to: Peer, message: &Message, datagrams: &mut Vec<Datagram>) {
        let Some(receiver) = self.instances.get(to.node) else {
            self.counters.unreachable += 1;
            return;
        };
        let address = receiver.identity.address;
        let from = postcard::to_allocvec(&self.settings.identity.peer).unwrap_or_default();
        let body = [from, message.encode(to)].concat();
        self.send_body(address, KIND_SESSIONS, &body, datagrams);
    }

    /// Sends a message of the bootstrap to an address, even if no instance is known to be there.
    pub fn send_bootstrap(&mut self, to: SocketAddr, body: &[u8], datagrams: &mut Vec<Datagram>) {
        self.send_body(to, KIND_BOOTSTRAP, body, datagrams);
    }

    fn send_body(&mut self, to: SocketAddr, kind: u8, body: &[u8], datagrams: &mut Vec<Datagram>) {
        self.counters.sent += 1;
        let bytes = self.settings.keyring.sign(kind, body);
        datagrams.push(Datagram { to, bytes });
    }

    /// Returns when [`Cluster::handle_timeout`] must be called next.
    pub fn next_timeout(&self) -> Time {
        let first = self.timers.first_key_value();
        let timer_at = first.map_or(Time::MAX, |((at, _), _)| *at);
        timer_at.min(self.contact_seeds_at)
    }

    /// Fires the timers that are due. Once per second, also contacts the seeds that are not known to
    /// be up, and removes instances that have been down for long.
    pub fn handle_timeout(
        &mut self,
        now: Time,
        datagrams: &mut Vec<Datagram>,
        events: &mut Vec<Event>,
    ) {
        while let Some(entry) = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            // An error means that the timer is obsolete; foca continues with the next one.
            let _ = self
                .foca
                .handle_timer(entry.remove(), &mut self.foca_output);
            self.apply_foca_output(now, datagrams, events);
        }
        if self.contact_seeds_at <= now {
            self.contact_seeds_at = now + SEED_INTERVAL;
            self.announce_to_seeds();
            self.instances.prune(now, &self.settings.seeds);
            self.apply_foca_output(now, datagrams, events);
        }
    }

    /// Announces this instance to seeds that are not known to be up.
    fn announce_to_seeds(&mut self) {
        let up: BTreeSet<_> = self
            .foca
            .iter_members()
            .map(|member| member.id().address)
            .collect();
        let local = self.settings.identity.address;
        let seeds = self.settings.seeds.iter();
        for seed in seeds.filter(|seed| **seed != local && !up.contains(seed)) {
            let _ = self
                .foca
                .announce(Identity::at(*seed), &mut self.foca_output);
        }
    }

    /// Carries out the outputs of foca since the last call.
    fn apply_foca_output(
        &mut self,
        now: Time,
        datagrams: &mut Vec<Datagram>,
        events: &mut Vec<Event>,
    ) {
        while let Some((to, body)) = self.foca_output.to_send() {
            self.send_body(to.address, KIND_MEMBERSHIP, &body, datagrams);
        }
        while let Some((delay, timer)) = self.foca_output.to_schedule() {
            let delay = Span::try_from(delay.as_nanos()).unwrap_or(MAX_TIMER_DELAY);
            self.last_timer += 1;
            self.timers
                .insert((now + delay.max(MIN_TIMER_DELAY), self.last_timer), timer);
        }
        while let Some(notification) = self.foca_output.to_notify() {
            events.extend(self.handle_notification(now, &notification));
        }
    }

    fn handle_notification(
        &mut self,
        now: Time,
        notification: &OwnedNotification<Identity>,
    ) -> Option<Event> {
        let (identity, up) = match notification {
            OwnedNotification::MemberUp(identity) | OwnedNotification::Rename(_, identity) => {
                (*identity, true)
            }
            OwnedNotification::MemberDown(identity) => (*identity, false),
            _ => return None,
        };
        match self.instances.observe(InstanceStatus {
            identity,
            up,
            since: now,
        }) {
            Observation::Changed if up => Some(Event::Up(identity)),
            Observation::Changed => Some(Event::Down(identity)),
            Observation::Superseded => Some(Event::Superseded(identity)),
            Observation::Ignored => None,
        }
    }
}

impl DatagramCounters {
    fn count_rejected(&mut self, error: VerifyError) {
        match error {
            VerifyError::Foreign => self.foreign += 1,
            VerifyError::UnknownKey => self.unknown_key += 1,
            VerifyError::Forged => self.forged += 1,
        }
    }
}

/// Foca's timing for a local network, with packets that fit into an envelope.
fn foca_config(expected_instances: u32) -> Config {
    let instances = NonZeroU32::new(expected_instances.max(2)).unwrap_or(NonZeroU32::MIN);
    let mut config = Config::new_lan(instances);
    let max_body = NonZeroUsize::new(MAX_DATAGRAM_BYTES - ENVELOPE_BYTES);
    config.max_packet_size = max_body.unwrap_or(config.max_packet_size);
    config
}

/// Decodes a message between sessions: its sender, then receiver and message as `stackgw-sessions`
/// encodes them.
fn decode_sessions(body: &[u8]) -> Option<Event> {
    let (from, rest) = postcard::take_from_bytes::<Peer>(body).ok()?;
    let (to, message) = Message::decode(rest).ok()?;
    Some(Event::Sessions { from, to, message })
}
