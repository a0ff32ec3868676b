//! A read goes to a member that may be a stale former primary only while no answer of that member has denied the role.

use crate::common::*;
use stackgw_router::api::*;

/// How far the members of these tests lag behind.
const LAG: Span = 5 * SECOND;
/// Longer than the retention of removed members.
const LONG_REMOVAL: Span = 40 * SECOND;

fn without_health_checks() -> Settings {
    let settings = settings();
    Settings { limits: Limits { health_checks: false, ..settings.limits }, ..settings }
}

/// Two members, 0 as the listed primary. Each has rejected a write as a replica that lags far behind.
fn host_of_denying_members(settings: Settings) -> TestHost {
    let mut host = TestHost::new(settings, 2);
    let (id, _) = host.request(WRITE);
    for member in [0, 1] {
        let position = Some(host.now - LAG);
        host.end_attempt_as(id, member, Outcome::Misrouted, MS, Some(false), position);
    }
    host.now += 10 * MS;
    host
}

fn list(host: &mut TestHost, member: Member) {
    host.send_event(Event::EndpointList { scope: ListScope::Changes, members: vec![member] });
}

fn gossip_claim(host: &mut TestHost, id: u32, position: Time) {
    let update = GossipUpdate {
        member: MemberId(id),
        position: Some(position),
        is_primary: Some(true),
        latency_ratio: 0.0,
        samples: 0,
    };
    host.send_event(Event::Gossip { sent_at: host.now, relay: false, updates: vec![update] });
}

fn assert_gets_no_bounded_read(host: &mut TestHost, member: u32) {
    for _ in 0..6 {
        let to = sent_to(&host.request(BOUNDED).1);
        assert!(!to.contains(&member), "a bounded read was sent to member {member}, {LAG} ns behind");
        host.now += 10 * MS;
    }
}

#[test]
fn members_that_deny_the_role_and_lag_get_no_bounded_read() {
    let mut host = host_of_denying_members(without_health_checks());
    (0..2).for_each(|member| assert_gets_no_bounded_read(&mut host, member));
}

/// Regression fe3bfd: bounded reads went to a replica that had denied the role, as soon as the late list named it as the primary
/// together with a new start.
#[test]
fn a_restart_of_a_listed_primary_does_not_undo_its_denial() {
    let mut host = host_of_denying_members(without_health_checks());
    let restarted = just_started(0, true, host.now);
    list(&mut host, restarted);
    assert_gets_no_bounded_read(&mut host, 0);
}

/// Regression: bounded reads went to a replica that had denied the role, once it had been forgotten and was listed again as the
/// primary.
#[test]
fn a_member_that_was_forgotten_after_its_denial_is_no_primary_by_the_list_alone() {
    let mut host = host_of_denying_members(without_health_checks());
    list(&mut host, Member { lifecycle: Lifecycle::Removed, ..member(0, true) });
    host.advance(LONG_REMOVAL);
    assert!(host.log.contains(&Action::ForgetMember(MemberId(0))), "the removed member is kept");
    // The host gives a member that is listed again a new number.
    list(&mut host, member(2, true));
    assert_gets_no_bounded_read(&mut host, 2);
}

/// Regression: bounded reads went to a replica whose answer as the primary was read after its newer answer as a replica.
#[test]
fn an_older_answer_as_the_primary_does_not_undo_a_newer_denial() {
    let mut host = TestHost::new(without_health_checks(), 1);
    let (older, _) = host.request(WRITE);
    let (newer, _) = host.request(WRITE);
    host.now += 20 * MS;
    let position = host.now - LAG;
    host.end_attempt_as(newer, 0, Outcome::Misrouted, 10 * MS, Some(false), Some(position));
    host.end_attempt_as(older, 0, Outcome::Served, 20 * MS, Some(true), Some(position - 10 * MS));
    assert_gets_no_bounded_read(&mut host, 0);
}

/// As above, where the older answer carries no position.
#[test]
fn an_older_answer_without_a_position_does_not_undo_a_newer_denial() {
    let mut host = TestHost::new(without_health_checks(), 1);
    let (older, _) = host.request(WRITE);
    let (newer, _) = host.request(WRITE);
    host.now += 20 * MS;
    host.end_attempt_as(newer, 0, Outcome::Misrouted, 10 * MS, Some(false), None);
    host.now += 10 * MS;
    host.end_attempt_as(older, 0, Outcome::Served, 30 * MS, Some(true), None);
    assert_gets_no_bounded_read(&mut host, 0);
}

/// The load report in an answer is applied before the answer itself, and may be newer.
#[test]
fn an_answer_that_claims_the_role_ends_the_denial_beside_a_newer_report_of_the_same_claim() {
    let mut host = host_of_denying_members(without_health_checks());
    host.now += SECOND;
    let now = host.now;
    gossip_claim(&mut host, 0, now);
    let (id, _) = host.request(WRITE);
    host.end_attempt_as(id, 0, Outcome::Served, MS, Some(true), Some(now - 10 * MS));
    host.now += 2 * BOUND;
    assert_eq!(sent_to(&host.request(BOUNDED).1), [0]);
}

