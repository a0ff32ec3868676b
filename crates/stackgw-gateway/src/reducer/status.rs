//! The status of a member for the log and for status queries.

use stackgw_router::api::{MemberSnapshot, Time, MS};

/// The router's assessment of a member, and the attempts that are open on connections to it.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberStatus {
    /// The member's name.
    pub name: String,
    /// The router's assessment.
    pub snapshot: MemberSnapshot,
    /// Open attempts on connections to it.
    pub attempts: u32,
}

impl MemberStatus {
    /// Returns the log line of a report.
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
