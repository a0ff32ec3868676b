//! The clients of a soak: they send requests, pause, disconnect, stop inside messages and flood gateways. Each one has its own
//! random numbers.

use super::records::{RequestEnd, RequestKind, RequestRecord, SoakRecord, StalledClient};
use crate::client::{Client, RequestOutcome};
use crate::gateway_fleet::GatewayFleet;
use crate::statements::{
    timed_read_statement, timed_write_statement, BOUNDED_READ_CLASS, READ_TIMEOUT,
    SESSION_READ_CLASS, WRITE_TIMEOUT,
};
use crate::sync::lock;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The pause of a client to which no gateway is available.
const NO_GATEWAY_PAUSE: Duration = Duration::from_millis(20);
/// How long a client that stopped inside a message waits for the gateway to end the connection.
const STALLED_WAIT: Duration = Duration::from_millis(4_500);
const FLOOD_STATEMENT_BYTES: usize = 60 << 10;

/// The state that all parts of a soak share.
pub(super) struct SoakState<'a> {
    pub(super) gateways: &'a GatewayFleet,
    pub(super) started: Instant,
    pub(super) record: Mutex<SoakRecord>,
    /// Whether clients may open new connections to each gateway.
    pub(super) accepts_clients: Vec<AtomicBool>,
    pub(super) is_over: AtomicBool,
    next_id: AtomicU64,
}

