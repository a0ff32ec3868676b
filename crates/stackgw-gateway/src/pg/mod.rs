//! Version 3 of PostgreSQL's wire protocol, as far as the gateway speaks it: frames, the statement with its comment,
//! what it writes itself, and a member's reply. Incremental and without I/O.

mod frame;
mod reply;
mod statement;
pub mod write;

pub use frame::{BadFrame, Frame, FrameDecoder};
pub use reply::{column_value, parse_load_report, OutOfPlace, Reply, ReplyOutcome};
pub use statement::{Malformed, Statement};

/// Codes that stand where a startup packet has its version.
pub mod code {
    /// Version 3.0; its upper half is the major version.
    pub const VERSION_3: u32 = 3 << 16;
    /// A wish for TLS.
    pub const SSL: u32 = 80_877_103;
    /// A wish for GSSAPI encryption.
    pub const GSS: u32 = 80_877_104;
    /// A wish to cancel another connection's query.
    pub const CANCEL: u32 = 80_877_102;
}
