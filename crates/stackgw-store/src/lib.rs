//! Durable state of one instance: the incarnation and session records ([`StoreFile`]) and the
//! cached endpoint list ([`EndpointListWriter`]). No other package of the gateway writes files.
//!
//! - A file is verified before it is used. A file that is damaged or has another format version, and
//!   a store of another cluster or instance, is quarantined: it is renamed and never overwritten.
//!   The instance then starts without it. The list of another list service is not used, and is
//!   replaced by the next list that is written.
//! - Commits are atomic, and durable when [`DurableStore::commit`] returns.
//! - Writing blocks on the disk, so [`RecordWriter`] and [`EndpointListWriter`] write on threads of
//!   their own.
//!
//! `stackgw-sessions` defines what records mean and makes the decisions; this package only stores
//! them.

mod durable_store;
mod endpoint_list;
mod error;
mod owner;
mod quarantine;
mod record_writer;
mod recovery;
mod store_file;
mod tables;
mod worker;

pub use durable_store::DurableStore;
pub use endpoint_list::{read as read_endpoint_list, EndpointListWriter};
pub use error::{RejectReason, StoreError};
pub use owner::StoreOwner;
pub use quarantine::Quarantined;
pub use record_writer::{CommitOutcome, RecordWriter};
pub use store_file::{OpenedStore, StoreFile};
