//! The platform's settings document: what a fixed one is parsed to, and what is said of each way to
//! get it wrong.

use serde_json::{json, Value};
use stackgw_router::api::*;
use stackgw_settings::{record_load_field, NameTable, PlatformSettings};
use std::fmt::Write;

const DOCUMENT: &str = include_str!("fixtures/settings.json");
/// `pointer <tab> new value or "absent" <tab> the error, or "accepted"`.
const ERRORS: &str = include_str!("fixtures/errors.txt");

fn document() -> Value {
    serde_json::from_str(DOCUMENT).expect("the fixture is JSON")
}

/// The document with the value at a pointer replaced, or (`None`) without it.
fn changed(pointer: &str, value: Option<Value>) -> Value {
    let mut document = document();
    match value {
        Some(value) => *document.pointer_mut(pointer).expect(pointer) = value,
        None => {
            let (parent, key) = pointer.rsplit_once('/').expect(pointer);
            match document.pointer_mut(parent).expect(pointer) {
                Value::Object(object) => drop(object.remove(key).expect(pointer)),
                Value::Array(list) => drop(list.remove(key.parse().expect(pointer))),
                _ => panic!("{pointer} has no parent"),
            }
        }
    }
    document
}

fn class(need: Consistency, effect: Idempotency, n: i64, worth: f64, late_worth: f64) -> Class {
    Class {
        consistency: need,
        idempotency: effect,
        latency_objective: 500 * MS + n,
        deadline: 3 * SECOND + n,
        priority_weight: worth,
        late_weight_share: late_worth,
    }
}

fn expected_classes() -> Vec<Class> {
    let keyed = |scope, window| Idempotency::WithKey { scope, window };
    let first = Class {
        consistency: Consistency::BoundedStaleness(500 * MS),
        idempotency: Idempotency::Idempotent,
        latency_objective: 300 * MS,
        deadline: 750 * MS,
        priority_weight: 1.0,
        late_weight_share: 0.0,
    };
    vec![
        first,
        class(
            Consistency::Write,
            keyed(KeyScope::Zone, 9 * SECOND),
            0,
            3.0,
            0.5,
        ),
        class(
            Consistency::Strong,
            keyed(KeyScope::Group, 9 * SECOND + 1),
            1,
            2.5,
            0.25,
        ),
        class(
            Consistency::ReadYourWrites,
            keyed(KeyScope::Global, 9 * SECOND + 2),
            2,
            2.25,
            0.125,
        ),
        class(
            Consistency::Eventual,
            Idempotency::NonIdempotent,
            3,
            4.0,
            0.75,
        ),
    ]
}

fn expected_limits() -> Limits {
    Limits {
        max_attempts: 4,
        hedged_requests: false,
        cancel: true,
        health_checks: true,
        retry_after: true,
        max_retry_after: SECOND,
        gossip: false,
        host_gossip: false,
        connect_timeout: 250 * MS,
    }
}

fn expected_obligations() -> Obligations {
    Obligations {
        answer_slack: 20 * MS,
        drain_grace: 1_100 * MS,
        removal_is_advisory: true,
        cold_capacity_share: 0.2,
        warm_up_time: 10 * SECOND,
        overload_multiple: 3.5,
        overload_window: 2 * SECOND,
    }
}

fn expected() -> PlatformSettings {
    PlatformSettings {
        router: Settings {
            classes: expected_classes(),
            fleet_size: 3,
            instance_index: 1,
            zone: 1,
            tick: 5 * MS,
            polls_endpoint_list: false,
            poll_grace: 1,
            lagging_reads: LaggingReads::Delayed(70 * MS),
            positions_in_responses: true,
            role_listing: RoleListing::Delayed,
            session_tracking: SessionTracking::Client,
            commit_waits_for_replica: true,
            load_reporting: LoadReporting::OnResponses,
            reports_carry_position: true,
            retries_are_flagged: true,
            limits: expected_limits(),
            obligations: expected_obligations(),
            costs: Costs {
                health_check: 0.05,
                cross_zone: 0.01,
                wasted_work: 0.04,
                late_failure: 0.1,
            },
        },
        names: NameTable {
            classes: ["balance", "post", "book", "close", "browse"]
                .map(str::to_owned)
                .to_vec(),
            zones: vec!["room".to_owned(), "hall".to_owned()],
        },
        position_zero: SECOND,
        member_idle_timeout: 60 * SECOND,
        max_open_requests: 512,
    }
}

