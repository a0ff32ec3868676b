//! The files of one gateway in a fleet's folder: the platform's document (its JSON configuration), the operator's file, keys,
//! logs and stores.

use crate::error::TestkitError;
use crate::fleet_config::{FleetConfig, FleetMode, FLIGHT_USER};
use crate::replica_group::Protocol;
use crate::statements::{
    BOUNDED_READ_CLASS, GROUP, SESSION_READ_CLASS, STALENESS_BOUND_MS, WRITE_CLASS,
};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const CLUSTER_NAME: &str = "testkit";

/// Limits of bulk streams, low enough for tests to reach them.
const BULK_LIMITS: &str =
    "  bulk: {stall: 1500ms, silence: 700ms, each_kib: 256, all_kib: 4096, message_kib: 2048}";

const MS_IN_NS: i64 = 1_000_000;

/// The paths of one gateway's files.
pub(crate) struct GatewayFiles<'a> {
    pub(crate) folder: &'a Path,
    pub(crate) index: usize,
}

impl GatewayFiles<'_> {
    fn path(&self, extension: &str) -> PathBuf {
        self.folder.join(format!("g{}.{extension}", self.index))
    }

    /// The platform's document.
    pub(crate) fn platform_document(&self) -> PathBuf {
        self.path("json")
    }

    /// The operator's file.
    pub(crate) fn operator_file(&self) -> PathBuf {
        self.path("yaml")
    }

    /// The session store.
    pub(crate) fn session_store(&self) -> PathBuf {
        self.path("redb")
    }

    /// The local control socket.
    pub(crate) fn control_socket(&self) -> PathBuf {
        self.path("sock")
    }

    /// The gateway's log.
    pub(crate) fn log(&self) -> PathBuf {
        self.path("log")
    }

    /// The last line of the gateway's log.
    pub(crate) fn last_log_line(&self) -> String {
        let text = std::fs::read_to_string(self.log()).unwrap_or_default();
        text.lines().last().unwrap_or("its log is empty").to_owned()
    }
}

/// The cluster addresses of a fleet, by gateway.
pub(crate) struct ClusterAddresses {
    /// The address at which each gateway listens.
    pub(crate) listen: Vec<SocketAddr>,
    /// The address to which its peers send: the same, or that of its relay.
    pub(crate) advertise: Vec<SocketAddr>,
}

impl ClusterAddresses {
    /// The seeds as items of a YAML list.
    fn seeds(&self, config: &FleetConfig) -> String {
        let seeds = self.advertise.iter().take(config.session_replicas);
        let seeds: Vec<_> = seeds.map(|address| format!("\"{address}\"")).collect();
        seeds.join(", ")
    }
}

/// Writes the files of all gateways.
pub(crate) fn write_all(
    config: &FleetConfig,
    addresses: &ClusterAddresses,
) -> Result<(), TestkitError> {
    let write = |path: PathBuf, text: String| {
        std::fs::write(path, text).map_err(|e| TestkitError::file(&config.folder, e))
    };
    let key = format!("a key of this test alone, {}", std::process::id());
    write(cluster_key(config), key)?;
    if config.flight_auth.is_some() {
        let user = format!("# one\n{}:{}\n", FLIGHT_USER.name, FLIGHT_USER.secret);
        write(flight_users(config), user)?;
    }
    for index in 0..config.gateways {
        let files = GatewayFiles {
            folder: &config.folder,
            index,
        };
        let document = platform_document(config, index);
        write(files.platform_document(), document.to_string())?;
        let operator = match config.mode {
            FleetMode::Bootstrap => bootstrap_part(config, &files, addresses),
            FleetMode::SharedSessions | FleetMode::LocalSessions => {
                sessions_part(config, &files, addresses)
            }
        };
        write(files.operator_file(), operator + &flight_part(config))?;
    }
    Ok(())
}

fn cluster_key(config: &FleetConfig) -> PathBuf {
    config.folder.join("cluster.key")
}

fn flight_users(config: &FleetConfig) -> PathBuf {
    config.folder.join("flight.users")
}

/// The operator's file of a gateway with shared sessions.
fn sessions_part(
    config: &FleetConfig,
    files: &GatewayFiles,
    addresses: &ClusterAddresses,
) -> String {
    let replicas: Vec<_> = (0..config.session_replicas)
        .map(|index| format!("g{index}"))
        .collect();
    let mut lines = vec![
        format!("control: {}", files.control_socket().display()),
        "sessions:".to_owned(),
        format!("  cluster: {CLUSTER_NAME}"),
        format!("  listen: {}", addresses.listen[files.index]),
        format!("  advertise: {}", addresses.advertise[files.index]),
        format!("  seeds: [{}]", addresses.seeds(config)),
        format!("  keys: [{}]", cluster_key(config).display()),
        format!("  keepers: [{}]", replicas.join(", ")),
        format!("  lease: {}ms", config.lease_ms),
        format!("  horizon: {}ms", config.retention_ms),
    ];
    if config.has_disks && files.index < config.session_replicas {
        lines.push(format!("  store: {}", files.session_store().display()));
    }
    lines.join("\n") + "\n"
}

