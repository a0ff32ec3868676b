//! Failures of discovery, which then recovers at the worst moment, and clients that fill the gateway in the meantime. Uses real
//! sockets.

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
    /// Accepts no connection: the listener's backlog is full.
    NeverAccepts,
    /// Closes each connection at once.
    Closes,
    /// Answers 503 with a Retry-After far in the future.
    RetryLater,
    /// Accepts connections and sends nothing.
    Silent,
    /// Stops sending within the response head.
    StopsInHead,
    /// Stops sending within a chunk size.
    StopsInSize,
    /// Stops sending within a chunk.
    StopsInChunk,
    /// Stops sending within a line.
    StopsInLine,
    /// Keeps sending bytes that contain neither a list nor a line break.
    SendsNoLine,
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

impl Failure {
    /// The bytes that the service sends on an accepted connection before it fails.
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

/// Starts a list service that sends its first list and ends that watch, then fails another `failures` times. It then sends the
/// time at which it is reachable again to `recovered`, and serves the second list from then on.
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
            // Accepts no more connections: some are queued in the backlog, the others are never established.
            rustix::net::listen(&listener, 0).expect("a short backlog");
            let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
            let queued: Vec<_> = std::iter::from_fn(fill).collect();
            // The backlog stays full for longer than one connection attempt of the gateway lasts.
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
                        let mut sender = socket.try_clone().expect("a clone of the socket");
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
            // The worst moment to recover: it has just accepted and failed a watch, and serves the next one.
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

/// A change counts as notified six seconds after discovery had it and was reachable: from then on, a draining member must get no
/// new requests.
#[test]
fn a_drain_takes_effect_within_six_seconds_after_any_discovery_failure() {
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
                let recovered = recovery.recv_timeout(TIMEOUT).expect("the recovery time");
                // The counter shows when the second list has been received.
                gateway.wait_for_counter("lists", |n| n == 2);
                (failure, recovered.elapsed(), statements.try_iter().count())
            })
        })
        .collect();
    for case in cases {
        let (failure, after, sent) = case.join().expect("no panic");
        eprintln!(
            "{failure:?}: in effect {} ms after the recovery",
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

/// Connects hundreds of clients that query whether the gateway is ready. As many as `places` get no answer until there is a list;
/// the others are rejected at once. Returns the waiting clients and the number of rejected ones.
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
        assert_eq!(last, Some(b'Z'), "each connection is accepted");
        if waiting.len() < places {
            waiting.push(client);
            continue;
        }
        let error = client.next().and_then(|f| sqlstate(&f.bytes));
        assert_eq!(error.as_deref(), Some("53300"), "client {n}");
        assert!(
            client.next().is_none(),
            "the connection is closed after the error"
        );
        rejected += 1;
    }
    (waiting, rejected)
}

/// Hundreds of clients connect, query whether the gateway is ready and stay connected while discovery is down. Descriptors must be
/// left for the watch, for members and for rejecting further clients.
#[test]
fn clients_that_wait_for_discovery_leave_descriptors_for_it_for_members_and_for_rejections() {
    let (sender, _statements) = channel();
    let (_release, released) = channel();
    let port = start_member(true, sender, released);
    let listed = entry(1, "ready", "leader").replace(":7001\"", &format!(":{port}\""));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    // 54% of the 96 descriptors that the gateway does not need for itself.
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
    // Discovery recovers.
    let mut watch = listener.accept().expect("the watch").0;
    let list = chunk(&format!("{}\n", list_text(1, true, &[listed])));
    watch
        .write_all(format!("{HEAD}{list}").as_bytes())
        .expect("written");
    for connection in &mut waiting {
        assert_eq!(
            frame_kinds(&connection.read_reply()),
            "IZ",
            "each waiting client is answered"
        );
    }
    waiting[0].write(&[insert("k1")]);
    assert_eq!(
        frame_kinds(&waiting[0].read_reply()),
        "TDCZ",
        "members are reachable while all client places are taken"
    );
    for connection in waiting {
        // A process that another test is starting may hold a copy of the socket, so dropping it may not close it.
        let closed = connection.socket.shutdown(Shutdown::Both);
        closed.expect("closed");
    }
    let mut client = gateway.ready_client();
    client.write(&[insert("k2")]);
    assert_eq!(
        frame_kinds(&client.read_reply()),
        "TDCZ",
        "members are reachable"
    );
}
