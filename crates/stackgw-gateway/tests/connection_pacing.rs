//! The reducer where connections to cold members are dealt: nobody opens one out of turn, and nothing else changes.

mod common;

use common::*;
use stackgw_config::{Bootstrap, Duration};
use stackgw_gateway::reducer::{Effect, Input};
use stackgw_router::api::{Time, MS, SECOND};

const COLD: i64 = START / MS;
const LONG_AGO: i64 = 0;

/// A gateway of a fleet that a cold member bears two new connections a second of, and its list.
fn rig(since_ms: i64, opens: Option<u32>) -> Rig {
    let mut config = config("null");
    config.settings.router.fleet_size = 10;
    let file = Bootstrap {
        bears: 100,
        opens,
        service: String::new(),
        list: None,
        kept_wait: Duration::from_millis(0),
        reset_after: Duration::from_millis(60_000),
    };
    config.bootstrap = Some(file.clone());
    let mut rig = Rig::with(config);
    let mut effects = Vec::new();
    rig.reducer
        .enable_bootstrap(rig.now, &file, None, None, &mut effects);
    rig.pass(SECOND / 10);
    deliver_list(&mut rig, 1, since_ms);
    rig
}

fn deliver_list(rig: &mut Rig, revision: u64, since_ms: i64) {
    let entries = [
        entry(1, "ready", "leader"),
        entry(2, "ready", "follower"),
        entry(3, "ready", "follower"),
    ];
    let since = format!("\"up_since_ms\":{since_ms}");
    let entries = entries.map(|entry| entry.replace("\"up_since_ms\":0", &since));
    rig.input(Input::EndpointList(list(revision, true, &entries)));
}

/// Asks for writes again and again, while members close each connection after its answer; when one was opened.
fn openings(rig: &mut Rig, lasts: Time) -> Vec<Time> {
    let client = rig.client(1);
    let (since, mut at) = (rig.now, Vec::new());
    while rig.now < since + lasts {
        let mut effects = rig.ask(client, buy(400));
        effects.extend(rig.pass(50 * MS));
        for (conn, _) in statements(&effects) {
            effects.extend(rig.serve(conn, b"v"));
        }
        for (conn, _) in opened(&effects) {
            at.push(rig.now - since);
            rig.lose(conn);
        }
    }
    at
}

#[test]
fn connections_to_a_cold_member_are_paced_whatever_breaks() {
    let dealt = openings(&mut rig(COLD, Some(2)), 5 * SECOND);
    // Two a second at each of three members, growing to eight, for ten gateways: five in five seconds on average.
    assert!((1..=9).contains(&dealt.len()), "{dealt:?}");
    let free = openings(&mut rig(COLD, None), 5 * SECOND);
    assert!(
        free.len() > 3 * dealt.len(),
        "without turns: {}",
        free.len()
    );
}

#[test]
fn a_warm_member_is_connected_to_at_once() {
    let dealt = openings(&mut rig(LONG_AGO, Some(2)), SECOND);
    assert!(
        dealt.first() < Some(&(100 * MS)) && dealt.len() > 5,
        "{dealt:?}"
    );
    // One that has become warm by its age, too.
    let mut rig = rig(COLD, Some(2));
    rig.pass(11 * SECOND);
    let dealt = openings(&mut rig, SECOND);
    assert!(
        dealt.first() < Some(&(100 * MS)) && dealt.len() > 5,
        "{dealt:?}"
    );
}

#[test]
fn requests_wait_for_a_paced_connection_and_share_it() {
    let mut rig = rig(COLD, Some(2));
    let clients: Vec<_> = (1..=6).map(|n| rig.client(n)).collect();
    let mut effects = Vec::new();
    for client in &clients {
        effects.extend(rig.ask(*client, buy(1_900)));
    }
    let mut conns = Vec::new();
    while rig.now < START + 20 * SECOND {
        effects.extend(rig.pass(20 * MS));
        let asked: Vec<_> = statements(&effects);
        conns.extend(
            opened(&effects)
                .into_iter()
                .filter(|(_, member)| *member == 1),
        );
        effects.clear();
        for (conn, _) in asked {
            effects.extend(rig.serve(conn, b"v"));
        }
    }
    let counters = rig.reducer.counters();
    let ended = counters.answered_served + counters.answered_rejected;
    assert_eq!(
        (ended, counters.answered_failed),
        (6, 0),
        "each has its one answer"
    );
    assert!(conns.len() <= 2, "{conns:?}");
    if counters.answered_served > 0 {
        assert!(!conns.is_empty());
    }
}

#[test]
fn an_operator_sees_paced_members_and_deferrals() {
    let mut rig = rig(COLD, Some(2));
    openings(&mut rig, 2 * SECOND);
    let told = rig.input(Input::Report);
    let line = told.iter().find_map(|effect| match effect {
        Effect::Log(line) if line.starts_with("list from") => Some(line.clone()),
        _ => None,
    });
    assert!(
        line.as_deref()
            .is_some_and(|line| line.contains(" dealt=3 ")),
        "{line:?}"
    );
}
