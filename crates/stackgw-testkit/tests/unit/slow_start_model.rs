//! What of `slow_start_model.rs` is seen from inside only.

use super::*;

fn can() -> SlowStartModel {
    let ms = Duration::from_millis;
    SlowStartModel {
        per_second: 100.0,
        cold_share: 0.25,
        warm_within: ms(10_000),
        fall_multiple: 2.0,
        fall_within: ms(1_000),
        handshake: 2.0,
        probe: 0.1,
        line: ms(200),
        down: ms(500),
    }
}

#[test]
fn a_cold_member_falls_over_where_a_warm_one_turns_away() {
    let mut warm = Load::new(can());
    let mut cold = warm.clone();
    let at = Duration::from_millis;
    cold.start(Duration::ZERO);
    for n in 0..60 {
        warm.request(at(n));
        cold.request(at(n));
    }
    assert_eq!((warm.borne().fell, warm.borne().worst), (0, 0.0));
    assert!(warm.borne().shed > 0);
    assert_eq!(cold.borne().fell, 1);
    assert!(cold.borne().worst > 1.0 && cold.request(at(300)) == Took::Down);
    assert!(
        matches!(cold.handshake(at(900)), Took::Done(_)),
        "it is back"
    );
}
