//! Connections to members: established, reused, idle, broken.

mod common;

use common::*;
use stackgw_gateway::reducer::Input;
use stackgw_router::api::{MS, SECOND};

#[test]
fn a_connect_times_out_after_the_time_in_the_settings() {
    let mut harness = ReducerHarness::new(&three_members());
    harness.auto_connect = false;
    let client = harness.client(1);
    let effects = harness.send(client, write_query(900));
    let (conn, member) = opened(&effects)[0];
    assert_eq!(member, 1, "the connection must go to the listed primary");
    assert!(!closed(&harness.advance(249 * MS)).contains(&conn));
    assert!(closed(&harness.advance(2 * MS)).contains(&conn));
    assert_eq!(harness.reducer.counters().ended_no_connection, 1);
    assert_eq!(harness.reducer.counters().written, 0);
}

#[test]
fn an_attempt_ends_as_overloaded_if_its_member_rejects_the_connection() {
    let mut harness = ReducerHarness::new(&three_members());
    harness.auto_connect = false;
    let client = harness.client(1);
    let (conn, _) = opened(&harness.send(client, write_query(900)))[0];
    harness.input(Input::MemberConnected(conn));
    harness.input(Input::MemberFrame(conn, error("53300")));
    harness.disconnect(conn);
    assert_eq!(harness.reducer.counters().ended_overloaded, 1);
}

#[test]
fn an_attempt_on_an_idle_connection_found_closed_moves_to_a_new_connection() {
    let (mut harness, client, conn) = request_in_flight(write_query(900));
    harness.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    harness.member_writes_blocked = true;
    let effects = harness.send(client, write_query(900));
    assert_eq!(
        statements(&effects)[0].0,
        conn,
        "the idle connection must be reused"
    );
    let effects = harness.disconnect(conn);
    let (new_conn, _) = statements(&effects)[0].clone();
    assert_ne!(new_conn, conn);
    assert_eq!(harness.reducer.counters().members_reopened, 1);
    harness.input(Input::MemberFlushed(new_conn));
    assert_eq!(client_replies(&harness.serve(new_conn, b"y")).len(), 1);
    assert_eq!(
        harness.reducer.counters().attempts,
        2,
        "the reopened connection must be part of the same attempt"
    );
}

#[test]
fn idle_connections_are_closed_before_the_members_idle_limit() {
    let (mut harness, _, conn) = request_in_flight(write_query(900));
    harness.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    let early = closed(&harness.advance(15 * SECOND));
    assert!(!early.contains(&conn));
    assert!(
        closed(&harness.advance(4 * SECOND)).contains(&conn),
        "an idle connection must be closed before members close it after 20 s"
    );
}

#[test]
fn an_idle_connection_that_ends_is_not_reused() {
    let (mut harness, client, conn) = request_in_flight(write_query(900));
    harness.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    harness.disconnect(conn);
    let effects = harness.send(client, write_query(900));
    assert_ne!(statements(&effects)[0].0, conn);
}

#[test]
fn a_member_may_send_an_error_before_it_closes_an_idle_connection() {
    let (mut harness, _, conn) = request_in_flight(write_query(900));
    harness.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    let effects = harness.reply(conn, vec![error("57P05")]);
    assert_eq!(closed(&effects), [conn]);
    let counters = harness.reducer.counters();
    assert_eq!((counters.members_bad, counters.members_closed), (0, 1));
}

#[test]
fn beyond_the_limit_of_connections_an_attempt_is_not_sent() {
    let mut config = config(&three_members());
    config.limits.member_connections = 1;
    let mut harness = ReducerHarness::with(config);
    let (one, two) = (harness.client(1), harness.client(2));
    let mut effects = harness.send(one, write_query(900));
    effects.extend(harness.send(two, write_query(900)));
    assert_eq!(statements(&effects).len(), 1);
    let conn = statements(&effects)[0].0;
    assert!(harness.reducer.counters().ended_not_sent > 0);
    assert!(harness.reducer.counters().members_peak <= 1);
    harness.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    // An idle connection to one member is closed to open one to another.
    let effects = harness.send(one, read_query(900));
    let later_effects = harness.advance(300 * MS);
    assert!(closed(&effects).contains(&conn) || closed(&later_effects).contains(&conn));
    assert!(harness.reducer.counters().members_peak <= 1);
}

#[test]
fn nothing_is_sent_on_a_slow_connect_after_the_drain_grace() {
    // The drain grace is 1 s. The connect begins within it and is established before or after its end.
    for (established_ms, sent) in [(940, 1), (1010, 0)] {
        let mut harness = ReducerHarness::new(&three_members());
        let client = harness.client(1);
        let draining = entry(1, "draining", "leader");
        harness.input(Input::EndpointList(list(2, false, &[draining])));
        harness.auto_connect = false;
        harness.advance(790 * MS);
        let (conn, member) = opened(&harness.send(client, write_query(900)))[0];
        assert_eq!(member, 1, "no other primary is known yet");
        harness.input(Input::MemberConnected(conn));
        harness.advance((established_ms - 790) * MS);
        let effects = harness.reply(conn, vec![message(b'R', &[0; 4]), ready()]);
        assert_eq!(
            statements(&effects).len(),
            sent,
            "{established_ms} ms after the drain notice"
        );
        assert_eq!(harness.reducer.counters().ended_not_sent, 1 - sent as u64);
        assert_eq!(closed(&effects).contains(&conn), sent == 0);
    }
}

