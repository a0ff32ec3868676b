//! The reducer driven by hand: each outcome, each limit, the list, a drain, and the end.

mod common;

use common::*;
use stackgw_gateway::config::{Config, ConfigError};
use stackgw_gateway::pg::write;
use stackgw_gateway::reducer::{ClientId, CloseReason, ConnectionId, Effect, Input, TickClock};
use stackgw_router::api::{MS, SECOND};

/// A rig with one client whose request is out on the connection that is returned.
fn asked(frame: stackgw_gateway::pg::Frame) -> (Rig, ClientId, ConnectionId) {
    let mut rig = Rig::new(&three());
    let client = rig.client(1);
    let effects = rig.ask(client, frame);
    let sent = statements(&effects);
    let conn = sent.first().map(|(conn, _)| *conn);
    let conn = conn.or_else(|| {
        statements(&rig.pass(400 * MS))
            .first()
            .map(|(conn, _)| *conn)
    });
    (rig, client, conn.expect("an attempt"))
}

/// Why a document that is no JSON cannot be used.
fn unusable_config() -> ConfigError {
    Config::from_text("{", |_| None).expect_err("no JSON")
}

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
fn a_statement_passes_as_it_came_but_for_its_time() {
    let mut rig = Rig::new(&three());
    let client = rig.client(1);
    let came = buy(700);
    let mut effects = rig.ask(client, came.clone());
    effects.extend(rig.pass(60 * MS));
    let (_, text) = &statements(&effects)[0];
    let (before, rest) = text.split_once(",d=").expect("its time");
    let (wait, after) = rest.split_once(',').expect("more");
    let wait: u64 = wait.parse().expect("a number");
    assert!((600..=700).contains(&wait), "{wait}");
    let came = String::from_utf8(came.body().to_vec()).expect("text");
    assert!(came.starts_with(&format!("{before},d=700,")), "{came}");
    assert_eq!(after, "cluster=2 */");
}

#[test]
fn a_row_is_passed_on_as_it_came_in_one_write_and_the_connection_is_used_again() {
    let (mut rig, client, conn) = asked(read(900));
    let effects = rig.serve(conn, b"\x01\0\xff");
    let mut wanted: Vec<u8> = row(b"\x01\0\xff")
        .into_iter()
        .flat_map(|f| f.bytes)
        .collect();
    write::ready(&mut wanted);
    assert_eq!(answers(&effects), [wanted]);
    let served_by = conn;
    // All members served once, the one that served first is asked again over its connection.
    let mut reused = false;
    for _ in 0..6 {
        let mut effects = rig.ask(client, read(900));
        effects.extend(rig.pass(20 * MS));
        let (conn, _) = statements(&effects)[0].clone();
        reused |= conn == served_by;
        assert_eq!(answers(&rig.serve(conn, b"x")).len(), 1);
    }
    assert!(reused, "a connection that served is not used again");
}

#[test]
fn a_miss_or_a_full_member_leads_to_another_and_the_client_sees_only_the_row() {
    for code in ["72000", "53300"] {
        let (mut rig, _, conn) = asked(read(900));
        let mut effects = rig.reply(conn, vec![error(code), ready()]);
        effects.extend(rig.pass(100 * MS));
        assert!(answers(&effects).is_empty(), "{code} reached the client");
        let (next, _) = statements(&effects)
            .first()
            .cloned()
            .expect("another attempt");
        assert_ne!(next, conn);
        assert_eq!(answers(&rig.serve(next, b"x"))[0][0], b'T');
    }
}

#[test]
fn a_write_that_may_have_run_fails_and_one_that_never_ran_may_be_refused() {
    let (mut rig, _, conn) = asked(buy(900));
    let effects = rig.lose(conn);
    assert_eq!(
        sqlstate(&answers(&effects)[0]).as_deref(),
        Some("58000"),
        "written whole: it may have run"
    );
    assert_eq!(rig.reducer.counters().ended_reset, 1);

    let mut rig = Rig::new(&three());
    rig.members_stuck = true;
    let client = rig.client(1);
    let mut effects = rig.ask(client, buy(900));
    effects.extend(rig.pass(20 * MS));
    let (conn, _) = statements(&effects)[0];
    rig.lose(conn);
    assert_eq!(
        rig.reducer.counters().ended_no_connection,
        1,
        "its last byte was not written: it never ran"
    );
    let effects = rig.pass(950 * MS);
    let code = sqlstate(&answers(&effects)[0]);
    assert_eq!(
        code.as_deref(),
        Some("53300"),
        "it never ran, so the client may try again"
    );
}

#[test]
fn an_error_of_a_member_ends_a_write_as_failed() {
    let (mut rig, _, conn) = asked(buy(900));
    let effects = rig.reply(conn, vec![error("XX000"), ready()]);
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("58000"));
    assert_eq!(rig.reducer.counters().ended_error, 1);
}

#[test]
fn silence_ends_an_attempt_at_the_clients_deadline_and_closes_its_connection() {
    let (mut rig, _, conn) = asked(buy(300));
    let effects = rig.pass(301 * MS);
    assert_eq!(closed(&effects), [conn]);
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("58000"));
    assert_eq!(rig.reducer.counters().ended_timed_out, 1);
    assert_eq!(
        rig.reducer.counters().members_open,
        rig.reducer.counters().members_opened - 1
    );
}

#[test]
fn a_connection_that_never_comes_up_ends_by_the_limit_of_the_settings() {
    let mut rig = Rig::new(&three());
    rig.connects = false;
    let client = rig.client(1);
    let effects = rig.ask(client, buy(900));
    let (conn, member) = opened(&effects)[0];
    assert_eq!(member, 1, "the listed primary");
    assert!(!closed(&rig.pass(249 * MS)).contains(&conn));
    assert!(closed(&rig.pass(2 * MS)).contains(&conn));
    assert_eq!(rig.reducer.counters().ended_no_connection, 1);
    assert_eq!(rig.reducer.counters().written, 0);
}

