//! How much all connections of one kind may have read ahead together.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;

/// Tells a connection from all others of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConnectionKey(pub(super) usize);

/// Bytes that all connections of one kind may hold together before they have been handed over.
///
/// Danger: parts of large messages could fill the budget and wait for it all together. So one connection at a time may read on
/// where the budget is used up, until it holds nothing.
pub(in crate::io) struct ReadBudget {
    used: Cell<usize>,
    max_bytes: usize,
    /// The one connection that reads on where the budget is used up.
    exempt: Cell<Option<ConnectionKey>>,
    /// Tasks that wait for the budget.
    waiting: RefCell<Vec<Waker>>,
}

impl ReadBudget {
    pub(in crate::io) fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(ReadBudget {
            used: Cell::new(0),
            max_bytes,
            exempt: Cell::new(None),
            waiting: RefCell::default(),
        })
    }

    /// A connection holds `after` bytes where it held `before`.
    pub(super) fn update(&self, connection: ConnectionKey, before: usize, after: usize) {
        self.used.set(self.used.get() - before + after);
        let exemption_ends = after == 0 && self.exempt.get() == Some(connection);
        if exemption_ends {
            self.exempt.set(None);
        }
        if exemption_ends || self.used.get() < self.max_bytes {
            self.waiting.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Whether a connection that holds so many bytes may read on; else its task is woken when it may. One that holds nothing
    /// always may.
    pub(super) fn may_read(
        &self,
        connection: ConnectionKey,
        pending_bytes: usize,
        waker: &Waker,
    ) -> bool {
        if self.used.get() < self.max_bytes || pending_bytes == 0 {
            return true;
        }
        let exempt = self.exempt.get().unwrap_or(connection);
        self.exempt.set(Some(exempt));
        if exempt == connection {
            return true;
        }
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.iter().any(|known| known.will_wake(waker)) {
            waiting.push(waker.clone());
        }
        false
    }
}
