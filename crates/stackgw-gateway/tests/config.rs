//! The configuration and the limits computed from it.

mod common;

use common::*;
use stackgw_gateway::config::Config;
use stackgw_gateway::limits::{Limits, Platform};
use stackgw_router::api::{MS, SECOND};

#[test]
fn the_document_is_parsed_and_environment_variables_override_it() {
    let config = config(&three_members());
    assert_eq!((config.name.as_str(), config.seed), ("g0", 0x8c1f));
    assert_eq!(config.settings.names.classes, ["look", "mine", "buy"]);
    assert_eq!(config.settings.names.zones, ["room"]);
    assert_eq!((config.peers.len(), config.peer_listen), (2, None));
    assert_eq!(config.peers_all.map(|a| a.port()), Some(7999));
    assert_eq!(
        config
            .initial_endpoints
            .map(|k| (k.revision, k.complete, k.members.len())),
        Some((1, true, 3))
    );
    assert_eq!(config.limits.connect_timeout, 250 * MS);
    let var = |name: &str| (name == "ROUTER_NAME").then(|| "other".to_owned());
    let config = Config::from_text(&config_text("null"), var).expect("a valid configuration");
    assert_eq!(
        (config.name.as_str(), config.initial_endpoints),
        ("other", None)
    );
}

#[test]
fn each_malformed_field_is_named() {
    let valid = config_text(&three_members());
    for (from, to, expected) in [
        ("\"g0\"", "7", "name"),
        ("\"127.0.0.1:8500\"", "\"agent\"", "discovery: 'agent'"),
        (
            "\"memory_mb\":64",
            "\"memory_mb\":\"x\"",
            "limits.memory_mb",
        ),
        ("\"sockets\":128", "\"sockets\":8", "limits.sockets"),
        ("\"peers\":[", "\"peers\":[3,", "peers"),
        ("\"127.0.0.1:7999\"", "\"all\"", "peers_all: 'all'"),
        ("\"AimNs\"", "\"Aim\"", "settings: AimNs"),
        ("\"look\"", "7", "settings: Classes"),
        (
            "\"phase\":\"ready\"",
            "\"phase\":\"odd\"",
            "known: members: phase 'odd' is unknown",
        ),
        (
            "127.0.0.1:7001",
            "here",
            "known: members: host_port 'here' is not an address and port",
        ),
    ] {
        assert!(valid.contains(from), "{from}");
        let error = Config::from_text(&valid.replace(from, to), |_| None)
            .expect_err(from)
            .to_string();
        assert!(
            error.contains(expected) && !error.contains('\n'),
            "{from}: {error}"
        );
    }
}

#[test]
fn limits_stay_within_the_resources_of_the_platform() {
    let settings = config("null").settings;
    for sockets in [64, 128, 1024, 65_536] {
        for memory_mb in [32, 192, 2048] {
            let limits = Limits::new(Platform { memory_mb, sockets }, &settings);
            // The gateway itself needs 32 descriptors.
            assert!(
                limits.clients + limits.client_reserve + limits.member_connections + 32 <= sockets
            );
            assert!(limits.clients > 0 && limits.member_connections > 0);
            // Accepted statements, bytes that are not delivered yet, and partial responses.
            assert!(2 * limits.client_bytes + limits.member_bytes <= (memory_mb << 20) / 2);
            // Bytes that clients have not read come in addition.
            assert!(
                limits.pending_write_bytes <= (memory_mb << 20) / 4
                    && limits.answer_bytes > 64 << 10
            );
            assert!(8 * limits.answer_bytes < limits.pending_write_bytes);
        }
    }
    let limits = Limits::new(
        Platform {
            memory_mb: 192,
            sockets: 1024,
        },
        &settings,
    );
    assert!(limits.member_idle_timeout < 20 * SECOND && limits.shutdown_accept > 400 * MS);
    // The SIGKILL follows the SIGTERM after the longest deadline (2 s here) and 0.7 s at the earliest.
    assert!(
        limits.shutdown_deadline > 2 * SECOND + 500 * MS
            && limits.shutdown_deadline < 2 * SECOND + 700 * MS
    );
}

/// Settings that no gateway can satisfy were accepted. A staleness bound of 0 crashed gateways that gossip, because the router
/// divides by it.
#[test]
fn impossible_settings_are_rejected_by_name() {
    let parse_with = |from: &str, to: &str| {
        let text = config_text("null");
        assert!(text.contains(from), "{from}");
        Config::from_text(&text.replacen(from, to, 1), |_| None)
            .map(|_| ())
            .map_err(|e| e.to_string())
    };
    assert_eq!(parse_with("\"Me\":0", "\"Me\":0"), Ok(()));
    for (from, to, name) in [
        (
            "\"StalenessBoundNs\":[1000000000,",
            "\"StalenessBoundNs\":[0,",
            "StalenessBoundNs",
        ),
        ("\"AimNs\":200000000", "\"AimNs\":0", "AimNs"),
        (
            "\"DeadlineNs\":1000000000",
            "\"DeadlineNs\":-5",
            "DeadlineNs",
        ),
        ("\"Worth\":1.0", "\"Worth\":-1.0", "Worth"),
        ("\"QuantumNs\":5000000", "\"QuantumNs\":-1", "QuantumNs"),
        (
            "\"DialTimeoutNs\":250000000",
            "\"DialTimeoutNs\":0",
            "DialTimeoutNs",
        ),
        (
            "\"StopSendingWithinNs\":1000000000",
            "\"StopSendingWithinNs\":-1",
            "StopSendingWithinNs",
        ),
        ("\"FallNs\":1000000000", "\"FallNs\":0", "FallNs"),
        (
            "\"StartCapacity\":0.25",
            "\"StartCapacity\":-0.25",
            "StartCapacity",
        ),
        ("\"FleetSize\":2", "\"FleetSize\":0", "FleetSize"),
        (
            "\"ConnIdleNs\":20000000000",
            "\"ConnIdleNs\":-1",
            "ConnIdleNs",
        ),
        ("\"MaxOpen\":1000", "\"MaxOpen\":-1", "MaxOpen"),
        ("\"Behind\":\"silent\"", "\"Behind\":\"odd\"", "Behind"),
    ] {
        let error = parse_with(from, to).expect_err(name);
        assert!(error.contains(name) && !error.contains('\n'), "{error}");
    }
    let with_key = config_text("null").replacen("\"retryable\"", "\"dedup\"", 1);
    let result = Config::from_text(
        &with_key.replacen("\"DedupWindowNs\":0", "\"DedupWindowNs\":-1", 1),
        |_| None,
    );
    assert!(result
        .map(|_| ())
        .expect_err("the window is negative")
        .to_string()
        .contains("DedupWindowNs"));
}