/// Regression: gossip that a member had claimed the role ended its own denial, and reads went to it although its position was old.
#[test]
fn a_claim_in_gossip_does_not_undo_a_denial_for_reads() {
    let mut host = host_of_denying_members(without_health_checks());
    host.now += LAG;
    let claimed_at = host.now - SECOND;
    gossip_claim(&mut host, 0, claimed_at);
    assert_eq!(sent_to(&host.request(WRITE).1), [0], "a write needs no proof of the role");
    assert_gets_no_bounded_read(&mut host, 0);
    let (_, actions) = host.request(STRONG);
    assert!(
        sent_to(&actions).is_empty(),
        "a strong read was sent to a member that denied the role: {actions:?}"
    );
    let (_, actions) = host.request_after_write(SESSION, Some(100 * MS));
    assert!(
        sent_to(&actions).is_empty(),
        "a session read was sent to a member without its write: {actions:?}"
    );
}

/// As above, for the half-open attempt at an ejected primary.
#[test]
fn an_ejected_primary_that_denied_the_role_gets_no_read_as_its_half_open_attempt() {
    let mut host = host_of_denying_members(without_health_checks());
    host.now += LAG;
    let claimed_at = host.now - SECOND;
    gossip_claim(&mut host, 0, claimed_at);
    let (id, _) = host.request(WRITE);
    host.end_attempt_as(id, 0, Outcome::ConnectFailed, MS, None, None);
    host.now += SECOND;
    assert_gets_no_bounded_read(&mut host, 0);
}

#[test]
fn a_primary_that_denied_the_role_gets_reads_that_its_position_satisfies() {
    let mut host = host_of_denying_members(without_health_checks());
    host.now += SECOND;
    let now = host.now;
    gossip_claim(&mut host, 0, now);
    let (id, actions) = host.request(BOUNDED);
    assert_eq!(sent_to(&actions), [0], "its position is within the bound");
    host.end_attempt_as(id, 0, Outcome::Served, MS, Some(true), Some(now));
    host.now += 2 * BOUND;
    assert_eq!(sent_to(&host.request(BOUNDED).1), [0], "its own answer claims the role");
    assert_eq!(sent_to(&host.request(STRONG).1), [0]);
}

/// Replicas come first: the primary is checked only for a read that no replica can serve.
#[test]
fn a_read_without_a_fresh_replica_waits_for_a_health_check_of_a_primary_that_denied_the_role() {
    let mut host = host_of_denying_members(settings());
    let old = host.now - LAG;
    host.advance(LAG); // The write of the setup has ended.
    answer_health_checks(&mut host, old);
    host.now += SECOND;
    let claimed_at = host.now - SECOND;
    gossip_claim(&mut host, 0, claimed_at);
    let (id, actions) = host.request(BOUNDED);
    assert_eq!(health_checked(&actions), [1]);
    let lagging = host.now - LAG;
    host.report(1, false, lagging);
    assert_eq!(health_checked(&host.log).last(), Some(&0));
    host.now += MS;
    let now = host.now;
    host.report(0, true, now);
    assert_eq!(members_sent(&host.log, id), [0]);
}

/// Without writes and other reads, strong reads at a new primary that was known as a replica would wait for ever.
#[test]
fn a_strong_read_goes_to_a_new_primary_that_reports_a_position_after_the_reads_arrival() {
    let mut host = host_of_denying_members(settings());
    host.now += SECOND;
    let (id, actions) = host.request(STRONG);
    assert!(sent_to(&actions).is_empty(), "a strong read was sent without a primary");
    let arrived_at = host.now;
    host.now += 10 * MS;
    host.report(0, true, arrived_at - MS);
    assert!(members_sent(&host.log, id).is_empty(), "the report is older than the read");
    host.now += 10 * MS;
    host.report(0, true, arrived_at + 5 * MS);
    assert_eq!(members_sent(&host.log, id), [0]);
}

/// Regression: a member's rejection of a write, or of a read that it is too far behind for, did not count as a denial of the role
/// where the answer named no role.
#[test]
fn a_member_that_rejects_a_request_as_a_replica_denies_the_role() {
    for class in [WRITE, BOUNDED] {
        let mut host = TestHost::new(without_health_checks(), 1);
        let (id, actions) = host.request(class);
        assert_eq!(sent_to(&actions), [0]);
        host.end_attempt_as(id, 0, Outcome::Misrouted, MS, None, None);
        assert_gets_no_bounded_read(&mut host, 0);
    }
}

/// Gossip of a claim that was made before the process started says nothing of the process that runs now.
#[test]
fn a_claim_from_before_a_restart_does_not_count_after_it() {
    let mut host = TestHost::new(without_health_checks(), 2);
    let before = host.now;
    host.now += SECOND;
    let restarted = just_started(1, false, host.now);
    list(&mut host, restarted);
    host.now += 10 * MS;
    gossip_claim(&mut host, 1, before);
    let (_, actions) = host.request(STRONG);
    assert!(
        sent_to(&actions).is_empty(),
        "a strong read was sent by a claim of an earlier process: {actions:?}"
    );
}

/// A start in the future says nothing: the list may be wrong, and the primary must still be found.
#[test]
fn a_start_time_in_the_future_hides_no_claim() {
    let mut host = TestHost::new(without_health_checks(), 2);
    let restarted = just_started(1, false, host.now + SECOND);
    list(&mut host, restarted);
    let now = host.now;
    gossip_claim(&mut host, 1, now);
    assert_eq!(sent_to(&host.request(WRITE).1), [1]);
}
