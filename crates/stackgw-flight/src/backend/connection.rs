//! One connection as the gateway sees it: connecting, its requests one after another, its end.

use super::dispatcher::{Backend, ConnectionCommands};
use super::request::{LostConnection, MemberRequest, RequestEnd};
use crate::status::root_cause;
use stackgw_gateway::reducer::{CloseReason, ConnectionId};
use stackgw_gateway::BackendEvent;
use stackgw_streams::ChannelId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tonic::transport::{Channel, Endpoint, Error};

/// Bytes of one stream that HTTP/2 buffers beside what flow control allows; a connection has as
/// many for each request.
///
/// Danger: a connection with less would stall once some of its streams are not read.
const WINDOW_BYTES: u32 = 512 << 10;
/// Largest window of HTTP/2.
const MAX_WINDOW_BYTES: u32 = i32::MAX as u32;

/// Why there is no connection.
enum ConnectFailure {
    /// The gateway closed it before it was established.
    Cancelled,
    /// The member could not be reached.
    Unreachable,
}

impl Backend {
    /// Runs a connection from its opening to its end.
    pub(super) async fn run_connection(
        self: Arc<Self>,
        id: ConnectionId,
        address: SocketAddr,
        mut commands: ConnectionCommands,
    ) {
        let channel_id = self.assign_channel(address);
        let connected = tokio::select! {
            connected = self.connect(channel_id, address) => connected,
            _ = &mut commands.closed => Err(ConnectFailure::Cancelled),
        };
        match connected {
            Ok(channel) => {
                self.notify(BackendEvent::Connected(id)).await;
                if let Some(lost) = self.run_requests(id, channel, commands).await {
                    // What broke under one request is given no others.
                    self.mark_channel_broken(channel_id);
                    if let Some(reason) = lost.reason {
                        self.log_lost_connection(address, &reason);
                    }
                    self.notify(BackendEvent::Closed(id, lost.closed)).await;
                }
            }
            Err(failure) => {
                self.mark_channel_broken(channel_id);
                if let ConnectFailure::Unreachable = failure {
                    self.notify(BackendEvent::Closed(id, CloseReason::Disconnected))
                        .await;
                }
            }
        }
        self.release_channel(channel_id);
    }

    /// Runs the requests on a connection. Returns how it was lost, unless the gateway closed it.
    async fn run_requests(
        self: &Arc<Self>,
        id: ConnectionId,
        channel: Channel,
        mut commands: ConnectionCommands,
    ) -> Option<LostConnection> {
        while let Some(request) = commands.requests.recv().await {
            let request = MemberRequest::new(self.clone(), id, channel.clone(), request);
            match request.run(&mut commands.closed).await {
                RequestEnd::Reusable => {}
                RequestEnd::Lost(lost) => return Some(lost),
                RequestEnd::ClosedByGateway => return None,
            }
        }
        None
    }

    /// The HTTP/2 connection, established by whoever needs it first.
    async fn connect(&self, id: ChannelId, address: SocketAddr) -> Result<Channel, ConnectFailure> {
        let shared = self.shared_channel(id);
        let timeout = Duration::from_millis(self.config.connect_timeout_ms);
        let connecting = shared.get_or_try_init(|| self.establish(address, timeout));
        // A host that accepts the connection and then sends nothing has not established one.
        match tokio::time::timeout(timeout, connecting).await {
            Ok(Ok(channel)) => return Ok(channel.clone()),
            Ok(Err(error)) => self.log_lost_connection(address, &root_cause(&error)),
            Err(_) => self.log_lost_connection(address, "not up in time"),
        }
        Err(ConnectFailure::Unreachable)
    }

    async fn establish(&self, address: SocketAddr, timeout: Duration) -> Result<Channel, Error> {
        let requests = u32::try_from(self.config.requests_per_channel).unwrap_or(u32::MAX);
        let connection_window = WINDOW_BYTES.saturating_mul(requests.saturating_add(1));
        Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(timeout)
            .tcp_nodelay(true)
            .initial_stream_window_size(WINDOW_BYTES)
            .initial_connection_window_size(connection_window.min(MAX_WINDOW_BYTES))
            .connect()
            .await
    }
}
