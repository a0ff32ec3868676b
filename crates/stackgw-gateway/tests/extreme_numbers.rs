//! Every number of the configuration and of the endpoint list, at extreme values: it is rejected, or the gateway runs with it.

mod common;

use common::*;
use serde_json::{json, Value};
use stackgw_gateway::config::Config;
use stackgw_gateway::discovery::parse_endpoint_list;
use stackgw_gateway::reducer::Input;
use stackgw_router::api::{MS, SECOND};

/// Collects the JSON pointers to all numbers of a document.
fn collect_number_pointers(value: &Value, pointer: &str, found: &mut Vec<String>) {
    match value {
        Value::Number(_) => found.push(pointer.to_owned()),
        Value::Array(values) => {
            for (index, value) in values.iter().enumerate() {
                collect_number_pointers(value, &format!("{pointer}/{index}"), found);
            }
        }
        Value::Object(fields) => {
            for (name, value) in fields {
                collect_number_pointers(value, &format!("{pointer}/{name}"), found);
            }
        }
        _ => {}
    }
}

fn extreme_values() -> Vec<Value> {
    vec![
        json!(0),
        json!(1),
        json!(-1),
        json!(0.5),
        json!(1e18),
        json!(i64::MAX),
        json!(i64::MIN),
        json!(u64::MAX),
        json!(1e300),
    ]
}

/// Starts a gateway with this configuration and lets some time pass with requests in flight.
fn run_for_a_while(config: Config) {
    let mut harness = ReducerHarness::with(config);
    let client = harness.client(1);
    for frame in [read_query(900), write_query(1_900)] {
        if harness.reducer.accepts_frame(client) {
            harness.send(client, frame);
        }
    }
    harness.advance(50 * MS);
    harness.advance(3 * SECOND);
}

/// Sets each number of a document to each extreme value, and returns the ones with which `run` panics.
fn panicking_values(document: &Value, run: fn(&Value)) -> Vec<String> {
    let mut pointers = Vec::new();
    collect_number_pointers(document, "", &mut pointers);
    assert!(!pointers.is_empty());
    let mut panicked = Vec::new();
    for pointer in &pointers {
        for extreme in extreme_values() {
            let mut changed = document.clone();
            *changed.pointer_mut(pointer).expect("the pointer is valid") = extreme.clone();
            if std::panic::catch_unwind(|| run(&changed)).is_err() {
                panicked.push(format!("{pointer} = {extreme}"));
            }
        }
    }
    panicked
}

/// A number that is accepted and overflows later panics in a debug build and wraps around in a release build.
#[test]
fn a_configuration_with_an_extreme_number_is_rejected_or_runs() {
    let document: Value = serde_json::from_str(&config_text(&three_members())).expect("valid JSON");
    let panicked = panicking_values(&document, |changed| {
        if let Ok(config) = Config::from_text(&changed.to_string(), |_| None) {
            run_for_a_while(config);
        }
    });
    assert!(panicked.is_empty(), "{panicked:#?}");
}

#[test]
fn a_list_with_an_extreme_number_is_rejected_or_serves() {
    let document: Value = serde_json::from_str(&three_members()).expect("valid JSON");
    let panicked = panicking_values(&document, |changed| {
        let Ok(update) = parse_endpoint_list(changed.to_string().as_bytes()) else {
            return;
        };
        let mut harness = ReducerHarness::new("null");
        harness.input(Input::EndpointList(update));
        let client = harness.client(1);
        if harness.reducer.accepts_frame(client) {
            harness.send(client, read_query(900));
        }
        harness.advance(3 * SECOND);
    });
    assert!(panicked.is_empty(), "{panicked:#?}");
}
