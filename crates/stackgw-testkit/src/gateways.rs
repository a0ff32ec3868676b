//! GatewayFleet as real processes, with their configuration, their keys and their disks in a folder of their own.

use crate::network::FaultyNetwork;
use crate::replica_group::{lock, Protocol, BOUND_MS, GROUP};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What sessions rest on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetMode {
    /// Marks across instances.
    SharedSessions,
    /// Marks in each process alone.
    LocalSessions,
    /// The same, beside what [`FleetConfig::start`] says.
    Bootstrap,
}

/// How gateways come to know the list, where not as the platform has it.
#[derive(Debug, Clone, Default)]
pub struct BootstrapConfig {
    /// They talk to each other; the keepers are the seeds.
    pub cluster: bool,
    /// The lines of the operator's file below `start:`, without their indent; `{n}` is the gateway's number and `{folder}`
    /// where files go.
    pub lines: Vec<String>,
}

/// What gateways are set up as.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// The program.
    pub program: PathBuf,
    /// Where files go; it must be there.
    pub folder: PathBuf,
    /// The list's agents, dealt out in turn.
    pub agents: Vec<SocketAddr>,
    /// How many gateways.
    pub gateways: usize,
    /// So many of them are keepers.
    pub session_replicas: usize,
    /// What sessions rest on.
    pub mode: FleetMode,
    /// Keepers have disks.
    pub disks: bool,
    /// The lease, in milliseconds.
    pub lease_ms: u64,
    /// The horizon, in milliseconds.
    pub retention_ms: u64,
    /// Their datagrams pass through relays that can cut and lose.
    pub relays: bool,
    /// They speak Flight SQL too.
    pub flight: bool,
    /// What the members speak.
    pub speaks: Protocol,
    /// Flight SQL clients show who they are, `basic` or `bearer`: the one user is [`USER`].
    pub auth: Option<&'static str>,
    /// How they come to know the list.
    pub start: BootstrapConfig,
}

impl FleetConfig {
    /// GatewayFleet of a program with their files in a folder, two of them, both keepers with disks; nothing else is on.
    pub fn new(program: PathBuf, folder: PathBuf, agents: Vec<SocketAddr>) -> Self {
        FleetConfig {
            program,
            folder,
            agents,
            gateways: 2,
            session_replicas: 2,
            mode: FleetMode::SharedSessions,
            disks: true,
            lease_ms: 400,
            retention_ms: 5_000,
            relays: false,
            flight: false,
            speaks: Protocol::Postgres,
            auth: None,
            start: BootstrapConfig::default(),
        }
    }
}

/// Name and secret of the user whom gateways know where clients show who they are.
pub const USER: (&str, &str) = ("depot", "a secret of this trial");

struct Gateway {
    child: Option<Child>,
    address: Arc<Mutex<Option<SocketAddr>>>,
    flight: Arc<Mutex<Option<SocketAddr>>>,
}

/// All of them.
pub struct GatewayFleet {
    setup: FleetConfig,
    net: Option<Arc<FaultyNetwork>>,
    gateways: Mutex<Vec<Gateway>>,
    /// The ports of those that have not started yet; each is let go just before its gateway binds it.
    ports: Mutex<Vec<Option<UdpSocket>>>,
}

const START: Duration = Duration::from_secs(20);

impl GatewayFleet {
    /// Writes their files and starts them all.
    pub fn start(setup: FleetConfig) -> Result<Self, String> {
        let gateways = Self::prepare(setup)?;
        if gateways.setup.mode == FleetMode::Bootstrap {
            gateways.restart_all(0..gateways.len(), Duration::ZERO)?;
        } else {
            (0..gateways.len()).try_for_each(|n| gateways.restart(n))?;
        }
        Ok(gateways)
    }