#[test]
fn a_member_without_connections_to_spare_turns_the_attempt_away() {
    let mut rig = Rig::new(&three());
    rig.connects = false;
    let client = rig.client(1);
    let (conn, _) = opened(&rig.ask(client, buy(900)))[0];
    rig.input(Input::MemberConnected(conn));
    rig.input(Input::MemberFrame(conn, error("53300")));
    rig.lose(conn);
    assert_eq!(rig.reducer.counters().ended_shed, 1);
}

#[test]
fn an_idle_connection_found_closed_costs_the_attempt_nothing() {
    let (mut rig, client, conn) = asked(buy(900));
    rig.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    rig.members_stuck = true;
    let effects = rig.ask(client, buy(900));
    assert_eq!(
        statements(&effects)[0].0,
        conn,
        "the idle connection is handed out"
    );
    let effects = rig.lose(conn);
    let (fresh, _) = statements(&effects)[0].clone();
    assert_ne!(fresh, conn);
    assert_eq!(rig.reducer.counters().members_reopened, 1);
    rig.input(Input::MemberFlushed(fresh));
    assert_eq!(answers(&rig.serve(fresh, b"y")).len(), 1);
    assert_eq!(
        rig.reducer.counters().attempts,
        2,
        "it was one attempt all along"
    );
}

#[test]
fn idle_connections_are_retired_ahead_of_the_members_limit() {
    let (mut rig, _, conn) = asked(buy(900));
    rig.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    let early = closed(&rig.pass(15 * SECOND));
    assert!(!early.contains(&conn));
    assert!(
        closed(&rig.pass(4 * SECOND)).contains(&conn),
        "20 s are the members' limit"
    );
}

#[test]
fn an_idle_connection_that_ends_is_forgotten() {
    let (mut rig, client, conn) = asked(buy(900));
    rig.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    rig.lose(conn);
    let effects = rig.ask(client, buy(900));
    assert_ne!(statements(&effects)[0].0, conn);
}

#[test]
fn a_member_may_say_why_it_closes_an_idle_connection() {
    let (mut rig, _, conn) = asked(buy(900));
    rig.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    let effects = rig.reply(conn, vec![error("57P05")]);
    assert_eq!(closed(&effects), [conn]);
    let counters = rig.reducer.counters();
    assert_eq!((counters.members_bad, counters.members_closed), (0, 1));
}

#[test]
fn bytes_that_are_no_reply_end_the_attempt_and_touch_no_other() {
    let (mut rig, _, conn) = asked(buy(900));
    let other = rig.client(2);
    let mut effects = rig.ask(other, read(900));
    effects.extend(rig.pass(100 * MS));
    let (untouched, _) = statements(&effects)[0].clone();
    let effects = rig.input(Input::MemberFrame(conn, message(b'G', b"?")));
    assert_eq!(closed(&effects), [conn]);
    assert_eq!(answers(&effects).len(), 1);
    assert_eq!(rig.reducer.counters().members_bad, 1);
    assert_eq!(answers(&rig.serve(untouched, b"x"))[0][0], b'T');
}

#[test]
fn a_row_that_is_not_whole_never_reaches_the_client_as_one() {
    let (mut rig, _, conn) = asked(buy(900));
    let part = row(b"abc").remove(0);
    rig.reply(conn, vec![part]);
    let effects = rig.lose(conn);
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("58000"));
}

#[test]
fn malformed_statements_are_answered_and_never_passed_on() {
    let mut rig = Rig::new(&three());
    let client = rig.client(1);
    for text in [
        "SELECT 1",
        "SELECT val FROM state WHERE uid = 'k' /* id=a,c=look,d=480 */",
        "SELECT val FROM state WHERE uid = 'k' /* id=a,c=look,d=x,cluster=2 */",
        "SELECT val FROM state WHERE uid = 'k' /* id=a,c=strange,d=480,cluster=2 */",
        "SELECT val FROM state WHERE uid = 'k' /* id=a,c=look,d=480,cluster=77 */",
        "SELECT val FROM state WHERE uid = 'k' /* id=a,c=buy,d=480,cluster=2 */",
        "SELECT val FROM state WHERE uid = 'k'; DROP x /* id=a,c=look,d=480,cluster=2 */",
        "SELECT val FROM state WHERE uid = 'k' /* id=a,c=look,d=480,cluster=2 */ , x",
    ] {
        let effects = rig.ask(client, query(text));
        let code = sqlstate(&answers(&effects)[0]).expect("an error");
        assert!(
            code != "53300" && code != "57P03",
            "{text}: an error, no refusal"
        );
        assert!(statements(&effects).is_empty(), "{text} was passed on");
    }
    assert_eq!(rig.reducer.counters().malformed, 8);
    assert!(rig.reducer.accepts_frame(client));
}

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
    assert_eq!(rig.reducer.counters().held_bytes, 0);
}

#[test]
fn a_clients_line_has_an_end() {
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
fn a_cancel_request_ends_the_query_that_its_key_names() {
    let (mut rig, client, conn) = asked(read(900));
    let welcome = answers(&rig.effects).remove(0);
    let at = welcome
        .windows(5)
        .position(|w| w == [b'K', 0, 0, 0, 12])
        .expect("a key");
    let key = welcome[at + 5..at + 13].to_vec();
    let cancel = |key: &[u8]| {
        let mut bytes = 16u32.to_be_bytes().to_vec();
        bytes.extend(80_877_102u32.to_be_bytes());
        bytes.extend_from_slice(key);
        stackgw_gateway::pg::Frame { kind: 0, bytes }
    };
    let other = ClientId(9);
    rig.input(Input::ClientConnected(other));
    let wrong: Vec<u8> = key.iter().map(|b| b ^ 1).collect();
    assert!(answers(&rig.input(Input::ClientFrame(other, cancel(&wrong)))).is_empty());
    let other = ClientId(10);
    rig.input(Input::ClientConnected(other));
    let effects = rig.input(Input::ClientFrame(other, cancel(&key)));
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("57014"));
    assert_eq!(closed(&effects), [conn]);
    assert!(rig.reducer.accepts_frame(client));
}

