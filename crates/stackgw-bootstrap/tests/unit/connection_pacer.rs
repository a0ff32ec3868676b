//! What of `connection_pacer.rs` is seen from inside only.

use super::*;
use stackgw_router::api::MS;

const OPENS: f64 = 30.0;
const FLEET: u32 = 300;

fn dealt(number: u32) -> ConnectionPacer {
    let set = PacerConfig {
        instance_number: number,
        fleet_size: FLEET,
        connection_rate: OPENS,
        cold_capacity_share: 0.25,
        warm_up_time: 10 * SECOND,
    };
    ConnectionPacer::new(set, u64::from(number) * 7)
}

fn listed(deal: &mut ConnectionPacer, now: Time, started: Option<Option<Time>>) {
    for n in 0..3 {
        deal.update_member(now, MemberId(n), &format!("m{n}"), GroupId(2), started);
    }
    deal.schedule_new_members(now);
}

/// When each instance's first turn at each member comes.
fn turns(now: Time, started: Option<Time>) -> Vec<[Time; 3]> {
    (0..FLEET)
        .map(|n| {
            let mut deal = dealt(n);
            listed(&mut deal, now, Some(started));
            [0, 1, 2].map(|m| {
                deal.next_connection_at(now, MemberId(m))
                    .expect("it is cold")
            })
        })
        .collect()
}

#[test]
fn a_cold_member_is_asked_evenly_and_everybody_has_one_connection_early() {
    let now = 100 * SECOND;
    for started in [Some(now), None] {
        let turns = turns(now, started);
        for member in 0..3 {
            let mut at: Vec<_> = turns.iter().map(|t| t[member] - now).collect();
            at.sort_unstable();
            for tenth in 0..60 {
                let (from, to) = (tenth * SECOND / 10, (tenth + 1) * SECOND / 10);
                let here = at.iter().filter(|at| (from..to).contains(*at)).count() as f64;
                let bears = OPENS * (1.0 + 3.0 * (to as f64 / SECOND as f64) / 10.0) / 10.0;
                assert!(
                    here <= bears + 3.0,
                    "{here} in tenth {tenth}, {bears} are borne"
                );
            }
            assert!(at.last() < Some(&(7 * SECOND)), "{at:?}");
        }
        let first = turns
            .iter()
            .map(|t| t.iter().min().copied().unwrap_or(now) - now)
            .max();
        assert!(
            first < Some(3 * SECOND),
            "the last to have any connection: {first:?}"
        );
    }
}

#[test]
fn turns_at_one_that_is_half_warm_come_sooner_and_warm_ones_are_not_dealt() {
    let now = 100 * SECOND;
    let last = |turns: Vec<[Time; 3]>| turns.iter().flatten().max().copied().unwrap_or(0) - now;
    let (cold, half) = (
        last(turns(now, Some(now))),
        last(turns(now, Some(now - 5 * SECOND))),
    );
    assert!(half < cold * 2 / 3, "{half} {cold}");
    let mut deal = dealt(7);
    listed(&mut deal, now, Some(Some(now - SECOND)));
    assert!(deal.next_connection_at(now, MemberId(1)).is_some());
    assert_eq!(
        deal.next_connection_at(now + 9 * SECOND, MemberId(1)),
        None,
        "warm by its age"
    );
    listed(&mut deal, now, None);
    assert_eq!(
        deal.next_connection_at(now, MemberId(1)),
        None,
        "warm by the list"
    );
    assert_eq!(
        deal.next_connection_at(now, MemberId(9)),
        None,
        "never heard of"
    );
}

#[test]
fn each_connection_takes_a_turn_and_each_failure_doubles_the_wait() {
    let now = 100 * SECOND;
    let wait = |failures: u32| {
        let mut sum = 0;
        for number in 0..50 {
            let mut deal = dealt(number);
            listed(&mut deal, now, Some(Some(now)));
            deal.record_attempt(now, MemberId(0));
            for _ in 0..failures {
                deal.record_failure(now, MemberId(0));
            }
            sum += deal.next_connection_at(now, MemberId(0)).expect("cold") - now;
        }
        sum / 50
    };
    assert!(wait(0) > 4 * SECOND && wait(0) < 9 * SECOND, "{}", wait(0));
    assert!(wait(1) > wait(0) * 5 / 4 && wait(2) > wait(1) * 5 / 4);
    assert!(
        (wait(9) - wait(12)).abs() < wait(9) / 3,
        "no more than so often"
    );
    let mut deal = dealt(0);
    listed(&mut deal, now, Some(Some(now)));
    let before = deal.next_connection_at(now, MemberId(0));
    listed(&mut deal, now + MS, Some(Some(now)));
    assert_eq!(
        deal.next_connection_at(now, MemberId(0)),
        before,
        "the same word changes nothing"
    );
    listed(&mut deal, now + MS, Some(Some(now + MS)));
    assert_ne!(
        deal.next_connection_at(now, MemberId(0)),
        before,
        "another start is another turn"
    );
}
