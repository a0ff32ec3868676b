//! The platform's settings document: the settings that a complete document is parsed to, and the
//! error for each invalid value.

use serde_json::{json, Value};
use stackgw_router::api::*;
use stackgw_settings::{record_load_field, NameTable, PlatformSettings};
use std::fmt::Write;

const DOCUMENT: &str = include_str!("fixtures/settings.json");
/// One changed document per line: `pointer <tab> new value or "absent" <tab> the error, or "accepted"`.
const ERRORS: &str = include_str!("fixtures/errors.txt");
/// Messages that have been reworded since the fixture was written: the text in the fixture and the
/// text of today.
const REWORDED_MESSAGES: &[(&str, &str)] = &[
    (
        "AimNs is no whole number",
        "AimNs is missing or not an integer",
    ),
    (
        "AnswerSlackNs is no whole number",
        "AnswerSlackNs is missing or not an integer",
    ),
    ("Behind holds 'x'", "Behind has the unknown value 'x'"),
    ("Behind is no text", "Behind is missing or not a string"),
    (
        "Cancel is neither true nor false",
        "Cancel is missing or neither true nor false",
    ),
    (
        "CatchUpWaitNs is no whole number",
        "CatchUpWaitNs is missing or not an integer",
    ),
    (
        "Classes holds a name that is no text",
        "Classes contains a name that is not a string",
    ),
    ("Classes is no list", "Classes is missing or not a list"),
    (
        "CommitWaits is neither true nor false",
        "CommitWaits is missing or neither true nor false",
    ),
    (
        "ConnIdleNs is no whole number",
        "ConnIdleNs is missing or not an integer",
    ),
    (
        "CountedFromNs is no whole number",
        "CountedFromNs is missing or not an integer",
    ),
    (
        "CrossZone is no number",
        "CrossZone is missing or not a number",
    ),
    (
        "DeadlineNs is no whole number",
        "DeadlineNs is missing or not an integer",
    ),
    (
        "DedupWindowNs is no whole number",
        "DedupWindowNs is missing or not an integer",
    ),
    (
        "DialTimeoutNs is no whole number",
        "DialTimeoutNs is missing or not an integer",
    ),
    ("Domain is no object", "Domain is missing or not an object"),
    ("Effect holds 'x'", "Effect has the unknown value 'x'"),
    ("Effect is no text", "Effect is missing or not a string"),
    (
        "FallMultiple is no number",
        "FallMultiple is missing or not a number",
    ),
    (
        "FallNs is no whole number",
        "FallNs is missing or not an integer",
    ),
    ("Fields is no list", "Fields is missing or not a list"),
    (
        "FleetSize is no whole number",
        "FleetSize is missing or not an integer",
    ),
    ("Group holds 'x'", "Group has the unknown value 'x'"),
    ("Group is no text", "Group is missing or not a string"),
    ("How holds 'x'", "How has the unknown value 'x'"),
    ("How is no text", "How is missing or not a string"),
    (
        "LateFail is no number",
        "LateFail is missing or not a number",
    ),
    (
        "LateWorth is no number",
        "LateWorth is missing or not a number",
    ),
    ("Limits is no object", "Limits is missing or not an object"),
    (
        "MaxAttempts is no whole number",
        "MaxAttempts is missing or not an integer",
    ),
    (
        "MaxOpen is no whole number",
        "MaxOpen is missing or not an integer",
    ),
    (
        "MaxRetryAfterNs is no whole number",
        "MaxRetryAfterNs is missing or not an integer",
    ),
    (
        "MayTell is neither true nor false",
        "MayTell is missing or neither true nor false",
    ),
    ("Me is no whole number", "Me is missing or not an integer"),
    (
        "MembershipMode is no text",
        "MembershipMode is missing or not a string",
    ),
    (
        "MustAskInNs is no whole number",
        "MustAskInNs is missing or not an integer",
    ),
    (
        "NeedsByClass holds None for class 0",
        "NeedsByClass has a missing or unknown value for class 0: None",
    ),
    (
        "NeedsByClass holds None for class 1",
        "NeedsByClass has a missing or unknown value for class 1: None",
    ),
    (
        "NeedsByClass holds None for class 2",
        "NeedsByClass has a missing or unknown value for class 2: None",
    ),
    (
        "NeedsByClass holds None for class 3",
        "NeedsByClass has a missing or unknown value for class 3: None",
    ),
    (
        "NeedsByClass holds None for class 4",
        "NeedsByClass has a missing or unknown value for class 4: None",
    ),
    (
        "NeedsByClass holds Some(\"x\") for class 0",
        "NeedsByClass has a missing or unknown value for class 0: Some(\"x\")",
    ),
    (
        "NeedsByClass holds Some(\"x\") for class 1",
        "NeedsByClass has a missing or unknown value for class 1: Some(\"x\")",
    ),
    (
        "NeedsByClass holds Some(\"x\") for class 2",
        "NeedsByClass has a missing or unknown value for class 2: Some(\"x\")",
    ),
    (
        "NeedsByClass holds Some(\"x\") for class 3",
        "NeedsByClass has a missing or unknown value for class 3: Some(\"x\")",
    ),
    (
        "NeedsByClass holds Some(\"x\") for class 4",
        "NeedsByClass has a missing or unknown value for class 4: Some(\"x\")",
    ),
    (
        "NeedsByClass is no list",
        "NeedsByClass is missing or not a list",
    ),
    (
        "Obligations is no object",
        "Obligations is missing or not an object",
    ),
    ("Prices is no object", "Prices is missing or not an object"),
    ("Probe is no number", "Probe is missing or not a number"),
    (
        "Probes is neither true nor false",
        "Probes is missing or neither true nor false",
    ),
    (
        "QuantumNs is no whole number",
        "QuantumNs is missing or not an integer",
    ),
    (
        "RetryAfter is neither true nor false",
        "RetryAfter is missing or neither true nor false",
    ),
    (
        "RoleListed holds 'x'",
        "RoleListed has the unknown value 'x'",
    ),
    (
        "RoleListed is no text",
        "RoleListed is missing or not a string",
    ),
    (
        "SecondCopies is neither true nor false",
        "SecondCopies is missing or neither true nor false",
    ),
    (
        "SessionMarks holds 'x'",
        "SessionMarks has the unknown value 'x'",
    ),
    (
        "SessionMarks is no text",
        "SessionMarks is missing or not a string",
    ),
    (
        "StalenessBoundNs holds one that is not above 0",
        "StalenessBoundNs contains a bound that is not above 0",
    ),
    (
        "StalenessBoundNs is no list",
        "StalenessBoundNs is missing or not a list",
    ),
    (
        "StalenessBoundNs is too short",
        "StalenessBoundNs has no integer for a class whose NeedsByClass is 'recent'",
    ),
    (
        "Stamps is neither true nor false",
        "Stamps is missing or neither true nor false",
    ),
    (
        "StartCapacity is no number",
        "StartCapacity is missing or not a number",
    ),
    ("Stats is no object", "Stats is missing or not an object"),
    (
        "StopSendingWithinNs is no whole number",
        "StopSendingWithinNs is missing or not an integer",
    ),
    (
        "WarmWithinNs is no whole number",
        "WarmWithinNs is missing or not an integer",
    ),
    ("Waste is no number", "Waste is missing or not a number"),
    ("Worth is no number", "Worth is missing or not a number"),
    (
        "Zone is no whole number",
        "Zone is missing or not an integer",
    ),
    (
        "Zones holds a name that is no text",
        "Zones contains a name that is not a string",
    ),
];

