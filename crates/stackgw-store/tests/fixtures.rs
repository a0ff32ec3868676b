//! Stored data stays readable: a store file and a list file as an earlier build wrote them.

mod common;

use common::{owner, peer, Folder};
use redb::{ReadableDatabase, ReadableTable, TableDefinition, TableHandle, Value};
use stackgw_bootstrap::{CachedEndpoints, Endpoint, EndpointUpdate};
use stackgw_router::api::{Lifecycle, MS};
use stackgw_sessions::{NodeId, Record, Recovered, SessionKey, StoreVersion};
use stackgw_store::*;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::path::{Path, PathBuf};

const STORE: &[u8] = include_bytes!("fixtures/store.redb");
const LIST: &str = include_str!("fixtures/members.list");
/// The incarnation that wrote the fixture.
const FIXTURE_INCARNATION: u64 = 1_796_189_934_862;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// Records of every kind. What stands before `Invalidated` shows in the file only where that leaves
/// it.
fn records() -> Vec<Record> {
    vec![
        Record::ReplicaSet(77),
        Record::CompletePeer(peer(5, 1)),
        Record::Invalidated(
            StoreVersion {
                store_id: 1_234,
                records: 100,
                last_incarnation: 0,
            },
            1_200,
        ),
        Record::ReplicaSet(78),
        Record::Position(SessionKey(1), 1_000),
        Record::Position(SessionKey(u64::MAX), i64::MAX),
        Record::Position(SessionKey(1), 900),
        Record::Unacknowledged(SessionKey(3), 30),
        Record::Unacknowledged(SessionKey(4), -1),
        Record::CompletePeer(peer(7, 3)),
        Record::CompletePeer(peer(8, u64::MAX)),
        Record::PeerStore(
            peer(7, 3),
            StoreVersion {
                store_id: 9,
                records: 4,
                last_incarnation: 0,
            },
        ),
        Record::PeerStore(
            peer(9, 2),
            StoreVersion {
                store_id: 10,
                records: u64::MAX,
                last_incarnation: 0,
            },
        ),
    ]
}

/// What the records come to, after this incarnation.
fn recovered(last: u64) -> Recovered {
    Recovered {
        unbroken_since: 1_200,
        store_version: StoreVersion {
            store_id: 1_234,
            records: 110,
            last_incarnation: last,
        },
        peer_stores: vec![
            (
                peer(7, 3),
                StoreVersion {
                    store_id: 9,
                    records: 4,
                    last_incarnation: 0,
                },
            ),
            (
                peer(9, 2),
                StoreVersion {
                    store_id: 10,
                    records: u64::MAX,
                    last_incarnation: 0,
                },
            ),
        ],
        replica_set: Some(78),
        positions: vec![(SessionKey(1), 1_000), (SessionKey(u64::MAX), i64::MAX)],
        unacknowledged: vec![(SessionKey(3), 30), (SessionKey(4), -1)],
        complete_peers: vec![peer(7, 3), peer(8, u64::MAX)],
    }
}

/// Writes the records to a new file; gives the incarnation that did.
fn write_store(path: &Path) -> u64 {
    let mut opened = StoreFile::open(path, &owner()).expect("a new store");
    for record in records() {
        opened.store.commit(&[record]).expect("room");
    }
    opened.incarnation
}

fn put_back_store(path: &Path) {
    std::fs::write(path, STORE).expect("a copy of the fixture");
}

fn cached() -> CachedEndpoints {
    let entry = |id: &str, phase, up_since_ms, leader| Endpoint {
        id: id.to_owned(),
        address: ([127, 0, 0, 1], 5_433).into(),
        locality: "hall".to_owned(),
        cell: 2,
        phase,
        size: 1.5,
        up_since_ms,
        leader,
    };
    let members = vec![
        entry("m0", Lifecycle::Serving, 1_700_000_000_000, true),
        entry("m1", Lifecycle::Draining, 0, false),
        entry("m2", Lifecycle::Removed, -1, false),
    ];
    CachedEndpoints {
        list: EndpointUpdate {
            revision: 42,
            complete: true,
            members,
        },
        confirmed_at: 1_750_000_000_123 * MS,
        warm_throughput: 312.25,
    }
}

