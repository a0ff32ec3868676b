//! The only place where the gateway's state changes. It takes one input at a time and appends the effects that the
//! I/O side is to carry out. It owns the router, the requests, the connections and their pools, the timers and the
//! counters, and it knows no socket, clock or await. Whom to ask, when to stop, retry or refuse is the router's.

use crate::config::Config;
use crate::counters::Counters;
use crate::discovery::{ListEntry, ListUpdate};
use crate::limits::Limits;
use crate::pg::{self, code, write, Ended, Frame, Reply, Statement};
use crate::pool::Pool;
use stackgw_router::{api::*, Router};
use stackgw_settings::{Digests, HostSettings, Names};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

/// A client's connection, numbered by the I/O side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);
/// A connection to a member, numbered here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Why a connection is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closed {
    /// The other side closed or broke it, or it never came up.
    Lost,
    /// Its bytes are no protocol.
    Bad,
    /// Something was on it that nobody had asked for.
    Unasked,
}

/// What happened outside.
#[derive(Debug)]
pub enum Input {
    /// The gateway starts.
    Start,
    /// A client connected.
    ClientOpened(ClientId),
    /// A client's whole message; handed over only where [`Reducer::takes`] says so.
    ClientFrame(ClientId, Frame),
    /// A client has sent so much that has not been taken yet, be it half a message or more than one.
    ClientHolds(ClientId, usize),
    /// All that was to be written to a client is written.
    ClientFlushed(ClientId),
    /// A client's connection is over.
    ClientClosed(ClientId, Closed),
    /// A connection to a member came up.
    MemberUp(ConnId),
    /// The last byte of what was to be written to a member is written.
    MemberWritten(ConnId),
    /// A member's whole message.
    MemberFrame(ConnId, Frame),
    /// What a member has sent so far ends inside an answer or a message.
    MemberPartial(ConnId),
    /// A connection to a member is over, or never came up.
    MemberClosed(ConnId, Closed),
    /// The watch brought a list, or the whole list that was asked for came.
    List(ListUpdate),
    /// The watch brought a line without news.
    WatchAlive,
    /// The watch ended, or could not be opened; the text says why.
    WatchLost(String),
    /// The list could not be had.
    FetchFailed,
    /// A datagram.
    Datagram(SocketAddr, Vec<u8>),
    /// The time that [`Reducer::next_due`] named has come.
    Due,
    /// The configuration as it stands now, or why it cannot be used.
    Reload(Result<Box<Config>, String>),
    /// Finish what was taken and end.
    Terminate,
    /// New connections are no longer taken; all that waited have been handed over.
    ListenerClosed,
    /// Print the counters.
    Report,
}

/// What is to be done outside.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Take new clients, or leave them waiting.
    Accept(bool),
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
    ClientRetire(ClientId),
    /// Open a connection to a member.
    MemberOpen(ConnId, SocketAddr),
    /// Write to a member.
    MemberWrite(ConnId, Vec<u8>),
    /// Close a connection to a member.
    MemberClose(ConnId),
    /// Open a watch, at this address, of what changes after this version, in place of any other.
    Watch(SocketAddr, Option<u64>),
    /// Close the watch.
    Unwatch,
    /// Ask for the whole list at this address, in place of any other such question.
    Fetch(SocketAddr),
    /// Send a datagram.
    Datagram(SocketAddr, Vec<u8>),
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
    Conn(ConnId),
    /// A look at what stands idle or still.
    Sweep,
    Watch,
    /// Another look at whether some client may make room.
    Admit,
    StopListening,
    Retire,
    End,
}

type TimerKey = (Time, u64);

/// The router's clock. Its interface promises events no closer together than a tick; what comes closer is of the same
/// moment. Danger: after a pause of this process the first of many late answers would alone count as late through it.
#[derive(Debug, Clone, Copy)]
pub struct Moments {
    tick: Span,
    at: Option<Time>,
}

impl Moments {
    /// Moments at least this far apart.
    pub fn new(tick: Span) -> Self {
        Moments { tick, at: None }
    }

    /// The moment that this time belongs to.
    pub fn of(&mut self, now: Time) -> Time {
        match self.at {
            Some(at) if now - at < self.tick => at,
            _ => *self.at.insert(now),
        }
    }
}

/// A client's connection.
#[derive(Debug)]
struct Client {
    opened: Time,
    /// Its startup is done; the key that cancels its query.
    started: Option<u32>,
    request: Option<RequestId>,
    /// Since when something written to it has not left.
    unsent: Option<Time>,
    /// Since when a message has been incomplete.
    partial: Option<Time>,
    /// Bytes that it has sent and that are not taken yet.
    ahead: usize,
    /// Malformed statements since its last good one.
    malformed: u32,
    /// Came when all places were taken: turned away with its first statement unless there is room by then.
    surplus: bool,
    /// Sent an empty query before the gateway could serve.
    awaits_ready: bool,
    /// Used the extended protocol, which is not spoken: skip to its Sync.
    skips: bool,
    /// Since when nothing more is taken from it: it is told why, and ends.
    closing: Option<Time>,
    /// It has asked something.
    used: bool,
    /// Since when it has been idle.
    idle_since: Time,
}

impl Client {
    fn idle(&self) -> bool {
        self.request.is_none() && self.unsent.is_none() && !self.awaits_ready && self.closing.is_none()
    }

    /// Its place among those that make room: whoever has asked nothing goes first.
    fn place(&self, id: ClientId) -> (bool, Time, ClientId) {
        (self.used, self.idle_since, id)
    }
}

/// A request until it has its answer and its last attempt has ended.
#[derive(Debug)]
struct Open {
    client: Option<ClientId>,
    statement: Statement,
    deadline: Time,
    sent: u32,
    out: Vec<(u32, ConnId)>,
    ended: bool,
}

/// What a connection to a member is busy with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Job {
    Attempt { request: RequestId, number: u32, sent: Time, give_up: Time },
    Probe { sent: Time },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Connecting,
    Starting,
    Idle,
    /// The job's bytes are being written.
    Writing,
    /// They are written.
    Waiting,
}

/// A connection to a member.
#[derive(Debug)]
struct Conn {
    member: MemberId,
    phase: Phase,
    job: Option<Job>,
    /// It had stood idle before this job.
    reused: bool,
    reply: Reply,
    /// Its answer has begun and is not whole.
    partial: bool,
    /// When its attempt or probe is given up.
    until: Time,
    timer: Option<TimerKey>,
}

/// A member that some list has named, until the router has no more use for it.
#[derive(Debug)]
struct Listed {
    name: String,
    group: u32,
    address: SocketAddr,
    /// Since when the list has had it draining or gone, in a way that binds.
    told: Option<Time>,
}

