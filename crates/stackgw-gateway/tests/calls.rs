//! Requests that come by another front than our first protocol: the same decisions, told once.

mod common;

use common::*;
use stackgw_gateway::reducer::{CallId, ConnectionId, Effect, FinalResponse, Input};
use stackgw_router::api::{MS, SECOND};

fn completed_calls(effects: &[Effect]) -> Vec<(CallId, FinalResponse)> {
    let ended = effects.iter().filter_map(|effect| match effect {
        Effect::CallCompleted(call, ended) => Some((*call, ended.clone())),
        _ => None,
    });
    ended.collect()
}

/// A call that is out on a connection.
fn call_in_flight(rig: &mut Rig, call: u64, frame: stackgw_gateway::pg::Frame) -> ConnectionId {
    let mut effects = rig.input(Input::Call(CallId(call), frame, false));
    effects.extend(rig.pass(400 * MS));
    statements(&effects)
        .first()
        .map(|(conn, _)| *conn)
        .expect("an attempt")
}

#[test]
fn a_call_is_served_with_the_members_row_once() {
    let mut rig = Rig::new(&three());
    let conn = call_in_flight(&mut rig, 7, read(2_000));
    let told = completed_calls(&rig.serve(conn, b"v"));
    let wanted: Vec<u8> = row(b"v").into_iter().flat_map(|f| f.bytes).collect();
    assert_eq!(told, [(CallId(7), FinalResponse::Served(wanted))]);
    assert!(completed_calls(&rig.pass(3 * SECOND)).is_empty());
    assert_eq!(rig.reducer.counters().answered_served, 1);
}

#[test]
fn a_write_whose_connection_breaks_is_failed_and_never_sent_again() {
    let mut rig = Rig::new(&three());
    let conn = call_in_flight(&mut rig, 7, buy(2_000));
    let mut effects = rig.lose(conn);
    effects.extend(rig.pass(3 * SECOND));
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
fn what_cannot_be_served_is_refused_with_a_time_to_come_back() {
    let mut rig = Rig::new(&list_text(1, true, &[entry(1, "ready", "leader")]));
    rig.connects = false;
    let mut effects = rig.input(Input::Call(CallId(7), read(900), false));
    effects.extend(rig.pass(SECOND));
    let told = completed_calls(&effects);
    assert!(
        matches!(told[..], [(CallId(7), FinalResponse::Rejected(_, Some(wait)))] if wait > 0),
        "{told:?}"
    );
    let mut empty = Rig::new("null");
    let told = completed_calls(&empty.input(Input::Call(CallId(8), read(900), false)));
    assert!(
        matches!(told[..], [(CallId(8), FinalResponse::Unavailable(_))]),
        "{told:?}"
    );
}

#[test]
fn what_is_malformed_is_told_so() {
    let mut rig = Rig::new(&three());
    for text in [
        "SELECT 1",
        "SELECT val FROM state WHERE uid = 'k' /* id=z,c=nothing,d=5,cluster=2 */",
    ] {
        let told = completed_calls(&rig.input(Input::Call(CallId(7), query(text), false)));
        assert!(
            matches!(told[..], [(CallId(7), FinalResponse::Malformed(_))]),
            "{told:?}"
        );
    }
    assert_eq!(rig.reducer.counters().malformed, 2);
}

#[test]
fn a_call_that_is_gone_is_told_nothing_and_leaves_nothing() {
    let mut rig = Rig::new(&three());
    let conn = call_in_flight(&mut rig, 7, read(2_000));
    rig.input(Input::CallCancelled(CallId(7)));
    rig.input(Input::CallCancelled(CallId(7)));
    let mut effects = rig.serve(conn, b"v");
    effects.extend(rig.pass(3 * SECOND));
    assert!(completed_calls(&effects).is_empty());
    assert_eq!(
        (
            rig.reducer.counters().buffered_bytes,
            rig.reducer.counters().abandoned
        ),
        (0, 1)
    );
}

/// Statements of calls took memory without a bound but their number: a flood of large ones was over what the platform grants.
#[test]
fn large_calls_are_rejected_once_the_bytes_of_statements_are_taken() {
    let mut config = config(&three());
    config.limits.client_bytes = 1 << 20;
    let mut rig = Rig::with(config);
    rig.members_stuck = true;
    let large = || {
        let (id, key) = (new_id(), "k".repeat(60 << 10));
        query(&format!(
            "SELECT val FROM state WHERE uid = '{key}' /* id={id},c=look,d=900,cluster=2 */"
        ))
    };
    let mut rejected = 0;
    for call in 0..200 {
        let effects = rig.input(Input::Call(CallId(call), large(), false));
        let is_rejected = |e: &Effect| matches!(e, Effect::CallCompleted(_, FinalResponse::Rejected(text, None)) if text.contains("bytes"));
        rejected += usize::from(effects.iter().any(is_rejected));
    }
    assert!(rejected > 180, "{rejected} at once");
    let buffered = rig.reducer.counters().buffered_bytes;
    assert!(buffered <= 1 << 20, "{buffered} bytes");
    // A small one finds room.
    let effects = rig.input(Input::Call(CallId(900), read(900), false));
    assert!(
        !effects
            .iter()
            .any(|e| matches!(e, Effect::CallCompleted(..))),
        "{effects:?}"
    );
}
