//! The design's ordinary path: split, window, pick and fallback, under both ways replicas treat lag.

mod common;
use common::*;
use stackgw_router::api::*;

#[test]
fn writes_go_to_the_primary_alone() {
    let mut bench = Bench::heard(settings(), 4);
    for _ in 0..5 {
        assert_eq!(sent(&bench.ask(WRITE).1), [0]);
    }
}

#[test]
fn bounded_reads_rotate_over_fresh_replicas_by_weight() {
    let mut bench = Bench::heard(settings(), 4);
    let heavy = Member { weight: 2.0, ..member(3, false) };
    bench.tell(Event::EndpointList { scope: ListScope::Changes, members: vec![heavy] });
    let mut counts = [0; 4];
    for _ in 0..40 {
        let (id, actions) = bench.ask(BOUNDED);
        let to = sent(&actions)[0];
        counts[to as usize] += 1;
        bench.now += MS;
        bench.end_as(id, to, Outcome::Served, MS, Some(false), Some(bench.now));
    }
    assert_eq!(counts, [0, 10, 10, 20]);
}

#[test]
fn a_replica_outside_the_bound_loses_its_share() {
    let mut bench = Bench::heard(settings(), 3);
    bench.now += BOUND;
    bench.probed(1, false, bench.now - 10 * MS);
    for _ in 0..6 {
        assert_eq!(sent(&bench.ask(BOUNDED).1), [1], "replica 2 was last heard too long ago");
    }
}

/// Answers every probe asked for so far, and those that the answers bring about.
fn all_answer_probes(bench: &mut Bench, position: Time) {
    let mut answered = 0;
    while let Some(asked) = probes(&bench.log).get(answered) {
        bench.probed(*asked, false, position);
        answered += 1;
    }
}

#[test]
fn with_no_fresh_replica_bounded_reads_fall_back_to_the_primary() {
    let mut bench = Bench::heard(settings(), 3);
    let old = bench.now;
    bench.now += BOUND;
    let (_, actions) = bench.ask(BOUNDED);
    assert!(sent(&actions).is_empty(), "word of the replicas is milliseconds away");
    all_answer_probes(&mut bench, old);
    assert_eq!(sent(&bench.log), [0], "none proved fresh");
}

#[test]
fn where_replicas_check_reads_the_most_advanced_is_asked_first() {
    let mut bench = Bench::new(Settings { lagging_reads: LaggingReads::Rejected, ..settings() }, 3);
    bench.probed(0, true, bench.now);
    bench.probed(1, false, bench.now - 750 * MS);
    bench.probed(2, false, bench.now - 700 * MS);
    let (id, actions) = bench.ask(BOUNDED);
    assert_eq!(sent(&actions), [2]);
    let actions = bench.end(id, 2, Outcome::Misrouted, MS);
    assert_eq!(sent(&actions), [0], "then the primary");
}

#[test]
fn replicas_last_heard_hopelessly_behind_are_not_asked() {
    // Danger: where all lag, each read wastes a wait and an attempt on a miss that was foreseeable.
    let mut bench = Bench::new(Settings { lagging_reads: LaggingReads::Rejected, ..settings() }, 3);
    bench.probed(0, true, bench.now);
    (1..3).for_each(|id| bench.probed(id, false, bench.now - 5 * SECOND));
    assert_eq!(sent(&bench.ask(BOUNDED).1), [0]);
}

#[test]
fn where_replicas_check_reads_an_aged_position_alone_excludes_none() {
    let mut bench = Bench::heard(Settings { lagging_reads: LaggingReads::Delayed(20 * MS), ..settings() }, 3);
    bench.now += 2 * BOUND;
    let used: Vec<_> = (0..4).flat_map(|_| sent(&bench.ask(BOUNDED).1)).collect();
    assert!(used.contains(&1) && used.contains(&2), "the load is spread, not piled on one: {used:?}");
    assert!(!used.contains(&0));
}

#[test]
fn session_reads_inside_the_window_go_to_the_primary() {
    let mut bench = Bench::heard(settings(), 3);
    assert_eq!(sent(&bench.ask_since(SESSION, Some(20 * MS)).1), [0]);
}

