//! Clients that send more than is accepted from them while there is no primary or members are silent, and what that costs
//! others.

mod common;

use common::gateway_common::{config_text, entry, list_text, new_id, query, startup};
use common::gateway_process::{start_fixture_with_config, GatewayProcess};
use common::pg_connection::{frame_kinds, PgConnection};
use common::scripted_list_service::start_list_service;
use stackgw_gateway::pg::Frame;
use std::io::{ErrorKind, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const STATEMENT_BYTES: usize = 60 << 10;
/// What the fixture's configuration grants.
const MEMORY_KIB: usize = 64 << 10;
/// Longer than an empty query takes on a busy machine, shorter than any statement of a flood waits.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A gateway that grants so many descriptors and knows two replicas and no primary, so that writes wait.
fn start_gateway(name: &str, descriptors: usize) -> GatewayProcess {
    let config =
        config_text("null").replace("\"sockets\":128", &format!("\"sockets\":{descriptors}"));
    let fixture = start_fixture_with_config(name, &config, |entries| {
        start_list_service(list_text(1, true, &entries[1..]))
    });
    fixture.gateway
}

/// A read of `STATEMENT_BYTES` with so much time for its answer.
fn large_read(timeout_ms: u64) -> Frame {
    let (id, key) = (new_id(), "k".repeat(STATEMENT_BYTES));
    let comment = format!("/* id={id},c=look,d={timeout_ms},cluster=2 */");
    query(&format!(
        "SELECT val FROM state WHERE uid = '{key}' {comment}"
    ))
}

/// A write of `STATEMENT_BYTES`, which waits for a primary for as long as a statement may.
fn large_write() -> Frame {
    let (id, key) = (new_id(), "k".repeat(STATEMENT_BYTES));
    let comment = format!("/* id={id},c=buy,d=60000,cluster=2 */");
    query(&format!(
        "INSERT INTO state (uid, val) VALUES ('{key}', '\\x9f') RETURNING val {comment}"
    ))
}

/// A client that writes statements for as long as its socket takes them, and reads nothing.
struct FloodingClient {
    connection: PgConnection,
    /// What is left of a statement that the socket took in part.
    unwritten: Vec<u8>,
}

impl FloodingClient {
    /// Writes on; whether the socket took anything.
    fn write_on(&mut self) -> bool {
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

/// Threads of clients that flood. They end with it or with the gateway.
struct EndlessFlood(Arc<AtomicBool>);

impl Drop for EndlessFlood {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Clients that have sent all that the gateway and the kernel take of them, and wait for a primary.
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
        let has_written = flooding.iter_mut().map(FloodingClient::write_on);
        let has_written = has_written.filter(|written| *written).count() > 0;
        let before = std::mem::replace(&mut read_ahead, gateway.counter("read_ahead_bytes"));
        if !has_written && read_ahead == before {
            return flooding;
        }
    }
}

/// A newcomer's connection, which waits for answers no longer than `ANSWER_TIMEOUT`.
fn newcomer(gateway: &GatewayProcess) -> PgConnection {
    let mut connection = gateway.connect();
    let timeout = connection.socket.set_read_timeout(Some(ANSWER_TIMEOUT));
    timeout.expect("a time-out");
    connection.write(&[startup()]);
    assert_eq!(connection.read_reply().last().map(|f| f.kind), Some(b'Z'));
    connection
}

/// The message in two writes, of which the first has certainly been read when the second is sent.
fn ask_in_pieces(gateway: &GatewayProcess, connection: &mut PgConnection) {
    let message = query("").bytes;
    connection.socket.write_all(&message[..3]).expect("written");
    let mut beside = newcomer(gateway);
    beside.write(&[query("")]);
    assert_eq!(frame_kinds(&beside.read_reply()), "IZ", "beside it");
    connection.socket.write_all(&message[3..]).expect("written");
}

fn check_newcomers_are_served(gateway: &GatewayProcess) {
    for n in 0..10 {
        let mut complete = newcomer(gateway);
        complete.write(&[query("")]);
        assert_eq!(frame_kinds(&complete.read_reply()), "IZ", "newcomer {n}");
        let mut in_pieces = newcomer(gateway);
        ask_in_pieces(gateway, &mut in_pieces);
        let answer = frame_kinds(&in_pieces.read_reply());
        assert_eq!(answer, "IZ", "newcomer {n}, in pieces");
    }
}

/// Callers met this: with requests waiting for members and others flooding, an empty query got an error and a close, or no answer at all.
#[test]
fn newcomers_are_answered_beside_a_flood_that_waits_for_a_primary() {
    let gateway = start_gateway("newcomers", 128);
    let _flooding = flood(&gateway, 40);
    check_newcomers_are_served(&gateway);
    assert_eq!(gateway.counter("clients_over_buffer_limit"), 0);
    assert_eq!(gateway.counter("clients_without_request"), 0);
    let peak = gateway.peak_kib();
    assert!(peak < MEMORY_KIB, "{peak} KiB");
}

/// Members that accept connections and say nothing; gives the entries of their list.
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

/// Clients that write reads without a pause, each with 0.9 s for its answer, until they are told to end.
fn start_endless_flood(gateway: &GatewayProcess, clients: usize) -> EndlessFlood {
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
    EndlessFlood(is_over)
}

/// The same where members accept connections and never answer, and the flood goes on.
#[test]
fn newcomers_are_answered_beside_a_flood_while_members_are_silent() {
    let entries = start_silent_members();
    let lists = start_list_service(list_text(1, true, &entries));
    let config = config_text("null").replace("\"memory_mb\":64", "\"memory_mb\":48");
    let gateway = GatewayProcess::start_with_config("silent-members", lists, &config);
    let _flood = start_endless_flood(&gateway, 40);
    gateway.wait_for_counter("read_ahead_bytes", |bytes| bytes > 4 << 20);
    check_newcomers_are_served(&gateway);
    assert_eq!(gateway.counter("clients_over_buffer_limit"), 0);
    assert_eq!(gateway.counter("clients_without_request"), 0);
}

/// A newcomer's read with a key as large as the flood's is served by the replicas.
#[test]
fn a_large_statement_of_a_newcomer_is_served_beside_a_flood() {
    let gateway = start_gateway("large-newcomer", 128);
    let _flooding = flood(&gateway, 40);
    let mut late = newcomer(&gateway);
    late.write(&[large_read(20_000)]);
    assert_eq!(frame_kinds(&late.read_reply()), "TDCZ");
}

/// A client that stands still inside a message is told so in time, however full the buffers are.
#[test]
fn a_client_that_stalls_inside_a_message_is_told_beside_a_flood() {
    let gateway = start_gateway("stalls", 128);
    let _flooding = flood(&gateway, 40);
    let mut stalled = newcomer(&gateway);
    let since = Instant::now();
    let message = query("").bytes;
    stalled.socket.write_all(&message[..3]).expect("written");
    assert_eq!(frame_kinds(&stalled.read_reply()), "E");
    let waited = since.elapsed();
    assert!(waited < Duration::from_secs(3), "{waited:?}");
}

/// Hundreds of clients that flood: newcomers are answered, and memory stays within what is granted.
#[test]
fn newcomers_are_answered_beside_six_hundred_floods() {
    let gateway = start_gateway("six-hundred", 2600);
    let _flooding = flood(&gateway, 600);
    check_newcomers_are_served(&gateway);
    let peak = gateway.peak_kib();
    eprintln!("peak {peak} KiB under 600 floods");
    assert!(peak < MEMORY_KIB, "{peak} KiB");
}
