//! Connections to members: established, reused, idle, broken.

mod common;

use common::*;
use stackgw_gateway::reducer::Input;
use stackgw_router::api::{MS, SECOND};

#[test]
fn a_connection_that_never_comes_up_ends_by_the_limit_of_the_settings() {
    let mut rig = Rig::new(&three());
    rig.connects = false;
    let client = rig.client(1);
    let effects = rig.ask(client, buy(900));
    let (conn, member) = opened(&effects)[0];
    assert_eq!(member, 1, "the listed primary");
    assert!(!closed(&rig.pass(249 * MS)).contains(&conn));
    assert!(closed(&rig.pass(2 * MS)).contains(&conn));
    assert_eq!(rig.reducer.counters().ended_no_connection, 1);
    assert_eq!(rig.reducer.counters().written, 0);
}

#[test]
fn an_attempt_is_overloaded_when_its_member_has_no_connection_to_spare() {
    let mut rig = Rig::new(&three());
    rig.connects = false;
    let client = rig.client(1);
    let (conn, _) = opened(&rig.ask(client, buy(900)))[0];
    rig.input(Input::MemberConnected(conn));
    rig.input(Input::MemberFrame(conn, error("53300")));
    rig.lose(conn);
    assert_eq!(rig.reducer.counters().ended_overloaded, 1);
}

#[test]
fn an_idle_connection_found_closed_costs_the_attempt_nothing() {
    let (mut rig, client, conn) = request_in_flight(buy(900));
    rig.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    rig.members_stuck = true;
    let effects = rig.ask(client, buy(900));
    assert_eq!(
        statements(&effects)[0].0,
        conn,
        "the idle connection is handed out"
    );
    let effects = rig.lose(conn);
    let (fresh, _) = statements(&effects)[0].clone();
    assert_ne!(fresh, conn);
    assert_eq!(rig.reducer.counters().members_reopened, 1);
    rig.input(Input::MemberFlushed(fresh));
    assert_eq!(answers(&rig.serve(fresh, b"y")).len(), 1);
    assert_eq!(
        rig.reducer.counters().attempts,
        2,
        "it was one attempt all along"
    );
}

#[test]
fn idle_connections_are_retired_ahead_of_the_members_limit() {
    let (mut rig, _, conn) = request_in_flight(buy(900));
    rig.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    let early = closed(&rig.pass(15 * SECOND));
    assert!(!early.contains(&conn));
    assert!(
        closed(&rig.pass(4 * SECOND)).contains(&conn),
        "20 s are the members' limit"
    );
}

#[test]
fn an_idle_connection_that_ends_is_forgotten() {
    let (mut rig, client, conn) = request_in_flight(buy(900));
    rig.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    rig.lose(conn);
    let effects = rig.ask(client, buy(900));
    assert_ne!(statements(&effects)[0].0, conn);
}

#[test]
fn a_member_may_say_why_it_closes_an_idle_connection() {
    let (mut rig, _, conn) = request_in_flight(buy(900));
    rig.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    let effects = rig.reply(conn, vec![error("57P05")]);
    assert_eq!(closed(&effects), [conn]);
    let counters = rig.reducer.counters();
    assert_eq!((counters.members_bad, counters.members_closed), (0, 1));
}

#[test]
fn past_the_budget_of_connections_an_attempt_is_never_sent() {
    let mut config = config(&three());
    config.limits.member_connections = 1;
    let mut rig = Rig::with(config);
    let (one, two) = (rig.client(1), rig.client(2));
    let mut effects = rig.ask(one, buy(900));
    effects.extend(rig.ask(two, buy(900)));
    assert_eq!(statements(&effects).len(), 1);
    let conn = statements(&effects)[0].0;
    assert!(rig.reducer.counters().ended_not_sent > 0);
    assert!(rig.reducer.counters().members_peak <= 1);
    rig.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    // An idle connection to one member makes room for one to another.
    let effects = rig.ask(one, read(900));
    let late = rig.pass(300 * MS);
    assert!(closed(&effects).contains(&conn) || closed(&late).contains(&conn));
    assert!(rig.reducer.counters().members_peak <= 1);
}

