//! Failures of discovery: how soon a gateway receives a change once the list service is reachable again, and clients that use up
//! the gateway's connections while it has no list. Uses the gateway binary and real sockets.

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
    /// Accepts no connection for 1.5 s, because the listener's backlog is full, and then accepts connections again.
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

/// Starts a list service that sends its first list on the first watch and closes it, and then fails the next `failures` watches;
/// [`Failure::NeverAccepts`] ignores this number. It then sends the time of its recovery to `recovered`, and sends the second
/// list on each later watch.
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
            // Longer than a connection attempt of the gateway, which times out after 1 s.
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
            // The service recovers right after it has failed a watch, so the gateway still has to detect that failure, by a
            // timeout if the watch is open, and to wait for its backoff before it opens the next watch.
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

/// Six seconds after the list service has a change and is reachable, the change counts as announced to every gateway, in whatever
/// state its watch was. The test measures the time from the recovery of the service until the gateway has received the second
/// list, in which its member is draining.
#[test]
fn a_drain_is_received_within_six_seconds_after_any_discovery_failure() {
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
                let list_address = start_failing_list_service(failure, failures, lists, recovered);
                let gateway =
                    GatewayProcess::start(&format!("discovery-{failure:?}"), list_address);
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
            "{failure:?}: second list received {} ms after the recovery",
            after.as_millis()
        );
        assert!(
            after < Duration::from_millis(6000),
            "{failure:?}: second list received only {} ms after the recovery",
            after.as_millis()
        );
        assert_eq!(
            sent, 1,
            "{failure:?}: the member receives the client's INSERT once"
        );
    }
}

/// Connects 400 clients, each of which sends an empty query, which is answered once the gateway has a list. The first
/// `max_clients` of them wait for the answer; the others are rejected at once. Returns the waiting clients and the number of
/// rejected ones.
fn fill_with_waiting_clients(
    gateway: &GatewayProcess,
    max_clients: usize,
) -> (Vec<PgConnection>, usize) {
    let mut waiting = Vec::new();
    let mut rejected = 0;
    for n in 0..400 {
        let mut client = gateway.connect();
        client.write(&[startup(), query("")]);
        let last = client.read_reply().last().map(|f| f.kind);
        assert_eq!(last, Some(b'Z'), "the startup of client {n} is completed");
        if waiting.len() < max_clients {
            waiting.push(client);
            continue;
        }
        let error = client.next().and_then(|f| sqlstate(&f.bytes));
        assert_eq!(error.as_deref(), Some("53300"), "client {n} is rejected");
        assert!(
            client.next().is_none(),
            "the connection is closed after the error"
        );
        rejected += 1;
    }
    (waiting, rejected)
}

/// Hundreds of clients connect, send an empty query and stay connected while discovery is down. Descriptors must be left for the
/// watch, for members and for rejecting further clients.
#[test]
fn clients_that_wait_for_discovery_leave_descriptors_for_it_for_members_and_for_rejections() {
    let (sender, _statements) = channel();
    let (_release, released) = channel();
    let port = start_member(true, sender, released);
    let listed = entry(1, "ready", "leader").replace(":7001\"", &format!(":{port}\""));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    // Of the 128 descriptors, the gateway needs 32 for itself, members get 38 (40% of the remaining 96), and 6 (6%) are reserved
    // for clients that are being rejected.
    let max_clients = 52;
    let gateway = GatewayProcess::start("full", listener.local_addr().expect("an address"));
    let (mut waiting, rejected) = fill_with_waiting_clients(&gateway, max_clients);
    assert!(rejected > 300, "only {rejected} clients were rejected");
    let mut late = gateway.connect();
    late.write(&[startup(), insert("k1")]);
    late.read_reply();
    assert_eq!(
        late.next().and_then(|f| sqlstate(&f.bytes)).as_deref(),
        Some("53300"),
        "a client that connects later is rejected too"
    );
    let descriptors = gateway.descriptors();
    assert!(descriptors <= 128, "{descriptors} descriptors are open");
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
        "members are reachable while as many clients as allowed are connected"
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
        "members are reachable after the waiting clients have left"
    );
}
