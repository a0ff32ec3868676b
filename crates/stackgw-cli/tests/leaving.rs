//! Clients that leave in various ways while their requests wait for a member: none of their requests is forwarded.

mod common;

use common::gateway_common::{list_text, message, query, sqlstate, startup};
use common::gateway_process::{start_fixture, start_fixture_with, GatewayFixture, GatewayProcess};
use common::pg_connection::{frame_kinds, insert, select, PgConnection};
use common::scripted_list_service::start_updating_list_service;
use std::io::Write;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A request may begin until this long after its client has left.
const LEAVE_GRACE: Duration = Duration::from_millis(100);

/// Starts a gateway with two replicas and no primary, so that writes wait. Also returns a function that adds the primary to the
/// list.
fn start_without_primary(name: &str) -> (GatewayFixture, impl FnOnce() -> Sender<String>) {
    let (list_updates, updates) = channel();
    let fixture = start_fixture_with(name, |entries| {
        start_updating_list_service(list_text(1, true, &entries[1..]), updates)
    });
    let primary = list_text(2, false, &fixture.entries[..1]);
    // Returns the sender: the list service closes the watch once it is dropped, and the update may be lost.
    let announce_primary = move || {
        list_updates.send(primary).expect("the watch");
        list_updates
    };
    (fixture, announce_primary)
}

/// A client that sends a write that waits, and then leaves.
struct LeavingClient {
    name: &'static str,
    bytes: Vec<u8>,
    /// Whether it reads the startup reply. Closing a socket with unread data resets the connection.
    reads_reply: bool,
    leave: fn(PgConnection),
}

fn half_close(connection: PgConnection) {
    connection
        .socket
        .shutdown(Shutdown::Write)
        .expect("half-closed");
    std::mem::forget(connection);
}

fn leaving_clients() -> Vec<LeavingClient> {
    let gone = || insert("gone").bytes;
    let many = |n| -> Vec<u8> {
        (0..n)
            .flat_map(|_| insert(&format!("gone{}", "x".repeat(2000))).bytes)
            .collect()
    };
    let client = |name, bytes, leave| LeavingClient {
        name,
        bytes,
        reads_reply: true,
        leave,
    };
    vec![
        client("closes", gone(), drop),
        client("half-closes", gone(), half_close),
        client(
            "closes after more statements",
            [gone(), gone(), gone()].concat(),
            drop,
        ),
        client(
            "closes inside a message",
            [&gone()[..], &gone()[..40]].concat(),
            drop,
        ),
        // More than the 64 statements that are accepted at once; all bytes of the others are read ahead.
        client("closes after bytes that are read ahead", many(300), drop),
        client(
            "half-closes after bytes that are read ahead",
            many(300),
            half_close,
        ),
        client("sends Terminate", gone(), |mut connection| {
            connection.write(&[message(b'X', b"")])
        }),
        LeavingClient {
            reads_reply: false,
            ..client("resets", gone(), drop)
        },
        // Slightly more than is read ahead; the rest is in the kernel's buffer and still unread when the client leaves.
        LeavingClient {
            reads_reply: false,
            ..client("resets after more than is read", many(350), drop)
        },
    ]
}

/// Starts clients that continuously send unsupported statements, and reconnect when they are disconnected, until the returned
/// flag is set.
fn flood(gateway: &GatewayProcess, clients: usize) -> (Arc<AtomicBool>, Vec<JoinHandle<()>>) {
    let stop = Arc::new(AtomicBool::new(false));
    let (address, mut threads) = (gateway.address, Vec::new());
    for _ in 0..clients {
        let stop = stop.clone();
        threads.push(std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let Ok(mut socket) = std::net::TcpStream::connect(address) else {
                    continue;
                };
                let _ = socket.write_all(&startup().bytes);
                let bytes = query("SELECT 1").bytes.repeat(200);
                while !stop.load(Ordering::Relaxed) && socket.write_all(&bytes).is_ok() {}
            }
        }));
    }
    (stop, threads)
}

fn check_nothing_is_forwarded_after_leaving(name: &str, flooding: usize) {
    let (
        GatewayFixture {
            gateway,
            statements,
            ..
        },
        announce_primary,
    ) = start_without_primary(name);
    let mut remaining = gateway.ready_client();
    let (stop, threads) = flood(&gateway, flooding);
    let mut connected = Vec::new();
    for LeavingClient {
        name,
        bytes,
        reads_reply,
        leave,
    } in leaving_clients()
    {
        let mut connection = gateway.connect();
        connection.write(&[startup()]);
        if reads_reply {
            connection.read_reply();
        }
        connection.socket.write_all(&bytes).expect(name);
        connected.push((leave, connection));
    }
    let all = connected.len() as u64;
    if flooding == 0 {
        gateway.wait_for_counter("taken", |n| n == all);
        // Two clients have sent 300 statements of about 2,110 bytes each. 64 of them are accepted, and the other 498,000 bytes
        // are read ahead. Of a third client, as many bytes are read ahead as the limit per client allows, 4 * 136 KiB.
        gateway.wait_for_counter("read_ahead_bytes", |n| n > 2 * 498_000 + 4 * (136 << 10));
    }
    connected
        .into_iter()
        .for_each(|(leave, connection)| leave(connection));
    let left_at = Instant::now();
    if flooding == 0 {
        // The gateway detects that each client has left, even if it has not read all of its bytes.
        gateway.wait_for_counter("abandoned", |n| n == all);
    } else {
        // Their requests may not have been accepted yet, but none of the clients is connected any more.
        gateway.wait_for_counter("clients_open", |n| n <= flooding as u64 + 1);
        // Flooding clients that reconnect are not counted for a moment, so that the counter alone may show it too early.
        std::thread::sleep(LEAVE_GRACE.saturating_sub(left_at.elapsed()));
    }
    stop.store(true, Ordering::Relaxed);
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("no panic"));
    let _list_updates = announce_primary();
    remaining.write(&[insert("here")]);
    assert_eq!(frame_kinds(&remaining.read_reply()), "TDCZ");
    let sent: Vec<_> = statements.try_iter().collect();
    assert_eq!(
        sent.len(),
        1,
        "only the statement of the remaining client is forwarded: {sent:?}"
    );
    assert!(sent[0].contains("'here'"), "{sent:?}");
}

