//! Clients' connections: startup, readiness, capacity, buffers and timeouts.

mod common;

use common::*;
use stackgw_gateway::reducer::{ClientId, CloseReason, Effect, Input, ReadAhead};
use stackgw_router::api::{MS, SECOND};

#[test]
fn ready_is_said_only_once_a_list_is_known() {
    let mut rig = Rig::new("null");
    let (client, eager) = (rig.client(1), rig.client(2));
    assert!(answers(&rig.ask(client, query(""))).is_empty());
    assert_eq!(
        sqlstate(&answers(&rig.ask(eager, read(900)))[0]).as_deref(),
        Some("57P03"),
        "try again"
    );
    let effects = rig.input(Input::EndpointList(list(
        1,
        true,
        &[entry(1, "ready", "leader")],
    )));
    let answer = &answers(&effects)[0];
    assert_eq!((answer[0], answer[5]), (b'I', b'Z'));
    assert_eq!(answers(&rig.ask(client, query(" ; ")))[0][0], b'I');
}

#[test]
fn tls_is_declined_and_what_is_not_spoken_gets_one_error() {
    let mut rig = Rig::new(&three());
    let id = ClientId(1);
    rig.input(Input::ClientConnected(id));
    let mut ssl = 8u32.to_be_bytes().to_vec();
    ssl.extend(80_877_103u32.to_be_bytes());
    let ssl = stackgw_gateway::pg::Frame {
        kind: 0,
        bytes: ssl,
    };
    assert_eq!(
        answers(&rig.input(Input::ClientFrame(id, ssl))),
        [b"N".to_vec()]
    );
    rig.input(Input::ClientFrame(id, startup()));
    let effects = rig.ask(id, message(b'P', b"\0SELECT 1\0\0\0"));
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("0A000"));
    assert!(answers(&rig.ask(id, message(b'B', b""))).is_empty());
    assert_eq!(answers(&rig.ask(id, message(b'S', b"")))[0][0], b'Z');
    assert_eq!(answers(&rig.ask(id, query("")))[0][0], b'I');
    let effects = rig.ask(id, message(b'?', b""));
    assert!(effects
        .iter()
        .any(|e| matches!(e, Effect::ClientWrite { close: true, .. })));
}

#[test]
fn a_client_that_does_not_read_is_not_served_and_closed_in_the_end() {
    let (mut rig, client, conn) = request_in_flight(read(900));
    rig.clients_stuck = true;
    assert_eq!(answers(&rig.serve(conn, b"x")).len(), 1);
    assert!(!rig.reducer.accepts_frame(client));
    let effects = rig.pass(20 * SECOND);
    assert!(effects.contains(&Effect::ClientClose(client)));
    assert_eq!(rig.reducer.counters().clients_stalled, 1);
}

/// Values may be large; clients that ask for them and do not read would take the memory of all.
#[test]
fn the_slowest_reader_is_closed_when_too_much_is_left_unread() {
    let mut config = config(&three());
    config.limits.pending_write_bytes = 2500;
    let mut rig = Rig::with(config);
    let clients = [1, 2, 3].map(|n| rig.client(n));
    rig.clients_stuck = true;
    let gone: Vec<_> = clients
        .iter()
        .map(|client| {
            let effects = rig.ask(*client, read(900));
            let conn = match statements(&effects).first() {
                Some((conn, _)) => *conn,
                None => opened(&effects)[0].0,
            };
            let effects = rig.serve(conn, &[b'x'; 1000]);
            effects
                .iter()
                .any(|e| *e == Effect::ClientClose(clients[0]))
        })
        .collect();
    assert_eq!(gone, [false, false, true]);
    assert_eq!(
        (
            rig.reducer.counters().clients_over_buffer_limit,
            rig.reducer.counters().clients_open
        ),
        (1, 2)
    );
    rig.input(Input::ClientFlushed(clients[1]));
    rig.input(Input::ClientFlushed(clients[2]));
    assert!(rig.reducer.accepts_frame(clients[1]) && rig.reducer.accepts_frame(clients[2]));
}

/// A client with one small reply unread was closed for the large ones that others had not read, as it had waited longest.
#[test]
fn a_client_with_little_unread_is_not_closed_for_others() {
    let mut config = config(&three());
    config.limits.pending_write_bytes = 2500;
    let mut rig = Rig::with(config);
    let [little, much, reader] = [1, 2, 3].map(|n| rig.client(n));
    rig.clients_stuck = true;
    let mut serve = |client, bytes: usize| {
        let effects = rig.ask(client, read(900));
        let conn = match statements(&effects).first() {
            Some((conn, _)) => *conn,
            None => opened(&effects)[0].0,
        };
        let effects = rig.serve(conn, &vec![b'x'; bytes]);
        rig.pass(MS);
        effects
    };
    serve(little, 10);
    serve(much, 2000);
    let effects = serve(reader, 1000);
    let closed = [little, much, reader].map(|id| effects.contains(&Effect::ClientClose(id)));
    assert_eq!(closed, [false, true, false]);
}