fn write_list(path: &Path) {
    let writer = EndpointListWriter::start(path, "nottingham-1", |failed| panic!("{failed}"))
        .expect("a thread");
    writer.put(cached());
}

/// Writes the store and the list. `cargo test -p stackgw-store --test fixtures -- --ignored
/// --nocapture`; the incarnation that it prints is `FIXTURE_INCARNATION`.
#[test]
#[ignore = "writes the fixtures"]
fn write_the_files() {
    let folder = Folder::new("fixtures");
    println!("FIXTURE_INCARNATION {}", write_store(&folder.store()));
    std::fs::copy(folder.store(), fixture("store.redb")).expect("the fixture is written");
    write_list(&folder.path().join("members.list"));
    std::fs::copy(folder.path().join("members.list"), fixture("members.list"))
        .expect("the fixture is written");
}

#[test]
fn a_store_of_an_earlier_build_is_opened_with_the_same_records() {
    let folder = Folder::new("earlier");
    put_back_store(&folder.store());
    let opened = StoreFile::open(&folder.store(), &owner()).expect("a good file");
    assert!(opened.quarantined.is_none());
    assert_eq!(opened.recovered, recovered(FIXTURE_INCARNATION));
    assert!(opened.incarnation > FIXTURE_INCARNATION);
}

type Rows = BTreeMap<String, Vec<String>>;

/// The rows of one table, with the clock's part of them left out.
fn rows<K: redb::Key + 'static, V: Value + 'static>(
    database: &redb::Database,
    name: &str,
    show: impl Fn(K::SelfType<'_>, V::SelfType<'_>) -> String,
    found: &mut Rows,
) {
    let read = database.begin_read().expect("a transaction");
    let table = read
        .open_table(TableDefinition::<K, V>::new(name))
        .expect("the table has these types");
    let entries = table
        .iter()
        .expect("it can be read")
        .map(|entry| entry.expect("it can be read"));
    found.insert(
        name.to_owned(),
        entries
            .map(|(key, value)| show(key.value(), value.value()))
            .collect(),
    );
}

/// Everything that a file holds, by the names and types of its tables; times that its host's clock
/// gave are left out.
fn tables(path: &Path) -> Rows {
    let database = redb::Database::open(path).expect("a database");
    let mut found = Rows::new();
    let meta = |key: &str, value: u64| match key {
        "incarnation" => key.to_owned(),
        _ => format!("{key} {value}"),
    };
    fn pair(key: impl Debug, value: impl Debug) -> String {
        format!("{key:?} {value:?}")
    }
    rows::<&str, u64>(&database, "meta", meta, &mut found);
    rows::<u64, (i64, u64)>(
        &database,
        "held",
        |key, (position, _)| pair(key, position),
        &mut found,
    );
    rows::<u64, (i64, u64)>(
        &database,
        "owed",
        |key, (position, _)| pair(key, position),
        &mut found,
    );
    rows::<u64, u64>(&database, "whole", pair, &mut found);
    rows::<u64, (u64, u64, u64)>(&database, "seen", pair, &mut found);
    let read = database.begin_read().expect("a transaction");
    let names = read.list_tables().expect("names");
    let names: Vec<_> = names.map(|table| table.name().to_owned()).collect();
    assert!(
        names.iter().all(|name| found.contains_key(name)),
        "{names:?}"
    );
    found
}

