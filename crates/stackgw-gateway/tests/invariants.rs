//! Random inputs. In every sequence each statement gets one response, no connection carries two requests at once, limits hold,
//! and no state of requests is left at the end.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stackgw_gateway::pg::Frame;
use stackgw_gateway::reducer::{ClientId, CloseReason, ConnectionId, Effect, Input, ReadAhead};
use stackgw_router::api::{MS, SECOND};
use std::collections::{BTreeMap, BTreeSet};

/// A random event. The numbers select among the existing clients or connections.
#[derive(Debug, Clone)]
enum Step {
    ConnectClient,
    DisconnectClient(usize),
    ClientProtocolError(usize),
    SendStatement(usize, u64, u8),
    Reply(usize, u8),
    DisconnectMember(usize, bool),
    Advance(i64),
    EndpointList(u8, bool),
    WatchLost,
    Datagram(Vec<u8>),
    ClientReadAhead(usize, usize),
    MemberPartialFrame(usize),
    Reload(bool, u16),
    BlockWrites(bool, bool),
    Terminate,
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0usize..1000;
    prop_oneof![
        3 => Just(Step::ConnectClient),
        1 => index.clone().prop_map(Step::DisconnectClient),
        1 => index.clone().prop_map(Step::ClientProtocolError),
        12 => (index.clone(), 0u64..2000, any::<u8>()).prop_map(|(n, d, kind)| Step::SendStatement(n, d, kind)),
        12 => (index.clone(), any::<u8>()).prop_map(|(n, kind)| Step::Reply(n, kind)),
        3 => (index, any::<bool>()).prop_map(|(n, is_malformed)| Step::DisconnectMember(n, is_malformed)),
        6 => (0i64..400).prop_map(Step::Advance),
        2 => (any::<u8>(), any::<bool>()).prop_map(|(phases, is_complete)| Step::EndpointList(phases, is_complete)),
        1 => Just(Step::WatchLost),
        1 => proptest::collection::vec(any::<u8>(), 0..40).prop_map(Step::Datagram),
        1 => (0usize..1000, 0usize..400_000).prop_map(|(n, bytes)| Step::ClientReadAhead(n, bytes)),
        1 => (0usize..1000).prop_map(Step::MemberPartialFrame),
        1 => (any::<bool>(), 8500u16..8503).prop_map(|(is_valid, port)| Step::Reload(is_valid, port)),
        1 => (any::<bool>(), any::<bool>()).prop_map(|(clients, members)| Step::BlockWrites(clients, members)),
    ]
}

/// The clients and connections outside the reducer, as its effects have changed them.
#[derive(Default)]
struct Environment {
    clients: BTreeSet<ClientId>,
    next_client: u64,
    /// Connections to members, each with whether a request is in flight on it.
    conns: BTreeMap<ConnectionId, bool>,
    /// The number of unanswered statements of each client.
    unanswered: BTreeMap<ClientId, u32>,
    revision: u64,
    has_exited: bool,
    /// Clients to be closed unless they have sent something.
    closing_if_idle: Vec<ClientId>,
}

impl Environment {
    fn apply(&mut self, effects: &[Effect]) {
        for effect in effects {
            match effect {
                Effect::ClientWrite { client, close, .. } => {
                    if let Some(count) = self.unanswered.get_mut(client).filter(|_| !close) {
                        assert!(*count > 0, "a client got a response without a request");
                        *count -= 1;
                    }
                    if *close {
                        self.unanswered.remove(client);
                    }
                }
                Effect::ClientClose(client) => {
                    assert!(self.clients.remove(client), "a client was closed twice");
                    self.unanswered.remove(client);
                }
                Effect::MemberConnect(conn, _) => {
                    assert!(self.conns.insert(*conn, false).is_none())
                }
                Effect::MemberClose(conn) => {
                    assert!(
                        self.conns.remove(conn).is_some(),
                        "a connection was closed twice"
                    )
                }
                Effect::MemberWrite(conn, bytes) if bytes[0] == b'Q' => {
                    let busy = self.conns.get_mut(conn).expect("an open connection");
                    assert!(
                        !std::mem::replace(busy, true),
                        "two requests were sent on one connection at once"
                    );
                }
                Effect::ClientCloseIfIdle(client) => self.closing_if_idle.push(*client),
                Effect::Exit => self.has_exited = true,
                _ => {}
            }
        }
    }

    fn nth<T: Copy>(items: impl ExactSizeIterator<Item = T>, n: usize) -> Option<T> {
        let count = items.len().max(1);
        let mut items = items;
        items.nth(n % count)
    }
}

