//! A connection as the gateway sees it: connecting, running its requests in sequence, closing.

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

/// HTTP/2 flow-control window of one stream, in bytes. HTTP/2 may buffer this much for a stream in
/// addition to what the relay's flow control allows.
///
/// The window of a connection is one stream window per request, plus one. With a smaller window,
/// all streams of a connection would stall if some of them are not read.
const WINDOW_BYTES: u32 = 512 << 10;
/// Maximum window size in HTTP/2, in bytes.
const MAX_WINDOW_BYTES: u32 = i32::MAX as u32;

/// Why a connection was not established.
enum ConnectFailure {
    /// The gateway closed the connection before it was established.
    Cancelled,
    /// The member could not be reached.
    Unreachable,
}

impl Backend {
    /// Runs a connection from opening to closing.
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
                    // An HTTP/2 connection that failed for one request is not used for others.
                    self.mark_channel_broken(channel_id);
                    if let Some(reason) = lost.log_reason {
                        self.log_lost_connection(address, &reason);
                    }
                    self.notify(BackendEvent::Closed(id, lost.close_reason))
                        .await;
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

    /// Runs the requests on a connection. Returns how the connection was lost, or `None` if the
    /// gateway closed it.
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

    /// Returns the shared HTTP/2 connection, establishing it if necessary.
    async fn connect(&self, id: ChannelId, address: SocketAddr) -> Result<Channel, ConnectFailure> {
        let shared = self.shared_channel(id);
        let timeout = Duration::from_millis(self.config.connect_timeout_ms);
        let connecting = shared.get_or_try_init(|| self.establish(address, timeout));
        // This timeout also covers a host that accepts the TCP connection and then sends nothing.
        match tokio::time::timeout(timeout, connecting).await {
            Ok(Ok(channel)) => return Ok(channel.clone()),
            Ok(Err(error)) => self.log_lost_connection(address, &root_cause(&error)),
            Err(_) => self.log_lost_connection(address, "connecting timed out"),
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
