//! The endpoint list: drains, removals, wrong lists, and members that are forgotten.

use crate::common::*;
use stackgw_router::api::*;

#[test]
fn a_draining_or_removed_replica_gets_nothing_new() {
    for lifecycle in [Lifecycle::Draining, Lifecycle::Removed] {
        let mut host = TestHost::with_reports(settings(), 3);
        let unavailable = Member { lifecycle, ..member(1, false) };
        host.hand(Event::EndpointList { scope: ListScope::Changes, members: vec![unavailable] });
        for _ in 0..6 {
            assert_eq!(sent_to(&host.request(EVENTUAL).1), [2]);
        }
    }
}

#[test]
fn a_draining_primary_takes_writes_inside_the_grace_while_no_other_is_known() {
    let mut host = TestHost::with_reports(settings(), 3);
    let draining = Member { lifecycle: Lifecycle::Draining, ..member(0, true) };
    host.hand(Event::EndpointList { scope: ListScope::Changes, members: vec![draining] });
    host.now += 500 * MS;
    assert_eq!(sent_to(&host.request(WRITE).1), [0]);
    host.now += 400 * MS;
    assert!(sent_to(&host.request(WRITE).1).is_empty(), "the grace is nearly over");
    host.report(1, true, host.now);
    assert!(sent_to(&host.log).ends_with(&[1]), "the successor gets what was queued");
}

#[test]
fn a_member_missing_from_a_full_list_is_removed() {
    let mut host = TestHost::with_reports(settings(), 3);
    let left = vec![member(0, true), member(2, false)];
    host.hand(Event::EndpointList { scope: ListScope::Full, members: left });
    for _ in 0..4 {
        assert_eq!(sent_to(&host.request(EVENTUAL).1), [2]);
    }
}

#[test]
fn a_failed_poll_changes_nothing_and_is_repeated() {
    let mut host = TestHost::with_reports(Settings { polls_endpoint_list: true, ..settings() }, 3);
    let actions = host.hand(Event::EndpointList { scope: ListScope::Failed, members: vec![] });
    assert!(actions.contains(&Action::Subscribe(true)));
    assert_eq!(sent_to(&host.request(WRITE).1), [0]);
}

/// Members are replaced for as long as the router runs: what it keeps must not be what it ever knew.
#[test]
fn removed_members_are_forgotten_in_the_end_and_those_in_use_are_not() {
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
        host.hand(Event::EndpointList {
            scope: ListScope::Changes,
            members: vec![member(n, false), removed(n - 1), draining],
        });
        host.advance(SECOND);
    }
    let dropped = forgotten(&host);
    let members = [dropped.iter().min(), dropped.iter().max()];
    assert!(dropped.len() > 250 && dropped.len() < 290, "{} were forgotten, {members:?}", dropped.len());
    assert!(dropped.iter().all(|n| (9..290).contains(n)), "one that still serves was forgotten: {members:?}");
    // One with an open attempt is remembered until that has ended.
    host.hand(Event::EndpointList { scope: ListScope::Changes, members: vec![removed(busy)] });
    host.advance(60 * SECOND);
    assert!(!forgotten(&host).contains(&busy));
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
    host.hand(listed(ListScope::Full, &[(0, Lifecycle::Serving), (2, Lifecycle::Removed)]));
    let open: Vec<_> = (0..4).map(|_| host.request(EVENTUAL)).collect();
    let to: Vec<_> = open.iter().map(|(_, actions)| sent_to(actions)[0]).collect();
    assert!(to.contains(&1) && to.contains(&2), "missing or listed as removed, both are used: {to:?}");
    let at_removed = open.iter().find(|(_, actions)| sent_to(actions) == [2]).expect("2 is used");
    host.end_attempt(at_removed.0, 2, Outcome::ConnectionReset, MS);
    assert!((0..4).all(|_| sent_to(&host.request(EVENTUAL).1) != [2]), "ejected at its first failure");
    host.hand(listed(ListScope::Full, &[0, 1, 2].map(|id| (id, Lifecycle::Serving))));
    host.advance(300 * MS);
    let to: Vec<_> = (0..3).flat_map(|_| sent_to(&host.request(EVENTUAL).1)).collect();
    assert!(to.contains(&2), "tried again once the list is right: {to:?}");
}

#[test]
fn a_drain_is_binding_where_removal_is_advisory() {
    let mut host = TestHost::with_reports(advisory_removal(), 3);
    host.hand(listed(ListScope::Changes, &[(2, Lifecycle::Draining)]));
    host.hand(listed(ListScope::Changes, &[(2, Lifecycle::Removed)]));
    assert!((0..6).all(|_| sent_to(&host.request(EVENTUAL).1) != [2]));
}

#[test]
fn removal_is_binding_elsewhere() {
    let mut host = TestHost::with_reports(settings(), 3);
    host.hand(listed(ListScope::Changes, &[(2, Lifecycle::Removed)]));
    assert!((0..6).all(|_| sent_to(&host.request(EVENTUAL).1) != [2]));
}

#[test]
fn a_wrong_list_during_a_primary_change_loses_neither_the_old_primary_nor_the_new() {
    let mut host = TestHost::with_reports(advisory_removal(), 3);
    host.hand(listed(ListScope::Full, &[(2, Lifecycle::Serving)]));
    let (id, actions) = host.request(WRITE);
    assert_eq!(sent_to(&actions), [0], "removed by the list, primary by its answers");
    host.end_attempt_as(id, 0, Outcome::Misrouted, MS, Some(false), Some(host.now));
    host.now += 50 * MS;
    host.report(1, true, host.now);
    assert!(sent_to(&host.log).contains(&1), "its successor is missing from the list too");
}
