//! Gateways and what surrounds them, as a simulation of discrete events.

use super::config::{add_operator_file, base_config, cluster_address, peer_address, Options};
use super::hash::Digest;
use super::members::MemberBehavior;
use super::random::Random;
use super::MEMBERS;
use crate::common::*;
use stackgw_bootstrap::CachedEndpoints;
use stackgw_gateway::config::Config;
use stackgw_gateway::pg::Frame;
use stackgw_gateway::reducer::{
    CallId, ClientId, CloseReason, ConnectionId, Effect, Incarnation, Input, Reducer,
};
use stackgw_router::api::{Span, Time, MS, SECOND};
use stackgw_sessions::Recovered;
use stackgw_store::CommitOutcome;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// What happens scheduled at one gateway.
pub(crate) enum Scheduled {
    Member(ConnectionId, Input),
    /// The member's end of the connection is gone.
    Lost(ConnectionId, CloseReason),
    Flushed(ClientId),
    Left(ClientId),
    Watch(u64, Input),
    Plain(Input),
}

/// A client as it is outside.
#[derive(Default)]
pub(crate) struct Client {
    pub(crate) pending: VecDeque<Frame>,
    pub(crate) key: Option<Vec<u8>>,
    pub(crate) reads: bool,
    /// Bytes of half a message.
    pub(crate) half: usize,
    pub(crate) greeted: bool,
}

/// One gateway with everything around it.
pub(crate) struct Gateway {
    pub(crate) reducer: Reducer,
    pub(crate) clients: BTreeMap<ClientId, Client>,
    pub(crate) conns: BTreeMap<ConnectionId, u32>,
    pub(crate) calls: BTreeSet<CallId>,
    pub(crate) streams: BTreeSet<ConnectionId>,
    /// The watch that is open, by number.
    pub(crate) watch: Option<u64>,
    pub(crate) watches: u64,
    pub(crate) accepts: bool,
    pub(crate) stored: u64,
    pub(crate) ended: bool,
    pub(crate) terminated: bool,
    pub(crate) address: SocketAddr,
    pub(crate) cluster: SocketAddr,
}

