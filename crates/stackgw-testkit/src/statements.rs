//! The statements of the fakes: their group, classes and texts.

use std::time::Duration;

/// The number of the only replication group.
pub const GROUP: u32 = 2;

/// The bound on staleness of the class [`BOUNDED_READ_CLASS`].
pub(crate) const STALENESS_BOUND_MS: u64 = 2_000;

/// The class of reads whose staleness is bounded.
pub(crate) const BOUNDED_READ_CLASS: &str = "look";

/// The class of reads that show their session's own writes.
pub(crate) const SESSION_READ_CLASS: &str = "mine";

/// The class of writes.
pub(crate) const WRITE_CLASS: &str = "buy";

/// The keyword at the start of a write.
pub(crate) const WRITE_KEYWORD: &str = "INSERT";

/// The statement of a health check.
pub(crate) const HEALTH_CHECK: &str = "SHOW server_load";

/// The default timeout of reads.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The default timeout of writes.
pub(crate) const WRITE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A write of this value, with the default timeout.
pub(crate) fn write_statement(id: &str, key: &str, value: u64) -> String {
    timed_write_statement(id, key, value, WRITE_TIMEOUT)
}

/// A write of this value, with this timeout.
pub(crate) fn timed_write_statement(id: &str, key: &str, value: u64, timeout: Duration) -> String {
    let timeout_ms = timeout.as_millis();
    format!(
        "INSERT INTO state (uid, val) VALUES ('{key}', '\\x{value:016x}') RETURNING val \
         /* id={id},c={WRITE_CLASS},d={timeout_ms},cluster={GROUP} */"
    )
}

/// A read of this class, with this timeout.
pub(crate) fn timed_read_statement(id: &str, key: &str, class: &str, timeout: Duration) -> String {
    let timeout_ms = timeout.as_millis();
    format!(
        "SELECT val FROM state WHERE uid = '{key}' /* id={id},c={class},d={timeout_ms},cluster={GROUP} */"
    )
}

/// A read of this class, with the default timeout.
pub(crate) fn read_statement(id: &str, key: &str, class: &str) -> String {
    timed_read_statement(id, key, class, READ_TIMEOUT)
}
