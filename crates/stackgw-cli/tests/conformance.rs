//! Conformance suite: the same cases, with the same outcomes, over each combination of client and member protocols.
//! `docs/conformance.md` lists the cases.
#![cfg(feature = "flight")]

mod common;

use common::group_fixture::GroupFixture;
use common::protocol_client::{served, ClientOutcome, ClientRequest, ProtocolClient};
use stackgw_testkit::{ListedPhase, Protocol};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use ClientOutcome::{ClientLeft, Failed, Malformed, Rejected};

/// Runs a case for each combination of member and client protocols. The case does not know which protocols are in use.
fn for_each_protocol(
    name: &str,
    lags_ms: &[u64],
    case: impl Fn(&GroupFixture, &dyn Fn(usize) -> Box<dyn ProtocolClient>),
) {
    for member_protocol in [Protocol::Postgres, Protocol::FlightSql] {
        for client_protocol in [Protocol::Postgres, Protocol::FlightSql] {
            let fixture = GroupFixture::new(
                &format!("{name}-{client_protocol:?}"),
                lags_ms,
                member_protocol,
            );
            // Ensures that both gateways know the primary before the case begins.
            for n in 0..2 {
                let key = format!("warm{n}");
                assert_eq!(
                    fixture
                        .client(n, client_protocol)
                        .send_with_retries(&ClientRequest::write(&key, 1)),
                    served(1)
                );
            }
            eprintln!("{name}: clients {client_protocol:?}, members {member_protocol:?}");
            case(&fixture, &|n| fixture.client(n, client_protocol));
        }
    }
}

/// How often the write with this id was executed.
fn executions_of_write(fixture: &GroupFixture, id: &str) -> u32 {
    fixture
        .group
        .executions()
        .writes
        .get(id)
        .copied()
        .unwrap_or_default()
}

#[test]
fn answers_and_sessions_across_gateways() {
    for_each_protocol("answers", &[20, 20], |fixture, client_of| {
        for round in 0..4 {
            let id = format!("w{round}");
            let write = ClientRequest {
                id: Some(id.clone()),
                ..ClientRequest::write("k", round)
            };
            assert_eq!(
                client_of(round as usize % 2).send_with_retries(&write),
                served(round)
            );
            for n in 0..2 {
                assert_eq!(
                    client_of(n).send_with_retries(&ClientRequest::read("mine", "k")),
                    served(round),
                    "gateway {n}"
                );
            }
            assert_eq!(executions_of_write(fixture, &id), 1);
        }
        assert_eq!(
            client_of(0).send_with_retries(&ClientRequest::read("look", "nobody")),
            ClientOutcome::Served(String::new())
        );
    });
}

#[test]
fn a_malformed_request_is_not_executed() {
    for_each_protocol("malformed", &[20], |fixture, client_of| {
        let before = fixture.group.executions();
        for request in [
            ClientRequest {
                class: "nothing",
                ..ClientRequest::read("look", "k")
            },
            ClientRequest {
                class: "buy",
                ..ClientRequest::read("look", "k")
            },
            ClientRequest {
                class: "look",
                ..ClientRequest::write("k", 1)
            },
            ClientRequest {
                group: 77,
                ..ClientRequest::read("look", "k")
            },
        ] {
            assert_eq!(client_of(0).send(&request), Malformed, "{request:?}");
        }
        assert_eq!(fixture.group.executions().writes, before.writes);
    });
}

#[test]
fn requests_are_rejected_in_time_when_no_member_is_left() {
    for_each_protocol("nobody", &[20], |fixture, client_of| {
        (0..2).for_each(|n| fixture.group.kill(n));
        for request in [
            ClientRequest::read("look", "k"),
            ClientRequest::read("mine", "k"),
            ClientRequest::write("k", 1),
        ] {
            let since = Instant::now();
            let request = ClientRequest {
                id: request.value.map(|_| "none".to_owned()),
                timeout_ms: 400,
                ..request
            };
            // The first request may be sent on a connection that is not yet known to be broken.
            let outcomes: Vec<_> = (0..4).map(|_| client_of(0).send(&request)).collect();
            assert_eq!(outcomes[1..], [Rejected, Rejected, Rejected], "{request:?}");
            assert!(
                since.elapsed() < Duration::from_millis(2_400),
                "{:?}",
                since.elapsed()
            );
        }
        assert_eq!(executions_of_write(fixture, "none"), 0);
    });
}

