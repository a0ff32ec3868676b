//! No work begins for a client that has disconnected or whose deadline has passed, regardless of what its attempt waited for.

mod common;

use common::*;
use stackgw_gateway::config::Config;
use stackgw_gateway::pg::Frame;
use stackgw_gateway::reducer::{ClientId, CloseReason, ConnectionId, Effect, Input};
use stackgw_router::api::MS;

/// A gateway that may not cancel attempts, with one request that waits for a connection.
fn request_awaiting_connection(frame: Frame) -> (ReducerHarness, ClientId, ConnectionId) {
    let text = config_text(&three_members()).replace("\"Cancel\":true", "\"Cancel\":false");
    let mut harness =
        ReducerHarness::with(Config::from_text(&text, |_| None).expect("a valid configuration"));
    harness.auto_connect = false;
    let client = harness.client(1);
    let (conn, _) = opened(&harness.send(client, frame))[0];
    harness.input(Input::MemberConnected(conn));
    (harness, client, conn)
}

fn greeting() -> Vec<Frame> {
    vec![message(b'R', &[0; 4]), ready()]
}

/// Without cancels the attempt outlived its client, and its statement was sent once the connection was established.
#[test]
fn an_attempt_that_waits_for_its_connection_is_not_sent_after_its_client_disconnects() {
    let (mut harness, client, conn) = request_awaiting_connection(write_query(900));
    harness.input(Input::ClientClosed(client, CloseReason::Disconnected));
    let effects = harness.reply(conn, greeting());
    assert!(
        statements(&effects).is_empty() && closed(&effects).is_empty(),
        "{effects:?}"
    );
    let other = harness.client(2);
    assert_eq!(
        statements(&harness.send(other, write_query(900)))[0].0,
        conn,
        "the connection must serve the next request"
    );
}

/// A request that its client has cancelled is not sent either, although the client stays connected.
#[test]
fn a_cancelled_request_is_not_sent() {
    let (mut harness, client, conn) = request_awaiting_connection(write_query(900));
    let key = harness.effects.iter().find_map(|e| match e {
        Effect::ClientWrite { bytes, .. } => {
            let at = bytes.windows(5).position(|w| w == [b'K', 0, 0, 0, 12])?;
            Some(bytes[at + 5..at + 13].to_vec())
        }
        _ => None,
    });
    let mut cancel = vec![0, 0, 0, 16, 4, 210, 22, 46];
    cancel.extend(key.expect("the client got a cancel key"));
    let canceller = ClientId(2);
    harness.input(Input::ClientConnected(canceller));
    let effects = harness.input(Input::ClientFrame(
        canceller,
        Frame {
            kind: 0,
            bytes: cancel,
        },
    ));
    assert_eq!(
        sqlstate(&client_replies(&effects)[0]).as_deref(),
        Some("57014")
    );
    assert!(statements(&harness.reply(conn, greeting())).is_empty());
    assert!(
        harness.reducer.accepts_frame(client),
        "a client whose request was cancelled may send another"
    );
}

/// After a pause of the process the member's greeting may be handled before the timers that are due.
#[test]
fn an_attempt_is_not_sent_after_its_clients_deadline() {
    let (mut harness, _, conn) = request_awaiting_connection(write_query(200));
    harness.now += 201 * MS;
    let mut effects = harness.reply(conn, greeting());
    effects.extend(harness.input(Input::TimerDue));
    // Right after the pause, what arrived meanwhile is read before requests are decided.
    effects.extend(harness.advance(5 * MS));
    assert!(statements(&effects).is_empty());
    assert_eq!(
        sqlstate(&client_replies(&effects)[0]).as_deref(),
        Some("53300"),
        "a write that was never sent must be rejected"
    );
}

/// A cancel that waited for the capacity that requests use, including the one to be cancelled, would arrive too late.
#[test]
fn a_cancel_is_accepted_when_the_capacity_for_statements_is_used_up() {
    // No primary is known, so that writes wait.
    let followers = [entry(2, "ready", "follower"), entry(3, "ready", "follower")];
    let mut harness = ReducerHarness::new(&list_text(1, true, &followers));
    let value = "9f".repeat(64 << 10);
    let clients = [1, 2, 3, 4].map(|n| harness.client(n));
    for n in 0..200 {
        let client = clients[n % 4];
        if harness.reducer.accepts_frame(client) {
            let text =
                format!("INSERT INTO state (uid, val) VALUES ('k{n}', '\\x{value}') RETURNING val");
            harness.send(
                client,
                query(&format!(
                    "{text} /* id={},c=buy,d=20000,cluster=2 */",
                    new_id()
                )),
            );
        }
    }
    assert!(
        clients
            .iter()
            .all(|client| !harness.reducer.accepts_frame(*client)),
        "the capacity is used up"
    );
    harness.input(Input::ClientConnected(ClientId(2000)));
    assert!(
        harness.reducer.accepts_frame(ClientId(2000)),
        "a new client's startup message, or a cancel instead, must be accepted"
    );
}
