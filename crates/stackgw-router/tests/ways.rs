//! Where the host deals out connections: a member that cannot be reached now gets nothing, and what stands free is used first.

mod common;
use common::*;
use stackgw_router::api::*;

/// A primary and two replicas that were all heard; both replicas are dealt.
fn permits(free: u32, may_open_from: Time) -> Option<ConnectionPermits> {
    Some(ConnectionPermits { free, may_open_from })
}

fn dealt(ways: [Option<ConnectionPermits>; 3]) -> Bench {
    let mut bench = Bench::heard(settings(), 3);
    bench.now += 10 * MS;
    for (id, ways) in ways.into_iter().enumerate() {
        bench.router.set_connection_permits(MemberId(id as u32), ways);
    }
    bench
}

#[test]
fn what_cannot_be_reached_gets_neither_requests_nor_probes_until_its_turn() {
    let turn = START + 200 * MS;
    let mut bench = dealt([permits(0, turn); 3]);
    let (write, actions) = bench.ask(WRITE);
    assert!(sent(&actions).is_empty() && probes(&actions).is_empty());
    let before = bench.pass(150 * MS);
    assert!(sent(&before).is_empty() && probes(&before).is_empty(), "{before:?}");
    let after = bench.pass(60 * MS);
    assert_eq!(sent(&after), [0], "its turn has come");
    // The turn is taken: until the host says what there is, nothing more goes there.
    let (_, actions) = bench.ask(WRITE);
    assert!(sent(&actions).is_empty());
    bench.router.set_connection_permits(MemberId(0), permits(1, Time::MAX));
    let actions = bench.end(write, 0, Outcome::Served, 5 * MS);
    assert_eq!(sent(&actions), [0], "a connection is free again");
}

#[test]
fn a_free_connection_goes_before_one_that_is_to_be_opened() {
    for free in [1, 2] {
        let mut bench = dealt([1, 2].into_iter().fold([None; 3], |mut ways, id| {
            ways[id] = permits(u32::from(id == free), START);
            ways
        }));
        assert_eq!(sent(&bench.ask(BOUNDED).1), [free as u32]);
        // The free one is taken; the other's turn has come.
        assert_eq!(sent(&bench.ask(BOUNDED).1), [3 - free as u32]);
    }
}

#[test]
fn a_start_of_its_process_leaves_a_members_ways_as_the_host_told_them() {
    let mut bench = dealt([None, permits(0, Time::MAX), permits(0, Time::MAX)]);
    let started = |id| Member { started_at: Some(START), ..member(id, false) };
    bench.tell(Event::EndpointList { scope: ListScope::Changes, members: vec![started(1), started(2)] });
    assert_eq!(sent(&bench.ask(BOUNDED).1), [0], "the primary is all that can be reached");
}

#[test]
fn word_that_the_host_carries_is_handed_over_once_and_heard_without_being_passed_on() {
    let limits = Limits { host_gossip: true, ..settings().limits };
    let mut bench = Bench::new(Settings { limits, fleet_size: 3, ..settings() }, 3);
    bench.probed(1, false, START);
    assert_eq!(bench.router.take_gossip().iter().map(|news| news.member).collect::<Vec<_>>(), [MemberId(1)]);
    assert!(bench.router.take_gossip().is_empty());
    let word = |id, primary| GossipUpdate {
        member: MemberId(id),
        position: Some(START),
        is_primary: Some(primary),
        latency_ratio: 0.0,
        samples: 0,
    };
    bench.tell(Event::Gossip { sent_at: START, relay: false, updates: vec![word(2, true), word(0, false)] });
    assert!(bench.router.take_gossip().is_empty());
    assert_eq!(sent(&bench.ask(WRITE).1), [2], "the primary as others heard it, without a probe");
    assert!(bench.pass(2 * SECOND).iter().all(|action| !matches!(action, Action::SendGossip { .. })));
}

#[test]
fn a_router_with_few_connections_to_cold_members_uses_what_the_others_cannot() {
    // All three have just started; what a window allows at one that is reached grows as others are not.
    let most = |reached: usize| {
        let mut bench =
            Bench::heard(Settings { fleet_size: 10, lagging_reads: LaggingReads::Rejected, ..settings() }, 4);
        let started = |id| Member { started_at: Some(bench.now), ..member(id, false) };
        let members = (1..4).map(started).collect();
        bench.tell(Event::EndpointList { scope: ListScope::Changes, members });
        bench.router.seed_warm_throughput(10.0);
        (1..4).for_each(|id| bench.probed(id, false, START));
        let free = |id: usize| permits(if id <= reached { 50 } else { 0 }, Time::MAX);
        (1..4).for_each(|id| bench.router.set_connection_permits(MemberId(id as u32), free(id)));
        let mut to_one = 0;
        for _ in 0..60 {
            to_one += bench.served(LOOSE, MS).into_iter().filter(|member| *member == 1).count();
        }
        to_one
    };
    let (one, all) = (most(1), most(3));
    assert!(one >= 2 * all && one <= 4 * all, "{one} where one is reached, {all} where all are");
}