/// Where members are replaced all the time, idle connections to the old ones would otherwise occupy the limit of connections
/// until their idle timeout.
#[test]
fn idle_connections_to_a_draining_member_are_closed_after_the_drain_grace() {
    let (mut harness, _, conn) = request_in_flight(write_query(900));
    harness.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    harness.input(Input::EndpointList(list(
        2,
        false,
        &[entry(1, "draining", "leader")],
    )));
    let early = closed(&harness.advance(900 * MS));
    assert!(
        !early.contains(&conn),
        "a draining member may still get requests within the grace of 1 s"
    );
    assert!(closed(&harness.advance(SECOND)).contains(&conn));
}

/// A connection that breaks during its startup, before the statement was sent, does not show that the member is down and does not
/// fail the attempt.
#[test]
fn a_connection_that_breaks_during_startup_is_reopened_once() {
    let mut harness = ReducerHarness::new(&three_members());
    harness.auto_connect = false;
    let client = harness.client(1);
    let (conn, _) = opened(&harness.send(client, write_query(900)))[0];
    harness.input(Input::MemberConnected(conn));
    let (next, member) = opened(&harness.disconnect(conn))[0];
    assert_eq!(
        (member, harness.reducer.counters().ended_no_connection),
        (1, 0)
    );
    // If the second connection breaks too, the attempt ends without a connection.
    harness.input(Input::MemberConnected(next));
    harness.disconnect(next);
    let counters = harness.reducer.counters();
    assert_eq!(
        (
            counters.ended_no_connection,
            counters.members_reopened,
            counters.attempts
        ),
        (1, 1, 1)
    );
}

#[test]
fn a_late_handshake_that_a_member_has_begun_serves_the_next_request() {
    let mut harness = ReducerHarness::new(&three_members());
    harness.auto_connect = false;
    let client = harness.client(1);
    let (conn, member) = opened(&harness.send(client, write_query(900)))[0];
    harness.input(Input::MemberConnected(conn));
    // The connect times out for the attempt, which was not sent.
    let effects = harness.advance(251 * MS);
    assert!(!closed(&effects).contains(&conn));
    let counters = harness.reducer.counters();
    assert_eq!(
        (
            counters.ended_no_connection,
            counters.members_late,
            counters.written
        ),
        (1, 1, 0)
    );
    // The connection serves the next attempt at that member, which opens no connection of its own.
    let effects = [
        harness.advance(400 * MS),
        harness.send(client, write_query(900)),
    ]
    .concat();
    assert!(
        opened(&effects).iter().all(|(_, to)| *to != member),
        "{effects:?}"
    );
    let effects = harness.input(Input::MemberFrame(conn, ready()));
    assert_eq!(
        statements(&effects)
            .iter()
            .map(|(on, _)| *on)
            .collect::<Vec<_>>(),
        [conn]
    );
}

#[test]
fn a_late_handshake_leaves_an_idle_connection_or_is_closed_by_its_timeout() {
    let begin_handshake = |harness: &mut ReducerHarness, n: u64| {
        harness.auto_connect = false;
        let client = harness.client(n);
        let (conn, _) = opened(&harness.send(client, write_query(300)))[0];
        harness.input(Input::MemberConnected(conn));
        (client, conn)
    };
    let mut harness = ReducerHarness::new(&three_members());
    let (client, conn) = begin_handshake(&mut harness, 1);
    harness.advance(310 * MS);
    assert!(client_replies(&harness.input(Input::MemberFrame(conn, ready()))).is_empty());
    assert_eq!(
        statements(&harness.send(client, write_query(900)))
            .first()
            .map(|(on, _)| *on),
        Some(conn),
        "the late connection must serve the next request"
    );
    let mut harness = ReducerHarness::new(&three_members());
    let (_, conn) = begin_handshake(&mut harness, 1);
    let effects = harness.advance(310 * MS + 4 * 250 * MS);
    assert!(closed(&effects).contains(&conn));
    // The handshake of a draining member is not awaited.
    let mut harness = ReducerHarness::new(&three_members());
    let (_, conn) = begin_handshake(&mut harness, 1);
    harness.input(Input::EndpointList(list(
        2,
        false,
        &[entry(1, "draining", "leader")],
    )));
    assert!(closed(&harness.advance(251 * MS)).contains(&conn));
}

/// Regression: a bounded read that waited for its connection was written although its replica's known position had become too old
/// meanwhile.
#[test]
fn a_bounded_read_is_not_written_once_its_replica_may_be_stale() {
    for (handshake, is_written) in [(150 * MS, true), (240 * MS, false)] {
        let mut harness = ReducerHarness::new("null");
        let entries = [entry(1, "ready", "leader"), entry(2, "ready", "follower")];
        harness.input(Input::EndpointList(list(1, true, &entries)));
        let client = harness.client(1);
        // The replica reports its position, serves a read, and is busy with another one.
        let (conn, _) = statements(&harness.send(client, read_query(900)))[0].clone();
        harness.serve(conn, b"x");
        harness.answer_health_checks = false;
        // The bound is 1 s, of which 100 ms are left for delays.
        harness.advance(700 * MS);
        let busy = harness.client(2);
        assert_eq!(statements(&harness.send(busy, read_query(900))).len(), 1);
        harness.auto_connect = false;
        let late = harness.client(3);
        let conn = opened(&harness.send(late, read_query(900)))
            .iter()
            .find(|(_, member)| *member == 2)
            .expect("a second connection to the replica")
            .0;
        harness.advance(handshake);
        harness.input(Input::MemberConnected(conn));
        harness.input(Input::MemberFrame(conn, message(b'R', &[0; 4])));
        let effects = harness.input(Input::MemberFrame(conn, ready()));
        let is_read_written = statements(&effects).iter().any(|(to, _)| *to == conn);
        assert_eq!(is_read_written, is_written, "handshake of {handshake} ns");
    }
}
