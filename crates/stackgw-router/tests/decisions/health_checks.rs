//! Health checks are sent at their interval and only where requests need them.

use crate::common::*;
use stackgw_router::api::*;

#[test]
fn at_start_every_replica_is_checked_at_an_interval() {
    let mut host = TestHost::new(settings(), 4);
    let mut first = health_checked(&host.log);
    first.sort_unstable();
    first.dedup();
    assert_eq!(first, [1, 2, 3], "all replicas get a health check at the start");
    let more = health_checked(&host.advance(20 * MS));
    assert!(more.is_empty(), "no second check while the first is pending: {more:?}");
}

#[test]
fn nothing_is_checked_for_a_group_without_requests() {
    let mut host = TestHost::new(fleet(true), 6);
    assert!(health_checked(&host.advance(10 * SECOND)).is_empty());
}

#[test]
fn where_members_report_nothing_no_read_waits_for_a_health_check() {
    let mut host = TestHost::new(Settings { load_reporting: LoadReporting::Never, ..settings() }, 3);
    let (_, actions) = host.request(BOUNDED);
    assert_eq!(sent_to(&actions), [0], "no report will arrive, so the read goes to the primary");
    assert!(health_checked(&host.log).is_empty());
}

/// A host with an unknown clock, two members, and a bounded read that waits for their health checks.
fn host_with_unknown_clock(primary: Option<u32>) -> (TestHost, RequestId) {
    let mut host = TestHost::new(settings(), 0);
    host.router.set_clock_offset(None);
    let members = (0..2).map(|id| member(id, Some(id) == primary)).collect();
    host.send_event(Event::EndpointList { scope: ListScope::Full, members });
    let (id, actions) = host.request(BOUNDED);
    assert!(sent_to(&actions).is_empty(), "a bounded read was sent without a proof of freshness");
    let mut checked = health_checked(&host.log);
    checked.sort_unstable();
    assert_eq!(checked, [0, 1]);
    (host, id)
}

#[test]
fn with_an_unknown_clock_a_read_waits_until_the_primary_leaves_its_health_check_unanswered() {
    let (mut host, id) = host_with_unknown_clock(Some(0));
    let now = host.now;
    host.report(1, false, now);
    assert!(members_sent(&host.log, id).is_empty(), "the primary may yet show the members' time");
    host.send_event(Event::HealthChecked {
        member: MemberId(0),
        responded: false,
        elapsed: MS,
        load_report: LoadReport::default(),
    });
    assert_eq!(members_sent(&host.log, id), [1]);
}

#[test]
fn with_an_unknown_clock_and_no_primary_a_read_waits_until_all_members_have_reported() {
    let (mut host, id) = host_with_unknown_clock(None);
    let now = host.now;
    host.report(1, false, now);
    assert!(members_sent(&host.log, id).is_empty(), "the other member may be the primary");
    host.report(0, false, now);
    assert_eq!(members_sent(&host.log, id).len(), 1);
}
