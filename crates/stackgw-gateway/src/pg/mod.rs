//! Version 3 of PostgreSQL's wire protocol, as far as the gateway speaks it: messages on a byte stream, statements with their
//! comment, replies of members, and the messages that the gateway writes itself.
//!
//! All of it is incremental and without I/O, every size has a limit, and nothing here decides what happens to a request.

mod frame;
mod load_report;
pub mod message_kind;
mod reply;
mod sql;
mod statement;
pub mod write;

pub use frame::{Frame, FrameDecoder, FrameError};
pub use load_report::parse_load_report;
pub use reply::{column_value, Reply, ReplyOutcome, UnexpectedMessage};
pub use sql::StatementTarget;
pub use statement::{Statement, StatementError};

/// Codes that stand where a startup packet has its version.
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
