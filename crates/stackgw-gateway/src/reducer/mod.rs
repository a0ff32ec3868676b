//! The only place where the gateway's state changes. It takes one input at a time and appends the effects that the
//! I/O side is to carry out. It owns the router, the requests, the connections and their pools, the timers and the
//! counters, and it knows no socket, clock or await. Whom to ask, when to stop, retry or refuse is the router's.

mod clients;
mod cluster;
mod ending;
mod list;
mod members;
mod reload;
mod sessions;
mod start;
mod streams;

use crate::config::{Config, ConfigError};
use crate::counters::Counters;
use crate::discovery::{ListEntry, ListUpdate, WatchError};
use crate::limits::Limits;
use crate::pg::{self, code, write, Frame, Reply, ReplyOutcome, Statement, StatementTarget};
use crate::pool::Pool;
use stackgw_router::{api::*, Router};
use stackgw_settings::{GossipCodec, NameTable, PlatformSettings};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use clients::{Client, Open};
use cluster::Membership;
use list::Listed;
use members::{Conn, Job, Phase};
use reload::Fixed;
pub use sessions::Incarnation;
use sessions::Shared;
use start::Starting;
pub use streams::{BackendRequest, StreamHeader};

/// A client's connection, numbered by the I/O side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);
/// A request that came by another way than a client's connection of our first protocol, numbered by the I/O side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);
/// Who is to be told how a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Requester {
    /// A client of our first protocol, in its place in that client's line.
    Client(ClientId),
    /// Another front.
    Call(CallId),
}

