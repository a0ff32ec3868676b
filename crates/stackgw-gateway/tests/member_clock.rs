//! The members' clock against the gateway's: what a position proves where the two differ.

mod common;

use common::*;
use stackgw_gateway::reducer::{ConnectionId, Input};
use stackgw_router::api::{Span, Time, MS, SECOND};

/// The ports of the members.
const PRIMARY: u16 = 7001;
const REPLICA: u16 = 7002;

/// The positions of the primary and of the replica, relative to the harness's clock.
#[derive(Clone, Copy)]
struct Positions {
    primary: Span,
    replica: Span,
}

/// A harness that does not know the members' clock, with a primary (member 1) and a replica (member 2).
fn harness() -> ReducerHarness {
    let mut harness = ReducerHarness::with_unknown_clock(config("null"));
    harness.answer_health_checks = false;
    let entries = [entry(1, "ready", "leader"), entry(2, "ready", "follower")];
    harness.input(Input::EndpointList(list(1, true, &entries)));
    harness
}

/// Sends a bounded read, answers the health checks that it causes, serves it, and returns the port of the member that got it.
fn serve_read(harness: &mut ReducerHarness, client: u64, positions: Positions) -> Option<u16> {
    let client = harness.client(client);
    let mut effects = harness.send(client, read_query(900));
    for _ in 0..10 {
        for conn in std::mem::take(&mut harness.pending_health_checks) {
            let (is_primary, at) = role_and_position(harness, conn, positions);
            let (seconds, ms) = (at / SECOND, at % SECOND / MS);
            let report = format!("x0={seconds}.{ms:03},x1={}", u8::from(is_primary));
            let response = [row(report.as_bytes()), vec![ready()]].concat();
            effects.extend(harness.reply(conn, response));
        }
        effects.extend(harness.advance(10 * MS));
    }
    let conn = statements(&effects).first()?.0;
    let (is_primary, at) = role_and_position(harness, conn, positions);
    let role = if is_primary { "leader" } else { "follower" };
    let position = (at / MS).to_string();
    let tail = vec![
        status("node_role", role),
        status("replay_position", &position),
        ready(),
    ];
    harness.reply(conn, [row(b"x"), tail].concat());
    harness.member_ports.get(&conn).copied()
}

fn role_and_position(
    harness: &ReducerHarness,
    conn: ConnectionId,
    positions: Positions,
) -> (bool, Time) {
    let is_primary = harness.member_ports.get(&conn) == Some(&PRIMARY);
    let ahead = if is_primary {
        positions.primary
    } else {
        positions.replica
    };
    (is_primary, harness.now + ahead)
}

#[test]
fn a_replica_gets_a_bounded_read_once_a_primary_has_shown_the_time() {
    let positions = Positions {
        primary: 0,
        replica: -100 * MS,
    };
    assert_eq!(serve_read(&mut harness(), 1, positions), Some(REPLICA));
}

/// Regression: with a clock 2 s behind, a replica that lags by 2.3 s got bounded reads with a bound of 1 s.
#[test]
fn a_clock_that_is_behind_makes_no_stale_replica_fresh() {
    let behind = 2 * SECOND;
    let stale = Positions {
        primary: behind,
        replica: behind - 2_300 * MS,
    };
    assert_eq!(serve_read(&mut harness(), 1, stale), Some(PRIMARY));
    let fresh = Positions {
        primary: behind,
        replica: behind - 200 * MS,
    };
    let mut harness = harness();
    serve_read(&mut harness, 1, stale);
    harness.advance(SECOND);
    assert_eq!(
        serve_read(&mut harness, 2, fresh),
        Some(REPLICA),
        "two samples show the members' time"
    );
}

/// Otherwise one damaged number would keep all replicas from bounded reads for ever, or make its member the freshest.
#[test]
fn one_wrong_position_is_outweighed_by_later_answers_of_the_primary() {
    let mut harness = harness();
    let wrong = Positions {
        primary: 3_000 * SECOND,
        replica: -100 * MS,
    };
    assert_eq!(serve_read(&mut harness, 1, wrong), Some(PRIMARY));
    let right = Positions {
        primary: 0,
        replica: -100 * MS,
    };
    let served: Vec<_> = (2..14)
        .map(|client| {
            harness.advance(SECOND);
            serve_read(&mut harness, client, right)
        })
        .collect();
    assert_eq!(served.last(), Some(&Some(REPLICA)), "{served:?}");
}
