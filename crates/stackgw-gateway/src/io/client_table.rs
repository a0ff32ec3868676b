//! The table of clients' connections, and what the listener is to do. It does no I/O by itself.

use super::connection::{Connection, ReadBudget};
use super::flag::Flag;
use crate::limits::Limits;
use crate::reducer::ClientId;
use async_executor::Task;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// A client's connection and its task. Dropped, it is closed.
pub(super) struct Client {
    pub(super) connection: Rc<Connection>,
    pub(super) _task: Task<()>,
}

/// All clients' connections, and what the listener is to do.
pub(super) struct Clients {
    pub(super) connections: RefCell<HashMap<ClientId, Client>>,
    pub(super) next_id: Cell<u64>,
    /// Clients with complete messages that are not taken yet.
    pub(super) waiting: RefCell<BTreeSet<ClientId>>,
    /// Clients whose tasks hold bytes, so that they may not be read on.
    pub(super) with_pending_bytes: RefCell<BTreeSet<ClientId>>,
    /// Whether there are any such clients.
    pub(super) any_pending_bytes: Flag,
    /// Bytes that the clients' tasks hold.
    pub(super) budget: Rc<ReadBudget>,
    /// New connections are accepted.
    pub(super) accepts: Flag,
    /// The listener is to be closed.
    pub(super) stops_listening: Flag,
}

impl Clients {
    pub(super) fn new(limits: &Limits) -> Self {
        Clients {
            connections: RefCell::default(),
            next_id: Cell::new(0),
            waiting: RefCell::default(),
            with_pending_bytes: RefCell::default(),
            any_pending_bytes: Flag::default(),
            budget: ReadBudget::new(limits.client_bytes),
            accepts: Flag::default(),
            stops_listening: Flag::default(),
        }
    }

    pub(super) fn connection(&self, id: ClientId) -> Option<Rc<Connection>> {
        let connections = self.connections.borrow();
        connections.get(&id).map(|client| client.connection.clone())
    }

    pub(super) fn contains(&self, id: ClientId) -> bool {
        self.connections.borrow().contains_key(&id)
    }
}
