//! The reducer with paced connections to cold members: no connection is opened before its turn, and nothing else changes.

mod common;

use common::*;
use stackgw_config::{Bootstrap, Duration};
use stackgw_gateway::reducer::{Effect, Input};
use stackgw_router::api::{Time, MS, SECOND};

/// The start time of a member that starts with the test, in Unix milliseconds.
const COLD: i64 = START / MS;
/// The start time of a member that is warm, in Unix milliseconds.
const LONG_AGO: i64 = 0;

/// A gateway of a fleet of ten, which may open `opens` new connections per second to a cold member, with an endpoint list.
fn paced_harness(since_ms: i64, opens: Option<u32>) -> ReducerHarness {
    let mut config = config("null");
    config.settings.router.fleet_size = 10;
    let file = Bootstrap {
        bears: 100,
        opens,
        service: String::new(),
        list: None,
        kept_wait: Duration::from_millis(0),
        reset_after: Duration::from_millis(60_000),
    };
    config.bootstrap = Some(file.clone());
    let mut harness = ReducerHarness::with(config);
    let mut effects = Vec::new();
    harness
        .reducer
        .enable_bootstrap(harness.now, &file, None, None, &mut effects);
    harness.advance(SECOND / 10);
    deliver_list(&mut harness, 1, since_ms);
    harness
}

fn deliver_list(harness: &mut ReducerHarness, revision: u64, since_ms: i64) {
    let entries = [
        entry(1, "ready", "leader"),
        entry(2, "ready", "follower"),
        entry(3, "ready", "follower"),
    ];
    let since = format!("\"up_since_ms\":{since_ms}");
    let entries = entries.map(|entry| entry.replace("\"up_since_ms\":0", &since));
    harness.input(Input::EndpointList(list(revision, true, &entries)));
}

/// Sends writes repeatedly while members close each connection after its response. Returns when connections were opened.
fn opening_times(harness: &mut ReducerHarness, duration: Time) -> Vec<Time> {
    let client = harness.client(1);
    let (start, mut opened_at) = (harness.now, Vec::new());
    while harness.now < start + duration {
        let mut effects = harness.send(client, write_query(400));
        effects.extend(harness.advance(50 * MS));
        for (conn, _) in statements(&effects) {
            effects.extend(harness.serve(conn, b"v"));
        }
        for (conn, _) in opened(&effects) {
            opened_at.push(harness.now - start);
            harness.disconnect(conn);
        }
    }
    opened_at
}

#[test]
fn connections_to_a_cold_member_are_paced_when_connections_break() {
    let paced = opening_times(&mut paced_harness(COLD, Some(2)), 5 * SECOND);
    // Each of three members accepts 2 connections per second, growing to 8, from ten gateways together: on average 5 in 5 s
    // for this one.
    assert!((1..=9).contains(&paced.len()), "{paced:?}");
    let unpaced = opening_times(&mut paced_harness(COLD, None), 5 * SECOND);
    assert!(
        unpaced.len() > 3 * paced.len(),
        "connections without pacing: {}",
        unpaced.len()
    );
}

#[test]
fn a_warm_member_is_connected_to_at_once() {
    let paced = opening_times(&mut paced_harness(LONG_AGO, Some(2)), SECOND);
    assert!(
        paced.first() < Some(&(100 * MS)) && paced.len() > 5,
        "{paced:?}"
    );
    // A cold member becomes warm 10 s after its start (`WarmWithinNs`).
    let mut harness = paced_harness(COLD, Some(2));
    harness.advance(11 * SECOND);
    let paced = opening_times(&mut harness, SECOND);
    assert!(
        paced.first() < Some(&(100 * MS)) && paced.len() > 5,
        "{paced:?}"
    );
}

#[test]
fn requests_wait_for_a_paced_connection_and_share_it() {
    let mut harness = paced_harness(COLD, Some(2));
    let clients: Vec<_> = (1..=6).map(|n| harness.client(n)).collect();
    let mut effects = Vec::new();
    for client in &clients {
        effects.extend(harness.send(*client, write_query(1_900)));
    }
    let mut conns = Vec::new();
    while harness.now < START + 20 * SECOND {
        effects.extend(harness.advance(20 * MS));
        let sent: Vec<_> = statements(&effects);
        conns.extend(
            opened(&effects)
                .into_iter()
                .filter(|(_, member)| *member == 1),
        );
        effects.clear();
        for (conn, _) in sent {
            effects.extend(harness.serve(conn, b"v"));
        }
    }
    let counters = harness.reducer.counters();
    let answered = counters.answered_served + counters.answered_rejected;
    assert_eq!(
        (answered, counters.answered_failed),
        (6, 0),
        "each request must get one response"
    );
    assert!(conns.len() <= 2, "{conns:?}");
    if counters.answered_served > 0 {
        assert!(!conns.is_empty());
    }
}

#[test]
fn the_log_line_of_the_list_shows_paced_members() {
    let mut harness = paced_harness(COLD, Some(2));
    opening_times(&mut harness, 2 * SECOND);
    let effects = harness.input(Input::Report);
    let line = effects.iter().find_map(|effect| match effect {
        Effect::Log(line) if line.starts_with("list from") => Some(line.clone()),
        _ => None,
    });
    assert!(
        line.as_deref()
            .is_some_and(|line| line.contains(" dealt=3 ")),
        "{line:?}"
    );
}
