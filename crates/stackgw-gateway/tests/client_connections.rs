//! Clients' connections: startup, readiness, capacity, buffers and timeouts.

mod common;

use common::*;
use stackgw_gateway::reducer::{ClientId, CloseReason, Effect, Input, ReadAhead};
use stackgw_router::api::{MS, SECOND};

#[test]
fn clients_get_ready_only_once_an_endpoint_list_is_known() {
    let mut harness = ReducerHarness::new("null");
    let (client, eager) = (harness.client(1), harness.client(2));
    assert!(client_replies(&harness.send(client, query(""))).is_empty());
    assert_eq!(
        sqlstate(&client_replies(&harness.send(eager, read_query(900)))[0]).as_deref(),
        Some("57P03"),
        "a request without an endpoint list must be rejected so that a retry is safe"
    );
    let effects = harness.input(Input::EndpointList(list(
        1,
        true,
        &[entry(1, "ready", "leader")],
    )));
    let reply = &client_replies(&effects)[0];
    assert_eq!((reply[0], reply[5]), (b'I', b'Z'));
    assert_eq!(
        client_replies(&harness.send(client, query(" ; ")))[0][0],
        b'I'
    );
}

#[test]
fn tls_is_declined_and_unsupported_messages_get_one_error() {
    let mut harness = ReducerHarness::new(&three_members());
    let id = ClientId(1);
    harness.input(Input::ClientConnected(id));
    let mut ssl = 8u32.to_be_bytes().to_vec();
    ssl.extend(80_877_103u32.to_be_bytes());
    let ssl = stackgw_gateway::pg::Frame {
        kind: 0,
        bytes: ssl,
    };
    assert_eq!(
        client_replies(&harness.input(Input::ClientFrame(id, ssl))),
        [b"N".to_vec()]
    );
    harness.input(Input::ClientFrame(id, startup()));
    let effects = harness.send(id, message(b'P', b"\0SELECT 1\0\0\0"));
    assert_eq!(
        sqlstate(&client_replies(&effects)[0]).as_deref(),
        Some("0A000")
    );
    assert!(client_replies(&harness.send(id, message(b'B', b""))).is_empty());
    assert_eq!(
        client_replies(&harness.send(id, message(b'S', b"")))[0][0],
        b'Z'
    );
    assert_eq!(client_replies(&harness.send(id, query("")))[0][0], b'I');
    let effects = harness.send(id, message(b'?', b""));
    assert!(effects
        .iter()
        .any(|e| matches!(e, Effect::ClientWrite { close: true, .. })));
}

#[test]
fn a_client_that_does_not_read_is_not_served_and_is_closed_after_a_timeout() {
    let (mut harness, client, conn) = request_in_flight(read_query(900));
    harness.client_writes_blocked = true;
    assert_eq!(client_replies(&harness.serve(conn, b"x")).len(), 1);
    assert!(!harness.reducer.accepts_frame(client));
    let effects = harness.advance(20 * SECOND);
    assert!(effects.contains(&Effect::ClientClose(client)));
    assert_eq!(harness.reducer.counters().clients_stalled, 1);
}

/// Values may be large: without this limit, clients that request them and do not read would use up the memory.
#[test]
fn the_slowest_reader_is_closed_when_too_many_bytes_are_unread() {
    let mut config = config(&three_members());
    config.limits.pending_write_bytes = 2500;
    let mut harness = ReducerHarness::with(config);
    let clients = [1, 2, 3].map(|n| harness.client(n));
    harness.client_writes_blocked = true;
    let first_is_closed: Vec<_> = clients
        .iter()
        .map(|client| {
            let effects = harness.send(*client, read_query(900));
            let conn = match statements(&effects).first() {
                Some((conn, _)) => *conn,
                None => opened(&effects)[0].0,
            };
            let effects = harness.serve(conn, &[b'x'; 1000]);
            effects
                .iter()
                .any(|e| *e == Effect::ClientClose(clients[0]))
        })
        .collect();
    assert_eq!(first_is_closed, [false, false, true]);
    assert_eq!(
        (
            harness.reducer.counters().clients_over_buffer_limit,
            harness.reducer.counters().clients_open
        ),
        (1, 2)
    );
    harness.input(Input::ClientFlushed(clients[1]));
    harness.input(Input::ClientFlushed(clients[2]));
    assert!(harness.reducer.accepts_frame(clients[1]) && harness.reducer.accepts_frame(clients[2]));
}

