//! Plays random histories against the reducer and prints one digest of everything that it asked for. A change that must
//! not alter behaviour prints the same digest before and after. Log texts are left out; names are mapped to numbers.
//!
//! `cargo test -p stackgw-gateway --test digest -- --ignored --nocapture`

mod common;

use common::*;
use stackgw_bootstrap::CachedEndpoints;
use stackgw_cluster::{Key, Keyring};
use stackgw_gateway::config::{
    ClusterConfig, Config, ConfigError, FlightConfig, SessionSharingConfig,
};
use stackgw_gateway::pg::Frame;
use stackgw_gateway::reducer::{
    CallId, ClientId, CloseReason, ConnectionId, Effect, FinalResponse, Incarnation, Input,
    Reducer, StatusQuery, StreamHeader,
};
use stackgw_router::api::{LoadReport, Outcome, Span, Time, MS, SECOND};
use stackgw_sessions::{Record, Recovered};
use stackgw_store::CommitOutcome;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

const HISTORIES: u64 = 360;
const STEPS: u32 = 220;
const MEMBERS: u32 = 5;

/// FNV-1a, 64 bits.
struct Digest(u64);

impl Digest {
    fn new() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        for byte in bytes {
            self.byte(*byte);
        }
    }

    fn byte(&mut self, byte: u8) {
        self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }

    fn number(&mut self, number: u64) {
        number
            .to_le_bytes()
            .into_iter()
            .for_each(|byte| self.byte(byte));
    }

    fn optional(&mut self, number: Option<u64>) {
        self.byte(u8::from(number.is_some()));
        self.number(number.unwrap_or(0));
    }

    fn address(&mut self, address: SocketAddr) {
        self.bytes(address.to_string().as_bytes());
    }

    fn list(&mut self, kept: &CachedEndpoints) {
        self.number(kept.list.revision);
        self.byte(u8::from(kept.list.complete));
        self.number(kept.confirmed_at as u64);
        self.number(kept.warm_throughput.to_bits());
        for entry in &kept.list.members {
            self.bytes(entry.id.as_bytes());
            self.address(entry.address);
            self.number(entry.up_since_ms as u64);
            self.byte(u8::from(entry.leader));
        }
    }

    fn record(&mut self, record: &Record) {
        match record {
            Record::ReplicaSet(roster) => self.pair(0, *roster),
            Record::Position(_, at) => self.pair(1, *at as u64),
            Record::Unacknowledged(_, at) => self.pair(2, *at as u64),
            Record::CompletePeer(peer) => self.pair(3, peer.incarnation),
            Record::PeerStore(peer, _) => self.pair(4, peer.incarnation),
            Record::Invalidated(_, since) => self.pair(5, *since),
        }
    }

    fn pair(&mut self, what: u64, number: u64) {
        self.number(what);
        self.number(number);
    }

    /// Numbers and flags of an answer, whatever their names and order.
    fn answer(&mut self, value: &serde_json::Value) {
        let mut leaves = Vec::new();
        collect_leaves(value, &mut leaves);
        leaves.sort();
        leaves.iter().for_each(|leaf| self.bytes(leaf.as_bytes()));
    }

    fn ended(&mut self, ended: &FinalResponse) {
        match ended {
            FinalResponse::Served(row) => {
                self.byte(0);
                self.bytes(row);
            }
            FinalResponse::Rejected(text, wait) => {
                self.byte(1);
                self.bytes(text.as_bytes());
                self.optional(wait.map(|wait| wait as u64));
            }
            FinalResponse::Unavailable(text) => {
                self.byte(2);
                self.bytes(text.as_bytes());
            }
            FinalResponse::Failed(text) => {
                self.byte(3);
                self.bytes(text.as_bytes());
            }
            FinalResponse::Malformed(text) => {
                self.byte(4);
                self.bytes(text.as_bytes());
            }
        }
    }

    fn effect(&mut self, effect: &Effect) {
        match effect {
            Effect::AcceptClients(on) => self.pair(0, u64::from(*on)),
            Effect::ClientWrite {
                client,
                bytes,
                close,
            } => {
                self.pair(1, client.0);
                self.bytes(bytes);
                self.byte(u8::from(*close));
            }
            Effect::ClientClose(client) => self.pair(2, client.0),
            Effect::ClientCloseIfIdle(client) => self.pair(3, client.0),
            Effect::MemberConnect(conn, address) => {
                self.pair(4, conn.0);
                self.address(*address);
            }
            Effect::BackendConnect(conn, address) => {
                self.pair(5, conn.0);
                self.address(*address);
            }
            Effect::BackendSend(conn, asked) => {
                self.pair(6, conn.0);
                self.bytes(asked.statement.as_bytes());
                self.pair(
                    asked.timeout_ms,
                    u64::from(asked.is_write) * 2 + u64::from(asked.may_stream),
                );
            }
            Effect::MemberWrite(conn, bytes) => {
                self.pair(7, conn.0);
                self.bytes(bytes);
            }
            Effect::MemberClose(conn) => self.pair(8, conn.0),
            Effect::OpenWatch(address, after) => {
                self.number(9);
                self.address(*address);
                self.optional(*after);
            }
            Effect::CloseWatch => self.number(10),
            Effect::FetchEndpoints(address) => {
                self.number(11);
                self.address(*address);
            }
            Effect::GossipDatagram(address, bytes) => {
                self.number(12);
                self.address(*address);
                self.bytes(bytes);
            }
            Effect::ClusterDatagram(address, bytes) => {
                self.number(13);
                self.address(*address);
                self.bytes(bytes);
            }
            Effect::CallCompleted(call, ended) => {
                self.pair(14, call.0);
                self.ended(ended);
            }
            Effect::CallStreaming(call, conn) => {
                self.pair(15, call.0);
                self.number(conn.0);
            }
            Effect::StoreRecord(record) => {
                self.number(16);
                self.record(record);
            }
            Effect::StoreEndpoints(kept) => {
                self.number(17);
                self.list(kept);
            }
            Effect::StatusReply(asker, value) => {
                self.pair(18, *asker);
                self.answer(value);
            }
            Effect::StopListening => self.number(19),
            Effect::Log(_) => self.number(20),
            Effect::Report(counters) => {
                self.number(21);
                parse_counters(&counters.to_string())
                    .into_iter()
                    .for_each(|(_, count)| self.number(count));
            }
            Effect::Exit => self.number(22),
        }
    }
}

