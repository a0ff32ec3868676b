//! The end of a gateway under load: whatever a connection's bytes were doing just then, each statement that was read gets its one
//! answer.

mod common;

use common::gateway_common::sqlstate;
use common::gateway_process::{start_fixture, GatewayFixture};
use common::pg_connection::{insert, TIMEOUT};
use std::io::Write;
use std::time::{Duration, Instant};

/// The longest deadline of the fixture's classes.
const LONGEST_DEADLINE_MS: u64 = 2_000;
/// The last answers are due so long after the longest deadline.
const LAST_ANSWERS_AFTER_MS: u64 = 420;
/// So long a gateway may be held up.
const HELD_UP: Duration = Duration::from_millis(150);

/// Found by reading: the end answered what was in hand and ended in the same moment; statements that a client's task had read and
/// could not hand over yet went with the process.
#[test]
fn queued_statements_are_answered_before_shutdown() {
    let GatewayFixture {
        mut gateway,
        statements,
        release,
        ..
    } = start_fixture("behind");
    let mut client = gateway.ready_client();
    // One that its member never answers, and far more behind it than one client may have in hand.
    client.write(&[insert("slow")]);
    assert!(statements
        .recv_timeout(TIMEOUT)
        .expect("the statement")
        .contains("'slow'"));
    let behind = 300;
    client.write(&(0..behind).map(|_| insert("slow")).collect::<Vec<_>>());
    gateway.signal("TERM");
    let codes: Vec<_> =
        std::iter::from_fn(|| Some(client.read_reply()).filter(|answer| !answer.is_empty()))
            .map(|answer| sqlstate(&answer[0].bytes).expect("an error"))
            .collect();
    assert_eq!(codes.len(), 1 + behind, "one answer each");
    assert_eq!(codes[0], "58000", "it may have run");
    assert!(
        codes[1..].iter().all(|code| code == "57P03"),
        "they never ran"
    );
    assert!(
        statements.try_iter().next().is_none(),
        "and nothing more was sent on"
    );
    assert!(gateway.wait_for_exit().success());
    drop(release);
}

/// Clients that write on without a pause, up to the end: what was in hand is answered, what comes behind it is refused, in order.
#[test]
fn requests_in_flight_are_answered_at_shutdown_under_a_flood() {
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
            let mut socket = client.socket.try_clone().expect("its other half");
            let writer =
                std::thread::spawn(
                    move || while socket.write_all(&insert("slow").bytes).is_ok() {},
                );
            std::thread::spawn(move || {
                let first = client.read_reply();
                assert_eq!(
                    sqlstate(&first[0].bytes).as_deref(),
                    Some("58000"),
                    "it may have run"
                );
                let mut rest = 0;
                // A close over what it still writes may cut the last one off.
                while let [error, .., _] = &client.read_reply()[..] {
                    assert_eq!(sqlstate(&error.bytes).as_deref(), Some("57P03"));
                    rest += 1;
                }
                writer.join().expect("no panic");
                rest
            })
        })
        .collect();
    let rest: Vec<usize> = threads
        .into_iter()
        .map(|thread| thread.join().expect("answered"))
        .collect();
    assert!(
        rest.iter().all(|rest| *rest >= 64),
        "those in line too: {rest:?}"
    );
    assert!(gateway.wait_for_exit().success());
    assert!(
        statements.try_iter().next().is_none(),
        "nothing more was sent on"
    );
    drop(release);
}

/// A gateway may be held up for 0.15 s at any moment, also around its last answers, which it owes before it is killed.
#[test]
fn queued_statements_are_answered_when_the_gateway_is_held_up_at_its_end() {
    let offsets = [-140, -100, -50, -10, 10, 60, 110];
    let plays = offsets.map(|offset_ms| std::thread::spawn(move || hold_up_at_the_end(offset_ms)));
    let answered = plays.map(|play| play.join().expect("no panic"));
    assert_eq!(
        answered, [301; 7],
        "held up from {offsets:?} ms after the last answers are due"
    );
}

/// Holds a gateway up from this long after the last answers are due; how many statements of 301 are answered.
fn hold_up_at_the_end(offset_ms: i64) -> usize {
    let GatewayFixture {
        mut gateway,
        statements,
        release,
        ..
    } = start_fixture(&format!("held-{offset_ms}"));
    let mut client = gateway.ready_client();
    client.write(&[insert("slow")]);
    statements.recv_timeout(TIMEOUT).expect("the statement");
    client.write(&(0..300).map(|_| insert("slow")).collect::<Vec<_>>());
    gateway.signal("TERM");
    let told = Instant::now();
    let due_ms = LONGEST_DEADLINE_MS + LAST_ANSWERS_AFTER_MS;
    let holds_at = Duration::from_millis(due_ms.saturating_add_signed(offset_ms));
    std::thread::sleep(holds_at.saturating_sub(told.elapsed()));
    gateway.signal("STOP");
    std::thread::sleep(HELD_UP);
    gateway.signal("CONT");
    let answers = std::iter::from_fn(|| Some(client.read_reply()).filter(|a| a.len() == 2));
    let answered = answers.count();
    assert!(gateway.wait_for_exit().success());
    drop(release);
    answered
}
