//! The section `flight`: Arrow Flight SQL for clients.

use crate::duration::Duration;
use crate::validation::between;
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Arrow Flight SQL for clients.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Flight {
    /// Address at which clients connect, over plain gRPC.
    pub listen: SocketAddr,
    /// Files with one secret of at least 16 bytes each. The secrets sign tickets and prepared
    /// statements, so that any instance with the same secrets serves them. The first secret signs,
    /// all of them verify.
    #[garde(length(min = 1, max = 8))]
    pub keys: Vec<PathBuf>,
    /// How long a ticket or a prepared statement is valid.
    #[serde(default = "default_ticket")]
    #[garde(custom(between("1s", "24h")))]
    pub ticket: Duration,
    /// Maximum timeout of a request, and the timeout if the client gives none.
    #[serde(default = "default_wait")]
    #[garde(custom(between("10ms", "30s")))]
    pub wait: Duration,
    /// Maximum number of concurrent requests.
    #[serde(default = "default_requests")]
    #[garde(range(min = 1, max = 100_000))]
    pub requests: usize,
    /// Maximum number of concurrent streams on one client connection.
    #[serde(default = "default_streams")]
    #[garde(range(min = 1, max = 10_000))]
    pub streams: u32,
    /// Threads that serve clients and members that speak Flight SQL.
    #[serde(default = "default_threads")]
    #[garde(range(min = 1, max = 64))]
    pub threads: usize,
    /// Groups whose members speak Flight SQL at the addresses that discovery gives.
    #[serde(default)]
    #[garde(length(max = 4_096))]
    pub groups: Vec<u32>,
    /// Members that speak Flight SQL, by the names that discovery gives.
    #[serde(default)]
    #[garde(length(max = 4_096), inner(length(min = 1, max = 256)))]
    pub members: Vec<String>,
    /// Limits for bulk results.
    #[serde(default)]
    #[garde(dive)]
    pub bulk: Bulk,
    /// How clients authenticate. Absent: clients need not authenticate.
    #[serde(default)]
    pub auth: Option<Auth>,
}

/// How clients of Flight SQL authenticate. The file has one `name:secret` per line, with secrets of
/// at least 8 bytes.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Auth {
    /// By name and secret with each call, or once with a handshake that returns a token, which is
    /// valid as long as a ticket.
    Basic(PathBuf),
    /// By one of the file's secrets, used as a token.
    Bearer(PathBuf),
}

/// Limits for bulk results: streams from members to clients that both speak Flight SQL.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Bulk {
    /// Maximum number of concurrent streams; further ones are rejected with UNAVAILABLE.
    #[garde(range(min = 1, max = 10_000))]
    pub streams: usize,
    /// Maximum number of streams and requests on one connection to a member before another
    /// connection is opened.
    #[garde(range(min = 1, max = 1_000))]
    pub per_channel: usize,
    /// Buffer size of one stream in KiB. While the buffer is full, nothing is read from the member.
    #[garde(range(min = 64, max = 65_536))]
    pub each_kib: usize,
    /// Buffer size of all streams together in KiB. While it is exceeded, more of a stream is read
    /// only after its client has received everything that was read before.
    #[garde(range(min = 256, max = 4_194_304))]
    pub all_kib: usize,
    /// Maximum size of one message in KiB; a larger one ends its stream.
    #[garde(range(min = 64, max = 262_144))]
    pub message_kib: usize,
    /// A stream ends if its client reads nothing for this long.
    #[garde(custom(between("100ms", "10min")))]
    pub stall: Duration,
    /// A stream ends if its member sends nothing for this long while the stream is being read.
    #[garde(custom(between("50ms", "10min")))]
    pub silence: Duration,
}

impl Default for Bulk {
    fn default() -> Self {
        Bulk {
            streams: 200,
            per_channel: 64,
            each_kib: 1_024,
            all_kib: 32_768,
            message_kib: 4_096,
            stall: Duration::from_secs(10),
            silence: Duration::from_secs(3),
        }
    }
}

fn default_ticket() -> Duration {
    Duration::from_secs(600)
}

fn default_wait() -> Duration {
    Duration::from_secs(3)
}

fn default_requests() -> usize {
    1_000
}

fn default_streams() -> u32 {
    100
}

fn default_threads() -> usize {
    2
}
