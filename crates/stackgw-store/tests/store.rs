//! What is recovered, what is rejected, and what a torn write leaves.

mod common;

use common::{owner, peer, Folder};
use stackgw_sessions::{NodeId, Record, SessionKey, StoreVersion};
use stackgw_store::*;
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;

fn quarantined_files(folder: &Folder) -> usize {
    let entries = std::fs::read_dir(folder.path())
        .expect("a folder")
        .flatten();
    entries
        .filter(|e| e.file_name().to_string_lossy().contains("refused"))
        .count()
}

fn open(path: &Path) -> OpenedStore {
    StoreFile::open(path, &owner()).expect("a store")
}

fn position(n: u64) -> Record {
    Record::Position(SessionKey(n), n as i64 * 1_000)
}

#[test]
fn committed_records_are_recovered_by_the_next_incarnation() {
    let folder = Folder::new("lasts");
    let mut first = open(&folder.store());
    let peer = peer(7, 3);
    let version = StoreVersion {
        store_id: 9,
        records: 4,
        last_incarnation: 0,
    };
    let records = [
        Record::ReplicaSet(5),
        position(1),
        position(2),
        Record::Unacknowledged(SessionKey(3), 30),
        Record::CompletePeer(peer),
        Record::PeerStore(peer, version),
    ];
    first.store.commit(&records).expect("room");
    first
        .store
        .commit(&[Record::Position(SessionKey(2), 1)])
        .expect("room");
    assert_eq!(first.recovered.unbroken_since, first.incarnation);
    drop(first.store);
    let second = open(&folder.store());
    assert!(second.incarnation > first.incarnation);
    let found = second.recovered;
    assert_eq!(found.unbroken_since, first.incarnation);
    assert_eq!(
        found.positions,
        [(SessionKey(1), 1_000), (SessionKey(2), 2_000)],
        "positions never go back"
    );
    assert_eq!(
        (
            found.unacknowledged,
            found.complete_peers,
            found.peer_stores
        ),
        (vec![(SessionKey(3), 30)], vec![peer], vec![(peer, version)])
    );
    assert_eq!(
        (found.replica_set, found.store_version.records),
        (Some(5), 7)
    );
    assert!(second.quarantined.is_none());
}

#[test]
fn another_replica_set_or_an_invalidated_store_forgets_complete_peers() {
    for record in [
        Record::ReplicaSet(6),
        Record::Invalidated(
            StoreVersion {
                store_id: 4,
                records: 0,
                last_incarnation: 0,
            },
            2,
        ),
    ] {
        let folder = Folder::new(
            &format!("complete-{record:?}").replace(|c: char| !c.is_alphanumeric(), ""),
        );
        let mut first = open(&folder.store());
        let complete = Record::CompletePeer(peer(7, 3));
        first
            .store
            .commit(&[Record::ReplicaSet(5), complete])
            .expect("room");
        first
            .store
            .commit(std::slice::from_ref(&record))
            .expect("room");
        drop(first);
        let found = open(&folder.store()).recovered;
        assert!(found.complete_peers.is_empty());
        if let Record::Invalidated(version, since) = record {
            assert_eq!(
                (
                    found.store_version.store_id,
                    found.store_version.records,
                    found.unbroken_since
                ),
                (version.store_id, 0, since)
            );
        }
    }
}

#[test]
fn the_file_recovers_the_same_state_as_applying_the_records() {
    let folder = Folder::new("same");
    let mut first = open(&folder.store());
    let mut wanted = first.recovered.clone();
    wanted.store_version.last_incarnation = first.incarnation;
    let peer = |incarnation| peer(7, incarnation);
    let version = |records| StoreVersion {
        store_id: 9,
        records,
        last_incarnation: 0,
    };
    let records = [
        Record::ReplicaSet(5),
        position(1),
        Record::CompletePeer(peer(3)),
        Record::ReplicaSet(5),
        Record::Unacknowledged(SessionKey(4), 9),
        Record::PeerStore(peer(3), version(4)),
        Record::Invalidated(version(0), first.incarnation),
        position(2),
        Record::CompletePeer(peer(4)),
        Record::PeerStore(peer(4), version(8)),
    ];
    for record in records {
        first
            .store
            .commit(std::slice::from_ref(&record))
            .expect("room");
        wanted.apply(record);
    }
    drop(first.store);
    assert_eq!(open(&folder.store()).recovered, wanted);
}

