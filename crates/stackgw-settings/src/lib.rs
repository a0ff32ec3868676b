//! What all hosts of a stackgw router share: the platform's settings document
//! ([`PlatformSettings`]) and the gossip that gateways exchange ([`GossipCodec`]).
//!
//! This package translates and decides nothing. The keys of the document and the bytes of gossip
//! are fixed from outside; its types use the router's own terms. It opens no file and no socket.

mod error;
mod gossip;
mod platform_settings;
mod router_settings;
mod section;

pub use error::{SettingsError, ValueType};
pub use gossip::{GossipCodec, GossipMessage, MAX_GOSSIP_BYTES};
pub use platform_settings::{record_load_field, NameTable, PlatformSettings};
