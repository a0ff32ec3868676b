//! Executes the gateway's commands to the backend, and reports events to the gateway.

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
use std::time::Instant;
use tokio::sync::{mpsc, oneshot, OnceCell};
use tonic::transport::Channel;

/// An HTTP/2 connection; the cell is empty until it is established.
pub(super) type SharedChannel = Arc<OnceCell<Channel>>;

/// The connections to all members that speak Flight SQL.
pub(crate) struct Backend {
    pub(super) config: BackendConfig,
    pub(super) relay: Arc<Relay>,
    pub(super) log: Logger,
    gateway: BackendChannels,
    pool: Mutex<ChannelPool<SocketAddr>>,
    channels: Mutex<HashMap<ChannelId, SharedChannel>>,
    /// Number of writes whose client disconnected before their outcome was known.
    abandoned_writes: AtomicU64,
    /// Number of connections that failed or could not be established.
    lost_connections: AtomicU64,
}

/// A request, and the latest time at which any part of it may be sent.
pub(super) struct TimedRequest {
    pub(super) request: BackendRequest,
    pub(super) send_by: Option<Instant>,
}

/// A connection as the gateway sees it. Dropping the handle closes the connection.
struct ConnectionHandle {
    requests: mpsc::UnboundedSender<TimedRequest>,
    _open: oneshot::Sender<()>,
}

/// The gateway's commands to one connection.
pub(super) struct ConnectionCommands {
    /// The requests to run on the connection, one at a time.
    pub(super) requests: mpsc::UnboundedReceiver<TimedRequest>,
    /// Resolves when the gateway closes the connection.
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
            abandoned_writes: AtomicU64::new(0),
            lost_connections: AtomicU64::new(0),
        })
    }

    /// Executes the gateway's commands until the gateway ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut connections: HashMap<ConnectionId, ConnectionHandle> = HashMap::new();
        while let Ok(command) = self.gateway.commands.recv().await {
            match command {
                BackendCommand::Open(id, address) => {
                    connections.insert(id, self.open(id, address));
                }
                BackendCommand::Execute {
                    connection,
                    request,
                    send_by,
                } => {
                    if let Some(connection) = connections.get(&connection) {
                        // Sending fails if the connection has ended; the gateway has then been
                        // notified.
                        let _ = connection.requests.send(TimedRequest { request, send_by });
                    }
                }
                BackendCommand::Close(id) => drop(connections.remove(&id)),
            }
        }
    }

    fn open(self: &Arc<Self>, id: ConnectionId, address: SocketAddr) -> ConnectionHandle {
        let (requests, request_receiver) = mpsc::unbounded_channel();
        let (open, closed) = oneshot::channel();
        let commands = ConnectionCommands {
            requests: request_receiver,
            closed,
        };
        tokio::spawn(self.clone().run_connection(id, address, commands));
        ConnectionHandle {
            requests,
            _open: open,
        }
    }

    /// Sends an event to the gateway; the event is dropped if the gateway has ended.
    pub(super) async fn notify(&self, event: BackendEvent) {
        let _ = self.gateway.events.send(event).await;
    }

    /// Assigns a connection of the gateway to an HTTP/2 connection.
    pub(super) fn assign_channel(&self, address: SocketAddr) -> ChannelId {
        lock(&self.pool).assign(&address)
    }

    /// The cell of an HTTP/2 connection, which may not be established yet.
    pub(super) fn shared_channel(&self, id: ChannelId) -> SharedChannel {
        lock(&self.channels).entry(id).or_default().clone()
    }

    /// Excludes an HTTP/2 connection from further requests.
    pub(super) fn mark_channel_broken(&self, id: ChannelId) {
        lock(&self.pool).mark_broken(id);
    }

    /// Releases an ended connection of the gateway. The last one to be released closes the HTTP/2
    /// connection.
    pub(super) fn release_channel(&self, id: ChannelId) {
        if lock(&self.pool).release(id) {
            lock(&self.channels).remove(&id);
        }
    }

    /// Counts a connection that failed or could not be established, and logs it if
    /// [`count_to_log`] returns the count.
    pub(super) fn log_lost_connection(&self, address: SocketAddr, reason: &str) {
        if let Some(count) = count_to_log(&self.lost_connections) {
            info!(
                self.log,
                "flight sql connections to members that failed or were not established: {count}; \
                 the last one to {address}: {reason}"
            );
        }
    }

    /// Counts a write whose client has disconnected. Returns the count if the write's end is to be
    /// logged.
    pub(super) fn count_abandoned_write(&self) -> Option<u64> {
        count_to_log(&self.abandoned_writes)
    }
}

/// Increments a counter. Returns the new count if it is to be logged: at 1, 2, 4, 8 and all further
/// powers of two, so that frequent events do not flood the log.
fn count_to_log(counter: &AtomicU64) -> Option<u64> {
    let count = counter.fetch_add(1, Ordering::Relaxed) + 1;
    count.is_power_of_two().then_some(count)
}