fn response_frames(kind: u8) -> Vec<Frame> {
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

fn connect(harness: &mut ReducerHarness, environment: &mut Environment) {
    let id = ClientId(environment.next_client);
    environment.next_client += 1;
    environment.clients.insert(id);
    environment.apply(&harness.input(Input::ClientConnected(id)));
    // The startup response does not answer a statement.
    harness.input(Input::ClientFrame(id, startup()));
}

fn disconnect_client(harness: &mut ReducerHarness, environment: &mut Environment, n: usize) {
    if let Some(id) = Environment::nth(environment.clients.iter().copied(), n) {
        environment.clients.remove(&id);
        environment.unanswered.remove(&id);
        environment.apply(&harness.input(Input::ClientClosed(id, CloseReason::Disconnected)));
    }
}

fn client_protocol_error(harness: &mut ReducerHarness, environment: &mut Environment, n: usize) {
    if let Some(id) = Environment::nth(environment.clients.iter().copied(), n) {
        environment.apply(&harness.input(Input::ClientClosed(id, CloseReason::ProtocolError)));
        environment.clients.remove(&id);
        environment.unanswered.remove(&id);
        environment.apply(&harness.input(Input::ClientClosed(id, CloseReason::Disconnected)));
    }
}

fn send_statement(
    harness: &mut ReducerHarness,
    environment: &mut Environment,
    n: usize,
    d: u64,
    kind: u8,
) {
    let id = Environment::nth(environment.clients.iter().copied(), n)
        .filter(|id| harness.reducer.accepts_frame(*id));
    if let Some(id) = id {
        *environment.unanswered.entry(id).or_insert(0) += 1;
        let frame = match kind % 5 {
            0 => query("SELECT 1"),
            1 | 2 => write_query(d),
            _ => read_query(d),
        };
        environment.apply(&harness.input(Input::ClientFrame(id, frame)));
    }
}

fn reply(harness: &mut ReducerHarness, environment: &mut Environment, n: usize, kind: u8) {
    let busy_conns: Vec<_> = environment
        .conns
        .iter()
        .filter(|(_, busy)| **busy)
        .map(|(id, _)| *id)
        .collect();
    if let Some(id) = Environment::nth(busy_conns.iter().copied(), n) {
        let frames = response_frames(kind);
        let is_complete = frames.last().is_some_and(|f| f.kind == b'Z');
        for frame in frames {
            if frame.kind == b'Z' && is_complete {
                environment.conns.insert(id, false);
            }
            environment.apply(&harness.input(Input::MemberFrame(id, frame)));
            if !environment.conns.contains_key(&id) {
                break;
            }
        }
    }
}

fn disconnect_member(
    harness: &mut ReducerHarness,
    environment: &mut Environment,
    n: usize,
    is_malformed: bool,
) {
    if let Some(id) = Environment::nth(environment.conns.keys().copied(), n) {
        environment.conns.remove(&id);
        let reason = if is_malformed {
            CloseReason::ProtocolError
        } else {
            CloseReason::Disconnected
        };
        environment.apply(&harness.input(Input::MemberClosed(id, reason)));
    }
}

fn deliver_list(
    harness: &mut ReducerHarness,
    environment: &mut Environment,
    phases: u8,
    is_complete: bool,
) {
    environment.revision += 1;
    let phase = |n: u32| ["ready", "ready", "draining", "gone"][usize::from(phases >> (2 * n)) & 3];
    let entries: Vec<_> = (0..3).map(|n| entry(n + 1, phase(n), "follower")).collect();
    environment.apply(&harness.input(Input::EndpointList(list(
        environment.revision,
        is_complete,
        &entries,
    ))));
}

fn reload(harness: &mut ReducerHarness, environment: &mut Environment, is_valid: bool, port: u16) {
    let text = config_text("null").replace(":8500", &format!(":{port}"));
    let config = stackgw_gateway::config::Config::from_text(&text, |_| None).map(Box::new);
    let config = if is_valid {
        config
    } else {
        Err(stackgw_gateway::config::ConfigError::NoFile)
    };
    environment.apply(&harness.input(Input::Reload(config)));
}

fn block_writes(
    harness: &mut ReducerHarness,
    environment: &mut Environment,
    clients: bool,
    members: bool,
) {
    // Blocked writes complete before other writes are blocked.
    (harness.client_writes_blocked, harness.member_writes_blocked) = (false, false);
    for id in environment.clients.clone() {
        environment.apply(&harness.input(Input::ClientFlushed(id)));
    }
    for id in environment.conns.keys().copied().collect::<Vec<_>>() {
        environment.apply(&harness.input(Input::MemberFlushed(id)));
    }
    (harness.client_writes_blocked, harness.member_writes_blocked) = (clients, members);
}

fn perform(harness: &mut ReducerHarness, environment: &mut Environment, step: Step) {
    match step {
        Step::ConnectClient => connect(harness, environment),
        Step::DisconnectClient(n) => disconnect_client(harness, environment, n),
        Step::ClientProtocolError(n) => client_protocol_error(harness, environment, n),
        Step::SendStatement(n, d, kind) => send_statement(harness, environment, n, d, kind),
        Step::Reply(n, kind) => reply(harness, environment, n, kind),
        Step::DisconnectMember(n, is_malformed) => {
            disconnect_member(harness, environment, n, is_malformed)
        }
        Step::Advance(ms) => environment.apply(&harness.advance(ms * MS)),
        Step::EndpointList(phases, is_complete) => {
            deliver_list(harness, environment, phases, is_complete)
        }
        Step::WatchLost => environment.apply(&harness.input(Input::WatchLost("ended".into()))),
        Step::Datagram(bytes) => {
            let from = "127.0.0.1:7901".parse().expect("an address");
            environment.apply(&harness.input(Input::GossipDatagram(from, bytes)));
        }
        Step::ClientReadAhead(n, bytes) => {
            if let Some(id) = Environment::nth(environment.clients.iter().copied(), n) {
                environment
                    .apply(&harness.input(Input::ClientReadAhead(id, ReadAhead::partial(bytes))));
            }
        }
        Step::MemberPartialFrame(n) => {
            if let Some(id) = Environment::nth(environment.conns.keys().copied(), n) {
                environment.apply(&harness.input(Input::MemberPartialFrame(id)));
            }
        }
        Step::Reload(is_valid, port) => reload(harness, environment, is_valid, port),
        Step::BlockWrites(clients, members) => block_writes(harness, environment, clients, members),
        Step::Terminate => environment.apply(&harness.input(Input::Terminate)),
    }
}

/// Closes the clients that are to be closed if they are idle.
fn close_idle_clients(harness: &mut ReducerHarness, environment: &mut Environment) {
    while let Some(id) = environment.closing_if_idle.pop() {
        if environment.clients.remove(&id) {
            assert_eq!(
                environment.unanswered.remove(&id).unwrap_or(0),
                0,
                "a client was closed within a request"
            );
            environment.apply(&harness.input(Input::ClientClosed(id, CloseReason::Disconnected)));
        }
    }
}

/// Checks the invariants that hold after each step.
fn check_invariants(harness: &ReducerHarness, environment: &Environment) {
    let counters = harness.reducer.counters();
    assert_eq!(counters.clients_open, environment.clients.len() as u64);
    assert_eq!(counters.members_open, environment.conns.len() as u64);
    // The limit of connections to members that `run` sets.
    assert!(counters.members_open <= 4);
    // The router's number of requests in flight is the number of attempts on connections.
    for member in harness.reducer.member_statuses() {
        assert_eq!(member.snapshot.in_flight, member.attempts, "{member:?}");
    }
}

fn run(steps: Vec<Step>) {
    let mut config = config(&three_members());
    (
        config.limits.clients,
        config.limits.client_reserve,
        config.limits.member_connections,
    ) = (4, 2, 4);
    let mut harness = ReducerHarness::with(config);
    harness.answer_health_checks = false;
    let mut environment = Environment {
        revision: 1,
        ..Environment::default()
    };
    environment.apply(&harness.effects.drain(..).collect::<Vec<_>>());
    // The health checks sent at start count as answered.
    environment
        .conns
        .values_mut()
        .for_each(|busy| *busy = false);
    for step in steps {
        if environment.has_exited {
            break;
        }
        let effect_count = harness.effects.len();
        perform(&mut harness, &mut environment, step);
        close_idle_clients(&mut harness, &mut environment);
        harness.effects.truncate(effect_count);
        check_invariants(&harness, &environment);
    }
    // At the end every statement is answered and no bytes are buffered.
    if !environment.has_exited {
        environment.apply(&harness.advance(3 * SECOND));
    }
    assert!(
        environment.unanswered.values().all(|count| *count == 0),
        "unanswered: {:?}",
        environment.unanswered
    );
    let c = harness.reducer.counters();
    let answered = c.answered_served + c.answered_rejected + c.answered_failed + c.abandoned;
    assert_eq!(c.taken, c.malformed + c.rejected_early + answered, "{c}");
    if environment.has_exited {
        return; // Attempts that were in flight at the exit have no end.
    }
    let ended_attempts =
        c.ended_served + c.ended_error + c.ended_overloaded + c.ended_misrouted + c.ended_timed_out;
    let ended_attempts = ended_attempts
        + c.ended_no_connection
        + c.ended_reset
        + c.ended_malformed
        + c.ended_cancelled
        + c.ended_not_sent;
    assert_eq!((c.attempts, c.buffered_bytes), (ended_attempts, 0), "{c}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn each_statement_gets_one_response_for_any_inputs(
        steps in proptest::collection::vec(step(), 1..120), terminates in any::<bool>()
    ) {
        let mut steps = steps;
        if terminates {
            steps.insert(steps.len() / 2, Step::Terminate);
        }
        run(steps);
    }
}
