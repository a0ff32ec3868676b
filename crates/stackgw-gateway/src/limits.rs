//! Every size, count and time of the gateway, computed once at start and handed down.
//!
//! What the platform grants (memory, descriptors) is shared among the gateway's parts here and nowhere else. Times are in
//! nanoseconds ([`Span`]).

use stackgw_router::api::{Span, MS, SECOND};
use stackgw_settings::PlatformSettings;

/// What the platform grants one gateway.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Platform {
    /// Memory in MiB; over it the gateway is killed.
    pub memory_mb: usize,
    /// File descriptors that the process may hold.
    pub sockets: usize,
}

/// Every size, count and time of the gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Client connections served at once.
    pub clients: usize,
    /// More of them, accepted only to be rejected: left in the backlog, what they have sent would be lost.
    pub client_reserve: usize,
    /// Connections to members open at once, idle ones included.
    pub member_connections: usize,
    /// With more client connections than this, one that has been idle for `soft_limit_idle` is closed.
    pub client_soft_limit: usize,
    /// See `client_soft_limit`.
    pub soft_limit_idle: Span,
    /// At the limit of clients, one that has been idle for this long may be closed for another.
    pub eviction_idle: Span,
    /// One that has not sent a request yet is closed before all others, but its first one may be on its way: it is spared for
    /// this long.
    pub eviction_grace: Span,
    /// Requests in flight or queued at once.
    pub requests: usize,
    /// Members that are remembered from lists.
    pub members: usize,
    /// A client's startup packet.
    pub startup_bytes: usize,
    /// A client's message: a value of 64 KiB in hexadecimal, and the text around it.
    pub statement_bytes: usize,
    /// What is read ahead of one client's messages that are taken. Danger: the end of a connection stands behind all that was
    /// sent before it, and what is not read here keeps it from being seen.
    pub read_ahead_bytes: usize,
    /// One message of a member's answer, and a complete answer. Members may hold larger values than clients write here.
    pub answer_bytes: usize,
    /// The head of an HTTP answer.
    pub head_bytes: usize,
    /// One endpoint list as JSON.
    pub list_bytes: usize,
    /// A datagram between gateways.
    pub datagram_bytes: usize,
    /// One read from a socket.
    pub read_bytes: usize,
    /// Statements of all clients, and again what they have sent beyond these; past it reads pause.
    pub client_bytes: usize,
    /// Partial answers of all members; past it reads pause.
    pub member_bytes: usize,
    /// What all clients have left unread; past it the one that has not read for longest is disconnected.
    pub pending_write_bytes: usize,
    /// No new request goes to a member later than this after a notice that it is draining or removed ...
    pub drain_grace: Span,
    /// ... or, where this is set, that it is draining.
    pub removal_is_advisory: bool,
    /// A connection to a member that is not up by then has failed.
    pub connect_timeout: Span,
    /// One whose handshake a member has begun may come up by then after that, for the next request.
    pub late_connect_timeout: Span,
    /// A health check without an answer by then has failed.
    pub health_check_timeout: Span,
    /// An answer that has begun and then brings nothing for this long is malformed.
    pub answer_stall_timeout: Span,
    /// A member's clock may be ahead of this one's by so much; a position later than that is not believed.
    pub max_clock_skew: Span,
    /// Idle connections to members are closed after this, ahead of the members' own limit.
    pub member_idle_timeout: Span,
    /// Interval of the look at idle connections.
    pub sweep_interval: Span,
    /// A client without a request by then, counted from its connecting, is disconnected.
    pub first_request_timeout: Span,
    /// A message that has begun must be complete by then.
    pub partial_message_timeout: Span,
    /// A client that has not read an answer by then is disconnected.
    pub client_write_timeout: Span,
    /// A client that has been sent why its connection ends may go on sending for this long ...
    pub linger_timeout: Span,
    /// ... and so much; it is read and dropped, as a close over unread bytes would be a reset that takes the error along.
    pub linger_bytes: usize,
    /// Malformed statements in a row, at most, before the connection ends.
    pub max_consecutive_malformed: u32,
    /// Statements of one client served at once, where it writes several before it reads. Danger: the time of those behind them
    /// counts only from when they are taken, and their answers would come too late.
    pub max_pipelined_statements: usize,
    /// Messages of one client handed over before all others have had their turn.
    pub messages_per_turn: usize,
    /// Interval of the look at clients that may have left while their bytes wait: a third of the tenth of a second after which
    /// nothing may begin for them.
    pub disconnect_poll_interval: Span,
    /// So many of them are looked at before other tasks have had their turn.
    pub disconnect_poll_batch: usize,
    /// New connections accepted before other tasks have had their turn.
    pub accept_batch: usize,
    /// Connections that the kernel queues before they are accepted.
    pub backlog: i32,
    /// No request waits longer for its answer, whatever its `d` says.
    pub max_request_wait: Span,
    /// A watch whose connection is not up by then is opened again.
    pub watch_connect_timeout: Span,
    /// One that is up has brought its first complete line by then.
    pub watch_first_line_timeout: Span,
    /// One without a complete line for this long after that is opened again: two of its blank lines.
    ///
    /// Danger: a change counts as notified 6 s after the list service had it and could be reached, whatever the watch was doing
    /// then. Each of these three, the longest backoff and one more connect stay within that together.
    pub watch_idle_timeout: Span,
    /// Shortest backoff before the list service is asked again.
    pub watch_min_backoff: Span,
    /// Longest such backoff.
    pub watch_max_backoff: Span,
    /// Pause after an error of the listener or of a datagram socket.
    pub error_backoff: Span,
    /// After SIGTERM new connections are accepted for this long.
    pub shutdown_accept: Span,
    /// After SIGTERM clients keep the connections that they have for this long, and are served.
    pub shutdown_serve: Span,
    /// Interval at which clients are then looked at, and closed between requests.
    pub shutdown_sweep_interval: Span,
    /// After SIGTERM every open request is answered at once from then on, and so is each that follows.
    pub shutdown_reject: Span,
    /// After SIGTERM the gateway ends by then, whatever is left: ahead of a SIGKILL.
    pub shutdown_deadline: Span,
}

