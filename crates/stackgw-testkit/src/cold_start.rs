//! A fleet that starts all at once, loses its list service, starts without it, and starts before members that are all cold:
//! what the service and the members have to bear for it, and how soon clients are served.

use crate::cold_connect::{ColdConnectLoad, FleetLoad};
use crate::gateways::{BootstrapConfig, FleetConfig, FleetMode, GatewayFleet};
use crate::list_service::{worst, PollOutcome, PollRecord, ServiceCapacity, ServiceState};
use crate::replica_group::{Protocol, ReplicaGroup};
use crate::slow_start_model::SlowStartModel;
use serde::Serialize;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// One fleet to be measured.
#[derive(Debug, Clone)]
pub struct ColdStart {
    /// The program.
    pub program: PathBuf,
    /// Where files go; it must be there.
    pub folder: PathBuf,
    /// How many gateways.
    pub fleet: usize,
    /// How they come to know the list; `None`: as the platform has it.
    pub start: Option<BootstrapConfig>,
    /// Requests a second that the list service bears.
    pub bears: f64,
    /// Requests a second at each gateway.
    pub rate: f64,
    /// Requests a second that each of the three members can do, warm.
    pub member: f64,
    /// For the choices by chance.
    pub seed: u64,
}

/// What the list service was asked.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct PollCounts {
    /// Requests that found it there.
    pub all: usize,
    /// In the worst 100 ms.
    pub worst: usize,
    /// Told to come back later.
    pub refused: usize,
}

impl PollCounts {
    fn of(asked: &[PollRecord], from: Duration) -> Self {
        let here: Vec<_> = asked
            .iter()
            .filter(|a| a.at >= from && a.fate != PollOutcome::Unreachable)
            .collect();
        let refused = here
            .iter()
            .filter(|a| a.fate == PollOutcome::Rejected)
            .count();
        PollCounts {
            all: here.len(),
            worst: worst(here.iter().map(|a| a.at), Duration::from_millis(100)),
            refused,
        }
    }
}

/// One part of it.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PhaseReport {
    /// What the list service was asked.
    pub asks: PollCounts,
    /// When 99 in 100 gateways were ready, in milliseconds.
    pub ready_ms: Option<u64>,
    /// Requests served in time, of those asked.
    pub worth: f64,
    /// The same of those asked in the first five seconds.
    pub worth_first: f64,
    /// Of those asked, what members that do nothing else could serve, in all and in the first five seconds.
    pub could: [f64; 2],
    /// Asked, served in time and served late, by the second in which they were asked.
    pub seconds: Vec<[u64; 3]>,
    /// The same with late ones counted too.
    pub answered: f64,
    /// What members bore.
    pub burden: FleetLoad,
    /// Requests lost, doubled, or stale.
    pub broken: u64,
}

/// The whole of it.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ColdStartReport {
    /// How many gateways.
    pub fleet: usize,
    /// All start at once.
    pub boot: PhaseReport,
    /// The same load once all is warm.
    pub warm: PhaseReport,
    /// The list service is dead for six seconds and comes back.
    pub outage: PhaseReport,
    /// All are killed and started at once while it is dead.
    pub dark: PhaseReport,
    /// All are killed and started at once, and so are all members.
    pub cold: PhaseReport,
}

/// Seconds that each part lasts.
const LASTS: f64 = 10.0;

/// What happens in each part, in their order.
pub const PHASE_NAMES: [&str; 5] = [
    "all start at once",
    "warm",
    "list service dead for 6 s",
    "all start while it is dead",
    "all start, members cold",
];

impl ColdStartReport {
    /// Its parts, in their order.
    pub fn parts(&self) -> [&PhaseReport; 5] {
        [&self.boot, &self.warm, &self.outage, &self.dark, &self.cold]
    }
}

