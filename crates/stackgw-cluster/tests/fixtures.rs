//! The bytes of datagrams between instances, as fixtures hold them.

use stackgw_cluster::*;
use stackgw_router::api::{Time, MS, SECOND};
use stackgw_sessions::{LeaseRequest, Message, NodeId, Peer, StoreVersion};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

/// `name hex`, a datagram of each form a line.
const DATAGRAMS: &str = include_str!("fixtures/datagrams.hex");
/// `milliseconds receiver's port hex`: all that three instances send each other while one comes, dies and returns.
const EXCHANGE: &str = include_str!("fixtures/exchange.hex");
const SECRET: &str = "an old secret of some length";
const OTHER_SECRET: &str = "a new secret of some length";
const STEP: Time = 10 * MS;

fn ring(secrets: &[&str]) -> Keyring {
    let keys = secrets
        .iter()
        .map(|s| Key::new("depots", s.as_bytes()).expect("a secret"))
        .collect();
    Keyring::new(keys).expect("keys")
}

fn peer(node: u64, incarnation: u64) -> Peer {
    Peer {
        node: NodeId(node),
        incarnation,
    }
}

fn address(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7_000 + n).into()
}

fn instance(now: Time, n: u16, incarnation: u64) -> Cluster {
    let me = Identity {
        peer: peer(n.into(), incarnation),
        address: address(n),
        rejoin_count: 0,
    };
    let seeds = vec![address(1), address(2)];
    Cluster::new(
        now,
        ClusterSettings {
            identity: me,
            seeds,
            keyring: ring(&[SECRET]),
            rng_seed: n.into(),
            expected_instances: 3,
        },
    )
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

/// Instances by number, and what is on its way between them.
#[derive(Default)]
struct Net {
    now: Time,
    instances: BTreeMap<u16, Cluster>,
    flying: Vec<(SocketAddr, Vec<u8>)>,
    sent: Vec<(Time, SocketAddr, Vec<u8>)>,
    events: Vec<(u16, Event)>,
}

impl Net {
    fn start(&mut self, n: u16, incarnation: u64) {
        self.instances.insert(n, instance(self.now, n, incarnation));
    }

    fn collect(&mut self, n: u16, effects: Vec<Effect>, events: Vec<Event>) {
        let datagrams: Vec<_> = effects
            .into_iter()
            .map(|Effect::Send(to, bytes)| (to, bytes))
            .collect();
        self.sent.extend(
            datagrams
                .iter()
                .cloned()
                .map(|(to, bytes)| (self.now, to, bytes)),
        );
        self.flying.extend(datagrams);
        self.events
            .extend(events.into_iter().map(|event| (n, event)));
    }

    fn pass(&mut self, span: Time) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for n in self.instances.keys().copied().collect::<Vec<_>>() {
                let (mut effects, mut events) = (Vec::new(), Vec::new());
                let cluster = self.instances.get_mut(&n).expect("it runs");
                cluster.handle_timeout(self.now, &mut effects, &mut events);
                self.collect(n, effects, events);
            }
            for (to, bytes) in std::mem::take(&mut self.flying) {
                let n = to.port() - 7_000;
                let Some(cluster) = self.instances.get_mut(&n) else {
                    continue;
                };
                let (mut effects, mut events) = (Vec::new(), Vec::new());
                cluster
                    .handle_datagram(self.now, &bytes, &mut effects, &mut events)
                    .expect("a good datagram");
                self.collect(n, effects, events);
            }
        }
    }
}

fn run() -> Net {
    let mut net = Net::default();
    (1..=3).for_each(|n| net.start(n, 10));
    net.pass(3 * SECOND);
    net.instances.remove(&3);
    net.pass(9 * SECOND);
    net.start(3, 11);
    net.pass(3 * SECOND);
    net
}

fn exchange() -> String {
    let line = |(at, to, bytes): &(Time, SocketAddr, Vec<u8>)| {
        format!("{} {} {}\n", at / MS, to.port(), hex(bytes))
    };
    run().sent.iter().map(line).collect()
}

