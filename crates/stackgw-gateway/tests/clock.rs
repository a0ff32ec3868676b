//! The router's clock, and pauses of the gateway process.

mod common;

use common::*;
use stackgw_gateway::reducer::TickClock;
use stackgw_router::api::{MS, SECOND};

#[test]
fn events_within_one_tick_have_the_same_time_for_the_router() {
    let mut clock = TickClock::new(5 * MS);
    assert_eq!(clock.tick_of(START), START);
    assert_eq!(clock.tick_of(START + 4 * MS), START);
    let late = START + 300 * MS;
    assert_eq!(
        [
            clock.tick_of(late),
            clock.tick_of(late + 1),
            clock.tick_of(late + 5 * MS - 1)
        ],
        [late; 3]
    );
    assert_eq!(clock.tick_of(late + 5 * MS), late + 5 * MS);
}

/// After a pause of the process all responses look late. Members must not lose capacity for that.
#[test]
fn a_pause_of_the_gateway_does_not_reduce_the_capacity_of_members() {
    let sent_after_pauses = |pause: i64| {
        let mut harness = ReducerHarness::new(&three_members());
        let clients: Vec<_> = (0..20).map(|n| harness.client(n)).collect();
        let primary_status = || vec![status("node_role", "leader"), ready()];
        for _ in 0..8 {
            let mut pending = Vec::new();
            for client in &clients {
                pending.extend(statements(&harness.send(*client, write_query(1900))));
            }
            harness.advance(30 * MS);
            harness.now += pause;
            // Requests that were queued meanwhile are sent when responses arrive, and are answered at once.
            while let Some((conn, _)) = pending.pop() {
                harness.now += MS / 50;
                pending.extend(statements(
                    &harness.reply(conn, [row(b"x"), primary_status()].concat()),
                ));
                if pending.is_empty() {
                    // Nothing is sent right after the pause.
                    pending.extend(statements(&harness.advance(10 * MS)));
                }
            }
            harness.advance(2 * SECOND);
        }
        let sent = clients
            .iter()
            .map(|client| statements(&harness.send(*client, write_query(1900))).len());
        sent.sum::<usize>()
    };
    let (with_pauses, without_pauses) = (sent_after_pauses(700 * MS), sent_after_pauses(0));
    assert!(
        without_pauses >= 6,
        "{without_pauses} requests sent at once without pauses"
    );
    assert!(
        with_pauses >= without_pauses - 1,
        "{with_pauses} requests sent at once after pauses, {without_pauses} without pauses"
    );
}
