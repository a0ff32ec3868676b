//! The parsed configuration, the errors of invalid ones, and the limits computed from the configuration, compared with
//! fixtures.

mod common;

use common::fixtures::{compare, line, list_text_of};
use common::*;
use stackgw_gateway::config::{ClusterConfig, Config, SessionSharingConfig};
use stackgw_gateway::limits::{Limits, Platform};
use std::fmt::Display;
use std::path::{Path, PathBuf};

/// Replacements in the configuration: the original text and the new one.
const CONFIG_CHANGES: [(&str, &str); 40] = [
    ("{\"name\"", "[{\"name\""),
    ("\"g0\"", "7"),
    ("\"name\":\"g0\",", ""),
    ("\"listen\":\"127.0.0.1:0\"", "\"listen\":null"),
    ("\"127.0.0.1:0\"", "\"here\""),
    ("\"127.0.0.1:8500\"", "\"agent\""),
    ("\"discovery\"", "\"agent\""),
    ("\"seed\":\"8c1f\"", "\"seed\":\"xyz\""),
    ("\"seed\":\"8c1f\"", "\"seed\":[]"),
    ("\"seed\":\"8c1f\",", ""),
    ("\"seed\":\"8c1f\"", "\"seed\":18446744073709551615"),
    ("\"memory_mb\":64", "\"memory_mb\":\"x\""),
    ("\"memory_mb\":64", "\"memory_mb\":0.5"),
    ("\"sockets\":128", "\"sockets\":8"),
    ("\"sockets\":128", "\"sockets\":-8"),
    ("\"limits\"", "\"no\""),
    ("\"settings\"", "\"no\""),
    ("\"peer_listen\":null", "\"peer_listen\":7"),
    ("\"peer_listen\":null", "\"peer_listen\":\"x:y\""),
    ("\"peers\":[", "\"peers\":[3,"),
    ("\"peers\":[", "\"peers\":[\"p\","),
    ("\"peers\":[", "\"peers\":7,\"no\":["),
    ("\"127.0.0.1:7999\"", "\"all\""),
    ("\"127.0.0.1:7999\"", "[]"),
    ("\"AimNs\"", "\"Aim\""),
    ("\"look\"", "7"),
    ("\"phase\":\"ready\"", "\"phase\":\"odd\""),
    ("127.0.0.1:7001", "here"),
    ("\"revision\":1", "\"revision\":\"1\""),
    (
        "\"StalenessBoundNs\":[1000000000,",
        "\"StalenessBoundNs\":[0,",
    ),
    ("\"DeadlineNs\":1000000000", "\"DeadlineNs\":-5"),
    ("\"Worth\":1.0", "\"Worth\":-1.0"),
    ("\"QuantumNs\":5000000", "\"QuantumNs\":-1"),
    ("\"DialTimeoutNs\":250000000", "\"DialTimeoutNs\":0"),
    ("\"FleetSize\":2", "\"FleetSize\":0"),
    ("\"ConnIdleNs\":20000000000", "\"ConnIdleNs\":-1"),
    ("\"MaxOpen\":1000", "\"MaxOpen\":-1"),
    ("\"Behind\":\"silent\"", "\"Behind\":\"odd\""),
    ("\"Effect\":\"retryable\"", "\"Effect\":\"odd\""),
    ("\"Zones\":[\"room\"]", "\"Zones\":[7]"),
];

fn config_line(config: Result<Config, impl Display>) -> String {
    let config = match config {
        Ok(config) => config,
        Err(error) => return format!("error: {error}"),
    };
    let peers = config
        .peers
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(" ");
    format!(
        "{}|{}|{}|{}|{}|{peers}|{}|{}|{}",
        config.name,
        config.listen,
        config.discovery,
        config.seed,
        config
            .peer_listen
            .map_or("-".to_owned(), |at| at.to_string()),
        config.peers_all.map_or("-".to_owned(), |at| at.to_string()),
        config
            .initial_endpoints
            .as_ref()
            .map_or("-".to_owned(), list_text_of),
        config.limits.clients,
    )
}

#[test]
fn the_configuration_is_parsed_with_the_same_errors() {
    let mut out = String::new();
    let valid = config_text(&three_members());
    line(
        &mut out,
        "whole",
        config_line(Config::from_text(&valid, |_| None)),
    );
    for (from, to) in CONFIG_CHANGES {
        assert!(valid.contains(from), "{from}");
        line(
            &mut out,
            to,
            config_line(Config::from_text(&valid.replacen(from, to, 1), |_| None)),
        );
    }
    for name in [
        "ROUTER_NAME",
        "ROUTER_LISTEN",
        "ROUTER_DISCOVERY",
        "ROUTER_SEED",
    ] {
        let var = |requested: &str| (requested == name).then(|| "10.0.0.1:99".to_owned());
        line(&mut out, name, config_line(Config::from_text(&valid, var)));
        let var = |requested: &str| (requested == name).then(|| "nowhere".to_owned());
        line(&mut out, name, config_line(Config::from_text(&valid, var)));
    }
    compare("config.txt", &out);
}

