//! Clients that leave, in every way in which they can, while what they asked for waits: nothing is sent on for them.

mod common;

use common::gateway_common::{list_text, message, query, sqlstate, startup};
use common::gateway_process::{start_fixture_with, GatewayFixture, GatewayProcess};
use common::pg_connection::{frame_kinds, insert, PgConnection};
use common::scripted_list_service::start_updating_list_service;
use std::io::Write;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Two replicas and no primary, so that writes wait, and what adds the primary to the list.
fn without_primary(name: &str) -> (GatewayFixture, impl FnOnce() -> Sender<String>) {
    let (tell, updates) = channel();
    let fixture = start_fixture_with(name, |entries| {
        start_updating_list_service(list_text(1, true, &entries[1..]), updates)
    });
    let primary = list_text(2, false, &fixture.entries[..1]);
    // The agent ends with the last sender, and would take what it has just written along.
    let comes = move || {
        tell.send(primary).expect("the watch");
        tell
    };
    (fixture, comes)
}

/// A client that asks for a write that waits, and then leaves.
struct Leaver {
    way: &'static str,
    sends: Vec<u8>,
    /// Whether it reads its replies; a close over what is unread is a reset.
    reads: bool,
    leaves: fn(PgConnection),
}

fn half_closes(connection: PgConnection) {
    connection
        .socket
        .shutdown(Shutdown::Write)
        .expect("half-closed");
    std::mem::forget(connection);
}

fn leavers() -> Vec<Leaver> {
    let gone = || insert("gone").bytes;
    let many = |n| -> Vec<u8> {
        (0..n)
            .flat_map(|_| insert(&format!("gone{}", "x".repeat(2000))).bytes)
            .collect()
    };
    let leaver = |way, sends, leaves| Leaver {
        way,
        sends,
        reads: true,
        leaves,
    };
    vec![
        leaver("closes", gone(), drop),
        leaver("half-closes", gone(), half_closes),
        leaver(
            "closes behind more statements",
            [gone(), gone(), gone()].concat(),
            drop,
        ),
        leaver(
            "closes inside a message",
            [&gone()[..], &gone()[..40]].concat(),
            drop,
        ),
        // More than is taken, all of which is read ahead.
        leaver("closes behind what is read ahead", many(300), drop),
        leaver(
            "half-closes behind what is read ahead",
            many(300),
            half_closes,
        ),
        leaver("says that it ends", gone(), |mut connection| {
            connection.write(&[message(b'X', b"")])
        }),
        Leaver {
            reads: false,
            ..leaver("resets", gone(), drop)
        },
        // Somewhat more than is read ahead, the rest waits in the kernel: nothing is read of it any more when it leaves.
        Leaver {
            reads: false,
            ..leaver("resets behind more than is read", many(350), drop)
        },
    ]
}

/// Clients that send what is no statement without a pause, and come again when they are let go.
fn flood(gateway: &GatewayProcess, clients: usize) -> (Arc<AtomicBool>, Vec<JoinHandle<()>>) {
    let over = Arc::new(AtomicBool::new(false));
    let (address, mut threads) = (gateway.address, Vec::new());
    for _ in 0..clients {
        let over = over.clone();
        threads.push(std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let Ok(mut socket) = std::net::TcpStream::connect(address) else {
                    continue;
                };
                let _ = socket.write_all(&startup().bytes);
                let bytes = query("SELECT 1").bytes.repeat(200);
                while !over.load(Ordering::Relaxed) && socket.write_all(&bytes).is_ok() {}
            }
        }));
    }
    (over, threads)
}

