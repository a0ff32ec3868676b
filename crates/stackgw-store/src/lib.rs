//! Durable state of one instance: the incarnation and session records ([`StoreFile`]) and the
//! cached endpoint list ([`EndpointListWriter`]). No other package writes files.
//!
//! - A file is verified before it is trusted. One that is damaged, or belongs to another cluster,
//!   instance or format version, is quarantined: moved to another name, never overwritten. The
//!   instance then starts without it.
//! - Commits are atomic, and durable once they are reported ([`DurableStore::commit`]).
//! - Writing blocks on the disk, so [`RecordWriter`] and [`EndpointListWriter`] do it on threads of
//!   their own.
//!
//! What records mean is the business of `stackgw-sessions`; this package does not know what is
//! decided by them.

mod endpoint_list;
mod error;
mod quarantine;
mod record_writer;
mod recovery;
mod store_file;
mod tables;
mod worker;

pub use endpoint_list::{read as read_endpoint_list, EndpointListWriter};
pub use error::{RejectReason, StoreError};
pub use quarantine::Quarantined;
pub use record_writer::{CommitOutcome, RecordWriter};
pub use store_file::{OpenedStore, StoreFile, StoreOwner};

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
