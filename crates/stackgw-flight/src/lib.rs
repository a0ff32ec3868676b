//! Arrow Flight SQL: a frontend for clients of the gateway, and a backend to members that speak it.
//!
//! # Overview
//!
//! - `frontend` serves clients. It turns a call into a [`StatementTemplate`], which runs as one
//!   statement of the PostgreSQL protocol through a [`stackgw_gateway::RequestHandle`], with the
//!   same reducer and router as all other requests. The request's single final outcome becomes a
//!   stream or a status ([`to_status`]).
//! - `backend` executes the gateway's commands on members that speak Flight SQL.
//! - `relay` passes bulk streams from a member to a client, under the flow control of
//!   `stackgw_streams`.
//!
//! # Invariants
//!
//! - Tickets, prepared statements and bearer tokens are sealed and self-contained
//!   ([`SealedHandle`]): any instance accepts them, also after a restart.
//! - A statement that writes runs through DoPut only, because tickets may be used more than once.
//! - A stream that has begun belongs to its client and is never restarted at another member.
//!
//! # Out of scope
//!
//! The router and the reducer decide which member serves a request and whether it is retried;
//! `stackgw_streams` limits the buffers of bulk streams. `docs/design/flight.md` gives the reasons.

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