/// The operator's file of a gateway with bootstrap settings, with or without a cluster.
fn bootstrap_part(
    config: &FleetConfig,
    files: &GatewayFiles,
    addresses: &ClusterAddresses,
) -> String {
    let mut lines = vec![format!("control: {}", files.control_socket().display())];
    if config.bootstrap.has_cluster {
        lines.extend([
            "cluster:".to_owned(),
            format!("  name: {CLUSTER_NAME}"),
            format!("  listen: {}", addresses.listen[files.index]),
            format!("  advertise: {}", addresses.advertise[files.index]),
            format!("  seeds: [{}]", addresses.seeds(config)),
            format!("  keys: [{}]", cluster_key(config).display()),
            format!("  expected: {}", config.gateways),
        ]);
    }
    if !config.bootstrap.yaml_lines.is_empty() {
        lines.push("start:".to_owned());
    }
    let folder = config.folder.display().to_string();
    let index = files.index.to_string();
    for line in &config.bootstrap.yaml_lines {
        let line = line.replace("{n}", &index).replace("{folder}", &folder);
        lines.push(format!("  {line}"));
    }
    lines.join("\n") + "\n"
}

/// The Flight SQL part of the operator's file, for clients and for members.
fn flight_part(config: &FleetConfig) -> String {
    let mut lines = Vec::new();
    if config.has_flight_sql {
        lines.extend([
            "flight:".to_owned(),
            "  listen: 127.0.0.1:0".to_owned(),
            format!("  keys: [{}]", cluster_key(config).display()),
            "  ticket: 5s".to_owned(),
        ]);
    }
    if let Some(auth) = config.flight_auth {
        let users = flight_users(config);
        lines.push(format!("  auth: {{{}: {}}}", auth.name(), users.display()));
    }
    if config.member_protocol != Protocol::Postgres {
        lines.push(format!("  groups: [{GROUP}]"));
        lines.push(BULK_LIMITS.to_owned());
    }
    lines.iter().map(|line| format!("{line}\n")).collect()
}

/// A class of the platform's document.
fn class(name: &str, effect: &str, deadline_ms: i64) -> Value {
    json!({"Name": name, "Effect": effect, "Group": "all", "AimNs": 200 * MS_IN_NS,
        "DeadlineNs": deadline_ms * MS_IN_NS, "DedupWindowNs": 0, "LateWorth": 0.5, "Worth": 1.0})
}

/// The platform's document for one gateway.
fn platform_document(config: &FleetConfig, index: usize) -> Value {
    let list_address = config.list_addresses[index % config.list_addresses.len()];
    json!({
        "name": format!("g{index}"),
        "listen": "127.0.0.1:0",
        "discovery": list_address.to_string(),
        "seed": format!("{:x}", 77 + index),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "settings": settings(config, index),
    })
}

fn settings(config: &FleetConfig, index: usize) -> Value {
    json!({
        "Classes": [
            class(BOUNDED_READ_CLASS, "retryable", 1_000),
            class(SESSION_READ_CLASS, "retryable", 1_000),
            class(WRITE_CLASS, "fragile", 3_000),
        ],
        "FleetSize": config.gateways, "Me": index, "Zone": 0, "Zones": ["room"],
        "QuantumNs": 5 * MS_IN_NS, "MembershipMode": "automatic",
        "Clients": {"MarksRetry": false},
        "Domain": domain(config),
        "Limits": {"Cancel": true, "ConnIdleNs": 20_000 * MS_IN_NS, "DialTimeoutNs": 250 * MS_IN_NS,
            "MaxAttempts": 5, "MaxOpen": 10_000, "MaxRetryAfterNs": 1_000 * MS_IN_NS, "MayTell": false,
            "Probes": true, "RetryAfter": true, "SecondCopies": false},
        "Obligations": {"AnswerSlackNs": 20 * MS_IN_NS, "FallMultiple": 4.0, "FallNs": 1_000 * MS_IN_NS,
            "StartCapacity": 0.25, "StopSendingWithinNs": 1_000 * MS_IN_NS,
            "WarmWithinNs": 10_000 * MS_IN_NS},
        "Prices": {"Probe": 0.05, "CrossZone": 0.0, "Waste": 0.04, "LateFail": 0.1},
        "Stats": {"How": "piggyback", "Fields": ["x0", "x1"]}
    })
}

/// The platform's settings for members and sessions.
fn domain(config: &FleetConfig) -> Value {
    let session_marks = match config.mode {
        FleetMode::SharedSessions => "client",
        FleetMode::LocalSessions | FleetMode::Bootstrap => "router",
    };
    json!({"Behind": "silent", "CatchUpWaitNs": 0, "CommitWaits": false, "CountedFromNs": 0,
        "NeedsByClass": ["recent", "own_writes", "update"], "RoleListed": "delayed",
        "SessionMarks": session_marks,
        "StalenessBoundNs": [STALENESS_BOUND_MS * 1_000_000, 0, 0], "Stamps": true})
}