/// The gateway's state.
pub struct Reducer {
    router: Router,
    limits: Limits,
    names: Names,
    classes: Vec<Class>,
    subscribed: bool,
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    me: usize,
    known: Option<ListUpdate>,
    members: BTreeMap<MemberId, Listed>,
    member_ids: HashMap<String, MemberId>,
    next_member: u32,
    digests: Digests,
    /// Who has the list, and whether it has been asked for and not come.
    discovery: SocketAddr,
    fetching: bool,
    revision: Option<u64>,
    watching: bool,
    watch_heard: Time,
    watch_pause: Span,
    clients: BTreeMap<ClientId, Client>,
    /// Clients between requests, in the order in which they make room.
    idle_clients: BTreeSet<(bool, Time, ClientId)>,
    /// Bytes that clients have sent and that are not taken yet.
    ahead: usize,
    /// A look at who may make room is due.
    admits: bool,
    accepting: bool,
    /// The client last asked to make room.
    evicting: Option<ClientId>,
    requests: HashMap<RequestId, Open>,
    /// The ids of these requests.
    open_ids: HashSet<String>,
    next_request: u64,
    conns: HashMap<ConnId, Conn>,
    next_conn: u64,
    pool: Pool,
    moments: Moments,
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
    exited: bool,
    secret: u64,
    /// What holds until a restart.
    fixed: Fixed,
}

/// The parts of a configuration that a running gateway cannot change.
#[derive(Debug, PartialEq)]
struct Fixed {
    name: String,
    listen: SocketAddr,
    peer_listen: Option<SocketAddr>,
    settings: HostSettings,
    limits: Limits,
}

impl Fixed {
    fn of(config: &Config) -> Self {
        Fixed {
            name: config.name.clone(),
            listen: config.listen,
            peer_listen: config.peer_listen,
            settings: config.settings.clone(),
            limits: config.limits.clone(),
        }
    }

    /// The names of the parts in which another differs.
    fn differs(&self, other: &Fixed) -> Vec<&'static str> {
        let parts = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("peer_listen", self.peer_listen != other.peer_listen),
            ("settings", self.settings != other.settings),
            ("limits", self.settings == other.settings && self.limits != other.limits),
        ];
        parts.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }
}

impl Reducer {
    /// A gateway that has not started yet.
    pub fn new(config: Config) -> Self {
        let fixed = Fixed::of(&config);
        let settings = config.settings.router;
        Reducer {
            fixed,
            discovery: config.discovery,
            fetching: false,
            limits: config.limits,
            names: config.settings.names,
            classes: settings.classes.clone(),
            subscribed: !settings.list_on_request,
            peers: config.peers,
            peers_all: config.peers_all,
            me: settings.me as usize,
            known: config.known,
            moments: Moments::new(settings.tick),
            router: Router::new(settings, config.seed),
            members: BTreeMap::new(),
            member_ids: HashMap::new(),
            next_member: 0,
            digests: Digests::default(),
            revision: None,
            watching: false,
            watch_heard: 0,
            watch_pause: 0,
            clients: BTreeMap::new(),
            idle_clients: BTreeSet::new(),
            ahead: 0,
            admits: false,
            accepting: false,
            evicting: None,
            requests: HashMap::new(),
            open_ids: HashSet::new(),
            next_request: 0,
            conns: HashMap::new(),
            next_conn: 0,
            pool: Pool::default(),
            timers: BTreeMap::new(),
            next_timer: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
            counters: Counters::default(),
            ending: false,
            listener_closed: false,
            retire_at: 0,
            exited: false,
            secret: config.seed,
        }
    }

    /// When [`Input::Due`] is wanted next.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Whether a client's next message is taken now; else it waits where it is.
    pub fn takes(&self, client: ClientId) -> bool {
        let room = self.counters.held_bytes < self.limits.client_bytes as u64;
        self.clients.get(&client).is_some_and(Client::idle) && room
    }

