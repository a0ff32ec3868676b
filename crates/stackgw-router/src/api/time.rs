//! Points in time and durations.

/// A point in time on the host's clock, in nanoseconds from an arbitrary origin.
pub type Time = i64;
/// A duration in nanoseconds.
pub type Span = i64;
/// One millisecond as a [`Span`].
pub const MS: Span = 1_000_000;
/// One second as a [`Span`].
pub const SECOND: Span = 1_000 * MS;