/// A request's one final answer, before any protocol has worded it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FinalResponse {
    /// The row's description, the row and its completion, as the member gave them.
    Served(Vec<u8>),
    /// Trying again is harmless; perhaps after so many milliseconds.
    Rejected(&'static str, Option<i64>),
    /// No list of members is known, or the gateway ends; the same otherwise.
    Unavailable(&'static str),
    /// Nothing is promised.
    Failed(&'static str),
    /// The request itself is at fault.
    Malformed(&'static str),
}

impl FinalResponse {
    /// The messages of our first protocol.
    fn worded(self) -> Vec<u8> {
        let (code, text, wait) = match self {
            FinalResponse::Served(mut row) => {
                write::ready(&mut row);
                return row;
            }
            FinalResponse::Rejected(text, wait) => ("53300", text, wait),
            FinalResponse::Unavailable(text) => ("57P03", text, None),
            FinalResponse::Failed(text) => ("58000", text, None),
            FinalResponse::Malformed(text) => ("42601", text, None),
        };
        clients::error_reply(false, code, text, wait.map(|ms| ms.to_string()).as_deref())
    }
}

/// A connection to a member, numbered here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Why a connection is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The other side closed or broke it, or it never came up.
    Disconnected,
    /// The same, and what was asked on it is known never to have left.
    NotSent,
    /// Its bytes are no protocol.
    ProtocolError,
    /// Something was on it that nobody had asked for.
    UnexpectedData,
}

/// What happened outside.
#[derive(Debug)]
pub enum Input {
    /// The gateway starts.
    Start,
    /// A client connected.
    ClientConnected(ClientId),
    /// A client's whole message; handed over only where [`Reducer::takes`] says so.
    ClientFrame(ClientId, Frame),
    /// A client has sent so much that has not been taken yet, be it half a message or more than one.
    ClientReadAhead(ClientId, usize),
    /// All that was to be written to a client is written.
    ClientFlushed(ClientId),
    /// A client's connection is over.
    ClientClosed(ClientId, CloseReason),
    /// A connection to a member came up.
    MemberConnected(ConnectionId),
    /// The last byte of what was to be written to a member is written.
    MemberFlushed(ConnectionId),
    /// A member's whole message.
    MemberFrame(ConnectionId, Frame),
    /// What a member has sent so far ends inside an answer or a message.
    MemberPartialFrame(ConnectionId),
    /// A connection to a member is over, or never came up.
    MemberClosed(ConnectionId, CloseReason),
    /// The watch brought a list, or the whole list that was asked for came.
    EndpointList(ListUpdate),
    /// The watch's connection is up, and it has been asked for.
    WatchConnected,
    /// The watch brought a line without news.
    WatchKeepalive,
    /// The watch ended, or could not be opened; the text says why.
    WatchLost(WatchError),
    /// The list could not be had.
    FetchFailed,
    /// A datagram.
    GossipDatagram(SocketAddr, Vec<u8>),
    /// A datagram from another instance of the operator's cluster.
    ClusterDatagram(Vec<u8>),
    /// A member's answer comes as a stream and has begun; what it says of the member came before it.
    StreamStarted(ConnectionId, StreamHeader),
    /// A member's stream waits for its reader.
    StreamPaused(ConnectionId),
    /// A member's stream is over; its connection is idle again where it is [`Outcome::Served`].
    StreamEnded(ConnectionId, Outcome),
    /// A request by another front, whose statement is in the form of our first protocol; whether its answer may be a stream.
    Call(CallId, Frame, bool),
    /// Nobody waits for that request any more.
    CallCancelled(CallId),
    /// Word of the disk.
    StoreEvent(stackgw_store::CommitOutcome),
    /// Somebody at the local socket asks.
    StatusQuery(u64, StatusQuery),
    /// The time that [`Reducer::next_due`] named has come.
    TimerDue,
    /// The configuration as it stands now, or why it cannot be used.
    Reload(Result<Box<Config>, ConfigError>),
    /// Finish what was taken and end.
    Terminate,
    /// New connections are no longer taken; all that waited have been handed over.
    ListenerClosed,
    /// Print the counters.
    Report,
}

/// What somebody at the local socket wants to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatusQuery {
    /// What is known of sessions, and why not for sure.
    Sessions,
    /// What is held of one session of a group.
    Session(u32, String),
    /// Where the list is from.
    EndpointList,
}

/// What is to be done outside.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Take new clients, or leave them waiting.
    AcceptClients(bool),
    /// Write to a client; then, if `close`, close.
    ClientWrite {
        /// Whom.
        client: ClientId,
        /// What.
        bytes: Vec<u8>,
        /// Nothing follows.
        close: bool,
    },
    /// Close a client's connection at once.
    ClientClose(ClientId),
    /// Close a client's connection unless it has sent something by now, which is then to be handed over.
    ClientCloseIfIdle(ClientId),
    /// Open a connection to a member.
    MemberConnect(ConnectionId, SocketAddr),
    /// Open a connection to a member that speaks another front's protocol.
    BackendConnect(ConnectionId, SocketAddr),
    /// Ask on such a connection. It counts as written at once.
    BackendSend(ConnectionId, BackendRequest),
    /// Write to a member.
    MemberWrite(ConnectionId, Vec<u8>),
    /// Close a connection to a member.
    MemberClose(ConnectionId),
    /// Open a watch, at this address, of what changes after this version, in place of any other.
    OpenWatch(SocketAddr, Option<u64>),
    /// Close the watch.
    CloseWatch,
    /// Ask for the whole list at this address, in place of any other such question.
    FetchEndpoints(SocketAddr),
    /// Send a datagram.
    GossipDatagram(SocketAddr, Vec<u8>),
    /// Send a datagram to another instance of the operator's cluster.
    ClusterDatagram(SocketAddr, Vec<u8>),
    /// The end of another front's request.
    CallCompleted(CallId, FinalResponse),
    /// Another front's request is answered by the stream on this connection; [`Input::CallCancelled`] ends it.
    CallStreaming(CallId, ConnectionId),
    /// Keep a record on the disk.
    StoreRecord(stackgw_sessions::Record),
    /// Keep the list on the disk.
    StoreEndpoints(Box<stackgw_bootstrap::CachedEndpoints>),
    /// The answer to a question at the local socket.
    StatusReply(u64, serde_json::Value),
    /// Take what waits in line, then close the listener.
    StopListening,
    /// A line for the log.
    Log(String),
    /// Print the counters.
    Report(Box<Counters>),
    /// End the program.
    Exit,
}

/// What a timer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Due {
    Router(u64),
    /// A connection's connect limit, or the time that its attempt or probe may take.
    Conn(ConnectionId),
    /// A look at what stands idle or still.
    Sweep,
    Watch,
    /// The watch has not come up, has not begun to tell, or has fallen silent.
    WatchSilent,
    /// Another look at whether some client may make room.
    Admit,
    /// Something in the sessions across instances.
    Shared,
    /// Something in the membership.
    Cluster,
    /// Something in how the list comes to be known.
    Start,
    /// A served write whose session could not be told of it in time.
    Held(RequestId),
    StopListening,
    Retire,
    Refuse,
    End,
}

type TimerKey = (Time, u64);

