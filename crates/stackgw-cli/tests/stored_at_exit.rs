//! A gateway completes the writes to disk that are queued when it exits.

use stackgw_testkit::{
    BootstrapConfig, FleetConfig, FleetMode, GatewayFleet, GroupConfig, ReplicaGroup,
};
use std::fs::File;
use std::io::Read;
use std::process::Command;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Regression: a gateway that exited lost the endpoint list that its writer thread had not written yet.
#[test]
fn a_gateway_writes_the_queued_list_before_it_exits() {
    let folder = std::env::temp_dir().join(format!("stackgw-stored-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    // The file that the writer opens is a named pipe, which blocks it until the test reads.
    let pipe = folder.join("g0.new");
    let made = Command::new("mkfifo").arg(&pipe).status();
    assert!(made.is_ok_and(|status| status.success()));
    let group = ReplicaGroup::start_with(GroupConfig::new(&[20])).expect("members");
    let lists = vec![group.list_service().address(0)];
    let gateways = GatewayFleet::start(FleetConfig {
        gateways: 1,
        mode: FleetMode::Bootstrap,
        bootstrap: BootstrapConfig {
            has_cluster: false,
            yaml_lines: vec![
                "bears: 10".to_owned(),
                "list: \"{folder}/g{n}.list\"".to_owned(),
            ],
        },
        ..FleetConfig::new(env!("CARGO_BIN_EXE_stackgw").into(), folder, lists)
    });
    let gateways = gateways.unwrap_or_else(|error| panic!("{error}"));
    wait_until("a poll of the list service", || {
        !group.list_service().polls().is_empty()
    });
    let log = gateways.control_socket(0).with_extension("log");
    gateways.terminate(0);
    // The counters are the last line of the log.
    wait_until("the counters in the log", || {
        std::fs::read_to_string(&log).is_ok_and(|text| text.contains("counters "))
    });

    let (sender, written) = channel();
    std::thread::spawn(move || {
        let mut text = String::new();
        let read = File::open(pipe).and_then(|mut pipe| pipe.read_to_string(&mut text));
        let _ = read.map(|_| sender.send(text));
    });
    let text = written.recv_timeout(TIMEOUT).expect("the list is written");
    assert!(text.contains("\"members\""), "not a list: {text}");
    wait_until("the exit of the process", || {
        gateways.has_ended(0).expect("the process status")
    });
    gateways.clean_up();
}

fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
