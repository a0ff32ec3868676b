//! Large fleets: thin streams, word from other routers, own pauses, wrong lists, worthless requests.

mod common;
use common::*;
use stackgw_router::api::*;

fn fleet(peers: bool) -> Settings {
    let limits = Limits { gossip: peers, ..settings().limits };
    Settings { fleet_size: 200, instance_index: 7, limits, ..settings() }
}

fn only_drains_bind() -> Settings {
    let obligations = Obligations { removal_is_advisory: true, ..settings().obligations };
    Settings { obligations, ..settings() }
}

fn listed(scope: ListScope, entries: &[(u32, Lifecycle)]) -> Event {
    let members =
        entries.iter().map(|(id, standing)| Member { lifecycle: *standing, ..member(*id, *id == 0) });
    Event::EndpointList { scope, members: members.collect() }
}

fn word(id: u32, position: Time) -> GossipUpdate {
    let (primary, member) = (Some(id == 0), MemberId(id));
    GossipUpdate { member, position: Some(position), is_primary: primary, latency_ratio: 0.0, samples: 0 }
}

// ---- Thin streams ----

#[test]
fn routers_that_start_together_do_not_all_begin_with_the_same_replica() {
    let mut first = [0; 6];
    for seed in 0..60 {
        let mut bench =
            Bench::seeded(Settings { lagging_reads: LaggingReads::Rejected, ..fleet(false) }, 6, seed);
        let to = sent(&bench.ask(LOOSE).1);
        first[to[0] as usize] += 1;
        let to = sent(&bench.ask(BOUNDED).1);
        first[to[0] as usize] += 1;
    }
    assert!(first[1..].iter().all(|n| *n < 50), "{first:?}");
}

#[test]
fn an_idle_member_is_not_refused_to_a_thin_stream_for_the_sake_of_a_pace() {
    let mut bench = Bench::heard(fleet(false), 3);
    bench.pass(5 * SECOND);
    for _ in 0..4 {
        let (id, actions) = bench.ask(WRITE);
        assert_eq!(sent(&actions), [0]);
        bench.end(id, 0, Outcome::Served, 40 * MS);
    }
}

#[test]
fn nothing_is_probed_for_a_group_that_nobody_asks_for() {
    let mut bench = Bench::new(fleet(true), 6);
    assert!(probes(&bench.pass(10 * SECOND)).is_empty());
}

// ---- Word from other routers ----

#[test]
fn positions_from_others_open_replicas_and_age_like_any_other() {
    let mut bench = Bench::new(fleet(true), 3);
    let news = vec![word(0, bench.now), word(2, bench.now - 50 * MS)];
    bench.tell(Event::Gossip { sent_at: bench.now, relay: false, updates: news });
    assert_eq!(sent(&bench.ask(BOUNDED).1), [2]);
    bench.now += BOUND;
    assert!(sent(&bench.ask(BOUNDED).1).is_empty(), "aged out: asked first");
}

#[test]
fn late_word_undoes_nothing_newer() {
    let mut bench = Bench::heard(fleet(true), 3);
    let old = bench.now - SECOND;
    bench.probed(1, true, bench.now);
    bench.tell(Event::Gossip { sent_at: old, relay: false, updates: vec![word(0, old), word(2, old)] });
    assert_eq!(sent(&bench.ask(WRITE).1), [1], "an old claim does not move the primary");
    let (_, actions) = bench.ask(BOUNDED);
    assert!([0, 2].contains(&sent(&actions)[0]), "an old position does not make a fresh replica old");
}

#[test]
fn news_goes_to_the_router_whose_turn_it_is_and_that_one_tells_all() {
    let told = |me: u32| {
        let mut bench = Bench::heard(Settings { fleet_size: 2, instance_index: me, ..fleet(true) }, 3);
        let all = bench.pass(2 * SECOND);
        let to = |a: &Action| if let Action::SendGossip { to, .. } = a { Some(*to) } else { None };
        all.iter().filter_map(to).collect::<Vec<_>>()
    };
    assert!(told(0).iter().all(|to| [None, Some(1)].contains(to)) && !told(0).is_empty());
    assert!(told(1).iter().all(|to| [None, Some(0)].contains(to)) && !told(1).is_empty());
}

