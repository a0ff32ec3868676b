//! Gossip messages compared byte for byte with recorded ones.

use stackgw_router::api::{GossipUpdate, MemberId, Time, MS, SECOND};
use stackgw_settings::{GossipCodec, MAX_GOSSIP_BYTES};
use std::fmt::Write;

/// One message per line, in hexadecimal digits.
const MESSAGES: &str = include_str!("fixtures/gossip.hex");
const NOW: Time = 5_000_000 * SECOND + 3 * MS + 7;
const MEMBERS: usize = 50;

fn codec() -> GossipCodec {
    let mut codec = GossipCodec::default();
    (0..MEMBERS as u32).for_each(|n| codec.add(MemberId(n), &format!("member-{n}")));
    codec
}

/// Updates with every role, with ages and ratios that a message can represent, and with some that
/// it cannot.
fn updates() -> Vec<GossipUpdate> {
    let update = |n: usize| GossipUpdate {
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
    // The last update is of an unknown member, and is left out of the messages.
    (0..=MEMBERS).map(update).collect()
}

fn messages() -> Vec<Vec<u8>> {
    [true, false]
        .map(|relay| codec().encode(NOW, relay, &updates()))
        .concat()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string cannot fail");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    let byte = |at: usize| {
        u8::from_str_radix(&text[at..at + 2], 16).expect("the fixture has hexadecimal digits")
    };
    (0..text.len()).step_by(2).map(byte).collect()
}

/// Writes the message fixture: `cargo test -p stackgw-settings --test gossip -- --ignored`.
#[test]
#[ignore = "writes the fixture"]
fn write_the_messages() {
    let text: String = messages().iter().map(|body| hex(body) + "\n").collect();
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/gossip.hex");
    std::fs::write(file, text).expect("the fixture is written");
}

#[test]
fn updates_are_encoded_to_the_recorded_bytes() {
    let recorded: Vec<_> = MESSAGES.lines().map(unhex).collect();
    assert_eq!(recorded.len(), 4);
    assert!(recorded.iter().all(|body| body.len() <= MAX_GOSSIP_BYTES));
    assert_eq!(messages(), recorded);
}

#[test]
fn the_recorded_bytes_are_decoded_to_the_expected_updates() {
    let mut decoded = Vec::new();
    for (line, relay) in MESSAGES.lines().zip([true, true, false, false]) {
        let message = codec()
            .decode(NOW + 40 * MS, &unhex(line))
            .expect("the bytes are a gossip message");
        assert_eq!((message.sent_at, message.relay), (NOW / MS * MS, relay));
        decoded.push(message.updates);
    }
    let (relayed, not_relayed) = (decoded[..2].concat(), decoded[2..].concat());
    assert_eq!(relayed, not_relayed);
    assert_eq!(relayed.len(), MEMBERS);
    let sent_at = NOW / MS * MS;
    for (n, update) in relayed.iter().enumerate() {
        let age = match n % 4 {
            0 if n < 36 => Some((30 * n as Time / 4 + 2) * 4),
            2 => Some(8),
            _ => None,
        };
        assert_eq!(update.member, MemberId(n as u32));
        assert_eq!(update.position, age.map(|age| sent_at - age * MS), "{n}");
        assert_eq!(update.is_primary, [None, Some(false), Some(true)][n % 3]);
        let latency_ratio = [0.0, 0.0, 0.05, 0.4, 3.1, 3.15, 0.0][n % 7];
        assert!(
            (update.latency_ratio - latency_ratio).abs() < 1e-9,
            "{n}: {}",
            update.latency_ratio
        );
        assert_eq!(update.samples, [0, 1, 254, 255, 255, 255][n % 6]);
    }
}
