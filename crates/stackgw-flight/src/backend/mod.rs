//! The backend: members that speak Flight SQL, behind the same pool, limits and router as all
//! others.
//!
//! To the gateway each request in flight is a connection of its own, as in the PostgreSQL protocol;
//! here many of them share one HTTP/2 connection, as `stackgw_streams::ChannelPool` assigns them. A
//! statement is sent as it is, by GetFlightInfo and DoGet. What comes back is one value for a
//! request of one value, and a stream that passes through undecoded for a request that takes one.
//!
//! | module | job |
//! | --- | --- |
//! | `dispatcher` | takes the gateway's commands and starts a task for each connection |
//! | `connection` | one connection: connecting, its requests one after another, its end |
//! | `request` | one request: asking the member, cancelling what nobody waits for |
//! | `stream` | an answer that passes through |
//! | `value` | an answer of one value |
//! | `member_status` | what a member's statuses and headers mean to the gateway |

mod connection;
mod dispatcher;
mod member_status;
mod request;
mod stream;
mod value;

pub(crate) use dispatcher::Backend;
