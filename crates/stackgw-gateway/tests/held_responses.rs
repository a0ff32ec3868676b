//! Responses that the gateway holds until earlier ones of the same client are complete: none of them costs a client its connection.

mod common;

use common::*;
use stackgw_gateway::pg::Frame;
use stackgw_gateway::reducer::{ClientId, CloseReason, ConnectionId, Effect, Input};
use stackgw_router::api::MS;

const VALUE_BYTES: usize = 1_000;
const READS: usize = 4;
/// Enough for some of the responses of two clients that send `READS` reads each.
const PENDING_WRITE_BYTES: usize = 5_000;

fn read_of(key: &str) -> Frame {
    let id = new_id();
    query(&format!(
        "SELECT val FROM state WHERE uid = '{key}' /* id={id},c=look,d=900,cluster=2 */"
    ))
}

fn write_of(key: &str) -> Frame {
    let id = new_id();
    query(&format!(
        "INSERT INTO state (uid, val) VALUES ('{key}', '\\x9f03') RETURNING val /* id={id},c=buy,d=1900,cluster=2 */"
    ))
}

fn harness() -> ReducerHarness {
    let mut config = config(&three_members());
    config.limits.pending_write_bytes = PENDING_WRITE_BYTES;
    ReducerHarness::with(config)
}

/// Sends a statement and returns its connection, or `None` if it is rejected at once.
fn try_send(harness: &mut ReducerHarness, client: ClientId, frame: Frame) -> Option<ConnectionId> {
    let mut effects = harness.send(client, frame);
    effects.extend(harness.advance(20 * MS));
    statements(&effects).first().map(|(conn, _)| *conn)
}

fn send(harness: &mut ReducerHarness, client: ClientId, frame: Frame) -> ConnectionId {
    try_send(harness, client, frame).expect("an attempt was sent")
}

/// Answers a write as the primary.
fn answer_write(harness: &mut ReducerHarness, conn: ConnectionId) -> Vec<Effect> {
    let tail = vec![status("node_role", "leader"), ready()];
    harness.reply(conn, [row(b"x"), tail].concat())
}

/// A client whose write is unanswered, and whose reads after it are served, as far as they are sent. Returns the write's connection.
fn serve_reads_behind_a_write(
    harness: &mut ReducerHarness,
    number: u64,
) -> (ClientId, ConnectionId) {
    let client = harness.client(number);
    let write = send(harness, client, write_of(&format!("w{number}")));
    for read in 0..READS {
        if let Some(conn) = try_send(harness, client, read_of(&format!("r{number}-{read}"))) {
            harness.serve(conn, &[b'x'; VALUE_BYTES]);
        }
    }
    (client, write)
}

fn closed_clients(harness: &ReducerHarness) -> usize {
    let effects = harness.effects.iter();
    effects
        .filter(|effect| matches!(effect, Effect::ClientClose(_)))
        .count()
}

/// The first letter of each reply's type: T for a row, E for an error.
fn reply_kinds(effects: &[Effect]) -> String {
    let replies = client_replies(effects);
    replies.iter().map(|reply| char::from(reply[0])).collect()
}

/// Regression: while a primary was silent, clients that read all they were sent were closed, with all their requests, for responses
/// that the gateway held back behind a write.
#[test]
fn reads_whose_responses_cannot_be_held_are_rejected_and_no_client_is_closed() {
    let mut harness = harness();
    let waiting = [1, 2].map(|number| serve_reads_behind_a_write(&mut harness, number));
    assert_eq!(closed_clients(&harness), 0, "a client was closed");
    let counters = harness.reducer.counters();
    assert!(
        counters.replies_rejected > 0,
        "the limit must have been reached"
    );
    let rejected = counters.replies_rejected + counters.rejected_early;
    let mut replies = String::new();
    for (_, write) in waiting {
        let effects = answer_write(&mut harness, write);
        replies.push_str(&reply_kinds(&effects));
        let errors = client_replies(&effects)
            .into_iter()
            .filter_map(|reply| sqlstate(&reply));
        assert!(errors.into_iter().all(|code| code == "53300"));
    }
    assert_eq!(replies.len(), 2 * (READS + 1), "a request has no answer");
    let served = replies.matches('T').count();
    assert_eq!(served, 2 * (READS + 1) - rejected as usize);
    assert!(served > READS, "{replies}");
    assert_eq!(closed_clients(&harness), 0);
}

