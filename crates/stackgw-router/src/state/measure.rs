//! Measurements: latency, values by role, throughput, and a hash that varies decisions between routers.

use crate::api::{Span, Time, SECOND};

/// The two roles that a member can have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    Replica,
    Primary,
}

impl Role {
    pub(crate) fn primary_if(is_primary: bool) -> Self {
        if is_primary {
            Role::Primary
        } else {
            Role::Replica
        }
    }
}

/// A value for all replicas and one for all primaries.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct ByRole {
    replica: f64,
    primary: f64,
}

impl ByRole {
    /// The same value for both roles.
    pub(crate) fn both(value: f64) -> Self {
        ByRole { replica: value, primary: value }
    }

    pub(crate) fn get(&self, role: Role) -> f64 {
        match role {
            Role::Replica => self.replica,
            Role::Primary => self.primary,
        }
    }

    pub(crate) fn get_mut(&mut self, role: Role) -> &mut f64 {
        match role {
            Role::Replica => &mut self.replica,
            Role::Primary => &mut self.primary,
        }
    }
}

/// Latency ratio (response time divided by the latency objective) of one answer, or the mean of several.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LatencySample {
    pub(crate) ratio: f64,
    /// Number of answers in the mean.
    pub(crate) count: u32,
    /// Whether the answer served a request of this router.
    pub(crate) is_served: bool,
}

impl LatencySample {
    /// Sample of an answer that served a request of this router.
    pub(crate) fn served(ratio: f64) -> Self {
        LatencySample { ratio, count: 1, is_served: true }
    }

    /// Sample of a request that was not served, or of answers to other routers.
    pub(crate) fn unserved(ratio: f64, count: u32) -> Self {
        LatencySample { ratio, count, is_served: false }
    }
}

/// Effect of an attempt's result on its member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Assessment {
    /// Added to the member's failure score.
    pub(crate) failures: u32,
    /// `None` if the result is no measure of the member's latency.
    pub(crate) latency: Option<LatencySample>,
}

/// Counts answers per period and derives the throughput of a warm member.
#[derive(Debug, Default)]
pub(crate) struct ThroughputMeter {
    /// Answers in the current period.
    pub(crate) answers: ByRole,
    period_start: Time,
    /// Smoothed answers per second of one warm member to this router.
    pub(crate) warm_by_role: ByRole,
}

impl ThroughputMeter {
    /// Duration of the current period so far.
    pub(crate) fn period(&self, now: Time) -> Span {
        now - self.period_start
    }

    /// Answers per second and member in the current period, for a role with this number of members.
    pub(crate) fn rate(&self, now: Time, role: Role, members: usize) -> f64 {
        let answers_each = self.answers.get(role) / members.max(1) as f64;
        answers_each * SECOND as f64 / self.period(now) as f64
    }

    pub(crate) fn start_period(&mut self, now: Time) {
        self.period_start = now;
        self.answers = ByRole::default();
    }

    /// Answers per second of a warm member in the busier role.
    pub(crate) fn warm(&self) -> f64 {
        self.warm_by_role.replica.max(self.warm_by_role.primary)
    }

    /// Sets the throughput of a warm member unless a value is known already.
    pub(crate) fn seed(&mut self, rate: f64) {
        if self.warm() <= 0.0 {
            self.warm_by_role = ByRole::both(rate);
        }
    }
}

/// Exponential smoothing: moves `value` toward `sample` by `share` of the difference.
pub(crate) fn smooth(value: &mut f64, sample: f64, share: f64) {
    *value += (sample - *value) * share;
}

/// Hashes the input to a fraction in [0, 1), so that routers and members with different inputs differ.
pub(crate) fn hash_fraction(input: u64) -> f64 {
    let mixed = (input ^ (input >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    ((mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 40) as f64 / (1u64 << 24) as f64
}