/// What is written now counts against the client that it goes to, where that has not read what came before.
#[test]
fn a_client_that_does_not_read_its_pipelined_replies_is_closed_for_them() {
    let mut config = config(&three());
    config.limits.pending_write_bytes = 2500;
    let mut rig = Rig::with(config);
    let [little, pipelining] = [1, 2].map(|n| rig.client(n));
    rig.clients_stuck = true;
    let conn = statements(&rig.ask(little, read(900)))[0].0;
    rig.serve(conn, b"x");
    let sent: Vec<_> = (0..3).map(|_| rig.ask(pipelining, read(900))).collect();
    let conns: Vec<_> = sent
        .iter()
        .map(|effects| match statements(effects).first() {
            Some((conn, _)) => *conn,
            None => opened(effects)[0].0,
        })
        .collect();
    let mut effects = Vec::new();
    for conn in conns {
        rig.pass(MS);
        effects.extend(rig.serve(conn, &[b'x'; 1000]));
    }
    let closed = [little, pipelining].map(|id| effects.contains(&Effect::ClientClose(id)));
    assert_eq!(closed, [false, true]);
}

#[test]
fn a_client_that_stalls_inside_a_message_is_closed() {
    let mut rig = Rig::new(&three());
    let (idle, partial) = (rig.client(1), rig.client(2));
    rig.ask(idle, query(""));
    rig.input(Input::ClientReadAhead(partial, ReadAhead::partial(7)));
    let effects = rig.pass(2 * SECOND + 600 * MS);
    let told = |e: &Effect| matches!(e, Effect::ClientWrite { client, close: true, bytes } if *client == partial && bytes[0] == b'E');
    assert!(effects.iter().any(told), "told why");
    assert!(
        rig.pass(2 * SECOND).contains(&Effect::ClientClose(partial)),
        "and let go, though it sends on"
    );
    let ended = |e: &Effect| matches!(e, Effect::ClientClose(c) | Effect::ClientCloseIfIdle(c) if *c == idle);
    assert!(
        !rig.effects.iter().any(ended),
        "one that is merely idle stays"
    );
}

#[test]
fn idle_clients_are_closed_when_capacity_is_exhausted() {
    let mut config = config(&three());
    (config.limits.clients, config.limits.client_reserve) = (3, 1);
    let mut rig = Rig::with(config);
    let busy = rig.client(1);
    rig.ask(busy, buy(1900));
    let (idle, fresh) = (rig.client(2), rig.client(3));
    rig.ask(idle, query(""));
    // Found on sockets: a newcomer closed before its first request had come lost it.
    let retired = |effects: &[Effect], client| effects.contains(&Effect::ClientCloseIfIdle(client));
    assert!(!retired(&rig.pass(30 * MS), fresh));
    // Whoever has asked nothing goes before one that has, however long that one has been idle.
    let effects = rig.pass(200 * MS);
    let asked_to = |client| {
        effects
            .iter()
            .position(|e| *e == Effect::ClientCloseIfIdle(client))
    };
    assert!(
        asked_to(fresh).is_some(),
        "closed unless it has just sent something"
    );
    assert!(
        asked_to(fresh) < asked_to(idle),
        "the next, where that one has sent something"
    );
    rig.input(Input::ClientClosed(idle, CloseReason::Disconnected));
    assert_eq!(rig.reducer.counters().clients_evicted, 1);
    // A place is freed as soon as one falls idle, not only when somebody connects.
    let (conn, _) = statements(&rig.ask(fresh, read(900)))[0].clone();
    rig.client(4);
    rig.ask(ClientId(4), buy(1900));
    let retired = |effects: &[Effect]| {
        effects
            .iter()
            .any(|e| matches!(e, Effect::ClientCloseIfIdle(_)))
    };
    assert!(!retired(&rig.pass(150 * MS)), "none is idle");
    rig.serve(conn, b"x");
    assert!(rig
        .pass(150 * MS)
        .contains(&Effect::ClientCloseIfIdle(fresh)));
}

/// Found on sockets with few descriptors: requests of clients that were left in line were lost, 0 attempts made.
#[test]
fn a_client_beyond_capacity_is_rejected_and_not_left_waiting() {
    let mut config = config(&three());
    (config.limits.clients, config.limits.client_reserve) = (2, 2);
    let mut rig = Rig::with(config);
    for n in [1, 2] {
        let client = rig.client(n);
        rig.ask(client, buy(1900));
    }
    let (late, later) = (rig.client(3), rig.client(4));
    assert!(
        rig.effects.contains(&Effect::AcceptClients(false)),
        "the reserve is taken too"
    );
    // Whoever has asked nothing yet gives way to one that asks.
    let effects = rig.ask(late, read(900));
    assert!(effects.contains(&Effect::ClientCloseIfIdle(later)));
    assert_eq!(statements(&effects).len(), 1);
    // It had asked by then, and there is no other.
    let effects = rig.ask(later, read(900));
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("53300"));
    assert!(effects
        .iter()
        .any(|e| matches!(e, Effect::ClientWrite { client, close: true, .. } if *client == later)));
    assert!(statements(&effects).is_empty());
    let effects = rig.input(Input::ClientClosed(later, CloseReason::Disconnected));
    assert!(effects.contains(&Effect::AcceptClients(true)));
    // Where there is room by the time it asks, it is a client like any other.
    let next = rig.client(5);
    rig.input(Input::ClientClosed(ClientId(1), CloseReason::Disconnected));
    rig.input(Input::ClientClosed(ClientId(2), CloseReason::Disconnected));
    assert_eq!(statements(&rig.ask(next, read(900))).len(), 1);
}

