//! The schedule of a soak: which faults come when, drawn by one seed.

use crate::list_revisions::ListedPhase;
use crate::list_service::ServiceState;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Of so many seeds one has a crowd of idle clients that fills the descriptors.
const SEEDS_PER_CROWD: u64 = 4;
/// More than the places that a gateway of the testkit has for clients.
const CROWD_SIZE: usize = 140;
/// So many faults come a second, on average.
const FAULTS_PER_SECOND: f64 = 1.2;
/// A gateway may be held up for so long at any moment.
const HOLD_UP: Duration = Duration::from_millis(150);
/// No fault begins later than this before the end, so that what it did is judged.
const QUIET_END: Duration = Duration::from_secs(6);
/// The first member is the primary at the start; it neither drains nor goes.
const FIRST_REPLICA: usize = 1;

/// A fault and how long it lasts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SoakFault {
    /// The list service is in this state.
    ListService(ServiceState, Duration),
    /// A member takes requests and answers none.
    MemberHangs(usize, Duration),
    /// A member answers this much later, in milliseconds.
    MemberSlows(usize, u64, Duration),
    /// A member's connections break in place of the answers to writes.
    MemberDropsWriteReplies(usize, Duration),
    /// A replica falls this far behind, in milliseconds.
    ReplicaLags(usize, u64, Duration),
    /// A member is in this phase of the list, and then ready again.
    MemberLeaves(usize, ListedPhase, Duration),
    /// Another member becomes the primary; the list has it so much later.
    PrimaryMoves(usize, Duration),
    /// A gateway's process is stopped.
    GatewayHeldUp(usize, Duration),
    /// A gateway reads its configuration anew, this often in a row.
    GatewayReloads(usize, u32),
    /// A gateway shuts down, with so many further signals while it does, is killed when the page says and started anew.
    GatewayRestarts(usize, u32),
    /// A client sends large statements and reads nothing.
    ClientFloods(usize, Duration),
    /// A client stops inside a message and stays.
    ClientStalls(usize),
}

impl SoakFault {
    /// The fault's kind, for tables.
    pub fn name(&self) -> &'static str {
        match self {
            SoakFault::ListService(ServiceState::Down, _) => "list down",
            SoakFault::ListService(ServiceState::Silent, _) => "list silent",
            SoakFault::ListService(..) => "list cut off",
            SoakFault::MemberHangs(..) => "member hangs",
            SoakFault::MemberSlows(..) => "member slow",
            SoakFault::MemberDropsWriteReplies(..) => "write replies lost",
            SoakFault::ReplicaLags(..) => "replica lags",
            SoakFault::MemberLeaves(..) => "member drains or goes",
            SoakFault::PrimaryMoves(..) => "primary moves",
            SoakFault::GatewayHeldUp(..) => "gateway held up",
            SoakFault::GatewayReloads(..) => "SIGHUP series",
            SoakFault::GatewayRestarts(..) => "SIGTERM, restart",
            SoakFault::ClientFloods(..) => "client floods",
            SoakFault::ClientStalls(..) => "client stalls",
        }
    }
}

/// A fault and when it begins.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// When, since the start.
    pub at: Duration,
    /// What.
    pub fault: SoakFault,
}

/// A soak's schedule.
#[derive(Debug, Clone, PartialEq)]
pub struct SoakPlan {
    /// The seed that drew it.
    pub seed: u64,
    /// How long clients ask.
    pub duration: Duration,
    /// How many gateways there are.
    pub gateways: usize,
    /// How many replicas there are.
    pub replicas: usize,
    /// How many clients ask at each gateway.
    pub clients_per_gateway: usize,
    /// How many idle clients each gateway has besides.
    pub crowd: usize,
    /// In the order of their times.
    pub faults: Vec<PlannedFault>,
}

impl SoakPlan {
    /// Draws the schedule of a seed.
    pub fn draw(seed: u64, duration: Duration) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut plan = SoakPlan {
            seed,
            duration,
            gateways: rng.random_range(2..=3),
            replicas: rng.random_range(2..=3),
            clients_per_gateway: rng.random_range(3..=6),
            crowd: if seed.is_multiple_of(SEEDS_PER_CROWD) {
                CROWD_SIZE
            } else {
                0
            },
            faults: Vec::new(),
        };
        let last = duration.saturating_sub(QUIET_END).as_secs_f64();
        let count = (last * FAULTS_PER_SECOND) as usize;
        let mut faults: Vec<_> = (0..count)
            .map(|_| PlannedFault {
                at: Duration::from_secs_f64(rng.random_range(0.5..last.max(0.6))),
                fault: plan.draw_fault(&mut rng),
            })
            .collect();
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
            10 | 11 => SoakFault::GatewayHeldUp(gateway, HOLD_UP),
            12 => SoakFault::GatewayReloads(gateway, rng.random_range(1..=8)),
            13 => SoakFault::GatewayRestarts(gateway, rng.random_range(0..=4)),
            14 => SoakFault::ClientFloods(gateway, short),
            _ => SoakFault::ClientStalls(gateway),
        }
    }
}
