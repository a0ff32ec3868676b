//! Members that speak Flight SQL and end in a planned deploy, in front of which gateways are real processes.
#![cfg(feature = "flight")]

mod common;

use common::group_fixture::GroupFixture;
use common::protocol_client::{served, ClientOutcome, ClientRequest};
use stackgw_testkit::{ListedPhase, Protocol};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long after the primary has ended its successor takes writes.
const HAND_OVER: Duration = Duration::from_millis(400);

/// A primary runs a write for GetFlightInfo and ends before its result is fetched; another member is the primary soon after.
fn check_write_runs_once(name: &str, client_protocol: Protocol) {
    let fixture = GroupFixture::new(name, &[20], Protocol::FlightSql);
    let group = &fixture.group;
    let mut client = fixture.client(0, client_protocol);
    let first = ClientRequest::write("k", 1);
    assert_eq!(client.send_with_retries(&first), served(1));
    let ending = &group.members[0].ends_after_write;
    ending.store(true, Ordering::SeqCst);
    let outcome = std::thread::scope(|scope| {
        scope.spawn(|| {
            while ending.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(1));
            }
            std::thread::sleep(HAND_OVER);
            group.promote(1);
            group.list_service().announce_primary(1);
            group.announce(0, ListedPhase::Gone);
        });
        client.send(&ClientRequest::write("k", 2))
    });
    assert_eq!(
        outcome,
        ClientOutcome::Failed,
        "nobody knows whether it ran"
    );
    assert_eq!(group.executions().duplicate_writes(), 0);
    let after = fixture
        .client(0, client_protocol)
        .send_with_retries(&ClientRequest::write("k", 3));
    assert_eq!(after, served(3), "the successor takes writes");
}

/// Regression: a write that its member had run counted as never run when the connection for its result was refused. It ran again at
/// the next primary.
#[test]
fn a_write_whose_result_cannot_be_fetched_runs_once() {
    check_write_runs_once("result-refused", Protocol::Postgres);
}

/// Regression: the same for a client that speaks Flight SQL itself.
#[test]
fn a_flight_write_whose_result_cannot_be_fetched_runs_once() {
    check_write_runs_once("flight-result-refused", Protocol::FlightSql);
}