/// A temporary directory, removed when dropped.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("stackgw-wire-texts-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a new directory");
        TempDir(path)
    }

    fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a writable file");
        path
    }

    /// Replaces this directory's path in the text by a fixed one.
    fn replace_path(&self, text: &str) -> String {
        text.replace(&self.0.display().to_string(), "/folder")
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn files_are_read_with_the_same_errors() {
    let directory = TempDir::new("files");
    let mut out = String::new();
    let mut add_line = |label: &str, config: Result<Config, String>| {
        let text = config.map_or_else(|error| format!("error: {error}"), |config| config.name);
        line(&mut out, label, directory.replace_path(&text));
    };
    let from_env = |path: Option<&Path>| {
        let path = path.map(|path| path.display().to_string());
        Config::from_env(|name| path.clone().filter(|_| name == "ROUTER_CONFIG"))
            .map_err(|e| e.to_string())
    };
    add_line("no variable", from_env(None));
    add_line("no file", from_env(Some(&directory.0.join("none.json"))));
    add_line("folder", from_env(Some(&directory.0)));
    add_line(
        "no JSON",
        from_env(Some(&directory.write_file("no.json", "{"))),
    );
    let path = directory.write_file("good.json", &config_text("null"));
    add_line("good", from_env(Some(&path)));
    let good = from_env(Some(&path)).expect("a valid configuration");
    // On a reload the file takes precedence over the running configuration.
    let reloader = good.reloader();
    let reload = || reloader.reload().map_err(|e| e.to_string());
    add_line("read again", reload());
    directory.write_file(
        "good.json",
        &config_text("null").replacen("\"name\":\"g0\",", "", 1),
    );
    add_line("read again without a name", reload());
    directory.write_file(
        "good.json",
        &config_text("null").replacen("\"g0\"", "\"g9\"", 1),
    );
    add_line("read again with another name", reload());
    directory.write_file("good.json", "{}");
    add_line("read again without limits", reload());
    std::fs::remove_file(&path).expect("the file exists");
    add_line("read again without a file", reload());
    let unnamed = Config::from_text(&config_text("null"), |_| None).expect("a valid configuration");
    add_line(
        "read again where none was named",
        unnamed.reloader().reload().map_err(|e| e.to_string()),
    );
    compare("files.txt", &out);
}

/// Texts of operator files with valid and invalid keys of every kind.
fn operator_texts(directory: &TempDir) -> Vec<String> {
    let good = directory
        .write_file("key", "0123456789abcdef0123\n")
        .display()
        .to_string();
    let short = directory
        .write_file("short", "0123456789abcde\n")
        .display()
        .to_string();
    let large = directory
        .write_file("large", &"x".repeat(5_000))
        .display()
        .to_string();
    let missing = directory.0.join("none").display().to_string();
    let not_a_file = directory.0.display().to_string();
    let keys = [good.as_str(), &short, &large, &missing, &not_a_file];
    let sessions = |key: &str| {
        format!("sessions:\n  cluster: c\n  listen: 127.0.0.1:1\n  keepers: [g0, g1]\n  keys: [{key}]\n")
    };
    let cluster =
        |key: &str| format!("cluster:\n  name: c\n  listen: 127.0.0.1:1\n  keys: [{key}]\n");
    let flight = |key: &str| format!("flight:\n  listen: 127.0.0.1:2\n  keys: [{key}]\n");
    let mut texts = vec![
        "# nothing".to_owned(),
        "nonsense: 1\n".to_owned(),
        "control: /run/x\n".to_owned(),
    ];
    for key in keys {
        texts.extend([sessions(key), cluster(key), flight(key)]);
    }
    texts
}

fn operator_line(config: Result<Config, impl Display>) -> String {
    let config = match config {
        Ok(config) => config,
        Err(error) => return format!("error: {error}"),
    };
    let sessions = config
        .session_sharing
        .as_ref()
        .map(|SessionSharingConfig { options, .. }| options.cluster.clone());
    let cluster = config
        .cluster
        .as_ref()
        .map(|ClusterConfig { options, .. }| format!("{} {}", options.name, options.listen));
    let control = config
        .operator
        .control
        .map(|path| path.display().to_string());
    let flight = config
        .operator
        .flight
        .map(|flight| flight.options.listen.to_string());
    let or_none = |text: Option<String>| text.unwrap_or("-".to_owned());
    format!(
        "{} {} {} {} {}",
        or_none(control),
        or_none(flight),
        or_none(sessions),
        or_none(cluster),
        config.bootstrap.is_some(),
    )
}

#[test]
fn the_operators_file_is_parsed_with_the_same_errors() {
    let directory = TempDir::new("operator");
    let mut out = String::new();
    for (number, text) in operator_texts(&directory).iter().enumerate() {
        let path = directory.write_file("operator.yaml", text);
        let text = operator_line(config("null").with_operator(&path));
        line(
            &mut out,
            &format!("file {number}"),
            directory.replace_path(&text),
        );
    }
    let missing = config("null").with_operator(&directory.0.join("none.yaml"));
    let error = missing
        .err()
        .map_or(String::new(), |error| error.to_string());
    line(&mut out, "no file", directory.replace_path(&error));
    compare("operator.txt", &out);
}

/// Each count and size under the name in the fixture, which does not follow renamed fields.
fn count_texts(limits: &Limits) -> Vec<String> {
    let counts = [
        ("clients", limits.clients),
        ("client_reserve", limits.client_reserve),
        ("member_connections", limits.member_connections),
        ("clients_wanted", limits.client_soft_limit),
        ("requests", limits.requests),
        ("members", limits.members),
        ("startup_bytes", limits.startup_bytes),
        ("statement_bytes", limits.statement_bytes),
        ("ahead_bytes", limits.read_ahead_bytes),
        ("answer_bytes", limits.answer_bytes),
        ("head_bytes", limits.head_bytes),
        ("list_bytes", limits.list_bytes),
        ("datagram_bytes", limits.datagram_bytes),
        ("read_bytes", limits.read_bytes),
        ("client_bytes", limits.client_bytes),
        ("member_bytes", limits.member_bytes),
        ("unread_bytes", limits.pending_write_bytes),
        ("linger_bytes", limits.linger_bytes),
        (
            "client_malformed",
            limits.max_consecutive_malformed as usize,
        ),
        ("client_line", limits.max_pipelined_statements),
        ("client_turn", limits.messages_per_turn),
        ("leave_turn", limits.disconnect_poll_batch),
        ("accept_turn", limits.accept_batch),
        ("backlog", limits.backlog as usize),
    ];
    counts
        .map(|(name, count)| format!("{name}={count}"))
        .to_vec()
}

/// Each time in nanoseconds under the name in the fixture, which does not follow renamed fields.
fn span_texts(limits: &Limits) -> Vec<String> {
    let spans = [
        ("linger_idle", limits.soft_limit_idle),
        ("evict_after", limits.eviction_idle),
        ("evict_fresh", limits.eviction_grace),
        ("drain_grace", limits.drain_grace),
        ("only_drains_bind", i64::from(limits.removal_is_advisory)),
        ("connect", limits.connect_timeout),
        ("connect_late", limits.late_connect_timeout),
        ("probe", limits.health_check_timeout),
        ("answer_stall", limits.answer_stall_timeout),
        ("clock_slack", limits.max_clock_skew),
        ("idle", limits.member_idle_timeout),
        ("sweep", limits.sweep_interval),
        ("client_first", limits.first_request_timeout),
        ("client_partial", limits.partial_message_timeout),
        ("client_stall", limits.client_write_timeout),
        ("linger", limits.linger_timeout),
        ("leave_pace", limits.disconnect_poll_interval),
        ("wait_most", limits.max_request_wait),
        ("watch_dial", limits.watch_connect_timeout),
        ("watch_first", limits.watch_first_line_timeout),
        ("watch_silence", limits.watch_idle_timeout),
        ("watch_pause", limits.watch_min_backoff),
        ("watch_pause_most", limits.watch_max_backoff),
        ("error_pause", limits.error_backoff),
        ("drain_accept", limits.shutdown_accept),
        ("drain_serve", limits.shutdown_serve),
        ("drain_pace", limits.shutdown_sweep_interval),
        ("drain_refuse", limits.shutdown_reject),
        ("drain_end", limits.shutdown_deadline),
    ];
    spans.map(|(name, span)| format!("{name}={span}")).to_vec()
}

fn limits_text(limits: &Limits) -> String {
    [count_texts(limits), span_texts(limits)].concat().join(" ")
}

#[test]
fn limits_are_computed_the_same() {
    let mut out = String::new();
    let settings = config("null").settings;
    for (memory_mb, sockets) in [(64, 128), (192, 1024), (32, 64), (2048, 65_536), (1, 1)] {
        let limits = Limits::new(Platform { memory_mb, sockets }, &settings);
        line(
            &mut out,
            &format!("{memory_mb} {sockets}"),
            limits_text(&limits),
        );
    }
    let mut no_classes = settings.clone();
    no_classes.router.classes.clear();
    no_classes.member_idle_timeout = 0;
    line(
        &mut out,
        "no classes",
        limits_text(&Limits::new(
            Platform {
                memory_mb: 64,
                sockets: 128,
            },
            &no_classes,
        )),
    );
    compare("limits.txt", &out);
}