/// A client with one small unread reply was closed because of large replies that others had not read, as its reply had been
/// unread for the longest time.
#[test]
fn a_client_with_few_unread_bytes_is_not_closed_because_of_others() {
    let mut config = config(&three_members());
    config.limits.pending_write_bytes = 2500;
    let mut harness = ReducerHarness::with(config);
    let [few_unread, many_unread, requester] = [1, 2, 3].map(|n| harness.client(n));
    harness.client_writes_blocked = true;
    let mut serve = |client, bytes: usize| {
        let effects = harness.send(client, read_query(900));
        let conn = match statements(&effects).first() {
            Some((conn, _)) => *conn,
            None => opened(&effects)[0].0,
        };
        let effects = harness.serve(conn, &vec![b'x'; bytes]);
        harness.advance(MS);
        effects
    };
    serve(few_unread, 10);
    serve(many_unread, 2000);
    let effects = serve(requester, 1000);
    let closed =
        [few_unread, many_unread, requester].map(|id| effects.contains(&Effect::ClientClose(id)));
    assert_eq!(closed, [false, true, false]);
}

/// A new reply counts against its recipient if that client has not read the replies before it.
#[test]
fn a_client_that_does_not_read_its_pipelined_replies_is_closed() {
    let mut config = config(&three_members());
    config.limits.pending_write_bytes = 2500;
    let mut harness = ReducerHarness::with(config);
    let [few_unread, pipelining] = [1, 2].map(|n| harness.client(n));
    harness.client_writes_blocked = true;
    let conn = statements(&harness.send(few_unread, read_query(900)))[0].0;
    harness.serve(conn, b"x");
    let sent: Vec<_> = (0..3)
        .map(|_| harness.send(pipelining, read_query(900)))
        .collect();
    let conns: Vec<_> = sent
        .iter()
        .map(|effects| match statements(effects).first() {
            Some((conn, _)) => *conn,
            None => opened(effects)[0].0,
        })
        .collect();
    let mut effects = Vec::new();
    for conn in conns {
        harness.advance(MS);
        effects.extend(harness.serve(conn, &[b'x'; 1000]));
    }
    let closed = [few_unread, pipelining].map(|id| effects.contains(&Effect::ClientClose(id)));
    assert_eq!(closed, [false, true]);
}

#[test]
fn a_client_that_stalls_within_a_message_is_closed() {
    let mut harness = ReducerHarness::new(&three_members());
    let (idle, partial) = (harness.client(1), harness.client(2));
    harness.send(idle, query(""));
    harness.input(Input::ClientReadAhead(partial, ReadAhead::partial(7)));
    // The timeout of a partial message is 2 s, and clients are checked every 0.5 s.
    let effects = harness.advance(2 * SECOND + 600 * MS);
    let is_error = |e: &Effect| matches!(e, Effect::ClientWrite { client, close: true, bytes } if *client == partial && bytes[0] == b'E');
    assert!(
        effects.iter().any(is_error),
        "a client that stalls within a message must get an error"
    );
    assert!(
        harness
            .advance(2 * SECOND)
            .contains(&Effect::ClientClose(partial)),
        "the client must be closed even if it continues to send"
    );
    let closes_idle = |e: &Effect| matches!(e, Effect::ClientClose(c) | Effect::ClientCloseIfIdle(c) if *c == idle);
    assert!(
        !harness.effects.iter().any(closes_idle),
        "an idle client must not be closed"
    );
}

#[test]
fn idle_clients_are_closed_when_capacity_is_exhausted() {
    let mut config = config(&three_members());
    (config.limits.clients, config.limits.client_reserve) = (3, 1);
    let mut harness = ReducerHarness::with(config);
    let busy = harness.client(1);
    harness.send(busy, write_query(1900));
    let (idle, new_client) = (harness.client(2), harness.client(3));
    harness.send(idle, query(""));
    // A new client that was closed before its first request arrived lost that request.
    let closed_if_idle =
        |effects: &[Effect], client| effects.contains(&Effect::ClientCloseIfIdle(client));
    assert!(!closed_if_idle(&harness.advance(30 * MS), new_client));
    // A client without a request is closed before one with a request, however long the latter has been idle.
    let effects = harness.advance(200 * MS);
    let close_position = |client| {
        effects
            .iter()
            .position(|e| *e == Effect::ClientCloseIfIdle(client))
    };
    assert!(
        close_position(new_client).is_some(),
        "a client without a request must be closed if it is idle"
    );
    assert!(
        close_position(new_client) < close_position(idle),
        "the idle client must be next, in case the new one has sent something"
    );
    harness.input(Input::ClientClosed(idle, CloseReason::Disconnected));
    assert_eq!(harness.reducer.counters().clients_evicted, 1);
    // A client is closed as soon as it is idle, not only when another one connects.
    let (conn, _) = statements(&harness.send(new_client, read_query(900)))[0].clone();
    harness.client(4);
    harness.send(ClientId(4), write_query(1900));
    let closed_if_idle = |effects: &[Effect]| {
        effects
            .iter()
            .any(|e| matches!(e, Effect::ClientCloseIfIdle(_)))
    };
    assert!(
        !closed_if_idle(&harness.advance(150 * MS)),
        "no client is idle, so none may be closed"
    );
    harness.serve(conn, b"x");
    assert!(harness
        .advance(150 * MS)
        .contains(&Effect::ClientCloseIfIdle(new_client)));
}

