//! The binary on loopback, between small stand-ins of clients, members and the list's agent.

mod fixture;

use fixture::*;
use std::io::Write;
use std::process::Command;
use std::sync::mpsc::channel;
use std::time::Instant;

#[test]
fn requests_go_to_members_and_their_rows_come_back() {
    let Fixture { gateway, seen, .. } = start_fixture("rows");
    let _client = gateway.client();
    // Startup and query in one piece; then two queries at once, answered in order.
    let mut eager = gateway.connect();
    eager.write(&[startup(), insert("k1")]);
    assert_eq!(eager.answer().last().map(|f| f.kind), Some(b'Z'));
    let answer = eager.answer();
    assert_eq!(kinds(&answer), "TDCZ");
    assert_eq!(answer[..3], row(b"k1")[..], "as the member gave it");
    eager.write(&[select("k2"), insert("k3")]);
    assert_eq!(eager.answer()[1], row(b"k2")[1]);
    assert_eq!(eager.answer()[1], row(b"k3")[1]);
    // Split at every byte.
    let mut slow = gateway.connect();
    for byte in [startup().bytes, select("k4").bytes].concat() {
        slow.socket.write_all(&[byte]).expect("written");
    }
    slow.answer();
    assert_eq!(slow.answer()[1], row(b"k4")[1]);
    // What members saw differs from what was asked in `d` alone.
    let texts: Vec<_> = seen.try_iter().collect();
    assert!(texts.len() >= 4);
    for text in texts {
        let (before, rest) = text.split_once(",d=").expect("its time");
        let (wait, after) = rest.split_once(',').expect("more");
        assert!(wait.parse::<u64>().is_ok_and(|ms| ms <= 20_000));
        assert!(
            before.contains("/* id=a") && after == "cluster=2 */",
            "{text}"
        );
    }
}

#[test]
fn bad_bytes_end_their_own_connection_and_no_other() {
    let Fixture { gateway, seen, .. } = start_fixture("bad");
    let mut good = gateway.client();
    let mut bad = gateway.connect();
    bad.socket
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .expect("written");
    let last = std::iter::from_fn(|| bad.next()).last();
    assert_eq!(last.map(|f| f.kind), Some(b'E'), "one word, then the end");
    let mut out_of_place = gateway.client();
    out_of_place.write(&[message(b'?', b"x")]);
    assert_eq!(
        std::iter::from_fn(|| out_of_place.next())
            .last()
            .map(|f| f.kind),
        Some(b'E')
    );
    good.write(&[query("SELECT 1")]);
    assert_eq!(kinds(&good.answer()), "EZ");
    good.write(&[select("k1")]);
    assert_eq!(kinds(&good.answer()), "TDCZ");
    assert_eq!(
        seen.try_iter().count(),
        1,
        "nothing malformed was passed on"
    );
    gateway.signal("USR1");
    let counters = gateway.line("counters taken=2");
    assert!(gateway
        .line("member m1: ")
        .contains(" 0 in flight (0 on connections)"));
    assert!(
        counters.contains(" malformed=1") && counters.contains(" clients_bad=2"),
        "{counters}"
    );
}

#[test]
fn values_of_the_largest_size_pass_both_ways() {
    let Fixture { gateway, seen, .. } = start_fixture("large");
    let mut client = gateway.client();
    // The stand-in answers with the key, so a long key makes a large row.
    let key = "k".repeat(64 << 10);
    client.write(&[select(&key)]);
    assert_eq!(client.answer()[1], row(key.as_bytes())[1]);
    let value = "9f".repeat(64 << 10);
    let text = format!("INSERT INTO state (uid, val) VALUES ('k', '\\x{value}') RETURNING val");
    client.write(&[query(&format!(
        "{text} /* id=a2,c=buy,d=20000,cluster=2 */"
    ))]);
    assert_eq!(kinds(&client.answer()), "TDCZ");
    assert!(seen.try_iter().any(|t| t.starts_with(&text)));
    // Members may hold larger ones than clients write here.
    let mut many: Vec<_> = (0..4).map(|_| gateway.client()).collect();
    many.iter_mut()
        .for_each(|client| client.write(&[select("big-400000")]));
    for client in &mut many {
        assert_eq!(client.answer()[1], row(&vec![b'v'; 400_000])[1]);
    }
    // One byte more than any statement needs ends the connection.
    let mut greedy = gateway.client();
    greedy.write(&[query(&"x".repeat(1 << 20))]);
    // Its error may be lost with what was not read; nothing else comes.
    assert!(std::iter::from_fn(|| greedy.next()).all(|f| f.kind == b'E'));
}

