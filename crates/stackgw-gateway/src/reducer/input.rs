//! Inputs that the I/O side reports to the reducer.

use super::backend::StreamHeader;
use super::ids::{CallId, ClientId, ConnectionId};
use crate::config::{Config, ConfigError};
use crate::discovery::{ListUpdate, WatchError};
use crate::pg::Frame;
use stackgw_router::api::Outcome;
use std::net::SocketAddr;

/// Why a connection has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The remote side closed or reset it, or it was never established.
    Disconnected,
    /// Like `Disconnected`, and its request was certainly not sent.
    NotSent,
    /// Bytes on it violated the protocol.
    ProtocolError,
    /// Data arrived on it without a request.
    UnexpectedData,
}

/// Data that a client has sent and that has not been delivered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadAhead {
    /// Its size in bytes.
    pub bytes: usize,
    /// The first message is not complete, so delivery waits for the client; otherwise that message waits for capacity.
    pub is_partial: bool,
}

impl ReadAhead {
    /// Read-ahead that is the start of an incomplete message, or empty.
    pub fn partial(bytes: usize) -> Self {
        ReadAhead {
            bytes,
            is_partial: bytes > 0,
        }
    }

    /// Read-ahead that starts with a complete message, which was not accepted.
    pub fn waiting(bytes: usize) -> Self {
        ReadAhead {
            bytes,
            is_partial: false,
        }
    }
}

/// Why a client is checked for whether it has stopped in the middle of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallReason {
    /// The message was not complete in time.
    Timeout,
    /// Another client needs the place.
    PlaceNeeded,
    /// Other clients need the memory of what it has sent.
    MemoryNeeded,
}

/// An event outside the reducer.
#[derive(Debug)]
pub enum Input {
    /// The gateway starts.
    Start,
    /// A client connected.
    ClientConnected(ClientId),
    /// A client's complete message; delivered only if [`accepts_frame`](super::Reducer::accepts_frame) allows it.
    ClientFrame(ClientId, Frame),
    /// Consecutive messages of a client; delivered only while [`rejects_requests`](super::Reducer::rejects_requests) holds and the
    /// first of them is accepted.
    ClientFrames(ClientId, Vec<Frame>),
    /// A client's complete message that was not accepted in time; delivered only if
    /// [`may_reject_frame`](super::Reducer::may_reject_frame) allows it.
    ClientFrameOverdue(ClientId, Frame),
    /// The data that a client has sent and that has not been delivered yet has changed.
    ClientReadAhead(ClientId, ReadAhead),
    /// Clients wait for memory to send the rest of their messages; reported again while they do.
    ReadAheadExhausted,
    /// A client that was checked has not sent the rest of its message: what is unread neither completes it nor fills a read.
    ClientStalled(ClientId, StallReason),
    /// Everything that was to be written to a client has been written.
    ClientFlushed(ClientId),
    /// A client's connection has ended.
    ClientClosed(ClientId, CloseReason),
    /// A connection to a member is established.
    MemberConnected(ConnectionId),
    /// The last byte that was to be written to a member has been written.
    MemberFlushed(ConnectionId),
    /// A member's complete message.
    MemberFrame(ConnectionId, Frame),
    /// The data received from a member so far ends within a response or a message.
    MemberPartialFrame(ConnectionId),
    /// A connection to a member has ended, or could not be established.
    MemberClosed(ConnectionId, CloseReason),
    /// The watch delivered a list, or the complete list that was fetched has arrived.
    EndpointList(ListUpdate),
    /// The watch's connection is established and its request has been sent.
    WatchConnected,
    /// The watch delivered a line without a change.
    WatchKeepalive,
    /// The watch ended or could not be opened.
    WatchLost(WatchError),
    /// The endpoint list could not be fetched.
    FetchFailed,
    /// A gossip datagram and its sender.
    GossipDatagram(SocketAddr, Vec<u8>),
    /// A datagram from another instance of the operator's cluster.
    ClusterDatagram(Vec<u8>),
    /// A member's response has begun as a stream.
    StreamStarted(ConnectionId, StreamHeader),
    /// A member's stream is paused for its reader.
    StreamPaused(ConnectionId),
    /// A member's stream has ended; its connection is idle again after [`Outcome::Served`].
    StreamEnded(ConnectionId, Outcome),
    /// A request of another frontend, as a PostgreSQL query message, and whether its response may be a stream.
    Call(CallId, Frame, bool),
    /// The frontend no longer waits for that request.
    CallCancelled(CallId),
    /// The session store committed records or failed.
    StoreEvent(stackgw_store::CommitOutcome),
    /// A query at the control socket, with the number that identifies its reply.
    StatusQuery(u64, StatusQuery),
    /// The time returned by [`next_due`](super::Reducer::next_due) has passed.
    TimerDue,
    /// The reloaded configuration, or why it is invalid.
    Reload(Result<Box<Config>, ConfigError>),
    /// Finish the accepted requests and exit.
    Terminate,
    /// The listener is closed; every connection that waited in its backlog has been reported.
    ListenerClosed,
    /// Log the counters.
    Report,
}

/// A query at the control socket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatusQuery {
    /// The state of session coordination, and why this instance serves session reads as strong reads, if it does.
    Sessions,
    /// The state of one session of a group.
    Session(u32, String),
    /// The source and age of the endpoint list.
    EndpointList,
}
