//! Random inputs: whatever happens outside, each statement gets one answer, no connection carries two requests, budgets
//! hold, and all is forgotten in the end.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stackgw_gateway::pg::Frame;
use stackgw_gateway::reducer::{ClientId, CloseReason, ConnectionId, Effect, Input, ReadAhead};
use stackgw_router::api::{MS, SECOND};
use std::collections::{BTreeMap, BTreeSet};

/// What may happen next; numbers choose among what is there.
#[derive(Debug, Clone)]
enum Step {
    Open,
    Leave(usize),
    BadClient(usize),
    Ask(usize, u64, u8),
    Reply(usize, u8),
    Lose(usize, bool),
    Pass(i64),
    List(u8, bool),
    WatchLost,
    Datagram(Vec<u8>),
    Holds(usize, usize),
    Partial(usize),
    Reload(bool, u16),
    Stick(bool, bool),
    Terminate,
}

fn step() -> impl Strategy<Value = Step> {
    let at = 0usize..1000;
    prop_oneof![
        3 => Just(Step::Open),
        1 => at.clone().prop_map(Step::Leave),
        1 => at.clone().prop_map(Step::BadClient),
        12 => (at.clone(), 0u64..2000, any::<u8>()).prop_map(|(n, d, kind)| Step::Ask(n, d, kind)),
        12 => (at.clone(), any::<u8>()).prop_map(|(n, kind)| Step::Reply(n, kind)),
        3 => (at, any::<bool>()).prop_map(|(n, bad)| Step::Lose(n, bad)),
        6 => (0i64..400).prop_map(Step::Pass),
        2 => (any::<u8>(), any::<bool>()).prop_map(|(bits, full)| Step::List(bits, full)),
        1 => Just(Step::WatchLost),
        1 => proptest::collection::vec(any::<u8>(), 0..40).prop_map(Step::Datagram),
        1 => (0usize..1000, 0usize..400_000).prop_map(|(n, bytes)| Step::Holds(n, bytes)),
        1 => (0usize..1000).prop_map(Step::Partial),
        1 => (any::<bool>(), 8500u16..8503).prop_map(|(good, port)| Step::Reload(good, port)),
        1 => (any::<bool>(), any::<bool>()).prop_map(|(clients, members)| Step::Stick(clients, members)),
    ]
}

/// The outside as the effects leave it.
#[derive(Default)]
struct World {
    clients: BTreeSet<ClientId>,
    next_client: u64,
    /// Connections to members, with whether a request is on them.
    conns: BTreeMap<ConnectionId, bool>,
    /// Statements of each client that have no answer yet.
    owed: BTreeMap<ClientId, u32>,
    revision: u64,
    ended: bool,
    /// Clients to be closed unless they have sent something.
    retired: Vec<ClientId>,
}

impl World {
    fn see(&mut self, effects: &[Effect]) {
        for effect in effects {
            match effect {
                Effect::ClientWrite { client, close, .. } => {
                    if let Some(owed) = self.owed.get_mut(client).filter(|_| !close) {
                        assert!(*owed > 0, "an answer that nobody asked for");
                        *owed -= 1;
                    }
                    if *close {
                        self.owed.remove(client);
                    }
                }
                Effect::ClientClose(client) => {
                    assert!(self.clients.remove(client), "a client closed twice");
                    self.owed.remove(client);
                }
                Effect::MemberConnect(conn, _) => {
                    assert!(self.conns.insert(*conn, false).is_none())
                }
                Effect::MemberClose(conn) => {
                    assert!(self.conns.remove(conn).is_some(), "closed twice")
                }
                Effect::MemberWrite(conn, bytes) if bytes[0] == b'Q' => {
                    let busy = self.conns.get_mut(conn).expect("an open connection");
                    assert!(
                        !std::mem::replace(busy, true),
                        "two requests on one connection"
                    );
                }
                Effect::ClientCloseIfIdle(client) => self.retired.push(*client),
                Effect::Exit => self.ended = true,
                _ => {}
            }
        }
    }

    fn nth<T: Copy>(all: impl ExactSizeIterator<Item = T>, n: usize) -> Option<T> {
        let count = all.len().max(1);
        let mut all = all;
        all.nth(n % count)
    }
}

