//! The stackgw gateway as a library: clients on one side, members on the other, both speaking PostgreSQL's protocol, and the
//! router's decisions between them.
//!
//! [`reducer::Reducer`] is the gateway without its sockets: a state machine of inputs and effects. [`run`] is the whole of it:
//! one thread that reads sockets, hands inputs to the reducer and carries out its effects. Whatever needs a decision is the
//! router's or the reducer's; the I/O side knows no request and no member's state.

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

/// What a frontend or its backend may fail with at start.
pub type FrontendError = Box<dyn std::error::Error + Send + Sync>;

/// Starts a frontend beside the first protocol's, and the backend to members that speak its protocol. It is given the way to
/// the reducer, the channels of commands to such members and of what they answer, and a log; both run until what it returns is
/// dropped.
pub type FrontendFactory =
    Box<dyn FnOnce(RequestHandle, BackendChannels, Logger) -> Result<Box<dyn Any>, FrontendError>>;

/// Serves until SIGTERM has been seen through. Logs go to standard error without ever holding the gateway up.
///
/// # Errors
///
/// The gateway does not start.
pub fn run(config: config::Config) -> Result<(), GatewayError> {
    run_with_frontend(config, None)
}

/// The same with another frontend beside the first protocol's.
///
/// # Errors
///
/// The gateway or its frontend does not start.
pub fn run_with_frontend(
    config: config::Config,
    frontend: Option<FrontendFactory>,
) -> Result<(), GatewayError> {
    let (log, flush_guard) = logging::logger(&config);
    let result = io::serve(config, frontend, log);
    drop(flush_guard);
    result
}
