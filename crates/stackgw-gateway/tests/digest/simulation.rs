//! A discrete-event simulation of gateways with their clients, members and list service.

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

/// A scheduled event at one gateway.
pub(crate) enum Scheduled {
    Member(ConnectionId, Input),
    /// The member has closed the connection.
    MemberClosed(ConnectionId, CloseReason),
    ClientFlushed(ClientId),
    ClientClosed(ClientId),
    Watch(u64, Input),
    Other(Input),
}

/// A simulated client.
#[derive(Default)]
pub(crate) struct Client {
    pub(crate) pending: VecDeque<Frame>,
    pub(crate) cancel_key: Option<Vec<u8>>,
    pub(crate) reads: bool,
    /// Bytes of an incomplete message.
    pub(crate) partial_bytes: usize,
    /// The client may send statements.
    pub(crate) sends_statements: bool,
}

/// One gateway with its clients and connections.
pub(crate) struct Gateway {
    pub(crate) reducer: Reducer,
    pub(crate) clients: BTreeMap<ClientId, Client>,
    /// Open connections to members, each with the index of its member.
    pub(crate) conns: BTreeMap<ConnectionId, u32>,
    pub(crate) calls: BTreeSet<CallId>,
    pub(crate) streams: BTreeSet<ConnectionId>,
    /// The number of the open watch.
    pub(crate) watch: Option<u64>,
    pub(crate) watches_opened: u64,
    pub(crate) accepts_clients: bool,
    pub(crate) records_stored: u64,
    pub(crate) has_exited: bool,
    pub(crate) terminated: bool,
    pub(crate) address: SocketAddr,
    pub(crate) cluster_address: SocketAddr,
}

