//! What an instance keeps on a lasting disk: its incarnation and the records of its sessions. Nothing else writes files.
//!
//! A file is judged before it is believed: one that is damaged, of another cluster, instance or version is set aside under
//! another name, never written over, and the instance starts without one, cautiously. Commits are whole or not there, each on
//! the disk before it is said to be ([`Disk::commit`]); [`RecordWriter`] does them in batches on a thread of its own.

mod endpoint_list;
mod record_writer;
mod store_file;
mod worker;

pub use endpoint_list::{read as read_endpoint_list, EndpointListWriter};
pub use record_writer::{CommitOutcome, RecordWriter};
pub use store_file::{OpenedStore, StoreFile, StoreOwner};

use stackgw_sessions::Record;

/// Why something did not get onto the disk, in one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreError(pub String);

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StoreError {}

/// Somewhere that records last.
pub trait Disk: Send {
    /// Keeps these records; they last once this returns.
    fn commit(&mut self, records: &[Record]) -> Result<(), StoreError>;

    /// Gives up: what is there must not be read by a later life. Whether that could be done.
    fn set_aside(&mut self) -> bool;
}
