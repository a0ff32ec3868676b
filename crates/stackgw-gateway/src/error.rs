//! Why a gateway does not start.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a gateway does not start. Each error is one plain line that names the field at fault.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// Signals cannot be received.
    #[error("signals: {0}")]
    Signals(#[source] std::io::Error),
    /// The local socket cannot be opened.
    #[error("control: {}: {source}", path.display())]
    Control {
        /// The socket's path.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// An address cannot be listened on.
    #[error("{field}: {address}: {source}")]
    Listen {
        /// The configuration's field.
        field: &'static str,
        /// The address that it names.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// The store of the sessions cannot be used.
    #[error(transparent)]
    Store(#[from] stackgw_store::StoreError),
    /// The other frontend does not start.
    #[error(transparent)]
    Frontend(Box<dyn std::error::Error + Send + Sync>),
}