pub(crate) struct Simulation {
    pub(crate) random: Random,
    pub(crate) digest: Digest,
    pub(crate) now: Time,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) scheduled: BTreeMap<(Time, u64), (usize, Scheduled)>,
    pub(crate) last_event_number: u64,
    pub(crate) behaviors: [MemberBehavior; MEMBERS as usize],
    /// Each member's phase in the list: 0 ready, 1 draining, 2 gone, 3 not listed.
    pub(crate) phases: [u8; MEMBERS as usize],
    pub(crate) has_new_address: [bool; MEMBERS as usize],
    pub(crate) up_since_ms: [i64; MEMBERS as usize],
    pub(crate) leader: u32,
    pub(crate) revision: u64,
    /// Whether the agent of the list service is reachable.
    pub(crate) agent_up: bool,
    pub(crate) next_client: u64,
    pub(crate) next_call: u64,
    pub(crate) next_id: u64,
    /// Some of the datagrams sent so far, to be replayed.
    pub(crate) sent_datagrams: Vec<Vec<u8>>,
    pub(crate) config_text: String,
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
            last_event_number: 0,
            behaviors: [MemberBehavior::Answers; MEMBERS as usize],
            phases: [0; MEMBERS as usize],
            has_new_address: [false; MEMBERS as usize],
            up_since_ms: [0; MEMBERS as usize],
            leader: 1,
            revision: 1,
            agent_up: !seed.is_multiple_of(5),
            next_client: 0,
            next_call: 0,
            next_id: 0,
            sent_datagrams: Vec::new(),
            config_text: String::new(),
            options,
            random: Random(seed ^ 0x5eed),
        };
        for index in 0..options.instances {
            let (mut config, text) = base_config(seed, index, options, &mut random);
            add_operator_file(&mut config, index, options, &mut random);
            simulation.config_text = text;
            simulation.start_gateway(index, config);
        }
        simulation
    }

    pub(crate) fn start_gateway(&mut self, index: usize, config: Config) {
        let (session_sharing, cluster, bootstrap) = (
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
        let incarnation = Incarnation {
            number: 5,
            recovered,
        };
        let mut reducer = Reducer::new(config);
        let mut effects = Vec::new();
        match (&session_sharing, &cluster) {
            (Some(session_sharing), _) => {
                reducer.enable_session_sharing(self.now, session_sharing, incarnation, &mut effects)
            }
            (None, Some(cluster)) => {
                reducer.join_cluster(self.now, cluster, incarnation.peer(&name))
            }
            _ => {}
        }
        if let Some(bootstrap) = &bootstrap {
            let cached = self.random.chance(40).then(cached_endpoints);
            let cluster = cluster.as_ref().map(|cluster| &cluster.options);
            reducer.enable_bootstrap(self.now, bootstrap, cluster, cached, &mut effects);
        }
        self.gateways.push(Gateway {
            reducer,
            clients: BTreeMap::new(),
            conns: BTreeMap::new(),
            calls: BTreeSet::new(),
            streams: BTreeSet::new(),
            watch: None,
            watches_opened: 0,
            accepts_clients: false,
            records_stored: 0,
            has_exited: false,
            terminated: false,
            address: peer_address(index),
            cluster_address: cluster_address(index),
        });
        for effect in effects {
            self.apply_effect(index, effect);
        }
        self.input(index, Input::Start);
    }

    pub(crate) fn schedule(&mut self, index: usize, after: Span, scheduled: Scheduled) {
        self.last_event_number += 1;
        self.scheduled.insert(
            (self.now + after, self.last_event_number),
            (index, scheduled),
        );
    }

    pub(crate) fn input(&mut self, index: usize, input: Input) {
        if self.gateways[index].has_exited {
            return;
        }
        let mut effects = Vec::new();
        let gateway = &mut self.gateways[index];
        gateway.reducer.handle(self.now, input, &mut effects);
        let next_due = gateway.reducer.next_due();
        self.digest.pair(index as u64, effects.len() as u64);
        self.digest.optional(next_due.map(|due| due as u64));
        for effect in effects {
            self.apply_effect(index, effect);
        }
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each effect")]
    pub(crate) fn apply_effect(&mut self, index: usize, effect: Effect) {
        self.digest.effect(&effect);
        match effect {
            Effect::AcceptClients(on) => self.gateways[index].accepts_clients = on,
            Effect::ClientWrite {
                client,
                bytes,
                close,
            } => self.client_written(index, client, &bytes, close),
            Effect::ClientClose(client) => drop(self.gateways[index].clients.remove(&client)),
            Effect::ClientCloseIfIdle(client) => {
                let is_idle = |c: &Client| c.pending.is_empty() && c.partial_bytes == 0;
                if self.gateways[index]
                    .clients
                    .get(&client)
                    .is_some_and(is_idle)
                {
                    self.gateways[index].clients.remove(&client);
                    self.schedule(index, 0, Scheduled::ClientClosed(client));
                }
            }
            Effect::ClientDropInput(client) => {
                if let Some(client) = self.gateways[index].clients.get_mut(&client) {
                    client.pending.clear();
                    client.partial_bytes = 0;
                }
            }
            Effect::ClientCheckStalled(client, reason) => {
                let clients = &self.gateways[index].clients;
                if clients.get(&client).is_some_and(|c| c.partial_bytes > 0) {
                    let input = Input::ClientStalled(client, reason);
                    self.schedule(index, 0, Scheduled::Other(input));
                }
            }
            Effect::MemberConnect(conn, address) | Effect::BackendConnect(conn, address) => {
                let is_backend = matches!(effect, Effect::BackendConnect(..));
                self.connect_member(index, conn, u32::from(address.port()) % 100 - 1, is_backend);
            }
            Effect::BackendSend(conn, request) => {
                self.schedule(
                    index,
                    0,
                    Scheduled::Member(conn, Input::MemberFlushed(conn)),
                );
                if request.may_stream && self.random.chance(70) {
                    self.respond_with_stream(index, conn);
                } else {
                    self.respond(index, conn, request.statement.starts_with("SHOW"), true);
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
                    self.respond(index, conn, bytes[5..].starts_with(b"SHOW"), false);
                }
            }
            Effect::MemberClose(conn) => {
                self.gateways[index].conns.remove(&conn);
                self.gateways[index].streams.remove(&conn);
            }
            Effect::OpenWatch(_, after) => self.open_watch(index, after),
            Effect::CloseWatch => self.gateways[index].watch = None,
            Effect::FetchEndpoints(_) => {
                let succeeds = self.agent_up && self.random.chance(80);
                let input = if succeeds {
                    Input::EndpointList(self.endpoint_list(true))
                } else {
                    Input::FetchFailed
                };
                let after = self.random.span(MS, 60 * MS);
                self.schedule(index, after, Scheduled::Other(input));
            }
            Effect::GossipDatagram(to, bytes) => self.send_gossip(index, to, bytes),
            Effect::ClusterDatagram(to, bytes) => {
                let recipient = self
                    .gateways
                    .iter()
                    .position(|gateway| gateway.cluster_address == to);
                if let Some(recipient) = recipient.filter(|_| self.random.chance(92)) {
                    let after = self.random.span(MS / 10, 3 * MS);
                    self.schedule(
                        recipient,
                        after,
                        Scheduled::Other(Input::ClusterDatagram(bytes)),
                    );
                }
            }
            Effect::CallCompleted(call, _) => {
                self.gateways[index].calls.remove(&call);
            }
            Effect::CallStreaming(_, conn) => {
                self.gateways[index].streams.insert(conn);
            }
            Effect::StoreRecord(_) => {
                self.gateways[index].records_stored += 1;
                let stored = self.gateways[index].records_stored;
                let after = self.random.span(MS / 5, 4 * MS);
                self.schedule(
                    index,
                    after,
                    Scheduled::Other(Input::StoreEvent(CommitOutcome::Stored(stored))),
                );
            }
            Effect::StopListening => {
                self.gateways[index].accepts_clients = false;
                self.schedule(index, 2 * MS, Scheduled::Other(Input::ListenerClosed));
            }
            Effect::Exit => self.gateways[index].has_exited = true,
            Effect::StoreEndpoints(_)
            | Effect::StatusReply(..)
            | Effect::Log(_)
            | Effect::Report(_) => {}
        }
    }

    pub(crate) fn send_gossip(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        if self.sent_datagrams.len() < 64 {
            self.sent_datagrams.push(bytes.clone());
        }
        let sender = self.gateways[from].address;
        for recipient in (0..self.gateways.len()).filter(|index| *index != from) {
            if to.port() == 7999 || self.gateways[recipient].address == to {
                let after = self.random.span(MS / 10, 2 * MS);
                self.schedule(
                    recipient,
                    after,
                    Scheduled::Other(Input::GossipDatagram(sender, bytes.clone())),
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
            Scheduled::MemberClosed(conn, reason) => {
                if self.gateways[index].conns.remove(&conn).is_some() {
                    self.gateways[index].streams.remove(&conn);
                    self.input(index, Input::MemberClosed(conn, reason));
                }
            }
            Scheduled::ClientFlushed(id) => {
                if self.gateways[index].clients.contains_key(&id) {
                    self.input(index, Input::ClientFlushed(id));
                }
            }
            Scheduled::ClientClosed(id) => {
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
            Scheduled::Other(input) => self.input(index, input),
        }
        self.send_pending_frames(index);
    }

    /// Advances the clock and handles everything that is due meanwhile.
    pub(crate) fn advance(&mut self, span: Span) {
        let until = self.now + span;
        loop {
            let timer_due = |g: &Gateway| g.reducer.next_due().filter(|_| !g.has_exited);
            let next_timer = self
                .gateways
                .iter()
                .enumerate()
                .filter_map(|(n, g)| Some((timer_due(g)?, n)))
                .min();
            let next_scheduled = self.scheduled.first_key_value().map(|((at, _), _)| *at);
            match (next_timer, next_scheduled) {
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

    /// Adds the visible state of all reducers to the digest.
    pub(crate) fn digest_visible_state(&mut self) {
        for gateway in &self.gateways {
            let clients = gateway.clients.keys();
            clients.for_each(|id| {
                self.digest
                    .pair(id.0, u64::from(gateway.reducer.accepts_frame(*id)))
            });
            for member in gateway.reducer.member_statuses() {
                self.digest.bytes(member.name.as_bytes());
                self.digest
                    .pair(member.attempts.into(), member.snapshot.in_flight.into());
                self.digest.number(member.snapshot.latency_ratio.to_bits());
            }
            self.digest.status_reply(&serde_json::Value::from(
                gateway.reducer.counters().buffered_bytes,
            ));
        }
    }
}

/// An endpoint list cached on disk.
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
