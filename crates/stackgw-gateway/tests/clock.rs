//! The router's clock, and pauses of the process.

mod common;

use common::*;
use stackgw_gateway::reducer::TickClock;
use stackgw_router::api::{MS, SECOND};

#[test]
fn events_closer_than_a_tick_are_of_one_moment_for_the_router() {
    let mut moments = TickClock::new(5 * MS);
    assert_eq!(moments.tick_of(START), START);
    assert_eq!(moments.tick_of(START + 4 * MS), START);
    let late = START + 300 * MS;
    assert_eq!(
        [
            moments.tick_of(late),
            moments.tick_of(late + 1),
            moments.tick_of(late + 5 * MS - 1)
        ],
        [late; 3]
    );
    assert_eq!(moments.tick_of(late + 5 * MS), late + 5 * MS);
}

/// Danger: a process that stood still finds all answers late. Its members must not pay for that.
#[test]
fn a_pause_of_the_gateway_takes_no_room_from_its_members() {
    let room_after = |pause: i64| {
        let mut rig = Rig::new(&three());
        let clients: Vec<_> = (0..20).map(|n| rig.client(n)).collect();
        let leads = || vec![status("node_role", "leader"), ready()];
        for _ in 0..8 {
            let mut out = Vec::new();
            for client in &clients {
                out.extend(statements(&rig.ask(*client, buy(1900))));
            }
            rig.pass(30 * MS);
            rig.now += pause;
            // What was held meanwhile follows the answers and is answered at once.
            while let Some((conn, _)) = out.pop() {
                rig.now += MS / 50;
                out.extend(statements(&rig.reply(conn, [row(b"x"), leads()].concat())));
            }
            rig.pass(2 * SECOND);
        }
        let sent = clients
            .iter()
            .map(|client| statements(&rig.ask(*client, buy(1900))).len());
        sent.sum::<usize>()
    };
    let (paused, calm) = (room_after(700 * MS), room_after(0));
    assert!(calm >= 6, "{calm} at once");
    assert!(
        paused >= calm - 1,
        "{paused} at once after pauses, {calm} without"
    );
}