#[test]
fn more_clients_than_places_stay_within_the_descriptors_and_are_served() {
    let Fixture { gateway, .. } = start_fixture("many");
    let mut clients: Vec<_> = (0..200).map(|_| gateway.client()).collect();
    // One that is turned away tries again, and finds the place of one idle longer.
    let served = (0..1000).any(|_| {
        let last = clients.last_mut().expect("a client");
        last.write(&[select("k1")]);
        let answer = last.next().expect("an answer");
        if answer.kind == b'E' {
            assert_eq!(sqlstate(&answer.bytes).as_deref(), Some("53300"));
            clients.push(gateway.client());
        }
        answer.kind == b'T'
    });
    assert!(served);
    assert!(
        clients[0].next().is_none(),
        "the one idle longest made room"
    );
    let held = std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id()))
        .expect("its descriptors")
        .count();
    assert!(held <= 128, "{held} descriptors");
    gateway.signal("USR1");
    let counters = gateway.line("counters ");
    assert!(!counters.contains(" clients_evicted=0 "), "{counters}");
}

#[test]
fn where_all_places_are_busy_a_new_client_is_turned_away_at_once() {
    let Fixture {
        gateway,
        go: _silent,
        ..
    } = start_fixture("busy");
    // 128 descriptors leave 52 places. Statements that no member answers yet hold them all.
    let busy = (0..52).map(|_| {
        let mut client = gateway.client();
        client.write(&[insert("slow")]);
        client
    });
    let _busy: Vec<_> = busy.collect();
    for _ in 0..20 {
        let mut late = gateway.connect();
        late.write(&[startup(), insert("slow")]);
        late.answer();
        let answer = late.next().expect("an answer");
        assert_eq!(sqlstate(&answer.bytes).as_deref(), Some("53300"));
        assert!(late.next().is_none(), "closed after it");
    }
}

#[test]
fn clients_that_do_not_read_hold_nobody_up() {
    let Fixture { gateway, .. } = start_fixture("slow");
    let key = "k".repeat(60 << 10);
    let mut stuck: Vec<_> = (0..20).map(|_| gateway.client()).collect();
    for client in &mut stuck {
        // Each asks many times and reads nothing; what does not fit waits on its side.
        client.socket.set_nonblocking(true).expect("non-blocking");
        for _ in 0..200 {
            if client.socket.write(&select(&key).bytes).is_err() {
                break;
            }
        }
    }
    let mut good = gateway.client();
    for _ in 0..20 {
        good.write(&[select("k1")]);
        assert_eq!(kinds(&good.answer()), "TDCZ");
    }
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).expect("its state");
    let peak = status
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:"))
        .expect("its memory");
    let peak: usize = peak
        .trim()
        .trim_end_matches(" kB")
        .trim()
        .parse()
        .expect("a number");
    assert!(peak < 64 << 10, "{peak} KiB");
}

#[test]
fn sigterm_loses_nothing_that_was_taken() {
    let Fixture {
        mut gateway,
        seen,
        go,
        ..
    } = start_fixture("term");
    let mut busy = gateway.client();
    let mut idle = gateway.client();
    busy.write(&[insert("slow")]);
    assert!(seen
        .recv_timeout(WAIT)
        .expect("the statement")
        .contains("'slow'"));
    gateway.signal("TERM");
    gateway.line("ending, 1 requests in hand");
    // New clients still come, and are served.
    let mut late = gateway.connect();
    late.write(&[startup(), select("k1")]);
    late.answer();
    assert_eq!(kinds(&late.answer()), "TDCZ");
    go[0].send(()).expect("the member waits");
    assert_eq!(kinds(&busy.answer()), "TDCZ");
    // Once none comes any more, those that are there are served on; then they are closed between requests.
    gateway.line("no longer listening, ");
    idle.write(&[select("k2")]);
    assert_eq!(kinds(&idle.answer()), "TDCZ");
    assert!(late.next().is_none() && idle.next().is_none() && busy.next().is_none());
    let line = gateway.line("counters ");
    assert!(
        line.contains(" answered_served=3 answered_refused=0 answered_failed=0"),
        "{line}"
    );
    assert!(gateway.ended().success());
}

