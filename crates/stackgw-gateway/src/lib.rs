//! The stackgw gateway as a library: clients on one side, database members on the other, both speaking PostgreSQL's
//! protocol, and the router's decisions between them.
//!
//! [`reducer::Reducer`] is the gateway without its sockets; [`run`] is the whole of it.

pub mod config;
pub mod counters;
pub mod discovery;
mod io;
pub mod limits;
pub mod pg;
pub mod pool;
pub mod reducer;

use slog::{o, Drain, Logger};

pub use io::{
    BackendChannels, BackendCommand, BackendEvent, FrontendResponse, RelayedStream, RequestGuard,
    RequestHandle,
};

/// Another front, and the back to members that speak its protocol: it is given the way to the reducer, the lines to what is
/// asked of such members, and a log, and runs until what it gives back is dropped.
pub type FrontendFactory = Box<
    dyn FnOnce(RequestHandle, BackendChannels, Logger) -> Result<Box<dyn std::any::Any>, String>,
>;

/// Serves until SIGTERM has been seen through. Logs go to standard error without ever holding the gateway up.
pub fn run(config: config::Config) -> Result<(), String> {
    run_with_frontend(config, None)
}

/// The same with another front beside the first protocol's.
pub fn run_with_frontend(
    config: config::Config,
    front: Option<FrontendFactory>,
) -> Result<(), String> {
    let (log, flush) = logger(&config);
    let ended = io::serve(config, front, log);
    drop(flush);
    ended
}

/// Lines for people, or JSON objects for programs where the operator's file says so.
fn logger(config: &config::Config) -> (Logger, slog_async::AsyncGuard) {
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match config.operator.format {
        stackgw_config::LogFormat::Json => {
            Box::new(slog_json::Json::default(std::io::stderr()).fuse())
        }
        stackgw_config::LogFormat::Text => {
            let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
            Box::new(
                slog_term::FullFormat::new(plain)
                    .use_utc_timestamp()
                    .build()
                    .fuse(),
            )
        }
    };
    let (drain, flush) = slog_async::Async::new(drain)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (
        Logger::root(drain.fuse(), o!("gateway" => config.name.clone())),
        flush,
    )
}
