//! Clients that send more than the gateway accepts while there is no primary or members are silent: other clients are still
//! served.

mod common;

use common::gateway_common::{config_text, entry, list_text, new_id, query, sqlstate, startup};
use common::gateway_process::{start_fixture_with_config, GatewayProcess};
use common::pg_connection::{frame_kinds, PgConnection, Side};
use common::scripted_list_service::start_list_service;
use stackgw_gateway::pg::Frame;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const STATEMENT_BYTES: usize = 60 << 10;
const BOOKINGS: usize = 300;
/// 50 bookings a second.
const BOOKING_INTERVAL: Duration = Duration::from_millis(20);
const BOOKING_MS: u64 = 2_000;
/// A final answer counts until this long after its deadline.
const ANSWER_SLACK_MS: u64 = 500;
/// The memory limit of the fixture's configuration.
const MEMORY_KIB: usize = 64 << 10;
/// Longer than an empty query takes on a busy machine, shorter than the wait of any statement of a flood.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a gateway with this descriptor limit, two replicas and no primary, so that writes wait.
fn start_gateway(name: &str, descriptors: usize) -> GatewayProcess {
    let config =
        config_text("null").replace("\"sockets\":128", &format!("\"sockets\":{descriptors}"));
    let fixture = start_fixture_with_config(name, &config, |entries| {
        start_list_service(list_text(1, true, &entries[1..]))
    });
    fixture.gateway
}

/// A read of `STATEMENT_BYTES` with this deadline.
fn large_read(timeout_ms: u64) -> Frame {
    let (id, key) = (new_id(), "k".repeat(STATEMENT_BYTES));
    let comment = format!("/* id={id},c=look,d={timeout_ms},cluster=2 */");
    query(&format!(
        "SELECT val FROM state WHERE uid = '{key}' {comment}"
    ))
}

/// A write of `STATEMENT_BYTES` that waits for a primary for as long as a statement may wait.
fn large_write() -> Frame {
    let (id, key) = (new_id(), "k".repeat(STATEMENT_BYTES));
    let comment = format!("/* id={id},c=buy,d=60000,cluster=2 */");
    query(&format!(
        "INSERT INTO state (uid, val) VALUES ('{key}', '\\x9f') RETURNING val {comment}"
    ))
}

/// A client that writes statements while its socket accepts them, and reads nothing.
struct FloodingClient {
    connection: PgConnection,
    /// The rest of a statement that the socket accepted in part.
    unwritten: Vec<u8>,
}

