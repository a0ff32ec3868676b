//! `judge` reports each violation of a soak's rules and nothing that is allowed. Each test passes it records that break one
//! rule, and records that are just within that rule.

use stackgw_testkit::soak::{
    judge, Announcement, Arrival, GatewayResources, GatewayStart, Interval, Promotion, RequestEnd,
    RequestKind, RequestRecord, SoakFault, SoakPlan, SoakRecord, StalledClient, Violation,
};
use stackgw_testkit::ListedPhase;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request sent at 20 s with a timeout of 1 s, answered after 50 ms.
fn request(kind: RequestKind, end: RequestEnd) -> RequestRecord {
    RequestRecord {
        id: "k1".to_owned(),
        kind,
        gateway: 0,
        sent_at: ms(20_000),
        timeout: ms(1_000),
        ended_at: ms(20_050),
        end,
        last_own_write: None,
    }
}

fn served(kind: RequestKind) -> RequestRecord {
    request(kind, RequestEnd::Served(Some(7)))
}

/// The arrival of that request at the second member, 10 ms after it was sent.
fn arrival() -> Arrival {
    Arrival {
        id: "k1".to_owned(),
        member: 1,
        at: ms(20_010),
        timeout: ms(980),
        is_misrouted_write: false,
        staleness: ms(100),
        is_primary: false,
    }
}

fn record(request: RequestRecord, arrivals: Vec<Arrival>) -> SoakRecord {
    SoakRecord {
        requests: vec![request],
        arrivals,
        ..SoakRecord::default()
    }
}

fn name(violation: &Violation) -> String {
    let text = violation.to_string();
    text.split('(').next().unwrap_or_default().to_owned()
}

fn names(record: &SoakRecord) -> Vec<String> {
    judge(record).iter().map(name).collect()
}

#[test]
fn a_record_of_allowed_behavior_has_no_violations() {
    for kind in [
        RequestKind::Write,
        RequestKind::SessionRead,
        RequestKind::BoundedRead,
    ] {
        assert!(names(&record(served(kind), vec![arrival()])).is_empty());
    }
}

#[test]
fn a_request_without_an_answer_is_lost() {
    let lost = request(RequestKind::Write, RequestEnd::Unanswered);
    assert_eq!(names(&record(lost, vec![])), ["Lost"]);
    let disconnected = request(RequestKind::Write, RequestEnd::Disconnected);
    assert_eq!(
        names(&record(disconnected.clone(), vec![arrival()])),
        ["Lost"]
    );
    assert!(
        names(&record(disconnected.clone(), vec![])).is_empty(),
        "a request that reached no member and ended within 50 ms crossed the gateway's close"
    );
    let late = RequestRecord {
        ended_at: ms(20_060),
        ..disconnected
    };
    assert_eq!(
        names(&record(late, vec![])),
        ["Lost"],
        "a request that ended after 60 ms did not cross the gateway's close"
    );
}

#[test]
fn an_answer_half_a_second_after_its_timeout_is_lost() {
    let answered_at = |at| RequestRecord {
        ended_at: ms(at),
        ..request(RequestKind::Write, RequestEnd::Rejected)
    };
    assert!(names(&record(answered_at(21_540), vec![])).is_empty());
    assert_eq!(names(&record(answered_at(21_560), vec![])), ["Lost"]);
}

#[test]
fn more_than_one_answer_is_a_violation() {
    let twice = request(RequestKind::BoundedRead, RequestEnd::AnsweredTwice);
    assert_eq!(names(&record(twice, vec![])), ["AnsweredTwice"]);
}

#[test]
fn a_write_that_may_have_run_twice_is_a_violation() {
    let twice = vec![arrival(), arrival()];
    assert_eq!(
        names(&record(served(RequestKind::Write), twice.clone())),
        ["RepeatedWrite"]
    );
    assert!(names(&record(served(RequestKind::BoundedRead), twice)).is_empty());
    let misrouted = Arrival {
        is_misrouted_write: true,
        ..arrival()
    };
    let moved = vec![misrouted, arrival()];
    assert!(names(&record(served(RequestKind::Write), moved)).is_empty());
}

