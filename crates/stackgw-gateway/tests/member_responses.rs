//! Members' responses: health checks, malformed and incomplete responses, implausible positions.

mod common;

use common::*;
use stackgw_gateway::pg::MAX_REPLY_MESSAGES;
use stackgw_gateway::reducer::{CloseReason, ConnectionId, Input};
use stackgw_router::api::{MS, SECOND};

#[test]
fn malformed_bytes_end_the_attempt_and_affect_no_other() {
    let (mut harness, _, conn) = request_in_flight(write_query(900));
    let other = harness.client(2);
    let mut effects = harness.send(other, read_query(900));
    effects.extend(harness.advance(100 * MS));
    let (untouched, _) = statements(&effects)[0].clone();
    let effects = harness.input(Input::MemberFrame(conn, message(b'G', b"?")));
    assert_eq!(closed(&effects), [conn]);
    assert_eq!(client_replies(&effects).len(), 1);
    assert_eq!(harness.reducer.counters().members_bad, 1);
    assert_eq!(client_replies(&harness.serve(untouched, b"x"))[0][0], b'T');
}

#[test]
fn an_incomplete_row_is_not_sent_to_the_client() {
    let (mut harness, _, conn) = request_in_flight(write_query(900));
    let part = row(b"abc").remove(0);
    harness.reply(conn, vec![part]);
    let effects = harness.disconnect(conn);
    assert_eq!(
        sqlstate(&client_replies(&effects)[0]).as_deref(),
        Some("58000")
    );
}

#[test]
fn a_health_check_reads_the_load_report_from_the_row() {
    let mut harness = ReducerHarness::new(&three_members());
    let client = harness.client(1);
    // Only health checks have reported positions, and a read with bounded staleness goes to a replica at once.
    let effects = harness.send(client, read_query(900));
    assert_eq!(statements(&effects).len(), 1);
    let counters = harness.reducer.counters();
    assert!(
        counters.health_checks > 0 && counters.health_checks_failed == 0,
        "{counters}"
    );
}

#[test]
fn an_unanswered_health_check_ends_by_its_timeout() {
    let mut harness = ReducerHarness::with(config("null"));
    harness.answer_health_checks = false;
    harness.input(Input::EndpointList(list(
        1,
        true,
        &[entry(1, "ready", "leader"), entry(2, "ready", "follower")],
    )));
    let client = harness.client(1);
    harness.send(client, read_query(400));
    // The timeout of a health check is that of a connect, 250 ms.
    harness.advance(240 * MS);
    assert_eq!(harness.reducer.counters().health_checks_failed, 0);
    harness.advance(300 * MS);
    let counters = harness.reducer.counters();
    assert!(
        counters.health_checks > 0 && counters.health_checks_failed > 0,
        "{counters}"
    );
}

/// A second copy of a response, or other data after it, must not be taken for the response to the next request.
#[test]
fn a_connection_with_unexpected_data_is_never_reused() {
    let response = || [row(b"x"), vec![status("node_role", "leader"), ready()]].concat();
    for unexpected in [
        response(),
        vec![status("node_role", "leader")],
        vec![message(b'N', b"SNOTICE\0\0")],
    ] {
        let (mut harness, client, conn) = request_in_flight(write_query(900));
        harness.reply(conn, response());
        let effects = harness.reply(conn, unexpected);
        assert_eq!(closed(&effects), [conn]);
        assert_eq!(harness.reducer.counters().members_unexpected_data, 1);
        assert_ne!(
            statements(&harness.send(client, write_query(900)))[0].0,
            conn
        );
    }
    let (mut harness, client, conn) = request_in_flight(write_query(900));
    harness.reply(conn, response());
    assert_eq!(
        closed(&harness.input(Input::MemberPartialFrame(conn))),
        [conn],
        "a connection with an unexpected part of a message must be closed"
    );
    // The data is found only when the next request is about to be written. That request has not been sent, so it goes to
    // another connection.
    let (conn, _) = statements(&harness.send(client, write_query(900)))[0].clone();
    harness.reply(conn, response());
    harness.member_writes_blocked = true;
    assert_eq!(
        statements(&harness.send(client, write_query(900)))[0].0,
        conn
    );
    let effects = harness.input(Input::MemberClosed(conn, CloseReason::UnexpectedData));
    assert_ne!(statements(&effects)[0].0, conn);
    assert_eq!(
        (
            harness.reducer.counters().members_unexpected_data,
            harness.reducer.counters().members_reopened
        ),
        (2, 1)
    );
}

