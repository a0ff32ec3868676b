//! Runs the schedule of a soak.

use super::clients::{flood, stall_inside_message, IdleConnections, SoakClient, SoakState};
use super::plan::{SoakFault, SoakPlan};
use super::records::{
    Announcement, Arrival, GatewayResources, GatewayStart, Interval, Promotion, SoakRecord,
};
use crate::client::Client;
use crate::error::TestkitError;
use crate::fleet_config::{FleetConfig, FleetMode};
use crate::gateway_fleet::GatewayFleet;
use crate::list_revisions::ListedPhase;
use crate::list_service::ServiceState;
use crate::process_stats::{descriptors, peak_memory_mib};
use crate::replica_group::{GroupConfig, ReplicaGroup};
use crate::sync::lock;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The least time between SIGTERM and SIGKILL that the platform grants: the longest deadline plus 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// How long new connections still arrive after SIGTERM.
const NEW_CONNECTIONS_STOP_AFTER: Duration = Duration::from_millis(300);
/// The interval between the further signals of a shutdown, and between those of a series.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(60);
/// How long the soak waits for a gateway to be ready before it continues without it.
const READY_TIMEOUT: Duration = Duration::from_secs(12);
/// How long gateways may take to release all resources after their clients have disconnected.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(8);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The interval at which a lagging replica's position is updated.
const LAG_STEP: Duration = Duration::from_millis(5);
/// How long the group has no primary after a crash, and how long the former one then lags after the list is right.
const ELECTION_TIME: Duration = Duration::from_millis(300);
const CATCH_UP_TIME: Duration = Duration::from_secs(1);
/// A member that lags more than this does not become the primary.
const MAX_SUCCESSOR_LAG_MS: u64 = 150;
const IDLE_REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// The counters of open and buffered resources, which must be 0 without clients.
const RESOURCE_COUNTERS: [&str; 3] = ["clients_open", "buffered_bytes", "read_ahead_bytes"];

/// Starts a group, and gateways of this program with their files in this folder, runs the plan, and returns the record.
///
/// # Errors
/// If a gateway does not start.
pub fn run_soak(
    plan: &SoakPlan,
    program: PathBuf,
    folder: PathBuf,
) -> Result<SoakRecord, TestkitError> {
    std::fs::create_dir_all(&folder).map_err(|error| TestkitError::file(&folder, error))?;
    let lags: Vec<u64> = (0..plan.replicas as u64).map(|n| 20 + 40 * n).collect();
    let group = ReplicaGroup::start_with(GroupConfig::new(&lags))
        .map_err(|error| TestkitError::file(&folder, error))?;
    group.start_recording_arrivals();
    let lists = vec![group.list_service().address(0)];
    let gateways = GatewayFleet::start(FleetConfig {
        gateways: plan.gateways,
        mode: FleetMode::LocalSessions,
        ..FleetConfig::new(program, folder, lists)
    })?;
    let state = SoakState::new(&gateways);
    let soak = Soak {
        plan,
        group: &group,
        state: &state,
        restart_locks: (0..plan.gateways).map(|_| Mutex::default()).collect(),
        lag_lock: Mutex::default(),
        primary_lock: Mutex::default(),
    };
    soak.record_promotion(0);
    soak.run();
    soak.record_gateway_resources();
    let mut record = std::mem::take(&mut *lock(&state.record));
    record.arrivals = arrivals(&group, state.started);
    record.write_order = group.write_order();
    gateways.clean_up();
    Ok(record)
}

fn arrivals(group: &ReplicaGroup, started: Instant) -> Vec<Arrival> {
    let arrivals = group.arrivals().into_iter().map(|arrival| Arrival {
        id: arrival.id,
        member: arrival.member,
        at: arrival.at.saturating_duration_since(started),
        timeout: Duration::from_millis(arrival.timeout_ms),
        is_misrouted_write: arrival.is_misrouted_write,
        staleness: Duration::from_millis(arrival.staleness_ms),
        is_primary: arrival.is_primary,
    });
    arrivals.collect()
}

/// Sets a member's flag for this time.
fn set_for(flag: &AtomicBool, time: Duration) {
    flag.store(true, Ordering::Relaxed);
    std::thread::sleep(time);
    flag.store(false, Ordering::Relaxed);
}

/// Sets a member's value for this time; it is 0 otherwise.
fn set_to(value: &AtomicU64, new: u64, time: Duration) {
    value.store(new, Ordering::Relaxed);
    std::thread::sleep(time);
    value.store(0, Ordering::Relaxed);
}

struct Soak<'a> {
    plan: &'a SoakPlan,
    group: &'a ReplicaGroup,
    state: &'a SoakState<'a>,
    /// By gateway; locked during its restart.
    restart_locks: Vec<Mutex<()>>,
    /// Locked while a replica lags.
    lag_lock: Mutex<()>,
    /// Locked while the primary changes.
    primary_lock: Mutex<()>,
}

