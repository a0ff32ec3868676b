//! One fake member: its role, its capacity, the faults that a test injects, and the load that it received. It is independent of
//! the wire protocol.

use crate::slow_start_model::{MemberLoad, ObservedLoad, SlowStartModel, WorkOutcome};
use crate::sync::lock;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One member, whose state tests change while it runs.
#[derive(Debug)]
pub struct FakeMember {
    /// A replica's replication lag, in milliseconds; ignored on the primary.
    pub lag_ms: AtomicU64,
    /// Extra delay of each answer, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Whether the member accepts connections and requests but never answers requests, not even after this is unset.
    pub unresponsive: AtomicBool,
    /// Whether answers never end: the member runs each request and then sends its load report again and again, as long as this is
    /// set and the connection lasts. Members that speak Flight SQL ignore it.
    pub answers_without_end: AtomicBool,
    /// How long the startup of a new connection takes, in milliseconds. Members that speak Flight SQL ignore it.
    pub startup_delay_ms: AtomicU64,
    /// Whether the member runs each write and then, instead of answering, breaks the write's connection, or all its
    /// connections if it speaks Flight SQL.
    pub drops_write_replies: AtomicBool,
    /// Whether the member, if it speaks Flight SQL, runs the next write already for GetFlightInfo, and then ends gracefully: it
    /// listens no more, answers what it has, and closes its connections.
    pub ends_after_write: AtomicBool,
    /// Streams stall after this many batches; 0: never.
    pub stall_after_batches: AtomicU64,
    /// Streams change their schema after this many batches; 0: never.
    pub change_schema_after_batches: AtomicU64,
    /// Requests and streams in progress.
    pub in_flight: Arc<AtomicUsize>,
    /// Cancellations received.
    pub cancellations: AtomicU64,
    /// Requests received, without health checks.
    pub requests: AtomicU64,
    is_primary: AtomicBool,
    /// The member's last commit as the primary, in Unix milliseconds.
    committed_ms: AtomicU64,
    load: Mutex<Option<MemberLoad>>,
    /// Since when the list shows the member as draining or gone.
    draining_since: Mutex<Option<Instant>>,
    is_dead: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// A handle of the listener.
    #[cfg(feature = "flight")]
    listener: Mutex<Option<std::net::TcpListener>>,
    group_started: Instant,
}

