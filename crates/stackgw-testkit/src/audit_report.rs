//! What clients of an audit saw, and the verdict on it. Field names in JSON are those of the command's output and must not
//! change.

use crate::replicated_log::ReadsByRole;
use crate::statistics::Percentiles;
use serde::Serialize;

/// The outcomes of requests of one kind. Serialized as a list, in this order.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(into = "[u64; 4]")]
pub struct RequestCounts {
    /// Served.
    pub served: u64,
    /// Rejected: they did not run and can be retried safely.
    pub rejected: u64,
    /// Failed: they may have run, or their gateway found them malformed.
    pub failed: u64,
    /// Without an answer because the connection closed, usually by the kill of a gateway.
    pub disconnected: u64,
}

impl From<RequestCounts> for [u64; 4] {
    fn from(counts: RequestCounts) -> Self {
        [
            counts.served,
            counts.rejected,
            counts.failed,
            counts.disconnected,
        ]
    }
}

impl RequestCounts {
    /// The number of requests with one of these outcomes. Unanswered requests and those with several answers are not
    /// included.
    pub fn total(self) -> u64 {
        <[u64; 4]>::from(self).iter().sum()
    }
}

/// The outcomes that clients saw.
#[derive(Debug, Default, Clone, Serialize)]
pub struct OutcomeCounts {
    /// Pairs of a served write and a served read.
    pub pairs: u64,
    /// Reads that missed their session's own write.
    pub misses: u64,
    /// Writes.
    pub writes: RequestCounts,
    /// Reads.
    pub reads: RequestCounts,
    /// Requests that got no answer although their connection stayed open.
    #[serde(rename = "lost")]
    pub unanswered: u64,
    /// Requests that got more than one answer.
    #[serde(rename = "twice")]
    pub duplicate_replies: u64,
}

/// The result of an audit.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Verdict {
    /// The audit's seed.
    pub seed: u64,
    /// The outcomes that clients saw.
    #[serde(flatten)]
    pub counts: OutcomeCounts,
    /// Writes that ran more than once.
    #[serde(rename = "doubled")]
    pub duplicate_writes: u64,
    /// Writes that were rejected as not run, but ran.
    #[serde(rename = "refused_and_ran")]
    pub rejected_but_executed: u64,
    /// Writes that were served, but never ran.
    #[serde(rename = "served_and_never_ran")]
    pub served_but_not_executed: u64,
    /// Kills of gateways.
    pub kills: u64,
    /// Reads by the role of the member that ran them.
    #[serde(rename = "reads_at")]
    pub reads_by_role: ReadsByRole,
    /// The latency of served writes, in microseconds.
    pub write_us: Percentiles,
    /// The latency of served reads, in microseconds.
    pub read_us: Percentiles,
    /// The duration of the audit, in seconds.
    pub seconds: f64,
    /// Descriptions of the first five misses.
    pub first_misses: Vec<String>,
}

impl Verdict {
    /// Whether no read missed a write, each request got one answer, no write ran twice, and each write ran if it was served
    /// and didn't run if it was rejected.
    pub fn is_good(&self) -> bool {
        let faults = [
            self.counts.misses,
            self.counts.unanswered,
            self.counts.duplicate_replies,
            self.duplicate_writes,
            self.rejected_but_executed,
            self.served_but_not_executed,
        ];
        faults.iter().all(|count| *count == 0)
    }
}
