//! Limits of streams, and the reasons for which a stream is rejected or ended.

use stackgw_router::api::Span;
use std::fmt;

/// Limits of a gateway's bulk streams. Sizes are in bytes, times in nanoseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamLimits {
    /// Maximum number of streams open at once.
    pub max_streams: usize,
    /// A stream that buffers this much reads no further messages. If this is 0, no stream reads
    /// any.
    pub bytes_per_stream: usize,
    /// Once all streams together buffer this much, only streams that buffer nothing may read.
    pub bytes_total: usize,
    /// A stream is ended if its reader consumes nothing for this long while messages are buffered.
    pub reader_timeout: Span,
    /// A stream is ended if its member sends nothing for this long while it is being read.
    pub member_timeout: Span,
}

/// Why a stream was ended by the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndReason {
    /// The reader consumed nothing for [`StreamLimits::reader_timeout`].
    SlowReader,
    /// The member sent nothing for [`StreamLimits::member_timeout`] while it was being read.
    UnresponsiveMember,
    /// The client's deadline has passed.
    DeadlineExceeded,
}

impl fmt::Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EndReason::SlowReader => "the stream was not read for too long",
            EndReason::UnresponsiveMember => {
                "the member stopped sending in the middle of the stream"
            }
            EndReason::DeadlineExceeded => "the time is over",
        })
    }
}

/// The limit [`StreamLimits::max_streams`] is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooManyStreams;

impl fmt::Display for TooManyStreams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("too many streams are open")
    }
}

impl std::error::Error for TooManyStreams {}
