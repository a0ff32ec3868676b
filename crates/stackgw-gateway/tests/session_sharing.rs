//! The reducer with sessions shared across instances: which requests wait for them, and how these end.

mod common;

use common::*;
use stackgw_cluster::{Key, Keyring};
use stackgw_config::{Duration, Sessions};
use stackgw_gateway::config::SessionSharingConfig;
use stackgw_gateway::pg::Frame;
use stackgw_gateway::reducer::{ConnectionId, Effect, Incarnation, Input, StatusQuery};
use stackgw_router::api::{Span, MS, SECOND};

const LEASE: Span = 400 * MS;
/// A lease and the margin that its grantor adds. An earlier incarnation may have granted a lease for this long.
const BOUND: Span = LEASE + LEASE / 8;

/// Session sharing with these replicas, of which only `g0`, the instance under test, runs.
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
    let key = Key::new("test", b"a secret of this test alone").expect("a valid secret");
    SessionSharingConfig {
        options: file,
        keyring: Keyring::new(vec![key]).expect("a valid keyring"),
    }
}

fn sharing_harness(keepers: &[&str]) -> ReducerHarness {
    sharing_harness_with(session_sharing(keepers))
}

fn sharing_harness_with(session_sharing: SessionSharingConfig) -> ReducerHarness {
    let mut config = config(&three_members());
    config.session_sharing = Some(session_sharing);
    let session_sharing = config
        .session_sharing
        .clone()
        .expect("session sharing is set");
    let mut harness = ReducerHarness::with(config);
    let incarnation = Incarnation {
        number: 5,
        recovered: None,
    };
    let mut effects = Vec::new();
    harness.reducer.enable_session_sharing(
        harness.now,
        &session_sharing,
        incarnation,
        &mut effects,
    );
    harness.input(Input::TimerDue);
    harness
}

fn session_read(wait_ms: u64) -> Frame {
    let id = new_id();
    query(&format!(
        "SELECT val FROM state WHERE uid = 'k1' /* id={id},c=mine,d={wait_ms},cluster=2 */"
    ))
}

/// Has a member serve a write and returns the effects of its response.
fn write_served(harness: &mut ReducerHarness, wait_ms: u64) -> Vec<Effect> {
    let client = harness.client(1);
    let mut effects = harness.send(client, write_query(wait_ms));
    effects.extend(harness.advance(60 * MS));
    let conn = statements(&effects)
        .first()
        .map(|(conn, _)| *conn)
        .expect("an attempt was sent");
    serve_as(harness, conn, "leader")
}

fn serve_as(harness: &mut ReducerHarness, conn: ConnectionId, role: &str) -> Vec<Effect> {
    let mut frames = row(b"v");
    let position = (harness.now / MS).to_string();
    frames.extend([
        status("node_role", role),
        status("replay_position", &position),
        ready(),
    ]);
    harness.reply(conn, frames)
}

#[test]
fn a_writes_response_waits_until_no_other_replica_may_be_certain() {
    let mut harness = sharing_harness(&["g0", "g1"]);
    assert!(client_replies(&write_served(&mut harness, 3_000)).is_empty());
    assert!(client_replies(&harness.advance(BOUND - 100 * MS)).is_empty());
    let replies = client_replies(&harness.advance(200 * MS));
    assert_eq!((replies.len(), sqlstate(&replies[0])), (1, None));
    assert_eq!(harness.reducer.counters().answered_served, 1);
    assert_eq!(harness.reducer.counters().buffered_bytes, 0);
}

#[test]
fn a_write_that_cannot_be_confirmed_in_time_fails_once_and_is_not_rejected() {
    let mut harness = sharing_harness(&["g0", "g1"]);
    assert!(client_replies(&write_served(&mut harness, 300)).is_empty());
    let replies = client_replies(&harness.advance(300 * MS));
    assert_eq!(replies.len(), 1);
    assert_eq!(
        sqlstate(&replies[0]).as_deref(),
        Some("58000"),
        "a write that has run must fail with 58000 and not be rejected"
    );
    assert!(client_replies(&harness.advance(3 * SECOND)).is_empty());
    assert_eq!(harness.reducer.counters().buffered_bytes, 0);
}

