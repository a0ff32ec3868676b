//! The file, by `redb`: one writer, checksums on all pages, commits that are whole or not there.

use crate::{Disk, StoreError};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use stackgw_sessions::{NodeId, Peer, Record, Recovered, SessionKey, StoreVersion};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// The form of the tables below.
const VERSION: u64 = 1;
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Key to position and when it was written, in Unix milliseconds.
const HELD: TableDefinition<u64, (i64, u64)> = TableDefinition::new("held");
const OWED: TableDefinition<u64, (i64, u64)> = TableDefinition::new("owed");
/// Keeper to incarnation.
const WHOLE: TableDefinition<u64, u64> = TableDefinition::new("whole");
/// Keeper to incarnation, disk and records.
const SEEN: TableDefinition<u64, (u64, u64, u64)> = TableDefinition::new("seen");
/// Bytes of the file that the library keeps in memory.
const CACHE: usize = 4 << 20;
/// Marks are dropped from the file so many horizons after they were written, as a clock may have been set meanwhile.
const KEPT_HORIZONS: u64 = 3;

/// Whose file it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreOwner {
    /// The cluster's name.
    pub cluster: String,
    /// The instance.
    pub node: NodeId,
    /// The horizon, in milliseconds.
    pub retention_ms: u64,
}

/// A file ready for this life of its instance.
#[derive(Debug)]
pub struct OpenedStore {
    /// Where records go.
    pub store: StoreFile,
    /// This life's incarnation, which is on the disk.
    pub incarnation: u64,
    /// What earlier lives left.
    pub recovered: Recovered,
    /// What was there could not be believed: why, and where it is now.
    pub quarantined: Option<String>,
}

/// An open file.
#[derive(Debug)]
pub struct StoreFile {
    path: PathBuf,
    database: Database,
    retention_ms: u64,
    pruned_ms: u64,
}

pub(crate) fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// What keeps a file from being used.
enum Unusable {
    /// It is not to be believed, and is to be set aside.
    Refused(String),
    /// Nothing can be done about it here: another process has it, or the folder takes no files.
    Failed(StoreError),
}

fn refused(e: impl std::fmt::Display) -> Unusable {
    Unusable::Refused(e.to_string())
}

impl StoreFile {
    /// Opens an instance's file, or begins one, and starts a new life in it. An error leaves the file where it was.
    pub fn open(path: &Path, owner: &StoreOwner) -> Result<OpenedStore, StoreError> {
        let named = |StoreError(why)| StoreError(format!("store: {}: {why}", path.display()));
        match Self::start(path, owner) {
            Ok(opened) => Ok(opened),
            Err(Unusable::Failed(failed)) => Err(named(failed)),
            Err(Unusable::Refused(why)) => {
                let aside = free_name(path);
                std::fs::rename(path, &aside)
                    .map_err(|e| named(StoreError(format!("{why}; {e}"))))?;
                let said = format!(
                    "store: {}: {why}; set aside as {}",
                    path.display(),
                    aside.display()
                );
                match Self::start(path, owner) {
                    Ok(opened) => Ok(OpenedStore {
                        quarantined: Some(said),
                        ..opened
                    }),
                    Err(Unusable::Refused(why)) => Err(named(StoreError(why))),
                    Err(Unusable::Failed(failed)) => Err(named(failed)),
                }
            }
        }
    }

    fn start(path: &Path, owner: &StoreOwner) -> Result<OpenedStore, Unusable> {
        let there = path.exists();
        // Danger: the library asserts what a damaged file may break; that must not end the gateway.
        let opened = catch_unwind(AssertUnwindSafe(|| Self::read(path, owner, there)));
        opened.unwrap_or_else(|_| Err(refused("the file is damaged beyond reading")))
    }

