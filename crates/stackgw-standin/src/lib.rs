//! Stand-ins on loopback, for the product's demo, its tests and its long measurements: members of a replicated store that
//! speak the gateway's protocol ([`Store`]), the service that has their list, clients whose sessions roam ([`Trial`]), and
//! gateways as real processes that are killed, paused and started anew ([`Gateways`]).
//!
//! Every execution is written down ([`Audit`]), so that what a session saw is judged by what ran.

mod bearing;
mod client;
mod cold_start;
#[cfg(feature = "flight")]
mod flight;
mod gateways;
mod lists;
mod net;
mod opening;
mod store;
mod trial;

pub use bearing::{Bearing, Borne};
pub use client::{Answer, Client};
pub use cold_start::{Asks, ColdStart, Line, Part, PARTS};
pub use gateways::{Gateways, Mode, Setup, StartPart, USER};
pub use lists::{worst, Asked, Bears, Fate, Lists, Mood};
pub use net::Net;
pub use opening::{Burden, Opened, Opening};
pub use store::{Audit, Member, Speaks, Store, GROUP};
pub use trial::{Tally, Trial, Troubles, Verdict};
