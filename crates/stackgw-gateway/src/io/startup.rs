//! Opens the parts of a gateway in the order of their dependencies, and runs the gateway until it exits.

use super::alarm::Alarm;
use super::backend_channels::{BackendChannels, BackendCommand, BackendEvent, BackendHandle};
use super::client_table::Clients;
use super::clock::Clock;
use super::control_answers::StatusReplies;
use super::driver::{DatagramSockets, Driver, Storage};
use super::flag::Flag;
use super::list_tasks::ListRequests;
use super::member_table::Members;
use super::request_handle::{close_intake, FrontendMessage, OpenRequests, RequestHandle};
use super::{
    backends, clients, control, datagrams, disconnects, frontends, listener, signals, storage,
    timers,
};
use crate::config::{Config, ConfigReloader};
use crate::error::GatewayError;
use crate::limits::Limits;
use crate::reducer::{Effect, Incarnation, Input, Reducer};
use crate::FrontendFactory;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::Signals;
use slog::{info, Logger};
use stackgw_store::{CommitOutcome, EndpointListWriter, RecordWriter};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::net::UnixListener;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Serves until the reducer ends the gateway.
///
/// # Errors
///
/// The signal handlers cannot be installed, or a socket, store or frontend that the configuration names cannot be opened.
pub(crate) fn serve(
    config: Config,
    frontend: Option<FrontendFactory>,
    log: Logger,
) -> Result<(), GatewayError> {
    Gateway::open(config, frontend, log)?.run();
    Ok(())
}

/// A gateway with all its parts open, before its first input.
struct Gateway {
    driver: Rc<Driver>,
    /// Effects that the reducer has emitted before its first input.
    effects: Vec<Effect>,
    sources: InputSources,
    /// Dropping it stops the other frontend and its backend.
    running_frontend: Option<Box<dyn Any>>,
}

impl Gateway {
    fn open(
        config: Config,
        frontend: Option<FrontendFactory>,
        log: Logger,
    ) -> Result<Self, GatewayError> {
        // Done first: a signal that arrives earlier would kill the process.
        let signals = signals::listen().map_err(GatewayError::Signals)?;
        let control = config.operator.control.as_deref();
        let control = control.map(control::listen).transpose()?;
        let cluster = ClusterAccess::open(&config, &log)?;
        let frontend = match frontend {
            Some(factory) => RunningFrontend::start(factory, &log)?,
            None => RunningFrontend::default(),
        };
        let listener = listen(config.listen, &log)?;
        let peers = match config.peer_listen {
            Some(address) => Some(bind_datagrams("peer_listen", address)?),
            None => None,
        };
        let clock = Clock::new();
        let core = Core::new(config, cluster.as_ref(), clock, &log);
        let (cluster_socket, record_writer, store_results) = match cluster {
            Some(cluster) => (Some(cluster.socket), cluster.writer, cluster.store_results),
            None => (None, None, None),
        };
        let outputs = Outputs {
            datagrams: DatagramSockets {
                peers,
                cluster: cluster_socket,
            },
            record_writer,
            backend_commands: frontend.commands,
        };
        let (driver, effects) = core.into_driver(clock, log, outputs);
        let sources = InputSources {
            signals,
            control,
            store_results,
            frontend: frontend.inputs,
            listener,
        };
        Ok(Gateway {
            driver,
            effects,
            sources,
            running_frontend: frontend.running,
        })
    }

    fn run(self) {
        let driver = self.driver;
        let frontend = self.sources.frontend.as_ref();
        let frontend_messages = frontend.map(|inputs| inputs.messages.clone());
        self.sources.spawn_tasks(&driver);
        for effect in self.effects {
            driver.execute(effect);
        }
        driver.handle_input(Input::Start);
        async_io::block_on(driver.executor.run(driver.exits.wait()));
        // The executor's tasks hold the driver, which holds the executor, so neither is ever dropped. Without this explicit
        // drop, writes queued for the disk would be lost when the process exits.
        drop(driver.storage.take());
        // No task reads requests any more, and the frontend stops only once each of its requests has a response.
        if let Some(messages) = &frontend_messages {
            close_intake(messages);
        }
        driver.open_requests.clear();
        drop(self.running_frontend);
    }
}

