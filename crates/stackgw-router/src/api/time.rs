//! Moments and lengths of time.

/// A moment on the host's clock, in nanoseconds. Its zero has no meaning.
pub type Time = i64;
/// A length of time in nanoseconds.
pub type Span = i64;
/// One millisecond as a [`Span`].
pub const MS: Span = 1_000_000;
/// One second as a [`Span`].
pub const SECOND: Span = 1_000 * MS;
