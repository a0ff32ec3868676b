//! The bounds of session positions: none is forgotten before its retention ends, whatever is added.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stackgw_sessions::{SessionKey, SessionPositions};

const RETENTION: i64 = 1_000;

/// Sessions far apart, so that some share a bucket and most don't.
fn key(n: u64) -> SessionKey {
    SessionKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn a_session_is_given_its_position_or_a_later_one(max_positions in 1..40usize, steps in prop::collection::vec((0..60u64, 0..100i64, 0..80i64), 1..300)) {
        let mut positions = SessionPositions::new(max_positions, RETENTION);
        let (mut now, mut added) = (0, Vec::new());
        for (session, position, span) in steps {
            now += span;
            positions.add(now, key(session), position);
            added.push((session, position, now));
            prop_assert!(positions.len() <= max_positions);
            for session in 0..60 {
                let must_see = added.iter().filter(|(s, _, at)| *s == session && *at >= now - RETENTION);
                let must_see = must_see.map(|(_, position, _)| *position).max();
                let recorded = positions.get(now, key(session));
                prop_assert!(recorded.map(|recorded| recorded.position) >= must_see, "{session} {recorded:?} {must_see:?}");
            }
        }
        positions.expire(now + 3 * RETENTION);
        prop_assert!(positions.is_empty());
    }
}

#[test]
fn memory_stays_bounded_when_a_session_writes_all_the_time() {
    let mut positions = SessionPositions::new(100, RETENTION);
    for now in 0..100_000 {
        positions.add(now / 1_000, key(now as u64 % 7), now);
    }
    assert_eq!((positions.len(), positions.evicted()), (7, 0));
    assert_eq!(
        positions.get(100, key(0)).map(|recorded| recorded.position),
        Some(99_995)
    );
}
