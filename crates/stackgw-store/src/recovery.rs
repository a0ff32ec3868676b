//! Reads the state that earlier incarnations left in a store's file.

use crate::error::RejectReason;
use crate::owner::StoreOwner;
use crate::tables::{
    meta, COMPLETE_PEERS, FORMAT_VERSION, META, PEER_STORES, POSITIONS, UNACKNOWLEDGED,
};
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition};
use stackgw_router::api::Time;
use stackgw_sessions::{NodeId, Peer, Recovered, SessionKey, StoreVersion};

/// Reads and checks the file. `store_version.last_incarnation` of the result is the last
/// incarnation that wrote to it.
pub(crate) fn recover(database: &Database, owner: &StoreOwner) -> Result<Recovered, RejectReason> {
    let transaction = database.begin_read().map_err(RejectReason::unreadable)?;
    let values = MetaValues::read(&transaction)?;
    values.check_owner(owner)?;
    let mut recovered = values.recovered()?;
    recovered.positions = read_positions(&transaction, POSITIONS)?;
    recovered.unacknowledged = read_positions(&transaction, UNACKNOWLEDGED)?;
    recovered.complete_peers = read_complete_peers(&transaction)?;
    recovered.peer_stores = read_peer_stores(&transaction)?;
    let last = recovered.store_version.last_incarnation;
    // No incarnation can follow `u64::MAX`, and the unbroken history cannot begin later than the
    // incarnation after the last one.
    if last == u64::MAX || recovered.unbroken_since > last + 1 {
        return Err(RejectReason::IncarnationOrder);
    }
    Ok(recovered)
}

/// The table [`META`], which has single values by name.
struct MetaValues(redb::ReadOnlyTable<&'static str, u64>);

impl MetaValues {
    fn read(transaction: &ReadTransaction) -> Result<Self, RejectReason> {
        transaction
            .open_table(META)
            .map(MetaValues)
            .map_err(RejectReason::unreadable)
    }

    fn find(&self, name: &'static str) -> Result<Option<u64>, RejectReason> {
        let value = self.0.get(name).map_err(RejectReason::unreadable)?;
        Ok(value.map(|value| value.value()))
    }

    fn get(&self, name: &'static str) -> Result<u64, RejectReason> {
        self.find(name)?.ok_or(RejectReason::Missing(name))
    }

    fn check_owner(&self, owner: &StoreOwner) -> Result<(), RejectReason> {
        let version = self.get(meta::VERSION)?;
        if version != FORMAT_VERSION {
            return Err(RejectReason::Version(version));
        }
        if self.get(meta::CLUSTER)? != NodeId::of(&owner.cluster).0 {
            return Err(RejectReason::OtherCluster(owner.cluster.clone()));
        }
        if self.get(meta::NODE)? != owner.node.0 {
            return Err(RejectReason::OtherInstance);
        }
        Ok(())
    }

    /// The recovered state as far as the single values give it; the lists are empty.
    fn recovered(&self) -> Result<Recovered, RejectReason> {
        Ok(Recovered {
            unbroken_since: self.get(meta::UNBROKEN_SINCE)?,
            store_version: StoreVersion {
                last_incarnation: self.get(meta::INCARNATION)?,
                store_id: self.get(meta::STORE_ID)?,
                records: self.get(meta::RECORDS)?,
            },
            replica_set: self.find(meta::REPLICA_SET)?,
            ..Recovered::default()
        })
    }
}

fn read_positions(
    transaction: &ReadTransaction,
    table: TableDefinition<u64, (i64, u64)>,
) -> Result<Vec<(SessionKey, Time)>, RejectReason> {
    let table = transaction
        .open_table(table)
        .map_err(RejectReason::unreadable)?;
    let entries = table.iter().map_err(RejectReason::unreadable)?;
    entries
        .map(|entry| {
            let (key, value) = entry.map_err(RejectReason::unreadable)?;
            let (position, _) = value.value();
            Ok((SessionKey(key.value()), position))
        })
        .collect()
}

fn read_complete_peers(transaction: &ReadTransaction) -> Result<Vec<Peer>, RejectReason> {
    let table = transaction
        .open_table(COMPLETE_PEERS)
        .map_err(RejectReason::unreadable)?;
    let entries = table.iter().map_err(RejectReason::unreadable)?;
    entries
        .map(|entry| {
            let (node, incarnation) = entry.map_err(RejectReason::unreadable)?;
            Ok(Peer {
                node: NodeId(node.value()),
                incarnation: incarnation.value(),
            })
        })
        .collect()
}

fn read_peer_stores(
    transaction: &ReadTransaction,
) -> Result<Vec<(Peer, StoreVersion)>, RejectReason> {
    let table = transaction
        .open_table(PEER_STORES)
        .map_err(RejectReason::unreadable)?;
    let entries = table.iter().map_err(RejectReason::unreadable)?;
    entries
        .map(|entry| {
            let (node, value) = entry.map_err(RejectReason::unreadable)?;
            let (incarnation, store_id, records) = value.value();
            let peer = Peer {
                node: NodeId(node.value()),
                incarnation,
            };
            Ok((
                peer,
                StoreVersion {
                    store_id,
                    records,
                    last_incarnation: 0,
                },
            ))
        })
        .collect()
}
