//! Connection permits: an unreachable member gets no requests or health checks, and free connections are used first.

use crate::common::*;
use stackgw_router::api::*;

fn permits(free: u32, may_open_from: Time) -> Option<ConnectionPermits> {
    Some(ConnectionPermits { free, may_open_from })
}

/// A primary and two replicas with these permits, all of which have reported.
fn with_permits(permits: [Option<ConnectionPermits>; 3]) -> TestHost {
    let mut host = TestHost::with_reports(settings(), 3);
    host.now += 10 * MS;
    for (id, permits) in permits.into_iter().enumerate() {
        host.router.set_connection_permits(MemberId(id as u32), permits);
    }
    host
}

#[test]
fn a_member_without_permits_gets_neither_requests_nor_health_checks_until_one_may_be_opened() {
    let may_open_from = START + 200 * MS;
    let mut host = with_permits([permits(0, may_open_from); 3]);
    let (write, actions) = host.request(WRITE);
    assert!(sent_to(&actions).is_empty() && health_checked(&actions).is_empty());
    let before = host.advance(150 * MS);
    assert!(sent_to(&before).is_empty() && health_checked(&before).is_empty(), "{before:?}");
    let after = host.advance(60 * MS);
    assert_eq!(sent_to(&after), [0], "the write is sent once a connection may be opened");
    // The permit is used up: until the host sets new ones, nothing more is sent to the member.
    let (_, actions) = host.request(WRITE);
    assert!(sent_to(&actions).is_empty());
    host.router.set_connection_permits(MemberId(0), permits(1, Time::MAX));
    let actions = host.end_attempt(write, 0, Outcome::Served, 5 * MS);
    assert_eq!(sent_to(&actions), [0], "the write is sent once a connection is free");
}

#[test]
fn a_free_connection_is_preferred_over_one_that_must_be_opened() {
    for free in [1, 2] {
        let mut host = with_permits([1, 2].into_iter().fold([None; 3], |mut all, id| {
            all[id] = permits(u32::from(id == free), START);
            all
        }));
        assert_eq!(sent_to(&host.request(BOUNDED).1), [free as u32]);
        // The free connection is used up; to the other member one may be opened.
        assert_eq!(sent_to(&host.request(BOUNDED).1), [3 - free as u32]);
    }
}

#[test]
fn a_restart_of_a_member_keeps_its_connection_permits() {
    let mut host = with_permits([None, permits(0, Time::MAX), permits(0, Time::MAX)]);
    let started = |id| Member { started_at: Some(START), ..member(id, false) };
    host.send_event(Event::EndpointList { scope: ListScope::Changes, members: vec![started(1), started(2)] });
    assert_eq!(
        sent_to(&host.request(BOUNDED).1),
        [0],
        "the read goes to the primary, as only that can be reached"
    );
}

#[test]
fn a_router_with_few_connections_to_cold_members_uses_the_budget_of_unconnected_routers() {
    // All three replicas have just started. The fewer of them this router is connected to, the higher the budget per
    // window of those that it is connected to.
    let sends_to_one = |connected: usize| {
        let mut host = TestHost::with_reports(
            Settings { fleet_size: 10, lagging_reads: LaggingReads::Rejected, ..settings() },
            4,
        );
        let started = |id| Member { started_at: Some(host.now), ..member(id, false) };
        let members = (1..4).map(started).collect();
        host.send_event(Event::EndpointList { scope: ListScope::Changes, members });
        host.router.seed_warm_throughput(10.0);
        (1..4).for_each(|id| host.report(id, false, START));
        let free = |id: usize| permits(if id <= connected { 50 } else { 0 }, Time::MAX);
        (1..4).for_each(|id| host.router.set_connection_permits(MemberId(id as u32), free(id)));
        let mut to_one = 0;
        for _ in 0..60 {
            to_one += host.serve(EVENTUAL, MS).into_iter().filter(|member| *member == 1).count();
        }
        to_one
    };
    let (one, all) = (sends_to_one(1), sends_to_one(3));
    assert!(
        one >= 2 * all && one <= 4 * all,
        "{one} sends with one connected, {all} with all three: expected two to four times as many"
    );
}
