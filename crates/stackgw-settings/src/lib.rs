//! What every host of a stackgw router shares: the settings document as the router's `Settings`, what a host itself
//! needs of that document, and the packed words that routers send each other. Decides nothing.

mod gossip;
mod platform_settings;

pub use gossip::{GossipCodec, MAX_GOSSIP_BYTES};
pub use platform_settings::{record_load_field, NameTable, PlatformSettings};