#[test]
fn a_bad_configuration_is_one_plain_line() {
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
    let whole = config_text("null");
    for (name, text, says) in [
        ("none", None, "ROUTER_CONFIG is not set"),
        ("json", Some("{".to_owned()), "ROUTER_CONFIG: no JSON"),
        (
            "listen",
            Some(whole.replace("127.0.0.1:0", "here")),
            "listen: 'here' is no address",
        ),
        (
            "limits",
            Some(whole.replace("\"sockets\":128", "\"sockets\":-1")),
            "limits.sockets",
        ),
        (
            "idle",
            Some(whole.replace("\"DialTimeoutNs\"", "\"X\"")),
            "settings: DialTimeoutNs",
        ),
        ("seed", Some(whole.replace("8c1f", "zz")), "seed: 'zz'"),
        (
            "known",
            Some(config_text("{\"revision\":1}")),
            "known: complete",
        ),
    ] {
        let said = run(name, text.as_deref());
        assert_eq!(said.lines().count(), 1, "{name}: {said}");
        assert!(said.contains(says), "{name}: {said}");
    }
}

/// A second copy behind an answer belongs to nobody; the next request is not served with it.
#[test]
fn a_second_copy_behind_an_answer_is_never_the_next_ones_answer() {
    let Fixture { gateway, .. } = start_fixture("copies");
    let mut client = gateway.client();
    for n in 0..40 {
        let key = format!("twice-{n}");
        client.write(&[if n % 2 == 0 {
            select(&key)
        } else {
            insert(&key)
        }]);
        assert_eq!(client.answer()[1], row(key.as_bytes())[1]);
    }
    gateway.signal("USR1");
    let counters = gateway.line("counters ");
    assert!(!counters.contains(" members_unasked=0 "), "{counters}");
}

/// Whatever is spoilt reaches no client: a read is asked for again, a write that may have run fails at once.
#[test]
fn spoilt_answers_reach_no_client_and_no_write_is_sent_twice() {
    let Fixture { gateway, seen, .. } = start_fixture("spoilt");
    let mut client = gateway.client();
    for kind in ["noise", "huge", "short", "tag"] {
        let key = format!("spoilt-{kind}");
        client.write(&[select(&key)]);
        assert_eq!(client.answer()[1], row(key.as_bytes())[1]);
        SPOILT.lock().expect("no panic").remove(&key);
        while seen.try_recv().is_ok() {}
        client.write(&[insert(&key)]);
        let answer = client.answer();
        assert_eq!(kinds(&answer), "EZ");
        assert_eq!(
            sqlstate(&answer[0].bytes).as_deref(),
            Some("58000"),
            "it may have run"
        );
        assert_eq!(seen.try_iter().count(), 1, "sent once");
        client.write(&[insert("fine")]);
        assert_eq!(client.answer()[1], row(b"fine")[1], "its member serves on");
    }
}

/// SIGHUP under load, twice: the list comes from the new address, the old one's versions do not bind, none is lost.
#[test]
fn sighup_moves_to_the_new_list_and_loses_nothing() {
    let Fixture {
        mut gateway,
        seen,
        go,
        entries,
    } = start_fixture("reload");
    let (mut busy, mut client) = (gateway.client(), gateway.client());
    busy.write(&[insert("slow")]);
    assert!(seen
        .recv_timeout(WAIT)
        .expect("the statement")
        .contains("'slow'"));
    // What cannot be used changes nothing: no file, half a file, a wrong field.
    let whole = std::fs::read_to_string(&gateway.config).expect("the file");
    std::fs::remove_file(&gateway.config).expect("gone");
    gateway.signal("HUP");
    gateway.line("the old configuration stays in force: ROUTER_CONFIG");
    for (text, says) in [
        (&whole[..whole.len() / 2], "no JSON"),
        (&whole.replace("8c1f", "zz"), "seed: 'zz'"),
    ] {
        std::fs::write(&gateway.config, text).expect("a file");
        gateway.signal("HUP");
        gateway.line(says);
        client.write(&[select("k1")]);
        assert_eq!(kinds(&client.answer()), "TDCZ");
    }
    // Two new ones: the first knows the primary and one replica, the second, in other versions, the other replica.
    let mut watched = Vec::new();
    for n in [1, 2] {
        let (told, asked) = channel();
        let list = list_text(n as u64, true, &[entries[0].clone(), entries[n].clone()]);
        gateway.write_config(agent_that_tells(list, told));
        gateway.signal("HUP");
        gateway.line("configuration read anew");
        let line = asked.recv_timeout(WAIT).expect("a watch");
        assert!(
            line.contains("watch=1 "),
            "the whole list is asked for: {line}"
        );
        watched.push(asked);
        client.write(&[insert("k2")]);
        assert_eq!(kinds(&client.answer()), "TDCZ");
    }
    // Beside SIGTERM too: what was taken is answered, and it ends in order.
    gateway.signal("HUP");
    gateway.signal("TERM");
    gateway.signal("HUP");
    gateway.line("ending, 1 requests in hand");
    go[0].send(()).expect("the member waits");
    assert_eq!(kinds(&busy.answer()), "TDCZ");
    let line = gateway.line("counters ");
    assert!(
        line.contains(" answered_failed=0 answered_gone=0") && line.contains(" reloads_failed=3"),
        "{line}"
    );
    assert!(gateway.ended().success());
}