#[test]
fn a_write_that_may_have_run_fails_and_is_never_retried() {
    for_each_protocol("cut", &[20], |fixture, client_of| {
        fixture.group.members[0]
            .drops_write_replies
            .store(true, Ordering::Relaxed);
        let write = ClientRequest {
            id: Some("cut".to_owned()),
            ..ClientRequest::write("k", 7)
        };
        assert_eq!(client_of(0).send(&write), Failed);
        assert_eq!(executions_of_write(fixture, "cut"), 1);
        fixture.group.members[0]
            .drops_write_replies
            .store(false, Ordering::Relaxed);
        assert_eq!(
            client_of(0).send_with_retries(&ClientRequest::read("mine", "k")),
            served(7)
        );
    });
}

#[test]
fn a_write_fails_in_time_when_the_primary_is_unresponsive() {
    for_each_protocol("silent", &[20], |fixture, client_of| {
        fixture.group.members[0]
            .unresponsive
            .store(true, Ordering::Relaxed);
        let since = Instant::now();
        let write = ClientRequest {
            id: Some("s".to_owned()),
            timeout_ms: 700,
            ..ClientRequest::write("k", 7)
        };
        assert_eq!(client_of(0).send(&write), Failed);
        assert!(
            since.elapsed() < Duration::from_millis(1_000),
            "{:?}",
            since.elapsed()
        );
        std::thread::sleep(Duration::from_millis(100));
        assert_eq!(
            executions_of_write(fixture, "s"),
            0,
            "neither the unresponsive primary nor another member ran it"
        );
    });
}

#[test]
fn reads_are_retried_elsewhere_in_time_when_a_replica_is_unresponsive() {
    for_each_protocol("replica", &[20, 20], |fixture, client_of| {
        fixture.group.members[1]
            .unresponsive
            .store(true, Ordering::Relaxed);
        let mut client = client_of(0);
        let outcomes: Vec<_> = (0..12)
            .map(|_| client.send(&ClientRequest::read("look", "warm0")))
            .collect();
        let served_count = outcomes.iter().filter(|v| **v == served(1)).count();
        assert!(served_count >= 10, "{outcomes:?}");
        assert!(
            outcomes
                .iter()
                .all(|v| matches!(v, ClientOutcome::Served(_) | Rejected)),
            "{outcomes:?}"
        );
    });
}

#[test]
fn reads_avoid_replicas_that_are_too_stale() {
    for_each_protocol("fresh", &[60_000, 60_000], |fixture, client_of| {
        for round in 10..14 {
            assert_eq!(
                client_of(0).send_with_retries(&ClientRequest::write("k", round)),
                served(round)
            );
            for (n, class) in [(0, "mine"), (1, "mine"), (0, "look"), (1, "look")] {
                assert_eq!(
                    client_of(n).send_with_retries(&ClientRequest::read(class, "k")),
                    served(round),
                    "class {class} at gateway {n}"
                );
            }
        }
        assert_eq!(fixture.group.executions().reads.replicas, 0);
    });
}

#[test]
fn a_request_with_the_id_of_an_open_one_is_malformed() {
    for_each_protocol("taken", &[20], |fixture, client_of| {
        fixture.group.members[0]
            .delay_ms
            .store(400, Ordering::Relaxed);
        let write = ClientRequest {
            id: Some("twice".to_owned()),
            ..ClientRequest::write("k", 3)
        };
        let (mut first, request) = (client_of(0), write.clone());
        let first = std::thread::spawn(move || first.send(&request));
        while executions_of_write(fixture, "twice") == 0 {
            std::thread::sleep(Duration::from_millis(2));
        }
        assert_eq!(client_of(0).send(&write), Malformed);
        assert_eq!(first.join().expect("the write ends"), served(3));
        assert_eq!(executions_of_write(fixture, "twice"), 1);
    });
}

#[test]
fn a_draining_member_gets_no_new_requests() {
    for_each_protocol("drains", &[20, 20], |fixture, client_of| {
        let request_count = || fixture.group.members[1].requests.load(Ordering::Relaxed);
        fixture.group.announce(1, ListedPhase::Draining);
        std::thread::sleep(Duration::from_millis(1_200));
        let before = request_count();
        let mut client = client_of(0);
        for _ in 0..20 {
            assert_eq!(
                client.send_with_retries(&ClientRequest::read("look", "warm0")),
                served(1)
            );
        }
        assert_eq!(request_count(), before);
    });
}

