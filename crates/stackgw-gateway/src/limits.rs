//! The limits of the gateway (sizes, counts and times), computed once at start and passed down.
//!
//! Only this module divides the platform's resources (memory, descriptors) among the gateway's parts. Times are in nanoseconds
//! ([`Span`]).

use stackgw_router::api::{Span, MS, SECOND};
use stackgw_settings::PlatformSettings;

/// The resources that the platform grants one gateway.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Platform {
    /// Memory in MiB; a gateway that uses more is killed.
    pub memory_mb: usize,
    /// File descriptors that the process may hold.
    pub sockets: usize,
}

/// The limits of the gateway: sizes, counts and times.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Client connections served at once.
    pub clients: usize,
    /// Client connections above `clients` that are accepted only to be rejected: if they stayed in the backlog, the bytes that
    /// they have sent would be lost.
    pub client_reserve: usize,
    /// Connections to members open at once, idle ones included.
    pub member_connections: usize,
    /// Above this number of client connections, one that has been idle for `soft_limit_idle` is closed.
    pub client_soft_limit: usize,
    /// Idle time after which a client connection is closed above `client_soft_limit`.
    pub soft_limit_idle: Span,
    /// At the limit of clients, a connection that has been idle, or has stopped in the middle of a message, for this long may be
    /// closed to make room for a new one.
    pub eviction_idle: Span,
    /// A connection without a request so far is evicted before all others, but not within this time of its start: its first
    /// request may be in transit. Nor is one that ends within this time of its last error.
    pub eviction_grace: Span,
    /// Requests in flight or queued at once.
    pub requests: usize,
    /// Members from endpoint lists that are kept in memory.
    pub members: usize,
    /// Size of a client's startup packet.
    pub startup_bytes: usize,
    /// Size of a client's message: a value of 64 KiB in hexadecimal, and the text around it.
    pub statement_bytes: usize,
    /// Bytes that are read from one client ahead of the messages accepted from it. The end of a connection is seen only after
    /// all bytes sent before it are read; a limit that is too low hides that the client has disconnected.
    pub read_ahead_bytes: usize,
    /// Size of one message of a member's response, and of a complete response. Members may hold larger values than clients can
    /// write through the gateway.
    pub answer_bytes: usize,
    /// Size of the head of an HTTP response.
    pub head_bytes: usize,
    /// Size of one endpoint list as JSON.
    pub list_bytes: usize,
    /// Size of a datagram between gateways.
    pub datagram_bytes: usize,
    /// Size of one read from a socket.
    pub read_bytes: usize,
    /// Size of the accepted statements of all clients, and separately of the bytes that they have sent beyond these; above it
    /// reads pause.
    pub client_bytes: usize,
    /// A statement that waits for capacity is rejected after this long if its client has sent nothing after it.
    pub max_capacity_wait: Span,
    /// Size of the partial responses of all members; above it reads pause.
    pub member_bytes: usize,
    /// Bytes of responses that clients have not read, or that wait for earlier responses of the same client. Above it, responses
    /// that wait are replaced by rejections, and the client with the most unread bytes is disconnected.
    pub pending_write_bytes: usize,
    /// Above `pending_write_bytes`, a client that has not read for this long is disconnected before any response is replaced.
    pub unread_grace: Span,
    /// Time after a notice that a member is draining or removed until no new request may be sent to it.
    pub drain_grace: Span,
    /// `drain_grace` applies only to notices that a member is draining, not to those that it is removed.
    pub removal_is_advisory: bool,
    /// Timeout of a connect to a member.
    pub connect_timeout: Span,
    /// Further time for a connect that timed out after the member had begun the handshake; the connection then serves the next
    /// request.
    pub late_connect_timeout: Span,
    /// Timeout of a health check.
    pub health_check_timeout: Span,
    /// A response that has begun and then stalls for this long is malformed.
    pub answer_stall_timeout: Span,
    /// How far a member's clock may be ahead of the gateway's; a position later than that is discarded.
    pub max_clock_skew: Span,
    /// The host keeps this process's clock and the members' within `max_clock_skew`. Otherwise bounded reads go to replicas only
    /// once a primary's position has shown the members' time.
    pub clock_is_synchronized: bool,
    /// Idle connections to members are closed after this time, before the members' own limit closes them.
    pub member_idle_timeout: Span,
    /// Interval at which idle and stalled connections are checked.
    pub sweep_interval: Span,
    /// A client that sends no request within this time after it connects is disconnected.
    pub first_request_timeout: Span,
    /// Time in which a message that has begun must be complete.
    pub partial_message_timeout: Span,
    /// A client that does not read a response within this time is disconnected.
    pub client_write_timeout: Span,
    /// How long input of a client is still read and dropped after the error that ends its connection has been sent.
    ///
    /// Closing a socket that holds unread bytes sends a reset, which can discard the error before the client reads it.
    pub linger_timeout: Span,
    /// Maximum number of bytes of input that are read and dropped during `linger_timeout`.
    pub linger_bytes: usize,
    /// Malformed statements in a row after which the connection is closed.
    pub max_consecutive_malformed: u32,
    /// Statements of one client that are served at once if it writes several before it reads the responses. The deadline of any
    /// further statement is counted only from when it is accepted, so with a lower limit its response would come too late.
    pub max_pipelined_statements: usize,
    /// Messages of one client that are passed to the reducer before other tasks run.
    pub messages_per_turn: usize,
    /// Interval at which clients whose bytes wait are checked for a disconnect. No work may begin for a client later than
    /// 100 ms after it disconnects; the interval is a third of that.
    pub disconnect_poll_interval: Span,
    /// Interval at which clients that stall within a message are ended while others wait for memory for theirs.
    pub exhausted_report_interval: Span,
    /// Clients that are checked for a disconnect before other tasks run.
    pub disconnect_poll_batch: usize,
    /// New connections that are accepted before other tasks run.
    pub accept_batch: usize,
    /// Connections that the kernel queues until they are accepted.
    pub backlog: i32,
    /// Longest time that a request waits for its response, even if its `d` is larger.
    pub max_request_wait: Span,
    /// A watch that is not connected within this time is reopened.
    pub watch_connect_timeout: Span,
    /// A connected watch must deliver its first complete line within this time.
    pub watch_first_line_timeout: Span,
    /// A watch that delivers no complete line for this long after its first one is reopened: twice the interval of its blank
    /// lines.
    ///
    /// A gateway must act on a change by 6 s after the list service has it and is reachable, in any state of its watch. Each of
    /// the three timeouts of a watch must fit into these 6 s, together with the longest backoff and one more connect.
    pub watch_idle_timeout: Span,
    /// Shortest backoff before another request to the list service.
    pub watch_min_backoff: Span,
    /// Longest backoff before another request to the list service.
    pub watch_max_backoff: Span,
    /// If nothing was handled for longer than this although a timer was due, the process was paused.
    pub stall_threshold: Span,
    /// After a pause nothing is sent to members for this long, so that what arrived meanwhile is read before.
    pub stall_hold: Span,
    /// A notice that is read within this time after a pause may have arrived at its beginning.
    pub stall_catch_up: Span,
    /// Pause after an error of the listener or of a datagram socket.
    pub error_backoff: Span,
    /// After SIGTERM new connections are accepted for this long.
    pub shutdown_accept: Span,
    /// After SIGTERM clients keep their open connections, and are served, for this long. Then they are closed between requests.
    pub shutdown_serve: Span,
    /// Interval at which client connections are checked after `shutdown_serve`, and closed if they are between requests.
    pub shutdown_sweep_interval: Span,
    /// Time after SIGTERM from which every open request, and each new one, is rejected at once.
    pub shutdown_reject: Span,
    /// Time after SIGTERM at which the gateway exits even if requests are left: before the platform sends SIGKILL.
    pub shutdown_deadline: Span,
}

