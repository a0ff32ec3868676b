//! Members that speak another frontend's protocol, and responses that are streams. Tests of the reducer without I/O.

mod common;

use common::*;
use stackgw_cluster::{Key, Keyring};
use stackgw_config::{Bootstrap, Duration};
use stackgw_gateway::config::{Config, FlightConfig};
use stackgw_gateway::reducer::{
    BackendRequest, CallId, CloseReason, ConnectionId, Effect, FinalResponse, Input, StreamHeader,
};
use stackgw_router::api::{Outcome, MS, SECOND};

/// A reducer whose members all speak another frontend's protocol.
fn backend_harness() -> ReducerHarness {
    ReducerHarness::with(flight_config("127.0.0.1:0"))
}

fn flight_config(listen: &str) -> Config {
    let mut config = config(&three_members());
    let file = format!(r#"{{"listen": "{listen}", "keys": ["k"], "groups": [2]}}"#);
    let keyring = Keyring::new(vec![
        Key::new("flight", b"a secret of this test").expect("a key")
    ])
    .expect("keys");
    config.operator.flight = Some(FlightConfig {
        options: serde_json::from_str(&file).expect("a valid section"),
        keyring,
    });
    config
}

#[test]
fn a_changed_frontend_configuration_is_logged_as_effective_after_a_restart() {
    let mut harness = backend_harness();
    for (listen, is_changed) in [("127.0.0.1:0", false), ("127.0.0.1:1", true)] {
        let effects = harness.input(Input::Reload(Ok(Box::new(flight_config(listen)))));
        let logged =
            |e: &Effect| matches!(e, Effect::Log(line) if line.contains("until a restart: flight"));
        assert_eq!(effects.iter().any(logged), is_changed, "{effects:?}");
    }
}

/// Establishes connections and answers health checks until a request is sent. Returns its connection and the request.
fn next_request(
    harness: &mut ReducerHarness,
    mut effects: Vec<Effect>,
) -> (ConnectionId, BackendRequest) {
    for _ in 0..200 {
        let mut next = Vec::new();
        for effect in effects {
            match effect {
                Effect::BackendConnect(conn, _) => {
                    next.extend(harness.input(Input::MemberConnected(conn)))
                }
                Effect::BackendSend(conn, request) if request.statement.starts_with("SHOW") => {
                    harness.input(Input::MemberFlushed(conn));
                    let text = format!("x0={}.0", harness.now / SECOND);
                    next.extend(
                        harness.reply(conn, [row(text.as_bytes()), vec![ready()]].concat()),
                    );
                }
                Effect::BackendSend(conn, request) => {
                    harness.input(Input::MemberFlushed(conn));
                    return (conn, request);
                }
                Effect::MemberConnect(..) | Effect::MemberWrite(..) => {
                    panic!("the members do not speak the PostgreSQL protocol")
                }
                _ => {}
            }
        }
        effects = if next.is_empty() {
            harness.advance(20 * MS)
        } else {
            next
        };
    }
    panic!("no request was sent");
}

/// Starts a call whose response is a stream, and returns the stream's connection.
fn begin_stream(harness: &mut ReducerHarness, call: u64) -> ConnectionId {
    let effects = harness.input(Input::Call(CallId(call), read_query(900), true));
    let (conn, request) = next_request(harness, effects);
    assert!(
        request.may_stream && !request.is_write && request.timeout_ms <= 900,
        "{request:?}"
    );
    let position = Some(harness.now - 10 * MS);
    let effects = harness.input(Input::StreamStarted(
        conn,
        StreamHeader {
            position,
            ..StreamHeader::default()
        },
    ));
    assert!(
        effects.contains(&Effect::CallStreaming(CallId(call), conn)),
        "{effects:?}"
    );
    conn
}

/// The number of requests that the router counts as in flight at all members.
fn in_flight(harness: &ReducerHarness) -> u32 {
    harness
        .reducer
        .member_statuses()
        .map(|member| member.snapshot.in_flight)
        .sum()
}

/// The number of requests sent to members, without health checks.
fn requests_sent(effects: &[Effect]) -> usize {
    let is_request = |e: &&Effect| matches!(e, Effect::BackendSend(_, request) if !request.statement.starts_with("SHOW"));
    effects.iter().filter(is_request).count()
}

#[test]
fn a_stream_counts_as_load_until_it_ends_and_its_connection_is_reused() {
    let mut harness = backend_harness();
    let conn = begin_stream(&mut harness, 1);
    harness.advance(3 * SECOND);
    assert_eq!(
        in_flight(&harness),
        1,
        "a stream must count as load long after the deadline for its start"
    );
    let effects = harness.input(Input::StreamEnded(conn, Outcome::Served));
    assert!(!closed(&effects).contains(&conn));
    assert_eq!(
        (
            in_flight(&harness),
            harness.reducer.counters().streams_begun
        ),
        (0, 1)
    );
    assert!(
        harness
            .reducer
            .member_statuses()
            .all(|member| member.snapshot.latency_ratio < 1.0),
        "the duration of a stream must not count as latency"
    );
}

#[test]
fn a_paused_stream_does_not_count_as_load() {
    let mut harness = backend_harness();
    let conn = begin_stream(&mut harness, 1);
    harness.input(Input::StreamPaused(conn));
    harness.input(Input::StreamPaused(conn));
    assert_eq!(in_flight(&harness), 0);
    harness.input(Input::StreamEnded(conn, Outcome::Cancelled));
    assert_eq!(
        (
            in_flight(&harness),
            harness.reducer.counters().streams_broken
        ),
        (0, 1)
    );
}

#[test]
fn a_broken_stream_is_not_retried() {
    let mut harness = backend_harness();
    let conn = begin_stream(&mut harness, 1);
    let mut effects = harness.input(Input::MemberClosed(conn, CloseReason::Disconnected));
    effects.extend(harness.advance(2 * SECOND));
    assert_eq!(requests_sent(&effects), 0, "{effects:?}");
    assert_eq!(in_flight(&harness), 0);
}

#[test]
fn a_stream_of_a_cancelled_call_is_closed_and_leaves_no_state() {
    let mut harness = backend_harness();
    let conn = begin_stream(&mut harness, 1);
    let effects = harness.input(Input::CallCancelled(CallId(1)));
    assert_eq!(closed(&effects), [conn]);
    harness.input(Input::StreamEnded(conn, Outcome::Cancelled));
    harness.input(Input::CallCancelled(CallId(1)));
    let counters = harness.reducer.counters();
    assert_eq!(
        (
            counters.buffered_bytes,
            counters.ended_cancelled,
            in_flight(&harness)
        ),
        (0, 1, 0)
    );
}

#[test]
fn a_stream_that_begins_after_its_call_was_cancelled_is_closed() {
    let mut harness = backend_harness();
    let effects = harness.input(Input::Call(CallId(1), read_query(900), true));
    let (conn, _) = next_request(&mut harness, effects);
    let mut effects = harness.input(Input::CallCancelled(CallId(1)));
    effects.extend(harness.input(Input::StreamStarted(conn, StreamHeader::default())));
    assert!(closed(&effects).contains(&conn));
    assert!(!effects
        .iter()
        .any(|e| matches!(e, Effect::CallStreaming(..))));
}

#[test]
fn a_write_is_not_streamed_and_not_retried_once_it_may_have_run() {
    for (reason, is_retryable) in [
        (CloseReason::Disconnected, false),
        (CloseReason::NotSent, true),
    ] {
        let mut harness = backend_harness();
        let effects = harness.input(Input::Call(CallId(1), write_query(900), true));
        let (conn, first) = next_request(&mut harness, effects);
        assert!(first.is_write && !first.may_stream, "{first:?}");
        let mut effects = harness.input(Input::MemberClosed(conn, reason));
        effects.extend(harness.advance(2 * SECOND));
        assert!(is_retryable || requests_sent(&effects) == 0, "{effects:?}");
        let response = effects.iter().find_map(|e| match e {
            Effect::CallCompleted(_, response) => Some(response.clone()),
            _ => None,
        });
        assert_eq!(
            matches!(response, Some(FinalResponse::Rejected(..))),
            is_retryable,
            "{response:?}"
        );
        assert_eq!(
            matches!(response, Some(FinalResponse::Failed(_))),
            !is_retryable,
            "{response:?}"
        );
    }
}

#[test]
fn a_stream_is_not_accepted_as_a_health_check_response() {
    let mut harness = backend_harness();
    let opened = |effects: Vec<Effect>| {
        effects.into_iter().find_map(|e| {
            if let Effect::BackendConnect(conn, _) = e {
                Some(conn)
            } else {
                None
            }
        })
    };
    let conn = (0..200)
        .find_map(|_| opened(harness.advance(10 * MS)))
        .expect("a connection for a health check");
    let effects = harness.input(Input::MemberConnected(conn));
    assert!(
        matches!(&effects[..], [Effect::BackendSend(_, request), ..] if request.statement.starts_with("SHOW"))
    );
    harness.input(Input::MemberFlushed(conn));
    let effects = harness.input(Input::StreamStarted(conn, StreamHeader::default()));
    assert!(closed(&effects).contains(&conn));
    assert!(harness.reducer.counters().health_checks_failed > 0);
}

/// A gateway that may open about one connection per second to members that have just started.
fn paced_harness() -> ReducerHarness {
    let mut config = flight_config("127.0.0.1:0");
    config.initial_endpoints = None;
    // Keeps the gateway's budget for cold members from limiting the test.
    config.settings.router.fleet_size = 1;
    let options = Bootstrap {
        bears: 100,
        opens: Some(1),
        service: String::new(),
        list: None,
        kept_wait: Duration::from_millis(0),
        reset_after: Duration::from_millis(60_000),
    };
    config.bootstrap = Some(options.clone());
    let mut harness = ReducerHarness::with(config);
    let mut effects = Vec::new();
    harness
        .reducer
        .enable_bootstrap(harness.now, &options, None, None, &mut effects);
    harness.advance(100 * MS);
    let since = format!("\"up_since_ms\":{}", START / MS);
    let entries = [entry(1, "ready", "leader")].map(|e| e.replace("\"up_since_ms\":0", &since));
    harness.input(Input::EndpointList(list(1, true, &entries)));
    harness
}

/// When a stream ended, its connection was not used for waiting requests until the pacer next checked all members.
#[test]
fn a_request_that_waits_for_a_paced_connection_is_sent_when_a_stream_ends() {
    let mut harness = paced_harness();
    let effects = harness.input(Input::Call(CallId(1), read_query(1_900), true));
    let (conn, _) = next_request(&mut harness, effects);
    harness.input(Input::StreamStarted(conn, StreamHeader::default()));
    let effects = harness.input(Input::Call(CallId(2), read_query(1_900), true));
    let sent_count = |effects: &[Effect]| {
        let sent = effects.iter();
        sent.filter(|e| matches!(e, Effect::BackendSend(..)))
            .count()
    };
    assert_eq!(sent_count(&effects), 0, "the only connection is in use");
    let effects = harness.input(Input::StreamEnded(conn, Outcome::Served));
    assert_eq!(sent_count(&effects), 1, "{effects:?}");
}