/// With fewer descriptors a gateway is of no use.
pub const MIN_DESCRIPTORS: usize = 2 * OWN_DESCRIPTORS;
/// Descriptors for the gateway itself: standard streams, listener, reactor, signals, datagrams, discovery.
const OWN_DESCRIPTORS: usize = 32;
/// The part of `client_bytes` that is reserved, in equal shares for all clients.
const RESERVED_PART: usize = 4;
/// Share of the others that connections to members may take; clients have the rest.
const MEMBER_SHARE: f64 = 0.4;
/// Share that clients beyond `clients` may take, each for as long as its rejection needs.
const RESERVE_SHARE: f64 = 0.06;
/// Values that clients write reach this.
const VALUE_BYTES: usize = 64 << 10;
/// Text around a value: the statement's SQL, key and comment, or an answer's other messages.
const TEXT_BYTES: usize = 8 << 10;
/// A client's largest statement, its value in hexadecimal.
const STATEMENT_BYTES: usize = 2 * VALUE_BYTES + TEXT_BYTES;
/// An answer may take this part of the memory. Danger: one that is rejected for its size alone is asked for again and
/// again, and costs its member as much each time.
const ANSWER_PART: usize = 64;
/// A connect may take so many times its timeout once the member has begun the handshake: as long again as a queue of a few
/// such timeouts takes.
const LATE_CONNECT_FACTOR: Span = 4;
/// Members close idle connections after this where the settings do not say.
const DEFAULT_MEMBER_IDLE: Span = 30 * SECOND;
/// Requests are served for no longer than this after SIGTERM, whatever their deadlines.
const MAX_SHUTDOWN_SERVE: Span = 3 * SECOND;

/// What neither the platform nor the settings decide; what they do decide is 0 here.
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
    member_bytes: 0,
    pending_write_bytes: 0,
    drain_grace: 0,
    removal_is_advisory: false,
    connect_timeout: 0,
    late_connect_timeout: 0,
    health_check_timeout: 0,
    answer_stall_timeout: 150 * MS,
    max_clock_skew: 20 * MS,
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
    disconnect_poll_batch: 512,
    accept_batch: 8,
    backlog: 4096,
    max_request_wait: 0,
    watch_connect_timeout: SECOND,
    watch_first_line_timeout: 3 * SECOND,
    watch_idle_timeout: 4 * SECOND,
    watch_min_backoff: 100 * MS,
    watch_max_backoff: SECOND,
    error_backoff: 5 * MS,
    shutdown_accept: 500 * MS,
    shutdown_serve: 0,
    shutdown_sweep_interval: 100 * MS,
    shutdown_reject: 0,
    shutdown_deadline: 0,
};

impl Limits {
    /// Bytes of each client that find room whatever all others hold, among statements and again in what is sent ahead.
    pub fn reserved_client_bytes(&self) -> usize {
        let connections = (self.clients + self.client_reserve).max(1);
        (self.client_bytes / RESERVED_PART / connections).max(1)
    }

    /// What all clients share beyond that.
    pub fn shared_client_bytes(&self) -> usize {
        self.client_bytes - self.client_bytes / RESERVED_PART
    }

    /// A client that has sent no more ahead is not closed for what all have sent: one statement.
    pub fn tolerated_read_ahead_bytes(&self) -> usize {
        self.statement_bytes.min(self.client_bytes / 16)
    }

    /// The limits that this platform and these settings allow.
    pub fn new(platform: Platform, settings: &PlatformSettings) -> Self {
        FIXED
            .with_descriptors(platform.sockets)
            .with_memory(platform.memory_mb << 20)
            .with_settings(settings)
            .with_longest_deadline(longest_deadline(settings))
    }

    /// Shares the descriptors among clients and members.
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

    /// Shares the memory among buffers.
    fn with_memory(self, bytes: usize) -> Self {
        Limits {
            answer_bytes: VALUE_BYTES.max(bytes / ANSWER_PART) + TEXT_BYTES,
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
        Limits {
            max_request_wait: longest.max(30 * SECOND),
            shutdown_serve: serve + 200 * MS,
            shutdown_reject: serve + 420 * MS,
            shutdown_deadline: serve + 580 * MS,
            ..self
        }
    }
}

/// The longest deadline of any class.
fn longest_deadline(settings: &PlatformSettings) -> Span {
    let deadlines = settings.router.classes.iter().map(|class| class.deadline);
    deadlines.max().unwrap_or(SECOND)
}
