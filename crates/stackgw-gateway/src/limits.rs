//! Every size, count and time of the gateway, filled once at start and handed down.

use stackgw_router::api::{Span, MS, SECOND};
use stackgw_settings::PlatformSettings;

/// What the platform gives one gateway.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Platform {
    /// Memory in MB; over it the gateway is killed.
    pub memory_mb: usize,
    /// File descriptors that the process may hold.
    pub sockets: usize,
}

/// Every size, count and time of the gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Client connections served together.
    pub clients: usize,
    /// More of them, taken only to be turned away: left in line, what they have sent would be lost.
    pub client_reserve: usize,
    /// Connections to members held together, idle ones included.
    pub member_connections: usize,
    /// With more of them than this open, one that has been idle for `soft_limit_idle` is closed.
    pub client_soft_limit: usize,
    /// See `client_soft_limit`.
    pub soft_limit_idle: Span,
    /// Where all places are taken, a client idle for this long may be closed for another.
    pub eviction_idle: Span,
    /// One that has not asked anything yet goes before all others, but what it came with may be on its way: it is spared
    /// for this long.
    pub eviction_grace: Span,
    /// Requests held open together.
    pub requests: usize,
    /// Members that lists may name together.
    pub members: usize,
    /// A client's startup packet.
    pub startup_bytes: usize,
    /// A client's message: a value of 64 KiB in hexadecimal, and the text around it.
    pub statement_bytes: usize,
    /// What one client may have read ahead of what is taken. Danger: the end of a connection stands behind all that was sent
    /// before it, and what is not read here keeps it back on the way.
    pub read_ahead_bytes: usize,
    /// One message of a member's answer, and a whole answer. Members may hold larger values than clients write here.
    pub answer_bytes: usize,
    /// The head of an HTTP answer.
    pub head_bytes: usize,
    /// One list of members as JSON.
    pub list_bytes: usize,
    /// A datagram between gateways.
    pub datagram_bytes: usize,
    /// Taken from a socket in one read.
    pub read_bytes: usize,
    /// Statements of all clients together, and again what they have sent of others; past it reads pause.
    pub client_bytes: usize,
    /// Partial answers of all members together; past it reads pause.
    pub member_bytes: usize,
    /// What all clients together have left unread; past it the one that stands still longest is let go.
    pub pending_write_bytes: usize,
    /// Nothing new goes to a member later than this after word that it drains or is gone ...
    pub drain_grace: Span,
    /// ... or, where this is set, that it drains.
    pub removal_is_advisory: bool,
    /// A connection to a member that is not up by then has failed.
    pub connect_timeout: Span,
    /// One that a member has begun to shake hands on may come up by then after that, for whoever asks next.
    pub late_connect_timeout: Span,
    /// A probe without an answer by then has failed.
    pub health_check_timeout: Span,
    /// An answer that has begun and then stands still for this long is spoilt.
    pub answer_stall_timeout: Span,
    /// A member's clock may be ahead of this one's by so much; a position later than that cannot be.
    pub max_clock_skew: Span,
    /// Idle connections to members are retired after this, ahead of the members' own limit.
    pub member_idle_timeout: Span,
    /// Pace of the look at idle connections.
    pub sweep_interval: Span,
    /// A client that has asked nothing by then, counted from its connecting, is let go.
    pub first_request_timeout: Span,
    /// A message that has begun must be whole by then.
    pub partial_message_timeout: Span,
    /// A client that has not read an answer by then is let go.
    pub client_write_timeout: Span,
    /// So long may a client that has been told why its connection ends go on sending ...
    pub linger_timeout: Span,
    /// ... and so much; it is read and dropped, as unread bytes would take the error with them.
    pub linger_bytes: usize,
    /// Malformed statements in a row, at most, before the connection ends.
    pub max_consecutive_malformed: u32,
    /// Statements of one client in hand together, where it writes several before it reads. Danger: the time of those that
    /// stand behind them counts only from when they are taken, and their answers would come too late.
    pub max_pipelined_statements: usize,
    /// Messages of one client taken before all others have had their turn.
    pub messages_per_turn: usize,
    /// Pace of the look at clients that may have left while their bytes wait: a third of the tenth of a second after which nothing
    /// may begin for them.
    pub disconnect_poll_interval: Span,
    /// So many of them are looked at before others have had their turn.
    pub disconnect_poll_batch: usize,
    /// New connections taken before others have had their turn.
    pub accept_batch: usize,
    /// Connections that may stand in line before they are taken.
    pub backlog: i32,
    /// No request waits longer for its answer, whatever its `d` says.
    pub max_request_wait: Span,
    /// A watch whose connection is not up by then is opened anew.
    pub watch_connect_timeout: Span,
    /// One that is up has brought its first whole line by then.
    pub watch_first_line_timeout: Span,
    /// One without a whole line for this long after that is opened anew: two of its blank lines.
    ///
    /// Danger: a change counts as told 6 s after the agent had it and could be reached, whatever the watch was doing then.
    /// Each of these three, the longest pause and one more dial stay within that together.
    pub watch_idle_timeout: Span,
    /// Shortest pause before the list's agent is asked again.
    pub watch_min_backoff: Span,
    /// Longest such pause.
    pub watch_max_backoff: Span,
    /// Pause before the listener or the datagrams' socket is tried again after an error.
    pub error_backoff: Span,
    /// After SIGTERM new connections are taken for this long.
    pub shutdown_accept: Span,
    /// After SIGTERM clients keep the connections that they have for this long, and are served.
    pub shutdown_serve: Span,
    /// Pace at which clients are then looked at, and closed between requests.
    pub shutdown_sweep_interval: Span,
    /// After SIGTERM whatever is still in hand then is answered at once, and so is all that is asked from then on.
    pub shutdown_reject: Span,
    /// After SIGTERM the gateway ends by then, whatever is left: ahead of a SIGKILL.
    pub shutdown_deadline: Span,
}