impl FloodingClient {
    /// Continues writing until the socket is full. Returns whether the socket accepted any bytes.
    fn write_more(&mut self) -> bool {
        let mut has_written = false;
        loop {
            if self.unwritten.is_empty() {
                self.unwritten = large_write().bytes;
            }
            match self.connection.socket.write(&self.unwritten) {
                Ok(count) => {
                    has_written = true;
                    self.unwritten.drain(..count);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return has_written,
            }
        }
    }
}

/// Stops the threads of the flooding clients on drop. They also end when the gateway does.
struct ContinuousFlood(Arc<AtomicBool>);

impl Drop for ContinuousFlood {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Connects clients that send as much as the gateway and the kernel accept; their statements wait for a primary.
fn flood(gateway: &GatewayProcess, clients: usize) -> Vec<FloodingClient> {
    let connect = |_| {
        let connection = gateway.ready_client();
        let nonblocking = connection.socket.set_nonblocking(true);
        nonblocking.expect("non-blocking");
        FloodingClient {
            connection,
            unwritten: Vec::new(),
        }
    };
    let mut flooding: Vec<_> = (0..clients).map(connect).collect();
    let mut read_ahead = 0;
    loop {
        let has_written = flooding.iter_mut().map(FloodingClient::write_more);
        let has_written = has_written.filter(|written| *written).count() > 0;
        let before = std::mem::replace(&mut read_ahead, gateway.counter("read_ahead_bytes"));
        if !has_written && read_ahead == before {
            return flooding;
        }
    }
}

/// Connects a new client, whose reads time out after `ANSWER_TIMEOUT`.
fn connect_new_client(gateway: &GatewayProcess) -> PgConnection {
    let mut connection = gateway.connect();
    let timeout = connection.socket.set_read_timeout(Some(ANSWER_TIMEOUT));
    timeout.expect("a time-out");
    connection.write(&[startup()]);
    assert_eq!(connection.read_reply().last().map(|f| f.kind), Some(b'Z'));
    connection
}

/// Sends an empty query in two writes. The answer to another client in between ensures that the gateway has read the first part.
fn send_in_two_parts(gateway: &GatewayProcess, connection: &mut PgConnection) {
    let message = query("").bytes;
    connection.socket.write_all(&message[..3]).expect("written");
    let mut other = connect_new_client(gateway);
    other.write(&[query("")]);
    assert_eq!(
        frame_kinds(&other.read_reply()),
        "IZ",
        "another client is answered"
    );
    connection.socket.write_all(&message[3..]).expect("written");
}

fn check_new_clients_are_served(gateway: &GatewayProcess) {
    for n in 0..10 {
        let mut complete = connect_new_client(gateway);
        complete.write(&[query("")]);
        assert_eq!(
            frame_kinds(&complete.read_reply()),
            "IZ",
            "new client {n} is answered"
        );
        let mut in_parts = connect_new_client(gateway);
        send_in_two_parts(gateway, &mut in_parts);
        let answer = frame_kinds(&in_parts.read_reply());
        assert_eq!(
            answer, "IZ",
            "new client {n} is answered after a query in two parts"
        );
    }
}

/// Regression: while requests waited for members and other clients flooded the gateway, an empty query got an error and a close,
/// or no answer at all.
#[test]
fn new_clients_are_answered_during_a_flood_that_waits_for_a_primary() {
    let gateway = start_gateway("new-clients", 128);
    let _flooding = flood(&gateway, 40);
    check_new_clients_are_served(&gateway);
    assert_eq!(gateway.counter("clients_over_buffer_limit"), 0);
    assert_eq!(gateway.counter("clients_without_request"), 0);
    let peak = gateway.peak_kib();
    assert!(peak < MEMORY_KIB, "peak memory {peak} KiB");
}

/// Starts members that accept connections and send nothing; returns their list entries.
fn start_silent_members() -> Vec<String> {
    let start = |n| {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let port = listener.local_addr().expect("an address").port();
        std::thread::spawn(move || listener.incoming().collect::<Vec<_>>());
        let role = if n == 1 { "leader" } else { "follower" };
        entry(n, "ready", role).replace(&format!(":{}\"", 7000 + n), &format!(":{port}\""))
    };
    (1..=3).map(start).collect()
}

/// Starts clients that continuously write reads, each with a deadline of 0.9 s, until the returned value is dropped.
fn start_continuous_flood(gateway: &GatewayProcess, clients: usize) -> ContinuousFlood {
    let is_over = Arc::new(AtomicBool::new(false));
    for _ in 0..clients {
        let (mut client, is_over) = (gateway.ready_client(), is_over.clone());
        std::thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let bytes = large_read(900).bytes;
                if client.socket.write_all(&bytes).is_err() {
                    return;
                }
            }
        });
    }
    ContinuousFlood(is_over)
}

/// New clients are also answered while members accept connections but never answer, and the flood continues.
#[test]
fn new_clients_are_answered_during_a_flood_while_members_are_silent() {
    let entries = start_silent_members();
    let lists = start_list_service(list_text(1, true, &entries));
    let config = config_text("null").replace("\"memory_mb\":64", "\"memory_mb\":48");
    let gateway = GatewayProcess::start_with_config("silent-members", lists, &config);
    let _flood = start_continuous_flood(&gateway, 40);
    gateway.wait_for_counter("read_ahead_bytes", |bytes| bytes > 4 << 20);
    check_new_clients_are_served(&gateway);
    assert_eq!(gateway.counter("clients_over_buffer_limit"), 0);
    assert_eq!(gateway.counter("clients_without_request"), 0);
}

