//! One suite over both protocols, before and behind the gateways: the same cases, the same verdicts. The list of cases stands
//! in `docs/conformance.md`.
#![cfg(feature = "flight")]

mod driver;

use driver::{served, Ask, ClientOutcome, Driver, Fixture};
use stackgw_testkit::Protocol;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use ClientOutcome::{Failed, Left, Malformed, Refused};

/// Runs a case for each protocol before and behind the gateways. Which one it is the case cannot tell.
fn everywhere(
    name: &str,
    lags_ms: &[u64],
    case: impl Fn(&Fixture, &dyn Fn(usize) -> Box<dyn Driver>),
) {
    for back in [Protocol::Postgres, Protocol::FlightSql] {
        for front in [Protocol::Postgres, Protocol::FlightSql] {
            let fixture = Fixture::new(&format!("{name}-{front:?}"), lags_ms, back);
            // Both gateways know the primary before the case begins.
            for n in 0..2 {
                let key = format!("warm{n}");
                assert_eq!(
                    fixture.driver(n, front).patiently(&Ask::write(&key, 1)),
                    served(1)
                );
            }
            eprintln!("{name}: before {front:?}, behind {back:?}");
            case(&fixture, &|n| fixture.driver(n, front));
        }
    }
}

/// Executions of a write by its id.
fn ran(fixture: &Fixture, id: &str) -> u32 {
    fixture
        .store
        .audit()
        .writes
        .get(id)
        .copied()
        .unwrap_or_default()
}

#[test]
fn answers_and_sessions_across_gateways() {
    everywhere("answers", &[20, 20], |fixture, at| {
        for round in 0..4 {
            let id = format!("w{round}");
            let write = Ask {
                id: Some(id.clone()),
                ..Ask::write("k", round)
            };
            assert_eq!(at(round as usize % 2).patiently(&write), served(round));
            for n in 0..2 {
                assert_eq!(
                    at(n).patiently(&Ask::read("mine", "k")),
                    served(round),
                    "gateway {n}"
                );
            }
            assert_eq!(ran(fixture, &id), 1);
        }
        assert_eq!(
            at(0).patiently(&Ask::read("look", "nobody")),
            ClientOutcome::Served(String::new())
        );
    });
}

#[test]
fn what_is_wrong_is_malformed_and_runs_nowhere() {
    everywhere("wrong", &[20], |fixture, at| {
        let before = fixture.store.audit();
        for wrong in [
            Ask {
                class: "nothing",
                ..Ask::read("look", "k")
            },
            Ask {
                class: "buy",
                ..Ask::read("look", "k")
            },
            Ask {
                class: "look",
                ..Ask::write("k", 1)
            },
            Ask {
                group: 77,
                ..Ask::read("look", "k")
            },
        ] {
            assert_eq!(at(0).ask(&wrong), Malformed, "{wrong:?}");
        }
        assert_eq!(fixture.store.audit().writes, before.writes);
    });
}

#[test]
fn where_no_member_is_left_all_is_refused_in_time() {
    everywhere("nobody", &[20], |fixture, at| {
        (0..2).for_each(|n| fixture.store.kill(n));
        for ask in [
            Ask::read("look", "k"),
            Ask::read("mine", "k"),
            Ask::write("k", 1),
        ] {
            let since = Instant::now();
            let ask = Ask {
                id: ask.value.map(|_| "none".to_owned()),
                wait_ms: 400,
                ..ask
            };
            // The first one may be out on a connection that only now turns out to be broken.
            let verdicts: Vec<_> = (0..4).map(|_| at(0).ask(&ask)).collect();
            assert_eq!(verdicts[1..], [Refused, Refused, Refused], "{ask:?}");
            assert!(
                since.elapsed() < Duration::from_millis(2_400),
                "{:?}",
                since.elapsed()
            );
        }
        assert_eq!(ran(fixture, "none"), 0);
    });
}

