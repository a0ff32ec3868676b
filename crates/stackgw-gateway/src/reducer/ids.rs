//! Ids of connections and requests, shared by the I/O side and the reducer.

/// A client's connection, numbered by the I/O side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// A request of a frontend other than the PostgreSQL listener, numbered by the I/O side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A connection to a member, numbered by the reducer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The receiver of a request's final response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Requester {
    /// A PostgreSQL client, which gets its responses in the order of its pipeline.
    Client(ClientId),
    /// Another frontend.
    Call(CallId),
}
