//! The gateway's commands to the backend, and the events that it gets back.

use crate::config::BackendConfig;
use crate::relay::Relay;
use crate::sync::lock;
use slog::{info, Logger};
use stackgw_gateway::reducer::{BackendRequest, ConnectionId};
use stackgw_gateway::{BackendChannels, BackendCommand, BackendEvent};
use stackgw_streams::{ChannelId, ChannelPool};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{mpsc, oneshot, OnceCell};
use tonic::transport::Channel;

/// An HTTP/2 connection, once it is established.
pub(super) type SharedChannel = Arc<OnceCell<Channel>>;

/// The connections to all members that speak Flight SQL.
pub(crate) struct Backend {
    pub(super) config: BackendConfig,
    pub(super) relay: Arc<Relay>,
    pub(super) log: Logger,
    gateway: BackendChannels,
    pool: Mutex<ChannelPool<SocketAddr>>,
    channels: Mutex<HashMap<ChannelId, SharedChannel>>,
    /// Writes whose client had disconnected by their end.
    unattended_writes: AtomicU64,
    /// Connections that broke or could not be established.
    lost_connections: AtomicU64,
}

/// One connection as the gateway sees it. Dropped, it is closed.
struct ConnectionHandle {
    requests: mpsc::UnboundedSender<BackendRequest>,
    _open: oneshot::Sender<()>,
}

/// What the gateway asks of one connection.
pub(super) struct ConnectionCommands {
    /// The requests on it, one at a time.
    pub(super) requests: mpsc::UnboundedReceiver<BackendRequest>,
    /// Ends when the gateway closes it.
    pub(super) closed: oneshot::Receiver<()>,
}

impl Backend {
    pub(crate) fn new(
        config: BackendConfig,
        gateway: BackendChannels,
        relay: Arc<Relay>,
        log: Logger,
    ) -> Arc<Self> {
        let pool = ChannelPool::new(config.requests_per_channel);
        Arc::new(Backend {
            config,
            relay,
            log,
            gateway,
            pool: Mutex::new(pool),
            channels: Mutex::default(),
            unattended_writes: AtomicU64::new(0),
            lost_connections: AtomicU64::new(0),
        })
    }

    /// Carries out the gateway's commands, until the gateway ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut connections: HashMap<ConnectionId, ConnectionHandle> = HashMap::new();
        while let Ok(command) = self.gateway.commands.recv().await {
            match command {
                BackendCommand::Open(id, address) => {
                    connections.insert(id, self.open(id, address));
                }
                BackendCommand::Execute(id, request) => {
                    if let Some(connection) = connections.get(&id) {
                        // A connection that has ended has notified the gateway.
                        let _ = connection.requests.send(request);
                    }
                }
                BackendCommand::Close(id) => drop(connections.remove(&id)),
            }
        }
    }

    fn open(self: &Arc<Self>, id: ConnectionId, address: SocketAddr) -> ConnectionHandle {
        let (requests, received) = mpsc::unbounded_channel();
        let (open, closed) = oneshot::channel();
        let commands = ConnectionCommands {
            requests: received,
            closed,
        };
        tokio::spawn(self.clone().run_connection(id, address, commands));
        ConnectionHandle {
            requests,
            _open: open,
        }
    }

    /// Reports an event to the gateway; to nobody once that has ended.
    pub(super) async fn notify(&self, event: BackendEvent) {
        let _ = self.gateway.events.send(event).await;
    }

    /// Assigns a connection of the gateway to one of HTTP/2.
    pub(super) fn assign_channel(&self, address: SocketAddr) -> ChannelId {
        lock(&self.pool).assign(&address)
    }

    /// The place of an HTTP/2 connection, established or not.
    pub(super) fn shared_channel(&self, id: ChannelId) -> SharedChannel {
        lock(&self.channels).entry(id).or_default().clone()
    }

    /// No further request goes by this HTTP/2 connection.
    pub(super) fn mark_channel_broken(&self, id: ChannelId) {
        lock(&self.pool).mark_broken(id);
    }

    /// A connection of the gateway has ended; the HTTP/2 connection is closed behind the last one.
    pub(super) fn release_channel(&self, id: ChannelId) {
        if lock(&self.pool).release(id) {
            lock(&self.channels).remove(&id);
        }
    }

    /// Logs a connection that broke or could not be established.
    pub(super) fn log_lost_connection(&self, address: SocketAddr, reason: &str) {
        if let Some(count) = count_to_log(&self.lost_connections) {
            info!(
                self.log,
                "connections to members by flight sql that broke or never came up: {count}; \
                 the last one to {address}: {reason}"
            );
        }
    }

    /// Counts a write whose client has disconnected. Returns the count where the write's end is to
    /// be logged.
    pub(super) fn count_unattended_write(&self) -> Option<u64> {
        count_to_log(&self.unattended_writes)
    }
}

/// Counts one more; the count where it is to be logged: the first, second, fourth, eighth and so
/// on.
fn count_to_log(counter: &AtomicU64) -> Option<u64> {
    let count = counter.fetch_add(1, Ordering::Relaxed) + 1;
    count.is_power_of_two().then_some(count)
}
