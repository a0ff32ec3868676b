//! The endpoint list, its watch, reloads, and gossip about members.

mod common;

use common::*;
use stackgw_gateway::config::{Config, ConfigError};
use stackgw_gateway::reducer::{CloseReason, Effect, Input};
use stackgw_router::api::{MS, SECOND};

/// The error for a document that is not valid JSON.
fn unusable_config() -> ConfigError {
    Config::from_text("{", |_| None).expect_err("the document is not valid JSON")
}

#[test]
fn the_watch_starts_after_the_known_revision_and_is_reopened_with_backoff() {
    let mut harness = ReducerHarness::new(&three_members());
    assert!(harness.effects.contains(&Effect::OpenWatch(
        "127.0.0.1:8500".parse().expect("an address"),
        Some(1)
    )));
    let watches_opened = |effects: &[Effect]| {
        effects
            .iter()
            .filter(|e| matches!(e, Effect::OpenWatch(..)))
            .count()
    };
    let effects = harness.input(Input::WatchLost("ended".into()));
    assert_eq!(
        watches_opened(&effects),
        0,
        "the watch must not be reopened at once"
    );
    assert_eq!(watches_opened(&harness.advance(150 * MS)), 1);
    harness.input(Input::WatchLost("refused".into()));
    assert_eq!(
        watches_opened(&harness.advance(150 * MS)),
        0,
        "the second backoff must be longer"
    );
    assert_eq!(watches_opened(&harness.advance(SECOND)), 1);
    // Blank lines keep the watch open. It is reopened after a silence longer than two intervals of blank lines.
    harness.input(Input::WatchConnected);
    for _ in 0..5 {
        harness.advance(2 * SECOND);
        harness.input(Input::WatchKeepalive);
    }
    let watches_lost = harness.reducer.counters().watches_lost;
    assert_eq!(watches_lost, 2);
    let effects = harness.advance(4500 * MS);
    assert!(effects.contains(&Effect::CloseWatch) && watches_opened(&effects) == 1);
}

#[test]
fn a_drain_notice_takes_effect_at_once() {
    let mut harness = ReducerHarness::new(&three_members());
    let client = harness.client(1);
    harness.input(Input::EndpointList(list(
        2,
        false,
        &[
            entry(1, "draining", "leader"),
            entry(2, "draining", "follower"),
        ],
    )));
    harness.advance(2 * SECOND);
    for _ in 0..4 {
        let mut effects = harness.send(client, read_query(400));
        effects.extend(harness.advance(500 * MS));
        assert!(
            opened(&effects).iter().all(|(_, member)| *member == 3),
            "a request was sent to a draining member"
        );
    }
    let older = list(1, false, &[entry(1, "ready", "leader")]);
    harness.input(Input::EndpointList(older));
    assert_eq!(
        harness.reducer.counters().lists,
        1,
        "an older list must not replace a newer one"
    );
}

#[test]
fn a_new_address_is_used_and_idle_connections_to_the_old_one_are_closed() {
    let (mut harness, client, conn) = request_in_flight(write_query(900));
    harness.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    let moved = entry(1, "ready", "leader").replace(":7001", ":7041");
    let effects = harness.input(Input::EndpointList(list(2, false, &[moved])));
    assert_eq!(closed(&effects), [conn]);
    let effects = harness.send(client, write_query(900));
    assert_eq!(opened(&effects)[0].1, 41);
}

#[test]
fn gossip_is_accepted_only_from_known_gateways() {
    let mut harness = ReducerHarness::new(&three_members());
    harness.input(Input::GossipDatagram(
        "127.0.0.1:7901".parse().expect("an address"),
        vec![0, 0, 0, 0, 0],
    ));
    harness.input(Input::GossipDatagram(
        "127.0.0.1:7902".parse().expect("an address"),
        vec![0, 0, 0, 0, 0],
    ));
    harness.input(Input::GossipDatagram(
        "127.0.0.1:7901".parse().expect("an address"),
        vec![9; 11],
    ));
    harness.input(Input::GossipDatagram(
        "127.0.0.1:7901".parse().expect("an address"),
        vec![0; 257],
    ));
    let counters = harness.reducer.counters();
    assert_eq!((counters.gossip_received, counters.gossip_dropped), (1, 3));
}

#[test]
fn member_states_from_responses_are_gossiped_in_small_datagrams() {
    let (mut harness, _, conn) = request_in_flight(read_query(900));
    harness.serve(conn, b"x");
    let effects = harness.advance(3 * SECOND);
    let sent: Vec<_> = effects
        .iter()
        .filter_map(|e| match e {
            Effect::GossipDatagram(to, bytes) => Some((to.port(), bytes.len())),
            _ => None,
        })
        .collect();
    assert!(
        !sent.is_empty()
            && sent
                .iter()
                .all(|(port, n)| [7901, 7999].contains(port) && *n <= 256),
        "{sent:?}"
    );
}

