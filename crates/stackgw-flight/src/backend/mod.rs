//! The backend: connections to members that speak Flight SQL. The gateway's pool, limits and router
//! are the same as for members that speak the PostgreSQL protocol.
//!
//! The gateway treats each request in flight as a separate connection, as in the PostgreSQL
//! protocol. In this module, many such connections share one HTTP/2 connection, as assigned by
//! `stackgw_streams::ChannelPool`. A statement is sent unchanged, with GetFlightInfo and DoGet. The
//! response is relayed as an undecoded stream if the request accepts one, and is decoded to a
//! single value otherwise.
//!
//! | module | purpose |
//! | --- | --- |
//! | `dispatcher` | receives the gateway's commands and starts a task for each connection |
//! | `connection` | a connection's life cycle: connecting, running requests in sequence, closing |
//! | `request` | one request: sending it to the member, cancelling it if it is no longer needed |
//! | `stream` | responses that are relayed as streams |
//! | `value` | responses with a single value |
//! | `attempt_progress` | how far an attempt has got, and what a lost connection says of it |
//! | `member_status` | conversion of a member's statuses and headers for the gateway |

mod attempt_progress;
mod connection;
mod dispatcher;
mod member_status;
mod request;
mod stream;
mod value;

pub(crate) use dispatcher::Backend;
