//! The gRPC server, on its own runtime and threads, separate from the gateway's.

use crate::auth_service::AuthenticatedService;
use crate::backend::Backend;
use crate::config::ServerConfig;
use crate::error::Error;
use crate::frontend::Frontend;
use crate::relay::Relay;
use arrow_flight::flight_service_server::FlightServiceServer;
use futures::{Stream, StreamExt};
use slog::{info, Logger};
use stackgw_gateway::{BackendChannels, RequestHandle};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::server::Router;
use tonic::transport::Server;

/// Name of the server threads.
const THREAD_NAME: &str = "flight";
/// Maximum size of a call's header list, in bytes.
const MAX_HEADER_BYTES: u32 = 16 << 10;
/// Maximum size of a message from a client, in bytes.
const MAX_MESSAGE_BYTES: usize = 256 << 10;
/// Maximum number of streams that a client resets before they are accepted; its connection is
/// closed if it exceeds this.
const MAX_PENDING_RESETS: usize = 20;
/// Interval between HTTP/2 keepalive pings, and timeout for the reply.
const KEEPALIVE: Duration = Duration::from_secs(10);
/// How long open calls may take to send their last status once the gateway has ended. By then, the
/// gateway has answered all of them; a client that does not read its stream must not hold the exit.
const CALL_END_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for shutting down the runtime.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(50);

/// A running server. Dropping the handle shuts the server down and waits for it to stop.
#[derive(Debug)]
pub struct ServerHandle {
    /// Address that the server listens on.
    pub address: SocketAddr,
    shutdown: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        drop(self.shutdown.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Everything that the server needs to run.
struct ServerTask {
    config: ServerConfig,
    gateway: RequestHandle,
    backend: BackendChannels,
    log: Logger,
}

/// Starts the frontend and the backend.
///
/// # Errors
///
/// Returns [`Error::Listen`] if the address cannot be bound (for example, because the port is in
/// use) or the threads cannot be started.
pub fn start(
    config: ServerConfig,
    gateway: RequestHandle,
    backend: BackendChannels,
    log: Logger,
) -> Result<ServerHandle, Error> {
    let address = config.listen;
    let task = ServerTask {
        config,
        gateway,
        backend,
        log,
    };
    task.spawn()
        .map_err(|source| Error::Listen { address, source })
}

impl ServerTask {
    /// Starts the server on its own threads.
    fn spawn(self) -> Result<ServerHandle, io::Error> {
        let listener = TcpListener::bind(self.config.listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = build_runtime(self.config.worker_threads)?;
        let (shutdown, shutdown_signal) = oneshot::channel::<()>();
        info!(self.log, "flight sql at {address}");
        let thread = std::thread::Builder::new().name(THREAD_NAME.to_owned());
        let thread = thread.spawn(move || {
            let _ = runtime.block_on(runtime.spawn(self.serve(listener, shutdown_signal)));
            runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
        })?;
        Ok(ServerHandle {
            address,
            shutdown: Some(shutdown),
            thread: Some(thread),
        })
    }

    /// Serves until the sender of `shutdown_signal` is dropped.
    async fn serve(self, listener: TcpListener, shutdown_signal: oneshot::Receiver<()>) {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
            return;
        };
        let relay = Relay::new(self.config.stream_limits);
        tokio::spawn(relay.clone().run_timer());
        let backend_config = self.config.backend.clone();
        let backend = Backend::new(backend_config, self.backend, relay, self.log.clone());
        tokio::spawn(backend.run());
        let (ended, has_ended) = oneshot::channel();
        let shutdown_signal = async {
            let _ = shutdown_signal.await;
            drop(ended);
        };
        let served = build_router(&self.config, self.gateway)
            .serve_with_incoming_shutdown(accept(listener), shutdown_signal);
        let timed_out = async {
            let _: Result<(), _> = has_ended.await;
            tokio::time::sleep(CALL_END_TIMEOUT).await;
        };
        tokio::select! {
            served = served => {
                if let Err(error) = served {
                    info!(self.log, "flight sql server stopped: {error}");
                }
            }
            () = timed_out => info!(self.log, "flight sql calls were open at the exit"),
        }
    }
}

fn build_runtime(worker_threads: usize) -> Result<Runtime, io::Error> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(worker_threads)
        .thread_name(THREAD_NAME)
        .enable_all()
        .build()
}

fn build_router(config: &ServerConfig, gateway: RequestHandle) -> Router {
    let frontend = Frontend::new(config, gateway);
    let service = FlightServiceServer::new(AuthenticatedService::new(config, frontend));
    Server::builder()
        .max_concurrent_streams(Some(config.max_streams_per_connection))
        .http2_max_header_list_size(Some(MAX_HEADER_BYTES))
        .http2_max_pending_accept_reset_streams(Some(MAX_PENDING_RESETS))
        .http2_keepalive_interval(Some(KEEPALIVE))
        .http2_keepalive_timeout(Some(KEEPALIVE))
        .add_service(service.max_decoding_message_size(MAX_MESSAGE_BYTES))
}

/// Accepts client connections.
///
/// Without TCP_NODELAY, the last small frame of a response would be delayed by 40 ms, waiting for
/// the client to acknowledge the previous frame.
fn accept(listener: tokio::net::TcpListener) -> impl Stream<Item = Result<TcpStream, io::Error>> {
    TcpListenerStream::new(listener).map(|accepted| {
        let connection = accepted?;
        connection.set_nodelay(true)?;
        Ok(connection)
    })
}