/// A client's bytes after its startup, and whether that is done at all.
fn bad_clients() -> Vec<(&'static str, bool, Vec<u8>)> {
    let text = |text: &str| query(text).bytes;
    let spoilt = |comment: &str| {
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
        ("a line without an end", false, vec![b'x'; 100_000]),
        (
            "a startup that is too long",
            false,
            [&70_000u32.to_be_bytes()[..], &[0, 3, 0, 0]].concat(),
        ),
        (
            "a startup without an end",
            false,
            [&12u32.to_be_bytes()[..], &[0, 3, 0, 0], b"user"].concat(),
        ),
        ("half a startup", false, startup().bytes[..9].to_vec()),
        ("nothing", false, Vec::new()),
        ("nothing more", true, Vec::new()),
        ("a type that is none", true, b"\xffabc".to_vec()),
        ("a length of zero", true, with_length(0)),
        ("a negative length", true, with_length(u32::MAX - 3)),
        ("a huge length", true, with_length(60 << 20)),
        ("a length that is too short", true, with_length(9)),
        ("half a statement", true, select("k").bytes[..30].to_vec()),
        (
            "no class like that",
            true,
            spoilt("id=b1,c=strange,d=400,cluster=2"),
        ),
        (
            "a deadline that is no number",
            true,
            spoilt("id=b2,c=look,d=soon,cluster=2"),
        ),
        (
            "a negative deadline",
            true,
            spoilt("id=b3,c=look,d=-4,cluster=2"),
        ),
        ("no id", true, spoilt("c=look,d=400,cluster=2")),
        ("copy data", true, [b'd', 0, 0, 0, 4].repeat(100)),
        (
            "hundreds of commands",
            true,
            spoilt("id=b4,c=strange,d=400,cluster=2").repeat(400),
        ),
    ]
}

#[test]
fn every_bad_client_gets_an_error_or_a_close_in_time_and_usual_ones_are_served() {
    let Fixture { gateway, seen, .. } = start_fixture("rude");
    let mut usual = gateway.client();
    let open = |done: bool, bytes: &[u8]| {
        let mut wire = gateway.connect();
        if done {
            wire.write(&[startup()]);
            wire.answer();
        }
        let _ = wire.socket.write_all(bytes);
        wire
    };
    let all: Vec<_> = bad_clients()
        .into_iter()
        .map(|(name, done, bytes)| (name, open(done, &bytes)))
        .collect();
    for (name, mut wire) in all {
        // All were opened before, so that even the last wait is short; the limit itself is the reducer's to test.
        let first = wire.next();
        assert!(
            first.is_none_or(|f| f.kind == b'E'),
            "{name}: an error or the end"
        );
        usual.write(&[select("k1")]);
        assert_eq!(kinds(&usual.answer()), "TDCZ", "{name}");
    }
    assert!(
        seen.try_iter().all(|text| text.contains("'k1'")),
        "nothing unusable was passed on"
    );
}

/// A close over unread bytes is a reset, which may overtake the error.
#[test]
fn an_error_reaches_a_client_that_is_still_sending() {
    let Fixture { gateway, .. } = start_fixture("sending");
    for _ in 0..20 {
        let mut client = gateway.client();
        let mut out = client.socket.try_clone().expect("its other half");
        let sender = std::thread::spawn(move || {
            let piece = vec![b'7'; 64 << 10];
            let _ = out.write_all(&[&b"Q"[..], &(60u32 << 20).to_be_bytes()].concat());
            (0..8).all(|_| out.write_all(&piece).is_ok())
        });
        assert_eq!(client.next().map(|f| f.kind), Some(b'E'));
        assert!(client.next().is_none(), "and it is over");
        let _ = sender.join().expect("no panic");
    }
}

