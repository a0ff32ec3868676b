//! Records that the routing decisions are based on, and their bookkeeping.
//!
//! This module makes no decisions and has no tuned values: all of these are in `crate::router`.

mod gossip;
mod measure;
mod member;
mod request;
mod settings;
mod table;

pub(crate) use gossip::{GossipQueue, Observation, Source};
pub(crate) use measure::{hash_fraction, smooth, Assessment, ByRole, LatencySample, Role, ThroughputMeter};
pub(crate) use member::{mean_in_flight, Candidate, MemberState};
pub(crate) use request::{DispatchResult, QueueRank, RequestState, RequestTable, SessionWrites};
pub(crate) use table::MemberTable;
