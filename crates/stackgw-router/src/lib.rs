//! Routing decisions for a replicated store: which member of a group serves a read or a write, when
//! an attempt may be repeated, and what to answer when it may not.
//!
//! [`api`] is the interface: settings, events and actions. [`router`] holds every decision, one concern per
//! module; `state` holds the records that decisions are based on, and their bookkeeping.
//!
//! The package is deterministic: the same settings, seed and events give the same actions. It uses no wire
//! format, socket, clock or thread; the host passes the time with each event.

pub mod api;
pub mod router;
mod state;

pub use router::Router;
