//! Shutdown of a gateway under load: each statement that the gateway has read gets exactly one answer.

mod common;

use common::gateway_common::{query, sqlstate};
use common::gateway_process::{start_fixture, GatewayFixture};
use common::pg_connection::{frame_kinds, insert, TIMEOUT};
use std::io::Write;
use std::time::{Duration, Instant};

/// The longest deadline of the fixture's classes.
const LONGEST_DEADLINE_MS: u64 = 2_000;
/// How long after the longest deadline a gateway that got SIGTERM begins to close clients (`Limits::shutdown_serve`).
const CLOSE_CLIENTS_AFTER_MS: u64 = 0;
/// How long after the longest deadline a gateway that got SIGTERM answers all requests that are still open, and rejects all later
/// ones at once (`Limits::shutdown_reject`).
const REJECT_REMAINING_AFTER_MS: u64 = 200;
/// Further rejections that each flooding client must get: as many as the statements of one client that the gateway serves at once
/// (`Limits::max_pipelined_statements`), so that statements which were not accepted before are among them.
const MIN_REJECTIONS: usize = 64;
/// SIGKILL comes this long after SIGTERM at the earliest.
const KILLED_AFTER: Duration = Duration::from_millis(LONGEST_DEADLINE_MS + 700);
/// Clients that send many statements at once, and how many each sends.
const PIPELINING_CLIENTS: usize = 24;
const PIPELINED_STATEMENTS: usize = 500;
/// A pause of the gateway's process of this length must not cost an answer, whenever it begins.
const PAUSE: Duration = Duration::from_millis(150);

/// Regression: the process exited as soon as the requests in flight were answered. Statements that the gateway had read from the
/// client, but had not yet passed to its reducer, were lost.
#[test]
fn queued_statements_are_answered_before_shutdown() {
    let GatewayFixture {
        mut gateway,
        statements,
        release,
        ..
    } = start_fixture("queued");
    let mut client = gateway.ready_client();
    // One statement that its member never answers, followed by far more than one client may have in flight.
    client.write(&[insert("slow")]);
    assert!(statements
        .recv_timeout(TIMEOUT)
        .expect("the statement")
        .contains("'slow'"));
    let queued = 300;
    client.write(&(0..queued).map(|_| insert("slow")).collect::<Vec<_>>());
    gateway.signal("TERM");
    let codes: Vec<_> =
        std::iter::from_fn(|| Some(client.read_reply()).filter(|answer| !answer.is_empty()))
            .map(|answer| sqlstate(&answer[0].bytes).expect("an error"))
            .collect();
    assert_eq!(codes.len(), 1 + queued, "each statement gets one answer");
    assert_eq!(
        codes[0], "58000",
        "the statement that a member received may have run"
    );
    assert!(
        codes[1..].iter().all(|code| code == "57P03"),
        "the queued statements are rejected as not run: {codes:?}"
    );
    assert!(
        statements.try_iter().next().is_none(),
        "a statement other than those in flight was forwarded"
    );
    assert!(gateway.wait_for_exit().success());
    drop(release);
}

/// Clients keep sending statements until the gateway closes their connections: the request in flight of each is answered, and the
/// later ones are rejected, in order.
#[test]
fn requests_in_flight_are_answered_at_shutdown_while_clients_keep_sending() {
    let GatewayFixture {
        mut gateway,
        statements,
        release,
        ..
    } = start_fixture("write-on");
    let mut clients: Vec<_> = (0..4).map(|_| gateway.ready_client()).collect();
    for client in &mut clients {
        client.write(&[insert("slow")]);
    }
    for _ in 0..clients.len() {
        assert!(statements
            .recv_timeout(TIMEOUT)
            .expect("the statement")
            .contains("'slow'"));
    }
    gateway.signal("TERM");
    let threads: Vec<_> = clients
        .into_iter()
        .map(|mut client| {
            let mut socket = client.socket.try_clone().expect("a clone of the socket");
            let writer =
                std::thread::spawn(
                    move || while socket.write_all(&insert("slow").bytes).is_ok() {},
                );
            std::thread::spawn(move || {
                let first = client.read_reply();
                assert_eq!(
                    sqlstate(&first[0].bytes).as_deref(),
                    Some("58000"),
                    "the statement that a member received may have run"
                );
                let mut rejected = 0;
                // Closing the connection while the client still writes may truncate the last answer.
                while let [error, .., _] = &client.read_reply()[..] {
                    // A later statement is rejected as not run.
                    assert_eq!(sqlstate(&error.bytes).as_deref(), Some("57P03"));
                    rejected += 1;
                }
                writer.join().expect("no panic");
                rejected
            })
        })
        .collect();
    let counts: Vec<usize> = threads
        .into_iter()
        .map(|thread| thread.join().expect("the expected answers"))
        .collect();
    assert!(
        counts.iter().all(|count| *count >= MIN_REJECTIONS),
        "too few later statements were rejected, by client: {counts:?}"
    );
    assert!(gateway.wait_for_exit().success());
    assert!(
        statements.try_iter().next().is_none(),
        "a statement other than those in flight was forwarded"
    );
    drop(release);
}

