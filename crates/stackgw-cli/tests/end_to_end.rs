//! The gateway binary on loopback, between clients, members and a list service that each test controls.

mod common;

use common::gateway_common::{
    config_text, entry, list_text, message, query, row, sqlstate, startup,
};
use common::gateway_process::{start_fixture, GatewayFixture, GatewayProcess};
use common::pg_connection::{frame_kinds, insert, select, PgConnection, TIMEOUT};
use common::scripted_list_service::{start_recording_list_service, start_updating_list_service};
use common::scripted_member::{start_member, CORRUPTED_KEYS};
use std::io::Write;
use std::process::Command;
use std::sync::mpsc::channel;
use std::time::Instant;

#[test]
fn requests_are_forwarded_to_members_and_their_rows_returned() {
    let GatewayFixture {
        gateway,
        statements,
        ..
    } = start_fixture("rows");
    let _client = gateway.ready_client();
    // Sends startup and query in one write, then two queries at once, which are answered in order.
    let mut eager = gateway.connect();
    eager.write(&[startup(), insert("k1")]);
    assert_eq!(eager.read_reply().last().map(|f| f.kind), Some(b'Z'));
    let answer = eager.read_reply();
    assert_eq!(frame_kinds(&answer), "TDCZ");
    assert_eq!(answer[..3], row(b"k1")[..], "the row as the member sent it");
    eager.write(&[select("k2"), insert("k3")]);
    assert_eq!(eager.read_reply()[1], row(b"k2")[1]);
    assert_eq!(eager.read_reply()[1], row(b"k3")[1]);
    // Sends each byte in a write of its own.
    let mut slow = gateway.connect();
    for byte in [startup().bytes, select("k4").bytes].concat() {
        slow.socket.write_all(&[byte]).expect("written");
    }
    slow.read_reply();
    assert_eq!(slow.read_reply()[1], row(b"k4")[1]);
    // The statements that members receive differ from those of the clients only in the deadline `d`.
    let texts: Vec<_> = statements.try_iter().collect();
    assert!(texts.len() >= 4);
    for text in texts {
        let (before, rest) = text.split_once(",d=").expect("a deadline");
        let (wait, after) = rest.split_once(',').expect("further fields");
        assert!(wait.parse::<u64>().is_ok_and(|ms| ms <= 20_000));
        assert!(
            before.contains("/* id=a") && after == "cluster=2 */",
            "{text}"
        );
    }
}

#[test]
fn malformed_bytes_end_their_own_connection_and_no_other() {
    let GatewayFixture {
        gateway,
        statements,
        ..
    } = start_fixture("bad");
    let mut good = gateway.ready_client();
    let mut bad = gateway.connect();
    bad.socket
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .expect("written");
    let last = std::iter::from_fn(|| bad.next()).last();
    assert_eq!(
        last.map(|f| f.kind),
        Some(b'E'),
        "the last message before the close is an error"
    );
    let mut out_of_place = gateway.ready_client();
    out_of_place.write(&[message(b'?', b"x")]);
    assert_eq!(
        std::iter::from_fn(|| out_of_place.next())
            .last()
            .map(|f| f.kind),
        Some(b'E')
    );
    good.write(&[query("SELECT 1")]);
    assert_eq!(frame_kinds(&good.read_reply()), "EZ");
    good.write(&[select("k1")]);
    assert_eq!(frame_kinds(&good.read_reply()), "TDCZ");
    assert_eq!(
        statements.try_iter().count(),
        1,
        "malformed bytes are not forwarded"
    );
    gateway.signal("USR1");
    let counters = gateway.wait_for_line("counters taken=2");
    assert!(gateway
        .wait_for_line("member m1: ")
        .contains(" 0 in flight (0 on connections)"));
    assert!(
        counters.contains(" malformed=1") && counters.contains(" clients_bad=2"),
        "{counters}"
    );
}

