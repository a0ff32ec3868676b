//! Gateways as real processes, with their files in a folder of their own. They are killed, paused and started anew; their logs
//! are copied into files, and say where they listen.

use crate::error::TestkitError;
use crate::fleet_config::{FleetConfig, FleetMode};
use crate::gateway_files::{self, ClusterAddresses, GatewayFiles};
use crate::network::FaultyNetwork;
use crate::sync::lock;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A gateway that does not listen by then has not started.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Its port may be taken for a moment: then a gateway is started once more.
const START_RETRIES: usize = 3;
const START_RETRY_PAUSE: Duration = Duration::from_millis(100);

const LISTEN_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Counters that are not in the log by then do not come.
const COUNTERS_TIMEOUT: Duration = Duration::from_secs(5);

/// What a gateway logs before its counters.
const COUNTERS_LINE: &str = "counters ";

/// What a gateway logs before the address at which it listens ...
const LISTENING_LINE: &str = "listening on ";
/// ... and before the one of Flight SQL.
const FLIGHT_LINE: &str = "flight sql at ";

/// Where a gateway listens, once it has said so.
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

/// All gateways of a group. Those that still run are killed when it is dropped.
pub struct GatewayFleet {
    config: FleetConfig,
    network: Option<Arc<FaultyNetwork>>,
    gateways: Mutex<Vec<Gateway>>,
    /// The cluster's ports of gateways that have not started yet; each is freed just before its gateway binds it.
    reserved_ports: Mutex<Vec<Option<UdpSocket>>>,
}

impl GatewayFleet {
    /// Writes the gateways' files and starts them all.
    ///
    /// # Errors
    /// Where a file can't be written, or a gateway does not start.
    pub fn start(config: FleetConfig) -> Result<Self, TestkitError> {
        let fleet = Self::prepare(config)?;
        if fleet.config.mode == FleetMode::Bootstrap {
            fleet.restart_all(0..fleet.len(), Duration::ZERO)?;
        } else {
            (0..fleet.len()).try_for_each(|index| fleet.restart(index))?;
        }
        Ok(fleet)
    }

    /// Writes the gateways' files, and starts none.
    ///
    /// # Errors
    /// Where a file can't be written.
    pub fn prepare(config: FleetConfig) -> Result<Self, TestkitError> {
        let folder_error = |e| TestkitError::file(&config.folder, e);
        let sockets: Vec<_> = (0..config.gateways)
            .map(|_| UdpSocket::bind("127.0.0.1:0"))
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

    /// How many there are.
    pub fn len(&self) -> usize {
        self.config.gateways
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The network between them, where it has relays.
    pub fn network(&self) -> Option<&FaultyNetwork> {
        self.network.as_deref()
    }

    /// Where clients connect, if it runs.
    pub fn address(&self, index: usize) -> Option<SocketAddr> {
        let gateways = lock(&self.gateways);
        let addresses = &gateways.get(index)?.addresses;
        let address = lock(addresses).postgres;
        address
    }

    /// Where Flight SQL clients connect, if it runs and speaks that.
    pub fn flight_address(&self, index: usize) -> Option<SocketAddr> {
        let gateways = lock(&self.gateways);
        let addresses = &gateways.get(index)?.addresses;
        let address = lock(addresses).flight_sql;
        address
    }

    /// Its process id, while it runs.
    pub fn pid(&self, index: usize) -> Option<u32> {
        let gateways = lock(&self.gateways);
        gateways.get(index)?.process.as_ref().map(Child::id)
    }

    /// Its local control socket.
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

    /// Stops a gateway's process, until it is resumed.
    pub fn pause(&self, index: usize) {
        self.signal(index, Signal::STOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self, index: usize) {
        self.signal(index, Signal::CONT);
    }

    /// Has a gateway shut down gracefully.
    pub fn terminate(&self, index: usize) {
        self.signal(index, Signal::TERM);
    }

    /// Has a gateway read its configuration anew.
    pub fn reload(&self, index: usize) {
        self.signal(index, Signal::HUP);
    }

    /// Whether a gateway's process has ended, or was never started.
    ///
    /// # Errors
    /// Where the system does not tell.
    pub fn has_ended(&self, index: usize) -> std::io::Result<bool> {
        let mut gateways = lock(&self.gateways);
        match gateways.get_mut(index).and_then(|g| g.process.as_mut()) {
            Some(process) => Ok(process.try_wait()?.is_some()),
            None => Ok(true),
        }
    }

    /// Has a gateway log its counters; the line, or `None` where it does not come in time.
    pub fn counters(&self, index: usize) -> Option<String> {
        let log = self.files(index).log();
        let lines = || {
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            let lines = text.lines().filter(|line| line.contains(COUNTERS_LINE));
            lines.map(str::to_owned).collect::<Vec<_>>()
        };
        let before = lines().len();
        self.signal(index, Signal::USR1);
        let asked = Instant::now();
        while asked.elapsed() < COUNTERS_TIMEOUT {
            let now = lines();
            if now.len() > before {
                return now.into_iter().last();
            }
            std::thread::sleep(LISTEN_CHECK_INTERVAL);
        }
        None
    }

    /// Has all of them write their counters into their logs.
    pub fn log_counters(&self) {
        (0..self.len()).for_each(|index| self.signal(index, Signal::USR1));
    }

    /// Deletes a gateway's store. It must not run.
    pub fn delete_disk(&self, index: usize) {
        let _ = std::fs::remove_file(self.files(index).session_store());
    }

    /// Starts a gateway, anew where it ran, and waits until it listens.
    ///
    /// # Errors
    /// Where it does not, after some attempts.
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

    /// Starts these one after another, so far apart, anew where they ran, and waits until all listen.
    ///
    /// # Errors
    /// Where one does not, after some attempts.
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

    /// Kills all of them and removes their folder, at the end of a test; where it has failed their logs are printed.
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
            network.end();
        }
    }
}

/// Copies what a gateway logs into a file, and notes where it listens.
fn copy_log(stderr: ChildStderr, mut log: File, addresses: &Mutex<Addresses>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        let _ = writeln!(log, "{line}");
        if let Some(address) = address_after(&line, LISTENING_LINE) {
            lock(addresses).postgres = Some(address);
        }
        if let Some(address) = address_after(&line, FLIGHT_LINE) {
            lock(addresses).flight_sql = Some(address);
        }
    }
}

fn address_after(line: &str, prefix: &str) -> Option<SocketAddr> {
    let rest = line.split(prefix).nth(1)?;
    rest.split([',', ' ']).next()?.trim().parse().ok()
}
