//! The frontend: handles the calls of Flight SQL clients.
//!
//! | module | purpose |
//! | --- | --- |
//! | `service` | the calls of Flight SQL, each delegated to one of the modules below |
//! | `context` | state and functions that all calls share |
//! | `statements` | statements, and the tickets that execute them |
//! | `prepared` | prepared statements |
//! | `cancel` | cancelling running queries |
//! | `catalog`, `sql_info` | metadata queries, which are answered without a member |
//! | `executor` | runs a statement through the gateway, limits the number of requests |
//! | `call` | parsing of a call's headers |
//! | `batches` | record batches: decoding of parameters, encoding of responses |
//! | `schemas` | the schemas of parameters and responses |

mod batches;
mod call;
mod cancel;
mod catalog;
mod context;
mod executor;
mod prepared;
mod schemas;
mod service;
mod sql_info;
mod statements;

pub(crate) use context::Frontend;