#[test]
fn a_held_response_is_dropped_when_its_client_disconnects() {
    let mut harness = sharing_harness(&["g0", "g1"]);
    write_served(&mut harness, 3_000);
    let client = stackgw_gateway::reducer::ClientId(1);
    harness.input(Input::ClientClosed(
        client,
        stackgw_gateway::reducer::CloseReason::Disconnected,
    ));
    assert!(client_replies(&harness.advance(3 * SECOND)).is_empty());
    assert_eq!(
        (
            harness.reducer.counters().buffered_bytes,
            harness.reducer.counters().abandoned
        ),
        (0, 1)
    );
}

#[test]
fn held_responses_fail_at_shutdown() {
    let mut session_sharing = session_sharing(&["g0", "g1"]);
    session_sharing.options.lease = Duration::from_millis(9_000);
    let mut harness = sharing_harness_with(session_sharing);
    harness.input(Input::Terminate);
    harness.advance(SECOND);
    assert!(client_replies(&write_served(&mut harness, 3_000)).is_empty());
    let replies = client_replies(&harness.advance(3 * SECOND));
    assert_eq!(
        (replies.len(), sqlstate(&replies[0]).as_deref()),
        (1, Some("58000"))
    );
}

#[test]
fn a_read_of_an_unknown_session_waits_for_a_member_that_reports_the_primary_role() {
    let mut harness = sharing_harness(&["g0", "g1"]);
    let client = harness.client(1);
    // All members report that they are replicas, so none of them may serve the read even if it has replayed everything.
    let mut effects = harness.send(client, session_read(900));
    effects.extend(harness.advance(300 * MS));
    assert!(statements(&effects).is_empty(), "{effects:?}");
    let replies = client_replies(&harness.advance(900 * MS));
    assert_eq!(
        (replies.len(), sqlstate(&replies[0]).as_deref()),
        (1, Some("53300")),
        "a read that no member may serve must be rejected"
    );
}

#[test]
fn a_single_replica_is_certain_after_the_retention_and_knows_its_own_writes() {
    let mut harness = sharing_harness(&["g0"]);
    assert_eq!(harness.session_status()["sure"], false);
    harness.advance(2 * SECOND + LEASE);
    assert_eq!(harness.session_status()["sure"], true);
    let replies = client_replies(&write_served(&mut harness, 3_000));
    assert_eq!(
        (replies.len(), sqlstate(&replies[0])),
        (1, None),
        "a write must be confirmed without any other instance"
    );
    // Once session reads need not go to the primary any more, only a replica that is known to have the write may serve.
    harness.advance(1_500 * MS);
    let client = harness.client(2);
    let mut effects = harness.send(client, session_read(900));
    effects.extend(harness.advance(100 * MS));
    assert_eq!(statements(&effects).len(), 1, "{effects:?}");
}

#[test]
fn an_instance_without_a_known_replica_rejects_writes_before_they_run() {
    let mut harness = sharing_harness(&["g7"]);
    let client = harness.client(1);
    let effects = harness.send(client, write_query(900));
    assert!(statements(&effects).is_empty());
    assert_eq!(
        sqlstate(&client_replies(&effects)[0]).as_deref(),
        Some("53300")
    );
}

#[test]
fn foreign_datagrams_are_counted_and_change_nothing() {
    let mut harness = sharing_harness(&["g0", "g1"]);
    // The last length is above the largest datagram, 1,200 bytes.
    for length in [0, 1, 30, 1_200, 1_300] {
        harness.input(Input::ClusterDatagram(vec![1; length]));
    }
    let session_status = harness.session_status();
    let counts = &session_status["counts"];
    let rejected = ["foreign", "unknown_key", "forged", "malformed"]
        .map(|reason| counts[reason].as_u64().unwrap_or(0));
    assert_eq!(rejected.iter().sum::<u64>(), 5, "{session_status}");
}

trait SessionStatus {
    fn session_status(&mut self) -> serde_json::Value;
}

impl SessionStatus for ReducerHarness {
    fn session_status(&mut self) -> serde_json::Value {
        let effects = self.input(Input::StatusQuery(1, StatusQuery::Sessions));
        let value = effects.into_iter().find_map(|effect| match effect {
            Effect::StatusReply(1, value) => Some(value),
            _ => None,
        });
        value.expect("a status reply")
    }
}
