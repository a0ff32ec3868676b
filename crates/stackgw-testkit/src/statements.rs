//! The statements of the fakes: their group, their classes and their texts.

use std::time::Duration;

/// The number of the one replication group.
pub const GROUP: u32 = 2;

/// The bound on staleness of the class [`BOUNDED_READ_CLASS`].
pub(crate) const STALENESS_BOUND_MS: u64 = 2_000;

/// The class of reads whose staleness is bounded.
pub(crate) const BOUNDED_READ_CLASS: &str = "look";

/// The class of reads that show their session's own writes.
pub(crate) const SESSION_READ_CLASS: &str = "mine";

/// The class of writes.
pub(crate) const WRITE_CLASS: &str = "buy";

/// How a write's text begins.
pub(crate) const WRITE_KEYWORD: &str = "INSERT";

/// The statement of a health check.
pub(crate) const HEALTH_CHECK: &str = "SHOW server_load";

/// How long clients wait for reads.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long clients wait for writes.
pub(crate) const WRITE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A write of this value.
pub(crate) fn write_statement(id: &str, key: &str, value: u64) -> String {
    timed_write_statement(id, key, value, WRITE_TIMEOUT)
}

/// A write of this value with so much time for its answer.
pub(crate) fn timed_write_statement(id: &str, key: &str, value: u64, timeout: Duration) -> String {
    let timeout_ms = timeout.as_millis();
    format!(
        "INSERT INTO state (uid, val) VALUES ('{key}', '\\x{value:016x}') RETURNING val \
         /* id={id},c={WRITE_CLASS},d={timeout_ms},cluster={GROUP} */"
    )
}

/// A read of this class with so much time for its answer.
pub(crate) fn timed_read_statement(id: &str, key: &str, class: &str, timeout: Duration) -> String {
    let timeout_ms = timeout.as_millis();
    format!(
        "SELECT val FROM state WHERE uid = '{key}' /* id={id},c={class},d={timeout_ms},cluster={GROUP} */"
    )
}

/// A read of this class.
pub(crate) fn read_statement(id: &str, key: &str, class: &str) -> String {
    timed_read_statement(id, key, class, READ_TIMEOUT)
}
