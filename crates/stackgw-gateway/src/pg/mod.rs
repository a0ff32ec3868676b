//! The part of version 3 of PostgreSQL's wire protocol that the gateway supports: messages on a byte stream, statements with
//! their comment, replies of members, and the messages that the gateway writes itself.
//!
//! The parsers are incremental, do no I/O, limit every size and make no decisions about requests.

mod frame;
mod load_report;
pub mod message_kind;
mod reply;
mod sql;
mod statement;
pub mod write;

pub use frame::{Frame, FrameDecoder, FrameError};
pub use load_report::parse_load_report;
pub use reply::{column_value, Reply, ReplyError, ReplyOutcome, MAX_REPLY_MESSAGES};
pub use sql::StatementTarget;
pub use statement::{Statement, StatementError};

/// Codes in the version field of a startup packet.
pub mod code {
    /// Version 3.0; its upper half is the major version.
    pub const VERSION_3: u32 = 3 << 16;
    /// A request for TLS.
    pub const SSL: u32 = 80_877_103;
    /// A request for GSSAPI encryption.
    pub const GSS: u32 = 80_877_104;
    /// A request to cancel another connection's query.
    pub const CANCEL: u32 = 80_877_102;
}
