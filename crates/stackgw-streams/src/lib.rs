//! Flow control for bulk streams that a gateway relays, and the assignment of requests to shared
//! connections.
//!
//! This is a core without I/O, clock or threads: the caller hands in the time and carries out what
//! is decided.
//!
//! - [`FlowControl`] decides which stream is read on at its member, which waits for buffer space,
//!   and which is ended: for a reader that makes no progress, for a member that stopped sending, or
//!   for its client's deadline.
//! - [`ChannelPool`] decides which of the connections to a member carries the next request, and
//!   when one is closed.
//!
//! It must not know the protocol, the messages of a stream or what a connection is made of.
//!
//! # Invariants
//!
//! The random histories under `tests/` assert these:
//!
//! - A stream buffers at most [`StreamLimits::bytes_per_stream`] and one message; all streams
//!   together buffer at most [`StreamLimits::bytes_total`] and one message for each stream.
//! - A stream whose reader has consumed all that arrived is always read on, whatever the others
//!   buffer: no reader waits for another one's.
//! - Buffer space that becomes free goes to the stream that has waited longest for it.
//! - A stream is ended once, for one reason.

mod channel_pool;
mod flow_control;
mod limits;

pub use channel_pool::{ChannelId, ChannelPool};
pub use flow_control::{ExpiredStream, FlowControl, StreamId};
pub use limits::{EndReason, StreamLimits, TooManyStreams};