fn collect_leaves(value: &serde_json::Value, leaves: &mut Vec<String>) {
    match value {
        serde_json::Value::Array(all) => all.iter().for_each(|value| collect_leaves(value, leaves)),
        serde_json::Value::Object(all) => {
            all.values().for_each(|value| collect_leaves(value, leaves))
        }
        serde_json::Value::String(_) => {}
        leaf => leaves.push(leaf.to_string()),
    }
}

/// The counters as they are printed.
fn parse_counters(line: &str) -> Vec<(String, u64)> {
    let pairs = line.split(' ').filter_map(|word| word.split_once('='));
    pairs
        .filter_map(|(name, count)| Some((name.to_owned(), count.parse().ok()?)))
        .collect()
}

/// SplitMix64.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, end: u64) -> u64 {
        self.next() % end.max(1)
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn span(&mut self, least: Span, most: Span) -> Span {
        least + self.below((most - least).max(1) as u64) as Span
    }

    fn one<T: Copy>(&mut self, all: &[T]) -> Option<T> {
        all.get(self.below(all.len() as u64) as usize).copied()
    }
}

/// How a member behaves for a while.
#[derive(Clone, Copy, PartialEq)]
enum MemberBehavior {
    Answers,
    Lags,
    Errs,
    Sheds,
    WrongRole,
    Spoils,
    StandsStill,
    StandsInside,
    Breaks,
    BreaksInStartup,
    ClosesAfter,
    Refuses,
    ComesUpLate,
    SaysTooMuch,
    FutureClock,
}

const BEHAVIORS: [MemberBehavior; 15] = [
    MemberBehavior::Answers,
    MemberBehavior::Lags,
    MemberBehavior::Errs,
    MemberBehavior::Sheds,
    MemberBehavior::WrongRole,
    MemberBehavior::Spoils,
    MemberBehavior::StandsStill,
    MemberBehavior::StandsInside,
    MemberBehavior::Breaks,
    MemberBehavior::BreaksInStartup,
    MemberBehavior::ClosesAfter,
    MemberBehavior::Refuses,
    MemberBehavior::ComesUpLate,
    MemberBehavior::SaysTooMuch,
    MemberBehavior::FutureClock,
];

/// What happens scheduled at one gateway.
enum Scheduled {
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
struct Client {
    pending: VecDeque<Frame>,
    key: Option<Vec<u8>>,
    reads: bool,
    /// Bytes of half a message.
    half: usize,
    greeted: bool,
}

/// One gateway with everything around it.
struct Gateway {
    reducer: Reducer,
    clients: BTreeMap<ClientId, Client>,
    conns: BTreeMap<ConnectionId, u32>,
    calls: BTreeSet<CallId>,
    streams: BTreeSet<ConnectionId>,
    /// The watch that is open, by number.
    watch: Option<u64>,
    watches: u64,
    accepts: bool,
    stored: u64,
    ended: bool,
    terminated: bool,
    address: SocketAddr,
    cluster: SocketAddr,
}

struct Simulation {
    random: Random,
    digest: Digest,
    now: Time,
    gateways: Vec<Gateway>,
    scheduled: BTreeMap<(Time, u64), (usize, Scheduled)>,
    number: u64,
    behaviors: [MemberBehavior; MEMBERS as usize],
    phases: [u8; MEMBERS as usize],
    moved: [bool; MEMBERS as usize],
    since: [i64; MEMBERS as usize],
    leader: u32,
    revision: u64,
    agent_up: bool,
    next_client: u64,
    next_call: u64,
    next_id: u64,
    /// Datagrams that were sent, to be sent again.
    sent: Vec<Vec<u8>>,
    text: String,
    options: Options,
}

#[derive(Clone, Copy)]
struct Options {
    sessions: bool,
    others: bool,
    start: bool,
    paced: bool,
    flight: bool,
    subscribe: bool,
    instances: usize,
}

impl Options {
    fn of(seed: u64) -> Self {
        let kind = seed % 12;
        Options {
            sessions: matches!(kind, 6 | 7 | 8 | 11),
            others: matches!(kind, 5 | 9),
            start: matches!(kind, 4 | 5 | 8 | 9 | 11),
            paced: matches!(kind, 4 | 8 | 9),
            flight: matches!(kind, 2 | 3 | 9 | 10 | 11),
            subscribe: matches!(kind, 1 | 10),
            instances: if matches!(kind, 0 | 2 | 4 | 6) { 1 } else { 2 },
        }
    }
}

fn ring() -> Keyring {
    Keyring::new(vec![
        Key::new("test", b"a secret of this test alone").expect("a secret")
    ])
    .expect("keys")
}

fn cluster_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7300 + index as u16))
}

