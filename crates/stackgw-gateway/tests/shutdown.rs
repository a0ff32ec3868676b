//! Graceful shutdown.

mod common;

use common::*;
use stackgw_gateway::reducer::{CloseReason, Effect, Input};
use stackgw_router::api::{MS, SECOND};

#[test]
fn sigterm_takes_new_clients_for_a_while_finishes_what_was_taken_and_ends() {
    let (mut rig, busy, conn) = request_in_flight(buy(9000));
    let idle = rig.client(2);
    let effects = rig.input(Input::Terminate);
    assert!(!effects
        .iter()
        .any(|e| matches!(e, Effect::StopListening | Effect::ClientCloseIfIdle(_))));
    let late = rig.client(3);
    let effects = rig.pass(450 * MS);
    assert!(
        !effects.contains(&Effect::StopListening),
        "new clients come for 0.4 s"
    );
    let other = rig.client(4);
    rig.ask(other, query(""));
    let effects = rig.pass(100 * MS);
    assert!(effects.contains(&Effect::StopListening));
    let mut effects = rig.input(Input::ListenerClosed);
    effects.extend(rig.pass(SECOND));
    // Found on sockets: closed then, they would have nobody to go to where this gateway is the only one.
    assert!(
        !effects
            .iter()
            .any(|e| matches!(e, Effect::ClientCloseIfIdle(_))),
        "connections are kept and served"
    );
    assert_eq!(answers(&rig.ask(idle, query("")))[0][0], b'I');
    effects.extend(rig.pass(700 * MS));
    for client in [idle, late, other] {
        assert!(
            effects.contains(&Effect::ClientCloseIfIdle(client)),
            "{client:?}"
        );
        rig.input(Input::ClientClosed(client, CloseReason::Disconnected));
    }
    assert!(
        !effects.contains(&Effect::ClientCloseIfIdle(busy)),
        "its request is in hand"
    );
    assert!(!effects.contains(&Effect::Exit));
    let effects = rig.serve(conn, b"x");
    assert_eq!(answers(&effects)[0][0], b'T');
    assert!(effects.contains(&Effect::ClientCloseIfIdle(busy)));
    let effects = rig.input(Input::ClientClosed(busy, CloseReason::Disconnected));
    assert!(effects.contains(&Effect::Exit));
    assert!(effects.iter().any(|e| matches!(e, Effect::Report(_))));
}

#[test]
fn sigterm_ends_the_gateway_before_it_would_be_killed_and_answers_what_is_left() {
    // The client waits far longer than a SIGKILL would.
    let (mut rig, _, _) = request_in_flight(buy(9000));
    rig.input(Input::Terminate);
    rig.input(Input::ListenerClosed);
    let effects = rig.pass(2 * SECOND + 600 * MS);
    assert_eq!(effects.iter().filter(|e| **e == Effect::Exit).count(), 1);
    let answers = answers(&effects);
    assert_eq!(answers.len(), 1);
    assert_eq!(
        sqlstate(&answers[0]).as_deref(),
        Some("58000"),
        "it may have run"
    );
    let at = |wanted: fn(&Effect) -> bool| effects.iter().position(wanted);
    assert!(at(|e| matches!(e, Effect::ClientWrite { .. })) < at(|e| *e == Effect::Exit));
}

/// What waits behind another of its key has been taken too; that its turn comes with the end is no reason for silence.
#[test]
fn the_end_answers_statements_that_wait_for_others_of_their_key() {
    let (mut rig, client, _) = request_in_flight(buy(9000));
    for _ in 0..2 {
        rig.ask(client, buy(9000));
    }
    rig.input(Input::Terminate);
    rig.input(Input::ListenerClosed);
    let effects = rig.pass(2 * SECOND + 600 * MS);
    let codes: Vec<_> = answers(&effects)
        .iter()
        .filter_map(|bytes| sqlstate(bytes))
        .collect();
    assert_eq!(
        codes,
        ["58000", "57P03", "57P03"],
        "the first may have run, the others never did"
    );
}

/// Between the last answers and the end statements still come: from tasks that held them, or from clients that were not told yet.
#[test]
fn what_is_asked_after_the_last_answers_is_refused_and_the_end_comes_with_the_last_client() {
    let (mut rig, client, _) = request_in_flight(buy(9000));
    rig.input(Input::Terminate);
    rig.input(Input::ListenerClosed);
    let effects = rig.pass(2 * SECOND + 430 * MS);
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("58000"));
    assert!(
        !effects.contains(&Effect::Exit),
        "what was written leaves first"
    );
    let effects = rig.ask(client, read(900));
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("57P03"));
    assert!(
        statements(&effects).is_empty() && opened(&effects).is_empty(),
        "nothing is sent on"
    );
    assert!(
        effects.contains(&Effect::ClientCloseIfIdle(client)),
        "it is closed between requests, as before"
    );
    let effects = rig.input(Input::ClientClosed(client, CloseReason::Disconnected));
    assert!(effects.contains(&Effect::Exit));
    assert!(!rig.pass(SECOND).contains(&Effect::Exit), "once");
}
