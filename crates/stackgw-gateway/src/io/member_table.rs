//! The table of connections to members that speak PostgreSQL's protocol. It does no I/O.

use super::connection::{Connection, ReadBudget};
use crate::limits::Limits;
use crate::reducer::ConnectionId;
use async_executor::Task;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// A connection to a member: its task, and its socket once it is established. Dropping it closes the connection.
pub(super) struct Member {
    pub(super) connection: Option<Rc<Connection>>,
    pub(super) _task: Task<()>,
}

/// All connections to members that speak PostgreSQL's protocol.
pub(super) struct Members {
    pub(super) connections: RefCell<HashMap<ConnectionId, Member>>,
    /// The budget for bytes that the members' tasks hold.
    pub(super) budget: Rc<ReadBudget>,
}

impl Members {
    pub(super) fn new(limits: &Limits) -> Self {
        Members {
            connections: RefCell::default(),
            budget: ReadBudget::new(limits.member_bytes, limits.read_bytes),
        }
    }

    pub(super) fn connection(&self, id: ConnectionId) -> Option<Rc<Connection>> {
        self.connections.borrow().get(&id)?.connection.clone()
    }

    pub(super) fn contains(&self, id: ConnectionId) -> bool {
        self.connections.borrow().contains_key(&id)
    }
}