fn peer_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7900 + index as u16))
}

fn base_config(seed: u64, index: usize, options: Options, random: &mut Random) -> (Config, String) {
    let known = match random.below(4) {
        0 => "null".to_owned(),
        _ => list_text(
            1,
            true,
            &(1..=3)
                .map(|n| entry(n, "ready", if n == 1 { "leader" } else { "follower" }))
                .collect::<Vec<_>>(),
        ),
    };
    let mut text = config_text(&known);
    let mut change = |from: &str, to: &str| text = text.replace(from, to);
    if random.chance(25) {
        change("\"Cancel\":true", "\"Cancel\":false");
    }
    if random.chance(30) {
        change("\"SecondCopies\":false", "\"SecondCopies\":true");
    }
    if random.chance(20) {
        change("\"Probes\":true", "\"Probes\":false");
    }
    if random.chance(20) {
        change("\"MayTell\":true", "\"MayTell\":false");
    }
    if random.chance(20) {
        change("\"RetryAfter\":true", "\"RetryAfter\":false");
    }
    if random.chance(20) {
        change(
            "\"StopSendingWithinNs\"",
            "\"OnlyDrainingBinds\":true,\"StopSendingWithinNs\"",
        );
    }
    if random.chance(30) {
        change("\"ConnIdleNs\":20000000000", "\"ConnIdleNs\":900000000");
    }
    if options.subscribe {
        change(
            "\"MembershipMode\":\"automatic\"",
            "\"MembershipMode\":\"subscribe\"",
        );
    }
    if options.paced {
        change("\"FleetSize\":2", "\"FleetSize\":4");
    }
    change("\"Me\":0", &format!("\"Me\":{index}"));
    change("\"name\":\"g0\"", &format!("\"name\":\"g{index}\""));
    change(
        "\"seed\":\"8c1f\"",
        &format!("\"seed\":\"{:x}\"", 0x8c1f + seed * 2 + index as u64),
    );
    let mut config = Config::from_text(&text, |_| None).expect("a configuration");
    let limits = &mut config.limits;
    if random.chance(60) {
        (
            limits.clients,
            limits.client_reserve,
            limits.client_soft_limit,
        ) = (5, 2, 3);
    }
    if random.chance(50) {
        limits.member_connections = 4;
    }
    if random.chance(40) {
        (limits.client_bytes, limits.pending_write_bytes) = (1500, 700);
    }
    if random.chance(30) {
        (
            limits.requests,
            limits.max_pipelined_statements,
            limits.max_consecutive_malformed,
        ) = (5, 4, 3);
    }
    if random.chance(20) {
        limits.members = 3;
    }
    (config, text)
}

