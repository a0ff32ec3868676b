//! Requests of another frontend than the PostgreSQL one: they are decided in the same way, and each is completed once.

mod common;

use common::*;
use stackgw_gateway::reducer::{CallId, ConnectionId, Effect, FinalResponse, Input};
use stackgw_router::api::{MS, SECOND};

fn completed_calls(effects: &[Effect]) -> Vec<(CallId, FinalResponse)> {
    let completed = effects.iter().filter_map(|effect| match effect {
        Effect::CallCompleted(call, response) => Some((*call, response.clone())),
        _ => None,
    });
    completed.collect()
}

/// Starts a call and returns the connection that its request is in flight on.
fn call_in_flight(
    harness: &mut ReducerHarness,
    call: u64,
    frame: stackgw_gateway::pg::Frame,
) -> ConnectionId {
    let mut effects = harness.input(Input::Call(CallId(call), frame, false));
    effects.extend(harness.advance(400 * MS));
    statements(&effects)
        .first()
        .map(|(conn, _)| *conn)
        .expect("an attempt was sent")
}

#[test]
fn a_call_is_completed_once_with_the_members_row() {
    let mut harness = ReducerHarness::new(&three_members());
    let conn = call_in_flight(&mut harness, 7, read_query(2_000));
    let completed = completed_calls(&harness.serve(conn, b"v"));
    let expected: Vec<u8> = row(b"v").into_iter().flat_map(|f| f.bytes).collect();
    assert_eq!(completed, [(CallId(7), FinalResponse::Served(expected))]);
    assert!(completed_calls(&harness.advance(3 * SECOND)).is_empty());
    assert_eq!(harness.reducer.counters().answered_served, 1);
}

#[test]
fn a_write_whose_connection_breaks_fails_and_is_not_retried() {
    let mut harness = ReducerHarness::new(&three_members());
    let conn = call_in_flight(&mut harness, 7, write_query(2_000));
    let mut effects = harness.disconnect(conn);
    effects.extend(harness.advance(3 * SECOND));
    assert!(
        matches!(
            completed_calls(&effects)[..],
            [(CallId(7), FinalResponse::Failed(_))]
        ),
        "{:?}",
        completed_calls(&effects)
    );
    assert!(statements(&effects).is_empty());
}

#[test]
fn a_call_that_cannot_be_served_is_rejected_with_a_retry_after() {
    let mut harness = ReducerHarness::new(&list_text(1, true, &[entry(1, "ready", "leader")]));
    harness.auto_connect = false;
    let mut effects = harness.input(Input::Call(CallId(7), read_query(900), false));
    effects.extend(harness.advance(SECOND));
    let completed = completed_calls(&effects);
    assert!(
        matches!(completed[..], [(CallId(7), FinalResponse::Rejected(_, Some(wait)))] if wait > 0),
        "{completed:?}"
    );
    let mut empty = ReducerHarness::new("null");
    let completed = completed_calls(&empty.input(Input::Call(CallId(8), read_query(900), false)));
    assert!(
        matches!(completed[..], [(CallId(8), FinalResponse::Unavailable(_))]),
        "{completed:?}"
    );
}

#[test]
fn a_malformed_call_is_completed_as_malformed() {
    let mut harness = ReducerHarness::new(&three_members());
    for text in [
        "SELECT 1",
        "SELECT val FROM state WHERE uid = 'k' /* id=z,c=nothing,d=5,cluster=2 */",
    ] {
        let completed = completed_calls(&harness.input(Input::Call(CallId(7), query(text), false)));
        assert!(
            matches!(completed[..], [(CallId(7), FinalResponse::Malformed(_))]),
            "{completed:?}"
        );
    }
    assert_eq!(harness.reducer.counters().malformed, 2);
}

#[test]
fn a_cancelled_call_is_not_completed_and_leaves_no_state() {
    let mut harness = ReducerHarness::new(&three_members());
    let conn = call_in_flight(&mut harness, 7, read_query(2_000));
    harness.input(Input::CallCancelled(CallId(7)));
    harness.input(Input::CallCancelled(CallId(7)));
    let mut effects = harness.serve(conn, b"v");
    effects.extend(harness.advance(3 * SECOND));
    assert!(completed_calls(&effects).is_empty());
    assert_eq!(
        (
            harness.reducer.counters().buffered_bytes,
            harness.reducer.counters().abandoned
        ),
        (0, 1)
    );
}

/// Memory for the statements of calls was bounded only by their number, so many large ones exceeded the platform's memory
/// limit.
#[test]
fn large_calls_are_rejected_once_the_statement_bytes_are_used_up() {
    let mut config = config(&three_members());
    config.limits.client_bytes = 1 << 20;
    let mut harness = ReducerHarness::with(config);
    harness.member_writes_blocked = true;
    let large = || {
        let (id, key) = (new_id(), "k".repeat(60 << 10));
        query(&format!(
            "SELECT val FROM state WHERE uid = '{key}' /* id={id},c=look,d=900,cluster=2 */"
        ))
    };
    // A call takes about 120 KiB, for its text and once more for its key. Once three quarters of 1 MiB are used, large calls
    // are rejected.
    let mut rejected = 0;
    for call in 0..200 {
        let effects = harness.input(Input::Call(CallId(call), large(), false));
        let is_rejected = |e: &Effect| matches!(e, Effect::CallCompleted(_, FinalResponse::Rejected(text, None)) if text.contains("bytes"));
        rejected += usize::from(effects.iter().any(is_rejected));
    }
    assert!(rejected > 180, "{rejected} of 200 calls were rejected");
    let buffered = harness.reducer.counters().buffered_bytes;
    assert!(buffered <= 1 << 20, "{buffered} bytes are buffered");
    // There is still capacity for a small call.
    let effects = harness.input(Input::Call(CallId(900), read_query(900), false));
    assert!(
        !effects
            .iter()
            .any(|e| matches!(e, Effect::CallCompleted(..))),
        "{effects:?}"
    );
}