#[test]
fn a_client_without_any_request_is_closed_in_time() {
    let mut rig = Rig::new(&three());
    let (mute, started, used) = (ClientId(1), rig.client(2), rig.client(3));
    rig.input(Input::ClientConnected(mute));
    rig.ask(used, query(""));
    let effects = rig.pass(2 * SECOND + 100 * MS);
    let retired: Vec<_> = [mute, started, used]
        .map(|id| effects.contains(&Effect::ClientCloseIfIdle(id)))
        .to_vec();
    assert_eq!(retired, [true, true, false]);
    // A request may be on its way: no word may meet it that is not its answer.
    assert_eq!(answers(&effects).len(), 0);
}

#[test]
fn malformed_statements_without_end_end_the_connection() {
    let mut rig = Rig::new(&three());
    let client = rig.client(1);
    let asked = (1..100).take_while(|_| {
        rig.reducer.accepts_frame(client) && !rig.ask(client, query("SELECT 1")).is_empty()
    });
    let asked = asked.count();
    assert!((3..30).contains(&asked), "{asked} in a row");
    let fatal = |e: &Effect| matches!(e, Effect::ClientWrite { close: true, .. });
    assert!(rig.effects.iter().any(fatal));
    // Its place is free in the end, whether it reads or not.
    assert!(rig.pass(2 * SECOND).contains(&Effect::ClientClose(client)));
}

#[test]
fn the_client_with_the_most_read_ahead_is_closed_before_others_wait() {
    let mut config = config(&three());
    config.limits.client_bytes = 400;
    let mut rig = Rig::with(config);
    let (used, greedy, small) = (rig.client(1), rig.client(2), rig.client(3));
    rig.ask(used, query(""));
    assert!(answers(&rig.input(Input::ClientReadAhead(used, ReadAhead::partial(150)))).is_empty());
    assert!(answers(&rig.input(Input::ClientReadAhead(small, ReadAhead::partial(20)))).is_empty());
    let effects = rig.input(Input::ClientReadAhead(greedy, ReadAhead::partial(140)));
    let ends = |e: &Effect| matches!(e, Effect::ClientWrite { client, close: true, .. } if *client == greedy);
    assert!(
        effects.iter().any(ends),
        "one that has asked nothing goes first"
    );
    assert_eq!(rig.reducer.counters().clients_over_buffer_limit, 1);
    assert!(
        answers(&rig.input(Input::ClientReadAhead(small, ReadAhead::partial(100)))).is_empty(),
        "its bytes no longer count"
    );
}

/// Found in an incident: clients asked once each and kept their connections, until they had none left to ask on, though
/// places were free here.
#[test]
fn connections_that_stay_idle_are_closed_before_all_places_are_taken() {
    let mut config = config(&three());
    (config.limits.clients, config.limits.client_soft_limit) = (10, 3);
    let mut rig = Rig::with(config);
    let mut asked = Vec::new();
    for n in 0..3 {
        let client = rig.client(n);
        rig.ask(client, query(""));
        asked.push(client);
    }
    let retired = |effects: &[Effect]| -> Vec<ClientId> {
        effects
            .iter()
            .filter_map(|e| {
                if let Effect::ClientCloseIfIdle(id) = e {
                    Some(*id)
                } else {
                    None
                }
            })
            .collect()
    };
    assert!(
        retired(&rig.pass(SECOND)).is_empty(),
        "few may stay for as long as they like"
    );
    let before = rig.effects.len();
    let busy = rig.client(7);
    rig.ask(busy, buy(1900));
    rig.pass(10 * MS);
    let effects = rig.effects[before..].to_vec();
    assert_eq!(
        retired(&effects).first(),
        Some(&asked[0]),
        "the one idle longest"
    );
    assert!(!retired(&effects).contains(&busy));
    rig.input(Input::ClientClosed(asked[0], CloseReason::Disconnected));
    // One that has just been answered often asks again.
    let new = rig.client(8);
    rig.ask(new, query(""));
    assert!(!retired(&rig.pass(200 * MS)).contains(&new));
    // Once nobody else is let in, what is closed cannot be opened again: all keep theirs.
    rig.input(Input::Terminate);
    rig.input(Input::ListenerClosed);
    assert!(retired(&rig.pass(SECOND)).is_empty());
}
