//! Concurrency limits, and requests that would be answered too late.

use crate::common::*;
use stackgw_router::api::*;

#[test]
fn fallback_reads_leave_capacity_for_writes_at_the_primary() {
    let mut host = TestHost::with_reports(settings(), 3);
    host.now += BOUND;
    let reads: usize = (0..50).map(|_| sent_to(&host.request(BOUNDED).1).len()).sum();
    assert!(reads < 12, "the primary got {reads} fallback reads at once, of its limit of 12");
    assert_eq!(sent_to(&host.request(WRITE).1), [0]);
}

#[test]
fn a_read_that_cannot_be_answered_in_time_is_rejected_at_once_with_a_retry_after() {
    let mut host = TestHost::with_reports(settings(), 2);
    let open: Vec<_> = (0..60).map(|_| host.request(EVENTUAL).0).collect();
    let actions = host.advance(300 * MS);
    let rejected = open.iter().filter(|id| is_rejected(&actions, **id)).count();
    assert!(rejected >= 30, "only {rejected} of 60 reads were rejected");
    assert!(
        !actions.iter().any(|a| matches!(a, Action::Fail(_))),
        "a read was failed although it may be rejected"
    );
}

#[test]
fn a_limit_below_one_is_an_interval_and_high_latency_everywhere_lowers_all_limits() {
    // Even if each router has only one request in flight, many routers together overload every member in a burst.
    let mut settings = settings();
    settings.fleet_size = 12;
    let mut host = TestHost::with_reports(settings, 5);
    for _ in 0..60 {
        let (id, actions) = host.request(EVENTUAL);
        host.advance(10 * MS);
        if let [to] = sent_to(&actions)[..] {
            host.advance(290 * MS);
            host.end_attempt(id, to, Outcome::Served, 300 * MS);
        }
    }
    let first: Vec<_> = (0..10).map(|_| host.request(EVENTUAL)).collect();
    host.advance(290 * MS);
    for (id, actions) in &first {
        if let [to] = sent_to(actions)[..] {
            host.end_attempt(*id, to, Outcome::Served, 290 * MS);
        }
    }
    let again: usize = (0..10).map(|_| sent_to(&host.request(EVENTUAL).1).len()).sum();
    assert!(
        again < 4,
        "{again} of four replicas got one more request at once, after 60 requests with high latency"
    );
}

/// Regression: requests with little time left were rejected on arrival although every member was idle.
#[test]
fn a_request_with_little_time_is_sent_to_an_idle_member_and_rejected_by_busy_ones() {
    let sends = |host: &mut TestHost, id: u64| {
        let deadline = host.now + 50 * MS;
        let id = RequestId(1000 + id);
        let request = Request { id, class: BOUNDED, group: GROUP, deadline, ..Request::default() };
        sent_to(&host.send_event(Event::Request(request))).len()
    };
    let mut host = TestHost::with_reports(settings(), 3);
    assert_eq!(sends(&mut host, 0), 1, "a request with 50 ms left is sent while all members are idle");
    // A member counts as idle while it has at least two fewer requests in flight than its limit.
    for _ in 0..22 {
        host.request(BOUNDED);
    }
    assert_eq!(
        sends(&mut host, 1),
        0,
        "a request with 50 ms left is not sent while all members are near their limits"
    );
}

#[test]
fn an_idle_member_gets_every_request_of_sparse_traffic() {
    let mut host = TestHost::with_reports(fleet(false), 3);
    host.advance(5 * SECOND);
    for _ in 0..4 {
        let (id, actions) = host.request(WRITE);
        assert_eq!(sent_to(&actions), [0]);
        host.end_attempt(id, 0, Outcome::Served, 40 * MS);
    }
}

#[test]
fn under_high_latency_a_request_with_little_time_is_still_sent_to_a_member_with_capacity() {
    let mut host = TestHost::with_reports(settings(), 3);
    for _ in 0..30 {
        let (id, actions) = host.request(EVENTUAL);
        host.end_attempt(id, sent_to(&actions)[0], Outcome::Served, 140 * MS);
    }
    let request = Request { id: RequestId(900), class: EVENTUAL, group: GROUP, ..Request::default() };
    let deadline = host.now + 200 * MS;
    let actions = host.send_event(Event::Request(Request { deadline, ..request }));
    assert_eq!(
        sent_to(&actions).len(),
        1,
        "a request with 200 ms left is sent, as a member with capacity answers within 140 ms"
    );
}
