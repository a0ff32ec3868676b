//! The table of client connections, and the state of the listener. It does no I/O.

use super::connection::{Connection, ReadBudget};
use super::flag::Flag;
use crate::limits::Limits;
use crate::reducer::ClientId;
use async_executor::Task;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// A client's connection and its task. Dropping it closes the connection.
pub(super) struct Client {
    pub(super) connection: Rc<Connection>,
    pub(super) _task: Task<()>,
}

/// A client whose next message is not accepted yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WaitingClient {
    pub(super) id: ClientId,
    /// The size of the next message; 0 while it is incomplete, or if its header is malformed.
    pub(super) message_bytes: usize,
}

/// All client connections, and the state of the listener.
pub(super) struct Clients {
    pub(super) connections: RefCell<HashMap<ClientId, Client>>,
    pub(super) next_id: Cell<u64>,
    /// Clients whose next messages are not accepted yet, in the order in which they began to wait. A client whose message is
    /// accepted is removed; if its next message must wait, it is added at the end.
    pub(super) waiting: RefCell<VecDeque<WaitingClient>>,
    /// Clients for which bytes are queued that were not written to their sockets yet.
    pub(super) with_queued_writes: RefCell<Vec<ClientId>>,
    /// Clients whose tasks hold bytes that the reducer has not accepted; reads from them may be paused.
    pub(super) with_pending_bytes: RefCell<BTreeSet<ClientId>>,
    /// Set when a client is added to `with_pending_bytes`; reset by the check for disconnects if that set is empty.
    pub(super) any_pending_bytes: Flag,
    /// The budget for bytes that the clients' tasks hold.
    pub(super) budget: Rc<ReadBudget>,
    /// Set while new connections are accepted.
    pub(super) accepts: Flag,
    /// Set when the listener is to be closed.
    pub(super) stops_listening: Flag,
}

impl Clients {
    pub(super) fn new(limits: &Limits) -> Self {
        Clients {
            connections: RefCell::default(),
            next_id: Cell::new(0),
            waiting: RefCell::default(),
            with_queued_writes: RefCell::default(),
            with_pending_bytes: RefCell::default(),
            any_pending_bytes: Flag::default(),
            budget: ReadBudget::new(limits.shared_client_bytes(), limits.reserved_client_bytes()),
            accepts: Flag::default(),
            stops_listening: Flag::default(),
        }
    }

    pub(super) fn connection(&self, id: ClientId) -> Option<Rc<Connection>> {
        let connections = self.connections.borrow();
        connections.get(&id).map(|client| client.connection.clone())
    }

    /// Records that a client's next message is not accepted yet.
    pub(super) fn add_waiting(&self, client: WaitingClient) {
        let mut waiting = self.waiting.borrow_mut();
        match waiting.iter_mut().find(|known| known.id == client.id) {
            Some(known) => *known = client,
            None => waiting.push_back(client),
        }
    }

    pub(super) fn contains(&self, id: ClientId) -> bool {
        self.connections.borrow().contains_key(&id)
    }
}
