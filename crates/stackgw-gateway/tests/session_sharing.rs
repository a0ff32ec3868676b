//! The reducer with sessions shared across instances: what waits for them, and how it ends.

mod common;

use common::*;
use stackgw_cluster::{Key, Keyring};
use stackgw_config::{Duration, Sessions};
use stackgw_gateway::config::SessionSharingConfig;
use stackgw_gateway::pg::Frame;
use stackgw_gateway::reducer::{ConnectionId, Effect, Incarnation, Input, StatusQuery};
use stackgw_router::api::{Span, MS, SECOND};

const LEASE: Span = 400 * MS;
/// A lease and what its giver adds to it: an earlier life may have pledged so long.
const BOUND: Span = LEASE + LEASE / 8;

/// One of two keepers; the other one is nowhere.
fn session_sharing(keepers: &[&str]) -> SessionSharingConfig {
    let file = Sessions {
        cluster: "test".to_owned(),
        listen: "127.0.0.1:7300".parse().expect("an address"),
        advertise: None,
        seeds: Vec::new(),
        keys: Vec::new(),
        keepers: keepers.iter().map(|name| (*name).to_owned()).collect(),
        homes: 2,
        lease: Duration::from_millis(400),
        horizon: Duration::from_millis(2_000),
        resend: Duration::from_millis(20),
        lookup: Duration::from_millis(20),
        marks: 1_000,
        own_marks: 1_000,
        waits: 100,
        store: None,
        expected: 2,
    };
    let key = Key::new("test", b"a secret of this test alone").expect("a secret");
    SessionSharingConfig {
        options: file,
        keyring: Keyring::new(vec![key]).expect("keys"),
    }
}

fn rig(keepers: &[&str]) -> Rig {
    rig_with(session_sharing(keepers))
}

fn rig_with(session_sharing: SessionSharingConfig) -> Rig {
    let mut config = config(&three());
    config.session_sharing = Some(session_sharing);
    let session_sharing = config.session_sharing.clone().expect("it is there");
    let mut rig = Rig::with(config);
    let life = Incarnation {
        number: 5,
        recovered: None,
    };
    let mut effects = Vec::new();
    rig.reducer
        .enable_session_sharing(rig.now, &session_sharing, life, &mut effects);
    rig.input(Input::TimerDue);
    rig
}

fn mine(wait_ms: u64) -> Frame {
    let id = new_id();
    query(&format!(
        "SELECT val FROM state WHERE uid = 'k1' /* id={id},c=mine,d={wait_ms},cluster=2 */"
    ))
}

/// A write that a member has served; its connection, and what followed.
fn write_served(rig: &mut Rig, wait_ms: u64) -> Vec<Effect> {
    let client = rig.client(1);
    let mut effects = rig.ask(client, buy(wait_ms));
    effects.extend(rig.pass(60 * MS));
    let conn = statements(&effects)
        .first()
        .map(|(conn, _)| *conn)
        .expect("an attempt");
    serve_as(rig, conn, "leader")
}

fn serve_as(rig: &mut Rig, conn: ConnectionId, role: &str) -> Vec<Effect> {
    let mut frames = row(b"v");
    let position = (rig.now / MS).to_string();
    frames.extend([
        status("node_role", role),
        status("replay_position", &position),
        ready(),
    ]);
    rig.reply(conn, frames)
}

#[test]
fn a_writes_response_waits_until_no_other_replica_may_be_certain() {
    let mut rig = rig(&["g0", "g1"]);
    assert!(answers(&write_served(&mut rig, 3_000)).is_empty());
    assert!(answers(&rig.pass(BOUND - 100 * MS)).is_empty());
    let told = answers(&rig.pass(200 * MS));
    assert_eq!((told.len(), sqlstate(&told[0])), (1, None));
    assert_eq!(rig.reducer.counters().answered_served, 1);
    assert_eq!(rig.reducer.counters().buffered_bytes, 0);
}

#[test]
fn one_that_cannot_be_confirmed_in_time_is_failed_once_and_never_refused() {
    let mut rig = rig(&["g0", "g1"]);
    assert!(answers(&write_served(&mut rig, 300)).is_empty());
    let told = answers(&rig.pass(300 * MS));
    assert_eq!(told.len(), 1);
    assert_eq!(sqlstate(&told[0]).as_deref(), Some("58000"), "it has run");
    assert!(answers(&rig.pass(3 * SECOND)).is_empty());
    assert_eq!(rig.reducer.counters().buffered_bytes, 0);
}

