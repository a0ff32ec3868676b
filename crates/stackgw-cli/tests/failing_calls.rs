//! Gateways whose calls on sockets fail for a moment, are interrupted or are short, by a shim in their process.

mod common;

use common::gateway_common::{config_text, list_text};
use common::gateway_process::{start_fixture_with_env, GatewayFixture};
use common::pg_connection::{frame_kinds, insert, select};
use common::scripted_list_service::start_list_service;
use common::shim::compile_shim;
use std::collections::BTreeSet;
use std::ffi::OsStr;
use std::time::{Duration, Instant};

const SEEDS: [&str; 3] = ["1", "2", "3"];
/// Failed accepts, interrupted and short receives and sends, as the shim records them.
const CHANGED_CALLS: [char; 3] = ['a', 'i', 's'];
const CLIENTS: usize = 12;
const REQUESTS: usize = 15;
/// Far beyond what short and interrupted calls cost on a busy machine, and within the requests' time.
const REQUEST_TIME: Duration = Duration::from_secs(10);

/// Each request is served, by its own value, in time; each write runs once.
#[test]
fn requests_are_served_while_calls_on_sockets_fail_for_a_moment() {
    let library = compile_shim("failing_calls", "requests");
    let log = library.with_file_name("changed-calls");
    let _ = std::fs::remove_file(&log);
    for seed in SEEDS {
        let env: [(&str, &OsStr); 3] = [
            ("LD_PRELOAD", library.as_os_str()),
            ("FAILING_CALLS_SEED", OsStr::new(seed)),
            ("FAILING_CALLS_LOG", log.as_os_str()),
        ];
        let start_lists = |entries: &[String]| start_list_service(list_text(1, true, entries));
        let name = format!("failing-{seed}");
        let GatewayFixture {
            gateway,
            statements,
            ..
        } = start_fixture_with_env(&name, &config_text("null"), &env, start_lists);
        let clients: Vec<_> = (0..CLIENTS).map(|_| gateway.ready_client()).collect();
        std::thread::scope(|scope| {
            for (number, mut client) in clients.into_iter().enumerate() {
                scope.spawn(move || {
                    for n in 0..REQUESTS {
                        let key = format!("key{number}n{n}");
                        let is_write = n % 3 == 0;
                        let statement = if is_write { insert(&key) } else { select(&key) };
                        let sent_at = Instant::now();
                        client.write(&[statement]);
                        let reply = client.read_reply();
                        assert_eq!(frame_kinds(&reply), "TDCZ", "seed {seed}, {key}");
                        assert!(sent_at.elapsed() < REQUEST_TIME, "seed {seed}, {key}");
                        let row = String::from_utf8_lossy(reply[1].body()).into_owned();
                        assert!(row.ends_with(&key), "seed {seed}: {row} in place of {key}");
                    }
                });
            }
        });
        let writes = statements
            .try_iter()
            .filter(|text| text.starts_with("INSERT"));
        let writes: Vec<String> = writes.collect();
        let distinct: BTreeSet<&String> = writes.iter().collect();
        assert_eq!(writes.len(), CLIENTS * REQUESTS / 3, "seed {seed}");
        assert_eq!(
            distinct.len(),
            writes.len(),
            "seed {seed}: a write ran twice"
        );
        assert_eq!(gateway.counter("clients_bad"), 0, "seed {seed}");
        assert_eq!(gateway.counter("members_bad"), 0, "seed {seed}");
    }
    let changed = std::fs::read_to_string(log).expect("the record of changed calls");
    let kinds: BTreeSet<char> = changed.chars().collect();
    let expected = BTreeSet::from(CHANGED_CALLS);
    assert_eq!(kinds, expected, "the kinds of calls that the shim changed");
}
