//! Observations of members: which one replaces another, and which are sent when not all fit into one datagram.

use super::{Observation, Observations, MAX_OBSERVATIONS_PER_MESSAGE, MAX_OBSERVED_MEMBERS};
use stackgw_router::api::SECOND;
use std::collections::BTreeSet;

fn observation(
    member_hash: u64,
    position_ms: u64,
    is_primary: Option<bool>,
    observed_at_ms: u64,
) -> Observation {
    Observation {
        member_hash,
        position_ms,
        is_primary,
        observed_at_ms,
    }
}

#[test]
fn later_observations_replace_earlier_ones_and_expire() {
    let (now, max_age) = (100 * SECOND, 5 * SECOND);
    let mut known = Observations::default();
    assert!(known.merge(now, observation(1, 99_000, Some(true), 99_990), max_age));
    assert!(
        !known.merge(now, observation(1, 98_000, Some(false), 99_995), max_age),
        "an observation with an older position is ignored"
    );
    assert!(
        !known.merge(now, observation(1, 99_000, None, 99_999), max_age),
        "an observation with the same position but without a role is ignored"
    );
    known.record_own(now, observation(1, 99_500, Some(false), 99_999), max_age);
    assert!(
        !known.merge(now, observation(2, 94_000, None, 95_000), max_age),
        "an observation that is too old is ignored"
    );
    assert!(
        !known.merge(now, observation(2, 94_000, None, u64::MAX), max_age),
        "an observation dated far in the future is ignored"
    );
    known.merge(now, observation(3, 99_000, None, 99_000), max_age);
    let own = observation(1, 99_500, Some(false), 99_999);
    assert_eq!(
        known.take_unsent(),
        [own],
        "observations from peers are not passed on"
    );
    assert!(
        known.take_unsent().is_empty(),
        "an own observation is sent only once"
    );
    assert_eq!(known.next_batch(now, max_age).len(), 2);
    assert!(known.next_batch(now + max_age, max_age).is_empty());
}

#[test]
fn batches_cycle_through_all_members_when_one_datagram_cannot_carry_them() {
    let (now, max_age) = (100 * SECOND, 5 * SECOND);
    let mut known = Observations::default();
    for n in 0..(MAX_OBSERVED_MEMBERS as u64 + 10) {
        known.record_own(now, observation(n + 1, 99_000, None, 99_000), max_age);
    }
    let rounds = MAX_OBSERVED_MEMBERS.div_ceil(MAX_OBSERVATIONS_PER_MESSAGE);
    let all = (0..rounds).flat_map(|_| known.next_batch(now, max_age));
    let all: BTreeSet<_> = all.map(|observation| observation.member_hash).collect();
    assert_eq!(all.len(), MAX_OBSERVED_MEMBERS);
    let own = (0..rounds).flat_map(|_| known.take_unsent());
    let own: BTreeSet<_> = own.map(|observation| observation.member_hash).collect();
    assert_eq!(
        (own.len(), known.take_unsent().len()),
        (MAX_OBSERVED_MEMBERS, 0)
    );
}
