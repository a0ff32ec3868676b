//! The interface between the record writer and a store.

use crate::error::StoreError;
use stackgw_sessions::Record;

/// Durable storage of records.
pub trait DurableStore: Send {
    /// Stores these records; they are durable when this returns.
    ///
    /// # Errors
    /// If the commit fails. The caller must treat none of the records as stored, and must not commit
    /// to the store again.
    fn commit(&mut self, records: &[Record]) -> Result<(), StoreError>;

    /// Quarantines the store, so that later incarnations do not read it.
    ///
    /// # Errors
    /// If the store cannot be moved. It is still at its path.
    fn quarantine(&mut self) -> Result<(), StoreError>;
}
