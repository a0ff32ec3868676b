//! Members behind another front's protocol, and answers that come as streams, against the reducer alone.

mod common;

use common::*;
use stackgw_cluster::{Key, Keyring};
use stackgw_config::{Bootstrap, Duration};
use stackgw_gateway::config::{Config, FlightConfig};
use stackgw_gateway::reducer::{
    BackendRequest, CallId, CloseReason, ConnectionId, Effect, FinalResponse, Input, StreamHeader,
};
use stackgw_router::api::{Outcome, MS, SECOND};

/// A reducer whose members all speak another front's protocol, with connections that come up at once.
fn rig() -> Rig {
    Rig::with(configured("127.0.0.1:0"))
}

fn configured(listen: &str) -> Config {
    let mut config = config(&three());
    let file = format!(r#"{{"listen": "{listen}", "keys": ["k"], "groups": [2]}}"#);
    let ring = Keyring::new(vec![
        Key::new("flight", b"a secret of this test").expect("a key")
    ])
    .expect("keys");
    config.operator.flight = Some(FlightConfig {
        options: serde_json::from_str(&file).expect("a part"),
        keyring: ring,
    });
    config
}

#[test]
fn what_another_front_runs_by_holds_until_a_restart_and_that_is_said() {
    let mut rig = rig();
    for (listen, named) in [("127.0.0.1:0", false), ("127.0.0.1:1", true)] {
        let effects = rig.input(Input::Reload(Ok(Box::new(configured(listen)))));
        let said =
            |e: &Effect| matches!(e, Effect::Log(line) if line.contains("until a restart: flight"));
        assert_eq!(effects.iter().any(said), named, "{effects:?}");
    }
}

/// Brings connections up and answers probes until a statement is asked; gives it.
fn asked(rig: &mut Rig, mut effects: Vec<Effect>) -> (ConnectionId, BackendRequest) {
    for _ in 0..200 {
        let mut next = Vec::new();
        for effect in effects {
            match effect {
                Effect::BackendConnect(conn, _) => {
                    next.extend(rig.input(Input::MemberConnected(conn)))
                }
                Effect::BackendSend(conn, asked) if asked.statement.starts_with("SHOW") => {
                    rig.input(Input::MemberFlushed(conn));
                    let text = format!("x0={}.0", rig.now / SECOND);
                    next.extend(rig.reply(conn, [row(text.as_bytes()), vec![ready()]].concat()));
                }
                Effect::BackendSend(conn, asked) => {
                    rig.input(Input::MemberFlushed(conn));
                    return (conn, asked);
                }
                Effect::MemberConnect(..) | Effect::MemberWrite(..) => {
                    panic!("they do not speak that")
                }
                _ => {}
            }
        }
        effects = if next.is_empty() {
            rig.pass(20 * MS)
        } else {
            next
        };
    }
    panic!("nothing was asked");
}

fn begin(rig: &mut Rig, call: u64) -> ConnectionId {
    let effects = rig.input(Input::Call(CallId(call), read(900), true));
    let (conn, asked) = asked(rig, effects);
    assert!(
        asked.may_stream && !asked.is_write && asked.timeout_ms <= 900,
        "{asked:?}"
    );
    let position = Some(rig.now - 10 * MS);
    let effects = rig.input(Input::StreamStarted(
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

/// Requests that the router takes members to hold.
fn in_flight(rig: &Rig) -> u32 {
    rig.reducer
        .member_statuses()
        .map(|seen| seen.snapshot.in_flight)
        .sum()
}

fn asks(effects: &[Effect]) -> usize {
    let asks = |e: &&Effect| matches!(e, Effect::BackendSend(_, asked) if !asked.statement.starts_with("SHOW"));
    effects.iter().filter(asks).count()
}

#[test]
fn a_stream_is_load_until_it_is_over_and_its_connection_serves_again() {
    let mut rig = rig();
    let conn = begin(&mut rig, 1);
    rig.pass(3 * SECOND);
    assert_eq!(in_flight(&rig), 1, "long after its time to begin");
    let effects = rig.input(Input::StreamEnded(conn, Outcome::Served));
    assert!(!closed(&effects).contains(&conn));
    assert_eq!(
        (in_flight(&rig), rig.reducer.counters().streams_begun),
        (0, 1)
    );
    assert!(
        rig.reducer
            .member_statuses()
            .all(|seen| seen.snapshot.latency_ratio < 1.0),
        "its length is no strain"
    );
}

#[test]
fn a_stream_that_waits_for_its_reader_is_no_load() {
    let mut rig = rig();
    let conn = begin(&mut rig, 1);
    rig.input(Input::StreamPaused(conn));
    rig.input(Input::StreamPaused(conn));
    assert_eq!(in_flight(&rig), 0);
    rig.input(Input::StreamEnded(conn, Outcome::Cancelled));
    assert_eq!(
        (in_flight(&rig), rig.reducer.counters().streams_broken),
        (0, 1)
    );
}

#[test]
fn a_stream_that_breaks_is_not_begun_again() {
    let mut rig = rig();
    let conn = begin(&mut rig, 1);
    let mut effects = rig.input(Input::MemberClosed(conn, CloseReason::Disconnected));
    effects.extend(rig.pass(2 * SECOND));
    assert_eq!(asks(&effects), 0, "{effects:?}");
    assert_eq!(in_flight(&rig), 0);
}

#[test]
fn a_client_that_leaves_halfway_ends_its_stream_and_leaves_nothing() {
    let mut rig = rig();
    let conn = begin(&mut rig, 1);
    let effects = rig.input(Input::CallCancelled(CallId(1)));
    assert_eq!(closed(&effects), [conn]);
    rig.input(Input::StreamEnded(conn, Outcome::Cancelled));
    rig.input(Input::CallCancelled(CallId(1)));
    let counters = rig.reducer.counters();
    assert_eq!(
        (
            counters.buffered_bytes,
            counters.ended_cancelled,
            in_flight(&rig)
        ),
        (0, 1, 0)
    );
}

#[test]
fn one_that_begins_after_its_client_left_is_closed() {
    let mut rig = rig();
    let effects = rig.input(Input::Call(CallId(1), read(900), true));
    let (conn, _) = asked(&mut rig, effects);
    let mut effects = rig.input(Input::CallCancelled(CallId(1)));
    effects.extend(rig.input(Input::StreamStarted(conn, StreamHeader::default())));
    assert!(closed(&effects).contains(&conn));
    assert!(!effects
        .iter()
        .any(|e| matches!(e, Effect::CallStreaming(..))));
}

#[test]
fn a_write_is_no_stream_and_never_asked_again_once_it_may_have_run() {
    for (why, harmless) in [
        (CloseReason::Disconnected, false),
        (CloseReason::NotSent, true),
    ] {
        let mut rig = rig();
        let effects = rig.input(Input::Call(CallId(1), buy(900), true));
        let (conn, first) = asked(&mut rig, effects);
        assert!(first.is_write && !first.may_stream, "{first:?}");
        let mut effects = rig.input(Input::MemberClosed(conn, why));
        effects.extend(rig.pass(2 * SECOND));
        assert!(harmless || asks(&effects) == 0, "{effects:?}");
        let ended = effects.iter().find_map(|e| match e {
            Effect::CallCompleted(_, ended) => Some(ended.clone()),
            _ => None,
        });
        assert_eq!(
            matches!(ended, Some(FinalResponse::Rejected(..))),
            harmless,
            "{ended:?}"
        );
        assert_eq!(
            matches!(ended, Some(FinalResponse::Failed(_))),
            !harmless,
            "{ended:?}"
        );
    }
}

#[test]
fn a_probe_is_never_answered_by_a_stream() {
    let mut rig = rig();
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
        .find_map(|_| opened(rig.pass(10 * MS)))
        .expect("a probe");
    let effects = rig.input(Input::MemberConnected(conn));
    assert!(
        matches!(&effects[..], [Effect::BackendSend(_, asked), ..] if asked.statement.starts_with("SHOW"))
    );
    rig.input(Input::MemberFlushed(conn));
    let effects = rig.input(Input::StreamStarted(conn, StreamHeader::default()));
    assert!(closed(&effects).contains(&conn));
    assert!(rig.reducer.counters().health_checks_failed > 0);
}

/// A gateway that may open one connection a second or so to members that have just started.
fn paced_rig() -> Rig {
    let mut config = configured("127.0.0.1:0");
    config.initial_endpoints = None;
    // Its budget for members that warm up is no limit here.
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
    let mut rig = Rig::with(config);
    let mut effects = Vec::new();
    rig.reducer
        .enable_bootstrap(rig.now, &options, None, None, &mut effects);
    rig.pass(100 * MS);
    let since = format!("\"up_since_ms\":{}", START / MS);
    let entries = [entry(1, "ready", "leader")].map(|e| e.replace("\"up_since_ms\":0", &since));
    rig.input(Input::EndpointList(list(1, true, &entries)));
    rig
}

/// The connection of a stream that had ended was not used for what waited, until the pacer looked at all members again.
#[test]
fn what_waits_for_a_paced_connection_is_sent_when_a_stream_ends() {
    let mut rig = paced_rig();
    let effects = rig.input(Input::Call(CallId(1), read(1_900), true));
    let (conn, _) = asked(&mut rig, effects);
    rig.input(Input::StreamStarted(conn, StreamHeader::default()));
    let effects = rig.input(Input::Call(CallId(2), read(1_900), true));
    let sends = |effects: &[Effect]| {
        let sent = effects.iter();
        sent.filter(|e| matches!(e, Effect::BackendSend(..)))
            .count()
    };
    assert_eq!(sends(&effects), 0, "the one connection is taken");
    let effects = rig.input(Input::StreamEnded(conn, Outcome::Served));
    assert_eq!(sends(&effects), 1, "{effects:?}");
}