#[test]
fn without_leave_routers_say_nothing() {
    let mut bench = Bench::heard(fleet(false), 3);
    let all = bench.pass(3 * SECOND);
    assert!(all.iter().all(|a| !matches!(a, Action::SendGossip { .. })));
}

// ---- The router's own pause ----

#[test]
fn its_own_pause_is_not_charged_to_members() {
    let mut bench = Bench::heard(settings(), 3);
    let open: Vec<_> = (0..4).map(|_| bench.ask(LOOSE)).collect();
    bench.pass(20 * MS);
    bench.now += 2 * SECOND;
    for (id, actions) in &open {
        let to = sent(actions)[0];
        bench.end(*id, to, Outcome::Served, 2 * SECOND);
    }
    let to: Vec<_> = (0..6).flat_map(|_| sent(&bench.ask(LOOSE).1)).collect();
    assert!(to.contains(&1) && to.contains(&2), "both still serve: {to:?}");
    assert_eq!(bench.log.iter().filter(|a| matches!(a, Action::Cancel { .. })).count(), 0);
}

#[test]
fn after_a_pause_across_a_drain_nothing_goes_to_the_drained_and_overdue_requests_end() {
    let mut bench = Bench::heard(settings(), 3);
    bench.tell(listed(ListScope::Changes, &[(0, Lifecycle::Removed)]));
    let (write, _) = bench.ask(WRITE);
    bench.now += 3 * SECOND + 15 * MS;
    let actions = bench.tell(listed(ListScope::Changes, &[(2, Lifecycle::Draining)]));
    assert!(failed(&actions, write) || refused(&actions, write), "overdue first");
    bench.probed(1, false, bench.now);
    for _ in 0..4 {
        assert!(!sent(&bench.ask(LOOSE).1).contains(&2));
    }
}

// ---- Worthless requests ----

/// A request that every member answers with an error; how many attempts it took.
fn fails_everywhere(bench: &mut Bench) -> usize {
    let (id, actions) = bench.ask(LOOSE);
    let (mut to, mut attempts) = (sent(&actions), 0);
    while let [member] = to[..] {
        attempts += 1;
        let actions = bench.end(id, member, Outcome::Error, MS);
        assert!(!sent(&actions).is_empty() || refused(&actions, id), "answered at once");
        to = sent(&actions);
    }
    attempts
}

#[test]
fn errors_alike_from_all_members_put_none_out_and_cost_two_attempts() {
    let mut bench = Bench::heard(settings(), 4);
    for _ in 0..40 {
        assert_eq!(fails_everywhere(&mut bench), 2);
    }
    let to: Vec<_> = (0..6).flat_map(|_| sent(&bench.ask(LOOSE).1)).collect();
    assert!([1, 2, 3].iter().all(|id| to.contains(id)), "{to:?}");
}

#[test]
fn bad_requests_while_replicas_lag_do_not_close_the_primary() {
    let mut bench = Bench::heard(settings(), 3);
    bench.now += SECOND;
    for id in [1, 2] {
        bench.probed(id, false, bench.now - 4 * SECOND);
    }
    for _ in 0..20 {
        fails_everywhere(&mut bench);
    }
    assert_eq!(sent(&bench.ask(WRITE).1), [0]);
}

// ---- Wrong lists ----

#[test]
fn where_only_drains_bind_a_member_listed_as_gone_serves_on_until_it_fails() {
    let mut bench = Bench::heard(only_drains_bind(), 3);
    bench.tell(listed(ListScope::Full, &[(0, Lifecycle::Serving), (2, Lifecycle::Removed)]));
    let open: Vec<_> = (0..4).map(|_| bench.ask(LOOSE)).collect();
    let to: Vec<_> = open.iter().map(|(_, actions)| sent(actions)[0]).collect();
    assert!(to.contains(&1) && to.contains(&2), "left out or called gone, both are used: {to:?}");
    let gone = open.iter().find(|(_, actions)| sent(actions) == [2]).expect("2 is used");
    bench.end(gone.0, 2, Outcome::ConnectionReset, MS);
    assert!((0..4).all(|_| sent(&bench.ask(LOOSE).1) != [2]), "out at its first failure");
    bench.tell(listed(ListScope::Full, &[0, 1, 2].map(|id| (id, Lifecycle::Serving))));
    bench.pass(300 * MS);
    let to: Vec<_> = (0..3).flat_map(|_| sent(&bench.ask(LOOSE).1)).collect();
    assert!(to.contains(&2), "tried again once the list is right: {to:?}");
}

