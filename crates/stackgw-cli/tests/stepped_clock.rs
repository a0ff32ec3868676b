//! Gateways whose machine's wall clock is stepped, by a shim over `clock_gettime`: before the start, so that the process begins with a
//! wrong time, and while it runs. The monotonic clock runs on.

mod common;

use common::gateway_common::config_text;
use common::gateway_process::GatewayProcess;
use common::pg_connection::{frame_kinds, insert, select};
use common::shim::compile_shim;
use stackgw_testkit::ReplicaGroup;
use std::ffi::OsStr;
use std::path::PathBuf;

/// Beyond the bound of bounded reads, which is 2 s for the members' record and 1 s in the gateway's configuration.
const LAG_MS: u64 = 2_300;
const READS: usize = 6;
/// Steps of the wall clock, in seconds.
const STEPS: [i64; 4] = [-2, 2, -3_600, 3_600];

struct Shim {
    library: PathBuf,
    step_file: PathBuf,
}

impl Shim {
    /// Compiles the shim for the test of this name; the clock is not stepped yet.
    fn compile(name: &str) -> Self {
        let library = compile_shim("clock_step", name);
        let step_file = library.with_file_name("step");
        let shim = Shim { library, step_file };
        shim.step(0);
        shim
    }

    fn step(&self, seconds: i64) {
        let new = self.step_file.with_extension("new");
        std::fs::write(&new, seconds.to_string()).expect("a file");
        std::fs::rename(new, &self.step_file).expect("the file is replaced");
    }

    /// Starts a gateway in front of a group, with the shim.
    fn start_gateway(&self, name: &str, group: &ReplicaGroup) -> GatewayProcess {
        let env: [(&str, &OsStr); 2] = [
            ("LD_PRELOAD", self.library.as_os_str()),
            ("CLOCK_STEP_FILE", self.step_file.as_os_str()),
        ];
        GatewayProcess::start_with_env(name, group.list_address(), &config_text("null"), &env)
    }
}

fn assert_reads_are_fresh(gateway: &GatewayProcess, group: &ReplicaGroup, step: i64) {
    let mut client = gateway.ready_client();
    for _ in 0..READS {
        client.write(&[select("key")]);
        let reply = frame_kinds(&client.read_reply());
        assert!(
            reply.starts_with("TDC"),
            "clock stepped by {step} s: the read got {reply}"
        );
    }
    let stale = group.executions().stale_reads;
    assert_eq!(
        stale, 0,
        "clock stepped by {step} s: stale reads of {READS}"
    );
}

/// Regression: a gateway that started while its clock was 2 s behind took a replica that lagged by 2.3 s for a fresh one, and threw
/// the primary's positions away as lying in the future.
#[test]
fn a_clock_stepped_before_the_start_makes_no_stale_replica_fresh() {
    for (n, step) in STEPS.into_iter().enumerate() {
        let group = ReplicaGroup::start(&[LAG_MS]).expect("members");
        let name = format!("before-{n}");
        let shim = Shim::compile(&name);
        shim.step(step);
        let gateway = shim.start_gateway(&name, &group);
        assert_reads_are_fresh(&gateway, &group, step);
    }
}

#[test]
fn a_clock_stepped_while_the_gateway_runs_changes_nothing() {
    let group = ReplicaGroup::start(&[LAG_MS]).expect("members");
    let shim = Shim::compile("during");
    let gateway = shim.start_gateway("during", &group);
    let mut client = gateway.ready_client();
    for step in STEPS {
        shim.step(step);
        client.write(&[insert("key")]);
        let reply = frame_kinds(&client.read_reply());
        assert!(
            reply.starts_with("TDC"),
            "clock stepped by {step} s: the write got {reply}"
        );
        assert_reads_are_fresh(&gateway, &group, step);
    }
    assert_eq!(gateway.counter("positions_implausible"), 0);
}
