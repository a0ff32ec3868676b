//! The outcomes of clients' requests in the first seconds of a fleet.

use crate::client::RequestOutcome;
use serde::Serialize;
use std::time::Duration;

/// The requests of one second. Serialized as a list, in this order.
#[derive(Debug, Clone, Copy, Default, Serialize)]
#[serde(into = "[u64; 3]")]
pub struct SecondCounts {
    /// Sent in this second.
    pub requests: u64,
    /// Requests of these that were served within the latency objective.
    pub served_in_time: u64,
    /// Requests of these that were served later.
    pub served_late: u64,
}

impl From<SecondCounts> for [u64; 3] {
    fn from(counts: SecondCounts) -> Self {
        [counts.requests, counts.served_in_time, counts.served_late]
    }
}

/// The outcomes of clients' requests.
#[derive(Debug, Clone, Default)]
pub struct ColdConnectReport {
    /// When each gateway reported that it was ready, in milliseconds since the start, in ascending order. Gateways that
    /// never did are left out.
    pub ready_ms: Vec<u64>,
    /// Requests sent.
    pub requests: u64,
    /// Served within the latency objective.
    pub served_in_time: u64,
    /// Served later.
    pub served_late: u64,
    /// Rejected.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Without an answer because the connection closed, usually by the kill of a gateway.
    pub disconnected: u64,
    /// Requests with no answer although the connection stayed open, or with more than one answer.
    pub lost: u64,
    /// Writes that ran more than once, or ran though they were rejected.
    pub duplicate_writes: u64,
    /// Counts for each second since the start, by the time at which requests were sent.
    pub seconds: Vec<SecondCounts>,
}

impl ColdConnectReport {
    /// The time at which this fraction of the fleet was ready; `None` if it never was.
    pub fn ready_time(&self, fraction: f64, fleet: usize) -> Option<Duration> {
        let count = (fraction * fleet as f64).ceil() as usize;
        let ready_ms = self.ready_ms.get(count.checked_sub(1)?)?;
        Some(Duration::from_millis(*ready_ms))
    }

    /// The fraction of sent requests that were served in time.
    pub fn served_fraction(&self) -> f64 {
        self.served_in_time as f64 / self.requests.max(1) as f64
    }

    /// The fraction of the requests sent in the first `seconds` that were served in time.
    pub fn served_fraction_within(&self, seconds: usize) -> f64 {
        let first = || self.seconds.iter().take(seconds);
        let served: u64 = first().map(|second| second.served_in_time).sum();
        let requests: u64 = first().map(|second| second.requests).sum();
        served as f64 / requests.max(1) as f64
    }

    /// The fraction of sent requests that were served, in time or late.
    pub fn answered_fraction(&self) -> f64 {
        (self.served_in_time + self.served_late) as f64 / self.requests.max(1) as f64
    }

    /// Counts a request that was sent in this second.
    pub(crate) fn count(&mut self, second: usize, outcome: &RequestOutcome, is_late: bool) {
        self.requests += 1;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondCounts::default());
        }
        let second = &mut self.seconds[second];
        second.requests += 1;
        match outcome {
            RequestOutcome::Served(_) if is_late => {
                second.served_late += 1;
                self.served_late += 1;
            }
            RequestOutcome::Served(_) => {
                second.served_in_time += 1;
                self.served_in_time += 1;
            }
            RequestOutcome::Rejected => self.rejected += 1,
            RequestOutcome::Failed | RequestOutcome::Malformed => self.failed += 1,
            RequestOutcome::Disconnected => self.disconnected += 1,
            RequestOutcome::TimedOut | RequestOutcome::DuplicateReply => self.lost += 1,
        }
    }
}
