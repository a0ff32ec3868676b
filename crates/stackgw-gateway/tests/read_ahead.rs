//! Bytes that clients have sent and that are not delivered yet, while other clients flood the gateway. Tests of the reducer
//! without I/O.

mod common;

use common::*;
use stackgw_gateway::reducer::{ClientId, Effect, Input, ReadAhead};
use stackgw_router::api::{MS, SECOND};

const FLOODING: u64 = 20;
const CLIENT_BYTES: usize = 100_000;
/// Less than `CLIENT_BYTES / 4 / (clients + client_reserve)`, where the configuration results in 52 and 6.
const SMALL_MESSAGE: usize = 400;

/// A read whose statement is somewhat longer than this many bytes.
fn large_read(bytes: usize) -> stackgw_gateway::pg::Frame {
    let (id, key) = (new_id(), "k".repeat(bytes));
    query(&format!(
        "SELECT val FROM state WHERE uid = '{key}' /* id={id},c=look,d=900,cluster=2 */"
    ))
}

/// A harness with clients whose requests in flight use all the statement bytes they may, and that have sent nine tenths of
/// `CLIENT_BYTES` ahead together.
fn flooded_harness() -> ReducerHarness {
    let mut config = config(&three_members());
    config.limits.client_bytes = CLIENT_BYTES;
    let mut harness = ReducerHarness::with(config);
    harness.member_writes_blocked = true;
    for n in 0..FLOODING {
        let id = harness.client(n);
        for _ in 0..64 {
            if harness.reducer.accepts_frame(id) {
                harness.send(id, large_read(2000));
            }
        }
        let read_ahead = ReadAhead::waiting(CLIENT_BYTES * 9 / 10 / FLOODING as usize);
        harness.input(Input::ClientReadAhead(id, read_ahead));
    }
    harness
}

fn is_closed_with_error(effects: &[Effect], id: ClientId) -> bool {
    let closes_client =
        |e: &Effect| matches!(e, Effect::ClientWrite { client, close: true, .. } if *client == id);
    effects.iter().any(closes_client)
}

/// The clients that have sent the most are closed: a new client with a few bytes is not closed for flooding clients with
/// requests in flight.
#[test]
fn a_new_client_is_not_closed_for_bytes_of_flooding_clients() {
    let mut harness = flooded_harness();
    let new_client = harness.client(FLOODING);
    let effects = harness.input(Input::ClientReadAhead(new_client, ReadAhead::partial(10)));
    assert!(!is_closed_with_error(&effects, new_client));
    assert_eq!(harness.reducer.counters().clients_over_buffer_limit, 0);
}

/// Statements of flooding clients leave capacity for a small message of each other client.
#[test]
fn a_small_message_is_accepted_while_other_clients_flood() {
    let mut harness = flooded_harness();
    for n in 0..10 {
        let new_client = harness.client(FLOODING + n);
        assert!(harness.reducer.accepts_frame_of(new_client, SMALL_MESSAGE));
        let replies = client_replies(&harness.input(Input::ClientFrame(new_client, query(""))));
        assert_eq!(replies[0][0], b'I');
    }
}

/// A single client cannot use most of the shared capacity.
#[test]
fn the_statements_of_one_client_leave_capacity_for_large_ones_of_others() {
    let mut config = config(&three_members());
    config.limits.client_bytes = CLIENT_BYTES;
    let mut harness = ReducerHarness::with(config);
    let (flooding, other) = (harness.client(1), harness.client(2));
    while harness.reducer.accepts_frame(flooding) {
        harness.send(flooding, large_read(2000));
    }
    let buffered = harness.reducer.counters().buffered_bytes as usize;
    let expected = CLIENT_BYTES / 8..CLIENT_BYTES / 4;
    assert!(expected.contains(&buffered), "{buffered}");
    assert!(harness.reducer.accepts_frame(other));
}

/// Of clients with an incomplete message, those that have sent no request are closed before others, even if they hold less. A
/// client that holds less than an equal share is not closed.
#[test]
fn a_client_without_a_request_is_closed_first_for_a_part_of_a_message() {
    let mut config = config(&three_members());
    // Clients are closed above three quarters of this, 750 bytes. The four clients below hold 770 bytes, an equal share of 192.
    config.limits.client_bytes = 1000;
    let mut harness = ReducerHarness::with(config);
    let [small, used, unused, new_client] = [1, 2, 3, 4].map(|n| harness.client(n));
    harness.send(used, query(""));
    harness.input(Input::ClientReadAhead(small, ReadAhead::partial(30)));
    harness.input(Input::ClientReadAhead(used, ReadAhead::partial(360)));
    harness.input(Input::ClientReadAhead(unused, ReadAhead::partial(340)));
    let effects = harness.input(Input::ClientReadAhead(new_client, ReadAhead::partial(40)));
    let closed = [small, used, unused, new_client].map(|id| is_closed_with_error(&effects, id));
    assert_eq!(closed, [false, false, true, false]);
}

/// A client whose complete statement waits for capacity is not closed as one that has sent no request.
#[test]
fn a_client_whose_statement_waits_for_capacity_is_not_closed_as_unused() {
    let mut harness = flooded_harness();
    let waiting = harness.client(FLOODING);
    harness.input(Input::ClientReadAhead(waiting, ReadAhead::waiting(60_000)));
    let effects = harness.advance(3 * SECOND);
    assert!(!effects.contains(&Effect::ClientCloseIfIdle(waiting)));
    assert!(!is_closed_with_error(&effects, waiting));
    assert_eq!(harness.reducer.counters().clients_without_request, 0);
}

