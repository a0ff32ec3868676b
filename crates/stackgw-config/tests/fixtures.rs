//! Recorded files: valid ones are parsed to the expected configuration, invalid ones are rejected
//! with the recorded error.

mod common;

use common::read_text;
use serde_json::Value;
use stackgw_config::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// One changed file per line: `file <tab> line, counted from 0 <tab> replacement of the line <tab> the
/// error, or "accepted"`.
const ERRORS: &str = include_str!("fixtures/errors.txt");
/// Messages that have been reworded since the fixture was written: the text in the fixture and the
/// text of today.
const REWORDED_MESSAGES: &[(&str, &str)] = &[
    (
        "FILE:10: validation error: names one keeper twice for `sessions.keepers`",
        "FILE:10: validation error: contains the same keeper twice for `sessions.keepers`",
    ),
    (
        "FILE:13: validation error: must be four leases at least, 16days 16h for `sessions.horizon`",
        "FILE:13: validation error: must be at least four leases (16days 16h) for `sessions.horizon`",
    ),
];
/// The schema's keys and types, without descriptions, titles and the names of its definitions.
const SCHEMA: &str = include_str!("fixtures/schema.json");
const FULL: [&str; 2] = ["sessions.full.yaml", "cluster.full.yaml"];

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn text_of(name: &str) -> String {
    std::fs::read_to_string(fixture(name)).expect("the fixture exists")
}

/// The error for a file with this text, or "accepted".
fn result_text(text: &str) -> String {
    read_text(text).map_or_else(|error| error, |_| "accepted".to_owned())
}

fn address(text: &str) -> std::net::SocketAddr {
    text.parse().expect("the text is an address")
}

fn paths(texts: &[&str]) -> Vec<PathBuf> {
    texts.iter().map(PathBuf::from).collect()
}

fn local_seeds(ports: &[u16]) -> Vec<std::net::SocketAddr> {
    ports
        .iter()
        .map(|port| ([127, 0, 0, 1], *port).into())
        .collect()
}

fn default_flight() -> Flight {
    Flight {
        listen: address("127.0.0.1:7300"),
        keys: paths(&["/etc/stackgw/flight.key"]),
        ticket: Duration::from_millis(600_000),
        wait: Duration::from_millis(3_000),
        requests: 1_000,
        streams: 100,
        threads: 2,
        groups: Vec::new(),
        members: Vec::new(),
        bulk: Bulk {
            streams: 200,
            per_channel: 64,
            each_kib: 1_024,
            all_kib: 32_768,
            message_kib: 4_096,
            stall: Duration::from_millis(10_000),
            silence: Duration::from_millis(3_000),
        },
        auth: None,
    }
}

fn default_sessions() -> Sessions {
    Sessions {
        cluster: "depots".to_owned(),
        listen: address("127.0.0.1:7101"),
        advertise: None,
        seeds: local_seeds(&[7_101, 7_102]),
        keys: paths(&["/etc/stackgw/cluster.key"]),
        keepers: vec!["g0".to_owned(), "g1".to_owned()],
        homes: 2,
        lease: Duration::from_millis(800),
        horizon: Duration::from_millis(60_000),
        resend: Duration::from_millis(20),
        lookup: Duration::from_millis(20),
        marks: 1_000_000,
        own_marks: 100_000,
        waits: 20_000,
        store: Some(PathBuf::from("/var/lib/stackgw/g0.redb")),
        expected: 8,
    }
}

fn default_start() -> Bootstrap {
    Bootstrap {
        bears: 200,
        opens: None,
        service: String::new(),
        list: None,
        kept_wait: Duration::from_millis(300),
        reset_after: Duration::from_millis(60_000),
    }
}

