//! Membership over a network in simulated time, and rejection of datagrams.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stackgw_cluster::*;
use stackgw_router::api::{MS, SECOND};
use stackgw_sessions::{Message, SessionKey};

#[test]
fn instances_find_each_other_by_seeds_and_notice_failures_and_restarts() {
    let mut network = Network::default();
    (1..=5).for_each(|n| network.start(n, 10, keyring(&[SECRET])));
    network.advance(5 * SECOND);
    assert_eq!(network.up(5), [(1, 10), (2, 10), (3, 10), (4, 10)]);
    let epoch = network.instances[&1].epoch();
    network.instances.remove(&3);
    network.advance(20 * SECOND);
    assert_eq!(network.up(1), [(2, 10), (4, 10), (5, 10)]);
    assert!(network.instances[&1].epoch() > epoch);
    network.start(3, 11, keyring(&[SECRET]));
    network.advance(10 * SECOND);
    assert!(network.up(1).contains(&(3, 11)), "{:?}", network.up(1));
    assert!(network.up(5).contains(&(3, 11)), "{:?}", network.up(5));
    assert!(network.errors.is_empty(), "{:?}", network.errors);
}

#[test]
fn a_message_between_sessions_arrives_with_both_incarnations() {
    let mut network = Network::default();
    (1..=2).for_each(|n| network.start(n, 7, keyring(&[SECRET])));
    network.advance(3 * SECOND);
    let message = Message::PositionQuery {
        nonce: 9,
        key: SessionKey(3),
    };
    network.send(1, 2, &message);
    network.advance(100 * MS);
    let (from, to) = (peer(1, 7), peer(2, 0));
    let event = Event::Sessions { from, to, message };
    assert!(network.events.contains(&(2, event)));
}

#[test]
fn keys_can_be_replaced_while_all_instances_stay_connected() {
    let mut network = Network::default();
    (1..=3).for_each(|n| network.start(n, 7, keyring(&[SECRET])));
    network.advance(3 * SECOND);
    for keys in [
        &[SECRET, OTHER_SECRET][..],
        &[OTHER_SECRET, SECRET],
        &[OTHER_SECRET],
    ] {
        for n in 1..=3 {
            let now = network.now;
            let seeds = vec![address(1)];
            network.instance(n).reload(now, keyring(keys), seeds);
            network.advance(2 * SECOND);
        }
    }
    assert!(network.errors.is_empty(), "{:?}", network.errors);
    assert_eq!(network.up(3).len(), 2);
}

#[test]
fn datagrams_with_a_wrong_key_are_dropped_and_counted() {
    let mut network = Network::default();
    network.start(1, 7, keyring(&[SECRET]));
    network.start(2, 7, keyring(&[OTHER_SECRET]));
    network.advance(5 * SECOND);
    assert!(network.up(1).is_empty() && network.up(2).is_empty());
    for n in [1, 2] {
        assert!(network.instances[&n].counters().unknown_key > 0);
    }
    // The same secret gives a different key in another cluster.
    let other_cluster = Keyring::new(vec![
        Key::new("other", SECRET.as_bytes()).expect("the secret is long enough")
    ])
    .expect("there is a key");
    assert_eq!(
        keyring(&[SECRET]).verify(&other_cluster.sign(1, b"x")),
        Err(VerifyError::UnknownKey)
    );
    assert!(Key::new("depots", b"short").is_none());
}

#[test]
fn a_later_incarnation_of_the_same_name_is_noticed() {
    let mut network = Network::default();
    (1..=2).for_each(|n| network.start(n, 7, keyring(&[SECRET])));
    network.advance(3 * SECOND);
    let later = ClusterSettings {
        identity: Identity {
            peer: peer(1, 8),
            ..identity(9, 0)
        },
        seeds: vec![address(2)],
        rng_seed: 3,
        ..settings(9, 0, keyring(&[SECRET]))
    };
    network.start_with(9, later);
    network.advance(10 * SECOND);
    let is_noticed = |(n, event): &(u16, Event)| {
        *n == 1 && matches!(event, Event::Superseded(identity) if identity.peer == peer(1, 8))
    };
    assert!(network.events.iter().any(is_noticed));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn bytes_that_are_not_signed_change_nothing(mut bytes in prop::collection::vec(any::<u8>(), 0..1_300), signed in any::<bool>(), kind in 0..4u8) {
        let mut network = Network::default();
        network.start(1, 7, keyring(&[SECRET]));
        let before = network.up(1);
        if signed {
            bytes.truncate(1_000);
            bytes = keyring(&[SECRET]).sign(kind, &bytes);
        }
        let cluster = network.instance(1);
        let _ = cluster.handle_datagram(0, &bytes, &mut Vec::new(), &mut Vec::new());
        if !signed {
            prop_assert_eq!(cluster.counters().received, 0);
            prop_assert_eq!(network.up(1), before);
        }
    }

    #[test]
    fn a_datagram_changed_at_any_byte_is_rejected(body in prop::collection::vec(any::<u8>(), 0..200), at in any::<prop::sample::Index>(), flip in 1..=255u8) {
        let keyring = keyring(&[SECRET, OTHER_SECRET]);
        let mut bytes = keyring.sign(2, &body);
        prop_assert_eq!(keyring.verify(&bytes), Ok(Envelope { kind: 2, body: &body }));
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        prop_assert!(keyring.verify(&bytes).is_err());
    }
}