fn frames(kind: u8) -> Vec<Frame> {
    match kind % 8 {
        0 => vec![error("25006"), ready()],
        1 => vec![error("72000"), ready()],
        2 => vec![error("53300"), ready()],
        3 => vec![error("XX000"), ready()],
        4 => vec![message(b'I', b""), ready()],
        5 => vec![row(b"cut").remove(0)],
        _ => {
            let role = if kind & 16 > 0 { "leader" } else { "follower" };
            [
                row(b"v"),
                vec![
                    status("node_role", role),
                    status("replay_position", "1800000000000"),
                    ready(),
                ],
            ]
            .concat()
        }
    }
}

fn connect(harness: &mut ReducerHarness, world: &mut World) {
    let id = ClientId(world.next_client);
    world.next_client += 1;
    world.clients.insert(id);
    world.see(&harness.input(Input::ClientConnected(id)));
    // The welcome is no answer to a statement.
    harness.input(Input::ClientFrame(id, startup()));
}

fn leave(harness: &mut ReducerHarness, world: &mut World, n: usize) {
    if let Some(id) = World::nth(world.clients.iter().copied(), n) {
        world.clients.remove(&id);
        world.owed.remove(&id);
        world.see(&harness.input(Input::ClientClosed(id, CloseReason::Disconnected)));
    }
}

fn break_protocol(harness: &mut ReducerHarness, world: &mut World, n: usize) {
    if let Some(id) = World::nth(world.clients.iter().copied(), n) {
        world.see(&harness.input(Input::ClientClosed(id, CloseReason::ProtocolError)));
        world.clients.remove(&id);
        world.owed.remove(&id);
        world.see(&harness.input(Input::ClientClosed(id, CloseReason::Disconnected)));
    }
}

fn ask(harness: &mut ReducerHarness, world: &mut World, n: usize, d: u64, kind: u8) {
    let id = World::nth(world.clients.iter().copied(), n)
        .filter(|id| harness.reducer.accepts_frame(*id));
    if let Some(id) = id {
        *world.owed.entry(id).or_insert(0) += 1;
        let frame = match kind % 5 {
            0 => query("SELECT 1"),
            1 | 2 => write_query(d),
            _ => read_query(d),
        };
        world.see(&harness.input(Input::ClientFrame(id, frame)));
    }
}

fn reply(harness: &mut ReducerHarness, world: &mut World, n: usize, kind: u8) {
    let busy: Vec<_> = world
        .conns
        .iter()
        .filter(|(_, busy)| **busy)
        .map(|(id, _)| *id)
        .collect();
    if let Some(id) = World::nth(busy.iter().copied(), n) {
        let whole = frames(kind);
        let over = whole.last().is_some_and(|f| f.kind == b'Z');
        for frame in whole {
            if frame.kind == b'Z' && over {
                world.conns.insert(id, false);
            }
            world.see(&harness.input(Input::MemberFrame(id, frame)));
            if !world.conns.contains_key(&id) {
                break;
            }
        }
    }
}

fn lose(harness: &mut ReducerHarness, world: &mut World, n: usize, bad: bool) {
    if let Some(id) = World::nth(world.conns.keys().copied(), n) {
        world.conns.remove(&id);
        let why = if bad {
            CloseReason::ProtocolError
        } else {
            CloseReason::Disconnected
        };
        world.see(&harness.input(Input::MemberClosed(id, why)));
    }
}

fn deliver_list(harness: &mut ReducerHarness, world: &mut World, bits: u8, full: bool) {
    world.revision += 1;
    let phase = |n: u32| ["ready", "ready", "draining", "gone"][usize::from(bits >> (2 * n)) & 3];
    let entries: Vec<_> = (0..3).map(|n| entry(n + 1, phase(n), "follower")).collect();
    world.see(&harness.input(Input::EndpointList(list(world.revision, full, &entries))));
}

fn reload(harness: &mut ReducerHarness, world: &mut World, good: bool, port: u16) {
    let text = config_text("null").replace(":8500", &format!(":{port}"));
    let config = stackgw_gateway::config::Config::from_text(&text, |_| None).map(Box::new);
    let config = if good {
        config
    } else {
        Err(stackgw_gateway::config::ConfigError::NoFile)
    };
    world.see(&harness.input(Input::Reload(config)));
}

fn stick(harness: &mut ReducerHarness, world: &mut World, clients: bool, members: bool) {
    // What was stuck moves on before anything else is.
    (harness.client_writes_blocked, harness.member_writes_blocked) = (false, false);
    for id in world.clients.clone() {
        world.see(&harness.input(Input::ClientFlushed(id)));
    }
    for id in world.conns.keys().copied().collect::<Vec<_>>() {
        world.see(&harness.input(Input::MemberFlushed(id)));
    }
    (harness.client_writes_blocked, harness.member_writes_blocked) = (clients, members);
}

