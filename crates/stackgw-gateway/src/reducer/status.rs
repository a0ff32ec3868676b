//! The status of a member for the log and for status queries.

use stackgw_router::api::{MemberSnapshot, Time, MS};

/// The router's assessment of a member, and the number of attempts on connections to it.
///
/// The counts of the two can differ: the router counts an attempt as in flight until its outcome is reported to it, the gateway
/// as long as the attempt occupies a connection. A stream that pauses for its reader is reported to the router at the first
/// pause, but occupies its connection until it ends.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberStatus {
    /// The member's name; `?` if the gateway does not know it.
    pub name: String,
    /// The router's assessment, with the router's count of requests in flight.
    pub snapshot: MemberSnapshot,
    /// Attempts that occupy a connection to the member, as the gateway counts them.
    pub attempts: u32,
}

impl MemberStatus {
    /// Returns the member's line in the periodic log report.
    pub(crate) fn log_line(&self, now: Time) -> String {
        let MemberSnapshot {
            in_flight,
            ejected,
            latency_ratio,
            concurrency_limit,
            position,
        } = self.snapshot;
        let age = position.map_or("unknown".to_owned(), |at| {
            format!("{} ms old", (now - at) / MS)
        });
        let suffix = if ejected {
            ", ejected except for half-open attempts"
        } else {
            ""
        };
        let (name, attempts) = (&self.name, self.attempts);
        format!(
            "member {name}: {in_flight} in flight ({attempts} on connections), limit {concurrency_limit:.1}, \
             latency ratio {latency_ratio:.2}, position {age}{suffix}"
        )
    }
}