    fn read(path: &Path, owner: &StoreOwner, there: bool) -> Result<OpenedStore, Unusable> {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE);
        let database = if there {
            builder.open(path)
        } else {
            builder.create(path)
        };
        let mut database = database.map_err(|e| match e {
            redb::DatabaseError::DatabaseAlreadyOpen => {
                Unusable::Failed(StoreError("another process has it open".to_owned()))
            }
            redb::DatabaseError::Storage(redb::StorageError::Io(io))
                if !matches!(
                    io.kind(),
                    std::io::ErrorKind::InvalidData | std::io::ErrorKind::UnexpectedEof
                ) =>
            {
                Unusable::Failed(StoreError(io.to_string()))
            }
            other => refused(other),
        })?;
        if there {
            // Where it repairs itself it goes back to its last whole commit; what was not whole had not been answered for.
            database.check_integrity().map_err(refused)?;
        }
        let mut recovered = Recovered::default();
        let mut last = 0;
        if there {
            last = recover(&database, owner, &mut recovered)?;
        }
        let incarnation = unix_ms().max(last + 1);
        if !there {
            recovered.unbroken_since = incarnation;
            recovered.store_version = StoreVersion {
                store_id: incarnation,
                records: 0,
                last_incarnation: 0,
            };
        }
        let begin = || -> Result<(), redb::Error> {
            let write = database.begin_write()?;
            {
                let mut meta = write.open_table(META)?;
                meta.insert("version", VERSION)?;
                meta.insert("cluster", NodeId::of(&owner.cluster).0)?;
                meta.insert("node", owner.node.0)?;
                meta.insert("incarnation", incarnation)?;
                meta.insert("unbroken_since", recovered.unbroken_since)?;
                meta.insert("disk", recovered.store_version.store_id)?;
                meta.insert("records", recovered.store_version.records)?;
                write.open_table(HELD)?;
                write.open_table(OWED)?;
                write.open_table(WHOLE)?;
                write.open_table(SEEN)?;
            }
            write.commit()?;
            Ok(())
        };
        begin().map_err(|e| Unusable::Failed(StoreError(e.to_string())))?;
        let file = StoreFile {
            path: path.to_owned(),
            database,
            retention_ms: owner.retention_ms,
            pruned_ms: 0,
        };
        Ok(OpenedStore {
            store: file,
            incarnation,
            recovered,
            quarantined: None,
        })
    }

    fn write(&mut self, records: &[Record]) -> Result<(), redb::Error> {
        let now = unix_ms();
        let write = self.database.begin_write()?;
        {
            let mut meta = write.open_table(META)?;
            let mut held = write.open_table(HELD)?;
            let mut owed = write.open_table(OWED)?;
            let mut whole = write.open_table(WHOLE)?;
            let mut seen = write.open_table(SEEN)?;
            let mut count = meta.get("records")?.map_or(0, |n| n.value());
            for record in records {
                count += 1;
                match record {
                    Record::ReplicaSet(digest) => {
                        let same = meta
                            .get("roster")?
                            .is_some_and(|known| known.value() == *digest);
                        if !same {
                            meta.insert("roster", *digest)?;
                            whole.retain(|_, _| false)?;
                        }
                    }
                    Record::Position(key, position) => {
                        let known = held.get(key.0)?.map(|mark| mark.value().0);
                        held.insert(key.0, (known.map_or(*position, |p| p.max(*position)), now))?;
                    }
                    Record::Unacknowledged(key, position) => {
                        let known = owed.get(key.0)?.map(|mark| mark.value().0);
                        owed.insert(key.0, (known.map_or(*position, |p| p.max(*position)), now))?;
                    }
                    Record::CompletePeer(peer) => {
                        whole.insert(peer.node.0, peer.incarnation)?;
                    }
                    Record::PeerStore(peer, stamp) => {
                        seen.insert(
                            peer.node.0,
                            (peer.incarnation, stamp.store_id, stamp.records),
                        )?;
                    }
                    Record::Invalidated(stamp, unbroken_since) => {
                        meta.insert("disk", stamp.store_id)?;
                        meta.insert("unbroken_since", *unbroken_since)?;
                        whole.retain(|_, _| false)?;
                        count = stamp.records;
                    }
                }
            }
            meta.insert("records", count)?;
            if now.saturating_sub(self.pruned_ms) > self.retention_ms {
                self.pruned_ms = now;
                let kept = self.retention_ms.saturating_mul(KEPT_HORIZONS);
                let young = |_: u64, (_, at): (i64, u64)| at.saturating_add(kept) >= now;
                held.retain(young)?;
                owed.retain(young)?;
            }
        }
        write.commit()?;
        Ok(())
    }
}

