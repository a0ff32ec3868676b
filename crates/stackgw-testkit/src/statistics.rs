//! Statistics of series of measurements.

use serde::Serialize;
use std::time::Duration;

/// The window over which peaks of requests and connections are counted.
pub(crate) const PEAK_WINDOW: Duration = Duration::from_millis(100);

/// The 50th and the 99th percentile, in microseconds. Serialized as a list of the two.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(into = "[u64; 2]")]
pub struct Percentiles {
    /// Half of the values are at most this.
    pub p50: u64,
    /// 99% of the values are at most this.
    pub p99: u64,
}

impl From<Percentiles> for [u64; 2] {
    fn from(percentiles: Percentiles) -> Self {
        [percentiles.p50, percentiles.p99]
    }
}

impl Percentiles {
    /// The percentiles of these values, which are sorted in place; 0 if there are no values.
    pub(crate) fn of(values: &mut [u64]) -> Self {
        values.sort_unstable();
        let at = |fraction: f64| {
            let index = (values.len() as f64 * fraction) as usize;
            values.get(index).copied().unwrap_or(0)
        };
        Percentiles {
            p50: at(0.5),
            p99: at(0.99),
        }
    }
}

/// The most events within any window of this length. The times must be in ascending order.
pub fn peak_in_window(times: impl IntoIterator<Item = Duration>, window: Duration) -> usize {
    let times: Vec<_> = times.into_iter().collect();
    let mut first = 0;
    let mut peak = 0;
    for (index, at) in times.iter().enumerate() {
        while *at - times[first] >= window {
            first += 1;
        }
        peak = peak.max(index + 1 - first);
    }
    peak
}