#[test]
fn a_file_of_another_owner_is_quarantined_and_not_overwritten() {
    let folder = Folder::new("foreign");
    let mut first = open(&folder.store());
    first.store.commit(&[position(1)]).expect("room");
    drop(first);
    let bytes = std::fs::read(folder.store()).expect("a file");
    let foreign = [
        StoreOwner {
            cluster: "other".to_owned(),
            ..owner()
        },
        StoreOwner {
            node: NodeId::of("g1"),
            ..owner()
        },
    ];
    for (n, other) in foreign.iter().enumerate() {
        std::fs::write(folder.store(), &bytes).expect("a file");
        let opened = StoreFile::open(&folder.store(), other).expect("a new store");
        let said = opened.quarantined.expect("it says so").to_string();
        assert!(!said.contains('\n') && said.contains("g0.redb"), "{said}");
        assert_eq!(
            (opened.recovered.positions.len(), quarantined_files(&folder)),
            (0, n + 1)
        );
    }
    std::fs::write(folder.store(), b"no store at all").expect("a file");
    assert!(open(&folder.store()).quarantined.is_some());
    assert_eq!(quarantined_files(&folder), 3);
}

#[test]
fn a_store_that_is_open_cannot_be_opened_again() {
    let folder = Folder::new("twice");
    let _first = open(&folder.store());
    let second = StoreFile::open(&folder.store(), &owner()).expect_err("it is in use");
    assert!(second.to_string().contains("another process"), "{second}");
    assert_eq!(quarantined_files(&folder), 0);
}

/// A commit that was under way when the power failed: any part of its bytes may be there. When it
/// is opened, the file has the records from before that commit or those from after it, or it is
/// quarantined; and nothing else.
#[test]
fn a_commit_torn_at_any_byte_is_complete_or_absent_or_quarantined() {
    let folder = Folder::new("torn");
    let mut opened = open(&folder.store());
    opened
        .store
        .commit(&(0..50).map(position).collect::<Vec<_>>())
        .expect("room");
    let before = std::fs::read(folder.store()).expect("a file");
    opened
        .store
        .commit(&(50..60).map(position).collect::<Vec<_>>())
        .expect("room");
    let after = std::fs::read(folder.store()).expect("a file");
    drop(opened);
    assert_eq!(before.len(), after.len(), "the file did not grow");
    let differ: Vec<_> = (0..after.len())
        .filter(|at| before[*at] != after[*at])
        .collect();
    assert!(differ.len() > 20, "{}", differ.len());
    // Each opening waits for the disk: all offsets take minutes, so CI takes some; STACKGW_EVERY=1
    // takes all.
    let stride = std::env::var("STACKGW_EVERY")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(differ.len() / 40);
    let (mut old, mut new, mut refused) = (0, 0, 0);
    for forwards in [true, false] {
        for cut in differ.iter().step_by(stride) {
            let mut torn = before.clone();
            let written = if forwards { 0..*cut } else { *cut..after.len() };
            torn[written.clone()].copy_from_slice(&after[written]);
            std::fs::write(folder.store(), &torn).expect("a file");
            let found = open(&folder.store());
            match (found.quarantined, found.recovered.positions.len()) {
                (None, 50) => old += 1,
                (None, 60) => new += 1,
                (Some(_), 0) => refused += 1,
                (quarantined, count) => panic!("torn at {cut}: {count} positions, {quarantined:?}"),
            }
            if quarantined_files(&folder) > 0 {
                std::fs::remove_dir_all(folder.path()).expect("a folder");
                std::fs::create_dir_all(folder.path()).expect("a folder");
            }
        }
    }
    println!(
        "{} offsets of which every {stride}. both ways: {old} before, {new} after, {refused} refused",
        differ.len()
    );
    assert!(old > 0, "{old} {new} {refused}");
}