/// Reads what earlier lives left; gives the last one's incarnation.
fn recover(
    database: &Database,
    owner: &StoreOwner,
    recovered: &mut Recovered,
) -> Result<u64, Unusable> {
    let read = database.begin_read().map_err(refused)?;
    let meta = read.open_table(META).map_err(refused)?;
    let number = |name: &str| -> Result<Option<u64>, Unusable> {
        Ok(meta.get(name).map_err(refused)?.map(|value| value.value()))
    };
    let must = |name: &str| number(name)?.ok_or_else(|| refused(format!("it has no {name}")));
    let version = must("version")?;
    if version != VERSION {
        return Err(refused(format!(
            "it is of version {version}, this is version {VERSION}"
        )));
    }
    if must("cluster")? != NodeId::of(&owner.cluster).0 {
        return Err(refused(format!(
            "it is not of the cluster {}",
            owner.cluster
        )));
    }
    if must("node")? != owner.node.0 {
        return Err(refused("it is another instance's"));
    }
    recovered.unbroken_since = must("unbroken_since")?;
    let last = must("incarnation")?;
    recovered.store_version = StoreVersion {
        store_id: must("disk")?,
        records: must("records")?,
        last_incarnation: last,
    };
    recovered.replica_set = number("roster")?;
    for (table, marks) in [
        (HELD, &mut recovered.positions),
        (OWED, &mut recovered.unacknowledged),
    ] {
        let table = read.open_table(table).map_err(refused)?;
        for entry in table.iter().map_err(refused)? {
            let (key, mark) = entry.map_err(refused)?;
            marks.push((SessionKey(key.value()), mark.value().0));
        }
    }
    for entry in read
        .open_table(WHOLE)
        .map_err(refused)?
        .iter()
        .map_err(refused)?
    {
        let (node, incarnation) = entry.map_err(refused)?;
        recovered.complete_peers.push(Peer {
            node: NodeId(node.value()),
            incarnation: incarnation.value(),
        });
    }
    for entry in read
        .open_table(SEEN)
        .map_err(refused)?
        .iter()
        .map_err(refused)?
    {
        let (node, seen) = entry.map_err(refused)?;
        let (incarnation, disk, records) = seen.value();
        let peer = Peer {
            node: NodeId(node.value()),
            incarnation,
        };
        recovered.peer_stores.push((
            peer,
            StoreVersion {
                store_id: disk,
                records,
                last_incarnation: 0,
            },
        ));
    }
    if recovered.unbroken_since > last.saturating_add(1) {
        return Err(refused("its lives are out of order"));
    }
    Ok(last)
}

impl Disk for StoreFile {
    fn commit(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let done = catch_unwind(AssertUnwindSafe(|| self.write(records)));
        let done =
            done.unwrap_or_else(|_| Err(redb::Error::Corrupted("the library gave up".to_owned())));
        done.map_err(|e| StoreError(format!("store: {}: {e}", self.path.display())))
    }

    fn set_aside(&mut self) -> bool {
        std::fs::rename(&self.path, free_name(&self.path)).is_ok()
    }
}

/// A name beside a file that nothing has yet.
pub(crate) fn free_name(path: &Path) -> PathBuf {
    let name = |n: u64| {
        let mut name = path.as_os_str().to_owned();
        name.push(format!(".refused-{n}"));
        PathBuf::from(name)
    };
    let first = unix_ms();
    (first..)
        .map(name)
        .find(|name| !name.exists())
        .unwrap_or_else(|| name(first))
}