/// With few descriptors, requests of clients that were left in the backlog were lost: 0 attempts were made for them.
#[test]
fn a_client_beyond_capacity_is_rejected_and_not_left_waiting() {
    let mut config = config(&three_members());
    (config.limits.clients, config.limits.client_reserve) = (2, 2);
    let mut harness = ReducerHarness::with(config);
    for n in [1, 2] {
        let client = harness.client(n);
        harness.send(client, write_query(1900));
    }
    let (third, fourth) = (harness.client(3), harness.client(4));
    assert!(
        harness.effects.contains(&Effect::AcceptClients(false)),
        "no client may be accepted once the reserve is used up too"
    );
    // A client without a request is closed to make room for one that sends a request.
    let effects = harness.send(third, read_query(900));
    assert!(effects.contains(&Effect::ClientCloseIfIdle(fourth)));
    assert_eq!(statements(&effects).len(), 1);
    // That client sends a request before it is closed. No other client can be closed, so the request is rejected.
    let effects = harness.send(fourth, read_query(900));
    assert_eq!(
        sqlstate(&client_replies(&effects)[0]).as_deref(),
        Some("53300")
    );
    assert!(effects.iter().any(
        |e| matches!(e, Effect::ClientWrite { client, close: true, .. } if *client == fourth)
    ));
    assert!(statements(&effects).is_empty());
    let effects = harness.input(Input::ClientClosed(fourth, CloseReason::Disconnected));
    assert!(effects.contains(&Effect::AcceptClients(true)));
    // A client in the reserve is served if there is capacity when its request arrives.
    let next = harness.client(5);
    harness.input(Input::ClientClosed(ClientId(1), CloseReason::Disconnected));
    harness.input(Input::ClientClosed(ClientId(2), CloseReason::Disconnected));
    assert_eq!(statements(&harness.send(next, read_query(900))).len(), 1);
}

#[test]
fn a_client_without_any_request_is_closed_after_a_timeout() {
    let mut harness = ReducerHarness::new(&three_members());
    let (unstarted, started, used) = (ClientId(1), harness.client(2), harness.client(3));
    harness.input(Input::ClientConnected(unstarted));
    harness.send(used, query(""));
    // The timeout of the first request is 1.5 s, and clients are checked every 0.5 s.
    let effects = harness.advance(2 * SECOND + 100 * MS);
    let closed_if_idle: Vec<_> = [unstarted, started, used]
        .map(|id| effects.contains(&Effect::ClientCloseIfIdle(id)))
        .to_vec();
    assert_eq!(closed_if_idle, [true, true, false]);
    // A request may be in transit, so the client must not get a message that it would take for the response.
    assert_eq!(client_replies(&effects).len(), 0);
}

#[test]
fn too_many_consecutive_malformed_statements_close_the_connection() {
    let mut harness = ReducerHarness::new(&three_members());
    let client = harness.client(1);
    let sent = (1..100).take_while(|_| {
        harness.reducer.accepts_frame(client) && !harness.send(client, query("SELECT 1")).is_empty()
    });
    let sent = sent.count();
    assert!(
        (3..30).contains(&sent),
        "closed after {sent} malformed statements"
    );
    let closes_connection = |e: &Effect| matches!(e, Effect::ClientWrite { close: true, .. });
    assert!(harness.effects.iter().any(closes_connection));
    // The connection is closed after a timeout even if the client does not read the error.
    assert!(harness
        .advance(2 * SECOND)
        .contains(&Effect::ClientClose(client)));
}

#[test]
fn the_client_with_the_most_read_ahead_is_closed_before_others_wait() {
    let mut config = config(&three_members());
    // Clients are closed above three quarters of this, 300 bytes.
    config.limits.client_bytes = 400;
    let mut harness = ReducerHarness::with(config);
    let (used, largest, small) = (harness.client(1), harness.client(2), harness.client(3));
    harness.send(used, query(""));
    assert!(
        client_replies(&harness.input(Input::ClientReadAhead(used, ReadAhead::partial(150))))
            .is_empty()
    );
    assert!(
        client_replies(&harness.input(Input::ClientReadAhead(small, ReadAhead::partial(20))))
            .is_empty()
    );
    let effects = harness.input(Input::ClientReadAhead(largest, ReadAhead::partial(140)));
    let closes_largest = |e: &Effect| matches!(e, Effect::ClientWrite { client, close: true, .. } if *client == largest);
    assert!(
        effects.iter().any(closes_largest),
        "a client without a request must be closed first"
    );
    assert_eq!(harness.reducer.counters().clients_over_buffer_limit, 1);
    assert!(
        client_replies(&harness.input(Input::ClientReadAhead(small, ReadAhead::partial(100))))
            .is_empty(),
        "the bytes of the closed client must no longer count"
    );
}