/// Regression: as above, when a response that waits for no other needs the memory.
#[test]
fn a_response_that_waits_for_no_other_replaces_held_ones_and_closes_no_client() {
    let mut harness = harness();
    let (_, write) = serve_reads_behind_a_write(&mut harness, 1);
    let reader = harness.client(2);
    harness.client_writes_blocked = true;
    let conn = send(&mut harness, reader, read_of("large"));
    let effects = harness.serve(conn, &[b'x'; 2 * VALUE_BYTES]);
    assert_eq!(reply_kinds(&effects), "T");
    assert_eq!(closed_clients(&harness), 0);
    let replies = reply_kinds(&answer_write(&mut harness, write));
    assert_eq!(replies.len(), READS + 1);
    assert!(
        replies.starts_with("TT") && replies.ends_with('E'),
        "{replies}"
    );
}

/// A client that does not read is closed before anyone's held response is replaced, once it has had the time to read.
#[test]
fn a_client_that_has_not_read_for_a_while_is_closed_before_held_responses_are_replaced() {
    let mut harness = harness();
    let slow = harness.client(3);
    harness.client_writes_blocked = true;
    let conn = send(&mut harness, slow, read_of("slow"));
    harness.serve(conn, &[b'x'; 2 * VALUE_BYTES]);
    harness.advance(600 * MS);
    let client = harness.client(1);
    harness.input(Input::ClientFlushed(client));
    let write = send(&mut harness, client, write_of("w"));
    for read in 0..2 {
        let conn = send(&mut harness, client, read_of(&format!("r{read}")));
        harness.serve(conn, &[b'x'; VALUE_BYTES]);
    }
    let reader = harness.client(2);
    harness.input(Input::ClientFlushed(reader));
    let conn = send(&mut harness, reader, read_of("large"));
    let effects = harness.serve(conn, &[b'x'; VALUE_BYTES]);
    assert!(effects.contains(&Effect::ClientClose(slow)));
    assert_eq!(closed_clients(&harness), 1);
    assert_eq!(reply_kinds(&answer_write(&mut harness, write)), "TTT");
}

/// A write cannot be rejected once it has run, so the memory for its response is reserved before it is sent.
#[test]
fn a_write_whose_response_could_not_be_held_is_rejected_before_it_is_sent() {
    let mut harness = harness();
    let (client, write) = serve_reads_behind_a_write(&mut harness, 1);
    let key = "k".repeat(VALUE_BYTES);
    let effects = harness.send(client, write_of(&key));
    assert!(statements(&effects).is_empty(), "the write was sent");
    let replies = client_replies(&answer_write(&mut harness, write));
    assert_eq!(replies.len(), READS + 2);
    let last = replies.last().expect("the write's answer");
    assert_eq!(sqlstate(last).as_deref(), Some("53300"));
    // The memory is free again.
    let write = send(&mut harness, client, write_of(&key));
    let second = send(&mut harness, client, write_of(&format!("{key}2")));
    answer_write(&mut harness, second);
    assert_eq!(reply_kinds(&answer_write(&mut harness, write)), "TT");
}

/// The reservations of a client that leaves are released.
#[test]
fn a_client_that_leaves_releases_what_was_reserved_for_it() {
    let mut harness = harness();
    for number in 1..20 {
        let client = harness.client(number);
        send(&mut harness, client, write_of("a"));
        send(&mut harness, client, write_of(&"k".repeat(2 * VALUE_BYTES)));
        harness.input(Input::ClientClosed(client, CloseReason::Disconnected));
    }
}
