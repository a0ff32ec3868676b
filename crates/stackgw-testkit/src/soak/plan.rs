//! The schedule of a soak: its faults and their times, drawn from one seed.

use crate::list_revisions::ListedPhase;
use crate::list_service::ServiceState;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// One in this many seeds has idle clients that use up the gateways' descriptors.
const SEEDS_PER_IDLE_CLIENTS: u64 = 4;
/// The number of idle clients of each gateway; more than the 121 clients that a gateway with 256 descriptors accepts.
const IDLE_CLIENTS: usize = 140;
/// The average rate of faults.
const FAULTS_PER_SECOND: f64 = 1.2;
/// The average rate of crashes of the primary.
const CRASHES_PER_SECOND: f64 = 0.15;
/// Separates the random numbers of these crashes from those of the other faults.
const CRASH_SEED_MASK: u64 = 0xc4a5;
/// The average rate, and the separate random numbers, of answers that never end and of connections that come up late.
const RESPONSE_FAULTS_PER_SECOND: f64 = 0.25;
const RESPONSE_FAULT_SEED_MASK: u64 = 0xe4d1;
/// The longest time that a connection takes to come up, in milliseconds.
const MAX_STARTUP_DELAY_MS: u64 = 1_500;
/// How long a gateway's process may be paused at any time.
const GATEWAY_PAUSE_TIME: Duration = Duration::from_millis(150);
/// No fault begins within this time before the soak's end, so that the effects of the last faults are part of the record.
const FAULT_FREE_END: Duration = Duration::from_secs(6);
/// The first member is the primary at the start; it is never listed as draining or gone.
const FIRST_REPLICA: usize = 1;

/// A fault and its duration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SoakFault {
    /// The list service is in this state.
    ListService(ServiceState, Duration),
    /// A member never answers the requests that arrive during the fault.
    MemberHangs(usize, Duration),
    /// A member's answers are delayed by this many milliseconds.
    MemberSlows(usize, u64, Duration),
    /// A member's answers never end.
    MemberNeverEnds(usize, Duration),
    /// A member's new connections take this many milliseconds to come up.
    ConnectionsLate(usize, u64, Duration),
    /// A member breaks connections instead of answering writes.
    MemberDropsWriteReplies(usize, Duration),
    /// A replica's lag grows to this many milliseconds.
    ReplicaLags(usize, u64, Duration),
    /// A member is listed with this phase, and then as ready again.
    MemberLeaves(usize, ListedPhase, Duration),
    /// A member becomes the primary; the list shows it after this delay.
    PrimaryMoves(usize, Duration),
    /// The primary dies, another member takes over, and the former primary returns after this time as a replica that lags by the
    /// time since its death; the list shows its new start at once, and the new primary after the delay.
    PrimaryCrashes(Duration, Duration),
    /// A gateway's process is paused.
    GatewayPauses(usize, Duration),
    /// A gateway reloads its configuration this many times in a row.
    GatewayReloads(usize, u32),
    /// A gateway is terminated, gets this many further signals while it shuts down, is killed if it takes longer than the
    /// platform's grace time, and restarted.
    GatewayRestarts(usize, u32),
    /// A client sends large statements and reads nothing.
    ClientFloods(usize, Duration),
    /// A client stops inside a message and keeps its connection open.
    ClientStalls(usize),
}

impl SoakFault {
    /// The name of the fault's kind, for tables.
    pub fn name(&self) -> &'static str {
        match self {
            SoakFault::ListService(ServiceState::Down, _) => "list down",
            SoakFault::ListService(ServiceState::Silent, _) => "list silent",
            SoakFault::ListService(..) => "list cut off",
            SoakFault::MemberHangs(..) => "member hangs",
            SoakFault::MemberSlows(..) => "member slow",
            SoakFault::MemberNeverEnds(..) => "answers without end",
            SoakFault::ConnectionsLate(..) => "connections late",
            SoakFault::MemberDropsWriteReplies(..) => "write replies lost",
            SoakFault::ReplicaLags(..) => "replica lags",
            SoakFault::MemberLeaves(..) => "member drains or goes",
            SoakFault::PrimaryMoves(..) => "primary moves",
            SoakFault::PrimaryCrashes(..) => "primary crashes",
            SoakFault::GatewayPauses(..) => "gateway held up",
            SoakFault::GatewayReloads(..) => "SIGHUP series",
            SoakFault::GatewayRestarts(..) => "SIGTERM, restart",
            SoakFault::ClientFloods(..) => "client floods",
            SoakFault::ClientStalls(..) => "client stalls",
        }
    }
}

/// A fault and its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// The start of the fault, relative to the start of the soak.
    pub at: Duration,
    /// The fault.
    pub fault: SoakFault,
}