#[test]
fn session_reads_outside_the_window_need_a_covering_position() {
    let mut bench = Bench::heard(settings(), 3);
    bench.now += 4 * SECOND;
    let old = bench.now - 3 * SECOND;
    assert!(sent(&bench.ask_since(SESSION, Some(2 * SECOND)).1).is_empty());
    all_answer_probes(&mut bench, old);
    assert_eq!(sent(&bench.log), [0], "no replica covers the write");
    bench.probed(2, false, bench.now - SECOND);
    for _ in 0..4 {
        assert_eq!(sent(&bench.ask_since(SESSION, Some(2 * SECOND)).1), [2]);
    }
}

#[test]
fn reads_that_need_no_position_use_any_replica() {
    let mut bench = Bench::heard(settings(), 3);
    bench.now += 60 * SECOND;
    for class in [LOOSE, SESSION] {
        assert_ne!(sent(&bench.ask(class).1), [0]);
    }
}

#[test]
fn the_router_remembers_a_sessions_write_where_clients_do_not() {
    let mut bench = Bench::heard(Settings { session_tracking: SessionTracking::Router, ..settings() }, 3);
    let (id, _) = bench.ask(WRITE);
    bench.now += 50 * MS;
    bench.end_as(id, 0, Outcome::Served, 50 * MS, Some(true), Some(bench.now));
    bench.now += SECOND;
    let old = bench.now - 2 * SECOND;
    assert!(sent(&bench.ask(SESSION).1).is_empty(), "the replicas were last heard before the write");
    all_answer_probes(&mut bench, old);
    assert_eq!(sent(&bench.log).last(), Some(&0), "and have not caught up");
    bench.probed(1, false, bench.now);
    assert_eq!(sent(&bench.ask(SESSION).1), [1]);
}

#[test]
fn fresh_reads_wait_until_a_member_has_claimed_the_role() {
    let mut bench = Bench::new(settings(), 3);
    let (_, actions) = bench.ask(FRESH);
    assert!(sent(&actions).is_empty(), "the list alone proves nothing");
    bench.probed(0, true, bench.now);
    assert_eq!(sent(&bench.log), [0]);
}

#[test]
fn a_replica_with_clearly_more_in_flight_is_skipped() {
    let mut bench = Bench::heard(settings(), 4);
    let open: Vec<_> = (0..9).map(|_| bench.ask(LOOSE)).collect();
    // Replica 1 keeps its three; the others finish.
    for (id, actions) in &open {
        let to = sent(actions)[0];
        if to != 1 {
            bench.now += MS;
            bench.end_as(*id, to, Outcome::Served, 20 * MS, Some(false), Some(bench.now));
        }
    }
    let next: Vec<_> = (0..2).flat_map(|_| sent(&bench.ask(LOOSE).1)).collect();
    assert!(!next.contains(&1), "{next:?}");
}

#[test]
fn at_start_every_member_is_probed_at_a_pace() {
    let mut bench = Bench::new(settings(), 4);
    let mut first = probes(&bench.log);
    first.sort_unstable();
    first.dedup();
    assert_eq!(first, [1, 2, 3], "all replicas");
    let more = probes(&bench.pass(20 * MS));
    assert!(more.is_empty(), "no second probe while the first is out: {more:?}");
}

#[test]
fn a_quiet_day_starts_no_departure() {
    let mut bench = Bench::heard(settings(), 4);
    for round in 0..400 {
        let class = [BOUNDED, SESSION, WRITE, LOOSE][round % 4];
        let (id, actions) = bench.ask_since(class, Some(5 * SECOND).filter(|_| class == SESSION));
        let to = sent(&actions)[0];
        assert_eq!(to == 0, class == WRITE, "round {round}");
        bench.pass(20 * MS);
        bench.end_as(id, to, Outcome::Served, 20 * MS, Some(to == 0), Some(bench.now));
    }
    let unusual = |a: &&Action| matches!(a, Action::Cancel { .. } | Action::Reject { .. } | Action::Fail(_));
    assert_eq!(bench.log.iter().filter(unusual).count(), 0);
}
