//! Compatibility with the messages and stores of other versions: the encoding of each message, the
//! hashes that messages and stores contain, and the state recovered from each kind of record.

use stackgw_router::api::SECOND;
use stackgw_sessions::*;

/// One line per message: its name and its bytes in hexadecimal digits.
const MESSAGES: &str = include_str!("fixtures/messages.hex");

const TO: Peer = Peer {
    node: NodeId(0xfedc_ba98_7654_3210),
    incarnation: 1_764_633_600_123,
};
const KEY: SessionKey = SessionKey(0x0123_4567_89ab_cdef);
const POSITION: i64 = 1_764_633_600_123_456_789;
const VERSION: StoreVersion = StoreVersion {
    store_id: 1_764_633_500_000,
    records: 300,
    last_incarnation: 1_764_633_550_000,
};

fn update(sequence: u64, key: SessionKey, position: i64) -> PositionUpdate {
    PositionUpdate {
        sequence,
        key,
        position,
    }
}

fn messages() -> Vec<(&'static str, Message)> {
    let mut messages = messages_between_replicas();
    messages.extend(messages_of_readers_and_forwarders());
    messages
}

fn messages_between_replicas() -> Vec<(&'static str, Message)> {
    let (nonce, replica_set) = (77, 0xdead_beef_0bad_cafe);
    vec![
        (
            "lease_request",
            Message::LeaseRequest(LeaseRequest {
                nonce,
                replica_set,
                store_version: Some(VERSION),
            }),
        ),
        (
            "lease_request_without_store",
            Message::LeaseRequest(LeaseRequest {
                nonce,
                replica_set,
                store_version: None,
            }),
        ),
        (
            "lease_grant",
            Message::LeaseGrant(LeaseGrant {
                nonce,
                replica_set,
                complete_for: 60 * SECOND,
                unbroken_since: 1_764_633_500_000,
                store_version: Some(VERSION),
            }),
        ),
        ("store_outdated", Message::StoreOutdated(VERSION)),
        (
            "replica_set_mismatch",
            Message::ReplicaSetMismatch { nonce, replica_set },
        ),
        (
            "replicate",
            Message::Replicate(vec![
                update(1, KEY, POSITION),
                update(2, SessionKey(3), UNKNOWN_POSITION),
                update(300, KEY, -5),
            ]),
        ),
        ("acknowledge", Message::Acknowledge(vec![1, 2, 300])),
    ]
}