fn document() -> Value {
    serde_json::from_str(DOCUMENT).expect("the fixture is JSON")
}

/// The document with the value at a pointer replaced, or removed if `value` is `None`.
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

fn class(
    consistency: Consistency,
    idempotency: Idempotency,
    n: i64,
    priority_weight: f64,
    late_weight_share: f64,
) -> Class {
    Class {
        consistency,
        idempotency,
        latency_objective: 500 * MS + n,
        deadline: 3 * SECOND + n,
        priority_weight,
        late_weight_share,
    }
}

fn expected_classes() -> Vec<Class> {
    let with_key = |scope, window| Idempotency::WithKey { scope, window };
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
            with_key(KeyScope::Zone, 9 * SECOND),
            0,
            3.0,
            0.5,
        ),
        class(
            Consistency::Strong,
            with_key(KeyScope::Group, 9 * SECOND + 1),
            1,
            2.5,
            0.25,
        ),
        class(
            Consistency::ReadYourWrites,
            with_key(KeyScope::Global, 9 * SECOND + 2),
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
fn the_recorded_document_is_parsed_to_the_expected_settings() {
    assert_eq!(
        PlatformSettings::from_text(DOCUMENT).expect("the document is valid"),
        expected()
    );
    assert_eq!(
        PlatformSettings::from_json(&document()).expect("the document is valid"),
        expected()
    );
}

/// A pointer into the document, the new value there (`None` removes the key), and the resulting
/// change of the settings.
type Change = (&'static str, Option<Value>, fn(&mut PlatformSettings));

fn check_changes<const N: usize>(changes: [Change; N]) {
    for (pointer, value, change) in changes {
        let mut expected = expected();
        change(&mut expected);
        let parsed = PlatformSettings::from_json(&changed(pointer, value)).expect(pointer);
        assert_eq!(parsed, expected, "{pointer}");
    }
}

#[test]
fn other_values_of_the_domain_and_clients_are_mapped_to_settings() {
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
fn other_values_of_the_limits_are_mapped_to_settings() {
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
fn other_values_of_the_remaining_sections_are_mapped_to_settings() {
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

/// Writes the error fixture: `cargo test -p stackgw-settings --test document -- --ignored`.
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
            let value_text = value.as_ref().map_or("absent".to_owned(), Value::to_string);
            let result = result_text(PlatformSettings::from_json(&changed(pointer, value)));
            writeln!(table, "{pointer}\t{value_text}\t{result}")
                .expect("writing to a string cannot fail");
        }
    }
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/errors.txt");
    std::fs::write(file, table).expect("the fixture is written");
}

/// The message of today for one that was recorded in the fixture.
fn reworded(recorded: &str) -> &str {
    REWORDED_MESSAGES
        .iter()
        .find(|(old, _)| *old == recorded)
        .map_or(recorded, |(_, new)| new)
}

#[test]
fn each_invalid_document_gives_the_recorded_error() {
    let mut rejected = 0;
    for line in ERRORS.lines() {
        let fields: Vec<_> = line.split('\t').collect();
        let [pointer, value_text, expected] = fields[..] else {
            panic!("'{line}' does not have three fields")
        };
        let value = (value_text != "absent").then(|| serde_json::from_str(value_text).expect(line));
        let result = result_text(PlatformSettings::from_json(&changed(pointer, value)));
        assert_eq!(result, reworded(expected), "{pointer} {value_text}");
        rejected += usize::from(expected != "accepted");
    }
    assert!(
        rejected > 300,
        "the fixture has only {rejected} invalid documents"
    );
}

#[test]
fn a_text_that_is_not_a_json_object_is_an_error() {
    let cases = [
        (
            "",
            "not valid JSON: EOF while parsing a value at line 1 column 0",
        ),
        (
            "{",
            "not valid JSON: EOF while parsing an object at line 1 column 1",
        ),
        ("[]", "Limits is missing or not an object"),
        ("{}", "Limits is missing or not an object"),
    ];
    for (text, expected) in cases {
        assert_eq!(result_text(PlatformSettings::from_text(text)), expected);
    }
}

#[test]
fn load_report_fields_are_recorded_by_their_names_in_the_document() {
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
