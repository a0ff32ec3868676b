//! Configurations of the simulated gateways.

use super::random::Random;
use crate::common::*;
use stackgw_cluster::{Key, Keyring};
use stackgw_gateway::config::{ClusterConfig, Config, FlightConfig, SessionSharingConfig};
use stackgw_gateway::limits::Limits;
use std::net::SocketAddr;

#[derive(Clone, Copy)]
pub(crate) struct Options {
    pub(crate) sessions: bool,
    pub(crate) cluster: bool,
    pub(crate) bootstrap: bool,
    pub(crate) paced: bool,
    pub(crate) flight: bool,
    pub(crate) subscribe: bool,
    pub(crate) instances: usize,
}

impl Options {
    pub(crate) fn of(seed: u64) -> Self {
        let kind = seed % 12;
        Options {
            sessions: matches!(kind, 6 | 7 | 8 | 11),
            cluster: matches!(kind, 5 | 9),
            bootstrap: matches!(kind, 4 | 5 | 8 | 9 | 11),
            paced: matches!(kind, 4 | 8 | 9),
            flight: matches!(kind, 2 | 3 | 9 | 10 | 11),
            subscribe: matches!(kind, 1 | 10),
            instances: if matches!(kind, 0 | 2 | 4 | 6) { 1 } else { 2 },
        }
    }
}

fn keyring() -> Keyring {
    Keyring::new(vec![
        Key::new("test", b"a secret of this test alone").expect("a secret")
    ])
    .expect("keys")
}

pub(crate) fn cluster_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7300 + index as u16))
}

pub(crate) fn peer_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7900 + index as u16))
}

/// The endpoint list in the platform's configuration.
fn initial_list(random: &mut Random) -> String {
    match random.below(4) {
        0 => "null".to_owned(),
        _ => list_text(
            1,
            true,
            &(1..=3)
                .map(|n| entry(n, "ready", if n == 1 { "leader" } else { "follower" }))
                .collect::<Vec<_>>(),
        ),
    }
}

pub(crate) fn base_config(
    seed: u64,
    index: usize,
    options: Options,
    random: &mut Random,
) -> (Config, String) {
    let initial_endpoints = initial_list(random);
    let mut text = config_text(&initial_endpoints);
    let mut change = |from: &str, to: &str| text = text.replace(from, to);
    if random.chance(25) {
        change("\"Cancel\":true", "\"Cancel\":false");
    }
    if random.chance(30) {
        change("\"SecondCopies\":false", "\"SecondCopies\":true");
    }
    if random.chance(20) {
        change("\"Probes\":true", "\"Probes\":false");
    }
    if random.chance(20) {
        change("\"MayTell\":true", "\"MayTell\":false");
    }
    if random.chance(20) {
        change("\"RetryAfter\":true", "\"RetryAfter\":false");
    }
    if random.chance(20) {
        change(
            "\"StopSendingWithinNs\"",
            "\"OnlyDrainingBinds\":true,\"StopSendingWithinNs\"",
        );
    }
    if random.chance(30) {
        change("\"ConnIdleNs\":20000000000", "\"ConnIdleNs\":900000000");
    }
    if options.subscribe {
        change(
            "\"MembershipMode\":\"automatic\"",
            "\"MembershipMode\":\"subscribe\"",
        );
    }
    if options.paced {
        change("\"FleetSize\":2", "\"FleetSize\":4");
    }
    change("\"Me\":0", &format!("\"Me\":{index}"));
    change("\"name\":\"g0\"", &format!("\"name\":\"g{index}\""));
    change(
        "\"seed\":\"8c1f\"",
        &format!("\"seed\":\"{:x}\"", 0x8c1f + seed * 2 + index as u64),
    );
    let mut config = Config::from_text(&text, |_| None).expect("a valid configuration");
    restrict_limits(&mut config.limits, random);
    (config, text)
}

/// Makes some limits small enough to be reached.
fn restrict_limits(limits: &mut Limits, random: &mut Random) {
    if random.chance(60) {
        (
            limits.clients,
            limits.client_reserve,
            limits.client_soft_limit,
        ) = (5, 2, 3);
    }
    if random.chance(50) {
        limits.member_connections = 4;
    }
    if random.chance(40) {
        (limits.client_bytes, limits.pending_write_bytes) = (1500, 700);
    }
    if random.chance(30) {
        (
            limits.requests,
            limits.max_pipelined_statements,
            limits.max_consecutive_malformed,
        ) = (5, 4, 3);
    }
    if random.chance(20) {
        limits.members = 3;
    }
}

pub(crate) fn add_operator_file(
    config: &mut Config,
    index: usize,
    options: Options,
    random: &mut Random,
) {
    let seeds = [cluster_address(0), cluster_address(1)];
    if options.flight {
        let members = match random.below(3) {
            0 => r#""groups": [2]"#,
            1 => r#""members": ["m1", "m2"]"#,
            _ => r#""members": ["m3"]"#,
        };
        let file = format!(r#"{{"listen": "127.0.0.1:0", "keys": ["k"], {members}}}"#);
        config.operator.flight = Some(FlightConfig {
            options: serde_json::from_str(&file).expect("a valid section"),
            keyring: keyring(),
        });
    }
    if options.sessions {
        let keepers = match random.below(3) {
            0 => r#"["g0"]"#,
            _ => r#"["g0", "g1"]"#,
        };
        let file = format!(
            r#"{{"cluster": "test", "listen": "{}", "seeds": ["{}", "{}"], "keys": ["k"], "keepers": {keepers},
            "lease": "100ms", "horizon": "1s", "resend": "20ms", "lookup": "20ms", "marks": 1000, "own_marks": 1000,
            "waits": 16, "expected": 2}}"#,
            cluster_address(index),
            seeds[0],
            seeds[1]
        );
        let session_sharing = SessionSharingConfig {
            options: serde_json::from_str(&file).expect("a valid section"),
            keyring: keyring(),
        };
        config.cluster = Some(ClusterConfig::from(&session_sharing));
        config.session_sharing = Some(session_sharing);
    }
    if options.cluster {
        let file = format!(
            r#"{{"name": "test", "listen": "{}", "seeds": ["{}", "{}"], "keys": ["k"], "expected": 2}}"#,
            cluster_address(index),
            seeds[0],
            seeds[1]
        );
        config.cluster = Some(ClusterConfig {
            options: serde_json::from_str(&file).expect("a valid section"),
            keyring: keyring(),
        });
    }
    if options.bootstrap {
        let opens = if options.paced { r#""opens": 2, "# } else { "" };
        let file = format!(
            r#"{{"bears": 100, {opens}"service": "s", "kept_wait": "100ms", "reset_after": "2s"}}"#
        );
        config.bootstrap = Some(serde_json::from_str(&file).expect("a valid section"));
    }
}
