//! The channels between the gateway and a backend: commands to it, events from it. The other side of both runs on threads of
//! its own and shares nothing else with this one.

use crate::pg::Frame;
use crate::reducer::{BackendRequest, CloseReason, ConnectionId, StreamHeader};
use async_channel::{Receiver, Sender};
use stackgw_router::api::Outcome;
use std::any::Any;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

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
    pub(super) fn connection(&self) -> ConnectionId {
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
    pub(super) connections: RefCell<HashSet<ConnectionId>>,
    /// The stream that has just begun on a connection.
    pub(super) started_streams: RefCell<HashMap<ConnectionId, RelayedStream>>,
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
    pub(super) fn send(&self, command: BackendCommand) -> bool {
        let commands = self.commands.as_ref();
        commands.is_some_and(|commands| commands.try_send(command).is_ok())
    }

    /// The stream that has just begun on a connection.
    pub(super) fn take_started_stream(&self, id: ConnectionId) -> Option<RelayedStream> {
        self.started_streams.borrow_mut().remove(&id)
    }
}
