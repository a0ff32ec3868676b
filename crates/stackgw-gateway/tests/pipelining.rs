//! Statements that a client writes before it reads the responses to earlier ones.

mod common;

use common::*;
use stackgw_gateway::reducer::{CloseReason, Effect, Input};
use stackgw_router::api::{MS, SECOND};

/// Statements written together run together and are answered in their order; where one of two writes, those of one key
/// run one after the other. The time of each counts from when it came.
#[test]
fn statements_written_together_are_answered_in_their_order_and_keep_it_within_a_key() {
    let mut rig = Rig::new(&three());
    let client = rig.client(1);
    let place = |effects: &[Effect]| match statements(effects).first() {
        Some((conn, _)) => *conn,
        None => opened(effects)[0].0,
    };
    let first = place(&rig.ask(client, read(900)));
    let second = place(&rig.ask(client, read(900)));
    assert_ne!(first, second, "both are on their way");
    assert!(rig.reducer.accepts_frame(client));
    let effects = rig.ask(client, buy(900));
    assert!(
        statements(&effects).is_empty() && opened(&effects).is_empty(),
        "a write waits for reads of its key"
    );
    assert!(
        answers(&rig.ask(client, query(""))).is_empty(),
        "and all behind it"
    );
    rig.pass(50 * MS);
    assert!(
        answers(&rig.serve(second, b"two")).is_empty(),
        "its turn is after the first's"
    );
    let effects = rig.serve(first, b"one");
    let told = answers(&effects);
    assert_eq!(told.len(), 2);
    assert!(told[0].windows(3).any(|w| w == b"one") && told[1].windows(3).any(|w| w == b"two"));
    let write = place(&effects);
    let sent = rig.written(write, effects);
    assert!(sent.contains("d=850"), "{sent}");
    let leads = || vec![status("node_role", "leader"), ready()];
    let told = answers(&rig.reply(write, [row(b"three"), leads()].concat()));
    assert_eq!((told.len(), told[0][0], told[1][0]), (2, b'T', b'I'));
    // Of another key a read passes a write that waits, and its answer does not.
    let write = place(&rig.ask(client, buy(900)));
    let other = read(900).bytes;
    let other =
        String::from_utf8_lossy(&other[5..other.len() - 1]).replacen("uid = '", "uid = 'other-", 1);
    let passes = place(&rig.ask(client, query(&other)));
    assert!(answers(&rig.serve(passes, b"five")).is_empty());
    assert_eq!(
        answers(&rig.reply(write, [row(b"four"), leads()].concat())).len(),
        2
    );
    // Bytes that are no protocol end the connection behind the answers that are owed.
    let third = place(&rig.ask(client, read(900)));
    assert!(
        answers(&rig.input(Input::ClientClosed(client, CloseReason::ProtocolError))).is_empty()
    );
    assert!(!rig.reducer.accepts_frame(client));
    let told = answers(&rig.serve(third, b"four"));
    assert_eq!((told.len(), told[0][0], told[1][0]), (2, b'T', b'E'));
    // A client that goes takes all of its line with it.
    let client = rig.client(2);
    rig.ask(client, read(900));
    rig.ask(client, read(900));
    rig.ask(client, buy(900));
    rig.input(Input::ClientClosed(client, CloseReason::Disconnected));
    rig.pass(SECOND);
    assert_eq!(rig.reducer.counters().buffered_bytes, 0);
}

#[test]
fn a_clients_pipeline_is_limited() {
    let mut config = config(&three());
    config.limits.max_pipelined_statements = 3;
    let mut rig = Rig::with(config);
    let client = rig.client(1);
    for n in 0..3 {
        assert!(rig.reducer.accepts_frame(client), "{n}");
        // The write waits for the reads before it, and counts as well.
        rig.ask(client, if n < 2 { read(900) } else { buy(900) });
    }
    assert!(!rig.reducer.accepts_frame(client));
    rig.pass(2 * SECOND);
    assert!(rig.reducer.accepts_frame(client), "all have their answers");
}
