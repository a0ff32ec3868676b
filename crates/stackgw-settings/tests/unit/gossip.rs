//! What of `gossip.rs` is seen from inside only.

use super::*;
use stackgw_router::api::SECOND;

fn known(names: &[&str]) -> GossipCodec {
    let mut digests = GossipCodec::default();
    names
        .iter()
        .zip(0..)
        .for_each(|(name, n)| digests.add(MemberId(n), name));
    digests
}

#[test]
fn word_arrives_as_a_lower_bound_under_the_receivers_own_numbers() {
    let (here, there) = (known(&["a", "b"]), known(&["b", "a"]));
    let now = 70 * SECOND + 3;
    let news = GossipUpdate {
        member: MemberId(0),
        position: Some(now - 9 * MS),
        is_primary: Some(false),
        latency_ratio: 0.4,
        samples: 3,
    };
    let bodies = here.encode(now, true, &[news]);
    let (told, relay, heard) = there.decode(now + 20 * MS, &bodies[0]).expect("a message");
    assert!(relay && told <= now && now - told < MS);
    let heard = &heard[0];
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
    let digests = known(&["a"]);
    let old = GossipUpdate {
        member: MemberId(0),
        position: Some(0),
        is_primary: None,
        latency_ratio: 0.0,
        samples: 0,
    };
    let bodies = digests.encode(90 * SECOND, false, &vec![old; 100]);
    assert!(bodies.iter().all(|body| body.len() <= MAX_GOSSIP_BYTES));
    let heard: Vec<_> = bodies
        .iter()
        .filter_map(|b| digests.decode(90 * SECOND, b))
        .collect();
    assert_eq!(
        heard.iter().map(|(_, _, news)| news.len()).sum::<usize>(),
        100
    );
    assert!(heard
        .iter()
        .all(|(_, relay, news)| !relay && news[0].position.is_none()));
}

#[test]
fn a_member_that_is_dropped_is_neither_told_of_nor_heard_of() {
    let (mut digests, there) = (known(&["a", "b"]), known(&["a", "b"]));
    let news = |n| GossipUpdate {
        member: MemberId(n),
        position: None,
        is_primary: None,
        latency_ratio: 0.1,
        samples: 1,
    };
    digests.remove(MemberId(0));
    let bodies = digests.encode(SECOND, false, &[news(0), news(1)]);
    let (_, _, heard) = there.decode(SECOND, &bodies[0]).expect("a message");
    assert_eq!(
        heard.iter().map(|n| n.member).collect::<Vec<_>>(),
        [MemberId(1)]
    );
    let bodies = there.encode(SECOND, false, &[news(0), news(1)]);
    let (_, _, heard) = digests.decode(SECOND, &bodies[0]).expect("a message");
    assert_eq!(
        heard.iter().map(|n| n.member).collect::<Vec<_>>(),
        [MemberId(1)]
    );
    // Two that share a digest are none; once one is dropped the other is known again.
    let mut twins = known(&["a", "a"]);
    assert!(twins
        .decode(SECOND, &bodies[0])
        .expect("a message")
        .2
        .is_empty());
    twins.remove(MemberId(1));
    assert_eq!(
        twins.decode(SECOND, &bodies[0]).expect("a message").2.len(),
        1
    );
}

#[test]
fn strange_bytes_are_no_message() {
    assert!(known(&["a"]).decode(0, &[1, 2, 3]).is_none());
    assert!(known(&["a"]).decode(0, &[7; 11]).is_none());
}
