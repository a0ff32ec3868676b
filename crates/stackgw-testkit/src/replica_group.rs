//! A replication group on loopback: a primary, replicas that apply its log late, and the service that lists them.

use crate::list_http;
use crate::list_revisions::ListedPhase;
use crate::list_service::ListService;
use crate::member::FakeMember;
use crate::postgres_member::PostgresMember;
use crate::replicated_log::{unix_ms, ExecutionLog, LoggedArrival, ReplicatedLog};
use crate::slow_start_model::{ObservedLoad, SlowStartModel};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What members speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// Version 3 of PostgreSQL's protocol.
    Postgres,
    /// Arrow Flight SQL.
    #[cfg(feature = "flight")]
    FlightSql,
}

/// What a group is made of.
#[derive(Debug, Clone, Copy)]
pub struct GroupConfig<'a> {
    /// A replica for each, so many milliseconds behind.
    pub replica_lags_ms: &'a [u64],
    /// What all members speak.
    pub protocol: Protocol,
    /// How many listeners the list service has.
    pub list_listeners: usize,
}

impl<'a> GroupConfig<'a> {
    /// A primary and these replicas, which speak PostgreSQL's protocol; one listener of the list service.
    pub fn new(replica_lags_ms: &'a [u64]) -> Self {
        GroupConfig {
            replica_lags_ms,
            protocol: Protocol::Postgres,
            list_listeners: 1,
        }
    }
}

/// The whole group.
pub struct ReplicaGroup {
    log: Arc<ReplicatedLog>,
    list_service: Arc<ListService>,
    started: Instant,
    /// The members; the first one starts as the primary.
    pub members: Vec<Arc<FakeMember>>,
}

impl ReplicaGroup {
    /// Starts a primary and replicas that are so far behind, all of which speak PostgreSQL's protocol.
    pub fn start(replica_lags_ms: &[u64]) -> io::Result<Arc<Self>> {
        Self::start_with(GroupConfig::new(replica_lags_ms))
    }

    /// Starts a group.
    pub fn start_with(config: GroupConfig) -> io::Result<Arc<Self>> {
        let started = Instant::now();
        let members: Vec<_> = std::iter::once(&0)
            .chain(config.replica_lags_ms)
            .map(|lag_ms| Arc::new(FakeMember::new(*lag_ms, started)))
            .collect();
        members[0].set_primary(true);
        let listeners: Vec<_> = members
            .iter()
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<Result<_, _>>()?;
        let addresses: Vec<_> = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<Result<_, _>>()?;
        let group = Arc::new(ReplicaGroup {
            log: Arc::default(),
            list_service: list_http::start(&addresses, config.list_listeners)?,
            started,
            members,
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let serve = group.member_server(index, config.protocol)?;
            let member = group.members[index].clone();
            std::thread::spawn(move || {
                let connections = listener.incoming().flatten();
                connections.filter(|s| member.accept(s)).for_each(serve);
            });
        }
        Ok(group)
    }

    /// What serves the connections of a member.
    fn member_server(
        &self,
        index: usize,
        protocol: Protocol,
    ) -> io::Result<Box<dyn Fn(TcpStream) + Send>> {
        let member = self.members[index].clone();
        let log = self.log.clone();
        match protocol {
            Protocol::Postgres => {
                let server = PostgresMember { index, member, log };
                Ok(Box::new(move |socket| server.spawn(socket)))
            }
            #[cfg(feature = "flight")]
            Protocol::FlightSql => {
                let server = crate::flight_member::FlightMember { index, member, log };
                let connections = server.spawn()?;
                Ok(Box::new(move |socket| drop(connections.send(socket))))
            }
        }
    }

    /// What was executed so far.
    pub fn executions(&self) -> ExecutionLog {
        self.log.executions()
    }

    /// The ids of all writes so far, in the order in which they ran.
    pub(crate) fn write_order(&self) -> Vec<String> {
        self.log.write_order()
    }

    /// Records what comes to members from now on.
    pub(crate) fn record_arrivals(&self) {
        self.log.record_arrivals();
    }

    /// What has come to members since it is recorded.
    pub(crate) fn arrivals(&self) -> Vec<LoggedArrival> {
        self.log.arrivals()
    }

    /// The service that lists the members.
    pub fn list_service(&self) -> &ListService {
        &self.list_service
    }

    /// Where gateways find the list, where the service has one listener.
    pub fn list_address(&self) -> SocketAddr {
        self.list_service.address(0)
    }

    /// Where the members listen.
    pub fn addresses(&self) -> &[SocketAddr] {
        self.list_service.member_addresses()
    }

    /// How long the group has run.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Requests and streams that all members work on now.
    pub fn in_flight(&self) -> usize {
        let in_flight =
            |member: &Arc<FakeMember>| member.in_flight.load(std::sync::atomic::Ordering::Relaxed);
        self.members.iter().map(in_flight).sum()
    }

    /// Limits a warm member's capacity from now on, and begins its observed load anew.
    pub fn set_capacity(&self, member: usize, model: SlowStartModel) {
        self.members[member].set_capacity(model);
    }

    /// The same for a member whose process has just started. The list does not know of it by itself.
    pub fn set_cold_capacity(&self, member: usize, model: SlowStartModel) {
        self.members[member].set_cold_capacity(model);
    }

    /// What has come to a member since its capacity was set, in time since the group's start.
    pub fn observed_load(&self, member: usize) -> ObservedLoad {
        self.members[member].observed_load()
    }

    /// Makes another member the primary. The list does not know of it by itself.
    pub fn promote(&self, member: usize) {
        for (index, other) in self.members.iter().enumerate() {
            other.set_primary(index == member);
        }
    }

    /// Lists a member in this phase.
    pub fn announce(&self, member: usize, phase: ListedPhase) {
        let is_ready = phase == ListedPhase::Ready;
        self.members[member].set_draining_since((!is_ready).then(Instant::now));
        self.list_service.announce(member, phase, 0);
    }

    /// Lists a member as one whose process has just started.
    pub fn announce_start(&self, member: usize) {
        self.list_service
            .announce(member, ListedPhase::Ready, unix_ms());
    }

    /// Kills a member: its connections break, and new ones are closed at once.
    pub fn kill(&self, member: usize) {
        self.members[member].kill();
    }
}