#[test]
fn a_drain_binds_there_all_the_same() {
    let mut bench = Bench::heard(only_drains_bind(), 3);
    bench.tell(listed(ListScope::Changes, &[(2, Lifecycle::Draining)]));
    bench.tell(listed(ListScope::Changes, &[(2, Lifecycle::Removed)]));
    assert!((0..6).all(|_| sent(&bench.ask(LOOSE).1) != [2]));
}

#[test]
fn elsewhere_gone_binds() {
    let mut bench = Bench::heard(settings(), 3);
    bench.tell(listed(ListScope::Changes, &[(2, Lifecycle::Removed)]));
    assert!((0..6).all(|_| sent(&bench.ask(LOOSE).1) != [2]));
}

#[test]
fn a_wrong_list_during_a_primary_change_loses_neither_the_old_nor_the_new() {
    let mut bench = Bench::heard(only_drains_bind(), 3);
    bench.tell(listed(ListScope::Full, &[(2, Lifecycle::Serving)]));
    let (id, actions) = bench.ask(WRITE);
    assert_eq!(sent(&actions), [0], "gone by the list, primary by its answers");
    bench.end_as(id, 0, Outcome::Misrouted, MS, Some(false), Some(bench.now));
    bench.now += 50 * MS;
    bench.probed(1, true, bench.now);
    assert!(sent(&bench.log).contains(&1), "its successor is missing from the list too");
}

// ---- Connections ----

#[test]
fn one_slow_connect_is_no_dead_member() {
    let mut bench = Bench::heard(settings(), 3);
    let (id, actions) = bench.ask(LOOSE);
    let slow = sent(&actions)[0];
    bench.end(id, slow, Outcome::ConnectFailed, 250 * MS);
    let to: Vec<_> = (0..4).flat_map(|_| sent(&bench.ask(LOOSE).1)).collect();
    assert!(to.contains(&slow), "{to:?}");
}

// ---- Short tries ----

#[test]
fn under_strain_a_request_with_little_time_is_still_sent_to_a_member_with_room() {
    let mut bench = Bench::heard(settings(), 3);
    for _ in 0..30 {
        let (id, actions) = bench.ask(LOOSE);
        bench.end(id, sent(&actions)[0], Outcome::Served, 140 * MS);
    }
    let request = Request { id: RequestId(900), class: LOOSE, group: GROUP, ..Request::default() };
    let deadline = bench.now + 200 * MS;
    let actions = bench.tell(Event::Request(Request { deadline, ..request }));
    assert_eq!(sent(&actions).len(), 1, "a member has room, and answers within 140 ms");
}

#[test]
fn where_members_report_nothing_no_read_waits_for_a_probe() {
    let mut bench = Bench::new(Settings { load_reporting: LoadReporting::Never, ..settings() }, 3);
    let (_, actions) = bench.ask(BOUNDED);
    assert_eq!(sent(&actions), [0], "no word will come: the primary");
    assert!(probes(&bench.log).is_empty());
}

#[test]
fn what_a_warm_member_bears_is_told_by_the_kind_that_is_used_most() {
    let mut bench = Bench::heard(Settings { lagging_reads: LaggingReads::Rejected, ..settings() }, 3);
    // Twenty reads a second, all at the two replicas; the primary idles and says nothing of what a member bears.
    for _ in 0..400 {
        bench.served(LOOSE, 5 * MS);
        bench.pass(50 * MS);
    }
    let rate = bench.router.warm_throughput();
    assert!((9.0..11.0).contains(&rate), "{rate} a second; two replicas share twenty");
    // Writes beside them change nothing while they are fewer.
    for _ in 0..100 {
        for class in [LOOSE, LOOSE, LOOSE, LOOSE, WRITE] {
            bench.served(class, 5 * MS);
        }
        bench.pass(200 * MS);
    }
    let rate = bench.router.warm_throughput();
    assert!((9.0..11.0).contains(&rate), "{rate} a second");
}