/// Named datagrams that one instance writes.
fn datagrams() -> Vec<(&'static str, Vec<u8>)> {
    let (mut cluster, mut effects) = (instance(0, 1, 10), Vec::new());
    let (mut other, mut events) = (instance(0, 2, 8), Vec::new());
    other.handle_timeout(0, &mut effects, &mut events);
    let Effect::Send(_, announcement) = effects.remove(0);
    cluster
        .handle_datagram(0, &announcement, &mut effects, &mut events)
        .expect("a good datagram");
    let mut named = vec![("membership", announcement)];
    let Effect::Send(_, feed) = effects.remove(0);
    named.push(("membership-answer", feed));
    effects.clear();
    cluster.send(peer(2, 8), &message(), &mut effects);
    cluster.send_bootstrap(address(5), b"word of the list", &mut effects);
    cluster.send_bootstrap(address(5), b"", &mut effects);
    let sent = effects.into_iter().map(|Effect::Send(_, bytes)| bytes);
    named.extend(["sessions", "start", "start-empty"].into_iter().zip(sent));
    let sealed = ring(&[OTHER_SECRET, SECRET]).sign(200, b"\x00\x01\xff");
    named.push(("sealed", sealed));
    named
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

fn fixed(name: &str) -> Vec<u8> {
    let mut lines = DATAGRAMS.lines().filter_map(|line| line.split_once(' '));
    unhex(lines.find(|(known, _)| *known == name).expect(name).1)
}

/// Writes both files. `cargo test -p stackgw-cluster --test fixtures -- --ignored`
#[test]
#[ignore = "writes the fixtures"]
fn write_the_datagrams() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures");
    let text: String = datagrams()
        .iter()
        .map(|(name, bytes)| format!("{name} {}\n", hex(bytes)))
        .collect();
    std::fs::write(format!("{folder}/datagrams.hex"), text).expect("the fixture is written");
    std::fs::write(format!("{folder}/exchange.hex"), exchange()).expect("the fixture is written");
}

#[test]
fn each_form_of_a_datagram_has_the_same_bytes() {
    let today = datagrams();
    assert_eq!(today.len(), 6);
    for (name, bytes) in today {
        assert_eq!(hex(&bytes), hex(&fixed(name)), "{name}");
    }
}

#[test]
fn the_fixed_datagrams_are_read_as_the_same_events() {
    let mut cluster = instance(0, 2, 8);
    let mut read = |name: &str| {
        let mut events = Vec::new();
        cluster
            .handle_datagram(0, &fixed(name), &mut Vec::new(), &mut events)
            .expect(name);
        events
    };
    assert_eq!(
        read("sessions"),
        [Event::Sessions(peer(1, 10), peer(2, 8), message())]
    );
    assert_eq!(
        read("start"),
        [Event::Bootstrap(b"word of the list".to_vec())]
    );
    assert_eq!(read("start-empty"), [Event::Bootstrap(Vec::new())]);
    let first = Identity {
        peer: peer(1, 10),
        address: address(1),
        rejoin_count: 0,
    };
    assert_eq!(read("membership-answer"), [Event::Up(first)]);
    assert_eq!(cluster.counters().received, 4);
    let mut cluster = instance(0, 1, 10);
    let mut events = Vec::new();
    cluster
        .handle_datagram(0, &fixed("membership"), &mut Vec::new(), &mut events)
        .expect("an announcement");
    let second = Identity {
        peer: peer(2, 8),
        address: address(2),
        rejoin_count: 0,
    };
    assert_eq!(events, [Event::Up(second)]);
}

#[test]
fn a_fixed_seal_is_opened_by_any_valid_key_alone() {
    let sealed = fixed("sealed");
    assert_eq!(
        ring(&[SECRET, OTHER_SECRET]).verify(&sealed),
        Ok((200, &b"\x00\x01\xff"[..]))
    );
    assert_eq!(ring(&[SECRET]).verify(&sealed), Err(Unsealed::UnknownKey));
    assert_eq!(
        ring(&[OTHER_SECRET]).verify(&[&sealed[..], b"0"].concat()),
        Err(Unsealed::Forged)
    );
    assert_eq!(
        ring(&[OTHER_SECRET]).verify(&sealed[..21]),
        Err(Unsealed::Foreign)
    );
    assert_eq!(
        ring(&[OTHER_SECRET]).verify_sized(&sealed, 24),
        Err(Unsealed::Foreign)
    );
}

#[test]
fn three_instances_send_each_other_the_same_datagrams() {
    let today = exchange();
    for (today, fixed) in today.lines().zip(EXCHANGE.lines()) {
        assert_eq!(today, fixed);
    }
    assert_eq!(today.lines().count(), EXCHANGE.lines().count());
}

#[test]
fn three_instances_see_the_same_come_and_go() {
    let name = |(n, event): &(u16, Event)| match event {
        Event::Up(id) => format!("{n} up {} {}", id.peer.node.0, id.peer.incarnation),
        Event::Down(id) => format!("{n} down {} {}", id.peer.node.0, id.peer.incarnation),
        other => panic!("{other:?}"),
    };
    let mut seen: Vec<_> = run().events.iter().map(name).collect();
    seen.sort();
    let wanted = [
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
    assert_eq!(seen, wanted);
}
