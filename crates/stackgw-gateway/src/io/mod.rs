//! The I/O side: tasks that read and hand inputs to the reducer, and the shell that carries its effects out. Nothing
//! here decides. One thread, one executor.

mod backends;
mod clients;
mod connection;
mod control;
mod datagrams;
mod discovery;
mod frontends;
mod members;
mod signals;
mod storage;
mod timers;

use crate::config::{Config, ConfigReloader};
use crate::limits::Limits;
use crate::reducer::{CallId, ClientId, CloseReason, ConnectionId, Effect, Input, Reducer};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
pub use backends::{BackendChannels, BackendCommand, BackendEvent, RelayedStream};
use connection::{Budget, Link, Written};
pub use frontends::{FrontendResponse, RequestGuard, RequestHandle};
use futures_lite::future;
use slog::{info, Logger};
use stackgw_router::api::Time;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock, anchored once to the system's: Unix time in nanoseconds that never goes back.
#[derive(Debug, Clone, Copy)]
struct Clock {
    zero: Instant,
    unix: Time,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            zero: Instant::now(),
            unix: unix.as_nanos() as Time,
        }
    }

    fn now(&self) -> Time {
        self.unix + self.zero.elapsed().as_nanos() as Time
    }

    fn instant(&self, at: Time) -> Instant {
        self.zero + Duration::from_nanos(at.saturating_sub(self.unix).max(0) as u64)
    }
}

