//! The frontend: the calls of Flight SQL clients.
//!
//! | module | job |
//! | --- | --- |
//! | `service` | the calls of Flight SQL, each handed to the module of its concern |
//! | `context` | what all calls share |
//! | `statements` | statements, and the tickets that they run by |
//! | `prepared` | prepared statements |
//! | `cancel` | cancelling a query that runs |
//! | `catalog`, `sql_info` | what there is to query; answered without a member |
//! | `executor` | runs a statement through the gateway: limits, the one outcome or the stream |
//! | `call` | what the headers of a call say |
//! | `batches` | batches of rows: parameters on their way in, answers on their way out |
//! | `schemas` | the schemas of parameters and answers |

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