/// The router's clock. Its interface promises events no closer together than a tick; what comes closer is of the same
/// moment. Danger: after a pause of this process the first of many late answers would alone count as late through it.
#[derive(Debug, Clone, Copy)]
pub struct TickClock {
    tick: Span,
    at: Option<Time>,
}

impl TickClock {
    /// Ticks at least this far apart.
    pub fn new(tick: Span) -> Self {
        TickClock { tick, at: None }
    }

    /// The moment that this time belongs to.
    pub fn tick_of(&mut self, now: Time) -> Time {
        match self.at {
            Some(at) if now - at < self.tick => at,
            _ => *self.at.insert(now),
        }
    }
}

/// The gateway's state.
pub struct Reducer {
    router: Router,
    limits: Limits,
    names: NameTable,
    classes: Vec<Class>,
    subscribed: bool,
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    me: usize,
    known: Option<ListUpdate>,
    members: BTreeMap<MemberId, Listed>,
    member_ids: HashMap<String, MemberId>,
    next_member: u32,
    gossip_codec: GossipCodec,
    /// Who has the list, and whether it has been asked for and not come.
    discovery: SocketAddr,
    fetching: bool,
    revision: Option<u64>,
    watching: bool,
    /// The watch is lost when this goes off.
    watch_until: Option<TimerKey>,
    watch_pause: Span,
    clients: BTreeMap<ClientId, Client>,
    /// Clients between requests, in the order in which they make room.
    idle_clients: BTreeSet<(bool, Time, ClientId)>,
    /// Bytes that clients have sent and that are not taken yet.
    ahead: usize,
    /// Bytes written to clients that have not left.
    unread: usize,
    /// A look at who may make room is due.
    admits: bool,
    accepting: bool,
    /// The client last asked to make room.
    evicting: Option<ClientId>,
    requests: HashMap<RequestId, Open>,
    /// Those of other fronts that are open.
    calls: HashMap<CallId, RequestId>,
    /// The ids of these requests.
    open_ids: HashSet<String>,
    next_request: u64,
    conns: HashMap<ConnectionId, Conn>,
    next_conn: u64,
    pool: Pool,
    /// For each member the connection that comes up with nobody waiting for it.
    coming: BTreeMap<MemberId, ConnectionId>,
    /// Which members speak another front's protocol.
    backs: streams::Backs,
    moments: TickClock,
    timers: BTreeMap<TimerKey, Due>,
    next_timer: u64,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    counters: Counters,
    /// SIGTERM has come; then the listener is closed; then the program is to end.
    ending: bool,
    listener_closed: bool,
    /// From when on clients are then closed between requests.
    retire_at: Time,
    /// Nothing is taken any more but to be refused.
    refuses: bool,
    exited: bool,
    secret: u64,
    /// What holds until a restart.
    fixed: Fixed,
    /// Sessions across instances, where the operator's file turns them on.
    shared: Option<Box<Shared>>,
    /// The other instances, where the operator's file names them.
    cluster: Option<Box<Membership>>,
    /// How the list comes to be known, where not as the platform has it.
    starting: Option<Box<Starting>>,
}

impl Reducer {
    /// A gateway that has not started yet.
    pub fn new(config: Config) -> Self {
        let fixed = Fixed::of(&config);
        let mut settings = config.settings.router;
        if config.session_sharing.is_some() {
            // What a session wrote is found out here, so the router is told with each read.
            settings.session_tracking = SessionTracking::Client;
        }
        // Where the file says how the list comes to be known, a watch brings it.
        settings.polls_endpoint_list &= config.bootstrap.is_none();
        // What members tell is carried beside the list where the platform has no messages for it.
        settings.limits.host_gossip =
            config.bootstrap.is_some() && config.cluster.is_some() && !settings.limits.gossip;
        Reducer {
            fixed,
            discovery: config.discovery,
            backs: streams::Backs::new(&config.operator),
            fetching: false,
            limits: config.limits,
            names: config.settings.names,
            classes: settings.classes.clone(),
            subscribed: !settings.polls_endpoint_list,
            peers: config.peers,
            peers_all: config.peers_all,
            me: settings.instance_index as usize,
            known: config.initial_endpoints,
            moments: TickClock::new(settings.tick),
            router: Router::new(settings, config.seed),
            members: BTreeMap::new(),
            member_ids: HashMap::new(),
            next_member: 0,
            gossip_codec: GossipCodec::default(),
            revision: None,
            watching: false,
            watch_until: None,
            watch_pause: 0,
            clients: BTreeMap::new(),
            idle_clients: BTreeSet::new(),
            ahead: 0,
            unread: 0,
            admits: false,
            accepting: false,
            evicting: None,
            requests: HashMap::new(),
            calls: HashMap::new(),
            open_ids: HashSet::new(),
            next_request: 0,
            conns: HashMap::new(),
            next_conn: 0,
            pool: Pool::default(),
            coming: BTreeMap::new(),
            timers: BTreeMap::new(),
            next_timer: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
            counters: Counters::default(),
            ending: false,
            listener_closed: false,
            retire_at: 0,
            refuses: false,
            exited: false,
            shared: None,
            cluster: None,
            starting: None,
            secret: config.seed,
        }
    }