fn add_operator_file(config: &mut Config, index: usize, options: Options, random: &mut Random) {
    let seeds = [cluster_address(0), cluster_address(1)];
    if options.flight {
        let members = match random.below(3) {
            0 => r#""groups": [2]"#,
            1 => r#""members": ["m1", "m2"]"#,
            _ => r#""members": ["m3"]"#,
        };
        let file = format!(r#"{{"listen": "127.0.0.1:0", "keys": ["k"], {members}}}"#);
        config.operator.flight = Some(FlightConfig {
            options: serde_json::from_str(&file).expect("a part"),
            keyring: ring(),
        });
    }
    if options.sessions {
        let keepers = match random.below(3) {
            0 => r#"["g0"]"#,
            _ => r#"["g0", "g1"]"#,
        };
        let file = format!(
            r#"{{"cluster": "test", "listen": "{}", "seeds": ["{}", "{}"], "keys": ["k"], "keepers": {keepers},
            "lease": "100ms", "horizon": "1s", "resend": "20ms", "lookup": "20ms", "marks": 1000, "own_marks": 1000,
            "waits": 16, "expected": 2}}"#,
            cluster_address(index),
            seeds[0],
            seeds[1]
        );
        let together = SessionSharingConfig {
            options: serde_json::from_str(&file).expect("a part"),
            keyring: ring(),
        };
        config.cluster = Some(ClusterConfig::from(&together));
        config.session_sharing = Some(together);
    }
    if options.others {
        let file = format!(
            r#"{{"name": "test", "listen": "{}", "seeds": ["{}", "{}"], "keys": ["k"], "expected": 2}}"#,
            cluster_address(index),
            seeds[0],
            seeds[1]
        );
        config.cluster = Some(ClusterConfig {
            options: serde_json::from_str(&file).expect("a part"),
            keyring: ring(),
        });
    }
    if options.start {
        let opens = if options.paced { r#""opens": 2, "# } else { "" };
        let file = format!(
            r#"{{"bears": 100, {opens}"service": "s", "kept_wait": "100ms", "reset_after": "2s"}}"#
        );
        config.bootstrap = Some(serde_json::from_str(&file).expect("a part"));
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
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

    fn boot(&mut self, index: usize, config: Config) {
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
            let kept = self.random.chance(40).then(|| CachedEndpoints {
                list: list(
                    1,
                    true,
                    &[
                        entry(1, "ready", "leader"),
                        entry(2, "draining", "follower"),
                        entry(3, "ready", "follower"),
                    ],
                ),
                confirmed_at: START - 5 * SECOND,
                warm_throughput: 100.0,
            });
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

    fn schedule(&mut self, index: usize, after: Span, scheduled: Scheduled) {
        self.number += 1;
        self.scheduled
            .insert((self.now + after, self.number), (index, scheduled));
    }

    fn input(&mut self, index: usize, input: Input) {
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

    fn apply_effect(&mut self, index: usize, effect: Effect) {
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

    fn client_written(&mut self, index: usize, id: ClientId, bytes: &[u8], close: bool) {
        let Some(client) = self.gateways[index].clients.get_mut(&id) else {
            return;
        };
        if let Some(at) = bytes.windows(5).position(|w| w == [b'K', 0, 0, 0, 12]) {
            client.key = bytes.get(at + 5..at + 13).map(<[u8]>::to_vec);
        }
        let reads = client.reads;
        if reads {
            let after = self.random.span(0, MS / 2);
            self.schedule(index, after, Scheduled::Flushed(id));
        }
        if close && (reads || self.random.chance(50)) {
            let after = self.random.span(0, 40 * MS);
            self.schedule(index, after, Scheduled::Left(id));
        }
    }

    fn open(&mut self, index: usize, conn: ConnectionId, member: u32, back: bool) {
        self.gateways[index].conns.insert(conn, member);
        let behavior = self.behaviors[member as usize];
        let (up, greets) = match behavior {
            MemberBehavior::Refuses => {
                let after = self.random.span(0, 2 * MS);
                return self.schedule(
                    index,
                    after,
                    Scheduled::Lost(conn, CloseReason::Disconnected),
                );
            }
            MemberBehavior::ComesUpLate => (
                self.random.span(10 * MS, 500 * MS),
                self.random.span(10 * MS, 600 * MS),
            ),
            MemberBehavior::StandsStill if self.random.chance(30) => return,
            _ => (self.random.span(0, 2 * MS), self.random.span(0, 5 * MS)),
        };
        self.schedule(
            index,
            up,
            Scheduled::Member(conn, Input::MemberConnected(conn)),
        );
        if back {
            return;
        }
        self.schedule(
            index,
            up,
            Scheduled::Member(conn, Input::MemberFlushed(conn)),
        );
        if behavior == MemberBehavior::BreaksInStartup {
            let why = if self.random.chance(80) {
                CloseReason::Disconnected
            } else {
                CloseReason::ProtocolError
            };
            return self.schedule(index, up + greets, Scheduled::Lost(conn, why));
        }
        let greeting = match self.random.below(40) {
            0 => vec![error("53300"), ready()],
            1 => vec![message(b'T', b"")],
            2 => vec![error("53300")],
            _ => vec![message(b'R', &[0; 4]), ready()],
        };
        for frame in greeting {
            self.schedule(
                index,
                up + greets,
                Scheduled::Member(conn, Input::MemberFrame(conn, frame)),
            );
        }
    }

    /// What a member says of itself beside an answer.
    fn role_and_position(&mut self, member: u32, behind: Span) -> Vec<Frame> {
        let position = match self.behaviors[member as usize] {
            MemberBehavior::FutureClock => self.now + 9 * SECOND,
            _ => self.now - behind,
        };
        let leads = (member + 1 == self.leader)
            != (self.behaviors[member as usize] == MemberBehavior::WrongRole);
        let role = if leads { "leader" } else { "follower" };
        vec![
            status("node_role", role),
            status("replay_position", &(position / MS).to_string()),
        ]
    }

    fn answer(&mut self, index: usize, conn: ConnectionId, probe: bool, back: bool) {
        let Some(member) = self.gateways[index].conns.get(&conn).copied() else {
            return;
        };
        let behavior = self.behaviors[member as usize];
        let behind = if behavior == MemberBehavior::Lags {
            3 * SECOND
        } else {
            self.random.span(0, 30 * MS)
        };
        let took = match behavior {
            MemberBehavior::Lags => self.random.span(50 * MS, 400 * MS),
            _ => self.random.span(MS / 2, 20 * MS),
        };
        let row = if probe {
            let at = self.now - behind;
            let text = format!(
                "x0={}.{:03},x1={}",
                at / SECOND,
                at % SECOND / MS,
                u8::from(member + 1 == self.leader)
            );
            row(text.as_bytes())
        } else {
            let length = self.random.below(300) as usize;
            row(&vec![b'v'; length])
        };
        let status_frames = if self.random.chance(85) {
            self.role_and_position(member, behind)
        } else {
            Vec::new()
        };
        let frames = match behavior {
            MemberBehavior::StandsStill => return,
            MemberBehavior::Breaks => {
                let why = if back && self.random.chance(40) {
                    CloseReason::NotSent
                } else {
                    CloseReason::Disconnected
                };
                return self.schedule(index, took, Scheduled::Lost(conn, why));
            }
            MemberBehavior::StandsInside => {
                self.schedule(
                    index,
                    took,
                    Scheduled::Member(conn, Input::MemberFrame(conn, row[0].clone())),
                );
                return self.schedule(
                    index,
                    took,
                    Scheduled::Member(conn, Input::MemberPartialFrame(conn)),
                );
            }
            MemberBehavior::Errs => [vec![error("XX000")], status_frames, vec![ready()]].concat(),
            MemberBehavior::Sheds => [vec![error("53300")], status_frames, vec![ready()]].concat(),
            MemberBehavior::WrongRole => {
                let code = if self.random.chance(50) {
                    "25006"
                } else {
                    "72000"
                };
                [vec![error(code)], status_frames, vec![ready()]].concat()
            }
            MemberBehavior::Spoils => match self.random.below(3) {
                0 => vec![message(b'I', b""), ready()],
                1 => vec![row[1].clone()],
                _ => [row, vec![message(b'x', b"")]].concat(),
            },
            MemberBehavior::SaysTooMuch => {
                [row.clone(), status_frames, vec![ready()], row].concat()
            }
            _ => [row, status_frames, vec![ready()]].concat(),
        };
        for frame in frames {
            self.schedule(
                index,
                took,
                Scheduled::Member(conn, Input::MemberFrame(conn, frame)),
            );
        }
        if behavior == MemberBehavior::ClosesAfter {
            let after = took + self.random.span(0, 10 * MS);
            if self.random.chance(30) {
                self.schedule(
                    index,
                    after,
                    Scheduled::Member(conn, Input::MemberFrame(conn, error("57P01"))),
                );
            }
            self.schedule(
                index,
                after,
                Scheduled::Lost(conn, CloseReason::Disconnected),
            );
        }
    }

    fn stream(&mut self, index: usize, conn: ConnectionId) {
        let Some(member) = self.gateways[index].conns.get(&conn).copied() else {
            return;
        };
        let said = StreamHeader {
            primary: self.random.chance(80).then_some(member + 1 == self.leader),
            position: self.random.chance(80).then_some(self.now),
            report: LoadReport {
                position: Some(self.now - 10 * MS),
                ..LoadReport::default()
            },
        };
        let begins = self.random.span(MS, 30 * MS);
        self.schedule(
            index,
            begins,
            Scheduled::Member(conn, Input::StreamStarted(conn, said)),
        );
        let waits = begins + self.random.span(0, 50 * MS);
        if self.random.chance(50) {
            self.schedule(
                index,
                waits,
                Scheduled::Member(conn, Input::StreamPaused(conn)),
            );
        }
        let over = waits + self.random.span(0, 300 * MS);
        match self.random.below(5) {
            0 => self.schedule(
                index,
                over,
                Scheduled::Lost(conn, CloseReason::Disconnected),
            ),
            1 => self.schedule(
                index,
                over,
                Scheduled::Member(conn, Input::StreamEnded(conn, Outcome::ConnectionReset)),
            ),
            2 => self.schedule(
                index,
                over,
                Scheduled::Member(conn, Input::StreamEnded(conn, Outcome::Cancelled)),
            ),
            _ => self.schedule(
                index,
                over,
                Scheduled::Member(conn, Input::StreamEnded(conn, Outcome::Served)),
            ),
        }
    }

    /// The list as the agent has it; all of it, or a few entries.
    fn list(&mut self, complete: bool) -> stackgw_gateway::discovery::ListUpdate {
        let mut entries = Vec::new();
        for n in 1..=MEMBERS {
            let at = (n - 1) as usize;
            if self.phases[at] == 3 || (!complete && self.random.chance(50)) {
                continue;
            }
            let phase = ["ready", "draining", "gone"][usize::from(self.phases[at])];
            let role = if n == self.leader {
                "leader"
            } else {
                "follower"
            };
            let mut text = entry(n, phase, role);
            if self.moved[at] {
                text = text.replace("127.0.0.1:70", "127.0.0.1:71");
            }
            if self.since[at] != 0 {
                text = text.replace(
                    "\"up_since_ms\":0",
                    &format!("\"up_since_ms\":{}", self.since[at]),
                );
            }
            entries.push(text);
        }
        list(self.revision, complete, &entries)
    }

    fn watch(&mut self, index: usize, _after: Option<u64>) {
        let gateway = &mut self.gateways[index];
        gateway.watches += 1;
        gateway.watch = Some(gateway.watches);
        let number = gateway.watches;
        if !self.agent_up {
            if self.random.chance(60) {
                let put_off = self.random.chance(30).then_some(200 * MS);
                let lost = stackgw_gateway::discovery::WatchError {
                    reason: "refused".to_owned(),
                    retry_after: put_off,
                };
                let after = self.random.span(0, 3 * MS);
                self.schedule(
                    index,
                    after,
                    Scheduled::Watch(number, Input::WatchLost(lost)),
                );
            }
            return;
        }
        let up = self.random.span(0, 10 * MS);
        self.schedule(index, up, Scheduled::Watch(number, Input::WatchConnected));
        let list = self.list(true);
        let after = up + self.random.span(0, 10 * MS);
        self.schedule(
            index,
            after,
            Scheduled::Watch(number, Input::EndpointList(list)),
        );
        for n in 1..4 {
            self.schedule(
                index,
                after + n * 2 * SECOND,
                Scheduled::Watch(number, Input::WatchKeepalive),
            );
        }
    }

    fn send_datagram(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
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

    /// Hands over what clients have sent as far as it is taken.
    fn send_pending_frames(&mut self, index: usize) {
        let ids: Vec<_> = self.gateways[index].clients.keys().copied().collect();
        for id in ids {
            let mut fed = false;
            while self.gateways[index].reducer.accepts_frame(id) {
                let client = self.gateways[index].clients.get_mut(&id);
                let Some(frame) = client.and_then(|client| client.pending.pop_front()) else {
                    break;
                };
                fed = true;
                self.input(index, Input::ClientFrame(id, frame));
            }
            let Some(client) = self.gateways[index].clients.get(&id) else {
                continue;
            };
            let ahead = client.half + client.pending.iter().map(|f| f.bytes.len()).sum::<usize>();
            if fed || ahead > 0 {
                self.input(index, Input::ClientReadAhead(id, ahead));
            }
        }
    }

    fn deliver(&mut self, index: usize, scheduled: Scheduled) {
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
    fn pass(&mut self, span: Span) {
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

    fn id(&mut self) -> String {
        if !self.random.chance(4) {
            self.next_id += 1;
        }
        format!("h{:x}", self.next_id)
    }

    fn statement(&mut self) -> Frame {
        let (id, key) = (self.id(), self.random.below(4));
        let wait = [5, 40, 200, 900, 3000][self.random.below(5) as usize];
        let after = match self.random.below(6) {
            0 => format!(",after={}", self.now / MS - 50),
            1 => ",r=1".to_owned(),
            _ => String::new(),
        };
        match self.random.below(24) {
            0 => query("SELECT 1"),
            1 => query(" ; "),
            2 => query(&format!("SELECT val FROM state WHERE uid = 'k' /* id={id},c=none,d=90,cluster=2 */")),
            3 => query(&format!("SELECT val FROM state WHERE uid = 'k' /* id={id},c=look,d=90,cluster=9 */")),
            4 => query(&format!("SELECT val FROM state WHERE uid = 'k' /* id={id},c=buy,d=90,cluster=2 */")),
            5 => message(b'P', b"\0\0\0\0"),
            6 => message(b'S', b""),
            7 if self.random.chance(30) => message(b'X', b""),
            8 if self.random.chance(30) => message(b'y', b""),
            9..=14 => query(&format!(
                "INSERT INTO state (uid, val) VALUES ('k{key}', '\\x9f03') RETURNING val /* id={id},c=buy,d={wait},cluster=2{after} */"
            )),
            15..=18 => query(&format!(
                "SELECT val FROM state WHERE uid = 'k{key}' /* id={id},c=mine,d={wait},cluster=2{after} */"
            )),
            _ => query(&format!(
                "SELECT val FROM state WHERE uid = 'k{key}' /* id={id},c=look,d={wait},cluster=2{after} */"
            )),
        }
    }

    fn client(&mut self, index: usize) -> Option<ClientId> {
        let ids: Vec<_> = self.gateways[index].clients.keys().copied().collect();
        self.random.one(&ids)
    }

    fn open_client(&mut self, index: usize) {
        if !self.gateways[index].accepts {
            return;
        }
        self.next_client += 1;
        let id = ClientId(self.next_client);
        let reads = !self.random.chance(8);
        let mut client = Client {
            reads,
            greeted: true,
            ..Client::default()
        };
        match self.random.below(14) {
            0 if self.agent_up => client.greeted = false,
            1 => client.pending.push_back(Frame {
                kind: 0,
                bytes: vec![0, 0, 0, 8, 4, 210, 22, 47],
            }),
            2 => client.pending.push_back(Frame {
                kind: 0,
                bytes: vec![0, 0, 0, 9, 0, 1, 0, 0, 0],
            }),
            _ => client.pending.push_back(startup()),
        }
        let greets_first = if self.agent_up { 40 } else { 95 };
        if self.random.chance(greets_first) {
            client.pending.push_back(query(""));
        }
        self.gateways[index].clients.insert(id, client);
        self.input(index, Input::ClientConnected(id));
        self.send_pending_frames(index);
    }

    fn cancel(&mut self, index: usize) {
        let keys: Vec<_> = self.gateways[index]
            .clients
            .values()
            .filter_map(|c| c.key.clone())
            .collect();
        if keys.is_empty() || !self.gateways[index].accepts {
            return;
        }
        let key = &keys[self.random.below(keys.len() as u64) as usize];
        let mut bytes = vec![0, 0, 0, 16, 4, 210, 22, 46];
        bytes.extend(key);
        self.next_client += 1;
        let id = ClientId(self.next_client);
        let mut client = Client {
            reads: true,
            ..Client::default()
        };
        client.pending.push_back(Frame { kind: 0, bytes });
        self.gateways[index].clients.insert(id, client);
        self.input(index, Input::ClientConnected(id));
        self.send_pending_frames(index);
    }

    fn ask(&mut self, index: usize) {
        let many = if self.random.chance(15) {
            12
        } else {
            1 + self.random.below(3)
        };
        let Some(id) = self.client(index) else { return };
        for _ in 0..many {
            let frame = self.statement();
            if let Some(client) = self.gateways[index]
                .clients
                .get_mut(&id)
                .filter(|c| c.greeted)
            {
                client.pending.push_back(frame);
                client.half = 0;
            }
        }
        self.send_pending_frames(index);
    }

    fn change_list(&mut self) {
        let at = self.random.below(MEMBERS.into()) as usize;
        match self.random.below(8) {
            0..=3 => self.phases[at] = [0, 0, 0, 1, 2, 3][self.random.below(6) as usize],
            4 => self.moved[at] = !self.moved[at],
            5 => self.since[at] = self.now / MS - self.random.span(0, 20_000),
            6 => self.leader = 1 + self.random.below(MEMBERS.into()) as u32,
            _ => self.since[at] = 0,
        }
        self.revision += 1;
        if self.random.chance(5) {
            self.revision = 1;
        }
        let complete = self.random.chance(40);
        for index in 0..self.gateways.len() {
            let list = self.list(complete);
            if let Some(number) = self.gateways[index].watch.filter(|_| self.agent_up) {
                let after = self.random.span(0, 20 * MS);
                self.schedule(
                    index,
                    after,
                    Scheduled::Watch(number, Input::EndpointList(list)),
                );
            }
        }
    }

    fn reload(&mut self, index: usize) {
        let port = 8500 + self.random.below(3);
        let text = self
            .text
            .replace("127.0.0.1:8500", &format!("127.0.0.1:{port}"));
        let bad = self.random.chance(20);
        let mut config = match Config::from_text(&text, |_| None) {
            Ok(config) if !bad => config,
            _ => return self.input(index, Input::Reload(Err(ConfigError::NoFile))),
        };
        let options = self.options;
        let mut random = Random(self.random.next());
        add_operator_file(&mut config, index, options, &mut random);
        if self.random.chance(10) {
            (config.session_sharing, config.cluster, config.bootstrap) = (None, None, None);
        }
        self.input(index, Input::Reload(Ok(Box::new(config))));
    }

    fn call(&mut self, index: usize) {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let frame = self.statement();
        if frame.kind != b'Q' {
            return;
        }
        self.gateways[index].calls.insert(call);
        let streams = self.random.chance(60);
        self.input(index, Input::Call(call, frame, streams));
    }

    fn leave_call(&mut self, index: usize) {
        let calls: Vec<_> = self.gateways[index].calls.iter().copied().collect();
        if let Some(call) = self.random.one(&calls) {
            self.gateways[index].calls.remove(&call);
            self.input(index, Input::CallCancelled(call));
        }
    }

    fn question(&mut self, index: usize) {
        let question = match self.random.below(3) {
            0 => StatusQuery::Sessions,
            1 => StatusQuery::Session(2, format!("k{}", self.random.below(4))),
            _ => StatusQuery::EndpointList,
        };
        self.input(index, Input::StatusQuery(7, question));
    }

    fn datagram(&mut self, index: usize) {
        let length = self.random.below(40);
        let made: Vec<_> = (0..length).map(|_| self.random.next() as u8).collect();
        let bytes = match self.sent.len() as u64 {
            0 => made,
            _ if self.random.chance(40) => made,
            count => self.sent[self.random.below(count) as usize].clone(),
        };
        let from = peer_address(self.random.below(3) as usize);
        self.input(index, Input::GossipDatagram(from, bytes.clone()));
        if self.random.chance(30) {
            self.input(index, Input::ClusterDatagram(bytes));
        }
    }

    fn disk_fails(&mut self, index: usize) {
        let void = self.random.chance(50);
        let why = stackgw_store::StoreError::Io {
            path: "g0.redb".into(),
            source: std::io::Error::other("the disk is full"),
        };
        self.input(
            index,
            Input::StoreEvent(CommitOutcome::Failed {
                error: why,
                quarantined: void,
            }),
        );
    }

    fn half_message(&mut self, index: usize) {
        let bytes = self.random.below(1500) as usize;
        if let Some(id) = self.client(index) {
            if let Some(client) = self.gateways[index].clients.get_mut(&id) {
                client.half = bytes;
            }
            self.send_pending_frames(index);
        }
    }

    fn read_on(&mut self, index: usize) {
        let slow = self.gateways[index]
            .clients
            .iter_mut()
            .filter(|(_, c)| !c.reads);
        let slow: Vec<_> = slow.map(|(id, c)| (c.reads = true, *id).1).collect();
        for id in slow {
            self.schedule(index, 0, Scheduled::Flushed(id));
        }
    }

    fn end(&mut self, index: usize) {
        if !self.gateways[index].terminated && self.random.chance(15) {
            self.gateways[index].terminated = true;
            self.input(index, Input::Terminate);
        }
    }

    fn step(&mut self) {
        let index = self.random.below(self.gateways.len() as u64) as usize;
        match self.random.below(100) {
            0..=11 => self.open_client(index),
            12..=49 => self.ask(index),
            50..=55 => self.call(index),
            56..=57 => self.leave_call(index),
            58..=60 => {
                if let Some(id) = self.client(index) {
                    self.deliver(index, Scheduled::Left(id));
                }
            }
            61 => {
                if let Some(id) = self.client(index) {
                    self.input(index, Input::ClientClosed(id, CloseReason::ProtocolError));
                }
            }
            62..=64 => self.cancel(index),
            65..=74 => {
                let at = self.random.below(MEMBERS.into()) as usize;
                let behavior = self
                    .random
                    .one(&BEHAVIORS)
                    .unwrap_or(MemberBehavior::Answers);
                self.behaviors[at] = if self.random.chance(45) {
                    MemberBehavior::Answers
                } else {
                    behavior
                };
            }
            75..=79 => self.change_list(),
            80 => self.agent_up = !self.agent_up,
            81 => self.lose_watch(index),
            82 => self.reload(index),
            83..=84 => self.datagram(index),
            85..=86 => self.question(index),
            87 => self.input(index, Input::Report),
            88..=90 => self.half_message(index),
            91..=92 => self.read_on(index),
            93..=94 => self.lose_conn(index),
            95 => self.partial(index),
            96 if self.options.sessions && self.random.chance(15) => self.disk_fails(index),
            97 if self.number > 400 => self.end(index),
            98 => {
                let lasts = if self.random.chance(15) {
                    100 * SECOND
                } else {
                    2 * SECOND
                };
                self.pass(lasts);
            }
            _ => {}
        }
        let span = match self.random.below(6) {
            0 => 0,
            1 => self.random.span(0, 300 * MS),
            _ => self.random.span(0, 20 * MS),
        };
        self.pass(span);
        self.digest_visible_state();
    }

    fn lose_watch(&mut self, index: usize) {
        if let Some(number) = self.gateways[index].watch {
            self.deliver(
                index,
                Scheduled::Watch(number, Input::WatchLost("ended".into())),
            );
        }
    }

    fn any_conn(&mut self, index: usize) -> Option<ConnectionId> {
        let conns: Vec<_> = self.gateways[index].conns.keys().copied().collect();
        self.random.one(&conns)
    }

    fn lose_conn(&mut self, index: usize) {
        let why = if self.random.chance(70) {
            CloseReason::Disconnected
        } else {
            CloseReason::ProtocolError
        };
        if let Some(conn) = self.any_conn(index) {
            self.deliver(index, Scheduled::Lost(conn, why));
        }
    }

    fn partial(&mut self, index: usize) {
        if let Some(conn) = self.any_conn(index) {
            self.input(index, Input::MemberPartialFrame(conn));
        }
    }

    /// What the reducer shows of itself.
    fn digest_visible_state(&mut self) {
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

fn play(seed: u64, total: &mut BTreeMap<usize, (String, u64)>) -> u64 {
    let mut simulation = Simulation::new(seed);
    for _ in 0..STEPS {
        simulation.step();
    }
    if seed % 2 == 1 {
        (0..simulation.gateways.len()).for_each(|index| simulation.input(index, Input::Terminate));
    }
    simulation.pass(5 * SECOND);
    for index in 0..simulation.gateways.len() {
        simulation.input(index, Input::Report);
        let counters = parse_counters(&simulation.gateways[index].reducer.counters().to_string());
        for (at, (name, count)) in counters.into_iter().enumerate() {
            simulation.digest.number(count);
            total.entry(at).or_insert((name, 0)).1 += count;
        }
    }
    simulation.digest.0
}

/// Prints the digest of all histories. It has no expected value: it is compared between two versions of the code.
#[test]
#[ignore = "prints a digest, to be compared between versions"]
fn digest_of_random_histories() {
    let mut all = Digest::new();
    let mut total = BTreeMap::new();
    for seed in 0..HISTORIES {
        let digest = play(seed, &mut total);
        if std::env::var_os("DIGEST_EACH").is_some() {
            println!("history {seed} {digest:016x}");
        }
        all.number(digest);
    }
    let total: Vec<_> = total
        .values()
        .map(|(name, count)| format!("{name}={count}"))
        .collect();
    println!("counters {}", total.join(" "));
    println!("digest reducer = {:016x}", all.0);
}