/// Counts one request or stream as in flight for as long as it lives.
pub(crate) struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl FakeMember {
    /// A replica with this replication lag. The times of its load are relative to the group's start.
    pub(crate) fn new(lag_ms: u64, group_started: Instant) -> Self {
        FakeMember {
            lag_ms: lag_ms.into(),
            delay_ms: AtomicU64::default(),
            unresponsive: AtomicBool::default(),
            answers_without_end: AtomicBool::default(),
            startup_delay_ms: AtomicU64::default(),
            drops_write_replies: AtomicBool::default(),
            ends_after_write: AtomicBool::default(),
            stall_after_batches: AtomicU64::default(),
            change_schema_after_batches: AtomicU64::default(),
            in_flight: Arc::default(),
            cancellations: AtomicU64::default(),
            requests: AtomicU64::default(),
            is_primary: AtomicBool::default(),
            committed_ms: AtomicU64::default(),
            load: Mutex::default(),
            draining_since: Mutex::default(),
            is_dead: AtomicBool::default(),
            connections: Mutex::default(),
            #[cfg(feature = "flight")]
            listener: Mutex::default(),
            group_started,
        }
    }

    pub(crate) fn is_primary(&self) -> bool {
        self.is_primary.load(Ordering::SeqCst)
    }

    pub(crate) fn set_primary(&self, is_primary: bool) {
        self.is_primary.store(is_primary, Ordering::SeqCst);
    }

    /// The role's name on the wire.
    pub(crate) fn role(&self) -> &'static str {
        if self.is_primary() {
            "leader"
        } else {
            "follower"
        }
    }

    pub(crate) fn committed_ms(&self) -> u64 {
        self.committed_ms.load(Ordering::SeqCst)
    }

    /// Records a commit as the primary. The member keeps what it committed when it becomes a replica.
    pub(crate) fn record_commit(&self, commit_ms: u64) {
        self.committed_ms.fetch_max(commit_ms, Ordering::SeqCst);
    }

    /// The present replication lag, in milliseconds.
    pub(crate) fn effective_lag_ms(&self) -> u64 {
        if self.is_primary() {
            0
        } else {
            self.lag_ms.load(Ordering::Relaxed)
        }
    }

    /// The extra delay of answers, if one is set.
    pub(crate) fn delay(&self) -> Option<Duration> {
        let delay_ms = self.delay_ms.load(Ordering::Relaxed);
        (delay_ms > 0).then(|| Duration::from_millis(delay_ms))
    }

    pub(crate) fn answers_without_end(&self) -> bool {
        self.answers_without_end.load(Ordering::Relaxed)
    }

    pub(crate) fn startup_delay(&self) -> Duration {
        Duration::from_millis(self.startup_delay_ms.load(Ordering::Relaxed))
    }

    pub(crate) fn is_unresponsive(&self) -> bool {
        self.unresponsive.load(Ordering::Relaxed)
    }

    pub(crate) fn is_dropping_write_replies(&self) -> bool {
        self.drops_write_replies.load(Ordering::Relaxed)
    }

    /// Counts a request or stream as in flight until the guard is dropped.
    pub(crate) fn begin_work(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.in_flight.clone())
    }

    /// Limits the member's capacity from now on, and resets its observed load.
    pub(crate) fn set_capacity(&self, model: SlowStartModel) {
        *lock(&self.load) = Some(MemberLoad::new(model));
    }

    /// Limits the capacity as that of a member whose process has just started, and resets its observed load.
    pub(crate) fn set_cold_capacity(&self, model: SlowStartModel) {
        let mut load = MemberLoad::new(model);
        load.start(self.group_started.elapsed());
        *lock(&self.load) = Some(load);
    }

    /// The load since the capacity was limited.
    pub(crate) fn observed_load(&self) -> ObservedLoad {
        lock(&self.load)
            .as_ref()
            .map(MemberLoad::observed)
            .unwrap_or_default()
    }

    /// Admits or rejects work by the member's present capacity.
    pub(crate) fn admit(
        &self,
        work: impl FnOnce(&mut MemberLoad, Duration) -> WorkOutcome,
    ) -> WorkOutcome {
        match lock(&self.load).as_mut() {
            None => WorkOutcome::DoneAfter(Duration::ZERO),
            Some(load) => work(load, self.group_started.elapsed()),
        }
    }

    /// Sets since when the list shows the member as draining or gone; `None`: it does not.
    pub(crate) fn set_draining_since(&self, since: Option<Instant>) {
        *lock(&self.draining_since) = since;
    }

    /// How long the list has shown the member as draining or gone; zero if it does not.
    pub(crate) fn draining_for(&self) -> Duration {
        lock(&self.draining_since)
            .map(|since| since.elapsed())
            .unwrap_or_default()
    }

    /// Accepts a connection. Returns false if the member is dead; the connection is then closed.
    pub(crate) fn accept(&self, socket: &TcpStream) -> bool {
        let _ = socket.set_nodelay(true);
        if let Ok(clone) = socket.try_clone() {
            lock(&self.connections).push(clone);
        }
        let is_alive = !self.is_dead.load(Ordering::SeqCst);
        if !is_alive {
            let _ = socket.shutdown(Shutdown::Both);
        }
        is_alive
    }

    /// Drops the clone of a closed connection's socket. Without this, the clones of thousands of closed connections use up all
    /// descriptors of a test with hundreds of gateways.
    pub(crate) fn forget_connection(&self, peer: Option<SocketAddr>) {
        lock(&self.connections).retain(|socket| socket.peer_addr().ok() != peer);
    }

    /// Sets a handle of the listener, for [`stop_listening`](Self::stop_listening).
    #[cfg(feature = "flight")]
    pub(crate) fn set_listener(&self, listener: std::net::TcpListener) {
        *lock(&self.listener) = Some(listener);
    }

    /// Refuses new connections from now on.
    #[cfg(feature = "flight")]
    pub(crate) fn stop_listening(&self) {
        if let Some(listener) = lock(&self.listener).take() {
            let _ = rustix::net::shutdown(&listener, rustix::net::Shutdown::Both);
        }
    }

    /// Breaks all connections, and closes new ones immediately.
    pub(crate) fn kill(&self) {
        self.is_dead.store(true, Ordering::SeqCst);
        for socket in lock(&self.connections).drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Accepts connections again.
    pub(crate) fn revive(&self) {
        self.is_dead.store(false, Ordering::SeqCst);
    }
}
