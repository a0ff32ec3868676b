//! The stackgw gateway as a library. It accepts clients, forwards their requests to members over PostgreSQL's protocol, and
//! leaves the choice of member to the router.
//!
//! [`reducer::Reducer`] is the gateway without its sockets: a state machine of inputs and effects. [`run`] runs the complete
//! gateway: one thread that reads sockets, passes inputs to the reducer and carries out its effects. All decisions are made by
//! the router or the reducer; the I/O side only keeps connections, channels and the bytes that are queued on them.

pub mod config;
pub mod counters;
pub mod discovery;
mod error;
mod io;
pub mod limits;
mod logging;
pub mod pg;
pub mod reducer;

pub use error::GatewayError;
pub use io::{
    BackendChannels, BackendCommand, BackendEvent, FrontendResponse, RelayedStream, RequestGuard,
    RequestHandle,
};

use slog::Logger;
use std::any::Any;

/// An error that a frontend or its backend returns at start.
pub type FrontendError = Box<dyn std::error::Error + Send + Sync>;

/// Starts a frontend in addition to the PostgreSQL one, and the backend for members that speak its protocol.
///
/// The arguments are the handle for requests to the reducer, the channels of commands to the backend and of events from it, and
/// a log. The frontend and its backend run until the returned value is dropped.
pub type FrontendFactory =
    Box<dyn FnOnce(RequestHandle, BackendChannels, Logger) -> Result<Box<dyn Any>, FrontendError>>;

/// Serves until a SIGTERM or SIGINT has been handled completely. Logs go to standard error without blocking the gateway.
///
/// # Errors
///
/// The gateway cannot start.
pub fn run(config: config::Config) -> Result<(), GatewayError> {
    run_with_frontend(config, None)
}

/// Like [`run`], with another frontend in addition to the PostgreSQL one.
///
/// # Errors
///
/// The gateway or its frontend cannot start.
pub fn run_with_frontend(
    config: config::Config,
    frontend: Option<FrontendFactory>,
) -> Result<(), GatewayError> {
    let (log, flush_guard) = logging::logger(&config);
    let result = io::serve(config, frontend, log);
    drop(flush_guard);
    result
}
