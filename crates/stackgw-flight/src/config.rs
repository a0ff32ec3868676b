//! Configuration of the frontend and of the backend.

use crate::users::Users;
use stackgw_cluster::Keyring;
use stackgw_streams::StreamLimits;
use std::net::SocketAddr;

/// Configuration of Flight SQL at one gateway.
#[derive(Debug, Clone)]
pub struct ServerConfig {
    /// Address to listen on for clients.
    pub listen: SocketAddr,
    /// Keys that seal tickets, prepared statements and bearer tokens. All instances must have the
    /// same keys.
    pub key_ring: Keyring,
    /// How long a ticket, a prepared statement or a bearer token is valid, in milliseconds.
    pub ticket_lifetime_ms: u64,
    /// Default and maximum timeout of a request, in milliseconds. Does not limit the duration of a
    /// response stream.
    pub request_timeout_ms: u64,
    /// Maximum number of requests open at once.
    pub max_requests: usize,
    /// Maximum number of concurrent HTTP/2 streams per client connection.
    pub max_streams_per_connection: u32,
    /// Threads of the runtime that serves clients and members.
    pub worker_threads: usize,
    /// Limits of the relayed bulk streams.
    pub stream_limits: StreamLimits,
    /// Connections to members that speak Flight SQL.
    pub backend: BackendConfig,
    /// Groups whose members all speak Flight SQL. The schema of a response from such a group is not
    /// known before the response arrives.
    pub flight_groups: Vec<u32>,
    /// Time reserved for sending the response before the client's deadline, in milliseconds; at
    /// most half of the client's timeout is used.
    pub answer_slack_ms: u64,
    /// Users who may connect; `None` disables authentication.
    pub users: Option<Users>,
}

/// Configuration of the connections to members that speak Flight SQL.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendConfig {
    /// Timeout for establishing a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Maximum number of requests on one connection; 0 is treated as 1.
    pub requests_per_channel: usize,
    /// Maximum size of a message, in bytes.
    pub max_message_bytes: usize,
    /// Maximum size of a single value, in bytes.
    pub max_value_bytes: usize,
    /// How long to wait for the outcome of a write whose client has disconnected, in milliseconds.
    /// If the request's own timeout is longer, it is used instead.
    pub write_outcome_timeout_ms: u64,
}