#[test]
fn a_member_in_slow_start_gets_fewer_requests() {
    for_each_protocol("cold", &[20, 20], |fixture, client_of| {
        let request_count = |n: usize| fixture.group.members[n].requests.load(Ordering::Relaxed);
        fixture.group.announce_start(2);
        std::thread::sleep(Duration::from_millis(100));
        let before = [request_count(1), request_count(2)];
        let readers: Vec<_> = (0..8)
            .map(|n| {
                let mut client = client_of(n % 2);
                std::thread::spawn(move || {
                    for _ in 0..60 {
                        assert_eq!(
                            client.send_with_retries(&ClientRequest::read("look", "warm0")),
                            served(1)
                        );
                    }
                })
            })
            .collect();
        readers
            .into_iter()
            .for_each(|reader| reader.join().expect("all reads are served"));
        let [warm, cold] = [request_count(1) - before[0], request_count(2) - before[1]];
        assert!(warm > 100 && cold * 2 < warm, "warm {warm}, cold {cold}");
    });
}

#[test]
fn reads_are_served_and_writes_run_at_most_once_when_a_member_dies() {
    for_each_protocol("dies", &[20, 20], |fixture, client_of| {
        for member in &fixture.group.members {
            member.delay_ms.store(150, Ordering::Relaxed);
        }
        let mut client = client_of(0);
        let reads = std::thread::spawn(move || {
            (0..6)
                .map(|_| client.send(&ClientRequest::read("look", "warm0")))
                .collect::<Vec<_>>()
        });
        std::thread::sleep(Duration::from_millis(60));
        fixture.group.kill(1);
        let outcomes = reads.join().expect("the reader ends");
        assert_eq!(outcomes, vec![served(1); 6]);
        let mut client = client_of(1);
        let write = ClientRequest {
            id: Some("dying".to_owned()),
            ..ClientRequest::write("k", 9)
        };
        let request = write.clone();
        let write = std::thread::spawn(move || client.send(&request));
        while executions_of_write(fixture, "dying") == 0 {
            std::thread::sleep(Duration::from_millis(2));
        }
        fixture.group.kill(0);
        assert_eq!(write.join().expect("the write ends"), Failed);
        assert_eq!(executions_of_write(fixture, "dying"), 1);
    });
}

#[test]
fn a_read_is_stopped_at_its_member_when_its_client_leaves() {
    for_each_protocol("leaves", &[20, 20], |fixture, client_of| {
        for member in &fixture.group.members {
            member.delay_ms.store(5_000, Ordering::Relaxed);
        }
        let request = ClientRequest {
            leave_after: Some(Duration::from_millis(150)),
            ..ClientRequest::read("look", "warm0")
        };
        let mut client = client_of(0);
        assert_eq!(client.send(&request), ClientLeft);
        drop(client);
        fixture.wait_until_idle(Duration::from_secs(1));
    });
}

#[test]
fn a_write_runs_once_when_its_client_leaves() {
    for_each_protocol("gone", &[20], |fixture, client_of| {
        fixture.group.members[0]
            .delay_ms
            .store(400, Ordering::Relaxed);
        let write = ClientRequest {
            id: Some("gone".to_owned()),
            leave_after: Some(Duration::from_millis(150)),
            ..ClientRequest::write("k", 5)
        };
        assert_eq!(client_of(0).send(&write), ClientLeft);
        fixture.group.members[0]
            .delay_ms
            .store(0, Ordering::Relaxed);
        assert_eq!(
            client_of(1).send_with_retries(&ClientRequest::read("mine", "k")),
            served(5)
        );
        assert_eq!(executions_of_write(fixture, "gone"), 1);
    });
}

#[test]
fn sessions_survive_the_kill_and_restart_of_a_gateway() {
    for_each_protocol("killed", &[20, 800], |fixture, client_of| {
        for round in 20..23 {
            assert_eq!(
                client_of(0).send_with_retries(&ClientRequest::write("k", round)),
                served(round)
            );
            fixture.gateways.kill(0);
            assert_eq!(
                client_of(1).send_with_retries(&ClientRequest::read("mine", "k")),
                served(round)
            );
            fixture.gateways.restart(0).expect("the gateway starts");
            assert_eq!(
                client_of(0).send_with_retries(&ClientRequest::read("mine", "k")),
                served(round)
            );
        }
    });
}