/// A flag that one task waits for.
#[derive(Debug, Default)]
struct Gate {
    open: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Gate {
    fn set(&self, open: bool) {
        self.open.set(open);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits until the flag is as wanted.
    async fn wait(&self, wanted: bool) {
        future::poll_fn(|cx| {
            if self.open.get() == wanted {
                return std::task::Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            std::task::Poll::Pending
        })
        .await;
    }
}

/// A connection to a member: its task, and its socket once it is up. Dropped, it is closed.
struct Member {
    link: Option<Rc<Link>>,
    _task: Task<()>,
}

/// A client's connection. Dropped, it is closed.
struct Client {
    link: Rc<Link>,
    _task: Task<()>,
}

/// Everything the tasks share.
struct Shell {
    reducer: RefCell<Reducer>,
    limits: Limits,
    clock: Clock,
    log: Logger,
    executor: Rc<LocalExecutor<'static>>,
    reloader: ConfigReloader,
    queue: RefCell<VecDeque<Input>>,
    handling: Cell<bool>,
    clients: RefCell<HashMap<ClientId, Client>>,
    /// Clients with whole messages that are not taken yet.
    waiting: RefCell<BTreeSet<ClientId>>,
    /// Clients whose tasks hold bytes, so that they may not be read on, and whether there are any.
    holding: RefCell<BTreeSet<ClientId>>,
    holds: Gate,
    /// Bytes that the clients' and the members' tasks hold.
    client_budget: Rc<Budget>,
    member_budget: Rc<Budget>,
    members: RefCell<HashMap<ConnectionId, Member>>,
    watch: RefCell<Option<Task<()>>>,
    fetch: RefCell<Option<Task<()>>>,
    datagrams: Option<Rc<Async<UdpSocket>>>,
    /// Where the operator's cluster talks, and what keeps its records.
    cluster: Option<Rc<Async<UdpSocket>>>,
    store: Option<stackgw_store::RecordWriter>,
    /// What keeps the list.
    keeper: Option<stackgw_store::EndpointListWriter>,
    askers: control::Askers,
    /// Other fronts' requests that are open, and who waits for each.
    calls: RefCell<HashMap<CallId, async_channel::Sender<FrontendResponse>>>,
    /// Members that speak another front's protocol: the way to them, the connections to them, and the stream that has just
    /// begun on one.
    to_back: Option<async_channel::Sender<BackendCommand>>,
    backs: RefCell<HashSet<ConnectionId>>,
    streams: RefCell<HashMap<ConnectionId, RelayedStream>>,
    accepts: Gate,
    stops_listening: Gate,
    alarm: timers::Alarm,
    ended: Gate,
    /// One read's bytes, shared by all connections of this one thread.
    buffer: Rc<RefCell<Vec<u8>>>,
}

impl Shell {
    /// Hands an input to the reducer and carries out what it asks for, until nothing is left.
    fn input(self: &Rc<Self>, input: Input) {
        self.queue.borrow_mut().push_back(input);
        if self.handling.replace(true) {
            return;
        }
        let mut effects = Vec::new();
        loop {
            let Some(input) = self.queue.borrow_mut().pop_front() else {
                break;
            };
            self.reducer
                .borrow_mut()
                .handle(self.clock.now(), input, &mut effects);
            for effect in effects.drain(..) {
                self.carry_out(effect);
            }
        }
        self.handling.set(false);
        self.resume_waiting();
        self.alarm.set(self.reducer.borrow().next_due());
    }

    fn later(&self, input: Input) {
        self.queue.borrow_mut().push_back(input);
    }

    fn takes(&self, client: ClientId) -> bool {
        self.reducer.borrow().accepts_frame(client)
    }

    fn resume_waiting(&self) {
        let reducer = self.reducer.borrow();
        self.waiting.borrow_mut().retain(|id| {
            let taken = reducer.accepts_frame(*id);
            if let Some(client) = self.clients.borrow().get(id).filter(|_| taken) {
                client.link.wake();
            }
            !taken && self.clients.borrow().contains_key(id)
        });
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::AcceptClients(on) => self.accepts.set(on),
            Effect::ClientWrite {
                client,
                bytes,
                close,
            } => {
                let Some(link) = self.clients.borrow().get(&client).map(|c| c.link.clone()) else {
                    return;
                };
                if close {
                    link.close_when_written();
                    link.wake();
                }
                match link.write(bytes) {
                    Written::All => self.later(Input::ClientFlushed(client)),
                    Written::Part => {}
                    Written::Broken => self.close_client(client, true),
                }
            }
            Effect::ClientClose(client) => self.close_client(client, false),
            Effect::ClientCloseIfIdle(client) => {
                let ended = self
                    .clients
                    .borrow()
                    .get(&client)
                    .is_some_and(|c| c.link.end_if_quiet());
                if ended {
                    self.close_client(client, true);
                }
            }
            Effect::MemberConnect(conn, address) => members::open(self, conn, address),
            Effect::MemberWrite(conn, bytes) => {
                let link = self
                    .members
                    .borrow()
                    .get(&conn)
                    .and_then(|m| m.link.clone());
                let Some(link) = link else { return };
                // Danger: a write into a connection that the member has closed would count as sent, and what waits on
                // one would be taken for the answer.
                let closed = match link.unusable() {
                    Some(why) => Some(why),
                    None => match link.write(bytes) {
                        Written::All => return self.later(Input::MemberFlushed(conn)),
                        Written::Part => None,
                        Written::Broken => Some(CloseReason::Disconnected),
                    },
                };
                if let Some(why) = closed {
                    self.members.borrow_mut().remove(&conn);
                    self.later(Input::MemberClosed(conn, why));
                }
            }
            Effect::BackendConnect(conn, address) => self.open_back(conn, address),
            Effect::BackendSend(conn, asked) => {
                // From here on it may have run; what is known not to have left says so itself.
                self.ask_back(BackendCommand::Execute(conn, asked));
                self.later(Input::MemberFlushed(conn));
            }
            Effect::MemberClose(conn) => {
                drop(self.members.borrow_mut().remove(&conn));
                self.close_back(conn);
            }
            Effect::OpenWatch(at, after) => {
                let task = self
                    .executor
                    .spawn(discovery::watch(self.clone(), at, after));
                *self.watch.borrow_mut() = Some(task);
            }
            Effect::CloseWatch => drop(self.watch.borrow_mut().take()),
            Effect::FetchEndpoints(at) => {
                *self.fetch.borrow_mut() =
                    Some(self.executor.spawn(discovery::fetch(self.clone(), at)));
            }
            Effect::GossipDatagram(to, bytes) => {
                if let Some(socket) = &self.datagrams {
                    // A datagram that cannot leave now is lost, as any may be.
                    let _ = socket.get_ref().send_to(&bytes, to);
                }
            }
            Effect::ClusterDatagram(to, bytes) => {
                if let Some(socket) = &self.cluster {
                    // As above; what matters is sent again.
                    let _ = socket.get_ref().send_to(&bytes, to);
                }
            }
            Effect::StoreRecord(record) => {
                if let Some(store) = &self.store {
                    store.put(record);
                }
            }
            Effect::CallCompleted(call, ended) => {
                let told = self.calls.borrow_mut().remove(&call);
                if let Some(told) = told {
                    let _ = told.try_send(FrontendResponse::Final(ended));
                }
            }
            Effect::CallStreaming(call, conn) => {
                let told = self.calls.borrow_mut().remove(&call);
                let stream = self.streams.borrow_mut().remove(&conn);
                if let (Some(told), Some(stream)) = (told, stream) {
                    let _ = told.try_send(FrontendResponse::Stream(stream));
                }
            }
            Effect::StoreEndpoints(kept) => {
                if let Some(keeper) = &self.keeper {
                    keeper.put(*kept);
                }
            }
            Effect::StatusReply(asker, answer) => self.askers.tell(asker, answer),
            Effect::StopListening => self.stops_listening.set(true),
            Effect::Log(text) => info!(self.log, "{text}"),
            Effect::Report(counters) => info!(self.log, "{counters}"),
            Effect::Exit => {
                self.clients
                    .borrow()
                    .values()
                    .for_each(|client| client.link.last_word());
                self.ended.set(true);
            }
        }
    }

    fn close_client(&self, client: ClientId, tell: bool) {
        let known = self.clients.borrow_mut().remove(&client);
        self.holding.borrow_mut().remove(&client);
        if known.is_some() && tell {
            self.later(Input::ClientClosed(client, CloseReason::Disconnected));
        }
    }
}

/// Serves until told to end.
pub(crate) fn serve(
    config: Config,
    front: Option<crate::FrontendFactory>,
    log: Logger,
) -> Result<(), String> {
    // First of all: a signal that came before would end the program.
    let signals = signals::listen().map_err(|e| format!("signals: {e}"))?;
    let control = config
        .operator
        .control
        .as_deref()
        .map(control::listen)
        .transpose()?;
    let mut shared = storage::start(&config, &log)?;
    let (mut running, mut line, mut to_back) = (None, None, None);
    if let Some(front) = front {
        let (door, knocks) = frontends::RequestHandle::new();
        let (behind, asks, told) = backends::lines();
        running = Some(front(door, behind, log.clone())?);
        (line, to_back) = (Some((knocks, told)), Some(asks));
    }
    let bind =
        |what: &str, address: SocketAddr, e: std::io::Error| format!("{what}: {address}: {e}");
    let listener =
        Async::<TcpListener>::bind(config.listen).map_err(|e| bind("listen", config.listen, e))?;
    let at = listener
        .get_ref()
        .local_addr()
        .map_err(|e| bind("listen", config.listen, e))?;
    info!(log, "listening on {at}");
    let datagrams = match config.peer_listen {
        None => None,
        Some(address) => {
            let socket =
                Async::<UdpSocket>::bind(address).map_err(|e| bind("peer_listen", address, e))?;
            Some(Rc::new(socket))
        }
    };
    let executor = Rc::new(LocalExecutor::new());
    let limits = config.limits.clone();
    let clock = Clock::new();
    let (session_sharing, reloader) = (config.session_sharing.clone(), config.reloader());
    let (cluster_config, start, name) = (
        config.cluster.clone(),
        config.bootstrap.clone(),
        config.name.clone(),
    );
    let mut reducer = Reducer::new(config);
    let mut effects = Vec::new();
    if let (Some(session_sharing), Some(shared)) = (&session_sharing, &mut shared) {
        let life = shared.life.clone();
        reducer.enable_session_sharing(clock.now(), session_sharing, life, &mut effects);
    }
    if let (Some(cluster_config), Some(shared), None) = (&cluster_config, &shared, &session_sharing)
    {
        reducer.join_cluster(clock.now(), cluster_config, shared.life.peer(&name));
    }
    let kept = start.as_ref().and_then(|start| storage::kept(start, &log));
    let (kept, keeper) = kept.map_or((None, None), |(kept, writer)| (kept, Some(writer)));
    if let Some(start) = &start {
        reducer.enable_bootstrap(
            clock.now(),
            start,
            cluster_config.as_ref().map(|o| &o.options),
            kept,
            &mut effects,
        );
    }
    let (cluster, store, disk) = match shared {
        Some(shared) => (Some(shared.socket), shared.writer, shared.disk),
        None => (None, None, None),
    };
    let shell = Rc::new(Shell {
        clock,
        log,
        executor: executor.clone(),
        reloader,
        queue: RefCell::default(),
        handling: Cell::new(false),
        clients: RefCell::default(),
        waiting: RefCell::default(),
        holding: RefCell::default(),
        holds: Gate::default(),
        client_budget: Budget::new(limits.client_bytes),
        member_budget: Budget::new(limits.member_bytes),
        members: RefCell::default(),
        watch: RefCell::default(),
        fetch: RefCell::default(),
        datagrams,
        cluster,
        store,
        keeper,
        askers: control::Askers::default(),
        calls: RefCell::default(),
        to_back,
        backs: RefCell::default(),
        streams: RefCell::default(),
        accepts: Gate::default(),
        stops_listening: Gate::default(),
        alarm: timers::Alarm::default(),
        ended: Gate::default(),
        buffer: Rc::new(RefCell::new(vec![0; limits.read_bytes])),
        reducer: RefCell::new(reducer),
        limits,
    });
    executor
        .spawn(signals::run(shell.clone(), signals))
        .detach();
    executor.spawn(timers::run(shell.clone())).detach();
    if let Some(socket) = shell.datagrams.clone() {
        executor
            .spawn(datagrams::run(
                shell.clone(),
                socket,
                shell.limits.datagram_bytes,
                Input::GossipDatagram,
            ))
            .detach();
    }
    if let Some(socket) = shell.cluster.clone() {
        let input = |_, bytes| Input::ClusterDatagram(bytes);
        executor
            .spawn(datagrams::run(
                shell.clone(),
                socket,
                stackgw_cluster::MAX_DATAGRAM_BYTES,
                input,
            ))
            .detach();
    }
    if let Some(word) = disk {
        executor.spawn(storage::disk(shell.clone(), word)).detach();
    }
    if let Some(listener) = control {
        executor
            .spawn(control::run(shell.clone(), listener))
            .detach();
    }
    if let Some((knocks, told)) = line {
        executor
            .spawn(frontends::run(shell.clone(), knocks))
            .detach();
        executor.spawn(backends::run(shell.clone(), told)).detach();
    }
    executor.spawn(clients::see_leave(shell.clone())).detach();
    executor
        .spawn(clients::accept(shell.clone(), listener))
        .detach();
    effects
        .into_iter()
        .for_each(|effect| shell.carry_out(effect));
    shell.input(Input::Start);
    async_io::block_on(executor.run(shell.ended.wait(true)));
    drop(running);
    Ok(())
}
