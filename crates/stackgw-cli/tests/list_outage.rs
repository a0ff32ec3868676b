//! A fleet of real processes with the platform's settings alone, whose list service goes down and comes back.

use stackgw_testkit::{
    peak_in_window, FleetConfig, FleetMode, GatewayFleet, GroupConfig, PollOutcome, ReplicaGroup,
    ServiceState,
};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 50;
const OUTAGE: Duration = Duration::from_secs(6);
/// A change counts as notified this long after the service could be reached.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
const WINDOW: Duration = Duration::from_millis(100);

/// When the service answered polls, from this moment on.
fn answered_polls(group: &ReplicaGroup, since: Duration) -> Vec<Duration> {
    let polls = group.list_service().polls().into_iter();
    let answered = polls.filter(|poll| poll.outcome == PollOutcome::Answered && poll.at >= since);
    answered.map(|poll| poll.at).collect()
}

/// Fifty gateways asked a service that was back after 6 s in the same tenth of a second.
#[test]
fn a_fleet_does_not_come_back_in_step_after_an_outage_of_the_list_service() {
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
    let back = group.list_service().elapsed();
    group.list_service().set_state(ServiceState::Up);
    wait_for_polls(&group, back);

    let polls = answered_polls(&group, back);
    let peak = peak_in_window(polls.iter().copied(), WINDOW);
    let last = polls[GATEWAYS - 1] - back;
    eprintln!("{peak} of {GATEWAYS} polls in the worst {WINDOW:?}, the last after {last:?}");
    assert!(
        peak <= GATEWAYS / 4,
        "{peak} of {GATEWAYS} polls: {polls:?}"
    );
    assert!(last < NOTIFIED_WITHIN, "{last:?}");
    gateways.clean_up();
}

/// Waits until as many polls as there are gateways have been answered since then.
fn wait_for_polls(group: &ReplicaGroup, since: Duration) {
    let started = Instant::now();
    while answered_polls(group, since).len() < GATEWAYS {
        let polls = group.list_service().polls();
        assert!(started.elapsed() < Duration::from_secs(20), "{polls:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
