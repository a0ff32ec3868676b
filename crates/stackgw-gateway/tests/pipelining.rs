//! Statements that a client writes before it reads the responses to earlier ones.

mod common;

use common::*;
use stackgw_gateway::reducer::{CloseReason, Effect, Input};
use stackgw_router::api::{MS, SECOND};

/// Pipelined statements run concurrently and are answered in their order. Two statements of one key run one after the other if
/// one of them is a write. The deadline of each counts from its arrival.
#[test]
fn pipelined_statements_are_answered_in_order_and_run_in_order_within_a_key() {
    let mut harness = ReducerHarness::new(&three_members());
    let client = harness.client(1);
    let connection_used = |effects: &[Effect]| match statements(effects).first() {
        Some((conn, _)) => *conn,
        None => opened(effects)[0].0,
    };
    let first = connection_used(&harness.send(client, read_query(900)));
    let second = connection_used(&harness.send(client, read_query(900)));
    assert_ne!(first, second, "two reads must be in flight at once");
    assert!(harness.reducer.accepts_frame(client));
    let effects = harness.send(client, write_query(900));
    assert!(
        statements(&effects).is_empty() && opened(&effects).is_empty(),
        "a write must wait for reads of its key"
    );
    assert!(
        client_replies(&harness.send(client, query(""))).is_empty(),
        "all statements after the write must wait"
    );
    harness.advance(50 * MS);
    assert!(
        client_replies(&harness.serve(second, b"two")).is_empty(),
        "the second reply must follow the first one"
    );
    let effects = harness.serve(first, b"one");
    let writes = client_replies(&effects);
    assert_eq!(writes.len(), 2);
    assert!(writes[0].windows(3).any(|w| w == b"one") && writes[1].windows(3).any(|w| w == b"two"));
    let write = connection_used(&effects);
    let sent = harness.sent_statement(write, effects);
    // The write has waited for 50 ms of its 900 ms.
    assert!(sent.contains("d=850"), "{sent}");
    let primary_status = || vec![status("node_role", "leader"), ready()];
    let writes = client_replies(&harness.reply(write, [row(b"three"), primary_status()].concat()));
    assert_eq!((writes.len(), writes[0][0], writes[1][0]), (2, b'T', b'I'));
    // A read of another key is sent before a write that waits, but its reply is not.
    let write = connection_used(&harness.send(client, write_query(900)));
    let other = read_query(900).bytes;
    let other =
        String::from_utf8_lossy(&other[5..other.len() - 1]).replacen("uid = '", "uid = 'other-", 1);
    let overtaking = connection_used(&harness.send(client, query(&other)));
    assert!(client_replies(&harness.serve(overtaking, b"five")).is_empty());
    assert_eq!(
        client_replies(&harness.reply(write, [row(b"four"), primary_status()].concat())).len(),
        2
    );
    // Malformed bytes close the connection after the outstanding replies.
    let third = connection_used(&harness.send(client, read_query(900)));
    assert!(client_replies(
        &harness.input(Input::ClientClosed(client, CloseReason::ProtocolError))
    )
    .is_empty());
    assert!(!harness.reducer.accepts_frame(client));
    let writes = client_replies(&harness.serve(third, b"four"));
    assert_eq!((writes.len(), writes[0][0], writes[1][0]), (2, b'T', b'E'));
    // When a client disconnects, all of its pipelined statements are dropped.
    let client = harness.client(2);
    harness.send(client, read_query(900));
    harness.send(client, read_query(900));
    harness.send(client, write_query(900));
    harness.input(Input::ClientClosed(client, CloseReason::Disconnected));
    harness.advance(SECOND);
    assert_eq!(harness.reducer.counters().buffered_bytes, 0);
}

#[test]
fn a_clients_pipeline_is_limited() {
    let mut config = config(&three_members());
    config.limits.max_pipelined_statements = 3;
    let mut harness = ReducerHarness::with(config);
    let client = harness.client(1);
    for n in 0..3 {
        assert!(harness.reducer.accepts_frame(client), "{n}");
        // The write waits for the reads before it and counts too.
        harness.send(
            client,
            if n < 2 {
                read_query(900)
            } else {
                write_query(900)
            },
        );
    }
    assert!(!harness.reducer.accepts_frame(client));
    harness.advance(2 * SECOND);
    assert!(
        harness.reducer.accepts_frame(client),
        "a client whose statements are all answered may send another"
    );
}
