//! What clients have sent and is not delivered yet, beside clients that send without end: by hand, at the reducer.

mod common;

use common::*;
use stackgw_gateway::reducer::{ClientId, Effect, Input, ReadAhead};
use stackgw_router::api::{MS, SECOND};

const FLOODING: u64 = 20;
const CLIENT_BYTES: usize = 100_000;
/// Less than `CLIENT_BYTES / 4 / (clients + client_reserve)` of the configuration, which grants 52 and 6.
const SMALL_MESSAGE: usize = 400;

/// A read whose text takes this many bytes and some more.
fn large_read(bytes: usize) -> stackgw_gateway::pg::Frame {
    let (id, key) = (new_id(), "k".repeat(bytes));
    query(&format!(
        "SELECT val FROM state WHERE uid = '{key}' /* id={id},c=look,d=900,cluster=2 */"
    ))
}

/// Clients with requests in flight that take all statement bytes they may, and with as much read ahead as I/O reads of them.
fn flooded_rig() -> Rig {
    let mut config = config(&three());
    config.limits.client_bytes = CLIENT_BYTES;
    let mut rig = Rig::with(config);
    rig.members_stuck = true;
    for n in 0..FLOODING {
        let id = rig.client(n);
        for _ in 0..64 {
            if rig.reducer.accepts_frame(id) {
                rig.ask(id, large_read(2000));
            }
        }
        let read_ahead = ReadAhead::waiting(CLIENT_BYTES * 9 / 10 / FLOODING as usize);
        rig.input(Input::ClientReadAhead(id, read_ahead));
    }
    rig
}

fn is_closed_with_error(effects: &[Effect], id: ClientId) -> bool {
    let closes =
        |e: &Effect| matches!(e, Effect::ClientWrite { client, close: true, .. } if *client == id);
    effects.iter().any(closes)
}

/// Whoever has sent most pays: a newcomer's few bytes cost it nothing beside floods with requests in flight.
#[test]
fn a_newcomer_is_not_closed_for_what_floods_have_sent() {
    let mut rig = flooded_rig();
    let newcomer = rig.client(FLOODING);
    let effects = rig.input(Input::ClientReadAhead(newcomer, ReadAhead::partial(10)));
    assert!(!is_closed_with_error(&effects, newcomer));
    assert_eq!(rig.reducer.counters().clients_over_buffer_limit, 0);
}

/// Statements of floods leave room for a small message of each other client.
#[test]
fn a_small_message_is_accepted_beside_floods() {
    let mut rig = flooded_rig();
    for n in 0..10 {
        let newcomer = rig.client(FLOODING + n);
        assert!(rig.reducer.accepts_frame_of(newcomer, SMALL_MESSAGE));
        let answer = answers(&rig.input(Input::ClientFrame(newcomer, query(""))));
        assert_eq!(answer[0][0], b'I');
    }
}

/// One client alone leaves most of what all share to others.
#[test]
fn the_statements_of_one_client_leave_capacity_for_large_ones_of_others() {
    let mut config = config(&three());
    config.limits.client_bytes = CLIENT_BYTES;
    let mut rig = Rig::with(config);
    let (flooding, other) = (rig.client(1), rig.client(2));
    while rig.reducer.accepts_frame(flooding) {
        rig.ask(flooding, large_read(2000));
    }
    let buffered = rig.reducer.counters().buffered_bytes as usize;
    let expected = CLIENT_BYTES / 8..CLIENT_BYTES / 4;
    assert!(expected.contains(&buffered), "{buffered}");
    assert!(rig.reducer.accepts_frame(other));
}

/// Of clients that do not finish a message, one with less than an equal part is spared, though it has asked nothing yet.
#[test]
fn the_client_with_the_largest_part_of_a_message_is_closed() {
    let mut config = config(&three());
    config.limits.client_bytes = 1000;
    let mut rig = Rig::with(config);
    let [small, used, stranger, newcomer] = [1, 2, 3, 4].map(|n| rig.client(n));
    rig.ask(used, query(""));
    rig.input(Input::ClientReadAhead(small, ReadAhead::partial(30)));
    rig.input(Input::ClientReadAhead(used, ReadAhead::partial(360)));
    rig.input(Input::ClientReadAhead(stranger, ReadAhead::partial(340)));
    let effects = rig.input(Input::ClientReadAhead(newcomer, ReadAhead::partial(40)));
    let closed = [small, used, stranger, newcomer].map(|id| is_closed_with_error(&effects, id));
    assert_eq!(closed, [false, false, true, false]);
}

/// A client whose complete statement waits for capacity has sent something: it is not closed as one that sends nothing.
#[test]
fn a_client_whose_statement_waits_for_capacity_is_not_closed_as_unused() {
    let mut rig = flooded_rig();
    let waiting = rig.client(FLOODING);
    rig.input(Input::ClientReadAhead(waiting, ReadAhead::waiting(60_000)));
    let effects = rig.pass(3 * SECOND);
    assert!(!effects.contains(&Effect::ClientCloseIfIdle(waiting)));
    assert!(!is_closed_with_error(&effects, waiting));
    assert_eq!(rig.reducer.counters().clients_without_request, 0);
}

/// A message that became complete and waits for capacity has no time to keep any more.
#[test]
fn a_completed_message_that_waits_is_not_taken_for_a_stalled_one() {
    let mut rig = flooded_rig();
    let client = rig.client(FLOODING);
    rig.input(Input::ClientReadAhead(client, ReadAhead::partial(3)));
    rig.pass(500 * MS);
    rig.input(Input::ClientReadAhead(client, ReadAhead::waiting(60_000)));
    let effects = rig.pass(3 * SECOND);
    assert!(!is_closed_with_error(&effects, client));
}
