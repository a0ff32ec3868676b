//! After a stall of its own process, a router does not blame members for late answers.

use crate::common::*;
use stackgw_router::api::*;

#[test]
fn a_stall_of_the_router_is_not_blamed_on_members() {
    let mut host = TestHost::with_reports(settings(), 3);
    let open: Vec<_> = (0..4).map(|_| host.request(EVENTUAL)).collect();
    host.advance(20 * MS);
    host.now += 2 * SECOND;
    for (id, actions) in &open {
        let to = sent_to(actions)[0];
        host.end_attempt(*id, to, Outcome::Served, 2 * SECOND);
    }
    let to: Vec<_> = (0..6).flat_map(|_| sent_to(&host.request(EVENTUAL).1)).collect();
    assert!(to.contains(&1) && to.contains(&2), "both replicas still get reads: {to:?}");
    let cancelled = host.log.iter().filter(|a| matches!(a, Action::Cancel { .. })).count();
    assert_eq!(cancelled, 0, "attempts were cancelled after a stall of the router");
}

#[test]
fn after_a_stall_across_a_drain_nothing_goes_to_the_drained_member_and_overdue_requests_end() {
    let mut host = TestHost::with_reports(settings(), 3);
    host.send_event(list_event(ListScope::Changes, &[(0, Lifecycle::Removed)]));
    let (write, _) = host.request(WRITE);
    host.now += 3 * SECOND + 15 * MS;
    let actions = host.send_event(list_event(ListScope::Changes, &[(2, Lifecycle::Draining)]));
    assert!(is_failed(&actions, write) || is_rejected(&actions, write), "the overdue request ends first");
    host.report(1, false, host.now);
    for _ in 0..4 {
        assert!(!sent_to(&host.request(EVENTUAL).1).contains(&2));
    }
}
