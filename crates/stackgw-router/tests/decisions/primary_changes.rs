//! The current primary is found despite outdated lists, old reports and lagging replicas.

use crate::common::*;
use stackgw_router::api::*;

#[test]
fn an_old_report_does_not_override_a_newer_answer() {
    let mut host = TestHost::with_reports(settings(), 3);
    host.now += SECOND;
    let (id, _) = host.request(EVENTUAL);
    host.end_attempt_as(id, 1, Outcome::Served, MS, Some(true), Some(host.now));
    host.report(0, true, host.now - 500 * MS);
    assert_eq!(sent_to(&host.request(WRITE).1), [1]);
    host.report(1, false, host.now - 500 * MS);
    assert_eq!(sent_to(&host.request(WRITE).1), [1]);
}

#[test]
fn an_unresponsive_primary_gets_no_non_idempotent_write_and_another_is_searched_for() {
    let mut host = TestHost::with_reports(settings(), 4);
    (0..4).for_each(|_| drop(host.request(WRITE)));
    let actions = host.advance(SECOND);
    assert!(health_checked(&actions).contains(&2), "all members get health checks to find the primary");
    assert!(
        !actions.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "an attempt of a write, which may have run, was cancelled"
    );
    let (id, actions) = host.request(WRITE);
    assert!(sent_to(&actions).is_empty(), "the write is queued while the primary is unresponsive");
    host.report(2, true, host.now);
    assert_eq!(members_sent(&host.log, id), [2]);
}

#[test]
fn reads_wait_for_a_replica_to_catch_up_while_the_primary_is_unresponsive() {
    let mut host = TestHost::with_reports(settings(), 3);
    (0..4).for_each(|_| drop(host.request(WRITE)));
    host.advance(SECOND);
    let first = host.request(BOUNDED);
    assert!(sent_to(&first.1).len() <= 1, "one half-open attempt at most");
    let waiting: Vec<_> = (0..5).map(|_| host.request(BOUNDED)).collect();
    assert!(
        waiting.iter().all(|(_, actions)| sent_to(actions).is_empty()),
        "a read was sent to a stale replica"
    );
    host.report(1, false, host.now - 50 * MS);
    assert!(
        sent_to(&host.log).ends_with(&[1, 1]),
        "queued reads are sent as soon as a replica has caught up"
    );
}

#[test]
fn a_restart_during_a_primary_change_trusts_answers_over_its_cached_list() {
    let mut host = TestHost::new(settings(), 3);
    let (id, actions) = host.request(WRITE);
    assert_eq!(sent_to(&actions), [0], "only the list names a primary");
    let actions = host.end_attempt_as(id, 0, Outcome::Misrouted, MS, Some(false), Some(host.now));
    let tried = sent_to(&actions)[0];
    let actions = host.end_attempt_as(id, tried, Outcome::Misrouted, MS, Some(false), Some(host.now));
    let last = sent_to(&actions)[0];
    assert_ne!(last, tried);
    host.end_attempt_as(id, last, Outcome::Misrouted, MS, Some(false), Some(host.now));
    assert!(!is_rejected(&host.log, id), "after trying every member, it waits for a health check");
    host.now += 200 * MS;
    host.report(tried, true, host.now);
    assert!(sent_to(&host.log).ends_with(&[tried]));
}

#[test]
fn an_outdated_list_does_not_restore_an_old_primary() {
    let mut host = TestHost::with_reports(Settings { role_listing: RoleListing::AtStart, ..settings() }, 3);
    let (id, _) = host.request(WRITE);
    host.end_attempt_as(id, 0, Outcome::Misrouted, MS, Some(false), Some(host.now));
    host.now += SECOND;
    host.report(2, true, host.now);
    host.send_event(Event::EndpointList { scope: ListScope::Changes, members: vec![member(0, true)] });
    assert_eq!(sent_to(&host.request(WRITE).1), [2]);
}

#[test]
fn repeated_primary_changes_are_followed() {
    let mut host = TestHost::with_reports(settings(), 3);
    for round in 1..9 {
        let (old, new) = ((round - 1) % 3, round % 3);
        host.now += SECOND;
        let (id, actions) = host.request(WRITE);
        assert_eq!(sent_to(&actions), [old], "round {round}");
        let mut to = vec![old];
        while let [member] = to[..] {
            if member == new {
                break;
            }
            to = sent_to(&host.end_attempt_as(
                id,
                member,
                Outcome::Misrouted,
                MS,
                Some(false),
                Some(host.now),
            ));
        }
        host.now += 100 * MS;
        host.report(new, true, host.now);
        assert!(sent_to(&host.log).ends_with(&[new]), "round {round}");
    }
}