#[test]
fn values_of_the_largest_size_pass_both_ways() {
    let GatewayFixture {
        gateway,
        statements,
        ..
    } = start_fixture("large");
    let mut client = gateway.ready_client();
    // The member answers with the key, so a long key results in a large row.
    let key = "k".repeat(64 << 10);
    client.write(&[select(&key)]);
    assert_eq!(client.read_reply()[1], row(key.as_bytes())[1]);
    let value = "9f".repeat(64 << 10);
    let text = format!("INSERT INTO state (uid, val) VALUES ('k', '\\x{value}') RETURNING val");
    client.write(&[query(&format!(
        "{text} /* id=a2,c=buy,d=20000,cluster=2 */"
    ))]);
    assert_eq!(frame_kinds(&client.read_reply()), "TDCZ");
    assert!(statements.try_iter().any(|t| t.starts_with(&text)));
    // Members may hold larger values than clients may write through the gateway.
    let mut many: Vec<_> = (0..4).map(|_| gateway.ready_client()).collect();
    many.iter_mut()
        .for_each(|client| client.write(&[select("big-400000")]));
    for client in &mut many {
        assert_eq!(client.read_reply()[1], row(&vec![b'v'; 400_000])[1]);
    }
    // A message that is longer than any statement needs, even by one byte, ends the connection.
    let mut greedy = gateway.ready_client();
    greedy.write(&[query(&"x".repeat(1 << 20))]);
    // The error may be lost when the connection is closed with unread bytes; nothing else is received.
    assert!(std::iter::from_fn(|| greedy.next()).all(|f| f.kind == b'E'));
}

#[test]
fn clients_beyond_capacity_are_served_within_the_descriptor_limit() {
    let GatewayFixture { gateway, .. } = start_fixture("many");
    let mut clients: Vec<_> = (0..200).map(|_| gateway.ready_client()).collect();
    // A rejected client retries and displaces a client that has been idle for longer.
    let served = (0..1000).any(|_| {
        let last = clients.last_mut().expect("a client");
        last.write(&[select("k1")]);
        let answer = last.next().expect("an answer");
        if answer.kind == b'E' {
            assert_eq!(sqlstate(&answer.bytes).as_deref(), Some("53300"));
            clients.push(gateway.ready_client());
        }
        answer.kind == b'T'
    });
    assert!(served, "the last client is served after retries");
    assert!(
        clients[0].next().is_none(),
        "the client that was idle longest is evicted"
    );
    let descriptors = gateway.descriptors();
    assert!(descriptors <= 128, "{descriptors} descriptors are open");
    gateway.signal("USR1");
    let counters = gateway.wait_for_line("counters ");
    assert!(!counters.contains(" clients_evicted=0 "), "{counters}");
}

#[test]
fn a_new_client_is_rejected_at_once_when_all_clients_are_busy() {
    let GatewayFixture {
        gateway,
        release: _unreleased,
        ..
    } = start_fixture("busy");
    // 128 descriptors leave room for 52 clients. All of them have statements that no member answers yet.
    let busy = (0..52).map(|_| {
        let mut client = gateway.ready_client();
        client.write(&[insert("slow")]);
        client
    });
    let _busy: Vec<_> = busy.collect();
    for _ in 0..20 {
        let mut late = gateway.connect();
        late.write(&[startup(), insert("slow")]);
        late.read_reply();
        let answer = late.next().expect("an answer");
        assert_eq!(sqlstate(&answer.bytes).as_deref(), Some("53300"));
        assert!(
            late.next().is_none(),
            "the connection is closed after the error"
        );
    }
}

#[test]
fn clients_that_do_not_read_do_not_delay_others() {
    let GatewayFixture { gateway, .. } = start_fixture("slow");
    let key = "k".repeat(60 << 10);
    let mut stuck: Vec<_> = (0..20).map(|_| gateway.ready_client()).collect();
    for client in &mut stuck {
        // Each client sends many requests and reads nothing; what the socket does not accept stays unsent.
        client.socket.set_nonblocking(true).expect("non-blocking");
        for _ in 0..200 {
            if client.socket.write(&select(&key).bytes).is_err() {
                break;
            }
        }
    }
    let mut good = gateway.ready_client();
    for _ in 0..20 {
        good.write(&[select("k1")]);
        assert_eq!(frame_kinds(&good.read_reply()), "TDCZ");
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id()))
        .expect("the process status");
    let peak = status
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:"))
        .expect("the memory field");
    let peak: usize = peak
        .trim()
        .trim_end_matches(" kB")
        .trim()
        .parse()
        .expect("a number");
    assert!(peak < 64 << 10, "peak memory {peak} KiB");
}

