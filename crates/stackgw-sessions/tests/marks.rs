//! The marks' bounds: nothing is forgotten before its horizon, whatever is added.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stackgw_sessions::{SessionKey, SessionPositions};

const HORIZON: i64 = 1_000;

/// Sessions far apart, so that some share a cell and most don't.
fn key(n: u64) -> SessionKey {
    SessionKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn a_session_is_told_its_position_or_a_later_one(most in 1..40usize, steps in prop::collection::vec((0..60u64, 0..100i64, 0..80i64), 1..300)) {
        let mut marks = SessionPositions::new(most, HORIZON);
        let (mut now, mut added) = (0, Vec::new());
        for (session, position, span) in steps {
            now += span;
            marks.add(now, key(session), position);
            added.push((session, position, now));
            prop_assert!(marks.len() <= most);
            for session in 0..60 {
                let must = added.iter().filter(|(s, _, at)| *s == session && *at >= now - HORIZON);
                let must = must.map(|(_, position, _)| *position).max();
                let seen = marks.get(now, key(session));
                prop_assert!(seen.map(|seen| seen.position) >= must, "{session} {seen:?} {must:?}");
            }
        }
        marks.expire(now + 3 * HORIZON);
        prop_assert!(marks.is_empty());
    }
}

#[test]
fn a_session_that_writes_all_the_time_takes_no_more_room() {
    let mut marks = SessionPositions::new(100, HORIZON);
    for now in 0..100_000 {
        marks.add(now / 1_000, key(now as u64 % 7), now);
    }
    assert_eq!((marks.len(), marks.evicted()), (7, 0));
    assert_eq!(
        marks.get(100, key(0)).map(|seen| seen.position),
        Some(99_995)
    );
}