#[test]
fn a_file_damaged_anywhere_never_yields_other_positions() {
    let folder = Folder::new("damaged");
    let mut opened = open(&folder.store());
    opened
        .store
        .commit(&(0..50).map(position).collect::<Vec<_>>())
        .expect("room");
    drop(opened);
    let whole = std::fs::read(folder.store()).expect("a file");
    let mut state = 1u64;
    for _ in 0..150 {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let at = (state >> 20) as usize % whole.len();
        let mut bytes = whole.clone();
        bytes[at] ^= (state >> 8) as u8 | 1;
        bytes.truncate(if state.is_multiple_of(5) {
            at
        } else {
            whole.len()
        });
        std::fs::write(folder.store(), &bytes).expect("a file");
        let found = open(&folder.store());
        let wrong = found
            .recovered
            .positions
            .iter()
            .any(|(key, position)| *position != key.0 as i64 * 1_000);
        let part = found.quarantined.is_none() && found.recovered.positions.len() != 50;
        assert!(
            !wrong && !part,
            "byte {at}: {} positions",
            found.recovered.positions.len()
        );
    }
}

/// A store that has room for so many commits.
struct FullStore {
    commits_left: usize,
    movable: bool,
}

impl FullStore {
    fn error(text: &str) -> StoreError {
        let source = std::io::Error::other(text.to_owned());
        let path = PathBuf::from("g0.redb");
        StoreError::Io { path, source }
    }
}

impl DurableStore for FullStore {
    fn commit(&mut self, _: &[Record]) -> Result<(), StoreError> {
        let left = self.commits_left.checked_sub(1);
        self.commits_left = left.ok_or_else(|| Self::error("no space left"))?;
        Ok(())
    }

    fn quarantine(&mut self) -> Result<(), StoreError> {
        let moved = self.movable.then_some(());
        moved.ok_or_else(|| Self::error("it cannot be moved"))
    }
}

#[test]
fn a_full_disk_is_reported_once_and_nothing_counts_as_stored_after() {
    for movable in [true, false] {
        let (sender, outcomes) = channel();
        let store = FullStore {
            commits_left: 2,
            movable,
        };
        let writer = RecordWriter::start(store, move |outcome| drop(sender.send(outcome)))
            .expect("a thread");
        let mut stored = 0;
        let (error, quarantined) = loop {
            writer.put(position(1));
            match outcomes.recv().expect("an outcome") {
                CommitOutcome::Stored(count) => stored = count,
                CommitOutcome::Failed { error, quarantined } => break (error, quarantined),
            }
        };
        assert_eq!((stored, quarantined), (2, movable));
        assert_eq!(error.to_string(), "store: g0.redb: no space left");
        writer.put(position(2));
        drop(writer);
        assert!(outcomes.recv().is_err(), "it is over");
    }
}

#[test]
fn a_dropped_writer_commits_all_that_is_queued() {
    let folder = Folder::new("writer");
    let (sender, outcomes) = channel();
    let store = open(&folder.store()).store;
    let writer =
        RecordWriter::start(store, move |outcome| drop(sender.send(outcome))).expect("a thread");
    (0..5_000).for_each(|n| writer.put(position(n)));
    drop(writer);
    let last = outcomes.iter().last();
    assert!(
        matches!(last, Some(CommitOutcome::Stored(5_000))),
        "{last:?}"
    );
    assert_eq!(open(&folder.store()).recovered.positions.len(), 5_000);
}

/// After the last number there is no other: the next incarnation's wrapped to the past, and peers took it for an earlier one.
#[test]
fn a_store_of_the_last_incarnation_that_there_can_be_is_rejected() {
    let folder = Folder::new("last");
    drop(open(&folder.store()).store);
    let database = redb::Database::open(folder.store()).expect("the store");
    let transaction = database.begin_write().expect("a transaction");
    let meta = redb::TableDefinition::<&str, u64>::new("meta");
    let mut table = transaction.open_table(meta).expect("the table");
    table.insert("incarnation", u64::MAX).expect("room");
    drop(table);
    transaction.commit().expect("room");
    drop(database);
    let opened = open(&folder.store());
    let reason = opened.quarantined.map(|quarantined| quarantined.reason);
    assert_eq!(
        reason.map(|r| r.to_string()).as_deref(),
        Some("its lives are out of order")
    );
    assert_eq!(quarantined_files(&folder), 1);
}
