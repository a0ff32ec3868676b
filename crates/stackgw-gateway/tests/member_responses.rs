//! Members' responses: health checks, malformed and incomplete responses, implausible positions.

mod common;

use common::*;
use stackgw_gateway::reducer::{CloseReason, Input};
use stackgw_router::api::{MS, SECOND};

#[test]
fn bytes_that_are_no_reply_end_the_attempt_and_touch_no_other() {
    let (mut rig, _, conn) = request_in_flight(buy(900));
    let other = rig.client(2);
    let mut effects = rig.ask(other, read(900));
    effects.extend(rig.pass(100 * MS));
    let (untouched, _) = statements(&effects)[0].clone();
    let effects = rig.input(Input::MemberFrame(conn, message(b'G', b"?")));
    assert_eq!(closed(&effects), [conn]);
    assert_eq!(answers(&effects).len(), 1);
    assert_eq!(rig.reducer.counters().members_bad, 1);
    assert_eq!(answers(&rig.serve(untouched, b"x"))[0][0], b'T');
}

#[test]
fn a_row_that_is_not_whole_never_reaches_the_client_as_one() {
    let (mut rig, _, conn) = request_in_flight(buy(900));
    let part = row(b"abc").remove(0);
    rig.reply(conn, vec![part]);
    let effects = rig.lose(conn);
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("58000"));
}

#[test]
fn a_health_check_takes_its_load_report_from_the_row() {
    let mut rig = Rig::new(&three());
    let client = rig.client(1);
    // Nothing but probes has told a position, and a bounded read goes to a replica at once.
    let effects = rig.ask(client, read(900));
    assert_eq!(statements(&effects).len(), 1);
    let counters = rig.reducer.counters();
    assert!(
        counters.health_checks > 0 && counters.health_checks_failed == 0,
        "{counters}"
    );
}

#[test]
fn an_unanswered_health_check_ends_by_its_timeout() {
    let mut rig = Rig::with(config("null"));
    rig.probes = false;
    rig.input(Input::EndpointList(list(
        1,
        true,
        &[entry(1, "ready", "leader"), entry(2, "ready", "follower")],
    )));
    let client = rig.client(1);
    rig.ask(client, read(400));
    rig.pass(240 * MS);
    assert_eq!(rig.reducer.counters().health_checks_failed, 0);
    rig.pass(300 * MS);
    let counters = rig.reducer.counters();
    assert!(
        counters.health_checks > 0 && counters.health_checks_failed > 0,
        "{counters}"
    );
}

/// A second copy or noise behind an answer is nobody's: the next request must not be served with it.
#[test]
fn a_connection_with_unexpected_data_is_never_reused() {
    let second = || [row(b"x"), vec![status("node_role", "leader"), ready()]].concat();
    for more in [
        second(),
        vec![status("node_role", "leader")],
        vec![message(b'N', b"SNOTICE\0\0")],
    ] {
        let (mut rig, client, conn) = request_in_flight(buy(900));
        rig.reply(conn, second());
        let effects = rig.reply(conn, more);
        assert_eq!(closed(&effects), [conn]);
        assert_eq!(rig.reducer.counters().members_unexpected_data, 1);
        assert_ne!(statements(&rig.ask(client, buy(900)))[0].0, conn);
    }
    let (mut rig, client, conn) = request_in_flight(buy(900));
    rig.reply(conn, second());
    assert_eq!(
        closed(&rig.input(Input::MemberPartialFrame(conn))),
        [conn],
        "half a message is unasked-for too"
    );
    // Found only when the next request is to be written: it has not been sent, and goes to another connection.
    let (conn, _) = statements(&rig.ask(client, buy(900)))[0].clone();
    rig.reply(conn, second());
    rig.members_stuck = true;
    assert_eq!(statements(&rig.ask(client, buy(900)))[0].0, conn);
    let effects = rig.input(Input::MemberClosed(conn, CloseReason::UnexpectedData));
    assert_ne!(statements(&effects)[0].0, conn);
    assert_eq!(
        (
            rig.reducer.counters().members_unexpected_data,
            rig.reducer.counters().members_reopened
        ),
        (2, 1)
    );
}