#[test]
fn a_client_that_leaves_while_its_answer_is_held_leaves_nothing_behind() {
    let mut rig = rig(&["g0", "g1"]);
    write_served(&mut rig, 3_000);
    let client = stackgw_gateway::reducer::ClientId(1);
    rig.input(Input::ClientClosed(
        client,
        stackgw_gateway::reducer::CloseReason::Disconnected,
    ));
    assert!(answers(&rig.pass(3 * SECOND)).is_empty());
    assert_eq!(
        (
            rig.reducer.counters().buffered_bytes,
            rig.reducer.counters().abandoned
        ),
        (0, 1)
    );
}

#[test]
fn at_the_end_what_is_held_is_failed() {
    let mut session_sharing = session_sharing(&["g0", "g1"]);
    session_sharing.options.lease = Duration::from_millis(9_000);
    let mut rig = rig_with(session_sharing);
    rig.input(Input::Terminate);
    rig.pass(SECOND);
    assert!(answers(&write_served(&mut rig, 3_000)).is_empty());
    let told = answers(&rig.pass(3 * SECOND));
    assert_eq!(
        (told.len(), sqlstate(&told[0]).as_deref()),
        (1, Some("58000"))
    );
}

#[test]
fn a_read_of_which_nothing_is_known_waits_for_a_primary_that_says_so() {
    let mut rig = rig(&["g0", "g1"]);
    let client = rig.client(1);
    // All members say that they are replicas, with all there is: none of them will do.
    let mut effects = rig.ask(client, mine(900));
    effects.extend(rig.pass(300 * MS));
    assert!(statements(&effects).is_empty(), "{effects:?}");
    let told = answers(&rig.pass(900 * MS));
    assert_eq!(
        (told.len(), sqlstate(&told[0]).as_deref()),
        (1, Some("53300")),
        "a read may be refused"
    );
}

#[test]
fn a_single_replica_is_certain_after_the_retention_and_knows_its_own_writes() {
    let mut rig = rig(&["g0"]);
    assert_eq!(rig.session_status()["sure"], false);
    rig.pass(2 * SECOND + LEASE);
    assert_eq!(rig.session_status()["sure"], true);
    let told = answers(&write_served(&mut rig, 3_000));
    assert_eq!(
        (told.len(), sqlstate(&told[0])),
        (1, None),
        "nobody else need know"
    );
    // Past the window after a write only a replica that is known to hold it is asked.
    rig.pass(1_500 * MS);
    let client = rig.client(2);
    let mut effects = rig.ask(client, mine(900));
    effects.extend(rig.pass(100 * MS));
    assert_eq!(statements(&effects).len(), 1, "{effects:?}");
}

#[test]
fn an_instance_without_a_known_replica_rejects_writes_before_they_run() {
    let mut rig = rig(&["g7"]);
    let client = rig.client(1);
    let effects = rig.ask(client, buy(900));
    assert!(statements(&effects).is_empty());
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("53300"));
}

#[test]
fn foreign_datagrams_are_counted_and_change_nothing() {
    let mut rig = rig(&["g0", "g1"]);
    for length in [0, 1, 30, 1_200, 1_300] {
        rig.input(Input::ClusterDatagram(vec![1; length]));
    }
    let told = rig.session_status();
    let counts = &told["counts"];
    let refused = ["foreign", "unknown_key", "forged", "malformed"]
        .map(|why| counts[why].as_u64().unwrap_or(0));
    assert_eq!(refused.iter().sum::<u64>(), 5, "{told}");
}

trait SessionStatus {
    fn session_status(&mut self) -> serde_json::Value;
}

impl SessionStatus for Rig {
    fn session_status(&mut self) -> serde_json::Value {
        let effects = self.input(Input::StatusQuery(1, StatusQuery::Sessions));
        let told = effects.into_iter().find_map(|effect| match effect {
            Effect::StatusReply(1, value) => Some(value),
            _ => None,
        });
        told.expect("an answer")
    }
}