    /// The counters as they stand.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Takes one input and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::Start => self.start(now, out),
            Input::ClientOpened(id) => self.client_opened(now, id),
            Input::ClientFrame(id, frame) => self.client_frame(now, id, frame, out),
            Input::ClientHolds(id, bytes) => self.client_holds(now, id, bytes, out),
            Input::ClientFlushed(id) => self.client_flushed(now, id, out),
            Input::ClientClosed(id, Closed::Bad) => self.client_bad(now, id, out),
            Input::ClientClosed(id, _) => self.client_gone(id),
            Input::MemberUp(id) => self.member_up(id, out),
            Input::MemberWritten(id) => self.member_written(id),
            Input::MemberFrame(id, frame) => self.member_frame(now, id, &frame, out),
            Input::MemberPartial(id) => self.member_partial(now, id, out),
            Input::MemberClosed(id, why) => self.member_closed(now, id, why, out),
            Input::List(list) => self.list(now, list, out),
            Input::WatchAlive => self.watch_heard = now,
            Input::WatchLost(why) => self.watch_lost(now, why, out),
            Input::FetchFailed => {
                self.fetching = false;
                self.list_failed();
            }
            Input::Datagram(from, bytes) => self.datagram(now, from, &bytes),
            Input::Due => self.due(now, out),
            Input::Reload(config) => self.reload(now, config, out),
            Input::Terminate => self.terminate(now, out),
            Input::ListenerClosed => self.listener_closed = true,
            Input::Report => out.push(Effect::Report(Box::new(self.counters.clone()))),
        }
        self.route(now, out);
        self.admit(now, out);
        self.counters.peaks();
        if self.listener_closed && self.clients.is_empty() {
            self.exit(out);
        }
    }

    fn start(&mut self, now: Time, out: &mut Vec<Effect>) {
        if let Some(known) = self.known.take() {
            self.revision = Some(known.revision);
            let members = known.members.iter().filter_map(|e| self.listed(now, e, out)).collect();
            self.events.push_back(Event::List { scope: ListScope::Cached, members });
        }
        self.set_timer(now + self.limits.sweep, Due::Sweep);
        if self.subscribed {
            self.watch(now, out);
        }
        out.push(Effect::Log(format!("started, {} members known", self.members.len())));
    }

    /// Hands the router what is queued and carries out what it asks for, until nothing is left.
    fn route(&mut self, now: Time, out: &mut Vec<Effect>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.router.handle(self.moments.of(now), event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, out);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Time, action: Action, out: &mut Vec<Effect>) {
        match action {
            Action::Send { request, member, timeout } => self.send(now, request, member, timeout, out),
            Action::Cancel { request, attempt } => {
                let open = self.requests.get(&request);
                let conn = open.and_then(|o| o.out.iter().find(|(n, _)| *n == attempt)).map(|(_, c)| *c);
                if let Some(conn) = conn {
                    out.push(Effect::MemberClose(conn));
                    self.end_job(now, conn, Outcome::Cancelled, out);
                }
            }
            Action::Refuse { request, retry_after } => {
                let wait = retry_after.map(|wait| ((wait + MS - 1) / MS).to_string());
                let text = "not now, trying again is harmless";
                let answered = self.answer_error(now, request, "53300", text, wait.as_deref(), out);
                self.counters.answered_refused += u64::from(answered);
            }
            Action::Fail(request) => {
                let answered = self.answer_error(now, request, "58000", "the request failed", None, out);
                self.counters.answered_failed += u64::from(answered);
            }
            Action::Timer { after, token } => {
                self.set_timer(now + after, Due::Router(token));
            }
            Action::Probe(member) => {
                self.counters.probes += 1;
                self.employ(now, member, Job::Probe { sent: now }, out);
            }
            Action::CloseIdle(member) => {
                for conn in self.pool.drain(member) {
                    out.push(Effect::MemberClose(conn));
                    self.forget(conn);
                }
            }
            Action::Forget(member) => self.forget_member(member, out),
            Action::Tell { to, news } => {
                let address = to.map_or(self.peers_all, |n| self.peers.get(n as usize).copied());
                for body in self.digests.pack(now, to.is_some(), &news) {
                    if let Some(address) = address {
                        self.counters.words_sent += 1;
                        out.push(Effect::Datagram(address, body));
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
                (self.subscribed, self.watching) = (false, false);
                out.push(Effect::Unwatch);
            }
            Action::FetchList => {
                self.fetching = true;
                out.push(Effect::Fetch(self.discovery));
            }
            Action::Note(text) => out.push(Effect::Log(text)),
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
                    self.set_timer(now + self.limits.sweep, Due::Sweep);
                }
                Due::Watch => {
                    if self.subscribed && !self.watching {
                        self.watch(now, out);
                    }
                }
                Due::Admit => self.admits = false,
                Due::StopListening => out.push(Effect::StopListening),
                Due::Retire => self.retire_clients(now, out),
                Due::End => self.end(now, out),
            }
            self.route(now, out);
        }
    }

    fn sweep(&mut self, now: Time, out: &mut Vec<Effect>) {
        for conn in self.pool.expired(now - self.limits.idle) {
            self.counters.members_retired += 1;
            out.push(Effect::MemberClose(conn));
            self.forget(conn);
        }
        if self.watching && now - self.watch_heard > self.limits.watch_silence {
            out.push(Effect::Unwatch);
            self.watch_lost(now, "silent".to_owned(), out);
        }
        let limits = &self.limits;
        let late = |since: Option<Time>, most| since.is_some_and(|t| now - t > most);
        let stuck = |c: &Client| late(c.unsent, limits.client_stall) || late(c.closing, limits.linger);
        let half = |c: &Client| late(c.partial, limits.client_partial);
        let silent = |c: &Client| !c.used && c.idle() && now - c.opened > limits.client_first;
        let which = |which: &dyn Fn(&Client) -> bool| -> Vec<ClientId> {
            self.clients.iter().filter(|(_, c)| which(c)).map(|(id, _)| *id).collect()
        };
        let (stuck, silent) = (which(&stuck), which(&|c| c.closing.is_none() && (half(c) || silent(c))));
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

    /// Half a message, or nothing at all, holds a place for nothing. Who has sent something is told why; for who has sent
    /// nothing a request may be on its way, which must not be met by words that are not its answer.
    fn client_silent(&mut self, now: Time, id: ClientId, out: &mut Vec<Effect>) {
        if self.clients.get(&id).is_some_and(|c| c.partial.is_some()) {
            self.counters.clients_stalled += 1;
            log_rarely(self.counters.clients_stalled, "clients that stood still inside a message:", out);
            return self.client_error(now, id, true, "08P01", "the message was not finished in time", out);
        }
        self.counters.clients_silent += 1;
        log_rarely(self.counters.clients_silent, "clients that asked nothing:", out);
        out.push(Effect::ClientRetire(id));
    }

    // Clients.

    fn client_opened(&mut self, now: Time, id: ClientId) {
        self.counters.clients_opened += 1;
        self.counters.clients_open += 1;
        let client = Client {
            opened: now,
            surplus: self.clients.len() >= self.limits.clients,
            started: None,
            request: None,
            unsent: None,
            partial: None,
            ahead: 0,
            malformed: 0,
            awaits_ready: false,
            skips: false,
            closing: None,
            used: false,
            idle_since: now,
        };
        self.idle_clients.insert(client.place(id));
        self.clients.insert(id, client);
    }

    /// What a client has sent ahead takes room from all: past its share whoever holds most of it, those first that have
    /// asked nothing yet, is told so and ends. One with a request in hand keeps its connection for the answer.
    fn client_holds(&mut self, now: Time, id: ClientId, bytes: usize, out: &mut Vec<Effect>) {
        let takes = self.takes(id);
        let Some(client) = self.clients.get_mut(&id) else { return };
        self.ahead = self.ahead - client.ahead + bytes;
        client.ahead = bytes;
        if takes && bytes > 0 {
            client.partial.get_or_insert(now);
        }
        if self.ahead > self.limits.client_bytes / 4 * 3 {
            let idle = self.clients.iter().filter(|(_, c)| c.ahead > 0 && c.idle());
            let Some((most, _)) = idle.max_by_key(|(_, c)| (!c.used, c.ahead)) else { return };
            let most = *most;
            self.counters.clients_greedy += 1;
            log_rarely(self.counters.clients_greedy, "clients that sent too much ahead:", out);
            self.client_error(now, most, true, "53400", "too much was sent ahead", out);
        }
    }

    /// Takes new clients while there is room for one more. Where all places are taken one is kept free. Who has asked
    /// nothing makes room first, as hundreds may connect and say nothing; then the client idle longest, if that is a
    /// while (one just answered often asks again). None does that has sent something by then.
    fn admit(&mut self, now: Time, out: &mut Vec<Effect>) {
        let spared = |used| if used { self.limits.evict_after } else { self.limits.evict_fresh };
        if self.clients.len() >= self.limits.clients {
            let first = |used| self.idle_clients.range((used, Time::MIN, ClientId(0))..).next().copied();
            let due = [first(false).filter(|(used, ..)| !used), first(true)];
            let due = due.into_iter().flatten();
            let (ripe, green): (Vec<_>, Vec<_>) =
                due.partition(|(used, since, _)| now - since >= spared(*used));
            if let Some(&(used, since, oldest)) = ripe.first() {
                self.evicting = Some(oldest);
                // Danger: one that has sent something stays, and would keep all others from making room.
                self.idle_clients.remove(&(used, since, oldest));
                if let Some(client) = self.clients.get_mut(&oldest) {
                    client.idle_since = now;
                    self.idle_clients.insert(client.place(oldest));
                }
                out.push(Effect::ClientRetire(oldest));
            } else if let Some(at) = green.iter().map(|(used, since, _)| since + spared(*used)).min() {
                if !std::mem::replace(&mut self.admits, true) {
                    self.set_timer(at, Due::Admit);
                }
            }
        }
        let places = self.limits.clients + self.limits.client_reserve;
        let wanted = self.clients.len() < places && !self.listener_closed;
        if wanted != self.accepting {
            self.accepting = wanted;
            out.push(Effect::Accept(wanted));
        }
    }

    /// Keeps the order of idle clients after a client's state has changed.
    fn note_idle(&mut self, now: Time, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            self.idle_clients.remove(&client.place(id));
            if client.idle() {
                client.idle_since = now;
                self.idle_clients.insert(client.place(id));
            }
        }
    }

    fn client_write(&mut self, now: Time, id: ClientId, bytes: Vec<u8>, close: bool, out: &mut Vec<Effect>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.unsent = Some(now);
        if close {
            client.closing.get_or_insert(now);
            self.ahead -= std::mem::take(&mut client.ahead); // Dropped with the rest that it sends.
        }
        self.note_idle(now, id);
        out.push(Effect::ClientWrite { client: id, bytes, close });
    }

    /// Tells a client of an error; a fatal one ends its connection.
    fn client_error(
        &mut self,
        now: Time,
        id: ClientId,
        fatal: bool,
        code: &str,
        why: &str,
        out: &mut Vec<Effect>,
    ) {
        let mut reply = Vec::new();
        write::error(&mut reply, fatal, code, why, None);
        if !fatal {
            write::ready(&mut reply);
        }
        self.client_write(now, id, reply, fatal, out);
    }

    /// Answers an empty query: the gateway can serve.
    fn client_ready(&mut self, now: Time, id: ClientId, out: &mut Vec<Effect>) {
        let mut reply = Vec::new();
        write::empty(&mut reply);
        write::ready(&mut reply);
        self.client_write(now, id, reply, false, out);
    }

    fn client_flushed(&mut self, now: Time, id: ClientId, out: &mut Vec<Effect>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.unsent = None;
        self.note_idle(now, id);
        if self.ending && now >= self.retire_at && self.takes(id) {
            out.push(Effect::ClientRetire(id));
        }
    }

    /// A client's bytes are no protocol: that connection alone ends, with a word if it can still be read.
    fn client_bad(&mut self, now: Time, id: ClientId, out: &mut Vec<Effect>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        self.counters.clients_bad += 1;
        log_rarely(self.counters.clients_bad, "bad bytes from clients:", out);
        if let Some(request) = client.request.take() {
            self.abandon(request);
        }
        self.client_error(now, id, true, "08P01", "these bytes are no message of the protocol", out);
    }

    fn client_gone(&mut self, id: ClientId) {
        let Some(client) = self.clients.remove(&id) else { return };
        self.idle_clients.remove(&client.place(id));
        self.ahead -= client.ahead;
        self.counters.clients_open -= 1;
        if self.evicting == Some(id) {
            self.counters.clients_evicted += 1;
            self.evicting = None;
        }
        if let Some(request) = client.request {
            self.abandon(request);
        }
    }

    fn abandon(&mut self, request: RequestId) {
        if let Some(open) = self.requests.get_mut(&request) {
            (open.client, open.ended) = (None, true);
            self.counters.answered_gone += 1;
            self.events.push_back(Event::Abandoned(request));
            self.forget_request(request);
        }
    }

    fn client_frame(&mut self, now: Time, id: ClientId, frame: Frame, out: &mut Vec<Effect>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.partial = None;
        self.ahead -= std::mem::take(&mut client.ahead);
        if client.started.is_none() {
            return self.startup(now, id, &frame, out);
        }
        let mut reply = Vec::new();
        match frame.kind {
            b'Q' if client.skips => {}
            b'Q' if Statement::is_empty(&frame) => {
                self.client_used(id);
                let Some(client) = self.clients.get_mut(&id) else { return };
                if self.members.is_empty() {
                    client.awaits_ready = true;
                    return self.note_idle(now, id);
                }
                self.client_ready(now, id, out);
            }
            b'Q' => self.query(now, id, frame, out),
            b'X' => {
                out.push(Effect::ClientClose(id));
                self.client_gone(id);
            }
            b'S' => {
                client.skips = false;
                write::ready(&mut reply);
                self.client_write(now, id, reply, false, out);
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' if client.skips => {}
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' => {
                client.skips = frame.kind != b'F';
                write::error(&mut reply, false, "0A000", "only simple queries are spoken here", None);
                if frame.kind == b'F' {
                    write::ready(&mut reply);
                }
                self.client_write(now, id, reply, false, out);
            }
            _ => self.client_bad(now, id, out),
        }
    }

    fn startup(&mut self, now: Time, id: ClientId, frame: &Frame, out: &mut Vec<Effect>) {
        let mut reply = Vec::new();
        let version = frame.code().unwrap_or_default();
        match version {
            code::SSL | code::GSS if frame.body().len() == 4 => {
                self.client_write(now, id, b"N".to_vec(), false, out)
            }
            code::CANCEL => {
                self.cancel(now, frame, out);
                out.push(Effect::ClientClose(id));
                self.client_gone(id);
            }
            _ if frame.is_startup() && frame.has_parameters() => {
                self.secret = self.secret.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(id.0 | 1);
                let secret = (self.secret >> 32) as u32;
                if version != code::VERSION_3 {
                    write::negotiate(&mut reply);
                }
                write::welcome(&mut reply, id.0 as u32, secret);
                if let Some(client) = self.clients.get_mut(&id) {
                    client.started = Some(secret);
                }
                self.client_write(now, id, reply, false, out);
            }
            _ => {
                self.counters.clients_bad += 1;
                self.client_error(now, id, true, "0A000", "this startup is not understood", out);
            }
        }
    }

    /// A cancel request, by the key of the connection whose query it means.
    fn cancel(&mut self, now: Time, frame: &Frame, out: &mut Vec<Effect>) {
        let &[_, _, _, _, a, b, c, d, e, f, g, h] = frame.body() else { return };
        let (process, secret) = (u32::from_be_bytes([a, b, c, d]), u32::from_be_bytes([e, f, g, h]));
        let id = ClientId(process.into());
        let Some(client) = self.clients.get_mut(&id).filter(|c| c.started == Some(secret)) else { return };
        if let Some(request) = client.request.take() {
            self.abandon(request);
            self.client_error(now, id, false, "57014", "cancelled on the client's request", out);
        }
    }

    fn query(&mut self, now: Time, id: ClientId, frame: Frame, out: &mut Vec<Effect>) {
        self.counters.taken += 1;
        let full = self.clients.len() > self.limits.clients;
        let surplus = self.clients.get_mut(&id).is_some_and(|c| std::mem::take(&mut c.surplus));
        // Whoever has asked nothing gives way to one that has; is there none such, this one is turned away.
        let silent = self.idle_clients.iter().take_while(|(used, ..)| !used).find(|(.., other)| *other != id);
        if let Some(&(.., silent)) = silent.filter(|_| surplus && full) {
            self.evicting = Some(silent);
            out.push(Effect::ClientRetire(silent));
        } else if surplus && full {
            // Danger: waiting for a place, in line or here, would cost its time; it has not run, so it may go elsewhere.
            self.counters.turned_away += 1;
            return self.client_error(now, id, true, "53300", "too many connections", out);
        }
        let statement = match Statement::parse(frame) {
            Ok(statement) => statement,
            Err(why) => return self.reject(now, id, why.0, out),
        };
        let Some(class) = self.names.classes.iter().position(|name| *name == statement.class) else {
            return self.reject(now, id, "the class is unknown", out);
        };
        if self.members.is_empty() {
            return self.refuse(now, id, "57P03", "no list of members is known yet", out);
        }
        if !self.members.values().any(|m| m.group == statement.cluster) {
            return self.reject(now, id, "the cluster is unknown", out);
        }
        let need = self.classes[class].need;
        if (need == Need::Write) != statement.write {
            return self.reject(now, id, "the class and the statement do not go together", out);
        }
        if self.open_ids.contains(&statement.id) {
            // Danger: two requests under one id are one to the members, and the owner would get the other's answer.
            self.counters.ids_taken += 1;
            log_rarely(self.counters.ids_taken, "statements under the id of an open request:", out);
            return self.reject(now, id, "a request with this id is open", out);
        }
        if self.requests.len() >= self.limits.requests {
            return self.refuse(now, id, "53300", "too many requests are open", out);
        }
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let deadline = now + (statement.wait_ms as Span * MS).min(self.limits.wait_most);
        let sessions = matches!(need, Need::Write | Need::Session);
        self.events.push_back(Event::Request(Request {
            id: request,
            class,
            group: GroupId(statement.cluster),
            deadline,
            session: sessions.then(|| SessionId(statement.key.as_str().into())),
            last_write: statement.after_ms.map(|ms| ms * MS),
            repeat: statement.repeat,
        }));
        self.counters.held_bytes += statement.held() as u64;
        self.open_ids.insert(statement.id.clone());
        self.client_used(id);
        let open = Open { client: Some(id), statement, deadline, sent: 0, out: Vec::new(), ended: false };
        self.requests.insert(request, open);
        if let Some(client) = self.clients.get_mut(&id) {
            client.request = Some(request);
            client.malformed = 0;
        }
        self.note_idle(now, id);
    }

    /// A client has asked something: it is no stranger any more.
    fn client_used(&mut self, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            self.idle_clients.remove(&client.place(id));
            client.used = true;
            if client.idle() {
                self.idle_clients.insert(client.place(id));
            }
        }
    }

    fn reject(&mut self, now: Time, id: ClientId, why: &str, out: &mut Vec<Effect>) {
        self.counters.malformed += 1;
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.malformed += 1;
        // One that goes on and on is not worth its turns.
        let fatal = client.malformed >= self.limits.client_malformed;
        self.client_error(now, id, fatal, "42601", why, out);
    }

    /// Turned away before the router has seen it.
    fn refuse(&mut self, now: Time, id: ClientId, code: &str, why: &str, out: &mut Vec<Effect>) {
        self.counters.turned_away += 1;
        self.client_error(now, id, false, code, why, out);
    }

    /// The final answer where no member gave one.
    fn answer_error(
        &mut self,
        now: Time,
        request: RequestId,
        code: &str,
        text: &str,
        detail: Option<&str>,
        out: &mut Vec<Effect>,
    ) -> bool {
        let mut reply = Vec::new();
        write::error(&mut reply, false, code, text, detail);
        write::ready(&mut reply);
        self.answer(now, request, reply, out)
    }

    /// Gives a request its one answer; whether there was still somebody to give it to.
    fn answer(&mut self, now: Time, request: RequestId, reply: Vec<u8>, out: &mut Vec<Effect>) -> bool {
        let Some(open) = self.requests.get_mut(&request) else { return false };
        open.ended = true;
        let client = open.client.take();
        if let Some(id) = client {
            if let Some(client) = self.clients.get_mut(&id) {
                client.request = None;
            }
            self.client_write(now, id, reply, false, out);
        }
        self.forget_request(request);
        client.is_some()
    }

    fn forget_request(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(|o| o.ended && o.out.is_empty()) {
            if let Some(open) = self.requests.remove(&request) {
                let before = self.counters.held_bytes;
                self.counters.held_bytes = before - open.statement.held() as u64;
                self.open_ids.remove(&open.statement.id);
            }
        }
    }

    // Members.

    fn send(
        &mut self,
        now: Time,
        request: RequestId,
        member: MemberId,
        timeout: Option<Span>,
        out: &mut Vec<Effect>,
    ) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        self.counters.attempts += 1;
        let number = open.sent;
        open.sent += 1;
        let give_up = timeout.map_or(open.deadline, |t| open.deadline.min(now + t));
        let job = Job::Attempt { request, number, sent: now, give_up };
        if give_up <= now || open.ended {
            return self.job_ended(now, member, job, Outcome::Unsent, Reply::default(), out);
        }
        self.employ(now, member, job, out);
    }

    /// Gives a job to an idle connection, the one used last, or to a new one.
    fn employ(&mut self, now: Time, member: MemberId, job: Job, out: &mut Vec<Effect>) {
        let Some(address) = self.members.get(&member).map(|m| m.address) else {
            return self.job_ended(now, member, job, Outcome::Unsent, Reply::default(), out);
        };
        if let Some(id) = self.pool.take(member) {
            self.bind(id, job);
            if let Some(conn) = self.conns.get_mut(&id) {
                conn.reused = true;
            }
            return self.write_job(now, id, out);
        }
        if self.conns.len() >= self.limits.member_connections {
            match self.pool.oldest() {
                Some(idle) => {
                    self.counters.members_evicted += 1;
                    out.push(Effect::MemberClose(idle));
                    self.forget(idle);
                }
                None => return self.job_ended(now, member, job, Outcome::Unsent, Reply::default(), out),
            }
        }
        let id = ConnId(self.next_conn);
        self.next_conn += 1;
        self.counters.members_opened += 1;
        self.counters.members_open += 1;
        let timer = Some(self.set_timer(now + self.limits.connect, Due::Conn(id)));
        let phase = Phase::Connecting;
        let reply = Reply::default();
        let conn = Conn { member, phase, job: None, reused: false, reply, partial: false, until: 0, timer };
        self.conns.insert(id, conn);
        self.bind(id, job);
        out.push(Effect::MemberOpen(id, address));
    }

    fn bind(&mut self, id: ConnId, job: Job) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.job = Some(job);
        }
        if let Job::Attempt { request, number, .. } = job {
            if let Some(open) = self.requests.get_mut(&request) {
                open.out.push((number, id));
            }
        }
    }

    fn member_up(&mut self, id: ConnId, out: &mut Vec<Effect>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.phase = Phase::Starting;
        let mut bytes = Vec::new();
        write::startup(&mut bytes, "stackgw", "core");
        out.push(Effect::MemberWrite(id, bytes));
    }

    /// Writes the connection's job; its time to answer begins.
    fn write_job(&mut self, now: Time, id: ConnId, out: &mut Vec<Effect>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let told = self.members.get(&conn.member).and_then(|m| m.told);
        if told.is_some_and(|told| now - told > self.limits.drain_grace) {
            // Danger: a slow connect would carry what was asked for inside the drain's grace past it.
            conn.phase = Phase::Writing;
            out.push(Effect::MemberClose(id));
            return self.end_job(now, id, Outcome::Unsent, out);
        }
        let (bytes, until) = match conn.job {
            Some(Job::Attempt { request, give_up, .. }) => {
                let Some(open) = self.requests.get(&request) else { return };
                (open.statement.with_wait(((give_up - now) / MS).max(1) as u64), give_up)
            }
            Some(Job::Probe { sent }) => {
                let mut bytes = Vec::new();
                write::query(&mut bytes, "SHOW server_load");
                (bytes, sent + self.limits.probe)
            }
            None => return,
        };
        (conn.phase, conn.reply, conn.partial) = (Phase::Writing, Reply::default(), false);
        conn.until = until;
        self.set_conn_timer(id, until);
        out.push(Effect::MemberWrite(id, bytes));
    }

    /// Sets a connection's one timer.
    fn set_conn_timer(&mut self, id: ConnId, at: Time) {
        let timer = self.set_timer(at, Due::Conn(id));
        let old = self.conns.get_mut(&id).and_then(|conn| conn.timer.replace(timer));
        if let Some(old) = old {
            self.timers.remove(&old);
        }
    }

    fn member_written(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get_mut(&id).filter(|c| c.phase == Phase::Writing) else { return };
        conn.phase = Phase::Waiting;
        if matches!(conn.job, Some(Job::Attempt { .. })) {
            self.counters.written += 1;
        }
    }

    fn member_frame(&mut self, now: Time, id: ConnId, frame: &Frame, out: &mut Vec<Effect>) {
        let most = self.limits.answer_bytes;
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let greeting = |kind| matches!(kind, b'R' | b'S' | b'K' | b'N' | b'v' | b'E' | b'Z');
        match (conn.phase, conn.reply.take(frame, most)) {
            // Danger: a second copy or noise behind an answer would be taken for the next request's answer. Nothing
            // is in place between requests, but a member that closes an idle connection may say why.
            (Phase::Idle, _) => {
                let why = if frame.kind == b'E' { Closed::Lost } else { Closed::Unasked };
                out.push(Effect::MemberClose(id));
                self.member_closed(now, id, why, out);
            }
            (Phase::Starting, Ok(_)) if !greeting(frame.kind) => {
                out.push(Effect::MemberClose(id));
                self.member_closed(now, id, Closed::Bad, out);
            }
            (Phase::Connecting, _) | (_, Err(_)) => {
                out.push(Effect::MemberClose(id));
                self.member_closed(now, id, Closed::Bad, out);
            }
            (_, Ok(false)) => {}
            (Phase::Starting, Ok(true)) => {
                self.counters.members_up += 1;
                self.write_job(now, id, out);
            }
            (Phase::Writing | Phase::Waiting, Ok(true)) => {
                let outcome = outcome(&conn.reply).unwrap_or(Outcome::Spoilt);
                if conn.phase == Phase::Writing || outcome == Outcome::Spoilt {
                    // It is out of step: what is still to be written would be taken for the next request.
                    out.push(Effect::MemberClose(id));
                    return self.end_job(now, id, outcome, out);
                }
                if let Some(timer) = conn.timer.take() {
                    self.timers.remove(&timer);
                }
                conn.phase = Phase::Idle;
                let member = conn.member;
                self.end_job(now, id, outcome, out);
                self.pool.put(member, id, now);
            }
        }
    }

    /// Part of a message is no answer yet. On an idle connection nobody asked for it; an answer that has begun goes on.
    fn member_partial(&mut self, now: Time, id: ConnId, out: &mut Vec<Effect>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        match conn.phase {
            Phase::Idle => {
                out.push(Effect::MemberClose(id));
                self.member_closed(now, id, Closed::Unasked, out);
            }
            Phase::Waiting => {
                // Danger: a length beyond what follows would hold its request until the client's time is over.
                conn.partial = true;
                let until = conn.until.min(now + self.limits.answer_stall);
                self.set_conn_timer(id, until);
            }
            _ => {}
        }
    }

    /// A connection is over. Whether its request's last byte was written tells what that means.
    fn member_closed(&mut self, now: Time, id: ConnId, why: Closed, out: &mut Vec<Effect>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if why == Closed::Bad {
            self.counters.members_bad += 1;
            log_rarely(self.counters.members_bad, "bad bytes from members:", out);
        }
        let (member, job) = (conn.member, conn.job);
        if why == Closed::Unasked {
            self.counters.members_unasked += 1;
            log_rarely(self.counters.members_unasked, "connections with more than was asked for:", out);
        }
        // An error may be a member's last word; a row counts only once the member is ready again behind it.
        let ended = outcome(&conn.reply).filter(|ended| *ended != Outcome::Served || conn.reply.is_whole());
        let outcome = match conn.phase {
            Phase::Idle => {
                self.counters.members_closed += u64::from(why == Closed::Lost);
                self.pool.remove(id);
                return self.forget(id);
            }
            Phase::Writing if conn.reused && why != Closed::Bad && ended.is_none() => {
                // It had closed while idle, so this request has not been sent at all yet.
                self.counters.members_reopened += 1;
                self.unbind(id);
                self.forget(id);
                if let Some(job) = job {
                    self.employ(now, member, job, out);
                }
                return;
            }
            Phase::Connecting => Outcome::NoConnection,
            Phase::Starting | Phase::Writing if ended == Some(Outcome::Shed) => Outcome::Shed,
            Phase::Starting | Phase::Writing => Outcome::NoConnection,
            Phase::Waiting if why == Closed::Bad => Outcome::Spoilt,
            Phase::Waiting => ended.unwrap_or(Outcome::Broken),
        };
        self.end_job(now, id, outcome, out);
    }

    /// A connection's time is up: it did not come up, or its attempt or probe is given up.
    fn conn_due(&mut self, now: Time, id: ConnId, out: &mut Vec<Effect>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.timer = None;
        let outcome = match conn.phase {
            Phase::Connecting | Phase::Starting | Phase::Writing => Outcome::NoConnection,
            Phase::Waiting if conn.partial && now < conn.until => Outcome::Spoilt,
            Phase::Waiting => Outcome::TimedOut,
            Phase::Idle => return,
        };
        out.push(Effect::MemberClose(id));
        self.end_job(now, id, outcome, out);
    }

    fn unbind(&mut self, id: ConnId) -> Option<Job> {
        let job = self.conns.get_mut(&id)?.job.take()?;
        if let Job::Attempt { request, .. } = job {
            if let Some(open) = self.requests.get_mut(&request) {
                open.out.retain(|(_, conn)| *conn != id);
            }
        }
        Some(job)
    }

    fn forget(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.remove(&id) {
            self.counters.members_open -= 1;
            if let Some(timer) = conn.timer {
                self.timers.remove(&timer);
            }
        }
    }

    /// Ends the job of a connection, which is forgotten unless it stands idle again.
    fn end_job(&mut self, now: Time, id: ConnId, outcome: Outcome, out: &mut Vec<Effect>) {
        let job = self.unbind(id);
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let (member, mut reply) = (conn.member, std::mem::take(&mut conn.reply));
        if !reply.is_whole() || outcome == Outcome::Spoilt {
            reply = Reply::default(); // What is not whole tells nothing of its member.
        }
        if conn.phase != Phase::Idle {
            self.forget(id);
        }
        if let Some(job) = job {
            self.job_ended(now, member, job, outcome, reply, out);
        }
    }

    fn job_ended(
        &mut self,
        now: Time,
        member: MemberId,
        job: Job,
        outcome: Outcome,
        mut reply: Reply,
        out: &mut Vec<Effect>,
    ) {
        let (request, attempt, sent) = match job {
            Job::Attempt { request, number, sent, .. } => (request, number, sent),
            Job::Probe { sent } => {
                let told = reply.column().filter(|_| outcome == Outcome::Served).and_then(pg::load_report);
                let told = told.filter(|report| self.can_be(now, report.position));
                self.counters.probes_failed += u64::from(told.is_none());
                let (answered, report) = (told.is_some(), told.unwrap_or_default());
                return self.events.push_back(Event::Probed { member, answered, took: now - sent, report });
            }
        };
        self.count(outcome);
        let ended = self.requests.get(&request).is_none_or(|open| open.ended);
        let finished = ended || outcome == Outcome::Served;
        if outcome == Outcome::Served && !ended {
            let mut row = std::mem::take(&mut reply.row);
            write::ready(&mut row);
            let answered = self.answer(now, request, row, out);
            self.counters.answered_served += u64::from(answered);
        }
        let Reply { mut primary, mut position, mut report, .. } = reply;
        if !self.can_be(now, position) {
            (primary, position) = (None, None);
        }
        if !self.can_be(now, report.position) {
            report = Report::default();
        }
        let took = now - sent;
        let answer = Answer { request, attempt, member, outcome, took, finished, primary, position, report };
        self.events.push_back(Event::Answer(answer));
        self.forget_request(request);
    }

    /// Danger: a position in the future would make its member the freshest for as long as it lasts.
    fn can_be(&mut self, now: Time, position: Option<Time>) -> bool {
        let can = position.is_none_or(|at| at <= now + self.limits.clock_slack);
        self.counters.members_disbelieved += u64::from(!can);
        can
    }

    fn count(&mut self, outcome: Outcome) {
        let counters = &mut self.counters;
        *match outcome {
            Outcome::Served => &mut counters.ended_served,
            Outcome::Error => &mut counters.ended_error,
            Outcome::Shed => &mut counters.ended_shed,
            Outcome::NotHere => &mut counters.ended_miss,
            Outcome::TimedOut => &mut counters.ended_timed_out,
            Outcome::NoConnection => &mut counters.ended_no_connection,
            Outcome::Broken => &mut counters.ended_reset,
            Outcome::Spoilt => &mut counters.ended_spoilt,
            Outcome::Cancelled => &mut counters.ended_cancelled,
            Outcome::Unsent => &mut counters.ended_unsent,
        } += 1;
    }

    // The list.

    fn watch(&mut self, now: Time, out: &mut Vec<Effect>) {
        (self.watching, self.watch_heard) = (true, now);
        self.counters.watches += 1;
        out.push(Effect::Watch(self.discovery, self.revision));
    }

    /// Takes what a running gateway can change; what it cannot is said. A configuration that cannot be used changes
    /// nothing.
    fn reload(&mut self, now: Time, config: Result<Box<Config>, String>, out: &mut Vec<Effect>) {
        self.counters.reloads += 1;
        let config = match config {
            Ok(config) => config,
            Err(why) => {
                self.counters.reloads_failed += 1;
                return out.push(Effect::Log(format!("the old configuration stays in force: {why}")));
            }
        };
        let mut said = format!("configuration read anew, the list is at {}", config.discovery);
        let fixed = self.fixed.differs(&Fixed::of(&config));
        if !fixed.is_empty() {
            said += &format!("; unchanged until a restart: {}", fixed.join(", "));
        }
        out.push(Effect::Log(said));
        (self.peers, self.peers_all) = (config.peers, config.peers_all);
        if std::mem::replace(&mut self.discovery, config.discovery) == config.discovery {
            return;
        }
        // Danger: another source counts its versions anew. Held to the old one's, its word would be taken for old.
        (self.revision, self.watch_pause, self.watching) = (None, 0, false);
        out.push(Effect::Unwatch);
        if self.subscribed {
            self.watch(now, out);
        }
        if self.fetching {
            out.push(Effect::Fetch(self.discovery));
        }
    }

    fn watch_lost(&mut self, now: Time, why: String, out: &mut Vec<Effect>) {
        if !std::mem::replace(&mut self.watching, false) {
            return;
        }
        self.counters.watches_lost += 1;
        log_rarely(self.counters.watches_lost, &format!("watch of the list lost ({why}),"), out);
        self.watch_pause =
            (self.watch_pause * 2).clamp(self.limits.watch_pause, self.limits.watch_pause_most);
        self.set_timer(now + self.watch_pause, Due::Watch);
        self.list_failed();
    }

    /// The old list holds; a router that asks for the list itself will ask again.
    fn list_failed(&mut self) {
        self.events.push_back(Event::List { scope: ListScope::Failed, members: Vec::new() });
    }

    fn list(&mut self, now: Time, list: ListUpdate, out: &mut Vec<Effect>) {
        (self.watch_heard, self.watch_pause) = (now, 0);
        if !list.complete && self.revision.is_some_and(|known| list.revision < known) {
            return; // Word that newer word has overtaken.
        }
        self.counters.lists += 1;
        self.fetching &= !list.complete;
        self.revision = Some(list.revision);
        let members: Vec<_> = list.members.iter().filter_map(|e| self.listed(now, e, out)).collect();
        if list.complete && !self.limits.only_drains_bind {
            let named: BTreeSet<_> = members.iter().map(|m| m.id).collect();
            let missing = self.members.iter_mut().filter(|(id, _)| !named.contains(id));
            missing.for_each(|(_, known)| known.told = known.told.or(Some(now)));
        }
        let scope = if list.complete { ListScope::Full } else { ListScope::Changes };
        self.events.push_back(Event::List { scope, members });
        if !self.members.is_empty() {
            let waiting = self.clients.iter().filter(|(_, c)| c.awaits_ready).map(|(id, _)| *id);
            for id in waiting.collect::<Vec<_>>() {
                if let Some(client) = self.clients.get_mut(&id) {
                    client.awaits_ready = false;
                }
                self.client_ready(now, id, out);
            }
        }
    }

    /// Drops all that goes by a member's number.
    fn forget_member(&mut self, member: MemberId, out: &mut Vec<Effect>) {
        let Some(Listed { name, .. }) = self.members.remove(&member) else { return };
        self.member_ids.remove(&name);
        self.digests.remove(member);
        self.counters.members_known -= 1;
        self.counters.members_forgotten += 1;
        for conn in self.pool.drain(member) {
            out.push(Effect::MemberClose(conn));
            self.forget(conn);
        }
    }

    fn listed(&mut self, now: Time, entry: &ListEntry, out: &mut Vec<Effect>) -> Option<Member> {
        let id = match self.member_ids.get(&entry.id) {
            Some(id) => *id,
            None if self.members.len() >= self.limits.members => return None,
            None => {
                let id = MemberId(self.next_member);
                self.next_member += 1;
                let (name, group) = (entry.id.clone(), entry.cell);
                self.member_ids.insert(name.clone(), id);
                self.members.insert(id, Listed { name, group, address: entry.address, told: None });
                self.digests.add(id, &entry.id);
                self.counters.members_known += 1;
                id
            }
        };
        if let Some(known) = self.members.get_mut(&id).filter(|m| m.address != entry.address) {
            known.address = entry.address;
            for conn in self.pool.drain(id) {
                out.push(Effect::MemberClose(conn));
                self.forget(conn);
            }
        }
        if let Some(known) = self.members.get_mut(&id) {
            known.group = entry.cell;
            let binds = match entry.phase {
                Standing::Serving => false,
                Standing::Draining => true,
                Standing::Gone => !self.limits.only_drains_bind || known.told.is_some(),
            };
            known.told = if binds { known.told.or(Some(now)) } else { None };
        }
        Some(Member {
            id,
            group: GroupId(entry.cell),
            zone: self.names.zones.iter().position(|z| *z == entry.locality).unwrap_or(0) as u32,
            weight: entry.size,
            started: Some(entry.up_since_ms * MS).filter(|at| *at > 0),
            standing: entry.phase,
            primary: entry.leader,
        })
    }

    // Other gateways.

    fn datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        let sender = self.peers.iter().position(|peer| *peer == from);
        let known = sender.is_some_and(|n| n != self.me) && bytes.len() <= self.limits.datagram_bytes;
        match self.digests.unpack(now, bytes).filter(|_| known) {
            Some((told, relay, news)) => {
                self.counters.words_heard += 1;
                self.events.push_back(Event::Peer { told, relay, news });
            }
            None => self.counters.words_dropped += 1,
        }
    }

    // The end.

    fn terminate(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !std::mem::replace(&mut self.ending, true) {
            self.set_timer(now + self.limits.drain_accept, Due::StopListening);
            self.retire_at = now + self.limits.drain_serve;
            self.set_timer(self.retire_at, Due::Retire);
            self.set_timer(now + self.limits.drain_end, Due::End);
            out.push(Effect::Log(format!("ending, {} requests in hand", self.requests.len())));
        }
    }

    /// Closes clients between requests, again and again until none is left. Danger: done as soon as the listener is
    /// closed, it would send them where nobody serves until this gateway is back.
    fn retire_clients(&mut self, now: Time, out: &mut Vec<Effect>) {
        if now < self.retire_at {
            return;
        }
        let idle = self.clients.iter().filter(|(_, c)| c.idle() || c.awaits_ready);
        out.extend(idle.map(|(id, _)| Effect::ClientRetire(*id)));
        if !self.clients.is_empty() {
            self.set_timer(now + self.limits.drain_pace, Due::Retire);
        }
    }

    /// The last moment before a SIGKILL: what is still in hand gets the answer that promises nothing.
    fn end(&mut self, now: Time, out: &mut Vec<Effect>) {
        let open = self.requests.iter().filter(|(_, open)| open.client.is_some()).map(|(id, _)| *id);
        for request in open.collect::<BTreeSet<_>>() {
            // What was never sent may be asked for elsewhere.
            let sent = self.requests.get(&request).is_some_and(|open| open.sent > 0);
            let code = if sent { "58000" } else { "57P03" };
            let answered = self.answer_error(now, request, code, "the gateway ends", None, out);
            self.counters.answered_failed += u64::from(answered && sent);
            self.counters.answered_refused += u64::from(answered && !sent);
        }
        self.exit(out);
    }

    fn exit(&mut self, out: &mut Vec<Effect>) {
        if std::mem::replace(&mut self.exited, true) {
            return;
        }
        out.push(Effect::Report(Box::new(self.counters.clone())));
        out.push(Effect::Exit);
    }
}

/// A line for what may come often: at the first, second, fourth, eighth time and so on.
fn log_rarely(count: u64, what: &str, out: &mut Vec<Effect>) {
    if count.is_power_of_two() {
        out.push(Effect::Log(format!("{what} {count}")));
    }
}

/// What a reply that is over means for its attempt; `None`: it is not over.
fn outcome(reply: &Reply) -> Option<Outcome> {
    Some(match reply.ended()? {
        Ended::Row => Outcome::Served,
        Ended::Error(code) => match &code {
            b"25006" | b"72000" => Outcome::NotHere,
            b"53300" => Outcome::Shed,
            _ => Outcome::Error,
        },
        Ended::Nothing => Outcome::Spoilt,
    })
}
