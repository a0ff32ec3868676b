//! Requests from a client's statement to its response: attempts, retries, limits and deadlines.

mod common;

use common::*;
use stackgw_gateway::pg::write;
use stackgw_gateway::reducer::{ClientId, CloseReason, Effect, Input};
use stackgw_router::api::{MS, SECOND};

#[test]
fn a_statement_passes_as_it_came_but_for_its_time() {
    let mut rig = Rig::new(&three());
    let client = rig.client(1);
    let came = buy(700);
    let mut effects = rig.ask(client, came.clone());
    effects.extend(rig.pass(60 * MS));
    let (_, text) = &statements(&effects)[0];
    let (before, rest) = text.split_once(",d=").expect("its time");
    let (wait, after) = rest.split_once(',').expect("more");
    let wait: u64 = wait.parse().expect("a number");
    assert!((600..=700).contains(&wait), "{wait}");
    let came = String::from_utf8(came.body().to_vec()).expect("text");
    assert!(came.starts_with(&format!("{before},d=700,")), "{came}");
    assert_eq!(after, "cluster=2 */");
}

#[test]
fn a_row_is_passed_on_as_it_came_in_one_write_and_the_connection_is_used_again() {
    let (mut rig, client, conn) = request_in_flight(read(900));
    let effects = rig.serve(conn, b"\x01\0\xff");
    let mut wanted: Vec<u8> = row(b"\x01\0\xff")
        .into_iter()
        .flat_map(|f| f.bytes)
        .collect();
    write::ready(&mut wanted);
    assert_eq!(answers(&effects), [wanted]);
    let served_by = conn;
    // All members served once, the one that served first is asked again over its connection.
    let mut reused = false;
    for _ in 0..6 {
        let mut effects = rig.ask(client, read(900));
        effects.extend(rig.pass(20 * MS));
        let (conn, _) = statements(&effects)[0].clone();
        reused |= conn == served_by;
        assert_eq!(answers(&rig.serve(conn, b"x")).len(), 1);
    }
    assert!(reused, "a connection that served is not used again");
}

#[test]
fn a_miss_or_a_full_member_leads_to_another_and_the_client_sees_only_the_row() {
    for code in ["72000", "53300"] {
        let (mut rig, _, conn) = request_in_flight(read(900));
        let mut effects = rig.reply(conn, vec![error(code), ready()]);
        effects.extend(rig.pass(100 * MS));
        assert!(answers(&effects).is_empty(), "{code} reached the client");
        let (next, _) = statements(&effects)
            .first()
            .cloned()
            .expect("another attempt");
        assert_ne!(next, conn);
        assert_eq!(answers(&rig.serve(next, b"x"))[0][0], b'T');
    }
}

#[test]
fn a_write_that_may_have_run_fails_and_one_that_never_ran_may_be_refused() {
    let (mut rig, _, conn) = request_in_flight(buy(900));
    let effects = rig.lose(conn);
    assert_eq!(
        sqlstate(&answers(&effects)[0]).as_deref(),
        Some("58000"),
        "written whole: it may have run"
    );
    assert_eq!(rig.reducer.counters().ended_reset, 1);

    let mut rig = Rig::new(&three());
    rig.members_stuck = true;
    let client = rig.client(1);
    let mut effects = rig.ask(client, buy(900));
    effects.extend(rig.pass(20 * MS));
    let (conn, _) = statements(&effects)[0];
    rig.lose(conn);
    assert_eq!(
        rig.reducer.counters().ended_no_connection,
        1,
        "its last byte was not written: it never ran"
    );
    let effects = rig.pass(950 * MS);
    let code = sqlstate(&answers(&effects)[0]);
    assert_eq!(
        code.as_deref(),
        Some("53300"),
        "it never ran, so the client may try again"
    );
}

#[test]
fn an_error_of_a_member_ends_a_write_as_failed() {
    let (mut rig, _, conn) = request_in_flight(buy(900));
    let effects = rig.reply(conn, vec![error("XX000"), ready()]);
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("58000"));
    assert_eq!(rig.reducer.counters().ended_error, 1);
}

#[test]
fn silence_ends_an_attempt_at_the_clients_deadline_and_closes_its_connection() {
    let (mut rig, _, conn) = request_in_flight(buy(300));
    let effects = rig.pass(301 * MS);
    assert_eq!(closed(&effects), [conn]);
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("58000"));
    assert_eq!(rig.reducer.counters().ended_timed_out, 1);
    assert_eq!(
        rig.reducer.counters().members_open,
        rig.reducer.counters().members_opened - 1
    );
}