    /// Writes their files.
    pub fn prepare(setup: FleetConfig) -> Result<Self, String> {
        let wrong = |e: std::io::Error| format!("{}: {e}", setup.folder.display());
        // Ports that are free now.
        let sockets: Vec<_> = (0..setup.gateways)
            .map(|_| UdpSocket::bind("127.0.0.1:0"))
            .collect::<Result<_, _>>()
            .map_err(wrong)?;
        let ports: Vec<_> = sockets
            .iter()
            .map(|s| s.local_addr())
            .collect::<Result<_, _>>()
            .map_err(wrong)?;
        let (net, reached) = match setup.relays {
            true => FaultyNetwork::start(&ports)
                .map(|(net, reached)| (Some(net), reached))
                .map_err(wrong)?,
            false => (None, ports.clone()),
        };
        let key = setup.folder.join("cluster.key");
        std::fs::write(
            &key,
            format!("a key of this trial alone, {}", std::process::id()),
        )
        .map_err(wrong)?;
        let seeds: Vec<_> = reached
            .iter()
            .take(setup.session_replicas)
            .map(|port| format!("\"{port}\""))
            .collect();
        let keepers: Vec<_> = (0..setup.session_replicas)
            .map(|n| format!("g{n}"))
            .collect();
        for (n, port) in ports.iter().enumerate() {
            let document = platform(n, &setup);
            std::fs::write(
                setup.folder.join(format!("g{n}.json")),
                document.to_string(),
            )
            .map_err(wrong)?;
            let store = format!(
                "\n  store: {}",
                setup.folder.join(format!("g{n}.redb")).display()
            );
            let shared = format!(
                "control: {}\nsessions:\n  cluster: trial\n  listen: {port}\n  advertise: {}\n  seeds: [{}]\n  keys: [{}]\n  keepers: [{}]\n  lease: {}ms\n  horizon: {}ms{}\n",
                setup.folder.join(format!("g{n}.sock")).display(),
                reached[n],
                seeds.join(", "),
                key.display(),
                keepers.join(", "),
                setup.lease_ms,
                setup.retention_ms,
                if setup.disks && n < setup.session_replicas { store.as_str() } else { "" },
            );
            let file = if setup.mode == FleetMode::Bootstrap {
                started(&setup, n, *port, reached[n], &seeds, &key)
            } else {
                shared
            };
            let flight = format!(
                "flight:\n  listen: 127.0.0.1:0\n  keys: [{}]\n  ticket: 5s\n",
                key.display()
            );
            let file = if setup.flight { file + &flight } else { file };
            let users = setup.folder.join("flight.users");
            let file = match setup.auth {
                Some(way) => {
                    std::fs::write(&users, format!("# one\n{}:{}\n", USER.0, USER.1))
                        .map_err(wrong)?;
                    format!("{file}  auth: {{{way}: {}}}\n", users.display())
                }
                None => file,
            };
            let back = setup.speaks != Protocol::Postgres;
            let file = if back {
                // Short, so that tests see their ends.
                let bulk = "  bulk: {stall: 1500ms, silence: 700ms, each_kib: 256, all_kib: 4096, message_kib: 2048}";
                format!("{file}  groups: [{GROUP}]\n{bulk}\n")
            } else {
                file
            };
            std::fs::write(setup.folder.join(format!("g{n}.yaml")), file).map_err(wrong)?;
        }
        let empty = || Gateway {
            child: None,
            address: Arc::default(),
            flight: Arc::default(),
        };
        let gateways = Mutex::new((0..setup.gateways).map(|_| empty()).collect());
        Ok(GatewayFleet {
            gateways,
            net,
            setup,
            ports: Mutex::new(sockets.into_iter().map(Some).collect()),
        })
    }

    /// Starts these at once, or this far apart, anew where they ran, and waits until all listen.
    pub fn restart_all(
        &self,
        which: impl Iterator<Item = usize> + Clone,
        apart: Duration,
    ) -> Result<(), String> {
        which.clone().for_each(|n| self.kill(n));
        for n in which.clone() {
            self.spawn(n)?;
            std::thread::sleep(apart);
        }
        for n in which {
            if self.listens(n).is_err() {
                self.restart(n)?;
            }
        }
        Ok(())
    }

    fn signal(&self, n: usize, signal: Signal) {
        if let Some(pid) = self
            .pid(n)
            .and_then(|id| Pid::from_raw(i32::try_from(id).ok()?))
        {
            let _ = kill_process(pid, signal);
        }
    }