/// Found with 256 descriptors: hundreds that connect and say nothing must not take the places of those that ask.
#[test]
fn hundreds_of_silent_connections_take_no_place_from_those_that_ask() {
    let Fixture { gateway, .. } = start_fixture("silent");
    let mut usual = gateway.client();
    let mut silent = Vec::new();
    for n in 0..400 {
        silent.push(gateway.connect());
        if n % 40 == 0 {
            usual.write(&[select("k1")]);
            assert_eq!(
                kinds(&usual.answer()),
                "TDCZ",
                "one that has a place keeps it"
            );
            let mut new = gateway.connect();
            new.write(&[startup(), select("k2")]);
            new.answer();
            assert_eq!(kinds(&new.answer()), "TDCZ", "a new one finds a place");
        }
    }
    assert!(
        silent.iter_mut().all(|wire| wire.next().is_none()),
        "each is closed"
    );
    let held = std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id()))
        .expect("its descriptors")
        .count();
    assert!(held <= 128, "{held} descriptors");
}

/// The long day in small: members replaced throughout under new ids, sessions and clients always new, some of them asking
/// once and staying. What is held in the second half is what was held in the first.
#[test]
fn many_generations_of_members_and_clients_leave_descriptors_and_memory_level() {
    let (told, seen) = channel();
    let (tell, news) = channel();
    let mut go = Vec::new();
    let mut new_entry = |n: u32, phase: &str, primary: bool| {
        let (send, receive) = channel();
        go.push(send);
        let port = member(primary, told.clone(), receive);
        let role = if primary { "leader" } else { "follower" };
        entry(n, phase, role).replace(&format!(":{}\"", 7000 + n), &format!(":{port}\""))
    };
    let (primary, mut old) = (new_entry(1, "ready", true), new_entry(2, "ready", false));
    let gateway = Gateway::start(
        "long",
        agent_with_news(list_text(1, true, &[primary, old.clone()]), news),
    );
    let of = |what: &str| format!("/proc/{}/{what}", gateway.child.id());
    let descriptors = || {
        std::fs::read_dir(of("fd"))
            .expect("its descriptors")
            .count()
    };
    let memory = || {
        let status = std::fs::read_to_string(of("status")).expect("its state");
        let kib = status
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:"))
            .expect("its memory");
        kib.trim()
            .trim_end_matches(" kB")
            .trim()
            .parse::<usize>()
            .expect("a number")
    };
    // What a gateway holds that has served one; members in use may add a few connections each, and no more.
    drop(gateway.client());
    let most = descriptors() + 12;
    let settled = |stay: &mut Vec<Wire>, when: &str| {
        stay.clear();
        let (mut client, begun) = (gateway.client(), Instant::now());
        while descriptors() > most {
            assert!(
                begun.elapsed() < WAIT,
                "{when}: {} descriptors, {most} at most",
                descriptors()
            );
            client.write(&[query("")]);
            assert_eq!(kinds(&client.answer()), "IZ");
        }
        memory()
    };
    let (mut stay, mut half) = (Vec::new(), 0);
    for n in 0..60u32 {
        let next = new_entry(3 + n, "ready", false);
        let gone = old.replace("\"ready\"", "\"gone\"");
        tell.send(list_text(u64::from(n) + 2, false, &[next.clone(), gone]))
            .expect("the watch");
        old = next;
        for k in 0..8 {
            let mut client = gateway.client();
            client.write(&[select(&format!("s{n}-{k}"))]);
            let answer = client.next().expect("an answer");
            // Where all places are busy one is told so; nobody waits here for long.
            assert!(answer.kind == b'T' || sqlstate(&answer.bytes).as_deref() == Some("53300"));
            if k % 2 == 0 {
                stay.push(client);
            }
        }
        while seen.try_recv().is_ok() {}
        assert!(descriptors() <= 128);
        if n == 29 {
            half = settled(&mut stay, "half");
        }
    }
    let end = settled(&mut stay, "end");
    assert!(end <= half + 2048, "KiB {half} and {end}");
    gateway.signal("USR1");
    let counters = gateway.line("counters ");
    assert!(counters.contains(" lists=61 "), "{counters}");
}
