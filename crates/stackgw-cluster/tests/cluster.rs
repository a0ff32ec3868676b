//! Instances that find and lose each other over a network in simulated time, and what is dropped.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stackgw_cluster::*;
use stackgw_router::api::{Time, MS, SECOND};
use stackgw_sessions::{Message, NodeId, Peer, SessionKey};
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn address(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7_000 + n).into()
}

fn ring(secrets: &[&str]) -> Keyring {
    let keys = secrets
        .iter()
        .map(|s| Key::new("depots", s.as_bytes()).expect("a secret"))
        .collect();
    Keyring::new(keys).expect("keys")
}

const OLD: &str = "an old secret of some length";
const NEW: &str = "a new secret of some length";

struct Net {
    now: Time,
    up: BTreeMap<u16, Cluster>,
    flying: Vec<(SocketAddr, Vec<u8>)>,
    events: Vec<(u16, Event)>,
    refused: Vec<Refused>,
}

impl Net {
    fn new() -> Self {
        Net {
            now: 0,
            up: BTreeMap::new(),
            flying: Vec::new(),
            events: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn start(&mut self, n: u16, incarnation: u64, ring: Keyring) {
        let peer = Peer {
            node: NodeId(u64::from(n)),
            incarnation,
        };
        let me = Identity {
            peer,
            address: address(n),
            rejoin_count: 0,
        };
        let set = ClusterSettings {
            identity: me,
            seeds: vec![address(1), address(2)],
            keyring: ring,
            rng_seed: u64::from(n),
            expected_instances: 3,
        };
        self.up.insert(n, Cluster::new(self.now, set));
    }

    fn pass(&mut self, span: Time) {
        let end = self.now + span;
        while self.now < end {
            self.now += 10 * MS;
            for (n, cluster) in &mut self.up {
                let (mut effects, mut events) = (Vec::new(), Vec::new());
                cluster.handle_timeout(self.now, &mut effects, &mut events);
                self.flying.extend(
                    effects
                        .into_iter()
                        .map(|Effect::Send(to, bytes)| (to, bytes)),
                );
                self.events
                    .extend(events.into_iter().map(|event| (*n, event)));
            }
            for (to, bytes) in std::mem::take(&mut self.flying) {
                assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
                let n = to.port() - 7_000;
                let Some(cluster) = self.up.get_mut(&n) else {
                    continue;
                };
                let (mut effects, mut events) = (Vec::new(), Vec::new());
                self.refused.extend(
                    cluster
                        .handle_datagram(self.now, &bytes, &mut effects, &mut events)
                        .err(),
                );
                self.flying.extend(
                    effects
                        .into_iter()
                        .map(|Effect::Send(to, bytes)| (to, bytes)),
                );
                self.events
                    .extend(events.into_iter().map(|event| (n, event)));
            }
        }
    }

    fn sees(&self, n: u16) -> Vec<(u64, u64)> {
        let up = self.up[&n]
            .instances()
            .filter(|seen| seen.up)
            .map(|seen| seen.identity.peer);
        up.map(|peer| (peer.node.0, peer.incarnation)).collect()
    }

    fn say(&mut self, from: u16, to: u16, message: &Message) {
        let mut effects = Vec::new();
        let peer = Peer {
            node: NodeId(u64::from(to)),
            incarnation: 0,
        };
        self.up
            .get_mut(&from)
            .expect("it runs")
            .send(peer, message, &mut effects);
        self.flying.extend(
            effects
                .into_iter()
                .map(|Effect::Send(to, bytes)| (to, bytes)),
        );
    }
}

#[test]
fn instances_find_each_other_by_seeds_and_notice_who_dies_and_returns() {
    let mut net = Net::new();
    (1..=5).for_each(|n| net.start(n, 10, ring(&[OLD])));
    net.pass(5 * SECOND);
    assert_eq!(net.sees(5), [(1, 10), (2, 10), (3, 10), (4, 10)]);
    let epoch = net.up[&1].epoch();
    net.up.remove(&3);
    net.pass(20 * SECOND);
    assert_eq!(net.sees(1), [(2, 10), (4, 10), (5, 10)]);
    assert!(net.up[&1].epoch() > epoch);
    net.start(3, 11, ring(&[OLD]));
    net.pass(10 * SECOND);
    assert!(net.sees(1).contains(&(3, 11)), "{:?}", net.sees(1));
    assert!(net.sees(5).contains(&(3, 11)), "{:?}", net.sees(5));
    assert!(net.refused.is_empty(), "{:?}", net.refused);
}

#[test]
fn a_message_between_sessions_arrives_with_its_lives() {
    let mut net = Net::new();
    (1..=2).for_each(|n| net.start(n, 7, ring(&[OLD])));
    net.pass(3 * SECOND);
    let message = Message::PositionQuery {
        nonce: 9,
        key: SessionKey(3),
    };
    net.say(1, 2, &message);
    net.pass(100 * MS);
    let peer = |node, incarnation| Peer {
        node: NodeId(node),
        incarnation,
    };
    assert!(net
        .events
        .contains(&(2, Event::Sessions(peer(1, 7), peer(2, 0), message))));
}

#[test]
fn keys_are_changed_while_all_stay_in_touch() {
    let mut net = Net::new();
    (1..=3).for_each(|n| net.start(n, 7, ring(&[OLD])));
    net.pass(3 * SECOND);
    for keys in [&[OLD, NEW][..], &[NEW, OLD], &[NEW]] {
        for n in 1..=3 {
            net.up
                .get_mut(&n)
                .expect("it runs")
                .reload(net.now, ring(keys), vec![address(1)]);
            net.pass(2 * SECOND);
        }
    }
    assert!(net.refused.is_empty(), "{:?}", net.refused);
    assert_eq!(net.sees(3).len(), 2);
}

#[test]
fn a_wrong_key_is_dropped_and_counted() {
    let mut net = Net::new();
    net.start(1, 7, ring(&[OLD]));
    net.start(2, 7, ring(&[NEW]));
    net.pass(5 * SECOND);
    assert!(net.sees(1).is_empty() && net.sees(2).is_empty());
    assert!(net.up[&1].counters().unknown_key > 0 && net.up[&2].counters().unknown_key > 0);
    // The same secret in another cluster is another key.
    let elsewhere =
        Keyring::new(vec![Key::new("other", OLD.as_bytes()).expect("a secret")]).expect("keys");
    assert_eq!(
        ring(&[OLD]).verify(&elsewhere.sign(1, b"x")),
        Err(Unsealed::UnknownKey)
    );
    assert!(Key::new("depots", b"short").is_none());
}

#[test]
fn a_later_life_of_the_same_name_is_noticed() {
    let mut net = Net::new();
    (1..=2).for_each(|n| net.start(n, 7, ring(&[OLD])));
    net.pass(3 * SECOND);
    let peer = Peer {
        node: NodeId(1),
        incarnation: 8,
    };
    let set = ClusterSettings {
        identity: Identity {
            peer,
            address: address(9),
            rejoin_count: 0,
        },
        seeds: vec![address(2)],
        keyring: ring(&[OLD]),
        rng_seed: 3,
        expected_instances: 3,
    };
    net.up.insert(9, Cluster::new(net.now, set));
    net.pass(10 * SECOND);
    let told = |(n, event): &(u16, Event)| {
        *n == 1 && matches!(event, Event::Superseded(id) if id.peer == peer)
    };
    assert!(net.events.iter().any(told));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn bytes_from_anywhere_are_refused(mut bytes in prop::collection::vec(any::<u8>(), 0..1_300), sealed in any::<bool>(), kind in 0..4u8) {
        let mut net = Net::new();
        net.start(1, 7, ring(&[OLD]));
        let before = net.sees(1);
        if sealed {
            bytes.truncate(1_000);
            bytes = ring(&[OLD]).sign(kind, &bytes);
        }
        let cluster = net.up.get_mut(&1).expect("it runs");
        let _ = cluster.handle_datagram(0, &bytes, &mut Vec::new(), &mut Vec::new());
        if !sealed {
            prop_assert_eq!(cluster.counters().received, 0);
            prop_assert_eq!(net.sees(1), before);
        }
    }

    #[test]
    fn a_datagram_changed_in_any_place_is_refused(body in prop::collection::vec(any::<u8>(), 0..200), at in any::<prop::sample::Index>(), flip in 1..=255u8) {
        let ring = ring(&[OLD, NEW]);
        let mut bytes = ring.sign(2, &body);
        prop_assert_eq!(ring.verify(&bytes), Ok((2, &body[..])));
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        prop_assert!(ring.verify(&bytes).is_err());
    }
}
