//! Flow control for bulk streams that a gateway relays, and the assignment of requests to shared
//! connections.
//!
//! This crate has no I/O, clock or threads: the caller passes in the current time and carries out
//! the decisions.
//!
//! - [`FlowControl`] decides which stream may read its next message from its member, which waits
//!   for buffer space, and which is ended: because its reader makes no progress, because its member
//!   stopped sending, or because its client's deadline has passed.
//! - [`ChannelPool`] decides which of the connections to a member carries the next request, and
//!   when a connection is closed.
//!
//! This crate does not depend on the protocol, the messages of a stream or the transport.
//!
//! # Invariants
//!
//! The tests in `tests/histories.rs` check these:
//!
//! - A stream buffers at most [`StreamLimits::bytes_per_stream`] plus one message; all streams
//!   together buffer at most [`StreamLimits::bytes_total`] plus one message per stream.
//! - A stream that buffers nothing may read until its member has sent its last message, regardless
//!   of how much the other streams buffer: no reader waits for another reader. This requires that
//!   [`StreamLimits::bytes_per_stream`] is not 0.
//! - Freed buffer space goes to the stream that has waited longest for it.
//! - A stream is ended once, for one reason.

mod channel_pool;
mod flow_control;
mod limits;

pub use channel_pool::{ChannelId, ChannelPool};
pub use flow_control::{ExpiredStream, FlowControl, StreamId};
pub use limits::{EndReason, StreamLimits, TooManyStreams};
