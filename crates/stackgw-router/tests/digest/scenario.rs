//! Random parameters of one history: the router's settings, the load on its members, and how often events occur.

use stackgw_router::api::*;

/// A seeded pseudorandom number generator (splitmix64).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Between 0 and 1, both excluded.
    pub fn fraction(&mut self) -> f64 {
        ((self.next() >> 12) as f64 + 0.5) / (1u64 << 52) as f64
    }

    pub fn chance(&mut self, probability: f64) -> bool {
        self.fraction() < probability
    }

    /// A whole number below `end`.
    pub fn below(&mut self, end: usize) -> usize {
        (self.next() % end as u64) as usize
    }

    pub fn between(&mut self, low: i64, high: i64) -> i64 {
        low + (self.next() % (high - low + 1) as u64) as i64
    }

    pub fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len())]
    }

    /// An exponentially distributed time with this mean.
    pub fn exponential(&mut self, mean: Span) -> Span {
        (-self.fraction().ln() * mean as f64) as Span
    }
}

/// Index of the first write class; the classes before it are reads.
pub const FIRST_WRITE: usize = 5;

fn classes(random: &mut Random) -> Vec<Class> {
    let bound = random.pick(&[150 * MS, 500 * MS, 2 * SECOND]);
    let window = random.pick(&[300 * MS, 2 * SECOND]);
    let keyed = |scope| Idempotency::WithKey { scope, window };
    let kinds = [
        (Consistency::BoundedStaleness(bound), Idempotency::Idempotent),
        (Consistency::ReadYourWrites, Idempotency::Idempotent),
        (Consistency::Eventual, Idempotency::Idempotent),
        (Consistency::Strong, Idempotency::Idempotent),
        (Consistency::BoundedStaleness(4 * bound), Idempotency::NonIdempotent),
        (Consistency::Write, Idempotency::NonIdempotent),
        (Consistency::Write, keyed(KeyScope::Group)),
        (Consistency::Write, keyed(KeyScope::Zone)),
        (Consistency::Write, keyed(KeyScope::Global)),
        (Consistency::Write, Idempotency::Idempotent),
    ];
    let objective = random.pick(&[60 * MS, 200 * MS, 400 * MS]);
    kinds
        .into_iter()
        .map(|(consistency, idempotency)| Class {
            consistency,
            idempotency,
            latency_objective: objective * random.between(1, 3),
            deadline: random.pick(&[SECOND, 3 * SECOND]),
            priority_weight: random.pick(&[0.5, 1.0, 3.0]),
            late_weight_share: random.pick(&[0.0, 0.2, 0.5, 0.7]),
        })
        .collect()
}

fn limits(random: &mut Random, fleet_size: u32) -> Limits {
    Limits {
        max_attempts: random.pick(&[1, 2, 4, 6]),
        hedged_requests: random.chance(0.5),
        cancel: random.chance(0.75),
        health_checks: random.chance(0.8),
        retry_after: random.chance(0.7),
        max_retry_after: random.pick(&[200 * MS, 2 * SECOND]),
        gossip: fleet_size > 1 && random.chance(0.5),
        host_gossip: random.chance(0.3),
        connect_timeout: random.pick(&[100 * MS, 400 * MS]),
    }
}

fn obligations(random: &mut Random) -> Obligations {
    Obligations {
        answer_slack: random.pick(&[0, 20 * MS, 100 * MS]),
        drain_grace: random.pick(&[300 * MS, 2 * SECOND]),
        removal_is_advisory: random.chance(0.4),
        cold_capacity_share: random.pick(&[0.1, 0.25, 1.0]),
        warm_up_time: random.pick(&[2 * SECOND, 15 * SECOND]),
        overload_multiple: random.pick(&[2.0, 4.0]),
        overload_window: random.pick(&[500 * MS, 2 * SECOND]),
    }
}

pub fn settings(random: &mut Random) -> Settings {
    let fleet_size = random.pick(&[1, 2, 8, 40, 300]);
    let reports = random.pick(&[
        LoadReporting::OnResponses,
        LoadReporting::OnResponses,
        LoadReporting::OnHealthChecks,
        LoadReporting::Never,
    ]);
    Settings {
        classes: classes(random),
        fleet_size,
        instance_index: random.below(fleet_size as usize) as u32,
        zone: 0,
        tick: random.pick(&[0, MS, 5 * MS, 25 * MS, 400 * MS]),
        polls_endpoint_list: random.chance(0.5),
        poll_grace: SECOND,
        lagging_reads: random.pick(&[
            LaggingReads::ServedStale,
            LaggingReads::Rejected,
            LaggingReads::Delayed(20 * MS),
        ]),
        positions_in_responses: random.chance(0.5),
        role_listing: random.pick(&[RoleListing::Delayed, RoleListing::AtStart, RoleListing::Never]),
        session_tracking: random.pick(&[SessionTracking::Client, SessionTracking::Router]),
        commit_waits_for_replica: random.chance(0.5),
        load_reporting: reports,
        reports_carry_position: random.chance(0.8),
        retries_are_flagged: random.chance(0.5),
        limits: limits(random, fleet_size),
        obligations: obligations(random),
        costs: Costs::default(),
    }
}

/// Number of members of one history, and how often its events occur.
pub struct Pace {
    pub groups: usize,
    pub members_per_group: usize,
    /// Mean service time of a request at a member.
    pub service_time: Span,
    /// Mean time between requests.
    pub arrival_gap: Span,
    pub fault_gap: Span,
    pub list_gap: Span,
    pub gossip_gap: Span,
    pub stall_gap: Span,
    /// Whether the host limits how many connections may be opened.
    pub paced_connections: bool,
    /// Initial warm throughput, as from an earlier incarnation.
    pub expected_throughput: Option<f64>,
}

pub fn pace(random: &mut Random) -> Pace {
    let groups = random.pick(&[1, 1, 2, 3]);
    let members_per_group = random.pick(&[1, 3, 4, 7]);
    let service_time = random.pick(&[2 * MS, 10 * MS, 40 * MS]);
    let load = random.pick(&[0.05, 0.4, 0.9, 1.8]);
    let busy_gap = service_time as f64 / (groups * members_per_group) as f64 / load;
    let is_sparse = random.chance(0.15);
    let arrival_gap = if is_sparse { 2 * SECOND } else { busy_gap as Span };
    Pace {
        groups,
        members_per_group,
        service_time,
        arrival_gap,
        fault_gap: random.pick(&[200 * MS, SECOND, 20 * SECOND]),
        list_gap: random.pick(&[300 * MS, 2 * SECOND, 20 * SECOND]),
        gossip_gap: random.pick(&[50 * MS, 400 * MS]),
        stall_gap: random.pick(&[3 * SECOND, 600 * SECOND]),
        paced_connections: random.chance(0.3),
        expected_throughput: random.chance(0.3).then_some(20.0),
    }
}
