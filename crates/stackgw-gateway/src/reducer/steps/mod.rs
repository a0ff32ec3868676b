//! Handlers for each input: methods of [`Gateway`](super::state::Gateway) that call its components in order.
//!
//! The order of effects, timers and router events is part of the behavior.

mod attempts;
mod bootstrap;
mod client_connections;
mod client_messages;
mod cluster;
mod dispatch;
mod endpoints;
mod member_connections;
mod member_messages;
mod positions;
mod reload;
mod requests;
mod router_actions;
mod selections;
mod sessions;
mod shutdown;
mod status;
mod streams;
mod sweep;
