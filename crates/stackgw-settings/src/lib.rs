//! What every host of a stackgw router shares: the settings document as the router's `Settings`, what a host itself
//! needs of that document, and the packed words that routers send each other. Decides nothing.

mod document;
mod words;

pub use document::{note_load, HostSettings, Names};
pub use words::{Digests, MOST_BYTES};