#[test]
fn a_client_that_leaves_takes_its_attempt_with_it() {
    let (mut rig, client, conn) = asked(read(900));
    let effects = rig.input(Input::ClientClosed(client, CloseReason::Disconnected));
    assert_eq!(closed(&effects), [conn]);
    let counters = rig.reducer.counters();
    assert_eq!(
        (
            counters.answered_gone,
            counters.held_bytes,
            counters.clients_open
        ),
        (1, 0, 0)
    );
    assert!(answers(&rig.pass(2 * SECOND)).is_empty());
}

#[test]
fn a_client_that_does_not_read_is_not_served_further_and_let_go_in_the_end() {
    let (mut rig, client, conn) = asked(read(900));
    rig.clients_stuck = true;
    assert_eq!(answers(&rig.serve(conn, b"x")).len(), 1);
    assert!(!rig.reducer.accepts_frame(client));
    let effects = rig.pass(20 * SECOND);
    assert!(effects.contains(&Effect::ClientClose(client)));
    assert_eq!(rig.reducer.counters().clients_stalled, 1);
}

/// Values may be large; clients that ask for them and do not read would take the memory of all.
#[test]
fn past_the_room_for_what_is_left_unread_the_client_still_longest_is_let_go() {
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
            rig.reducer.counters().clients_greedy,
            rig.reducer.counters().clients_open
        ),
        (1, 2)
    );
    rig.input(Input::ClientFlushed(clients[1]));
    rig.input(Input::ClientFlushed(clients[2]));
    assert!(rig.reducer.accepts_frame(clients[1]) && rig.reducer.accepts_frame(clients[2]));
}

