//! The bytes of gossip between gateways, as fixtures hold them.

use stackgw_router::api::{GossipUpdate, MemberId, Time, MS, SECOND};
use stackgw_settings::{GossipCodec, MAX_GOSSIP_BYTES};
use std::fmt::Write;

/// One message a line, in hexadecimal digits.
const MESSAGES: &str = include_str!("fixtures/gossip.hex");
const NOW: Time = 5_000_000 * SECOND + 3 * MS + 7;
const MEMBERS: usize = 50;

fn codec() -> GossipCodec {
    let mut codec = GossipCodec::default();
    (0..MEMBERS as u32).for_each(|n| codec.add(MemberId(n), &format!("member-{n}")));
    codec
}

/// Updates of every role, age and ratio that a message can tell apart, and of some that it can't.
fn updates() -> Vec<GossipUpdate> {
    let of = |n: usize| GossipUpdate {
        member: MemberId(n as u32),
        position: [
            Some(NOW - 30 * MS * n as Time),
            None,
            Some(NOW + SECOND),
            Some(0),
        ][n % 4],
        is_primary: [None, Some(false), Some(true)][n % 3],
        latency_ratio: [0.0, 0.02, 0.03, 0.4, 3.1, 90.0, -1.0][n % 7],
        samples: [0, 1, 254, 255, 256, 70_000][n % 6],
    };
    // The last one is of a member that is not known, and is left out.
    (0..=MEMBERS).map(of).collect()
}

fn messages() -> Vec<Vec<u8>> {
    [true, false]
        .map(|relay| codec().encode(NOW, relay, &updates()))
        .concat()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("memory");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

/// Writes the messages. `cargo test -p stackgw-settings --test gossip -- --ignored`
#[test]
#[ignore = "writes the fixture"]
fn write_the_messages() {
    let text: String = messages().iter().map(|body| hex(body) + "\n").collect();
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/gossip.hex");
    std::fs::write(file, text).expect("the fixture is written");
}

#[test]
fn the_same_updates_give_the_same_bytes() {
    let written: Vec<_> = MESSAGES.lines().map(unhex).collect();
    assert_eq!(written.len(), 4);
    assert!(written.iter().all(|body| body.len() <= MAX_GOSSIP_BYTES));
    assert_eq!(messages(), written);
}

#[test]
fn the_fixed_bytes_are_read_as_the_same_updates() {
    let mut read = Vec::new();
    for (line, relay) in MESSAGES.lines().zip([true, true, false, false]) {
        let message = codec()
            .decode(NOW + 40 * MS, &unhex(line))
            .expect("a message");
        assert_eq!((message.sent_at, message.relay), (NOW / MS * MS, relay));
        read.push(message.updates);
    }
    let (relayed, last) = (read[..2].concat(), read[2..].concat());
    assert_eq!(relayed, last);
    assert_eq!(relayed.len(), MEMBERS);
    let first = NOW / MS * MS;
    for (n, update) in relayed.iter().enumerate() {
        let age = match n % 4 {
            0 if n < 36 => Some((30 * n as Time / 4 + 2) * 4),
            2 => Some(8),
            _ => None,
        };
        assert_eq!(update.member, MemberId(n as u32));
        assert_eq!(update.position, age.map(|age| first - age * MS), "{n}");
        assert_eq!(update.is_primary, [None, Some(false), Some(true)][n % 3]);
        let strain = [0.0, 0.0, 0.05, 0.4, 3.1, 3.15, 0.0][n % 7];
        assert!(
            (update.latency_ratio - strain).abs() < 1e-9,
            "{n}: {}",
            update.latency_ratio
        );
        assert_eq!(update.samples, [0, 1, 254, 255, 255, 255][n % 6]);
    }
}
