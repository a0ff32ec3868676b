//! What arrives of gossip between gateways that number their members on their own.

use stackgw_router::api::{GossipUpdate, MemberId, MS, SECOND};
use stackgw_settings::{GossipCodec, GossipMessage, MAX_GOSSIP_BYTES};

/// A codec that knows these members, numbered from 0.
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
fn a_position_arrives_as_a_lower_bound_under_the_receivers_own_numbers() {
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
    let message = there.decode(now + 20 * MS, &bodies[0]).expect("a message");
    let sent_at = message.sent_at;
    assert!(message.relay && sent_at <= now && now - sent_at < MS);
    let heard = &message.updates[0];
    assert_eq!(
        (heard.member, heard.is_primary, heard.samples),
        (MemberId(1), Some(false), 3)
    );
    let position = heard.position.expect("a position");
    assert!(
        position <= now - 9 * MS && position > now - 30 * MS,
        "{position}"
    );
    assert!((heard.latency_ratio - 0.4).abs() < 0.03);
}

#[test]
fn an_old_position_is_left_out_and_messages_stay_small() {
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
    let heard: Vec<_> = bodies
        .iter()
        .filter_map(|b| codec.decode(90 * SECOND, b))
        .collect();
    assert_eq!(
        heard
            .iter()
            .map(|message| message.updates.len())
            .sum::<usize>(),
        100
    );
    assert!(heard
        .iter()
        .all(|message| !message.relay && message.updates[0].position.is_none()));
}

#[test]
fn a_member_that_is_removed_is_neither_encoded_nor_decoded() {
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
    let message = there.decode(SECOND, &bodies[0]).expect("a message");
    assert_eq!(members(&message), [MemberId(1)]);
    let bodies = there.encode(SECOND, false, &[update(0), update(1)]);
    let message = here.decode(SECOND, &bodies[0]).expect("a message");
    assert_eq!(members(&message), [MemberId(1)]);
    // Two that share a digest are none; once one is dropped the other is known again.
    let mut twins = codec(&["a", "a"]);
    let message = twins.decode(SECOND, &bodies[0]).expect("a message");
    assert!(message.updates.is_empty());
    twins.remove(MemberId(1));
    let message = twins.decode(SECOND, &bodies[0]).expect("a message");
    assert_eq!(message.updates.len(), 1);
}

#[test]
fn bytes_of_another_form_are_no_message() {
    assert!(codec(&["a"]).decode(0, &[1, 2, 3]).is_none());
    assert!(codec(&["a"]).decode(0, &[7; 11]).is_none());
}
