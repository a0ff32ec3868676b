//! What of `observation.rs` is seen from inside only.

use super::*;
use stackgw_router::api::SECOND;

fn seen(member: u64, position_ms: u64, leads: Option<bool>, at_ms: u64) -> Observation {
    Observation {
        member_hash: member,
        position_ms,
        is_primary: leads,
        observed_at_ms: at_ms,
    }
}

#[test]
fn later_word_of_a_member_takes_the_place_of_earlier_word_and_grows_old() {
    let (now, keep) = (100 * SECOND, 5 * SECOND);
    let mut known = Observations::default();
    assert!(known.merge(now, seen(1, 99_000, Some(true), 99_990), keep));
    assert!(
        !known.merge(now, seen(1, 98_000, Some(false), 99_995), keep),
        "an older position"
    );
    assert!(
        !known.merge(now, seen(1, 99_000, None, 99_999), keep),
        "it says less"
    );
    known.record_own(now, seen(1, 99_500, Some(false), 99_999), keep);
    assert!(
        !known.merge(now, seen(2, 94_000, None, 95_000), keep),
        "too old"
    );
    assert!(
        !known.merge(now, seen(2, 94_000, None, u64::MAX), keep),
        "not of this world"
    );
    known.merge(now, seen(3, 99_000, None, 99_000), keep);
    assert_eq!(
        known.take_unsent(),
        [seen(1, 99_500, Some(false), 99_999)],
        "others' word is not passed on"
    );
    assert!(known.take_unsent().is_empty(), "told once");
    assert_eq!(known.next_batch(now, keep).len(), 2);
    assert!(known.next_batch(now + keep, keep).is_empty());
}

#[test]
fn more_than_one_datagram_carries_is_told_in_turn_and_all_is_bounded() {
    let (now, keep) = (100 * SECOND, 5 * SECOND);
    let mut known = Observations::default();
    for n in 0..(MAX_OBSERVED_MEMBERS as u64 + 10) {
        known.record_own(now, seen(n + 1, 99_000, None, 99_000), keep);
    }
    let rounds = MAX_OBSERVED_MEMBERS.div_ceil(MAX_OBSERVATIONS_PER_MESSAGE);
    let all: BTreeSet<_> = (0..rounds)
        .flat_map(|_| known.next_batch(now, keep))
        .map(|s| s.member_hash)
        .collect();
    assert_eq!(all.len(), MAX_OBSERVED_MEMBERS);
    let news: BTreeSet<_> = (0..rounds)
        .flat_map(|_| known.take_unsent())
        .map(|s| s.member_hash)
        .collect();
    assert_eq!(
        (news.len(), known.take_unsent().len()),
        (MAX_OBSERVED_MEMBERS, 0)
    );
}
