//! Read-your-writes consistency for sessions, across gateway instances and restarts.
//!
//! Each instance runs one [`Sessions`] state machine next to its router. The host reports each
//! write that a member served ([`Sessions::record_write`]), and [`Output::Release`] tells it when
//! the response may be sent. The host reports each session read ([`Sessions::begin_read`]), and
//! [`Output::ReadRequirement`] tells it which position the read must see. The state machine
//! maintains this invariant:
//!
//! > Once the response to a write has been sent, every later read of its session, at any instance,
//! > is required to see a position at or after that of the write, or to see every commit
//! > ([`ReadRequirement::Strong`]).
//!
//! The requirement lapses after [`Settings::retention`], by which time every member has applied the
//! write. An instance is *certain* if no write of another instance or of its own within the
//! retention can be missing from the positions that it has recorded as an owner. Otherwise, it is
//! *uncertain*: it queries the other owners of a session, and the session's reads must see every
//! commit if none of these is certain.
//!
//! # Roles
//!
//! | role | module | what it does |
//! | --- | --- | --- |
//! | writer | `writer`, `write_log`, `peer_replication`, `forwarding` | sends positions to the owners of a session, grants leases, releases responses |
//! | session replica | `session_replica`, `peer_progress`, `positions` | records positions for writers, holds leases granted by the other replicas, determines whether it is certain |
//! | reader | `reader` | queries the owners of a session for its position |
//! | durability | `durability`, `record` | tracks which records are in the store, and detects peers whose store is an old copy |
//!
//! `sessions` routes inputs to the roles; `context` holds the state that they share.
//!
//! The package does no I/O and has no clock, threads or randomness: time, messages and the
//! completion of store writes are inputs. It does not depend on how messages are transported and
//! sealed (`stackgw-cluster`), how records are stored (`stackgw-store`) or which member serves a
//! read (`stackgw-router`). `docs/design/sessions.md` describes the reasons for this design and its
//! failure modes.

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
