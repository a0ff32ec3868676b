//! Arrow Flight SQL: a frontend for clients of the gateway, and a backend to members that speak it.
//!
//! # Job
//!
//! - `frontend` serves clients. A call becomes a [`StatementTemplate`], which runs as one statement
//!   of the PostgreSQL protocol through the same reducer and router as all others, by a
//!   [`stackgw_gateway::RequestHandle`]. Its one final outcome becomes a stream or a status
//!   ([`to_status`]).
//! - `backend` carries out what the gateway asks of members that speak Flight SQL.
//! - `relay` passes bulk streams from a member to a client, as `stackgw_streams` allows.
//!
//! # Invariants
//!
//! - Tickets, prepared statements and bearer tokens are sealed and complete in themselves
//!   ([`SealedHandle`]): any instance serves them, also after a restart.
//! - A statement that writes runs by DoPut alone, as tickets may be used more than once.
//! - A stream that has begun belongs to its client and is never begun again elsewhere.
//!
//! # What it must not know
//!
//! Which member serves a request, whether it is retried, and what bulk streams may take: the
//! router, the reducer and `stackgw_streams` decide that. `docs/design/flight.md` has the reasons.

mod auth_service;
mod backend;
mod cancellation;
mod clock;
mod config;
mod error;
mod frontend;
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
