//! Discovery that fails in every way in which it can, and comes back at the worst moment; clients that fill the gateway up
//! meanwhile. Sockets.

mod common;

use common::gateway_common::{entry, list_text, query, sqlstate, startup};
use common::gateway_process::GatewayProcess;
use common::pg_connection::{frame_kinds, insert, PgConnection, TIMEOUT};
use common::scripted_member::start_member;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::time::{Duration, Instant};

/// What an agent does with a connection once it has failed.
#[derive(Debug, Clone, Copy)]
enum Fails {
    /// It never comes up: the line before the listener is full.
    Swallows,
    /// It ends at once, or is told to come back far later.
    Closes,
    PutsOff,
    /// It stands still before the head, in the head, in a chunk's size, in a chunk, in a line.
    Silent,
    InHead,
    InSize,
    InChunk,
    InLine,
    /// It goes on with bytes that are no list and no line.
    Dribbles,
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// An agent that tells its list once and ends that watch, fails `fails` times more, tells of it the moment it can be reached
/// again, and has then the second list.
fn failing(how: Fails, fails: usize, lists: [String; 2], back: Sender<Instant>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let next = || listener.accept().expect("a watch").0;
        let mut first = next();
        let _ = first.write_all(format!("{HEAD}{}", chunk(&format!("{}\n", lists[0]))).as_bytes());
        let mut open = Vec::new();
        if let Fails::Swallows = how {
            drop(first);
            // Nothing is accepted any more: some stand in line, the others never come up.
            rustix::net::listen(&listener, 0).expect("a short line");
            let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
            let line: Vec<_> = std::iter::from_fn(fill).collect();
            // The gateway's dials meet the full line for longer than one of them lasts.
            std::thread::sleep(Duration::from_millis(1500));
            drop(line);
            back.send(Instant::now()).expect("the test");
            rustix::net::listen(&listener, 128).expect("a line");
        } else {
            drop(first);
            for _ in 0..fails {
                let mut socket = next();
                let said = match how {
                    Fails::Silent | Fails::Closes | Fails::Swallows => String::new(),
                    Fails::PutsOff => {
                        "HTTP/1.1 503 Busy\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n"
                            .to_owned()
                    }
                    Fails::InHead => HEAD[..30].to_owned(),
                    Fails::InSize => format!("{HEAD}1f"),
                    Fails::InChunk => format!("{HEAD}400\r\n{{\"revision\":"),
                    Fails::InLine => format!("{HEAD}{}", chunk("{\"revision\":2,\"complete\":")),
                    Fails::Dribbles => HEAD.to_owned(),
                };
                let _ = socket.write_all(said.as_bytes());
                match how {
                    Fails::Closes | Fails::PutsOff => drop(socket),
                    Fails::Dribbles => {
                        let mut drips = socket.try_clone().expect("its other half");
                        open.push(socket);
                        std::thread::spawn(move || {
                            while drips.write_all(chunk(" ").as_bytes()).is_ok() {
                                std::thread::sleep(Duration::from_millis(100));
                            }
                        });
                    }
                    _ => open.push(socket),
                }
            }
            // The worst moment: it has just taken a watch and failed it, and serves whoever comes next.
            back.send(Instant::now()).expect("the test");
        }
        loop {
            let mut socket = next();
            let list = chunk(&format!("{}\n", lists[1]));
            let _ = socket.write_all(format!("{HEAD}{list}").as_bytes());
            open.push(socket);
        }
    });
    address
}

