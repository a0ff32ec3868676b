//! Requests from a client's statement to its response: attempts, retries, limits and deadlines.

mod common;

use common::*;
use stackgw_gateway::pg::write;
use stackgw_gateway::reducer::{ClientId, CloseReason, Effect, Input};
use stackgw_router::api::{MS, SECOND};

#[test]
fn a_statement_is_forwarded_unchanged_except_for_its_timeout() {
    let mut harness = ReducerHarness::new(&three_members());
    let client = harness.client(1);
    let original = write_query(700);
    let mut effects = harness.send(client, original.clone());
    effects.extend(harness.advance(60 * MS));
    let (_, text) = &statements(&effects)[0];
    let (before, rest) = text.split_once(",d=").expect("a timeout");
    let (timeout, after) = rest.split_once(',').expect("further fields");
    let timeout: u64 = timeout.parse().expect("a number");
    assert!((600..=700).contains(&timeout), "{timeout}");
    let original = String::from_utf8(original.body().to_vec()).expect("text");
    assert!(
        original.starts_with(&format!("{before},d=700,")),
        "{original}"
    );
    assert_eq!(after, "cluster=2 */");
}

#[test]
fn a_row_is_forwarded_unchanged_in_one_write_and_the_connection_is_reused() {
    let (mut harness, client, conn) = request_in_flight(read_query(900));
    let effects = harness.serve(conn, b"\x01\0\xff");
    let mut expected: Vec<u8> = row(b"\x01\0\xff")
        .into_iter()
        .flat_map(|f| f.bytes)
        .collect();
    write::ready(&mut expected);
    assert_eq!(client_replies(&effects), [expected]);
    let served_by = conn;
    // Once all members have served a request, the first one gets another on its existing connection.
    let mut reused = false;
    for _ in 0..6 {
        let mut effects = harness.send(client, read_query(900));
        effects.extend(harness.advance(20 * MS));
        let (conn, _) = statements(&effects)[0].clone();
        reused |= conn == served_by;
        assert_eq!(client_replies(&harness.serve(conn, b"x")).len(), 1);
    }
    assert!(reused, "the connection is not reused");
}

#[test]
fn a_retryable_error_of_a_member_leads_to_another_attempt_and_is_hidden_from_the_client() {
    for code in ["72000", "53300"] {
        let (mut harness, _, conn) = request_in_flight(read_query(900));
        let mut effects = harness.reply(conn, vec![error(code), ready()]);
        effects.extend(harness.advance(100 * MS));
        assert!(
            client_replies(&effects).is_empty(),
            "{code} reached the client"
        );
        let (next, _) = statements(&effects)
            .first()
            .cloned()
            .expect("another attempt was sent");
        assert_ne!(next, conn);
        assert_eq!(client_replies(&harness.serve(next, b"x"))[0][0], b'T');
    }
}

#[test]
fn a_write_that_may_have_run_fails_and_one_that_has_not_run_may_be_rejected() {
    let (mut harness, _, conn) = request_in_flight(write_query(900));
    let effects = harness.disconnect(conn);
    assert_eq!(
        sqlstate(&client_replies(&effects)[0]).as_deref(),
        Some("58000"),
        "a completely written write may have run, so it must fail with 58000"
    );
    assert_eq!(harness.reducer.counters().ended_reset, 1);

    let mut harness = ReducerHarness::new(&three_members());
    harness.member_writes_blocked = true;
    let client = harness.client(1);
    let mut effects = harness.send(client, write_query(900));
    effects.extend(harness.advance(20 * MS));
    let (conn, _) = statements(&effects)[0];
    harness.disconnect(conn);
    assert_eq!(
        harness.reducer.counters().ended_no_connection,
        1,
        "an attempt whose last byte was not written has not run"
    );
    let effects = harness.advance(950 * MS);
    let code = sqlstate(&client_replies(&effects)[0]);
    assert_eq!(
        code.as_deref(),
        Some("53300"),
        "a write that has not run must be rejected, so that the client may retry"
    );
}

#[test]
fn an_error_of_a_member_ends_a_write_as_failed() {
    let (mut harness, _, conn) = request_in_flight(write_query(900));
    let effects = harness.reply(conn, vec![error("XX000"), ready()]);
    assert_eq!(
        sqlstate(&client_replies(&effects)[0]).as_deref(),
        Some("58000")
    );
    assert_eq!(harness.reducer.counters().ended_error, 1);
}