/// A gateway cannot serve with fewer descriptors.
pub const MIN_DESCRIPTORS: usize = 2 * OWN_DESCRIPTORS;
/// Descriptors for the gateway itself: standard streams, listener, reactor, signals, datagrams, discovery.
const OWN_DESCRIPTORS: usize = 32;
/// One in this many of `client_bytes` is reserved, in equal shares for all clients.
const RESERVED_DIVISOR: usize = 4;
/// A statement that waits for capacity is rejected after its `d` divided by this.
const CAPACITY_WAIT_DIVISOR: Span = 4;
/// Share of the descriptors beyond `OWN_DESCRIPTORS` for connections to members; clients get the rest.
const MEMBER_SHARE: f64 = 0.4;
/// Share of the descriptors beyond `OWN_DESCRIPTORS` for `client_reserve`, each held only until its client is rejected.
const RESERVE_SHARE: f64 = 0.06;
/// Largest value that clients write.
const VALUE_BYTES: usize = 64 << 10;
/// Text around a value: the statement's SQL, key and comment, or a response's other messages.
const TEXT_BYTES: usize = 8 << 10;
/// A client's largest statement, with its value in hexadecimal.
const STATEMENT_BYTES: usize = 2 * VALUE_BYTES + TEXT_BYTES;
/// A response may take one in this many bytes of the memory. The limit is generous, as a response that is rejected for its size
/// is requested again, at the same cost for its member each time.
const RESPONSE_DIVISOR: usize = 64;
/// Once the member has begun the handshake, a connect that timed out may take this many further timeouts: a queue of handshakes
/// at the member can be a few timeouts long.
const LATE_CONNECT_FACTOR: Span = 4;
/// Idle time after which members close connections, if the settings do not name it.
const DEFAULT_MEMBER_IDLE: Span = 30 * SECOND;
/// Longest time for which requests are served after SIGTERM, even if their deadlines are later.
const MAX_SHUTDOWN_SERVE: Span = 3 * SECOND;
/// From the longest deadline after SIGTERM, open requests have this long to finish. What remains until the exit is for the answers
/// to all statements that wait, and for a pause of the process of 150 ms.
const SHUTDOWN_FINISH: Span = 200 * MS;
/// The exit is this long after the longest deadline: SIGKILL comes 700 ms after it at the earliest.
const SHUTDOWN_EXIT: Span = 580 * MS;
/// Where deadlines are shorter than `shutdown_accept`, clients are served for at most this long after the longest one.
const SHORT_DEADLINE_SERVE: Span = 200 * MS;
/// In that case, the remaining requests are rejected this long after the listener is closed, and not later after the longest
/// deadline than `LATEST_REJECT`.
const ACCEPT_TO_REJECT: Span = 20 * MS;
const LATEST_REJECT: Span = 420 * MS;

