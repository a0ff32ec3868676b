//! Compares the bytes of datagrams between instances with fixtures.

mod common;

use common::*;
use stackgw_cluster::*;
use stackgw_router::api::{Time, MS, SECOND};
use stackgw_sessions::{LeaseRequest, Message, StoreVersion};
use std::fmt::Write;

/// One datagram of each kind per line, as `name hex`.
const DATAGRAMS: &str = include_str!("fixtures/datagrams.hex");
/// All datagrams that three instances send each other while one starts, is killed and restarts. One
/// per line, as `milliseconds port hex`, where the port is the receiver's.
const EXCHANGE: &str = include_str!("fixtures/exchange.hex");

fn instance(n: u16, incarnation: u64) -> Cluster {
    Cluster::new(0, settings(n, incarnation, keyring(&[SECRET])))
}

fn message() -> Message {
    Message::LeaseRequest(LeaseRequest {
        nonce: 9,
        replica_set: 300,
        store_version: Some(StoreVersion {
            store_id: 70_000,
            records: 4,
            last_incarnation: u64::MAX,
        }),
    })
}

fn run() -> Network {
    let mut network = Network::default();
    (1..=3).for_each(|n| network.start(n, 10, keyring(&[SECRET])));
    network.advance(3 * SECOND);
    network.instances.remove(&3);
    network.advance(9 * SECOND);
    network.start(3, 11, keyring(&[SECRET]));
    network.advance(3 * SECOND);
    assert!(network.errors.is_empty(), "{:?}", network.errors);
    network
}

fn exchange() -> String {
    let line = |(at, datagram): &(Time, Datagram)| {
        let (port, bytes) = (datagram.to.port(), encode_hex(&datagram.bytes));
        format!("{} {port} {bytes}\n", at / MS)
    };
    run().sent.iter().map(line).collect()
}

/// A datagram of each kind, by name.
fn datagrams() -> Vec<(&'static str, Vec<u8>)> {
    let (mut cluster, mut out) = (instance(1, 10), Vec::new());
    let (mut other, mut events) = (instance(2, 8), Vec::new());
    other.handle_timeout(0, &mut out, &mut events);
    let announcement = out.remove(0).bytes;
    cluster
        .handle_datagram(0, &announcement, &mut out, &mut events)
        .expect("the announcement is a valid datagram");
    let answer = out.remove(0).bytes;
    out.clear();
    cluster.send(peer(2, 8), &message(), &mut out);
    cluster.send_bootstrap(address(5), b"word of the list", &mut out);
    cluster.send_bootstrap(address(5), b"", &mut out);
    let mut named = vec![("membership", announcement), ("membership-answer", answer)];
    let names = ["sessions", "start", "start-empty"];
    named.extend(
        names
            .into_iter()
            .zip(out.into_iter().map(|sent| sent.bytes)),
    );
    let signed = keyring(&[OTHER_SECRET, SECRET]).sign(200, b"\x00\x01\xff");
    named.push(("sealed", signed));
    named
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string cannot fail");
        text
    })
}

fn decode_hex(text: &str) -> Vec<u8> {
    let byte = |at: usize| {
        u8::from_str_radix(&text[at..at + 2], 16).expect("the fixture has hexadecimal digits")
    };
    (0..text.len()).step_by(2).map(byte).collect()
}

fn fixture(name: &str) -> Vec<u8> {
    let mut lines = DATAGRAMS.lines().filter_map(|line| line.split_once(' '));
    decode_hex(lines.find(|(known, _)| *known == name).expect(name).1)
}

/// Writes both fixtures: `cargo test -p stackgw-cluster --test fixtures -- --ignored`
#[test]
#[ignore = "writes the fixtures"]
fn write_the_datagrams() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures");
    let text: String = datagrams()
        .iter()
        .map(|(name, bytes)| format!("{name} {}\n", encode_hex(bytes)))
        .collect();
    std::fs::write(format!("{folder}/datagrams.hex"), text).expect("the fixture is written");
    std::fs::write(format!("{folder}/exchange.hex"), exchange()).expect("the fixture is written");
}

#[test]
fn each_kind_of_datagram_has_the_bytes_of_the_fixture() {
    let current = datagrams();
    assert_eq!(current.len(), 6);
    for (name, bytes) in current {
        assert_eq!(encode_hex(&bytes), encode_hex(&fixture(name)), "{name}");
    }
}

#[test]
fn the_datagrams_of_the_fixture_are_decoded_to_the_same_events() {
    let mut cluster = instance(2, 8);
    let mut read = |name: &str| {
        let mut events = Vec::new();
        cluster
            .handle_datagram(0, &fixture(name), &mut Vec::new(), &mut events)
            .expect(name);
        events
    };
    assert_eq!(
        read("sessions"),
        [Event::Sessions {
            from: peer(1, 10),
            to: peer(2, 8),
            message: message()
        }]
    );
    assert_eq!(
        read("start"),
        [Event::Bootstrap(b"word of the list".to_vec())]
    );
    assert_eq!(read("start-empty"), [Event::Bootstrap(Vec::new())]);
    let first = identity(1, 10);
    assert_eq!(read("membership-answer"), [Event::Up(first)]);
    assert_eq!(cluster.counters().received, 4);
    let mut cluster = instance(1, 10);
    let mut events = Vec::new();
    cluster
        .handle_datagram(0, &fixture("membership"), &mut Vec::new(), &mut events)
        .expect("the announcement is a valid datagram");
    let second = identity(2, 8);
    assert_eq!(events, [Event::Up(second)]);
}

#[test]
fn the_envelope_of_the_fixture_is_opened_only_with_a_valid_key() {
    let signed = fixture("sealed");
    assert_eq!(
        keyring(&[SECRET, OTHER_SECRET]).verify(&signed),
        Ok(Envelope {
            kind: 200,
            body: b"\x00\x01\xff"
        })
    );
    assert_eq!(
        keyring(&[SECRET]).verify(&signed),
        Err(VerifyError::UnknownKey)
    );
    assert_eq!(
        keyring(&[OTHER_SECRET]).verify(&[&signed[..], b"0"].concat()),
        Err(VerifyError::Forged)
    );
    assert_eq!(
        keyring(&[OTHER_SECRET]).verify(&signed[..21]),
        Err(VerifyError::Foreign)
    );
    assert_eq!(
        keyring(&[OTHER_SECRET]).verify_sized(&signed, 24),
        Err(VerifyError::Foreign)
    );
}

#[test]
fn three_instances_send_each_other_the_datagrams_of_the_fixture() {
    let current = exchange();
    for (current, expected) in current.lines().zip(EXCHANGE.lines()) {
        assert_eq!(current, expected);
    }
    assert_eq!(current.lines().count(), EXCHANGE.lines().count());
}

#[test]
fn three_instances_report_the_same_events() {
    let name = |(n, event): &(u16, Event)| match event {
        Event::Up(id) => format!("{n} up {} {}", id.peer.node.0, id.peer.incarnation),
        Event::Down(id) => format!("{n} down {} {}", id.peer.node.0, id.peer.incarnation),
        other => panic!("{other:?}"),
    };
    let mut actual: Vec<_> = run().events.iter().map(name).collect();
    actual.sort();
    let expected = [
        "1 down 3 10",
        "1 up 2 10",
        "1 up 3 10",
        "1 up 3 11",
        "2 down 3 10",
        "2 up 1 10",
        "2 up 3 10",
        "2 up 3 11",
        "3 up 1 10",
        "3 up 1 10",
        "3 up 2 10",
        "3 up 2 10",
    ];
    assert_eq!(actual, expected);
}