    /// Has all of them write their counters into their logs.
    pub fn report(&self) {
        (0..self.len()).for_each(|n| self.signal(n, Signal::USR1));
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.setup.gateways
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The network between them, where it can be broken.
    pub fn net(&self) -> Option<&FaultyNetwork> {
        self.net.as_deref()
    }

    /// Where clients connect, if it runs.
    pub fn address(&self, n: usize) -> Option<SocketAddr> {
        *lock(&lock(&self.gateways).get(n)?.address)
    }

    /// Where Flight SQL clients connect, if it runs and speaks that.
    pub fn flight(&self, n: usize) -> Option<SocketAddr> {
        *lock(&lock(&self.gateways).get(n)?.flight)
    }

    /// The process, while it runs.
    pub fn pid(&self, n: usize) -> Option<u32> {
        lock(&self.gateways).get(n)?.child.as_ref().map(Child::id)
    }

    /// Kills all of them and removes their folder, at the end of a test; what they have logged is printed where it failed.
    pub fn clear_up(&self) {
        for n in (0..self.len()).filter(|_| std::thread::panicking()) {
            let log = self.setup.folder.join(format!("g{n}.log"));
            eprintln!(
                "g{n}:\n{}",
                std::fs::read_to_string(log).unwrap_or_default()
            );
        }
        (0..self.len()).for_each(|n| self.kill(n));
        let _ = std::fs::remove_dir_all(&self.setup.folder);
    }

    /// A gateway's local socket.
    pub fn control(&self, n: usize) -> PathBuf {
        self.setup.folder.join(format!("g{n}.sock"))
    }

    /// Kills a gateway where it stands.
    pub fn kill(&self, n: usize) {
        let mut gateways = lock(&self.gateways);
        let Some(gateway) = gateways.get_mut(n) else {
            return;
        };
        *lock(&gateway.address) = None;
        if let Some(mut child) = gateway.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops a gateway's process in its tracks, or lets it go on.
    pub fn pause(&self, n: usize, paused: bool) {
        self.signal(n, if paused { Signal::STOP } else { Signal::CONT });
    }

    /// Takes a gateway's disk away. It must not run.
    pub fn lose_disk(&self, n: usize) {
        let _ = std::fs::remove_file(self.setup.folder.join(format!("g{n}.redb")));
    }

    /// Starts a gateway, anew where it ran, and waits until it listens. Its port may be lent out for a moment: then it is
    /// started once more.
    pub fn restart(&self, n: usize) -> Result<(), String> {
        let mut started = self.try_start(n);
        for _ in 0..3 {
            if started.is_ok() {
                break;
            }
            std::thread::sleep(Duration::from_millis(100));
            started = self.try_start(n);
        }
        started
    }

    fn try_start(&self, n: usize) -> Result<(), String> {
        self.kill(n);
        self.spawn(n)?;
        self.listens(n)
    }

    /// Starts a gateway's process.
    fn spawn(&self, n: usize) -> Result<(), String> {
        let FleetConfig {
            program,
            folder,
            mode,
            ..
        } = &self.setup;
        let wrong = |e: std::io::Error| format!("{}: {e}", program.display());
        drop(lock(&self.ports).get_mut(n).and_then(Option::take));
        let mut command = Command::new(program);
        command
            .arg("run")
            .arg("--config")
            .arg(folder.join(format!("g{n}.json")));
        if *mode != FleetMode::LocalSessions {
            command.arg("--file").arg(folder.join(format!("g{n}.yaml")));
        }
        let mut child = command
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(wrong)?;
        let stderr = child.stderr.take().ok_or("no log")?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("g{n}.log")));
        let mut log = log.map_err(wrong)?;
        let address: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        let flight: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        let (found, flies) = (address.clone(), flight.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let _ = writeln!(log, "{line}");
                for (before, place) in [("listening on ", &found), ("flight sql at ", &flies)] {
                    let word = line
                        .split(before)
                        .nth(1)
                        .and_then(|rest| rest.split([',', ' ']).next());
                    if let Some(at) = word.and_then(|at| at.trim().parse().ok()) {
                        *lock(place) = Some(at);
                    }
                }
            }
        });
        if let Some(gateway) = lock(&self.gateways).get_mut(n) {
            (gateway.child, gateway.address, gateway.flight) = (Some(child), address, flight);
        }
        Ok(())
    }

    /// Waits until a gateway that was started listens.
    fn listens(&self, n: usize) -> Result<(), String> {
        let since = Instant::now();
        while self.address(n).is_none() {
            let over = match lock(&self.gateways)
                .get_mut(n)
                .and_then(|g| g.child.as_mut())
            {
                Some(child) => child.try_wait().map_err(|e| e.to_string())?.is_some(),
                None => true,
            };
            if over || since.elapsed() > START {
                self.kill(n);
                return Err(format!(
                    "gateway g{n} did not start: {}",
                    last_line(&self.setup.folder, n)
                ));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }
}

impl Drop for GatewayFleet {
    fn drop(&mut self) {
        (0..self.len()).for_each(|n| self.kill(n));
        if let Some(net) = &self.net {
            net.end();
        }
    }
}

fn last_line(folder: &Path, n: usize) -> String {
    let text = std::fs::read_to_string(folder.join(format!("g{n}.log"))).unwrap_or_default();
    text.lines().last().unwrap_or("it said nothing").to_owned()
}

/// The operator's file of one gateway that knows no sessions across instances.
fn started(
    setup: &FleetConfig,
    n: usize,
    port: SocketAddr,
    reached: SocketAddr,
    seeds: &[String],
    key: &Path,
) -> String {
    let mut file = format!(
        "control: {}\n",
        setup.folder.join(format!("g{n}.sock")).display()
    );
    if setup.start.cluster {
        file += &format!(
            "cluster:\n  name: trial\n  listen: {port}\n  advertise: {reached}\n  seeds: [{}]\n  keys: [{}]\n  expected: {}\n",
            seeds.join(", "),
            key.display(),
            setup.gateways
        );
    }
    if !setup.start.lines.is_empty() {
        file += "start:\n";
    }
    let folder = setup.folder.display().to_string();
    for line in &setup.start.lines {
        let line = line
            .replace("{n}", &n.to_string())
            .replace("{folder}", &folder);
        file += &format!("  {line}\n");
    }
    file
}

/// The platform's document for one gateway.
fn platform(n: usize, setup: &FleetConfig) -> serde_json::Value {
    let (fleet, agent) = (setup.gateways, setup.agents[n % setup.agents.len()]);
    const MS: i64 = 1_000_000;
    let class = |name: &str, effect: &str, deadline_ms: i64| {
        json!({"Name": name, "Effect": effect, "Group": "all", "AimNs": 200 * MS, "DeadlineNs": deadline_ms * MS,
            "DedupWindowNs": 0, "LateWorth": 0.5, "Worth": 1.0})
    };
    let marks = if setup.mode == FleetMode::SharedSessions {
        "client"
    } else {
        "router"
    };
    json!({
        "name": format!("g{n}"), "listen": "127.0.0.1:0", "discovery": agent.to_string(), "seed": format!("{:x}", 77 + n),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "settings": {
            "Classes": [class("look", "retryable", 1_000), class("mine", "retryable", 1_000), class("buy", "fragile", 3_000)],
            "FleetSize": fleet, "Me": n, "Zone": 0, "Zones": ["room"], "QuantumNs": 5 * MS, "MembershipMode": "automatic",
            "Clients": {"MarksRetry": false},
            "Domain": {"Behind": "silent", "CatchUpWaitNs": 0, "CommitWaits": false, "CountedFromNs": 0,
                "NeedsByClass": ["recent", "own_writes", "update"], "RoleListed": "delayed", "SessionMarks": marks,
                "StalenessBoundNs": [BOUND_MS * 1_000_000, 0, 0], "Stamps": true},
            "Limits": {"Cancel": true, "ConnIdleNs": 20_000 * MS, "DialTimeoutNs": 250 * MS, "MaxAttempts": 5,
                "MaxOpen": 10_000, "MaxRetryAfterNs": 1_000 * MS, "MayTell": false, "Probes": true, "RetryAfter": true,
                "SecondCopies": false},
            "Obligations": {"AnswerSlackNs": 20 * MS, "FallMultiple": 4.0, "FallNs": 1_000 * MS, "StartCapacity": 0.25,
                "StopSendingWithinNs": 1_000 * MS, "WarmWithinNs": 10_000 * MS},
            "Prices": {"Probe": 0.05, "CrossZone": 0.0, "Waste": 0.04, "LateFail": 0.1},
            "Stats": {"How": "piggyback", "Fields": ["x0", "x1"]}
        }
    })
}

/// The group that statements name.
pub(crate) fn group() -> u32 {
    GROUP
}
