//! Members that speak another frontend's protocol. Commands to them go out by one channel, what they answer comes by another.
//! The other side of both runs on threads of its own and shares nothing else with this one.

use super::driver::Driver;
use crate::pg::Frame;
use crate::reducer::{BackendRequest, CloseReason, ConnectionId, Input, StreamHeader};
use async_channel::{Receiver, Sender};
use stackgw_router::api::Outcome;
use std::any::Any;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// A stream on its way from the backend that has it to the frontend that wants it: both know what it is, the gateway does not.
pub type RelayedStream = Box<dyn Any + Send>;

/// What the gateway asks of a backend.
#[derive(Debug)]
pub enum BackendCommand {
    /// Open a connection to a member.
    Open(ConnectionId, SocketAddr),
    /// Execute a request on it, one at a time.
    Execute(ConnectionId, BackendRequest),
    /// Close a connection and stop what is executed on it; a write that has been sent runs to its end all the same.
    Close(ConnectionId),
}

/// What a backend tells the gateway.
pub enum BackendEvent {
    /// A connection is up.
    Connected(ConnectionId),
    /// A message of an answer, in the first protocol.
    Frame(ConnectionId, Frame),
    /// The answer comes as a stream, and this is it.
    StreamStarted(ConnectionId, StreamHeader, RelayedStream),
    /// That stream waits for its reader.
    StreamStalled(ConnectionId),
    /// That stream is over.
    StreamEnded(ConnectionId, Outcome),
    /// A connection is over, or never came up.
    Closed(ConnectionId, CloseReason),
}

impl BackendEvent {
    /// The connection that it concerns.
    fn connection(&self) -> ConnectionId {
        match self {
            BackendEvent::Connected(id)
            | BackendEvent::Frame(id, _)
            | BackendEvent::StreamStarted(id, ..)
            | BackendEvent::StreamStalled(id)
            | BackendEvent::StreamEnded(id, _)
            | BackendEvent::Closed(id, _) => *id,
        }
    }
}

/// A backend's ends of the two channels.
pub struct BackendChannels {
    /// What it is to do.
    pub commands: Receiver<BackendCommand>,
    /// Where it tells what happened.
    pub events: Sender<BackendEvent>,
}

/// Events of members that wait to be handled; past it the backend waits.
const EVENT_QUEUE: usize = 256;

/// The gateway's ends of the two channels.
pub(super) struct GatewayChannels {
    pub(super) commands: Sender<BackendCommand>,
    pub(super) events: Receiver<BackendEvent>,
}

impl BackendChannels {
    /// Makes both channels.
    pub(super) fn new() -> (BackendChannels, GatewayChannels) {
        // As many commands as there are connections to members, and these are bounded.
        let (command_sender, commands) = async_channel::unbounded();
        let (events, event_receiver) = async_channel::bounded(EVENT_QUEUE);
        let gateway = GatewayChannels {
            commands: command_sender,
            events: event_receiver,
        };
        (BackendChannels { commands, events }, gateway)
    }
}

/// The gateway's view of the backend.
pub(super) struct Backends {
    /// `None`: there is no backend.
    commands: Option<Sender<BackendCommand>>,
    /// The connections that it has.
    connections: RefCell<HashSet<ConnectionId>>,
    /// The stream that has just begun on a connection.
    started_streams: RefCell<HashMap<ConnectionId, RelayedStream>>,
}

impl Backends {
    pub(super) fn new(commands: Option<Sender<BackendCommand>>) -> Self {
        Backends {
            commands,
            connections: RefCell::default(),
            started_streams: RefCell::default(),
        }
    }

    /// Sends a command; whether there is a backend that takes it.
    fn send(&self, command: BackendCommand) -> bool {
        let commands = self.commands.as_ref();
        commands.is_some_and(|commands| commands.try_send(command).is_ok())
    }

    /// The stream that has just begun on a connection.
    pub(super) fn take_started_stream(&self, id: ConnectionId) -> Option<RelayedStream> {
        self.started_streams.borrow_mut().remove(&id)
    }
}

/// Hands over what members say.
pub(super) async fn run(driver: Rc<Driver>, events: Receiver<BackendEvent>) {
    while let Ok(event) = events.recv().await {
        // What it says of a connection that has been closed here is outdated.
        if driver
            .backends
            .connections
            .borrow()
            .contains(&event.connection())
        {
            driver.handle_backend_event(event);
        }
    }
}

impl Driver {
    fn handle_backend_event(self: &Rc<Self>, event: BackendEvent) {
        match event {
            BackendEvent::Connected(id) => self.handle_input(Input::MemberConnected(id)),
            BackendEvent::Frame(id, frame) => self.handle_input(Input::MemberFrame(id, frame)),
            BackendEvent::StreamStarted(id, header, stream) => {
                self.backends
                    .started_streams
                    .borrow_mut()
                    .insert(id, stream);
                self.handle_input(Input::StreamStarted(id, header));
                // Nobody took it.
                let stream = self.backends.take_started_stream(id);
                drop(stream);
            }
            BackendEvent::StreamStalled(id) => self.handle_input(Input::StreamPaused(id)),
            BackendEvent::StreamEnded(id, outcome) => {
                self.handle_input(Input::StreamEnded(id, outcome));
            }
            BackendEvent::Closed(id, why) => {
                self.backends.connections.borrow_mut().remove(&id);
                self.handle_input(Input::MemberClosed(id, why));
            }
        }
    }

    /// Opens a connection by the backend; where there is none it never comes up.
    pub(super) fn open_backend_connection(&self, id: ConnectionId, address: SocketAddr) {
        if self.backends.send(BackendCommand::Open(id, address)) {
            self.backends.connections.borrow_mut().insert(id);
        } else {
            self.queue_input(Input::MemberClosed(id, CloseReason::Disconnected));
        }
    }

    /// Executes a request. It counts as written at once: from here on it may have run, and what is known not to have left says
    /// so itself.
    pub(super) fn execute_on_backend(&self, id: ConnectionId, request: BackendRequest) {
        self.backends.send(BackendCommand::Execute(id, request));
        self.queue_input(Input::MemberFlushed(id));
    }

    /// Closes a connection that the backend has.
    pub(super) fn close_backend_connection(&self, id: ConnectionId) {
        let is_known = self.backends.connections.borrow_mut().remove(&id);
        if is_known {
            self.backends.send(BackendCommand::Close(id));
        }
    }
}
