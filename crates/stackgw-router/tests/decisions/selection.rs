//! Selection without faults: writes to the primary, weighted rotation over fresh replicas, fallback to the primary.

use crate::common::*;
use stackgw_router::api::*;

#[test]
fn writes_go_to_the_primary_alone() {
    let mut host = TestHost::with_reports(settings(), 4);
    for _ in 0..5 {
        assert_eq!(sent_to(&host.request(WRITE).1), [0]);
    }
}

#[test]
fn bounded_reads_rotate_over_fresh_replicas_by_weight() {
    let mut host = TestHost::with_reports(settings(), 4);
    let heavy = Member { weight: 2.0, ..member(3, false) };
    host.send_event(Event::EndpointList { scope: ListScope::Changes, members: vec![heavy] });
    let mut counts = [0; 4];
    for _ in 0..40 {
        let (id, actions) = host.request(BOUNDED);
        let to = sent_to(&actions)[0];
        counts[to as usize] += 1;
        host.now += MS;
        host.end_attempt_as(id, to, Outcome::Served, MS, Some(false), Some(host.now));
    }
    assert_eq!(counts, [0, 10, 10, 20]);
}

#[test]
fn a_replica_outside_the_bound_gets_no_bounded_reads() {
    let mut host = TestHost::with_reports(settings(), 3);
    host.now += BOUND;
    host.report(1, false, host.now - 10 * MS);
    for _ in 0..6 {
        assert_eq!(sent_to(&host.request(BOUNDED).1), [1], "only replica 1 reported within the bound");
    }
}

#[test]
fn with_no_fresh_replica_bounded_reads_fall_back_to_the_primary() {
    let mut host = TestHost::with_reports(settings(), 3);
    let old = host.now;
    host.now += BOUND;
    let (_, actions) = host.request(BOUNDED);
    assert!(sent_to(&actions).is_empty(), "a read was sent before the health check of the replicas");
    answer_health_checks(&mut host, old);
    assert_eq!(
        sent_to(&host.log),
        [0],
        "the read goes to the primary, as no replica reported a fresh position"
    );
}

#[test]
fn where_replicas_check_reads_the_most_advanced_is_tried_first() {
    let mut host = TestHost::new(Settings { lagging_reads: LaggingReads::Rejected, ..settings() }, 3);
    host.report(0, true, host.now);
    host.report(1, false, host.now - 750 * MS);
    host.report(2, false, host.now - 700 * MS);
    let (id, actions) = host.request(BOUNDED);
    assert_eq!(sent_to(&actions), [2]);
    let actions = host.end_attempt(id, 2, Outcome::Misrouted, MS);
    assert_eq!(sent_to(&actions), [0], "after the most advanced replica, the primary is tried");
}

#[test]
fn replicas_that_reported_a_lag_far_beyond_the_bound_are_not_tried() {
    // If all replicas lag, each such read would waste time and an attempt on a foreseeable rejection.
    let mut host = TestHost::new(Settings { lagging_reads: LaggingReads::Rejected, ..settings() }, 3);
    host.report(0, true, host.now);
    (1..3).for_each(|id| host.report(id, false, host.now - 5 * SECOND));
    assert_eq!(sent_to(&host.request(BOUNDED).1), [0]);
}

#[test]
fn where_replicas_check_reads_a_stale_position_alone_excludes_none() {
    let mut host =
        TestHost::with_reports(Settings { lagging_reads: LaggingReads::Delayed(20 * MS), ..settings() }, 3);
    host.now += 2 * BOUND;
    let used: Vec<_> = (0..4).flat_map(|_| sent_to(&host.request(BOUNDED).1)).collect();
    assert!(used.contains(&1) && used.contains(&2), "the load is spread over both replicas: {used:?}");
    assert!(!used.contains(&0));
}

#[test]
fn a_replica_with_clearly_more_in_flight_is_skipped() {
    let mut host = TestHost::with_reports(settings(), 4);
    let open: Vec<_> = (0..9).map(|_| host.request(EVENTUAL)).collect();
    // Replica 1 keeps its three requests in flight; the others answer theirs.
    for (id, actions) in &open {
        let to = sent_to(actions)[0];
        if to != 1 {
            host.now += MS;
            host.end_attempt_as(*id, to, Outcome::Served, 20 * MS, Some(false), Some(host.now));
        }
    }
    let next: Vec<_> = (0..2).flat_map(|_| sent_to(&host.request(EVENTUAL).1)).collect();
    assert!(!next.contains(&1), "replica 1 got a request: {next:?}");
}

#[test]
fn a_run_without_faults_triggers_no_fallback() {
    let mut host = TestHost::with_reports(settings(), 4);
    for round in 0..400 {
        let class = [BOUNDED, SESSION, WRITE, EVENTUAL][round % 4];
        let (id, actions) = host.request_after_write(class, Some(5 * SECOND).filter(|_| class == SESSION));
        let to = sent_to(&actions)[0];
        assert_eq!(to == 0, class == WRITE, "round {round}");
        host.advance(20 * MS);
        host.end_attempt_as(id, to, Outcome::Served, 20 * MS, Some(to == 0), Some(host.now));
    }
    let unusual = |a: &&Action| matches!(a, Action::Cancel { .. } | Action::Reject { .. } | Action::Fail(_));
    assert_eq!(host.log.iter().filter(unusual).count(), 0);
}

#[test]
fn routers_that_start_together_do_not_all_begin_with_the_same_replica() {
    let mut first = [0; 6];
    for seed in 0..60 {
        let mut host =
            TestHost::with_seed(Settings { lagging_reads: LaggingReads::Rejected, ..fleet(false) }, 6, seed);
        let to = sent_to(&host.request(EVENTUAL).1);
        first[to[0] as usize] += 1;
        let to = sent_to(&host.request(BOUNDED).1);
        first[to[0] as usize] += 1;
    }
    // An even share of the 120 reads is 24 for each of the five replicas.
    assert!(first[1..].iter().all(|n| *n < 50), "reads by member: {first:?}");
}
