//! Errors that keep a gateway from starting.

use std::net::SocketAddr;
use std::path::PathBuf;

/// An error that keeps a gateway from starting. Its message is one line that names the field at fault, if there is one.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] std::io::Error),
    /// The control socket cannot be opened.
    #[error("control: cannot open socket {}: {source}", path.display())]
    Control {
        /// The socket's path.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// An address cannot be bound.
    #[error("{field}: cannot bind {address}: {source}")]
    Listen {
        /// The configuration's field.
        field: &'static str,
        /// The address in that field.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The session store cannot be used.
    #[error(transparent)]
    Store(#[from] stackgw_store::StoreError),
    /// The additional frontend cannot start.
    #[error(transparent)]
    Frontend(Box<dyn std::error::Error + Send + Sync>),
}
