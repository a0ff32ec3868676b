//! Several gateways as real processes in front of a group whose primary crashes and returns as a replica that lags behind, while
//! the list still names it as the primary. No bounded read may run on data older than its bound.

use stackgw_testkit::{
    Client, FleetConfig, FleetMode, GatewayFleet, ListedPhase, ReplicaGroup, RequestOutcome, GROUP,
};
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
/// Well beyond the bound of bounded reads, 2 s.
const LAG_MS: u64 = 5_000;
const READS: usize = 6;
/// Longer than gateways keep a member that has been removed, 30 s, and the second until they look.
const LONG_REMOVAL: Duration = Duration::from_secs(33);
const TIMEOUT: Duration = Duration::from_secs(20);
/// The phase in which a member is not listed as serving.
const REMOVED: ListedPhase = ListedPhase::Gone;

struct Fixture {
    group: Arc<ReplicaGroup>,
    gateways: GatewayFleet,
    clients: Vec<Client>,
    next_id: u64,
}

impl Fixture {
    /// Starts gateways with a client each, in front of a primary (member 0) and two replicas without noticeable lag.
    fn start(name: &str) -> Self {
        let folder: PathBuf =
            std::env::temp_dir().join(format!("stackgw-stale-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let group = ReplicaGroup::start(&[20, 20]).expect("members");
        let gateways = GatewayFleet::start(FleetConfig {
            gateways: GATEWAYS,
            mode: FleetMode::LocalSessions,
            ..FleetConfig::new(
                env!("CARGO_BIN_EXE_stackgw").into(),
                folder,
                vec![group.list_address()],
            )
        });
        let gateways = gateways.unwrap_or_else(|error| panic!("{error}"));
        let connect = |index| {
            let address = gateways.address(index).expect("the gateway listens");
            let mut client = Client::connect(address).expect("a connection");
            assert!(client.is_ready(), "gateway {index} is not ready");
            client
        };
        let clients = (0..GATEWAYS).map(connect).collect();
        Fixture {
            group,
            gateways,
            clients,
            next_id: 1,
        }
    }

    fn read(&mut self, gateway: usize) -> RequestOutcome {
        self.next_id += 1;
        let id = format!("{:016x}", self.next_id);
        self.clients[gateway].query(&format!(
            "SELECT val FROM state WHERE uid = 'k' /* id={id},c=look,d=400,cluster={GROUP} */"
        ))
    }

    /// Sends reads through every gateway, and returns how many were served.
    fn read_everywhere(&mut self) -> usize {
        let mut served = 0;
        for gateway in 0..GATEWAYS {
            for _ in 0..READS {
                served += usize::from(matches!(self.read(gateway), RequestOutcome::Served(_)));
            }
        }
        served
    }

    fn set_lag(&self, member: usize, lag_ms: u64) {
        self.group.members[member]
            .lag_ms
            .store(lag_ms, Ordering::Relaxed);
    }

    /// Waits until every gateway has applied this many lists.
    fn wait_for_lists(&self, count: u64) {
        for gateway in 0..GATEWAYS {
            wait_until("the list at every gateway", || {
                self.counter(gateway, "lists") >= count
            });
        }
    }

    fn counter(&self, gateway: usize, name: &str) -> u64 {
        let line = self.gateways.counters(gateway).expect("the counters");
        let mut words = line.split([' ', ',']);
        let value = words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
        value
            .and_then(|value| value.parse().ok())
            .unwrap_or_else(|| panic!("no counter {name} in: {line}"))
    }

    /// Asserts that all reads so far have met their bound, and that reads are served again once replica 2 has become the primary.
    fn assert_no_stale_read(&mut self) {
        let stale = self.group.executions().stale_reads;
        assert_eq!(stale, 0, "bounded reads on data {LAG_MS} ms old");
        self.group.promote(2);
        wait_until("the new primary serves reads", || {
            self.read_everywhere() > 0
        });
        assert_eq!(self.group.executions().stale_reads, 0);
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.gateways.clean_up();
    }
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Regression fe3bfd: gateways that knew a member as a replica from its answers sent it bounded reads once it had been the primary,
/// crashed, and was listed with its new start and its old role.
#[test]
fn a_primary_that_returns_as_a_lagging_replica_gets_no_bounded_read_by_the_late_list() {
    let mut fixture = Fixture::start("restart");
    wait_until("every gateway has answers of both replicas", || {
        fixture.read_everywhere();
        let requests = |member: usize| {
            fixture.group.members[member]
                .requests
                .load(Ordering::Relaxed)
        };
        requests(1) >= 2 * GATEWAYS as u64 && requests(2) >= 2 * GATEWAYS as u64
    });
    let lists = (0..GATEWAYS).map(|n| fixture.counter(n, "lists")).max();
    // The primary dies, replica 1 takes over and dies too, and replica 2 falls behind.
    fixture.group.kill(0);
    fixture.group.promote(1);
    fixture.group.list_service().announce_primary(1);
    fixture.group.kill(1);
    fixture.set_lag(2, LAG_MS);
    fixture.wait_for_lists(lists.unwrap_or(0) + 1);
    // Positions never go back: what the replicas last reported is as old as their lag from here on.
    std::thread::sleep(Duration::from_millis(LAG_MS));
    fixture.group.revive_as_replica(1, LAG_MS);
    fixture.group.announce_start(1);
    fixture.wait_for_lists(lists.unwrap_or(0) + 2);
    fixture.read_everywhere();
    fixture.assert_no_stale_read();
}

/// Regression: gateways forgot that a member had denied the role of the primary, once it had been removed from the list for 30 s,
/// and sent it bounded reads when it was listed again with that role.
#[test]
fn a_replica_that_was_forgotten_gets_no_bounded_read_by_the_late_list() {
    let mut fixture = Fixture::start("forgotten");
    let nobody = fixture.group.members.len();
    fixture.group.promote(nobody);
    (0..3).for_each(|member| fixture.set_lag(member, LAG_MS));
    // A write is rejected by every member, which thereby denies the role.
    for gateway in 0..GATEWAYS {
        fixture.next_id += 1;
        let id = format!("{:016x}", fixture.next_id);
        fixture.clients[gateway].query(&format!(
            "INSERT INTO state (uid, val) VALUES ('k', '\\x9f') RETURNING val \
             /* id={id},c=buy,d=1000,cluster={GROUP} */"
        ));
    }
    fixture.group.announce(0, REMOVED);
    std::thread::sleep(LONG_REMOVAL);
    for gateway in 0..GATEWAYS {
        assert_eq!(fixture.counter(gateway, "members_forgotten"), 1);
    }
    let lists = (0..GATEWAYS).map(|n| fixture.counter(n, "lists")).max();
    fixture.group.announce(0, ListedPhase::Ready);
    fixture.wait_for_lists(lists.unwrap_or(0) + 1);
    fixture.read_everywhere();
    fixture.assert_no_stale_read();
}
