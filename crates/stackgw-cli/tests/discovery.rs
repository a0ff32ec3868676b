//! Discovery that fails in every way in which it can, and comes back at the worst moment; clients that fill the gateway up
//! meanwhile. Sockets.

mod common;

use common::gateway_common::{entry, list_text, query, sqlstate, startup};
use common::gateway_process::GatewayProcess;
use common::pg_connection::{frame_kinds, insert, PgConnection, TIMEOUT};
use common::scripted_member::start_member;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::time::{Duration, Instant};

/// How the list service fails.
#[derive(Debug, Clone, Copy)]
enum Failure {
    /// It accepts no connection: the listener's backlog is full.
    NeverAccepts,
    /// It closes each connection at once.
    Closes,
    /// It answers 503 with a Retry-After far in the future.
    RetryLater,
    /// It accepts, and sends nothing.
    Silent,
    /// It stops within the head ...
    StopsInHead,
    /// ... within a chunk's size ...
    StopsInSize,
    /// ... within a chunk ...
    StopsInChunk,
    /// ... within a line.
    StopsInLine,
    /// It goes on with bytes that are no list and no line.
    SendsNoLine,
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

impl Failure {
    /// What the service sends on a connection that it has accepted, before it fails it.
    fn text(self) -> String {
        match self {
            Failure::Silent | Failure::Closes | Failure::NeverAccepts => String::new(),
            Failure::RetryLater => {
                "HTTP/1.1 503 Busy\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
            Failure::StopsInHead => HEAD[..30].to_owned(),
            Failure::StopsInSize => format!("{HEAD}1f"),
            Failure::StopsInChunk => format!("{HEAD}400\r\n{{\"revision\":"),
            Failure::StopsInLine => {
                format!("{HEAD}{}", chunk("{\"revision\":2,\"complete\":"))
            }
            Failure::SendsNoLine => HEAD.to_owned(),
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Starts a list service that sends its first list and ends that watch, then fails `failures` times more, sends the moment at
/// which it can be reached again, and has the second list from then on.
fn start_failing_list_service(
    failure: Failure,
    failures: usize,
    lists: [String; 2],
    recovered: Sender<Instant>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let next = || listener.accept().expect("a watch").0;
        let mut first = next();
        let _ = first.write_all(format!("{HEAD}{}", chunk(&format!("{}\n", lists[0]))).as_bytes());
        let mut open = Vec::new();
        if let Failure::NeverAccepts = failure {
            drop(first);
            // Nothing is accepted any more: some are queued, the others never come up.
            rustix::net::listen(&listener, 0).expect("a short backlog");
            let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
            let queued: Vec<_> = std::iter::from_fn(fill).collect();
            // The gateway's dials meet the full backlog for longer than one of them lasts.
            std::thread::sleep(Duration::from_millis(1500));
            drop(queued);
            recovered.send(Instant::now()).expect("the test");
            rustix::net::listen(&listener, 128).expect("a backlog");
        } else {
            drop(first);
            for _ in 0..failures {
                let mut socket = next();
                let text = failure.text();
                let _ = socket.write_all(text.as_bytes());
                match failure {
                    Failure::Closes | Failure::RetryLater => drop(socket),
                    Failure::SendsNoLine => {
                        let mut sender = socket.try_clone().expect("its other half");
                        open.push(socket);
                        std::thread::spawn(move || {
                            while sender.write_all(chunk(" ").as_bytes()).is_ok() {
                                std::thread::sleep(Duration::from_millis(100));
                            }
                        });
                    }
                    _ => open.push(socket),
                }
            }
            // The worst moment: it has just taken a watch and failed it, and serves whoever comes next.
            recovered.send(Instant::now()).expect("the test");
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

/// A change counts as notified six seconds after discovery had it and could be reached: by then a member that drains gets nothing new.
#[test]
fn a_drain_takes_effect_within_six_seconds_however_discovery_failed() {
    let all = [
        (Failure::NeverAccepts, 0),
        (Failure::Closes, 6),
        (Failure::RetryLater, 6),
        (Failure::Silent, 1),
        (Failure::StopsInHead, 1),
        (Failure::StopsInSize, 1),
        (Failure::StopsInChunk, 1),
        (Failure::StopsInLine, 1),
        (Failure::SendsNoLine, 1),
    ];
    let cases: Vec<_> = all
        .into_iter()
        .map(|(failure, failures)| {
            std::thread::spawn(move || {
                let (sender, statements) = channel();
                let (_release, released) = channel();
                let port = start_member(true, sender, released);
                let at =
                    |phase| entry(1, phase, "leader").replace(":7001\"", &format!(":{port}\""));
                let lists = [
                    list_text(1, true, &[at("ready")]),
                    list_text(2, true, &[at("draining")]),
                ];
                let (recovered, recovery) = channel();
                let lists = start_failing_list_service(failure, failures, lists, recovered);
                let gateway = GatewayProcess::start(&format!("discovery-{failure:?}"), lists);
                let mut client = gateway.ready_client();
                client.write(&[insert("k1")]);
                assert_eq!(frame_kinds(&client.read_reply()), "TDCZ", "{failure:?}");
                let recovered = recovery.recv_timeout(TIMEOUT).expect("its return");
                // The counters say when the second list has come.
                gateway.wait_for_counter("lists", |n| n == 2);
                (failure, recovered.elapsed(), statements.try_iter().count())
            })
        })
        .collect();
    for case in cases {
        let (failure, after, sent) = case.join().expect("no panic");
        eprintln!(
            "{failure:?}: in force {} ms after the return",
            after.as_millis()
        );
        assert!(
            after < Duration::from_millis(6000),
            "{failure:?}: {} ms",
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
    let descriptors = gateway.descriptors();
    assert!(descriptors <= 128, "{descriptors} descriptors");
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
            "whoever waited is answered"
        );
    }
    waiting[0].write(&[insert("k1")]);
    assert_eq!(
        frame_kinds(&waiting[0].read_reply()),
        "TDCZ",
        "members are reached with all places taken"
    );
    for connection in waiting {
        // A process that another test is just starting may hold a copy of the socket, so that dropping it closes nothing yet.
        let closed = connection.socket.shutdown(Shutdown::Both);
        closed.expect("closed");
    }
    let mut client = gateway.ready_client();
    client.write(&[insert("k2")]);
    assert_eq!(
        frame_kinds(&client.read_reply()),
        "TDCZ",
        "members are reached"
    );
}
