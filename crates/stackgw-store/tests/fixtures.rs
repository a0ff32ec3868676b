//! Stored data stays readable: a store file and a list file that an earlier build wrote.

mod common;

use common::{owner, peer, TempDir};
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

/// Records of every kind. Of those before `Invalidated`, the file has only what the invalidation
/// does not remove.
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

/// The state that the records leave, written by this incarnation.
fn recovered(last_incarnation: u64) -> Recovered {
    Recovered {
        unbroken_since: 1_200,
        store_version: StoreVersion {
            store_id: 1_234,
            records: 110,
            last_incarnation,
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

/// Writes the records to a new file and returns the incarnation that wrote them.
fn write_store(path: &Path) -> u64 {
    let mut opened = StoreFile::open(path, &owner()).expect("a store can be created");
    for record in records() {
        opened.store.commit(&[record]).expect("the commit succeeds");
    }
    opened.incarnation
}

/// Copies the store fixture to a path.
fn restore_store(path: &Path) {
    std::fs::write(path, STORE).expect("the fixture can be copied");
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
    let writer = EndpointListWriter::start(path, "nottingham-1", |error| panic!("{error}"))
        .expect("the thread starts");
    writer.put(cached());
}

/// Writes the store and list fixtures: `cargo test -p stackgw-store --test fixtures -- --ignored
/// --nocapture`. The incarnation that it prints is the new value of [`FIXTURE_INCARNATION`].
#[test]
#[ignore = "writes the fixtures"]
fn write_the_files() {
    let directory = TempDir::new("fixtures");
    println!("FIXTURE_INCARNATION {}", write_store(&directory.store()));
    std::fs::copy(directory.store(), fixture("store.redb")).expect("the fixture is written");
    let list = directory.path().join("members.list");
    write_list(&list);
    std::fs::copy(list, fixture("members.list")).expect("the fixture is written");
}

#[test]
fn a_store_of_an_earlier_build_is_opened_with_the_same_records() {
    let directory = TempDir::new("earlier");
    restore_store(&directory.store());
    let opened = StoreFile::open(&directory.store(), &owner()).expect("the store is valid");
    assert!(opened.quarantined.is_none());
    assert_eq!(opened.recovered, recovered(FIXTURE_INCARNATION));
    assert!(opened.incarnation > FIXTURE_INCARNATION);
}

type Rows = BTreeMap<String, Vec<String>>;

/// Adds the rows of one table to `found`; `show` leaves out values from the wall clock.
fn rows<K: redb::Key + 'static, V: Value + 'static>(
    database: &redb::Database,
    name: &str,
    show: impl Fn(K::SelfType<'_>, V::SelfType<'_>) -> String,
    found: &mut Rows,
) {
    let transaction = database.begin_read().expect("a transaction can be begun");
    let table = transaction
        .open_table(TableDefinition::<K, V>::new(name))
        .expect("the table has these types");
    let entries = table
        .iter()
        .expect("the table can be read")
        .map(|entry| entry.expect("the entry can be read"));
    found.insert(
        name.to_owned(),
        entries
            .map(|(key, value)| show(key.value(), value.value()))
            .collect(),
    );
}

/// The contents of a file by the names and types of its tables. Times from the wall clock are left
/// out.
fn tables(path: &Path) -> Rows {
    let database = redb::Database::open(path).expect("the file is a database");
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
    let transaction = database.begin_read().expect("a transaction can be begun");
    let names = transaction.list_tables().expect("the tables are listed");
    let names: Vec<_> = names.map(|table| table.name().to_owned()).collect();
    assert!(
        names.iter().all(|name| found.contains_key(name)),
        "{names:?}"
    );
    found
}

#[test]
fn the_same_records_give_the_same_tables() {
    let directory = TempDir::new("tables");
    restore_store(&directory.path().join("earlier.redb"));
    write_store(&directory.path().join("today.redb"));
    let (earlier, today) = (
        tables(&directory.path().join("earlier.redb")),
        tables(&directory.path().join("today.redb")),
    );
    assert_eq!(earlier, today);
    assert_eq!(earlier["meta"].len(), 8);
    assert!(earlier.values().all(|rows| rows.len() >= 2), "{earlier:?}");
}

#[test]
fn a_list_file_of_an_earlier_build_is_read_as_the_same_list() {
    let directory = TempDir::new("list-earlier");
    let path = directory.path().join("members.list");
    std::fs::write(&path, LIST).expect("the fixture can be copied");
    assert_eq!(
        read_endpoint_list(&path, "nottingham-1").expect("the file is valid"),
        Some(cached())
    );
    assert_eq!(
        read_endpoint_list(&path, "nottingham-2").expect("the file is valid"),
        None,
        "the list of another service must not be used"
    );
    assert_eq!(
        std::fs::read_to_string(&path).expect("the file is still there"),
        LIST
    );
}

#[test]
fn the_same_list_gives_the_same_bytes() {
    let directory = TempDir::new("list-today");
    let path = directory.path().join("members.list");
    write_list(&path);
    assert_eq!(
        std::fs::read_to_string(&path).expect("the file exists"),
        LIST
    );
}

#[test]
fn a_damaged_list_file_is_quarantined_and_reported() {
    let directory = TempDir::new("list-damaged");
    let path = directory.path().join("members.list");
    std::fs::write(&path, LIST.replace("hall", "wall")).expect("the fixture can be copied");
    let error = read_endpoint_list(&path, "nottingham-1")
        .expect_err("its checksum differs")
        .to_string();
    let start = format!(
        "start.list: {0}: is damaged; moved to {0}.refused-",
        path.display()
    );
    let number = error
        .strip_prefix(&start)
        .unwrap_or_else(|| panic!("{error}"));
    assert!(number.parse::<u64>().is_ok(), "{error}");
    assert_eq!(
        read_endpoint_list(&path, "nottingham-1").expect("a missing file is no error"),
        None,
        "the damaged file must have been moved away"
    );
    std::fs::create_dir_all(&path).expect("the directory can be created");
    let error = read_endpoint_list(&path, "nottingham-1")
        .expect_err("it is a directory")
        .to_string();
    assert_eq!(
        error,
        format!(
            "start.list: {}: is not a regular file, or is too large",
            path.display()
        )
    );
}

#[test]
fn a_store_that_cannot_be_used_is_rejected_with_the_reason() {
    let directory = TempDir::new("words");
    let path = directory.store();
    restore_store(&path);
    let others = [
        (
            StoreOwner {
                cluster: "other".to_owned(),
                ..owner()
            },
            "it does not belong to the cluster other",
        ),
        (
            StoreOwner {
                node: NodeId::of("g1"),
                ..owner()
            },
            "it belongs to another instance",
        ),
    ];
    for (other, reason) in others {
        restore_store(&path);
        let message = StoreFile::open(&path, &other)
            .expect("a store can be created")
            .quarantined
            .expect("the old store is quarantined")
            .to_string();
        let start = format!(
            "store: {0}: {reason}; moved to {0}.refused-",
            path.display()
        );
        let number = message
            .strip_prefix(&start)
            .unwrap_or_else(|| panic!("{message}"));
        assert!(number.parse::<u64>().is_ok(), "{message}");
    }
    restore_store(&path);
    let _first = StoreFile::open(&path, &owner()).expect("the store is valid");
    let error = StoreFile::open(&path, &owner())
        .expect_err("the store is in use")
        .to_string();
    assert_eq!(
        error,
        format!("store: {}: another process has it open", path.display())
    );
    let path = directory.path().join("none/g0.redb");
    let error = StoreFile::open(&path, &owner())
        .expect_err("the directory is missing")
        .to_string();
    assert_eq!(
        error,
        format!(
            "store: {}: No such file or directory (os error 2)",
            path.display()
        )
    );
}
