//! Members that speak another front's protocol: what is asked of them goes out by one line, what they say comes by another.
//! The other side of both runs on threads of its own and shares nothing else with this one.

use super::Shell;
use crate::pg::Frame;
use crate::reducer::{BackendRequest, CloseReason, ConnectionId, Input, StreamHeader};
use async_channel::{Receiver, Sender};
use stackgw_router::api::Outcome;
use std::any::Any;
use std::net::SocketAddr;
use std::rc::Rc;

/// A stream on its way from the side that has it to the side that wants it: both know what it is, the gateway does not.
pub type RelayedStream = Box<dyn Any + Send>;

/// What the gateway asks of a back.
#[derive(Debug)]
pub enum BackendCommand {
    /// A connection to a member.
    Open(ConnectionId, SocketAddr),
    /// A request on it, one at a time.
    Execute(ConnectionId, BackendRequest),
    /// The end of a connection and of what is asked on it; a write that has been asked runs to its end all the same.
    Close(ConnectionId),
}

/// What a back tells the gateway.
pub enum BackendEvent {
    /// A connection is up.
    Connected(ConnectionId),
    /// A message of an answer, in our first protocol.
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

/// A back's end of the two lines.
pub struct BackendChannels {
    /// What it is asked.
    pub commands: Receiver<BackendCommand>,
    /// Where it tells.
    pub events: Sender<BackendEvent>,
}

/// Word of members that waits to be taken; past it the back does.
const WAITING: usize = 256;

/// Both lines: the back's ends, then the gateway's.
pub(super) fn lines() -> (
    BackendChannels,
    Sender<BackendCommand>,
    Receiver<BackendEvent>,
) {
    // As many questions as there are connections to members, and these are bounded.
    let (asks, asked) = async_channel::unbounded();
    let (tells, told) = async_channel::bounded(WAITING);
    (
        BackendChannels {
            commands: asked,
            events: tells,
        },
        asks,
        told,
    )
}

/// Hands over what members say.
pub(super) async fn run(shell: Rc<Shell>, told: Receiver<BackendEvent>) {
    while let Ok(word) = told.recv().await {
        let (BackendEvent::Connected(id)
        | BackendEvent::Frame(id, _)
        | BackendEvent::StreamStarted(id, ..)
        | BackendEvent::StreamStalled(id)
        | BackendEvent::StreamEnded(id, _)
        | BackendEvent::Closed(id, _)) = &word;
        // What it says of a connection that has been closed here is no news.
        if !shell.backs.borrow().contains(id) {
            continue;
        }
        match word {
            BackendEvent::Connected(id) => shell.input(Input::MemberConnected(id)),
            BackendEvent::Frame(id, frame) => shell.input(Input::MemberFrame(id, frame)),
            BackendEvent::StreamStarted(id, said, stream) => {
                shell.streams.borrow_mut().insert(id, stream);
                shell.input(Input::StreamStarted(id, said));
                shell.streams.borrow_mut().remove(&id);
            }
            BackendEvent::StreamStalled(id) => shell.input(Input::StreamPaused(id)),
            BackendEvent::StreamEnded(id, outcome) => shell.input(Input::StreamEnded(id, outcome)),
            BackendEvent::Closed(id, why) => {
                shell.backs.borrow_mut().remove(&id);
                shell.input(Input::MemberClosed(id, why));
            }
        }
    }
}

impl Shell {
    /// Tells the back; whether there is one.
    pub(super) fn ask_back(&self, word: BackendCommand) -> bool {
        self.to_back
            .as_ref()
            .is_some_and(|back| back.try_send(word).is_ok())
    }

    /// Closes a connection that the back has.
    pub(super) fn close_back(&self, conn: ConnectionId) {
        if self.backs.borrow_mut().remove(&conn) {
            self.ask_back(BackendCommand::Close(conn));
        }
    }

    /// Opens a connection by the back; where there is none it never comes up.
    pub(super) fn open_back(&self, conn: ConnectionId, address: SocketAddr) {
        if self.ask_back(BackendCommand::Open(conn, address)) {
            self.backs.borrow_mut().insert(conn);
        } else {
            self.later(Input::MemberClosed(conn, CloseReason::Disconnected));
        }
    }
}
