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

/// Serves until SIGTERM has been seen through. Logs go to standard error without ever holding the gateway up.
pub fn run(config: config::Config) -> Result<(), String> {
    let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let format = slog_term::FullFormat::new(plain).use_utc_timestamp().build().fuse();
    let (drain, flush) = slog_async::Async::new(format)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let log = Logger::root(drain.fuse(), o!("gateway" => config.name.clone()));
    let ended = io::serve(config, log);
    drop(flush);
    ended
}
