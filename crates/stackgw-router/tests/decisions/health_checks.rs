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
