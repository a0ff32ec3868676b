//! Formats on the wire and on disk: fixtures that an earlier version wrote hold every datagram of this package, complete and in
//! fragments, and the stored list. Decoding a fixture gives the expected value, and encoding that value gives its bytes.

use serde::de::{DeserializeOwned, Deserializer, Error, Visitor};
use serde::Serialize;
use stackgw_bootstrap::{
    service_id, Endpoint, EndpointSnapshot, EndpointUpdate, Fragment, Message, Observation, Poll,
};
use stackgw_router::api::Lifecycle;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn peer(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 7, 200], port))
}

fn peer_v6() -> SocketAddr {
    SocketAddr::from(([0x2001, 0xdb8, 0, 0, 0, 0, 0, 0x17], 7_654))
}

fn endpoint(number: u8, phase: Lifecycle) -> Endpoint {
    Endpoint {
        id: format!("member-{number}"),
        address: SocketAddr::from(([10, 1, 2, number], 6_543)),
        locality: "zone-b".to_owned(),
        cell: 300,
        phase,
        size: 1.0,
        up_since_ms: 0,
        leader: false,
    }
}

/// One member in each phase, with each kind of address and of start time.
fn endpoints() -> Vec<Endpoint> {
    let primary = Endpoint {
        leader: true,
        size: 2.5,
        up_since_ms: 1_790_000_123_456,
        ..endpoint(1, Lifecycle::Serving)
    };
    let draining = Endpoint {
        up_since_ms: -1,
        address: peer_v6(),
        ..endpoint(2, Lifecycle::Draining)
    };
    let removed = Endpoint {
        locality: String::new(),
        cell: 0,
        size: 0.0,
        ..endpoint(3, Lifecycle::Removed)
    };
    vec![primary, draining, removed]
}

fn observations() -> Vec<Observation> {
    let observation = |name, position_ms, is_primary, observed_at_ms| Observation {
        member_hash: Observation::hash_name(name),
        position_ms,
        is_primary,
        observed_at_ms,
    };
    vec![
        observation("member-1", 1_790_000_200_000, Some(true), 1_790_000_200_005),
        observation(
            "member-2",
            1_790_000_199_000,
            Some(false),
            1_790_000_200_001,
        ),
        observation("member-3", 0, None, 127),
    ]
}

fn snapshot() -> EndpointSnapshot {
    EndpointSnapshot {
        sender: peer(7_000),
        nonce: 0xdead_beef,
        service_id: service_id("list"),
        revision: Some(70_000),
        confirmed_ago_ms: 1_234,
        is_live: true,
        is_cached: false,
        retry_after_ms: 0,
        warm_throughput_millis: 285_500,
        base: None,
        fragment: Fragment::ONLY,
        endpoints: endpoints(),
        observations: observations(),
    }
}

/// More entries than fit into one datagram.
fn many_endpoints() -> Vec<Endpoint> {
    (1..=60)
        .map(|number| endpoint(number, Lifecycle::Serving))
        .collect()
}

fn fragments() -> Vec<Message> {
    let complete = EndpointSnapshot {
        endpoints: Vec::new(),
        ..snapshot()
    };
    complete
        .into_fragments(many_endpoints())
        .expect("the entries fit into the maximum number of fragments")
        .into_iter()
        .map(Message::Snapshot)
        .collect()
}

/// The polls, each with the name of its fixture.
fn polls() -> Vec<(String, Message)> {
    let first_poll = Message::Poll(Poll {
        sender: peer(7_001),
        nonce: 1,
        service_id: service_id("list"),
        known_revision: None,
        observations: Vec::new(),
    });
    let later_poll = Message::Poll(Poll {
        sender: peer_v6(),
        nonce: u32::MAX,
        service_id: service_id("another"),
        known_revision: Some(69_999),
        observations: observations(),
    });
    vec![
        ("question-first.bin".to_owned(), first_poll),
        ("question-later.bin".to_owned(), later_poll),
    ]
}

/// The snapshots that fit into one datagram, each with the name of its fixture.
fn snapshots() -> Vec<(String, Message)> {
    let without_list = EndpointSnapshot {
        nonce: 0,
        revision: None,
        is_live: false,
        retry_after_ms: 1_500,
        warm_throughput_millis: 0,
        fragment: Fragment::WITHOUT_ENTRIES,
        endpoints: Vec::new(),
        observations: Vec::new(),
        ..snapshot()
    };
    let version_only = EndpointSnapshot {
        fragment: Fragment::WITHOUT_ENTRIES,
        endpoints: Vec::new(),
        ..snapshot()
    };
    let changes = EndpointSnapshot {
        base: Some(69_998),
        sender: peer_v6(),
        ..snapshot()
    };
    let cached = EndpointSnapshot {
        is_cached: true,
        is_live: false,
        confirmed_ago_ms: 86_400_000,
        ..snapshot()
    };
    let snapshots = [
        ("answer-nothing-known.bin", without_list),
        ("answer-version-only.bin", version_only),
        ("answer-complete.bin", snapshot()),
        ("answer-changes.bin", changes),
        ("answer-cached.bin", cached),
    ];
    let named =
        |(name, snapshot): (&str, EndpointSnapshot)| (name.to_owned(), Message::Snapshot(snapshot));
    snapshots.into_iter().map(named).collect()
}

