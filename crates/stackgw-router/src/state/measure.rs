//! Measured values: latencies, a value for each role, throughput, and a hash where routers must differ.

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
    /// The same value for both.
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

/// The latency ratio (answer time over its objective) of one answer, or the mean of several.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LatencySample {
    pub(crate) ratio: f64,
    /// How many answers it stands for.
    pub(crate) count: u32,
    /// It is of an answer that served a request of this router.
    pub(crate) is_served: bool,
}

impl LatencySample {
    /// Of a request that this router had served.
    pub(crate) fn served(ratio: f64) -> Self {
        LatencySample { ratio, count: 1, is_served: true }
    }

    /// Of a request that was not served, or of requests that other routers had served.
    pub(crate) fn unserved(ratio: f64, count: u32) -> Self {
        LatencySample { ratio, count, is_served: false }
    }
}

/// What the end of an attempt says of its member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Assessment {
    /// Added to its failure score.
    pub(crate) failures: u32,
    /// `None`: nothing was learned of its latency.
    pub(crate) latency: Option<LatencySample>,
}

/// Answers counted over a period, and the throughput of a warm member that follows from them.
#[derive(Debug, Default)]
pub(crate) struct ThroughputMeter {
    /// Answers since the period began.
    pub(crate) answers: ByRole,
    period_start: Time,
    /// Smoothed answers per second that one warm member gives this router.
    pub(crate) warm_by_role: ByRole,
}

impl ThroughputMeter {
    /// How long the present period has lasted.
    pub(crate) fn period(&self, now: Time) -> Span {
        now - self.period_start
    }

    /// Answers in this period, per second and member, of so many members in one role.
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

    /// Takes over a throughput from elsewhere unless something was measured here.
    pub(crate) fn seed(&mut self, rate: f64) {
        if self.warm() <= 0.0 {
            self.warm_by_role = ByRole::both(rate);
        }
    }
}

/// Moves a smoothed value towards a sample by this share of the way.
pub(crate) fn smooth(value: &mut f64, sample: f64, share: f64) {
    *value += (sample - *value) * share;
}

/// A share below one that differs between routers and members, and is the same for the same input.
pub(crate) fn hash_fraction(input: u64) -> f64 {
    let mixed = (input ^ (input >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    ((mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 40) as f64 / (1u64 << 24) as f64
}
