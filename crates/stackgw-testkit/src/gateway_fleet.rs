//! Gateways as real processes, with their files in their own folder. They can be killed, paused and restarted. Their logs are
//! copied into files and searched for the addresses at which they listen.

use crate::error::TestkitError;
use crate::fleet_config::{FleetConfig, FleetMode};
use crate::gateway_files::{self, ClusterAddresses, GatewayFiles};
use crate::network::FaultyNetwork;
use crate::sync::lock;
use crate::udp_ports;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a gateway may take to listen before its start counts as failed.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// How often a failed start is retried, as another process may hold the gateway's port for a moment.
const START_RETRIES: usize = 3;
const START_RETRY_PAUSE: Duration = Duration::from_millis(100);

const LISTEN_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// How long to wait for a gateway to log its counters.
const COUNTERS_TIMEOUT: Duration = Duration::from_secs(5);

/// The text that precedes the counters in a gateway's log.
const COUNTERS_PREFIX: &str = "counters ";

/// The text that precedes the address of the PostgreSQL listener in a gateway's log.
const LISTENING_PREFIX: &str = "listening on ";
/// The text that precedes the address of the Flight SQL listener in a gateway's log.
const FLIGHT_PREFIX: &str = "flight sql at ";

/// The addresses at which a gateway listens, as far as it has logged them.
#[derive(Debug, Default)]
struct Addresses {
    postgres: Option<SocketAddr>,
    flight_sql: Option<SocketAddr>,
}

#[derive(Default)]
struct Gateway {
    process: Option<Child>,
    addresses: Arc<Mutex<Addresses>>,
}

/// All gateways of a group. Dropping the fleet kills the gateways that still run.
pub struct GatewayFleet {
    config: FleetConfig,
    network: Option<Arc<FaultyNetwork>>,
    gateways: Mutex<Vec<Gateway>>,
    /// The cluster ports reserved for gateways that have not started yet; each is released just before its gateway binds it.
    reserved_ports: Mutex<Vec<Option<UdpSocket>>>,
}

impl GatewayFleet {
    /// Writes the gateways' files and starts them all.
    ///
    /// # Errors
    /// If a file can't be written, or a gateway does not start.
    pub fn start(config: FleetConfig) -> Result<Self, TestkitError> {
        let fleet = Self::prepare(config)?;
        if fleet.config.mode == FleetMode::Bootstrap {
            fleet.restart_all(0..fleet.len(), Duration::ZERO)?;
        } else {
            (0..fleet.len()).try_for_each(|index| fleet.restart(index))?;
        }
        Ok(fleet)
    }

    /// Writes the gateways' files without starting any gateway.
    ///
    /// # Errors
    /// If a file can't be written.
    pub fn prepare(config: FleetConfig) -> Result<Self, TestkitError> {
        let folder_error = |e| TestkitError::file(&config.folder, e);
        let sockets: Vec<_> = (0..config.gateways)
            .map(|_| udp_ports::reserve())
            .collect::<Result<_, _>>()
            .map_err(folder_error)?;
        let listen: Vec<_> = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<Result<_, _>>()
            .map_err(folder_error)?;
        let mut network = None;
        let mut advertise = listen.clone();
        if config.has_relays {
            let (relays, relay_addresses) = FaultyNetwork::start(&listen).map_err(folder_error)?;
            network = Some(relays);
            advertise = relay_addresses;
        }
        gateway_files::write_all(&config, &ClusterAddresses { listen, advertise })?;
        let gateways = (0..config.gateways).map(|_| Gateway::default());
        Ok(GatewayFleet {
            gateways: Mutex::new(gateways.collect()),
            network,
            config,
            reserved_ports: Mutex::new(sockets.into_iter().map(Some).collect()),
        })
    }

    /// The number of gateways.
    pub fn len(&self) -> usize {
        self.config.gateways
    }

    /// Whether the fleet has no gateways.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The network between the gateways, if it has relays.
    pub fn network(&self) -> Option<&FaultyNetwork> {
        self.network.as_deref()
    }