fn messages_of_readers_and_forwarders() -> Vec<(&'static str, Message)> {
    let nonce = 77;
    vec![
        ("position_query", Message::PositionQuery { nonce, key: KEY }),
        (
            "position_reply",
            Message::PositionReply {
                nonce,
                position: Some(POSITION),
            },
        ),
        (
            "position_reply_none",
            Message::PositionReply {
                nonce,
                position: None,
            },
        ),
        ("position_uncertain", Message::PositionUncertain { nonce }),
        (
            "forward_write",
            Message::ForwardWrite {
                number: 12,
                key: KEY,
                position: POSITION,
            },
        ),
        (
            "forwarded_write_released",
            Message::ForwardedWriteReleased { number: 12 },
        ),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<_> = hex.chars().filter_map(|digit| digit.to_digit(16)).collect();
    digits
        .chunks(2)
        .map(|pair| pair.iter().fold(0, |byte, digit| byte * 16 + *digit as u8))
        .collect()
}

#[test]
fn each_message_encodes_to_the_stored_bytes() {
    let lines: Vec<_> = messages()
        .iter()
        .map(|(name, message)| format!("{name} {}", hex(&message.encode(TO))))
        .collect();
    let stored: Vec<_> = MESSAGES.lines().collect();
    assert_eq!(lines, stored);
}

#[test]
fn each_stored_message_decodes_to_its_value() {
    let stored: Vec<_> = MESSAGES
        .lines()
        .filter_map(|line| line.split_once(' '))
        .collect();
    assert_eq!(stored.len(), messages().len());
    for ((name, hex), (expected_name, message)) in stored.into_iter().zip(messages()) {
        assert_eq!(name, expected_name);
        assert_eq!(Message::decode(&bytes(hex)), Ok((TO, message)), "{name}");
    }
}

#[test]
fn hashes_of_names_sessions_and_replica_sets_are_stable() {
    let nodes = ["g0", "g1", "g2"].map(NodeId::of);
    assert_eq!(nodes.map(|node| node.0), [NODES[0], NODES[1], NODES[2]]);
    assert_eq!(SessionKey::of(2, "7f3a9c21e0b4d655").0, SESSION);
    let replica_set = ReplicaSet::new(nodes, 2, &[800_000_000, 60 * SECOND]);
    assert_eq!(replica_set.digest(), REPLICA_SET);
    let index_of = |node: NodeId| {
        nodes
            .iter()
            .position(|known| *known == node)
            .expect("an owner is one of the three replicas")
    };
    let owners = |n| {
        replica_set
            .owners(SessionKey(n))
            .map(index_of)
            .collect::<Vec<_>>()
    };
    let owners: Vec<_> = (0..6).map(owners).collect();
    assert_eq!(owners, OWNERS.map(|owners| owners.to_vec()));
}

/// The IDs of `g0`, `g1` and `g2`.
const NODES: [u64; 3] = [
    4_795_034_760_179_464_576,
    17_976_738_094_164_826_054,
    2_850_079_368_443_514_579,
];
/// The key of the session `7f3a9c21e0b4d655` of group 2.
const SESSION: u64 = 12_907_638_285_093_708_163;
/// The digest of the replica set of `g0`, `g1` and `g2`.
const REPLICA_SET: u64 = 16_563_709_622_201_792_816;
/// The owners of sessions 0 to 5, as indices into the three instances.
const OWNERS: [[usize; 2]; 6] = [[2, 1], [1, 0], [2, 1], [1, 2], [0, 2], [2, 0]];

fn peer(node: u64, incarnation: u64) -> Peer {
    Peer {
        node: NodeId(node),
        incarnation,
    }
}

/// The state recovered from records of each kind except [`Record::Invalidated`].
fn recovered() -> Recovered {
    let records = [
        Record::ReplicaSet(5),
        Record::Position(KEY, POSITION),
        Record::Unacknowledged(SessionKey(3), UNKNOWN_POSITION),
        Record::CompletePeer(peer(7, 3)),
        Record::CompletePeer(peer(8, 3)),
        Record::CompletePeer(peer(7, 4)),
        Record::PeerStore(peer(7, 3), VERSION),
        Record::PeerStore(peer(7, 4), VERSION),
        Record::ReplicaSet(5),
    ];
    let mut recovered = Recovered {
        unbroken_since: 2,
        store_version: VERSION,
        ..Recovered::default()
    };
    records
        .into_iter()
        .for_each(|record| recovered.apply(record));
    recovered
}

#[test]
fn records_of_each_kind_are_recovered() {
    // The version has 300 records; nine more are applied.
    let store_version = StoreVersion {
        records: 309,
        ..VERSION
    };
    let expected = Recovered {
        unbroken_since: 2,
        store_version,
        peer_stores: vec![(peer(7, 4), VERSION)],
        replica_set: Some(5),
        positions: vec![(KEY, POSITION)],
        unacknowledged: vec![(SessionKey(3), UNKNOWN_POSITION)],
        complete_peers: vec![peer(8, 3), peer(7, 4)],
    };
    assert_eq!(recovered(), expected);
}

#[test]
fn an_invalidated_store_is_reset_and_counts_a_new_replica_set_record() {
    let mut store = recovered();
    let new_version = StoreVersion {
        store_id: 9,
        records: 0,
        last_incarnation: 0,
    };
    store.apply(Record::Invalidated(new_version, 10));
    let new_version = StoreVersion {
        last_incarnation: VERSION.last_incarnation,
        ..new_version
    };
    let expected = Recovered {
        unbroken_since: 10,
        store_version: new_version,
        complete_peers: Vec::new(),
        ..recovered()
    };
    assert_eq!(store, expected);
    store.apply(Record::ReplicaSet(6));
    let store_version = StoreVersion {
        records: 1,
        ..new_version
    };
    let expected = Recovered {
        replica_set: Some(6),
        store_version,
        ..expected
    };
    assert_eq!(store, expected);
}