/// With fewer descriptors a gateway is of no use.
pub const LEAST_DESCRIPTORS: usize = 2 * OWN_DESCRIPTORS;
/// Descriptors for the gateway itself: standard streams, listener, reactor, signals, datagrams, discovery.
const OWN_DESCRIPTORS: usize = 32;
/// Share of the others that connections to members may take; clients have the rest.
const MEMBER_SHARE: f64 = 0.4;
/// Share that clients beyond their places may take, each for as long as a refusal needs.
const RESERVE_SHARE: f64 = 0.06;
/// Values that clients write reach this.
const VALUE_BYTES: usize = 64 << 10;
/// An answer may take this part of the memory. Danger: one that is turned away for its size alone is asked for again and
/// again, and costs its member as much each time.
const ANSWER_PART: usize = 64;
/// Text around a value: the statement's words, key and comment, or an answer's other messages.
const ROOM: usize = 8 << 10;

impl Limits {
    /// The limits that this platform and these settings allow.
    pub fn new(platform: Platform, settings: &PlatformSettings) -> Self {
        let usable = platform
            .sockets
            .saturating_sub(OWN_DESCRIPTORS)
            .max(OWN_DESCRIPTORS);
        let member_connections = (usable as f64 * MEMBER_SHARE) as usize;
        let client_reserve = (usable as f64 * RESERVE_SHARE).ceil() as usize;
        let clients = usable - member_connections - client_reserve;
        let memory = platform.memory_mb << 20;
        let longest = settings
            .router
            .classes
            .iter()
            .map(|c| c.deadline)
            .max()
            .unwrap_or(SECOND);
        let idle = if settings.member_idle_timeout > 0 {
            settings.member_idle_timeout
        } else {
            30 * SECOND
        };
        Limits {
            clients,
            client_reserve,
            member_connections,
            client_soft_limit: clients / 2,
            soft_limit_idle: 250 * MS,
            eviction_idle: 100 * MS,
            eviction_grace: 50 * MS,
            requests: settings.max_open_requests,
            members: 16 << 10,
            startup_bytes: 10_000,
            statement_bytes: 2 * VALUE_BYTES + ROOM,
            read_ahead_bytes: 4 * (2 * VALUE_BYTES + ROOM),
            answer_bytes: VALUE_BYTES.max(memory / ANSWER_PART) + ROOM,
            head_bytes: 16 << 10,
            list_bytes: 8 << 20,
            datagram_bytes: stackgw_settings::MAX_GOSSIP_BYTES,
            read_bytes: 16 << 10,
            client_bytes: memory / 6,
            member_bytes: memory / 6,
            pending_write_bytes: memory / 5,
            drain_grace: settings.router.obligations.drain_grace,
            removal_is_advisory: settings.router.obligations.removal_is_advisory,
            connect_timeout: settings.router.limits.connect_timeout,
            // As long again as a line of a few such limits takes.
            late_connect_timeout: settings.router.limits.connect_timeout * 4,
            health_check_timeout: settings.router.limits.connect_timeout,
            answer_stall_timeout: 150 * MS,
            max_clock_skew: 20 * MS,
            member_idle_timeout: idle / 5 * 4,
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
            max_request_wait: longest.max(30 * SECOND),
            watch_connect_timeout: SECOND,
            watch_first_line_timeout: 3 * SECOND,
            watch_idle_timeout: 4 * SECOND,
            watch_min_backoff: 100 * MS,
            watch_max_backoff: SECOND,
            error_backoff: 5 * MS,
            shutdown_accept: 500 * MS,
            shutdown_serve: longest.min(3 * SECOND) + 200 * MS,
            shutdown_sweep_interval: 100 * MS,
            shutdown_reject: longest.min(3 * SECOND) + 420 * MS,
            shutdown_deadline: longest.min(3 * SECOND) + 580 * MS,
        }
    }
}