/// A new client's read with a key as large as those of the flood is served by the replicas.
#[test]
fn a_large_statement_of_a_new_client_is_served_during_a_flood() {
    let gateway = start_gateway("large-new-client", 128);
    let _flooding = flood(&gateway, 40);
    let mut client = connect_new_client(&gateway);
    client.write(&[large_read(20_000)]);
    assert_eq!(frame_kinds(&client.read_reply()), "TDCZ");
}

/// A write of a value of 64 KiB, with a deadline of `BOOKING_MS`; the primary does not answer it.
fn booking() -> Frame {
    let (id, value) = (new_id(), "9f".repeat(64 << 10));
    let comment = format!("/* id={id},c=buy,d={BOOKING_MS},cluster=2 */");
    query(&format!(
        "INSERT INTO state (uid, val) VALUES ('slow', '\\x{value}') RETURNING val {comment}"
    ))
}

/// Sends a booking on a new connection. Returns the error code of its answer, if one came in time.
fn book(address: SocketAddr) -> Option<String> {
    let socket = TcpStream::connect(address).expect("a connection");
    let mut client = PgConnection::new(socket, Side::Client);
    client.write(&[startup()]);
    client.read_reply();
    client.write(&[booking()]);
    let timeout = Duration::from_millis(BOOKING_MS + ANSWER_SLACK_MS);
    let timeout = client.socket.set_read_timeout(Some(timeout));
    timeout.expect("a time-out");
    sqlstate(&client.read_reply().first()?.bytes)
}

/// Regression: while a primary was silent, ordinary writes of large values were not read once the statements that waited had filled
/// a part of the memory: they got no answer in time, or one that they were not finished in time.
#[test]
fn large_writes_behind_a_silent_primary_are_answered_in_time() {
    let config = config_text("null")
        .replace("\"memory_mb\":64", "\"memory_mb\":32")
        .replace("\"sockets\":128", "\"sockets\":1024");
    let fixture = start_fixture_with_config("bookings", &config, |entries| {
        start_list_service(list_text(1, true, entries))
    });
    let gateway = &fixture.gateway;
    drop(gateway.ready_client());
    let address = gateway.address;
    let answers: Vec<Option<String>> = std::thread::scope(|scope| {
        let book = |_| {
            std::thread::sleep(BOOKING_INTERVAL);
            scope.spawn(move || book(address))
        };
        let threads: Vec<_> = (0..BOOKINGS).map(book).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("no panic"))
            .collect()
    });
    let count = |code: Option<&str>| {
        answers
            .iter()
            .filter(|answer| answer.as_deref() == code)
            .count()
    };
    let (rejected, failed) = (count(Some("53300")), count(Some("58000")));
    eprintln!(
        "{rejected} rejected, {failed} failed, {} without an answer",
        count(None)
    );
    assert_eq!(rejected + failed, BOOKINGS, "{answers:?}");
    assert_eq!(gateway.counter("clients_stalled"), 0);
    let peak = gateway.peak_kib();
    assert!(peak < 32 << 10, "peak memory {peak} KiB");
}

/// A client that stalls inside a message gets an error in time, even if the buffers are full.
#[test]
fn a_client_that_stalls_inside_a_message_gets_an_error_during_a_flood() {
    let gateway = start_gateway("stalls", 128);
    let _flooding = flood(&gateway, 40);
    let mut stalled = connect_new_client(&gateway);
    let since = Instant::now();
    let message = query("").bytes;
    stalled.socket.write_all(&message[..3]).expect("written");
    assert_eq!(frame_kinds(&stalled.read_reply()), "E");
    let waited = since.elapsed();
    assert!(
        waited < Duration::from_secs(3),
        "the error came only after {waited:?}"
    );
}

/// With hundreds of flooding clients, new clients are answered, and memory stays within its limit.
#[test]
fn new_clients_are_answered_during_six_hundred_floods() {
    let gateway = start_gateway("six-hundred", 2600);
    let _flooding = flood(&gateway, 600);
    check_new_clients_are_served(&gateway);
    let peak = gateway.peak_kib();
    eprintln!("peak {peak} KiB under 600 floods");
    assert!(peak < MEMORY_KIB, "peak memory {peak} KiB");
}