#[test]
fn an_unanswered_attempt_ends_at_the_clients_deadline_and_its_connection_is_closed() {
    let (mut harness, _, conn) = request_in_flight(write_query(300));
    let effects = harness.advance(301 * MS);
    assert_eq!(closed(&effects), [conn]);
    assert_eq!(
        sqlstate(&client_replies(&effects)[0]).as_deref(),
        Some("58000")
    );
    assert_eq!(harness.reducer.counters().ended_timed_out, 1);
    assert_eq!(
        harness.reducer.counters().members_open,
        harness.reducer.counters().members_opened - 1
    );
}

#[test]
fn malformed_statements_are_answered_and_not_forwarded() {
    let mut harness = ReducerHarness::new(&three_members());
    let client = harness.client(1);
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
        let effects = harness.send(client, query(text));
        let code = sqlstate(&client_replies(&effects)[0]).expect("an error");
        assert!(
            code != "53300" && code != "57P03",
            "{text}: got a rejection instead of an error"
        );
        assert!(statements(&effects).is_empty(), "{text} was forwarded");
    }
    assert_eq!(harness.reducer.counters().malformed, 8);
    assert!(harness.reducer.accepts_frame(client));
}

#[test]
fn a_cancel_request_ends_the_query_of_its_key() {
    let (mut harness, client, conn) = request_in_flight(read_query(900));
    let welcome = client_replies(&harness.effects).remove(0);
    let at = welcome
        .windows(5)
        .position(|w| w == [b'K', 0, 0, 0, 12])
        .expect("the client got a cancel key");
    let key = welcome[at + 5..at + 13].to_vec();
    let cancel = |key: &[u8]| {
        let mut bytes = 16u32.to_be_bytes().to_vec();
        bytes.extend(80_877_102u32.to_be_bytes());
        bytes.extend_from_slice(key);
        stackgw_gateway::pg::Frame { kind: 0, bytes }
    };
    let other = ClientId(9);
    harness.input(Input::ClientConnected(other));
    let wrong: Vec<u8> = key.iter().map(|b| b ^ 1).collect();
    assert!(client_replies(&harness.input(Input::ClientFrame(other, cancel(&wrong)))).is_empty());
    let other = ClientId(10);
    harness.input(Input::ClientConnected(other));
    let effects = harness.input(Input::ClientFrame(other, cancel(&key)));
    assert_eq!(
        sqlstate(&client_replies(&effects)[0]).as_deref(),
        Some("57014")
    );
    assert_eq!(closed(&effects), [conn]);
    assert!(harness.reducer.accepts_frame(client));
}

#[test]
fn an_attempt_is_cancelled_when_its_client_disconnects() {
    let (mut harness, client, conn) = request_in_flight(read_query(900));
    let effects = harness.input(Input::ClientClosed(client, CloseReason::Disconnected));
    assert_eq!(closed(&effects), [conn]);
    let counters = harness.reducer.counters();
    assert_eq!(
        (
            counters.abandoned,
            counters.buffered_bytes,
            counters.clients_open
        ),
        (1, 0, 0)
    );
    assert!(client_replies(&harness.advance(2 * SECOND)).is_empty());
}

#[test]
fn beyond_the_limit_of_client_bytes_statements_are_not_accepted() {
    let mut config = config(&three_members());
    config.limits.client_bytes = 50;
    let mut harness = ReducerHarness::with(config);
    let (one, two) = (harness.client(1), harness.client(2));
    harness.send(one, read_query(900));
    assert!(!harness.reducer.accepts_frame(two));
    harness.input(Input::ClientClosed(one, CloseReason::Disconnected));
    assert!(harness.reducer.accepts_frame(two));
}

#[test]
fn requests_beyond_the_limit_are_rejected() {
    let mut config = config(&three_members());
    config.limits.requests = 1;
    let mut harness = ReducerHarness::with(config);
    let (one, two) = (harness.client(1), harness.client(2));
    harness.send(one, read_query(900));
    let effects = harness.send(two, read_query(900));
    assert_eq!(
        sqlstate(&client_replies(&effects)[0]).as_deref(),
        Some("53300")
    );
    assert!(statements(&effects).is_empty());
}

#[test]
fn a_duplicate_id_is_an_error_only_for_the_later_request() {
    let frame = read_query(900);
    let (mut harness, owner, conn) = request_in_flight(frame.clone());
    let other = harness.client(2);
    let effects = harness.send(other, frame.clone());
    let code = sqlstate(&client_replies(&effects)[0]).expect("an error");
    assert!(code != "53300" && code != "57P03" && statements(&effects).is_empty());
    assert_eq!(harness.reducer.counters().ids_taken, 1);
    let effects = harness.serve(conn, b"mine");
    assert!(
        matches!(&effects[0], Effect::ClientWrite { client, bytes, .. } if *client == owner && bytes[0] == b'T')
    );
    // Once the request is answered, its id is free again.
    assert_eq!(statements(&harness.send(other, frame)).len(), 1);
}