#[test]
fn a_write_that_may_have_run_is_failed_and_never_sent_again() {
    everywhere("cut", &[20], |fixture, at| {
        fixture.store.members[0]
            .cuts_writes
            .store(true, Ordering::Relaxed);
        let write = Ask {
            id: Some("cut".to_owned()),
            ..Ask::write("k", 7)
        };
        assert_eq!(at(0).ask(&write), Failed);
        assert_eq!(ran(fixture, "cut"), 1);
        fixture.store.members[0]
            .cuts_writes
            .store(false, Ordering::Relaxed);
        assert_eq!(at(0).patiently(&Ask::read("mine", "k")), served(7));
    });
}

#[test]
fn a_silent_primary_fails_a_write_in_time() {
    everywhere("silent", &[20], |fixture, at| {
        fixture.store.members[0]
            .silent
            .store(true, Ordering::Relaxed);
        let since = Instant::now();
        let write = Ask {
            id: Some("s".to_owned()),
            wait_ms: 700,
            ..Ask::write("k", 7)
        };
        assert_eq!(at(0).ask(&write), Failed);
        assert!(
            since.elapsed() < Duration::from_millis(1_000),
            "{:?}",
            since.elapsed()
        );
        std::thread::sleep(Duration::from_millis(100));
        assert_eq!(
            ran(fixture, "s"),
            0,
            "a silent one runs nothing, and nobody else may"
        );
    });
}

#[test]
fn reads_leave_a_silent_replica_within_their_time() {
    everywhere("replica", &[20, 20], |fixture, at| {
        fixture.store.members[1]
            .silent
            .store(true, Ordering::Relaxed);
        let mut driver = at(0);
        let verdicts: Vec<_> = (0..12)
            .map(|_| driver.ask(&Ask::read("look", "warm0")))
            .collect();
        let good = verdicts.iter().filter(|v| **v == served(1)).count();
        assert!(good >= 10, "{verdicts:?}");
        assert!(
            verdicts
                .iter()
                .all(|v| matches!(v, ClientOutcome::Served(_) | Refused)),
            "{verdicts:?}"
        );
    });
}

#[test]
fn what_is_too_old_is_not_read() {
    everywhere("fresh", &[60_000, 60_000], |fixture, at| {
        for round in 10..14 {
            assert_eq!(at(0).patiently(&Ask::write("k", round)), served(round));
            for (n, class) in [(0, "mine"), (1, "mine"), (0, "look"), (1, "look")] {
                assert_eq!(
                    at(n).patiently(&Ask::read(class, "k")),
                    served(round),
                    "{class} at {n}"
                );
            }
        }
        assert_eq!(fixture.store.audit().reads[1], 0);
    });
}

#[test]
fn an_id_that_is_open_is_taken() {
    everywhere("taken", &[20], |fixture, at| {
        fixture.store.members[0]
            .slow_ms
            .store(400, Ordering::Relaxed);
        let write = Ask {
            id: Some("twice".to_owned()),
            ..Ask::write("k", 3)
        };
        let (mut first, again) = (at(0), write.clone());
        let first = std::thread::spawn(move || first.ask(&again));
        while ran(fixture, "twice") == 0 {
            std::thread::sleep(Duration::from_millis(2));
        }
        assert_eq!(at(0).ask(&write), Malformed);
        assert_eq!(first.join().expect("it ends"), served(3));
        assert_eq!(ran(fixture, "twice"), 1);
    });
}

#[test]
fn nothing_new_goes_to_a_member_that_drains() {
    everywhere("drains", &[20, 20], |fixture, at| {
        let asked = || fixture.store.members[1].asked.load(Ordering::Relaxed);
        fixture.store.announce(1, "draining");
        std::thread::sleep(Duration::from_millis(1_200));
        let before = asked();
        let mut driver = at(0);
        for _ in 0..20 {
            assert_eq!(driver.patiently(&Ask::read("look", "warm0")), served(1));
        }
        assert_eq!(asked(), before);
    });
}

