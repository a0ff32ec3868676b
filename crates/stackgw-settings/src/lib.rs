//! What every host of a stackgw router shares: the settings document as the router's `Settings`, what a host itself
//! needs of that document, and the packed words that routers send each other. Decides nothing.

mod document;
mod words;

pub use document::{record_load_field, NameTable, PlatformSettings};
pub use words::{GossipCodec, MAX_GOSSIP_BYTES};
