//! Configuration of the frontend and of the backend.

use crate::users::Users;
use stackgw_cluster::Keyring;
use stackgw_streams::StreamLimits;
use std::net::SocketAddr;

/// Configuration of Flight SQL at one gateway.
#[derive(Debug, Clone)]
pub struct ServerConfig {
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Keys that seal tickets and prepared statements: the same on all instances.
    pub key_ring: Keyring,
    /// How long a ticket, a prepared statement or a bearer token is valid, in milliseconds.
    pub ticket_lifetime_ms: u64,
    /// Timeout of a request whose client names none, and the longest one, in milliseconds.
    pub request_timeout_ms: u64,
    /// Requests that may be open at once.
    pub max_requests: usize,
    /// HTTP/2 streams of one client connection.
    pub max_streams_per_connection: u32,
    /// Threads of the runtime that serves clients and members.
    pub worker_threads: usize,
    /// Limits of the bulk streams that pass through.
    pub stream_limits: StreamLimits,
    /// How members that speak Flight SQL are reached.
    pub backend: BackendConfig,
    /// Groups all of whose members speak Flight SQL: their answers bring their own schema.
    pub flight_groups: Vec<u32>,
    /// An answer is sent this long before its client's deadline, in milliseconds.
    pub answer_slack_ms: u64,
    /// Who may connect; anybody where there is none.
    pub users: Option<Users>,
}

/// Configuration of the connections to members that speak Flight SQL.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendConfig {
    /// A connection that is not established by then has failed, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Requests on one connection.
    pub requests_per_channel: usize,
    /// Largest message, in bytes.
    pub max_message_bytes: usize,
    /// Largest single value, in bytes.
    pub max_value_bytes: usize,
    /// How long the outcome of a write is awaited whose client has disconnected, in milliseconds.
    pub write_outcome_timeout_ms: u64,
}
