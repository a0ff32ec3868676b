//! Attempts that wait for their connection: what was true when they were sent may not be true when they are written.

mod common;

use common::*;
use stackgw_gateway::config::Config;
use stackgw_gateway::reducer::{ConnectionId, Effect, Input};
use stackgw_router::api::{Span, MS};

/// The port of the listed primary.
const PRIMARY_PORT: u16 = 7001;
const OTHER_WRITES_INTERVAL: Span = 50 * MS;
/// How long the group remembers the key of a write.
const KEY_WINDOW: Span = 2_000 * MS;

/// A configuration in which writes carry an idempotency key and attempts that take long are not cancelled.
fn config_with_keys() -> Config {
    let text = config_text("null").replacen(r#""Cancel":true"#, r#""Cancel":false"#, 1);
    let (before, buy) = text.split_once(r#"{"Name":"buy""#).expect("the class");
    let buy = buy.replacen(
        r#""Effect":"fragile","Group":"all""#,
        r#""Effect":"dedup","Group":"cell""#,
        1,
    );
    let window = format!(r#""DedupWindowNs":{KEY_WINDOW}"#);
    let buy = buy.replacen(r#""DedupWindowNs":0"#, &window, 1);
    let text = format!(r#"{before}{{"Name":"buy"{buy}"#);
    Config::from_text(&text, |_| None).expect("a valid configuration")
}

/// Closes all connections to the primary but this one, so that its next attempt needs a new connection.
fn close_other_connections(harness: &mut ReducerHarness, kept: ConnectionId) {
    let ports = harness.member_ports.clone();
    let others = ports
        .into_iter()
        .filter(|(id, port)| *port == PRIMARY_PORT && *id != kept);
    for (id, _) in others {
        harness.disconnect(id);
    }
}

/// Completes the establishment and the startup of a connection.
fn establish(harness: &mut ReducerHarness, id: ConnectionId) -> Vec<Effect> {
    let mut effects = harness.input(Input::MemberConnected(id));
    effects.extend(harness.input(Input::MemberFlushed(id)));
    effects.extend(harness.reply(id, vec![message(b'R', &[0; 4]), ready()]));
    effects
}

/// A keyed write that is in flight at the primary since this time, and its connection. The primary has answered all others.
fn keyed_write_in_flight(since: Span) -> (ReducerHarness, ConnectionId) {
    let mut harness = ReducerHarness::with(config_with_keys());
    harness.answer_health_checks = false;
    let members = [entry(1, "ready", "leader"), entry(2, "ready", "follower")];
    harness.input(Input::EndpointList(list(1, true, &members)));
    let client = harness.client(1);
    let mut effects = harness.send(client, write_query(3_000));
    effects.extend(harness.advance(20 * MS));
    let (conn, _) = statements(&effects)[0].clone();
    let other = harness.client(2);
    for _ in 0..since / OTHER_WRITES_INTERVAL {
        let mut effects = harness.send(other, write_query(900));
        effects.extend(harness.advance(OTHER_WRITES_INTERVAL / 2));

        let (served, _) = statements(&effects)[0].clone();
        answer_as(&mut harness, served, "leader");
        harness.advance(OTHER_WRITES_INTERVAL / 2);
    }
    close_other_connections(&mut harness, conn);
    (harness, conn)
}

fn assert_failed(effects: &[Effect]) {
    let replies = client_replies(effects);
    let code = replies.first().and_then(|reply| sqlstate(reply));
    assert_eq!(code.as_deref(), Some("58000"), "the write may have run");
}

/// Regression: a keyed write that waited for its connection was repeated after its group had forgotten the key.
#[test]
fn a_keyed_write_is_not_repeated_after_its_window_when_its_connection_comes_up_late() {
    for breaks_in_startup in [false, true] {
        let (mut harness, conn) = keyed_write_in_flight(KEY_WINDOW - 100 * MS);
        harness.auto_connect = false;
        let mut effects = harness.disconnect(conn);
        effects.extend(harness.advance(10 * MS));
        let (mut late, _) = opened(&effects)[0];
        if breaks_in_startup {
            harness.input(Input::MemberConnected(late));
            let effects = harness.disconnect(late);
            (late, _) = opened(&effects)[0];
        }
        let mut effects = harness.advance(150 * MS);
        effects.extend(establish(&mut harness, late));
        assert!(statements(&effects).is_empty(), "the write was repeated");
        assert_failed(&effects);
    }
}

#[test]
fn a_keyed_write_is_repeated_inside_its_window_when_its_connection_comes_up_late() {
    let (mut harness, conn) = keyed_write_in_flight(KEY_WINDOW / 2);
    harness.auto_connect = false;
    let mut effects = harness.disconnect(conn);
    effects.extend(harness.advance(10 * MS));
    let (late, _) = opened(&effects)[0];
    harness.advance(150 * MS);
    let effects = establish(&mut harness, late);
    assert_eq!(statements(&effects).len(), 1, "the write was not repeated");
}

/// Regression: a write counts from its last byte, but only its first had to be written inside the key's window.
#[test]
fn a_repeat_whose_bytes_are_not_all_written_inside_the_window_ends() {
    let (mut harness, conn) = keyed_write_in_flight(KEY_WINDOW - 100 * MS);
    harness.member_writes_blocked = true;
    let mut effects = harness.disconnect(conn);
    effects.extend(harness.advance(10 * MS));
    let (repeat, _) = statements(&effects)[0].clone();
    let effects = harness.advance(100 * MS);
    assert!(
        closed(&effects).contains(&repeat),
        "its last byte may still be written"
    );
    assert_failed(&effects);
}

/// A write in flight at the primary, and the new connection that a read of the class `look` waits for.
fn read_that_waits_for_its_connection(
    config: Config,
    claims_role: bool,
) -> (ReducerHarness, ConnectionId, ConnectionId) {
    let mut harness = ReducerHarness::with(config);
    harness.answer_health_checks = false;
    harness.input(Input::EndpointList(list(
        1,
        true,
        &[entry(1, "ready", "leader")],
    )));
    let client = harness.client(1);
    if claims_role {
        let mut effects = harness.send(client, write_query(900));
        effects.extend(harness.advance(20 * MS));
        let (conn, _) = statements(&effects)[0].clone();
        answer_as(&mut harness, conn, "leader");
    }
    let mut effects = harness.send(client, write_query(900));
    effects.extend(harness.advance(20 * MS));
    let (write, _) = statements(&effects)[0].clone();
    close_other_connections(&mut harness, write);
    harness.auto_connect = false;
    let reader = harness.client(2);
    let mut effects = harness.send(reader, read_query(900));
    effects.extend(harness.advance(20 * MS));
    let read = opened(&effects).last().map(|(conn, _)| *conn);
    (harness, write, read.expect("a new connection"))
}

/// Answers a statement with a row, this role, and a position of ten seconds ago.
fn answer_as(harness: &mut ReducerHarness, conn: ConnectionId, role: &str) {
    let position = ((harness.now - 10_000 * MS) / MS).to_string();
    let tail = vec![
        status("node_role", role),
        status("replay_position", &position),
        ready(),
    ];
    harness.reply(conn, [row(b"x"), tail].concat());
}

/// Regression: a read that waited for its connection to the primary was written although the member had denied the role meanwhile.
#[test]
fn a_read_is_not_written_to_a_member_that_denied_the_primary_role_while_its_connection_came_up() {
    let strong = config_text("null").replacen(r#"["recent","#, r#"["latest","#, 1);
    let strong = Config::from_text(&strong, |_| None).expect("a valid configuration");
    for (config, claims_role) in [(strong, true), (config("null"), false)] {
        let (mut harness, write, read) = read_that_waits_for_its_connection(config, claims_role);
        answer_as(&mut harness, write, "follower");
        let effects = establish(&mut harness, read);
        assert!(
            statements(&effects).is_empty(),
            "the read was written to a replica whose data is too old"
        );
    }
}

#[test]
fn a_read_is_written_to_a_primary_that_still_claims_the_role_when_its_connection_came_up() {
    let strong = config_text("null").replacen(r#"["recent","#, r#"["latest","#, 1);
    let strong = Config::from_text(&strong, |_| None).expect("a valid configuration");
    let (mut harness, write, read) = read_that_waits_for_its_connection(strong, true);
    answer_as(&mut harness, write, "leader");
    let effects = establish(&mut harness, read);
    assert_eq!(statements(&effects).len(), 1);
}
