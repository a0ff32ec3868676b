//! Bulk streams that pass through a gateway: what its memory and its readers allow. Without I/O, clock or threads; the time
//! is handed in.
//!
//! [`FlowControl`] decides which stream is read on at its member, which waits for room, and which is ended: for a reader that
//! stands still, for a member that fell silent, for its client's time. [`ChannelPool`] decides which of the connections to a
//! member carries the next request, and when one is closed.
//!
//! What holds at all times, and is asserted by the random histories under `tests/`:
//!
//! - A stream holds at most [`StreamLimits::bytes_per_stream`] and one message; all of them together hold at most [`StreamLimits::bytes_total`] and one message
//!   for each stream.
//! - A stream whose reader has taken all that came is always read on, whatever the others hold: no reader waits for another
//!   one's.
//! - Room that becomes free goes to whoever has waited longest for it.
//! - A stream ends by one word, once.

mod channel_pool;
mod flow_control;

pub use channel_pool::{ChannelId, ChannelPool};
pub use flow_control::{EndReason, FlowControl, StreamId, StreamLimits, TooManyStreams};
