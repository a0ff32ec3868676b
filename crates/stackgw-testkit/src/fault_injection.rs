//! Fault injection into gateways and members while an audit runs.

use crate::gateway_fleet::GatewayFleet;
use crate::replica_group::ReplicaGroup;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Separates the random choices of faults from those of clients with the same seed.
const SEED_MASK: u64 = 0x5eed;

/// The number of equally likely draws from which the fault of each round is chosen.
const FAULT_DRAWS: u32 = 10;

/// The replication lag of a slow replica.
const SLOW_REPLICA_LAG_MS: u64 = 3_000;
/// The extra delay of a slow replica's answers.
const SLOW_REPLICA_DELAY_MS: u64 = 100;
/// How long a replica stays slow.
const SLOW_REPLICA_TIME: Duration = Duration::from_millis(500);

/// One in this many killed gateways, on average, loses its disk.
const KILLS_PER_LOST_DISK: u32 = 4;

/// A gateway that is killed alone is restarted after a random pause that is shorter than this.
const MAX_DOWN_MS: u64 = 300;

/// How often a wait checks whether the audit is over.
const OVER_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The faults to inject into gateways and members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Faults {
    /// The pause before each fault. Half of the faults, and those that are off, are the kill and restart of one gateway.
    pub kill_interval: Duration,
    /// Whether all gateways are occasionally killed at the same time.
    pub kill_all: bool,
    /// Whether a killed gateway occasionally loses its disk.
    pub delete_disks: bool,
    /// How long a gateway is occasionally paused.
    pub pause: Option<Duration>,
    /// Whether the replica with the least lag is occasionally slowed down.
    pub slow_replica: bool,
    /// How long a gateway is occasionally cut off from another one, in one or both directions. Needs relays.
    pub partition: Option<Duration>,
}

/// The fault of one round.
enum Fault {
    KillAll,
    Pause(Duration),
    SlowReplica,
    Partition(Duration),
    Kill,
}

impl Faults {
    /// Draws a fault; the kill of one gateway replaces a fault that is off.
    fn draw(&self, rng: &mut SmallRng) -> Fault {
        let fault = match rng.random_range(0..FAULT_DRAWS) {
            0 => self.kill_all.then_some(Fault::KillAll),
            1 => self.pause.map(Fault::Pause),
            2 => self.slow_replica.then_some(Fault::SlowReplica),
            3 | 4 => self.partition.map(Fault::Partition),
            _ => None,
        };
        fault.unwrap_or(Fault::Kill)
    }
}

/// Injects faults into the gateways and members of one audit.
pub(crate) struct FaultInjector<'a> {
    group: &'a ReplicaGroup,
    gateways: &'a GatewayFleet,
    kills: AtomicU64,
    is_over: AtomicBool,
}

impl<'a> FaultInjector<'a> {
    pub(crate) fn new(group: &'a ReplicaGroup, gateways: &'a GatewayFleet) -> Self {
        FaultInjector {
            group,
            gateways,
            kills: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
        }
    }

    /// Injects one fault after another until it is stopped.
    pub(crate) fn run(&self, faults: Faults, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed ^ SEED_MASK);
        // The first fault is always a kill, as a short audit may be over before one is drawn.
        let mut is_first = true;
        loop {
            self.wait(faults.kill_interval);
            if self.is_over() {
                return;
            }
            let gateway = rng.random_range(0..self.gateways.len());
            let drawn = faults.draw(&mut rng);
            let fault = if is_first { Fault::Kill } else { drawn };
            is_first = false;
            if !self.apply(&fault, gateway, &mut rng) {
                self.kill(gateway, faults.delete_disks, &mut rng);
            }
        }
    }

    /// Ends the run at its next wait.
    pub(crate) fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// The number of gateways killed so far.
    pub(crate) fn kills(&self) -> u64 {
        self.kills.load(Ordering::Relaxed)
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Waits for this time, or until the audit is over.
    fn wait(&self, time: Duration) {
        let started = Instant::now();
        while started.elapsed() < time && !self.is_over() {
            std::thread::sleep(OVER_CHECK_INTERVAL);
        }
    }

    /// Applies a fault other than the kill of one gateway; returns false if it can't be applied.
    fn apply(&self, fault: &Fault, gateway: usize, rng: &mut SmallRng) -> bool {
        match fault {
            Fault::KillAll => self.kill_all(),
            Fault::Pause(time) => self.pause(gateway, *time),
            Fault::SlowReplica => self.slow_replica(),
            Fault::Partition(time) => self.partition(gateway, *time, rng),
            Fault::Kill => false,
        }
    }

    fn kill_all(&self) -> bool {
        let gateways = self.gateways.len();
        (0..gateways).for_each(|index| self.gateways.kill(index));
        self.kills.fetch_add(gateways as u64, Ordering::Relaxed);
        (0..gateways).for_each(|index| drop(self.gateways.restart(index)));
        true
    }

    fn pause(&self, gateway: usize, time: Duration) -> bool {
        self.gateways.pause(gateway);
        self.wait(time);
        self.gateways.resume(gateway);
        true
    }

    fn slow_replica(&self) -> bool {
        let replicas = self.group.members.iter().skip(1);
        let least_behind = replicas.min_by_key(|member| member.lag_ms.load(Ordering::Relaxed));
        let Some(member) = least_behind else {
            return false;
        };
        let lag_ms = member.lag_ms.swap(SLOW_REPLICA_LAG_MS, Ordering::Relaxed);
        member
            .delay_ms
            .store(SLOW_REPLICA_DELAY_MS, Ordering::Relaxed);
        self.wait(SLOW_REPLICA_TIME);
        member.delay_ms.store(0, Ordering::Relaxed);
        member.lag_ms.store(lag_ms, Ordering::Relaxed);
        true
    }

    fn partition(&self, gateway: usize, time: Duration, rng: &mut SmallRng) -> bool {
        let Some(network) = self.gateways.network() else {
            return false;
        };
        let other = (gateway + 1) % self.gateways.len();
        network.block(gateway, other);
        if rng.random_range(0..2) == 0 {
            network.block(other, gateway);
        }
        self.wait(time);
        network.heal();
        true
    }

    fn kill(&self, gateway: usize, may_delete_disk: bool, rng: &mut SmallRng) {
        self.gateways.kill(gateway);
        self.kills.fetch_add(1, Ordering::Relaxed);
        if may_delete_disk && rng.random_range(0..KILLS_PER_LOST_DISK) == 0 {
            self.gateways.delete_disk(gateway);
        }
        let down_ms = rng.random_range(0..MAX_DOWN_MS);
        self.wait(Duration::from_millis(down_ms));
        let _ = self.gateways.restart(gateway);
    }
}
