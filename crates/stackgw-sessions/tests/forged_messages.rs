//! Invalid or implausible messages from peers that hold the cluster key cause no failure, do not
//! grow the state beyond its limits, and do not make an instance certain.

mod common;

use common::{node, settings, RETENTION};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stackgw_router::api::{MS, SECOND};
use stackgw_sessions::*;

/// Generates small, arbitrary and extreme numbers.
fn number() -> impl Strategy<Value = u64> + Clone {
    prop_oneof![0..5u64, any::<u64>(), Just(u64::MAX)]
}

/// Generates small, arbitrary and extreme signed numbers.
fn signed() -> impl Strategy<Value = i64> + Clone {
    prop_oneof![0..5i64, any::<i64>(), Just(i64::MAX), Just(i64::MIN)]
}

fn store_version() -> impl Strategy<Value = StoreVersion> + Clone {
    (number(), number(), number()).prop_map(|(store_id, records, last_incarnation)| StoreVersion {
        store_id,
        records,
        last_incarnation,
    })
}

/// Generates messages of each kind, half of them with this digest of the replica set.
fn message(replica_set: u64) -> impl Strategy<Value = Message> {
    let replica_set = prop_oneof![Just(replica_set), any::<u64>()];
    let key = number().prop_map(SessionKey);
    let update = (number(), number().prop_map(SessionKey), signed()).prop_map(
        |(sequence, key, position)| PositionUpdate {
            sequence,
            key,
            position,
        },
    );
    let updates = prop::collection::vec(update, 0..5);
    let version = prop::option::of(store_version());
    prop_oneof![
        (number(), replica_set.clone(), version.clone()).prop_map(
            |(nonce, replica_set, version)| {
                Message::LeaseRequest(LeaseRequest {
                    nonce,
                    replica_set,
                    store_version: version,
                })
            }
        ),
        (number(), replica_set.clone(), signed(), number(), version).prop_map(
            |(nonce, replica_set, complete_for, unbroken_since, version)| Message::LeaseGrant(
                LeaseGrant {
                    nonce,
                    replica_set,
                    complete_for,
                    unbroken_since,
                    store_version: version
                }
            )
        ),
        store_version().prop_map(Message::StoreOutdated),
        (number(), replica_set)
            .prop_map(|(nonce, replica_set)| Message::ReplicaSetMismatch { nonce, replica_set }),
        updates.prop_map(Message::Replicate),
        prop::collection::vec(number(), 0..5).prop_map(Message::Acknowledge),
        (number(), key.clone()).prop_map(|(nonce, key)| Message::PositionQuery { nonce, key }),
        (number(), prop::option::of(signed()))
            .prop_map(|(nonce, position)| Message::PositionReply { nonce, position }),
        number().prop_map(|nonce| Message::PositionUncertain { nonce }),
        (number(), key, signed()).prop_map(|(number, key, position)| Message::ForwardWrite {
            number,
            key,
            position
        }),
        number().prop_map(|number| Message::ForwardedWriteReleased { number }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(5), cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn forged_messages_do_not_grow_state_or_make_an_instance_certain(has_store in any::<bool>(), inputs in prop::collection::vec((0..4usize, number(), number(), message(ReplicaSet::new((0..3).map(node), 2, &[common::LEASE, RETENTION]).digest()), 0..100i64), 1..150)) {
        let mut replica_settings = settings(0, 50, 3);
        (replica_settings.max_pending, replica_settings.max_positions, replica_settings.max_local_writes) = (20, 30, 30);
        replica_settings.recovered = has_store.then(Recovered::default);
        let (mut now, mut outputs, mut records) = (1_000 * SECOND, Vec::new(), 0);
        let local = replica_settings.local;
        let mut sessions = Sessions::new(now, replica_settings, &mut outputs);
        for (n, incarnation, to, message, span) in inputs {
            now += span * MS;
            let from = Peer { node: node(n), incarnation };
            let to = Peer { node: local.node, incarnation: if to % 2 == 0 { 0 } else { local.incarnation } };
            sessions.handle_message(now, from, to, message, &mut outputs);
            // The number of requested records also serves as request number.
            sessions.record_write(now, records, SessionKey(records % 9), Some(now), &mut outputs);
            sessions.begin_read(now, records, SessionKey(records % 9), &mut outputs);
            sessions.handle_timeout(now, &mut outputs);
            records += outputs.iter().filter(|o| matches!(o, Output::Store(_))).count() as u64;
            if span % 3 == 0 {
                sessions.handle_records_stored(now, records, &mut outputs);
            }
            let status = sessions.status(now);
            prop_assert!(
                status.positions <= 30 && status.pending <= 20,
                "the state exceeds its limits: {status:?}"
            );
            // Without its earlier positions, an instance that started less than a retention ago
            // must be uncertain, regardless of the messages that arrive.
            prop_assert!(
                now - 1_000 * SECOND >= RETENTION || status.uncertainty.is_some(),
                "the instance is certain within a retention after its start"
            );
            for output in outputs.drain(..) {
                if let Output::Send(to, message) = output {
                    prop_assert!(
                        message.encode(to).len() <= MAX_MESSAGE_BYTES,
                        "a message is too long: {message:?}"
                    );
                }
            }
        }
    }

    #[test]
    fn arbitrary_bytes_are_a_message_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..MAX_MESSAGE_BYTES + 50)) {
        if let Ok((to, message)) = Message::decode(&bytes) {
            prop_assert!(
                message.encode(to).len() <= bytes.len() + 20,
                "the message became longer: {message:?}"
            );
        }
    }
}