#[test]
fn an_attempt_for_a_disconnected_client_is_a_violation() {
    let left = request(RequestKind::BoundedRead, RequestEnd::Left);
    let begun_at = |at| Arrival {
        at: ms(at),
        timeout: ms(500),
        ..arrival()
    };
    assert!(names(&record(left.clone(), vec![begun_at(20_190)])).is_empty());
    assert_eq!(
        names(&record(left, vec![begun_at(20_210)])),
        ["AttemptAfterClientLeft"]
    );
}

#[test]
fn an_attempt_timeout_beyond_the_remaining_time_is_a_violation() {
    let with_timeout = |timeout_ms| Arrival {
        timeout: ms(timeout_ms),
        ..arrival()
    };
    let read = served(RequestKind::BoundedRead);
    assert!(names(&record(read.clone(), vec![with_timeout(1_190)])).is_empty());
    assert_eq!(
        names(&record(read, vec![with_timeout(1_191)])),
        ["AttemptTimeoutTooLong"]
    );
}

#[test]
fn a_bounded_read_of_stale_data_is_a_violation() {
    let old = Arrival {
        staleness: ms(2_051),
        ..arrival()
    };
    let read = |kind| names(&record(served(kind), vec![old.clone()]));
    assert_eq!(read(RequestKind::BoundedRead), ["Stale"]);
    assert!(read(RequestKind::Write).is_empty());
}

/// A former primary's data may be old without its gateway's knowledge, but not once an answer has said that it is a replica.
#[test]
fn a_stale_read_at_a_former_primary_is_a_violation_once_its_gateway_knows_it_as_a_replica() {
    let old = Arrival {
        staleness: ms(2_051),
        ..arrival()
    };
    let earlier = |id: &str, at: u64, is_primary: bool| {
        let request = RequestRecord {
            id: id.to_owned(),
            sent_at: ms(at - 50),
            ended_at: ms(at),
            ..served(RequestKind::BoundedRead)
        };
        let arrival = Arrival {
            id: id.to_owned(),
            at: ms(at - 20),
            is_primary,
            ..arrival()
        };
        (request, arrival)
    };
    let with_answers = |answers: &[(RequestRecord, Arrival)], starts: Vec<GatewayStart>| {
        let mut record = record(served(RequestKind::BoundedRead), vec![old.clone()]);
        record.promotions = vec![Promotion {
            member: 1,
            at: ms(5_000),
        }];
        record.starts = starts;
        for (request, arrival) in answers {
            record.requests.push(request.clone());
            record.arrivals.push(arrival.clone());
        }
        names(&record)
    };
    let denial = earlier("k2", 10_000, false);
    let claim = earlier("k3", 12_000, true);
    let too_recent = earlier("k4", 19_900, false);
    let restart = GatewayStart {
        gateway: 0,
        at: ms(11_000),
        ready_at: Some(ms(11_100)),
    };
    assert!(with_answers(&[], vec![]).is_empty());
    assert_eq!(
        with_answers(std::slice::from_ref(&denial), vec![]),
        ["Stale"]
    );
    assert!(with_answers(&[denial.clone(), claim], vec![]).is_empty());
    assert!(with_answers(&[too_recent], vec![]).is_empty());
    assert!(
        with_answers(&[denial], vec![restart]).is_empty(),
        "the process has restarted since"
    );
}

#[test]
fn a_session_that_misses_its_own_write_is_a_violation() {
    // The write of 5 was sent before that of 7 but ran after it, as its client had not waited for the answer.
    let read = |value| SoakRecord {
        requests: vec![RequestRecord {
            last_own_write: Some(7),
            ..request(RequestKind::SessionRead, RequestEnd::Served(value))
        }],
        write_order: ["k6", "k7", "k5"].map(str::to_owned).to_vec(),
        ..SoakRecord::default()
    };
    assert!(names(&read(Some(7))).is_empty());
    assert!(names(&read(Some(5))).is_empty());
    assert_eq!(names(&read(Some(6))), ["OwnWriteMissed"]);
    assert_eq!(names(&read(None)), ["OwnWriteMissed"]);
}

