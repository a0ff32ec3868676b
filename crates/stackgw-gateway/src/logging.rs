//! The log on standard error.

use crate::config::Config;
use slog::{o, Drain, Logger};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use stackgw_config::LogFormat;

/// Returns a logger that writes plain text, or JSON objects if the operator's file selects them. If its queue is full, lines
/// are dropped and their number is logged later. Dropping the guard writes the queued lines.
pub(crate) fn logger(config: &Config) -> (Logger, AsyncGuard) {
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match config.operator.format {
        LogFormat::Json => Box::new(slog_json::Json::default(std::io::stderr()).fuse()),
        LogFormat::Text => {
            let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
            let format = slog_term::FullFormat::new(plain)
                .use_utc_timestamp()
                .build();
            Box::new(format.fuse())
        }
    };
    let (drain, guard) = Async::new(drain)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let gateway = o!("gateway" => config.name.clone());
    (Logger::root(drain.fuse(), gateway), guard)
}
