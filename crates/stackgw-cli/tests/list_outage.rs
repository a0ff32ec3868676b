//! A fleet of real processes without an operator's file, whose list service goes down and recovers.

use stackgw_testkit::{
    peak_in_window, FleetConfig, FleetMode, GatewayFleet, GroupConfig, PollOutcome, ReplicaGroup,
    ServiceState,
};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 50;
const OUTAGE: Duration = Duration::from_secs(6);
/// How soon after its recovery the service must have answered as many polls as there are gateways: from then on, a change counts
/// as announced to all of them.
const POLLED_WITHIN: Duration = Duration::from_secs(6);
const WINDOW: Duration = Duration::from_millis(100);

/// The times at which the service answered polls, from `since` on.
fn answered_polls(group: &ReplicaGroup, since: Duration) -> Vec<Duration> {
    let polls = group.list_service().polls().into_iter();
    let answered = polls.filter(|poll| poll.outcome == PollOutcome::Answered && poll.at >= since);
    answered.map(|poll| poll.at).collect()
}

/// Regression: when the service recovered after 6 s, all 50 gateways polled it within the same 0.1 s.
#[test]
fn polls_are_spread_when_the_list_service_recovers_after_an_outage() {
    let folder = std::env::temp_dir().join(format!("stackgw-outage-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let group = ReplicaGroup::start_with(GroupConfig::new(&[20])).expect("members");
    let lists = vec![group.list_service().address(0)];
    let gateways = GatewayFleet::prepare(FleetConfig {
        gateways: GATEWAYS,
        mode: FleetMode::LocalSessions,
        ..FleetConfig::new(env!("CARGO_BIN_EXE_stackgw").into(), folder, lists)
    });
    let gateways = gateways.unwrap_or_else(|error| panic!("{error}"));
    gateways
        .restart_all(0..GATEWAYS, Duration::ZERO)
        .unwrap_or_else(|error| panic!("{error}"));
    wait_for_polls(&group, Duration::ZERO);

    group.list_service().set_state(ServiceState::Down);
    std::thread::sleep(OUTAGE);
    let recovered_at = group.list_service().elapsed();
    group.list_service().set_state(ServiceState::Up);
    wait_for_polls(&group, recovered_at);

    let polls = answered_polls(&group, recovered_at);
    let peak = peak_in_window(polls.iter().copied(), WINDOW);
    let last = polls[GATEWAYS - 1] - recovered_at;
    eprintln!("{peak} of {GATEWAYS} polls in the worst {WINDOW:?}, the last after {last:?}");
    assert!(
        peak <= GATEWAYS / 4,
        "{peak} of {GATEWAYS} polls within {WINDOW:?}: {polls:?}"
    );
    assert!(
        last < POLLED_WITHIN,
        "poll {GATEWAYS} was answered only {last:?} after the recovery"
    );
    gateways.clean_up();
}

/// Waits until as many polls as there are gateways have been answered from `since` on.
fn wait_for_polls(group: &ReplicaGroup, since: Duration) {
    let started = Instant::now();
    while answered_polls(group, since).len() < GATEWAYS {
        let polls = group.list_service().polls();
        assert!(
            started.elapsed() < Duration::from_secs(20),
            "fewer than {GATEWAYS} polls were answered: {polls:?}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}