/// The statement of a malformed response may have run. The response is not served, and its role and position are ignored.
#[test]
fn a_malformed_response_fails_its_attempt_and_is_ignored() {
    let role_and_position = || {
        vec![
            status("node_role", "leader"),
            status("replay_position", "1800000000000"),
        ]
    };
    let malformed: [Vec<stackgw_gateway::pg::Frame>; 7] = [
        vec![message(b'T', b"\0\x01val")],
        vec![row(b"x").remove(0), message(b'D', b"\0\x01\0\0\0\x09x")],
        [row(b"x"), role_and_position(), row(b"y")].concat(),
        [role_and_position(), vec![ready()]].concat(),
        vec![message(b'E', b"Cnobody knows")],
        [row(b"x"), role_and_position(), vec![message(b'Z', b"?")]].concat(),
        vec![message(b'I', b""), ready()],
    ];
    for frames in malformed {
        let (mut harness, _, conn) = request_in_flight(write_query(900));
        let effects = harness.reply(conn, frames.clone());
        assert_eq!(closed(&effects), [conn], "{frames:?}");
        assert_eq!(
            sqlstate(&client_replies(&effects)[0]).as_deref(),
            Some("58000"),
            "a write that may have run must fail with 58000: {frames:?}"
        );
        assert_eq!(harness.reducer.counters().ended_malformed, 1, "{frames:?}");
        // A read is retried on another member and served.
        let (mut harness, _, conn) = request_in_flight(read_query(900));
        let mut effects = harness.reply(conn, frames);
        effects.extend(harness.advance(60 * MS));
        let (next, _) = statements(&effects)
            .first()
            .cloned()
            .expect("another attempt was sent");
        assert_eq!(client_replies(&harness.serve(next, b"good"))[0][0], b'T');
    }
}

/// All members can send malformed responses, so no number of them ejects a member.
#[test]
fn malformed_responses_do_not_eject_a_member() {
    let mut harness = ReducerHarness::new(&three_members());
    let client = harness.client(1);
    for _ in 0..20 {
        let effects = harness.send(client, write_query(900));
        let (conn, _) = statements(&effects)[0].clone();
        harness.input(Input::MemberClosed(conn, CloseReason::ProtocolError));
    }
    assert_eq!(harness.reducer.counters().ended_malformed, 20);
    assert_eq!(
        statements(&harness.send(client, write_query(900))).len(),
        1,
        "the primary must still get requests"
    );
}

/// A message whose length field is too large must not delay its request until the client's deadline. A response may stall for
/// 150 ms.
#[test]
fn a_response_that_stalls_is_malformed_well_before_the_clients_deadline() {
    let (mut harness, _, conn) = request_in_flight(read_query(900));
    harness.input(Input::MemberPartialFrame(conn));
    let effects = harness.advance(140 * MS);
    assert!(!closed(&effects).contains(&conn));
    harness.input(Input::MemberPartialFrame(conn));
    let effects = harness.advance(140 * MS);
    assert!(
        !closed(&effects).contains(&conn),
        "the stall timeout must restart when more of the response arrives"
    );
    let effects = harness.advance(20 * MS);
    assert!(closed(&effects).contains(&conn));
    assert_eq!(
        (
            harness.reducer.counters().ended_malformed,
            harness.reducer.counters().ended_timed_out
        ),
        (1, 0)
    );
    assert!(!statements(&effects).is_empty(), "the read must be retried");
}

#[test]
fn a_position_in_the_future_is_discarded() {
    let mut harness = ReducerHarness::new("null");
    harness.answer_health_checks = false;
    harness.input(Input::EndpointList(list(
        1,
        true,
        &[entry(1, "ready", "leader"), entry(2, "ready", "follower")],
    )));
    let client = harness.client(1);
    let respond = |harness: &mut ReducerHarness, conn, ahead: i64| {
        let at = ((harness.now + ahead) / MS).to_string();
        let tail = vec![
            status("node_role", "leader"),
            status("replay_position", &at),
            ready(),
        ];
        harness.reply(conn, [row(b"x"), tail].concat())
    };
    let mut effects = harness.send(client, write_query(900));
    effects.extend(harness.advance(20 * MS));
    let (conn, _) = statements(&effects)[0].clone();
    assert_eq!(
        client_replies(&respond(&mut harness, conn, 5 * SECOND)).len(),
        1,
        "a row with an implausible position must still be served"
    );
    assert_eq!(harness.reducer.counters().positions_implausible, 1);
    let mut effects = harness.send(client, write_query(900));
    effects.extend(harness.advance(20 * MS));
    let (conn, _) = statements(&effects)[0].clone();
    respond(&mut harness, conn, 0);
    assert_eq!(harness.reducer.counters().positions_implausible, 1);
}

