//! What the writer of records needs of a store.

use crate::error::StoreError;
use stackgw_sessions::Record;

/// Durable storage of records.
pub trait DurableStore: Send {
    /// Stores these records; they are durable once this returns.
    ///
    /// # Errors
    /// None of the records may be taken for stored, and the store takes no more.
    fn commit(&mut self, records: &[Record]) -> Result<(), StoreError>;

    /// Gives the store up: later incarnations must not read it.
    ///
    /// # Errors
    /// The store is still where it was.
    fn quarantine(&mut self) -> Result<(), StoreError>;
}