/// Regression: the gateway detected the end of a connection only after reading its last byte, so that it never noticed that a
/// client with unread bytes had left.
#[test]
fn no_request_is_forwarded_when_its_client_has_left() {
    check_nothing_is_forwarded_after_leaving("left", 0);
}

#[test]
fn no_request_is_forwarded_when_its_client_has_left_during_a_flood() {
    check_nothing_is_forwarded_after_leaving("left-flood", 12);
}

/// A client that cancels a request and stays connected gives up only that request.
#[test]
fn no_request_is_forwarded_when_it_was_cancelled() {
    let (
        GatewayFixture {
            gateway,
            statements,
            ..
        },
        announce_primary,
    ) = start_without_primary("cancelled");
    // Waits until the gateway has the list.
    drop(gateway.ready_client());
    let mut client = gateway.connect();
    client.write(&[startup()]);
    let key = client
        .read_reply()
        .into_iter()
        .find(|f| f.kind == b'K')
        .expect("the cancellation key");
    client.write(&[insert("gone"), insert("gone-too")]);
    gateway.wait_for_counter("taken", |n| n == 2);
    let mut canceller = gateway.connect();
    let _ = canceller
        .socket
        .write_all(&[&[0, 0, 0, 16, 4, 210, 22, 46], key.body()].concat());
    assert!(canceller.next().is_none(), "a cancel request gets no reply");
    assert_eq!(
        sqlstate(&client.read_reply()[0].bytes).as_deref(),
        Some("57014")
    );
    let _list_updates = announce_primary();
    assert_eq!(
        frame_kinds(&client.read_reply()),
        "TDCZ",
        "the other request is served"
    );
    let sent: Vec<_> = statements.try_iter().collect();
    assert!(
        sent.len() == 1 && sent[0].contains("'gone-too'"),
        "{sent:?}"
    );
}

/// A client that sends more than the gateway reads, and closes: the end of the connection follows bytes that the gateway does not
/// read.
#[test]
fn no_request_is_forwarded_when_its_client_has_left_behind_more_than_is_read() {
    let (
        GatewayFixture {
            gateway,
            statements,
            ..
        },
        announce_primary,
    ) = start_without_primary("left-more");
    let mut remaining = gateway.ready_client();
    let mut leaving = gateway.ready_client();
    let nonblocking = leaving.socket.set_nonblocking(true);
    nonblocking.expect("non-blocking");
    let bytes = insert(&format!("gone{}", "x".repeat(60 << 10))).bytes;
    // Sends as much as the gateway and the kernel accept.
    let mut read_ahead = None;
    loop {
        let has_written = leaving.socket.write(&bytes).is_ok();
        let before = read_ahead.replace(gateway.counter("read_ahead_bytes"));
        if !has_written && before == read_ahead {
            break;
        }
    }
    leaving.socket.shutdown(Shutdown::Both).expect("closed");
    drop(leaving);
    let left = Instant::now();
    while left.elapsed() < Duration::from_millis(150) {
        gateway.counter("abandoned");
    }
    let _list_updates = announce_primary();
    remaining.write(&[insert("here")]);
    assert_eq!(frame_kinds(&remaining.read_reply()), "TDCZ");
    let sent: Vec<_> = statements.try_iter().collect();
    let gone = sent.iter().filter(|text| text.contains("'gone")).count();
    assert_eq!(
        gone, 0,
        "statements of a client that had left were forwarded"
    );
}

/// Regression: a client that had waited to be accepted, and had left meanwhile, was served: its statement is read before the end of
/// its connection.
#[test]
fn no_request_is_forwarded_when_its_client_has_left_while_it_waited_to_be_accepted() {
    let GatewayFixture {
        gateway,
        statements,
        release: _unreleased,
        ..
    } = start_fixture("accept-queue");
    // 128 descriptors leave room for 52 clients and a reserve of 6. All of them have statements that no member answers.
    let busy = |key| {
        let mut client = gateway.ready_client();
        client.write(&[insert(key)]);
        client
    };
    let mut clients: Vec<_> = (0..52).map(|_| busy("slow")).collect();
    // Clients that have sent a part of a message are not closed for others.
    let part = &insert("part").bytes[..10];
    let stalled = |_| {
        let mut client = gateway.connect();
        client.write(&[startup()]);
        client.socket.write_all(part).expect("written");
        client
    };
    let reserve: Vec<_> = (0..6).map(stalled).collect();
    gateway.wait_for_counter("clients_open", |open| open == 58);
    let mut leaving = gateway.connect();
    leaving.write(&[startup(), select("gone")]);
    drop(leaving);
    std::thread::sleep(Duration::from_millis(200));
    clients.truncate(40);
    drop(reserve);
    // A client that connects later is accepted later.
    let mut last = gateway.ready_client();
    last.write(&[select("last")]);
    assert_eq!(frame_kinds(&last.read_reply()), "TDCZ");
    let forwarded = statements.try_iter().filter(|text| text.contains("'gone'"));
    assert_eq!(forwarded.count(), 0, "the statement was forwarded");
}
