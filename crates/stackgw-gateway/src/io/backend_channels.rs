//! The channels between the gateway and a backend: commands to it, events from it. The backend runs on its own threads and
//! shares no other state with the gateway.

use crate::pg::Frame;
use crate::reducer::{BackendRequest, CloseReason, ConnectionId, StreamHeader};
use async_channel::{Receiver, Sender};
use stackgw_router::api::Outcome;
use std::any::Any;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Instant;

/// A stream that is passed from a backend to a frontend. Both know its type; the gateway does not.
pub type RelayedStream = Box<dyn Any + Send>;

/// A command from the gateway to a backend.
#[derive(Debug)]
pub enum BackendCommand {
    /// Open a connection to a member.
    Open(ConnectionId, SocketAddr),
    /// Execute a request on a connection. The gateway sends the next one only after the response to this one has ended. `send_by`
    /// is the latest time at which any part of it may be sent to the member.
    Execute {
        /// The connection.
        connection: ConnectionId,
        /// The request.
        request: BackendRequest,
        /// `None`: there is no such time.
        send_by: Option<Instant>,
    },
    /// Close a connection and stop the request on it; a write that has been sent is still executed to its end.
    Close(ConnectionId),
}

/// An event from a backend to the gateway.
pub enum BackendEvent {
    /// A connection is established.
    Connected(ConnectionId),
    /// A message of a response, in PostgreSQL's protocol.
    Frame(ConnectionId, Frame),
    /// The response on a connection is a stream: its header, and the stream for the frontend.
    StreamStarted(ConnectionId, StreamHeader, RelayedStream),
    /// The stream on a connection is paused because its reader is slow. From then on it no longer counts as load of its member.
    StreamPaused(ConnectionId),
    /// The stream on a connection has ended.
    StreamEnded(ConnectionId, Outcome),
    /// A connection has ended, or could not be established.
    Closed(ConnectionId, CloseReason),
}

impl BackendEvent {
    /// Returns the connection that the event belongs to.
    pub(super) fn connection(&self) -> ConnectionId {
        match self {
            BackendEvent::Connected(id)
            | BackendEvent::Frame(id, _)
            | BackendEvent::StreamStarted(id, ..)
            | BackendEvent::StreamPaused(id)
            | BackendEvent::StreamEnded(id, _)
            | BackendEvent::Closed(id, _) => *id,
        }
    }
}

/// A backend's ends of the two channels.
pub struct BackendChannels {
    /// Commands from the gateway.
    pub commands: Receiver<BackendCommand>,
    /// Events to the gateway.
    pub events: Sender<BackendEvent>,
}

/// Capacity of the event channel; the backend waits while it is full.
const EVENT_QUEUE: usize = 256;

/// The gateway's ends of the two channels.
pub(super) struct GatewayChannels {
    pub(super) commands: Sender<BackendCommand>,
    pub(super) events: Receiver<BackendEvent>,
}

impl BackendChannels {
    /// Creates both channels.
    pub(super) fn new() -> (BackendChannels, GatewayChannels) {
        // Unbounded, so that the gateway's thread never waits for the backend. The queue stays short: the number of open
        // connections is limited, and each has at most one request.
        let (command_sender, commands) = async_channel::unbounded();
        let (events, event_receiver) = async_channel::bounded(EVENT_QUEUE);
        let gateway = GatewayChannels {
            commands: command_sender,
            events: event_receiver,
        };
        (BackendChannels { commands, events }, gateway)
    }
}

/// The gateway's handle to the backend: the command channel, the open connections, and streams that no request has taken yet.
pub(super) struct BackendHandle {
    /// `None`: there is no backend.
    commands: Option<Sender<BackendCommand>>,
    /// The backend's open connections.
    pub(super) connections: RefCell<HashSet<ConnectionId>>,
    /// Streams that have started and that no request has taken yet, by connection.
    pub(super) started_streams: RefCell<HashMap<ConnectionId, RelayedStream>>,
}

impl BackendHandle {
    pub(super) fn new(commands: Option<Sender<BackendCommand>>) -> Self {
        BackendHandle {
            commands,
            connections: RefCell::default(),
            started_streams: RefCell::default(),
        }
    }

    /// Sends a command. Returns false if there is no backend, or it has stopped.
    pub(super) fn send(&self, command: BackendCommand) -> bool {
        let commands = self.commands.as_ref();
        commands.is_some_and(|commands| commands.try_send(command).is_ok())
    }

    /// Removes and returns the stream that has started on a connection, if no request has taken it yet.
    pub(super) fn take_started_stream(&self, id: ConnectionId) -> Option<RelayedStream> {
        self.started_streams.borrow_mut().remove(&id)
    }
}