#[test]
fn the_same_records_give_the_same_tables() {
    let folder = Folder::new("tables");
    put_back_store(&folder.path().join("earlier.redb"));
    write_store(&folder.path().join("today.redb"));
    let (earlier, today) = (
        tables(&folder.path().join("earlier.redb")),
        tables(&folder.path().join("today.redb")),
    );
    assert_eq!(earlier, today);
    assert_eq!(earlier["meta"].len(), 8);
    assert!(earlier.values().all(|rows| rows.len() >= 2), "{earlier:?}");
}

#[test]
fn a_list_file_of_an_earlier_build_is_read_as_the_same_list() {
    let folder = Folder::new("list-earlier");
    let path = folder.path().join("members.list");
    std::fs::write(&path, LIST).expect("a copy of the fixture");
    assert_eq!(
        read_endpoint_list(&path, "nottingham-1").expect("no fault"),
        Some(cached())
    );
    assert_eq!(
        read_endpoint_list(&path, "nottingham-2").expect("no fault"),
        None,
        "another service's list"
    );
    assert_eq!(
        std::fs::read_to_string(&path).expect("it is still there"),
        LIST
    );
}

#[test]
fn the_same_list_gives_the_same_bytes() {
    let folder = Folder::new("list-today");
    let path = folder.path().join("members.list");
    write_list(&path);
    assert_eq!(std::fs::read_to_string(&path).expect("a file"), LIST);
}

#[test]
fn a_damaged_list_file_is_set_aside_with_the_same_words() {
    let folder = Folder::new("list-damaged");
    let path = folder.path().join("members.list");
    std::fs::write(&path, LIST.replace("hall", "wall")).expect("a copy of the fixture");
    let error = read_endpoint_list(&path, "nottingham-1")
        .expect_err("its sum differs")
        .to_string();
    let start = format!(
        "start.list: {0}: is damaged; set aside as {0}.refused-",
        path.display()
    );
    let number = error
        .strip_prefix(&start)
        .unwrap_or_else(|| panic!("{error}"));
    assert!(number.parse::<u64>().is_ok(), "{error}");
    assert_eq!(
        read_endpoint_list(&path, "nottingham-1").expect("no fault"),
        None,
        "it is no longer there"
    );
    std::fs::create_dir_all(&path).expect("a folder in its place");
    let error = read_endpoint_list(&path, "nottingham-1")
        .expect_err("it is a folder")
        .to_string();
    assert_eq!(
        error,
        format!(
            "start.list: {}: no plain file, or too large a one",
            path.display()
        )
    );
}

#[test]
fn a_store_that_cannot_be_used_is_refused_with_the_same_words() {
    let folder = Folder::new("words");
    let path = folder.store();
    put_back_store(&path);
    let others = [
        (
            StoreOwner {
                cluster: "other".to_owned(),
                ..owner()
            },
            "it is not of the cluster other",
        ),
        (
            StoreOwner {
                node: NodeId::of("g1"),
                ..owner()
            },
            "it is another instance's",
        ),
    ];
    for (other, why) in others {
        put_back_store(&path);
        let notice = StoreFile::open(&path, &other)
            .expect("a new store")
            .quarantined
            .expect("it says so")
            .to_string();
        let start = format!(
            "store: {0}: {why}; set aside as {0}.refused-",
            path.display()
        );
        let number = notice
            .strip_prefix(&start)
            .unwrap_or_else(|| panic!("{notice}"));
        assert!(number.parse::<u64>().is_ok(), "{notice}");
    }
    put_back_store(&path);
    let _first = StoreFile::open(&path, &owner()).expect("a good file");
    let error = StoreFile::open(&path, &owner())
        .expect_err("it is in use")
        .to_string();
    assert_eq!(
        error,
        format!("store: {}: another process has it open", path.display())
    );
    let error = StoreFile::open(&folder.path().join("none/g0.redb"), &owner())
        .expect_err("no folder")
        .to_string();
    let place = folder.path().join("none/g0.redb");
    assert_eq!(
        error,
        format!(
            "store: {}: No such file or directory (os error 2)",
            place.display()
        )
    );
}
