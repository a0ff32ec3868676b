//! Effects that the I/O side carries out for the reducer.

use super::backend::BackendRequest;
use super::ids::{CallId, ClientId, ConnectionId};
use super::input::StallReason;
use super::response::FinalResponse;
use crate::counters::Counters;
use std::net::SocketAddr;

/// An action for the I/O side. Effects are carried out in the order in which they were emitted.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Accept new clients, or leave them in the backlog.
    AcceptClients(bool),
    /// Write to a client.
    ClientWrite {
        /// The recipient.
        client: ClientId,
        /// The bytes to write.
        bytes: Vec<u8>,
        /// Close the connection once the bytes are written.
        close: bool,
    },
    /// Close a client's connection at once.
    ClientClose(ClientId),
    /// Close a client's connection unless it has sent something that is not delivered yet; that is then reported instead.
    ClientCloseIfIdle(ClientId),
    /// Report [`ClientStalled`](super::Input::ClientStalled) if a client has not sent the rest of its message.
    ClientCheckStalled(ClientId, StallReason),
    /// Drop what a client has sent and not been delivered, and read nothing more from it.
    ClientDropInput(ClientId),
    /// Connect to a member.
    MemberConnect(ConnectionId, SocketAddr),
    /// Connect to a member that speaks another frontend's protocol.
    BackendConnect(ConnectionId, SocketAddr),
    /// Send a request to a member that speaks another frontend's protocol.
    BackendSend(ConnectionId, BackendRequest),
    /// Write to a member.
    MemberWrite(ConnectionId, Vec<u8>),
    /// Close a connection to a member.
    MemberClose(ConnectionId),
    /// Open a watch at this address for changes after this revision, replacing any other watch.
    OpenWatch(SocketAddr, Option<u64>),
    /// Close the watch.
    CloseWatch,
    /// Fetch the complete endpoint list at this address, replacing any other fetch.
    FetchEndpoints(SocketAddr),
    /// Send a gossip datagram.
    GossipDatagram(SocketAddr, Vec<u8>),
    /// Send a datagram to another instance of the operator's cluster.
    ClusterDatagram(SocketAddr, Vec<u8>),
    /// The final response to another frontend's request.
    CallCompleted(CallId, FinalResponse),
    /// Another frontend's request is answered by the stream on this connection, until
    /// [`CallCancelled`](super::Input::CallCancelled).
    CallStreaming(CallId, ConnectionId),
    /// Commit a record to the session store.
    StoreRecord(stackgw_sessions::Record),
    /// Write the endpoint list to the disk.
    StoreEndpoints(Box<stackgw_bootstrap::CachedEndpoints>),
    /// The reply to a query at the control socket.
    StatusReply(u64, serde_json::Value),
    /// Accept the connections in the backlog, then close the listener.
    StopListening,
    /// A line for the log.
    Log(String),
    /// Log the counters.
    Report(Box<Counters>),
    /// Exit the program.
    Exit,
}
