//! Nothing begins for a client that has left, or whose time is over, whatever its attempt was waiting for.

mod common;

use common::*;
use stackgw_gateway::config::Config;
use stackgw_gateway::pg::Frame;
use stackgw_gateway::reducer::{ClientId, CloseReason, ConnectionId, Effect, Input};
use stackgw_router::api::MS;

/// A gateway that may call no attempt off, whose one request waits for a connection.
fn request_awaiting_connection(frame: Frame) -> (Rig, ClientId, ConnectionId) {
    let text = config_text(&three()).replace("\"Cancel\":true", "\"Cancel\":false");
    let mut rig = Rig::with(Config::from_text(&text, |_| None).expect("a configuration"));
    rig.connects = false;
    let client = rig.client(1);
    let (conn, _) = opened(&rig.ask(client, frame))[0];
    rig.input(Input::MemberConnected(conn));
    (rig, client, conn)
}

fn greeting() -> Vec<Frame> {
    vec![message(b'R', &[0; 4]), ready()]
}

/// Found by reading: without cancels the attempt went on after its client, and was written once its connection was up.
#[test]
fn an_attempt_that_waits_for_its_connection_does_not_begin_once_its_client_has_left() {
    let (mut rig, client, conn) = request_awaiting_connection(buy(900));
    rig.input(Input::ClientClosed(client, CloseReason::Disconnected));
    let effects = rig.reply(conn, greeting());
    assert!(
        statements(&effects).is_empty() && closed(&effects).is_empty(),
        "{effects:?}"
    );
    let other = rig.client(2);
    assert_eq!(
        statements(&rig.ask(other, buy(900)))[0].0,
        conn,
        "the connection serves whoever asks next"
    );
}

/// The same for one that has cancelled its request and stays.
#[test]
fn a_cancelled_request_does_not_begin() {
    let (mut rig, client, conn) = request_awaiting_connection(buy(900));
    let key = rig.effects.iter().find_map(|e| match e {
        Effect::ClientWrite { bytes, .. } => {
            let at = bytes.windows(5).position(|w| w == [b'K', 0, 0, 0, 12])?;
            Some(bytes[at + 5..at + 13].to_vec())
        }
        _ => None,
    });
    let mut cancel = vec![0, 0, 0, 16, 4, 210, 22, 46];
    cancel.extend(key.expect("the key"));
    let by = ClientId(2);
    rig.input(Input::ClientConnected(by));
    let effects = rig.input(Input::ClientFrame(
        by,
        Frame {
            kind: 0,
            bytes: cancel,
        },
    ));
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("57014"));
    assert!(statements(&rig.reply(conn, greeting())).is_empty());
    assert!(rig.reducer.accepts_frame(client), "it may ask again");
}

/// After a pause of this process the connection's greeting may be read before the timers are looked at.
#[test]
fn an_attempt_does_not_begin_after_its_clients_time() {
    let (mut rig, _, conn) = request_awaiting_connection(buy(200));
    rig.now += 201 * MS;
    let mut effects = rig.reply(conn, greeting());
    effects.extend(rig.input(Input::TimerDue));
    assert!(statements(&effects).is_empty());
    assert_eq!(
        sqlstate(&answers(&effects)[0]).as_deref(),
        Some("53300"),
        "it never ran"
    );
}

/// Danger: a cancel that waited for the room that requests take, its own among them, would come when it no longer matters.
#[test]
fn a_cancel_is_taken_though_the_room_for_statements_is_used_up() {
    // No primary is known, so that writes wait.
    let followers = [entry(2, "ready", "follower"), entry(3, "ready", "follower")];
    let mut rig = Rig::new(&list_text(1, true, &followers));
    let value = "9f".repeat(64 << 10);
    let clients = [1, 2, 3, 4].map(|n| rig.client(n));
    for n in 0..200 {
        let client = clients[n % 4];
        if rig.reducer.accepts_frame(client) {
            let text =
                format!("INSERT INTO state (uid, val) VALUES ('k{n}', '\\x{value}') RETURNING val");
            rig.ask(
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
            .all(|client| !rig.reducer.accepts_frame(*client)),
        "the room is used up"
    );
    rig.input(Input::ClientConnected(ClientId(2000)));
    assert!(
        rig.reducer.accepts_frame(ClientId(2000)),
        "its startup, or a cancel in its place"
    );
}