/// The limits that depend neither on the platform nor on the settings; all others are 0 here.
const FIXED: Limits = Limits {
    clients: 0,
    client_reserve: 0,
    member_connections: 0,
    client_soft_limit: 0,
    soft_limit_idle: 250 * MS,
    eviction_idle: 100 * MS,
    eviction_grace: 50 * MS,
    requests: 0,
    members: 16 << 10,
    startup_bytes: 10_000,
    statement_bytes: STATEMENT_BYTES,
    read_ahead_bytes: 4 * STATEMENT_BYTES,
    answer_bytes: 0,
    head_bytes: 16 << 10,
    list_bytes: 8 << 20,
    datagram_bytes: stackgw_settings::MAX_GOSSIP_BYTES,
    read_bytes: 16 << 10,
    client_bytes: 0,
    max_capacity_wait: 250 * MS,
    member_bytes: 0,
    pending_write_bytes: 0,
    unread_grace: 500 * MS,
    drain_grace: 0,
    removal_is_advisory: false,
    connect_timeout: 0,
    late_connect_timeout: 0,
    health_check_timeout: 0,
    answer_stall_timeout: 150 * MS,
    max_clock_skew: 20 * MS,
    clock_is_synchronized: false,
    member_idle_timeout: 0,
    sweep_interval: SECOND / 2,
    first_request_timeout: SECOND + SECOND / 2,
    partial_message_timeout: 2 * SECOND,
    client_write_timeout: 5 * SECOND,
    linger_timeout: SECOND,
    linger_bytes: 1 << 20,
    max_consecutive_malformed: 10,
    max_pipelined_statements: 64,
    messages_per_turn: 4,
    disconnect_poll_interval: 30 * MS,
    exhausted_report_interval: 25 * MS,
    disconnect_poll_batch: 512,
    accept_batch: 8,
    backlog: 4096,
    max_request_wait: 0,
    watch_connect_timeout: SECOND,
    watch_first_line_timeout: 3 * SECOND,
    watch_idle_timeout: 4 * SECOND,
    watch_min_backoff: 100 * MS,
    watch_max_backoff: SECOND,
    stall_threshold: 150 * MS,
    stall_hold: 5 * MS,
    stall_catch_up: 100 * MS,
    error_backoff: 5 * MS,
    shutdown_accept: 500 * MS,
    shutdown_serve: 0,
    shutdown_sweep_interval: 100 * MS,
    shutdown_reject: 0,
    shutdown_deadline: 0,
};

impl Limits {
    /// Returns the bytes reserved for each client however much the others hold: once for accepted statements, and once more for
    /// bytes sent ahead of them.
    pub fn reserved_client_bytes(&self) -> usize {
        let connections = (self.clients + self.client_reserve).max(1);
        (self.client_bytes / RESERVED_DIVISOR / connections).max(1)
    }