#[test]
fn a_member_that_has_just_started_gets_less_than_the_others() {
    everywhere("cold", &[20, 20], |fixture, at| {
        let asked = |n: usize| fixture.store.members[n].asked.load(Ordering::Relaxed);
        fixture.store.announce_start(2);
        std::thread::sleep(Duration::from_millis(100));
        let before = [asked(1), asked(2)];
        let readers: Vec<_> = (0..8)
            .map(|n| {
                let mut driver = at(n % 2);
                std::thread::spawn(move || {
                    for _ in 0..60 {
                        assert_eq!(driver.patiently(&Ask::read("look", "warm0")), served(1));
                    }
                })
            })
            .collect();
        readers
            .into_iter()
            .for_each(|reader| reader.join().expect("all are served"));
        let [warm, cold] = [asked(1) - before[0], asked(2) - before[1]];
        assert!(warm > 100 && cold * 2 < warm, "warm {warm}, cold {cold}");
    });
}

#[test]
fn a_member_that_dies_costs_reads_nothing_and_writes_run_once_at_most() {
    everywhere("dies", &[20, 20], |fixture, at| {
        for member in &fixture.store.members {
            member.slow_ms.store(150, Ordering::Relaxed);
        }
        let mut driver = at(0);
        let reads = std::thread::spawn(move || {
            (0..6)
                .map(|_| driver.ask(&Ask::read("look", "warm0")))
                .collect::<Vec<_>>()
        });
        std::thread::sleep(Duration::from_millis(60));
        fixture.store.kill(1);
        let verdicts = reads.join().expect("they end");
        assert_eq!(verdicts, vec![served(1); 6]);
        let mut driver = at(1);
        let write = Ask {
            id: Some("dying".to_owned()),
            ..Ask::write("k", 9)
        };
        let asks = write.clone();
        let write = std::thread::spawn(move || driver.ask(&asks));
        while ran(fixture, "dying") == 0 {
            std::thread::sleep(Duration::from_millis(2));
        }
        fixture.store.kill(0);
        assert_eq!(write.join().expect("it ends"), Failed);
        assert_eq!(ran(fixture, "dying"), 1);
    });
}

#[test]
fn a_read_whose_client_leaves_stops_at_its_member() {
    everywhere("leaves", &[20, 20], |fixture, at| {
        for member in &fixture.store.members {
            member.slow_ms.store(5_000, Ordering::Relaxed);
        }
        let ask = Ask {
            patience: Some(Duration::from_millis(150)),
            ..Ask::read("look", "warm0")
        };
        let mut driver = at(0);
        assert_eq!(driver.ask(&ask), Left);
        drop(driver);
        fixture.rests(Duration::from_secs(1));
    });
}

#[test]
fn a_write_whose_client_leaves_runs_once_and_is_not_lost() {
    everywhere("gone", &[20], |fixture, at| {
        fixture.store.members[0]
            .slow_ms
            .store(400, Ordering::Relaxed);
        let write = Ask {
            id: Some("gone".to_owned()),
            patience: Some(Duration::from_millis(150)),
            ..Ask::write("k", 5)
        };
        assert_eq!(at(0).ask(&write), Left);
        fixture.store.members[0].slow_ms.store(0, Ordering::Relaxed);
        assert_eq!(at(1).patiently(&Ask::read("mine", "k")), served(5));
        assert_eq!(ran(fixture, "gone"), 1);
    });
}

#[test]
fn a_gateway_that_is_killed_and_comes_back_forgets_no_session() {
    everywhere("killed", &[20, 800], |fixture, at| {
        for round in 20..23 {
            assert_eq!(at(0).patiently(&Ask::write("k", round)), served(round));
            fixture.gateways.kill(0);
            assert_eq!(at(1).patiently(&Ask::read("mine", "k")), served(round));
            fixture.gateways.restart(0).expect("it starts");
            assert_eq!(at(0).patiently(&Ask::read("mine", "k")), served(round));
        }
    });
}