    /// When [`Input::TimerDue`] is wanted next.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Whether a client's next message is taken now; else it waits where it is.
    pub fn accepts_frame(&self, client: ClientId) -> bool {
        let room = self.counters.held_bytes < self.limits.client_bytes as u64;
        // Danger: a cancel that waited for the room that its own request takes would come too late.
        let takes = |c: &Client| {
            c.has_room(self.limits.max_pipelined_statements) && (room || c.started.is_none())
        };
        self.clients.get(&client).is_some_and(takes)
    }

    /// The counters as they stand.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Each member that the router keeps: what it believes of it, and what the connections show.
    pub fn member_statuses(&self) -> impl Iterator<Item = MemberStatus> + '_ {
        self.router.member_snapshots().map(|(id, belief)| {
            let name = self
                .members
                .get(&id)
                .map_or("?", |m| m.name.as_str())
                .to_owned();
            let on = |c: &&Conn| c.member == id && matches!(c.job, Some(Job::Attempt { .. }));
            MemberStatus {
                name,
                snapshot: belief,
                attempts: self.conns.values().filter(on).count() as u32,
            }
        })
    }

    /// Takes one input and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::Start => self.start(now, out),
            Input::ClientConnected(id) => self.client_opened(now, id),
            Input::ClientFrame(id, frame) => self.client_frame(now, id, frame, out),
            Input::ClientReadAhead(id, bytes) => self.client_holds(now, id, bytes, out),
            Input::ClientFlushed(id) => self.client_flushed(now, id, out),
            Input::ClientClosed(id, CloseReason::ProtocolError) => self.client_bad(now, id, out),
            Input::ClientClosed(id, _) => self.client_gone(id),
            Input::MemberConnected(id) => self.member_up(now, id, out),
            Input::MemberFlushed(id) => self.member_written(id),
            Input::MemberFrame(id, frame) => self.member_frame(now, id, &frame, out),
            Input::MemberPartialFrame(id) => self.member_partial(now, id, out),
            Input::MemberClosed(id, why) => self.member_closed(now, id, why, out),
            Input::StreamStarted(id, said) => self.member_streams(now, id, said, out),
            Input::StreamPaused(id) => self.member_stream_waits(id),
            Input::StreamEnded(id, outcome) => self.member_stream_over(now, id, outcome, out),
            Input::EndpointList(list) => self.list(now, list, out),
            Input::WatchConnected => self.watch_wait(now + self.limits.watch_first_line_timeout),
            Input::WatchKeepalive => {
                self.watch_wait(now + self.limits.watch_idle_timeout);
                self.with_start(now, out, |start, outputs| {
                    start.handle_watch_heartbeat(now, outputs)
                });
            }
            Input::WatchLost(why) => self.watch_lost(now, why, out),
            Input::FetchFailed => {
                self.fetching = false;
                self.list_failed();
            }
            Input::GossipDatagram(from, bytes) => self.datagram(now, from, &bytes),
            Input::ClusterDatagram(bytes) => self.cluster_datagram(now, &bytes, out),
            Input::Call(call, frame, streams) => self.call(now, call, frame, streams, out),
            Input::CallCancelled(call) => self.call_gone(now, call, out),
            Input::StoreEvent(done) => self.disk(now, done, out),
            Input::StatusQuery(asker, question) => {
                let told = self.tell(now, question);
                out.push(Effect::StatusReply(asker, told));
            }
            Input::TimerDue => self.due(now, out),
            Input::Reload(config) => self.reload(now, config, out),
            Input::Terminate => self.terminate(now, out),
            Input::ListenerClosed => {
                self.listener_closed = true;
                out.push(Effect::Log(format!(
                    "no longer listening, {} clients are here",
                    self.clients.len()
                )));
            }
            Input::Report => {
                out.push(Effect::Report(Box::new(self.counters.clone())));
                out.extend(
                    self.member_statuses()
                        .map(|seen| Effect::Log(seen.line(now))),
                );
                let met = self
                    .cluster
                    .as_ref()
                    .map(|member| member.cluster.counters())
                    .unwrap_or_default();
                out.extend(
                    self.shared
                        .iter()
                        .map(|shared| Effect::Log(shared.line(now, met))),
                );
                out.extend(
                    self.starting
                        .iter()
                        .map(|starting| Effect::Log(starting.line(now))),
                );
            }
        }
        self.route(now, out);
        self.shared_due_set();
        self.cluster_due_set();
        self.start_due_set(now);
        self.admit(now, out);
        self.counters.ahead_bytes = self.ahead as u64;
        self.counters.peaks();
        if self.listener_closed && self.clients.is_empty() && self.calls.is_empty() {
            self.exit(out);
        }
    }

    fn start(&mut self, now: Time, out: &mut Vec<Effect>) {
        if let Some(known) = self.known.take() {
            self.revision = Some(known.revision);
            let members = known
                .members
                .iter()
                .filter_map(|e| self.listed(now, e, out))
                .collect();
            self.events.push_back(Event::EndpointList {
                scope: ListScope::Cached,
                members,
            });
        }
        self.set_timer(now + self.limits.sweep_interval, Due::Sweep);
        if self.subscribed && self.starting.is_none() {
            self.watch(now, out);
        }
        out.push(Effect::Log(format!(
            "started, {} members known",
            self.members.len()
        )));
    }

    /// Hands the router what is queued and carries out what it asks for, until nothing is left.
    fn route(&mut self, now: Time, out: &mut Vec<Effect>) {
        loop {
            self.tell_ways(now);
            let Some(event) = self.events.pop_front() else {
                return;
            };
            let mut actions = std::mem::take(&mut self.actions);
            self.router
                .handle(self.moments.tick_of(now), event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, out);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Time, action: Action, out: &mut Vec<Effect>) {
        match action {
            Action::Send {
                request,
                member,
                timeout,
            } => self.send(now, request, member, timeout, out),
            Action::Cancel { request, attempt } => {
                let open = self.requests.get(&request);
                let conn = open
                    .and_then(|o| o.out.iter().find(|(n, _)| *n == attempt))
                    .map(|(_, c)| *c);
                if let Some(conn) = conn {
                    self.give_up_conn(now, conn, Outcome::Cancelled, out);
                }
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                let wait = retry_after.map(|wait| (wait + MS - 1) / MS);
                let refused = FinalResponse::Rejected("not now, trying again is harmless", wait);
                let answered = self.answer(now, request, refused, out);
                self.counters.answered_refused += u64::from(answered);
            }
            Action::Fail(request) => {
                let answered = self.answer(
                    now,
                    request,
                    FinalResponse::Failed("the request failed"),
                    out,
                );
                self.counters.answered_failed += u64::from(answered);
            }
            Action::SetTimer { after, token } => {
                self.set_timer(now + after, Due::Router(token));
            }
            Action::HealthCheck(member) => {
                self.counters.probes += 1;
                self.employ(now, member, Job::Probe { sent: now }, out);
            }
            Action::CloseIdleConnections(member) => self.close_idle(member, out),
            Action::ForgetMember(member) => self.forget_member(member, out),
            Action::SendGossip { to, updates: news } => {
                let address = to.map_or(self.peers_all, |n| self.peers.get(n as usize).copied());
                for body in self.gossip_codec.encode(now, to.is_some(), &news) {
                    if let Some(address) = address {
                        self.counters.words_sent += 1;
                        out.push(Effect::GossipDatagram(address, body));
                    }
                }
            }
            Action::Subscribe(true) => {
                self.subscribed = true;
                if !self.watching && !self.timers.values().any(|due| *due == Due::Watch) {
                    self.watch(now, out);
                }
            }
            Action::Subscribe(false) => {
                self.subscribed = false;
                self.unwatch(out);
            }
            Action::FetchEndpointList => {
                self.fetching = true;
                out.push(Effect::FetchEndpoints(self.discovery));
            }
            Action::Log(text) => out.push(Effect::Log(text)),
        }
    }

    // Timers.

    fn set_timer(&mut self, at: Time, due: Due) -> TimerKey {
        self.next_timer += 1;
        let key = (at, self.next_timer);
        self.timers.insert(key, due);
        key
    }

    fn due(&mut self, now: Time, out: &mut Vec<Effect>) {
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            match entry.remove() {
                Due::Router(token) => self.events.push_back(Event::Timer(token)),
                Due::Conn(id) => self.conn_due(now, id, out),
                Due::Sweep => {
                    self.sweep(now, out);
                    self.set_timer(now + self.limits.sweep_interval, Due::Sweep);
                }
                Due::Watch => {
                    if self.subscribed && !self.watching {
                        self.watch(now, out);
                    }
                }
                Due::WatchSilent => {
                    self.unwatch_waits();
                    out.push(Effect::CloseWatch);
                    self.watch_lost(now, "silent".into(), out);
                }
                Due::Admit => self.admits = false,
                Due::Shared => self.shared_due(now, out),
                Due::Cluster => self.cluster_due(now, out),
                Due::Start => self.start_due(now, out),
                Due::Held(request) => self.held_too_long(now, request, out),
                Due::StopListening => out.push(Effect::StopListening),
                Due::Retire => self.retire_clients(now, out),
                Due::Refuse => self.refuse_rest(now, out),
                Due::End => self.exit(out),
            }
            self.route(now, out);
        }
    }

    fn sweep(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.shared_look(now, out);
        self.ways_aged();
        for conn in self.pool.expired(now - self.limits.member_idle_timeout) {
            self.counters.members_retired += 1;
            out.push(Effect::MemberClose(conn));
            self.forget(conn);
        }
        // Danger: where members are replaced throughout, connections to those that are gone take places from others.
        let gone = |m: &Listed| {
            m.told
                .is_some_and(|told| now - told > self.limits.drain_grace)
        };
        let gone = self
            .members
            .iter()
            .filter(|(_, m)| gone(m))
            .map(|(id, _)| *id);
        for member in gone.collect::<Vec<_>>() {
            self.close_idle(member, out);
        }
        let limits = &self.limits;
        let late = |since: Option<Time>, most| since.is_some_and(|t| now - t > most);
        let stuck = |c: &Client| {
            late(c.unsent, limits.client_write_timeout) || late(c.closing, limits.linger_timeout)
        };
        let half = |c: &Client| late(c.partial, limits.partial_message_timeout);
        let silent =
            |c: &Client| !c.used && c.idle() && now - c.opened > limits.first_request_timeout;
        let which = |which: &dyn Fn(&Client) -> bool| -> Vec<ClientId> {
            self.clients
                .iter()
                .filter(|(_, c)| which(c))
                .map(|(id, _)| *id)
                .collect()
        };
        let (stuck, silent) = (
            which(&stuck),
            which(&|c| c.closing.is_none() && (half(c) || silent(c))),
        );
        for id in stuck {
            let closing = self.clients.get(&id).is_some_and(|c| c.closing.is_some());
            self.counters.clients_stalled += u64::from(!closing);
            out.push(Effect::ClientClose(id));
            self.client_gone(id);
        }
        for id in silent {
            self.client_silent(now, id, out);
        }
    }
}

/// A member as the router takes it to be, beside what is out to it.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// What the router believes.
    pub snapshot: MemberSnapshot,
    /// Attempts on connections to it.
    pub attempts: u32,
}

impl MemberStatus {
    fn line(&self, now: Time) -> String {
        let MemberSnapshot {
            in_flight,
            ejected: out,
            latency_ratio: strain,
            concurrency_limit: limit,
            position,
        } = self.snapshot;
        let age = position.map_or("never heard".to_owned(), |at| {
            format!("{} ms old", (now - at) / MS)
        });
        let left = if out { ", left out but for trials" } else { "" };
        let (name, here) = (&self.name, self.attempts);
        format!("member {name}: {in_flight} in flight ({here} on connections), limit {limit:.1}, strain {strain:.2}, position {age}{left}")
    }
}

/// A line for what may come often: at the first, second, fourth, eighth time and so on.
fn log_rarely(count: u64, what: &str, out: &mut Vec<Effect>) {
    if count.is_power_of_two() {
        out.push(Effect::Log(format!("{what} {count}")));
    }
}