    /// Returns the bytes that all clients share in addition to their reserved ones.
    pub fn shared_client_bytes(&self) -> usize {
        self.client_bytes - self.client_bytes / RESERVED_DIVISOR
    }

    /// Returns how long a statement waits for capacity until it is rejected: a part of its own time, so that its rejection is
    /// early, and no longer than `max_capacity_wait` unless its client has sent more behind it.
    pub fn capacity_wait(&self, wait: Span, has_more: bool) -> Span {
        let wait = wait.min(self.max_request_wait) / CAPACITY_WAIT_DIVISOR;
        if has_more {
            wait
        } else {
            wait.min(self.max_capacity_wait)
        }
    }

    /// Returns how many bytes of responses may be unread or wait for earlier responses when a further one has to wait. The rest
    /// of `pending_write_bytes` is for responses that are written at once.
    pub fn held_reply_bytes(&self) -> usize {
        self.pending_write_bytes / 8 * 7
    }

    /// Returns how many bytes a client may send ahead without being closed while the bytes sent ahead by all clients exceed
    /// their limit: the largest statement, but at most 1/16 of `client_bytes`.
    pub fn tolerated_read_ahead_bytes(&self) -> usize {
        self.statement_bytes.min(self.client_bytes / 16)
    }

    /// Computes the limits from the platform's resources and the settings.
    pub fn new(platform: Platform, settings: &PlatformSettings) -> Self {
        FIXED
            .with_descriptors(platform.sockets)
            .with_memory(platform.memory_mb << 20)
            .with_settings(settings)
            .with_longest_deadline(longest_deadline(settings))
    }

    /// Divides the descriptors among clients and members.
    fn with_descriptors(self, descriptors: usize) -> Self {
        let usable = descriptors
            .saturating_sub(OWN_DESCRIPTORS)
            .max(OWN_DESCRIPTORS);
        let member_connections = (usable as f64 * MEMBER_SHARE) as usize;
        let client_reserve = (usable as f64 * RESERVE_SHARE).ceil() as usize;
        let clients = usable - member_connections - client_reserve;
        Limits {
            clients,
            client_reserve,
            member_connections,
            client_soft_limit: clients / 2,
            ..self
        }
    }

    /// Divides the memory among buffers.
    fn with_memory(self, bytes: usize) -> Self {
        Limits {
            answer_bytes: VALUE_BYTES.max(bytes / RESPONSE_DIVISOR) + TEXT_BYTES,
            client_bytes: bytes / 6,
            member_bytes: bytes / 6,
            pending_write_bytes: bytes / 5,
            ..self
        }
    }

    fn with_settings(self, settings: &PlatformSettings) -> Self {
        let router = &settings.router;
        let member_idle = match settings.member_idle_timeout {
            idle if idle > 0 => idle,
            _ => DEFAULT_MEMBER_IDLE,
        };
        Limits {
            requests: settings.max_open_requests,
            drain_grace: router.obligations.drain_grace,
            removal_is_advisory: router.obligations.removal_is_advisory,
            connect_timeout: router.limits.connect_timeout,
            late_connect_timeout: router.limits.connect_timeout * LATE_CONNECT_FACTOR,
            health_check_timeout: router.limits.connect_timeout,
            member_idle_timeout: member_idle / 5 * 4,
            ..self
        }
    }

    fn with_longest_deadline(self, longest: Span) -> Self {
        let serve = longest.min(MAX_SHUTDOWN_SERVE);
        // With short deadlines, clients that come while the listener is open are served too, as far as the end allows that.
        let accept = self.shutdown_accept;
        let reject = accept + ACCEPT_TO_REJECT;
        Limits {
            max_request_wait: longest.max(30 * SECOND),
            shutdown_serve: serve.max(accept.min(serve + SHORT_DEADLINE_SERVE)),
            shutdown_reject: (serve + SHUTDOWN_FINISH).max(reject.min(serve + LATEST_REJECT)),
            shutdown_deadline: serve + SHUTDOWN_EXIT,
            ..self
        }
    }
}

/// Returns the longest deadline of any class; 1 s without classes.
fn longest_deadline(settings: &PlatformSettings) -> Span {
    let deadlines = settings.router.classes.iter().map(|class| class.deadline);
    deadlines.max().unwrap_or(SECOND)
}