#[test]
fn accepted_requests_are_answered_after_sigterm() {
    let GatewayFixture {
        mut gateway,
        statements,
        release,
        ..
    } = start_fixture("term");
    let mut busy = gateway.ready_client();
    let mut idle = gateway.ready_client();
    busy.write(&[insert("slow")]);
    assert!(statements
        .recv_timeout(TIMEOUT)
        .expect("the statement")
        .contains("'slow'"));
    gateway.signal("TERM");
    gateway.wait_for_line("shutting down, 1 requests open");
    // New clients are still accepted and served.
    let mut late = gateway.connect();
    late.write(&[startup(), select("k1")]);
    late.read_reply();
    assert_eq!(frame_kinds(&late.read_reply()), "TDCZ");
    release[0].send(()).expect("the member waits");
    assert_eq!(frame_kinds(&busy.read_reply()), "TDCZ");
    // Once the gateway stops listening, connected clients are still served; then they are closed between requests.
    gateway.wait_for_line("no longer listening, ");
    idle.write(&[select("k2")]);
    assert_eq!(frame_kinds(&idle.read_reply()), "TDCZ");
    assert!(late.next().is_none() && idle.next().is_none() && busy.next().is_none());
    let line = gateway.wait_for_line("counters ");
    assert!(
        line.contains(" answered_served=3 answered_rejected=0 answered_failed=0"),
        "{line}"
    );
    assert!(gateway.wait_for_exit().success());
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    let run = |name: &str, text: Option<&str>| {
        let path = std::env::temp_dir().join(format!("stackgw-{}-{name}.json", std::process::id()));
        let mut command = Command::new(env!("CARGO_BIN_EXE_stackgw"));
        command.env_remove("ROUTER_CONFIG");
        if let Some(text) = text {
            std::fs::write(&path, text).expect("a file");
            command.env("ROUTER_CONFIG", &path);
        }
        let output = command.output().expect("the gateway");
        let _ = std::fs::remove_file(path);
        assert!(!output.status.success());
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    let complete = config_text("null");
    for (name, text, expected) in [
        ("none", None, "ROUTER_CONFIG is not set"),
        (
            "json",
            Some("{".to_owned()),
            "ROUTER_CONFIG: not valid JSON",
        ),
        (
            "listen",
            Some(complete.replace("127.0.0.1:0", "here")),
            "listen: 'here' is not an address",
        ),
        (
            "limits",
            Some(complete.replace("\"sockets\":128", "\"sockets\":-1")),
            "limits.sockets",
        ),
        (
            "idle",
            Some(complete.replace("\"DialTimeoutNs\"", "\"X\"")),
            "settings: DialTimeoutNs",
        ),
        ("seed", Some(complete.replace("8c1f", "zz")), "seed: 'zz'"),
        (
            "known",
            Some(config_text("{\"revision\":1}")),
            "known: complete",
        ),
    ] {
        let stderr = run(name, text.as_deref());
        assert_eq!(stderr.lines().count(), 1, "{name}: {stderr}");
        assert!(stderr.contains(expected), "{name}: {stderr}");
    }
}

/// A member that sends an answer twice: the second copy must not be the answer to the next request.
#[test]
fn a_duplicate_reply_is_never_the_next_requests_answer() {
    let GatewayFixture { gateway, .. } = start_fixture("copies");
    let mut client = gateway.ready_client();
    for n in 0..40 {
        let key = format!("twice-{n}");
        client.write(&[if n % 2 == 0 {
            select(&key)
        } else {
            insert(&key)
        }]);
        assert_eq!(client.read_reply()[1], row(key.as_bytes())[1]);
    }
    gateway.signal("USR1");
    let counters = gateway.wait_for_line("counters ");
    // Without this, the next check would also pass if the counter were renamed.
    assert!(counters.contains(" members_unexpected_data="), "{counters}");
    assert!(
        !counters.contains(" members_unexpected_data=0 "),
        "{counters}"
    );
}

/// A malformed response never reaches a client: a read is retried, a write that may have been executed fails at once.
#[test]
fn malformed_responses_reach_no_client_and_no_write_is_sent_twice() {
    let GatewayFixture {
        gateway,
        statements,
        ..
    } = start_fixture("corrupt");
    let mut client = gateway.ready_client();
    for kind in ["noise", "huge", "short", "tag"] {
        let key = format!("corrupt-{kind}");
        client.write(&[select(&key)]);
        assert_eq!(client.read_reply()[1], row(key.as_bytes())[1]);
        CORRUPTED_KEYS.lock().expect("no panic").remove(&key);
        while statements.try_recv().is_ok() {}
        client.write(&[insert(&key)]);
        let answer = client.read_reply();
        assert_eq!(frame_kinds(&answer), "EZ");
        assert_eq!(
            sqlstate(&answer[0].bytes).as_deref(),
            Some("58000"),
            "a write with a malformed response may have run"
        );
        assert_eq!(
            statements.try_iter().count(),
            1,
            "the write is sent to a member once"
        );
        client.write(&[insert("fine")]);
        assert_eq!(
            client.read_reply()[1],
            row(b"fine")[1],
            "the member still serves requests"
        );
    }
}

/// Reloads the configuration by SIGHUP, twice, with a request in flight: the list is read from the new address, the revisions of
/// the old service don't apply, and no request is lost.
#[test]
fn sighup_moves_to_the_new_list_service_and_loses_no_request() {
    let GatewayFixture {
        mut gateway,
        statements,
        release,
        entries,
    } = start_fixture("reload");
    let (mut busy, mut client) = (gateway.ready_client(), gateway.ready_client());
    busy.write(&[insert("slow")]);
    assert!(statements
        .recv_timeout(TIMEOUT)
        .expect("the statement")
        .contains("'slow'"));
    // An invalid configuration changes nothing: a missing file, a truncated file, an invalid field.
    let complete = std::fs::read_to_string(&gateway.config).expect("the file");
    std::fs::remove_file(&gateway.config).expect("removed");
    gateway.signal("HUP");
    gateway.wait_for_line("the old configuration stays in force: ROUTER_CONFIG");
    for (text, expected) in [
        (&complete[..complete.len() / 2], "not valid JSON"),
        (&complete.replace("8c1f", "zz"), "seed: 'zz'"),
    ] {
        std::fs::write(&gateway.config, text).expect("a file");
        gateway.signal("HUP");
        gateway.wait_for_line(expected);
        client.write(&[select("k1")]);
        assert_eq!(frame_kinds(&client.read_reply()), "TDCZ");
    }
    // Two new list services, with revisions 1 and 2: each lists the primary, the first one replica, the second the other one.
    let mut watched = Vec::new();
    for n in [1, 2] {
        let (sender, requests) = channel();
        let list = list_text(n as u64, true, &[entries[0].clone(), entries[n].clone()]);
        gateway.write_config(start_recording_list_service(list, sender));
        gateway.signal("HUP");
        gateway.wait_for_line("configuration reloaded");
        let line = requests.recv_timeout(TIMEOUT).expect("a watch");
        assert!(
            line.contains("watch=1 "),
            "the complete list is requested: {line}"
        );
        watched.push(requests);
        client.write(&[insert("k2")]);
        assert_eq!(frame_kinds(&client.read_reply()), "TDCZ");
    }
    // A SIGHUP before and after a SIGTERM changes nothing: accepted requests are answered, and the shutdown is orderly.
    gateway.signal("HUP");
    gateway.signal("TERM");
    gateway.signal("HUP");
    gateway.wait_for_line("shutting down, 1 requests open");
    release[0].send(()).expect("the member waits");
    assert_eq!(frame_kinds(&busy.read_reply()), "TDCZ");
    let line = gateway.wait_for_line("counters ");
    assert!(
        line.contains(" answered_failed=0 abandoned=0") && line.contains(" reloads_failed=3"),
        "{line}"
    );
    assert!(gateway.wait_for_exit().success());
}

/// Names of malformed clients, whether each completes its startup first, and the bytes that it then sends.
fn malformed_clients() -> Vec<(&'static str, bool, Vec<u8>)> {
    let text = |text: &str| query(text).bytes;
    let with_comment = |comment: &str| {
        text(&format!(
            "SELECT val FROM state WHERE uid = 'k' /* {comment} */"
        ))
    };
    let with_length = |length: u32| [&b"Q"[..], &length.to_be_bytes(), b"SELECT"].concat();
    vec![
        (
            "noise",
            false,
            (0..4000u32).map(|n| (n * 31 + 7) as u8).collect(),
        ),
        ("a line without a line break", false, vec![b'x'; 100_000]),
        (
            "a startup that is too long",
            false,
            [&70_000u32.to_be_bytes()[..], &[0, 3, 0, 0]].concat(),
        ),
        (
            "a startup without a terminator",
            false,
            [&12u32.to_be_bytes()[..], &[0, 3, 0, 0], b"user"].concat(),
        ),
        ("half a startup", false, startup().bytes[..9].to_vec()),
        ("nothing", false, Vec::new()),
        ("nothing more", true, Vec::new()),
        ("an unknown message type", true, b"\xffabc".to_vec()),
        ("a length of zero", true, with_length(0)),
        ("a negative length", true, with_length(u32::MAX - 3)),
        ("a huge length", true, with_length(60 << 20)),
        ("a length that is too short", true, with_length(9)),
        ("half a statement", true, select("k").bytes[..30].to_vec()),
        (
            "an unknown class",
            true,
            with_comment("id=b1,c=strange,d=400,cluster=2"),
        ),
        (
            "a deadline that is not a number",
            true,
            with_comment("id=b2,c=look,d=soon,cluster=2"),
        ),
        (
            "a negative deadline",
            true,
            with_comment("id=b3,c=look,d=-4,cluster=2"),
        ),
        ("no id", true, with_comment("c=look,d=400,cluster=2")),
        ("copy data", true, [b'd', 0, 0, 0, 4].repeat(100)),
        (
            "hundreds of commands",
            true,
            with_comment("id=b4,c=strange,d=400,cluster=2").repeat(400),
        ),
    ]
}

#[test]
fn malformed_clients_get_an_error_or_a_close_while_others_are_served() {
    let GatewayFixture {
        gateway,
        statements,
        ..
    } = start_fixture("rude");
    let mut usual = gateway.ready_client();
    let open = |has_startup: bool, bytes: &[u8]| {
        let mut connection = gateway.connect();
        if has_startup {
            connection.write(&[startup()]);
            connection.read_reply();
        }
        let _ = connection.socket.write_all(bytes);
        connection
    };
    let all: Vec<_> = malformed_clients()
        .into_iter()
        .map(|(name, has_startup, bytes)| (name, open(has_startup, &bytes)))
        .collect();
    for (name, mut connection) in all {
        // All connections were opened before, so that their time limits run in parallel. The reducer's tests check the limits.
        let first = connection.next();
        assert!(
            first.is_none_or(|f| f.kind == b'E'),
            "{name}: an error or a close"
        );
        usual.write(&[select("k1")]);
        assert_eq!(frame_kinds(&usual.read_reply()), "TDCZ", "{name}");
    }
    assert!(
        statements.try_iter().all(|text| text.contains("'k1'")),
        "malformed statements are not forwarded"
    );
}

/// Closing a socket with unread bytes resets the connection, and the client may never see the error that was sent before.
#[test]
fn an_error_reaches_a_client_that_is_still_sending() {
    let GatewayFixture { gateway, .. } = start_fixture("sending");
    for _ in 0..20 {
        let mut client = gateway.ready_client();
        let mut out = client.socket.try_clone().expect("a clone of the socket");
        let sender = std::thread::spawn(move || {
            let piece = vec![b'7'; 64 << 10];
            let _ = out.write_all(&[&b"Q"[..], &(60u32 << 20).to_be_bytes()].concat());
            (0..8).all(|_| out.write_all(&piece).is_ok())
        });
        assert_eq!(client.next().map(|f| f.kind), Some(b'E'));
        assert!(
            client.next().is_none(),
            "the connection is closed after the error"
        );
        let _ = sender.join().expect("no panic");
    }
}

/// Regression: hundreds of connections that send no request displaced clients that do. The failure was found with 256
/// descriptors; this gateway has 128.
#[test]
fn idle_connections_without_request_do_not_displace_active_clients() {
    let GatewayFixture { gateway, .. } = start_fixture("silent");
    let mut usual = gateway.ready_client();
    let mut silent = Vec::new();
    for n in 0..400 {
        silent.push(gateway.connect());
        if n % 40 == 0 {
            usual.write(&[select("k1")]);
            assert_eq!(
                frame_kinds(&usual.read_reply()),
                "TDCZ",
                "a connected client is not displaced"
            );
            let mut new = gateway.connect();
            new.write(&[startup(), select("k2")]);
            new.read_reply();
            assert_eq!(
                frame_kinds(&new.read_reply()),
                "TDCZ",
                "a new client is accepted"
            );
        }
    }
    assert!(
        silent
            .iter_mut()
            .all(|connection| connection.next().is_none()),
        "each idle connection is closed"
    );
    let descriptors = gateway.descriptors();
    assert!(descriptors <= 128, "{descriptors} descriptors are open");
}

/// A short version of a long operation: members are continuously replaced under new ids, sessions and clients are always new, and
/// some clients send one request and stay connected. Descriptors and memory must not grow in the second half.
#[test]
fn descriptors_and_memory_stay_level_over_many_generations_of_members_and_clients() {
    let (sender, statements) = channel();
    let (list_updates, updates) = channel();
    let mut release = Vec::new();
    let mut new_entry = |n: u32, phase: &str, primary: bool| {
        let (send, receive) = channel();
        release.push(send);
        let port = start_member(primary, sender.clone(), receive);
        let role = if primary { "leader" } else { "follower" };
        entry(n, phase, role).replace(&format!(":{}\"", 7000 + n), &format!(":{port}\""))
    };
    let (primary, mut old) = (new_entry(1, "ready", true), new_entry(2, "ready", false));
    let gateway = GatewayProcess::start(
        "long",
        start_updating_list_service(list_text(1, true, &[primary, old.clone()]), updates),
    );
    // The descriptors of a gateway that has served one client, plus a few connections for each member in use.
    drop(gateway.ready_client());
    let max_descriptors = gateway.descriptors() + 12;
    let settled_memory_kib = |connected: &mut Vec<PgConnection>, when: &str| {
        connected.clear();
        let (mut client, begun) = (gateway.ready_client(), Instant::now());
        while gateway.descriptors() > max_descriptors {
            assert!(
                begun.elapsed() < TIMEOUT,
                "{when}: {} descriptors, {max_descriptors} at most",
                gateway.descriptors()
            );
            client.write(&[query("")]);
            assert_eq!(frame_kinds(&client.read_reply()), "IZ");
        }
        gateway.resident_kib()
    };
    let (mut connected, mut half_kib) = (Vec::new(), 0);
    for n in 0..60u32 {
        let next = new_entry(3 + n, "ready", false);
        let gone = old.replace("\"ready\"", "\"gone\"");
        list_updates
            .send(list_text(u64::from(n) + 2, false, &[next.clone(), gone]))
            .expect("the watch");
        old = next;
        for k in 0..8 {
            let mut client = gateway.ready_client();
            client.write(&[select(&format!("s{n}-{k}"))]);
            let answer = client.next().expect("an answer");
            // If all clients are busy, a new one is rejected; no client waits long for its answer.
            assert!(answer.kind == b'T' || sqlstate(&answer.bytes).as_deref() == Some("53300"));
            if k % 2 == 0 {
                connected.push(client);
            }
        }
        while statements.try_recv().is_ok() {}
        assert!(gateway.descriptors() <= 128);
        if n == 29 {
            half_kib = settled_memory_kib(&mut connected, "after half of the generations");
        }
    }
    let end_kib = settled_memory_kib(&mut connected, "after all generations");
    let growth = format!("resident memory grew from {half_kib} to {end_kib} KiB");
    assert!(end_kib <= half_kib + 2048, "{growth}");
    gateway.signal("USR1");
    let counters = gateway.wait_for_line("counters ");
    assert!(counters.contains(" lists=61 "), "{counters}");
}
