//! Session positions are limited in number, but none is lost before its retention ends.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stackgw_sessions::{SessionKey, SessionPositions};

const RETENTION: i64 = 1_000;

/// Returns keys that are spread over the buckets: multiples of 2^64 divided by the golden ratio. No
/// two of the first 60 keys share a bucket.
fn key(n: u64) -> SessionKey {
    SessionKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn lookups_return_the_added_position_or_a_later_one(max_positions in 1..40usize, steps in prop::collection::vec((0..60u64, 0..100i64, 0..80i64), 1..300)) {
        let mut positions = SessionPositions::new(max_positions, RETENTION);
        let (mut now, mut added) = (0, Vec::new());
        for (session, position, span) in steps {
            now += span;
            positions.add(now, key(session), position);
            added.push((session, position, now));
            prop_assert!(
                positions.len() <= max_positions,
                "{} positions are recorded, more than {max_positions}",
                positions.len()
            );
            for session in 0..60 {
                let must_see = added.iter().filter(|(s, _, at)| *s == session && *at >= now - RETENTION);
                let must_see = must_see.map(|(_, position, _)| *position).max();
                let recorded = positions.get(now, key(session));
                prop_assert!(
                    recorded.map(|recorded| recorded.position) >= must_see,
                    "session {session}: recorded {recorded:?}, must see {must_see:?}"
                );
            }
        }
        positions.expire(now + 3 * RETENTION);
        prop_assert!(positions.is_empty(), "positions are left after the retention");
    }
}

#[test]
fn memory_stays_bounded_when_sessions_write_continuously() {
    let mut positions = SessionPositions::new(100, RETENTION);
    for now in 0..100_000 {
        positions.add(now / 1_000, key(now as u64 % 7), now);
    }
    assert_eq!(
        (positions.len(), positions.evicted()),
        (7, 0),
        "each of the 7 sessions has one position, and none was evicted"
    );
    // 99,995 is the last multiple of 7 below 100,000, so it is the last position of session 0.
    assert_eq!(
        positions.get(100, key(0)).map(|recorded| recorded.position),
        Some(99_995)
    );
}