/// Every datagram, with the name of its fixture.
fn datagrams() -> Vec<(String, Message)> {
    let numbered = fragments().into_iter().enumerate();
    let fragments = numbered.map(|(n, fragment)| (format!("answer-fragment-{n}.bin"), fragment));
    polls()
        .into_iter()
        .chain(snapshots())
        .chain(fragments)
        .collect()
}

fn stored_lists() -> [(&'static str, EndpointUpdate); 2] {
    let complete = EndpointUpdate {
        revision: 70_000,
        complete: true,
        members: endpoints(),
    };
    let changes = EndpointUpdate {
        revision: 70_001,
        complete: false,
        members: vec![endpoint(9, Lifecycle::Draining)],
    };
    [
        ("list-complete.bin", complete),
        ("list-changes.bin", changes),
    ]
}

/// Writes missing fixtures. An existing fixture is never replaced, because it represents what other versions store or send.
#[test]
#[ignore = "writes fixtures that are missing"]
fn write_missing_fixtures() {
    let write = |name: &str, bytes: Vec<u8>| {
        if !fixture(name).exists() {
            std::fs::write(fixture(name), bytes).expect("the fixture can be written");
        }
    };
    std::fs::create_dir_all(fixture("")).expect("the directory can be created");
    datagrams()
        .iter()
        .for_each(|(name, message)| write(name, message.encode()));
    stored_lists().iter().for_each(|(name, list)| {
        write(
            name,
            postcard::to_allocvec(list).expect("the list can be encoded"),
        )
    });
}

#[test]
fn every_datagram_is_decoded_and_encoded_as_by_an_earlier_version() {
    for (name, message) in datagrams() {
        let bytes = std::fs::read(fixture(&name)).expect(&name);
        assert_eq!(Message::decode(&bytes).as_ref(), Some(&message), "{name}");
        assert_eq!(message.encode(), bytes, "{name}");
    }
}

#[test]
fn a_list_of_several_fragments_carries_every_entry_once() {
    let fragments = fragments();
    assert_eq!(fragments.len(), 3);
    let endpoints = fragments.into_iter().flat_map(|fragment| match fragment {
        Message::Snapshot(snapshot) => snapshot.endpoints,
        Message::Poll(_) => Vec::new(),
    });
    assert!(endpoints.eq(many_endpoints()));
}

#[test]
fn the_stored_list_is_decoded_and_encoded_as_by_an_earlier_version() {
    for (name, list) in stored_lists() {
        let bytes = std::fs::read(fixture(name)).expect(name);
        assert_eq!(
            postcard::from_bytes::<EndpointUpdate>(&bytes).as_ref(),
            Ok(&list),
            "{name}"
        );
        assert_eq!(
            postcard::to_allocvec(&list).expect("the list can be encoded"),
            bytes,
            "{name}"
        );
    }
}

/// A deserializer that only records a struct's field names, as used in formats with names such as the JSON of the list's file.
struct FieldNames<'a>(&'a mut Vec<&'static str>);

impl<'de> Deserializer<'de> for FieldNames<'_> {
    type Error = serde::de::value::Error;

    fn deserialize_any<V: Visitor<'de>>(self, _: V) -> Result<V::Value, Self::Error> {
        Err(Error::custom("the type is not a struct"))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        fields: &'static [&'static str],
        _: V,
    ) -> Result<V::Value, Self::Error> {
        self.0.extend(fields);
        Err(Error::custom("only the field names are recorded"))
    }

    serde::forward_to_deserialize_any! {
        bool i8 i16 i32 i64 u8 u16 u32 u64 f32 f64 char str string bytes byte_buf option unit unit_struct newtype_struct seq
        tuple tuple_struct map enum identifier ignored_any
    }
}

fn field_names<T: DeserializeOwned + Serialize>() -> Vec<&'static str> {
    let mut names = Vec::new();
    assert!(T::deserialize(FieldNames(&mut names)).is_err());
    names
}

#[test]
fn the_stored_list_keeps_its_field_names() {
    assert_eq!(
        field_names::<EndpointUpdate>(),
        ["revision", "complete", "members"]
    );
    let endpoint = [
        "id",
        "address",
        "locality",
        "cell",
        "phase",
        "size",
        "up_since_ms",
        "leader",
    ];
    assert_eq!(field_names::<Endpoint>(), endpoint);
}