/// The outputs of the driver other than connections to clients and members.
struct Outputs {
    datagrams: DatagramSockets,
    record_writer: Option<RecordWriter>,
    backend_commands: Option<Sender<BackendCommand>>,
}

fn listen(address: SocketAddr, log: &Logger) -> Result<Async<TcpListener>, GatewayError> {
    let error = |source| GatewayError::Listen {
        field: "listen",
        address,
        source,
    };
    let listener = Async::<TcpListener>::bind(address).map_err(error)?;
    let bound = listener.get_ref().local_addr().map_err(error)?;
    info!(log, "listening on {bound}");
    Ok(listener)
}

fn bind_datagrams(
    field: &'static str,
    address: SocketAddr,
) -> Result<Rc<Async<UdpSocket>>, GatewayError> {
    let socket = Async::<UdpSocket>::bind(address).map_err(|source| GatewayError::Listen {
        field,
        address,
        source,
    })?;
    Ok(Rc::new(socket))
}

/// The socket and store of this instance as a part of the operator's cluster.
struct ClusterAccess {
    socket: Rc<Async<UdpSocket>>,
    incarnation: Incarnation,
    writer: Option<RecordWriter>,
    store_results: Option<Receiver<CommitOutcome>>,
}

impl ClusterAccess {
    /// Binds the socket and opens the store, if the operator's file configures them.
    fn open(config: &Config, log: &Logger) -> Result<Option<Self>, GatewayError> {
        let Some(cluster) = &config.cluster else {
            return Ok(None);
        };
        let field = match config.session_sharing {
            Some(_) => "sessions.listen",
            None => "cluster.listen",
        };
        let socket = bind_datagrams(field, cluster.options.listen)?;
        let started_at = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let access = match storage::open_session_store(config, log)? {
            Some(store) => ClusterAccess {
                socket,
                incarnation: store.incarnation,
                writer: Some(store.writer),
                store_results: Some(store.results),
            },
            None => ClusterAccess {
                socket,
                incarnation: Incarnation {
                    number: u64::try_from(started_at.as_millis()).unwrap_or(u64::MAX),
                    recovered: None,
                },
                writer: None,
                store_results: None,
            },
        };
        Ok(Some(access))
    }
}

/// Another frontend and its backend, if there is one.
#[derive(Default)]
struct RunningFrontend {
    /// Dropping it stops both.
    running: Option<Box<dyn Any>>,
    commands: Option<Sender<BackendCommand>>,
    inputs: Option<FrontendInputs>,
}

/// The channels on which inputs of another frontend and its backend arrive.
struct FrontendInputs {
    messages: Receiver<FrontendMessage>,
    events: Receiver<BackendEvent>,
}

impl RunningFrontend {
    fn start(factory: FrontendFactory, log: &Logger) -> Result<Self, GatewayError> {
        let (handle, messages) = RequestHandle::new();
        let (backend, gateway) = BackendChannels::new();
        let running = factory(handle, backend, log.clone()).map_err(GatewayError::Frontend)?;
        let inputs = FrontendInputs {
            messages,
            events: gateway.events,
        };
        Ok(RunningFrontend {
            running: Some(running),
            commands: Some(gateway.commands),
            inputs: Some(inputs),
        })
    }
}

/// The reducer with its configured features, before its first input.
struct Core {
    reducer: Reducer,
    /// Effects that the reducer has emitted already.
    effects: Vec<Effect>,
    limits: Limits,
    reloader: ConfigReloader,
    list_writer: Option<EndpointListWriter>,
}