#[test]
fn a_client_that_stands_still_inside_a_message_is_let_go() {
    let mut rig = Rig::new(&three());
    let (idle, partial) = (rig.client(1), rig.client(2));
    rig.ask(idle, query(""));
    rig.input(Input::ClientReadAhead(partial, 7));
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
fn where_all_client_places_are_taken_idle_ones_make_room() {
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
fn a_client_beyond_all_places_is_turned_away_and_not_left_waiting() {
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
fn past_the_budget_of_connections_an_attempt_is_never_sent() {
    let mut config = config(&three());
    config.limits.member_connections = 1;
    let mut rig = Rig::with(config);
    let (one, two) = (rig.client(1), rig.client(2));
    let mut effects = rig.ask(one, buy(900));
    effects.extend(rig.ask(two, buy(900)));
    assert_eq!(statements(&effects).len(), 1);
    let conn = statements(&effects)[0].0;
    assert!(rig.reducer.counters().ended_unsent > 0);
    assert!(rig.reducer.counters().members_peak <= 1);
    rig.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    // An idle connection to one member makes room for one to another.
    let effects = rig.ask(one, read(900));
    let late = rig.pass(300 * MS);
    assert!(closed(&effects).contains(&conn) || closed(&late).contains(&conn));
    assert!(rig.reducer.counters().members_peak <= 1);
}

#[test]
fn past_the_budget_of_bytes_statements_wait_where_they_are() {
    let mut config = config(&three());
    config.limits.client_bytes = 50;
    let mut rig = Rig::with(config);
    let (one, two) = (rig.client(1), rig.client(2));
    rig.ask(one, read(900));
    assert!(!rig.reducer.accepts_frame(two));
    rig.input(Input::ClientClosed(one, CloseReason::Disconnected));
    assert!(rig.reducer.accepts_frame(two));
}

#[test]
fn too_many_open_requests_are_refused() {
    let mut config = config(&three());
    config.limits.requests = 1;
    let mut rig = Rig::with(config);
    let (one, two) = (rig.client(1), rig.client(2));
    rig.ask(one, read(900));
    let effects = rig.ask(two, read(900));
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("53300"));
    assert!(statements(&effects).is_empty());
}

#[test]
fn a_probe_takes_its_report_from_the_row() {
    let mut rig = Rig::new(&three());
    let client = rig.client(1);
    // Nothing but probes has told a position, and a bounded read goes to a replica at once.
    let effects = rig.ask(client, read(900));
    assert_eq!(statements(&effects).len(), 1);
    let counters = rig.reducer.counters();
    assert!(
        counters.probes > 0 && counters.probes_failed == 0,
        "{counters}"
    );
}

#[test]
fn an_unanswered_probe_ends_by_its_limit() {
    let mut rig = Rig::with(config("null"));
    rig.probes = false;
    rig.input(Input::EndpointList(list(
        1,
        true,
        &[entry(1, "ready", "leader"), entry(2, "ready", "follower")],
    )));
    let client = rig.client(1);
    rig.ask(client, read(400));
    rig.pass(240 * MS);
    assert_eq!(rig.reducer.counters().probes_failed, 0);
    rig.pass(300 * MS);
    let counters = rig.reducer.counters();
    assert!(
        counters.probes > 0 && counters.probes_failed > 0,
        "{counters}"
    );
}

#[test]
fn the_watch_starts_after_the_known_version_and_is_opened_anew_with_pauses() {
    let mut rig = Rig::new(&three());
    assert!(rig.effects.contains(&Effect::OpenWatch(
        "127.0.0.1:8500".parse().expect("an address"),
        Some(1)
    )));
    let count = |effects: &[Effect]| {
        effects
            .iter()
            .filter(|e| matches!(e, Effect::OpenWatch(..)))
            .count()
    };
    let effects = rig.input(Input::WatchLost("ended".into()));
    assert_eq!(count(&effects), 0, "not at once");
    assert_eq!(count(&rig.pass(150 * MS)), 1);
    rig.input(Input::WatchLost("refused".into()));
    assert_eq!(count(&rig.pass(150 * MS)), 0, "the second pause is longer");
    assert_eq!(count(&rig.pass(SECOND)), 1);
    // Blank lines keep it; silence does not, for longer than two of them.
    rig.input(Input::WatchConnected);
    for _ in 0..5 {
        rig.pass(2 * SECOND);
        rig.input(Input::WatchKeepalive);
    }
    let lost = rig.reducer.counters().watches_lost;
    assert_eq!(lost, 2);
    let effects = rig.pass(4500 * MS);
    assert!(effects.contains(&Effect::CloseWatch) && count(&effects) == 1);
}

#[test]
fn a_drain_reaches_the_router_at_once() {
    let mut rig = Rig::new(&three());
    let client = rig.client(1);
    rig.input(Input::EndpointList(list(
        2,
        false,
        &[
            entry(1, "draining", "leader"),
            entry(2, "draining", "follower"),
        ],
    )));
    rig.pass(2 * SECOND);
    for _ in 0..4 {
        let mut effects = rig.ask(client, read(400));
        effects.extend(rig.pass(500 * MS));
        assert!(
            opened(&effects).iter().all(|(_, member)| *member == 3),
            "a draining member was sent to"
        );
    }
    let text = list(1, false, &[entry(1, "ready", "leader")]);
    rig.input(Input::EndpointList(text));
    assert_eq!(
        rig.reducer.counters().lists,
        1,
        "older word undoes no newer"
    );
}

#[test]
fn a_slow_connect_carries_nothing_past_a_drains_grace() {
    for (late, sent) in [(940, 1), (1010, 0)] {
        let mut rig = Rig::new(&three());
        let client = rig.client(1);
        let drains = entry(1, "draining", "leader");
        rig.input(Input::EndpointList(list(2, false, &[drains])));
        rig.connects = false;
        rig.pass(790 * MS);
        let (conn, member) = opened(&rig.ask(client, buy(900)))[0];
        assert_eq!(member, 1, "no other primary is known yet");
        rig.input(Input::MemberConnected(conn));
        rig.pass((late - 790) * MS);
        let effects = rig.reply(conn, vec![message(b'R', &[0; 4]), ready()]);
        assert_eq!(statements(&effects).len(), sent, "{late} ms after the word");
        assert_eq!(rig.reducer.counters().ended_unsent, 1 - sent as u64);
        assert_eq!(closed(&effects).contains(&conn), sent == 0);
    }
}

/// Where members are replaced throughout, connections to the old ones would hold places for as long as idle ones may.
#[test]
fn idle_connections_to_a_member_that_is_gone_are_closed_after_its_grace() {
    let (mut rig, _, conn) = asked(buy(900));
    rig.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    rig.input(Input::EndpointList(list(
        2,
        false,
        &[entry(1, "draining", "leader")],
    )));
    let early = closed(&rig.pass(900 * MS));
    assert!(!early.contains(&conn), "it may still be asked");
    assert!(closed(&rig.pass(SECOND)).contains(&conn));
}

#[test]
fn a_new_address_is_used_and_idle_connections_to_the_old_one_are_closed() {
    let (mut rig, client, conn) = asked(buy(900));
    rig.reply(
        conn,
        [row(b"x"), vec![status("node_role", "leader"), ready()]].concat(),
    );
    let moved = entry(1, "ready", "leader").replace(":7001", ":7041");
    let effects = rig.input(Input::EndpointList(list(2, false, &[moved])));
    assert_eq!(closed(&effects), [conn]);
    let effects = rig.ask(client, buy(900));
    assert_eq!(opened(&effects)[0].1, 41);
}

#[test]
fn words_are_heard_from_gateways_of_the_tier_alone() {
    let mut rig = Rig::new(&three());
    rig.input(Input::GossipDatagram(
        "127.0.0.1:7901".parse().expect("an address"),
        vec![0, 0, 0, 0, 0],
    ));
    rig.input(Input::GossipDatagram(
        "127.0.0.1:7902".parse().expect("an address"),
        vec![0, 0, 0, 0, 0],
    ));
    rig.input(Input::GossipDatagram(
        "127.0.0.1:7901".parse().expect("an address"),
        vec![9; 11],
    ));
    rig.input(Input::GossipDatagram(
        "127.0.0.1:7901".parse().expect("an address"),
        vec![0; 257],
    ));
    let counters = rig.reducer.counters();
    assert_eq!((counters.words_heard, counters.words_dropped), (1, 3));
}

#[test]
fn what_answers_told_goes_to_the_other_gateway_in_small_datagrams() {
    let (mut rig, _, conn) = asked(read(900));
    rig.serve(conn, b"x");
    let effects = rig.pass(3 * SECOND);
    let sent: Vec<_> = effects
        .iter()
        .filter_map(|e| match e {
            Effect::GossipDatagram(to, bytes) => Some((to.port(), bytes.len())),
            _ => None,
        })
        .collect();
    assert!(
        !sent.is_empty()
            && sent
                .iter()
                .all(|(port, n)| [7901, 7999].contains(port) && *n <= 256),
        "{sent:?}"
    );
}

#[test]
fn sigterm_takes_new_clients_for_a_while_finishes_what_was_taken_and_ends() {
    let (mut rig, busy, conn) = asked(buy(9000));
    let idle = rig.client(2);
    let effects = rig.input(Input::Terminate);
    assert!(!effects
        .iter()
        .any(|e| matches!(e, Effect::StopListening | Effect::ClientCloseIfIdle(_))));
    let late = rig.client(3);
    let effects = rig.pass(450 * MS);
    assert!(
        !effects.contains(&Effect::StopListening),
        "new clients come for 0.4 s"
    );
    let other = rig.client(4);
    rig.ask(other, query(""));
    let effects = rig.pass(100 * MS);
    assert!(effects.contains(&Effect::StopListening));
    let mut effects = rig.input(Input::ListenerClosed);
    effects.extend(rig.pass(SECOND));
    // Found on sockets: closed then, they would have nobody to go to where this gateway is the only one.
    assert!(
        !effects
            .iter()
            .any(|e| matches!(e, Effect::ClientCloseIfIdle(_))),
        "connections are kept and served"
    );
    assert_eq!(answers(&rig.ask(idle, query("")))[0][0], b'I');
    effects.extend(rig.pass(700 * MS));
    for client in [idle, late, other] {
        assert!(
            effects.contains(&Effect::ClientCloseIfIdle(client)),
            "{client:?}"
        );
        rig.input(Input::ClientClosed(client, CloseReason::Disconnected));
    }
    assert!(
        !effects.contains(&Effect::ClientCloseIfIdle(busy)),
        "its request is in hand"
    );
    assert!(!effects.contains(&Effect::Exit));
    let effects = rig.serve(conn, b"x");
    assert_eq!(answers(&effects)[0][0], b'T');
    assert!(effects.contains(&Effect::ClientCloseIfIdle(busy)));
    let effects = rig.input(Input::ClientClosed(busy, CloseReason::Disconnected));
    assert!(effects.contains(&Effect::Exit));
    assert!(effects.iter().any(|e| matches!(e, Effect::Report(_))));
}

#[test]
fn sigterm_ends_the_gateway_before_it_would_be_killed_and_answers_what_is_left() {
    // The client waits far longer than a SIGKILL would.
    let (mut rig, _, _) = asked(buy(9000));
    rig.input(Input::Terminate);
    rig.input(Input::ListenerClosed);
    let effects = rig.pass(2 * SECOND + 600 * MS);
    assert_eq!(effects.iter().filter(|e| **e == Effect::Exit).count(), 1);
    let answers = answers(&effects);
    assert_eq!(answers.len(), 1);
    assert_eq!(
        sqlstate(&answers[0]).as_deref(),
        Some("58000"),
        "it may have run"
    );
    let at = |wanted: fn(&Effect) -> bool| effects.iter().position(wanted);
    assert!(at(|e| matches!(e, Effect::ClientWrite { .. })) < at(|e| *e == Effect::Exit));
}

/// What waits behind another of its key has been taken too; that its turn comes with the end is no reason for silence.
#[test]
fn the_end_answers_statements_that_wait_for_others_of_their_key() {
    let (mut rig, client, _) = asked(buy(9000));
    for _ in 0..2 {
        rig.ask(client, buy(9000));
    }
    rig.input(Input::Terminate);
    rig.input(Input::ListenerClosed);
    let effects = rig.pass(2 * SECOND + 600 * MS);
    let codes: Vec<_> = answers(&effects)
        .iter()
        .filter_map(|bytes| sqlstate(bytes))
        .collect();
    assert_eq!(
        codes,
        ["58000", "57P03", "57P03"],
        "the first may have run, the others never did"
    );
}

#[test]
fn events_closer_than_a_tick_are_of_one_moment_for_the_router() {
    let mut moments = TickClock::new(5 * MS);
    assert_eq!(moments.tick_of(START), START);
    assert_eq!(moments.tick_of(START + 4 * MS), START);
    let late = START + 300 * MS;
    assert_eq!(
        [
            moments.tick_of(late),
            moments.tick_of(late + 1),
            moments.tick_of(late + 5 * MS - 1)
        ],
        [late; 3]
    );
    assert_eq!(moments.tick_of(late + 5 * MS), late + 5 * MS);
}

/// Danger: a process that stood still finds all answers late. Its members must not pay for that.
#[test]
fn a_pause_of_the_gateway_takes_no_room_from_its_members() {
    let room_after = |pause: i64| {
        let mut rig = Rig::new(&three());
        let clients: Vec<_> = (0..20).map(|n| rig.client(n)).collect();
        let leads = || vec![status("node_role", "leader"), ready()];
        for _ in 0..8 {
            let mut out = Vec::new();
            for client in &clients {
                out.extend(statements(&rig.ask(*client, buy(1900))));
            }
            rig.pass(30 * MS);
            rig.now += pause;
            // What was held meanwhile follows the answers and is answered at once.
            while let Some((conn, _)) = out.pop() {
                rig.now += MS / 50;
                out.extend(statements(&rig.reply(conn, [row(b"x"), leads()].concat())));
            }
            rig.pass(2 * SECOND);
        }
        let sent = clients
            .iter()
            .map(|client| statements(&rig.ask(*client, buy(1900))).len());
        sent.sum::<usize>()
    };
    let (paused, calm) = (room_after(700 * MS), room_after(0));
    assert!(calm >= 6, "{calm} at once");
    assert!(
        paused >= calm - 1,
        "{paused} at once after pauses, {calm} without"
    );
}

/// A second copy or noise behind an answer is nobody's: the next request must not be served with it.
#[test]
fn a_connection_with_anything_unasked_for_is_never_used_again() {
    let second = || [row(b"x"), vec![status("node_role", "leader"), ready()]].concat();
    for more in [
        second(),
        vec![status("node_role", "leader")],
        vec![message(b'N', b"SNOTICE\0\0")],
    ] {
        let (mut rig, client, conn) = asked(buy(900));
        rig.reply(conn, second());
        let effects = rig.reply(conn, more);
        assert_eq!(closed(&effects), [conn]);
        assert_eq!(rig.reducer.counters().members_unasked, 1);
        assert_ne!(statements(&rig.ask(client, buy(900)))[0].0, conn);
    }
    let (mut rig, client, conn) = asked(buy(900));
    rig.reply(conn, second());
    assert_eq!(
        closed(&rig.input(Input::MemberPartialFrame(conn))),
        [conn],
        "half a message is unasked-for too"
    );
    // Found only when the next request is to be written: it has not been sent, and goes to another connection.
    let (conn, _) = statements(&rig.ask(client, buy(900)))[0].clone();
    rig.reply(conn, second());
    rig.members_stuck = true;
    assert_eq!(statements(&rig.ask(client, buy(900)))[0].0, conn);
    let effects = rig.input(Input::MemberClosed(conn, CloseReason::UnexpectedData));
    assert_ne!(statements(&effects)[0].0, conn);
    assert_eq!(
        (
            rig.reducer.counters().members_unasked,
            rig.reducer.counters().members_reopened
        ),
        (2, 1)
    );
}

/// What is spoilt may have run, is served to nobody, and tells nothing of its member.
#[test]
fn a_spoilt_answer_is_a_failed_attempt_that_tells_nothing() {
    let claims = || {
        vec![
            status("node_role", "leader"),
            status("replay_position", "1800000000000"),
        ]
    };
    let spoilt: [Vec<stackgw_gateway::pg::Frame>; 7] = [
        vec![message(b'T', b"\0\x01val")],
        vec![row(b"x").remove(0), message(b'D', b"\0\x01\0\0\0\x09x")],
        [row(b"x"), claims(), row(b"y")].concat(),
        [claims(), vec![ready()]].concat(),
        vec![message(b'E', b"Cnobody knows")],
        [row(b"x"), claims(), vec![message(b'Z', b"?")]].concat(),
        vec![message(b'I', b""), ready()],
    ];
    for frames in spoilt {
        let (mut rig, _, conn) = asked(buy(900));
        let effects = rig.reply(conn, frames.clone());
        assert_eq!(closed(&effects), [conn], "{frames:?}");
        assert_eq!(
            sqlstate(&answers(&effects)[0]).as_deref(),
            Some("58000"),
            "it may have run: {frames:?}"
        );
        assert_eq!(rig.reducer.counters().ended_spoilt, 1, "{frames:?}");
        // A read is asked for again elsewhere, and served.
        let (mut rig, _, conn) = asked(read(900));
        let mut effects = rig.reply(conn, frames);
        effects.extend(rig.pass(60 * MS));
        let (next, _) = statements(&effects)
            .first()
            .cloned()
            .expect("another attempt");
        assert_eq!(answers(&rig.serve(next, b"good"))[0][0], b'T');
    }
}

/// Spoilt answers come from all members alike: they put none out of use, however many there are.
#[test]
fn spoilt_answers_are_no_evidence_against_a_member() {
    let mut rig = Rig::new(&three());
    let client = rig.client(1);
    for _ in 0..20 {
        let effects = rig.ask(client, buy(900));
        let (conn, _) = statements(&effects)[0].clone();
        rig.input(Input::MemberClosed(conn, CloseReason::ProtocolError));
    }
    assert_eq!(rig.reducer.counters().ended_spoilt, 20);
    assert_eq!(
        statements(&rig.ask(client, buy(900))).len(),
        1,
        "the primary is asked as before"
    );
}

/// A length beyond what follows must not hold its request until the client's time is over.
#[test]
fn an_answer_that_stands_still_inside_is_spoilt_well_before_the_clients_deadline() {
    let (mut rig, _, conn) = asked(read(900));
    rig.input(Input::MemberPartialFrame(conn));
    let effects = rig.pass(140 * MS);
    assert!(!closed(&effects).contains(&conn));
    rig.input(Input::MemberPartialFrame(conn));
    let effects = rig.pass(140 * MS);
    assert!(!closed(&effects).contains(&conn), "it goes on");
    let effects = rig.pass(20 * MS);
    assert!(closed(&effects).contains(&conn));
    assert_eq!(
        (
            rig.reducer.counters().ended_spoilt,
            rig.reducer.counters().ended_timed_out
        ),
        (1, 0)
    );
    assert!(!statements(&effects).is_empty(), "and is asked for again");
}

#[test]
fn a_position_in_the_future_is_not_believed() {
    let mut rig = Rig::new("null");
    rig.probes = false;
    rig.input(Input::EndpointList(list(
        1,
        true,
        &[entry(1, "ready", "leader"), entry(2, "ready", "follower")],
    )));
    let client = rig.client(1);
    let tell = |rig: &mut Rig, conn, ahead: i64| {
        let at = ((rig.now + ahead) / MS).to_string();
        let tail = vec![
            status("node_role", "leader"),
            status("replay_position", &at),
            ready(),
        ];
        rig.reply(conn, [row(b"x"), tail].concat())
    };
    let mut effects = rig.ask(client, buy(900));
    effects.extend(rig.pass(20 * MS));
    let (conn, _) = statements(&effects)[0].clone();
    assert_eq!(
        answers(&tell(&mut rig, conn, 5 * SECOND)).len(),
        1,
        "the row itself is good"
    );
    assert_eq!(rig.reducer.counters().members_disbelieved, 1);
    let mut effects = rig.ask(client, buy(900));
    effects.extend(rig.pass(20 * MS));
    let (conn, _) = statements(&effects)[0].clone();
    tell(&mut rig, conn, 0);
    assert_eq!(rig.reducer.counters().members_disbelieved, 1);
}

#[test]
fn a_row_without_the_word_that_the_member_is_ready_is_not_served() {
    let (mut rig, _, conn) = asked(buy(900));
    rig.reply(conn, row(b"abc"));
    let effects = rig.lose(conn);
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("58000"));
}

/// What SIGHUP brings: the list comes from the new address at once and whole, whatever versions the old one had.
#[test]
fn a_new_configuration_moves_the_watch_and_old_versions_do_not_bind() {
    let known = list_text(
        41,
        true,
        &[entry(1, "ready", "leader"), entry(2, "ready", "follower")],
    );
    let mut rig = Rig::new(&known);
    let client = rig.client(1);
    let config = |text: String| {
        Box::new(stackgw_gateway::config::Config::from_text(&text, |_| None).expect("one"))
    };
    let moved = || config_text("null").replace("127.0.0.1:8500", "127.0.0.1:8600");
    let effects = rig.input(Input::Reload(Ok(config(moved()))));
    let new = "127.0.0.1:8600".parse().expect("an address");
    assert!(
        effects.contains(&Effect::CloseWatch) && effects.contains(&Effect::OpenWatch(new, None)),
        "{effects:?}"
    );
    // Its versions are lower, and count all the same.
    rig.input(Input::EndpointList(list(
        3,
        true,
        &[
            entry(2, "draining", "follower"),
            entry(3, "ready", "leader"),
        ],
    )));
    rig.input(Input::EndpointList(list(
        4,
        false,
        &[entry(2, "gone", "follower")],
    )));
    assert_eq!(rig.reducer.counters().lists, 2);
    rig.pass(2 * SECOND);
    let effects = rig.ask(client, read(400));
    assert!(
        opened(&effects).iter().all(|(_, member)| *member == 3),
        "what it tells binds"
    );
    // Lost, it is asked for at the new address after the new versions.
    rig.input(Input::WatchLost("ended".into()));
    assert!(rig.pass(SECOND).contains(&Effect::OpenWatch(new, Some(4))));
    // The same once more changes nothing; one that cannot be used neither, and is one line.
    let effects = rig.input(Input::Reload(Ok(config(moved()))));
    assert!(!effects
        .iter()
        .any(|e| matches!(e, Effect::OpenWatch(..) | Effect::CloseWatch)));
    let effects = rig.input(Input::Reload(Err(unusable_config())));
    assert!(
        matches!(&effects[..], [Effect::Log(line)] if line.contains("no JSON")),
        "{effects:?}"
    );
    // What cannot change while running is said.
    let other = moved()
        .replace("\"sockets\":128", "\"sockets\":256")
        .replace("\"g0\"", "\"g7\"");
    let effects = rig.input(Input::Reload(Ok(config(other))));
    let said = |e: &Effect| matches!(e, Effect::Log(line) if line.contains("until a restart: name, limits"));
    assert!(effects.iter().any(said), "{effects:?}");
    assert_eq!(
        (
            rig.reducer.counters().reloads,
            rig.reducer.counters().reloads_failed
        ),
        (4, 1)
    );
}

#[test]
fn a_client_that_asks_nothing_is_let_go_in_time() {
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
fn an_id_that_is_already_open_is_an_error_for_the_newcomer_alone() {
    let frame = read(900);
    let (mut rig, owner, conn) = asked(frame.clone());
    let other = rig.client(2);
    let effects = rig.ask(other, frame.clone());
    let code = sqlstate(&answers(&effects)[0]).expect("an error");
    assert!(code != "53300" && code != "57P03" && statements(&effects).is_empty());
    assert_eq!(rig.reducer.counters().ids_taken, 1);
    let effects = rig.serve(conn, b"mine");
    assert!(
        matches!(&effects[0], Effect::ClientWrite { client, bytes, .. } if *client == owner && bytes[0] == b'T')
    );
    // Answered, it is open no longer.
    assert_eq!(statements(&rig.ask(other, frame)).len(), 1);
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
fn whoever_sends_most_ahead_gives_way_before_others_wait() {
    let mut config = config(&three());
    config.limits.client_bytes = 400;
    let mut rig = Rig::with(config);
    let (used, greedy, small) = (rig.client(1), rig.client(2), rig.client(3));
    rig.ask(used, query(""));
    assert!(answers(&rig.input(Input::ClientReadAhead(used, 150))).is_empty());
    assert!(answers(&rig.input(Input::ClientReadAhead(small, 20))).is_empty());
    let effects = rig.input(Input::ClientReadAhead(greedy, 140));
    let ends = |e: &Effect| matches!(e, Effect::ClientWrite { client, close: true, .. } if *client == greedy);
    assert!(
        effects.iter().any(ends),
        "one that has asked nothing goes first"
    );
    assert_eq!(rig.reducer.counters().clients_greedy, 1);
    assert!(
        answers(&rig.input(Input::ClientReadAhead(small, 100))).is_empty(),
        "its bytes no longer count"
    );
}

/// The long day: members are replaced throughout under new ids, clients and sessions are always new. What is kept of
/// them is what is there now and a little of what has just gone.
#[test]
fn nothing_grows_over_many_generations() {
    let mut rig = Rig::new(&list_text(1, true, &[entry(1, "ready", "leader")]));
    let mut most = [0; 2];
    for n in 0..400u32 {
        let (old, new) = (1 + n, 2 + n);
        let ready = |m| entry(m, "ready", if m == new { "leader" } else { "follower" });
        rig.input(Input::EndpointList(list(
            u64::from(n) * 2 + 2,
            false,
            &[ready(new), entry(old, "gone", "follower")],
        )));
        let client = rig.client(u64::from(n));
        let text = format!(
            "SELECT val FROM state WHERE uid = 's{n}' /* id=g{n},c=mine,d=400,cluster=2 */"
        );
        let effects = rig.ask(client, query(&text));
        let sent = statements(&effects);
        for (conn, _) in &sent {
            rig.reply(
                *conn,
                [
                    row(b"x"),
                    vec![status("node_role", "leader"), message(b'Z', b"I")],
                ]
                .concat(),
            );
        }
        rig.pass(SECOND);
        rig.input(Input::ClientClosed(client, CloseReason::Disconnected));
        let counters = rig.reducer.counters();
        let kept = counters.members_known;
        let half = usize::from(n >= 200);
        most[half] = most[half].max(kept + counters.members_open + counters.held_bytes);
        assert!(kept < 60, "{kept} members after {n} generations");
        assert!(
            counters.members_open < 30,
            "{} connections",
            counters.members_open
        );
    }
    let counters = rig.reducer.counters();
    assert!(counters.members_forgotten > 300, "{counters}");
    assert!(most[1] <= most[0], "{most:?}");
    // One that comes back is a member like any other.
    rig.input(Input::EndpointList(list(
        9000,
        false,
        &[entry(3, "ready", "follower")],
    )));
    assert!(rig.reducer.counters().members_known < 60);
}

/// A connection that came up and broke before the statement was sent proves nobody dead, and costs the request nothing.
#[test]
fn a_connection_that_breaks_in_its_startup_is_opened_once_more() {
    let mut rig = Rig::new(&three());
    rig.connects = false;
    let client = rig.client(1);
    let (conn, _) = opened(&rig.ask(client, buy(900)))[0];
    rig.input(Input::MemberConnected(conn));
    let (next, member) = opened(&rig.lose(conn))[0];
    assert_eq!((member, rig.reducer.counters().ended_no_connection), (1, 0));
    // Once: a member that breaks them all is one without a connection.
    rig.input(Input::MemberConnected(next));
    rig.lose(next);
    let counters = rig.reducer.counters();
    assert_eq!(
        (
            counters.ended_no_connection,
            counters.members_reopened,
            counters.attempts
        ),
        (1, 1, 1)
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

#[test]
fn a_handshake_that_a_member_has_begun_is_kept_for_whoever_asks_next() {
    let mut rig = Rig::new(&three());
    rig.connects = false;
    let client = rig.client(1);
    let (conn, member) = opened(&rig.ask(client, buy(900)))[0];
    rig.input(Input::MemberConnected(conn));
    // It is too late for the attempt, which was never sent ...
    let effects = rig.pass(251 * MS);
    assert!(!closed(&effects).contains(&conn));
    let counters = rig.reducer.counters();
    assert_eq!(
        (
            counters.ended_no_connection,
            counters.members_late,
            counters.written
        ),
        (1, 1, 0)
    );
    // ... and carries the next one to that member, which opens none of its own.
    let effects = [rig.pass(400 * MS), rig.ask(client, buy(900))].concat();
    assert!(
        opened(&effects).iter().all(|(_, to)| *to != member),
        "{effects:?}"
    );
    let asked = rig.input(Input::MemberFrame(conn, ready()));
    assert_eq!(
        statements(&asked)
            .iter()
            .map(|(on, _)| *on)
            .collect::<Vec<_>>(),
        [conn]
    );
}

#[test]
fn one_that_comes_up_with_nobody_waiting_stands_idle_and_one_that_does_not_is_closed() {
    let late = |rig: &mut Rig, n: u64| {
        rig.connects = false;
        let client = rig.client(n);
        let (conn, _) = opened(&rig.ask(client, buy(300)))[0];
        rig.input(Input::MemberConnected(conn));
        (client, conn)
    };
    let mut rig = Rig::new(&three());
    let (client, conn) = late(&mut rig, 1);
    rig.pass(310 * MS);
    assert!(answers(&rig.input(Input::MemberFrame(conn, ready()))).is_empty());
    assert_eq!(
        statements(&rig.ask(client, buy(900)))
            .first()
            .map(|(on, _)| *on),
        Some(conn),
        "it is used"
    );
    let mut rig = Rig::new(&three());
    let (_, conn) = late(&mut rig, 1);
    let effects = rig.pass(310 * MS + 4 * 250 * MS);
    assert!(closed(&effects).contains(&conn));
    // A member that drains is not waited for.
    let mut rig = Rig::new(&three());
    let (_, conn) = late(&mut rig, 1);
    rig.input(Input::EndpointList(list(
        2,
        false,
        &[entry(1, "draining", "leader")],
    )));
    assert!(closed(&rig.pass(251 * MS)).contains(&conn));
}

/// Between the last answers and the end statements still come: from tasks that held them, or from clients that were not told yet.
#[test]
fn what_is_asked_after_the_last_answers_is_refused_and_the_end_comes_with_the_last_client() {
    let (mut rig, client, _) = asked(buy(9000));
    rig.input(Input::Terminate);
    rig.input(Input::ListenerClosed);
    let effects = rig.pass(2 * SECOND + 430 * MS);
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("58000"));
    assert!(
        !effects.contains(&Effect::Exit),
        "what was written leaves first"
    );
    let effects = rig.ask(client, read(900));
    assert_eq!(sqlstate(&answers(&effects)[0]).as_deref(), Some("57P03"));
    assert!(
        statements(&effects).is_empty() && opened(&effects).is_empty(),
        "nothing is sent on"
    );
    assert!(
        effects.contains(&Effect::ClientCloseIfIdle(client)),
        "it is closed between requests, as before"
    );
    let effects = rig.input(Input::ClientClosed(client, CloseReason::Disconnected));
    assert!(effects.contains(&Effect::Exit));
    assert!(!rig.pass(SECOND).contains(&Effect::Exit), "once");
}