/// The platform may pause a gateway for 0.15 s at any time, also around the time at which it answers the remaining requests. It
/// must still send these answers before it exits or is killed.
#[test]
fn queued_statements_are_answered_when_the_gateway_is_held_up_at_its_end() {
    // From before clients are closed, over the rejection of what remains, to the exit.
    let offsets: Vec<i64> = (-350..=400).step_by(25).collect();
    let pause = |offset_ms: &i64| {
        let offset_ms = *offset_ms;
        std::thread::spawn(move || pause_at_shutdown(offset_ms))
    };
    let runs: Vec<_> = offsets.iter().map(pause).collect();
    let answered = runs.into_iter().map(|run| run.join().expect("no panic"));
    let answered: Vec<usize> = answered.collect();
    assert!(
        answered.iter().all(|count| *count == 301),
        "answers of 301 statements, for pauses that begin {offsets:?} ms after the remaining requests are to be answered: {answered:?}"
    );
}

/// Regression: what had been sent behind the statements that a gateway serves at once was rejected only shortly before the exit, one
/// write at a time, and most of thousands of statements got no answer.
#[test]
fn thousands_of_queued_statements_are_answered_before_shutdown() {
    let GatewayFixture {
        mut gateway,
        statements,
        release,
        ..
    } = start_fixture("thousands");
    let clients = (0..PIPELINING_CLIENTS).map(|_| gateway.ready_client());
    let clients: Vec<_> = clients.collect();
    let counting: Vec<_> = clients
        .into_iter()
        .map(|mut client| {
            let pipelined: Vec<_> = (0..PIPELINED_STATEMENTS).map(|_| insert("slow")).collect();
            let mut writer = client.socket.try_clone().expect("a clone of the socket");
            let bytes: Vec<u8> = pipelined.into_iter().flat_map(|f| f.bytes).collect();
            std::thread::spawn(move || writer.write_all(&bytes).expect("written"));
            std::thread::spawn(move || {
                let answers = std::iter::from_fn(|| Some(client.read_reply()));
                answers.take_while(|answer| answer.len() == 2).count()
            })
        })
        .collect();
    statements.recv_timeout(TIMEOUT).expect("a statement");
    std::thread::sleep(Duration::from_millis(300));
    gateway.signal("TERM");
    let terminated_at = Instant::now();
    let answered: Vec<usize> = counting
        .into_iter()
        .map(|counting| counting.join().expect("no panic"))
        .collect();
    assert_eq!(answered, vec![PIPELINED_STATEMENTS; PIPELINING_CLIENTS]);
    assert!(gateway.wait_for_exit().success());
    let ended_after = terminated_at.elapsed();
    assert!(ended_after < KILLED_AFTER, "{ended_after:?}");
    drop(release);
}

/// Pauses a gateway, beginning at this offset from the time at which it answers the remaining requests; returns how many of 301
/// statements are answered.
fn pause_at_shutdown(offset_ms: i64) -> usize {
    let GatewayFixture {
        mut gateway,
        statements,
        release,
        ..
    } = start_fixture(&format!("paused-{offset_ms}"));
    let mut client = gateway.ready_client();
    client.write(&[insert("slow")]);
    statements.recv_timeout(TIMEOUT).expect("the statement");
    client.write(&(0..300).map(|_| insert("slow")).collect::<Vec<_>>());
    gateway.signal("TERM");
    let terminated_at = Instant::now();
    let due_ms = LONGEST_DEADLINE_MS + REJECT_REMAINING_AFTER_MS;
    let pause_after = Duration::from_millis(due_ms.saturating_add_signed(offset_ms));
    std::thread::sleep(pause_after.saturating_sub(terminated_at.elapsed()));
    gateway.signal("STOP");
    std::thread::sleep(PAUSE);
    gateway.signal("CONT");
    let answers = std::iter::from_fn(|| Some(client.read_reply()).filter(|a| a.len() == 2));
    let answered = answers.count();
    assert!(gateway.wait_for_exit().success());
    drop(release);
    answered
}

/// Regression: the answer to the first of several commands in one segment closed their connection while clients were being closed,
/// and the others got no answer.
#[test]
fn all_commands_of_a_segment_are_answered_while_clients_are_being_closed() {
    let GatewayFixture { gateway, .. } = start_fixture("segment");
    let mut client = gateway.ready_client();
    let started = Instant::now();
    let wait_until = |ms| {
        let at = started + Duration::from_millis(ms);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    gateway.signal("TERM");
    gateway.wait_for_line("shutting down, ");
    // The segment arrives while the process is paused, and is read once clients are to be closed.
    wait_until(LONGEST_DEADLINE_MS - 100);
    gateway.signal("STOP");
    client.write(&[query(""), query(""), query("")]);
    wait_until(LONGEST_DEADLINE_MS + CLOSE_CLIENTS_AFTER_MS + 50);
    gateway.signal("CONT");
    let replies: Vec<_> = (0..3).map(|_| frame_kinds(&client.read_reply())).collect();
    assert_eq!(replies, ["IZ", "IZ", "IZ"]);
}
