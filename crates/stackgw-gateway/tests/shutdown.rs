//! Graceful shutdown.

mod common;

use common::*;
use stackgw_gateway::reducer::{CloseReason, Effect, Input};
use stackgw_router::api::{MS, SECOND};

#[test]
fn after_sigterm_new_clients_are_accepted_for_a_while_and_open_requests_are_finished() {
    let (mut harness, busy, conn) = request_in_flight(write_query(9000));
    let idle = harness.client(2);
    let effects = harness.input(Input::Terminate);
    assert!(!effects
        .iter()
        .any(|e| matches!(e, Effect::StopListening | Effect::ClientCloseIfIdle(_))));
    let connected_after_sigterm = harness.client(3);
    let effects = harness.advance(450 * MS);
    assert!(
        !effects.contains(&Effect::StopListening),
        "new clients must be able to connect for more than 0.4 s"
    );
    let other = harness.client(4);
    harness.send(other, query(""));
    let effects = harness.advance(100 * MS);
    assert!(effects.contains(&Effect::StopListening));
    let mut effects = harness.input(Input::ListenerClosed);
    effects.extend(harness.advance(SECOND));
    // If they were closed now, clients would have no gateway to connect to where this is the only one.
    assert!(
        !effects
            .iter()
            .any(|e| matches!(e, Effect::ClientCloseIfIdle(_))),
        "idle connections must stay open while clients are served"
    );
    assert_eq!(client_replies(&harness.send(idle, query("")))[0][0], b'I');
    // Clients are served until 2 s after SIGTERM, the longest deadline, and open requests may finish for 200 ms more.
    effects.extend(harness.advance(600 * MS));
    for client in [idle, connected_after_sigterm, other] {
        assert!(
            effects.contains(&Effect::ClientCloseIfIdle(client)),
            "{client:?}"
        );
        harness.input(Input::ClientClosed(client, CloseReason::Disconnected));
    }
    assert!(
        !effects.contains(&Effect::ClientCloseIfIdle(busy)),
        "a client with an open request must not be closed"
    );
    assert!(!effects.contains(&Effect::Exit));
    let effects = harness.serve(conn, b"x");
    assert_eq!(client_replies(&effects)[0][0], b'T');
    assert!(effects.contains(&Effect::ClientCloseIfIdle(busy)));
    let effects = harness.input(Input::ClientClosed(busy, CloseReason::Disconnected));
    assert!(effects.contains(&Effect::Exit));
    assert!(effects.iter().any(|e| matches!(e, Effect::Report(_))));
}

#[test]
fn after_sigterm_the_gateway_answers_open_requests_and_exits_before_the_sigkill() {
    // The client's deadline, 9 s, is far later than the exit at the latest, 2.58 s after SIGTERM.
    let (mut harness, _, _) = request_in_flight(write_query(9000));
    harness.input(Input::Terminate);
    harness.input(Input::ListenerClosed);
    let effects = harness.advance(2 * SECOND + 600 * MS);
    assert_eq!(effects.iter().filter(|e| **e == Effect::Exit).count(), 1);
    let replies = client_replies(&effects);
    assert_eq!(replies.len(), 1);
    assert_eq!(
        sqlstate(&replies[0]).as_deref(),
        Some("58000"),
        "a write that may have run must fail with 58000"
    );
    let position = |matches: fn(&Effect) -> bool| effects.iter().position(matches);
    assert!(
        position(|e| matches!(e, Effect::ClientWrite { .. })) < position(|e| *e == Effect::Exit)
    );
}

/// A statement that waits for another one of its key has been accepted, so it must be answered even if the gateway shuts down
/// before it is sent.
#[test]
fn statements_that_wait_for_others_of_their_key_are_answered_at_shutdown() {
    let (mut harness, client, _) = request_in_flight(write_query(9000));
    for _ in 0..2 {
        harness.send(client, write_query(9000));
    }
    harness.input(Input::Terminate);
    harness.input(Input::ListenerClosed);
    let effects = harness.advance(2 * SECOND + 600 * MS);
    let codes: Vec<_> = client_replies(&effects)
        .iter()
        .filter_map(|bytes| sqlstate(bytes))
        .collect();
    assert_eq!(
        codes,
        ["58000", "57P03", "57P03"],
        "the first statement may have run, the others have not"
    );
}

/// Statements can still arrive between the last responses and the exit: from tasks that held them, or from clients that do not
/// know of the shutdown yet.
#[test]
fn requests_after_the_last_responses_are_rejected_and_the_gateway_exits_with_its_last_client() {
    let (mut harness, client, _) = request_in_flight(write_query(9000));
    harness.input(Input::Terminate);
    harness.input(Input::ListenerClosed);
    // All open requests are answered 2.42 s after SIGTERM, before the exit at 2.58 s.
    let effects = harness.advance(2 * SECOND + 430 * MS);
    assert_eq!(
        sqlstate(&client_replies(&effects)[0]).as_deref(),
        Some("58000")
    );
    assert!(
        !effects.contains(&Effect::Exit),
        "the gateway must not exit before its responses are written"
    );
    let effects = harness.send(client, read_query(900));
    assert_eq!(
        sqlstate(&client_replies(&effects)[0]).as_deref(),
        Some("57P03")
    );
    assert!(
        statements(&effects).is_empty() && opened(&effects).is_empty(),
        "a request after the last responses must not be forwarded"
    );
    assert!(
        effects.contains(&Effect::ClientCloseIfIdle(client)),
        "the client must be closed between requests"
    );
    let effects = harness.input(Input::ClientClosed(client, CloseReason::Disconnected));
    assert!(effects.contains(&Effect::Exit));
    assert!(
        !harness.advance(SECOND).contains(&Effect::Exit),
        "the gateway must exit only once"
    );
}