#[test]
fn the_fixed_document_is_parsed_to_the_same_settings() {
    assert_eq!(
        PlatformSettings::from_text(DOCUMENT).expect("a good document"),
        expected()
    );
    assert_eq!(
        PlatformSettings::from_json(&document()).expect("a good document"),
        expected()
    );
}

/// A pointer into the document, the value there (`None`: absent), and what that changes in the
/// settings.
type Change = (&'static str, Option<Value>, fn(&mut PlatformSettings));

fn check_changes<const N: usize>(changes: [Change; N]) {
    for (pointer, value, change) in changes {
        let mut wanted = expected();
        change(&mut wanted);
        let read = PlatformSettings::from_json(&changed(pointer, value)).expect(pointer);
        assert_eq!(read, wanted, "{pointer}");
    }
}

#[test]
fn each_other_value_of_the_domain_has_its_meaning() {
    check_changes([
        ("/Clients", None, |s| s.router.retries_are_flagged = false),
        ("/Clients/MarksRetry", Some(json!(false)), |s| {
            s.router.retries_are_flagged = false
        }),
        ("/Clients/MarksRetry", Some(json!(1)), |s| {
            s.router.retries_are_flagged = false
        }),
        ("/Domain/Behind", Some(json!("silent")), |s| {
            s.router.lagging_reads = LaggingReads::ServedStale
        }),
        ("/Domain/Behind", Some(json!("reject")), |s| {
            s.router.lagging_reads = LaggingReads::Rejected
        }),
        ("/Domain/CommitWaits", Some(json!(false)), |s| {
            s.router.commit_waits_for_replica = false
        }),
        ("/Domain/RoleListed", Some(json!("initial")), |s| {
            s.router.role_listing = RoleListing::AtStart
        }),
        ("/Domain/RoleListed", Some(json!("silent")), |s| {
            s.router.role_listing = RoleListing::Never
        }),
        ("/Domain/SessionMarks", Some(json!("router")), |s| {
            s.router.session_tracking = SessionTracking::Router
        }),
        ("/Domain/Stamps", Some(json!(false)), |s| {
            s.router.positions_in_responses = false
        }),
    ]);
}

#[test]
fn each_other_value_of_the_limits_has_its_meaning() {
    check_changes([
        ("/Limits/ConnIdleNs", None, |s| s.member_idle_timeout = 0),
        ("/Limits/MaxOpen", None, |s| {
            s.max_open_requests = 4_294_967_295
        }),
        ("/Limits/MaxRetryAfterNs", None, |s| {
            s.router.limits.max_retry_after = 0
        }),
        ("/Limits/MayTell", Some(json!(true)), |s| {
            s.router.limits.gossip = true
        }),
        ("/Limits/SecondCopies", Some(json!(true)), |s| {
            s.router.limits.hedged_requests = true
        }),
        ("/Limits/Cancel", Some(json!(false)), |s| {
            s.router.limits.cancel = false
        }),
        ("/Limits/RetryAfter", Some(json!(false)), |s| {
            s.router.limits.retry_after = false
        }),
    ]);
}

#[test]
fn each_other_value_of_the_rest_has_its_meaning() {
    check_changes([
        ("/MembershipMode", Some(json!("subscribe")), |s| {
            s.router.polls_endpoint_list = true
        }),
        ("/Obligations/MustAskInNs", None, |s| {
            s.router.poll_grace = 0
        }),
        ("/Obligations/OnlyDrainingBinds", None, |s| {
            s.router.obligations.removal_is_advisory = false
        }),
        ("/Stats/Fields", Some(json!(["x1"])), |s| {
            s.router.reports_carry_position = false
        }),
        ("/Stats/How", Some(json!("pull")), |s| {
            s.router.load_reporting = LoadReporting::OnHealthChecks
        }),
        ("/Stats/How", Some(json!("silent")), |s| {
            s.router.load_reporting = LoadReporting::Never
        }),
        ("/Zones", None, |s| s.names.zones.clear()),
    ]);
}

/// All pointers into the document, in a fixed order.
fn pointers(at: &Value, path: &str, found: &mut Vec<String>) {
    if !path.is_empty() {
        found.push(path.to_owned());
    }
    match at {
        Value::Object(object) => {
            let mut keys: Vec<_> = object.keys().collect();
            keys.sort();
            keys.iter()
                .for_each(|key| pointers(&object[*key], &format!("{path}/{key}"), found));
        }
        Value::Array(list) => {
            list.iter()
                .zip(0..)
                .for_each(|(item, n)| pointers(item, &format!("{path}/{n}"), found));
        }
        _ => {}
    }
}

fn result_text(result: Result<PlatformSettings, impl ToString>) -> String {
    result.map_or_else(|error| error.to_string(), |_| "accepted".to_owned())
}

/// Writes the table of errors. `cargo test -p stackgw-settings --test document -- --ignored`
#[test]
#[ignore = "writes the fixture"]
fn write_the_error_table() {
    let values = [
        json!(null),
        json!("x"),
        json!(true),
        json!(0),
        json!(-1),
        json!(1.5),
        json!(9_000_000_000_000_000_000_i64),
        json!([]),
        json!({}),
    ];
    let (mut found, mut table) = (Vec::new(), String::new());
    pointers(&document(), "", &mut found);
    for pointer in &found {
        for value in std::iter::once(None).chain(values.iter().cloned().map(Some)) {
            let shown = value.as_ref().map_or("absent".to_owned(), Value::to_string);
            let result = result_text(PlatformSettings::from_json(&changed(pointer, value)));
            writeln!(table, "{pointer}\t{shown}\t{result}").expect("memory");
        }
    }
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/errors.txt");
    std::fs::write(file, table).expect("the fixture is written");
}

#[test]
fn each_document_at_fault_gives_the_same_error() {
    let mut rejected = 0;
    for line in ERRORS.lines() {
        let fields: Vec<_> = line.split('\t').collect();
        let [pointer, shown, wanted] = fields[..] else {
            panic!("'{line}' has other fields")
        };
        let value = (shown != "absent").then(|| serde_json::from_str(shown).expect(line));
        let result = result_text(PlatformSettings::from_json(&changed(pointer, value)));
        assert_eq!(result, wanted, "{pointer} {shown}");
        rejected += usize::from(wanted != "accepted");
    }
    assert!(rejected > 300, "{rejected}");
}

#[test]
fn a_text_that_is_no_json_gives_the_same_error() {
    let cases = [
        (
            "",
            "no JSON object: EOF while parsing a value at line 1 column 0",
        ),
        (
            "{",
            "no JSON object: EOF while parsing an object at line 1 column 1",
        ),
        ("[]", "Limits is no object"),
        ("{}", "Limits is no object"),
    ];
    for (text, wanted) in cases {
        assert_eq!(result_text(PlatformSettings::from_text(text)), wanted);
    }
}

#[test]
fn load_reports_are_read_under_the_documents_names() {
    let mut report = LoadReport::default();
    for (name, value) in [
        ("x0", 3.0),
        ("x1", 1.0),
        ("inflight", 7.0),
        ("queue", 8.0),
        ("util", 0.5),
        ("other", 1.0),
    ] {
        record_load_field(&mut report, name, value);
    }
    assert_eq!((report.position, report.is_primary), (None, Some(true)));
    assert_eq!(
        (report.in_flight, report.queued, report.utilisation),
        (Some(7.0), Some(8.0), Some(0.5))
    );
}
