//! Runs the gateway binary between client, member and list service sockets that the test controls. Every wait is for an event and
//! has a time limit.

use super::gateway_common::{config_text, entry, list_text, query, startup};
use super::pg_connection::{frame_kinds, PgConnection, Side, TIMEOUT};
use super::scripted_list_service::start_list_service;
use super::scripted_member::start_member;
use std::ffi::OsStr;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

/// A gateway process; killed on drop.
pub struct GatewayProcess {
    pub child: Child,
    pub address: SocketAddr,
    pub log: Receiver<String>,
    pub config: PathBuf,
}

impl GatewayProcess {
    /// Starts the program with the configuration of [`config_text`], and waits until it listens.
    pub fn start(name: &str, list_address: SocketAddr) -> Self {
        Self::start_with_config(name, list_address, &config_text("null"))
    }

    /// As [`GatewayProcess::start`], with this configuration.
    pub fn start_with_config(name: &str, list_address: SocketAddr, text: &str) -> Self {
        Self::start_with_env(name, list_address, text, &[])
    }

    /// As [`GatewayProcess::start_with_config`], with further environment variables.
    pub fn start_with_env(
        name: &str,
        list_address: SocketAddr,
        text: &str,
        env: &[(&str, &OsStr)],
    ) -> Self {
        let config =
            std::env::temp_dir().join(format!("stackgw-{}-{name}.json", std::process::id()));
        std::fs::write(&config, text).expect("a file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_stackgw"))
            .env("ROUTER_CONFIG", &config)
            .env("ROUTER_LISTEN", "127.0.0.1:0")
            .env("ROUTER_DISCOVERY", list_address.to_string())
            .envs(env.iter().copied())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the gateway");
        let (lines, log) = channel();
        let stderr = child.stderr.take().expect("the piped stderr");
        std::thread::spawn(move || {
            BufReader::new(stderr)
                .lines()
                .map_while(Result::ok)
                .for_each(|line| drop(lines.send(line)))
        });
        let mut gateway = GatewayProcess {
            child,
            address: list_address,
            log,
            config,
        };
        let line = gateway.wait_for_line("listening on ");
        let address = line
            .split("listening on ")
            .nth(1)
            .and_then(|rest| rest.split(',').next());
        gateway.address = address
            .and_then(|a| a.trim().parse().ok())
            .expect("the address that the gateway listens on");
        gateway
    }

    /// Waits for a log line that contains this text, and returns the line. Lines before it are discarded.
    pub fn wait_for_line(&self, text: &str) -> String {
        loop {
            let line = self
                .log
                .recv_timeout(TIMEOUT)
                .unwrap_or_else(|_| panic!("no log line contains '{text}'"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Requests the counters (SIGUSR1) and returns the value of one.
    pub fn counter(&self, counter: &str) -> u64 {
        self.signal("USR1");
        let line = self.wait_for_line("counters ");
        let value = line
            .split(' ')
            .find_map(|field| field.strip_prefix(counter)?.strip_prefix('='));
        value
            .and_then(|v| v.parse().ok())
            .unwrap_or_else(|| panic!("no counter '{counter}' in: {line}"))
    }

    /// Requests the counters until one has an expected value.
    pub fn wait_for_counter(&self, counter: &str, is_expected: impl Fn(u64) -> bool) {
        let started = Instant::now();
        loop {
            let value = self.counter(counter);
            if is_expected(value) {
                return;
            }
            assert!(
                started.elapsed() < TIMEOUT,
                "counter {counter} still has the value {value}"
            );
        }
    }

    /// Rewrites the configuration file with this address of the list service.
    pub fn write_config(&self, list_address: SocketAddr) {
        let text = config_text("null").replace("127.0.0.1:8500", &list_address.to_string());
        std::fs::write(&self.config, text).expect("a file");
    }

    /// Sends the process the named signal.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh")
            .args(["-c", &kill])
            .status()
            .expect("a shell")
            .success());
    }

    /// Connects without sending a startup message.
    pub fn connect(&self) -> PgConnection {
        PgConnection::new(
            TcpStream::connect(self.address).expect("a connection"),
            Side::Client,
        )
    }

    /// Connects a client, completes its startup and waits until the gateway is ready.
    pub fn ready_client(&self) -> PgConnection {
        let mut connection = self.connect();
        connection.write(&[startup()]);
        assert_eq!(connection.read_reply().last().map(|f| f.kind), Some(b'Z'));
        // An empty query is answered only once the gateway can serve.
        connection.write(&[query("")]);
        assert_eq!(frame_kinds(&connection.read_reply()), "IZ");
        connection
    }

    /// Number of open file descriptors of the process.
    pub fn descriptors(&self) -> usize {
        let folder = format!("/proc/{}/fd", self.child.id());
        let descriptors = std::fs::read_dir(folder).expect("the descriptors of the process");
        descriptors.count()
    }

    /// The address of the process's only UDP socket.
    pub fn datagram_address(&self) -> SocketAddr {
        let folder = format!("/proc/{}", self.child.id());
        let descriptors = std::fs::read_dir(format!("{folder}/fd")).expect("the descriptors");
        let links = descriptors.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
        let sockets: Vec<String> = links.map(|link| link.display().to_string()).collect();
        let table = std::fs::read_to_string(format!("{folder}/net/udp")).expect("UDP sockets");
        let port = table.lines().skip(1).find_map(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let (local, inode) = (fields.get(1)?, fields.get(9)?);
            let port = local.split(':').nth(1)?;
            let is_own = sockets.contains(&format!("socket:[{inode}]"));
            is_own.then(|| u16::from_str_radix(port, 16).ok())?
        });
        SocketAddr::from((Ipv4Addr::LOCALHOST, port.expect("a UDP socket")))
    }

    /// The process's resident memory, in KiB.
    pub fn resident_kib(&self) -> usize {
        self.status_kib("VmRSS:")
    }

    /// The peak resident memory of the process, in KiB.
    pub fn peak_kib(&self) -> usize {
        self.status_kib("VmHWM:")
    }

    fn status_kib(&self, name: &str) -> usize {
        let file = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(file).expect("the process status");
        let field = status.lines().find_map(|l| l.strip_prefix(name));
        let field = field.expect("the memory field").trim();
        let kib = field.trim_end_matches(" kB").trim().parse();
        kib.expect("a number")
    }

    /// Waits until the process ends; panics after about 20 s.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        for _ in 0..2000 {
            if let Some(status) = self.child.try_wait().expect("the process status") {
                return status;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("the gateway did not exit in time");
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let status = self.child.try_wait();
            eprintln!("gateway exit status: {status:?}; its log:");
            self.log.try_iter().for_each(|line| eprintln!("  {line}"));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// A gateway in front of a primary and two replicas.
pub struct GatewayFixture {
    pub gateway: GatewayProcess,
    /// The statements that members received.
    pub statements: Receiver<String>,
    /// By member, releases its answer to a statement with the key `slow`.
    pub release: Vec<Sender<()>>,
    /// The entries of the endpoint list, the primary first.
    pub entries: Vec<String>,
}

/// Starts members and a gateway; `start_lists` starts the list service from the members' entries.
pub fn start_fixture_with(
    name: &str,
    start_lists: impl FnOnce(&[String]) -> SocketAddr,
) -> GatewayFixture {
    start_fixture_with_config(name, &config_text("null"), start_lists)
}

/// As [`start_fixture_with`], with this configuration.
pub fn start_fixture_with_config(
    name: &str,
    config: &str,
    start_lists: impl FnOnce(&[String]) -> SocketAddr,
) -> GatewayFixture {
    start_fixture_with_env(name, config, &[], start_lists)
}

/// As [`start_fixture_with_config`], with further environment variables for the gateway.
pub fn start_fixture_with_env(
    name: &str,
    config: &str,
    env: &[(&str, &OsStr)],
    start_lists: impl FnOnce(&[String]) -> SocketAddr,
) -> GatewayFixture {
    let (sender, statements) = channel();
    let (mut release, mut entries) = (Vec::new(), Vec::new());
    for n in 1..=3 {
        let (send_release, receive_release) = channel();
        release.push(send_release);
        let port = start_member(n == 1, sender.clone(), receive_release);
        let role = if n == 1 { "leader" } else { "follower" };
        entries.push(
            entry(n, "ready", role).replace(&format!(":{}\"", 7000 + n), &format!(":{port}\"")),
        );
    }
    GatewayFixture {
        gateway: GatewayProcess::start_with_env(name, start_lists(&entries), config, env),
        statements,
        release,
        entries,
    }
}

/// As [`start_fixture_with`], with a list service that lists all members.
pub fn start_fixture(name: &str) -> GatewayFixture {
    start_fixture_with(name, |entries| {
        start_list_service(list_text(1, true, entries))
    })
}
