//! Gossip from other routers counts like this router's own observations of the same age.

use crate::common::*;
use stackgw_router::api::*;

fn update(id: u32, position: Time) -> GossipUpdate {
    let (is_primary, member) = (Some(id == 0), MemberId(id));
    GossipUpdate { member, position: Some(position), is_primary, latency_ratio: 0.0, samples: 0 }
}

#[test]
fn positions_from_gossip_make_replicas_fresh_and_age_like_any_other() {
    let mut host = TestHost::new(fleet(true), 3);
    let updates = vec![update(0, host.now), update(2, host.now - 50 * MS)];
    host.send_event(Event::Gossip { sent_at: host.now, relay: false, updates });
    assert_eq!(sent_to(&host.request(BOUNDED).1), [2]);
    host.now += BOUND;
    assert!(
        sent_to(&host.request(BOUNDED).1).is_empty(),
        "a read was sent before the health check that stale positions require"
    );
}

#[test]
fn late_gossip_does_not_override_newer_observations() {
    let mut host = TestHost::with_reports(fleet(true), 3);
    let old = host.now - SECOND;
    host.report(1, true, host.now);
    host.send_event(Event::Gossip {
        sent_at: old,
        relay: false,
        updates: vec![update(0, old), update(2, old)],
    });
    assert_eq!(sent_to(&host.request(WRITE).1), [1], "an old claim does not move the primary");
    let (_, actions) = host.request(BOUNDED);
    assert!([0, 2].contains(&sent_to(&actions)[0]), "an old position does not make a fresh replica old");
}

#[test]
fn updates_go_to_the_collecting_router_which_sends_them_to_all() {
    let receivers = |instance_index: u32| {
        let mut host = TestHost::with_reports(Settings { fleet_size: 2, instance_index, ..fleet(true) }, 3);
        let all = host.advance(2 * SECOND);
        let to = |a: &Action| if let Action::SendGossip { to, .. } = a { Some(*to) } else { None };
        all.iter().filter_map(to).collect::<Vec<_>>()
    };
    assert!(receivers(0).iter().all(|to| [None, Some(1)].contains(to)) && !receivers(0).is_empty());
    assert!(receivers(1).iter().all(|to| [None, Some(0)].contains(to)) && !receivers(1).is_empty());
}

#[test]
fn where_gossip_is_not_allowed_none_is_sent() {
    let mut host = TestHost::with_reports(fleet(false), 3);
    let all = host.advance(3 * SECOND);
    assert!(all.iter().all(|a| !matches!(a, Action::SendGossip { .. })));
}

#[test]
fn gossip_carried_by_the_host_is_taken_once_and_merged_without_being_relayed() {
    let limits = Limits { host_gossip: true, ..settings().limits };
    let mut host = TestHost::new(Settings { limits, fleet_size: 3, ..settings() }, 3);
    host.report(1, false, START);
    assert_eq!(
        host.router.take_gossip().iter().map(|update| update.member).collect::<Vec<_>>(),
        [MemberId(1)]
    );
    assert!(host.router.take_gossip().is_empty());
    let update = |id, primary| GossipUpdate {
        member: MemberId(id),
        position: Some(START),
        is_primary: Some(primary),
        latency_ratio: 0.0,
        samples: 0,
    };
    host.send_event(Event::Gossip {
        sent_at: START,
        relay: false,
        updates: vec![update(2, true), update(0, false)],
    });
    assert!(host.router.take_gossip().is_empty());
    assert_eq!(sent_to(&host.request(WRITE).1), [2], "the primary known from gossip, without a health check");
    assert!(host.advance(2 * SECOND).iter().all(|action| !matches!(action, Action::SendGossip { .. })));
}

/// Regression: gossip stated a claim of the role beside a later position, at which nobody had made it.
#[test]
fn gossip_states_no_claim_beside_a_later_position_without_one() {
    let limits = Limits { host_gossip: true, ..settings().limits };
    for (is_primary, expected) in [(true, None), (false, Some(false))] {
        let mut host = TestHost::new(Settings { limits: limits.clone(), fleet_size: 3, ..settings() }, 1);
        for (stated, position) in [(Some(is_primary), START), (None, START + SECOND)] {
            let (id, _) = host.request(EVENTUAL);
            host.end_attempt_as(id, 0, Outcome::Served, MS, stated, Some(position));
        }
        let update = &host.router.take_gossip()[0];
        assert_eq!((update.position, update.is_primary), (Some(START + SECOND), expected));
    }
}