/// What is spoilt may have run, is served to nobody, and tells nothing of its member.
#[test]
fn a_malformed_response_fails_its_attempt_and_says_nothing_of_its_member() {
    let claims = || {
        vec![
            status("node_role", "leader"),
            status("replay_position", "1800000000000"),
        ]
    };
    let spoilt: [Vec<stackgw_gateway::pg::Frame>; 7] = [
        vec![message(b'T', b"\0\x01val")],
        vec![row(b"x").remove(0), message(b'D', b"\0\x01\0\0\0\x09x")],
        [row(b"x"), claims(), row(b"y")].concat(),
        [claims(), vec![ready()]].concat(),
        vec![message(b'E', b"Cnobody knows")],
        [row(b"x"), claims(), vec![message(b'Z', b"?")]].concat(),
        vec![message(b'I', b""), ready()],
    ];
    for frames in spoilt {
        let (mut rig, _, conn) = request_in_flight(buy(900));
        let effects = rig.reply(conn, frames.clone());
        assert_eq!(closed(&effects), [conn], "{frames:?}");
        assert_eq!(
            sqlstate(&answers(&effects)[0]).as_deref(),
            Some("58000"),
            "it may have run: {frames:?}"
        );
        assert_eq!(rig.reducer.counters().ended_malformed, 1, "{frames:?}");
        // A read is asked for again elsewhere, and served.
        let (mut rig, _, conn) = request_in_flight(read(900));
        let mut effects = rig.reply(conn, frames);
        effects.extend(rig.pass(60 * MS));
        let (next, _) = statements(&effects)
            .first()
            .cloned()
            .expect("another attempt");
        assert_eq!(answers(&rig.serve(next, b"good"))[0][0], b'T');
    }
}

/// Spoilt answers come from all members alike: they put none out of use, however many there are.
#[test]
fn malformed_responses_are_no_evidence_against_a_member() {
    let mut rig = Rig::new(&three());
    let client = rig.client(1);
    for _ in 0..20 {
        let effects = rig.ask(client, buy(900));
        let (conn, _) = statements(&effects)[0].clone();
        rig.input(Input::MemberClosed(conn, CloseReason::ProtocolError));
    }
    assert_eq!(rig.reducer.counters().ended_malformed, 20);
    assert_eq!(
        statements(&rig.ask(client, buy(900))).len(),
        1,
        "the primary is asked as before"
    );
}

/// A length beyond what follows must not hold its request until the client's time is over.
#[test]
fn a_response_that_stalls_is_malformed_well_before_the_clients_deadline() {
    let (mut rig, _, conn) = request_in_flight(read(900));
    rig.input(Input::MemberPartialFrame(conn));
    let effects = rig.pass(140 * MS);
    assert!(!closed(&effects).contains(&conn));
    rig.input(Input::MemberPartialFrame(conn));
    let effects = rig.pass(140 * MS);
    assert!(!closed(&effects).contains(&conn), "it goes on");
    let effects = rig.pass(20 * MS);
    assert!(closed(&effects).contains(&conn));
    assert_eq!(
        (
            rig.reducer.counters().ended_malformed,
            rig.reducer.counters().ended_timed_out
        ),
        (1, 0)
    );
    assert!(!statements(&effects).is_empty(), "and is asked for again");
}

#[test]
fn a_position_in_the_future_is_discarded() {
    let mut rig = Rig::new("null");
    rig.probes = false;
    rig.input(Input::EndpointList(list(
        1,
        true,
        &[entry(1, "ready", "leader"), entry(2, "ready", "follower")],
    )));
    let client = rig.client(1);
    let tell = |rig: &mut Rig, conn, ahead: i64| {
        let at = ((rig.now + ahead) / MS).to_string();
        let tail = vec![
            status("node_role", "leader"),
            status("replay_position", &at),
            ready(),
        ];
        rig.reply(conn, [row(b"x"), tail].concat())
    };
    let mut effects = rig.ask(client, buy(900));
    effects.extend(rig.pass(20 * MS));
    let (conn, _) = statements(&effects)[0].clone();
    assert_eq!(
        answers(&tell(&mut rig, conn, 5 * SECOND)).len(),
        1,
        "the row itself is good"
    );
    assert_eq!(rig.reducer.counters().positions_implausible, 1);
    let mut effects = rig.ask(client, buy(900));
    effects.extend(rig.pass(20 * MS));
    let (conn, _) = statements(&effects)[0].clone();
    tell(&mut rig, conn, 0);
    assert_eq!(rig.reducer.counters().positions_implausible, 1);
}

#[test]
fn a_row_without_the_word_that_the_member_is_ready_is_not_served() {
    let (mut rig, _, conn) = request_in_flight(buy(900));
    rig.reply(conn, row(b"abc"));
    let effects = rig.lose(conn);
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("58000"));
}
