//! Members that have just started get no more requests than they can handle.

use crate::common::*;
use stackgw_router::api::*;

#[test]
fn a_cold_member_gets_no_more_than_its_budget() {
    let mut host = TestHost::with_reports(settings(), 3);
    host.advance(SECOND);
    host.send_event(Event::EndpointList {
        scope: ListScope::Changes,
        members: vec![just_started(2, false, host.now)],
    });
    let mut to_cold = 0;
    // 300 requests in 2 s, each answered at once: a limit on requests in flight would not stop them.
    for _ in 0..300 {
        to_cold += host.serve(EVENTUAL, MS).into_iter().filter(|to| *to == 2).count();
        host.advance(6 * MS);
    }
    assert!(to_cold > 0, "the cold member got no request");
    assert!(
        to_cold <= 60,
        "{to_cold} sends to the cold member in one window, of 300 requests for two replicas"
    );
}

#[test]
fn a_drained_primary_with_a_cold_successor_does_not_flood_it() {
    let mut host = TestHost::with_reports(settings(), 3);
    let draining = Member { lifecycle: Lifecycle::Draining, ..member(0, true) };
    let change = vec![draining, just_started(1, false, host.now)];
    host.send_event(Event::EndpointList { scope: ListScope::Changes, members: change });
    host.now += SECOND;
    host.report(1, true, host.now);
    // No throughput has been measured, so the budget is the minimum: four sends per window.
    let first: usize = (0..100).map(|_| sent_to(&host.request(WRITE).1).len()).sum();
    assert!((1..=8).contains(&first), "the cold primary got {first} writes at once");
}

#[test]
fn two_hundred_routers_with_a_budget_below_one_do_not_each_send_one_request_to_a_cold_member() {
    let mut sends = 0;
    for seed in 0..200 {
        let mut host = TestHost::with_seed(Settings { fleet_size: 200, ..settings() }, 3, seed);
        for _ in 0..4 {
            let (id, _) = host.request(WRITE);
            host.advance(50 * MS);
            host.end_attempt(id, 0, Outcome::Served, 50 * MS);
            host.advance(950 * MS);
        }
        let cold = Member { started_at: Some(host.now), ..member(0, true) };
        host.send_event(Event::EndpointList { scope: ListScope::Changes, members: vec![cold] });
        host.report(0, true, host.now);
        host.log.clear();
        host.request(WRITE);
        host.advance(SECOND);
        sends += sent_to(&host.log).len();
    }
    // Warm, it answered some 130 requests/s for all routers. Cold, its budget is a fifth of that, times an overload
    // multiple of three, over the window of 2 s: 156 sends, of which the fleet uses 40%.
    assert!((1..=90).contains(&sends), "{sends} of 200 routers sent at once");
}

#[test]
fn warm_throughput_is_that_of_the_busier_role() {
    let mut host =
        TestHost::with_reports(Settings { lagging_reads: LaggingReads::Rejected, ..settings() }, 3);
    // Twenty reads/s, all at the two replicas. The primary is idle, so its rate is no measure of a member's capacity.
    for _ in 0..400 {
        host.serve(EVENTUAL, 5 * MS);
        host.advance(50 * MS);
    }
    let rate = host.router.warm_throughput();
    assert!(
        (9.0..11.0).contains(&rate),
        "warm throughput of {rate} requests/s, although two replicas share twenty"
    );
    // Additional writes change nothing while they are fewer.
    for _ in 0..100 {
        for class in [EVENTUAL, EVENTUAL, EVENTUAL, EVENTUAL, WRITE] {
            host.serve(class, 5 * MS);
        }
        host.advance(200 * MS);
    }
    let rate = host.router.warm_throughput();
    assert!((9.0..11.0).contains(&rate), "warm throughput of {rate} requests/s with additional writes");
}

/// Regression: each new start time in the list began the budget of a cold member anew, also one that the host made up because the
/// list gave none.
#[test]
fn a_new_start_of_a_cold_member_renews_no_budget_within_its_window() {
    let mut host = TestHost::new(settings(), 0);
    for step in 0..10 {
        let members = vec![just_started(0, true, host.now)];
        host.send_event(Event::EndpointList { scope: ListScope::Changes, members });
        (0..20).for_each(|_| drop(host.serve(WRITE, MS)));
        let sent = sent_to(&host.log).len();
        assert!((1..=4).contains(&sent), "{sent} writes within {step} steps of 100 ms, budget 4 in 2 s");
        host.now += 100 * MS;
    }
}