impl Core {
    fn new(config: Config, cluster: Option<&ClusterAccess>, clock: Clock, log: &Logger) -> Self {
        let limits = config.limits.clone();
        let reloader = config.reloader();
        let name = config.name.clone();
        let session_sharing = config.session_sharing.clone();
        let cluster_config = config.cluster.clone();
        let bootstrap = config.bootstrap.clone();
        let mut reducer = Reducer::new(config);
        let mut effects = Vec::new();
        if let Some(ClusterAccess { incarnation, .. }) = cluster {
            if let Some(session_sharing) = &session_sharing {
                reducer.enable_session_sharing(
                    clock.now(),
                    session_sharing,
                    incarnation.clone(),
                    &mut effects,
                );
            } else if let Some(cluster_config) = &cluster_config {
                reducer.join_cluster(clock.now(), cluster_config, incarnation.peer(&name));
            }
        }
        let mut list_writer = None;
        if let Some(bootstrap) = &bootstrap {
            let store = storage::open_endpoint_list(bootstrap, log);
            let cluster = cluster_config.as_ref().map(|cluster| &cluster.options);
            reducer.enable_bootstrap(clock.now(), bootstrap, cluster, store.cached, &mut effects);
            list_writer = store.writer;
        }
        Core {
            reducer,
            effects,
            limits,
            reloader,
            list_writer,
        }
    }

    /// Returns the driver of this reducer, and the effects that it must carry out first.
    fn into_driver(self, clock: Clock, log: Logger, outputs: Outputs) -> (Rc<Driver>, Vec<Effect>) {
        let driver = Driver {
            reducer: RefCell::new(self.reducer),
            inputs: RefCell::default(),
            is_handling: Cell::new(false),
            clock,
            log,
            executor: Rc::new(LocalExecutor::new()),
            reloader: self.reloader,
            clients: Clients::new(&self.limits),
            members: Members::new(&self.limits),
            backend: BackendHandle::new(outputs.backend_commands),
            open_requests: OpenRequests::default(),
            list_requests: ListRequests::default(),
            datagrams: outputs.datagrams,
            storage: RefCell::new(Storage {
                records: outputs.record_writer,
                endpoint_list: self.list_writer,
            }),
            status_replies: StatusReplies::default(),
            alarm: Alarm::default(),
            exits: Flag::default(),
            read_buffer: Rc::new(RefCell::new(vec![0; self.limits.read_bytes])),
            limits: self.limits,
        };
        (Rc::new(driver), self.effects)
    }
}

/// The sources of inputs other than the sockets that the driver also sends on.
struct InputSources {
    signals: Signals,
    control: Option<Async<UnixListener>>,
    store_results: Option<Receiver<CommitOutcome>>,
    frontend: Option<FrontendInputs>,
    listener: Async<TcpListener>,
}

impl InputSources {
    /// Starts a task for each source.
    fn spawn_tasks(self, driver: &Rc<Driver>) {
        driver.spawn(signals::run(driver.clone(), self.signals));
        driver.spawn(timers::run(driver.clone()));
        if let Some(socket) = driver.datagrams.peers.clone() {
            let max_bytes = driver.limits.datagram_bytes;
            driver.spawn(datagrams::run(
                driver.clone(),
                socket,
                max_bytes,
                Input::GossipDatagram,
            ));
        }
        if let Some(socket) = driver.datagrams.cluster.clone() {
            let max_bytes = stackgw_cluster::MAX_DATAGRAM_BYTES;
            let input = |_, bytes| Input::ClusterDatagram(bytes);
            driver.spawn(datagrams::run(driver.clone(), socket, max_bytes, input));
        }
        if let Some(results) = self.store_results {
            driver.spawn(storage::run(driver.clone(), results));
        }
        if let Some(listener) = self.control {
            driver.spawn(control::run(driver.clone(), listener));
        }
        if let Some(frontend) = self.frontend {
            driver.spawn(frontends::run(driver.clone(), frontend.messages));
            driver.spawn(backends::run(driver.clone(), frontend.events));
        }
        driver.spawn(disconnects::run(driver.clone()));
        driver.spawn(clients::report_exhausted_budget(driver.clone()));
        driver.spawn(listener::run(driver.clone(), self.listener));
    }
}
