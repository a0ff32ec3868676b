//! How much all connections of one kind may have read ahead together.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;

/// Tells a connection from all others of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConnectionKey(pub(super) usize);

/// A connection whose task waits for the budget.
struct WaitingReader {
    connection: ConnectionKey,
    pending_bytes: usize,
    needs_more: bool,
    waker: Waker,
}

/// Bytes that all connections of one kind may hold together before they have been handed over.
///
/// Half of them are for connections that hold no complete message yet. Of the other half each connection may hold as much as
/// it leaves free (a dynamic threshold). Whatever the others hold, each has a small reserve besides. So those that send without
/// end never take what a message of another needs.
///
/// Danger: parts of large messages could fill the budget and wait for it all together. So one connection at a time may read on
/// beyond its part, until its message is handed over.
pub(in crate::io) struct ReadBudget {
    used_bytes: Cell<usize>,
    max_bytes: usize,
    /// What each connection may hold whatever the others do.
    reserved_bytes: usize,
    /// The one connection that reads on beyond its part.
    exempt: Cell<Option<ConnectionKey>>,
    /// In the order in which they began to wait.
    waiting: RefCell<Vec<WaitingReader>>,
}

impl ReadBudget {
    pub(in crate::io) fn new(max_bytes: usize, reserved_bytes: usize) -> Rc<Self> {
        Rc::new(ReadBudget {
            used_bytes: Cell::new(0),
            max_bytes,
            reserved_bytes,
            exempt: Cell::new(None),
            waiting: RefCell::default(),
        })
    }

    fn free_bytes(&self) -> usize {
        self.max_bytes.saturating_sub(self.used_bytes.get())
    }

    /// A connection holds `after` bytes where it held `before`.
    pub(super) fn update(&self, connection: ConnectionKey, before: usize, after: usize) {
        self.used_bytes.set(self.used_bytes.get() - before + after);
        if after >= before {
            return;
        }
        if self.exempt.get() == Some(connection) {
            self.exempt.set(None);
            self.wake_all();
        } else {
            self.wake_within_part();
        }
    }

    /// A connection is over.
    pub(super) fn forget(&self, connection: ConnectionKey) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|reader| reader.connection != connection);
    }

    fn wake_all(&self) {
        let waiting = self.waiting.take().into_iter();
        waiting.for_each(|reader| reader.waker.wake());
    }

    /// Whether a connection that holds so many bytes is within its part.
    fn is_within_part(&self, pending_bytes: usize, needs_more: bool) -> bool {
        let free_bytes = self.free_bytes();
        let shared_bytes = free_bytes.saturating_sub(self.max_bytes / 2);
        (needs_more && free_bytes > 0) || pending_bytes < shared_bytes
    }

    /// Wakes those that are within their part now.
    fn wake_within_part(&self) {
        let may_read = |reader: &mut WaitingReader| {
            self.is_within_part(reader.pending_bytes, reader.needs_more)
        };
        let woken: Vec<_> = self.waiting.borrow_mut().extract_if(.., may_read).collect();
        woken.into_iter().for_each(|reader| reader.waker.wake());
    }

    /// How many bytes a connection that holds so many may read now; for 0 its task is woken when it may read. `needs_more`: it
    /// holds no complete message.
    pub(super) fn readable_bytes(
        &self,
        connection: ConnectionKey,
        pending_bytes: usize,
        needs_more: bool,
        waker: &Waker,
    ) -> usize {
        if self.is_within_part(pending_bytes, needs_more) {
            return usize::MAX;
        }
        if needs_more && self.claim_exemption(connection, pending_bytes) {
            return usize::MAX;
        }
        let reserved_bytes = self.reserved_bytes.saturating_sub(pending_bytes);
        if reserved_bytes == 0 {
            self.wait(WaitingReader {
                connection,
                pending_bytes,
                needs_more,
                waker: waker.clone(),
            });
        }
        reserved_bytes
    }

    /// Whether a connection is the one that reads on beyond its part; it becomes so where there is none.
    fn claim_exemption(&self, connection: ConnectionKey, pending_bytes: usize) -> bool {
        if self.exempt.get().is_none() && pending_bytes > 0 {
            self.exempt.set(Some(connection));
        }
        self.exempt.get() == Some(connection)
    }

    fn wait(&self, reader: WaitingReader) {
        let mut waiting = self.waiting.borrow_mut();
        match waiting
            .iter_mut()
            .find(|known| known.connection == reader.connection)
        {
            Some(known) => *known = reader,
            None => waiting.push(reader),
        }
    }
}
