//! The records that the routing decisions are made on, and the bookkeeping on them.
//!
//! Nothing here decides, and no value here is tuned: every decision, table and tuned value is in `crate::router`.

mod gossip;
mod measure;
mod member;
mod request;
mod settings;
mod table;

pub(crate) use gossip::{GossipQueue, Observation, Source};
pub(crate) use measure::{hash_fraction, smooth, Assessment, ByRole, LatencySample, Role, ThroughputMeter};
pub(crate) use member::{mean_in_flight, Candidate, MemberState};
pub(crate) use request::{Disposition, QueueRank, RequestState, RequestTable, SessionWrites};
pub(crate) use table::MemberTable;
