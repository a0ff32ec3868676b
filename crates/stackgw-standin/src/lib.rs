//! Stand-ins on loopback, for the product's demo, its tests and its long measurements: members of a replicated store that
//! speak the gateway's protocol ([`Store`]), the agent that has their list, clients whose sessions roam ([`Trial`]), and
//! gateways as real processes that are killed, paused and started anew ([`Gateways`]).
//!
//! Every execution is written down ([`Audit`]), so that what a session saw is judged by what ran.

mod agent;
mod client;
#[cfg(feature = "flight")]
mod flight;
mod gateways;
mod net;
mod store;
mod trial;

pub use client::{Answer, Client};
pub use gateways::{Gateways, Mode, Setup, USER};
pub use net::Net;
pub use store::{Audit, Member, Speaks, Store, GROUP};
pub use trial::{Tally, Trial, Troubles, Verdict};