pub(crate) struct Simulation {
    pub(crate) random: Random,
    pub(crate) digest: Digest,
    pub(crate) now: Time,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) scheduled: BTreeMap<(Time, u64), (usize, Scheduled)>,
    pub(crate) number: u64,
    pub(crate) behaviors: [MemberBehavior; MEMBERS as usize],
    pub(crate) phases: [u8; MEMBERS as usize],
    pub(crate) moved: [bool; MEMBERS as usize],
    pub(crate) since: [i64; MEMBERS as usize],
    pub(crate) leader: u32,
    pub(crate) revision: u64,
    pub(crate) agent_up: bool,
    pub(crate) next_client: u64,
    pub(crate) next_call: u64,
    pub(crate) next_id: u64,
    /// Datagrams that were sent, to be sent again.
    pub(crate) sent: Vec<Vec<u8>>,
    pub(crate) text: String,
    pub(crate) options: Options,
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        let mut random = Random(seed);
        let options = Options::of(seed);
        let mut simulation = Simulation {
            digest: Digest::new(),
            now: START,
            gateways: Vec::new(),
            scheduled: BTreeMap::new(),
            number: 0,
            behaviors: [MemberBehavior::Answers; MEMBERS as usize],
            phases: [0; MEMBERS as usize],
            moved: [false; MEMBERS as usize],
            since: [0; MEMBERS as usize],
            leader: 1,
            revision: 1,
            agent_up: !seed.is_multiple_of(5),
            next_client: 0,
            next_call: 0,
            next_id: 0,
            sent: Vec::new(),
            text: String::new(),
            options,
            random: Random(seed ^ 0x5eed),
        };
        for index in 0..options.instances {
            let (mut config, text) = base_config(seed, index, options, &mut random);
            add_operator_file(&mut config, index, options, &mut random);
            simulation.text = text;
            simulation.boot(index, config);
        }
        simulation
    }

    pub(crate) fn boot(&mut self, index: usize, config: Config) {
        let (together, others, start) = (
            config.session_sharing.clone(),
            config.cluster.clone(),
            config.bootstrap.clone(),
        );
        let name = config.name.clone();
        let recovered = match self.random.below(3) {
            0 => None,
            _ => Some(Recovered {
                unbroken_since: 5,
                ..Recovered::default()
            }),
        };
        let life = Incarnation {
            number: 5,
            recovered,
        };
        let mut reducer = Reducer::new(config);
        let mut effects = Vec::new();
        match (&together, &others) {
            (Some(together), _) => {
                reducer.enable_session_sharing(self.now, together, life, &mut effects)
            }
            (None, Some(others)) => reducer.join_cluster(self.now, others, life.peer(&name)),
            _ => {}
        }
        if let Some(start) = &start {
            let kept = self.random.chance(40).then(cached_endpoints);
            let others = others.as_ref().map(|others| &others.options);
            reducer.enable_bootstrap(self.now, start, others, kept, &mut effects);
        }
        self.gateways.push(Gateway {
            reducer,
            clients: BTreeMap::new(),
            conns: BTreeMap::new(),
            calls: BTreeSet::new(),
            streams: BTreeSet::new(),
            watch: None,
            watches: 0,
            accepts: false,
            stored: 0,
            ended: false,
            terminated: false,
            address: peer_address(index),
            cluster: cluster_address(index),
        });
        for effect in effects {
            self.apply_effect(index, effect);
        }
        self.input(index, Input::Start);
    }

    pub(crate) fn schedule(&mut self, index: usize, after: Span, scheduled: Scheduled) {
        self.number += 1;
        self.scheduled
            .insert((self.now + after, self.number), (index, scheduled));
    }

    pub(crate) fn input(&mut self, index: usize, input: Input) {
        if self.gateways[index].ended {
            return;
        }
        let mut effects = Vec::new();
        let gateway = &mut self.gateways[index];
        gateway.reducer.handle(self.now, input, &mut effects);
        let due = gateway.reducer.next_due();
        self.digest.pair(index as u64, effects.len() as u64);
        self.digest.optional(due.map(|due| due as u64));
        for effect in effects {
            self.apply_effect(index, effect);
        }
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each effect")]
    pub(crate) fn apply_effect(&mut self, index: usize, effect: Effect) {
        self.digest.effect(&effect);
        match effect {
            Effect::AcceptClients(on) => self.gateways[index].accepts = on,
            Effect::ClientWrite {
                client,
                bytes,
                close,
            } => self.client_written(index, client, &bytes, close),
            Effect::ClientClose(client) => drop(self.gateways[index].clients.remove(&client)),
            Effect::ClientCloseIfIdle(client) => {
                let quiet = |c: &Client| c.pending.is_empty() && c.half == 0;
                if self.gateways[index].clients.get(&client).is_some_and(quiet) {
                    self.gateways[index].clients.remove(&client);
                    self.schedule(index, 0, Scheduled::Left(client));
                }
            }
            Effect::MemberConnect(conn, address) | Effect::BackendConnect(conn, address) => {
                let back = matches!(effect, Effect::BackendConnect(..));
                self.open(index, conn, u32::from(address.port()) % 100 - 1, back);
            }
            Effect::BackendSend(conn, asked) => {
                self.schedule(
                    index,
                    0,
                    Scheduled::Member(conn, Input::MemberFlushed(conn)),
                );
                if asked.may_stream && self.random.chance(70) {
                    self.stream(index, conn);
                } else {
                    self.answer(index, conn, asked.statement.starts_with("SHOW"), true);
                }
            }
            Effect::MemberWrite(conn, bytes) => {
                if bytes[0] == b'Q' {
                    if self.random.chance(97) {
                        let after = self.random.span(0, MS);
                        self.schedule(
                            index,
                            after,
                            Scheduled::Member(conn, Input::MemberFlushed(conn)),
                        );
                    }
                    self.answer(index, conn, bytes[5..].starts_with(b"SHOW"), false);
                }
            }
            Effect::MemberClose(conn) => {
                self.gateways[index].conns.remove(&conn);
                self.gateways[index].streams.remove(&conn);
            }
            Effect::OpenWatch(_, after) => self.watch(index, after),
            Effect::CloseWatch => self.gateways[index].watch = None,
            Effect::FetchEndpoints(_) => {
                let up = self.agent_up && self.random.chance(80);
                let input = if up {
                    Input::EndpointList(self.list(true))
                } else {
                    Input::FetchFailed
                };
                let after = self.random.span(MS, 60 * MS);
                self.schedule(index, after, Scheduled::Plain(input));
            }
            Effect::GossipDatagram(to, bytes) => self.send_datagram(index, to, bytes),
            Effect::ClusterDatagram(to, bytes) => {
                let at = self
                    .gateways
                    .iter()
                    .position(|gateway| gateway.cluster == to);
                if let Some(at) = at.filter(|_| self.random.chance(92)) {
                    let after = self.random.span(MS / 10, 3 * MS);
                    self.schedule(at, after, Scheduled::Plain(Input::ClusterDatagram(bytes)));
                }
            }
            Effect::CallCompleted(call, _) => {
                self.gateways[index].calls.remove(&call);
            }
            Effect::CallStreaming(_, conn) => {
                self.gateways[index].streams.insert(conn);
            }
            Effect::StoreRecord(_) => {
                self.gateways[index].stored += 1;
                let stored = self.gateways[index].stored;
                let after = self.random.span(MS / 5, 4 * MS);
                self.schedule(
                    index,
                    after,
                    Scheduled::Plain(Input::StoreEvent(CommitOutcome::Stored(stored))),
                );
            }
            Effect::StopListening => {
                self.gateways[index].accepts = false;
                self.schedule(index, 2 * MS, Scheduled::Plain(Input::ListenerClosed));
            }
            Effect::Exit => self.gateways[index].ended = true,
            Effect::StoreEndpoints(_)
            | Effect::StatusReply(..)
            | Effect::Log(_)
            | Effect::Report(_) => {}
        }
    }

    pub(crate) fn send_datagram(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        if self.sent.len() < 64 {
            self.sent.push(bytes.clone());
        }
        let sender = self.gateways[from].address;
        for at in (0..self.gateways.len()).filter(|at| *at != from) {
            if to.port() == 7999 || self.gateways[at].address == to {
                let after = self.random.span(MS / 10, 2 * MS);
                self.schedule(
                    at,
                    after,
                    Scheduled::Plain(Input::GossipDatagram(sender, bytes.clone())),
                );
            }
        }
    }

    pub(crate) fn deliver(&mut self, index: usize, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Member(conn, input) => {
                if self.gateways[index].conns.contains_key(&conn) {
                    self.input(index, input);
                }
            }
            Scheduled::Lost(conn, why) => {
                if self.gateways[index].conns.remove(&conn).is_some() {
                    self.gateways[index].streams.remove(&conn);
                    self.input(index, Input::MemberClosed(conn, why));
                }
            }
            Scheduled::Flushed(id) => {
                if self.gateways[index].clients.contains_key(&id) {
                    self.input(index, Input::ClientFlushed(id));
                }
            }
            Scheduled::Left(id) => {
                self.gateways[index].clients.remove(&id);
                self.input(index, Input::ClientClosed(id, CloseReason::Disconnected));
            }
            Scheduled::Watch(number, input) => {
                if self.gateways[index].watch == Some(number) {
                    if matches!(input, Input::WatchLost(_)) {
                        self.gateways[index].watch = None;
                    }
                    self.input(index, input);
                }
            }
            Scheduled::Plain(input) => self.input(index, input),
        }
        self.send_pending_frames(index);
    }

    /// Moves the clock on through all that is due by then.
    pub(crate) fn pass(&mut self, span: Span) {
        let until = self.now + span;
        loop {
            let due = |g: &Gateway| g.reducer.next_due().filter(|_| !g.ended);
            let first = self
                .gateways
                .iter()
                .enumerate()
                .filter_map(|(n, g)| Some((due(g)?, n)))
                .min();
            let next_scheduled = self.scheduled.first_key_value().map(|((at, _), _)| *at);
            match (first, next_scheduled) {
                (Some((at, index)), next_scheduled)
                    if at <= until
                        && next_scheduled.is_none_or(|next_scheduled| at < next_scheduled) =>
                {
                    self.now = self.now.max(at);
                    self.input(index, Input::TimerDue);
                    self.send_pending_frames(index);
                }
                (_, Some(at)) if at <= until => {
                    self.now = self.now.max(at);
                    if let Some((_, (index, scheduled))) = self.scheduled.pop_first() {
                        self.deliver(index, scheduled);
                    }
                }
                _ => break,
            }
        }
        self.now = until;
    }

    /// What the reducer shows of itself.
    pub(crate) fn digest_visible_state(&mut self) {
        for gateway in &self.gateways {
            let clients = gateway.clients.keys();
            clients.for_each(|id| {
                self.digest
                    .pair(id.0, u64::from(gateway.reducer.accepts_frame(*id)))
            });
            for seen in gateway.reducer.member_statuses() {
                self.digest.bytes(seen.name.as_bytes());
                self.digest
                    .pair(seen.attempts.into(), seen.snapshot.in_flight.into());
                self.digest.number(seen.snapshot.latency_ratio.to_bits());
            }
            self.digest.answer(&serde_json::Value::from(
                gateway.reducer.counters().buffered_bytes,
            ));
        }
    }
}

/// What a disk kept of the list.
fn cached_endpoints() -> CachedEndpoints {
    let entries = [
        entry(1, "ready", "leader"),
        entry(2, "draining", "follower"),
        entry(3, "ready", "follower"),
    ];
    CachedEndpoints {
        list: list(1, true, &entries),
        confirmed_at: START - 5 * SECOND,
        warm_throughput: 100.0,
    }
}
