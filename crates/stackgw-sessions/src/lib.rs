//! What each session must see, across gateway instances and restarts.
//!
//! One [`Sessions`] stands in each instance, beside its router. The host reports each write that a
//! member served ([`Sessions::record_write`]) and is told when the response to it may be sent
//! ([`Output::Release`]). It reports each session read ([`Sessions::begin_read`]) and is told what
//! the read has to see ([`Output::ReadRequirement`]). Between the two stands one invariant:
//!
//! > Once the response to a write was sent, every later read of its session, at any instance, is
//! > required to see a position that covers the write, or to see every commit
//! > ([`ReadRequirement::Strong`]).
//!
//! # Roles
//!
//! | role | module | what it does |
//! | --- | --- | --- |
//! | writer | `writer`, `write_log`, `peer_replication`, `forwarding` | sends positions to the owners of a session, grants leases, releases responses |
//! | session replica | `session_replica`, `peer_progress`, `positions` | records positions for others, holds leases of the other replicas, knows whether it is certain |
//! | reader | `reader` | asks the owners of a session |
//! | durability | `durability`, `record` | which records are in the store, and whether a peer's store is an old copy |
//!
//! `sessions` routes inputs to the roles; `context` is what they have in common.
//!
//! There is no I/O, clock, thread or randomness here: time, messages and the completion of store
//! writes are inputs. The package does not know how messages are carried and sealed
//! (`stackgw-cluster`), how records are stored (`stackgw-store`) or which member serves a read
//! (`stackgw-router`). `docs/design/sessions.md` says why it is built so and when it fails.

mod context;
mod durability;
mod forwarding;
mod identity;
mod message;
mod output;
mod peer_progress;
mod peer_replication;
mod positions;
mod reader;
mod record;
mod replica_set;
mod session_replica;
mod sessions;
mod settings;
mod status;
mod uncertainty;
mod write_log;
mod writer;

pub use identity::{NodeId, Peer, RequestNumber, SessionKey, ANY_INCARNATION};
pub use message::{
    DecodeError, LeaseGrant, LeaseRequest, Message, PositionUpdate, MAX_MESSAGE_BYTES,
    MAX_POSITIONS_PER_MESSAGE,
};
pub use output::{Output, ReadRequirement, WriteAdmission};
pub use positions::{RecordedPosition, SessionPositions, UNKNOWN_POSITION};
pub use record::{Record, Recovered, StoreFailure, StoreVersion};
pub use replica_set::ReplicaSet;
pub use sessions::Sessions;
pub use settings::Settings;
pub use status::{Counters, PeerStatus, SessionInspection, Status};
pub use uncertainty::UncertaintyReason;
