//! A replication group on loopback: a primary, replicas that apply its log with a lag, and the service that lists them.

use crate::list_http;
use crate::list_revisions::ListedPhase;
use crate::list_service::ListService;
use crate::member::FakeMember;
use crate::postgres_member::PostgresMember;
use crate::replicated_log::{unix_ms, ExecutionLog, LoggedArrival, ReplicatedLog};
use crate::slow_start_model::{ObservedLoad, SlowStartModel};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The protocol that members speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// Version 3 of PostgreSQL's protocol.
    Postgres,
    /// Arrow Flight SQL.
    #[cfg(feature = "flight")]
    FlightSql,
}

/// The configuration of a group.
#[derive(Debug, Clone, Copy)]
pub struct GroupConfig<'a> {
    /// The replication lag of each replica, in milliseconds; the length is the number of replicas.
    pub replica_lags_ms: &'a [u64],
    /// The protocol of all members.
    pub protocol: Protocol,
    /// The number of listeners of the list service.
    pub list_listeners: usize,
}

impl<'a> GroupConfig<'a> {
    /// A primary and replicas with these lags, all of which speak PostgreSQL's protocol, and a list service with one listener.
    pub fn new(replica_lags_ms: &'a [u64]) -> Self {
        GroupConfig {
            replica_lags_ms,
            protocol: Protocol::Postgres,
            list_listeners: 1,
        }
    }
}

/// A running replication group.
pub struct ReplicaGroup {
    log: Arc<ReplicatedLog>,
    list_service: Arc<ListService>,
    started: Instant,
    /// The members; the first one starts as the primary.
    pub members: Vec<Arc<FakeMember>>,
}

/// Returns whether the listener still accepts connections. Any other error is that of one connection.
fn is_listening(accepted: &io::Result<TcpStream>) -> bool {
    let error = accepted.as_ref().err();
    error.is_none_or(|error| error.kind() != io::ErrorKind::InvalidInput)
}

impl ReplicaGroup {
    /// Starts a primary and replicas with these lags, all of which speak PostgreSQL's protocol.
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
            #[cfg(feature = "flight")]
            member.set_listener(listener.try_clone()?);
            std::thread::spawn(move || {
                let connections = listener.incoming().take_while(is_listening).flatten();
                connections.filter(|s| member.accept(s)).for_each(serve);
            });
        }
        Ok(group)
    }

    /// Returns the function that serves a connection of this member.
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
                let server = crate::flight_member::FlightMember {
                    index,
                    member,
                    log,
                    ending: std::sync::Arc::default(),
                };
                let connections = server.spawn()?;
                Ok(Box::new(move |socket| drop(connections.send(socket))))
            }
        }
    }

    /// The statements executed so far.
    pub fn executions(&self) -> ExecutionLog {
        self.log.executions()
    }

    /// The ids of all writes so far, in execution order.
    pub(crate) fn write_order(&self) -> Vec<String> {
        self.log.write_order()
    }

    /// Starts to record the statements that arrive at members.
    pub(crate) fn start_recording_arrivals(&self) {
        self.log.start_recording_arrivals();
    }

    /// The recorded arrivals of statements at members.
    pub(crate) fn arrivals(&self) -> Vec<LoggedArrival> {
        self.log.arrivals()
    }

    /// The service that lists the members.
    pub fn list_service(&self) -> &ListService {
        &self.list_service
    }

    /// The address of the list service's first listener.
    pub fn list_address(&self) -> SocketAddr {
        self.list_service.address(0)
    }

    /// The addresses at which the members listen.
    pub fn addresses(&self) -> &[SocketAddr] {
        self.list_service.member_addresses()
    }

    /// The time since the group's start.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Requests and streams in progress at all members.
    pub fn in_flight(&self) -> usize {
        let in_flight = |member: &Arc<FakeMember>| member.in_flight.load(Ordering::Relaxed);
        self.members.iter().map(in_flight).sum()
    }

    /// Limits the capacity of a member, as a warm one, from now on, and resets its observed load.
    pub fn set_capacity(&self, member: usize, model: SlowStartModel) {
        self.members[member].set_capacity(model);
    }

    /// Limits the capacity of a member as one whose process has just started, and resets its observed load. The list does not
    /// change; see [`ReplicaGroup::announce_start`].
    pub fn set_cold_capacity(&self, member: usize, model: SlowStartModel) {
        self.members[member].set_cold_capacity(model);
    }

    /// A member's load since its capacity was set; its times are relative to the group's start.
    pub fn observed_load(&self, member: usize) -> ObservedLoad {
        self.members[member].observed_load()
    }

    /// Makes a member the primary. The list does not change; see [`ListService::announce_primary`].
    pub fn promote(&self, member: usize) {
        for (index, other) in self.members.iter().enumerate() {
            other.set_primary(index == member);
        }
    }

    /// Lists a member with this phase.
    pub fn announce(&self, member: usize, phase: ListedPhase) {
        let is_ready = phase == ListedPhase::Ready;
        self.members[member].set_draining_since((!is_ready).then(Instant::now));
        self.list_service.announce(member, phase, 0);
    }

    /// Lists a member as ready, with its process just started.
    pub fn announce_start(&self, member: usize) {
        self.list_service
            .announce(member, ListedPhase::Ready, unix_ms());
    }

    /// Kills a member: its connections break, and new ones are closed immediately.
    pub fn kill(&self, member: usize) {
        self.members[member].kill();
    }

    /// Lets a killed member accept connections again, as a replica with this lag. The list does not change.
    pub fn revive_as_replica(&self, member: usize, lag_ms: u64) {
        let member = &self.members[member];
        member.set_primary(false);
        member.lag_ms.store(lag_ms, Ordering::Relaxed);
        member.revive();
    }
}
