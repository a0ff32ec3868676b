//! Each read sees data as up to date as its class requires.

use crate::common::*;
use stackgw_router::api::*;

#[test]
fn session_reads_inside_the_window_go_to_the_primary() {
    let mut host = TestHost::with_reports(settings(), 3);
    assert_eq!(sent_to(&host.request_after_write(SESSION, Some(20 * MS)).1), [0]);
}

#[test]
fn session_reads_outside_the_window_need_a_position_at_or_after_the_write() {
    let mut host = TestHost::with_reports(settings(), 3);
    host.now += 4 * SECOND;
    let old = host.now - 3 * SECOND;
    assert!(sent_to(&host.request_after_write(SESSION, Some(2 * SECOND)).1).is_empty());
    answer_health_checks(&mut host, old);
    assert_eq!(sent_to(&host.log), [0], "the read goes to the primary, as no replica has applied the write");
    host.report(2, false, host.now - SECOND);
    for _ in 0..4 {
        assert_eq!(sent_to(&host.request_after_write(SESSION, Some(2 * SECOND)).1), [2]);
    }
}

#[test]
fn reads_that_need_no_position_use_any_replica() {
    let mut host = TestHost::with_reports(settings(), 3);
    host.now += 60 * SECOND;
    for class in [EVENTUAL, SESSION] {
        assert_ne!(sent_to(&host.request(class).1), [0]);
    }
}

#[test]
fn the_router_remembers_a_sessions_write_where_clients_do_not() {
    let mut host =
        TestHost::with_reports(Settings { session_tracking: SessionTracking::Router, ..settings() }, 3);
    let (id, _) = host.request(WRITE);
    host.now += 50 * MS;
    host.end_attempt_as(id, 0, Outcome::Served, 50 * MS, Some(true), Some(host.now));
    host.now += SECOND;
    let old = host.now - 2 * SECOND;
    assert!(
        sent_to(&host.request(SESSION).1).is_empty(),
        "a read was sent although the replicas last reported before the write"
    );
    answer_health_checks(&mut host, old);
    assert_eq!(
        sent_to(&host.log).last(),
        Some(&0),
        "the read goes to the primary, as the replicas have not caught up"
    );
    host.report(1, false, host.now);
    assert_eq!(sent_to(&host.request(SESSION).1), [1]);
}

#[test]
fn strong_reads_wait_until_a_member_has_claimed_the_primary_role() {
    let mut host = TestHost::new(settings(), 3);
    let (_, actions) = host.request(STRONG);
    assert!(sent_to(&actions).is_empty(), "a strong read was sent to a primary that is only listed");
    host.report(0, true, host.now);
    assert_eq!(sent_to(&host.log), [0]);
}

#[test]
fn where_replicas_do_not_check_no_bounded_read_exceeds_its_bound() {
    let mut host = TestHost::with_reports(settings(), 3);
    host.send_event(Event::EndpointList { scope: ListScope::Changes, members: vec![member(0, false)] });
    host.report(0, false, host.now + MS);
    host.now += BOUND;
    let (_, actions) = host.request(BOUNDED);
    assert!(
        sent_to(&actions).is_empty(),
        "a bounded read was sent without a primary or a fresh replica: {actions:?}"
    );
}

#[test]
fn a_new_member_is_not_considered_fresh() {
    let mut host =
        TestHost::with_reports(Settings { session_tracking: SessionTracking::Router, ..settings() }, 2);
    let (id, _) = host.request(WRITE);
    host.end_attempt_as(id, 0, Outcome::Served, 10 * MS, Some(true), Some(host.now));
    host.advance(2 * SECOND);
    (0..2).for_each(|m| host.report(m, m == 0, host.now));
    host.advance(2 * SECOND);
    // Every member has applied the write, but one that joins now may start from an older copy.
    host.send_event(Event::EndpointList {
        scope: ListScope::Changes,
        members: vec![just_started(2, false, host.now)],
    });
    for _ in 0..6 {
        assert!(!sent_to(&host.request(SESSION).1).contains(&2));
    }
}

#[test]
fn a_read_that_must_be_strong_waits_for_a_primary_that_claims_the_role() {
    let mut host = TestHost::new(settings(), 2);
    let deadline = host.now + 3 * SECOND;
    let id = RequestId(900);
    let request = Request {
        id,
        class: SESSION,
        group: GROUP,
        deadline,
        requires_strong_read: true,
        ..Request::default()
    };
    let actions = host.send_event(Event::Request(request));
    assert!(sent_to(&actions).is_empty(), "a strong read was sent to a primary that is only listed");
    assert!(
        actions.contains(&Action::HealthCheck(MemberId(0))),
        "the listed primary gets a health check: {actions:?}"
    );
    // The listed primary has become a replica and gets no strong read, even with the latest position.
    host.report(0, false, host.now);
    assert!(!host.log.iter().any(|a| matches!(a, Action::Send { .. })));
    host.report(1, true, host.now);
    assert_eq!(members_sent(&host.log, id), [1]);
}

#[test]
fn a_session_read_goes_to_a_listed_primary_only_if_it_has_the_write() {
    for has_write in [false, true] {
        let mut host = TestHost::new(settings(), 1);
        if has_write {
            let update = GossipUpdate {
                member: MemberId(0),
                position: Some(host.now),
                is_primary: None,
                latency_ratio: 0.0,
                samples: 0,
            };
            host.send_event(Event::Gossip { sent_at: host.now, relay: false, updates: vec![update] });
        }
        let (_, actions) = host.request_after_write(SESSION, Some(100 * MS));
        assert_eq!(sent_to(&actions).len(), usize::from(has_write));
        let (_, actions) = host.request_after_write(SESSION, None);
        assert_eq!(sent_to(&actions).len(), 1, "a session without writes may be served by any member");
    }
}