/// A record in which the member was listed with this phase `before` its request arrived.
fn announced(phase: ListedPhase, before: Duration) -> SoakRecord {
    SoakRecord {
        announcements: vec![Announcement {
            member: 1,
            phase,
            at: arrival().at - before,
        }],
        ..record(served(RequestKind::BoundedRead), vec![arrival()])
    }
}

#[test]
fn a_request_to_a_draining_or_gone_member_is_a_violation() {
    for phase in [ListedPhase::Draining, ListedPhase::Gone] {
        assert!(names(&announced(phase, ms(1_050))).is_empty());
        assert_eq!(names(&announced(phase, ms(1_051))), ["SentToDraining"]);
    }
    assert!(names(&announced(ListedPhase::Ready, ms(5_000))).is_empty());
}

#[test]
fn draining_takes_effect_six_seconds_after_a_list_outage() {
    let during = |before, outage: [u64; 2]| SoakRecord {
        list_outages: vec![Interval {
            from: ms(outage[0]),
            to: ms(outage[1]),
        }],
        ..announced(ListedPhase::Draining, ms(before))
    };
    assert!(names(&during(8_000, [11_000, 13_000])).is_empty());
    assert_eq!(names(&during(8_000, [10_000, 12_500])), ["SentToDraining"]);
    assert_eq!(
        names(&during(8_000, [14_000, 16_000])),
        ["SentToDraining"],
        "an outage that begins later does not delay the drain"
    );
}

#[test]
fn a_stalled_client_that_is_not_disconnected_is_a_violation() {
    let stalled = |ended_at| SoakRecord {
        stalled_clients: vec![StalledClient {
            gateway: 0,
            stopped_at: ms(1_000),
            ended_at,
        }],
        ..SoakRecord::default()
    };
    assert!(names(&stalled(Some(ms(4_050)))).is_empty());
    assert_eq!(names(&stalled(Some(ms(4_051)))), ["StalledClientNotClosed"]);
    assert_eq!(names(&stalled(None)), ["StalledClientNotClosed"]);
}

#[test]
fn a_gateway_that_is_not_ready_in_time_is_a_violation() {
    let start = |ready_at| SoakRecord {
        starts: vec![GatewayStart {
            gateway: 0,
            at: ms(1_000),
            ready_at,
        }],
        ..SoakRecord::default()
    };
    assert!(names(&start(Some(ms(11_000)))).is_empty());
    assert_eq!(names(&start(Some(ms(11_001)))), ["NotReady"]);
    assert_eq!(names(&start(None)), ["NotReady"]);
}

#[test]
fn unreleased_resources_and_exceeded_limits_are_violations() {
    let released = GatewayResources {
        gateway: 0,
        unreleased: vec![],
        peak_memory_mib: 192.0,
        descriptors: 256,
    };
    let resources_record = |resources: GatewayResources| SoakRecord {
        gateway_resources: vec![resources],
        ..SoakRecord::default()
    };
    assert!(names(&resources_record(released.clone())).is_empty());
    let excessive = GatewayResources {
        unreleased: vec!["clients_open=1".to_owned()],
        peak_memory_mib: 193.0,
        descriptors: 257,
        ..released
    };
    assert_eq!(names(&resources_record(excessive)), ["ResourceUse"; 3]);
}

#[test]
fn a_seed_draws_the_same_schedule_each_time_and_seeds_differ() {
    let draw = |seed| SoakPlan::draw(seed, ms(30_000));
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3).faults, draw(5).faults);
    assert!(draw(4).idle_clients > 0 && draw(5).idle_clients == 0);
    // Fifty seeds together draw every fault.
    let faults = (1..=50).flat_map(|seed| draw(seed).faults);
    let drawn: std::collections::BTreeSet<_> = faults.map(|planned| planned.fault.name()).collect();
    assert_eq!(drawn.len(), 17, "{drawn:?}");
    let all = (1..=50).flat_map(|seed| draw(seed).faults);
    let restarts = all.filter(|planned| matches!(planned.fault, SoakFault::GatewayRestarts(..)));
    assert!(
        restarts.count() > 20,
        "fifty seeds draw more than 20 restarts"
    );
}
