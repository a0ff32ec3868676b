//! Messages that make no sense, from peers that hold the key: nothing breaks, nothing grows, and nobody is made sure by them.

mod common;

use common::{node, settings, HORIZON};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stackgw_router::api::{MS, SECOND};
use stackgw_sessions::*;

fn number() -> impl Strategy<Value = u64> + Clone {
    prop_oneof![0..5u64, any::<u64>(), Just(u64::MAX)]
}

fn signed() -> impl Strategy<Value = i64> + Clone {
    prop_oneof![0..5i64, any::<i64>(), Just(i64::MAX), Just(i64::MIN)]
}

fn stamp() -> impl Strategy<Value = StoreVersion> + Clone {
    (number(), number(), number()).prop_map(|(disk, records, last)| StoreVersion {
        store_id: disk,
        records,
        last_incarnation: last,
    })
}

fn message(roster: u64) -> impl Strategy<Value = Message> {
    let roster = prop_oneof![Just(roster), any::<u64>()];
    let key = number().prop_map(SessionKey);
    let update = (number(), number().prop_map(SessionKey), signed()).prop_map(
        |(sequence, key, position)| PositionUpdate {
            sequence,
            key,
            position,
        },
    );
    let marks = prop::collection::vec(update, 0..5);
    let some = prop::option::of(stamp());
    prop_oneof![
        (number(), roster.clone(), some.clone()).prop_map(|(nonce, roster, stamp)| {
            Message::LeaseRequest(LeaseRequest {
                nonce,
                replica_set: roster,
                store_version: stamp,
            })
        }),
        (number(), roster.clone(), signed(), number(), some).prop_map(
            |(nonce, roster, complete_for, unbroken_since, stamp)| Message::LeaseGrant(
                LeaseGrant {
                    nonce,
                    replica_set: roster,
                    complete_for,
                    unbroken_since,
                    store_version: stamp
                }
            )
        ),
        stamp().prop_map(Message::StoreOutdated),
        (number(), roster).prop_map(|(nonce, roster)| Message::ReplicaSetMismatch {
            nonce,
            replica_set: roster
        }),
        marks.prop_map(Message::Replicate),
        prop::collection::vec(number(), 0..5).prop_map(Message::Acknowledge),
        (number(), key.clone()).prop_map(|(nonce, key)| Message::PositionQuery { nonce, key }),
        (number(), prop::option::of(signed()))
            .prop_map(|(nonce, position)| Message::PositionReply { nonce, position }),
        number().prop_map(|nonce| Message::PositionUncertain { nonce }),
        (number(), key, signed()).prop_map(|(ticket, key, position)| Message::ForwardWrite {
            number: ticket,
            key,
            position
        }),
        number().prop_map(|ticket| Message::ForwardedWriteReleased { number: ticket }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(5), cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn nonsense_breaks_nothing(disk in any::<bool>(), said in prop::collection::vec((0..4usize, number(), number(), message(ReplicaSet::new((0..3).map(node), 2, &[common::LEASE, HORIZON]).digest()), 0..100i64), 1..150)) {
        let mut set = settings(0, 50, 3);
        (set.max_pending, set.max_positions, set.max_local_writes) = (20, 30, 30);
        set.recovered = disk.then(Recovered::default);
        let (mut now, mut out, mut records) = (1_000 * SECOND, Vec::new(), 0);
        let me = set.local;
        let mut sessions = Sessions::new(now, set, &mut out);
        for (n, incarnation, to, message, span) in said {
            now += span * MS;
            let from = Peer { node: node(n), incarnation };
            let to = Peer { node: me.node, incarnation: if to % 2 == 0 { 0 } else { me.incarnation } };
            sessions.handle_message(now, from, to, message, &mut out);
            sessions.record_write(now, records, SessionKey(records % 9), Some(now), &mut out);
            sessions.begin_read(now, records, SessionKey(records % 9), &mut out);
            sessions.handle_timeout(now, &mut out);
            records += out.iter().filter(|o| matches!(o, Output::Store(_))).count() as u64;
            if span % 3 == 0 {
                sessions.handle_records_stored(now, records, &mut out);
            }
            let status = sessions.status(now);
            prop_assert!(status.positions <= 30 && status.pending <= 20, "{status:?}");
            // Its own start is less than a horizon ago, and no word of others can change that.
            prop_assert!(now - 1_000 * SECOND >= HORIZON || status.uncertainty.is_some());
            for output in out.drain(..) {
                if let Output::Send(to, message) = output {
                    prop_assert!(message.encode(to).len() <= MAX_MESSAGE_BYTES);
                }
            }
        }
    }

    #[test]
    fn bytes_are_a_message_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..MAX_MESSAGE_BYTES + 50)) {
        if let Ok((to, message)) = Message::decode(&bytes) {
            prop_assert!(message.encode(to).len() <= bytes.len() + 20);
        }
    }
}