/// In an incident, clients sent one request on each connection and kept it open, until they had no connections left although the
/// gateway had free capacity.
#[test]
fn idle_connections_are_closed_above_the_soft_limit() {
    let mut config = config(&three_members());
    (config.limits.clients, config.limits.client_soft_limit) = (10, 3);
    let mut harness = ReducerHarness::with(config);
    let mut clients = Vec::new();
    for n in 0..3 {
        let client = harness.client(n);
        harness.send(client, query(""));
        clients.push(client);
    }
    let closed_if_idle = |effects: &[Effect]| -> Vec<ClientId> {
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
        closed_if_idle(&harness.advance(SECOND)).is_empty(),
        "up to the soft limit idle connections must stay open"
    );
    let before = harness.effects.len();
    let busy = harness.client(7);
    harness.send(busy, write_query(1900));
    harness.advance(10 * MS);
    let effects = harness.effects[before..].to_vec();
    assert_eq!(
        closed_if_idle(&effects).first(),
        Some(&clients[0]),
        "the client that has been idle longest must be closed first"
    );
    assert!(!closed_if_idle(&effects).contains(&busy));
    harness.input(Input::ClientClosed(clients[0], CloseReason::Disconnected));
    // A client that got a response less than 250 ms ago is likely to send another request, so it is not closed.
    let new = harness.client(8);
    harness.send(new, query(""));
    assert!(!closed_if_idle(&harness.advance(200 * MS)).contains(&new));
    // Once no new connections are accepted, clients could not reconnect, so none is closed.
    harness.input(Input::Terminate);
    harness.input(Input::ListenerClosed);
    assert!(closed_if_idle(&harness.advance(SECOND)).is_empty());
}

fn ends_with_error(effects: &[Effect], id: ClientId) -> bool {
    let is_last_error = |effect: &Effect| matches!(effect, Effect::ClientWrite { client, close: true, bytes } if *client == id && bytes[0] == b'E');
    effects.iter().any(is_last_error)
}

/// Regression: clients that stopped in the middle of a message kept all places until a timeout of 2 s.
#[test]
fn the_client_that_has_stalled_longest_loses_its_place_when_all_are_taken() {
    let mut config = config(&three_members());
    (config.limits.clients, config.limits.client_reserve) = (3, 1);
    let mut harness = ReducerHarness::with(config);
    let busy = harness.client(1);
    harness.send(busy, write_query(1900));
    harness.input(Input::ClientReadAhead(busy, ReadAhead::partial(7)));
    let (first, second) = (harness.client(2), harness.client(3));
    harness.input(Input::ClientReadAhead(first, ReadAhead::partial(7)));
    harness.advance(20 * MS);
    harness.input(Input::ClientReadAhead(second, ReadAhead::partial(7)));
    assert!(!ends_with_error(&harness.advance(70 * MS), first));
    let effects = harness.advance(60 * MS);
    assert!(
        ends_with_error(&effects, first),
        "it has stalled for 100 ms"
    );
    assert!(!ends_with_error(&effects, second), "one place is enough");
    assert!(
        !ends_with_error(&harness.advance(500 * MS), busy),
        "a client with an open request keeps its place"
    );
    assert_eq!(harness.reducer.counters().clients_stalled_at_limit, 1);
}

/// A client whose place is needed is not ended if the gateway has not read the rest of its message yet.
#[test]
fn a_client_keeps_its_place_while_the_gateway_is_behind_with_reading() {
    let mut config = config(&three_members());
    (config.limits.clients, config.limits.client_reserve) = (1, 1);
    let mut harness = ReducerHarness::with(config);
    harness.is_behind_with_reading = true;
    let client = harness.client(1);
    harness.input(Input::ClientReadAhead(client, ReadAhead::partial(7)));
    assert!(!ends_with_error(&harness.advance(4 * SECOND), client));
    harness.is_behind_with_reading = false;
    assert!(ends_with_error(&harness.advance(200 * MS), client));
}

/// Regression: clients that did not read their responses kept all places for 5 s.
#[test]
fn clients_that_do_not_read_lose_their_places_when_no_connection_is_accepted() {
    let mut config = config(&three_members());
    (config.limits.clients, config.limits.client_reserve) = (1, 1);
    let mut harness = ReducerHarness::with(config);
    harness.client_writes_blocked = true;
    let slow = harness.client(1);
    assert!(!harness.advance(SECOND).contains(&Effect::ClientClose(slow)));
    harness.input(Input::ClientConnected(ClientId(2)));
    assert!(harness.effects.contains(&Effect::AcceptClients(false)));
    assert!(harness.effects.contains(&Effect::ClientClose(slow)));
}
