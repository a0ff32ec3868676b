//! Pauses of the whole process: what arrived meanwhile counts from then, and is read before anything is sent.

mod common;

use common::*;
use stackgw_gateway::reducer::{CloseReason, Input};
use stackgw_router::api::{Span, MS};

/// A pause of the process.
const PAUSE: Span = 600 * MS;
/// Longer than nothing is sent after a pause.
const HOLD: Span = 15 * MS;
/// `StopSendingWithinNs` of the configuration.
const DRAIN_GRACE: Span = 1_000 * MS;

/// A gateway whose process was paused until now, and that has handled nothing since.
fn paused_harness() -> ReducerHarness {
    let mut harness = ReducerHarness::new(&three_members());
    harness.advance(200 * MS);
    harness.now += PAUSE;
    harness
}

/// Regression: the drain of a member counted from the end of a pause on, although the list had named it before.
#[test]
fn a_drain_that_was_told_during_a_pause_counts_from_its_beginning() {
    let mut harness = paused_harness();
    let draining = entry(1, "draining", "leader");
    harness.input(Input::EndpointList(list(2, false, &[draining])));
    harness.advance(DRAIN_GRACE - PAUSE);
    let client = harness.client(1);
    let mut effects = harness.send(client, write_query(900));
    effects.extend(harness.advance(100 * MS));
    assert!(
        statements(&effects).is_empty(),
        "a write was sent to a member after the grace of its drain"
    );
}

/// Regression: a request whose client had left during a pause was forwarded, as its statement was read before its close.
#[test]
fn a_request_whose_client_left_during_a_pause_is_not_forwarded() {
    let mut harness = ReducerHarness::new(&three_members());
    let client = harness.client(1);
    harness.advance(200 * MS);
    harness.now += PAUSE;
    let mut effects = harness.send(client, read_query(900));
    effects.extend(harness.input(Input::ClientClosed(client, CloseReason::Disconnected)));
    effects.extend(harness.advance(100 * MS));
    assert!(statements(&effects).is_empty(), "{effects:?}");
}

/// Regression: a statement was sent to a member that a list named as draining, both read after a pause, longer than the grace.
#[test]
fn a_list_that_arrived_during_a_pause_is_applied_before_statements() {
    let mut harness = ReducerHarness::new(&three_members());
    let client = harness.client(1);
    harness.advance(200 * MS);
    harness.now += DRAIN_GRACE + PAUSE;
    let mut effects = harness.send(client, write_query(900));
    let draining = entry(1, "draining", "leader");
    effects.extend(harness.input(Input::EndpointList(list(2, false, &[draining]))));
    effects.extend(harness.advance(100 * MS));
    assert!(statements(&effects).is_empty(), "{effects:?}");
}

#[test]
fn requests_are_served_after_a_pause_and_the_pause_is_counted() {
    let mut harness = paused_harness();
    let client = harness.client(1);
    let effects = harness.send(client, read_query(900));
    assert!(statements(&effects).is_empty(), "nothing is sent at once");
    let effects = harness.advance(HOLD);
    assert_eq!(statements(&effects).len(), 1);
    let counters = harness.reducer.counters();
    assert_eq!(
        (counters.stalls, counters.longest_stall_ms >= 600),
        (1, true)
    );
    harness.advance(2_000 * MS);
    assert_eq!(
        harness.reducer.counters().stalls,
        1,
        "an idle gateway is not paused"
    );
}