fn take(harness: &mut ReducerHarness, world: &mut World, step: Step) {
    match step {
        Step::Open => connect(harness, world),
        Step::Leave(n) => leave(harness, world, n),
        Step::BadClient(n) => break_protocol(harness, world, n),
        Step::Ask(n, d, kind) => ask(harness, world, n, d, kind),
        Step::Reply(n, kind) => reply(harness, world, n, kind),
        Step::Lose(n, bad) => lose(harness, world, n, bad),
        Step::Pass(ms) => world.see(&harness.advance(ms * MS)),
        Step::List(bits, full) => deliver_list(harness, world, bits, full),
        Step::WatchLost => world.see(&harness.input(Input::WatchLost("ended".into()))),
        Step::Datagram(bytes) => {
            let from = "127.0.0.1:7901".parse().expect("an address");
            world.see(&harness.input(Input::GossipDatagram(from, bytes)));
        }
        Step::Holds(n, bytes) => {
            if let Some(id) = World::nth(world.clients.iter().copied(), n) {
                world.see(&harness.input(Input::ClientReadAhead(id, ReadAhead::partial(bytes))));
            }
        }
        Step::Partial(n) => {
            if let Some(id) = World::nth(world.conns.keys().copied(), n) {
                world.see(&harness.input(Input::MemberPartialFrame(id)));
            }
        }
        Step::Reload(good, port) => reload(harness, world, good, port),
        Step::Stick(clients, members) => stick(harness, world, clients, members),
        Step::Terminate => world.see(&harness.input(Input::Terminate)),
    }
}

/// Closes the clients that were to be closed unless they had sent something.
fn close_retired(harness: &mut ReducerHarness, world: &mut World) {
    while let Some(id) = world.retired.pop() {
        if world.clients.remove(&id) {
            assert_eq!(
                world.owed.remove(&id).unwrap_or(0),
                0,
                "closed inside a request"
            );
            world.see(&harness.input(Input::ClientClosed(id, CloseReason::Disconnected)));
        }
    }
}

/// What holds after each step.
fn check(harness: &ReducerHarness, world: &World) {
    let counters = harness.reducer.counters();
    assert_eq!(counters.clients_open, world.clients.len() as u64);
    assert_eq!(counters.members_open, world.conns.len() as u64);
    assert!(counters.members_open <= 4);
    // What the router believes to be in flight is what is out on connections.
    for seen in harness.reducer.member_statuses() {
        assert_eq!(seen.snapshot.in_flight, seen.attempts, "{seen:?}");
    }
}

fn play(steps: Vec<Step>) {
    let mut config = config(&three_members());
    (
        config.limits.clients,
        config.limits.client_reserve,
        config.limits.member_connections,
    ) = (4, 2, 4);
    let mut harness = ReducerHarness::with(config);
    harness.answer_health_checks = false;
    let mut world = World {
        revision: 1,
        ..World::default()
    };
    world.see(&harness.effects.drain(..).collect::<Vec<_>>());
    // The probes of the start have been answered.
    world.conns.values_mut().for_each(|busy| *busy = false);
    for step in steps {
        if world.ended {
            break;
        }
        let before = harness.effects.len();
        take(&mut harness, &mut world, step);
        close_retired(&mut harness, &mut world);
        harness.effects.truncate(before);
        check(&harness, &world);
    }
    // In the end nothing is owed and nothing is kept.
    if !world.ended {
        world.see(&harness.advance(3 * SECOND));
    }
    assert!(
        world.owed.values().all(|owed| *owed == 0),
        "no answer: {:?}",
        world.owed
    );
    let c = harness.reducer.counters();
    let answered = c.answered_served + c.answered_rejected + c.answered_failed + c.abandoned;
    assert_eq!(c.taken, c.malformed + c.rejected_early + answered, "{c}");
    if world.ended {
        return; // What was out then is nobody's any more.
    }
    let ended =
        c.ended_served + c.ended_error + c.ended_overloaded + c.ended_misrouted + c.ended_timed_out;
    let ended = ended
        + c.ended_no_connection
        + c.ended_reset
        + c.ended_malformed
        + c.ended_cancelled
        + c.ended_not_sent;
    assert_eq!((c.attempts, c.buffered_bytes), (ended, 0), "{c}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn each_statement_gets_one_answer_whatever_happens(
        steps in proptest::collection::vec(step(), 1..120), end in any::<bool>()
    ) {
        let mut steps = steps;
        if end {
            steps.insert(steps.len() / 2, Step::Terminate);
        }
        play(steps);
    }
}
