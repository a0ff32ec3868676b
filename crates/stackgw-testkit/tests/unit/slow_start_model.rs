//! Unit tests of `slow_start_model.rs` that need its private items.

use super::*;

fn model() -> SlowStartModel {
    let ms = Duration::from_millis;
    SlowStartModel {
        warm_rate: 100.0,
        cold_fraction: 0.25,
        warm_up_time: ms(10_000),
        overload_multiple: 2.0,
        overload_window: ms(1_000),
        handshake_cost: 2.0,
        health_check_cost: 0.1,
        max_queue_wait: ms(200),
        collapse_time: ms(500),
    }
}

#[test]
fn a_cold_member_collapses_where_a_warm_one_rejects() {
    let mut warm = MemberLoad::new(model());
    let mut cold = warm.clone();
    let at = Duration::from_millis;
    cold.start(Duration::ZERO);
    for n in 0..60 {
        warm.request(at(n));
        cold.request(at(n));
    }
    assert_eq!(
        (warm.observed().collapses, warm.observed().peak_overload),
        (0, 0.0)
    );
    assert!(warm.observed().rejected > 0);
    assert_eq!(cold.observed().collapses, 1);
    assert!(cold.observed().peak_overload > 1.0 && cold.request(at(300)) == WorkOutcome::Collapsed);
    assert!(
        matches!(cold.handshake(at(900)), WorkOutcome::DoneAfter(_)),
        "the member accepts connections again after its collapse time"
    );
}