impl Soak<'_> {
    /// Runs clients and faults, each on its own thread, until the plan's end.
    fn run(&self) {
        std::thread::scope(|scope| {
            for gateway in 0..self.plan.gateways {
                self.wait_until_ready(gateway);
                for n in 0..self.plan.clients_per_gateway {
                    let number = gateway * self.plan.clients_per_gateway + n;
                    let client = SoakClient::new(self.state, gateway, number, self.plan.seed);
                    scope.spawn(move || client.run());
                }
                if self.plan.idle_clients > 0 {
                    scope.spawn(move || self.maintain_idle_connections(gateway));
                }
            }
            for planned in &self.plan.faults {
                scope.spawn(move || {
                    self.sleep_until(planned.at);
                    self.apply(planned.fault);
                });
            }
            self.sleep_until(self.plan.duration);
            self.state.is_over.store(true, Ordering::Relaxed);
        });
    }

    fn sleep_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.state.now()));
    }

    fn maintain_idle_connections(&self, gateway: usize) {
        let mut connections = IdleConnections::connect(self.state, gateway, self.plan.idle_clients);
        connections.send_invalid_bytes();
        while !self.state.is_over() {
            connections.refresh(self.state, gateway);
            std::thread::sleep(IDLE_REFRESH_INTERVAL);
        }
    }

    fn apply(&self, fault: SoakFault) {
        match fault {
            SoakFault::ListService(service, time) => self.break_list_service(service, time),
            SoakFault::MemberHangs(member, time) => {
                set_for(&self.group.members[member].unresponsive, time);
            }
            SoakFault::MemberSlows(member, ms, time) => {
                set_to(&self.group.members[member].delay_ms, ms, time);
            }
            SoakFault::MemberNeverEnds(member, time) => {
                set_for(&self.group.members[member].answers_without_end, time);
            }
            SoakFault::ConnectionsLate(member, ms, time) => {
                set_to(&self.group.members[member].startup_delay_ms, ms, time);
            }
            SoakFault::MemberDropsWriteReplies(member, time) => {
                set_for(&self.group.members[member].drops_write_replies, time);
            }
            SoakFault::ReplicaLags(member, ms, time) => {
                self.apply_lag(member, ms, time);
            }
            SoakFault::MemberLeaves(member, phase, time) => {
                self.announce(member, phase);
                std::thread::sleep(time);
                self.announce(member, ListedPhase::Ready);
            }
            SoakFault::PrimaryMoves(member, list_delay) => {
                let guard = lock(&self.primary_lock);
                self.move_primary(member);
                drop(guard);
                std::thread::sleep(list_delay);
                self.group.list_service().announce_primary(member);
            }
            SoakFault::PrimaryCrashes(down, list_delay) => self.crash_primary(down, list_delay),
            SoakFault::GatewayPauses(gateway, time) => {
                self.state.gateways.pause(gateway);
                std::thread::sleep(time);
                self.state.gateways.resume(gateway);
            }
            SoakFault::GatewayReloads(gateway, times) => {
                for _ in 0..times {
                    self.state.gateways.reload(gateway);
                    std::thread::sleep(SIGNAL_INTERVAL);
                }
            }
            SoakFault::GatewayRestarts(gateway, signals) => self.restart(gateway, signals),
            SoakFault::ClientFloods(gateway, time) => flood(self.state, gateway, time),
            SoakFault::ClientStalls(gateway) => stall_inside_message(self.state, gateway),
        }
    }

    /// Makes a member the primary. The former primary has all commits and continues as a replica without lag.
    fn move_primary(&self, member: usize) {
        let members = self.group.members.iter();
        for primary in members.filter(|member| member.is_primary()) {
            primary.lag_ms.store(0, Ordering::Relaxed);
        }
        self.group.promote(member);
        self.record_promotion(member);
    }

    fn record_promotion(&self, member: usize) {
        let at = self.state.now();
        lock(&self.state.record)
            .promotions
            .push(Promotion { member, at });
    }

    /// Kills the primary; a member that has all commits takes over. The former primary returns as a replica that has applied nothing
    /// since its death, still listed as the primary, and catches up some time later.
    fn crash_primary(&self, down: Duration, list_delay: Duration) {
        let guard = lock(&self.primary_lock);
        let members = &self.group.members;
        let Some(primary) = members.iter().position(|member| member.is_primary()) else {
            return;
        };
        let has_all_commits = |member: &usize| {
            *member != primary
                && members[*member].lag_ms.load(Ordering::Relaxed) <= MAX_SUCCESSOR_LAG_MS
        };
        let Some(successor) = (0..members.len()).find(has_all_commits) else {
            return;
        };
        let before_ms = members[primary].lag_ms.load(Ordering::Relaxed);
        let died = Instant::now();
        self.group.kill(primary);
        std::thread::sleep(ELECTION_TIME);
        self.group.promote(successor);
        self.record_promotion(successor);
        std::thread::sleep(down);
        let lag_ms = died.elapsed().as_millis() as u64;
        self.group.revive_as_replica(primary, lag_ms);
        self.group.announce_start(primary);
        self.record_announcement(primary, ListedPhase::Ready);
        std::thread::sleep(list_delay);
        self.group.list_service().announce_primary(successor);
        std::thread::sleep(CATCH_UP_TIME);
        members[primary].lag_ms.store(before_ms, Ordering::Relaxed);
        drop(guard);
    }

    /// Makes a replica apply nothing until it lags by `ms`, keep that lag for the rest of the time, and then catch up
    /// immediately. If the replica has been the primary meanwhile, its lag is left as it is, so that it does not fall back
    /// behind its own commits.
    fn apply_lag(&self, member: usize, ms: u64, time: Duration) {
        let Ok(_guard) = self.lag_lock.try_lock() else {
            // A second concurrent fault would set back the position of the first one's replica.
            return;
        };
        let lag = &self.group.members[member].lag_ms;
        let before = lag.load(Ordering::Relaxed);
        let mut current = before;
        let began = Instant::now();
        while began.elapsed() < time {
            let growing_lag = before + began.elapsed().as_millis() as u64;
            let next = growing_lag.min(ms.max(before));
            let was_set = lag.compare_exchange(current, next, Ordering::Relaxed, Ordering::Relaxed);
            if was_set.is_err() {
                return;
            }
            current = next;
            std::thread::sleep(LAG_STEP);
        }
        let _ = lag.compare_exchange(current, before, Ordering::Relaxed, Ordering::Relaxed);
    }

    fn break_list_service(&self, service: ServiceState, time: Duration) {
        let from = self.state.now();
        self.group.list_service().set_state(service);
        std::thread::sleep(time);
        self.group.list_service().set_state(ServiceState::Up);
        let to = self.state.now();
        lock(&self.state.record)
            .list_outages
            .push(Interval { from, to });
    }

    fn announce(&self, member: usize, phase: ListedPhase) {
        self.group.announce(member, phase);
        self.record_announcement(member, phase);
    }

    fn record_announcement(&self, member: usize, phase: ListedPhase) {
        let at = self.state.now();
        lock(&self.state.record)
            .announcements
            .push(Announcement { member, phase, at });
    }

    /// Shuts a gateway down while its clients keep using their connections, kills it if it still runs after `KILL_AFTER`, and
    /// restarts it.
    fn restart(&self, gateway: usize, signals: u32) {
        let Ok(_guard) = self.restart_locks[gateway].try_lock() else {
            return;
        };
        let accepts_clients = &self.state.accepts_clients[gateway];
        let fleet = self.state.gateways;
        let began = Instant::now();
        fleet.terminate(gateway);
        for n in 0..signals {
            std::thread::sleep(SIGNAL_INTERVAL);
            if n % 2 == 0 {
                fleet.reload(gateway);
            } else {
                fleet.terminate(gateway);
            }
        }
        std::thread::sleep(NEW_CONNECTIONS_STOP_AFTER.saturating_sub(began.elapsed()));
        accepts_clients.store(false, Ordering::SeqCst);
        while began.elapsed() < KILL_AFTER && !fleet.has_ended(gateway).unwrap_or(true) {
            std::thread::sleep(CHECK_INTERVAL);
        }
        fleet.kill(gateway);
        if fleet.restart(gateway).is_ok() {
            self.wait_until_ready(gateway);
        }
        accepts_clients.store(true, Ordering::SeqCst);
    }

    fn wait_until_ready(&self, gateway: usize) {
        let at = self.state.now();
        let timeout = at + READY_TIMEOUT;
        let mut ready_at = None;
        while ready_at.is_none() && self.state.now() < timeout {
            let address = self.state.gateways.address(gateway);
            let mut client = address.and_then(Client::connect);
            let is_ready = client.as_mut().is_some_and(Client::is_ready);
            ready_at = is_ready.then(|| self.state.now());
            std::thread::sleep(CHECK_INTERVAL);
        }
        let start = GatewayStart {
            gateway,
            at,
            ready_at,
        };
        lock(&self.state.record).starts.push(start);
    }

    /// Records the resources that gateways still hold some time after their clients have disconnected.
    fn record_gateway_resources(&self) {
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        for gateway in 0..self.plan.gateways {
            let mut unreleased = self.unreleased_counters(gateway);
            while !unreleased.is_empty() && Instant::now() < deadline {
                std::thread::sleep(CHECK_INTERVAL);
                unreleased = self.unreleased_counters(gateway);
            }
            let pid = self.state.gateways.pid(gateway);
            lock(&self.state.record)
                .gateway_resources
                .push(GatewayResources {
                    gateway,
                    unreleased,
                    peak_memory_mib: pid.and_then(peak_memory_mib).unwrap_or_default(),
                    descriptors: pid.and_then(descriptors).unwrap_or_default(),
                });
        }
    }

    /// The resource counters that are not 0; a single entry `no counters` if the gateway does not log them.
    fn unreleased_counters(&self, gateway: usize) -> Vec<String> {
        let Some(line) = self.state.gateways.counters(gateway) else {
            return vec!["no counters".to_owned()];
        };
        let words = line.split([' ', ',']);
        let open = words.filter(|word| {
            word.split_once('=')
                .is_some_and(|(name, value)| RESOURCE_COUNTERS.contains(&name) && value != "0")
        });
        open.map(str::to_owned).collect()
    }
}
