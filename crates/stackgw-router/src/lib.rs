//! Routing decisions for a replicated store: which member of a group serves a read or a write, when
//! an attempt may be repeated, and what to answer when it may not.
//!
//! [`api`] is the interface: settings, events and actions. [`router`] holds every decision, one concern a
//! module; `state` holds the records that decisions are made on, and their bookkeeping.
//!
//! The package is deterministic: the same settings, seed and events give the same actions. It knows no wire
//! format, no socket, no clock and no thread; the host hands in the time with each event.

pub mod api;
pub mod router;
mod state;

pub use router::Router;