impl ColdStart {
    /// Plays it; `told` hears of each part as it ends.
    pub fn play(
        &self,
        mut told: impl FnMut(&'static str, &PhaseReport),
    ) -> Result<ColdStartReport, String> {
        let wrong = |e: std::io::Error| e.to_string();
        let (store, agent) =
            ReplicaGroup::start_speaking(&[10, 20], Protocol::Postgres).map_err(wrong)?;
        store.lists().bear(Some(ServiceCapacity {
            per_second: self.bears,
            line: Duration::from_secs(1),
        }));
        let mut setup = FleetConfig::new(self.program.clone(), self.folder.clone(), vec![agent]);
        (setup.gateways, setup.session_replicas) = (self.fleet, 3.min(self.fleet));
        setup.mode = if self.start.is_some() {
            FleetMode::Bootstrap
        } else {
            FleetMode::LocalSessions
        };
        setup.start = self.start.clone().unwrap_or_default();
        let gateways = GatewayFleet::prepare(setup)?;
        let all = || drop(gateways.restart_all(0..self.fleet, Duration::ZERO));
        let bear =
            |cold| (0..store.members.len()).for_each(|n| store.bear(n, self.bearing(), cold));
        bear(false);
        let mut line = ColdStartReport {
            fleet: self.fleet,
            ..ColdStartReport::default()
        };
        line.boot = self.part(&store, &gateways, false, &all);
        told(PHASE_NAMES[0], &line.boot);
        bear(false);
        line.warm = self.part(&store, &gateways, false, &|| {});
        told(PHASE_NAMES[1], &line.warm);
        bear(false);
        line.outage = self.part(&store, &gateways, false, &|| {
            store.lists().mood(None, ServiceState::Down);
            std::thread::sleep(Duration::from_secs(6));
            store.lists().mood(None, ServiceState::Up);
        });
        told(PHASE_NAMES[2], &line.outage);
        // What was put off for the outage is over.
        std::thread::sleep(Duration::from_secs(4));
        bear(false);
        store.lists().mood(None, ServiceState::Down);
        line.dark = self.part(&store, &gateways, false, &all);
        told(PHASE_NAMES[3], &line.dark);
        store.lists().mood(None, ServiceState::Up);
        bear(true);
        (0..store.members.len()).for_each(|n| store.announce_start(n));
        line.cold = self.part(&store, &gateways, true, &all);
        told(PHASE_NAMES[4], &line.cold);
        Ok(line)
    }

    /// What each member can do.
    fn bearing(&self) -> SlowStartModel {
        Self::can(self.member)
    }

    /// New connections a second that a member which can do so much, warm, bears cold with this share of what it can do then.
    pub fn opens(member: f64, share: f64) -> u32 {
        let can = Self::can(member);
        (can.per_second * can.cold_share / can.handshake * share).max(1.0) as u32
    }

    fn can(per_second: f64) -> SlowStartModel {
        SlowStartModel {
            per_second,
            cold_share: 0.25,
            warm_within: Duration::from_secs(10),
            fall_multiple: 4.0,
            fall_within: Duration::from_secs(1),
            handshake: 2.0,
            probe: 0.1,
            line: Duration::from_millis(300),
            down: Duration::from_secs(1),
        }
    }

    /// The share of what is asked within so many seconds that so many members can do if they do nothing else.
    fn could(&self, members: usize, cold: bool, seconds: f64) -> f64 {
        let (can, asked) = (self.bearing(), self.rate * self.fleet as f64);
        let steps = 1_000;
        let share = |n: i32| {
            let at = Duration::from_secs_f64((f64::from(n) + 0.5) * seconds / f64::from(steps));
            (members as f64 * can.at(cold.then_some(at)) / asked).min(1.0)
        };
        (0..steps).map(share).sum::<f64>() / f64::from(steps)
    }

    fn part(
        &self,
        store: &ReplicaGroup,
        gateways: &GatewayFleet,
        cold: bool,
        meanwhile: &(dyn Fn() + Sync),
    ) -> PhaseReport {
        let (lists_from, store_from) = (store.lists().elapsed(), store.elapsed());
        let before = store.audit().stale;
        let opening = ColdConnectLoad {
            rate: self.rate,
            writes: 10,
            lasts: Duration::from_secs_f64(LASTS),
            seed: self.seed,
        };
        let opened = opening.run(store, gateways, Instant::now(), meanwhile);
        gateways.report();
        let ready = opened.ready(0.99, self.fleet);
        PhaseReport {
            asks: PollCounts::of(&store.lists().asked(), lists_from),
            ready_ms: ready.and_then(|at| u64::try_from(at.as_millis()).ok()),
            worth: opened.worth(),
            worth_first: opened.worth_within(5),
            could: [LASTS, 5.0].map(|seconds| self.could(store.members.len(), cold, seconds)),
            seconds: opened.seconds.clone(),
            answered: (opened.served + opened.late) as f64 / opened.asked.max(1) as f64,
            burden: FleetLoad::of(store, store_from),
            broken: opened.lost + opened.doubled + store.audit().stale - before,
        }
    }
}