/// Responses to a read at the only member, which the list names as the primary; each denies the role. Returns whether the next read
/// goes to that member.
fn gets_reads_after(respond: impl FnOnce(&mut ReducerHarness, ConnectionId)) -> bool {
    let mut harness = ReducerHarness::new("null");
    harness.answer_health_checks = false;
    let members = list(1, true, &[entry(1, "ready", "leader")]);
    harness.input(Input::EndpointList(members));
    let client = harness.client(1);
    let mut effects = harness.send(client, read_query(900));
    effects.extend(harness.advance(20 * MS));
    let (conn, _) = statements(&effects)[0].clone();
    respond(&mut harness, conn);
    let other = harness.client(2);
    let mut effects = harness.send(other, read_query(900));
    effects.extend(harness.advance(100 * MS));
    !statements(&effects).is_empty()
}

/// Regression: a member's denial of the primary role was ignored if its response broke off, and bounded reads went on to it.
#[test]
fn a_denial_of_the_primary_role_counts_even_if_its_response_breaks_off() {
    let gets_reads = gets_reads_after(|harness, conn| {
        let denial = vec![status("node_role", "follower")];
        harness.reply(conn, [row(b"x"), denial].concat());
        harness.disconnect(conn);
    });
    assert!(
        !gets_reads,
        "a bounded read was sent to a replica with no known position"
    );
}

/// Regression: as above, for a denial beside a position in the future.
#[test]
fn a_denial_of_the_primary_role_counts_beside_an_implausible_position() {
    let gets_reads = gets_reads_after(|harness, conn| {
        let at = ((harness.now + 5 * SECOND) / MS).to_string();
        let role = status("node_role", "follower");
        let tail = vec![role, status("replay_position", &at), ready()];
        harness.reply(conn, [row(b"x"), tail].concat());
    });
    assert!(
        !gets_reads,
        "a bounded read was sent to a replica with no known position"
    );
}

#[test]
fn a_row_without_a_ready_message_is_not_served() {
    let (mut harness, _, conn) = request_in_flight(write_query(900));
    harness.reply(conn, row(b"abc"));
    let effects = harness.disconnect(conn);
    assert_eq!(
        sqlstate(&client_replies(&effects)[0]).as_deref(),
        Some("58000")
    );
}

/// Regression: parameters and notices did not count toward the size of a response, so one that consists of them never ended.
#[test]
fn a_response_that_never_ends_is_cut_and_its_read_is_retried() {
    let large_notice = message(b'N', &[&b"SNOTICE\0M"[..], &[b'x'; 4000], b"\0\0"].concat());
    for part in [status("server_load", "x0=1,x1=0"), large_notice] {
        let (mut harness, _, conn) = request_in_flight(read_query(900));
        let mut effects = harness.reply(conn, vec![part; MAX_REPLY_MESSAGES + 1]);
        assert_eq!(closed(&effects), [conn]);
        let counters = harness.reducer.counters();
        assert_eq!(
            (counters.members_oversized, counters.ended_malformed),
            (1, 1)
        );
        effects.extend(harness.advance(60 * MS));
        let (next, _) = statements(&effects)[0].clone();
        assert_eq!(client_replies(&harness.serve(next, b"good"))[0][0], b'T');
    }
}

/// As above, for a connection's startup.
#[test]
fn a_startup_that_never_ends_is_cut() {
    let mut harness = ReducerHarness::new(&three_members());
    harness.auto_connect = false;
    let client = harness.client(1);
    let mut effects = harness.send(client, write_query(900));
    effects.extend(harness.advance(20 * MS));
    let (conn, _) = opened(&effects)[0];
    harness.input(Input::MemberConnected(conn));
    let parameter = status("server_version", "16");
    let effects = harness.reply(conn, vec![parameter; MAX_REPLY_MESSAGES + 1]);
    assert!(closed(&effects).contains(&conn));
}
