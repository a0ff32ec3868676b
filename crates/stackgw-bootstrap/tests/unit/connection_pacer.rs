//! Pacing of connections to members that are warming up, over all instances of a fleet.

use super::{ConnectionPacer, ListedMember, PacerConfig, StartTime};
use stackgw_router::api::{GroupId, MemberId, Time, MS, SECOND};

const CONNECTION_RATE: f64 = 30.0;
const FLEET_SIZE: u32 = 300;
const MEMBERS: [u32; 3] = [0, 1, 2];

fn pacer(instance_number: u32) -> ConnectionPacer {
    let config = PacerConfig {
        instance_number,
        fleet_size: FLEET_SIZE,
        connection_rate: CONNECTION_RATE,
        cold_capacity_share: 0.25,
        warm_up_time: 10 * SECOND,
    };
    ConnectionPacer::new(config, u64::from(instance_number) * 7)
}

fn list_members(pacer: &mut ConnectionPacer, now: Time, start_time: StartTime) {
    for n in MEMBERS {
        let name = format!("m{n}");
        pacer.update_member(
            now,
            ListedMember {
                id: MemberId(n),
                name: &name,
                group: GroupId(2),
                start_time,
            },
        );
    }
    pacer.schedule_new_members(now);
}

/// When each instance may first connect to each member.
fn first_connections(now: Time, start_time: StartTime) -> Vec<[Time; 3]> {
    let of_instance = |n| {
        let mut pacer = pacer(n);
        list_members(&mut pacer, now, start_time);
        MEMBERS.map(|member| {
            pacer
                .next_connection_at(now, MemberId(member))
                .expect("the member is cold")
        })
    };
    (0..FLEET_SIZE).map(of_instance).collect()
}

#[test]
fn connections_to_a_cold_member_are_spread_and_every_instance_has_one_early() {
    let now = 100 * SECOND;
    for start_time in [StartTime::At(now), StartTime::Unknown] {
        let connections = first_connections(now, start_time);
        for member in 0..3 {
            let mut at: Vec<_> = connections
                .iter()
                .map(|of_instance| of_instance[member] - now)
                .collect();
            at.sort_unstable();
            for tenth in 0..60 {
                let (from, to) = (tenth * SECOND / 10, (tenth + 1) * SECOND / 10);
                let here = at.iter().filter(|at| (from..to).contains(*at)).count() as f64;
                // The rate grows from one to four times (1 / 0.25) the connection rate in 10 s.
                let capacity =
                    CONNECTION_RATE * (1.0 + 3.0 * (to as f64 / SECOND as f64) / 10.0) / 10.0;
                assert!(
                    here <= capacity + 3.0,
                    "{here} connections in tenth {tenth} of a second, which has a capacity of {capacity}"
                );
            }
            assert!(at.last() < Some(&(7 * SECOND)), "{at:?}");
        }
        let earliest =
            |of_instance: &[Time; 3]| of_instance.iter().min().copied().unwrap_or(now) - now;
        let last = connections.iter().map(earliest).max();
        assert!(
            last < Some(3 * SECOND),
            "last instance to have its first connection: {last:?}"
        );
    }
}

#[test]
fn connections_come_sooner_when_a_member_is_half_warm_and_are_not_paced_when_it_is_warm() {
    let now = 100 * SECOND;
    let last = |connections: Vec<[Time; 3]>| {
        connections.iter().flatten().max().copied().unwrap_or(0) - now
    };
    let cold = last(first_connections(now, StartTime::At(now)));
    let half_warm = last(first_connections(now, StartTime::At(now - 5 * SECOND)));
    assert!(
        half_warm < cold * 2 / 3,
        "last connection after {half_warm} ns to half warm members, after {cold} ns to cold ones"
    );
    let mut pacer = pacer(7);
    list_members(&mut pacer, now, StartTime::At(now - SECOND));
    assert!(pacer.next_connection_at(now, MemberId(1)).is_some());
    assert_eq!(
        pacer.next_connection_at(now + 9 * SECOND, MemberId(1)),
        None,
        "the member is warm by its age, so connections to it are not paced"
    );
    list_members(&mut pacer, now, StartTime::LongAgo);
    assert_eq!(
        pacer.next_connection_at(now, MemberId(1)),
        None,
        "the member is warm by the list, so connections to it are not paced"
    );
    assert_eq!(
        pacer.next_connection_at(now, MemberId(9)),
        None,
        "the member was never listed, so connections to it are not paced"
    );
}

#[test]
fn each_attempt_has_to_wait_and_each_failure_doubles_the_wait() {
    let now = 100 * SECOND;
    let wait = |failures: u32| {
        let mut sum = 0;
        for instance in 0..50 {
            let mut pacer = pacer(instance);
            list_members(&mut pacer, now, StartTime::At(now));
            pacer.record_attempt(now, MemberId(0));
            for _ in 0..failures {
                pacer.record_failure(now, MemberId(0));
            }
            sum += pacer
                .next_connection_at(now, MemberId(0))
                .expect("the member is cold")
                - now;
        }
        sum / 50
    };
    // A cold member accepts one connection from each of the 300 instances within 5.5 s: 30 t + 9 t t / 2 = 300.
    assert!(
        wait(0) > 4 * SECOND && wait(0) < 9 * SECOND,
        "average wait after an attempt: {} ns",
        wait(0)
    );
    assert!(
        wait(1) > wait(0) * 5 / 4 && wait(2) > wait(1) * 5 / 4,
        "a failure does not lengthen the wait enough: {} ns, {} ns, {} ns",
        wait(0),
        wait(1),
        wait(2)
    );
    assert!(
        (wait(9) - wait(12)).abs() < wait(9) / 3,
        "the number of doublings is limited"
    );
    let mut pacer = pacer(0);
    list_members(&mut pacer, now, StartTime::At(now));
    let before = pacer.next_connection_at(now, MemberId(0));
    list_members(&mut pacer, now + MS, StartTime::At(now));
    assert_eq!(
        pacer.next_connection_at(now, MemberId(0)),
        before,
        "an unchanged entry does not change the schedule"
    );
    list_members(&mut pacer, now + MS, StartTime::At(now + MS));
    assert_ne!(
        pacer.next_connection_at(now, MemberId(0)),
        before,
        "a new start time restarts the pacing"
    );
}