/// After a reload (SIGHUP) the complete list is requested at the new address at once, regardless of the revisions of the old one.
#[test]
#[expect(clippy::too_many_lines, reason = "one sequence of steps")]
fn a_reload_moves_the_watch_and_resets_the_known_revision() {
    let known = list_text(
        41,
        true,
        &[entry(1, "ready", "leader"), entry(2, "ready", "follower")],
    );
    let mut harness = ReducerHarness::new(&known);
    let client = harness.client(1);
    let config = |text: String| {
        Box::new(
            stackgw_gateway::config::Config::from_text(&text, |_| None)
                .expect("a valid configuration"),
        )
    };
    let moved = || config_text("null").replace("127.0.0.1:8500", "127.0.0.1:8600");
    let effects = harness.input(Input::Reload(Ok(config(moved()))));
    let new = "127.0.0.1:8600".parse().expect("an address");
    assert!(
        effects.contains(&Effect::CloseWatch) && effects.contains(&Effect::OpenWatch(new, None)),
        "{effects:?}"
    );
    // Lists from the new address are applied although their revisions are lower.
    harness.input(Input::EndpointList(list(
        3,
        true,
        &[
            entry(2, "draining", "follower"),
            entry(3, "ready", "leader"),
        ],
    )));
    harness.input(Input::EndpointList(list(
        4,
        false,
        &[entry(2, "gone", "follower")],
    )));
    assert_eq!(harness.reducer.counters().lists, 2);
    harness.advance(2 * SECOND);
    let effects = harness.send(client, read_query(400));
    assert!(
        opened(&effects).iter().all(|(_, member)| *member == 3),
        "the list from the new address must be applied"
    );
    // A lost watch is reopened at the new address after the new revision.
    harness.input(Input::WatchLost("ended".into()));
    assert!(harness
        .advance(SECOND)
        .contains(&Effect::OpenWatch(new, Some(4))));
    // A reload of the same configuration changes nothing, and neither does an invalid one, which is logged in one line.
    let effects = harness.input(Input::Reload(Ok(config(moved()))));
    assert!(!effects
        .iter()
        .any(|e| matches!(e, Effect::OpenWatch(..) | Effect::CloseWatch)));
    let effects = harness.input(Input::Reload(Err(unusable_config())));
    assert!(
        matches!(&effects[..], [Effect::Log(line)] if line.contains("not valid JSON")),
        "{effects:?}"
    );
    // Settings that cannot change without a restart are logged.
    let other = moved()
        .replace("\"sockets\":128", "\"sockets\":256")
        .replace("\"g0\"", "\"g7\"");
    let effects = harness.input(Input::Reload(Ok(config(other))));
    let logged = |e: &Effect| matches!(e, Effect::Log(line) if line.contains("until a restart: name, limits"));
    assert!(effects.iter().any(logged), "{effects:?}");
    assert_eq!(
        (
            harness.reducer.counters().reloads,
            harness.reducer.counters().reloads_failed
        ),
        (4, 1)
    );
}

/// Members are replaced all the time under new ids, and clients and sessions are always new. Only the current ones and a few
/// recent ones may be kept in memory.
#[test]
fn memory_does_not_grow_over_many_generations_of_members() {
    let mut harness = ReducerHarness::new(&list_text(1, true, &[entry(1, "ready", "leader")]));
    let mut peaks = [0; 2];
    for n in 0..400u32 {
        let (old, new) = (1 + n, 2 + n);
        let ready = |m| entry(m, "ready", if m == new { "leader" } else { "follower" });
        harness.input(Input::EndpointList(list(
            u64::from(n) * 2 + 2,
            false,
            &[ready(new), entry(old, "gone", "follower")],
        )));
        let client = harness.client(u64::from(n));
        let text = format!(
            "SELECT val FROM state WHERE uid = 's{n}' /* id=g{n},c=mine,d=400,cluster=2 */"
        );
        let effects = harness.send(client, query(&text));
        let sent = statements(&effects);
        for (conn, _) in &sent {
            harness.reply(
                *conn,
                [
                    row(b"x"),
                    vec![status("node_role", "leader"), message(b'Z', b"I")],
                ]
                .concat(),
            );
        }
        harness.advance(SECOND);
        harness.input(Input::ClientClosed(client, CloseReason::Disconnected));
        let counters = harness.reducer.counters();
        let members_known = counters.members_known;
        let half = usize::from(n >= 200);
        peaks[half] =
            peaks[half].max(members_known + counters.members_open + counters.buffered_bytes);
        assert!(
            members_known < 60,
            "{members_known} members after {n} generations"
        );
        assert!(
            counters.members_open < 30,
            "{} connections",
            counters.members_open
        );
    }
    let counters = harness.reducer.counters();
    assert!(counters.members_forgotten > 300, "{counters}");
    assert!(peaks[1] <= peaks[0], "{peaks:?}");
    // A member that returns is treated like any other.
    harness.input(Input::EndpointList(list(
        9000,
        false,
        &[entry(3, "ready", "follower")],
    )));
    assert!(harness.reducer.counters().members_known < 60);
}

/// Entries from peers and from the disk are not validated like those from the list service: a start time out of range overflowed.
#[test]
fn a_member_with_an_impossible_start_time_counts_as_just_started() {
    let mut harness = ReducerHarness::new("null");
    let mut update = list(1, true, &[entry(1, "ready", "leader")]);
    update.members[0].up_since_ms = i64::MAX;
    harness.input(Input::EndpointList(update));
    assert_eq!(harness.reducer.counters().members_known, 1);
    let client = harness.client(1);
    harness.send(client, read_query(900));
    harness.advance(stackgw_router::api::SECOND);
}
