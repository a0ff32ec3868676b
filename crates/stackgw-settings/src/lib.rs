//! Code shared by all hosts of a stackgw router: the platform's settings document
//! ([`PlatformSettings`]) and the gossip that gateways exchange ([`GossipCodec`]).
//!
//! This package only translates between formats and makes no decisions. The keys of the document
//! and the bytes of gossip are external interfaces; the types of this package use the router's
//! terms. It opens no files and no sockets.

mod error;
mod gossip;
mod platform_settings;
mod router_settings;
mod section;

pub use error::{SettingsError, ValueType};
pub use gossip::{GossipCodec, GossipMessage, MAX_GOSSIP_BYTES};
pub use platform_settings::{record_load_field, NameTable, PlatformSettings};