/// Once a message is complete and waits for capacity, the timeout for completing it no longer applies.
#[test]
fn a_complete_message_that_waits_for_capacity_does_not_count_as_stalled() {
    let mut harness = flooded_harness();
    let client = harness.client(FLOODING);
    harness.input(Input::ClientReadAhead(client, ReadAhead::partial(3)));
    harness.advance(500 * MS);
    harness.input(Input::ClientReadAhead(client, ReadAhead::waiting(60_000)));
    let effects = harness.advance(3 * SECOND);
    assert!(!is_closed_with_error(&effects, client));
}

/// Regression: a statement that found no capacity waited for as long as others held it, beyond its client's time.
#[test]
fn a_statement_that_has_waited_for_capacity_too_long_is_rejected() {
    let mut harness = flooded_harness();
    let statement = large_read(8_000);
    let bytes = statement.bytes.len();
    // Others use up what the flood leaves to clients with nothing open.
    let mut clients = (FLOODING..100).map(ClientId);
    let client = clients.find(|client| {
        harness.client(client.0);
        let is_accepted = harness.reducer.accepts_frame_of(*client, bytes);
        if is_accepted {
            harness.send(*client, large_read(8_000));
        }
        !is_accepted
    });
    let client = client.expect("a client whose statement is not accepted");
    assert!(harness.reducer.may_reject_frame(client));
    let effects = harness.input(Input::ClientFrameOverdue(client, statement));
    let code = sqlstate(&client_replies(&effects)[0]);
    assert_eq!(code.as_deref(), Some("53300"));
    assert!(statements(&effects).is_empty());
    assert!(
        !harness.reducer.may_reject_frame(ClientId(0)),
        "the time of a statement behind open ones does not run yet"
    );
}

/// Regression: the time at which a rejected statement had begun to wait was taken for that of its client's next statement.
#[test]
fn a_statement_after_a_rejected_one_has_all_of_its_time() {
    let mut harness = ReducerHarness::new(&three_members());
    let client = harness.client(1);
    harness.input(Input::ClientReadAhead(client, ReadAhead::waiting(100)));
    harness.advance(250 * MS);
    harness.input(Input::ClientFrameOverdue(client, large_read(10)));
    harness.advance(500 * MS);
    let effects = harness.send(client, large_read(10));
    let (_, text) = &statements(&effects)[0];
    assert!(text.contains(",d=900,"), "{text}");
}

/// Regression: the time for which a statement had waited for capacity was added to its client's time.
#[test]
fn a_statement_that_has_waited_for_capacity_has_the_less_time_left() {
    let mut harness = ReducerHarness::new(&three_members());
    let client = harness.client(1);
    harness.input(Input::ClientReadAhead(client, ReadAhead::waiting(100)));
    harness.advance(200 * MS);
    let effects = harness.send(client, large_read(10));
    let (_, text) = &statements(&effects)[0];
    assert!(text.contains(",d=700,"), "{text}");
}

#[test]
fn the_wait_for_capacity_is_a_part_of_the_statements_time() {
    let limits = config("null").limits;
    assert_eq!(limits.capacity_wait(400 * MS, false), 100 * MS);
    assert_eq!(limits.capacity_wait(60 * SECOND, false), 250 * MS);
    assert_eq!(
        limits.capacity_wait(i64::MAX, true),
        limits.max_request_wait / 4,
        "a client that has sent more behind the statement waits longer"
    );
}

/// Regression: half-sent messages kept the memory for what is sent ahead until a timeout of 2 s, and complete ones were not read.
#[test]
fn clients_that_stall_within_a_message_lose_its_memory_when_it_is_used_up() {
    let mut config = config(&three_members());
    // 3 MB may be sent ahead.
    config.limits.client_bytes = 4_000_000;
    let mut harness = ReducerHarness::with(config);
    let half_sent = ReadAhead::partial(120_000);
    let clients: Vec<_> = (0..25).map(|n| harness.client(n)).collect();
    harness.send(clients[0], write_query(1900));
    for client in &clients {
        harness.input(Input::ClientReadAhead(*client, half_sent));
    }
    let effects = harness.input(Input::ReadAheadExhausted);
    assert_eq!(
        ended_clients(&effects),
        0,
        "none has stalled for 100 ms yet"
    );
    assert_eq!(ended_clients(&harness.advance(200 * MS)), 0);
    let effects = harness.input(Input::ReadAheadExhausted);
    assert_eq!(
        ended_clients(&effects),
        13,
        "as many as it takes until half of the memory is free"
    );
    assert!(effects.contains(&Effect::ClientDropInput(clients[0])));
    assert!(
        effects
            .iter()
            .all(|effect| !is_last_write(effect, clients[0])),
        "the error follows the response to the open request"
    );
}

fn is_last_write(effect: &Effect, id: ClientId) -> bool {
    matches!(effect, Effect::ClientWrite { client, close: true, .. } if *client == id)
}

fn ended_clients(effects: &[Effect]) -> usize {
    let is_end = |effect: &&Effect| {
        let is_last = matches!(effect, Effect::ClientWrite { close: true, .. });
        is_last || matches!(effect, Effect::ClientDropInput(_))
    };
    effects.iter().filter(is_end).count()
}