#[test]
fn a_slow_connect_carries_nothing_past_a_drains_grace() {
    for (late, sent) in [(940, 1), (1010, 0)] {
        let mut rig = Rig::new(&three());
        let client = rig.client(1);
        let drains = entry(1, "draining", "leader");
        rig.input(Input::EndpointList(list(2, false, &[drains])));
        rig.connects = false;
        rig.pass(790 * MS);
        let (conn, member) = opened(&rig.ask(client, buy(900)))[0];
        assert_eq!(member, 1, "no other primary is known yet");
        rig.input(Input::MemberConnected(conn));
        rig.pass((late - 790) * MS);
        let effects = rig.reply(conn, vec![message(b'R', &[0; 4]), ready()]);
        assert_eq!(statements(&effects).len(), sent, "{late} ms after the word");
        assert_eq!(rig.reducer.counters().ended_not_sent, 1 - sent as u64);
        assert_eq!(closed(&effects).contains(&conn), sent == 0);
    }
}

/// Where members are replaced throughout, connections to the old ones would hold places for as long as idle ones may.
#[test]
fn idle_connections_to_a_member_that_is_gone_are_closed_after_its_grace() {
    let (mut rig, _, conn) = request_in_flight(buy(900));
    rig.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    rig.input(Input::EndpointList(list(
        2,
        false,
        &[entry(1, "draining", "leader")],
    )));
    let early = closed(&rig.pass(900 * MS));
    assert!(!early.contains(&conn), "it may still be asked");
    assert!(closed(&rig.pass(SECOND)).contains(&conn));
}

/// A connection that came up and broke before the statement was sent proves nobody dead, and costs the request nothing.
#[test]
fn a_connection_that_breaks_in_its_startup_is_opened_once_more() {
    let mut rig = Rig::new(&three());
    rig.connects = false;
    let client = rig.client(1);
    let (conn, _) = opened(&rig.ask(client, buy(900)))[0];
    rig.input(Input::MemberConnected(conn));
    let (next, member) = opened(&rig.lose(conn))[0];
    assert_eq!((member, rig.reducer.counters().ended_no_connection), (1, 0));
    // Once: a member that breaks them all is one without a connection.
    rig.input(Input::MemberConnected(next));
    rig.lose(next);
    let counters = rig.reducer.counters();
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
fn a_handshake_that_a_member_has_begun_is_kept_for_whoever_asks_next() {
    let mut rig = Rig::new(&three());
    rig.connects = false;
    let client = rig.client(1);
    let (conn, member) = opened(&rig.ask(client, buy(900)))[0];
    rig.input(Input::MemberConnected(conn));
    // It is too late for the attempt, which was never sent ...
    let effects = rig.pass(251 * MS);
    assert!(!closed(&effects).contains(&conn));
    let counters = rig.reducer.counters();
    assert_eq!(
        (
            counters.ended_no_connection,
            counters.members_late,
            counters.written
        ),
        (1, 1, 0)
    );
    // ... and carries the next one to that member, which opens none of its own.
    let effects = [rig.pass(400 * MS), rig.ask(client, buy(900))].concat();
    assert!(
        opened(&effects).iter().all(|(_, to)| *to != member),
        "{effects:?}"
    );
    let asked = rig.input(Input::MemberFrame(conn, ready()));
    assert_eq!(
        statements(&asked)
            .iter()
            .map(|(on, _)| *on)
            .collect::<Vec<_>>(),
        [conn]
    );
}

#[test]
fn a_late_handshake_leaves_an_idle_connection_or_is_closed_by_its_timeout() {
    let late = |rig: &mut Rig, n: u64| {
        rig.connects = false;
        let client = rig.client(n);
        let (conn, _) = opened(&rig.ask(client, buy(300)))[0];
        rig.input(Input::MemberConnected(conn));
        (client, conn)
    };
    let mut rig = Rig::new(&three());
    let (client, conn) = late(&mut rig, 1);
    rig.pass(310 * MS);
    assert!(answers(&rig.input(Input::MemberFrame(conn, ready()))).is_empty());
    assert_eq!(
        statements(&rig.ask(client, buy(900)))
            .first()
            .map(|(on, _)| *on),
        Some(conn),
        "it is used"
    );
    let mut rig = Rig::new(&three());
    let (_, conn) = late(&mut rig, 1);
    let effects = rig.pass(310 * MS + 4 * 250 * MS);
    assert!(closed(&effects).contains(&conn));
    // A member that drains is not waited for.
    let mut rig = Rig::new(&three());
    let (_, conn) = late(&mut rig, 1);
    rig.input(Input::EndpointList(list(
        2,
        false,
        &[entry(1, "draining", "leader")],
    )));
    assert!(closed(&rig.pass(251 * MS)).contains(&conn));
}