    /// The address for clients of a gateway; `None` if the gateway was killed or does not listen yet. A gateway that exits
    /// by itself keeps its address until it is killed or restarted.
    pub fn address(&self, index: usize) -> Option<SocketAddr> {
        let gateways = lock(&self.gateways);
        let addresses = &gateways.get(index)?.addresses;
        let address = lock(addresses).postgres;
        address
    }

    /// The address for Flight SQL clients of a gateway; `None` if the gateway does not listen yet or does not serve Flight
    /// SQL. A killed gateway keeps this address until it is restarted.
    pub fn flight_address(&self, index: usize) -> Option<SocketAddr> {
        let gateways = lock(&self.gateways);
        let addresses = &gateways.get(index)?.addresses;
        let address = lock(addresses).flight_sql;
        address
    }

    /// A gateway's process id; `None` if the gateway was killed or never started.
    pub fn pid(&self, index: usize) -> Option<u32> {
        let gateways = lock(&self.gateways);
        gateways.get(index)?.process.as_ref().map(Child::id)
    }

    /// The path of a gateway's local control socket.
    pub fn control_socket(&self, index: usize) -> PathBuf {
        self.files(index).control_socket()
    }

    /// Kills a gateway.
    pub fn kill(&self, index: usize) {
        let mut gateways = lock(&self.gateways);
        let Some(gateway) = gateways.get_mut(index) else {
            return;
        };
        lock(&gateway.addresses).postgres = None;
        if let Some(mut process) = gateway.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Stops a gateway's process (SIGSTOP) until it is resumed.
    pub fn pause(&self, index: usize) {
        self.signal(index, Signal::STOP);
    }

    /// Resumes a paused process (SIGCONT).
    pub fn resume(&self, index: usize) {
        self.signal(index, Signal::CONT);
    }

    /// Makes a gateway shut down gracefully (SIGTERM).
    pub fn terminate(&self, index: usize) {
        self.signal(index, Signal::TERM);
    }

    /// Makes a gateway reload its configuration (SIGHUP).
    pub fn reload(&self, index: usize) {
        self.signal(index, Signal::HUP);
    }

    /// Whether a gateway's process has exited or was killed, or was never started.
    ///
    /// # Errors
    /// If the operating system can't report the process's state.
    pub fn has_ended(&self, index: usize) -> std::io::Result<bool> {
        let mut gateways = lock(&self.gateways);
        match gateways.get_mut(index).and_then(|g| g.process.as_mut()) {
            Some(process) => Ok(process.try_wait()?.is_some()),
            None => Ok(true),
        }
    }

    /// Makes a gateway log its counters (SIGUSR1); returns the log line, or `None` if it does not appear in time.
    pub fn counters(&self, index: usize) -> Option<String> {
        let log = self.files(index).log();
        let lines = || {
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            // The last line may be half written.
            let complete = text.rsplit_once('\n').map_or("", |(complete, _)| complete);
            let lines = complete.lines();
            let lines = lines.filter(|line| line.contains(COUNTERS_PREFIX));
            lines.map(str::to_owned).collect::<Vec<_>>()
        };
        let before = lines().len();
        self.signal(index, Signal::USR1);
        let requested_at = Instant::now();
        while requested_at.elapsed() < COUNTERS_TIMEOUT {
            let now = lines();
            if now.len() > before {
                return now.into_iter().last();
            }
            std::thread::sleep(LISTEN_CHECK_INTERVAL);
        }
        None
    }

    /// Makes all gateways write their counters into their logs.
    pub fn log_counters(&self) {
        (0..self.len()).for_each(|index| self.signal(index, Signal::USR1));
    }

    /// Deletes a gateway's session store. The gateway must not be running.
    pub fn delete_disk(&self, index: usize) {
        let _ = std::fs::remove_file(self.files(index).session_store());
    }

    /// Starts a gateway, after killing it if it is running, and waits until it listens.
    ///
    /// # Errors
    /// If it does not listen after several attempts.
    pub fn restart(&self, index: usize) -> Result<(), TestkitError> {
        let mut started = self.try_start(index);
        for _ in 0..START_RETRIES {
            if started.is_ok() {
                break;
            }
            std::thread::sleep(START_RETRY_PAUSE);
            started = self.try_start(index);
        }
        started
    }

    /// Kills those of these gateways that are running, starts all of them at this interval, and waits until all listen.
    ///
    /// # Errors
    /// If one of them does not listen after several attempts.
    pub fn restart_all(
        &self,
        indices: impl Iterator<Item = usize> + Clone,
        interval: Duration,
    ) -> Result<(), TestkitError> {
        indices.clone().for_each(|index| self.kill(index));
        for index in indices.clone() {
            self.spawn(index)?;
            std::thread::sleep(interval);
        }
        for index in indices {
            if self.wait_until_listening(index).is_err() {
                self.restart(index)?;
            }
        }
        Ok(())
    }

    /// Kills all gateways and removes their folder. Prints their logs first if the calling test is failing.
    pub fn clean_up(&self) {
        for index in (0..self.len()).filter(|_| std::thread::panicking()) {
            let log = std::fs::read_to_string(self.files(index).log());
            eprintln!("g{index}:\n{}", log.unwrap_or_default());
        }
        (0..self.len()).for_each(|index| self.kill(index));
        let _ = std::fs::remove_dir_all(&self.config.folder);
    }

    fn files(&self, index: usize) -> GatewayFiles<'_> {
        GatewayFiles {
            folder: &self.config.folder,
            index,
        }
    }

