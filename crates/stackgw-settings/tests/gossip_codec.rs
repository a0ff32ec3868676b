//! Gossip between gateways that assign different ids to the same members.

use stackgw_router::api::{GossipUpdate, MemberId, MS, SECOND};
use stackgw_settings::{GossipCodec, GossipMessage, MAX_GOSSIP_BYTES};

/// A codec that knows these members, with ids from 0.
fn codec(names: &[&str]) -> GossipCodec {
    let mut codec = GossipCodec::default();
    names
        .iter()
        .zip(0..)
        .for_each(|(name, n)| codec.add(MemberId(n), name));
    codec
}

fn members(message: &GossipMessage) -> Vec<MemberId> {
    message.updates.iter().map(|update| update.member).collect()
}

#[test]
fn a_position_arrives_as_a_lower_bound_under_the_receivers_member_id() {
    let (here, there) = (codec(&["a", "b"]), codec(&["b", "a"]));
    let now = 70 * SECOND + 3;
    let update = GossipUpdate {
        member: MemberId(0),
        position: Some(now - 9 * MS),
        is_primary: Some(false),
        latency_ratio: 0.4,
        samples: 3,
    };
    let bodies = here.encode(now, true, &[update]);
    let message = there
        .decode(now + 20 * MS, &bodies[0])
        .expect("the bytes are a gossip message");
    let sent_at = message.sent_at;
    assert!(message.relay && sent_at <= now && now - sent_at < MS);
    let received = &message.updates[0];
    assert_eq!(
        (received.member, received.is_primary, received.samples),
        (MemberId(1), Some(false), 3)
    );
    let position = received.position.expect("the update has a position");
    assert!(
        position <= now - 9 * MS && position > now - 30 * MS,
        "{position}"
    );
    assert!((received.latency_ratio - 0.4).abs() < 0.03);
}

#[test]
fn an_old_position_is_left_out_and_messages_stay_within_the_size_limit() {
    let codec = codec(&["a"]);
    let old = GossipUpdate {
        member: MemberId(0),
        position: Some(0),
        is_primary: None,
        latency_ratio: 0.0,
        samples: 0,
    };
    let bodies = codec.encode(90 * SECOND, false, &vec![old; 100]);
    assert!(bodies.iter().all(|body| body.len() <= MAX_GOSSIP_BYTES));
    let received: Vec<_> = bodies
        .iter()
        .filter_map(|b| codec.decode(90 * SECOND, b))
        .collect();
    assert_eq!(
        received
            .iter()
            .map(|message| message.updates.len())
            .sum::<usize>(),
        100
    );
    assert!(received
        .iter()
        .all(|message| !message.relay && message.updates[0].position.is_none()));
}

#[test]
fn a_removed_member_is_neither_encoded_nor_decoded() {
    let (mut here, there) = (codec(&["a", "b"]), codec(&["a", "b"]));
    let update = |n| GossipUpdate {
        member: MemberId(n),
        position: None,
        is_primary: None,
        latency_ratio: 0.1,
        samples: 1,
    };
    here.remove(MemberId(0));
    let bodies = here.encode(SECOND, false, &[update(0), update(1)]);
    let message = there
        .decode(SECOND, &bodies[0])
        .expect("the bytes are a gossip message");
    assert_eq!(members(&message), [MemberId(1)]);
    let bodies = there.encode(SECOND, false, &[update(0), update(1)]);
    let message = here
        .decode(SECOND, &bodies[0])
        .expect("the bytes are a gossip message");
    assert_eq!(members(&message), [MemberId(1)]);
    // Updates of two members that share a digest are dropped; once one member is removed, updates
    // of the other are decoded again.
    let mut same_digest = codec(&["a", "a"]);
    let message = same_digest
        .decode(SECOND, &bodies[0])
        .expect("the bytes are a gossip message");
    assert!(message.updates.is_empty());
    same_digest.remove(MemberId(1));
    let message = same_digest
        .decode(SECOND, &bodies[0])
        .expect("the bytes are a gossip message");
    assert_eq!(message.updates.len(), 1);
}

#[test]
fn malformed_bytes_are_not_decoded() {
    assert!(codec(&["a"]).decode(0, &[1, 2, 3]).is_none());
    assert!(codec(&["a"]).decode(0, &[7; 11]).is_none());
}
