//! Faults that are injected into gateways and members while an audit runs.

use crate::gateway_fleet::GatewayFleet;
use crate::replica_group::ReplicaGroup;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Tells the random choices of faults from those of clients with the same seed.
const SEED_MASK: u64 = 0x5eed;

/// The fault of each round is drawn by lot from so many.
const LOTS: u32 = 10;

/// A replica that is slowed down is so far behind ...
const SLOW_REPLICA_LAG_MS: u64 = 3_000;
/// ... answers so much later ...
const SLOW_REPLICA_DELAY_MS: u64 = 100;
/// ... for so long.
const SLOW_REPLICA_TIME: Duration = Duration::from_millis(500);

/// Of so many killed gateways one loses its disk.
const KILLS_PER_LOST_DISK: u32 = 4;

/// A killed gateway is started anew within this.
const MAX_DOWN_MS: u64 = 300;

/// How often a wait looks whether the audit is over.
const OVER_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What is done to gateways and members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Faults {
    /// A gateway is killed and started anew this often.
    pub kill_interval: Duration,
    /// Now and then all are, at once.
    pub kill_all: bool,
    /// Now and then a killed one loses its disk.
    pub delete_disks: bool,
    /// Now and then one is paused for this long.
    pub pause: Option<Duration>,
    /// Now and then the replica that is least behind slows down.
    pub slow_replica: bool,
    /// Now and then, where there are relays, a gateway is cut off from another for this long, in one direction or both.
    pub partition: Option<Duration>,
}

/// One round's fault.
enum Fault {
    KillAll,
    Pause(Duration),
    SlowReplica,
    Partition(Duration),
    Kill,
}

impl Faults {
    /// Draws a fault; one that is off becomes the kill of one gateway.
    fn draw(&self, rng: &mut SmallRng) -> Fault {
        let fault = match rng.random_range(0..LOTS) {
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
        // The first one is a kill: a short audit may be over before chance gives one.
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

    /// Ends the run, at its next wait.
    pub(crate) fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// How many gateways it has killed.
    pub(crate) fn kills(&self) -> u64 {
        self.kills.load(Ordering::Relaxed)
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Waits for so long, or until the audit is over.
    fn wait(&self, time: Duration) {
        let started = Instant::now();
        while started.elapsed() < time && !self.is_over() {
            std::thread::sleep(OVER_CHECK_INTERVAL);
        }
    }

    /// Applies a fault other than the kill of one gateway; false where there is nothing to apply it to.
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
