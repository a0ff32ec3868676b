//! Peers of every kind that send without end and without a pause: clients are served meanwhile, and a response that does not end
//! is cut.

mod common;

use common::gateway_common::{config_text, list_text, ready, row, startup};
use common::gateway_process::{
    start_fixture, start_fixture_with, start_fixture_with_config, GatewayFixture, GatewayProcess,
};
use common::pg_connection::{insert, select};
use common::scripted_list_service::{start_endless_list_service, start_list_service};
use stackgw_gateway::pg::Frame;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Longer than a read takes on a busy machine, shorter than any peer of these tests keeps sending.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const FLOODING_PEERS: usize = 3;

/// Checks that a new client gets the answers to several reads and a write, each in time.
fn check_clients_are_served(gateway: &GatewayProcess) {
    let mut client = gateway.connect();
    let timeout = client.socket.set_read_timeout(Some(ANSWER_TIMEOUT));
    timeout.expect("a time-out");
    client.write(&[startup()]);
    assert_eq!(client.read_reply().last(), Some(&ready()), "the greeting");
    for n in 0..10 {
        let key = format!("other-{n}");
        client.write(&[select(&key)]);
        assert_eq!(
            value_of(&client.read_reply()),
            Some(&row(key.as_bytes())[1])
        );
    }
    client.write(&[insert("other")]);
    assert_eq!(value_of(&client.read_reply()), Some(&row(b"other")[1]));
}

fn value_of(reply: &[Frame]) -> Option<&Frame> {
    reply.get(1)
}

/// Regression: while a member sent one response without end, no client of any group got an answer.
#[test]
fn clients_are_served_while_a_members_response_never_ends() {
    for kind in ["status", "notice"] {
        let GatewayFixture { gateway, .. } = start_fixture(&format!("endless-{kind}"));
        let mut client = gateway.ready_client();
        let key = format!("endless-{kind}");
        client.write(&[select(&key)]);
        check_clients_are_served(&gateway);
        assert_eq!(
            value_of(&client.read_reply()),
            Some(&row(key.as_bytes())[1]),
            "{kind}: the read must be retried on another member"
        );
        assert_eq!(gateway.counter("members_oversized"), 1, "{kind}");
    }
}

/// As above, for a write: it may have run, so it fails and is not sent again.
#[test]
fn a_write_whose_response_never_ends_fails_and_is_sent_once() {
    let GatewayFixture {
        gateway,
        statements,
        ..
    } = start_fixture("endless-write");
    let mut client = gateway.ready_client();
    client.write(&[insert("endless-write")]);
    assert_eq!(client.read_reply().first().map(|f| f.kind), Some(b'E'));
    check_clients_are_served(&gateway);
    let sent = statements
        .try_iter()
        .filter(|text| text.contains("endless-write"));
    assert_eq!(sent.count(), 1, "the write was sent again");
}

/// Regression: as above, for the list service's heartbeats.
#[test]
fn clients_are_served_while_the_list_service_sends_without_end() {
    let fixture = start_fixture_with("endless-list", |entries| {
        start_endless_list_service(list_text(1, true, entries))
    });
    let _client = fixture.gateway.ready_client();
    check_clients_are_served(&fixture.gateway);
}

/// Regression: as above, for the datagrams of other gateways.
#[test]
fn clients_are_served_while_peers_send_datagrams_without_end() {
    let config =
        config_text("null").replace("\"peer_listen\":null", "\"peer_listen\":\"127.0.0.1:0\"");
    let fixture = start_fixture_with_config("endless-datagrams", &config, |entries| {
        start_list_service(list_text(1, true, entries))
    });
    let gateway = &fixture.gateway;
    let _client = gateway.ready_client();
    let flood = DatagramFlood::start(gateway.datagram_address());
    check_clients_are_served(gateway);
    drop(flood);
    assert!(gateway.counter("gossip_dropped") > 0, "no datagram arrived");
}

/// Threads that send datagrams without a pause; they end when this is dropped.
struct DatagramFlood(Arc<AtomicBool>);

impl DatagramFlood {
    fn start(to: SocketAddr) -> Self {
        let stops = Arc::new(AtomicBool::new(false));
        for _ in 0..FLOODING_PEERS {
            let stops = stops.clone();
            std::thread::spawn(move || {
                let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
                while !stops.load(Ordering::Relaxed) {
                    let _ = socket.send_to(&[7; 1000], to);
                }
            });
        }
        DatagramFlood(stops)
    }
}

impl Drop for DatagramFlood {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
