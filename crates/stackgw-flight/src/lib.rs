//! Arrow Flight SQL as a front of the gateway, and the back to members that speak it.
//!
//! Nothing is decided here: that is the router's, the reducer's and, for bulk streams, `stackgw_streams`'. A statement and its headers become one statement of our first protocol ([`Asked`]), which goes
//! through the same reducer and router by a [`stackgw_gateway::RequestHandle`]; the one final answer becomes a stream or a status
//! ([`status`]). Tickets and prepared statements are sealed and hold all that is needed ([`Sealed`]), so that any instance
//! serves them, also after a restart. `docs/design/flight.md` says why it is built so.

mod asked;
mod back;
mod door;
mod pass;
mod running;
mod sealed;
mod server;
mod status;
mod users;

pub use asked::{Asked, Headers, Value, Wrong};
pub use back::BackendConfig;
pub use sealed::{Sealed, Unusable};
pub use server::{start, Running, ServerConfig};
pub use stackgw_streams::StreamLimits;
pub use status::{root_cause, status};
pub use users::{AuthScheme, Users};