fn examples() -> [(&'static str, OperatorConfig); 3] {
    let control = Some(PathBuf::from("/run/stackgw/g0.sock"));
    let flight = OperatorConfig {
        flight: Some(default_flight()),
        ..OperatorConfig::default()
    };
    let sessions = OperatorConfig {
        control: control.clone(),
        sessions: Some(default_sessions()),
        ..OperatorConfig::default()
    };
    let cluster = Cluster {
        name: "depots".to_owned(),
        listen: address("127.0.0.1:7101"),
        advertise: None,
        seeds: local_seeds(&[7_101, 7_102, 7_103]),
        keys: paths(&["/etc/stackgw/cluster.key"]),
        expected: 300,
    };
    let start = Bootstrap {
        opens: Some(20),
        service: "nottingham-1".to_owned(),
        list: Some(PathBuf::from("/var/lib/stackgw/g0.list")),
        ..default_start()
    };
    let start = OperatorConfig {
        control,
        cluster: Some(cluster),
        start: Some(start),
        ..OperatorConfig::default()
    };
    [
        ("flight.example.yaml", flight),
        ("sessions.example.yaml", sessions),
        ("start.example.yaml", start),
    ]
}

fn full_sessions() -> Sessions {
    Sessions {
        advertise: Some(address("10.0.0.1:7101")),
        keys: paths(&["/etc/stackgw/cluster.key", "/etc/stackgw/cluster.old"]),
        keepers: ["g0", "g1", "g2"].map(str::to_owned).to_vec(),
        homes: 3,
        lease: Duration::from_millis(900),
        horizon: Duration::from_millis(61_000),
        resend: Duration::from_millis(21),
        lookup: Duration::from_millis(22),
        marks: 1_000_001,
        own_marks: 100_001,
        waits: 20_001,
        expected: 9,
        ..default_sessions()
    }
}

fn full_flight() -> Flight {
    Flight {
        ticket: Duration::from_millis(660_000),
        wait: Duration::from_millis(4_000),
        requests: 1_001,
        streams: 101,
        threads: 3,
        groups: vec![1, 2],
        members: vec!["m0".to_owned(), "m1".to_owned()],
        bulk: Bulk {
            streams: 201,
            per_channel: 65,
            each_kib: 1_025,
            all_kib: 32_769,
            message_kib: 4_097,
            stall: Duration::from_millis(11_000),
            silence: Duration::from_millis(4_000),
        },
        auth: Some(Auth::Basic(PathBuf::from("/etc/stackgw/users"))),
        ..default_flight()
    }
}

fn full() -> [(&'static str, OperatorConfig); 2] {
    let sessions = OperatorConfig {
        log: Log {
            format: LogFormat::Json,
        },
        control: Some(PathBuf::from("/run/stackgw/g0.sock")),
        sessions: Some(full_sessions()),
        flight: Some(full_flight()),
        cluster: None,
        start: Some(Bootstrap {
            opens: Some(20),
            service: "nottingham-1".to_owned(),
            list: Some(PathBuf::from("/var/lib/stackgw/g0.list")),
            kept_wait: Duration::from_millis(301),
            reset_after: Duration::from_millis(61_000),
            ..default_start()
        }),
    };
    let bearer = Some(Auth::Bearer(PathBuf::from("/etc/stackgw/tokens")));
    let cluster = OperatorConfig {
        cluster: Some(Cluster {
            name: "depots".to_owned(),
            listen: address("127.0.0.1:7101"),
            advertise: Some(address("10.0.0.1:7101")),
            seeds: local_seeds(&[7_101, 7_102]),
            keys: paths(&["/etc/stackgw/cluster.key"]),
            expected: 9,
        }),
        flight: Some(Flight {
            auth: bearer,
            ..default_flight()
        }),
        start: Some(default_start()),
        ..OperatorConfig::default()
    };
    [(FULL[0], sessions), (FULL[1], cluster)]
}

#[test]
fn the_examples_under_deploy_are_parsed_to_the_expected_configuration() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    for (name, expected) in examples() {
        assert_eq!(
            read(&fixture(name)).expect("the file is valid"),
            expected,
            "{name}"
        );
        assert_eq!(
            read(&deploy.join(name)).expect("the file is valid"),
            expected,
            "deploy/{name}"
        );
    }
}

#[test]
fn files_with_every_key_are_parsed_to_the_expected_configuration() {
    for (name, expected) in full() {
        assert_eq!(
            read(&fixture(name)).expect("the file is valid"),
            expected,
            "{name}"
        );
    }
}

#[test]
fn the_section_sessions_describes_the_cluster() {
    let cluster = full_sessions().cluster();
    let expected = Cluster {
        name: "depots".to_owned(),
        listen: address("127.0.0.1:7101"),
        advertise: Some(address("10.0.0.1:7101")),
        seeds: local_seeds(&[7_101, 7_102]),
        keys: paths(&["/etc/stackgw/cluster.key", "/etc/stackgw/cluster.old"]),
        expected: 9,
    };
    assert_eq!(cluster, expected);
    assert_eq!(cluster.advertised_address(), address("10.0.0.1:7101"));
}

/// Replacements of a line: its key with other values, and other forms of the line.
fn replacements(line: &str) -> Vec<String> {
    let (key, value) = line.split_once(':').expect("the line has a key");
    let values = [
        "",
        " null",
        " x",
        " -1",
        " 0",
        " 1.5",
        " true",
        " 99999999999",
        " 4ms",
        " 100h",
        " []",
        " {}",
        " [x, x]",
        " ['', \"1:1\"]",
        " {a: b}",
        " [",
        " 'x",
    ];
    let mut replacements: Vec<_> = values
        .iter()
        .map(|value| format!("{key}:{value}"))
        .collect();
    replacements.push(String::new());
    replacements.push(format!("{key}s:{value}"));
    replacements.push(format!("{line}\\n{line}"));
    replacements.push(format!("{key}{value}"));
    replacements.push(format!("\\t{line}"));
    replacements
}

/// The text of a file with one line replaced; `number` counts from 0.
fn replaced(name: &str, number: usize, replacement: &str) -> String {
    let text = text_of(name);
    let mut lines: Vec<_> = text.lines().map(str::to_owned).collect();
    lines[number] = replacement.replace("\\n", "\n").replace("\\t", "\t");
    lines.join("\n") + "\n"
}

/// Writes the error fixture: `cargo test -p stackgw-config --test fixtures -- --ignored`.
#[test]
#[ignore = "writes the fixture"]
fn write_the_error_table() {
    let mut table = String::new();
    for name in FULL {
        for (number, line) in text_of(name).lines().enumerate() {
            for replacement in replacements(line) {
                let result = result_text(&replaced(name, number, &replacement));
                writeln!(table, "{name}\t{number}\t{replacement}\t{result}")
                    .expect("writing to a string cannot fail");
            }
        }
    }
    std::fs::write(fixture("errors.txt"), table).expect("the fixture is written");
}

/// The message of today for one that was recorded in the fixture.
fn reworded(recorded: &str) -> &str {
    REWORDED_MESSAGES
        .iter()
        .find(|(old, _)| *old == recorded)
        .map_or(recorded, |(_, new)| new)
}

#[test]
fn each_replaced_line_gives_the_recorded_error() {
    let mut rejected = 0;
    for line in ERRORS.lines() {
        let fields: Vec<_> = line.split('\t').collect();
        let [name, number, replacement, expected] = fields[..] else {
            panic!("'{line}' does not have four fields")
        };
        let result = result_text(&replaced(
            name,
            number.parse().expect("the field is a number"),
            replacement,
        ));
        assert_eq!(
            result,
            reworded(expected),
            "{name} line {number} '{replacement}'"
        );
        rejected += usize::from(expected != "accepted");
    }
    assert!(
        rejected > 500,
        "the fixture has only {rejected} invalid files"
    );
}

#[test]
fn a_file_that_cannot_be_read_and_a_second_cluster_section_are_errors() {
    let error = |path: &Path| read(path).expect_err("it cannot be read").to_string();
    assert_eq!(
        error(Path::new("/nowhere/at/all.yaml")),
        "/nowhere/at/all.yaml: No such file or directory (os error 2)"
    );
    let directory = std::env::temp_dir();
    assert_eq!(
        error(&directory),
        format!(
            "{}: is not a regular file, or is too large",
            directory.display()
        )
    );
    let both = text_of(FULL[0]) + "cluster: {name: x, listen: '127.0.0.1:1', keys: [k]}\n";
    assert_eq!(
        result_text(&both),
        "FILE:48: validation error: cannot be combined with `sessions` for `cluster`"
    );
}

/// The schema with each reference replaced by its definition, without descriptions and titles.
fn outline(at: &Value, definitions: &Value) -> Value {
    match at {
        Value::Object(object) => {
            let mut outlined = BTreeMap::new();
            if let Some(target) = object.get("$ref").and_then(Value::as_str) {
                let name = target
                    .rsplit('/')
                    .next()
                    .expect("the reference ends with a name");
                outlined.insert("is".to_owned(), outline(&definitions[name], definitions));
            }
            for (key, value) in object {
                if !(["$ref", "$defs", "$schema"].contains(&key.as_str()) || is_text(key, value)) {
                    outlined.insert(key.clone(), outline(value, definitions));
                }
            }
            outlined.into_iter().collect()
        }
        Value::Array(list) => list.iter().map(|item| outline(item, definitions)).collect(),
        other => other.clone(),
    }
}

fn is_text(key: &str, value: &Value) -> bool {
    ["description", "title"].contains(&key) && value.is_string()
}

/// Writes the schema fixture: `cargo test -p stackgw-config --test fixtures -- --ignored`.
#[test]
#[ignore = "writes the fixture"]
fn write_the_outline_of_the_schema() {
    let schema = schema();
    let text = format!("{:#}\n", outline(&schema, &schema["$defs"]));
    std::fs::write(fixture("schema.json"), text).expect("the fixture is written");
}

#[test]
fn the_schema_has_the_recorded_keys_and_types() {
    let schema = schema();
    let expected: Value = serde_json::from_str(SCHEMA).expect("the fixture is JSON");
    assert_eq!(outline(&schema, &schema["$defs"]), expected);
}