/// A change counts as told six seconds after discovery had it and could be reached: by then a member that drains gets nothing new.
#[test]
fn a_drain_takes_effect_within_six_seconds_however_discovery_failed() {
    let all = [
        (Fails::Swallows, 0),
        (Fails::Closes, 6),
        (Fails::PutsOff, 6),
        (Fails::Silent, 1),
        (Fails::InHead, 1),
        (Fails::InSize, 1),
        (Fails::InChunk, 1),
        (Fails::InLine, 1),
        (Fails::Dribbles, 1),
    ];
    let cases: Vec<_> = all
        .into_iter()
        .map(|(how, fails)| {
            std::thread::spawn(move || {
                let (told, statements) = channel();
                let (_go, held) = channel();
                let port = start_member(true, told, held);
                let at =
                    |phase| entry(1, phase, "leader").replace(":7001\"", &format!(":{port}\""));
                let lists = [
                    list_text(1, true, &[at("ready")]),
                    list_text(2, true, &[at("draining")]),
                ];
                let (back, is_back) = channel();
                let agent = failing(how, fails, lists, back);
                let gateway = GatewayProcess::start(&format!("discovery-{how:?}"), agent);
                let mut client = gateway.ready_client();
                client.write(&[insert("k1")]);
                assert_eq!(frame_kinds(&client.read_reply()), "TDCZ", "{how:?}");
                let back = is_back.recv_timeout(TIMEOUT).expect("its return");
                // The counters say when the second list has come.
                gateway.wait_for_counter("lists", |n| n == 2);
                (how, back.elapsed(), statements.try_iter().count())
            })
        })
        .collect();
    for case in cases {
        let (how, after, sent) = case.join().expect("told");
        eprintln!("{how:?}: told {} ms after the return", after.as_millis());
        assert!(
            after < Duration::from_millis(6000),
            "{how:?}: {} ms",
            after.as_millis()
        );
        assert_eq!(sent, 1);
    }
}

/// Connects hundreds of clients that ask whether the gateway is ready. Those with a place hear nothing until there is a list; the
/// others are rejected at once. Gives the former, and the number of the latter.
fn fill_with_waiting_clients(
    gateway: &GatewayProcess,
    places: usize,
) -> (Vec<PgConnection>, usize) {
    let mut waiting = Vec::new();
    let mut rejected = 0;
    for n in 0..400 {
        let mut client = gateway.connect();
        client.write(&[startup(), query("")]);
        let last = client.read_reply().last().map(|f| f.kind);
        assert_eq!(last, Some(b'Z'), "each is let in");
        if waiting.len() < places {
            waiting.push(client);
            continue;
        }
        let error = client.next().and_then(|f| sqlstate(&f.bytes));
        assert_eq!(error.as_deref(), Some("53300"), "client {n}");
        assert!(client.next().is_none(), "and it is over");
        rejected += 1;
    }
    (waiting, rejected)
}

/// Hundreds of clients that connect, ask whether the gateway is ready, and stay, while discovery is down: the watch, the members and
/// a refusal for whoever comes then still find descriptors.
#[test]
fn clients_that_wait_for_discovery_leave_descriptors_for_it_for_members_and_for_rejections() {
    let (sender, _statements) = channel();
    let (_release, released) = channel();
    let port = start_member(true, sender, released);
    let listed = entry(1, "ready", "leader").replace(":7001\"", &format!(":{port}\""));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    // 54% of the 96 descriptors that are not the gateway's own.
    let places = 52;
    let gateway = GatewayProcess::start("full", listener.local_addr().expect("an address"));
    let (mut waiting, rejected) = fill_with_waiting_clients(&gateway, places);
    assert!(rejected > 300);
    let mut late = gateway.connect();
    late.write(&[startup(), insert("k1")]);
    late.read_reply();
    assert_eq!(
        late.next().and_then(|f| sqlstate(&f.bytes)).as_deref(),
        Some("53300")
    );
    let held = gateway.descriptors();
    assert!(held <= 128, "{held} descriptors");
    // Discovery is back.
    let mut watch = listener.accept().expect("the watch").0;
    let list = chunk(&format!("{}\n", list_text(1, true, &[listed])));
    watch
        .write_all(format!("{HEAD}{list}").as_bytes())
        .expect("written");
    for connection in &mut waiting {
        assert_eq!(
            frame_kinds(&connection.read_reply()),
            "IZ",
            "whoever waited is told"
        );
    }
    waiting[0].write(&[insert("k1")]);
    assert_eq!(
        frame_kinds(&waiting[0].read_reply()),
        "TDCZ",
        "members are reached with all places taken"
    );
    drop(waiting);
    let mut client = gateway.ready_client();
    client.write(&[insert("k2")]);
    assert_eq!(
        frame_kinds(&client.read_reply()),
        "TDCZ",
        "members are reached"
    );
}