fn nothing_begins_for_the_gone(name: &str, flooding: usize) {
    let (
        GatewayFixture {
            gateway,
            statements,
            ..
        },
        primary_comes,
    ) = without_primary(name);
    let mut stays = gateway.ready_client();
    let (over, threads) = flood(&gateway, flooding);
    let mut here = Vec::new();
    for Leaver {
        way,
        sends,
        reads,
        leaves,
    } in leavers()
    {
        let mut connection = gateway.connect();
        connection.write(&[startup()]);
        if reads {
            connection.read_reply();
        }
        connection.socket.write_all(&sends).expect(way);
        here.push((leaves, connection));
    }
    let all = here.len() as u64;
    if flooding == 0 {
        gateway.wait_for_counter("taken", |n| n == all);
        // Two have all that they sent read ahead, the third as much as is read of one.
        gateway.wait_for_counter("read_ahead_bytes", |n| n > 2 * 498_000 + 4 * (136 << 10));
    }
    here.into_iter()
        .for_each(|(leaves, connection)| leaves(connection));
    if flooding == 0 {
        // Each is seen to leave, whatever of it has not been read.
        gateway.wait_for_counter("abandoned", |n| n == all);
    } else {
        // What they asked may not have been taken by now; none of them is here any more.
        gateway.wait_for_counter("clients_open", |n| n <= flooding as u64 + 1);
    }
    over.store(true, Ordering::Relaxed);
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("no panic"));
    let _agent = primary_comes();
    stays.write(&[insert("here")]);
    assert_eq!(frame_kinds(&stays.read_reply()), "TDCZ");
    let sent: Vec<_> = statements.try_iter().collect();
    assert_eq!(sent.len(), 1, "{sent:?}");
    assert!(sent[0].contains("'here'"));
}

/// Found by reading: a client's end was read only behind its last byte, and those whose bytes waited were never seen to leave.
#[test]
fn no_request_is_forwarded_when_its_client_has_left() {
    nothing_begins_for_the_gone("left", 0);
}

#[test]
fn no_request_is_forwarded_when_its_client_has_left_during_a_flood() {
    nothing_begins_for_the_gone("left-flood", 12);
}

/// One that cancels and stays has given up that request, and no other.
#[test]
fn no_request_is_forwarded_when_it_was_cancelled() {
    let (
        GatewayFixture {
            gateway,
            statements,
            ..
        },
        primary_comes,
    ) = without_primary("cancelled");
    // It has the list once it says so.
    drop(gateway.ready_client());
    let mut client = gateway.connect();
    client.write(&[startup()]);
    let key = client
        .read_reply()
        .into_iter()
        .find(|f| f.kind == b'K')
        .expect("the key");
    client.write(&[insert("gone"), insert("gone-too")]);
    gateway.wait_for_counter("taken", |n| n == 2);
    let mut by = gateway.connect();
    let _ = by
        .socket
        .write_all(&[&[0, 0, 0, 16, 4, 210, 22, 46], key.body()].concat());
    assert!(by.next().is_none(), "no reply to a cancel");
    assert_eq!(
        sqlstate(&client.read_reply()[0].bytes).as_deref(),
        Some("57014")
    );
    let _agent = primary_comes();
    assert_eq!(
        frame_kinds(&client.read_reply()),
        "TDCZ",
        "the other one is served"
    );
    let sent: Vec<_> = statements.try_iter().collect();
    assert!(
        sent.len() == 1 && sent[0].contains("'gone-too'"),
        "{sent:?}"
    );
}

/// One that sends more than is read of it and closes: its end stands behind bytes that the gateway does not read.
#[test]
fn no_request_is_forwarded_when_its_client_has_left_behind_more_than_is_read() {
    let (
        GatewayFixture {
            gateway,
            statements,
            ..
        },
        primary_comes,
    ) = without_primary("left-more");
    let mut stays = gateway.ready_client();
    let mut leaver = gateway.ready_client();
    let nonblocking = leaver.socket.set_nonblocking(true);
    nonblocking.expect("non-blocking");
    let bytes = insert(&format!("gone{}", "x".repeat(60 << 10))).bytes;
    // All that the gateway and the kernel take of it.
    let mut read_ahead = None;
    loop {
        let has_written = leaver.socket.write(&bytes).is_ok();
        let before = read_ahead.replace(gateway.counter("read_ahead_bytes"));
        if !has_written && before == read_ahead {
            break;
        }
    }
    leaver.socket.shutdown(Shutdown::Both).expect("closed");
    drop(leaver);
    let left = Instant::now();
    while left.elapsed() < Duration::from_millis(150) {
        gateway.counter("abandoned");
    }
    let _agent = primary_comes();
    stays.write(&[insert("here")]);
    assert_eq!(frame_kinds(&stays.read_reply()), "TDCZ");
    let sent: Vec<_> = statements.try_iter().collect();
    let gone = sent.iter().filter(|text| text.contains("'gone")).count();
    assert_eq!(gone, 0, "statements of a client that had left");
}
