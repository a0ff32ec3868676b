//! The endpoint list, its watch, a reload, and gossip about members.

mod common;

use common::*;
use stackgw_gateway::config::{Config, ConfigError};
use stackgw_gateway::reducer::{CloseReason, Effect, Input};
use stackgw_router::api::{MS, SECOND};

/// Why a document that is no JSON cannot be used.
fn unusable_config() -> ConfigError {
    Config::from_text("{", |_| None).expect_err("no JSON")
}

#[test]
fn the_watch_starts_after_the_known_version_and_is_opened_anew_with_pauses() {
    let mut harness = ReducerHarness::new(&three_members());
    assert!(harness.effects.contains(&Effect::OpenWatch(
        "127.0.0.1:8500".parse().expect("an address"),
        Some(1)
    )));
    let count = |effects: &[Effect]| {
        effects
            .iter()
            .filter(|e| matches!(e, Effect::OpenWatch(..)))
            .count()
    };
    let effects = harness.input(Input::WatchLost("ended".into()));
    assert_eq!(count(&effects), 0, "not at once");
    assert_eq!(count(&harness.advance(150 * MS)), 1);
    harness.input(Input::WatchLost("refused".into()));
    assert_eq!(
        count(&harness.advance(150 * MS)),
        0,
        "the second pause is longer"
    );
    assert_eq!(count(&harness.advance(SECOND)), 1);
    // Blank lines keep it; silence does not, for longer than two of them.
    harness.input(Input::WatchConnected);
    for _ in 0..5 {
        harness.advance(2 * SECOND);
        harness.input(Input::WatchKeepalive);
    }
    let lost = harness.reducer.counters().watches_lost;
    assert_eq!(lost, 2);
    let effects = harness.advance(4500 * MS);
    assert!(effects.contains(&Effect::CloseWatch) && count(&effects) == 1);
}

#[test]
fn a_drain_reaches_the_router_at_once() {
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
            "a draining member was sent to"
        );
    }
    let text = list(1, false, &[entry(1, "ready", "leader")]);
    harness.input(Input::EndpointList(text));
    assert_eq!(
        harness.reducer.counters().lists,
        1,
        "older word undoes no newer"
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
fn gossip_is_accepted_only_from_gateways_of_the_tier() {
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
fn what_responses_say_of_members_is_gossiped_in_small_datagrams() {
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

/// What SIGHUP brings: the list comes from the new address at once and whole, whatever versions the old one had.
#[test]
#[expect(clippy::too_many_lines, reason = "one history, step by step")]
fn a_new_configuration_moves_the_watch_and_old_versions_do_not_bind() {
    let known = list_text(
        41,
        true,
        &[entry(1, "ready", "leader"), entry(2, "ready", "follower")],
    );
    let mut harness = ReducerHarness::new(&known);
    let client = harness.client(1);
    let config = |text: String| {
        Box::new(stackgw_gateway::config::Config::from_text(&text, |_| None).expect("one"))
    };
    let moved = || config_text("null").replace("127.0.0.1:8500", "127.0.0.1:8600");
    let effects = harness.input(Input::Reload(Ok(config(moved()))));
    let new = "127.0.0.1:8600".parse().expect("an address");
    assert!(
        effects.contains(&Effect::CloseWatch) && effects.contains(&Effect::OpenWatch(new, None)),
        "{effects:?}"
    );
    // Its versions are lower, and count all the same.
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
        "what it tells binds"
    );
    // Lost, it is asked for at the new address after the new versions.
    harness.input(Input::WatchLost("ended".into()));
    assert!(harness
        .advance(SECOND)
        .contains(&Effect::OpenWatch(new, Some(4))));
    // The same once more changes nothing; one that cannot be used neither, and is one line.
    let effects = harness.input(Input::Reload(Ok(config(moved()))));
    assert!(!effects
        .iter()
        .any(|e| matches!(e, Effect::OpenWatch(..) | Effect::CloseWatch)));
    let effects = harness.input(Input::Reload(Err(unusable_config())));
    assert!(
        matches!(&effects[..], [Effect::Log(line)] if line.contains("not valid JSON")),
        "{effects:?}"
    );
    // What cannot change while running is said.
    let other = moved()
        .replace("\"sockets\":128", "\"sockets\":256")
        .replace("\"g0\"", "\"g7\"");
    let effects = harness.input(Input::Reload(Ok(config(other))));
    let said = |e: &Effect| matches!(e, Effect::Log(line) if line.contains("until a restart: name, limits"));
    assert!(effects.iter().any(said), "{effects:?}");
    assert_eq!(
        (
            harness.reducer.counters().reloads,
            harness.reducer.counters().reloads_failed
        ),
        (4, 1)
    );
}

/// The long day: members are replaced throughout under new ids, clients and sessions are always new. What is kept of
/// them is what is there now and a little of what has just gone.
#[test]
fn nothing_grows_over_many_generations() {
    let mut harness = ReducerHarness::new(&list_text(1, true, &[entry(1, "ready", "leader")]));
    let mut most = [0; 2];
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
        let kept = counters.members_known;
        let half = usize::from(n >= 200);
        most[half] = most[half].max(kept + counters.members_open + counters.buffered_bytes);
        assert!(kept < 60, "{kept} members after {n} generations");
        assert!(
            counters.members_open < 30,
            "{} connections",
            counters.members_open
        );
    }
    let counters = harness.reducer.counters();
    assert!(counters.members_forgotten > 300, "{counters}");
    assert!(most[1] <= most[0], "{most:?}");
    // One that comes back is a member like any other.
    harness.input(Input::EndpointList(list(
        9000,
        false,
        &[entry(3, "ready", "follower")],
    )));
    assert!(harness.reducer.counters().members_known < 60);
}

/// Entries from peers and from the disk are not checked as the list service's are: a start time beyond all times overflowed.
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
