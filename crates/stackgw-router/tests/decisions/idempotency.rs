//! No request runs twice if that does harm, and the number of attempts stays within its limit.

use crate::common::*;
use stackgw_router::api::*;

#[test]
fn a_non_idempotent_write_that_may_have_run_is_only_failed() {
    for outcome in [Outcome::TimedOut, Outcome::ConnectionReset, Outcome::Error, Outcome::Cancelled] {
        let mut host = TestHost::with_reports(settings(), 3);
        let (id, _) = host.request(WRITE);
        host.now += 100 * MS;
        let actions = host.end_attempt(id, 0, outcome, 100 * MS);
        assert!(is_failed(&actions, id) && sent_to(&actions).is_empty(), "{outcome:?}");
    }
}

#[test]
fn a_non_idempotent_write_that_never_ran_is_retried() {
    let mut host = TestHost::with_reports(settings(), 3);
    let (id, _) = host.request(WRITE);
    let actions = host.end_attempt_as(id, 0, Outcome::Misrouted, MS, Some(false), Some(host.now + MS));
    assert_eq!(sent_to(&actions).len(), 1, "the next member is tried");
    assert_ne!(sent_to(&actions), [0]);
}

#[test]
fn a_write_with_a_key_is_retried_inside_its_window_and_never_after() {
    let mut host = TestHost::with_reports(settings(), 3);
    let (id, _) = host.request(WITH_KEY);
    host.now += 500 * MS;
    let actions = host.end_attempt(id, 0, Outcome::ConnectionReset, 500 * MS);
    assert_eq!(sent_to(&actions), [0]);
    host.now += 1_600 * MS;
    let actions = host.end_attempt(id, 0, Outcome::ConnectionReset, 1_600 * MS);
    assert!(sent_to(&actions).is_empty(), "a write was retried after its idempotency key expired");
    assert!(
        is_failed(&actions, id) && !is_rejected(&actions, id),
        "a write that may have run must be failed, not rejected"
    );
}

#[test]
fn one_attempt_is_open_at_a_time() {
    let mut host = TestHost::with_reports(settings(), 3);
    let (id, actions) = host.request(EVENTUAL);
    let to = sent_to(&actions)[0];
    let actions = host.advance(2 * SECOND);
    assert!(
        sent_to(&actions).is_empty(),
        "a second attempt was sent before the end of the first was reported"
    );
    let actions = host.end_attempt(id, to, Outcome::Cancelled, 2 * SECOND);
    assert!(is_rejected(&actions, id), "a request that is too late to count is rejected");
}

#[test]
fn attempts_stay_within_the_limit() {
    let mut host = TestHost::with_reports(settings(), 12);
    let (id, actions) = host.request(EVENTUAL);
    let mut to = sent_to(&actions);
    let mut count = 0;
    while let [member] = to[..] {
        count += 1;
        to = sent_to(&host.end_attempt(id, member, Outcome::Overloaded, MS));
    }
    assert_eq!(count, 6, "attempts of a request; `max_attempts` is 6");
}

/// Regression: the window of a key was compared with the time of the decision alone, and the attempt could wait for its
/// connection beyond it.
#[test]
fn a_repeat_of_a_write_with_a_key_must_be_written_inside_its_window() {
    let write_by = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { write_by, .. } => Some(*write_by),
            _ => None,
        })
    };
    let mut host = TestHost::with_reports(settings(), 3);
    let sent_at = host.now;
    let (id, actions) = host.request(WITH_KEY);
    assert_eq!(write_by(&actions), Some(None), "the first attempt may be written at any time");
    host.now += 1_900 * MS;
    let actions = host.end_attempt(id, 0, Outcome::ConnectionReset, 1_900 * MS);
    let latest = write_by(&actions).expect("the write is repeated").expect("a latest time to write it");
    assert!(
        (host.now..=sent_at + 2 * SECOND).contains(&latest),
        "{latest} is not between now and the end of the window"
    );
}

/// Regression: a read was written to a member that had denied the role of primary after the decision.
#[test]
fn a_strong_read_may_be_written_only_while_its_member_claims_the_primary_role() {
    let mut host = TestHost::with_reports(settings(), 3);
    let (write, _) = host.request(WRITE);
    host.end_attempt_as(write, 0, Outcome::Served, MS, Some(true), Some(host.now));
    let (other, _) = host.request(WRITE);
    let (read, actions) = host.request(STRONG);
    assert_eq!(sent_to(&actions), [0]);
    assert!(host.router.may_write(read, MemberId(0)));
    host.end_attempt_as(other, 0, Outcome::Served, MS, Some(false), Some(host.now - SECOND));
    assert!(!host.router.may_write(read, MemberId(0)));
}
