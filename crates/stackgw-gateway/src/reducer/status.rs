//! What the reducer shows of a member.

use stackgw_router::api::{MemberSnapshot, Time, MS};

/// A member as the router assesses it, and the attempts that are open on connections to it.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberStatus {
    /// The member's name.
    pub name: String,
    /// The router's assessment.
    pub snapshot: MemberSnapshot,
    /// Attempts on connections to it.
    pub attempts: u32,
}

impl MemberStatus {
    /// One line for the log.
    pub(crate) fn log_line(&self, now: Time) -> String {
        let MemberSnapshot {
            in_flight,
            ejected,
            latency_ratio,
            concurrency_limit,
            position,
        } = self.snapshot;
        let age = position.map_or("never heard".to_owned(), |at| {
            format!("{} ms old", (now - at) / MS)
        });
        let suffix = if ejected {
            ", left out but for trials"
        } else {
            ""
        };
        let (name, attempts) = (&self.name, self.attempts);
        format!(
            "member {name}: {in_flight} in flight ({attempts} on connections), limit {concurrency_limit:.1}, \
             strain {latency_ratio:.2}, position {age}{suffix}"
        )
    }
}