    fn signal(&self, index: usize, signal: Signal) {
        let pid = self.pid(index);
        if let Some(pid) = pid.and_then(|pid| Pid::from_raw(i32::try_from(pid).ok()?)) {
            let _ = kill_process(pid, signal);
        }
    }

    fn try_start(&self, index: usize) -> Result<(), TestkitError> {
        self.kill(index);
        self.spawn(index)?;
        self.wait_until_listening(index)
    }

    /// Starts a gateway's process.
    fn spawn(&self, index: usize) -> Result<(), TestkitError> {
        let program = &self.config.program;
        let files = self.files(index);
        drop(
            lock(&self.reserved_ports)
                .get_mut(index)
                .and_then(Option::take),
        );
        let mut command = Command::new(program);
        command
            .args(["run", "--config"])
            .arg(files.platform_document());
        if self.config.mode != FleetMode::LocalSessions {
            command.arg("--file").arg(files.operator_file());
        }
        let file_error = |e| TestkitError::file(program, e);
        let mut process = command
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(file_error)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(files.log())
            .map_err(file_error)?;
        let addresses: Arc<Mutex<Addresses>> = Arc::default();
        if let Some(stderr) = process.stderr.take() {
            let addresses = addresses.clone();
            std::thread::spawn(move || copy_log(stderr, log, &addresses));
        }
        if let Some(gateway) = lock(&self.gateways).get_mut(index) {
            gateway.process = Some(process);
            gateway.addresses = addresses;
        }
        Ok(())
    }

    fn wait_until_listening(&self, index: usize) -> Result<(), TestkitError> {
        let started = Instant::now();
        while self.address(index).is_none() {
            if self.has_ended(index)? || started.elapsed() > START_TIMEOUT {
                self.kill(index);
                return Err(TestkitError::GatewayStart {
                    index,
                    last_log_line: self.files(index).last_log_line(),
                });
            }
            std::thread::sleep(LISTEN_CHECK_INTERVAL);
        }
        Ok(())
    }
}

impl Drop for GatewayFleet {
    fn drop(&mut self) {
        (0..self.len()).for_each(|index| self.kill(index));
        if let Some(network) = &self.network {
            network.request_stop();
        }
    }
}

/// Copies a gateway's log into a file, and records the addresses at which it listens.
fn copy_log(stderr: ChildStderr, mut log: File, addresses: &Mutex<Addresses>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        let _ = writeln!(log, "{line}");
        if let Some(address) = address_after(&line, LISTENING_PREFIX) {
            lock(addresses).postgres = Some(address);
        }
        if let Some(address) = address_after(&line, FLIGHT_PREFIX) {
            lock(addresses).flight_sql = Some(address);
        }
    }
}

fn address_after(line: &str, prefix: &str) -> Option<SocketAddr> {
    let rest = line.split(prefix).nth(1)?;
    rest.split([',', ' ']).next()?.trim().parse().ok()
}
