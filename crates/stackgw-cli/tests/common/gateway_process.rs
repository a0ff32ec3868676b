//! The gateway's binary between sockets that a test drives by hand. Every wait is for an event and bounded.

use super::gateway_common::{config_text, entry, list_text, query, startup};
use super::pg_connection::{frame_kinds, PgConnection, Side, TIMEOUT};
use super::scripted_list_service::start_list_service;
use super::scripted_member::start_member;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

/// The gateway's process, killed when it is dropped.
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

    /// The same with this configuration.
    pub fn start_with_config(name: &str, list_address: SocketAddr, text: &str) -> Self {
        let config =
            std::env::temp_dir().join(format!("stackgw-{}-{name}.json", std::process::id()));
        std::fs::write(&config, text).expect("a file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_stackgw"))
            .env("ROUTER_CONFIG", &config)
            .env("ROUTER_LISTEN", "127.0.0.1:0")
            .env("ROUTER_DISCOVERY", list_address.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the gateway");
        let (lines, log) = channel();
        let stderr = child.stderr.take().expect("its log");
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
        let word = line
            .split("listening on ")
            .nth(1)
            .and_then(|rest| rest.split(',').next());
        gateway.address = word
            .and_then(|a| a.trim().parse().ok())
            .expect("its address");
        gateway
    }

    /// Waits for a line of the log that has this text.
    pub fn wait_for_line(&self, text: &str) -> String {
        loop {
            let line = self
                .log
                .recv_timeout(TIMEOUT)
                .unwrap_or_else(|_| panic!("no line with '{text}'"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Asks for the counters; gives the value of one.
    pub fn counter(&self, counter: &str) -> u64 {
        self.signal("USR1");
        let line = self.wait_for_line("counters ");
        let value = line
            .split(' ')
            .find_map(|word| word.strip_prefix(counter)?.strip_prefix('='));
        value.and_then(|v| v.parse().ok()).expect("the counter")
    }

    /// Asks for the counters until one is as expected.
    pub fn wait_for_counter(&self, counter: &str, is_expected: impl Fn(u64) -> bool) {
        let started = Instant::now();
        loop {
            let value = self.counter(counter);
            if is_expected(value) {
                return;
            }
            assert!(started.elapsed() < TIMEOUT, "{counter}={value}");
        }
    }

    /// Writes the configuration anew, with this address for the list.
    pub fn write_config(&self, list_address: SocketAddr) {
        let text = config_text("null").replace("127.0.0.1:8500", &list_address.to_string());
        std::fs::write(&self.config, text).expect("a file");
    }

    /// Sends the process a signal by its name.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh")
            .args(["-c", &kill])
            .status()
            .expect("a shell")
            .success());
    }

    /// A connection without its startup.
    pub fn connect(&self) -> PgConnection {
        PgConnection::new(
            TcpStream::connect(self.address).expect("a connection"),
            Side::Client,
        )
    }

    /// A client whose startup is done, at a gateway that is ready.
    pub fn ready_client(&self) -> PgConnection {
        let mut connection = self.connect();
        connection.write(&[startup()]);
        assert_eq!(connection.read_reply().last().map(|f| f.kind), Some(b'Z'));
        // Answered only once the gateway can serve.
        connection.write(&[query("")]);
        assert_eq!(frame_kinds(&connection.read_reply()), "IZ");
        connection
    }

    /// How many descriptors the process has open.
    pub fn descriptors(&self) -> usize {
        let folder = format!("/proc/{}/fd", self.child.id());
        let descriptors = std::fs::read_dir(folder).expect("its descriptors");
        descriptors.count()
    }

    /// The process's resident memory, in KiB.
    pub fn resident_kib(&self) -> usize {
        self.status_kib("VmRSS:")
    }

    /// The most resident memory that the process has had, in KiB.
    pub fn peak_kib(&self) -> usize {
        self.status_kib("VmHWM:")
    }

    fn status_kib(&self, name: &str) -> usize {
        let file = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(file).expect("its state");
        let field = status.lines().find_map(|l| l.strip_prefix(name));
        let field = field.expect("its memory").trim();
        let kib = field.trim_end_matches(" kB").trim().parse();
        kib.expect("a number")
    }

    /// Waits until the process ends.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        for _ in 0..2000 {
            if let Some(status) = self.child.try_wait().expect("its state") {
                return status;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("the gateway does not end");
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let ended = self.child.try_wait();
            eprintln!("the gateway's end: {ended:?}; its log:");
            self.log.try_iter().for_each(|line| eprintln!("  {line}"));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// A gateway before a primary and two replicas.
pub struct GatewayFixture {
    pub gateway: GatewayProcess,
    /// What members are asked.
    pub statements: Receiver<String>,
    /// Releases an answer to `slow`, by member.
    pub release: Vec<Sender<()>>,
    /// The list's entries, the primary first.
    pub entries: Vec<String>,
}

/// Starts members, and a gateway whose list service is made from their entries.
pub fn start_fixture_with(
    name: &str,
    start_lists: impl FnOnce(&[String]) -> SocketAddr,
) -> GatewayFixture {
    start_fixture_with_config(name, &config_text("null"), start_lists)
}

/// The same with this configuration.
pub fn start_fixture_with_config(
    name: &str,
    config: &str,
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
        gateway: GatewayProcess::start_with_config(name, start_lists(&entries), config),
        statements,
        release,
        entries,
    }
}

/// The same with a list service that has them all.
pub fn start_fixture(name: &str) -> GatewayFixture {
    start_fixture_with(name, |entries| {
        start_list_service(list_text(1, true, entries))
    })
}
