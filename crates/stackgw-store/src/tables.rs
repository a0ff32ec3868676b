//! The tables of a store's file, and how records change them. The names and types of the tables are
//! the stored format.

use redb::{Error, ReadableTable, Table, TableDefinition, WriteTransaction};
use stackgw_sessions::Record;

/// The version of the stored format.
pub(crate) const FORMAT_VERSION: u64 = 1;

/// Single values by name.
pub(crate) const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Positions replicated for other instances: session key to position and time of writing in Unix
/// milliseconds.
pub(crate) const POSITIONS: TableDefinition<u64, (i64, u64)> = TableDefinition::new("held");
/// Writes of this instance that some replica has not acknowledged, with the keys and values of
/// [`POSITIONS`].
pub(crate) const UNACKNOWLEDGED: TableDefinition<u64, (i64, u64)> = TableDefinition::new("owed");
/// Peers whose writes are all known: node to incarnation.
pub(crate) const COMPLETE_PEERS: TableDefinition<u64, u64> = TableDefinition::new("whole");
/// Versions of the stores of peers: node to incarnation, store id and number of records.
pub(crate) const PEER_STORES: TableDefinition<u64, (u64, u64, u64)> = TableDefinition::new("seen");

/// Names of the values in [`META`].
pub(crate) mod meta {
    pub(crate) const VERSION: &str = "version";
    pub(crate) const CLUSTER: &str = "cluster";
    pub(crate) const NODE: &str = "node";
    pub(crate) const INCARNATION: &str = "incarnation";
    pub(crate) const UNBROKEN_SINCE: &str = "unbroken_since";
    pub(crate) const STORE_ID: &str = "disk";
    pub(crate) const RECORDS: &str = "records";
    pub(crate) const REPLICA_SET: &str = "roster";
}

/// All tables, open for writing within one transaction.
pub(crate) struct Tables<'txn> {
    pub(crate) meta: Table<'txn, &'static str, u64>,
    positions: Table<'txn, u64, (i64, u64)>,
    unacknowledged: Table<'txn, u64, (i64, u64)>,
    complete_peers: Table<'txn, u64, u64>,
    peer_stores: Table<'txn, u64, (u64, u64, u64)>,
}

impl<'txn> Tables<'txn> {
    /// Opens the tables, and creates those that do not exist.
    pub(crate) fn open(transaction: &'txn WriteTransaction) -> Result<Self, Error> {
        Ok(Tables {
            meta: transaction.open_table(META)?,
            positions: transaction.open_table(POSITIONS)?,
            unacknowledged: transaction.open_table(UNACKNOWLEDGED)?,
            complete_peers: transaction.open_table(COMPLETE_PEERS)?,
            peer_stores: transaction.open_table(PEER_STORES)?,
        })
    }

    /// Applies records with `now_ms` as their time of writing, and updates the number of records,
    /// which an invalidation sets to that of its version.
    pub(crate) fn apply_all(&mut self, records: &[Record], now_ms: u64) -> Result<(), Error> {
        let mut count = self
            .meta
            .get(meta::RECORDS)?
            .map_or(0, |number| number.value());
        for record in records {
            count += 1;
            self.apply(record, now_ms)?;
            if let Record::Invalidated(version, _) = record {
                count = version.records;
            }
        }
        self.meta.insert(meta::RECORDS, count)?;
        Ok(())
    }

    fn apply(&mut self, record: &Record, now_ms: u64) -> Result<(), Error> {
        match record {
            Record::ReplicaSet(digest) => self.set_replica_set(*digest),
            Record::Position(key, position) => {
                insert_max(&mut self.positions, key.0, *position, now_ms)
            }
            Record::Unacknowledged(key, position) => {
                insert_max(&mut self.unacknowledged, key.0, *position, now_ms)
            }
            Record::CompletePeer(peer) => {
                self.complete_peers.insert(peer.node.0, peer.incarnation)?;
                Ok(())
            }
            Record::PeerStore(peer, version) => {
                let value = (peer.incarnation, version.store_id, version.records);
                self.peer_stores.insert(peer.node.0, value)?;
                Ok(())
            }
            Record::Invalidated(version, unbroken_since) => {
                self.meta.insert(meta::STORE_ID, version.store_id)?;
                self.meta.insert(meta::UNBROKEN_SINCE, *unbroken_since)?;
                self.complete_peers.retain(|_, _| false)?;
                Ok(())
            }
        }
    }

    /// Stores the replica set. If it differs from the known one, the complete peers are forgotten,
    /// because completeness holds only within one replica set.
    fn set_replica_set(&mut self, digest: u64) -> Result<(), Error> {
        let unchanged = self
            .meta
            .get(meta::REPLICA_SET)?
            .is_some_and(|known| known.value() == digest);
        if !unchanged {
            self.meta.insert(meta::REPLICA_SET, digest)?;
            self.complete_peers.retain(|_, _| false)?;
        }
        Ok(())
    }

    /// Removes positions whose time of writing, in Unix milliseconds, is not recent.
    pub(crate) fn prune(&mut self, is_recent: impl Fn(u64) -> bool) -> Result<(), Error> {
        let is_retained = |_: u64, (_, written_ms): (i64, u64)| is_recent(written_ms);
        self.positions.retain(is_retained)?;
        self.unacknowledged.retain(is_retained)?;
        Ok(())
    }
}

/// Stores a position unless a higher one is stored already. The time of writing becomes `now_ms` in
/// either case.
fn insert_max(
    table: &mut Table<'_, u64, (i64, u64)>,
    key: u64,
    position: i64,
    now_ms: u64,
) -> Result<(), Error> {
    let known = table.get(key)?.map(|entry| entry.value().0);
    let position = known.map_or(position, |known| known.max(position));
    table.insert(key, (position, now_ms))?;
    Ok(())
}
