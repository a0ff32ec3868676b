//! The endpoint list: drains, removals, wrong lists, and dropping the state of removed members.

use crate::common::*;
use stackgw_router::api::*;

#[test]
fn a_draining_or_removed_replica_gets_nothing_new() {
    for lifecycle in [Lifecycle::Draining, Lifecycle::Removed] {
        let mut host = TestHost::with_reports(settings(), 3);
        let unavailable = Member { lifecycle, ..member(1, false) };
        host.send_event(Event::EndpointList { scope: ListScope::Changes, members: vec![unavailable] });
        for _ in 0..6 {
            assert_eq!(sent_to(&host.request(EVENTUAL).1), [2]);
        }
    }
}

#[test]
fn a_draining_primary_gets_writes_within_the_grace_while_no_other_is_known() {
    let mut host = TestHost::with_reports(settings(), 3);
    let draining = Member { lifecycle: Lifecycle::Draining, ..member(0, true) };
    host.send_event(Event::EndpointList { scope: ListScope::Changes, members: vec![draining] });
    host.now += 500 * MS;
    assert_eq!(sent_to(&host.request(WRITE).1), [0]);
    host.now += 400 * MS;
    assert!(
        sent_to(&host.request(WRITE).1).is_empty(),
        "a write was sent to the draining primary although the drain grace is nearly over"
    );
    host.report(1, true, host.now);
    assert!(sent_to(&host.log).ends_with(&[1]), "the new primary gets the queued write");
}

#[test]
fn a_member_missing_from_a_full_list_is_removed() {
    let mut host = TestHost::with_reports(settings(), 3);
    let left = vec![member(0, true), member(2, false)];
    host.send_event(Event::EndpointList { scope: ListScope::Full, members: left });
    for _ in 0..4 {
        assert_eq!(sent_to(&host.request(EVENTUAL).1), [2]);
    }
}

#[test]
fn a_failed_poll_changes_nothing_and_is_repeated() {
    let mut host = TestHost::with_reports(Settings { polls_endpoint_list: true, ..settings() }, 3);
    let actions = host.send_event(Event::EndpointList { scope: ListScope::Failed, members: vec![] });
    assert!(actions.contains(&Action::Subscribe(true)));
    assert_eq!(sent_to(&host.request(WRITE).1), [0]);
}

/// Members are replaced throughout the router's lifetime, so its state must not grow with all members ever listed.
#[test]
fn removed_members_are_forgotten_unless_in_use() {
    let mut host = TestHost::with_reports(settings(), 3);
    let (id, actions) = host.request(BOUNDED);
    let busy = sent_to(&actions)[0];
    let removed = |n| Member { lifecycle: Lifecycle::Removed, ..member(n, false) };
    let forgotten = |host: &TestHost| -> Vec<u32> {
        host.log
            .iter()
            .filter_map(|a| if let Action::ForgetMember(id) = a { Some(id.0) } else { None })
            .collect()
    };
    for n in 10..300 {
        let draining = Member { lifecycle: Lifecycle::Draining, ..member(9, false) };
        host.send_event(Event::EndpointList {
            scope: ListScope::Changes,
            members: vec![member(n, false), removed(n - 1), draining],
        });
        host.advance(SECOND);
    }
    let dropped = forgotten(&host);
    let members = [dropped.iter().min(), dropped.iter().max()];
    assert!(
        dropped.len() > 250 && dropped.len() < 290,
        "{} members were forgotten, {members:?}",
        dropped.len()
    );
    assert!(dropped.iter().all(|n| (9..290).contains(n)), "a serving member was forgotten: {members:?}");
    // A member with an open attempt is kept until the attempt has ended.
    host.send_event(Event::EndpointList { scope: ListScope::Changes, members: vec![removed(busy)] });
    host.advance(60 * SECOND);
    assert!(!forgotten(&host).contains(&busy), "a member with an open attempt was forgotten");
    host.end_attempt_as(id, busy, Outcome::Served, MS, Some(false), None);
    host.advance(60 * SECOND);
    assert!(forgotten(&host).contains(&busy));
}

fn advisory_removal() -> Settings {
    let obligations = Obligations { removal_is_advisory: true, ..settings().obligations };
    Settings { obligations, ..settings() }
}

#[test]
fn where_removal_is_advisory_a_removed_member_is_used_until_it_fails() {
    let mut host = TestHost::with_reports(advisory_removal(), 3);
    host.send_event(list_event(ListScope::Full, &[(0, Lifecycle::Serving), (2, Lifecycle::Removed)]));
    let open: Vec<_> = (0..4).map(|_| host.request(EVENTUAL)).collect();
    let to: Vec<_> = open.iter().map(|(_, actions)| sent_to(actions)[0]).collect();
    assert!(to.contains(&1) && to.contains(&2), "members missing or listed as removed are used: {to:?}");
    let at_removed = open.iter().find(|(_, actions)| sent_to(actions) == [2]).expect("2 is used");
    host.end_attempt(at_removed.0, 2, Outcome::ConnectionReset, MS);
    assert!(
        (0..4).all(|_| sent_to(&host.request(EVENTUAL).1) != [2]),
        "the removed member got a request after its first failure"
    );
    host.send_event(list_event(ListScope::Full, &[0, 1, 2].map(|id| (id, Lifecycle::Serving))));
    host.advance(300 * MS);
    let to: Vec<_> = (0..3).flat_map(|_| sent_to(&host.request(EVENTUAL).1)).collect();
    assert!(to.contains(&2), "the member is tried again once it is listed as serving: {to:?}");
}

#[test]
fn a_drain_is_binding_where_removal_is_advisory() {
    let mut host = TestHost::with_reports(advisory_removal(), 3);
    host.send_event(list_event(ListScope::Changes, &[(2, Lifecycle::Draining)]));
    host.send_event(list_event(ListScope::Changes, &[(2, Lifecycle::Removed)]));
    assert!((0..6).all(|_| sent_to(&host.request(EVENTUAL).1) != [2]));
}

#[test]
fn removal_is_binding_elsewhere() {
    let mut host = TestHost::with_reports(settings(), 3);
    host.send_event(list_event(ListScope::Changes, &[(2, Lifecycle::Removed)]));
    assert!((0..6).all(|_| sent_to(&host.request(EVENTUAL).1) != [2]));
}

#[test]
fn a_wrong_list_during_a_primary_change_hides_neither_the_old_primary_nor_the_new_one() {
    let mut host = TestHost::with_reports(advisory_removal(), 3);
    host.send_event(list_event(ListScope::Full, &[(2, Lifecycle::Serving)]));
    let (id, actions) = host.request(WRITE);
    assert_eq!(
        sent_to(&actions),
        [0],
        "the write goes to the last member to claim the primary role, although it is not listed"
    );
    host.end_attempt_as(id, 0, Outcome::Misrouted, MS, Some(false), Some(host.now));
    host.now += 50 * MS;
    host.report(1, true, host.now);
    assert!(
        sent_to(&host.log).contains(&1),
        "the new primary gets the write, although it is missing from the list"
    );
}