/// A soak's schedule.
#[derive(Debug, Clone, PartialEq)]
pub struct SoakPlan {
    /// The seed from which the schedule was drawn.
    pub seed: u64,
    /// How long clients send requests.
    pub duration: Duration,
    /// The number of gateways.
    pub gateways: usize,
    /// The number of replicas.
    pub replicas: usize,
    /// The number of clients that send requests to each gateway.
    pub clients_per_gateway: usize,
    /// The number of additional idle clients of each gateway.
    pub idle_clients: usize,
    /// The faults, ordered by start.
    pub faults: Vec<PlannedFault>,
}

/// Draws the crashes of primaries, from random numbers of their own, so that a seed's other faults stay as they are.
fn draw_primary_crashes(seed: u64, last_start: f64) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ CRASH_SEED_MASK);
    let count = (last_start * CRASHES_PER_SECOND).ceil() as usize;
    let crashes = (0..count).map(|_| PlannedFault {
        at: Duration::from_secs_f64(rng.random_range(0.5..last_start.max(0.6))),
        fault: SoakFault::PrimaryCrashes(
            Duration::from_millis(rng.random_range(500..4_000)),
            Duration::from_millis(rng.random_range(200..3_000)),
        ),
    });
    crashes.collect()
}

/// Draws answers that never end and late connections, from random numbers of their own.
fn draw_response_faults(seed: u64, replicas: usize, last_start: f64) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ RESPONSE_FAULT_SEED_MASK);
    let count = (last_start * RESPONSE_FAULTS_PER_SECOND).ceil() as usize;
    let faults = (0..count).map(|_| {
        let member = rng.random_range(0..=replicas);
        let time = Duration::from_millis(rng.random_range(200..4_000));
        let delay_ms = rng.random_range(20..MAX_STARTUP_DELAY_MS);
        let fault = if rng.random_bool(0.5) {
            SoakFault::MemberNeverEnds(member, time)
        } else {
            SoakFault::ConnectionsLate(member, delay_ms, time)
        };
        let at = Duration::from_secs_f64(rng.random_range(0.5..last_start.max(0.6)));
        PlannedFault { at, fault }
    });
    faults.collect()
}

impl SoakPlan {
    /// Draws the schedule for a seed.
    pub fn draw(seed: u64, duration: Duration) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut plan = SoakPlan {
            seed,
            duration,
            gateways: rng.random_range(2..=3),
            replicas: rng.random_range(2..=3),
            clients_per_gateway: rng.random_range(3..=6),
            idle_clients: if seed.is_multiple_of(SEEDS_PER_IDLE_CLIENTS) {
                IDLE_CLIENTS
            } else {
                0
            },
            faults: Vec::new(),
        };
        let last = duration.saturating_sub(FAULT_FREE_END).as_secs_f64();
        let count = (last * FAULTS_PER_SECOND) as usize;
        let mut faults: Vec<_> = (0..count)
            .map(|_| PlannedFault {
                at: Duration::from_secs_f64(rng.random_range(0.5..last.max(0.6))),
                fault: plan.draw_fault(&mut rng),
            })
            .collect();
        faults.extend(draw_primary_crashes(seed, last));
        faults.extend(draw_response_faults(seed, plan.replicas, last));
        faults.sort_by_key(|planned| planned.at);
        plan.faults = faults;
        plan
    }

    fn draw_fault(&self, rng: &mut SmallRng) -> SoakFault {
        let member = rng.random_range(0..=self.replicas);
        let replica = rng.random_range(FIRST_REPLICA..=self.replicas);
        let gateway = rng.random_range(0..self.gateways);
        let short = Duration::from_millis(rng.random_range(100..1_500));
        let long = Duration::from_millis(rng.random_range(1_000..6_000));
        match rng.random_range(0..16) {
            0 => SoakFault::ListService(ServiceState::Down, long),
            1 => SoakFault::ListService(ServiceState::Silent, long),
            2 => SoakFault::ListService(ServiceState::Truncated, short),
            3 => SoakFault::MemberHangs(member, long),
            4 => SoakFault::MemberSlows(member, rng.random_range(20..400), short),
            5 => SoakFault::MemberDropsWriteReplies(0, short),
            6 => SoakFault::ReplicaLags(replica, rng.random_range(500..4_000), long),
            7 => SoakFault::MemberLeaves(replica, ListedPhase::Draining, long),
            8 => SoakFault::MemberLeaves(replica, ListedPhase::Gone, long),
            9 => SoakFault::PrimaryMoves(member, short),
            10 | 11 => SoakFault::GatewayPauses(gateway, GATEWAY_PAUSE_TIME),
            12 => SoakFault::GatewayReloads(gateway, rng.random_range(1..=8)),
            13 => SoakFault::GatewayRestarts(gateway, rng.random_range(0..=4)),
            14 => SoakFault::ClientFloods(gateway, short),
            _ => SoakFault::ClientStalls(gateway),
        }
    }
}
