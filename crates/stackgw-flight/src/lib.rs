//! Arrow Flight SQL as a front of the gateway, and the back to members that speak it.
//!
//! Nothing is decided here: that is the router's, the reducer's and, for bulk streams, `stackgw_streams`'. A statement and its headers become one statement of our first protocol ([`StatementTemplate`]), which goes
//! through the same reducer and router by a [`stackgw_gateway::RequestHandle`]; the one final answer becomes a stream or a status
//! ([`status`]). Tickets and prepared statements are sealed and hold all that is needed ([`SealedHandle`]), so that any instance
//! serves them, also after a restart. `docs/design/flight.md` says why it is built so.

mod auth_service;
mod backend;
mod cancellation;
mod clock;
mod config;
mod error;
mod protocol;
mod relay;
mod server;
mod statement;
mod status;
mod sync;
mod tickets;
mod users;

pub use config::{BackendConfig, ServerConfig};
pub use error::{Error, UsersFileProblem};
pub use server::{start, ServerHandle};
pub use stackgw_streams::StreamLimits;
pub use statement::{ParameterValue, RequestOptions, StatementError, StatementTemplate};
pub use status::{root_cause, to_status};
pub use tickets::{SealedHandle, TicketError};
pub use users::{AuthScheme, Users};