#[test]
fn malformed_statements_are_answered_and_never_passed_on() {
    let mut rig = Rig::new(&three());
    let client = rig.client(1);
    for text in [
        "SELECT 1",
        "SELECT val FROM state WHERE uid = 'k' /* id=a,c=look,d=480 */",
        "SELECT val FROM state WHERE uid = 'k' /* id=a,c=look,d=x,cluster=2 */",
        "SELECT val FROM state WHERE uid = 'k' /* id=a,c=strange,d=480,cluster=2 */",
        "SELECT val FROM state WHERE uid = 'k' /* id=a,c=look,d=480,cluster=77 */",
        "SELECT val FROM state WHERE uid = 'k' /* id=a,c=buy,d=480,cluster=2 */",
        "SELECT val FROM state WHERE uid = 'k'; DROP x /* id=a,c=look,d=480,cluster=2 */",
        "SELECT val FROM state WHERE uid = 'k' /* id=a,c=look,d=480,cluster=2 */ , x",
    ] {
        let effects = rig.ask(client, query(text));
        let code = sqlstate(&answers(&effects)[0]).expect("an error");
        assert!(
            code != "53300" && code != "57P03",
            "{text}: an error, no refusal"
        );
        assert!(statements(&effects).is_empty(), "{text} was passed on");
    }
    assert_eq!(rig.reducer.counters().malformed, 8);
    assert!(rig.reducer.accepts_frame(client));
}

#[test]
fn a_cancel_request_ends_the_query_that_its_key_names() {
    let (mut rig, client, conn) = request_in_flight(read(900));
    let welcome = answers(&rig.effects).remove(0);
    let at = welcome
        .windows(5)
        .position(|w| w == [b'K', 0, 0, 0, 12])
        .expect("a key");
    let key = welcome[at + 5..at + 13].to_vec();
    let cancel = |key: &[u8]| {
        let mut bytes = 16u32.to_be_bytes().to_vec();
        bytes.extend(80_877_102u32.to_be_bytes());
        bytes.extend_from_slice(key);
        stackgw_gateway::pg::Frame { kind: 0, bytes }
    };
    let other = ClientId(9);
    rig.input(Input::ClientConnected(other));
    let wrong: Vec<u8> = key.iter().map(|b| b ^ 1).collect();
    assert!(answers(&rig.input(Input::ClientFrame(other, cancel(&wrong)))).is_empty());
    let other = ClientId(10);
    rig.input(Input::ClientConnected(other));
    let effects = rig.input(Input::ClientFrame(other, cancel(&key)));
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("57014"));
    assert_eq!(closed(&effects), [conn]);
    assert!(rig.reducer.accepts_frame(client));
}

#[test]
fn a_client_that_leaves_takes_its_attempt_with_it() {
    let (mut rig, client, conn) = request_in_flight(read(900));
    let effects = rig.input(Input::ClientClosed(client, CloseReason::Disconnected));
    assert_eq!(closed(&effects), [conn]);
    let counters = rig.reducer.counters();
    assert_eq!(
        (
            counters.abandoned,
            counters.buffered_bytes,
            counters.clients_open
        ),
        (1, 0, 0)
    );
    assert!(answers(&rig.pass(2 * SECOND)).is_empty());
}

#[test]
fn past_the_budget_of_bytes_statements_wait_where_they_are() {
    let mut config = config(&three());
    config.limits.client_bytes = 50;
    let mut rig = Rig::with(config);
    let (one, two) = (rig.client(1), rig.client(2));
    rig.ask(one, read(900));
    assert!(!rig.reducer.accepts_frame(two));
    rig.input(Input::ClientClosed(one, CloseReason::Disconnected));
    assert!(rig.reducer.accepts_frame(two));
}

#[test]
fn too_many_open_requests_are_refused() {
    let mut config = config(&three());
    config.limits.requests = 1;
    let mut rig = Rig::with(config);
    let (one, two) = (rig.client(1), rig.client(2));
    rig.ask(one, read(900));
    let effects = rig.ask(two, read(900));
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("53300"));
    assert!(statements(&effects).is_empty());
}

#[test]
fn an_id_that_is_already_open_is_an_error_for_the_newcomer_alone() {
    let frame = read(900);
    let (mut rig, owner, conn) = request_in_flight(frame.clone());
    let other = rig.client(2);
    let effects = rig.ask(other, frame.clone());
    let code = sqlstate(&answers(&effects)[0]).expect("an error");
    assert!(code != "53300" && code != "57P03" && statements(&effects).is_empty());
    assert_eq!(rig.reducer.counters().ids_taken, 1);
    let effects = rig.serve(conn, b"mine");
    assert!(
        matches!(&effects[0], Effect::ClientWrite { client, bytes, .. } if *client == owner && bytes[0] == b'T')
    );
    // Answered, it is open no longer.
    assert_eq!(statements(&rig.ask(other, frame)).len(), 1);
}