impl<'a> SoakState<'a> {
    pub(super) fn new(gateways: &'a GatewayFleet) -> Self {
        SoakState {
            gateways,
            started: Instant::now(),
            record: Mutex::default(),
            accepts_clients: (0..gateways.len()).map(|_| AtomicBool::new(true)).collect(),
            is_over: AtomicBool::new(false),
            next_id: AtomicU64::new(1),
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(super) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn next_number(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// The first gateway at or after this one, cyclically, that accepts new clients.
    fn find_accepting_gateway(&self, first: usize) -> Option<usize> {
        let count = self.gateways.len();
        let mut gateways = (0..count).map(|n| (first + n) % count);
        gateways.find(|gateway| self.accepts_clients[*gateway].load(Ordering::Relaxed))
    }
}

/// What a client does after it has sent a request.
enum ClientBehavior {
    /// The client waits for the answer.
    WaitForAnswer,
    /// The client closes its connection this long after it has sent the request.
    Close(Duration),
    /// The client shuts down its sending side this long after it has sent the request, and keeps the connection for 200 ms.
    HalfClose(Duration),
}

/// One client, which sends requests until the soak is over.
pub(super) struct SoakClient<'a> {
    state: &'a SoakState<'a>,
    rng: SmallRng,
    gateway: usize,
    key: String,
}

impl<'a> SoakClient<'a> {
    pub(super) fn new(state: &'a SoakState<'a>, gateway: usize, number: usize, seed: u64) -> Self {
        let client_seed = seed.wrapping_mul(1_000).wrapping_add(number as u64);
        SoakClient {
            state,
            rng: SmallRng::seed_from_u64(client_seed),
            gateway,
            key: format!("s{seed:x}c{number}"),
        }
    }

    pub(super) fn run(mut self) {
        while !self.state.is_over() {
            let gateway = self.state.find_accepting_gateway(self.gateway);
            let address = gateway.and_then(|gateway| self.state.gateways.address(gateway));
            match (gateway, address.and_then(Client::connect)) {
                (Some(gateway), Some(client)) => self.use_connection(gateway, client),
                _ => std::thread::sleep(NO_GATEWAY_PAUSE),
            }
        }
    }

    /// Sends requests on a connection until it closes or the client disconnects.
    fn use_connection(&mut self, gateway: usize, mut client: Client) {
        let mut last_own_write = None;
        while !self.state.is_over() {
            self.pause();
            let behavior = self.draw_behavior();
            let (mut record, statement) = self.draw_request(gateway, last_own_write);
            let is_open = match behavior {
                ClientBehavior::WaitForAnswer => {
                    send_and_receive(self.state, &mut client, &mut record, &statement)
                }
                ClientBehavior::Close(after) => {
                    send_and_sleep(self.state, &mut client, &mut record, &statement, after);
                    client.close();
                    false
                }
                ClientBehavior::HalfClose(after) => {
                    send_and_sleep(self.state, &mut client, &mut record, &statement, after);
                    client.half_close();
                    record.ended_at = self.state.now();
                    std::thread::sleep(Duration::from_millis(200));
                    false
                }
            };
            if let ClientBehavior::Close(_) = behavior {
                record.ended_at = self.state.now();
            }
            if let (RequestKind::Write, RequestEnd::Served(value)) = (record.kind, &record.end) {
                last_own_write = last_own_write.max(*value);
            }
            lock(&self.state.record).requests.push(record);
            if !is_open {
                return;
            }
        }
    }

    /// Pauses before about half of the requests, for less than 40 ms; before one in 40 for 0.2 to 1.5 s, in which the gateway
    /// may close the connection.
    fn pause(&mut self) {
        let ms = match self.rng.random_range(0..40) {
            0 => self.rng.random_range(200..1_500),
            1..20 => self.rng.random_range(0..40),
            _ => 0,
        };
        std::thread::sleep(Duration::from_millis(ms));
    }

    fn draw_behavior(&mut self) -> ClientBehavior {
        let after = Duration::from_millis(self.rng.random_range(0..60));
        match self.rng.random_range(0..60) {
            0 => ClientBehavior::Close(after),
            1 => ClientBehavior::HalfClose(after),
            _ => ClientBehavior::WaitForAnswer,
        }
    }

    fn draw_request(
        &mut self,
        gateway: usize,
        last_own_write: Option<u64>,
    ) -> (RequestRecord, String) {
        let number = self.state.next_number();
        let id = write_id(number);
        let (kind, mut timeout) = match self.rng.random_range(0..10) {
            0..3 => (RequestKind::Write, WRITE_TIMEOUT),
            3..6 => (RequestKind::SessionRead, READ_TIMEOUT),
            _ => (RequestKind::BoundedRead, READ_TIMEOUT),
        };
        if self.rng.random_range(0..12) == 0 {
            timeout = Duration::from_millis(self.rng.random_range(5..120));
        }
        let statement = match kind {
            RequestKind::Write => timed_write_statement(&id, &self.key, number, timeout),
            RequestKind::SessionRead => {
                timed_read_statement(&id, &self.key, SESSION_READ_CLASS, timeout)
            }
            RequestKind::BoundedRead => {
                timed_read_statement(&id, &self.key, BOUNDED_READ_CLASS, timeout)
            }
        };
        let record = RequestRecord {
            id,
            kind,
            gateway,
            sent_at: Duration::ZERO,
            timeout,
            ended_at: Duration::ZERO,
            end: RequestEnd::Left,
            last_own_write,
        };
        (record, statement)
    }
}

/// The id of the request that writes this value.
pub(super) fn write_id(value: u64) -> String {
    format!("k{value:x}")
}

/// Sends a request and waits for the answer; returns whether the connection is still open.
fn send_and_receive(
    state: &SoakState<'_>,
    client: &mut Client,
    record: &mut RequestRecord,
    statement: &str,
) -> bool {
    let was_sent = client.send(statement);
    record.sent_at = state.now();
    let outcome = if was_sent {
        client.receive()
    } else {
        RequestOutcome::Disconnected
    };
    record.ended_at = state.now();
    record.end = match outcome {
        RequestOutcome::Served(value) => RequestEnd::Served(parse_value(&value)),
        RequestOutcome::Rejected => RequestEnd::Rejected,
        RequestOutcome::Failed | RequestOutcome::Malformed => RequestEnd::Failed,
        RequestOutcome::Disconnected => RequestEnd::Disconnected,
        RequestOutcome::TimedOut => RequestEnd::Unanswered,
        RequestOutcome::DuplicateReply => RequestEnd::AnsweredTwice,
    };
    !matches!(
        record.end,
        RequestEnd::Disconnected | RequestEnd::Unanswered
    )
}

fn send_and_sleep(
    state: &SoakState<'_>,
    client: &mut Client,
    record: &mut RequestRecord,
    statement: &str,
    wait: Duration,
) {
    client.send(statement);
    record.sent_at = state.now();
    std::thread::sleep(wait);
}

/// Parses a value that a soak's write stored; `None` if nothing was written yet.
fn parse_value(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?;
    u64::from_str_radix(text, 16).ok()
}

/// Sends part of a message, keeps the connection open, and records when the gateway sent an error or closed it.
pub(super) fn stall_inside_message(state: &SoakState<'_>, gateway: usize) {
    let address = state.gateways.address(gateway);
    let Some(mut client) = address.and_then(Client::connect) else {
        return;
    };
    let statement = timed_read_statement("half", "half", BOUNDED_READ_CLASS, READ_TIMEOUT);
    if !client.send_part(&statement) {
        return;
    }
    let stopped_at = state.now();
    client.set_reply_timeout(STALLED_WAIT);
    let ended_at = match client.receive() {
        RequestOutcome::TimedOut => None,
        _ => Some(state.now()),
    };
    lock(&state.record).stalled_clients.push(StalledClient {
        gateway,
        stopped_at,
        ended_at,
    });
}

/// Sends large statements for this time, without reading the answers.
pub(super) fn flood(state: &SoakState<'_>, gateway: usize, time: Duration) {
    let address = state.gateways.address(gateway);
    let Some(mut client) = address.and_then(Client::connect) else {
        return;
    };
    client.set_nonblocking();
    let started = Instant::now();
    while started.elapsed() < time && !state.is_over() {
        let number = state.next_number();
        let key = "k".repeat(FLOOD_STATEMENT_BYTES);
        let statement = timed_read_statement(
            &format!("f{number:x}"),
            &key,
            BOUNDED_READ_CLASS,
            READ_TIMEOUT,
        );
        // Once the socket does not accept a whole message, a partial message has been sent, so nothing may follow it.
        if !client.send(&statement) {
            std::thread::sleep(time.saturating_sub(started.elapsed()));
        }
    }
}

/// Connections on which no requests are sent.
pub(super) struct IdleConnections(Vec<TcpStream>);

impl IdleConnections {
    pub(super) fn connect(state: &SoakState<'_>, gateway: usize, count: usize) -> Self {
        let address = state.gateways.address(gateway);
        let connect = |_| address.and_then(|address| TcpStream::connect(address).ok());
        IdleConnections((0..count).filter_map(connect).collect())
    }

    /// Replaces connections that the gateway has closed.
    pub(super) fn refresh(&mut self, state: &SoakState<'_>, gateway: usize) {
        let Some(address) = state.gateways.address(gateway) else {
            return;
        };
        for socket in &mut self.0 {
            let _ = socket.set_nonblocking(true);
            let is_open = match socket.read(&mut [0; 64]) {
                Ok(count) => count > 0,
                Err(error) => error.kind() == ErrorKind::WouldBlock,
            };
            if !is_open {
                if let Ok(new) = TcpStream::connect(address) {
                    *socket = new;
                }
            }
        }
    }

    /// Sends a byte that begins no valid startup message on every other connection.
    pub(super) fn send_invalid_bytes(&mut self) {
        for socket in self.0.iter_mut().step_by(2) {
            let _ = socket.write_all(b"?");
        }
    }
}
